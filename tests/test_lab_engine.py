"""The lab's model endpoint by itself: it must show the faults and keep the records that tests rely on."""

import asyncio
import json
from typing import Any

import pytest

from plumline.lab import CallError, GarbledAnswerError, fetch
from plumline.lab.clients import whole_stream
from plumline.lab.engine import Engine, Fault, Shape, body_hash
from plumline.lab.judge import judge
from plumline.lab.store import CacheStore, Kept, Part
from tests.lab_stand import BODY, SPEED, ask, order, play, sent, serving

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
