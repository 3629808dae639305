"""The lab's clients and judge: which requests are retried, and which broken rules are found."""

from dataclasses import replace
from typing import Any

import pytest

from plumline.lab.clients import Clients, RequestClass, is_complete_stream
from plumline.lab.engine import Engine, Fault, Order, Run, body_hash
from plumline.lab.judge import judge, judge_orders
from tests.lab_stand import BODY, SPEED, run_async, sent, serving

# --- the judge


def run_of(name: str, **fields: Any) -> Run:  # noqa: ANN401
    plain = {
        "id": name,
        "tenant": "",
        "version": 1,
        "salt": "",
        "body_hash": body_hash(BODY),
        "method": "POST",
    }
    plain |= {"target": "/chat/1?x=2", "model": "model", "instance": "i", "service": "s", "seal": "z"}
    return Run(**(plain | fields))


@pytest.mark.parametrize(
    ("runs", "rules"),
    [
        ([run_of("a1")], []),
        ([run_of("a1"), run_of("a1")], ["TWICE"]),
        ([run_of("a2"), run_of("a2")], []),  # idempotent
        ([run_of("b1")], ["UNASKED"]),
        ([run_of("a1", target="/other")], ["UNASKED"]),
        ([run_of("a1", body_hash="0")], ["UNASKED"]),
        ([run_of("a1", tenant="t")], ["UNASKED"]),
        ([run_of("a1", api_key_sent=True)], ["UNASKED"]),
        ([run_of("a1", reused=(("", 2),))], ["STALE"]),
        ([run_of("a1", reused=(("t", 1),))], ["WALL"]),
        ([run_of("a1", reused=(("u", 1),))], []),  # neither is isolated
    ],
)
def test_the_judge_reports_the_broken_rule(runs: list[Run], rules: list[str]) -> None:
    known = {"a1": sent("a1"), "a2": sent("a2", idempotent=True)}
    assert [breach.rule for breach in judge(runs, known, isolated=["t"])] == rules


def test_the_judge_finds_responses_without_a_run() -> None:
    known = {"a1": sent("a1")}
    assert [breach.rule for breach in judge([run_of("a1")], known, [("a1", "other")])] == ["MIXED"]


@pytest.mark.parametrize(
    ("orders", "breaches"),
    [
        ([Order(0, "n1", 1, 202), Order(1, "n1", 1, 200), Order(9, "n2", 2, 202)], 0),
        ([Order(0, "n1", 1, 202), Order(9, "n2", 1, 202)], 1),
        ([Order(0, "n2", 2, 202), Order(9, "n1", 1, 202)], 1),
        ([Order(0, "n2", 2, 202), Order(9, "n1", 1, 412)], 0),
        ([Order(0, "n1", 1, 202), Order(1, "n2", 2, 202)], 1),
    ],
)
def test_the_judge_of_orders(orders: list[Order], breaches: int) -> None:
    assert len(judge_orders(orders, lease_s=3)) == breaches


# --- clients


ONCE = RequestClass("once", "h", "/once/", 10)
CHAT = RequestClass("chat", "h", "/chat/", 10, resumable=True)


@pytest.mark.parametrize(
    ("kind", "fault", "outcome", "tries"),
    [
        (ONCE, None, "in-time", 1),
        (ONCE, Fault.REFUSE, "in-time", 2),
        (ONCE, Fault.RESET_AFTER, "failed", 1),
        (CHAT, Fault.RESET_AFTER, "in-time", 2),
        (ONCE, Fault.FAIL, "failed", 1),
        (CHAT, Fault.FAIL, "in-time", 2),
        (ONCE, Fault.CUT, "cut", 1),
        (ONCE, Fault.WRONG_ID, "garbled", 1),
        (ONCE, Fault.SURPLUS, "garbled", 1),
    ],
)
def test_a_client_retries_only_where_it_may(
    kind: RequestClass, fault: Fault | None, outcome: str, tries: int
) -> None:
    @run_async
    async def test() -> None:
        engine = Engine(speed=SPEED)
        if fault:
            engine.inject(fault)
        async with serving(engine):
            clients = Clients([engine.server.address], [kind])
            assert await clients.send_request(kind) == outcome
            assert len(clients.sent) == tries
            assert judge(engine.runs, clients.sent, clients.answers) == []
            assert len(clients.tallies[kind.name].first_ms) == (outcome == "in-time")

    test()


@pytest.mark.parametrize("limits", [{"max_gap_ms": 0}, {"objective_ms": 0}])
def test_a_response_with_a_late_start_or_a_long_gap_is_late(limits: dict[str, float]) -> None:
    @run_async
    async def test() -> None:
        engine = Engine(speed=SPEED)
        kind = replace(CHAT, **limits)
        engine.shape.token_ms = 1000  # 1 ms of real time between events, so that no two arrive together
        async with serving(engine):
            assert await Clients([engine.server.address], [kind]).send_request(kind) == "late"

    test()


def test_the_plan_follows_the_rate_and_the_seed() -> None:
    plan = Clients([], [ONCE, CHAT], seed=4).plan(100)
    assert plan == Clients([], [ONCE, CHAT], seed=4).plan(100)
    assert [due for due, _ in plan] == sorted(due for due, _ in plan)
    assert 1800 < len(plan) < 2200


def test_a_stream_with_a_missing_or_repeated_event_is_incomplete() -> None:
    events = [f"id: {n}\ndata: d.{n}/3\n\n" for n in (1, 2, 3)]
    assert is_complete_stream("".join(events).encode(), "d")
    for wrong in (events[:2], events[1:], [events[0], *events], [events[1], events[0], events[2]], []):
        assert not is_complete_stream("".join(wrong).encode(), "d")
    assert not is_complete_stream("".join(events).encode(), "e")
