"""The replicated log in a replica's memory: consecutive entries, bounded by count and bytes."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

import ormsgpack

Change = list[Any]  # the change's kind, then its fields, as the replicated state expects them


@dataclass(frozen=True, slots=True)
class Entry:
    """A change and its position in the log."""

    index: int
    change: Change
    size: int  # of the packed change, in bytes
    end_offset: int  # bytes of all changes appended to this log up to and including this one


class ReplicationLog:
    """The newest entries; older ones are trimmed once they are committed."""

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque()
        self._end_offset = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries)

    def append(self, index: int, change: Change) -> Entry:
        """Add the entry; `index` must be the one after the newest entry's."""
        size = len(ormsgpack.packb(change))
        self._end_offset += size
        entry = Entry(index, change, size, self._end_offset)
        self._entries.append(entry)
        return entry

    def clear(self) -> None:
        """Remove all entries; the next one may have any index."""
        self._entries.clear()

    def truncate_after(self, index: int) -> None:
        """Remove the entries above `index`."""
        while self._entries and self._entries[-1].index > index:
            self._end_offset -= self._entries.pop().size

    def trim(self, committed_index: int, max_entries: int, max_bytes: int) -> None:
        """Remove the oldest entries while either limit is exceeded, but none above `committed_index`."""
        while self._entries and self._entries[0].index <= committed_index:
            if len(self._entries) <= max_entries and self.size_bytes() <= max_bytes:
                break
            self._entries.popleft()

    def size_bytes(self) -> int:
        """Return the packed size of all entries; in memory they take about four times as much."""
        if not self._entries:
            return 0
        oldest = self._entries[0]
        return self._end_offset - oldest.end_offset + oldest.size

    def continues_from(self, index: int) -> bool:
        """Whether it has all entries after `index`, so that a replica with those up to it can continue."""
        return bool(self._entries) and self._entries[0].index <= index + 1

    def between(self, after: int, through: int) -> Iterator[Entry]:
        """Return the entries whose indices are above `after`, up to and including `through`."""
        if not self._entries:
            return iter(())
        first = self._entries[0].index
        return islice(self._entries, max(0, after + 1 - first), max(0, through + 1 - first))

    def batch(self, after: int, through: int, max_bytes: int) -> list[Entry]:
        """Return the first of these entries whose packed size fits into `max_bytes`, but at least one."""
        entries: list[Entry] = []
        total = 0
        for entry in self.between(after, through):
            total += entry.size
            if total > max_bytes and entries:
                break
            entries.append(entry)
        return entries

    def bytes_between(self, after: int, through: int) -> int:
        """Return the packed size of these entries."""
        return sum(entry.size for entry in self.between(after, through))
