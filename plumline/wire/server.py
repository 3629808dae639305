"""HTTP/1.1 server: reads requests, one at a time a connection, each handed to a handler as an `Exchange`.

Whatever can't be read for sure is refused and ends its connection, so that bytes are never taken for a
request that they are not. Times are seconds on the loop's clock, which is the steady one.
"""

import asyncio
import logging
import socket
from collections.abc import Callable, MutableMapping
from enum import Enum
from typing import NamedTuple, Protocol

from plumline.wire.drain_record import DrainRecord
from plumline.wire.exchange import (
    STATUS_LINES,
    UNREAD_BYTES,
    ChunkedBody,
    Exchange,
    RequestHead,
    RequestRefusedError,
    check_octets,
    parse_head,
)
from plumline.wire.sockets import has_unread

READ_BYTES = 64 * 1024
AHEAD_BYTES = 64 * 1024  # of next requests kept while one is being answered; then the client waits
LINGER = 1.0  # s that a client has to read its last answer and close
LINGER_BYTES = 8 * 1024 * 1024  # read and dropped meanwhile: a close over unread bytes is a reset
IDLE_MARGIN = 1.0  # s by which a client is told less than the connection may stand idle
BACKLOG = 512

log = logging.getLogger(__name__)


class Limits(Protocol):
    """What a client may send, and how long it may take."""

    @property
    def header_bytes(self) -> int:
        """The most that a head may have."""
        ...

    @property
    def body_bytes(self) -> int:
        """The most that a body may have."""
        ...

    @property
    def header_ms(self) -> float:
        """From a head's first byte to its last."""
        ...

    @property
    def idle_ms(self) -> float:
        """Between requests, and between two parts of a body."""
        ...


