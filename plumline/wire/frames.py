"""Frames between the processes of the system: a length (4 bytes, big-endian) and an ormsgpack array.

A message is an array that begins with its kind. Two kinds are internal to this layer and are not passed on:
`packed` holds the compressed body of another frame, and `piece` holds a chunk of a large body. Oversized and
malformed frames raise FrameError and have no effect.
"""

import zlib
from typing import Any

import ormsgpack

from plumline.errors import FrameError

PROTOCOL, VERSION = "plumline", 2
LENGTH_BYTES = 4  # length prefix of each body
MAX_BODY_BYTES = 16 * 1024 * 1024  # fits a snapshot with a configuration of 4 MiB, with a reserve
COMPRESSION_THRESHOLD_BYTES = 2 * 1024  # bodies of at least this size are compressed
COMPRESSION_LEVEL = 1  # zlib's fastest level already shrinks configurations to a twentieth
COMPRESSED_KIND = "packed"  # [kind, size of the body in bytes, the compressed body]
CHUNK_KIND = "piece"  # [kind, whether more chunks follow, bytes]


def pack(message: list[Any]) -> bytes:
    """Encodes a message as a frame, compressed if it is large and becomes smaller. Raises FrameError."""
    body = ormsgpack.packb(message)
    if len(body) > MAX_BODY_BYTES:
        raise FrameError(f"a frame of {len(body)} bytes; {MAX_BODY_BYTES} at the most")
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = ormsgpack.packb([COMPRESSED_KIND, len(body), zlib.compress(body, COMPRESSION_LEVEL)])
        body = min(body, compressed, key=len)
    return framed(body)


def framed(body: bytes) -> bytes:
    """Adds the length prefix to a body."""
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def hello(node: str, role: str, address: str, zone: str) -> list[Any]:
    """The first message on a connection: the protocol, its version and the identity of the sender."""
    return ["hello", PROTOCOL, VERSION, {"node": node, "role": role, "address": address, "zone": zone}]


def unpack(body: bytes) -> list[Any]:
    """Decodes a body into its message. Raises FrameError."""
    try:
        message = ormsgpack.unpackb(body)
    except ValueError as error:
        raise FrameError(f"not a frame: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise FrameError("the frame is not an array that begins with a kind")
    if message[0] != COMPRESSED_KIND:
        return message
    match message:
        case ["packed", int(size), bytes(compressed)] if 0 < size <= MAX_BODY_BYTES:
            inner = unpack(_decompress(size, compressed))
            if inner[0] != COMPRESSED_KIND:
                return inner
    raise FrameError("a malformed compressed frame")


def _decompress(size: int, compressed: bytes) -> bytes:
    """Decompresses a body of exactly `size` bytes and never allocates more. Raises FrameError."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, size)
    except zlib.error as error:
        raise FrameError(f"the compressed frame can't be decompressed: {error}") from None
    if len(body) != size or decompressor.unconsumed_tail or decompressor.unused_data:
        raise FrameError("the size of a compressed frame differs from its size field")
    return body


class FrameDecoder:
    """Incremental decoder from received bytes to messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._chunks = bytearray()  # of an incomplete large body
        self.frame_count = 0  # all received frames, including chunks
        self.chunk_count = 0

    def feed(self, data: bytes) -> list[list[Any]]:
        """Returns the messages completed by `data`. After a FrameError the connection must be closed."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > MAX_BODY_BYTES:
                raise FrameError(f"the frame announces {size} bytes; the maximum is {MAX_BODY_BYTES}")
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
        """Adds a chunk and returns the message if it is complete, otherwise None."""
        match chunk:
            case ["piece", bool(more), bytes(data)] if len(self._chunks) + len(data) <= MAX_BODY_BYTES:
                self._chunks += data
            case _:
                raise FrameError("a malformed chunk, or more chunks than a body may have")
        self.chunk_count += 1
        if more:
            return None
        body, self._chunks = bytes(self._chunks), bytearray()
        message = unpack(body)
        if message[0] == CHUNK_KIND:
            raise FrameError("a chunk within chunks")
        return message
