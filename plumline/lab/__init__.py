"""Small stand-ins for what surrounds the system: endpoints, cache store, platform, operator and clients.

They share this plain HTTP/1.1 (over h11, apart from the system's own, so that a fault in that one is seen),
and `Pace`, by which the times of the model run `speed` times as fast as real ones.
"""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

from plumline.errors import PlumlineError

Headers = Iterable[tuple[str, str]]
Clock = Callable[[], float]
JSON = ("Content-Type", "application/json")


class CallError(PlumlineError):
    """A call that brought no whole answer. `sent`: the peer may have read the request."""

    code, status = "lab-call", 502

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class GarbledAnswerError(CallError):
    """Bytes that are no answer, or that belong to none."""

    code = "lab-garbled"


class Pace:
    """Waits of the model, given in its ms; real time passes `speed` times slower than the model's."""

    def __init__(self, speed: float = 1.0, clock: Clock = time.monotonic) -> None:
        self.speed, self.clock = speed, clock

    async def wait(self, ms: float) -> None:
        """Waits for so many of the model's ms."""
        await asyncio.sleep(max(0.0, ms) / 1000 / self.speed)


class Call:
    """A request that came in whole, and the means to answer it. Header names are lower case. The handler is
    cancelled when the connection ends."""

    def __init__(self, peer: "_Peer", head: h11.Request, body: bytes) -> None:
        self._peer = peer
        self.method = head.method.decode()
        self.target = head.target.decode()
        parts = urlsplit(self.target)
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        self.body = body

    def json(self) -> Any:  # noqa: ANN401
        """The body read as JSON; None if it is none."""
        with suppress(ValueError):
            return json.loads(self.body)
        return None

    def head(self, status: int, headers: Headers = ()) -> None:
        """Starts an answer whose body follows by `piece`, in chunks."""
        self._peer.send(h11.Response(status_code=status, headers=list(headers)))

    def piece(self, data: bytes) -> None:
        """A chunk of the body of an answer that has begun."""
        self._peer.send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the answer."""
        self._peer.send(h11.EndOfMessage())

    def answer(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """A whole answer."""
        self.head(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            self.piece(body)
        self.end()

    def answer_json(self, status: int, what: Any) -> None:  # noqa: ANN401
        """A whole answer whose body is the value as JSON."""
        self.answer(status, json.dumps(what, separators=(",", ":")).encode(), [JSON])

    def raw(self, data: bytes) -> None:
        """Bytes as they are, outside any answer."""
        self._peer.transport.write(data)

    def reset(self) -> None:
        """Resets the connection, in the middle of an answer or before it."""
        self._peer.transport.abort()


Handler = Callable[[Call], Awaitable[None]]


class _Peer(asyncio.Protocol):
    """One connection of a server; answers one request at a time."""

    transport: asyncio.Transport

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.h11 = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.peers.add(self)
        self.server.accepted += 1
        if len(self.server.peers) > self.server.limit:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.peers.discard(self)
        if self.task:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.h11.receive_data(data)
            self.advance()
        except h11.RemoteProtocolError:
            self.server.garbled += 1
            self.transport.abort()

    def advance(self) -> None:
        while self.task is None:
            event = self.h11.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body = event, bytearray()
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage) and self.request:
                call = Call(self, self.request, bytes(self.body))
                self.task = asyncio.get_running_loop().create_task(self.serve(call))
            else:
                return

    async def serve(self, call: Call) -> None:
        try:
            await self.server.handler(call)
        except Exception as error:
            self.server.failures.append(error)
            self.transport.abort()
        self.task = None
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.advance()
        else:
            self.transport.close()

    def send(self, event: h11.Event) -> None:
        data = self.h11.send(event)
        if data and not self.transport.is_closing():
            self.transport.write(data)


class Server:
    """Serves `handler` on `host`:`port` (0: any free one); connections beyond `limit` are reset."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0, limit: int = 1024) -> None:
        self.handler, self.host, self.port, self.limit = handler, host, port, limit
        self.peers: set[_Peer] = set()
        self.accepted = 0
        self.garbled = 0  # connections that brought bytes that are no request
        self.failures: list[Exception] = []  # of the handler: faults of the stand-in itself
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens, as "ip:port"."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens; the port is known from then on."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Peer(self), self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the port and resets what is open."""
        if self._server:
            self._server.close()
            self._server = None
        tasks = [peer.task for peer in self.peers if peer.task]
        for peer in list(self.peers):
            peer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)


class Reply:
    """The answer to a call: the head, then the body's pieces by `data`."""

    def __init__(self, connection: h11.Connection, reader: asyncio.StreamReader, head: h11.Response) -> None:
        self._connection, self._reader = connection, reader
        self.status = head.status_code
        self.headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}

    async def data(self) -> AsyncIterator[bytes]:
        """Errors: CallError if the body ends early, GarbledAnswerError for bytes beyond it."""
        while not isinstance(event := await _next(self._connection, self._reader), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise CallError("cut")
            yield bytes(event.data)
        if self._connection.trailing_data[0]:
            raise GarbledAnswerError("bytes after the answer")

    async def body(self) -> bytes:
        """The whole body; errors as for `data`."""
        return b"".join([piece async for piece in self.data()])

    async def json(self) -> Any:  # noqa: ANN401
        """The whole body read as JSON; errors as for `data`, and ValueError."""
        return json.loads(await self.body())


async def _next(connection: h11.Connection, reader: asyncio.StreamReader) -> h11.Event:
    try:
        while (event := connection.next_event()) is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
    except h11.RemoteProtocolError as error:
        # a close before the end of an answer is h11's error too; only that one is no garbage
        early = reader.at_eof() and not connection.trailing_data[0]
        raise (CallError if early else GarbledAnswerError)(str(error)) from error
    except OSError as error:
        raise CallError(str(error)) from error
    if isinstance(event, h11.Event):
        return event
    raise CallError("closed")


@asynccontextmanager
async def exchange(
    address: str, method: str, target: str, headers: Headers = (), body: bytes = b""
) -> AsyncIterator[Reply]:
    """One call on a connection of its own to `address` ("ip:port"). Time limits are the caller's
    (asyncio.timeout). Errors: CallError."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        raise CallError(str(error), sent=False) from error
    try:
        names = {name.lower() for name, _ in headers}
        lines = [*headers, ("Content-Length", str(len(body))), ("Connection", "close")]
        if "host" not in names:
            lines.append(("Host", address))
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method=method, target=target, headers=lines)
        events = (request, h11.Data(data=body), h11.EndOfMessage())
        writer.write(b"".join(connection.send(event) or b"" for event in events))
        head = await _next(connection, reader)
        if not isinstance(head, h11.Response):
            raise CallError("closed without an answer")
        yield Reply(connection, reader, head)
    finally:
        writer.close()


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """A whole call within `timeout` seconds: status, headers (lower case), body. Errors: CallError."""
    try:
        async with asyncio.timeout(timeout), exchange(address, method, target, headers, body) as reply:
            return reply.status, reply.headers, await reply.body()
    except TimeoutError as error:
        raise CallError("silence") from error
