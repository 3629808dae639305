"""The router's request path against scripted endpoints: admission, endpoint selection and retries."""

import asyncio
import math
from dataclasses import replace

import pytest

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.router.request_handler import READING_POLL_S, STARTUP_S
from plumline.routing.configuration_age import AgeLimits
from plumline.wire.exchange import Exchange
from tests.dispatch_world import (
    LONG,
    MODEL,
    REFUSAL,
    STORE,
    TENANTS,
    Act,
    FixedBudget,
    Router,
    ScriptedEndpoint,
    answer,
    decode_chunked,
    document,
    parse_answer,
    reset,
    run_with_timeout,
    start_router,
    stream,
)


def test_with_revocation_closed_an_outdated_router_accepts_no_key() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document(), peer)
        dispatcher = router.dispatcher
        age = router.fleet.configuration_age
        age.confirmed_at = dispatcher.clock() - 60.0
        assert (await router.ask())[
            0
        ] == 200  # without `RevocationClosed`: served with the known configuration
        bounds = replace(dispatcher.bounds, revocation_closed=True, revocation_ms=5000)
        dispatcher.age_limits = AgeLimits.from_bounds(bounds)
        assert (await router.ask())[0] == 503
        age.confirmed_at = dispatcher.clock() - 3.0
        assert (await router.ask())[0] == 200
        assert len(peer.heads) == 2

    run_with_timeout(work())


def test_request_and_answer_go_through_unchanged_and_the_connection_is_kept() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer(201, b"body", X_More="1"))
        router = await start_router(document(), peer)
        for _ in range(2):
            status, headers, body = await router.ask(body=b"asked", X_Own="2", Remaining_Milliseconds="900")
            assert (status, body) == (201, b"body")
            assert headers["server-seal"] == "seal-e1" and headers["x-more"] == "1"
            assert headers["attempt-id"] == "id-1"
        head = peer.heads[1]
        assert head[":first"] == "POST /a/b?c=1 HTTP/1.1" and peer.bodies == [b"asked"] * 2
        assert head["host"] == "h.example" and head["x-own"] == "2" and head["expected-instance"] == "e1"
        assert 0 < int(head["remaining-milliseconds"]) < 900  # less the time waited and the margin
        assert peer.connections == 1

    run_with_timeout(work())


def test_the_route_timeout_applies_where_the_client_sends_none() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document(TimeoutMs=700), peer)
        await router.ask()
        await router.ask(Remaining_Milliseconds="90000")
        assert all(600 < int(head["remaining-milliseconds"]) < 700 for head in peer.heads)

    run_with_timeout(work())


def test_requests_without_configuration_route_or_key_are_denied() -> None:
    async def work() -> None:
        status, headers, _ = await (await start_router(None)).ask()
        assert status == 503 and 0 < float(headers["retry-after"]) < 1
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document() | {"Tenants": TENANTS}, peer)
        assert (await router.ask("/other/"))[0] == 404
        assert (await router.ask())[0] == 401
        assert (await router.ask(X_Api_Key="wrong", Tenant_Name="plain"))[0] == 401
        assert not peer.heads
        router.fleet.fresh = False  # the router's configuration may be outdated
        assert (await router.ask())[0] == 503
        router.fleet.fresh = True
        assert (await router.ask())[0] == 401
        router.fleet.configuration_age.confirmed_at = router.dispatcher.clock() - 60.0
        assert [(await router.ask(path))[0] for path in ("/a/b", "/other/")] == [503, 503]

    run_with_timeout(work())


def test_internal_headers_of_clients_are_dropped() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document() | {"Tenants": TENANTS}, peer)
        smuggled = {"Tenant_Name": "walled", "Cache_Salt": "x", "Kv_Fetch": "1.1.1.1:1", "Priority": "9"}
        assert (await router.ask(X_Api_Key="key-p", **smuggled))[0] == 200
        head = peer.heads[0]
        assert head["tenant-name"] == "plain"
        assert not {"x-api-key", "cache-salt", "kv-fetch", "priority"} & head.keys()
        router.fleet.table = RouteTable(document(PublicAccess=True) | {"Tenants": TENANTS})
        assert (await router.ask(**smuggled))[0] == 200
        assert "tenant-name" not in peer.heads[1]

    run_with_timeout(work())


