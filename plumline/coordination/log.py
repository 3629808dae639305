"""The entries that a member of the chain holds in memory: consecutive, and bounded by count and bytes."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

import ormsgpack


@dataclass(frozen=True, slots=True)
class Entry:
    """A change in its place. `end`: bytes of all changes that the log ever took, up to this one."""

    number: int
    change: list[Any]
    size: int
    end: int


class ReplicationLog:
    def __init__(self) -> None:
        self.entries: deque[Entry] = deque()
        self.end = 0

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.entries)

    def append(self, number: int, change: list[Any]) -> Entry:
        size = len(ormsgpack.packb(change))
        self.end += size
        entry = Entry(number, change, size, self.end)
        self.entries.append(entry)
        return entry

    def clear(self) -> None:
        self.entries.clear()

    def drop_after(self, number: int) -> None:
        while self.entries and self.entries[-1].number > number:
            self.end -= self.entries.pop().size

    def trim(self, committed: int, most: int, most_bytes: int) -> None:
        """Lets the oldest committed entries go, until the rest is few and small enough."""
        while self.entries and self.entries[0].number <= committed:
            if len(self.entries) <= most and self.size() <= most_bytes:
                break
            self.entries.popleft()

    def size(self) -> int:
        """Bytes of the entries on the wire; in memory they take about four times as much."""
        return self.end - self.entries[0].end + self.entries[0].size if self.entries else 0

    def leads_on(self, number: int) -> bool:
        """Whether it holds the entry after `number`, so that it leads from there to its newest."""
        return bool(self.entries) and self.entries[0].number <= number + 1

    def between(self, after: int, last: int) -> Iterator[Entry]:
        """The entries whose numbers are above `after`, up to `last`."""
        if not self.entries:
            return iter(())
        first = self.entries[0].number
        return islice(self.entries, max(0, after + 1 - first), max(0, last + 1 - first))

    def bytes_between(self, after: int, last: int) -> int:
        return sum(each.size for each in self.between(after, last))
