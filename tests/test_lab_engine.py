"""The simulated model endpoint: the faults and records that other tests rely on."""

import asyncio
import json
from typing import Any

import pytest

from plumline.lab import CallError, MalformedResponseError, fetch
from plumline.lab.clients import is_complete_stream
from plumline.lab.engine import Engine, Fault, Shape, body_hash
from plumline.lab.judge import judge
from plumline.lab.store import CachedBlock, CacheStore, PrefixCache
from tests.lab_stand import BODY, SPEED, ask, order, run_async, sent, serving

# --- engine


@run_async
async def test_an_engine_streams_a_complete_response_and_records_the_run() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        status, headers, body = await ask(
            engine, Tenant_Name="t", Cache_Salt="s", Expected_Instance=engine.id
        )
        assert (status, headers["attempt-id"], headers["versions"]) == (200, "a1", "1")
        assert headers["content-type"] == "text/event-stream"
        assert is_complete_stream(body, body_hash(BODY))
        assert body.count(b"id: ") == 4  # 16 tokens, four an event
        (run,) = engine.runs
        assert (run.id, run.tenant, run.version, run.salt) == ("a1", "t", 1, "s")
        assert (run.seal, run.target, run.prefilled_tokens) == (headers["server-seal"], "/chat/1?x=2", 150)
        assert judge(engine.runs, {"a1": sent(tenant="t")}, [("a1", run.seal)]) == []


@run_async
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


