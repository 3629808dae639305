"""HTTP/1.1 server that reads one request at a time per connection and passes it on as an `Exchange`.

Input that can't be parsed unambiguously is rejected and its connection closed, to prevent request smuggling.
Times are seconds on the event loop's monotonic clock.
"""

import asyncio
import logging
import socket
from collections.abc import Callable, MutableMapping
from enum import Enum
from typing import NamedTuple, Protocol

from plumline.wire.drain_record import DrainRecord
from plumline.wire.exchange import (
    MAX_UNREAD_RESPONSE_BYTES,
    STATUS_LINES,
    ChunkedBody,
    Exchange,
    RequestHead,
    RequestRefusedError,
    check_octets,
    parse_head,
)
from plumline.wire.sockets import has_unread

READ_BUFFER_BYTES = 64 * 1024
PIPELINE_BUFFER_BYTES = 64 * 1024  # of pipelined requests buffered during a response before reading is paused
LINGER_S = 1.0  # time for a client to read its last response and close the connection
LINGER_BYTES = 8 * 1024 * 1024  # read and discarded meanwhile: closing with unread bytes sends a reset
KEEP_ALIVE_MARGIN_S = 1.0  # the announced keep-alive timeout is shorter than the idle limit by this much
LISTEN_BACKLOG = 512  # connections

log = logging.getLogger(__name__)


class Limits(Protocol):
    """Limits on the size and duration of requests."""

    @property
    def max_header_bytes(self) -> int:
        """Maximum size of a request head in bytes."""
        ...

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body in bytes."""
        ...

    @property
    def header_timeout_ms(self) -> float:
        """Maximum time in ms from the first to the last byte of a head."""
        ...

    @property
    def idle_timeout_ms(self) -> float:
        """Maximum time in ms between requests, and between two reads of a body."""
        ...


class FixedLimits(NamedTuple):
    """Limits of a server for whose clients there is no configuration."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Phase(Enum):
    """The state of a connection; each value names what it is waiting for."""

    IDLE = "a request"
    HEAD = "the rest of a head"
    BODY = "the rest of a body"
    ANSWER = "the handler"
    LINGERING = "the client, which has its last answer"


