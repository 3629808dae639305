"""Zones and regions as failure domains: placement of registrars, and recovery from the loss of zones."""

import itertools

import pytest

from plumline.coordination.core import CoreConfig
from plumline.coordination.loss_tolerance import (
    UNKNOWN_DOMAIN,
    FailureDomain,
    LossTolerance,
    select_spread_domains,
)
from plumline.errors import ToleranceUnattainableError
from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_world import Node, World
from tests.zone_schedule import explore_zones


def domains(layout: str) -> list[FailureDomain]:
    """One letter per registrar, its zone: x and y are in one region, z and w in another, v in a third."""
    return [FailureDomain(zone, {"x": "r", "y": "r", "z": "s", "w": "s", "v": "t"}[zone]) for zone in layout]


@pytest.mark.parametrize(
    ("layout", "tolerance", "worst", "majority"),
    [
        ("xxx", LossTolerance(1), 1, True),
        ("xxx", LossTolerance(1, 1), 3, False),
        ("xxy", LossTolerance(1, 1), 2, False),
        ("xyz", LossTolerance(1, 1), 1, True),
        ("xxyyz", LossTolerance(1, 1), 2, True),
        ("xxyyz", LossTolerance(2, 2), 4, False),
        ("xyz", LossTolerance(0, 0, 1), 2, False),
        ("xzv", LossTolerance(0, 0, 1), 1, True),
        ("x", LossTolerance(0), 0, True),
        ("", LossTolerance(1, 1), 0, False),
    ],
)
def test_the_worst_loss_is_of_machines_zones_or_regions(
    layout: str, tolerance: LossTolerance, worst: int, majority: bool
) -> None:
    assert tolerance.worst_loss(domains(layout)) == worst
    assert tolerance.leaves_a_majority(domains(layout)) is majority
    assert tolerance.leaves_a_replica(domains(layout)) is (worst < len(layout))


def test_registrars_without_a_reported_domain_count_as_one_zone() -> None:
    assert LossTolerance(1, 1).worst_loss([UNKNOWN_DOMAIN, UNKNOWN_DOMAIN, *domains("x")]) == 2


def test_attainable_tolerance_omits_losses_that_need_more_zones() -> None:
    tolerance = LossTolerance(1, 1, 1)
    assert tolerance.attainable(domains("xxyy")) == LossTolerance(1)
    assert tolerance.attainable(domains("xyz")) == LossTolerance(1, 1)
    assert tolerance.attainable(domains("xyzv")) == tolerance


def test_a_spread_takes_regions_and_their_zones_in_turn() -> None:
    assert sorted(select_spread_domains(domains("xxxyyzwv"), 5)) == sorted(domains("xyzwv"))
    assert sorted(select_spread_domains(domains("xxxxy"), 3)) == sorted(domains("xxy"))


class ZonedWorld(World):
    """Registrars a, b, c, ... in the zones of a layout; the first three are seeds."""

    def __init__(self, layout: str) -> None:
        self.layout = dict(zip("abcdefgh", layout, strict=False))
        super().__init__(1, len(layout), quiet=True, seeds=3)

    def config(self, node: Node) -> CoreConfig:
        [domain] = domains(self.layout[node.name[0]])
        return CoreConfig(node.member, self.seeds, 2, True, {}, domain, zone_losses=1)


def test_acceptors_that_began_in_one_zone_are_spread_one_exchange_a_view() -> None:
    world = ZonedWorld("xxyyz")
    world.settle("abcde", within=20.0)
    world.go(5.0)
    views = list(world.views.values())
    exchanged = [
        len(set(after.acceptors) - set(before.acceptors)) for before, after in itertools.pairwise(views)
    ]
    assert max(exchanged) == 1
    zones = [world.layout[address] for address, _ in world.newest.acceptors]
    assert sorted(zones) == ["x", "y", "z"]
    settled = len(world.views)
    world.go(10.0)
    assert len(world.views) == settled  # no further changes


def test_a_chain_within_one_zone_commits_nothing() -> None:
    world = ZonedWorld("xxyyz")
    world.settle("abcde", within=20.0)
    world.put(0)
    assert not world.nodes["a"].core.membership.chains.survives_losses(
        world.newest, tuple(world.nodes[name].member for name in "ab")
    )
    assert world.nodes["a"].core.membership.chains.survives_losses(
        world.newest, tuple(world.nodes[name].member for name in "ac")
    )


def test_too_few_zones_are_reported_and_the_core_still_serves() -> None:
    world = ZonedWorld("xxy")
    world.settle("abc")
    world.go(2.0)
    world.put(0)
    with pytest.raises(ToleranceUnattainableError) as caught:
        world.nodes["a"].core.check_tolerance()
    assert caught.value.code == "tolerance-unattainable"
    world = ZonedWorld("xyz")
    world.settle("abc")
    world.go(2.0)
    world.nodes["a"].core.check_tolerance()


@pytest.mark.parametrize(
    ("layout", "losses", "schedules"), [("xyz", 1, 25), ("xxyz", 1, 15), ("xxyyz", 2, 12), ("xxyyzz", 1, 12)]
)
def test_the_core_recovers_from_the_loss_of_a_zone(layout: str, losses: int, schedules: int) -> None:
    counts = explore_zones(range(schedules), layout, losses=losses)
    print(layout, losses, dict(counts))
    assert sum(count for kind, count in counts.items() if kind.startswith("zone-")) > schedules / 10
    assert counts["acknowledged"] > 5 * schedules


def test_schedules_detect_acceptors_that_are_not_spread() -> None:
    with pytest.raises(ViolationError):
        explore_zones(range(1, 20), "xxyyz", **mutation("NeverSpreadsAcceptors"))
