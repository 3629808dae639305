"""What bounds a request in time: what endpoints are told, and the route's own time; and what a router says
that knows no configuration yet.
"""

import asyncio
from typing import Any

import pytest
from test_dispatch import Peer, answer, document, made, within
from test_dispatch import Router as DispatchingRouter
from wire_world import (
    TIMEOUT_S,
    Answer,
    Arrival,
    Asked,
    EndpointConnection,
    Headers,
    World,
    answer_well,
    pieces,
)

from plumline.configuration.route_table import RouteTable
from plumline.router.admission import remaining_ms
from plumline.router.process import UNCONFIGURED_LIMITS
from plumline.wire.server import FixedLimits, Server


@pytest.mark.parametrize(
    ("told", "ms"),
    [(b"1500", 1500.0), (b"1500.5", 1500.5), (b"0", 0.0), (b"soon", None), (b"-1", None), (b"1e9", None)],
)
def test_the_time_that_a_client_tells(told: bytes, ms: float | None) -> None:
    assert remaining_ms([(b"remaining-milliseconds", told)]) == (float("inf") if ms is None else ms)


def test_every_send_tells_a_time_that_ends_with_the_clients() -> None:
    """Also one that follows long after the first."""
    ends: list[tuple[float, float]] = []  # what the client and what the endpoint was told, in s of the run

    async def late_refusal(
        connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
    ) -> None:
        ends.append((asked.sent + TIMEOUT_S, arrival.at + int(headers[b"remaining-milliseconds"]) / 1000))
        await asyncio.sleep(connection.chance.uniform(0.3, 0.9))
        lines = [b"Attempt-Id: " + asked.id.encode(), b"Not-Executed: 1"]
        await pieces(connection, Answer(503, b"", lines).framed())

    repeats = 0
    for seed in range(10):
        world = World(seed, [(late_refusal, 1), (answer_well, 1)])
        assert world.play() == []
        repeats += world.allowance.granted
    assert repeats > 50
    # 10 ms on the way to the router, and up to 50 ms until an endpoint reads on behind its answer before.
    late = [(clients, ours) for clients, ours in ends if ours > clients + 0.08]
    assert late == []


def test_silent_endpoints_and_connections_that_never_come_up_end_with_the_routes_time() -> None:
    async def silence(
        connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
    ) -> None:
        arrival.ran = True
        await asyncio.sleep(3 * TIMEOUT_S)

    for seed in range(10):
        world = World(seed, [(silence, 1)], unreachable=3)
        assert world.play() == []
        waited = [each for each in world.asked.values() if not each.left and each.status]
        assert waited and {each.status for each in waited} <= {502, 503, 504}


def test_a_router_without_a_configuration_promises_503_for_what_it_may_allow() -> None:
    async def work() -> None:
        router = await made(None)
        router.server.limits = lambda: UNCONFIGURED_LIMITS
        for given in ({}, {"X_Api_Key": "any"}, {"X_Long": "x" * 30_000}, {"body": b"x" * 5_000_000}):
            status, headers, _ = await router.ask("/anything/", **given)
            assert status == 503 and float(headers["retry-after"]) < 1, given

    within(work())
    usual = FixedLimits()
    assert (
        UNCONFIGURED_LIMITS.header_bytes > usual.header_bytes
        and UNCONFIGURED_LIMITS.body_bytes > usual.body_bytes
    )


def test_an_older_router_says_503_where_a_newer_configuration_may_allow_it() -> None:
    async def work() -> None:
        router: DispatchingRouter = await made(document(), await Peer("e1", answer()).start())
        router.fleet.fresh = False
        assert (await router.ask("/other/"))[0] == 503
        assert (await router.ask())[0] == 200
        tenants: dict[str, Any] = {"Tenants": [{"Name": "t", "ApiKeys": ["k"]}]}
        router.fleet.table = RouteTable(document() | tenants)
        assert (await router.ask(X_Api_Key="new"))[0] == 503

    within(work())


def test_more_urgent_requests_are_told_so_to_the_endpoint() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document(), peer)
        told = []
        for rank in range(5):
            router.fleet.table = RouteTable(document(Priority=rank))
            await router.ask(Model_Name="m", Token_Counts="100,5", Prompt_Prefix="aa:100")
            told.append(int(peer.heads[-1]["priority"]))
        assert told == sorted(set(told))

    within(work())


def test_the_server_that_the_router_uses_takes_its_limits_anew_for_each_request() -> None:
    async def work() -> None:
        router = await made(document(), Peer("e1", answer()))
        assert isinstance(router.server, Server)
        limits = FixedLimits(header_bytes=400)
        router.server.limits = lambda: limits
        assert (await router.ask(X_Long="x" * 500))[0] == 431
        limits = FixedLimits(header_bytes=4000)
        assert (await router.ask(X_Long="x" * 500))[0] == 200

    within(work())


def test_a_request_sent_ahead_has_its_time_from_when_it_came() -> None:
    """Its client counts the time that it waits behind the one before."""

    async def work() -> None:
        release = asyncio.Event()
        told: list[int] = []

        async def act(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            told.append(int(head["remaining-milliseconds"]))
            await release.wait()
            await answer()(peer, head, writer)

        router = await made(document(), Peer("e1", act))
        loop = asyncio.get_running_loop()
        one = b"GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %d\r\nRemaining-Milliseconds: 900\r\n\r\n"
        reader, writer = await asyncio.open_connection(*router.server.address())
        writer.write(one % 1 + one % 2)
        loop.call_later(0.2, release.set)
        for _ in range(2):
            await reader.readuntil(b"whole")
        assert told[0] > 800 and told[1] < 700
        writer.close()

    within(work())
