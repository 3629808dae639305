"""A bidirectional connection for frames between two processes of the system.

The first frame of each side is its hello. A different protocol or version closes the connection and is
counted. Chunks of a large body are written only when the transport has room, so small messages are sent
between them and never wait behind more than WRITE_BUFFER_BYTES.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from plumline import logs
from plumline.counters import Counters
from plumline.errors import FrameError, ProtocolVersionError
from plumline.wire.frames import CHUNK_KIND, LENGTH_BYTES, PROTOCOL, VERSION, FrameDecoder, framed, pack

CHUNK_BYTES = 16 * 1024  # larger bodies are split into chunks of this size: 26 ms at 5 Mbit/s
WRITE_BUFFER_BYTES = 32 * 1024  # high-water mark of the transport, above which chunks are queued
MAX_UNSENT_BYTES = 24 * 1024 * 1024  # buffered for a peer that does not read; above it the connection closes
HELLO_FIELDS = ("node", "role", "address", "zone")

log = logs.logger("link")


@dataclass(slots=True)
class OutgoingFrame:
    """A queued outgoing frame; a large one is written in chunks."""

    data: bytes
    sent_bytes: int = 0

    def next_frame(self) -> bytes:
        """The bytes to write next: a complete small frame, or a chunk of a large one."""
        if len(self.data) <= CHUNK_BYTES:
            self.sent_bytes = len(self.data)
            return self.data
        start = max(self.sent_bytes, LENGTH_BYTES)  # chunks don't include the length prefix
        self.sent_bytes = min(start + CHUNK_BYTES, len(self.data))
        more = self.sent_bytes < len(self.data)
        return framed(ormsgpack.packb([CHUNK_KIND, more, self.data[start : self.sent_bytes]]))

    def unsent_bytes(self) -> int:
        """The number of bytes left to write; 0 if the frame is complete."""
        return len(self.data) - self.sent_bytes


class FrameLink(asyncio.Protocol):
    """One connection, on either side.

    `on_up(link)` is called when the peer's hello has arrived, with its fields in `peer`, then
    `on_message(link, message)` for each message, and `on_down(link)` once at the end.
    """

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
        self._decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None
        self.peer: dict[str, Any] | None = None
        self.down = False
        self.loop = asyncio.get_running_loop()
        self.last_received_at = 0.0  # loop time of the latest frame, including chunks
        self.last_chunk_at = 0.0  # loop time of the latest chunk
        self._send_queue: deque[OutgoingFrame] = deque()  # the first one may be partly sent
        self._paused = False  # the write buffer of the transport is over its limit
        #: Called when the send queue has been written to the transport.
        self.on_drained: Callable[[FrameLink], None] = lambda link: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket and sends the hello."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Otherwise the kernel could queue megabytes in front of a small message.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, WRITE_BUFFER_BYTES)
        self.send(self.greeting)

    def data_received(self, data: bytes) -> None:
        """Passes the messages on; an invalid frame closes the connection."""
        frame_count, chunk_count = self._decoder.frame_count, self._decoder.chunk_count
        try:
            messages = self._decoder.feed(data)
            if self._decoder.frame_count > frame_count:
                self.last_received_at = self.loop.time()
            if self._decoder.chunk_count > chunk_count:
                self.last_chunk_at = self.last_received_at
            for message in messages:
                if self.peer is None:
                    self._on_hello(message)
                else:
                    self.on_message(self, message)
                if self.down:
                    return
        except FrameError as error:
            self.counters.add(f"frames.{error.code}")
            if isinstance(error, ProtocolVersionError):
                log.warning(logs.event("link-refused", code=error.code, text=error.text))
            self.abort()

    def _on_hello(self, message: list[Any]) -> None:
        match message:
            case ["hello", str(name), int(version), dict(fields)] if (name, version) == (PROTOCOL, VERSION):
                if not all(isinstance(fields.get(field), str) for field in HELLO_FIELDS):
                    raise FrameError("the hello lacks required fields")
                self.peer = fields
                self.on_up(self)
            case ["hello", str(name), version, *_] if (name, version) != (PROTOCOL, VERSION):
                raise ProtocolVersionError(
                    f"the peer speaks {name} {version}, this release {PROTOCOL} {VERSION}"
                )
            case _:
                raise FrameError("the first frame is not a valid hello")

    def connection_lost(self, error: Exception | None) -> None:
        """Calls `on_down`, once."""
        self._send_queue.clear()
        if not self.down:
            self.down = True
            self.on_down(self)

    # Sending.

    @property
    def busy(self) -> bool:
        """Whether earlier messages are still waiting for the transport."""
        return self._paused or bool(self._send_queue)

    def send(self, message: list[Any], *, ordered: bool = False) -> None:
        """Sends the message, or drops it if the connection is closing; see `send_packed`."""
        self.send_packed(message[0], pack(message), ordered=ordered)

    def send_packed(self, kind: str, data: bytes, *, ordered: bool = False) -> None:
        """Sends the frame `data` of a message of this kind. `ordered`: it is not sent before earlier large
        messages. The connection is closed if more than MAX_UNSENT_BYTES are waiting for the peer."""
        self.counters.add(f"frames.bytes.{kind}", len(data))
        if self.transport is None or self.transport.is_closing():
            return
        if len(data) > CHUNK_BYTES or (ordered and self._send_queue):
            self._send_queue.append(OutgoingFrame(data))
            self._write_queued()
        else:
            self.transport.write(data)
        if self._unsent_bytes() > MAX_UNSENT_BYTES:
            self.counters.add("frames.peer-does-not-read")
            self.abort()

    def _unsent_bytes(self) -> int:
        written = self.transport.get_write_buffer_size() if self.transport else 0
        return written + sum(frame.unsent_bytes() for frame in self._send_queue)

    def _write_queued(self) -> None:
        while self._send_queue and not self._paused and self.transport is not None:
            first = self._send_queue[0]
            self.transport.write(first.next_frame())
            if not first.unsent_bytes():
                self._send_queue.popleft()

    def pause_writing(self) -> None:
        """Transport callback: stops writing chunks."""
        self._paused = True

    def resume_writing(self) -> None:
        """Transport callback: writes queued chunks, and calls `on_drained` if none are left."""
        self._paused = False
        self._write_queued()
        if not self.busy:
            self.on_drained(self)

    def abort(self) -> None:
        """Closes the connection at once; unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()
