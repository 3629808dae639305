"""What a breaker reads of its owner. Times and durations are whole microseconds of the owner's own clock."""

from collections.abc import Sequence
from typing import Protocol


class Aim(Protocol):
    """A class of calls."""

    @property
    def aim(self) -> int:
        """Within which an answer is wanted, us, above 0."""


class BreakerSettings(Protocol):
    """What a breaker's owner knows of the destinations and of those who share them."""

    @property
    def fleet_size(self) -> int:
        """How many share the destinations, this one included; 1 or more."""

    @property
    def cold(self) -> int:
        """A destination back from an outage is warm after this, us; 0 where none needs to warm up."""

    @property
    def cold_from(self) -> float:
        """The share of its capacity at which it starts, above 0, at most 1."""

    @property
    def fall_multiple(self) -> float:
        """The multiple of its capacity, cold or warm, at which it falls over; above 0 unless `cold` is 0."""

    @property
    def classes(self) -> Sequence[Aim]:
        """One or more; the least aim is the first guess of how long a call takes."""


class TimedCall(Protocol):
    """A call that is out."""

    @property
    def sent(self) -> int:
        """When it went, us."""
