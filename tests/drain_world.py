"""A router process that receives SIGTERM, an endpoint with answer times chosen per request, and clients that
keep their connections; all in virtual time (`virtual_net`)."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import virtual_net
from virtual_net import VirtualLoop
from wire_world import read_body

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.router.process import Router
from plumline.settings import Bounds, Settings
from plumline.wire.server import Connection

GRACE_S = 8.0
ENDPOINT = ("10.0.1.1", 1000)
ROUTE_TIMEOUT_S = 12.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def configuration() -> dict[str, Any]:
    route = {
        "Name": "stream",
        "Host": "h.example",
        "PathPrefix": "/a/",
        "Kind": "streaming",
        "TimeoutMs": int(ROUTE_TIMEOUT_S * 1000),
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": "s",
        "AttemptLimit": 1,
    }
    return {"Version": 1, "Routes": [route], "Services": [{"Name": "s", "ConnectionLimit": 600}]}


class SlowEndpoint(asyncio.Protocol):
    """Answers `/a/FIRST/LAST` with a stream: its first event after FIRST s, its last one after LAST s."""

    transport: Any

    def __init__(self, world: "DrainWorld") -> None:
        self.world = world
        self.buffer = bytearray()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        if self.task:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, ends, _ = bytes(self.buffer).partition(b"\r\n\r\n")
        if not ends:
            return
        first, *lines = head.split(b"\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines)}
        length = int(headers.get(b"content-length", b"0"))
        if len(self.buffer) < len(head) + 4 + length:
            return
        del self.buffer[: len(head) + 4 + length]
        request_id = headers[b"attempt-id"].decode()
        self.world.arrivals[request_id] = self.world.loop.time()
        _, first_s, last_s = first.split()[1].decode().rsplit("/", 2)
        self.task = self.world.loop.create_task(self.answer(request_id, float(first_s), float(last_s)))

    async def answer(self, request_id: str, first_s: float, last_s: float) -> None:
        await asyncio.sleep(first_s)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            b"Server-Seal: seal\r\nAttempt-Id: %b\r\n\r\n" % request_id.encode()
        )
        self.write_event(1)
        await asyncio.sleep(last_s - first_s)
        self.write_event(2)
        self.transport.write(b"0\r\n\r\n")

    def write_event(self, number: int) -> None:
        event = b"id: %d\n\n" % number
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))


@dataclass(slots=True)
class ClientRequest:
    """A request of a client. Times are seconds of the virtual clock."""

    id: str
    sent_at: float
    timeout_s: float
    ended_event: asyncio.Event = field(default_factory=asyncio.Event)  # set when it was answered or cut
    status: int = 0
    complete: bool = False
    closes: bool = False  # the answer says `Connection: close`
    ended_at: float = 0.0


class Client(asyncio.Protocol):
    """One connection, kept for as long as the router keeps it."""

    transport: Any

    def __init__(self, world: "DrainWorld") -> None:
        self.world = world
        self.buffer = bytearray()
        self.request: ClientRequest | None = None
        self.closed = False

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def send_request(
        self, first_s: float, last_s: float, timeout_s: float, body: bytes = b""
    ) -> ClientRequest:
        """Sends a request at once; `timeout_s` is its `Remaining-Milliseconds`, in s."""
        request = self.new_request(timeout_s)
        self.transport.write(self.head(request, first_s, last_s, len(body)) + body)
        return request

    def new_request(self, timeout_s: float) -> ClientRequest:
        request = self.request = ClientRequest(
            f"{len(self.world.requests):016x}", self.world.loop.time(), timeout_s
        )
        self.world.requests.append(request)
        return request

    @staticmethod
    def head(request: ClientRequest, first_s: float, last_s: float, length: int = 0) -> bytes:
        lines = [f"POST /a/{first_s}/{last_s} HTTP/1.1", "Host: h.example", f"Attempt-Id: {request.id}"]
        lines += [f"Remaining-Milliseconds: {request.timeout_s * 1000:.0f}", f"Content-Length: {length}"]
        return "\r\n".join([*lines, "", ""]).encode()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        request = self.request
        assert request is not None, "bytes on a connection without an outstanding request"
        head, ends, rest = bytes(self.buffer).partition(b"\r\n\r\n")
        if not ends:
            return
        first, *lines = head.split(b"\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines)}
        request.status = int(first.split()[1])
        request.closes = headers.get(b"connection") == b"close"
        if read_body(rest, headers)[1] is None:
            return
        request.complete = True
        self.buffer.clear()
        self.finish()

    def finish(self) -> None:
        request, self.request = self.request, None
        if request is not None:
            request.ended_at = self.world.loop.time()
            request.ended_event.set()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.closed = True
        self.finish()


class DrainWorld:
    """One router. `at(seconds)` waits until that time after the start; `terminate` sends SIGTERM."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.started_at = loop, loop.time()
        self.requests: list[ClientRequest] = []
        self.arrivals: dict[str, float] = {}  # at the endpoint, by request
        settings = Settings(
            "n", "10.0.0.1", (1, 1), zone="z", bounds=Bounds(grace_period_s=GRACE_S), first_start=True
        )
        loop.listeners[ENDPOINT] = lambda: SlowEndpoint(self)
        self.router = Router(settings)
        fleet = self.router.fleet
        fleet.configuration_age.confirmed_at = math.inf
        fleet.fresh, fleet.state, fleet.table = True, ReplicatedConfiguration(), RouteTable(configuration())
        endpoint = {"id": "e", "service": "s", "address": f"{ENDPOINT[0]}:{ENDPOINT[1]}", "zone": "z"}
        fleet.set_roster([endpoint | {"slots": 64, "draining": False, "cold_ms": 0, "models": {}}])
        self.terminated_at = 0.0
        self.stopped = loop.create_task(self.router.lifecycle.run_until_stopped())

    def connect(self) -> Client:
        client = Client(self)
        virtual_net.connect(self.loop, client, Connection(self.router.server))
        return client

    async def at(self, seconds: float) -> None:
        await asyncio.sleep(self.started_at + seconds - self.loop.time())

    def terminate(self) -> None:
        """Delivers SIGTERM."""
        self.terminated_at = self.loop.time()
        self.router.lifecycle.begin_shutdown()

    def lost(self) -> list[ClientRequest]:
        """Requests that reached the endpoint and were cut by the process's end before their deadline, as the
        operators count them: a request sent within 3 s of SIGTERM is not counted if it was cut in the last
        sixth of the grace period."""
        return [each for each in self.requests if self.is_lost(each)]

    def is_lost(self, request: ClientRequest) -> bool:
        if request.complete or request.id not in self.arrivals or not request.ended_at:
            return False
        if request.ended_at >= request.sent_at + min(request.timeout_s, ROUTE_TIMEOUT_S) - 0.01:
            return False
        sent_after_s = request.sent_at - self.terminated_at
        cut_after_s = request.ended_at - self.terminated_at
        return sent_after_s > 3.0 or cut_after_s < GRACE_S * 5 / 6


def run_scenario(scenario: Callable[[DrainWorld], Awaitable[None]]) -> None:
    """Runs the scenario, then waits for the router's end."""

    async def run(loop: VirtualLoop) -> None:
        world = DrainWorld(loop)
        await scenario(world)
        await world.stopped
        await asyncio.sleep(0.1)  # until its last bytes have arrived

    virtual_net.run(run)
