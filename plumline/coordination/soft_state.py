"""Versioned soft state: values replicated as a unit, with last writer wins, and never stored on disk.

A lease holder publishes a topic's value; every registrar and router keeps the value with the highest version.
A version is (term of the lease under which the value was published, count within that term), so a holder
whose term has ended can't overwrite the value of a later holder.
"""

from dataclasses import dataclass
from typing import Any

#: (lease term, count within the term); compared as a tuple.
Version = tuple[int, int]


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A topic's value, in the form that messages carry, with its version."""

    version: Version
    value: Any


class SoftState:
    """The newest known value of each topic."""

    def __init__(self) -> None:
        self.values: dict[str, VersionedValue] = {}  # by topic

    def update(self, topic: str, version: Version, value: Any) -> bool:  # noqa: ANN401
        """Store the value if its version is higher than the known one; return whether it was stored."""
        known = self.values.get(topic)
        if known is not None and known.version >= version:
            return False
        self.values[topic] = VersionedValue(version, value)
        return True

    def get(self, topic: str) -> Any:  # noqa: ANN401
        """Return the topic's value, or None if none is known."""
        return self.values[topic].value if topic in self.values else None

    def next_version(self, topic: str, term: int) -> Version | None:
        """Return the version under which the lease holder of this term publishes the topic next.

        None if the topic was published under a later term: then this term has ended, regardless of the
        holder's clock, and the holder must not publish.
        """
        known = self.values.get(topic)
        if known is None or known.version[0] < term:
            return term, 1
        if known.version[0] > term:
            return None
        return term, known.version[1] + 1

    def messages(self) -> list[list[Any]]:
        """Return one `topic` message for each known topic, for a peer that has none of them yet."""
        return [["topic", topic, list(known.version), known.value] for topic, known in self.values.items()]
