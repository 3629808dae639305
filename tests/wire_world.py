"""A router between clients and endpoints that misbehave at random, and what each side saw of the others.

Everything is drawn from one seed. `World.play` runs the router's own server, request path and connections in
virtual time (`virtual_net`); `World.faults` then lists which of the promises were broken.
"""

import asyncio
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
LATE_S = 0.5  # after which an answer, or the end of a call given up, is late
PROMISES = (408, 421, 429, 503)
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


# What the two sides keep.


@dataclass
class Asked:
    """One request of a client, and the answer that the client read."""

    id: str
    route: str
    body: bytes
    sent: float
    status: int = 0
    answer: bytes = b""
    complete: bool = False  # the answer came to its end
    ended: float = 0.0  # when the answer, or the connection, ended
    left: float = 0.0  # when the client went away without waiting, 0 if it didn't

    @property
    def nameless(self) -> bool:
        """Whether some events of the stream have no id."""
        return self.id[-2] in "0123"

    @property
    def pieces(self) -> int:
        return 1 + int(self.id[-1], 16) % 5

    def piece(self, number: int, run: str) -> bytes:
        """An event of the stream. One that may not be resumed shows which run made it."""
        shown = "" if self.route == "resume" else run
        named = b"" if self.nameless and number % 2 == 0 else b"id: %d\n" % number
        comment = COMMENT if self.nameless else b""
        return named + b"data: %b %b %d\n\n" % (self.id.encode(), shown.encode(), number) + comment


@dataclass
class Arrival:
    """A request read whole by an endpoint."""

    id: str
    endpoint: str
    at: float
    ran: bool = False
    done: float = 0.0  # when the endpoint had done with it, or its caller had left
    full: bytes = b""  # the body that its answer should have
    whole: bytes | None = None  # the same, if that is sent to its end in an answer that can be relied on


@dataclass
class Allowance:
    """Stands in for the budget of repeats: allows all of them, and counts."""

    granted: int = 0

    def record_request(self, now: float, service: str) -> None:
        pass

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        self.granted += 1
        return True


