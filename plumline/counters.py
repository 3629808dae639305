"""Counts of what happened, by name; a summary of them is logged now and then."""

from collections.abc import Iterator, MutableMapping


class Counters:
    """Counts by name, from 0 at the start of the process."""

    __slots__ = ("_counts", "_told")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._told: dict[str, int] = {}

    def add(self, name: str, n: int = 1) -> None:
        """Counts `n` more."""
        self._counts[name] = self._counts.get(name, 0) + n

    def get(self, name: str) -> int:
        """The count; 0 if nothing was counted."""
        return self._counts.get(name, 0)

    def under(self, group: str) -> MutableMapping[str, int]:
        """The counts named GROUP.KEY as a mapping by KEY, for whoever counts in a plain one."""
        return CounterGroup(self._counts, f"{group}.")

    def snapshot(self) -> dict[str, int]:
        """All counts as they are now."""
        return dict(self._counts)

    def lines(self) -> list[str]:
        """A line for each count that has changed since the last call, by name."""
        found = [
            f"counter={name} total={count} change={count - self._told.get(name, 0)}"
            for name, count in sorted(self._counts.items())
            if count != self._told.get(name, 0)
        ]
        self._told = dict(self._counts)
        return found


class CounterGroup(MutableMapping[str, int]):
    """The counts whose names begin with `prefix`, by what follows it; a view, not a copy."""

    __slots__ = ("_counts", "_prefix")

    def __init__(self, counts: dict[str, int], prefix: str) -> None:
        self._counts, self._prefix = counts, prefix

    def __getitem__(self, key: str) -> int:
        return self._counts[self._prefix + key]

    def __setitem__(self, key: str, count: int) -> None:
        self._counts[self._prefix + key] = count

    def __delitem__(self, key: str) -> None:
        del self._counts[self._prefix + key]

    def __iter__(self) -> Iterator[str]:
        return (name.removeprefix(self._prefix) for name in self._counts if name.startswith(self._prefix))

    def __len__(self) -> int:
        return sum(name.startswith(self._prefix) for name in self._counts)
