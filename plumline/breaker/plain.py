"""Settings of a breaker whose owner has no classes of calls."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlainAim:
    """The single class of calls of such an owner."""

    aim: int  # us


@dataclass(frozen=True, slots=True)
class PlainSettings:
    """Implements BreakerSettings. `least_aim_us` gives the initial estimate of the time of a call: no call is
    overdue before a quarter of it. Raises a ValueError that names the field if a value is out of range.
    """

    least_aim_us: int  # us, above 0
    fleet_size: int = 1  # callers that share the destinations, this one included
    cold: int = 0  # us of warm-up after an outage; 0: no warm-up
    cold_from: float = 1.0  # share of the capacity at the start of the warm-up, above 0, at most 1
    fall_multiple: float = 2.0  # multiple of the capacity at which the destination fails, above 0

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
        """The single class, with the smallest aim."""
        return (PlainAim(self.least_aim_us),)
