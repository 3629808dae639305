"""What must hold of leases, whatever happens to their holders: observed from outside, moment by moment."""

from collections.abc import Iterable
from dataclasses import dataclass

from plumline.coordination.lease import LeaseDurations
from tests.core_register import ViolationError

TOLERANCE_S = 1e-6  # of sums of floats


@dataclass(frozen=True, slots=True)
class Holder:
    """One life of one machine's process."""

    name: str
    life: int


@dataclass(slots=True)
class Tenure:
    holder: Holder
    fence: int
    last_act: float  # the last moment at which the holder might have acted


class LeaseObserver:
    """Checks one lease: one holder at a moment, rising fences, and the rest between two holders."""

    def __init__(self, name: str, terms: LeaseDurations) -> None:
        self.name, self.terms = name, terms
        self.tenure: Tenure | None = None
        self.owners: dict[int, Holder] = {}
        self.turns = 0  # changes of the holding machine

    def observe(self, now: float, holders: Iterable[tuple[Holder, int]]) -> None:
        """`holders`: each process that might act now, with its fence."""
        present = list(holders)
        if len(present) > 1:
            raise ViolationError(f"two holders of {self.name}: {present}")
        if present:
            self.holds(now, *present[0])

    def holds(self, now: float, holder: Holder, fence: int) -> None:
        if self.owners.setdefault(fence, holder) != holder:
            raise ViolationError(f"fence {fence} of {self.name}: {self.owners[fence]} and {holder}")
        before = self.tenure
        if before and fence < before.fence:
            raise ViolationError(f"fence {fence} of {self.name} after {before.fence}")
        if before and holder.name != before.holder.name:
            self.turns += 1
            rested = now - before.last_act
            if rested < self.terms.lock_delay_s - TOLERANCE_S:
                raise ViolationError(f"{self.name}: {holder} {rested:.3f} s after {before.holder}")
        self.tenure = Tenure(holder, fence, now)
