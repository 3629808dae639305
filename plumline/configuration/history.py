"""The recent changes of the configuration, by which a repeat is told from a change that conflicts.

Each change names the version that it builds on, and one change at the most is taken on top of a version. So
the history holds one digest by base version. Bases rise, and a base below the oldest one that is remembered
may have been changed by anything: nothing is refused on its account.
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from plumline.errors import PlumlineError

#: Changes whose repeat is known. The aim is 7,600 changes a day: more than a day of them.
MIN_REMEMBERED_CHANGES = 8192
#: Changes in a segment. Whole segments are shared between states, and are forgotten whole.
SEGMENT_CHANGES = 256
DIGEST_BYTES = 16

Segment = dict[int, bytes]  # base version -> digest of the change that was taken on top of it


class HistoryInvalidError(PlumlineError):
    """A history that came over the wire, or from a disk, has not the form of one."""

    code, status = "history-invalid", 500


class HistoryMatch(Enum):
    """What the history says of a change."""

    APPLIED = auto()  # this very change was taken
    DIFFERENT = auto()  # another one was taken on top of the same version, or none
    FORGOTTEN = auto()  # it builds on a version that is older than what is remembered


def shortened(digest: str) -> bytes:
    """What is kept of a digest in hex."""
    return bytes.fromhex(digest)[:DIGEST_BYTES]


@dataclass(slots=True, frozen=True)
class History:
    """Never changed in place; `with_change` gives the next one, which shares the full segments."""

    horizon: int = 0  # changes on top of a version below this one are not remembered
    full_segments: tuple[Segment, ...] = ()  # oldest first
    open_segment: Segment = field(default_factory=dict)

    def match(self, base: int, digest: str) -> HistoryMatch:
        """Compares a change, by its digest in hex, with the one that was taken on top of `base`."""
        if base < self.horizon:
            return HistoryMatch.FORGOTTEN
        for segment in (self.open_segment, *reversed(self.full_segments)):
            if base in segment:
                return HistoryMatch.APPLIED if segment[base] == shortened(digest) else HistoryMatch.DIFFERENT
        return HistoryMatch.DIFFERENT

    def with_change(self, base: int, digest: str) -> "History":
        """The history after one more change; `base` is above all others."""
        recent = {**self.open_segment, base: shortened(digest)}
        if len(recent) < SEGMENT_CHANGES:
            return History(self.horizon, self.full_segments, recent)
        return History(self.horizon, (*self.full_segments, recent), {}).trimmed()

    def trimmed(self) -> "History":
        """Without the oldest segments that are not needed for MIN_REMEMBERED_CHANGES changes."""
        surplus = len(self.full_segments) - max(1, MIN_REMEMBERED_CHANGES // SEGMENT_CHANGES)
        if surplus <= 0:
            return self
        kept = self.full_segments[surplus:]
        return History(next(iter(kept[0])), kept, self.open_segment)

    def __len__(self) -> int:
        return sum(map(len, self.full_segments)) + len(self.open_segment)

    def to_wire(self) -> list[Any]:
        """[horizon, base versions, digests in one run of bytes]."""
        entries = [entry for segment in (*self.full_segments, self.open_segment) for entry in segment.items()]
        return [self.horizon, [base for base, _ in entries], b"".join(digest for _, digest in entries)]

    @classmethod
    def from_wire(cls, wire: Any) -> "History":  # noqa: ANN401
        """The history that `to_wire` gave; HistoryInvalidError if it is none."""
        match wire:
            case [int(horizon), list(bases), bytes(digests)] if len(digests) == DIGEST_BYTES * len(bases):
                entries = [
                    (base, digests[place * DIGEST_BYTES : (place + 1) * DIGEST_BYTES])
                    for place, base in enumerate(bases)
                ]
                whole = len(entries) - len(entries) % SEGMENT_CHANGES
                full = tuple(
                    dict(entries[start : start + SEGMENT_CHANGES])
                    for start in range(0, whole, SEGMENT_CHANGES)
                )
                return cls(horizon, full, dict(entries[whole:]))
        raise HistoryInvalidError("not a history: horizon, base versions and digests are needed")

    @classmethod
    def from_versions(cls, taken: dict[str, int]) -> "History":
        """From what earlier releases kept: digest in hex -> the Version it made, oldest first.

        A change builds on the version that the one before it made; what the oldest built on is not known.
        """
        history: History | None = None
        previous = 0
        for digest, version in taken.items():
            history = cls(horizon=version) if history is None else history.with_change(previous, digest)
            previous = version
        return history or cls()
