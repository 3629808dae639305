"""The soak: its plan, its judge, and one short run of real processes."""

import asyncio
import itertools
import random
import time
from pathlib import Path

import pytest

from plumline.lab.local import UNKNOWN_EXIT_STATUS, exit_status
from plumline.lab.soak.faults import Fault, FaultPeriod, draw_faults
from plumline.lab.soak.judge import Evidence, RequestRecord, Shutdown, is_lost, judge_lost
from plumline.lab.soak.plan import Action, draw_plan
from plumline.lab.soak.runner import SoakSize, run_seed
from plumline.lab.soak.upgrade import processes_to_upgrade, upgrade_plan, upgrade_seconds

ROUTERS = ["edge-1", "edge-2", "edge-3"]
REGISTRARS = ["core-1", "core-2", "core-3"]
TERMINATED = 100.0


def plan_of(seed: int) -> list:
    return draw_plan(random.Random(seed), ROUTERS, REGISTRARS, 20.0)


def test_a_plan_is_the_same_for_the_same_seed_and_in_order() -> None:
    for seed in range(50):
        plan = plan_of(seed)
        assert plan == plan_of(seed)
        assert plan == sorted(plan, key=lambda step: step.at)
        assert any(step.action is Action.TERMINATE and step.target in ROUTERS for step in plan)
        assert all(0 <= step.at < 20.0 for step in plan)


def test_plans_contain_every_action_and_overlap() -> None:
    steps = [step for seed in range(50) for step in plan_of(seed)]
    assert {step.action for step in steps} == set(Action)
    assert {step.target for step in steps} == {*ROUTERS, *REGISTRARS, ""}
    overlapping = 0
    for seed in range(50):
        stops = [step for step in plan_of(seed) if step.action is Action.TERMINATE]
        pairs = itertools.pairwise(stops)
        overlapping += any(a.target != b.target and b.at - a.at < 2.5 for a, b in pairs)
    assert overlapping > 25


def evidence(arrived: bool = True) -> Evidence:
    return Evidence(
        grace_s=8.0,
        loss_slack_s=0.2,
        lag_s=0.0,
        arrived={"r"} if arrived else set(),
        shutdowns={"edge-1": [Shutdown(TERMINATED, TERMINATED + 7.4)]},
    )


def cut(sent_s: float, ended_s: float, timeout_s: float = 10.0) -> RequestRecord:
    """Times in s after SIGTERM."""
    sent = TERMINATED + sent_s
    return RequestRecord("r", "edge-1", timeout_s, sent, last_sent=sent, completed_at=TERMINATED + ended_s)


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "lost"),
    [
        (4.476, 7.305, True),  # issue 27
        (2.9, 7.305, False),  # sent within 3 s and cut in the last sixth of the grace period
        (2.9, 6.5, True),
        (-1.0, 1.0, True),
        (-6.0, -3.0, True),  # no shutdown
    ],
)
def test_a_request_that_reached_an_endpoint_is_lost_if_it_is_cut(
    sent_s: float, ended_s: float, lost: bool
) -> None:
    assert is_lost(cut(sent_s, ended_s), evidence()) is lost


@pytest.mark.parametrize(("ended_s", "lost"), [(2.6, False), (2.75, True)])
def test_a_request_that_crossed_the_close_is_lost_only_if_that_came_late(ended_s: float, lost: bool) -> None:
    assert is_lost(cut(2.5, ended_s), evidence(arrived=False)) is lost


def test_answered_timed_out_or_partly_sent_requests_are_not_lost() -> None:
    answered, abandoned, partly_sent, expired = (cut(4.0, 7.3) for _ in range(4))
    answered.complete = True
    abandoned.gave_up = True
    partly_sent.last_sent = 0.0
    expired.timeout_s = 3.3
    assert judge_lost([answered, abandoned, partly_sent, expired], evidence()) == []
    (found,) = judge_lost([cut(4.0, 7.3)], evidence())
    assert found.rule == "LOST" and "sent 4.000 s" in found.text and "cut 7.300 s after SIGTERM" in found.text


async def run_soak(seed: int, size: SoakSize, logs: Path) -> str:
    result = await run_seed(seed, size, logs)
    return "" if result.good else result.text()


@pytest.mark.parametrize("seed", [130, 131])
def test_a_short_soak_of_real_processes_loses_nothing(seed: int, tmp_path: Path) -> None:
    """Guards against issue 27: seed 130 lost a request on a reused connection 5.0 s after SIGTERM."""
    size = SoakSize(routers=4, registrars=3, clients=40, seconds=20.0)
    assert asyncio.run(run_soak(seed, size, tmp_path)) == ""


def test_faults_are_the_same_for_the_same_seed_and_lose_one_disk_at_the_most() -> None:
    kinds = set()
    for seed in range(50):
        drawn = [draw_faults(random.Random(seed), ROUTERS, REGISTRARS, 20.0) for _ in range(2)]
        assert drawn[0] == drawn[1]
        lost = [step for step in drawn[0] if step.fault is Fault.LOSE_DISK]
        assert len(lost) <= 1
        assert all(step.target in REGISTRARS for step in lost)
        kinds |= {step.fault for step in drawn[0]}
    assert kinds == set(Fault)


@pytest.mark.parametrize(
    ("began_s", "over_s", "target", "lost"),
    [
        (2.5, 3.0, "edge-1", False),  # cut by the fault
        (-4.0, -2.0, "edge-1", False),  # sent within contact_s after the fault
        (-4.0, -3.5, "edge-1", True),
        (2.5, 3.0, "edge-2", True),  # fault of another process
        (2.7, 3.0, "edge-1", True),  # the fault came later
    ],
)
def test_only_a_fault_of_its_own_process_excuses_a_request(
    began_s: float, over_s: float, target: str, lost: bool
) -> None:
    found = evidence()
    found.shutdowns = {}
    found.contact_s = 3.0
    found.faults = {target: [FaultPeriod(TERMINATED + began_s, TERMINATED + over_s)]}
    assert is_lost(cut(0.5, 2.5), found) is lost


def test_a_short_soak_with_faults_loses_nothing(tmp_path: Path) -> None:
    """Seed 3 has kills, freezes and a lost disk."""
    size = SoakSize(routers=4, registrars=3, clients=30, seconds=15.0, faults=True)
    assert asyncio.run(run_soak(3, size, tmp_path)) == ""


def test_an_upgrade_covers_registrars_and_a_third_of_the_routers_both_ways() -> None:
    plan = upgrade_plan(["edge-1", "edge-2", "edge-3", "edge-4"], REGISTRARS)
    stopped = [step.target for step in plan if step.action is Action.TERMINATE]
    assert stopped == 2 * [*REGISTRARS, "edge-1", "edge-2"]
    assert processes_to_upgrade(ROUTERS, REGISTRARS) == [*REGISTRARS, "edge-1"]
    assert max(step.at for step in plan) < upgrade_seconds(SoakSize())
    assert any(step.action is Action.CHANGE for step in plan)


# Guards against a false breach for a process that exits normally while a signal is sent to it.
def test_an_exit_status_unknown_to_asyncio_is_taken_from_popen() -> None:
    async def work() -> None:
        child = await asyncio.create_subprocess_exec("sh", "-c", "exit 3")
        popen = child._transport.get_extra_info("subprocess")  # type: ignore[attr-defined]
        while popen.poll() is None:  # as send_signal does: the first caller reaps the child
            time.sleep(0.001)
        await child.wait()
        assert exit_status(child) == 3
        assert child.returncode in (3, UNKNOWN_EXIT_STATUS)

    asyncio.run(work())
