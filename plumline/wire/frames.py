"""Frames between the system's own processes: a length (4 bytes, big-endian) and an ormsgpack array.

A message is an array that begins with its kind. Two kinds belong to this layer and never reach the owner of a
link: `packed` holds another frame's body compressed, and `piece` holds a chunk of a large body. Over-long
frames and garbage raise FrameError, and nothing of them is applied.
"""

import zlib
from typing import Any

import ormsgpack

from plumline.errors import FrameError

PROTOCOL, VERSION = "plumline", 2
LENGTH_BYTES = 4  # before each body
MAX_BODY_BYTES = 16 * 1024 * 1024  # a snapshot with a configuration of 4 MiB, and a reserve
COMPRESSION_THRESHOLD_BYTES = 2 * 1024  # from this size of a body on it is compressed
COMPRESSION_LEVEL = 1  # zlib's fastest: configurations shrink to a twentieth with it already
COMPRESSED_KIND = "packed"  # [kind, size of the body in bytes, the compressed body]
CHUNK_KIND = "piece"  # [kind, whether more chunks follow, bytes]


def pack(message: list[Any]) -> bytes:
    """The frame of a message, compressed if it is large and that makes it smaller. Raises FrameError."""
    body = ormsgpack.packb(message)
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"a frame of {len(body)} bytes; {MAX_BODY_BYTES} at the most")
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = ormsgpack.packb([COMPRESSED_KIND, len(body), zlib.compress(body, COMPRESSION_LEVEL)])
        body = min(body, compressed, key=len)
    return framed(body)


def framed(body: bytes) -> bytes:
    """The body with its length before it."""
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def hello(node: str, role: str, address: str, zone: str) -> list[Any]:
    """The first message on a connection: the protocol, its version and who speaks."""
    return ["hello", PROTOCOL, VERSION, {"node": node, "role": role, "address": address, "zone": zone}]


def unpack(body: bytes) -> list[Any]:
    """The message of a body. Raises FrameError."""
    try:
        message = ormsgpack.unpackb(body)
    except ValueError as error:
        raise FrameError(f"not a frame: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise FrameError("a frame that is no array with a kind")
    if message[0] != COMPRESSED_KIND:
        return message
    match message:
        case ["packed", int(size), bytes(compressed)] if 0 < size <= MAX_BODY_BYTES:
            inner = unpack(_decompress(size, compressed))
            if inner[0] != COMPRESSED_KIND:
                return inner
    raise FrameError("a malformed compressed frame")


def _decompress(size: int, compressed: bytes) -> bytes:
    """The body, if it has this size in bytes; memory for more is never taken. Raises FrameError."""
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(compressed, size)
    except zlib.error as error:
        raise FrameError(f"a compressed frame that can't be expanded: {error}") from None
    if len(body) != size or expander.unconsumed_tail or expander.unused_data:
        raise FrameError("a compressed frame of another size than it tells")
    return body


class FrameDecoder:
    """Bytes in, messages out."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._chunks = bytearray()  # of a large body that is not complete
        self.frame_count = 0  # all frames that came, chunks included
        self.chunk_count = 0

    def feed(self, data: bytes) -> list[list[Any]]:
        """The messages that are complete with these bytes. Raises FrameError: the connection must end."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > MAX_BODY_BYTES:
                raise FrameError(f"a frame of {size} bytes is announced; {MAX_BODY_BYTES} at the most")
            if len(self._buffer) < LENGTH_BYTES + size:
                break
            message: list[Any] | None = unpack(bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size]))
            del self._buffer[: LENGTH_BYTES + size]
            self.frame_count += 1
            if message[0] == CHUNK_KIND:
                message = self._join(message)
            if message is not None:
                messages.append(message)
        return messages

    def _join(self, chunk: list[Any]) -> list[Any] | None:
        """The message that this chunk completes; None while more are to come."""
        match chunk:
            case ["piece", bool(more), bytes(data)] if len(self._chunks) + len(data) <= MAX_BODY_BYTES:
                self._chunks += data
            case _:
                raise FrameError("a malformed piece, or more of them than a body may have")
        self.chunk_count += 1
        if more:
            return None
        body, self._chunks = bytes(self._chunks), bytearray()
        message = unpack(body)
        if message[0] == CHUNK_KIND:
            raise FrameError("a piece within pieces")
        return message
