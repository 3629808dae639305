"""Simulations of the services around the system: endpoints, cache store, platform, operator and clients.

This module has their HTTP/1.1 server and client, and `Pace`, which runs model time `speed` times as fast as
real time. The HTTP code uses h11 and shares nothing with the system's own, so that it detects faults in that.
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
    """A call without a complete response. `sent`: the peer may have read the request."""

    code, status = "lab-call", 502

    def __init__(self, text: str, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class MalformedResponseError(CallError):
    """Received bytes that are not a valid response, or that belong to no response."""

    code = "lab-garbled"


class Pace:
    """Converts model time to real time; model time runs `speed` times as fast as real time."""

    def __init__(self, speed: float = 1.0, clock: Clock = time.monotonic) -> None:
        self.speed, self.clock = speed, clock

    async def wait(self, ms: float) -> None:
        """Waits for `ms` milliseconds of model time."""
        await asyncio.sleep(max(0.0, ms) / 1000 / self.speed)


class Call:
    """A completely received request, and the methods to answer it.

    Header names are lower case. The handler is cancelled when the connection ends.
    """

    def __init__(self, connection: "_ServerConnection", head: h11.Request, body: bytes) -> None:
        self._connection = connection
        self.method = head.method.decode()
        self.target = head.target.decode()
        parts = urlsplit(self.target)
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        self.body = body

    def json(self) -> Any:  # noqa: ANN401
        """Returns the body parsed as JSON, None if it is not valid JSON."""
        with suppress(ValueError):
            return json.loads(self.body)
        return None

    def head(self, status: int, headers: Headers = ()) -> None:
        """Starts a response whose body follows in chunks, sent by `chunk`."""
        self._connection.send(h11.Response(status_code=status, headers=list(headers)))

    def chunk(self, data: bytes) -> None:
        """Sends a chunk of the response body."""
        self._connection.send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the response."""
        self._connection.send(h11.EndOfMessage())

    def answer(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Sends a complete response."""
        self.head(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            self.chunk(body)
        self.end()

    def answer_json(self, status: int, value: Any) -> None:  # noqa: ANN401
        """Sends a complete response with the value as JSON."""
        self.answer(status, json.dumps(value, separators=(",", ":")).encode(), [JSON])

    def raw(self, data: bytes) -> None:
        """Writes bytes to the connection unchanged, outside any response."""
        self._connection.transport.write(data)

    def reset(self) -> None:
        """Resets the connection, before or during the response."""
        self._connection.transport.abort()


Handler = Callable[[Call], Awaitable[None]]


class _ServerConnection(asyncio.Protocol):
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
        self.server.connections.add(self)
        self.server.accepted += 1
        if len(self.server.connections) > self.server.limit:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        if self.task:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.h11.receive_data(data)
            self.advance()
        except h11.RemoteProtocolError:
            self.server.malformed += 1
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
        self.connections: set[_ServerConnection] = set()
        self.accepted = 0
        self.malformed = 0  # connections with bytes that are not a valid request
        self.failures: list[Exception] = []  # exceptions of the handler: faults of the simulation itself
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Listen address as "ip:port"."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts to listen; sets `port`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _ServerConnection(self), self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all open connections."""
        if self._server:
            self._server.close()
            self._server = None
        tasks = [connection.task for connection in self.connections if connection.task]
        for connection in list(self.connections):
            connection.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)


class Reply:
    """The response to a call: its head, and its body in chunks by `data`."""

    def __init__(self, connection: h11.Connection, reader: asyncio.StreamReader, head: h11.Response) -> None:
        self._connection, self._reader = connection, reader
        self.status = head.status_code
        self.headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}

    async def data(self) -> AsyncIterator[bytes]:
        """Yields the body. Errors: CallError if it ends early, MalformedResponseError for bytes after it."""
        while not isinstance(event := await _next_event(self._connection, self._reader), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise CallError("cut")
            yield bytes(event.data)
        if self._connection.trailing_data[0]:
            raise MalformedResponseError("bytes after the answer")

    async def body(self) -> bytes:
        """Returns the complete body; errors as for `data`."""
        return b"".join([chunk async for chunk in self.data()])

    async def json(self) -> Any:  # noqa: ANN401
        """Returns the body parsed as JSON; errors as for `data`, and ValueError."""
        return json.loads(await self.body())


async def _next_event(connection: h11.Connection, reader: asyncio.StreamReader) -> h11.Event:
    try:
        while (event := connection.next_event()) is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
    except h11.RemoteProtocolError as error:
        # h11 raises the same error if the connection closes before the response ends
        early = reader.at_eof() and not connection.trailing_data[0]
        raise (CallError if early else MalformedResponseError)(str(error)) from error
    except OSError as error:
        raise CallError(str(error)) from error
    if isinstance(event, h11.Event):
        return event
    raise CallError("closed")


@asynccontextmanager
async def exchange(
    address: str, method: str, target: str, headers: Headers = (), body: bytes = b""
) -> AsyncIterator[Reply]:
    """Sends one request on a new connection to `address` ("ip:port"). Errors: CallError.

    The caller sets the time limit (asyncio.timeout).
    """
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
        head = await _next_event(connection, reader)
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
    """Returns status, headers (lower case) and body within `timeout` seconds. Errors: CallError."""
    try:
        async with asyncio.timeout(timeout), exchange(address, method, target, headers, body) as reply:
            return reply.status, reply.headers, await reply.body()
    except TimeoutError as error:
        raise CallError("silence") from error
