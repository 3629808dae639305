"""Frames between plumline's own processes: a length (4 bytes, big-endian) and an ormsgpack array.

The first frame on a connection names the protocol, its version and who speaks. An over-long frame, another
version or garbage closes the connection, counted; nothing of it is applied.

Two kinds of frame belong to this layer and never reach a receiver's owner: `packed` holds another frame's
body compressed, and `piece` holds a part of a large body. Pieces are written only as the transport takes
them, so small messages pass between them and never wait behind more than WRITE_BUFFER bytes.
"""

import asyncio
import contextlib
import socket
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from plumline.counters import Counters
from plumline.errors import FrameError

PROTOCOL, VERSION = "plumline", 2
LARGEST = 16 * 1024 * 1024  # bytes of a body: a whole state with a configuration of 4 MiB, and room
UNSENT_LIMIT = 24 * 1024 * 1024  # bytes that a peer may leave unread before it is cut off
COMPRESS_FROM = 2 * 1024  # bytes of a body from which on it is compressed
COMPRESS_LEVEL = 1  # zlib's fastest: configurations shrink to a twentieth with it already
PIECE_BYTES = 16 * 1024  # of a larger body that go into one frame: 26 ms at 5 Mbit/s
WRITE_BUFFER = 32 * 1024  # bytes that may wait in the transport before pieces are held back
LENGTH_BYTES = 4  # before each body


def pack(message: list[Any]) -> bytes:
    """The frame of a message, compressed if it is large and that makes it smaller."""
    body = ormsgpack.packb(message)
    if len(body) > LARGEST:
        raise FrameError(f"a frame of {len(body)} bytes; {LARGEST} at the most")
    if len(body) >= COMPRESS_FROM:
        compressed = ormsgpack.packb(["packed", len(body), zlib.compress(body, COMPRESS_LEVEL)])
        body = min(body, compressed, key=len)
    return framed(body)