@dataclass
class Answer:
    """How an endpoint puts an answer on the wire."""

    status: int = 200
    body: bytes = b""
    headers: list[bytes] = field(default_factory=list)

    def framed(self, chunk: int = 0) -> bytes:
        """With a length, or in chunks of this size."""
        if not chunk:
            return self.head(b"Content-Length: %d" % len(self.body)) + self.body
        parts = [self.body[at : at + chunk] for at in range(0, len(self.body), chunk)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in parts)
        return self.head(b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"

    def head(self, framing: bytes | None = None) -> bytes:
        lines = [b"HTTP/1.1 %d It" % self.status, *self.headers]
        if framing is not None:
            lines.append(framing)
        return b"\r\n".join(lines) + b"\r\n\r\n"


# Endpoints.

Headers = dict[bytes, bytes]


class EndpointConnection(asyncio.Protocol):
    """Reads requests one after the other and does with each what chance says."""

    transport: MemoryTransport

    def __init__(self, world: "World", endpoint: str) -> None:
        self.world, self.endpoint, self.chance = world, endpoint, world.chance
        self.buffer = bytearray()
        self.turned_away = False  # the request at hand was, before its body was in
        self.arrival: Arrival | None = None  # the request at work
        self.task: asyncio.Task[None] | None = None
        self.last = b""  # the newest answer on this connection
        self.late = b""  # what belongs to no request and is sent as soon as another one comes

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        if self.chance.random() < 0.1:  # idle connections end at any time
            self.world.loop.call_later(self.chance.uniform(0.0, 3.0), self.end_idle)

    def end_idle(self) -> None:
        if self.task is None:
            self.transport.close() if self.chance.random() < 0.5 else self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.note_done()
        if self.task and not self.task.done() and not error and self.chance.random() < 0.2:
            return  # some work on for a caller that has left
        if self.task:
            self.task.cancel()

    def note_done(self) -> None:
        if self.arrival is not None:
            self.arrival.done = self.world.loop.time()
            self.arrival = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.read_on()

    def read_on(self) -> None:
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
            if not self.turned_away and self.chance.random() < 0.2:
                self.turned_away = True
                self.say_early(id_)
            return
        del self.buffer[: end + 4 + length]
        if self.turned_away:
            self.turned_away = False
            self.read_on()
            return
        arrival = Arrival(id_, self.endpoint, self.world.loop.time())
        self.arrival = arrival
        self.world.arrived(arrival, first, body)
        self.task = self.world.loop.create_task(self.serve(arrival, headers))

    def say_early(self, id_: str) -> None:
        """An answer before the request is in; the rest of it is still read."""
        refusal = Answer(503, b"", [b"Attempt-Id: " + id_.encode(), b"Not-Executed: 1"])
        self.send(refusal.framed())
        if self.chance.random() < 0.3:
            self.transport.pause_reading()
            self.world.loop.call_later(self.chance.uniform(0.0, 1.0), self.transport.resume_reading)

    def say_surplus(self, data: bytes) -> None:
        """Not within another answer, though: nobody could tell that apart."""
        if self.task is None:
            self.transport.write(data)
        else:
            self.late = data

    def send(self, data: bytes) -> None:
        self.last = data
        self.transport.write(data)

    async def serve(self, arrival: Arrival, headers: Headers) -> None:
        if self.late:
            self.transport.write(self.late)
            self.late = b""
        await asyncio.sleep(self.chance.choice([0.0, 0.002, 0.02]))
        asked = self.world.asked.get(arrival.id)
        if asked is None:
            self.transport.abort()
            return
        act = self.world.draw_act(asked)
        await act(self, asked, arrival, headers)
        self.note_done()
        self.task = None
        self.read_on()


Act = Callable[[EndpointConnection, Asked, Arrival, Headers], Any]


def whole_body(asked: Asked, headers: Headers, run: str) -> bytes:
    """What the request's answer is; of a stream that is resumed, what follows the event named."""
    if asked.route not in STREAMS:
        return b"%b %b " % (asked.id.encode(), run.encode()) + b"." * (int(asked.id[:4], 16) % 300)
    after = 0
    if asked.route == "resume" and headers.get(b"last-event-id", b"").isdigit():
        after = int(headers[b"last-event-id"])
    return b"".join(asked.piece(n, run) for n in range(after + 1, asked.pieces + 1))


def begin(connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers) -> Answer:
    """The endpoint begins to work on the request: the answer that it would give."""
    arrival.ran = True
    run = f"run{len(connection.world.arrivals)}"
    body = arrival.full = whole_body(asked, headers, run)
    lines = [b"Attempt-Id: " + asked.id.encode(), b"Server-Seal: seal-" + connection.endpoint.encode()]
    if asked.route in STREAMS:
        lines.append(b"Content-Type: text/event-stream")
    return Answer(200, body, lines)


async def pieces(connection: EndpointConnection, data: bytes) -> None:
    """Sends the bytes in a few parts, with pauses."""
    chance = connection.chance
    for _ in range(chance.randrange(4)):
        at = chance.randrange(len(data) + 1)
        connection.transport.write(data[:at])
        data = data[at:]
        await asyncio.sleep(chance.choice([0.0, 0.002, 0.05]))
    connection.transport.write(data)


async def answer_well(
    connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
) -> None:
    chance = connection.chance
    answer = begin(connection, asked, arrival, headers)
    if chance.random() < 0.1:
        answer.headers.append(b"Connection: close")
    if chance.random() < 0.3:
        answer.headers.append(b"Keep-Alive: timeout=%d" % chance.randrange(5))
    data = answer.framed(chance.choice([0, 7, 40, 1000]))
    if chance.random() < 0.1:
        data = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * chance.randrange(1, 4) + data
    arrival.whole = answer.body
    await pieces(connection, data)
    connection.last = data
    if b"Connection: close" in answer.headers:
        connection.transport.close()


async def answer_late(
    connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
) -> None:
    """A good answer that takes its time, up to beyond the route's."""
    arrival.ran = True
    await asyncio.sleep(connection.chance.uniform(0.2, 1.1 * TIMEOUT_S))
    await answer_well(connection, asked, arrival, headers)


async def answer_and_more(
    connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
) -> None:
    """A good answer, and another that belongs to no request: at once, soon, or as the next request comes."""
    chance = connection.chance
    answer = begin(connection, asked, arrival, headers)
    surplus = chance.choice(
        [
            answer.framed(),
            b"HTTP/1.1 421 It\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 It\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 It\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nmore",
            b"HTTP/1.1 503 It\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            % asked.id.encode(),
            b"more bytes",
            b"\r\n",
        ]
    )
    arrival.whole = answer.body
    when = chance.randrange(4)
    data = answer.framed(chance.choice([0, 9]))
    if when == 0:
        await pieces(connection, data + surplus)
    else:
        await pieces(connection, data)
        if when == 1:
            delay = chance.choice([0.0, 0.0005, 0.001, 0.002, 0.003, 0.1])
            connection.world.loop.call_later(delay, connection.say_surplus, surplus)
        else:
            connection.late = surplus


async def cut_short(connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers) -> None:
    """The connection ends, or says no more, somewhere in the answer."""
    chance = connection.chance
    answer = begin(connection, asked, arrival, headers)
    data = answer.framed(chance.choice([0, 7, 40]))
    cut = chance.choice([0, len(answer.head()), len(data) - 5, len(data) - 2, len(data) - 1])
    if chance.random() < 0.6:
        cut = chance.randrange(len(data))
    await pieces(connection, data[: max(cut, 0)])
    end = chance.random()
    if end < 0.4:
        connection.transport.close()
    elif end < 0.8:
        connection.transport.abort()
    else:
        await asyncio.sleep(2 * TIMEOUT_S)


async def unframed(connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers) -> None:
    """No length: the answer ends with its connection, unless that is reset."""
    answer = begin(connection, asked, arrival, headers)
    data = answer.head() + answer.body
    end = connection.chance.random()
    if end < 0.5:
        arrival.whole = answer.body
        await pieces(connection, data)
        connection.transport.close()
    elif end < 0.7 and asked.route in STREAMS and answer.body:
        # Within the last event, and closed as if that were the end.
        await pieces(connection, data[: -connection.chance.randrange(1, 12)])
        connection.transport.close()
    else:
        await pieces(connection, data[: len(data) - connection.chance.randrange(len(answer.body) + 1)])
        connection.transport.abort()


async def spoil(connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers) -> None:
    """It runs, and what it says then is no answer, another's, or no success."""
    chance = connection.chance
    answer = begin(connection, asked, arrival, headers)
    wrong = chance.randrange(10)
    if wrong == 0:
        answer.headers[0] = b"Attempt-Id: %016x" % chance.getrandbits(64)
    elif wrong == 1:
        del answer.headers[0]
    elif wrong == 2:
        del answer.headers[1]
    elif wrong == 3:
        answer.headers.append(b"Content-Encoding: gzip")
    elif wrong == 4:
        answer.status = chance.choice([500, 502, 504])
    elif wrong == 5:
        answer.status = chance.choice(PROMISES[:1] + PROMISES[2:])  # without the proof
    elif wrong == 6:
        answer.headers.append(b"Transfer-Encoding: chunked")
    elif wrong == 7 and connection.last:
        await pieces(connection, connection.last)  # an older answer once more, in place of its own
        return
    elif wrong == 8:
        await pieces(connection, b"\x16\x03\x01\x02 not an answer\r\n\r\n")
        return
    else:
        answer = Answer(421, b"", [b"Instance-Id: other"])
        if connection.last:  # where another answer came before, this one may be anybody's
            connection.last = b""
            await pieces(connection, answer.framed())
            return
        answer = Answer(200, b"", [])
    arrival.whole = answer.body if wrong in (4, 5) else None
    await pieces(connection, answer.framed(0 if wrong == 6 else chance.choice([0, 9])))


async def turn_away(connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers) -> None:
    """It doesn't run, and the answer proves it."""
    chance = connection.chance
    proof = b"Not-Executed: 1"
    lines = [b"Attempt-Id: " + asked.id.encode()]
    answer = chance.choice(
        [
            Answer(503, b"full", [*lines, proof, b"Retry-After: 0.05"]),
            Answer(503, b"", [*lines, proof]),
            Answer(429, b"", [*lines, proof]),
            Answer(408, b"", [*lines, proof]),
            Answer(400, b"no", [*lines, proof]),
            Answer(421, b"", lines),
        ]
    )
    data = answer.framed(chance.choice([0, 3]))
    arrival.whole = answer.body
    if chance.random() < 0.2:  # the proof is in the head
        await pieces(connection, data[: len(data) - (1 if answer.body else 0)])
        connection.transport.abort()
    else:
        await pieces(connection, data)


async def resume_oddly(
    connection: EndpointConnection, asked: Asked, arrival: Arrival, headers: Headers
) -> None:
    """A resumed stream that begins too early, or an answer to it that is no stream at all."""
    if asked.route != "resume" or b"last-event-id" not in headers:
        await answer_well(connection, asked, arrival, headers)
        return
    answer = begin(connection, asked, arrival, headers)
    if connection.chance.random() < 0.5:
        answer.body = b"".join(asked.piece(n, "") for n in range(1, asked.pieces + 1))
    else:
        answer.headers[2] = b"Content-Type: text/html"
        answer.body = b"<p>sorry</p>\n\n"
    await pieces(connection, answer.framed(connection.chance.choice([0, 11])))


ACTS: list[tuple[Act, int]] = [
    (answer_well, 8),
    (answer_late, 2),
    (answer_and_more, 4),
    (cut_short, 4),
    (unframed, 2),
    (spoil, 3),
    (turn_away, 4),
    (resume_oddly, 1),
]


# Clients.


class ClientConnection(asyncio.Protocol):
    """Sends its requests one after the other, or several at once, reads the answers, and may leave."""

    transport: MemoryTransport

    def __init__(self, world: "World") -> None:
        self.world = world
        self.buffer = bytearray()
        self.waiting: list[Asked] = []
        self.over = False
        self.changed = asyncio.Event()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def ask(self, asked: Asked) -> bytes:
        self.waiting.append(asked)
        self.world.asked[asked.id] = asked
        lines = [b"POST /%b/x?y=1 HTTP/1.1" % asked.route.encode(), b"Host: h.example"]
        lines += [b"Attempt-Id: " + asked.id.encode(), b"Content-Length: %d" % len(asked.body)]
        lines.append(b"Remaining-Milliseconds: %d" % (TIMEOUT_S * 1000))
        return b"\r\n".join(lines) + b"\r\n\r\n" + asked.body

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while self.buffer:
            if not self.waiting:
                self.world.fault("bytes on a connection where no request waits")
                self.buffer.clear()
                return
            if not self.take_answer(self.waiting[0]):
                return
            self.waiting.pop(0)
            self.changed.set()

    def take_answer(self, asked: Asked) -> bool:
        """Whether the answer is here to its end."""
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return False
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        if not lines[0].startswith(b"HTTP/1.1 "):
            self.world.fault("bytes that are no answer")
        asked.status = int(lines[0].split()[1])
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines[1:])}
        if headers.get(b"attempt-id", asked.id.encode()) != asked.id.encode():
            self.world.fault("an answer that belongs to another request")
        if asked.status == 200 and b"server-seal" not in headers:
            self.world.fault("a success without the endpoint's seal")
        body, rest = read_body(bytes(self.buffer[end + 4 :]), headers)
        asked.answer = body
        if rest is None:
            return False
        asked.complete, asked.ended = True, self.world.loop.time()
        self.buffer[:] = rest
        return True

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.over = True
        for each in self.waiting:
            each.ended = each.ended or self.world.loop.time()
        self.changed.set()


