"""Disables each safeguard of a roll-out in turn: the simulated fleet, or the record, then shows the fault."""

from dataclasses import replace
from unittest.mock import patch

import pytest

from plumline.configuration.service_rollouts import (
    AdvanceRollout,
    RolloutRecord,
    RolloutStage,
    ServiceRollouts,
    StartRollout,
)
from plumline.registrar.service_rollout import controller as controller_module
from plumline.registrar.service_rollout import evidence as evidence_module
from plumline.registrar.service_rollout import verdict as verdict_module
from plumline.routing.fleet_state import ListedEndpoint
from tests import rollout_simulation
from tests.rollout_simulation import NEW, ROUTERS, SimulatedFleet
from tests.test_service_rollout_steering import bad, burst_of_faults, healthy

SEEDS = range(12)


def test_without_grant_expiry_a_version_gets_requests_while_its_controller_is_cut_off() -> None:
    with patch.object(rollout_simulation, "GRANT_DURATION_S", 1e9):
        fleet = SimulatedFleet(healthy)
        fleet.run(until=5.0)
        fleet.environment.term = None
        fleet.run(until=11.0)
    assert fleet.last_exposed_at > 10.0


def test_without_the_bound_on_canaries_a_bad_version_exceeds_its_exposure() -> None:
    """It turns bad at the end of the canary stage, so that the entire stage counts as exposure."""
    with (
        patch.object(controller_module, "CANARY_SHARE", 8.0),
        patch.object(controller_module, "MIN_CANARIES", 30),
    ):
        fleets = [SimulatedFleet(bad(since=7.5), seed=seed) for seed in SEEDS]
        for fleet in fleets:
            fleet.run()
    assert any(fleet.exposed > fleet.allowed_exposure() for fleet in fleets)


def test_without_testing_the_other_endpoints_one_faulty_endpoint_reverts_its_version() -> None:
    def one_fails(endpoint: ListedEndpoint, route: str, now: float) -> float:
        return 0.9 if endpoint.id in canaries[:1] else 0.01

    canaries: list[str] = []
    first = SimulatedFleet(healthy)
    first.run(until=3.0)
    canaries += first.grants["s"].endpoints or ()
    guarded, unguarded = SimulatedFleet(one_fails), SimulatedFleet(one_fails)
    guarded.run()
    with patch.object(verdict_module, "REST_THRESHOLD", -1e9):
        unguarded.run()
    assert guarded.stage is RolloutStage.COMPLETED
    assert guarded.now < guarded.duration_s
    assert unguarded.stage is RolloutStage.REVERTED


def test_without_the_versions_in_service_a_burst_of_faults_reverts_a_good_version() -> None:
    with patch.object(evidence_module, "estimated_rate", lambda *tallies: 0.02):
        fleet = SimulatedFleet(burst_of_faults)
        fleet.run()
    assert fleet.stage is RolloutStage.REVERTED


def test_without_the_rate_since_the_last_sample_the_start_of_a_burst_reverts_good_versions() -> None:
    def rate_over_all_answers(*tallies: evidence_module.Tally) -> float:
        return max(0.02, (tallies[0].bad + 0.2) / (tallies[0].answers + 10))

    with patch.object(evidence_module, "estimated_rate", rate_over_all_answers):
        fleets = [SimulatedFleet(burst_of_faults, seed=seed) for seed in range(40)]
        for fleet in fleets:
            fleet.run()
    assert any(fleet.stage is RolloutStage.REVERTED for fleet in fleets)


def test_without_tests_per_route_a_fault_of_one_route_is_found_late_or_not() -> None:
    def all_routes_only(evidence: evidence_module.EvidenceTable) -> list[verdict_module.ScopeEvidence]:
        return [each for each in by_scope(evidence) if each.scope is evidence_module.ALL_ROUTES]

    by_scope = verdict_module._by_scope
    without_routes, with_routes = (
        SimulatedFleet(bad(0.6, on="long"), seed=3),
        SimulatedFleet(bad(0.6, on="long"), seed=3),
    )
    with_routes.run()
    with patch.object(verdict_module, "_by_scope", all_routes_only):
        without_routes.run()
    assert with_routes.stage is RolloutStage.REVERTED
    assert without_routes.now > with_routes.now


def test_without_waiting_for_all_routers_requests_run_at_endpoints_that_stop() -> None:
    with patch.object(controller_module, "_all_routers_switched", lambda live_routers, reported: True):
        fleet = SimulatedFleet(healthy)
        fleet.cut_off_routers = {ROUTERS[0]}  # it continues to send to the old version
        fleet.run()
    assert fleet.now < 0.88 * fleet.duration_s


@pytest.mark.parametrize("guard", ["none", "term", "order"])
def test_without_term_or_order_a_late_decision_replaces_a_revert(guard: str) -> None:
    """The decision of a controller that has lost the lease arrives late."""
    rollouts = ServiceRollouts().with_start(StartRollout("s", NEW, 15.0))
    rollouts = rollouts.with_advance(AdvanceRollout("s", NEW, RolloutStage.CANARY, 1, 0))
    rollouts = rollouts.with_advance(AdvanceRollout("s", NEW, RolloutStage.REVERTED, 2, 0))
    late = AdvanceRollout("s", NEW, RolloutStage.COMPLETED, 1, 0)

    def advanced(record: RolloutRecord, decision: AdvanceRollout) -> RolloutRecord | None:
        if guard != "term" and decision.term < record.term:
            return None
        if guard != "order" and not decision.stage.may_follow(record.stage):
            return None
        return replace(record, stage=decision.stage)

    # Either check is enough here: only without both would the reverted roll-out be completed.
    with patch.object(RolloutRecord, "advanced", advanced):
        assert rollouts.with_advance(late).records["s"].stage is RolloutStage.REVERTED
    with patch.object(
        RolloutRecord, "advanced", lambda record, decision: replace(record, stage=decision.stage)
    ):
        assert rollouts.with_advance(late).records["s"].stage is RolloutStage.COMPLETED
