"""The client side of HTTP/1.1 connections to endpoints: h11 on an asyncio transport, and the connection pool.

A connection never resends anything by itself, is used only for the incarnation that it was opened for, and
notices at once when the peer ends it, also while idle. An answer without a length is complete when the
connection is closed, and incomplete when it is reset.
"""

import asyncio
from collections.abc import Callable, Iterable

import h11

from plumline.errors import PlumlineError
from plumline.wire.sockets import has_unread, reset_on_close

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 64 * 1024  # of an answer's head, and of any incomplete h11 event
READ_AHEAD_BYTES = 256 * 1024  # unread bytes above which reading from the endpoint pauses
KEEP_ALIVE_MARGIN_S = 1.0  # a connection is dropped this long before the endpoint's keep-alive timeout
ANSWER_ENDED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)  # of the endpoint's side
DEFAULT_IDLE_S = 4.0  # for which a connection is kept if the endpoint sends no keep-alive timeout


class UpstreamError(PlumlineError):
    """The connection ended or the answer is malformed; a request sent on it may have run."""

    code, status = "upstream-broken", 502


class UpstreamUnsentError(UpstreamError):
    """The connection ended before a byte of the request was written: the request has not run."""

    code, status = "upstream-unsent", 503


class UpstreamConnectError(UpstreamUnsentError):
    """No connection could be opened."""

    code, status = "upstream-connect", 503


