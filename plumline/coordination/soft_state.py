"""Soft state that travels whole: the newest by number wins, and nothing of it is on a disk.

A number is (term of the lease under which it was told, count within it).
"""

from dataclasses import dataclass
from typing import Any

Version = tuple[int, int]


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """What a topic holds, and its number."""

    number: Version
    payload: Any


class SoftState:
    """The newest that this process knows of each topic."""

    def __init__(self) -> None:
        self.told: dict[str, VersionedValue] = {}

    def offer(self, name: str, number: Version, payload: Any) -> bool:  # noqa: ANN401
        """Takes it if it is newer than what is known; whether it was."""
        known = self.told.get(name)
        if known is not None and known.number >= number:
            return False
        self.told[name] = VersionedValue(number, payload)
        return True

    def payload(self, name: str) -> Any:  # noqa: ANN401
        """None if nothing was told."""
        return self.told[name].payload if name in self.told else None

    def next_number(self, name: str, term: int) -> Version | None:
        """The number under which the holder of the lease of this term tells the topic next. None if somebody
        has told it under a later term: this one is over, whatever its holder's clock says."""
        known = self.told.get(name)
        if known is None or known.number[0] < term:
            return term, 1
        if known.number[0] > term:
            return None
        return term, known.number[1] + 1

    def messages(self) -> list[list[Any]]:
        """A message for each topic that is known."""
        return [["topic", name, list(each.number), each.payload] for name, each in self.told.items()]
