"""Event counters by name; each process logs the changed ones every few seconds."""

from collections.abc import Iterator, MutableMapping


class Counters:
    """Counters by name, which start at 0 with the process."""

    __slots__ = ("_counts", "_last_reported")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._last_reported: dict[str, int] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter."""
        self._counts[name] = self._counts.get(name, 0) + count

    def get(self, name: str) -> int:
        """The value of the counter; 0 if it does not exist."""
        return self._counts.get(name, 0)

    def group(self, name: str) -> MutableMapping[str, int]:
        """The counters named NAME.KEY as a mapping by KEY, for code that counts in a plain mapping."""
        return CounterGroup(self._counts, f"{name}.")

    def snapshot(self) -> dict[str, int]:
        """A copy of all counters."""
        return dict(self._counts)

    def changed_lines(self) -> list[str]:
        """A log line for each counter that has changed since the last call, sorted by name."""
        lines = [
            f"counter={name} total={count} change={count - self._last_reported.get(name, 0)}"
            for name, count in sorted(self._counts.items())
            if count != self._last_reported.get(name, 0)
        ]
        self._last_reported = dict(self._counts)
        return lines


class CounterGroup(MutableMapping[str, int]):
    """The counters whose names begin with `prefix`, keyed by the rest of the name; a view, not a copy."""

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
