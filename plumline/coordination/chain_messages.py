"""Messages between the replicas of a chain, and their codec.

On the wire a message is a list that starts with its kind and the number of the sender's view. A receiver in
another view ignores it.
"""

from typing import Any, NamedTuple

from plumline.coordination.environment import Message
from plumline.coordination.log import Change


class ReplicateEntry(NamedTuple):
    """To the successor: an entry that is synced at the sender."""

    view_number: int
    index: int
    change: Change

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-entry", *self]


class LogTrimmed(NamedTuple):
    """To the successor: the log no longer has the entries that it lacks, so it needs a snapshot."""

    view_number: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-behind", *self]


class CatchUpTarget(NamedTuple):
    """To a successor that is not caught up: it will be once it has synced the entries up to this one."""

    view_number: int
    index: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-floor", *self]


class ProgressReport(NamedTuple):
    """To the predecessor: the sender's positions in the log."""

    view_number: int
    last_index: int
    committed_index: int
    caught_up: bool

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-report", *self]


class CommitNotice(NamedTuple):
    """To the predecessor: the entries up to this one are committed."""

    view_number: int
    committed_index: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-commit", *self]


class SnapshotRequest(NamedTuple):
    """To a member: send this chunk of the snapshot, or the first chunk of another snapshot."""

    view_number: int
    index: int
    digest: str
    offset: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-pull", *self]


class SnapshotData(NamedTuple):
    """The reply to a snapshot request."""

    view_number: int
    chunk_wire: list[Any]  # fields of a `SnapshotChunk`, not yet validated

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-piece", self.view_number, *self.chunk_wire]


class EntriesRequest(NamedTuple):
    """From a learner to a member: send committed entries after this one."""

    view_number: int
    after_index: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-learn", *self]


class CommittedEntries(NamedTuple):
    """The reply to an entries request, if the log still has them."""

    view_number: int
    more: bool  # whether further committed entries follow
    entries: list[list[Any]]  # [index, change] of each, in order

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["chain-lesson", *self]


ChainMessage = (
    ReplicateEntry
    | LogTrimmed
    | CatchUpTarget
    | ProgressReport
    | CommitNotice
    | SnapshotRequest
    | SnapshotData
    | EntriesRequest
    | CommittedEntries
)


def decode_message(wire: Message) -> ChainMessage | None:
    """Return the typed message, or None if its kind is not one of the chain's or a field has the wrong type.

    The type of the view number is not checked: a value that is not a number equals no receiver's view number.
    """
    match wire:
        case ["chain-entry", view_number, int(index), change]:
            return ReplicateEntry(view_number, index, change)
        case ["chain-commit", view_number, int(committed_index)]:
            return CommitNotice(view_number, committed_index)
        case ["chain-report", view_number, int(last_index), int(committed_index), bool(caught_up)]:
            return ProgressReport(view_number, last_index, committed_index, caught_up)
        case ["chain-floor", view_number, int(index)]:
            return CatchUpTarget(view_number, index)
        case ["chain-behind", view_number]:
            return LogTrimmed(view_number)
        case ["chain-learn", view_number, int(after_index)]:
            return EntriesRequest(view_number, after_index)
        case ["chain-lesson", view_number, bool(more), list(entries)]:
            return CommittedEntries(view_number, more, entries)
        case ["chain-pull", view_number, int(index), str(digest), int(offset)]:
            return SnapshotRequest(view_number, index, digest, offset)
        case ["chain-piece", view_number, *chunk_wire]:
            return SnapshotData(view_number, chunk_wire)
    return None
