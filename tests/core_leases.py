"""Invariants of leases, checked at each step of a simulation by an observer of all nodes."""

from collections.abc import Iterable
from dataclasses import dataclass

from plumline.coordination.lease import LeaseDurations
from tests.core_register import ViolationError

TOLERANCE_S = 1e-6  # for rounding errors of float sums


@dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of one machine's process."""

    name: str
    incarnation: int


@dataclass(slots=True)
class Tenure:
    holder: Holder
    fencing_token: int
    last_act: float  # the last moment at which the holder was allowed to act


class LeaseObserver:
    """Checks one lease: one holder at a time, rising fencing tokens, the lock delay between two holders."""

    def __init__(self, name: str, durations: LeaseDurations) -> None:
        self.name, self.durations = name, durations
        self.tenure: Tenure | None = None
        self.holder_of_token: dict[int, Holder] = {}
        self.holder_changes = 0  # changes of the holding machine

    def observe(self, now: float, holders: Iterable[tuple[Holder, int]]) -> None:
        """`holders`: each process that may act now, with its fencing token."""
        present = list(holders)
        if len(present) > 1:
            raise ViolationError(f"two holders of {self.name}: {present}")
        if present:
            self.record_holder(now, *present[0])

    def record_holder(self, now: float, holder: Holder, token: int) -> None:
        if self.holder_of_token.setdefault(token, holder) != holder:
            raise ViolationError(f"token {token} of {self.name}: {self.holder_of_token[token]} and {holder}")
        previous = self.tenure
        if previous and token < previous.fencing_token:
            raise ViolationError(f"token {token} of {self.name} after {previous.fencing_token}")
        if previous and holder.name != previous.holder.name:
            self.holder_changes += 1
            unheld_s = now - previous.last_act
            if unheld_s < self.durations.lock_delay_s - TOLERANCE_S:
                raise ViolationError(f"{self.name}: {holder} {unheld_s:.3f} s after {previous.holder}")
        self.tenure = Tenure(holder, token, now)