def test_a_request_that_has_not_run_is_retried_even_if_it_is_not_idempotent() -> None:
    async def work() -> None:
        peers = [ScriptedEndpoint(f"e{n}", REFUSAL, answer()) for n in range(2)]
        peers[0].acts, peers[1].acts = [REFUSAL], [REFUSAL]
        router = await start_router(document(Kind="non_idempotent"), *peers)
        status, headers, _ = await router.ask()
        assert status == 503 and 0.2 <= float(headers["retry-after"]) <= 1
        assert [len(each.heads) for each in peers] == [1, 1]  # one attempt at each endpoint
        good = await ScriptedEndpoint("good", answer()).start()
        router = await start_router(
            document(Kind="non_idempotent"), await ScriptedEndpoint("bad", REFUSAL).start()
        )
        router.fleet.set_roster([*router.fleet.roster, good.entry(zone="far")])
        assert (await router.ask())[0] == 200
        assert len(good.heads) == 1

    run_with_timeout(work())


@pytest.mark.parametrize(
    "act",
    [
        reset,
        answer(seal=False),
        answer(Attempt_Id="another"),
        answer(Content_Encoding="gzip"),
        answer(503),
        answer(429, seal=False),
        answer(421, Attempt_Id="another"),
        answer(408),
        stream(ends=False),
    ],
)
def test_a_request_that_may_have_run_is_not_retried_and_answered_with_502(act: Act) -> None:
    async def work() -> None:
        peers = [ScriptedEndpoint(f"e{n}", act) for n in range(2)]
        router = await start_router(document(Kind="non_idempotent"), *peers)
        status, headers, _ = await router.ask()
        assert status == 502 and "retry-after" not in headers
        assert sum(len(each.heads) for each in peers) == 1

    run_with_timeout(work())


def test_an_idempotent_request_is_retried_and_an_unmatched_answer_ends_its_connection() -> None:
    async def work() -> None:
        peers = [ScriptedEndpoint(f"e{n}", answer(Attempt_Id="another"), answer()) for n in range(2)]
        router = await start_router(document(), *peers)
        assert (await router.ask())[0] == 502  # both answers carry another id
        assert (await router.ask())[0] == 200
        assert sum(each.connections for each in peers) == 3
        router = await start_router(document(), *(ScriptedEndpoint(f"f{n}", reset) for n in range(3)))
        assert (await router.ask())[0] == 502
        assert router.counters.get("send-broken") == 3

    run_with_timeout(work())


def test_attempt_limit_and_retry_budget_limit_the_attempts() -> None:
    async def work() -> None:
        peers = [ScriptedEndpoint(f"e{n}", REFUSAL) for n in range(4)]
        router = await start_router(document(AttemptLimit=2), *peers)
        assert (await router.ask())[0] == 503
        assert sum(len(each.heads) for each in peers) == 2
        peers = [ScriptedEndpoint(f"f{n}", REFUSAL) for n in range(4)]
        router = await start_router(document(), *peers, budget=FixedBudget(0))
        assert (await router.ask())[0] == 503
        assert sum(len(each.heads) for each in peers) == 1
        assert router.counters.get("request-over-budget") == 1
        peers = [ScriptedEndpoint(f"g{n}", reset) for n in range(4)]
        router = await start_router(document(), *peers, budget=FixedBudget(0))
        assert (await router.ask())[0] == 502

    run_with_timeout(work())


def test_a_failed_connection_is_not_counted_as_an_attempt() -> None:
    async def work() -> None:
        peers = [await ScriptedEndpoint(f"e{n}", answer()).start() for n in range(2)]
        peers[0].server.close()
        await peers[0].server.wait_closed()
        router = await Router(document(AttemptLimit=1), *peers, budget=FixedBudget(0)).start()
        for _ in range(4):
            assert (await router.ask())[0] == 200
        assert len(peers[1].heads) == 4

    run_with_timeout(work())