def framed(body: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def hello(node: str, role: str, address: str, zone: str) -> list[Any]:
    return ["hello", PROTOCOL, VERSION, {"node": node, "role": role, "address": address, "zone": zone}]


def unpack(body: bytes) -> list[Any]:
    """The message of a body. Raises FrameError."""
    try:
        message = ormsgpack.unpackb(body)
    except ValueError as error:
        raise FrameError(f"not a frame: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise FrameError("a frame that is no array with a kind")
    if message[0] != "packed":
        return message
    match message:
        case ["packed", int(size), bytes(compressed)] if 0 < size <= LARGEST:
            inner = unpack(expanded(size, compressed))
            if inner[0] != "packed":
                return inner
    raise FrameError("a malformed compressed frame")


def expanded(size: int, compressed: bytes) -> bytes:
    """What was compressed, if it is of this size; memory for more is never taken."""
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(compressed, size)
    except zlib.error as error:
        raise FrameError(f"a compressed frame that can't be expanded: {error}") from None
    if len(body) != size or expander.unconsumed_tail or expander.unused_data:
        raise FrameError("a compressed frame of another size than it tells")
    return body


class Unpacker:
    """Bytes in, messages out. Raises FrameError on what is no frame; then the connection is over."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.pieces = bytearray()  # of a large body that is not whole yet
        self.frames = self.parts = 0  # all that came, pieces included; the pieces among them

    def feed(self, data: bytes) -> list[list[Any]]:
        self.buffer += data
        found = []
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if size > LARGEST:
                raise FrameError(f"a frame of {size} bytes is announced; {LARGEST} at the most")
            if len(self.buffer) < LENGTH_BYTES + size:
                break
            message: list[Any] | None = unpack(bytes(self.buffer[LENGTH_BYTES : LENGTH_BYTES + size]))
            del self.buffer[: LENGTH_BYTES + size]
            self.frames += 1
            if message[0] == "piece":
                message = self.joined(message)
            if message is not None:
                found.append(message)
        return found

    def joined(self, piece: list[Any]) -> list[Any] | None:
        """The message that this piece is the last of; None while more are to come."""
        match piece:
            case ["piece", bool(more), bytes(part)] if len(self.pieces) + len(part) <= LARGEST:
                self.pieces += part
            case _:
                raise FrameError("a malformed piece, or more of them than a body may have")
        self.parts += 1
        if more:
            return None
        body, self.pieces = bytes(self.pieces), bytearray()
        message = unpack(body)
        if message[0] == "piece":
            raise FrameError("a piece within pieces")
        return message


@dataclass(slots=True)
class Outgoing:
    """A frame that waits for the transport to take it, piece by piece if it is large."""

    data: bytes
    sent: int = 0

    def next_frame(self) -> bytes:
        if len(self.data) <= PIECE_BYTES:
            self.sent = len(self.data)
            return self.data
        start = max(self.sent, LENGTH_BYTES)  # pieces are of the body
        self.sent = min(start + PIECE_BYTES, len(self.data))
        more = self.sent < len(self.data)
        return framed(ormsgpack.packb(["piece", more, self.data[start : self.sent]]))

    def left(self) -> int:
        return len(self.data) - self.sent


class FrameLink(asyncio.Protocol):
    """One connection, either side. `on_message(link, message)` comes for each frame after the peer's hello,
    whose fields are in `peer`; `on_up(link)` with that hello, `on_down(link)` once at the end."""

    def __init__(
        self,
        greeting: list[Any],
        on_up: Callable[["FrameLink"], None],
        on_message: Callable[["FrameLink", list[Any]], None],
        on_down: Callable[["FrameLink"], None],
        counters: Counters,
    ) -> None:
        self.greeting, self.on_up, self.on_message, self.on_down = greeting, on_up, on_message, on_down
        self.counters = counters
        self.unpacker = Unpacker()
        self.transport: asyncio.Transport | None = None
        self.peer: dict[str, Any] | None = None
        self.down = False
        self.loop = asyncio.get_running_loop()
        self.heard_at = 0.0  # when the newest frame came, a piece too
        self.piece_at = 0.0  # when the newest piece came
        self.waiting: deque[Outgoing] = deque()  # in order, the first perhaps sent in part
        self.paused = False  # the transport holds as much as it should
        #: Called when the transport has taken all that waited for it.
        self.on_drained: Callable[[FrameLink], None] = lambda link: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER)
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(OSError):  # else the kernel takes megabytes in front of a small message
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, WRITE_BUFFER)
        self.send(self.greeting)

    def data_received(self, data: bytes) -> None:
        frames, parts = self.unpacker.frames, self.unpacker.parts
        try:
            messages = self.unpacker.feed(data)
            if self.unpacker.frames > frames:
                self.heard_at = self.loop.time()
            if self.unpacker.parts > parts:
                self.piece_at = self.heard_at
            for message in messages:
                if self.peer is None:
                    self.greeted(message)
                else:
                    self.on_message(self, message)
                if self.down:
                    return
        except FrameError as error:
            self.counters.add(f"frames.{error.code}")
            self.abort()

    def greeted(self, message: list[Any]) -> None:
        match message:
            case ["hello", str(name), int(version), dict(fields)] if (name, version) == (PROTOCOL, VERSION):
                wanted = ("node", "role", "address", "zone")
                if not all(isinstance(fields.get(each), str) for each in wanted):
                    raise FrameError("a hello without its fields")
                self.peer = fields
                self.on_up(self)
            case _:
                raise FrameError("no hello of this protocol and version")

    def connection_lost(self, error: Exception | None) -> None:
        self.waiting.clear()
        if not self.down:
            self.down = True
            self.on_down(self)

    # Sending.

    @property
    def busy(self) -> bool:
        """Whether the peer has not taken yet what it was sent before."""
        return self.paused or bool(self.waiting)

    def send(self, message: list[Any], *, ordered: bool = False) -> None:
        self.send_packed(message[0], pack(message), ordered=ordered)

    def send_packed(self, kind: str, data: bytes, *, ordered: bool = False) -> None:
        """`data`: a packed message of this kind. `ordered`: it passes no large message sent before."""
        self.counters.add(f"frames.bytes.{kind}", len(data))
        if self.transport is None or self.transport.is_closing():
            return
        if len(data) > PIECE_BYTES or (ordered and self.waiting):
            self.waiting.append(Outgoing(data))
            self.write_waiting()
        else:
            self.transport.write(data)
        if self.unsent() > UNSENT_LIMIT:
            self.counters.add("frames.peer-does-not-read")
            self.abort()

    def unsent(self) -> int:
        written = self.transport.get_write_buffer_size() if self.transport else 0
        return written + sum(each.left() for each in self.waiting)

    def write_waiting(self) -> None:
        while self.waiting and not self.paused and self.transport is not None:
            first = self.waiting[0]
            self.transport.write(first.next_frame())
            if not first.left():
                self.waiting.popleft()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.write_waiting()
        if not self.busy:
            self.on_drained(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
