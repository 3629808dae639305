"""One HTTP/1.1 request read whole, and its one answer.

Also what is strict about reading a request: its head (`parse_head`) and chunked bodies (`ChunkedBody`). What
two readers could understand differently is refused, as the endpoint behind is such a second reader.
"""

import asyncio
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import h11

from plumline.errors import PlumlineError
from plumline.wire.sockets import reset_on_close

Headers = list[tuple[bytes, bytes]]

CONTROLS = bytes(code for code in (*range(32), 127) if code not in b"\t\r\n")
AUTHORITY = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+;=%-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e]*)?")
TRAILER_LINE = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
CHUNK_LINE_BYTES = 256
TRAILER_BYTES = 8192
UNREAD_BYTES = 64 * 1024  # of an answer that wait for the client before `drain` waits
CONNECTION_ONLY = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"proxy-connection", b"upgrade")
)
STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode()) for status in HTTPStatus
}


class RequestRefusedError(PlumlineError):
    """The client's bytes are no request that is taken; its connection ends after the answer `status`."""

    code, status = "request-malformed", 400

    def __init__(self, text: str = "", status: int = 400, code: str = "request-malformed") -> None:
        super().__init__(text)
        self.status, self.code = status, code


class AnswerInvalidError(PlumlineError):
    """An answer's header holds a line break: sending it would make another answer of it."""

    code, status = "answer-invalid", 502


@dataclass(slots=True)
class RequestHead:
    """What the head says; `length` is the body's in bytes, None if it comes in chunks."""

    method: str
    target: str  # origin form: path and query
    host: str  # lower-case, without a port; empty where HTTP/1.0 names none
    headers: Headers
    length: int | None
    persistent: bool  # the client lets the connection stand
    modern: bool  # HTTP/1.1
    expects: bool  # waits for 100 before it sends the body


def malformed(text: str) -> RequestRefusedError:
    return RequestRefusedError(text)


def check_octets(head: bytes | bytearray) -> None:
    """Of a head whole or in part. Raises RequestRefusedError for control characters, line ends other than
    CRLF, and folded lines, which the parser would all let through."""
    breaks = head.count(b"\r\n")
    # A part may end between the two bytes of a line end.
    returns = head.count(b"\r") - head.endswith(b"\r")
    if head.count(b"\n") != breaks or returns != breaks:
        raise malformed("a line end that is not CRLF")
    if len(head.translate(None, CONTROLS)) != len(head):
        raise malformed("a control character in the head")
    if b"\n " in head or b"\n\t" in head:
        raise malformed("a folded line")


def parse_head(head: bytes) -> RequestHead:
    """`head` ends with its empty line. Raises RequestRefusedError."""
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
    modern = event.http_version == b"1.1"
    headers = list(event.headers)
    length: int | None = 0
    host, connection, expect, coded, sized = b"", b"", b"", False, False
    for name, value in headers:
        if name == b"host":
            host = value
            if not AUTHORITY.fullmatch(value):
                raise malformed("no valid Host")
        elif name == b"content-length":
            length, sized = int(value), True
        elif name == b"transfer-encoding":
            coded = True
        elif name == b"connection":
            connection += b"," + value.lower()
        elif name == b"expect":
            expect = value.lower()
        elif name == b"upgrade":
            raise RequestRefusedError("no other protocol is spoken here", 501)
    if sized:
        check_length(head)
    if coded:
        if sized:
            raise malformed("both Content-Length and Transfer-Encoding")
        if not modern:
            raise malformed("Transfer-Encoding in HTTP/1.0")
        length = None
    if expect and expect != b"100-continue":
        raise RequestRefusedError("an expectation that can't be met", 417)
    options = [each.strip() for each in connection.split(b",")]
    return RequestHead(
        method=event.method.decode("ascii"),
        target=origin_form(event.method, event.target, host),
        host=bare_host(host),
        headers=headers,
        length=length,
        persistent=modern and b"close" not in options,
        modern=modern,
        expects=modern and bool(expect) and length != 0,
    )


def check_length(head: bytes) -> None:
    """The parser folds equal lengths into one; a head that repeats its length is refused all the same."""
    lower = head.lower()
    start = lower.find(b"\r\ncontent-length:")
    if lower.find(b"\r\ncontent-length:", start + 1) >= 0:
        raise malformed("several Content-Lengths")
    if b"," in lower[start : lower.find(b"\r\n", start + 2)]:
        raise malformed("several Content-Lengths")