def test_an_address_of_another_incarnation_is_not_used_again() -> None:
    async def work() -> None:
        stale = ScriptedEndpoint("old", answer(421, b"", seal=False, Instance_Id="new"))
        router = await start_router(document(Kind="non_idempotent"), stale)
        assert [(await router.ask())[0] for _ in range(3)] == [503] * 3
        assert len(stale.heads) == 1 and router.counters.get("stale-endpoint") == 1
        assert router.dispatcher.outcomes.breakers["old"].failures == 0
        router.fleet.set_roster([stale.entry(id="new")])
        stale.acts = [answer()]
        assert (await router.ask())[0] == 200

    run_with_timeout(work())


def test_draining_and_moving_endpoints_get_no_new_requests() -> None:
    async def work() -> None:
        peers = [ScriptedEndpoint(f"e{n}", answer()) for n in range(3)]
        router = await start_router(document(), *peers)
        for _ in range(3):
            await router.ask()
        before = [len(each.heads) for each in peers]
        router.fleet.set_marks({"e1": {"moving": True}})
        router.fleet.set_roster([peers[0].entry(draining=True), peers[1].entry(), peers[2].entry()])
        assert [(await router.ask())[0] for _ in range(4)] == [200] * 4
        assert [len(each.heads) for each in peers] == [before[0], before[1], before[2] + 4]

    run_with_timeout(work())


def test_salt_version_store_and_priority_headers_are_consistent() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document() | {"Tenants": TENANTS}, peer)
        router.fleet.table.services["st"] = RouteTable({"Version": 1, "Services": [STORE]}).services["st"]
        router.fleet.state = ReplicatedConfiguration(model_versions={"m": 4}, shared_cache_generation=7)
        router.fleet.set_roster([peer.entry(models={"m": 4})])
        await router.ask(X_Api_Key="key-p", **MODEL)
        await router.ask(X_Api_Key="key-w", **MODEL)
        router.fleet.set_roster([peer.entry(models={"m": 5})])
        await router.ask(X_Api_Key="key-p", **MODEL)
        observed = [(h["cache-salt"], h["expect-version"], h["priority"]) for h in peer.heads]
        assert observed == [("v4w7", "4", "3"), ("v4t:walled", "4", "0"), ("v5w7", "5", "3")]
        # Parts that are read faster than they are transferred are neither fetched nor saved.
        assert not any({"kv-fetch", "kv-save"} & head.keys() for head in peer.heads)
        await router.ask(X_Api_Key="key-p", **LONG)
        assert peer.heads[-1]["kv-fetch"] == peer.heads[-1]["kv-save"] == "172.20.0.2:8080"
        # The part is already being saved, so it is not sent to the store again.
        await router.ask(X_Api_Key="key-p", **LONG)
        assert "kv-save" not in peer.heads[-1]
        router.fleet.set_roster([peer.entry(models={})])
        router.fleet.state = ReplicatedConfiguration()
        await router.ask(X_Api_Key="key-p", **LONG)
        await router.ask(X_Api_Key="key-p", **LONG)
        unknown = peer.heads[-2:]
        assert unknown[0]["cache-salt"] != unknown[1]["cache-salt"]
        assert not any({"expect-version", "kv-fetch", "kv-save"} & head.keys() for head in unknown)

    run_with_timeout(work())


