"""A connection between two of the system's processes, over which frames go both ways.

The first frame of each side is its hello; another protocol or version closes the connection, counted. Chunks
of a large body are written only as the transport takes them, so small messages pass between them and never
wait behind more than WRITE_BUFFER_BYTES.
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

CHUNK_BYTES = 16 * 1024  # of a larger body that go into one frame: 26 ms at 5 Mbit/s
WRITE_BUFFER_BYTES = 32 * 1024  # that may wait in the transport before chunks are held back
MAX_UNSENT_BYTES = 24 * 1024 * 1024  # that a peer may leave unread before the connection is closed
HELLO_FIELDS = ("node", "role", "address", "zone")

log = logs.logger("link")


@dataclass(slots=True)
class OutgoingFrame:
    """A frame that waits for the transport to take it, chunk by chunk if it is large."""

    data: bytes
    sent_bytes: int = 0

    def next_frame(self) -> bytes:
        """The bytes to write next: all of a small frame, or a chunk of a large one."""
        if len(self.data) <= CHUNK_BYTES:
            self.sent_bytes = len(self.data)
            return self.data
        start = max(self.sent_bytes, LENGTH_BYTES)  # chunks are of the body
        self.sent_bytes = min(start + CHUNK_BYTES, len(self.data))
        more = self.sent_bytes < len(self.data)
        return framed(ormsgpack.packb([CHUNK_KIND, more, self.data[start : self.sent_bytes]]))

    def unsent_bytes(self) -> int:
        """How much is left to write; 0: the frame is done."""
        return len(self.data) - self.sent_bytes


class FrameLink(asyncio.Protocol):
    """One connection, either side.

    `on_up(link)` is called with the peer's hello, whose fields are then in `peer`; then comes
    `on_message(link, message)` for each message; `on_down(link)` once at the end.
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
        self.last_received_at = 0.0  # when the newest frame came, a chunk too
        self.last_chunk_at = 0.0  # when the newest chunk came
        self._send_queue: deque[OutgoingFrame] = deque()  # in order, the first perhaps sent in part
        self._paused = False  # the transport holds as much as it should
        #: Called when the transport has taken all that waited for it.
        self.on_drained: Callable[[FrameLink], None] = lambda link: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Says hello."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if (sock := transport.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(OSError):  # else the kernel takes megabytes in front of a small message
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, WRITE_BUFFER_BYTES)
        self.send(self.greeting)

    def data_received(self, data: bytes) -> None:
        """Hands on the messages; what is no frame closes the connection."""
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
                    raise FrameError("a hello without its fields")
                self.peer = fields
                self.on_up(self)
            case ["hello", str(name), version, *_] if (name, version) != (PROTOCOL, VERSION):
                raise ProtocolVersionError(
                    f"the peer speaks {name} {version}, this release {PROTOCOL} {VERSION}"
                )
            case _:
                raise FrameError("no hello of this protocol and version")

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the end to the owner, once."""
        self._send_queue.clear()
        if not self.down:
            self.down = True
            self.on_down(self)

    # Sending.

    @property
    def busy(self) -> bool:
        """Whether the transport has not taken what was sent before."""
        return self._paused or bool(self._send_queue)

    def send(self, message: list[Any], *, ordered: bool = False) -> None:
        """Sends the message, or drops it where the connection is closing; see `send_packed`."""
        self.send_packed(message[0], pack(message), ordered=ordered)

    def send_packed(self, kind: str, data: bytes, *, ordered: bool = False) -> None:
        """Sends the frame `data` of a message of this kind. `ordered`: it overtakes no large message that was
        sent before it. A peer that leaves more than MAX_UNSENT_BYTES unread loses the connection."""
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
        """The transport holds as much as it should: chunks wait."""
        self._paused = True

    def resume_writing(self) -> None:
        """The transport takes more; reports when nothing waits any longer."""
        self._paused = False
        self._write_queued()
        if not self.busy:
            self.on_drained(self)

    def abort(self) -> None:
        """Closes the connection at once; what was not written is lost."""
        if self.transport is not None:
            self.transport.abort()
