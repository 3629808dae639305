"""Counts of what happened, by name; a summary of them is logged now and then."""


class Counters:
    __slots__ = ("_counts", "_told")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._told: dict[str, int] = {}

    def add(self, name: str, n: int = 1) -> None:
        self._counts[name] = self._counts.get(name, 0) + n

    def get(self, name: str) -> int:
        return self._counts.get(name, 0)

    def snapshot(self) -> dict[str, int]:
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