class FixedLimits(NamedTuple):
    """Limits of a server whose clients no configuration speaks of."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class Phase(Enum):
    """What a connection waits for."""

    IDLE = "a request"
    HEAD = "the rest of a head"
    BODY = "the rest of a body"
    ANSWER = "the handler"
    LEAVING = "the client, which has its last answer"


class Connection(asyncio.BufferedProtocol):
    """One client's connection."""

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is up

    def __init__(self, server: "Server") -> None:
        self.server, self.loop = server, server.loop
        self.opened_at = self.loop.time()
        self.phase = Phase.IDLE
        self.buffer = bytearray()
        self.searched = 0  # bytes of it that hold no head's end
        self.came = 0.0  # when the first byte that is left in the buffer was read, or one before it
        self.began = 0.0  # the same of the request at hand
        self.head: RequestHead | None = None
        self.chunks: ChunkedBody | None = None
        self.held = 0  # bytes of the body counted in the server's sum
        self.exchange: Exchange | None = None
        self.deadline = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.unsent = 0  # bytes that waited for the client when the timer last looked
        self.dropped = 0
        self.room: asyncio.Future[None] | None = None  # while the client leaves too much unread
        self.limits = server.limits()

    # The transport's calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The transport's call: the client is here."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=UNREAD_BYTES, low=UNREAD_BYTES // 4)
        # The loop does it only for sockets that were made with their protocol named.
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        self.expire_in(self.limits.idle_ms / 1000)

    def connection_lost(self, error: Exception | None) -> None:
        """The transport's call: the client's connection is over."""
        self.server.connections.discard(self)
        if self.timer:
            self.timer.cancel()
        self.release()
        self.tell_gone()
        self.phase = Phase.LEAVING
        self.server.note_left()

    def get_buffer(self, sizehint: int) -> bytearray:
        """The transport's call: where to read to."""
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        """The transport's call: so many bytes have come."""
        if self.phase is Phase.LEAVING:
            self.dropped += size
            if self.dropped > LINGER_BYTES:
                self.transport.pause_reading()
            return
        if not self.buffer:
            self.came = self.loop.time()
        self.buffer += memoryview(self.server.buffer)[:size]
        self.advance()
        if self.phase is Phase.ANSWER and len(self.buffer) > AHEAD_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """A client that sends no more has given up: those of this system wait with the connection open."""
        if self.exchange is not None:
            self.server.count("client-gone")
            self.tell_gone()
            self.transport.abort()
            return True
        # What has been answered is still sent out, for as long as the client reads.
        if self.phase is not Phase.LEAVING:
            self.leave()
        return False

    def pause_writing(self) -> None:
        """The transport's call: the client leaves too much unread."""
        if self.room is None:
            self.room = self.loop.create_future()

    def resume_writing(self) -> None:
        """The transport's call: the client has read on."""
        if self.room is not None:
            room, self.room = self.room, None
            if not room.done():
                room.set_result(None)

    # Reading.

    def advance(self) -> None:
        """Reads on; whatever a client sends ends in an answer, never in an exception through the loop."""
        if self.phase in (Phase.ANSWER, Phase.LEAVING) or self.transport.is_closing():
            return
        try:
            if self.phase is Phase.IDLE:
                if self.buffer.startswith(b"\r\n"):
                    del self.buffer[:2]  # one empty line before a request is let pass
                if not self.buffer or self.buffer == b"\r":
                    return
                self.limits = self.server.limits()
                self.began = self.came  # its client counts the time that it waited for the answer before
                self.searched = 0
                self.phase = Phase.HEAD
            body = self.read_body() if self.phase is Phase.BODY or self.read_head() else None
        except RequestRefusedError as error:
            self.server.count(error.code)
            self.refuse(error.status, error.text)
            return
        if body is not None:
            self.hand_over(body)
        else:
            self.transport.resume_reading()

    def read_head(self) -> bool:
        """Whether the head is whole."""
        limit = self.limits.header_bytes
        end = self.buffer.find(b"\r\n\r\n", max(self.searched - 3, 0))
        size = len(self.buffer) if end < 0 else end + 4
        if size > limit:
            raise RequestRefusedError("the head is too long", 431, "header-too-long")
        if end < 0:
            check_octets(self.buffer)  # a head of other line ends would never be whole
            if not self.searched:
                self.expire_in(self.limits.header_ms / 1000)
            self.searched = size
            return False
        raw = bytes(self.buffer[:size])
        del self.buffer[:size]
        head = parse_head(raw)
        if head.length is None:
            self.chunks = ChunkedBody(self.limits.body_bytes)
        elif head.length > self.limits.body_bytes:
            raise RequestRefusedError("the body is too long", 413, "body-too-long")
        if head.length != 0 and self.server.held + (head.length or 0) > self.server.held_limit:
            raise RequestRefusedError("too many bodies at once", 503, "bodies-too-many")
        self.head = head
        self.phase = Phase.BODY
        if head.expects and not self.buffer:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def read_body(self) -> bytes | None:
        """None while it isn't whole."""
        assert self.head is not None
        if self.chunks is not None:
            whole = self.chunks.take(self.buffer)
            come = len(self.chunks.body)
        else:
            assert self.head.length is not None
            come = min(len(self.buffer), self.head.length)
            whole = come == self.head.length
        self.server.held += come - self.held
        self.held = come
        if whole:
            if self.chunks is not None:
                return bytes(self.chunks.body)
            body = bytes(self.buffer[:come])
            del self.buffer[:come]
            return body
        if self.server.held > self.server.held_limit:
            raise RequestRefusedError("too many bodies at once", 503, "bodies-too-many")
        self.expire_in(self.limits.idle_ms / 1000)  # from the newest byte
        return None

    def hand_over(self, body: bytes) -> None:
        """The request is whole: the handler owes its answer from now on."""
        assert self.head is not None
        exchange = self.exchange = Exchange(self, self.head, body, self.began)
        self.head = self.chunks = None
        self.phase = Phase.ANSWER
        if self.server.drain is not None:
            self.server.drain.record_request(self.loop.time(), self.opened_at, self.began)
        try:
            self.server.handler(exchange)
        except Exception:
            log.exception("a request could not be handled")
            self.server.count("handler-failed")
            if exchange.done:
                return
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond(500)

    # Answering.

    def connection_headers(self, persistent: bool) -> tuple[bytes, bool]:
        """For the exchange; see `Carrier`."""
        if not persistent or self.server.ending:
            return b"Connection: close\r\n\r\n", False
        stands = int(self.limits.idle_ms / 1000 - IDLE_MARGIN)
        if stands < 1:
            return b"\r\n", True
        return b"Keep-Alive: timeout=%d\r\n\r\n" % stands, True

    def answered(self, stays: bool) -> None:
        """The exchange at hand has its answer, or was aborted."""
        aborted = not (self.exchange and self.exchange.started)
        self.exchange = None
        self.release()
        self.resume_writing()  # for whoever still waits on behalf of an answer that was aborted
        if aborted:
            self.transport.close()
        elif not stays or self.transport.is_closing():
            self.leave()
        else:
            self.phase = Phase.IDLE
            self.unsent = 0
            self.expire_in(self.limits.idle_ms / 1000)
            if len(self.buffer) <= AHEAD_BYTES:
                self.transport.resume_reading()
            if self.buffer:
                self.loop.call_soon(self.advance)

    async def writable(self) -> None:
        """For the exchange; see `Carrier`."""
        if self.transport.is_closing():
            return
        if self.room is None and self.transport.get_write_buffer_size() > UNREAD_BYTES:
            self.room = self.loop.create_future()  # still full of the answer before
        if self.room is not None:
            await asyncio.shield(self.room)

    def refuse(self, status: int, text: str) -> None:
        """Answers what is not read to its end, and ends the connection."""
        body = text[:200].encode("ascii", "replace") + b"\n"
        retry = b"Retry-After: 1\r\n" if status == 503 else b""
        self.transport.write(
            b"%bContent-Type: text/plain\r\nContent-Length: %d\r\n%bConnection: close\r\n\r\n%b"
            % (STATUS_LINES[status], len(body), retry, body)
        )
        self.leave()

    # Ending.

    def leave(self) -> None:
        """After the last answer: what still comes is read and dropped for a while, as closing over unread
        bytes would reset the connection, and the client might never see its answer."""
        self.phase = Phase.LEAVING
        self.buffer.clear()
        self.head = self.chunks = None
        self.release()
        if not self.transport.is_closing():
            self.transport.write_eof()
            self.transport.resume_reading()
            self.unsent = self.transport.get_write_buffer_size()
            self.expire_in(self.limits.idle_ms / 1000 if self.unsent else LINGER)

    def tell_gone(self) -> None:
        """The client has left, with or without a request at hand."""
        exchange, self.exchange = self.exchange, None
        self.release()
        self.resume_writing()
        if exchange is not None:
            self.phase = Phase.LEAVING
            exchange.client_gone()

    def release(self) -> None:
        """The body at hand is not counted as held any more."""
        self.server.held -= self.held
        self.held = 0

    def expire_in(self, delay: float) -> None:
        """A timer that goes off earlier is left, and set again then: most requests need none of their own."""
        self.deadline = self.loop.time() + delay
        if self.timer is None:
            self.timer = self.loop.call_at(self.deadline, self.expire)
        elif self.timer.when() > self.deadline:
            self.timer.cancel()
            self.timer = self.loop.call_at(self.deadline, self.expire)

    def expire(self) -> None:
        """The timer: ends what has waited too long for its client."""
        self.timer = None
        if self.phase is Phase.ANSWER:
            return  # the handler's own time; the answer sets the timer again
        if self.loop.time() < self.deadline:
            self.timer = self.loop.call_at(self.deadline, self.expire)
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent and self.phase in (Phase.IDLE, Phase.LEAVING) and not self.took_some(unsent):
            self.server.count("client-stalled")
            self.transport.abort()
        elif unsent and self.phase in (Phase.IDLE, Phase.LEAVING):
            self.unsent = unsent
            self.expire_in(self.limits.idle_ms / 1000)
        elif self.phase is Phase.LEAVING:
            self.transport.abort()
        elif self.phase is Phase.IDLE:
            if has_unread(self.transport):
                self.expire_in(LINGER)
            else:
                self.transport.close()
        else:
            self.server.count("request-late")
            self.refuse(408, "the request did not come in time")

    def took_some(self, unsent: int) -> bool:
        """Whether the client has read since the timer last looked."""
        return self.unsent == 0 or unsent < self.unsent


