"""Settings of a breaker whose owner has no classes of its own to tell."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlainAim:
    """The one class of calls of such an owner."""

    aim: int  # us


@dataclass(frozen=True, slots=True)
class PlainSettings:
    """A BreakerSettings. `least_aim_us` is the first guess of how long a call may take: a call is overdue
    after a quarter of it at the soonest. Raises ValueError, which names the field that is out of its range.
    """

    least_aim_us: int  # us, above 0
    fleet_size: int = 1  # how many share the destinations, this one included
    cold: int = 0  # us from an outage's end to a warm destination; 0: none needs to warm up
    cold_from: float = 1.0  # share of the capacity just after the outage, above 0, at most 1
    fall_multiple: float = 2.0  # multiple of the capacity at which the destination falls over, above 0

    def __post_init__(self) -> None:
        for name in ("least_aim_us", "fleet_size", "fall_multiple"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0, not {getattr(self, name)}")
        if self.cold < 0:
            raise ValueError(f"cold must not be negative, not {self.cold}")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from must be a share above 0, not {self.cold_from}")

    @property
    def classes(self) -> tuple[PlainAim, ...]:
        """One class, with the least aim."""
        return (PlainAim(self.least_aim_us),)
