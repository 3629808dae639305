"""A router between clients and endpoints that misbehave at random, with records of what each side received.

All randomness comes from one seed. `World.play` runs the router's server, request path and connections in
virtual time (`virtual_net`) and returns the violated guarantees.
"""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import virtual_net
from virtual_net import MemoryTransport, VirtualLoop

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.counters import Counters
from plumline.router.dispatch import Dispatcher
from plumline.routing.fleet import Fleet
from plumline.settings import Bounds, Settings
from plumline.wire.server import Connection, FixedLimits, Server

ENDPOINTS = 6
CLIENTS = 6
REQUESTS_EACH = 4
TIMEOUT_S = 2.0  # of every route
MAX_DELAY_S = 0.5  # allowed delay of an answer, and of the end of an abandoned call
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
ROUTES = {  # name -> Kind, Resumable
    "once": ("non_idempotent", False),
    "again": ("idempotent", False),
    "stream": ("streaming", False),
    "resume": ("streaming", True),
}
STREAMS = ("stream", "resume")
COMMENT = b": still here\n\n"


def configuration() -> dict[str, Any]:
    routes = [
        {
            "Name": name,
            "Host": "h.example",
            "PathPrefix": f"/{name}/",
            "Kind": kind,
            "Resumable": resumable,
            "TimeoutMs": int(TIMEOUT_S * 1000),
            "TargetLatencyMs": 300,
            "Priority": 1,
            "Service": "s",
            "AttemptLimit": 3,
        }
        for name, (kind, resumable) in ROUTES.items()
    ]
    return {"Version": 1, "Routes": routes, "Services": [{"Name": "s", "ConnectionLimit": 600}]}


# Records of both sides.


@dataclass
class ClientRequest:
    """One request of a client, and the response that the client received."""

    id: str
    route: str
    body: bytes
    sent_at: float
    status: int = 0
    answer: bytes = b""
    complete: bool = False  # the response was received completely
    ended_at: float = 0.0  # time at which the response or the connection ended
    disconnected_at: float = 0.0  # time at which the client disconnected early, 0 if it didn't

    @property
    def has_events_without_id(self) -> bool:
        """Whether some events of the stream have no id."""
        return self.id[-2] in "0123"

    @property
    def event_count(self) -> int:
        return 1 + int(self.id[-1], 16) % 5

    def event(self, number: int, run: str) -> bytes:
        """An event of the stream. Events of streams that are not resumable contain the run that made them."""
        run_label = "" if self.route == "resume" else run
        id_line = b"" if self.has_events_without_id and number % 2 == 0 else b"id: %d\n" % number
        comment = COMMENT if self.has_events_without_id else b""
        return id_line + b"data: %b %b %d\n\n" % (self.id.encode(), run_label.encode(), number) + comment


@dataclass
class Arrival:
    """A request that an endpoint has received completely."""

    id: str
    endpoint: str
    at: float
    ran: bool = False
    finished_at: float = 0.0  # time at which the endpoint had finished, or its caller had disconnected
    expected_body: bytes = b""  # the complete body of the response
    sent_body: bytes | None = None  # the body, if it is sent completely in a trustworthy response


@dataclass
class CountingRetryBudget:
    """Test double for the retry budget: grants and counts all retries."""

    granted: int = 0

    def record_request(self, now: float, service: str) -> None:
        pass

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        self.granted += 1
        return True


