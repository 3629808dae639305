"""The calling side of one HTTP/1.1 connection to an endpoint: h11 on an asyncio transport.

A connection never sends anything twice by itself, never serves another incarnation than the one that it was
opened for, and notices the peer's end at once, also while it is idle. An answer without a length ends with a
connection that is closed; where that is reset, the answer is not complete.
"""

import asyncio
from collections.abc import Callable, Iterable

import h11

from plumline.errors import PlumlineError
from plumline.wire.sockets import has_unread, reset_on_close

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]

HEAD_LIMIT = 64 * 1024  # bytes of an answer's head, and of any one incomplete event
READ_AHEAD = 256 * 1024  # bytes that may wait unread before the endpoint is held up
TOLD_MARGIN = 1.0  # s by which a connection is let go before the endpoint's told idle time is over
UNTOLD_IDLE = 4.0  # s a connection is kept where the endpoint tells no time


class UpstreamError(PlumlineError):
    """The connection ended or its bytes are no answer; what was sent on it may have run."""

    code, status = "upstream-broken", 502


class UpstreamUnsentError(UpstreamError):
    """The connection was over before a byte of the request was written: it has surely not run."""

    code, status = "upstream-unsent", 503


class UpstreamConnectError(UpstreamUnsentError):
    """No connection came up."""

    code, status = "upstream-connect", 503


def idle_time(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Seconds that the connection may be kept idle after an answer with these headers."""
    for name, value in headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, told = part.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and told.strip().isdigit():
                    return max(float(told[:9]) - TOLD_MARGIN, 0.0)
    return UNTOLD_IDLE


class UpstreamConnection(asyncio.Protocol):
    """One request at a time. `kept_until` is in steady seconds and set by the pool."""

    def __init__(self) -> None:
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.busy = False  # a request is out whose answer hasn't been read to its end
        self.ended = False  # the peer has ended its side, or the connection is lost
        self.used = False  # an answer came whole before
        self.paused = False
        self.unread = 0
        self.kept_until = 0.0
        self.on_idle_end: Callable[[], None] | None = None  # the pool's, while it is kept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.busy:  # nobody asked: these bytes belong to no request
            self.close()
            return
        self.codec.receive_data(data)
        self.unread += len(data)
        if self.unread > READ_AHEAD and not self.paused and self.transport:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        if self.busy and not self.ended:
            self.codec.receive_data(b"")  # the end of an answer that tells no length
        self.end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.wake()
            if self.on_idle_end:
                self.on_idle_end()

    def wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    def usable(self) -> bool:
        return not (self.ended or self.busy or self.transport is None or self.transport.is_closing())

    def has_unread(self) -> bool:
        """Whether the peer has ended the connection, or said something, that the loop has not read yet."""
        return self.transport is not None and has_unread(self.transport)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Writes a whole request at once. Raises UpstreamUnsentError if surely no byte of it left."""
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
        if self.transport.is_closing():  # the first write failed: the system took no byte of it
            raise UpstreamUnsentError("the connection had ended")

    async def event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """The next event of the answer; interim answers are passed over. Raises UpstreamError."""
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

    def finish_now(self) -> bool:
        """Whether the rest of the answer is here; it is thrown away."""
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
        """Whether another request may follow. Bytes behind the answer belong to no request: never again."""
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
        """Ends the connection at once; whoever waits for an event meets UpstreamError. Of a request that is
        given up nothing leaves any more, also when the network has held it up."""
        if self.transport:
            if self.busy:
                reset_on_close(self.transport)
            self.transport.abort()
        self.end()


class Pool:
    """The connections of this router, by endpoint incarnation. Times are steady seconds."""

    def __init__(self, connect_timeout: float = 0.3) -> None:
        self.connect_timeout = connect_timeout
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.open: dict[str, int] = {}  # taken, idle and coming up

    def has_idle(self, key: str, now: float) -> bool:
        kept = self.idle.get(key)
        return bool(kept) and any(each.usable() and each.kept_until > now for each in kept or ())

    def room(self, key: str, most: int, now: float) -> bool:
        """Whether a request could have a connection to `key` now, kept or new."""
        return self.open.get(key, 0) < most or self.has_idle(key, now)

    def take_idle(self, key: str, now: float) -> UpstreamConnection | None:
        """The most lately used kept connection; those that are over, or on which the peer has spoken, are
        closed on the way."""
        kept = self.idle.get(key, [])
        while kept:
            connection = kept.pop()
            connection.on_idle_end = None
            if connection.usable() and connection.kept_until > now and not connection.has_unread():
                return connection
            self.drop(key, connection)
        return None

    async def connect(self, key: str, address: Address) -> UpstreamConnection:
        """Raises UpstreamConnectError if none is up within the connect timeout."""
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
                self.forget_one(key)
        return connection

    def give_back(self, key: str, connection: UpstreamConnection, idle: float, now: float) -> bool:
        """Keeps the connection for `idle` s if it may be used again, else closes it. Returns whether kept."""
        if idle <= 0 or not connection.next_cycle():
            self.drop(key, connection)
            return False
        connection.kept_until = now + idle
        self.idle.setdefault(key, []).append(connection)
        connection.on_idle_end = lambda: self.lost(key, connection)
        return True

    def lost(self, key: str, connection: UpstreamConnection) -> None:
        """A kept connection has ended."""
        connection.on_idle_end = None
        if connection in (kept := self.idle.get(key, [])):
            kept.remove(connection)
            self.drop(key, connection)

    def drop(self, key: str, connection: UpstreamConnection) -> None:
        connection.on_idle_end = None
        connection.close()
        self.forget_one(key)

    def forget_one(self, key: str) -> None:
        if (left := self.open.get(key, 0) - 1) > 0:
            self.open[key] = left
        else:
            self.open.pop(key, None)

    def sweep(self, now: float, listed: Iterable[str]) -> None:
        """Closes idle connections that are over, and all idle ones of incarnations not in `listed`."""
        present = set(listed)
        for key, kept in list(self.idle.items()):
            stays = []
            for each in kept:
                if key in present and each.usable() and each.kept_until > now:
                    stays.append(each)
                else:
                    self.drop(key, each)
            if stays:
                self.idle[key] = stays
            else:
                del self.idle[key]

    def close(self) -> None:
        self.sweep(0.0, ())
