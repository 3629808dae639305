"""Frames between plumline's own processes: a length (4 bytes, big-endian) and an ormsgpack array.

The first frame on a connection names the protocol, its version and who speaks. An over-long frame, another
version or garbage closes the connection, counted; nothing of it is applied.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import ormsgpack

from plumline.counters import Counters
from plumline.errors import FrameError

PROTOCOL, VERSION = "plumline", 1
LARGEST = 16 * 1024 * 1024  # bytes of a frame: a whole state with a configuration of 4 MiB, and room
UNSENT_LIMIT = 24 * 1024 * 1024  # bytes that a peer may leave unread before it is cut off


def pack(message: list[Any]) -> bytes:
    body = ormsgpack.packb(message)
    if len(body) > LARGEST:
        raise FrameError(f"a frame of {len(body)} bytes; {LARGEST} at the most")
    return len(body).to_bytes(4, "big") + body


def hello(node: str, role: str, address: str, zone: str) -> list[Any]:
    return ["hello", PROTOCOL, VERSION, {"node": node, "role": role, "address": address, "zone": zone}]


class Unpacker:
    """Bytes in, messages out. Raises FrameError on what is no frame; then the connection is over."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[list[Any]]:
        self.buffer += data
        found = []
        while len(self.buffer) >= 4:
            size = int.from_bytes(self.buffer[:4], "big")
            if size > LARGEST:
                raise FrameError(f"a frame of {size} bytes is announced; {LARGEST} at the most")
            if len(self.buffer) < 4 + size:
                break
            try:
                message = ormsgpack.unpackb(bytes(self.buffer[4 : 4 + size]))
            except ValueError as error:
                raise FrameError(f"not a frame: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise FrameError("a frame that is no array with a kind")
            del self.buffer[: 4 + size]
            found.append(message)
        return found


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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send(self.greeting)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.unpacker.feed(data)
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
        if not self.down:
            self.down = True
            self.on_down(self)

    def send(self, message: list[Any]) -> None:
        self.send_packed(message[0], pack(message))

    def send_packed(self, kind: str, data: bytes) -> None:
        """`data`: a packed message of this kind."""
        self.counters.add(f"frames.bytes.{kind}", len(data))
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > UNSENT_LIMIT:
            self.counters.add("frames.peer-does-not-read")
            self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