def bare_host(authority: bytes) -> str:
    text = authority.decode("ascii").lower()
    return text[: text.find("]") + 1] if text.startswith("[") else text.partition(":")[0]


def origin_form(method: bytes, target: bytes, host: bytes) -> str:
    """Path and query. Raises RequestRefusedError for a target of another host, or of no path."""
    if method == b"CONNECT":
        raise RequestRefusedError("no tunnels", 501)
    if b"#" in target:
        raise malformed("a fragment in the target")
    if not target.startswith(b"/"):
        if target[:7].lower() != b"http://":
            raise malformed("a target without a path")
        authority, slash, rest = target[7:].partition(b"/")
        if not AUTHORITY.fullmatch(authority) or bare_host(authority) != bare_host(host):
            raise malformed("the target is of another host")
        target = slash + rest if slash else b"/"
    return target.decode("ascii")


class ChunkedBody:
    """Takes a chunked body out of a buffer as it comes. `body` is what was taken so far; extensions and
    trailers are dropped."""

    __slots__ = ("body", "ended", "left", "limit", "trailing")

    def __init__(self, limit: int) -> None:
        """`limit`: bytes the body may have."""
        self.body = bytearray()
        self.limit = limit
        self.left = -1  # bytes of the present chunk still to come; -1: its size line is next
        self.ended = False  # the last chunk has come, trailers follow
        self.trailing = 0  # bytes of extensions and trailers

    def take(self, buffer: bytearray) -> bool:
        """Whether the body is whole; what follows it stays in `buffer`. Raises RequestRefusedError."""
        while not self.ended:
            if self.left < 0:
                line = take_line(buffer, CHUNK_LINE_BYTES, 400)
                if line is None:
                    return False
                match = CHUNK_LINE.fullmatch(line)
                if not match:
                    raise malformed("a chunk's size")
                self.count_dropped(len(line) - len(match[1]))
                size = int(match[1], 16)
                if len(self.body) + size > self.limit:
                    raise RequestRefusedError("the body is too long", 413, "body-too-long")
                self.left, self.ended = size, size == 0
                continue
            if self.left > 0:
                part = buffer[: self.left]
                self.body += part
                self.left -= len(part)
                del buffer[: len(part)]
            if self.left > 0 or len(buffer) < 2:
                if self.left == 0 and buffer and buffer[0] != 13:
                    raise malformed("a chunk's end")
                return False
            if buffer[:2] != b"\r\n":
                raise malformed("a chunk's end")
            del buffer[:2]
            self.left = -1
        while (line := take_line(buffer, TRAILER_BYTES, 431)) is not None:
            if not line:
                return True
            self.count_dropped(len(line))
            if not TRAILER_LINE.fullmatch(line):
                raise malformed("a trailer")
        return False

    def count_dropped(self, size: int) -> None:
        self.trailing += size
        if self.trailing > TRAILER_BYTES:
            raise RequestRefusedError("extensions and trailers are too long", 431, "header-too-long")


def take_line(buffer: bytearray, limit: int, status: int) -> bytes | None:
    """The next line of up to `limit` bytes without its CRLF, None if it isn't whole yet."""
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


class Carrier(Protocol):
    """What an exchange needs of its connection."""

    transport: asyncio.Transport
    loop: asyncio.AbstractEventLoop

    def connection_headers(self, persistent: bool) -> tuple[bytes, bool]:
        """The lines that speak of the connection, and whether it stands after this answer."""
        ...

    def answered(self, stays: bool) -> None: ...

    async def writable(self) -> None: ...


