"""Random schedules in which entire zones are killed, cut off or wiped, and single machines at other times.

At any moment, either at most `losses` places are lost, or all lost places are in one zone.
"""

from collections import Counter
from enum import StrEnum
from typing import Any

from plumline.coordination.core import CoreConfig
from plumline.coordination.loss_tolerance import FailureDomain, LossTolerance
from tests.core_tolerance import Fault, ToleranceSchedule
from tests.core_world import Node, short_logs


class ZoneFault(StrEnum):
    KILL = "zone-kill"
    CUT = "zone-cut"
    WIPE = "zone-wipe"


class ZoneSchedule(ToleranceSchedule):
    """`layout`: one letter per machine, its zone. One zone or `losses` machines may be lost at once."""

    def __init__(self, seed: int, layout: str, *, losses: int = 1, **kwargs: Any) -> None:  # noqa: ANN401
        self.layout = dict(zip("abcdefgh", layout, strict=False))
        super().__init__(seed, len(layout), losses=losses, **kwargs)
        self.tolerance = LossTolerance(losses, 1)

    def domain(self, name: str) -> FailureDomain:
        return FailureDomain(self.layout[name[0]], "r")

    def config(self, node: Node) -> CoreConfig:
        return CoreConfig(
            node.member, self.seeds, self.copies, self.first_start, self.leases, self.domain(node.name), 1
        )

    def tolerates(self, *more: Any) -> bool:  # noqa: ANN401
        lost = {place for place in self.places if place.lost_machines(self.now)} | set(more)
        machines = sum(max(place.lost_machines(self.now), 1) for place in lost)
        zones = {self.domain(place.name).zone for place in lost}
        return machines <= self.losses or len(zones) <= 1

    def lost_copies(self) -> int:
        return super().lost_copies() + (1 if self.lost_places() else 0)

    def inject_random_fault(self) -> None:
        if self.faults_enabled and self.random.random() < 0.5:
            self.at(self.random.expovariate(self.faults_per_s), self.inject_random_fault)
            self.lose_zone()
        else:
            super().inject_random_fault()

    def lose_zone(self) -> None:
        zone = self.random.choice(sorted(set(self.layout.values())))
        places = [place for place in self.places if self.domain(place.name).zone == zone]
        if any(place.lost(self.now) for place in self.places) or any(
            place.replacing for place in self.places
        ):
            return
        if (
            any(place.predecessor_lost_until > self.now for place in self.places)
            or self.is_tolerance_exceeded()
        ):
            return
        kind = self.random.choice(list(ZoneFault))
        self.counts[kind] += 1
        for place in places:
            if kind is ZoneFault.CUT:
                self.cut_off(place, Fault.CUT)
                continue
            if kind is ZoneFault.WIPE:
                self.wipe(self.nodes[place.name])
            self.kill(place, self.random.choice([0.01, 0.5, 2.0, 6.0]))

    def is_restored(self) -> bool:
        view, names = self.newest, {place.name for place in self.places}
        if {address for address, _ in view.chain} != names:
            return False
        domains = [self.domain(address) for address, _ in view.acceptors]
        return self.tolerance.leaves_a_majority(domains)


def explore_zones(numbers: range, layout: str, *, seconds: float = 8.0, **kwargs: Any) -> Counter[str]:  # noqa: ANN401
    """Runs a schedule with each number as its seed, and counts the events in them."""
    counts: Counter[str] = Counter()
    with short_logs():
        for seed in numbers:
            schedule = ZoneSchedule(seed, layout, **kwargs)
            schedule.run(seconds)
            counts += schedule.counts
            counts["schedules"] += 1
    return counts
