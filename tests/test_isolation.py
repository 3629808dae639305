"""Isolated tenants: whose cache a request can use while tenants become isolated, shared, or are removed."""

import asyncio
from collections import defaultdict
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plumline.configuration.document import Document
from plumline.configuration.entities import Tenant
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.router.upstream import UpstreamConnection
from plumline.routing.cache_salt import cache_owner_of, salt_for
from plumline.routing.fleet import Address
from tests.dispatch_world import (
    LONG,
    MODEL,
    REFUSAL,
    Act,
    Router,
    ScriptedEndpoint,
    answer,
    document,
    run_with_timeout,
    start_router,
    stream,
)

HALL, LIBRARY = "hall", "library"
CONNECT_TIMEOUT_S = 5.0  # a loaded test machine exceeds a router's default timeout
LONG_SHARED_PARTS = {name.replace("-", "_"): value for name, value in LONG.items()}
SHORT = {name.replace("-", "_"): value for name, value in MODEL.items()}


def tenants(**isolated: bool) -> list[Document]:
    return [{"Name": name, "ApiKeys": [f"key-{name}"], "Isolated": value} for name, value in isolated.items()]


BOTH_SHARE = tenants(hall=False, library=False)
LIBRARY_ISOLATED = tenants(hall=False, library=True)
LIBRARY_DROPPED = tenants(hall=False)


class Operator:
    """Applies configurations at a router, as its feed does."""

    def __init__(self, router: Router, **route: object) -> None:
        self.router, self.route, self.state = router, route, ReplicatedConfiguration()

    def set_tenants(self, listed: list[Document]) -> None:
        version = self.state.version + 1
        new = document(**self.route) | {"Version": version, "Tenants": listed}
        self.state = self.state.apply(["replace", version - 1, new])
        fleet = self.router.fleet
        fleet.state, fleet.table = self.state, RouteTable(new)
        fleet.notify("configuration")


async def router_and_operator(*peers: ScriptedEndpoint, **route: object) -> tuple[Router, Operator]:
    route = {"TimeoutMs": 9000} | route
    router = await start_router(document(**route) | {"Tenants": BOTH_SHARE}, *peers)
    router.dispatcher.pool.connect_timeout = CONNECT_TIMEOUT_S
    operator = Operator(router, **route)
    operator.set_tenants(BOTH_SHARE)
    return router, operator


# Guards against use of the shared cache by a tenant that becomes isolated while its request waits (review/1,
# WALL).
@pytest.mark.parametrize("listed", [LIBRARY_ISOLATED, LIBRARY_DROPPED], ids=["isolated", "dropped"])
def test_a_request_that_waits_while_its_tenant_leaves_the_shared_cache_uses_its_own(
    listed: list[Document],
) -> None:
    async def work() -> None:
        first_piece = asyncio.Event()
        slow = stream(first_piece, b"data: 1\n\n")
        peers = [ScriptedEndpoint(name, slow, stream(b"data: 2\n\n")) for name in ("e0", "e1")]
        route = {"Kind": "streaming", "TargetLatencyMs": 20_000, "TimeoutMs": 30_000}
        router, operator = await router_and_operator(*peers, **route)
        of_hall = asyncio.ensure_future(router.ask(X_Api_Key="key-hall", **LONG_SHARED_PARTS))
        while not any(each.heads for each in peers):
            await asyncio.sleep(0)
        of_library = asyncio.ensure_future(
            router.ask(Attempt_Id="id-2", X_Api_Key="key-library", **LONG_SHARED_PARTS)
        )
        while not router.counters.get("request-waited-for-reading"):
            await asyncio.sleep(0)
        operator.set_tenants(listed)
        first_piece.set()
        assert [(await each)[0] for each in (of_hall, of_library)] == [200, 200]
        salts = {head["tenant-name"]: head["cache-salt"] for each in peers for head in each.heads}
        assert salts == {HALL: "v1w0", LIBRARY: "v1t:library"}

    run_with_timeout(work())