def idle_time(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Seconds that the connection may be kept idle after an answer with these headers."""
    for name, value in headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, timeout = part.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and timeout.strip().isdigit():
                    return max(float(timeout[:9]) - KEEP_ALIVE_MARGIN_S, 0.0)
    return DEFAULT_IDLE_S


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.busy = False  # a request was sent whose answer has not been read completely
        self.ended = False  # the peer has ended its side, or the connection is lost
        self.used = False  # it has carried a complete answer before
        self.paused = False
        self.unread = 0
        self.idle_until = 0.0  # monotonic s, set by the pool
        self.on_idle_end: Callable[[], None] | None = None  # set by the pool while the connection is idle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio callback: the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """asyncio callback. Bytes that arrive while no request is outstanding end the connection."""
        if not self.busy:  # the bytes belong to no request
            self.close()
            return
        self.codec.receive_data(data)
        self.unread += len(data)
        if self.unread > READ_AHEAD_BYTES and not self.paused and self.transport:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        """asyncio callback: the peer has closed its side."""
        if self.busy and not self.ended:
            self.codec.receive_data(b"")  # the end of an answer without a length
        self.end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio callback, also after a reset, which never completes an answer."""
        self.end()

    def end(self) -> None:
        """Notifies the task that waits for an event, or the pool that holds the idle connection."""
        if not self.ended:
            self.ended = True
            self.wake()
            if self.on_idle_end:
                self.on_idle_end()

    def wake(self) -> None:
        """Wakes the task that waits for an event."""
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    def usable(self) -> bool:
        """Whether a request could be sent now, as far as the event loop knows."""
        return not (self.ended or self.busy or self.transport is None or self.transport.is_closing())

    def has_unread(self) -> bool:
        """Whether the peer has closed the connection or sent bytes that the event loop has not read yet."""
        return self.transport is not None and has_unread(self.transport)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Writes a complete request. Raises UpstreamUnsentError if certainly no byte of it was sent."""
        if not self.usable() or self.transport is None:
            raise UpstreamUnsentError("the connection has ended")
        try:
            data = self.codec.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if body:
                data += self.codec.send(h11.Data(data=body)) or b""
            data += self.codec.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            self.close()
            raise UpstreamUnsentError(str(error)) from None
        self.busy = True
        self.transport.write(data)
        if self.transport.is_closing():  # the first write failed: the kernel accepted no byte of it
            raise UpstreamUnsentError("the connection had ended")

    async def event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """The next event of the answer; interim answers are skipped. Raises UpstreamError."""
        while True:
            try:
                event = self.codec.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamError(str(error)) from None
            if event is h11.NEED_DATA:
                if self.ended:
                    raise UpstreamError("the connection ended")
                self.unread = 0
                if self.paused and self.transport:
                    self.paused = False
                    self.transport.resume_reading()
                self.waiter = asyncio.get_running_loop().create_future()
                try:
                    await self.waiter
                finally:
                    self.waiter = None
            elif isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage)):
                return event
            elif not isinstance(event, h11.InformationalResponse):
                raise UpstreamError("the connection ended")

    def discard_rest(self) -> bool:
        """Discards the buffered rest of the answer. Returns whether the answer is complete."""
        try:
            while (event := self.codec.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage):
                    return True
                if not isinstance(event, h11.Data):
                    return False
        except h11.RemoteProtocolError:
            pass
        return False

    def next_cycle(self) -> bool:
        """Prepares the connection for another request. False if none may follow, as after bytes behind the
        answer, which belong to no request."""
        codec, transport = self.codec, self.transport
        if self.ended or transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return False
        if codec.our_state is not h11.DONE or codec.their_state is not h11.DONE:
            return False
        if codec.trailing_data != (b"", False):
            return False
        codec.start_next_cycle()
        self.busy, self.used, self.unread = False, True, 0
        if self.paused:
            self.paused = False
            transport.resume_reading()
        return True

    def close(self) -> None:
        """Ends the connection at once; a task that waits for an event gets UpstreamError. Unsent bytes of an
        unanswered request are dropped by a reset, also if the network has delayed them."""
        if self.transport:
            if self.busy and self.codec.their_state not in ANSWER_ENDED_STATES:
                reset_on_close(self.transport)
            self.transport.abort()
        self.end()


class ConnectionPool:
    """The connections of this router, by endpoint incarnation. Times are monotonic seconds."""

    def __init__(self, connect_timeout: float = 0.3) -> None:
        self.connect_timeout = connect_timeout
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.open: dict[str, int] = {}  # in use, idle and being opened

    def has_idle(self, key: str, now: float) -> bool:
        """Whether an idle connection to `key` could be used now."""
        idle = self.idle.get(key)
        return bool(idle) and any(each.usable() and each.idle_until > now for each in idle or ())

    def has_capacity(self, key: str, max_connections: int, now: float) -> bool:
        """Whether a request could get a connection to `key` now, idle or new."""
        return self.open.get(key, 0) < max_connections or self.has_idle(key, now)

    def take_idle(self, key: str, now: float) -> UpstreamConnection | None:
        """The most recently used idle connection. Those that have ended or expired, or on which the peer has
        sent bytes, are closed on the way."""
        idle = self.idle.get(key, [])
        while idle:
            connection = idle.pop()
            connection.on_idle_end = None
            if connection.usable() and connection.idle_until > now and not connection.has_unread():
                return connection
            self.drop(key, connection)
        return None

    async def connect(self, key: str, address: Address) -> UpstreamConnection:
        """Opens a connection. Raises UpstreamConnectError if that fails or exceeds the connect timeout."""
        self.open[key] = self.open.get(key, 0) + 1
        connection: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(self.connect_timeout):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError) as error:
            raise UpstreamConnectError(str(error)) from None
        finally:
            if connection is None:
                self.decrement_open(key)
        return connection

    def release(self, key: str, connection: UpstreamConnection, idle_s: float, now: float) -> bool:
        """Keeps the connection for `idle_s` if it may be used again, else closes it. Returns whether kept."""
        if idle_s <= 0 or not connection.next_cycle():
            self.drop(key, connection)
            return False
        connection.idle_until = now + idle_s
        self.idle.setdefault(key, []).append(connection)
        connection.on_idle_end = lambda: self.on_idle_end(key, connection)
        return True

    def on_idle_end(self, key: str, connection: UpstreamConnection) -> None:
        """Removes an idle connection that has ended."""
        connection.on_idle_end = None
        if connection in (idle := self.idle.get(key, [])):
            idle.remove(connection)
            self.drop(key, connection)

    def drop(self, key: str, connection: UpstreamConnection) -> None:
        """Closes a connection that was in use or idle."""
        connection.on_idle_end = None
        connection.close()
        self.decrement_open(key)

    def decrement_open(self, key: str) -> None:
        """Counts one open connection to `key` less."""
        if (remaining := self.open.get(key, 0) - 1) > 0:
            self.open[key] = remaining
        else:
            self.open.pop(key, None)

    def close_expired(self, now: float, listed: Iterable[str]) -> None:
        """Closes idle connections that have ended or expired, and all of incarnations not in `listed`."""
        present = set(listed)
        for key, idle in list(self.idle.items()):
            remaining = []
            for each in idle:
                if key in present and each.usable() and each.idle_until > now:
                    remaining.append(each)
                else:
                    self.drop(key, each)
            if remaining:
                self.idle[key] = remaining
            else:
                del self.idle[key]

    def close(self) -> None:
        """Closes all idle connections."""
        self.close_expired(0.0, ())
