"""The configuration of a sender, the division of its file descriptors, and its clock."""

import time
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from message_sender import interface as face
from message_sender.net.discovery import EndpointList
from plumline.wire.http import Address


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    control: Address | None  # the operators' listening address
    state: Path
    seed: int
    disk_bytes: int
    sockets: int
    known: EndpointList
    settings: face.Settings


@dataclass(frozen=True, slots=True)
class Descriptors:
    """The division of the file descriptors that the configuration allows."""

    # Standard streams (3), event loop (3), listener, journal and its copy, configuration, watch and notices
    # with their successors at a new address (4), check, operators' listener, lock, successor listener: 18.
    # The same again for a newer version running beside this process: handed-over descriptors are closed here
    # at once, except those of calls, few of which are in use.
    RESERVED: ClassVar[int] = 2 * 18

    clients: int
    lingering: int  # further clients, which only get a refusal
    calls: int  # calls in flight and pooled connections
    operators: int  # reserved for operators' connections
    accepts: int  # clients accepted in one turn of the loop: each may close another one to make room

    @classmethod
    def divide(cls, sockets: int, slots: int) -> "Descriptors":
        """Clients get half, as they may need a third of all; calls get the rest, and always enough for all
        slots."""
        lingering = sockets // 16
        operator_count = min(max(lingering, 4), 16)
        reserved = cls.RESERVED + operator_count
        calls = max(sockets - reserved - sockets // 2, slots + 4)
        return cls(
            max(sockets - reserved - lingering - calls, 1), lingering, calls, operator_count, operator_count
        )

    def total(self) -> int:
        return self.RESERVED + self.clients + self.lingering + self.calls + self.operators


class Clock:
    """The module's clock: wall time at the start, continued by the monotonic clock so that it never goes
    back."""

    def __init__(self, base: int | None = None) -> None:
        """`base`: that of the previous process, whose handed-over times stay valid with it."""
        self.base = time.time_ns() - time.monotonic_ns() if base is None else base

    def now(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000
