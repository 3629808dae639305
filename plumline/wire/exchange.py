"""One complete HTTP/1.1 request and its single response.

Also contains the strict parsers for request heads (`parse_head`) and chunked bodies (`ChunkedBody`). Anything
that two parsers could interpret differently is rejected, because the endpoint parses the request again.
"""

import asyncio
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

import h11

from plumline.errors import PlumlineError
from plumline.wire.sockets import reset_on_close

Headers = list[tuple[bytes, bytes]]

FORBIDDEN_CONTROL_CHARACTERS = bytes(code for code in (*range(32), 127) if code not in b"\t\r\n")
AUTHORITY = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+;=%-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e]*)?")
TRAILER_LINE = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192
MAX_UNREAD_RESPONSE_BYTES = 64 * 1024  # bytes the client may leave unread before `drain` blocks
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection", b"upgrade")
)
STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode()) for status in HTTPStatus
}


class RequestRefusedError(PlumlineError):
    """The request is malformed or not accepted. The connection closes after the response with `status`."""

    code, status = "request-malformed", 400

    def __init__(self, text: str = "", status: int = 400, code: str = "request-malformed") -> None:
        super().__init__(text)
        self.status, self.code = status, code


class AnswerInvalidError(PlumlineError):
    """The response can't be sent as given, for example because of a line break in a header, which would allow
    response splitting."""

    code, status = "answer-invalid", 502


@dataclass(slots=True)
class RequestHead:
    """A parsed request head. `length` is the length of the body in bytes, None for a chunked body."""

    method: str
    target: str  # origin form: path and query
    host: str  # lower-case, without a port; empty where HTTP/1.0 names none
    headers: Headers
    length: int | None
    persistent: bool  # the client allows the connection to be reused
    is_http_1_1: bool
    expects_continue: bool  # the client waits for 100 Continue before it sends the body


def malformed(text: str) -> RequestRefusedError:
    """An error for input that is not unambiguously a valid request."""
    return RequestRefusedError(text)


def check_octets(head: bytes | bytearray) -> None:
    """Checks a complete or partial head. Raises RequestRefusedError for control characters, line ends other
    than CRLF and folded lines, all of which h11 accepts."""
    line_ends = head.count(b"\r\n")
    # A partial head may end between CR and LF.
    carriage_returns = head.count(b"\r") - head.endswith(b"\r")
    if head.count(b"\n") != line_ends or carriage_returns != line_ends:
        raise malformed("a line end that is not CRLF")
    if len(head.translate(None, FORBIDDEN_CONTROL_CHARACTERS)) != len(head):
        raise malformed("a control character in the head")
    if b"\n " in head or b"\n\t" in head:
        raise malformed("a folded line")


def parse_head(head: bytes) -> RequestHead:
    """Parses a complete head, including its final empty line. Raises RequestRefusedError."""
    check_octets(head)
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=len(head) + 1)
    parser.receive_data(head)
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        raise RequestRefusedError(str(error), error.error_status_hint) from None
    if not isinstance(event, h11.Request):
        raise malformed("no request")
    if event.http_version not in (b"1.1", b"1.0"):
        raise RequestRefusedError("HTTP/1.1 is spoken here", 505)
    is_http_1_1 = event.http_version == b"1.1"
    headers = list(event.headers)
    fields = read_fields(headers)
    if fields.has_content_length:
        check_single_content_length(head)
    if fields.chunked and fields.has_content_length:
        raise malformed("both Content-Length and Transfer-Encoding")
    if fields.chunked and not is_http_1_1:
        raise malformed("Transfer-Encoding in HTTP/1.0")
    length = None if fields.chunked else fields.length
    return RequestHead(
        method=event.method.decode("ascii"),
        target=origin_form(event.method, event.target, fields.host),
        host=host_without_port(fields.host),
        headers=headers,
        length=length,
        persistent=is_http_1_1 and b"close" not in fields.connection_options,
        is_http_1_1=is_http_1_1,
        expects_continue=is_http_1_1 and fields.expects_continue and length != 0,
    )