@run_async
async def test_a_full_engine_rejects_requests_and_admits_queued_ones_later() -> None:
    engine = Engine(Shape(slots=1, queue=1), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.streams_paused():
            first = group.create_task(ask(engine, "a1"))
            await engine.wait_until(lambda: len(engine.running) == 1)
            second = group.create_task(ask(engine, "a2"))
            await engine.wait_until(lambda: len(engine.queue) == 1)
            status, headers, _ = await ask(engine, "a3")
            assert (status, headers["not-executed"], headers["attempt-id"]) == (503, "1", "a3")
            assert (await fetch(engine.server.address, "GET", "/health"))[0] == 503
            report = json.loads((await fetch(engine.server.address, "GET", "/report"))[2])
            assert (report["RunningRequests"], report["WaitingRequests"]) == (1, 1)
        assert (await first)[0] == (await second)[0] == 200
        assert [run.id for run in engine.runs] == ["a1", "a2"]


@run_async
async def test_a_preempted_stream_completes_after_the_more_urgent_request() -> None:
    engine = Engine(Shape(slots=1, queue=2), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.streams_paused():
            slow = group.create_task(ask(engine, "slow", Priority="7"))
            await engine.wait_until(lambda: len(engine.runs) == 1)
            fast = group.create_task(ask(engine, "fast", Priority="0"))
            await engine.wait_until(lambda: len(engine.runs) == 2)
        assert is_complete_stream((await fast)[2], body_hash(BODY))
        assert is_complete_stream((await slow)[2], body_hash(BODY))
        assert engine.counts["preempted"] == 1
        assert len(engine.runs) == 2


@run_async
async def test_a_request_larger_than_the_cache_is_rejected_as_if_full() -> None:
    engine = Engine(Shape(cache_tokens=100), SPEED)
    async with serving(engine):
        assert (await ask(engine))[0] == 503
        assert engine.runs == []


@run_async
async def test_a_closed_connection_cancels_its_request() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        engine.inject(Fault.SILENCE)
        asking = asyncio.ensure_future(ask(engine))
        await engine.wait_until(lambda: len(engine.runs) == 1)
        asking.cancel()
        await engine.wait_until(lambda: engine.running == [])


@run_async
async def test_a_stream_is_resumed_after_the_last_event() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        full_stream = (await ask(engine, "a1"))[2]
        rest = (await ask(engine, "a2", Last_Event_Id="2"))[2]
        assert full_stream.endswith(rest)
        assert rest.startswith(b"id: 3\n")
        assert engine.runs[1].resumed_from == 2


@pytest.mark.parametrize(
    ("fault", "error", "runs"),
    [
        (Fault.RESET_BEFORE, CallError, 0),
        (Fault.RESET_AFTER, CallError, 1),
        (Fault.CUT, CallError, 1),
        (Fault.SURPLUS, MalformedResponseError, 1),
    ],
)
def test_faults_that_break_the_response(fault: Fault, error: type[CallError], runs: int) -> None:
    @run_async
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


@run_async
async def test_faults_with_a_complete_response() -> None:
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


@run_async
async def test_connections_beyond_the_limit_are_reset() -> None:
    engine = Engine(Shape(connection_limit=1), SPEED)
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.streams_paused():
            first = group.create_task(ask(engine, "a1"))
            await engine.wait_until(lambda: len(engine.runs) == 1)
            with pytest.raises(CallError):
                await ask(engine, "a2")
        assert (await first)[0] == 200
        assert len(engine.runs) == 1


# --- orders


@run_async
async def test_orders_are_validated() -> None:
    engine = Engine(speed=SPEED)
    async with serving(engine):
        assert await order(engine) == 400  # no such version yet
        engine.latest_versions["model"] = 2
        assert await order(engine, Holder=None) == 400
        assert await order(engine, Method="soon") == 400
        assert await order(engine, ExpectedCount=3) == 409
        assert await order(engine) == 202
        await engine.wait_until(lambda: engine.updating_model is None)
        assert (engine.models["model"], engine.sequence) == (2, 1)
        assert await order(engine) == 200
        assert await order(engine, FenceNumber=4) == 412
        assert await order(engine, Expected="x", ExpectedCount=1) == 200
        await engine.restart()
        assert (engine.models["model"], engine.sequence, engine.fence) == (2, 0, 0)


@run_async
async def test_waiting_method_finishes_runs_and_rejects_other_requests() -> None:
    engine = Engine(Shape(slots=1), SPEED)
    engine.latest_versions["model"] = 2
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.streams_paused():
            first = group.create_task(ask(engine, "a1"))
            await engine.wait_until(lambda: len(engine.runs) == 1)
            second = group.create_task(ask(engine, "a2"))
            await engine.wait_until(lambda: len(engine.queue) == 1)
            assert await order(engine) == 202
            assert await order(engine) == 409
            assert (await second)[0] == 503
            assert (await ask(engine, "a3"))[0] == 503
        assert (await first)[0] == 200
        await engine.wait_until(lambda: engine.updating_model is None)
        assert [run.id for run in engine.runs] == ["a1"]
        assert (await ask(engine, "a4", Expect_Version="2"))[1]["versions"] == "2"


@run_async
async def test_cutover_method_resets_streams_and_keep_method_continues_them() -> None:
    engine = Engine(speed=SPEED)
    engine.latest_versions["model"] = 3
    async with serving(engine), asyncio.TaskGroup() as group:
        with engine.streams_paused():
            continued = group.create_task(ask(engine, "a1"))
            await engine.wait_until(lambda: len(engine.runs) == 1)
            assert await order(engine, Method="keep") == 202
            await engine.wait_until(lambda: engine.updating_model is None)
        body = (await continued)[2]
        assert body.startswith(b"versions: 2\nid: 1\n")
        assert is_complete_stream(body, body_hash(BODY))
        engine.pause_streams()
        cut = asyncio.ensure_future(ask(engine, "a2"))
        await engine.wait_until(lambda: len(engine.runs) == 2)
        assert await order(engine, Method="cutover", Version=3) == 202
        with pytest.raises(CallError):
            await cut
        await engine.wait_until(lambda: engine.updating_model is None)
        assert engine.models["model"] == 3


# --- cached blocks


def test_least_recently_used_blocks_are_evicted_with_an_event() -> None:
    cache = PrefixCache(250)
    for name in ("a", "b"):
        cache.put(("s", "m", name), CachedBlock(100, "t", 1))
    assert [name for name, _ in cache.prefix("s", "m", [("a", 100), ("x", 1)])] == ["a"]
    cache.put(("s", "m", "c"), CachedBlock(100, "t", 1))
    assert [key[2] for key in cache.blocks] == ["a", "c"]
    assert [event[:4] for event in cache.events][-2:] == [[3, "+", "s", "c"], [4, "-", "s", "b"]]
    assert cache.prefix("other", "m", [("a", 100)]) == []
    cache.reserved_tokens = 200
    cache.evict_to_capacity()
    assert (cache.cached_tokens, dict(cache.blocks)) == (0, {})


@run_async
async def test_cached_blocks_are_not_prefilled_again_under_the_same_salt() -> None:
    engine = Engine(speed=SPEED)
    engine.latest_versions["model"] = 2
    async with serving(engine):
        await ask(engine, "a1", Cache_Salt="s")
        await ask(engine, "a2", Cache_Salt="s")
        await ask(engine, "a3", Cache_Salt="u")
        assert [run.prefilled_tokens for run in engine.runs] == [150, 0, 150]
        listed = json.loads((await fetch(engine.server.address, "GET", "/kv-list"))[2])
        assert ["s", "aa", 100, "model"] in listed["Held"]
        assert await order(engine) == 202
        await engine.wait_until(lambda: engine.updating_model is None)
        await ask(engine, "a4", Cache_Salt="s")
        assert engine.runs[-1].prefilled_tokens == 150


@run_async
async def test_events_start_after_a_token_and_a_waiting_call_returns_new_events() -> None:
    # In real time: the event must end the call before its wait expires.
    engine = Engine(Shape(event_poll_limit=1))
    engine.pace.speed = 1.0
    address = engine.server

    async def events(since: int, wait: int = 0) -> tuple[int, Any]:
        target = f"/kv-events?Since={since}"
        status, _, body = await fetch(address.address, "GET", target, [("Wait-Ms", str(wait))])
        return status, json.loads(body) if body else None

    async with serving(engine):
        assert (await events(0))[1] == {
            "Epoch": engine.prefix_cache.epoch,
            "NextToken": 0,
            "Lost": False,
            "Events": [],
        }
        engine.prefix_cache.put(("s", "model", "aa"), CachedBlock(100, "t", 1))
        _, response = await events(0, 1000)
        assert response["Events"] == [[1, "+", "s", "aa", 100, "model"]]
        engine.prefix_cache_handlers.pending_polls = 1
        assert (await events(1))[0] == 429
        engine.prefix_cache_handlers.pending_polls = 0
        epoch = engine.prefix_cache.epoch
        await engine.restart()
        _, response = await events(response["NextToken"])
        assert (response["Epoch"] != epoch, response["Lost"], response["NextToken"]) == (True, True, 0)


@run_async
async def test_blocks_pass_through_the_store_with_the_version_that_produced_them() -> None:
    store, one, two = CacheStore(), Engine(speed=SPEED), Engine(speed=SPEED)
    two.models["model"] = two.latest_versions["model"] = 2
    async with serving(store.server, one, two):
        store_address = store.server.address
        await ask(one, "a1", Tenant_Name="t", Kv_Save=store_address)
        assert len(store.cache.blocks) == 2
        await ask(two, "a2", Tenant_Name="u", Kv_Fetch=store_address)
        assert two.runs[0].prefilled_tokens == 0
        known = {"a1": sent("a1", "t"), "a2": sent("a2", "u")}
        breaches = judge(one.runs + two.runs, known, isolated=["t"])
        assert {breach.rule for breach in breaches} == {"STALE", "WALL"}
        store.restart()
        await ask(two, "a3", Cache_Salt="n", Kv_Fetch=store_address)
        assert two.runs[1].prefilled_tokens == 150
    async with serving(one):
        assert (await ask(one, "a4", Cache_Salt="n", Kv_Fetch=store_address))[0] == 200  # the store is down
