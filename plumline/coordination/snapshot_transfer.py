"""A whole state carried from one registrar to another, in pieces that the receiver asks for one by one.

The sender keeps one packed snapshot for all that ask; the receiver asks for the next piece only when it has
the one before, and for the same one again after a wait that doubles. So hardly more than one piece of a state
is on its way to a receiver, whatever the link takes, and a loss costs one piece. A snapshot is known by its
number and digest: where another registrar has the very same, the transfer goes on with it.

Pure: messages and times come as arguments, answers go back as values.
"""

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from plumline.errors import FrameError

CHUNK_BYTES = 64 * 1024
MAX_STATE_BYTES = 16 * 1024 * 1024  # bytes, unpacked
COMPRESS_LEVEL = 1
INITIAL_RETRY_S = 0.4  # s for an answer, before it is asked for again
MAX_RETRY_S = 3.2  # s
RETRY_PER_ROUND_TRIP = 4  # times what the last answer took, at the least
MAX_ATTEMPTS = 3  # of a piece, before what came of its state is dropped
SNAPSHOT_IDLE_S = 5.0  # s that a snapshot is kept after it was last asked for


@dataclass(frozen=True, slots=True)
class SnapshotId:
    """Which state it is: entry number, digest of the packed bytes, and how many of them there are."""

    number: int
    digest: str
    size: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A packed state."""

    name: SnapshotId
    data: bytes

    @classmethod
    def of(cls, number: int, wire: Any) -> "Snapshot":  # noqa: ANN401
        data = zlib.compress(ormsgpack.packb(wire), COMPRESS_LEVEL)
        return cls(SnapshotId(number, hashlib.sha256(data).hexdigest(), len(data)), data)

    def wire(self) -> Any:  # noqa: ANN401
        """Raises FrameError if it is not what its name says."""
        if hashlib.sha256(self.data).hexdigest() != self.name.digest:
            raise FrameError("a state whose digest is another than was told")
        expander = zlib.decompressobj()
        try:
            body = expander.decompress(self.data, MAX_STATE_BYTES)
            if expander.unconsumed_tail or not expander.eof:
                raise FrameError("a state that is too large, or ends early")
            return ormsgpack.unpackb(body)
        except (zlib.error, ValueError) as error:
            raise FrameError(f"a state that can't be read: {error}") from None


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Some bytes of a snapshot."""

    name: SnapshotId
    offset: int
    data: bytes

    def to_wire(self) -> list[Any]:
        return [self.name.number, self.name.digest, self.name.size, self.offset, self.data]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "SnapshotChunk":
        match wire:
            case [int(number), str(digest), int(size), int(offset), bytes(data)]:
                return cls(SnapshotId(number, digest, size), offset, data)
        raise FrameError("a malformed piece of a state")


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """What a receiver asks for next: a place in a snapshot, or the beginning of any."""

    number: int = 0
    digest: str = ""
    offset: int = 0


class SnapshotSender:
    """Gives out pieces of one snapshot at a time."""

    def __init__(self, state: Callable[[], tuple[int, Any]], leads_on: Callable[[int], bool]) -> None:
        """`state`: the committed number and its state on the wire; `leads_on(number)`: whether the entries
        that follow that number are all still kept, so that a snapshot of it is of use."""
        self.state, self.leads_on = state, leads_on
        self.pinned: Snapshot | None = None
        self.asked_at = 0.0

    def answer(self, now: float, wanted: ChunkRequest) -> SnapshotChunk:
        """The piece that is wanted, or the first of another snapshot where this one is not had."""
        snapshot, self.asked_at = self.pinned, now
        if snapshot is None or not self.leads_on(snapshot.name.number):
            number, wire = self.state()
            snapshot = self.pinned = Snapshot.of(number, wire)
        name = snapshot.name
        known = (wanted.number, wanted.digest) == (name.number, name.digest) and wanted.offset < name.size
        offset = wanted.offset if known else 0
        return SnapshotChunk(name, offset, snapshot.data[offset : offset + CHUNK_BYTES])

    def tick(self, now: float) -> None:
        """Lets go of a snapshot that nobody asks for any more."""
        if self.pinned is not None and now - self.asked_at > SNAPSHOT_IDLE_S:
            self.pinned = None


