"""The publisher's buffer: the newest committed entries, packed, and one packed snapshot of the state.

Both are packed once and shared by all subscribers; a subscriber's queue holds references only.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.coordination.log import Change
from plumline.registrar.subscriber_messages import ENTRY_KIND, SNAPSHOT_KIND
from plumline.wire.frames import pack

MAX_BUFFERED_BYTES = 1024 * 1024  # of packed entries; a subscriber that is further behind gets a snapshot
SMALL_DELTA_BYTES = 16 * 1024  # up to this size entries are sent without packing a snapshot to compare with
MIN_SNAPSHOT_TO_DELTA_RATIO = 4  # a cached snapshot is reused while it has this many times the delta's bytes


@dataclass(frozen=True, slots=True)
class PackedMessage:
    """An encoded frame, ready to be sent."""

    index: int  # number of the newest entry that the receiver has after this message
    kind: str  # of the message, as on the wire
    data: bytes  # the encoded frame


class PublishBuffer:
    """Consecutive packed entries that end at `newest_index`, and the last snapshot that was packed."""

    def __init__(self, committed_state: Callable[[], tuple[int, ReplicatedConfiguration]]) -> None:
        """`committed_state()`: the number of the newest committed entry, and the state after it."""
        self.committed_state = committed_state
        self.newest_index = 0
        self.entries: deque[PackedMessage] = deque()
        self.size_bytes = 0  # of all entries
        self._cached_snapshot: PackedMessage | None = None

    def reset(self, index: int) -> None:
        """Drops all entries, as the entry of this number isn't known here."""
        self.newest_index = index
        self.entries.clear()
        self.size_bytes = 0

    def append(self, index: int, change: Change) -> None:
        """Packs the entry of this number; one that doesn't follow the newest resets the buffer."""
        if index != self.newest_index + 1:
            self.reset(index)
            return
        entry = PackedMessage(index, ENTRY_KIND, pack([ENTRY_KIND, index, change]))
        self.newest_index = index
        self.entries.append(entry)
        self.size_bytes += len(entry.data)
        while self.size_bytes > MAX_BUFFERED_BYTES:
            self.size_bytes -= len(self.entries.popleft().data)

    def entries_after(self, index: int) -> list[PackedMessage] | None:
        """The entries that lead from `index` to the newest; None if some are no longer buffered."""
        if index >= self.newest_index:
            return []
        count = self.newest_index - index
        if count > len(self.entries):
            return None
        return [self.entries[position] for position in range(len(self.entries) - count, len(self.entries))]

    def messages_after(self, index: int) -> list[PackedMessage]:
        """The messages that bring a subscriber from `index` to the newest entry, in few bytes."""
        delta = self.entries_after(index)
        if delta is not None:
            delta_bytes = total_bytes(delta)
            if delta_bytes <= SMALL_DELTA_BYTES or delta_bytes <= len(self.snapshot().data):
                return delta
        snapshot = self.snapshot()
        return [snapshot, *(self.entries_after(snapshot.index) or [])]

    def snapshot(self) -> PackedMessage:
        """A snapshot of the newest state, or a cached earlier one after which few bytes of entries follow."""
        cached = self._cached_snapshot
        if cached is not None and self._is_near_newest(cached):
            return cached
        index, state = self.committed_state()
        if index != self.newest_index:
            self.reset(index)
        data = pack([SNAPSHOT_KIND, index, state.to_wire(history=False)])
        self._cached_snapshot = PackedMessage(index, SNAPSHOT_KIND, data)
        return self._cached_snapshot

    def _is_near_newest(self, snapshot: PackedMessage) -> bool:
        """Whether few bytes of entries follow it: packing a new one would cost more than sending them."""
        delta = self.entries_after(snapshot.index)
        if delta is None:
            return False
        return total_bytes(delta) <= max(SMALL_DELTA_BYTES, len(snapshot.data) // MIN_SNAPSHOT_TO_DELTA_RATIO)


def total_bytes(messages: list[PackedMessage]) -> int:
    """The total size of the messages' frames."""
    return sum(len(message.data) for message in messages)
