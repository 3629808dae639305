"""A router's requests during a roll-out of their service: which endpoints get them, and the reports."""

import asyncio
from typing import Any

import pytest

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.service_rollouts import AdvanceRollout, RolloutStage, StartRollout
from plumline.router.router_state import RouterState
from plumline.routing.fleet_state import RolloutGrant
from plumline.routing.rollout_evidence import RolloutEvidence, TimedAnswer
from plumline.routing.rollout_report import AnswerTally, RolloutReport, ServiceReport
from plumline.routing.version_gate import ServiceTraffic
from tests.dispatch_world import (
    Act,
    Router,
    ScriptedEndpoint,
    answer,
    document,
    reset,
    run_with_timeout,
    start_router,
)

REQUESTS = 60


class RolloutWorld:
    """A router with one endpoint of v1, one of v2, and a roll-out to v2."""

    def __init__(self, old: ScriptedEndpoint, new: ScriptedEndpoint, router: Router) -> None:
        self.old, self.new, self.router = old, new, router
        self.state = ReplicatedConfiguration().apply(["replace", 0, document()])
        self.state = self.state.apply(StartRollout("s", "v2", 12.0).to_change())
        self.list_endpoints()
        self.publish()

    @classmethod
    async def started(cls, old: Act | None = None, new: Act | None = None) -> "RolloutWorld":
        first, second = ScriptedEndpoint("old", old or answer()), ScriptedEndpoint("new", new or answer())
        return cls(first, second, await start_router(document(), first, second))

    def list_endpoints(self) -> None:
        entries = [self.old.entry(version="v1"), self.new.entry(version="v2")]
        self.router.fleet.set_roster(entries)

    def publish(self) -> None:
        fleet = self.router.fleet
        fleet.state = self.state
        fleet.notify("configuration")

    def advance(self, stage: RolloutStage) -> None:
        self.state = self.state.apply(AdvanceRollout("s", "v2", stage, 1, 0).to_change())
        self.publish()

    def grant(self, share: float, stage: RolloutStage = RolloutStage.CANARY) -> None:
        grant = RolloutGrant("v2", stage, share, None)
        self.router.fleet.set_grants({"s": grant.to_wire()})

    async def ask(self, count: int = REQUESTS) -> None:
        for number in range(count):
            await self.router.ask(Attempt_Id=f"id-{number}")

    def report(self) -> ServiceReport:
        dispatcher: RouterState = self.router.dispatcher
        return dispatcher.rollout_reports(True)["s"]


def test_a_version_on_trial_gets_no_request_without_a_grant() -> None:
    async def scenario() -> None:
        world = await RolloutWorld.started()
        await world.ask()
        assert (len(world.old.heads), len(world.new.heads)) == (REQUESTS, 0)

    run_with_timeout(scenario())


def test_a_version_on_trial_gets_the_share_of_its_grant() -> None:
    async def scenario() -> None:
        world = await RolloutWorld.started()
        world.grant(0.3)
        await world.ask()
        assert 8 <= len(world.new.heads) <= 30
        assert len(world.old.heads) + len(world.new.heads) == REQUESTS
        assert world.report().stage is RolloutStage.CANARY

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("stage", "expected"), [(RolloutStage.COMPLETED, "new"), (RolloutStage.REVERTED, "old")]
)
def test_the_end_of_a_roll_out_overrides_any_remaining_grant(stage: RolloutStage, expected: str) -> None:
    async def scenario() -> None:
        world = await RolloutWorld.started()
        world.grant(0.5)
        world.advance(stage)
        await world.ask(20)
        assert len({"old": world.old, "new": world.new}[expected].heads) == 20

    run_with_timeout(scenario())


def test_failed_answers_are_reported_by_endpoint_and_those_of_versions_in_service_together() -> None:
    async def scenario() -> None:
        world = await RolloutWorld.started(new=reset)
        world.grant(1.0, RolloutStage.GROWING)
        await world.ask(5)
        tallies = {each.endpoint: each for each in world.report().tallies}
        assert tallies["new"] == AnswerTally("new", "r", tallies["new"].answers, tallies["new"].answers)
        assert tallies["new"].answers > 0
        # A request that failed on trial is retried at the version in service, as its route is idempotent.
        assert tallies[""].answers == len(world.old.heads) > 0
        assert tallies[""].bad == 0

    run_with_timeout(scenario())