class Connection(asyncio.BufferedProtocol):
    """One client's connection."""

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until connected

    def __init__(self, server: "Server") -> None:
        self.server, self.loop = server, server.loop
        self.opened_at = self.loop.time()
        self.phase = Phase.IDLE
        self.buffer = bytearray()
        self.searched_bytes = 0  # of the buffer, known not to contain the end of the head
        self.buffered_since = 0.0  # time at which the first byte in the buffer, or an earlier one, was read
        self.request_began_at = 0.0  # the same for the first byte of the current request
        self.head: RequestHead | None = None
        self.chunks: ChunkedBody | None = None
        self.counted_body_bytes = 0  # bytes of the current body that are included in the server's total
        self.exchange: Exchange | None = None
        self.deadline = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.unsent_bytes = 0  # size of the write buffer when the timer last expired
        self.discarded_bytes = 0  # received while lingering
        self.drain_waiter: asyncio.Future[None] | None = None  # set while the write buffer is over its limit
        self.limits = server.limits()

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: the client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_RESPONSE_BYTES, low=MAX_UNREAD_RESPONSE_BYTES // 4)
        # asyncio sets TCP_NODELAY only for sockets created with an explicit protocol number.
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        self.expire_in(self.limits.idle_timeout_ms / 1000)

    def connection_lost(self, error: Exception | None) -> None:
        """Transport callback: the connection has ended."""
        self.server.connections.discard(self)
        if self.timer:
            self.timer.cancel()
        self.release_body_bytes()
        self.notify_disconnected()
        self.phase = Phase.LINGERING
        self.server.notify_drained()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Transport callback: returns the buffer to read into."""
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        """Transport callback: `size` bytes have been read into the buffer."""
        if self.phase is Phase.LINGERING:
            self.discarded_bytes += size
            if self.discarded_bytes > LINGER_BYTES:
                self.transport.pause_reading()
            return
        if not self.buffer:
            self.buffered_since = self.loop.time()
        self.buffer += memoryview(self.server.buffer)[:size]
        self.advance()
        if self.phase is Phase.ANSWER and len(self.buffer) > PIPELINE_BUFFER_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Transport callback: treats a half-closed connection as a disconnect, as the clients of this system
        keep theirs open while they wait."""
        if self.exchange is not None:
            self.server.count("client-gone")
            self.notify_disconnected()
            self.transport.abort()
            return True
        # Responses that are already written are still sent for as long as the client reads.
        if self.phase is not Phase.LINGERING:
            self.start_lingering()
        return False

    def pause_writing(self) -> None:
        """Transport callback: the write buffer is over its limit."""
        if self.drain_waiter is None:
            self.drain_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        """Transport callback: the write buffer has emptied enough."""
        if self.drain_waiter is not None:
            waiter, self.drain_waiter = self.drain_waiter, None
            if not waiter.done():
                waiter.set_result(None)

    # Reading.

    def advance(self) -> None:
        """Parses the buffered input. Malformed input leads to an error response, never to an exception in the
        event loop."""
        if self.phase in (Phase.ANSWER, Phase.LINGERING) or self.transport.is_closing():
            return
        try:
            if self.phase is Phase.IDLE:
                if self.buffer.startswith(b"\r\n"):
                    del self.buffer[:2]  # one empty line before a request is ignored
                if not self.buffer or self.buffer == b"\r":
                    return
                self.limits = self.server.limits()
                # Includes the wait for the previous response, as the client's own timing does.
                self.request_began_at = self.buffered_since
                self.searched_bytes = 0
                self.phase = Phase.HEAD
            body = self.read_body() if self.phase is Phase.BODY or self.read_head() else None
        except RequestRefusedError as error:
            self.server.count(error.code)
            self.refuse(error.status, error.text)
            return
        if body is not None:
            self.handle_request(body)
        else:
            self.transport.resume_reading()

    def read_head(self) -> bool:
        """Parses the head if it is complete, and returns whether it is."""
        limit = self.limits.max_header_bytes
        end = self.buffer.find(b"\r\n\r\n", max(self.searched_bytes - 3, 0))
        size = len(self.buffer) if end < 0 else end + 4
        if size > limit:
            raise RequestRefusedError("the head is too long", 431, "header-too-long")
        if end < 0:
            check_octets(self.buffer)  # a head with other line ends would never be complete
            if not self.searched_bytes:
                self.expire_in(self.limits.header_timeout_ms / 1000)
            self.searched_bytes = size
            return False
        raw = bytes(self.buffer[:size])
        del self.buffer[:size]
        head = parse_head(raw)
        if head.length is None:
            self.chunks = ChunkedBody(self.limits.max_body_bytes)
        elif head.length > self.limits.max_body_bytes:
            raise RequestRefusedError("the body is too long", 413, "body-too-long")
        if (
            head.length != 0
            and self.server.buffered_body_bytes + (head.length or 0) > self.server.max_buffered_body_bytes
        ):
            raise RequestRefusedError("too many bodies at once", 503, "bodies-too-many")
        self.head = head
        self.phase = Phase.BODY
        if head.expects_continue and not self.buffer:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def read_body(self) -> bytes | None:
        """The body, or None while it is incomplete."""
        assert self.head is not None
        if self.chunks is not None:
            complete = self.chunks.feed(self.buffer)
            received = len(self.chunks.body)
        else:
            assert self.head.length is not None
            received = min(len(self.buffer), self.head.length)
            complete = received == self.head.length
        self.server.buffered_body_bytes += received - self.counted_body_bytes
        self.counted_body_bytes = received
        if complete:
            if self.chunks is not None:
                return bytes(self.chunks.body)
            body = bytes(self.buffer[:received])
            del self.buffer[:received]
            return body
        if self.server.buffered_body_bytes > self.server.max_buffered_body_bytes:
            raise RequestRefusedError("too many bodies at once", 503, "bodies-too-many")
        self.expire_in(self.limits.idle_timeout_ms / 1000)  # counted from the latest read
        return None

    def handle_request(self, body: bytes) -> None:
        """Passes the complete request to the handler."""
        assert self.head is not None
        exchange = self.exchange = Exchange(self, self.head, body, self.request_began_at)
        self.head = self.chunks = None
        self.phase = Phase.ANSWER
        if self.server.drain is not None:
            self.server.drain.record_request(self.loop.time(), self.opened_at, self.request_began_at)
        try:
            self.server.handler(exchange)
        except Exception:
            log.exception("request handler failed")
            self.server.count("handler-failed")
            if exchange.done:
                return
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond(500)

    # Responses.

    def connection_headers(self, persistent: bool) -> tuple[bytes, bool]:
        """See `ExchangeConnection`."""
        if not persistent or self.server.closing_connections:
            return b"Connection: close\r\n\r\n", False
        timeout_s = int(self.limits.idle_timeout_ms / 1000 - KEEP_ALIVE_MARGIN_S)
        if timeout_s < 1:
            return b"\r\n", True
        return b"Keep-Alive: timeout=%d\r\n\r\n" % timeout_s, True

    def on_response_end(self, keep_alive: bool) -> None:
        """See `ExchangeConnection`."""
        aborted = not (self.exchange and self.exchange.started)
        self.exchange = None
        self.release_body_bytes()
        self.resume_writing()  # releases tasks that still wait in `writable` for an aborted response
        if aborted:
            self.transport.close()
        elif not keep_alive or self.transport.is_closing():
            self.start_lingering()
        else:
            self.phase = Phase.IDLE
            self.unsent_bytes = 0
            self.expire_in(self.limits.idle_timeout_ms / 1000)
            if len(self.buffer) <= PIPELINE_BUFFER_BYTES:
                self.transport.resume_reading()
            if self.buffer:
                self.loop.call_soon(self.advance)

    async def writable(self) -> None:
        """See `ExchangeConnection`."""
        if self.transport.is_closing():
            return
        if self.drain_waiter is None and self.transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
            self.drain_waiter = self.loop.create_future()  # still full from the previous response
        if self.drain_waiter is not None:
            await asyncio.shield(self.drain_waiter)

    def refuse(self, status: int, text: str) -> None:
        """Sends an error response for a request that is not read completely, and closes the connection."""
        body = text[:200].encode("ascii", "replace") + b"\n"
        retry = b"Retry-After: 1\r\n" if status == 503 else b""
        self.transport.write(
            b"%bContent-Type: text/plain\r\nContent-Length: %d\r\n%bConnection: close\r\n\r\n%b"
            % (STATUS_LINES[status], len(body), retry, body)
        )
        self.start_lingering()

    # Closing.

    def start_lingering(self) -> None:
        """Starts a lingering close after the last response: input is read and discarded for a while, because
        closing with unread input resets the connection, and the client could lose the response."""
        self.phase = Phase.LINGERING
        self.buffer.clear()
        self.head = self.chunks = None
        self.release_body_bytes()
        if not self.transport.is_closing():
            self.transport.write_eof()
            self.transport.resume_reading()
            self.unsent_bytes = self.transport.get_write_buffer_size()
            self.expire_in(self.limits.idle_timeout_ms / 1000 if self.unsent_bytes else LINGER_S)

    def notify_disconnected(self) -> None:
        """Notifies the current exchange, if any, that the client has disconnected."""
        exchange, self.exchange = self.exchange, None
        self.release_body_bytes()
        self.resume_writing()
        if exchange is not None:
            self.phase = Phase.LINGERING
            exchange.notify_client_disconnected()

    def release_body_bytes(self) -> None:
        """Removes the current body from the server's total."""
        self.server.buffered_body_bytes -= self.counted_body_bytes
        self.counted_body_bytes = 0

    def expire_in(self, delay: float) -> None:
        """Sets the deadline. A timer that is due earlier is kept and rescheduled when it fires, which avoids
        creating a timer for most requests."""
        self.deadline = self.loop.time() + delay
        if self.timer is None:
            self.timer = self.loop.call_at(self.deadline, self.expire)
        elif self.timer.when() > self.deadline:
            self.timer.cancel()
            self.timer = self.loop.call_at(self.deadline, self.expire)

    def expire(self) -> None:
        """Timer callback: closes the connection if the client has exceeded the deadline."""
        self.timer = None
        if self.phase is Phase.ANSWER:
            return  # the handler has its own timeout; the end of the response sets the timer again
        if self.loop.time() < self.deadline:
            self.timer = self.loop.call_at(self.deadline, self.expire)
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent and self.phase in (Phase.IDLE, Phase.LINGERING) and not self.has_read_more(unsent):
            self.server.count("client-stalled")
            self.transport.abort()
        elif unsent and self.phase in (Phase.IDLE, Phase.LINGERING):
            self.unsent_bytes = unsent
            self.expire_in(self.limits.idle_timeout_ms / 1000)
        elif self.phase is Phase.LINGERING:
            self.transport.abort()
        elif self.phase is Phase.IDLE:
            if has_unread(self.transport):
                self.expire_in(LINGER_S)
            else:
                self.transport.close()
        else:
            self.server.count("request-late")
            self.refuse(408, "the request did not come in time")

    def has_read_more(self, unsent: int) -> bool:
        """Whether the client has read anything since the timer last expired."""
        return self.unsent_bytes == 0 or unsent < self.unsent_bytes


