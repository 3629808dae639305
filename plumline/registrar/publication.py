"""What a singleton role last published as soft state, and whether its present value has to be published.

A value counts as published only under the term that published it: routers keep the value of the highest term,
so one that an earlier holder published in between would otherwise stay in force.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

REPUBLISH_INTERVAL_S = 5.0  # an unchanged value is published again after this

Value = TypeVar("Value")


@dataclass(slots=True)
class PublicationRecord(Generic[Value]):
    """The last publication; `value` is None while there was none under the present term."""

    term: int | None = None  # of the lease; None: published without it
    value: Value | None = None
    published_at: float = 0.0  # s, steady

    def is_due(self, now: float, term: int | None, value: Value) -> bool:
        """Whether the value has to be published under this term at `now` (s, steady)."""
        if self.value is None or term != self.term or value != self.value:
            return True
        return now >= self.published_at + REPUBLISH_INTERVAL_S

    def record(self, now: float, term: int | None, value: Value) -> None:
        """The value was published under this term."""
        self.term, self.value, self.published_at = term, value, now

    def forget(self) -> None:
        """Makes the next value due, whatever it is."""
        self.value = None
