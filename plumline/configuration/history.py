"""The recent changes of the configuration, used to distinguish a repeated change from a conflicting one.

Each change names the version that it builds on, and at most one change is applied on top of a version. So
the history stores one digest per base version, in rising order.

Any change may have been applied on top of a base below the oldest one remembered, so no change that builds
on such a base is rejected as conflicting.
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from plumline.errors import PlumlineError

#: Changes whose repeat is recognised: more than a day of the capacity target, 7,600 changes a day.
MIN_REMEMBERED_CHANGES = 8192
#: Changes in a segment. Full segments are shared between states and are discarded as a whole.
SEGMENT_CHANGES = 256
DIGEST_BYTES = 16  # stored prefix of each digest

Segment = dict[int, bytes]  # base version -> digest of the change that was applied on top of it


class HistoryInvalidError(PlumlineError):
    """A history from the wire or from disk is malformed."""

    code, status = "history-invalid", 500


class HistoryMatch(Enum):
    """The result of looking up a change in the history."""

    APPLIED = auto()  # this very change was applied
    DIFFERENT = auto()  # another change, or none, was applied on top of the same version
    FORGOTTEN = auto()  # it builds on a version older than the oldest one remembered


def _truncated_digest(digest: str) -> bytes:
    return bytes.fromhex(digest)[:DIGEST_BYTES]


@dataclass(slots=True, frozen=True)
class History:
    """Immutable; `with_change` returns the next history, which shares the full segments."""

    horizon: int = 0  # version; changes on top of earlier versions are not remembered
    full_segments: tuple[Segment, ...] = ()  # oldest first
    open_segment: Segment = field(default_factory=dict)

    def match(self, base: int, digest: str) -> HistoryMatch:
        """Compare a change, given by its hex digest, with the one applied on top of version `base`."""
        if base < self.horizon:
            return HistoryMatch.FORGOTTEN
        for segment in (self.open_segment, *reversed(self.full_segments)):
            if base in segment:
                same = segment[base] == _truncated_digest(digest)
                return HistoryMatch.APPLIED if same else HistoryMatch.DIFFERENT
        return HistoryMatch.DIFFERENT

    def with_change(self, base: int, digest: str) -> "History":
        """The history with one more change; `base` is above all others, `digest` is in hex."""
        segment = {**self.open_segment, base: _truncated_digest(digest)}
        if len(segment) < SEGMENT_CHANGES:
            return History(self.horizon, self.full_segments, segment)
        return History(self.horizon, (*self.full_segments, segment), {})._trimmed()

    def _trimmed(self) -> "History":
        """Without the oldest segments that are not needed for MIN_REMEMBERED_CHANGES."""
        surplus_count = len(self.full_segments) - max(1, MIN_REMEMBERED_CHANGES // SEGMENT_CHANGES)
        if surplus_count <= 0:
            return self
        remaining = self.full_segments[surplus_count:]
        return History(next(iter(remaining[0])), remaining, self.open_segment)

    def __len__(self) -> int:
        """How many changes are remembered."""
        return sum(map(len, self.full_segments)) + len(self.open_segment)

    def to_wire(self) -> list[Any]:
        """[horizon, base versions, concatenated digests]."""
        segments = (*self.full_segments, self.open_segment)
        entries = [entry for segment in segments for entry in segment.items()]
        return [self.horizon, [base for base, _ in entries], b"".join(digest for _, digest in entries)]

    @classmethod
    def from_wire(cls, wire: object) -> "History":
        """The inverse of `to_wire`. Raises HistoryInvalidError for a malformed history."""
        match wire:
            case [int(horizon), list(bases), bytes(digests)] if len(digests) == DIGEST_BYTES * len(bases):
                entries = [
                    (base, digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES])
                    for index, base in enumerate(bases)
                ]
                full_count = len(entries) - len(entries) % SEGMENT_CHANGES
                full_segments = tuple(
                    dict(entries[start : start + SEGMENT_CHANGES])
                    for start in range(0, full_count, SEGMENT_CHANGES)
                )
                return cls(horizon, full_segments, dict(entries[full_count:]))
        raise HistoryInvalidError("not a history: horizon, base versions and digests are needed")

    @classmethod
    def from_versions(cls, versions_by_digest: dict[str, int]) -> "History":
        """The history in the form of earlier releases: hex digest -> resulting Version, oldest first.

        A change builds on the version that the previous one produced; the base of the oldest is unknown.
        """
        history: History | None = None
        previous = 0
        for digest, version in versions_by_digest.items():
            history = cls(horizon=version) if history is None else history.with_change(previous, digest)
            previous = version
        return history or cls()
