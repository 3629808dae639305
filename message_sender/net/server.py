"""The HTTP server for clients: reads requests, rejects bad ones and writes responses."""

import asyncio
import errno
import json
import logging
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from itertools import takewhile
from typing import Any

import h11

from message_sender.interface import Effect, MessageClass
from message_sender.net.loop import selector_of
from message_sender.net.message import HandedIn
from plumline.wire.http import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    READ_BUFFER_BYTES,
    Address,
    header,
    parse_decimal,
)

READY_PATH = "/health/ready"
# A client that cannot be served must get an error or a close within 3 s of connecting.
# s for a request to be complete, as some take 2 s; the first one's time runs from connecting
READ_TIMEOUT = 2.5
IDLE_TIMEOUT = 3.0  # s for which a connection may be idle after its first request
MIN_IDLE = 2.0  # s for which an idle connection is kept, unless nothing else makes room
STALL_TIME = 0.5  # s without a byte after which an incomplete request may be dropped for a new client
SILENT_SHARE = 1 / 3  # share of the connections that may be open without having sent a byte
LINGER = 0.5  # s for the client to read its last response
LINGER_BYTES = 1024 * 1024  # bytes read and discarded meanwhile; after that, reading stops
OUTPUT_LIMIT = 64 * 1024  # bytes of unread responses after which a client is disconnected
# us taken off a message's time left: the request has waited to be read since it was sent, and a response at
# the last moment would count as a delivery after the deadline had passed for every other party.
TRANSIT_ALLOWANCE = 150_000
# us taken off at least; between the two limits, half of the time left is taken off
MIN_TRANSIT_ALLOWANCE = 50_000
MAX_UNPOLLED_TURNS = 3  # turns of the loop at most, from accepting a connection to its first poll
# s of a turn for reading requests, so that responses of receivers and timers are handled as well
READ_SLICE = 0.003
ACCEPT_RETRY_DELAY = 0.05  # s until the next accept after running out of descriptors
DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

log = logging.getLogger(__name__)