class RetryTimer:
    """How long an answer is waited for: longer each time that none came, and where answers take long."""

    def __init__(self) -> None:
        self.asked_at: float | None = None  # None: nothing is awaited
        self.seconds = INITIAL_RETRY_S

    def ask(self, now: float, most: float = MAX_RETRY_S) -> None:
        if self.asked_at is not None:  # no answer came to the last one
            self.seconds = 2 * self.seconds
        self.seconds = min(self.seconds, most)
        self.asked_at = now

    def answered(self, now: float) -> None:
        if self.asked_at is not None:
            took = RETRY_PER_ROUND_TRIP * (now - self.asked_at)
            self.seconds = min(max(INITIAL_RETRY_S, took), MAX_RETRY_S)
        self.asked_at = None

    @property
    def waiting(self) -> bool:
        return self.asked_at is not None

    def over(self, now: float) -> bool:
        return self.asked_at is None or now - self.asked_at >= self.seconds


class SnapshotReceiver:
    """Puts a snapshot together. At most one is under way; a newer one takes its place only from its start."""

    def __init__(self) -> None:
        self.name: SnapshotId | None = None
        self.data = bytearray()

    @property
    def active(self) -> bool:
        return self.name is not None

    def wanted(self) -> ChunkRequest:
        if self.name is None:
            return ChunkRequest()
        return ChunkRequest(self.name.number, self.name.digest, len(self.data))

    def take(self, piece: SnapshotChunk) -> Snapshot | None:
        """The whole snapshot, if this was its last piece. One that isn't wanted now changes nothing."""
        if piece.name != self.name:
            if piece.offset != 0 or (self.name is not None and piece.name.number <= self.name.number):
                return None
            if not 0 < piece.name.size <= MAX_STATE_BYTES:
                raise FrameError(f"a state of {piece.name.size} bytes; {MAX_STATE_BYTES} at the most")
            self.name, self.data = piece.name, bytearray()
        if piece.offset != len(self.data) or not piece.data:
            return None
        self.data += piece.data
        if len(self.data) < piece.name.size:
            return None
        whole = Snapshot(piece.name, bytes(self.data))
        self.drop()
        return whole

    def drop(self) -> None:
        self.name, self.data = None, bytearray()


class SnapshotFetch:
    """A receiver with whom it asks, and how long it waits."""

    def __init__(self) -> None:
        self.receiver = SnapshotReceiver()
        self.source = ""  # who was asked last
        self.patience = RetryTimer()  # for the answer
        self.tries = 0  # of the question, beyond the first

    @property
    def active(self) -> bool:
        """Whether a part of a state has come."""
        return self.receiver.active

    def begin_view(self) -> None:
        """Others may be asked now, and at once; what has come is kept."""
        self.patience, self.tries = RetryTimer(), 0

    def may_ask(self, now: float) -> bool:
        return self.patience.over(now)

    def awaits(self, sender: str) -> bool:
        return sender == self.source and self.patience.waiting

    def ask(self, now: float, source: str) -> ChunkRequest:
        """What to ask the source for. One that answers nothing of use may not have this snapshot any more."""
        self.tries = self.tries + 1 if self.patience.waiting else 0
        if self.tries >= MAX_ATTEMPTS:
            self.drop()
            self.tries = 0
        self.source = source
        self.patience.ask(now)
        return self.receiver.wanted()

    def take(
        self, now: float, sender: str, piece: SnapshotChunk, held: int
    ) -> Snapshot | ChunkRequest | None:
        """The whole snapshot, or what to ask the sender for next; None if the piece changes nothing.

        `held`: number of the state that the receiver has.
        """
        if piece.name.number <= held:
            self.drop()
            self.patience.answered(now)
            return None
        before = self.receiver.wanted()
        whole = self.receiver.take(piece)
        if whole is None and self.receiver.wanted() == before:
            return None
        self.patience.answered(now)
        return whole if whole is not None else self.ask(now, sender)

    def drop(self) -> None:
        self.receiver.drop()
