"""Roll-outs in a simulated fleet: good versions complete in time, bad ones are reverted within limits."""

from collections.abc import Callable

import pytest

from plumline.configuration.service_rollouts import RolloutStage, StartRollout
from plumline.routing.fleet_state import ListedEndpoint
from tests.rollout_simulation import NEW, ROUTERS, SimulatedFleet

SEEDS = range(8)
ROLLBACK_S = 5.0  # time from a bad version's 50th bad answer until it gets no more requests
Answers = Callable[[ListedEndpoint, str, float], float]


def healthy(endpoint: ListedEndpoint, route: str, now: float) -> float:
    return 0.01


def bad(share: float = 0.5, on: str = "", since: float = 0.0) -> Answers:
    """A new version that gives this share of bad answers, on one route or all, from `since` on."""

    def answers(endpoint: ListedEndpoint, route: str, now: float) -> float:
        return share if endpoint.version == NEW and on in ("", route) and now >= since else 0.01

    return answers


def faulty_endpoint(endpoint: ListedEndpoint, route: str, now: float) -> float:
    """Every seventh endpoint of either version fails 40 % of its requests."""
    return 0.4 if int(endpoint.id.rpartition("-")[2]) % 7 == 0 else 0.01


def burst_of_faults(endpoint: ListedEndpoint, route: str, now: float) -> float:
    """For four seconds 30 % of all answers are bad, at endpoints of both versions."""
    return 0.3 if 4.0 < now < 8.0 else 0.01


