"""The recent changes of the configuration, by which a repeat is told from a change that conflicts.

Each change names the version that it builds on, and at most one change is applied on top of a version. So
the history holds one digest by base version. Bases rise, and a base below the oldest one that is remembered
may have been changed by anything: nothing is refused on its account.
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from plumline.errors import PlumlineError

#: Changes whose repeat is recognised. The capacity target is 7,600 changes a day: more than a day.
MIN_REMEMBERED_CHANGES = 8192
#: Changes in a segment. Full segments are shared between states, and are forgotten whole.
SEGMENT_CHANGES = 256
DIGEST_BYTES = 16  # kept of each digest

Segment = dict[int, bytes]  # base version -> digest of the change that was applied on top of it


class HistoryInvalidError(PlumlineError):
    """A history that came over the wire, or from a disk, has not the form of one."""

    code, status = "history-invalid", 500


class HistoryMatch(Enum):
    """What the history says of a change."""

    APPLIED = auto()  # this very change was applied
    DIFFERENT = auto()  # another one was applied on top of the same version, or none
    FORGOTTEN = auto()  # it builds on a version that is older than what is remembered


def _truncated(digest: str) -> bytes:
    return bytes.fromhex(digest)[:DIGEST_BYTES]


@dataclass(slots=True, frozen=True)
class History:
    """Never changed in place; `with_change` gives the next one, which shares the full segments."""

    horizon: int = 0  # changes on top of a version below this one are not remembered
    full_segments: tuple[Segment, ...] = ()  # oldest first
    open_segment: Segment = field(default_factory=dict)

    def match(self, base: int, digest: str) -> HistoryMatch:
        """Compare a change, by its digest in hex, with the one that was applied on top of `base`."""
        if base < self.horizon:
            return HistoryMatch.FORGOTTEN
        for segment in (self.open_segment, *reversed(self.full_segments)):
            if base in segment:
                same = segment[base] == _truncated(digest)
                return HistoryMatch.APPLIED if same else HistoryMatch.DIFFERENT
        return HistoryMatch.DIFFERENT

    def with_change(self, base: int, digest: str) -> "History":
        """The history after one more change; `base` is above all others, `digest` in hex."""
        segment = {**self.open_segment, base: _truncated(digest)}
        if len(segment) < SEGMENT_CHANGES:
            return History(self.horizon, self.full_segments, segment)
        return History(self.horizon, (*self.full_segments, segment), {})._trimmed()

    def _trimmed(self) -> "History":
        """Without the oldest segments that are not needed for MIN_REMEMBERED_CHANGES."""
        surplus = len(self.full_segments) - max(1, MIN_REMEMBERED_CHANGES // SEGMENT_CHANGES)
        if surplus <= 0:
            return self
        remaining = self.full_segments[surplus:]
        return History(next(iter(remaining[0])), remaining, self.open_segment)

    def __len__(self) -> int:
        """How many changes are remembered."""
        return sum(map(len, self.full_segments)) + len(self.open_segment)

    def to_wire(self) -> list[Any]:
        """[horizon, base versions, digests in one run of bytes]."""
        segments = (*self.full_segments, self.open_segment)
        entries = [entry for segment in segments for entry in segment.items()]
        return [self.horizon, [base for base, _ in entries], b"".join(digest for _, digest in entries)]

    @classmethod
    def from_wire(cls, wire: object) -> "History":
        """The history that `to_wire` gave. Raises HistoryInvalidError if it is none."""
        match wire:
            case [int(horizon), list(bases), bytes(digests)] if len(digests) == DIGEST_BYTES * len(bases):
                entries = [
                    (base, digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES])
                    for index, base in enumerate(bases)
                ]
                in_full = len(entries) - len(entries) % SEGMENT_CHANGES
                full_segments = tuple(
                    dict(entries[start : start + SEGMENT_CHANGES])
                    for start in range(0, in_full, SEGMENT_CHANGES)
                )
                return cls(horizon, full_segments, dict(entries[in_full:]))
        raise HistoryInvalidError("not a history: horizon, base versions and digests are needed")

    @classmethod
    def from_versions(cls, versions_by_digest: dict[str, int]) -> "History":
        """From what earlier releases stored: digest in hex -> the Version it made, oldest first.

        A change builds on the version that the one before it made; what the oldest built on is not known.
        """
        history: History | None = None
        previous = 0
        for digest, version in versions_by_digest.items():
            history = cls(horizon=version) if history is None else history.with_change(previous, digest)
            previous = version
        return history or cls()