@dataclass
class Answer:
    """A response of an endpoint and its encoding."""

    status: int = 200
    body: bytes = b""
    headers: list[bytes] = field(default_factory=list)

    def framed(self, chunk: int = 0) -> bytes:
        """The encoded response with Content-Length, or in chunks of this size."""
        if not chunk:
            return self.head(b"Content-Length: %d" % len(self.body)) + self.body
        parts = [self.body[at : at + chunk] for at in range(0, len(self.body), chunk)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        return self.head(b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"

    def head(self, framing: bytes | None = None) -> bytes:
        lines = [b"HTTP/1.1 %d It" % self.status, *self.headers]
        if framing is not None:
            lines.append(framing)
        return b"\r\n".join(lines) + b"\r\n\r\n"


# Endpoints.

Headers = dict[bytes, bytes]


class EndpointConnection(asyncio.Protocol):
    """Handles requests one after the other, each with a randomly drawn behaviour."""

    transport: MemoryTransport

    def __init__(self, world: "World", endpoint: str) -> None:
        self.world, self.endpoint, self.rng = world, endpoint, world.rng
        self.buffer = bytearray()
        self.refused_early = False  # the current request was refused before its body had arrived
        self.arrival: Arrival | None = None  # the request in progress
        self.task: asyncio.Task[None] | None = None
        self.last_response = b""  # on this connection
        self.delayed_surplus = b""  # belongs to no request and is sent when the next request arrives

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        if self.rng.random() < 0.1:  # idle connections may close at any time
            self.world.loop.call_later(self.rng.uniform(0.0, 3.0), self.close_if_idle)

    def close_if_idle(self) -> None:
        if self.task is None:
            self.transport.close() if self.rng.random() < 0.5 else self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.finish_arrival()
        if self.task and not self.task.done() and not error and self.rng.random() < 0.2:
            return  # some endpoints continue for a disconnected caller
        if self.task:
            self.task.cancel()

    def finish_arrival(self) -> None:
        if self.arrival is not None:
            self.arrival.finished_at = self.world.loop.time()
            self.arrival = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.process_buffer()

    def process_buffer(self) -> None:
        if self.task is not None:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        first, *lines = bytes(self.buffer[:end]).split(b"\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines)}
        length = int(headers.get(b"content-length", b"0"))
        body = bytes(self.buffer[end + 4 : end + 4 + length])
        id_ = headers.get(b"attempt-id", b"").decode()
        if len(body) < length:
            if not self.refused_early and self.rng.random() < 0.2:
                self.refused_early = True
                self.send_early_refusal(id_)
            return
        del self.buffer[: end + 4 + length]
        if self.refused_early:
            self.refused_early = False
            self.process_buffer()
            return
        arrival = Arrival(id_, self.endpoint, self.world.loop.time())
        self.arrival = arrival
        self.world.arrived(arrival, first, body)
        self.task = self.world.loop.create_task(self.serve(arrival, headers))

    def send_early_refusal(self, id_: str) -> None:
        """Responds before the request is complete; the rest of it is still read."""
        refusal = Answer(503, b"", [b"Attempt-Id: " + id_.encode(), b"Not-Executed: 1"])
        self.send(refusal.framed())
        if self.rng.random() < 0.3:
            self.transport.pause_reading()
            self.world.loop.call_later(self.rng.uniform(0.0, 1.0), self.transport.resume_reading)

    def send_surplus(self, data: bytes) -> None:
        """Sends surplus bytes, but not within another response, where they could not be distinguished."""
        if self.task is None:
            self.transport.write(data)
        else:
            self.delayed_surplus = data

    def send(self, data: bytes) -> None:
        self.last_response = data
        self.transport.write(data)

    async def serve(self, arrival: Arrival, headers: Headers) -> None:
        if self.delayed_surplus:
            self.transport.write(self.delayed_surplus)
            self.delayed_surplus = b""
        await asyncio.sleep(self.rng.choice([0.0, 0.002, 0.02]))
        request = self.world.requests.get(arrival.id)
        if request is None:
            self.transport.abort()
            return
        behaviour = self.world.draw_behaviour(request)
        await behaviour(self, request, arrival, headers)
        self.finish_arrival()
        self.task = None
        self.process_buffer()


Behaviour = Callable[[EndpointConnection, ClientRequest, Arrival, Headers], Any]


def response_body(request: ClientRequest, headers: Headers, run: str) -> bytes:
    """The body of the response; for a resumed stream, the events after Last-Event-Id."""
    if request.route not in STREAMS:
        return b"%b %b " % (request.id.encode(), run.encode()) + b"." * (int(request.id[:4], 16) % 300)
    after = 0
    if request.route == "resume" and headers.get(b"last-event-id", b"").isdigit():
        after = int(headers[b"last-event-id"])
    return b"".join(request.event(n, run) for n in range(after + 1, request.event_count + 1))


def start_response(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> Answer:
    """Marks the request as executed and returns the regular response."""
    arrival.ran = True
    run = f"run{len(connection.world.arrivals)}"
    body = arrival.expected_body = response_body(request, headers, run)
    lines = [b"Attempt-Id: " + request.id.encode(), b"Server-Seal: seal-" + connection.endpoint.encode()]
    if request.route in STREAMS:
        lines.append(b"Content-Type: text/event-stream")
    return Answer(200, body, lines)


async def send_in_parts(connection: EndpointConnection, data: bytes) -> None:
    """Sends the bytes in several parts with pauses."""
    rng = connection.rng
    for _ in range(rng.randrange(4)):
        at = rng.randrange(len(data) + 1)
        connection.transport.write(data[:at])
        data = data[at:]
        await asyncio.sleep(rng.choice([0.0, 0.002, 0.05]))
    connection.transport.write(data)


async def answer_correctly(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    rng = connection.rng
    answer = start_response(connection, request, arrival, headers)
    if rng.random() < 0.1:
        answer.headers.append(b"Connection: close")
    if rng.random() < 0.3:
        answer.headers.append(b"Keep-Alive: timeout=%d" % rng.randrange(5))
    data = answer.framed(rng.choice([0, 7, 40, 1000]))
    if rng.random() < 0.1:
        data = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * rng.randrange(1, 4) + data
    arrival.sent_body = answer.body
    await send_in_parts(connection, data)
    connection.last_response = data
    if b"Connection: close" in answer.headers:
        connection.transport.close()


async def answer_late(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """A correct response after a delay that may exceed the timeout of the route."""
    arrival.ran = True
    await asyncio.sleep(connection.rng.uniform(0.2, 1.1 * TIMEOUT_S))
    await answer_correctly(connection, request, arrival, headers)


async def answer_with_surplus(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """A correct response and surplus bytes: at once, soon, or when the next request arrives."""
    rng = connection.rng
    answer = start_response(connection, request, arrival, headers)
    surplus = rng.choice(
        [
            answer.framed(),
            b"HTTP/1.1 421 It\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 It\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 It\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nmore",
            b"HTTP/1.1 503 It\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            % request.id.encode(),
            b"more bytes",
            b"\r\n",
        ]
    )
    arrival.sent_body = answer.body
    when = rng.randrange(4)
    data = answer.framed(rng.choice([0, 9]))
    if when == 0:
        await send_in_parts(connection, data + surplus)
    else:
        await send_in_parts(connection, data)
        if when == 1:
            delay = rng.choice([0.0, 0.0005, 0.001, 0.002, 0.003, 0.1])
            connection.world.loop.call_later(delay, connection.send_surplus, surplus)
        else:
            connection.delayed_surplus = surplus


async def cut_short(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """The connection closes or stalls somewhere in the response."""
    rng = connection.rng
    answer = start_response(connection, request, arrival, headers)
    data = answer.framed(rng.choice([0, 7, 40]))
    cut = rng.choice([0, len(answer.head()), len(data) - 5, len(data) - 2, len(data) - 1])
    if rng.random() < 0.6:
        cut = rng.randrange(len(data))
    await send_in_parts(connection, data[: max(cut, 0)])
    end = rng.random()
    if end < 0.4:
        connection.transport.close()
    elif end < 0.8:
        connection.transport.abort()
    else:
        await asyncio.sleep(2 * TIMEOUT_S)


async def unframed(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """A response without a length, which ends when the connection closes, unless that is reset."""
    answer = start_response(connection, request, arrival, headers)
    data = answer.head() + answer.body
    end = connection.rng.random()
    if end < 0.5:
        arrival.sent_body = answer.body
        await send_in_parts(connection, data)
        connection.transport.close()
    elif end < 0.7 and request.route in STREAMS and answer.body:
        # A regular close within the last event.
        await send_in_parts(connection, data[: -connection.rng.randrange(1, 12)])
        connection.transport.close()
    else:
        await send_in_parts(connection, data[: len(data) - connection.rng.randrange(len(answer.body) + 1)])
        connection.transport.abort()


async def answer_wrongly(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """The request is executed, but the response is malformed, belongs to another request or is a failure."""
    rng = connection.rng
    answer = start_response(connection, request, arrival, headers)
    wrong = rng.randrange(10)
    if wrong == 0:
        answer.headers[0] = b"Attempt-Id: %016x" % rng.getrandbits(64)
    elif wrong == 1:
        del answer.headers[0]
    elif wrong == 2:
        del answer.headers[1]
    elif wrong == 3:
        answer.headers.append(b"Content-Encoding: gzip")
    elif wrong == 4:
        answer.status = rng.choice([500, 502, 504])
    elif wrong == 5:
        # Without Not-Executed.
        answer.status = rng.choice(NOT_EXECUTED_STATUSES[:1] + NOT_EXECUTED_STATUSES[2:])
    elif wrong == 6:
        answer.headers.append(b"Transfer-Encoding: chunked")
    elif wrong == 7 and connection.last_response:
        await send_in_parts(connection, connection.last_response)  # repeats an earlier response
        return
    elif wrong == 8:
        await send_in_parts(connection, b"\x16\x03\x01\x02 not an answer\r\n\r\n")
        return
    else:
        answer = Answer(421, b"", [b"Instance-Id: other"])
        if connection.last_response:  # after an earlier response this one can't be attributed
            connection.last_response = b""
            await send_in_parts(connection, answer.framed())
            return
        answer = Answer(200, b"", [])
    arrival.sent_body = answer.body if wrong in (4, 5) else None
    await send_in_parts(connection, answer.framed(0 if wrong == 6 else rng.choice([0, 9])))


async def refuse_unexecuted(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """The request is not executed, and the response proves it."""
    rng = connection.rng
    proof = b"Not-Executed: 1"
    lines = [b"Attempt-Id: " + request.id.encode()]
    answer = rng.choice(
        [
            Answer(503, b"full", [*lines, proof, b"Retry-After: 0.05"]),
            Answer(503, b"", [*lines, proof]),
            Answer(429, b"", [*lines, proof]),
            Answer(408, b"", [*lines, proof]),
            Answer(400, b"no", [*lines, proof]),
            Answer(421, b"", lines),
        ]
    )
    data = answer.framed(rng.choice([0, 3]))
    arrival.sent_body = answer.body
    if rng.random() < 0.2:  # the proof is in the head, so the body may be cut
        await send_in_parts(connection, data[: len(data) - (1 if answer.body else 0)])
        connection.transport.abort()
    else:
        await send_in_parts(connection, data)


async def resume_wrongly(
    connection: EndpointConnection, request: ClientRequest, arrival: Arrival, headers: Headers
) -> None:
    """A resumed stream that begins too early, or a response to it that is not a stream."""
    if request.route != "resume" or b"last-event-id" not in headers:
        await answer_correctly(connection, request, arrival, headers)
        return
    answer = start_response(connection, request, arrival, headers)
    if connection.rng.random() < 0.5:
        answer.body = b"".join(request.event(n, "") for n in range(1, request.event_count + 1))
    else:
        answer.headers[2] = b"Content-Type: text/html"
        answer.body = b"<p>sorry</p>\n\n"
    await send_in_parts(connection, answer.framed(connection.rng.choice([0, 11])))


BEHAVIOURS: list[tuple[Behaviour, int]] = [
    (answer_correctly, 8),
    (answer_late, 2),
    (answer_with_surplus, 4),
    (cut_short, 4),
    (unframed, 2),
    (answer_wrongly, 3),
    (refuse_unexecuted, 4),
    (resume_wrongly, 1),
]


# Clients.


class ClientConnection(asyncio.Protocol):
    """Sends requests one after the other or pipelined, reads the responses, and may disconnect early."""

    transport: MemoryTransport

    def __init__(self, world: "World") -> None:
        self.world = world
        self.buffer = bytearray()
        self.pending: list[ClientRequest] = []
        self.closed = False
        self.changed = asyncio.Event()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def encode_request(self, request: ClientRequest) -> bytes:
        self.pending.append(request)
        self.world.requests[request.id] = request
        lines = [b"POST /%b/x?y=1 HTTP/1.1" % request.route.encode(), b"Host: h.example"]
        lines += [b"Attempt-Id: " + request.id.encode(), b"Content-Length: %d" % len(request.body)]
        lines.append(b"Remaining-Milliseconds: %d" % (TIMEOUT_S * 1000))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while self.buffer:
            if not self.pending:
                self.world.fault("bytes on a connection where no request waits")
                self.buffer.clear()
                return
            if not self.parse_response(self.pending[0]):
                return
            self.pending.pop(0)
            self.changed.set()

    def parse_response(self, request: ClientRequest) -> bool:
        """Parses the next response as far as it was received, and returns whether it is complete."""
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return False
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        if not lines[0].startswith(b"HTTP/1.1 "):
            self.world.fault("bytes that are no answer")
        request.status = int(lines[0].split()[1])
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines[1:])}
        if headers.get(b"attempt-id", request.id.encode()) != request.id.encode():
            self.world.fault("an answer that belongs to another request")
        if request.status == 200 and b"server-seal" not in headers:
            self.world.fault("a success without the endpoint's seal")
        body, rest = read_body(bytes(self.buffer[end + 4 :]), headers)
        request.answer = body
        if rest is None:
            return False
        request.complete, request.ended_at = True, self.world.loop.time()
        self.buffer[:] = rest
        return True

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.closed = True
        for each in self.pending:
            each.ended_at = each.ended_at or self.world.loop.time()
        self.changed.set()


def read_body(data: bytes, headers: Headers) -> tuple[bytes, bytes | None]:
    """The received part of the body, and the bytes after it, which are None while the body is incomplete."""
    if b"content-length" in headers:
        length = int(headers[b"content-length"])
        return data[:length], data[length:] if len(data) >= length else None
    body = b""
    while True:
        size, found, rest = data.partition(b"\r\n")
        if not found:
            return body, None
        length = int(size, 16)
        if length == 0:
            return body, rest[2:] if len(rest) >= 2 else None
        if len(rest) < length + 2:
            return body + rest[:length], None
        body, data = body + rest[:length], rest[length + 2 :]


# The simulation.


class World:
    """One simulated run."""

    def __init__(
        self, seed: int, behaviours: list[tuple[Behaviour, int]] | None = None, unreachable: int | None = None
    ) -> None:
        """`unreachable`: the number of endpoints to which connections never open."""
        self.rng = random.Random(seed)
        self.unreachable = self.rng.choice([0, 0, 0, 1]) if unreachable is None else unreachable
        self.behaviours = behaviours or BEHAVIOURS
        self.requests: dict[str, ClientRequest] = {}
        self.arrivals: list[Arrival] = []
        self.retry_budget = CountingRetryBudget()
        self.faults: list[str] = []
        self.fault_details: list[tuple[str, str]] = []

    def fault(self, text: str, id_: str = "") -> None:
        self.faults.append(text)
        self.fault_details.append((text, id_))

    def draw_behaviour(self, request: ClientRequest) -> Behaviour:
        behaviours, weights = zip(*self.behaviours, strict=True)
        return self.rng.choices(behaviours, weights)[0]

    def arrived(self, arrival: Arrival, first: bytes, body: bytes) -> None:
        self.arrivals.append(arrival)
        request = self.requests.get(arrival.id)
        if request is None:
            self.fault("a request that no client sent")
        elif (first, body) != (b"POST /%b/x?y=1 HTTP/1.1" % request.route.encode(), request.body):
            self.fault("a request that was changed on its way")

    def play(self) -> list[str]:
        """Runs the simulation and returns the violated guarantees."""
        virtual_net.run(self.run)
        self.check_guarantees()
        return sorted(set(self.faults))

    async def run(self, loop: VirtualLoop) -> None:
        self.loop = loop
        fleet = Fleet()
        fleet.configuration_age.confirmed_at = math.inf
        fleet.fresh, fleet.state, fleet.table = True, ReplicatedConfiguration(), RouteTable(configuration())
        settings = Settings("n", "10.0.0.1", (1, 1), zone="z", bounds=Bounds(), first_start=True)
        roster = []
        for number in range(ENDPOINTS):
            address = ("10.0.1.1", 1000 + number)
            name = f"e{number}"
            loop.listeners[address] = lambda name=name: EndpointConnection(self, name)
            text = f"{address[0]}:{address[1]}"
            roster.append({"id": name, "service": "s", "address": text, "zone": "z", "slots": 8})
            roster[-1] |= {"draining": False, "cold_ms": 0, "models": {}}
        refusing = self.rng.randrange(3 * ENDPOINTS)
        if refusing < ENDPOINTS:
            loop.listeners["10.0.1.1", 1000 + refusing] = None
        for number in range(self.unreachable):
            loop.listeners.pop(("10.0.1.1", 1000 + number), None)
        fleet.set_roster(roster)
        self.dispatcher = Dispatcher(
            settings, fleet, Counters(), loop.time, random.Random(4), budget=self.retry_budget
        )
        self.server = Server(self.dispatcher.handle, lambda: FixedLimits(idle_timeout_ms=60_000))
        await asyncio.gather(*(self.run_client(number) for number in range(CLIENTS)))
        await asyncio.sleep(3 * TIMEOUT_S)
        self.check_nothing_left()

    def check_nothing_left(self) -> None:
        """Checks that no requests or connections are left over."""
        pool = self.dispatcher.pool
        if self.dispatcher.tasks:
            self.fault("a request that was never done with")
        if sum(pool.open.values()) != sum(len(each) for each in pool.idle.values()):
            self.fault("connections counted wrong")

    def new_request(self) -> ClientRequest:
        id_ = f"{self.rng.getrandbits(64):016x}"
        route = self.rng.choice(list(ROUTES))
        size = self.rng.choice([0, 10, 3000, 9000])
        body = (id_ * (size // 16 + 1)).encode()[:size]
        return ClientRequest(id_, route, body, self.loop.time())

    async def run_client(self, number: int) -> None:
        rng, connection = self.rng, None
        await asyncio.sleep(rng.uniform(0, 0.3))
        for _ in range(REQUESTS_EACH):
            if connection is None or connection.transport.is_closing() or rng.random() < 0.3:
                if connection is not None:
                    connection.transport.close()
                connection = ClientConnection(self)
                virtual_net.connect(self.loop, connection, Connection(self.server))
            at_once = [self.new_request() for _ in range(1 if rng.random() < 0.8 else 2)]
            data = b"".join(connection.encode_request(each) for each in at_once)
            incomplete = rng.random() < 0.1
            if incomplete:  # a request that stays incomplete
                data += b"POST /once/never HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: never\r\nContent-Le"
            cut = rng.randrange(len(data))
            connection.transport.write(data[:cut])
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.01]))
            connection.transport.write(data[cut:])
            max_wait_s = rng.choice([0.0, 0.01, 0.1]) if rng.random() < 0.15 else 2 * TIMEOUT_S
            if not await self.all_answered(connection, max_wait_s):
                for each in connection.pending:
                    each.disconnected_at = self.loop.time()
                connection.transport.close() if rng.random() < 0.5 else connection.transport.abort()
                connection = None
            elif incomplete:
                connection.transport.close()
            await asyncio.sleep(rng.choice([0.0, 0.0005, 0.002, 0.3]))
        if connection is not None:
            connection.transport.close()

    async def all_answered(self, connection: ClientConnection, max_wait_s: float) -> bool:
        """Whether all responses arrived, or the connection ended, within this many s."""
        try:
            async with asyncio.timeout(max_wait_s):
                while connection.pending and not connection.closed:
                    connection.changed.clear()
                    await connection.changed.wait()
        except TimeoutError:
            return False
        return True

    # Checks.

    def check_guarantees(self) -> None:
        runs: dict[str, list[Arrival]] = {}
        for each in self.arrivals:
            runs.setdefault(each.id, []).append(each)
        for request in self.requests.values():
            self.check_request(request, runs.get(request.id, []))
        repeats = len(self.arrivals) - len(runs)
        if repeats > self.retry_budget.granted:
            self.fault("a repeat that the budget didn't grant")

    def check_request(self, request: ClientRequest, arrivals: list[Arrival]) -> None:
        ran = [each for each in arrivals if each.ran]
        if request.route in ("once", "stream") and len(ran) > 1:
            self.fault("what may run once ran twice", request.id)
        if len(arrivals) > 3:
            self.fault("more sends than the route allows", request.id)
        if len({each.endpoint for each in arrivals}) < len(arrivals):
            self.fault("the same endpoint was sent a request twice", request.id)
        if request.complete and request.status in NOT_EXECUTED_STATUSES and ran:
            self.fault(f"{request.status} for what has run", request.id)
        if request.disconnected_at and any(
            each.at > request.disconnected_at + MAX_DELAY_S for each in arrivals
        ):
            self.fault("sent after the client had gone", request.id)
        request_end = request.disconnected_at or request.ended_at
        if any(each.finished_at > max(request_end, each.at) + MAX_DELAY_S for each in arrivals):
            self.fault("an endpoint left at work")
        if not request.disconnected_at and request.ended_at > request.sent_at + TIMEOUT_S + MAX_DELAY_S:
            self.fault("an answer after the route's time", request.id)
        if request.status == 200:
            self.check_success(request, ran)
        elif request.complete and request.status < 500 and request.status not in NOT_EXECUTED_STATUSES:
            if not any(each.sent_body == request.answer for each in arrivals):
                self.fault("a failure that no endpoint gave", request.id)

    def check_success(self, request: ClientRequest, ran: list[Arrival]) -> None:
        if request.route == "resume":
            expected = b"".join(request.event(n, "") for n in range(1, request.event_count + 1)).replace(
                COMMENT, b""
            )
            received = request.answer.replace(COMMENT, b"")  # comments are not events
            right = received == expected if request.complete else expected.startswith(received)
        elif request.complete:
            right = any(each.sent_body == request.answer for each in ran)
        else:
            right = any(each.expected_body.startswith(request.answer) for each in ran)
        if not right:
            wrong = (
                "a whole answer that no endpoint gave" if request.complete else "a piece of another answer"
            )
            self.fault(wrong, request.id)