GOOD = {"sound": healthy, "faulty endpoints": faulty_endpoint, "burst of faults": burst_of_faults}
BAD = {
    "half fails": bad(),
    "a quarter fails": bad(0.25),
    "one route": bad(on="long"),
    "late": bad(since=5.0),
    "late, after the canary stage": bad(since=8.5),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", GOOD)
def test_a_good_version_is_completed_by_the_deadline(name: str, seed: int) -> None:
    fleet = SimulatedFleet(GOOD[name], seed=seed)
    fleet.run()
    assert fleet.stage is RolloutStage.COMPLETED
    assert fleet.now < fleet.duration_s
    assert [stage for _, stage in fleet.history] == [
        RolloutStage.CANARY,
        RolloutStage.GROWING,
        RolloutStage.HOLDING,
        RolloutStage.COMPLETED,
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", BAD)
def test_a_bad_version_is_reverted_within_the_exposure_that_is_allowed(name: str, seed: int) -> None:
    fleet = SimulatedFleet(BAD[name], seed=seed)
    fleet.run()
    assert fleet.stage is RolloutStage.REVERTED
    assert fleet.now < fleet.duration_s
    assert fleet.exposed <= fleet.allowed_exposure()
    for _ in range(60):  # no further request reaches it
        fleet.step()
    if fleet.bad_50_at is not None:
        assert fleet.last_exposed_at <= fleet.bad_50_at + ROLLBACK_S


def test_without_a_controller_nothing_reaches_the_new_version() -> None:
    fleet = SimulatedFleet(bad())
    fleet.environment.term = None
    fleet.run(until=20.0)
    assert (fleet.stage, fleet.exposed) == (RolloutStage.ANNOUNCED, 0)


@pytest.mark.parametrize("at", [2.5, 5.0, 8.0, 9.0, 10.0])
def test_a_controller_that_is_cut_off_leaves_the_new_version_no_requests(at: float) -> None:
    fleet = SimulatedFleet(healthy)
    fleet.run(until=at)
    fleet.environment.term = None
    exposed_until = fleet.now + 2.0 + 0.2  # a grant's duration, plus a margin
    fleet.run(until=at + 6.0)
    assert fleet.last_exposed_at <= exposed_until


@pytest.mark.parametrize("at", [1.0, 2.5, 5.0, 8.0, 9.0, 10.0])
@pytest.mark.parametrize("answers", [healthy, bad(since=6.0)], ids=["good", "bad"])
def test_the_next_controller_goes_on_from_the_record(answers: Answers, at: float) -> None:
    """It has all reports, as every registrar has. For 1.5 s between the two there is no controller."""
    fleet = SimulatedFleet(answers)
    fleet.run(until=at)
    if not fleet.stage.running:
        return
    fleet.environment.term = None
    fleet.run(until=at + 1.5)
    fleet.environment.term = 2
    fleet.run()
    assert fleet.stage is (RolloutStage.COMPLETED if answers is healthy else RolloutStage.REVERTED)
    assert fleet.now < fleet.duration_s
    if answers is not healthy:
        assert fleet.exposed <= fleet.allowed_exposure()


@pytest.mark.parametrize("at", [1.0, 2.5, 5.0, 8.0, 9.0, 10.0])
def test_a_controller_that_knows_nothing_but_the_record_ends_the_roll_out(at: float) -> None:
    """As after a power loss of all registrars: the reports are lost, and the time since the start of the
    roll-out is the one in the last record."""
    fleet = SimulatedFleet(healthy)
    fleet.run(until=at)
    fleet.steering, fleet.tallies = fleet.new_steering(), {}
    fleet.environment.term = 2
    fleet.run()
    assert fleet.stage is RolloutStage.COMPLETED


def test_a_decision_that_is_not_recorded_is_repeated_and_has_no_effect() -> None:
    fleet = SimulatedFleet(healthy)
    fleet.environment.can_record = False
    fleet.run(until=14.0)
    assert (fleet.stage, fleet.exposed) == (RolloutStage.ANNOUNCED, 0)
    fleet.environment.can_record = True
    fleet.run()
    assert fleet.stage is RolloutStage.COMPLETED


def test_a_bad_version_gets_nothing_while_its_end_cannot_be_recorded() -> None:
    fleet = SimulatedFleet(bad())
    fleet.run(until=2.1)
    fleet.environment.can_record = False
    fleet.run(until=12.0)
    assert fleet.stage is RolloutStage.CANARY
    assert 0 < fleet.last_exposed_at < 6.0
    assert not fleet.grants
    fleet.environment.can_record = True
    fleet.run()
    assert fleet.stage is RolloutStage.REVERTED


def test_a_roll_out_whose_endpoints_are_never_listed_is_reverted_in_the_end() -> None:
    fleet = SimulatedFleet(healthy)
    fleet.new = []
    fleet.run()
    assert (fleet.stage, fleet.exposed) == (RolloutStage.REVERTED, 0)


def test_completion_waits_for_a_router_that_is_cut_off_until_the_deadline_is_near() -> None:
    """It may still run requests at endpoints of the old version, which stop when the roll-out completes."""
    fleet = SimulatedFleet(healthy)
    fleet.cut_off_routers = {ROUTERS[0]}
    fleet.run()
    assert fleet.stage is RolloutStage.COMPLETED
    assert 0.88 * fleet.duration_s <= fleet.now < fleet.duration_s


def test_a_second_roll_out_starts_without_earlier_state() -> None:
    fleet = SimulatedFleet(bad())
    fleet.run()
    assert fleet.stage is RolloutStage.REVERTED
    fleet.rollouts = fleet.rollouts.with_start(StartRollout("s", "v3", 15.0))
    fleet.run(until=fleet.now + 3.0)
    assert fleet.stage is RolloutStage.ANNOUNCED  # no endpoint of v3 is listed, and those of v2 don't count
    assert not fleet.grants


def test_few_requests_are_enough_for_a_verdict_by_the_deadline() -> None:
    for seed in SEEDS:
        fleet = SimulatedFleet(healthy, seed=seed, rate=40.0, endpoints=8)
        fleet.run()
        assert fleet.stage is RolloutStage.COMPLETED
        assert fleet.now < fleet.duration_s


# Guards against routers that get the completion late: without a grant they send to endpoints that stop.
def test_the_grant_outlasts_a_completion_but_not_a_revert() -> None:
    fleet = SimulatedFleet(healthy)
    fleet.run()
    assert fleet.stage is RolloutStage.COMPLETED
    for _ in range(30):
        fleet.step()
        assert (fleet.grants["s"].stage, fleet.grants["s"].share) == (RolloutStage.HOLDING, 1.0)
        assert fleet.now < fleet.granted_at + 1.0
    for _ in range(30):
        fleet.step()
    assert not fleet.grants
    reverted = SimulatedFleet(bad())
    reverted.run()
    assert reverted.stage is RolloutStage.REVERTED
    assert not reverted.grants


@pytest.mark.parametrize("endpoints", [1, 2, 3])
@pytest.mark.parametrize("answers", [healthy, bad()], ids=["good", "bad"])
def test_a_service_of_few_endpoints_is_rolled_out_too(answers: Answers, endpoints: int) -> None:
    fleet = SimulatedFleet(answers, endpoints=endpoints)
    fleet.run()
    assert fleet.stage is (RolloutStage.COMPLETED if answers is healthy else RolloutStage.REVERTED)
    assert fleet.now < fleet.duration_s
