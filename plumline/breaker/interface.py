"""What a breaker reads from its owner. Times and durations are whole microseconds of the owner's clock."""

from collections.abc import Sequence
from typing import Protocol


class Aim(Protocol):
    """A class of calls."""

    @property
    def aim(self) -> int:
        """The latency aim for an answer, us, above 0."""


class BreakerSettings(Protocol):
    """Properties of the destinations and of the fleet that shares them."""

    @property
    def fleet_size(self) -> int:
        """Number of callers that share the destinations, this one included; 1 or more."""

    @property
    def cold(self) -> int:
        """Warm-up time of a destination after an outage, us; 0: no warm-up."""

    @property
    def cold_from(self) -> float:
        """Share of the capacity at the start of the warm-up, above 0, at most 1."""

    @property
    def fall_multiple(self) -> float:
        """Multiple of the current capacity, cold or warm, at which it fails; above 0 unless `cold` is 0."""

    @property
    def classes(self) -> Sequence[Aim]:
        """One or more; the smallest aim gives the initial estimate of the time of a call."""


class TimedCall(Protocol):
    """A call in flight."""

    @property
    def sent(self) -> int:
        """Its send time, us."""
