"""The publisher's buffer: the newest committed entries, packed, and one packed snapshot of the whole state.

Both are packed once and shared by all subscribers; a subscriber's queue holds references only.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline.configuration.state import State
from plumline.wire.frames import pack

MAX_BUFFERED_BYTES = 1024 * 1024  # of packed entries; a subscriber that is further behind gets a snapshot
SMALL_DELTA_BYTES = 16 * 1024  # entries of no more bytes are sent without packing a snapshot to compare with


@dataclass(frozen=True, slots=True)
class PackedMessage:
    """A frame that is ready to be sent."""

    offset: int  # number of the entry up to which the receiver is complete once it has this message
    kind: str  # of the message, as on the wire
    data: bytes  # the whole frame


class PublishBuffer:
    """Consecutive entries that end at `newest_offset`, and the last snapshot that was packed."""

    def __init__(self, committed_state: Callable[[], tuple[int, State]]) -> None:
        """`committed_state()`: the number of the newest committed entry, and the state after it."""
        self.committed_state = committed_state
        self.newest_offset = 0
        self.entries: deque[PackedMessage] = deque()
        self.size_bytes = 0  # of all entries
        self._cached_snapshot: PackedMessage | None = None

    def reset(self, offset: int) -> None:
        """Drops all entries: the one that led to the state at `offset` isn't known here."""
        self.newest_offset = offset
        self.entries.clear()
        self.size_bytes = 0

    def append(self, offset: int, change: list[Any]) -> None:
        """Packs the entry of this number; one that doesn't follow the newest resets the buffer."""
        if offset != self.newest_offset + 1:
            self.reset(offset)
            return
        entry = PackedMessage(offset, "entry", pack(["entry", offset, change]))
        self.newest_offset = offset
        self.entries.append(entry)
        self.size_bytes += len(entry.data)
        while self.size_bytes > MAX_BUFFERED_BYTES:
            self.size_bytes -= len(self.entries.popleft().data)

    def entries_after(self, offset: int) -> list[PackedMessage] | None:
        """The entries that lead from `offset` to the newest; None if some are no longer buffered."""
        if offset >= self.newest_offset:
            return []
        count = self.newest_offset - offset
        if count > len(self.entries):
            return None
        return [self.entries[index] for index in range(len(self.entries) - count, len(self.entries))]

    def messages_after(self, offset: int) -> list[PackedMessage]:
        """What takes a subscriber from `offset` to the newest entry in the fewest bytes."""
        delta = self.entries_after(offset)
        if delta is not None:
            delta_bytes = total_bytes(delta)
            if delta_bytes <= SMALL_DELTA_BYTES or delta_bytes <= len(self.snapshot().data):
                return delta
        snapshot = self.snapshot()
        return [snapshot, *(self.entries_after(snapshot.offset) or [])]

    def snapshot(self) -> PackedMessage:
        """A whole state: the newest, or a cached earlier one that few bytes of entries lead on from."""
        cached = self._cached_snapshot
        if cached is not None and (delta := self.entries_after(cached.offset)) is not None:
            if total_bytes(delta) <= max(SMALL_DELTA_BYTES, len(cached.data) // 4):
                return cached
        offset, state = self.committed_state()
        if offset != self.newest_offset:
            self.reset(offset)
        data = pack(["state", offset, state.to_wire(history=False)])
        self._cached_snapshot = PackedMessage(offset, "state", data)
        return self._cached_snapshot


def total_bytes(messages: list[PackedMessage]) -> int:
    """The size of the messages' frames together."""
    return sum(len(message.data) for message in messages)