def read_body(data: bytes, headers: Headers) -> tuple[bytes, bytes | None]:
    """The body as far as it is here, and what follows it; None while its end isn't here."""
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


# All of it.


class World:
    """One run."""

    def __init__(
        self, seed: int, acts: list[tuple[Act, int]] | None = None, unreachable: int | None = None
    ) -> None:
        """`unreachable`: how many endpoints no connection to comes up."""
        self.chance = random.Random(seed)
        self.unreachable = self.chance.choice([0, 0, 0, 1]) if unreachable is None else unreachable
        self.acts = acts or ACTS
        self.asked: dict[str, Asked] = {}
        self.arrivals: list[Arrival] = []
        self.allowance = Allowance()
        self.found: list[str] = []
        self.where: list[tuple[str, str]] = []

    def fault(self, text: str, id_: str = "") -> None:
        self.found.append(text)
        self.where.append((text, id_))

    def draw_act(self, asked: Asked) -> Act:
        acts, weights = zip(*self.acts, strict=True)
        return self.chance.choices(acts, weights)[0]

    def arrived(self, arrival: Arrival, first: bytes, body: bytes) -> None:
        self.arrivals.append(arrival)
        asked = self.asked.get(arrival.id)
        if asked is None:
            self.fault("a request that no client sent")
        elif (first, body) != (b"POST /%b/x?y=1 HTTP/1.1" % asked.route.encode(), asked.body):
            self.fault("a request that was changed on its way")

    def play(self) -> list[str]:
        """The promises that were broken, none if all is well."""
        virtual_net.run(self.run)
        self.judge()
        return sorted(set(self.found))

    async def run(self, loop: VirtualLoop) -> None:
        self.loop = loop
        fleet = Fleet()
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
        refusing = self.chance.randrange(3 * ENDPOINTS)
        if refusing < ENDPOINTS:
            loop.listeners["10.0.1.1", 1000 + refusing] = None
        for number in range(self.unreachable):
            loop.listeners.pop(("10.0.1.1", 1000 + number), None)
        fleet.take_roster(roster)
        self.dispatcher = Dispatcher(
            settings, fleet, Counters(), loop.time, random.Random(4), budget=self.allowance
        )
        self.server = Server(self.dispatcher.handle, lambda: FixedLimits(idle_ms=60_000))
        await asyncio.gather(*(self.client(number) for number in range(CLIENTS)))
        await asyncio.sleep(3 * TIMEOUT_S)
        self.settled()

    def settled(self) -> None:
        """Once nothing is under way any more."""
        pool = self.dispatcher.pool
        if self.dispatcher.tasks:
            self.fault("a request that was never done with")
        if sum(pool.open.values()) != sum(len(each) for each in pool.idle.values()):
            self.fault("connections counted wrong")

    def new_request(self) -> Asked:
        id_ = f"{self.chance.getrandbits(64):016x}"
        route = self.chance.choice(list(ROUTES))
        size = self.chance.choice([0, 10, 3000, 9000])
        body = (id_ * (size // 16 + 1)).encode()[:size]
        return Asked(id_, route, body, self.loop.time())

    async def client(self, number: int) -> None:
        chance, connection = self.chance, None
        await asyncio.sleep(chance.uniform(0, 0.3))
        for _ in range(REQUESTS_EACH):
            if connection is None or connection.transport.is_closing() or chance.random() < 0.3:
                if connection is not None:
                    connection.transport.close()
                connection = ClientConnection(self)
                virtual_net.connect(self.loop, connection, Connection(self.server))
            at_once = [self.new_request() for _ in range(1 if chance.random() < 0.8 else 2)]
            data = b"".join(connection.ask(each) for each in at_once)
            half = chance.random() < 0.1
            if half:  # a request that never comes whole
                data += b"POST /once/never HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: never\r\nContent-Le"
            cut = chance.randrange(len(data))
            connection.transport.write(data[:cut])
            await asyncio.sleep(chance.choice([0.0, 0.0, 0.01]))
            connection.transport.write(data[cut:])
            patience = chance.choice([0.0, 0.01, 0.1]) if chance.random() < 0.15 else 2 * TIMEOUT_S
            if not await self.answered(connection, patience):
                for each in connection.waiting:
                    each.left = self.loop.time()
                connection.transport.close() if chance.random() < 0.5 else connection.transport.abort()
                connection = None
            elif half:
                connection.transport.close()
            await asyncio.sleep(chance.choice([0.0, 0.0005, 0.002, 0.3]))
        if connection is not None:
            connection.transport.close()

    async def answered(self, connection: ClientConnection, patience: float) -> bool:
        """Whether all answers came, or the connection ended, within so many s."""
        try:
            async with asyncio.timeout(patience):
                while connection.waiting and not connection.over:
                    connection.changed.clear()
                    await connection.changed.wait()
        except TimeoutError:
            return False
        return True

    # What must hold.

    def judge(self) -> None:
        runs: dict[str, list[Arrival]] = {}
        for each in self.arrivals:
            runs.setdefault(each.id, []).append(each)
        for asked in self.asked.values():
            self.judge_request(asked, runs.get(asked.id, []))
        repeats = len(self.arrivals) - len(runs)
        if repeats > self.allowance.granted:
            self.fault("a repeat that the budget didn't grant")

    def judge_request(self, asked: Asked, arrivals: list[Arrival]) -> None:
        ran = [each for each in arrivals if each.ran]
        if asked.route in ("once", "stream") and len(ran) > 1:
            self.fault("what may run once ran twice", asked.id)
        if len(arrivals) > 3:
            self.fault("more sends than the route allows", asked.id)
        if len({each.endpoint for each in arrivals}) < len(arrivals):
            self.fault("the same endpoint was sent a request twice", asked.id)
        if asked.complete and asked.status in PROMISES and ran:
            self.fault(f"{asked.status} for what has run", asked.id)
        if asked.left and any(each.at > asked.left + LATE_S for each in arrivals):
            self.fault("sent after the client had gone", asked.id)
        over = asked.left or asked.ended
        if any(each.done > max(over, each.at) + LATE_S for each in arrivals):
            self.fault("an endpoint left at work")
        if not asked.left and asked.ended > asked.sent + TIMEOUT_S + LATE_S:
            self.fault("an answer after the route's time", asked.id)
        if asked.status == 200:
            self.judge_success(asked, ran)
        elif asked.complete and asked.status < 500 and asked.status not in PROMISES:
            if not any(each.whole == asked.answer for each in arrivals):
                self.fault("a failure that no endpoint gave", asked.id)

    def judge_success(self, asked: Asked, ran: list[Arrival]) -> None:
        if asked.route == "resume":
            whole = b"".join(asked.piece(n, "") for n in range(1, asked.pieces + 1)).replace(COMMENT, b"")
            came = asked.answer.replace(COMMENT, b"")  # a comment is no piece
            right = came == whole if asked.complete else whole.startswith(came)
        elif asked.complete:
            right = any(each.whole == asked.answer for each in ran)
        else:
            right = any(each.full.startswith(asked.answer) for each in ran)
        if not right:
            wrong = "a whole answer that no endpoint gave" if asked.complete else "a piece of another answer"
            self.fault(wrong, asked.id)
