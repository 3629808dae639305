"""Time limits of a request: the remaining time sent to endpoints, and the route's timeout; and the answers
of a router without a configuration.
"""

import asyncio
from typing import Any

import pytest
from test_dispatch import Router as DispatchingRouter
from test_dispatch import ScriptedEndpoint, answer, document, run_with_timeout, start_router
from wire_world import (
    TIMEOUT_S,
    Answer,
    Arrival,
    ClientRequest,
    EndpointConnection,
    Headers,
    World,
    answer_correctly,
    send_in_parts,
)

from plumline.configuration.route_table import RouteTable
from plumline.router.admission import remaining_ms
from plumline.router.process import UNCONFIGURED_LIMITS
from plumline.wire.server import FixedLimits, Server


@pytest.mark.parametrize(
    ("value", "ms"),
    [(b"1500", 1500.0), (b"1500.5", 1500.5), (b"0", 0.0), (b"soon", None), (b"-1", None), (b"1e9", None)],
)
def test_parsing_of_remaining_milliseconds(value: bytes, ms: float | None) -> None:
    assert remaining_ms([(b"remaining-milliseconds", value)]) == (float("inf") if ms is None else ms)


def test_every_attempt_is_sent_with_the_clients_deadline() -> None:
    """Also for a retry long after the first attempt."""
    ends: list[tuple[float, float]] = []  # deadlines of the client and of the endpoint, in s of the run

    async def late_refusal(
        connection: EndpointConnection, asked: ClientRequest, arrival: Arrival, headers: Headers
    ) -> None:
        ends.append((asked.sent_at + TIMEOUT_S, arrival.at + int(headers[b"remaining-milliseconds"]) / 1000))
        await asyncio.sleep(connection.rng.uniform(0.3, 0.9))
        lines = [b"Attempt-Id: " + asked.id.encode(), b"Not-Executed: 1"]
        await send_in_parts(connection, Answer(503, b"", lines).framed())

    repeats = 0
    for seed in range(10):
        world = World(seed, [(late_refusal, 1), (answer_correctly, 1)])
        assert world.play() == []
        repeats += world.retry_budget.granted
    assert repeats > 50
    # 10 ms in transit to the router, and up to 50 ms until an endpoint reads on after its previous answer.
    late = [(client_s, endpoint_s) for client_s, endpoint_s in ends if endpoint_s > client_s + 0.08]
    assert late == []


def test_silent_endpoints_and_failing_connections_end_at_the_route_timeout() -> None:
    async def silence(
        connection: EndpointConnection, asked: ClientRequest, arrival: Arrival, headers: Headers
    ) -> None:
        arrival.ran = True
        await asyncio.sleep(3 * TIMEOUT_S)

    for seed in range(10):
        world = World(seed, [(silence, 1)], unreachable=3)
        assert world.play() == []
        waited = [each for each in world.requests.values() if not each.disconnected_at and each.status]
        assert waited and {each.status for each in waited} <= {502, 503, 504}


def test_a_router_without_a_configuration_answers_503_to_requests_it_may_allow() -> None:
    async def work() -> None:
        router = await start_router(None)
        router.server.limits = lambda: UNCONFIGURED_LIMITS
        for given in ({}, {"X_Api_Key": "any"}, {"X_Long": "x" * 30_000}, {"body": b"x" * 5_000_000}):
            status, headers, _ = await router.ask("/anything/", **given)
            assert status == 503 and float(headers["retry-after"]) < 1, given

    run_with_timeout(work())
    usual = FixedLimits()
    assert (
        UNCONFIGURED_LIMITS.max_header_bytes > usual.max_header_bytes
        and UNCONFIGURED_LIMITS.max_body_bytes > usual.max_body_bytes
    )


def test_an_outdated_router_answers_503_where_a_newer_configuration_may_allow_it() -> None:
    async def work() -> None:
        router: DispatchingRouter = await start_router(
            document(), await ScriptedEndpoint("e1", answer()).start()
        )
        router.fleet.fresh = False
        assert (await router.ask("/other/"))[0] == 503
        assert (await router.ask())[0] == 200
        tenants: dict[str, Any] = {"Tenants": [{"Name": "t", "ApiKeys": ["k"]}]}
        router.fleet.table = RouteTable(document() | tenants)
        assert (await router.ask(X_Api_Key="new"))[0] == 503

    run_with_timeout(work())


def test_the_priority_rank_is_sent_to_the_endpoint() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document(), peer)
        priorities = []
        for rank in range(5):
            router.fleet.table = RouteTable(document(Priority=rank))
            await router.ask(Model_Name="m", Token_Counts="100,5", Prompt_Prefix="aa:100")
            priorities.append(int(peer.heads[-1]["priority"]))
        assert priorities == sorted(set(priorities))

    run_with_timeout(work())


def test_the_server_reads_its_limits_for_each_request() -> None:
    async def work() -> None:
        router = await start_router(document(), ScriptedEndpoint("e1", answer()))
        assert isinstance(router.server, Server)
        limits = FixedLimits(max_header_bytes=400)
        router.server.limits = lambda: limits
        assert (await router.ask(X_Long="x" * 500))[0] == 431
        limits = FixedLimits(max_header_bytes=4000)
        assert (await router.ask(X_Long="x" * 500))[0] == 200

    run_with_timeout(work())


def test_the_time_of_a_pipelined_request_starts_when_it_arrives() -> None:
    """The time that it waits for the request before it counts against its client's limit."""

    async def work() -> None:
        release = asyncio.Event()
        remaining_ms_sent: list[int] = []

        async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            remaining_ms_sent.append(int(head["remaining-milliseconds"]))
            await release.wait()
            await answer()(peer, head, writer)

        router = await start_router(document(), ScriptedEndpoint("e1", act))
        loop = asyncio.get_running_loop()
        one = b"GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %d\r\nRemaining-Milliseconds: 900\r\n\r\n"
        reader, writer = await asyncio.open_connection(*router.server.address())
        writer.write(one % 1 + one % 2)
        loop.call_later(0.2, release.set)
        for _ in range(2):
            await reader.readuntil(b"whole")
        assert remaining_ms_sent[0] > 800 and remaining_ms_sent[1] < 700
        writer.close()

    run_with_timeout(work())
