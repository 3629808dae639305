"""An HTTP/1.1 client connection on a plain socket, used for receivers and for the platform."""

import asyncio
import re
import socket
from collections.abc import Iterable

import h11

from plumline.errors import PlumlineError
from plumline.wire.sockets import NO_LINGER

MAX_HEADER_BYTES = 16 * 1024  # bytes
MAX_BODY_BYTES = 64 * 1024  # bytes
READ_BUFFER_BYTES = 64 * 1024  # bytes
HEAD_TIMEOUT_S = 1.0  # from the first bytes of a response to the end of its head
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
STATUS_LINE_PREFIX = b"HTTP/1."
PLACEHOLDER_HEADERS = [("Host", "x"), ("Content-Length", "0")]
DECIMAL = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?", re.ASCII)

Address = tuple[str, int]


class AddressInvalidError(PlumlineError, ValueError):
    """An address that is not of the form host:port."""

    code, status = "address-invalid", 400


class ResponseMalformedError(PlumlineError):
    """A response that can't be parsed. `claimed_status` is that of its status line, 0 if it has none."""

    code, status = "response-malformed", 502

    def __init__(self, claimed_status: int, text: str) -> None:
        super().__init__(text)
        self.claimed_status = claimed_status


#: Raised for a broken connection or a malformed response.
CONNECTION_ERRORS = (OSError, ResponseMalformedError)


