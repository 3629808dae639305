"""What a registrar keeps ready for the routers that follow it: packed entries, and one packed snapshot.

Both are packed once and shared by all followers; a follower's queue holds references only.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.wire.frames import pack

MAX_BUFFERED_BYTES = 1024 * 1024  # of packed entries; whoever is further behind gets a snapshot
SMALL_DELTA_BYTES = 16 * 1024  # bytes of entries that are sent without a look at what a snapshot would take


@dataclass(frozen=True, slots=True)
class PackedMessage:
    """A message, ready to be sent, and the number of the entry up to which its receiver then knows all."""

    number: int
    kind: str
    data: bytes


class PublishBuffer:
    """Consecutive entries up to `newest`."""

    def __init__(self, now: Callable[[], tuple[int, ReplicatedConfiguration]]) -> None:
        """`now`: the committed state and the number of its newest entry."""
        self.now = now
        self.newest = 0
        self.entries: deque[PackedMessage] = deque()
        self.bytes = 0
        self.snapshot_kept: PackedMessage | None = None

    def restart(self, number: int) -> None:
        """What led to the state of this number isn't known."""
        self.newest = number
        self.entries.clear()
        self.bytes = 0

    def add(self, number: int, change: list[Any]) -> None:
        if number != self.newest + 1:
            self.restart(number)
            return
        entry = PackedMessage(number, "entry", pack(["entry", number, change]))
        self.newest = number
        self.entries.append(entry)
        self.bytes += len(entry.data)
        while self.bytes > MAX_BUFFERED_BYTES:
            self.bytes -= len(self.entries.popleft().data)

    def after(self, place: int) -> list[PackedMessage] | None:
        """The entries that lead from `place` to the newest; None if they are no longer kept."""
        if place >= self.newest:
            return []
        missing = self.newest - place
        if missing > len(self.entries):
            return None
        return [self.entries[at] for at in range(len(self.entries) - missing, len(self.entries))]

    def messages(self, place: int) -> list[PackedMessage]:
        """What takes a follower from `place` to the newest entry in the fewest bytes."""
        tail = self.after(place)
        if tail is not None:
            length = size(tail)
            if length <= SMALL_DELTA_BYTES or length <= len(self.snapshot().data):
                return tail
        snapshot = self.snapshot()
        return [snapshot, *(self.after(snapshot.number) or [])]

    def snapshot(self) -> PackedMessage:
        """A whole state: the newest, or an earlier one that few bytes of entries lead on from."""
        kept = self.snapshot_kept
        if kept is not None and (tail := self.after(kept.number)) is not None:
            if size(tail) <= max(SMALL_DELTA_BYTES, len(kept.data) // 4):
                return kept
        number, state = self.now()
        if number != self.newest:
            self.restart(number)
        self.snapshot_kept = PackedMessage(
            number, "state", pack(["state", number, state.to_wire(history=False)])
        )
        return self.snapshot_kept


def size(messages: list[PackedMessage]) -> int:
    return sum(len(each.data) for each in messages)
