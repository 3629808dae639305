"""Transfer of a complete state between registrars, in chunks that the receiver requests one by one.

The sender keeps one packed snapshot for all receivers. A receiver requests the next chunk only once it has
the previous one, and requests the same one again after a timeout with backoff. So little more than one chunk
of a snapshot is in flight to a receiver at any link rate, and a lost message costs one chunk. A snapshot is
identified by log index and digest: a transfer can continue with any registrar that has the same one.

The module does no I/O: messages and times are passed as arguments, and replies are returned.
"""

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from plumline.coordination.retry_timer import RetryTimer
from plumline.errors import FrameError

CHUNK_BYTES = 64 * 1024  # of a packed snapshot per message
MAX_STATE_BYTES = (
    16 * 1024 * 1024
)  # limit of an unpacked state; bounds the decompressed size of a received snapshot
COMPRESS_LEVEL = 1  # of zlib: fast
MAX_ATTEMPTS = 3  # for one chunk, before the partial snapshot is discarded
SNAPSHOT_IDLE_S = 5.0  # for which a packed snapshot is kept after its last request


@dataclass(frozen=True, slots=True)
class SnapshotId:
    """Identity of a packed snapshot."""

    index: int  # of the last log entry that the state includes
    digest: str  # SHA-256 of the packed bytes, in hex
    size: int  # of the packed snapshot, in bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state, packed and compressed."""

    id: SnapshotId
    data: bytes

    @classmethod
    def pack(cls, index: int, state_wire: Any) -> "Snapshot":  # noqa: ANN401
        """Pack a state, given in its wire form, that includes the log entries up to `index`."""
        data = zlib.compress(ormsgpack.packb(state_wire), COMPRESS_LEVEL)
        return cls(SnapshotId(index, hashlib.sha256(data).hexdigest(), len(data)), data)

    def unpack(self) -> Any:  # noqa: ANN401
        """Return the state in its wire form.

        Raises FrameError if the data don't match the digest, decompress to more than MAX_STATE_BYTES or
        can't be read.
        """
        if hashlib.sha256(self.data).hexdigest() != self.id.digest:
            raise FrameError("a snapshot whose data do not match its digest")
        decompressor = zlib.decompressobj()
        try:
            body = decompressor.decompress(self.data, MAX_STATE_BYTES)
            if decompressor.unconsumed_tail or not decompressor.eof:
                raise FrameError("a snapshot that is too large or truncated")
            return ormsgpack.unpackb(body)
        except (zlib.error, ValueError) as error:
            raise FrameError(f"a snapshot that can't be read: {error}") from None


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Consecutive bytes of a packed snapshot."""

    snapshot: SnapshotId
    offset: int  # of the first byte
    data: bytes

    def to_wire(self) -> list[Any]:
        """Return the fields of a `chain-piece` message after the view number."""
        return [self.snapshot.index, self.snapshot.digest, self.snapshot.size, self.offset, self.data]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "SnapshotChunk":
        """Return the chunk. Raises FrameError if the fields are not those of a chunk."""
        match wire:
            case [int(index), str(digest), int(size), int(offset), bytes(data)]:
                return cls(SnapshotId(index, digest, size), offset, data)
        raise FrameError("a malformed snapshot chunk")


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """What a receiver needs next: a chunk of its partial snapshot, or by default the start of any."""

    index: int = 0
    digest: str = ""
    offset: int = 0


class SnapshotSender:
    """Serves chunks of one snapshot at a time, which all receivers share."""

    def __init__(
        self, current_state: Callable[[], tuple[int, Any]], log_continues_from: Callable[[int], bool]
    ) -> None:
        """`current_state` returns the committed index and its state in wire form. `log_continues_from` tells
        whether the log still has all entries after an index: then a snapshot of that index is usable."""
        self._current_state, self._log_continues_from = current_state, log_continues_from
        self.cached: Snapshot | None = None
        self._requested_at = 0.0

    def chunk_for(self, now: float, request: ChunkRequest) -> SnapshotChunk:
        """Return the requested chunk, or the first one of the current snapshot if another is requested."""
        self._requested_at = now
        snapshot = self._usable_snapshot()
        current = snapshot.id
        is_same = (request.index, request.digest) == (current.index, current.digest)
        offset = request.offset if is_same and request.offset < current.size else 0
        return SnapshotChunk(current, offset, snapshot.data[offset : offset + CHUNK_BYTES])

    def tick(self, now: float) -> None:
        """Free a snapshot that has not been requested for SNAPSHOT_IDLE_S."""
        if self.cached is not None and now - self._requested_at > SNAPSHOT_IDLE_S:
            self.cached = None

    def _usable_snapshot(self) -> Snapshot:
        if self.cached is None or not self._log_continues_from(self.cached.id.index):
            index, state_wire = self._current_state()
            self.cached = Snapshot.pack(index, state_wire)
        return self.cached


class SnapshotReceiver:
    """Assembles one snapshot at a time; a newer one replaces it only when its first chunk arrives."""

    def __init__(self) -> None:
        self.snapshot: SnapshotId | None = None  # the partial snapshot, if any
        self.data = bytearray()

    @property
    def in_progress(self) -> bool:
        """Whether a part of a snapshot was received."""
        return self.snapshot is not None

    def next_request(self) -> ChunkRequest:
        """Return the request for the chunk after those received."""
        if self.snapshot is None:
            return ChunkRequest()
        return ChunkRequest(self.snapshot.index, self.snapshot.digest, len(self.data))

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Return the complete snapshot if this was its last chunk. A duplicate or outdated chunk is ignored.

        Raises FrameError if the chunk begins a snapshot of an invalid size.
        """
        if chunk.snapshot != self.snapshot and not self._begin(chunk):
            return None
        if chunk.offset != len(self.data) or not chunk.data:
            return None
        self.data += chunk.data
        if len(self.data) < chunk.snapshot.size:
            return None
        complete = Snapshot(chunk.snapshot, bytes(self.data))
        self.reset()
        return complete

    def _begin(self, chunk: SnapshotChunk) -> bool:
        """Begin the chunk's snapshot if the chunk is its first and it is newer than the partial one."""
        if chunk.offset != 0:
            return False
        if self.snapshot is not None and chunk.snapshot.index <= self.snapshot.index:
            return False
        if not 0 < chunk.snapshot.size <= MAX_STATE_BYTES:
            raise FrameError(f"a snapshot of {chunk.snapshot.size} bytes, over {MAX_STATE_BYTES}")
        self.snapshot, self.data = chunk.snapshot, bytearray()
        return True

    def reset(self) -> None:
        """Discard the partial snapshot."""
        self.snapshot, self.data = None, bytearray()