@dataclass(slots=True)
class HeadFields:
    """The headers that concern the connection and the framing of the body."""

    host: bytes = b""
    length: int = 0
    has_content_length: bool = False
    chunked: bool = False  # a Transfer-Encoding header is present
    connection_options: list[bytes] = field(default_factory=list)  # options of the `Connection` header
    expects_continue: bool = False


def read_fields(headers: Headers) -> HeadFields:
    """Extracts the fields. Raises RequestRefusedError for values and protocols that are not supported."""
    fields = HeadFields()
    for name, value in headers:
        if name == b"host":
            fields.host = value
            if not AUTHORITY.fullmatch(value):
                raise malformed("no valid Host")
        elif name == b"content-length":
            fields.length, fields.has_content_length = int(value), True
        elif name == b"transfer-encoding":
            fields.chunked = True
        elif name == b"connection":
            fields.connection_options += [option.strip() for option in value.lower().split(b",")]
        elif name == b"expect":
            fields.expects_continue = bool(value)
            if value and value.lower() != b"100-continue":
                raise RequestRefusedError("an expectation that can't be met", 417)
        elif name == b"upgrade":
            raise RequestRefusedError("no other protocol is spoken here", 501)
    return fields


def check_single_content_length(head: bytes) -> None:
    """Raises RequestRefusedError for repeated Content-Length values, even equal ones, which h11 merges."""
    lower = head.lower()
    start = lower.find(b"\r\ncontent-length:")
    if lower.find(b"\r\ncontent-length:", start + 1) >= 0:
        raise malformed("several Content-Lengths")
    if b"," in lower[start : lower.find(b"\r\n", start + 2)]:
        raise malformed("several Content-Lengths")


def host_without_port(authority: bytes) -> str:
    """The host of an authority, in lower case and without the port."""
    text = authority.decode("ascii").lower()
    return text[: text.find("]") + 1] if text.startswith("[") else text.partition(":")[0]


def origin_form(method: bytes, target: bytes, host: bytes) -> str:
    """The path and query of a target. Raises RequestRefusedError for another host or a missing path."""
    if method == b"CONNECT":
        raise RequestRefusedError("no tunnels", 501)
    if b"#" in target:
        raise malformed("a fragment in the target")
    if not target.startswith(b"/"):
        if target[:7].lower() != b"http://":
            raise malformed("a target without a path")
        authority, slash, rest = target[7:].partition(b"/")
        if not AUTHORITY.fullmatch(authority) or host_without_port(authority) != host_without_port(host):
            raise malformed("the target is of another host")
        target = slash + rest if slash else b"/"
    return target.decode("ascii")