class BadRequest(Exception):  # noqa: N818
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_message(request: h11.Request, body: bytes, began: int, classes: dict[str, MessageClass]) -> HandedIn:
    """`began`: when the first bytes of the request may have arrived, in us. Its time left runs from its
    sending."""

    def field(name: str) -> str:
        return header(request.headers, name.lower().encode()) or ""

    def required(name: str) -> str:
        if not (value := field(name)):
            raise BadRequest(400, f"{name} is missing")
        return value

    name = required("X-Service-Class")
    first = request.target.decode("latin-1").lstrip("/").partition("?")[0].partition("/")[0]
    if name not in classes or first != name:
        raise BadRequest(404, f"no class {name!r} at this path")
    kind = classes[name]
    route = dict(part.strip().partition("=")[::2] for part in required("X-Route-To").split(","))
    dest = route.get("dest", "")
    if not (dest.isascii() and dest.isdecimal() and len(dest) < 19):
        raise BadRequest(400, f"X-Route-To holds no dest: {route}")
    if (time_left := parse_decimal(required("X-Time-Left"))) is None:
        raise BadRequest(400, f"X-Time-Left cannot be {field('X-Time-Left')!r}")
    left = min(int(time_left * 1e6), kind.deadline)
    left = max(left - min(TRANSIT_ALLOWANCE, max(left // 2, MIN_TRANSIT_ALLOWANCE)), 0)
    return HandedIn(
        id=required("X-Correlation-Id"),
        message_class=name,
        destination=int(dest),
        until=began + left,
        tenant=field("X-Account"),
        key=field("X-Session-Key"),
        idempotency_key=required("Idempotency-Key")
        if kind.effect is Effect.KEYED
        else field("Idempotency-Key"),
        again=field("X-Repeat") == "1",
        body=body,
    )


class Connection(asyncio.BufferedProtocol):
    """A client's connection, which handles one request at a time."""

    transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.began: int | None = None  # us, wall clock: when the current request may have begun to arrive
        self.accepted_at = server.poll_position()
        # s: when the current wait began, for a request or for the client to close
        self.wait_started = server.loop.time()
        self.last_received = self.wait_started  # s: when the newest bytes arrived
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.dropped = 0  # bytes discarded after the last response
        self.answering = self.discarding = False
        self.proven = self.queued = False  # the last request was valid; queued to be read
        self.handed_in = False  # whether it has ever sent a message
        self.head = b""  # raw head of the current request; until that is complete, all bytes received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self not in self.server.connections:
            transport.abort()  # closed to make room before the transport was ready
        elif len(self.server.connections) > self.server.max_connections:
            self.refuse(503)
        elif self.head:  # bytes that the previous process has read
            self.codec.receive_data(self.head)
            self.server.queue_read(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.forget(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        if self.discarding:
            self.dropped += size
            if self.dropped > LINGER_BYTES:
                self.transport.pause_reading()
            return
        if self.began is None:
            self.began = self.server.now() - self.server.max_unread_us(*self.accepted_at)
            if self in self.server.silent:
                del self.server.silent[self]
            else:
                self.wait_started = self.server.loop.time()
            self.server.idle.pop(self, None)
            self.server.strangers.pop(self, None)
        if not self.answering:
            self.last_received = self.server.loop.time()
            self.server.partial.pop(self, None)
            self.server.partial[self] = None
        data = bytes(memoryview(self.server.buffer)[:size])
        if self.request is None:
            self.head += data
        self.codec.receive_data(data)
        if self.answering:
            self.transport.pause_reading()  # limits pipelined requests that have no response yet
        else:
            self.server.queue_read(self)

    def advance(self) -> None:
        """Parses the received bytes. Invalid input gets an error response; no exception reaches the loop."""
        try:
            while not (self.answering or self.discarding or self.transport.is_closing()):
                event = self.codec.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    if self.codec.they_are_waiting_for_100_continue:
                        self.write(h11.InformationalResponse(status_code=100, headers=[]))
                    self.transport.resume_reading()
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body = event, bytearray()
                    self.head = self.head[: len(self.head) - len(self.codec.trailing_data[0])]
                    self.check_head(event)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY_BYTES:
                        raise BadRequest(413, "the body is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self.answering = True
                    self.server.partial.pop(self, None)
                    self.handle_request()
        except BadRequest as error:
            self.refuse(error.status, str(error))
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))
        except Exception:
            log.exception("a client's request could not be handled")
            self.transport.abort()  # only this connection fails, not the process

    def check_head(self, request: h11.Request) -> None:
        # The codec limits only an incomplete head, not one that arrives at once.
        if len(request.target) + sum(len(k) + len(v) for k, v in request.headers) > MAX_HEADER_BYTES:
            raise BadRequest(431, "the head is too long")
        length = header(request.headers, b"content-length")
        # Two lengths may hide a second request in the body (request smuggling).
        if length and header(request.headers, b"transfer-encoding"):
            raise BadRequest(400, "both Content-Length and Transfer-Encoding")
        if length and int(length) > MAX_BODY_BYTES:
            raise BadRequest(413, "the body is too long")

    def handle_request(self) -> None:
        assert self.request is not None and self.began is not None
        method, target = self.request.method, self.request.target.decode("latin-1")
        if target == READY_PATH and method in (b"GET", b"HEAD"):
            self.answer(200 if self.server.ready else 503)
        elif method == b"POST" and target != READY_PATH:
            try:
                message = read_message(self.request, bytes(self.body), self.began, self.server.classes)
                if not self.server.is_known_destination(message.destination):
                    raise BadRequest(404, f"no destination {message.destination}")
            except BadRequest as error:
                self.answer(error.status, text=str(error))
            else:
                self.handed_in = True
                self.server.on_message(message, self)
        else:
            self.answer(405 if target == READY_PATH or method != b"GET" else 404)

    def write(self, event: h11.Event) -> None:
        self.transport.write(self.codec.send(event) or b"")

    def respond(self, status: int, retry_after: int | None, text: str, close: bool) -> None:
        body = json.dumps({"error": text}).encode() + b"\n" if text else b""
        headers = [("Content-Length", str(len(body)))]
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        data = self.codec.send(h11.Response(status_code=status, headers=headers)) or b""
        if body and not (self.request and self.request.method == b"HEAD"):
            data += self.codec.send(h11.Data(data=body)) or b""
        data += self.codec.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    def answer(self, status: int, retry_after: int | None = None, text: str = "") -> None:
        """Responds to a complete request; then the next one may come."""
        self.proven = status < 400 or status in (429, 503)
        if self.transport.is_closing():
            return
        self.respond(status, retry_after, text, close=self.server.stopping)
        if self.codec.our_state is h11.MUST_CLOSE or self.codec.their_state is not h11.DONE:
            self.start_lingering()
            return
        if self.transport.get_write_buffer_size() > OUTPUT_LIMIT:
            self.transport.abort()
            return
        self.codec.start_next_cycle()
        self.request, self.began, self.answering = None, None, False
        self.wait_started = self.server.loop.time()
        self.head = self.codec.trailing_data[0]
        if self.head:
            self.began, self.last_received = self.server.now(), self.wait_started
            self.server.partial[self] = None
            self.server.queue_read(self)
        else:
            (self.server.idle if self.handed_in else self.server.strangers)[self] = None
            self.transport.resume_reading()

    def refuse(self, status: int, text: str = "") -> None:
        """Responds to an incomplete request and closes."""
        self.proven = False
        if self.codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.respond(status, None, text, close=True)
        self.start_lingering()

    def start_lingering(self) -> None:
        """Closes after the last response. Further input is read and discarded for a while: closing with
        unread bytes would reset the connection, and the client might not see its response."""
        self.discarding = True
        self.wait_started = self.server.loop.time()
        self.server.remove_from_groups(self)
        if not self.transport.is_closing():
            self.server.closing[self] = None
            self.transport.write_eof()
            self.transport.resume_reading()

    def read_remaining(self) -> None:
        if self.transport and not (self.answering or self.discarding or self.transport.is_closing()):
            try:
                size = self.sock.recv_into(self.server.buffer)
            except OSError:
                return
            if size:
                self.buffer_updated(size)

    def has_unread(self, events: int = select.POLLIN) -> bool:
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return bool(poll.poll(0))

    def is_closed_by_client(self) -> bool:
        """Whether the client has closed, even if the loop has not read that yet."""
        return self.transport.is_closing() or self.has_unread(select.POLLRDHUP)

    def close(self) -> None:
        """Closes at once, as its descriptor is needed."""
        self.server.forget(self)
        if self.transport:
            self.transport.abort()
        self.sock.close()  # the aborted transport would close it only in the next turn

    # Handover of the connection to a newer process.

    def handover_state(self) -> dict[str, Any] | None:
        """The state to hand over. None if the connection can't continue in another process: it has had its
        last response, has unsent output, or its request body is chunked."""
        chunked = self.request and header(self.request.headers, b"transfer-encoding")
        if self.discarding or chunked or (self.transport and self.transport.get_write_buffer_size()):
            return None
        come = self.head + self.body + self.codec.trailing_data[0] if self.request else self.head
        groups = ("silent", "strangers", "idle", "partial")
        return {
            "come": come.decode("latin-1"),
            "began": self.began,
            "since": self.wait_started,
            "handed_in": self.handed_in,
            "proven": self.proven,
            "kind": next((group for group in groups if self in getattr(self.server, group)), ""),
        }

    def restore(self, state: dict[str, Any]) -> None:
        self.head, self.began, self.wait_started = (
            state["come"].encode("latin-1"),
            state["began"],
            state["since"],
        )
        self.handed_in, self.proven = state["handed_in"], state["proven"]
        self.last_received = max(self.wait_started, self.server.loop.time() - STALL_TIME / 2)
        if state["kind"]:
            getattr(self.server, state["kind"])[self] = None

    def expire(self) -> None:
        """Closes or refuses a client that does not finish its request or stays idle, to free its
        descriptor."""
        passed = self.server.loop.time() - self.wait_started
        if self.discarding:
            if passed > LINGER:
                self.close()
        elif self in self.server.silent:
            if passed > READ_TIMEOUT:
                self.close()
        elif self.began is None:
            if passed > IDLE_TIMEOUT and not self.has_unread():
                self.transport.close()
        elif not self.answering and passed > READ_TIMEOUT:
            self.refuse(408, "the request did not come in time")


class Server:
    """Serves up to `max_connections` connections, and up to `lingering` more that only get a refusal. A
    further one closes a connection that serves nobody."""

    def __init__(
        self,
        classes: dict[str, MessageClass],
        on_message: Callable[[HandedIn, Connection], None],
        now: Callable[[], int],
        max_connections: int,
        lingering: int = 16,
        is_known_destination: Callable[[int], bool] = lambda destination: True,
        accepts: int = 16,  # limit per turn of the loop, so that open connections are served as well
    ) -> None:
        self.classes, self.on_message, self.now = classes, on_message, now
        self.is_known_destination = is_known_destination
        self.accepts = accepts
        self.max_connections, self.lingering = max_connections, lingering
        self.loop = asyncio.get_running_loop()
        self.polls = selector_of(self.loop)
        self.accept_queue_since: float | None = None  # clients may have waited since then to be accepted
        self.longest_unread = 0.0  # s, since the last status line
        # shared by all connections: received bytes are copied before another one reads
        self.buffer = bytearray(READ_BUFFER_BYTES)
        self.connections: set[Connection] = set()
        # Groups of these connections, each in the order of joining:
        self.silent: dict[Connection, None] = {}  # without a byte so far
        self.strangers: dict[Connection, None] = {}  # between requests, and without a message so far
        self.idle: dict[Connection, None] = {}  # between requests
        # with an incomplete request; the one quiet for longest first
        self.partial: dict[Connection, None] = {}
        self.closing: dict[Connection, None] = {}  # after their last response
        # connections whose last request was valid, and all others
        self.read_queues: tuple[deque[Connection], deque[Connection]] = (deque(), deque())
        self.ready = self.stopping = False
        self.accepted = 0  # connections since the start
        self.listener: socket.socket | None = None

    def listen(self, host: str, port: int, listener: socket.socket | None = None) -> None:
        """`listener`: the previous process's listening socket, with the clients in its queue."""
        self.listener = listener or socket.create_server((host, port), backlog=512)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)

    def address(self) -> Address:
        assert self.listener is not None
        return self.listener.getsockname()

    def queue_read(self, connection: Connection) -> None:
        if not connection.queued:
            connection.queued = True
            if not any(self.read_queues):
                self.loop.call_soon(self.read_queued)
            self.read_queues[not connection.proven].append(connection)

    def read_queued(self) -> None:
        """Parses queued requests for READ_SLICE of each turn, so that a flood of requests does not delay
        calls to receivers. Connections whose last request was valid go first; at least one of the others is
        read as well."""
        until = self.loop.time() + READ_SLICE
        proven, others = self.read_queues
        while proven or others:
            connection = (proven or others).popleft()
            connection.queued = False
            connection.advance()
            if self.loop.time() >= until:
                break
        else:
            return
        if proven and others:
            others[0].queued = False
            others.popleft().advance()
        if proven or others:
            self.loop.call_soon(self.read_queued)

    def poll_position(self) -> tuple[int, float]:
        return (
            (self.polls.turn, self.accept_queue_since or self.polls.earliest_arrival)
            if self.polls
            else (0, 0.0)
        )

    def max_unread_us(self, turn: int, accepted_at: float) -> int:
        """Upper limit, in us, of how long the bytes read now may have waited: a late sender (just started, or
        on a shared core) still has to finish the message in time. `turn`, `accepted_at`: when the connection
        was accepted, as it is first polled a few turns later."""
        if self.polls is None:
            return 0
        since = accepted_at if self.polls.turn - turn <= MAX_UNPOLLED_TURNS else self.polls.earliest_arrival
        waited = max(time.monotonic() - since, 0.0)
        self.longest_unread = max(self.longest_unread, waited)
        return int(waited * 1e6)

    def accept(self) -> bool:
        """Accepts connections; returns whether more may be waiting."""
        for _ in range(self.accepts):
            if self.listener is None:
                return False
            try:
                sock = self.listener.accept()[0]
            except (BlockingIOError, InterruptedError):
                self.accept_queue_since = None
                return False
            except OSError as error:
                if error.errno not in DESCRIPTOR_ERRORS:
                    continue  # the connection broke before it was accepted
                log.error("could not accept a connection: %s", error)
                self.evict_connection()
                self.loop.remove_reader(self.listener)
                self.loop.call_later(ACCEPT_RETRY_DELAY, self.accept_again)
                return False
            self.accepted += 1
            if len(self.connections) >= self.max_connections:
                self.evict_connection()
            if len(self.connections) >= self.max_connections + self.lingering:
                sock.close()
                continue
            sock.setblocking(False)
            connection = Connection(self, sock)
            self.silent[connection] = None
            self.start_connection(connection)
        self.accept_queue_since = self.poll_position()[1]
        return True

    def start_connection(self, connection: Connection) -> None:
        self.connections.add(connection)
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: connection, connection.sock))
        task.add_done_callback(lambda task: self.on_connection_started(task, connection))

    def accept_again(self) -> None:
        if self.listener:
            self.loop.add_reader(self.listener, self.accept)

    def on_connection_started(self, task: asyncio.Task, connection: Connection) -> None:
        if task.cancelled() or task.exception():
            self.forget(connection)
            connection.sock.close()

    def hand_over(self) -> Iterator[tuple[dict[str, Any], socket.socket]]:
        """Yields the clients' connections for the newer process. All of them end here; those that it can't
        take over get their pending output first."""
        self.ready, self.stopping = False, True
        for connection in list(self.connections):
            if state := connection.handover_state():
                yield state, connection.sock
                connection.close()
            elif not connection.discarding:
                connection.transport.close()  # after its output is sent

    def adopt(self, state: dict[str, Any], sock: socket.socket) -> None:
        if (
            len(self.connections) >= self.max_connections
        ):  # this process has a lower limit than the previous one
            sock.close()
            return
        sock.setblocking(False)
        connection = Connection(self, sock)
        connection.restore(state)
        self.start_connection(connection)

    def evict_connection(self) -> None:
        """Closes the first connection that serves nobody, so that clients that only connect or only check
        readiness do not crowd out others. One with unread input stays."""
        for connection in self.eviction_candidates():
            if connection.discarding or not (connection.queued or connection.has_unread()):
                connection.close()
                return

    def eviction_candidates(self) -> Iterator[Connection]:
        """Connections that may be closed to make room, the least useful first; within each group the oldest
        first."""
        now = self.loop.time()
        yield from self.closing
        yield from self.strangers
        yield from takewhile(lambda each: now - each.wait_started > MIN_IDLE, self.idle)
        yield from takewhile(lambda each: now - each.last_received > STALL_TIME, self.partial)
        # Some ordinary clients connect well before their first request, so silent ones are closed early only
        # if there are many.
        if len(self.silent) > self.max_connections * SILENT_SHARE:
            yield from self.silent
        yield from self.idle
        yield from self.silent

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.remove_from_groups(connection)

    def remove_from_groups(self, connection: Connection) -> None:
        for group in (self.silent, self.closing, self.strangers, self.idle, self.partial):
            group.pop(connection, None)

    def expire(self) -> None:
        for connection in list(self.connections):
            connection.expire()

    def stop(self) -> None:
        """From now on each response closes its connection."""
        self.ready, self.stopping = False, True

    def close(self) -> None:
        """Stops listening and closes idle connections. Clients waiting to be accepted are accepted first, and
        a request that has arrived is still answered, as neither could know. A client whose request is in
        flight to a closing connection sends it again."""
        if self.listener:
            while self.accept():
                pass
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for connection in [*self.idle, *self.strangers]:
            if not connection.has_unread():
                connection.close()

    def is_done(self) -> bool:
        """Whether no client may still need a response."""
        return self.listener is None and all(each.discarding for each in self.connections)

    def read_remaining(self) -> None:
        """Reads and handles all input that has arrived, as the process ends after this turn."""
        for connection in list(self.connections):
            connection.read_remaining()
        for waiting in self.read_queues:
            while waiting:
                connection = waiting.popleft()
                connection.queued = False
                connection.advance()

    def shut_down(self) -> None:
        self.close()
        for connection in list(self.connections):
            connection.close()