class SnapshotFetch:
    """The receiving side of transfers: the partial snapshot, the source it is requested from, and retries."""

    def __init__(self) -> None:
        self.receiver = SnapshotReceiver()
        self.source = ""  # address of the registrar that was sent the last request
        self.timer = RetryTimer()
        self._attempts = 0  # resends of the current request

    @property
    def in_progress(self) -> bool:
        """Whether a part of a snapshot was received."""
        return self.receiver.in_progress

    def begin_view(self) -> None:
        """Allow a request at once, as the sources may have changed; a partial snapshot is kept."""
        self.timer, self._attempts = RetryTimer(), 0

    def may_request(self, now: float) -> bool:
        """Whether no request is unanswered, or the unanswered one has timed out."""
        return self.timer.may_send(now)

    def awaits_reply_from(self, sender: str) -> bool:
        """Whether a request to this registrar is unanswered."""
        return sender == self.source and self.timer.awaiting_reply

    def request(self, now: float, source: str) -> ChunkRequest:
        """Return the request to send to `source`, and record it as sent.

        After MAX_ATTEMPTS without progress the partial snapshot is discarded: maybe no registrar has it any
        longer.
        """
        self._attempts = self._attempts + 1 if self.timer.awaiting_reply else 0
        if self._attempts >= MAX_ATTEMPTS:
            self.reset()
            self._attempts = 0
        self.source = source
        self.timer.start(now)
        return self.receiver.next_request()

    def on_chunk(
        self, now: float, sender: str, chunk: SnapshotChunk, committed_index: int
    ) -> Snapshot | ChunkRequest | None:
        """Return the complete snapshot, or the next request to the sender; None if nothing changed.

        A snapshot that is not newer than `committed_index`, the receiver's own state, is no longer needed.
        Raises FrameError if the chunk begins a snapshot of an invalid size.
        """
        if chunk.snapshot.index <= committed_index:
            self.reset()
            self.timer.on_reply(now)
            return None
        before = self.receiver.next_request()
        complete = self.receiver.add(chunk)
        if complete is None and self.receiver.next_request() == before:
            return None
        self.timer.on_reply(now)
        return complete if complete is not None else self.request(now, sender)

    def reset(self) -> None:
        """Discard the partial snapshot."""
        self.receiver.reset()