class ChunkedBody:
    """Incremental decoder for a chunked body. `body` holds the data decoded so far; chunk extensions and
    trailers are discarded."""

    __slots__ = ("body", "chunk_bytes_left", "discarded_bytes", "last_chunk_seen", "limit")

    def __init__(self, limit: int) -> None:
        """`limit`: maximum size of the body in bytes."""
        self.body = bytearray()
        self.limit = limit
        self.chunk_bytes_left = -1  # bytes of the current chunk still to receive; -1: a size line is next
        self.last_chunk_seen = False  # the zero-size chunk has arrived, trailers follow
        self.discarded_bytes = 0  # bytes of chunk extensions and trailers

    def feed(self, buffer: bytearray) -> bool:
        """Consumes body bytes from `buffer` and returns whether the body is complete. Later bytes stay in the
        buffer. Raises RequestRefusedError."""
        while not self.last_chunk_seen:
            if self.chunk_bytes_left < 0:
                line = pop_line(buffer, MAX_CHUNK_LINE_BYTES, 400)
                if line is None:
                    return False
                match = CHUNK_LINE.fullmatch(line)
                if not match:
                    raise malformed("a chunk's size")
                self.count_discarded(len(line) - len(match[1]))
                size = int(match[1], 16)
                if len(self.body) + size > self.limit:
                    raise RequestRefusedError("the body is too long", 413, "body-too-long")
                self.chunk_bytes_left, self.last_chunk_seen = size, size == 0
                continue
            if self.chunk_bytes_left > 0:
                data = buffer[: self.chunk_bytes_left]
                self.body += data
                self.chunk_bytes_left -= len(data)
                del buffer[: len(data)]
            if self.chunk_bytes_left > 0 or len(buffer) < 2:
                if self.chunk_bytes_left == 0 and buffer and buffer[0] != 13:
                    raise malformed("a chunk's end")
                return False
            if buffer[:2] != b"\r\n":
                raise malformed("a chunk's end")
            del buffer[:2]
            self.chunk_bytes_left = -1
        while (line := pop_line(buffer, MAX_TRAILER_BYTES, 431)) is not None:
            if not line:
                return True
            self.count_discarded(len(line))
            if not TRAILER_LINE.fullmatch(line):
                raise malformed("a trailer")
        return False

    def count_discarded(self, size: int) -> None:
        """Limits the total size of extensions and trailers. Raises RequestRefusedError."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_TRAILER_BYTES:
            raise RequestRefusedError("extensions and trailers are too long", 431, "header-too-long")


def pop_line(buffer: bytearray, limit: int, status: int) -> bytes | None:
    """Removes and returns the next line, up to `limit` bytes, without its CRLF; None if it is incomplete."""
    end = buffer.find(b"\n", 0, limit + 2)
    if end < 0:
        if len(buffer) > limit + 1:
            raise RequestRefusedError("a line is too long", status)
        return None
    if end == 0 or buffer[end - 1] != 13:
        raise malformed("a line end that is not CRLF")
    line = bytes(buffer[: end - 1])
    del buffer[: end + 1]
    return line


class ExchangeConnection(Protocol):
    """The interface of a connection that an exchange uses."""

    transport: asyncio.Transport
    loop: asyncio.AbstractEventLoop

    def connection_headers(self, persistent: bool) -> tuple[bytes, bool]:
        """The connection headers with the final empty line, and whether the connection stays open."""
        ...

    def on_response_end(self, keep_alive: bool) -> None:
        """Called when the response was completed or aborted. `keep_alive`: the connection stays open."""
        ...

    async def writable(self) -> None:
        """Returns when the write buffer is below its limit."""
        ...


class Exchange:
    """One complete request, which the handler answers exactly once: with `respond`, with `start`, `write` and
    `finish`, or with `abort`. When `client_disconnected` is true the client has disconnected: these methods
    do nothing, and no response is required."""

    __slots__ = (
        "_bodiless",
        "_body_bytes_left",
        "_chunked",
        "_connection",
        "_is_http_1_1",
        "_keep_alive",
        "_pending",
        "_persistent",
        "began",
        "body",
        "client_disconnected",
        "done",
        "headers",
        "host",
        "method",
        "on_client_disconnect",
        "path",
        "started",
        "target",
    )

    def __init__(self, connection: ExchangeConnection, head: RequestHead, body: bytes, began: float) -> None:
        """`began`: monotonic time in s at which the first byte of the request was read."""
        self.method, self.target, self.host = head.method, head.target, head.host
        self.path = head.target.partition("?")[0]
        self.headers, self.body, self.began = head.headers, body, began
        self.client_disconnected = False
        #: Called once if the client disconnects early.
        self.on_client_disconnect: Callable[[], None] | None = None
        self.started = self.done = False
        self._connection = connection
        self._is_http_1_1, self._persistent = head.is_http_1_1, head.persistent
        self._bodiless = head.method == "HEAD"
        self._pending: list[bytes] = []  # head and first body bytes, written in the same loop iteration
        self._chunked = self._keep_alive = False
        self._body_bytes_left: int | None = None  # unsent bytes of a body with Content-Length

    def respond(self, status: int, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """Sends a complete response in one write. Raises AnswerInvalidError, with nothing sent."""
        assert not self.started and not self.done
        if self.client_disconnected:
            self.done = True
            return
        lines, length = self._lines(status, headers)
        no_content = status in (204, 304) or status < 200
        if not no_content:
            # The response to HEAD carries the Content-Length of the corresponding GET response.
            content_length = length if self._bodiless and not body and length is not None else len(body)
            lines.append(b"Content-Length: %d\r\n" % content_length)
        self.started = True
        connection_lines, self._keep_alive = self._connection.connection_headers(self._persistent)
        lines.append(connection_lines)
        if not (no_content or self._bodiless):
            lines.append(body)
        self._connection.transport.write(b"".join(lines))
        self._end(self._keep_alive)

    def start(self, status: int, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Starts a response whose body follows: chunked, or unencoded if `headers` has a Content-Length. The
        head is sent together with the data written in the same loop iteration. Raises AnswerInvalidError."""
        assert not self.started and not self.done
        assert status >= 200
        if self.client_disconnected:
            self.started = True
            return
        lines, length = self._lines(status, headers)
        self.started = True
        keep_alive = self._persistent
        if status in (204, 304):
            self._bodiless = True
        elif length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
            if not self._bodiless:
                self._body_bytes_left = length
        elif self._is_http_1_1:
            lines.append(b"Transfer-Encoding: chunked\r\n")
            self._chunked = not self._bodiless
        else:
            keep_alive = False
        connection_lines, self._keep_alive = self._connection.connection_headers(keep_alive)
        lines.append(connection_lines)
        self._pending = lines
        self._connection.loop.call_soon(self._flush)

    def write(self, data: bytes) -> None:
        """Sends more bytes of the body immediately."""
        assert self.started and not self.done
        if self.client_disconnected or self._bodiless or not data:
            return
        if self._body_bytes_left is not None:
            if len(data) > self._body_bytes_left:
                raise AnswerInvalidError("more bytes than the told length")
            self._body_bytes_left -= len(data)
        frame = b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data
        if self._pending:
            self._pending.append(frame)
            self._flush()
        else:
            self._connection.transport.write(frame)

    def finish(self) -> None:
        """Completes the response, or aborts it if the body is shorter than its Content-Length."""
        assert self.started and not self.done
        if self._body_bytes_left:
            self.abort()
            return
        if not self.client_disconnected:
            if self._chunked:
                self._pending.append(b"0\r\n\r\n")
            self._flush()
        self._end(self._keep_alive)

    def abort(self) -> None:
        """Closes the connection so that the client can't take the partial response for a complete one."""
        assert not self.done
        self.done = True
        if self.client_disconnected:
            return
        self._flush()
        transport = self._connection.transport
        if self.started and not self._chunked and self._body_bytes_left is None:
            # A regular close would look like a complete response: it delimits the body, or there is no body.
            reset_on_close(transport)
            transport.abort()
        self._connection.on_response_end(False)

    async def drain(self) -> None:
        """Waits while over MAX_UNREAD_RESPONSE_BYTES are unread; returns at once if the client is gone."""
        if not self.client_disconnected:
            self._flush()
            await self._connection.writable()

    def notify_client_disconnected(self) -> None:
        """Called by the connection when its client has disconnected."""
        self.client_disconnected = True
        self._pending = []
        if not self.done and self.on_client_disconnect is not None:
            callback, self.on_client_disconnect = self.on_client_disconnect, None
            callback()

    def _lines(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> tuple[list[bytes], int | None]:
        lines = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        length = None
        for name, value in headers:
            if b"\n" in value or b"\r" in value or b"\n" in name or b"\r" in name or b":" in name:
                raise AnswerInvalidError("a line break in an answer's header")
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif lower not in CONNECTION_HEADERS:
                lines.append(b"%b: %b\r\n" % (name, value))
        return lines, length

    def _flush(self) -> None:
        if self._pending and not self.client_disconnected:
            data = b"".join(self._pending)
            self._pending = []
            self._connection.transport.write(data)

    def _end(self, keep_alive: bool) -> None:
        self.done = True
        self.on_client_disconnect = None
        if not self.client_disconnected:
            self._connection.on_response_end(keep_alive)