# Guards against the same in a second attempt, which may be sent seconds after the admission.
def test_a_second_attempt_after_its_tenant_became_isolated_uses_its_own_cache() -> None:
    async def work() -> None:
        operator: Operator

        async def isolate_and_refuse(
            peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            operator.set_tenants(LIBRARY_ISOLATED)
            for each in peers:
                each.acts = [answer()]
            await REFUSAL(peer, head, writer)

        peers = [ScriptedEndpoint(name, isolate_and_refuse) for name in ("e0", "e1")]
        router, operator = await router_and_operator(*peers)
        assert (await router.ask(X_Api_Key="key-library", **SHORT))[0] == 200
        assert sorted(head["cache-salt"] for each in peers for head in each.heads) == ["v1t:library", "v1w0"]

    run_with_timeout(work())


# Guards against the same when the router resumes a stream, which may be seconds after the admission too.
def test_a_stream_resumed_after_its_tenant_became_isolated_uses_its_own_cache() -> None:
    async def work() -> None:
        operator: Operator

        async def isolate_and_cut(
            peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            operator.set_tenants(LIBRARY_ISOLATED)
            for each in peers:
                each.acts = [rest]
            await stream(b"id: 1\ndata: a\n\n", ends=False)(peer, head, writer)

        rest: Act = stream(b"id: 2\ndata: b\n\n")
        peers = [ScriptedEndpoint(name, isolate_and_cut) for name in ("e0", "e1")]
        router, operator = await router_and_operator(*peers, Kind="streaming", Resumable=True)
        assert (await router.ask(X_Api_Key="key-library", **SHORT))[0] == 200
        assert sorted(head["cache-salt"] for each in peers for head in each.heads) == ["v1t:library", "v1w0"]

    run_with_timeout(work())


# Guards against a change while a connection is made, between the choice of an endpoint and the send.
def test_a_request_whose_tenant_becomes_isolated_while_it_connects_uses_its_own_cache() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e0", answer())
        router, operator = await router_and_operator(peer)
        connect = router.dispatcher.pool.connect

        async def connect_late(key: str, address: Address) -> UpstreamConnection:
            connection = await connect(key, address)
            operator.set_tenants(LIBRARY_ISOLATED)
            router.dispatcher.pool.connect = connect  # type: ignore[method-assign]
            return connection

        router.dispatcher.pool.connect = connect_late  # type: ignore[method-assign]
        assert (await router.ask(X_Api_Key="key-library", **SHORT))[0] == 200
        assert [head["cache-salt"] for head in peer.heads] == ["v1t:library"]

    run_with_timeout(work())


# Guards against the same by a router that was frozen or is cut off: it can't know of the change (review/4).
@pytest.mark.parametrize("tenant", [HALL, LIBRARY])
def test_a_request_at_a_router_whose_configuration_is_too_old_shares_nothing(tenant: str) -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e0", *[answer()] * 6)
        router, operator = await router_and_operator(peer)
        operator.set_tenants(LIBRARY_ISOLATED)
        age, limit_s = router.fleet.configuration_age, router.dispatcher.age_limits.configuration_s
        for age_s in (limit_s + 0.01, limit_s + 60.0, limit_s + 60.0, limit_s / 2):
            age.confirmed_at = router.dispatcher.clock() - age_s
            assert (await router.ask(X_Api_Key=f"key-{tenant}", **SHORT))[0] == 200
        *outdated, recent = [head["cache-salt"] for head in peer.heads]
        assert len({*outdated, "v1w0", "v1w1", "v1t:library", "v1t:hall"}) == len(outdated) + 4
        assert recent == ("v1t:library" if tenant == LIBRARY else "v1w1")
        assert all("kv-fetch" not in head and "kv-save" not in head for head in peer.heads)

    run_with_timeout(work())


# Guards against a choice that was made in time and is sent when the configuration has become too old.
def test_a_request_whose_configuration_becomes_too_old_while_it_connects_shares_nothing() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e0", answer())
        router, _ = await router_and_operator(peer)
        connect = router.dispatcher.pool.connect

        async def connect_late(key: str, address: Address) -> UpstreamConnection:
            connection = await connect(key, address)
            router.fleet.configuration_age.confirmed_at = router.dispatcher.clock() - 60.0
            router.dispatcher.pool.connect = connect  # type: ignore[method-assign]
            return connection

        router.dispatcher.pool.connect = connect_late  # type: ignore[method-assign]
        assert (await router.ask(X_Api_Key="key-library", **SHORT))[0] == 200
        (head,) = peer.heads
        assert not head["cache-salt"].startswith("v1")

    run_with_timeout(work())


def test_a_request_that_waits_while_its_tenant_begins_to_share_uses_the_shared_cache() -> None:
    async def work() -> None:
        operator: Operator

        async def share_and_refuse(
            peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            operator.set_tenants(BOTH_SHARE)
            for each in peers:
                each.acts = [answer()]
            await REFUSAL(peer, head, writer)

        peers = [ScriptedEndpoint(name, share_and_refuse) for name in ("e0", "e1")]
        router, operator = await router_and_operator(*peers)
        operator.set_tenants(LIBRARY_ISOLATED)
        assert (await router.ask(X_Api_Key="key-library", **SHORT))[0] == 200
        assert sorted(head["cache-salt"] for each in peers for head in each.heads) == ["v1t:library", "v1w1"]

    run_with_timeout(work())


# Any history of configurations, with routers that lag behind and requests sent long after their admission.

NAMES = ("a", "b", "c")
#: Of each tenant: not listed, sharing, or isolated.
LISTINGS = st.lists(st.sampled_from([None, False, True]), min_size=len(NAMES), max_size=len(NAMES))
ROUTERS = 2


def states_of(listings: list[list[bool | None]]) -> list[tuple[ReplicatedConfiguration, RouteTable]]:
    """The state and the table after each configuration."""
    state, found = ReplicatedConfiguration(), []
    for version, listing in enumerate(listings, 1):
        listed = {name: value for name, value in zip(NAMES, listing, strict=True) if value is not None}
        new = {"Version": version, "Tenants": tenants(**listed)}
        state = state.apply(["replace", version - 1, new])
        found.append((state, RouteTable(new)))
    return found


@settings(deadline=None)
@given(
    listings=st.lists(LISTINGS, min_size=1, max_size=6),
    steps=st.lists(
        st.tuples(st.integers(0, ROUTERS - 1), st.integers(0, 2), st.sampled_from(NAMES), st.integers(0, 5)),
        max_size=30,
    ),
)
def test_no_history_lets_a_request_use_cache_entries_of_an_isolated_tenant(
    listings: list[list[bool | None]], steps: list[tuple[int, int, str, int]]
) -> None:
    """In each step a router applies some configurations, then sends a request of a tenant that was admitted
    some configurations earlier. Checked only at routers with the newest configuration that any router has:
    the lag of others is bounded by ConfigurationApplyMs.
    """
    states = states_of(listings)
    at = [0] * ROUTERS
    made_by: defaultdict[str, set[str]] = defaultdict(set)  # tenants by salt
    for router, advance, name, age in steps:
        at[router] = min(at[router] + advance, len(states) - 1)
        admitted: Any = states[max(at[router] - age, 0)][1].tenant_of(f"key-{name}")
        if admitted is None:
            continue
        state, table = states[at[router]]
        salt = salt_for(1, state.shared_cache_generation, cache_owner_of(admitted, table)).text
        isolated = {each for each in NAMES if table.tenant_of(f"key-{each}") == Tenant(each, isolated=True)}
        others = made_by[salt] - {name}
        if at[router] == max(at):
            assert not (others and name in isolated), "an isolated tenant finds what others made"
            assert not others & isolated, "what an isolated tenant made is found"
        made_by[salt].add(name)
