"""What the platform tells a sender at its start, and how what it allows is shared out."""

import time
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from message_sender import interface as face
from message_sender.net.discovery import Listed
from plumline.wire.http import Address


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # where operators call
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: Listed
    settings: face.Settings


@dataclass(frozen=True, slots=True)
class Descriptors:
    """How the descriptors that the configuration allows are shared out: all that opens one counts here."""

    # The standard streams, the loop's three, the listener, the journal and its copy, the configuration, the
    # watch and the notices with their successors at a new address, the check, the operators' listener, the
    # lock and the door: 18. And as many for a newer version that starts beside this process: what is handed
    # over is closed here as it goes, but for the calls, whose connections are far from all in use.
    OWN: ClassVar[int] = 2 * 18

    clients: int
    lingering: int  # clients above these that only hear that they are turned away
    calls: int  # with the connections that are kept for the next ones
    operators: int  # kept for their calls
    accepts: int  # clients taken in one turn of the loop: each may push out another one first

    @classmethod
    def of(cls, sockets: int, slots: int) -> "Descriptors":
        """Clients get half; they may need a third. Calls get the rest, all slots in any case."""
        lingering = sockets // 16
        few = min(max(lingering, 4), 16)
        own = cls.OWN + few
        calls = max(sockets - own - sockets // 2, slots + 4)
        return cls(max(sockets - own - lingering - calls, 1), lingering, calls, few, few)

    def total(self) -> int:
        return self.OWN + self.clients + self.lingering + self.calls + self.operators


class Clock:
    """The module's clock: wall time as it was at the start, and from there on one that never goes back."""

    def __init__(self, base: int | None = None) -> None:
        """`base`: the one of the process before, whose times this one goes on from."""
        self.base = time.time_ns() - time.monotonic_ns() if base is None else base

    def now(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000