def test_requests_that_still_run_at_other_versions_are_reported() -> None:
    async def scenario() -> None:
        answered = asyncio.Event()

        async def delayed_answer(
            peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            await answered.wait()
            await answer()(peer, head, writer)

        world = await RolloutWorld.started(old=delayed_answer)
        reader = await world.router.open()
        while not world.old.heads:
            await asyncio.sleep(0)
        world.grant(1.0, RolloutStage.HOLDING)
        assert (world.report().stage, world.report().others_running) == (RolloutStage.HOLDING, 1)
        answered.set()
        await reader.read()
        await world.router.dispatcher.drained()
        assert world.report().others_running == 0

    run_with_timeout(scenario())


# Which answers count as bad.


def timed_answer(took_ms: float, endpoint: str = "old", **more: Any) -> TimedAnswer:  # noqa: ANN401
    fields: dict[str, Any] = {"failed": False, "cut_short": False, "latency_target_ms": 300.0}
    return TimedAnswer("s", endpoint, "r", took_ms, 20.0, **(fields | more))


TRIAL = ServiceTraffic(frozenset({"old"}), frozenset({"new"}), 0.1, "v2", RolloutStage.CANARY)


def evidence_after(*answers: TimedAnswer) -> dict[str, list[int]]:
    evidence = RolloutEvidence()
    for _ in range(50):
        evidence.observe(timed_answer(50.0), TRIAL)
    for each in answers:
        evidence.observe(each, TRIAL)
    return {endpoint: counts for endpoint, _, *counts in evidence.take_report("s", complete=True)}


def test_an_answer_that_takes_several_times_the_usual_is_bad() -> None:
    counts_by_endpoint = evidence_after(
        timed_answer(60.0, "new"), timed_answer(120.0, "new"), timed_answer(600.0, "new")
    )
    assert counts_by_endpoint == {"": [50, 0], "new": [3, 1]}


def test_a_slow_version_does_not_make_slow_answers_usual() -> None:
    assert evidence_after(*[timed_answer(900.0, "new")] * 40)["new"] == [40, 40]


def test_an_answer_cut_short_counts_only_if_it_was_slow_by_then() -> None:
    assert "new" not in evidence_after(timed_answer(30.0, "new", cut_short=True))
    assert evidence_after(timed_answer(2000.0, "new", cut_short=True))["new"] == [1, 1]


def test_a_report_contains_changed_counts_and_a_complete_one_all() -> None:
    evidence = RolloutEvidence()
    evidence.observe(timed_answer(50.0), TRIAL)
    assert evidence.take_report("s", complete=False) == [["", "r", 1, 0]]
    evidence.observe(timed_answer(50.0, "new", failed=True), TRIAL)
    assert evidence.take_report("s", complete=False) == [["new", "r", 1, 1]]
    assert evidence.take_report("s", complete=False) == []
    assert len(evidence.take_report("s", complete=True)) == 2
    evidence.retain({"s": "v3"})
    assert evidence.take_report("s", complete=True) == []


def test_reports_keep_their_wire_form_and_malformed_ones_are_rejected() -> None:
    service_report = ServiceReport("v2", RolloutStage.HOLDING, 3, (AnswerTally("new", "r", 5, 1),))
    report = RolloutReport("edge-1", 77, {"s": service_report, "t": ServiceReport("v9", None, 0, ())})
    wire = [
        "rollout-report",
        "edge-1",
        77,
        {"s": ["v2", "holding", 3, [["new", "r", 5, 1]]], "t": ["v9", None, 0, []]},
    ]
    assert report.to_wire() == wire
    assert RolloutReport.from_wire(wire) == report
    for malformed in (
        ["rollout-report"],
        ["rollout-report", "n", 1, {"s": []}],
        ["rollout-report", "n", 1, {"s": ["v", "x", 0, []]}],
    ):
        with pytest.raises((ValueError, TypeError)):
            RolloutReport.from_wire(malformed)
