"""The lab's stand-ins by themselves: they must show the faults and keep the records that tests rely on."""

import asyncio
import json
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from plumline.errors import UnavailableError
from plumline.lab import Call, CallError, GarbledAnswerError, Server, fetch
from plumline.lab.clients import Class, Clients, Sent, judge, judge_orders, whole_stream
from plumline.lab.engine import Engine, Fault, Order, Run, Shape, body_hash
from plumline.lab.local import (
    Ports,
    Result,
    configuration_for,
    machines_for,
    settings_for,
    table,
    toml_text,
)
from plumline.lab.operator import Operator
from plumline.lab.platform import Platform
from plumline.lab.store import CacheStore, Kept, Part

PATIENCE = 20.0  # s; only a failing test waits so long
SPEED = 1000.0
BODY = b"prompt"
PARTS = "aa:100,bb:50"


def play(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    def run() -> None:
        asyncio.run(asyncio.wait_for(test(), PATIENCE))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@asynccontextmanager
async def serving(*servers: Engine | Server) -> AsyncIterator[None]:
    async with AsyncExitStack() as stack:
        for each in servers:
            await each.start()
            stack.push_async_callback(each.stop)
        yield
    for each in servers:
        server = each.server if isinstance(each, Engine) else each
        assert server.failures == []


async def ask(engine: Engine, name: str = "a1", **extra: str) -> tuple[int, dict[str, str], bytes]:
    """A request; `extra` are headers, with _ for -."""
    given = {"Attempt-Id": name, "Token-Counts": "150,16", "Prompt-Prefix": PARTS}
    given |= {key.replace("_", "-"): value for key, value in extra.items()}
    return await fetch(engine.server.address, "POST", "/chat/1?x=2", list(given.items()), BODY, PATIENCE)


async def order(engine: Engine, **fields: Any) -> int:  # noqa: ANN401
    body = {"Operation": "Version", "Model": "model", "Version": 2, "Method": "waiting"}
    body |= {"Holder": "n1", "FenceNumber": 5} | fields
    plain = json.dumps({key: value for key, value in body.items() if value is not None}).encode()
    return (await fetch(engine.server.address, "POST", "/order", body=plain))[0]


def sent(name: str = "a1", tenant: str = "", repeatable: bool = False) -> Sent:
    return Sent(name, "POST", "/chat/1?x=2", body_hash(BODY), tenant, repeatable, "model")


# --- engine


@play
async def test_an_engine_streams_a_whole_answer_and_notes_the_run() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        status, headers, body = await ask(
            engine, Tenant_Name="t", Cache_Salt="s", Expected_Instance=engine.id
        )
        assert (status, headers["attempt-id"], headers["versions"]) == (200, "a1", "1")
        assert headers["content-type"] == "text/event-stream"
        assert whole_stream(body, body_hash(BODY))
        assert body.count(b"id: ") == 4  # 16 tokens, four an event
        (run,) = engine.runs
        assert (run.id, run.tenant, run.version, run.salt) == ("a1", "t", 1, "s")
        assert (run.seal, run.target, run.missing) == (headers["server-seal"], "/chat/1?x=2", 150)
        assert judge(engine.runs, {"a1": sent(tenant="t")}, [("a1", run.seal)]) == []


@play
async def test_another_instance_or_version_is_misdirected_and_not_run() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        status, headers, _ = await ask(engine, Expected_Instance="i-other")
        assert (status, headers["instance-id"]) == (421, engine.id)
        status, headers, _ = await ask(engine, Expect_Version="2")
        assert (status, headers["not-executed"]) == (421, "1")
        status, headers, _ = await fetch(engine.server.address, "POST", "/x", body=BODY)
        assert (status, headers["not-executed"]) == (400, "1")
        assert (await ask(engine, Remaining_Milliseconds="0"))[0] == 503
        assert engine.runs == []


@play
async def test_a_full_engine_turns_away_and_lets_the_waiting_in_later() -> None:
    engine = Engine(Shape(slots=1, queue=1), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.held():
            first = group.create_task(ask(engine, "a1"))
            await engine.until(lambda: len(engine.running) == 1)
            second = group.create_task(ask(engine, "a2"))
            await engine.until(lambda: len(engine.queue) == 1)
            status, headers, _ = await ask(engine, "a3")
            assert (status, headers["not-executed"], headers["attempt-id"]) == (503, "1", "a3")
            assert (await fetch(engine.server.address, "GET", "/health"))[0] == 503
            report = json.loads((await fetch(engine.server.address, "GET", "/report"))[2])
            assert (report["RunningRequests"], report["WaitingRequests"]) == (1, 1)
        assert (await first)[0] == (await second)[0] == 200
        assert [run.id for run in engine.runs] == ["a1", "a2"]


@play
async def test_the_more_urgent_takes_the_place_of_the_less_urgent_whose_stream_stays_whole() -> None:
    engine = Engine(Shape(slots=1, queue=2), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.held():
            slow = group.create_task(ask(engine, "slow", Priority="7"))
            await engine.until(lambda: len(engine.runs) == 1)
            fast = group.create_task(ask(engine, "fast", Priority="0"))
            await engine.until(lambda: len(engine.runs) == 2)
        assert whole_stream((await fast)[2], body_hash(BODY))
        assert whole_stream((await slow)[2], body_hash(BODY))
        assert engine.counts["preempted"] == 1
        assert len(engine.runs) == 2


@play
async def test_a_request_larger_than_the_memory_is_refused_as_if_full() -> None:
    engine = Engine(Shape(cache_tokens=100), SPEED)
    async with serving(engine):
        assert (await ask(engine))[0] == 503
        assert engine.runs == []


@play
async def test_a_connection_that_ends_drops_its_request() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        engine.inject(Fault.SILENCE)
        asking = asyncio.ensure_future(ask(engine))
        await engine.until(lambda: len(engine.runs) == 1)
        asking.cancel()
        await engine.until(lambda: engine.running == [])


@play
async def test_a_stream_is_resumed_after_the_last_event() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        whole = (await ask(engine, "a1"))[2]
        rest = (await ask(engine, "a2", Last_Event_Id="2"))[2]
        assert whole.endswith(rest)
        assert rest.startswith(b"id: 3\n")
        assert engine.runs[1].resumed_from == 2


@pytest.mark.parametrize(
    ("fault", "error", "runs"),
    [
        (Fault.RESET_BEFORE, CallError, 0),
        (Fault.RESET_AFTER, CallError, 1),
        (Fault.CUT, CallError, 1),
        (Fault.SURPLUS, GarbledAnswerError, 1),
    ],
)
def test_faults_that_break_the_answer(fault: Fault, error: type[CallError], runs: int) -> None:
    @play
    async def test() -> None:
        engine = Engine(speed=SPEED)
        async with serving(engine):
            engine.inject(fault)
            with pytest.raises(CallError) as met:
                await ask(engine)
            assert type(met.value) is error
            assert len(engine.runs) == runs
            assert (await ask(engine, "a2"))[0] == 200

    test()


@play
async def test_faults_that_answer() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        engine.inject(Fault.REFUSE)
        status, headers, _ = await ask(engine)
        assert (status, headers["not-executed"], engine.runs) == (503, "1", [])
        engine.inject(Fault.WRONG_ID)
        assert (await ask(engine))[1]["attempt-id"] != "a1"
        engine.inject(Fault.FAIL)
        status, headers, _ = await ask(engine)
        assert (status, "not-executed" in headers, len(engine.runs)) == (500, False, 2)
        engine.draining = True
        assert (await fetch(engine.server.address, "GET", "/health"))[0] == 503
        assert (await ask(engine))[1]["connection"] == "close"


@play
async def test_connections_beyond_the_limit_are_reset() -> None:
    engine = Engine(Shape(connection_limit=1), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.held():
            first = group.create_task(ask(engine, "a1"))
            await engine.until(lambda: len(engine.runs) == 1)
            with pytest.raises(CallError):
                await ask(engine, "a2")
        assert (await first)[0] == 200
        assert len(engine.runs) == 1


# --- orders


@play
async def test_orders_are_weighed() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        assert await order(engine) == 400  # no such version yet
        engine.named["model"] = 2
        assert await order(engine, Holder=None) == 400
        assert await order(engine, Method="soon") == 400
        assert await order(engine, ExpectedCount=3) == 409
        assert await order(engine) == 202
        await engine.until(lambda: engine.moving is None)
        assert (engine.models["model"], engine.sequence) == (2, 1)
        assert await order(engine) == 200
        assert await order(engine, FenceNumber=4) == 412
        assert await order(engine, Expected="x", ExpectedCount=1) == 200
        await engine.restart()
        assert (engine.models["model"], engine.sequence, engine.fence) == (2, 0, 0)


@play
async def test_waiting_lets_runs_finish_and_turns_the_others_away() -> None:
    engine = Engine(Shape(slots=1), SPEED)
    engine.named["model"] = 2
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.held():
            first = group.create_task(ask(engine, "a1"))
            await engine.until(lambda: len(engine.runs) == 1)
            second = group.create_task(ask(engine, "a2"))
            await engine.until(lambda: len(engine.queue) == 1)
            assert await order(engine) == 202
            assert await order(engine) == 409
            assert (await second)[0] == 503
            assert (await ask(engine, "a3"))[0] == 503
        assert (await first)[0] == 200
        await engine.until(lambda: engine.moving is None)
        assert [run.id for run in engine.runs] == ["a1"]
        assert (await ask(engine, "a4", Expect_Version="2"))[1]["versions"] == "2"


@play
async def test_cutover_resets_and_keep_goes_on_under_the_new_version() -> None:
    engine = Engine(speed=SPEED)
    engine.named["model"] = 3
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.held():
            kept = group.create_task(ask(engine, "a1"))
            await engine.until(lambda: len(engine.runs) == 1)
            assert await order(engine, Method="keep") == 202
            await engine.until(lambda: engine.moving is None)
        body = (await kept)[2]
        assert body.startswith(b"versions: 2\nid: 1\n")
        assert whole_stream(body, body_hash(BODY))
        engine.hold()
        cut = asyncio.ensure_future(ask(engine, "a2"))
        await engine.until(lambda: len(engine.runs) == 2)
        assert await order(engine, Method="cutover", Version=3) == 202
        with pytest.raises(CallError):
            await cut
        await engine.until(lambda: engine.moving is None)
        assert engine.models["model"] == 3


# --- kept parts


def test_parts_unused_longest_give_way_and_events_tell_it() -> None:
    kept = Kept(250)
    for name in ("a", "b"):
        kept.put(("s", "m", name), Part(100, "t", 1))
    assert [name for name, _ in kept.prefix("s", "m", [("a", 100), ("x", 1)])] == ["a"]
    kept.put(("s", "m", "c"), Part(100, "t", 1))
    assert [key[2] for key in kept.parts] == ["a", "c"]
    assert [event[:4] for event in kept.events][-2:] == [[3, "+", "s", "c"], [4, "-", "s", "b"]]
    assert kept.prefix("other", "m", [("a", 100)]) == []
    kept.taken = 200
    kept.shrink()
    assert (kept.total, dict(kept.parts)) == (0, {})


@play
async def test_kept_parts_are_not_read_again_under_the_same_salt() -> None:
    engine = Engine(speed=SPEED)
    engine.named["model"] = 2
    async with serving(engine):
        await ask(engine, "a1", Cache_Salt="s")
        await ask(engine, "a2", Cache_Salt="s")
        await ask(engine, "a3", Cache_Salt="u")
        assert [run.missing for run in engine.runs] == [150, 0, 150]
        held = json.loads((await fetch(engine.server.address, "GET", "/kv-list"))[2])
        assert ["s", "aa", 100, "model"] in held["Held"]
        assert await order(engine) == 202
        await engine.until(lambda: engine.moving is None)
        await ask(engine, "a4", Cache_Salt="s")
        assert engine.runs[-1].missing == 150


@play
async def test_events_are_told_from_a_place_on_and_a_held_call_gets_what_arrives() -> None:
    engine = Engine(Shape(kv_calls=1))  # at real pace: the call must be ended by the event, not by its time
    engine.pace.speed = 1.0
    address = engine.server

    async def events(since: int, wait: int = 0) -> tuple[int, Any]:
        target = f"/kv-events?Since={since}"
        status, _, body = await fetch(address.address, "GET", target, [("Wait-Ms", str(wait))])
        return status, json.loads(body) if body else None

    async with serving(engine):
        assert (await events(0))[1] == {
            "Epoch": engine.kept.epoch,
            "NextToken": 0,
            "Lost": False,
            "Events": [],
        }
        engine.kept.put(("s", "model", "aa"), Part(100, "t", 1))
        _, told = await events(0, 1000)
        assert told["Events"] == [[1, "+", "s", "aa", 100, "model"]]
        engine.kept_calls.held = 1
        assert (await events(1))[0] == 429
        engine.kept_calls.held = 0
        epoch = engine.kept.epoch
        await engine.restart()
        _, told = await events(told["NextToken"])
        assert (told["Epoch"] != epoch, told["Lost"], told["NextToken"]) == (True, True, 0)


@play
async def test_parts_go_through_the_store_with_the_version_that_made_them() -> None:
    store, one, two = CacheStore(), Engine(speed=SPEED), Engine(speed=SPEED)
    two.models["model"] = two.named["model"] = 2
    async with serving(store.server, one, two):
        place = store.server.address
        await ask(one, "a1", Tenant_Name="t", Kv_Save=place)
        assert len(store.kept.parts) == 2
        await ask(two, "a2", Tenant_Name="u", Kv_Fetch=place)
        assert two.runs[0].missing == 0
        known = {"a1": sent("a1", "t"), "a2": sent("a2", "u")}
        breaches = judge(one.runs + two.runs, known, isolated=["t"])
        assert {breach.rule for breach in breaches} == {"STALE", "WALL"}
        store.restart()
        await ask(two, "a3", Cache_Salt="n", Kv_Fetch=place)
        assert two.runs[1].missing == 150
    async with serving(one):
        assert (await ask(one, "a4", Cache_Salt="n", Kv_Fetch=place))[0] == 200  # a dead source


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
        ([run_of("a1", key_shown=True)], ["UNASKED"]),
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


# --- platform


class Hand:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def listing(names: list[str], clock: Hand, **more: Any) -> Platform:  # noqa: ANN401
    platform = Platform(clock=clock, **more)
    for number, name in enumerate(names):
        platform.add(lambda name=name, zone=f"z{number % 2}": {"Identifier": name, "Zone": zone})
    return platform


def test_the_list_lags_drains_and_keeps_the_crashed() -> None:
    clock = Hand()
    platform = listing(["a", "b", "c"], clock, lag_ms=300, crashed_s=5)
    assert platform.listed() == []
    clock.now += 0.3
    assert [entry["State"] for entry in platform.listed()] == ["ready"] * 3
    platform.drain("a")
    platform.crash("b")
    assert platform.listed()[0]["State"] == "ready"
    clock.now += 0.4
    assert [entry["State"] for entry in platform.listed()] == ["draining", "ready", "ready"]
    platform.end("a")
    clock.now += 4.9
    platform.refresh()
    clock.now += 0.3
    assert [entry["Identifier"] for entry in platform.listed()] == ["c"]


@play
async def test_the_list_comes_in_pages_by_zone_at_a_limited_rate() -> None:
    clock = Hand()
    platform = listing(["a", "b", "c"], clock, lag_ms=0, page=2, rate=3)

    async def ask_list(query: str) -> tuple[int, list[str], str | None]:
        status, _, body = await fetch(platform.server.address, "GET", "/instances" + query)
        got = json.loads(body) if status == 200 else {"Instances": [], "NextToken": None}
        return status, [entry["Identifier"] for entry in got["Instances"]], got["NextToken"]

    async with serving(platform.server):
        assert await ask_list("") == (200, ["a", "b"], "p-2")
        assert await ask_list("?PageToken=p-2") == (200, ["c"], None)
        assert await ask_list("?Zone=z1") == (200, ["b"], None)
        assert (await ask_list(""))[0] == 429
        clock.now += 1
        assert (await ask_list(""))[0] == 200
        platform.down = True
        with pytest.raises(CallError):
            await ask_list("")


# --- operator


class Scripted(Server):
    """Answers in turn with the given (status, headers); None resets. The last one stays."""

    def __init__(self, *script: tuple[int, list[tuple[str, str]]] | None) -> None:
        super().__init__(self._handle)
        self.script, self.calls = list(script), list[tuple[str, str, bytes]]()

    async def _handle(self, call: Call) -> None:
        self.calls.append((call.path, call.headers.get("based-on-version", ""), call.body))
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if step is None:
            return call.reset()
        call.answer(step[0], b"{}", step[1])


async def at_once(_seconds: float) -> None:
    """The operator's pause, skipped."""


@play
async def test_the_operator_moves_on_until_a_clear_answer() -> None:
    one = Scripted(None, (429, []))
    two = Scripted((503, []), (200, []))
    async with serving(one, two):
        verdict = await Operator([one.address, two.address], pause=at_once).replace({"Version": 3}, 2)
        assert (verdict.taken, verdict.tries) == (True, 4)
        assert {each for server in (one, two) for each in server.calls} == {
            ("/Configuration.Replace", "2", b'{"Version": 3}')
        }


@play
async def test_the_operator_follows_two_redirects() -> None:
    last = Scripted((200, []))
    async with serving(last):
        middle = Scripted((307, [("Location", f"http://{last.address}/b")]))
        async with serving(middle):
            first = Scripted((307, [("Location", f"http://{middle.address}/a")]))
            async with serving(first):
                assert (await Operator([first.address], pause=at_once).version_put("m", 2)).tries == 1
                assert last.calls[0][0] == "/b"
                over = Scripted((307, [("Location", f"http://{first.address}/c")]), (200, []))
                async with serving(over):
                    assert (await Operator([over.address], pause=at_once).version_put("m", 2)).tries == 2


@pytest.mark.parametrize(("status", "tries"), [(400, 1), (409, 1), (412, 1), (413, 1), (422, 1), (404, 3)])
def test_the_operator_stops_at_a_refusal(status: int, tries: int) -> None:
    @play
    async def test() -> None:
        server = Scripted((status, []))
        async with serving(server):
            verdict = await Operator([server.address], pause=at_once).amend({}, 0)
            assert (verdict.status, verdict.tries) == (status, tries)

    test()


@play
async def test_the_operator_gives_up_when_its_patience_ends() -> None:
    server, clock = Scripted((503, [])), Hand()

    async def pause(seconds: float) -> None:
        clock.now += seconds

    async with serving(server):
        with pytest.raises(UnavailableError):
            await Operator([server.address], patience=5, pause=pause, clock=clock).read()


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


# --- the one-machine run


def test_settings_name_the_same_ports_and_the_registrars_as_seeds(tmp_path: Path) -> None:
    machines, ports = machines_for(2, 3), Ports(1, 2, 3, 4)
    tables = [
        tomllib.loads(toml_text(settings_for(each, machines, ports, "127.0.0.1:9", tmp_path)))
        for each in machines
    ]
    seeds = ["127.0.1.1:3", "127.0.1.2:3", "127.0.1.3:3"]
    assert all(each["SeedAddresses"] == seeds for each in tables)
    assert all(each["FaultTolerance"]["MachineLosses"] == 1 for each in tables)
    assert all(each["Bounds"]["FencingChecked"] is True for each in tables)
    assert [each["Role"] for each in tables] == ["registrar"] * 3 + ["router"] * 2
    assert tables[0]["ListenAddresses"] == {"ControlPlane": "127.0.1.1:3"}
    assert tables[0]["DataDirectory"] == str(tmp_path / "core-1")
    assert tables[3]["ListenAddresses"] == {"FrontHttp": "127.0.2.1:1", "Readiness": "127.0.2.1:2"}
    assert "DataDirectory" not in tables[3]
    alone = machines_for(1, 1)
    assert settings_for(alone[0], alone, ports, "x", tmp_path)["FaultTolerance"]["MachineLosses"] == 0


def test_free_ports_are_found_on_every_address() -> None:
    ports = Ports.free(["127.0.1.1", "127.0.2.1"])
    assert ports.internal > ports.control > ports.readiness > ports.front > 0


def test_the_configuration_is_one_that_json_carries_unchanged() -> None:
    document = configuration_for(1, "127.0.0.1:9")
    assert json.loads(json.dumps(document)) == document
    assert {route["Service"] for route in document["Routes"]} <= {
        each["Name"] for each in document["Services"]
    }


def test_the_table_names_every_outcome() -> None:
    clients = Clients([], [])
    clients.tallies["chat"].outcomes.update({"in-time": 3, "late": 1})
    clients.tallies["chat"].first_ms.extend([10.0, 20.0, 30.0])
    result = Result(dict(clients.tallies), [], 1.0, 0.5, True, {"edge-1": 0})
    assert result.good
    text = table(result)
    for word in ("chat", "in-time", "late", "no rule broken", "edge-1 0"):
        assert word in text
    result.exits["edge-1"] = 1
    assert not result.good