def test_older_weights_are_used_like_newer_ones_until_the_apply_time_ends() -> None:
    """During a roll-out, endpoints with the older weights keep their caches and take their share."""

    async def work() -> None:
        old, new = ScriptedEndpoint("old", answer()), ScriptedEndpoint("new", answer())
        router = await start_router(document(), old, new)
        now = 100.0
        router.dispatcher.clock = lambda: now + asyncio.get_running_loop().time()
        router.dispatcher.versions.update(0.0)
        router.fleet.state = ReplicatedConfiguration(model_versions={"m": 2})
        router.fleet.notify("configuration")
        router.fleet.set_roster([old.entry(), new.entry(models={"m": 2})])
        late = {"Remaining_Milliseconds": "900000"}
        router.fleet.table = RouteTable(document(TimeoutMs=900_000))
        router.fleet.set_roster([old.entry()])
        assert (await router.ask(**MODEL, **late))[0] == 200
        router.fleet.set_roster([old.entry(), new.entry(models={"m": 2})])
        for _ in range(3):  # to the endpoint with an idle connection: newer weights do not outweigh it
            assert (await router.ask(**MODEL, **late))[0] == 200
        assert (len(old.heads), len(new.heads)) == (4, 0)
        assert {head["expect-version"] for head in old.heads} == {"1"}
        assert all(head["cache-salt"].startswith("v1w") for head in old.heads)
        before = len(old.heads), len(new.heads)
        now += 8.0
        for _ in range(10):
            assert (await router.ask(**MODEL, **late))[0] == 200
        assert (len(old.heads), len(new.heads)) == (before[0], before[1] + 10)
        assert {head["expect-version"] for head in new.heads} == {"2"}
        router.fleet.set_roster([old.entry()])
        assert (await router.ask(**MODEL, **late))[0] == 503
        assert len(old.heads) == before[0]

    run_with_timeout(work())


def test_connections_to_an_endpoint_are_limited_to_the_share_of_its_limit() -> None:
    async def work() -> None:
        never = asyncio.Event()
        peer = ScriptedEndpoint("e1", stream(b"data: 1\n\n", never))
        router = await start_router(document(Kind="streaming"), peer)
        router.fleet.routers = 45  # 90 / 45 = 2
        readers = [await router.open() for _ in range(2)]
        begun = [await each.readuntil(b"data: 1") for each in readers]
        third = await router.open()
        assert parse_answer(await third.read())[0] == 503
        never.set()
        for came, each in zip(begun, readers, strict=True):
            assert decode_chunked(parse_answer(came + await each.read())[2]) == (b"data: 1\n\n", True)
        assert peer.connections == 2

    run_with_timeout(work())


def test_an_open_breaker_refuses_at_once_with_retry_after() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", reset)
        router = await start_router(document(Kind="non_idempotent", AttemptLimit=1), peer)
        assert [(await router.ask())[0] for _ in range(3)] == [502] * 3
        status, headers, _ = await router.ask()
        assert status == 503 and float(headers["retry-after"]) == 1.0 and len(peer.heads) == 3

    run_with_timeout(work())


def test_a_request_whose_client_has_disconnected_is_not_sent() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document(), peer)
        seen = asyncio.Event()

        def disconnect_then_handle(exchange: Exchange) -> None:
            exchange.notify_client_disconnected()
            router.dispatcher.handle(exchange)
            seen.set()

        router.server.handler = disconnect_then_handle
        await router.open()
        await seen.wait()
        await router.dispatcher.drained()
        assert not peer.heads

    run_with_timeout(work())


def test_a_prompt_waits_while_its_shared_part_is_read_for_another_prompt() -> None:
    async def work() -> None:
        first_chunk = asyncio.Event()
        slow = stream(first_chunk, b"data: 1\n\n")
        peers = [
            ScriptedEndpoint("e0", slow, stream(b"data: 2\n\n")),
            ScriptedEndpoint("e1", slow, stream(b"data: 2\n\n")),
        ]
        router = await start_router(
            document(Kind="streaming", TargetLatencyMs=20_000, TimeoutMs=30_000), *peers
        )
        calls: list[int] = []
        router.dispatcher.outcomes.record_request = lambda keys, routes, now: calls.append(routes)  # type: ignore[method-assign]
        one = asyncio.ensure_future(router.ask(**as_keywords(LONG)))
        while not any(each.heads for each in peers):
            await asyncio.sleep(0)
        another = LONG | {"Prompt-Prefix": "aa:13300,cc:3700"}
        two = asyncio.ensure_future(router.ask(Attempt_Id="id-2", **as_keywords(another)))
        while not router.counters.get("request-waited-for-reading"):
            await asyncio.sleep(0)
        asked = len(calls)
        await asyncio.sleep(4 * READING_POLL_S)
        assert sum(len(each.heads) for each in peers) == 1
        assert (
            len(calls) == asked == 2
        )  # each request is reported to the breakers once, however long it waits
        first_chunk.set()
        assert [(await each)[0] for each in (one, two)] == [200, 200]
        assert sorted(len(each.heads) for each in peers) == [0, 2]  # the part is cached there by then

    run_with_timeout(work())