class Server:
    """Listens and manages the connections. `limits` is called for each request; `counters` counts errors by
    code; `max_buffered_body_bytes` is the maximum total of buffered body bytes over all connections."""

    def __init__(
        self,
        handler: Callable[[Exchange], None],
        limits: Callable[[], Limits] = FixedLimits,
        counters: MutableMapping[str, int] | None = None,
        max_buffered_body_bytes: int = 64 * 1024 * 1024,
    ) -> None:
        self.handler, self.limits = handler, limits
        self.counters: MutableMapping[str, int] = {} if counters is None else counters
        self.max_buffered_body_bytes = max_buffered_body_bytes
        self.buffered_body_bytes = 0
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray(READ_BUFFER_BYTES)  # shared: each connection copies its data at once
        self.connections: set[Connection] = set()
        self.closing_connections = False  # each response closes its connection
        self.drain: DrainRecord | None = None  # set by `begin_drain`
        self.listener: socket.socket | None = None
        self.asyncio_server: asyncio.Server | None = None
        self.accept_tasks: set[asyncio.Task[object]] = set()
        self.drained_future: asyncio.Future[None] | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections. Raises OSError."""
        self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self.listener.setblocking(False)
        self.asyncio_server = await self.loop.create_server(
            lambda: Connection(self), sock=self.listener, backlog=LISTEN_BACKLOG
        )

    def address(self) -> tuple[str, int]:
        """The address it listens on."""
        assert self.listener is not None
        return self.listener.getsockname()

    def count(self, code: str) -> None:
        """Increments the counter of this error code."""
        self.counters[code] = self.counters.get(code, 0) + 1

    def begin_drain(self) -> None:
        """From now on each response closes its connection; new connections are still accepted."""
        self.closing_connections = True
        self.drain = DrainRecord(self.loop.time())

    def unanswered(self) -> int:
        """The number of completely read requests without a complete response."""
        return sum(connection.exchange is not None for connection in self.connections)

    def stop_accepting(self) -> None:
        """Stops listening, after accepting the backlog: its clients see their connections as established."""
        self.closing_connections = True
        if self.listener is None or self.asyncio_server is None:
            return
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                break
            sock.setblocking(False)
            task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Connection(self), sock))
            self.accept_tasks.add(task)
            task.add_done_callback(self.on_accepted)
        self.asyncio_server.close()
        self.listener = self.asyncio_server = None

    def on_accepted(self, task: asyncio.Task[object]) -> None:
        """Callback for a connection from the backlog that was set up or has failed."""
        self.accept_tasks.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved to avoid a log message: the client may have disconnected
        self.notify_drained()

    def close_idle(self) -> None:
        """Closes the connections without a request; those with unread input are kept until it is read."""
        for connection in list(self.connections):
            if (
                connection.phase is Phase.IDLE
                and not connection.buffer
                and not has_unread(connection.transport)
            ):
                if not connection.transport.get_write_buffer_size():
                    connection.transport.close()
                else:
                    connection.start_lingering()

    def busy(self) -> bool:
        """Whether there are connections, including those still being accepted."""
        return bool(self.accept_tasks) or bool(self.connections)

    def notify_drained(self) -> None:
        """Wakes `drained` when no connections are left."""
        if self.drained_future is not None and not self.drained_future.done() and not self.busy():
            self.drained_future.set_result(None)

    async def drained(self, timeout: float) -> bool:
        """Waits up to `timeout` s for the last connection to end, and returns whether it did."""
        if not self.busy():
            return True
        self.drained_future = self.loop.create_future()
        try:
            async with asyncio.timeout(timeout):
                await self.drained_future
        except TimeoutError:
            return False
        finally:
            self.drained_future = None
        return True

    def end(self) -> None:
        """Stops listening and aborts all connections; unsent responses are lost."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.transport.abort()