class Server:
    """Listens, and holds the connections. `limits` is asked at each request; `counters` counts by error code;
    `held_limit` bounds the bytes of bodies held at once, over all connections."""

    def __init__(
        self,
        handler: Callable[[Exchange], None],
        limits: Callable[[], Limits] = FixedLimits,
        counters: MutableMapping[str, int] | None = None,
        held_limit: int = 64 * 1024 * 1024,
    ) -> None:
        self.handler, self.limits = handler, limits
        self.counters: MutableMapping[str, int] = {} if counters is None else counters
        self.held_limit = held_limit
        self.held = 0
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray(READ_BYTES)  # one for all: what came is copied before another one reads
        self.connections: set[Connection] = set()
        self.ending = False  # each answer closes its connection
        self.drain: DrainRecord | None = None  # from `begin_ending` on
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Server | None = None
        self.adopting: set[asyncio.Task[object]] = set()
        self.empty: asyncio.Future[None] | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError."""
        self.listener = socket.create_server(address, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.accepting = await self.loop.create_server(
            lambda: Connection(self), sock=self.listener, backlog=BACKLOG
        )

    def address(self) -> tuple[str, int]:
        """Where it listens."""
        assert self.listener is not None
        return self.listener.getsockname()

    def count(self, code: str) -> None:
        """One more of this error."""
        self.counters[code] = self.counters.get(code, 0) + 1

    def begin_ending(self) -> None:
        """From now on each answer closes its connection; new ones are still taken."""
        self.ending = True
        self.drain = DrainRecord(self.loop.time())

    def unanswered(self) -> int:
        """How many requests have been read whole and have no complete answer yet."""
        return sum(each.exchange is not None for each in self.connections)

    def stop_accepting(self) -> None:
        """No new connections. Those that wait to be taken are taken first: their clients could not know."""
        self.ending = True
        if self.listener is None or self.accepting is None:
            return
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                break
            sock.setblocking(False)
            task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Connection(self), sock))
            self.adopting.add(task)
            task.add_done_callback(self.adopted)
        self.accepting.close()
        self.listener = self.accepting = None

    def adopted(self, task: asyncio.Task[object]) -> None:
        """A connection that waited to be accepted is up, or has ended before."""
        self.adopting.discard(task)
        if not task.cancelled():
            task.exception()  # one that ended before it was up has nothing to tell
        self.note_left()

    def close_idle(self) -> None:
        """Ends the connections that owe nobody an answer; one whose bytes wait to be read is read first."""
        for each in list(self.connections):
            if each.phase is Phase.IDLE and not each.buffer and not has_unread(each.transport):
                if not each.transport.get_write_buffer_size():
                    each.transport.close()
                else:
                    each.leave()

    def busy(self) -> bool:
        """Whether somebody may be owed an answer."""
        return bool(self.adopting) or bool(self.connections)

    def note_left(self) -> None:
        """Wakes `drained` once nobody is owed an answer."""
        if self.empty is not None and not self.empty.done() and not self.busy():
            self.empty.set_result(None)

    async def drained(self, timeout: float) -> bool:
        """Waits up to `timeout` s for the last connection to end; whether it did."""
        if not self.busy():
            return True
        self.empty = self.loop.create_future()
        try:
            async with asyncio.timeout(timeout):
                await self.empty
        except TimeoutError:
            return False
        finally:
            self.empty = None
        return True

    def end(self) -> None:
        """All that is left, at once; answers that have not gone out are lost."""
        self.stop_accepting()
        for each in list(self.connections):
            each.transport.abort()