def test_the_wait_for_another_prompts_reading_is_limited_by_the_latency_target() -> None:
    async def work() -> None:
        never = asyncio.Event()
        peers = [ScriptedEndpoint("e0", stream(never)), ScriptedEndpoint("e1", stream(never))]
        router = await start_router(document(Kind="streaming", TargetLatencyMs=60, TimeoutMs=30_000), *peers)
        waiting = [
            asyncio.ensure_future(router.ask(Attempt_Id=f"id-{number}", **as_keywords(LONG)))
            for number in range(2)
        ]
        while sum(len(each.heads) for each in peers) < 2:
            await asyncio.sleep(0.001)
        for each in waiting:
            each.cancel()
        router.dispatcher.end_requests()

    run_with_timeout(work())


def test_a_request_waits_for_the_configuration_of_a_router_that_has_just_started() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e0", answer())
        router = await start_router(None, peer)
        early = asyncio.ensure_future(router.ask())
        while not router.counters.get("request-waited-for-start"):
            await asyncio.sleep(0)
        assert not peer.heads
        router.fleet.state = ReplicatedConfiguration()
        router.fleet.table = RouteTable(document())
        router.fleet.notify("configuration")
        assert (await early)[0] == 200

    run_with_timeout(work())


def test_a_request_waits_for_the_first_confirmation_of_a_configuration_and_shares_then() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e0", answer())
        router = await start_router(None, peer)
        fleet = router.fleet
        fleet.configuration_age.confirmed_at = -math.inf
        fleet.state, fleet.table = ReplicatedConfiguration(), RouteTable(document())
        fleet.notify("configuration")
        early = asyncio.ensure_future(router.ask(**as_keywords(MODEL)))
        while not router.counters.get("request-waited-for-start"):
            await asyncio.sleep(0)
        assert not peer.heads
        fleet.configuration_age.on_confirmed(router.dispatcher.clock(), 0, 0)
        fleet.notify("confirmed")
        assert (await early)[0] == 200
        assert peer.heads[0]["cache-salt"] == "v1w0"

    run_with_timeout(work())


def test_a_router_that_has_no_configuration_for_long_refuses_at_once() -> None:
    async def work() -> None:
        router = await start_router(None, ScriptedEndpoint("e0", answer()))
        router.dispatcher.started_at -= STARTUP_S
        status, headers, _ = await router.ask()
        assert status == 503 and float(headers["retry-after"]) > 0
        assert not router.counters.get("request-waited-for-start")

    run_with_timeout(work())


def as_keywords(headers: dict[str, str]) -> dict[str, str]:
    """The headers as keyword arguments."""
    return {name.replace("-", "_"): value for name, value in headers.items()}


def test_a_placement_is_announced_before_the_connection_is_opened() -> None:
    """If the announcement came after the body, another router could choose the same endpoint meanwhile."""

    async def work() -> None:
        peer = ScriptedEndpoint("e0", stream(b"data: 1\n\n"))
        router = await start_router(document(Kind="streaming"), peer)
        observed: list[tuple[str, int]] = []
        router.dispatcher.publish_prompt_event = lambda event: observed.append((event[0], peer.connections))
        assert (await router.ask(**as_keywords(LONG)))[0] == 200
        assert observed[0] == ("placed", 0) and [kind for kind, _ in observed] == ["placed", "read", "done"]

    run_with_timeout(work())