def address_from(text: str) -> Address:
    """Parses "host:port". Raises AddressInvalidError for any other text."""
    host, found, port = text.rpartition(":")
    if not found or not host or not (port.isascii() and port.isdecimal()) or int(port[:6]) > 65535:
        raise AddressInvalidError(f"{text!r} is not host:port")
    return host, int(port)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """The value of the first header with this (lower-case) name."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def parse_decimal(text: str) -> float | None:
    """Parses a decimal number. Returns None for forms that only float() accepts ('1e308', '1_0', 'inf',
    digits of other scripts) and for numbers with too many digits."""
    return float(text) if DECIMAL.fullmatch(text) else None


async def readable(sock: socket.socket) -> None:
    """Waits until the socket is readable, which includes the end of the stream."""
    loop, ready, descriptor = asyncio.get_running_loop(), asyncio.Event(), sock.fileno()
    loop.add_reader(descriptor, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(descriptor)  # by number: the socket may have been closed meanwhile


async def writable(sock: socket.socket) -> None:
    """Waits until the socket is writable."""
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_writer(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_writer(sock)


class Connection:
    """A client connection to a server. It never retries a request by itself."""

    def __init__(self, sock: socket.socket, address: Address) -> None:
        self.sock, self.address = sock, address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.idle_since = 0.0
        self.body_bytes = 0  # received of the current response's body

    @classmethod
    async def open(cls, address: Address) -> "Connection":
        """Opens a new connection. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock, address)

    @classmethod
    def from_socket(cls, sock: socket.socket, address: Address, unread: bytes | None = None) -> "Connection":
        """Takes over a connection that another process opened. `unread` is set if a response is outstanding
        and holds its received part."""
        connection = cls(sock, address)
        if unread is not None:  # the codec must be in the state after a complete request, whichever
            connection.codec.send(h11.Request(method="POST", target="/", headers=PLACEHOLDER_HEADERS))
            connection.codec.send(h11.EndOfMessage())
            if unread:
                connection.codec.receive_data(unread)
        return connection

    async def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Returns when the last byte is written; if it raises, the last byte was not written."""
        all_headers = {"Host": f"{self.address[0]}:{self.address[1]}"} | headers
        # Latin-1, as when reading, so that non-ASCII bytes in a client's id are forwarded unchanged.
        lines = [(name.encode(), value.encode("latin-1")) for name, value in all_headers.items() if value]
        request = h11.Request(method=method, target=target, headers=lines)
        data = self.codec.send(request) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        data += self.codec.send(h11.EndOfMessage()) or b""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except (BlockingIOError, InterruptedError):
                await writable(self.sock)

    async def receive(self) -> None:
        """Waits for bytes or the end of the stream, and passes them to the codec."""
        # Reads and writes happen directly in the task that uses the result, without a transport in between.
        # Code that ends a call or hands it over between two loop iterations therefore knows its exact state.
        while True:
            try:
                self.codec.receive_data(self.sock.recv(READ_BUFFER_BYTES))
                return
            except (BlockingIOError, InterruptedError):
                await readable(self.sock)

    def read_event(self) -> h11.Event | None:
        """The next event in the received bytes, None if more bytes are needed."""
        unread, ended = self.codec.trailing_data
        if ended and not unread:
            raise ConnectionResetError("the connection ended")
        status_line = STATUS_LINE.match(unread)
        try:
            event = self.codec.next_event()
        except h11.ProtocolError as error:
            raise ResponseMalformedError(int(status_line[1]) if status_line else 0, str(error)) from None
        if event is h11.NEED_DATA and not ended:
            return None
        if isinstance(event, h11.ConnectionClosed) or not isinstance(event, h11.Event):
            raise ConnectionResetError("the connection ended")
        return event

    async def next_event(self) -> h11.Event:
        """Waits for the next event."""
        while (event := self.read_event()) is None:
            await self.receive()
        return event

    async def response(self) -> h11.Response:
        """Waits for the head of the response. Rejects malformed heads and heads that don't end in time."""
        if response := await self.early_response():
            return response
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            while not isinstance(event := await self.next_event(), h11.Response):
                pass
        return event

    async def early_response(self) -> h11.Response | None:
        """Like `response`, but None if the head is incomplete and its status line already says 200."""
        if not self.codec.trailing_data[0]:
            await self.receive()
        try:
            async with asyncio.timeout(HEAD_TIMEOUT_S):
                for _ in range(MAX_INTERIM_RESPONSES):
                    while (event := self.read_event()) is None:
                        if self.status_line_is_ok():
                            self.body_bytes = 0
                            return None
                        await self.receive()
                    if isinstance(event, h11.Response):
                        self.body_bytes = 0
                        return event
        except TimeoutError:
            raise ResponseMalformedError(0, "the head does not end") from None
        raise ResponseMalformedError(0, "too many interim answers")

    def status_line_is_ok(self) -> bool:
        """Whether the status line of an incomplete head says 200. Rejects bytes that are not HTTP, whose head
        would never end."""
        unread = self.codec.trailing_data[0]
        if not (unread.startswith(STATUS_LINE_PREFIX) or STATUS_LINE_PREFIX.startswith(unread)):
            raise ResponseMalformedError(0, "not an answer")
        status_line = STATUS_LINE.match(unread)
        return status_line is not None and int(status_line[1]) == 200

    def is_response_complete(self) -> bool:
        """Reads the received part of the body and returns whether the response is complete. Its head has been
        read, or its status line says 200."""
        while (event := self.read_event()) is not None:
            if isinstance(event, h11.EndOfMessage):
                return True
            self.body_bytes += len(event.data) if isinstance(event, h11.Data) else 0
            if self.body_bytes > MAX_BODY_BYTES:
                raise ResponseMalformedError(0, "the answer is too long")
        return False

    async def skip_body(self) -> None:
        """Reads the rest of the response, so that the connection can be reused."""
        while not self.is_response_complete():
            await self.receive()

    def next_cycle(self) -> bool:
        """Prepares the connection for another request, and returns whether it is possible. It isn't if bytes
        follow the response: they would be taken for the response to the next request."""
        if self.codec.our_state is not h11.DONE or self.codec.their_state is not h11.DONE:
            return False
        if self.codec.trailing_data != (b"", False):
            return False
        self.codec.start_next_cycle()
        return True

    def is_unusable(self) -> bool:
        """Whether an idle connection can't be reused: the peer has closed it or sent unsolicited bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def reset(self) -> None:
        """Closes with a reset, so that bytes delayed by a network partition can't arrive later."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.sock.close()

    def set_user_timeout(self, seconds: float) -> None:
        """Lets the kernel reset the connection if sent bytes stay unacknowledged for this long, even while
        this process is suspended."""
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))

    def close_after_handover(self) -> None:
        """Closes this process's descriptor after the connection was handed to another process. Otherwise the
        connection would stay open after the other process closes it."""
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        self.sock.close()

    def shut_down(self) -> None:
        """Shuts the connection down at once, before the task that waits on it gets to close it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # already disconnected