class Exchange:
    """One request read whole; the handler owes it exactly one answer: `respond`, or `start`, `write`,
    `finish`; or `abort`. Once `gone` is true all of these do nothing, and none is owed any more."""

    __slots__ = (
        "_bodiless",
        "_carrier",
        "_chunked",
        "_left",
        "_modern",
        "_pending",
        "_persistent",
        "_stays",
        "began",
        "body",
        "done",
        "gone",
        "headers",
        "host",
        "method",
        "on_gone",
        "path",
        "started",
        "target",
    )

    def __init__(self, carrier: Carrier, head: RequestHead, body: bytes, began: float) -> None:
        """`began`: s on the steady clock, when the request's first byte was read."""
        self.method, self.target, self.host = head.method, head.target, head.host
        self.path = head.target.partition("?")[0]
        self.headers, self.body, self.began = head.headers, body, began
        self.gone = False
        self.on_gone: Callable[[], None] | None = None  # called once, if the client ends before its answer
        self.started = self.done = False
        self._carrier = carrier
        self._modern, self._persistent = head.modern, head.persistent
        self._bodiless = head.method == "HEAD"
        self._pending: list[bytes] = []  # written in this turn of the loop, before the head has gone out
        self._chunked = self._stays = False
        self._left: int | None = None  # bytes still owed of a body whose length was told

    def respond(self, status: int, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"") -> None:
        """The whole answer, in one write. Raises AnswerInvalidError with nothing sent."""
        assert not self.started and not self.done
        if self.gone:
            self.done = True
            return
        lines, length = self._lines(status, headers)
        bare = status in (204, 304) or status < 200
        if not bare:
            # A HEAD's answer tells the length that the body would have.
            told = length if self._bodiless and not body and length is not None else len(body)
            lines.append(b"Content-Length: %d\r\n" % told)
        self.started = True
        own, self._stays = self._carrier.connection_headers(self._persistent)
        lines.append(own)
        if not (bare or self._bodiless):
            lines.append(body)
        self._carrier.transport.write(b"".join(lines))
        self._end(self._stays)

    def start(self, status: int, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """The head of an answer whose body follows: in chunks, or plain if `headers` tells its
        Content-Length. It goes out with what is written in the same turn of the loop. Raises
        AnswerInvalidError."""
        assert not self.started and not self.done
        assert status >= 200
        if self.gone:
            self.started = True
            return
        lines, length = self._lines(status, headers)
        self.started = True
        stands = self._persistent
        if status in (204, 304):
            self._bodiless = True
        elif length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
            if not self._bodiless:
                self._left = length
        elif self._modern:
            lines.append(b"Transfer-Encoding: chunked\r\n")
            self._chunked = not self._bodiless
        else:
            stands = False
        own, self._stays = self._carrier.connection_headers(stands)
        lines.append(own)
        self._pending = lines
        self._carrier.loop.call_soon(self._flush)

    def write(self, data: bytes) -> None:
        """The next bytes of the body; they go out at once."""
        assert self.started and not self.done
        if self.gone or self._bodiless or not data:
            return
        if self._left is not None:
            if len(data) > self._left:
                raise AnswerInvalidError("more bytes than the told length")
            self._left -= len(data)
        frame = b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data
        if self._pending:
            self._pending.append(frame)
            self._flush()
        else:
            self._carrier.transport.write(frame)

    def finish(self) -> None:
        """The answer is complete; one that is shorter than its told length is cut instead."""
        assert self.started and not self.done
        if self._left:
            self.abort()
            return
        if not self.gone:
            if self._chunked:
                self._pending.append(b"0\r\n\r\n")
            self._flush()
        self._end(self._stays)

    def abort(self) -> None:
        """Ends the connection, so that what has gone out of the answer never looks complete."""
        assert not self.done
        self.done = True
        if self.gone:
            return
        self._flush()
        transport = self._carrier.transport
        if self.started and not self._chunked and self._left is None:
            # The end of the connection would be the body's end, or nothing of the body was owed.
            reset_on_close(transport)
            transport.abort()
        self._carrier.answered(False)

    async def drain(self) -> None:
        """Waits while more than UNREAD_BYTES of the answer wait for the client; not once it is gone."""
        if not self.gone:
            self._flush()
            await self._carrier.writable()

    def client_gone(self) -> None:
        """For the connection: its client has ended."""
        self.gone = True
        self._pending = []
        if not self.done and self.on_gone is not None:
            told, self.on_gone = self.on_gone, None
            told()

    def _lines(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> tuple[list[bytes], int | None]:
        lines = [STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        length = None
        for name, value in headers:
            if b"\n" in value or b"\r" in value or b"\n" in name or b"\r" in name or b":" in name:
                raise AnswerInvalidError("a line break in an answer's header")
            lower = name.lower()
            if lower == b"content-length":
                length = int(value)
            elif lower not in CONNECTION_ONLY:
                lines.append(b"%b: %b\r\n" % (name, value))
        return lines, length

    def _flush(self) -> None:
        if self._pending and not self.gone:
            data = b"".join(self._pending)
            self._pending = []
            self._carrier.transport.write(data)

    def _end(self, stays: bool) -> None:
        self.done = True
        self.on_gone = None
        if not self.gone:
            self._carrier.answered(stays)
