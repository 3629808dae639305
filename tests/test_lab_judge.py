"""The lab's clients and its judge: what they ask again, and which rule they find broken."""

from dataclasses import replace
from typing import Any

import pytest

from plumline.lab.clients import Class, Clients, whole_stream
from plumline.lab.engine import Engine, Fault, Order, Run, body_hash
from plumline.lab.judge import judge, judge_orders
from tests.lab_stand import BODY, SPEED, play, sent, serving

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
        ([run_of("a2"), run_of("a2")], []),  # may be repeated
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
def test_the_judge_names_the_rule(runs: list[Run], rules: list[str]) -> None:
    known = {"a1": sent("a1"), "a2": sent("a2", repeatable=True)}
    assert [breach.rule for breach in judge(runs, known, isolated=["t"])] == rules


def test_the_judge_finds_answers_of_no_run() -> None:
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


ONCE = Class("once", "h", "/once/", 10)
CHAT = Class("chat", "h", "/chat/", 10, resumable=True)


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
def test_a_client_tries_again_only_where_it_may(
    kind: Class, fault: Fault | None, outcome: str, tries: int
) -> None:
    @play
    async def test() -> None:
        engine = Engine(speed=SPEED)
        if fault:
            engine.inject(fault)
        async with serving(engine):
            clients = Clients([engine.server.address], [kind])
            assert await clients.ask(kind) == outcome
            assert len(clients.sent) == tries
            assert judge(engine.runs, clients.sent, clients.answers) == []
            assert len(clients.tallies[kind.name].first_ms) == (outcome == "in-time")

    test()


@pytest.mark.parametrize("limits", [{"gap_ms": 0}, {"objective_ms": 0}])
def test_an_answer_with_a_late_start_or_a_long_pause_is_late(limits: dict[str, float]) -> None:
    @play
    async def test() -> None:
        engine = Engine(speed=SPEED)
        kind = replace(CHAT, **limits)
        engine.shape.token_ms = 1000  # a ms of real time between events, so that none come together
        async with serving(engine):
            assert await Clients([engine.server.address], [kind]).ask(kind) == "late"

    test()


def test_the_plan_follows_the_rate_and_the_seed() -> None:
    plan = Clients([], [ONCE, CHAT], seed=4).plan(100)
    assert plan == Clients([], [ONCE, CHAT], seed=4).plan(100)
    assert [due for due, _ in plan] == sorted(due for due, _ in plan)
    assert 1800 < len(plan) < 2200


def test_a_stream_that_misses_or_repeats_a_piece_is_not_whole() -> None:
    pieces = [f"id: {n}\ndata: d.{n}/3\n\n" for n in (1, 2, 3)]
    assert whole_stream("".join(pieces).encode(), "d")
    for wrong in (pieces[:2], pieces[1:], [pieces[0], *pieces], [pieces[1], pieces[0], pieces[2]], []):
        assert not whole_stream("".join(wrong).encode(), "d")
    assert not whole_stream("".join(pieces).encode(), "e")
