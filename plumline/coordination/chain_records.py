"""Records of the chain in a registrar's record file, and their codec.

A record is a list that starts with its kind. The kinds and their fields are a storage format: a later release
must be able to read what an earlier one has written.
"""

from typing import Any, NamedTuple

from plumline.coordination.environment import Record
from plumline.coordination.log import Change


class SnapshotRecord(NamedTuple):
    """A complete committed state; it replaces all entries before it in the file."""

    index: int  # of the last log entry that the state includes
    state_wire: Any  # the state in its wire form

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["base", self.index, self.state_wire]


class EntryRecord(NamedTuple):
    """A log entry."""

    index: int
    change: Change
    committed_index: int  # newest committed entry known when this one was written

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["entry", self.index, self.change, self.committed_index]


class CaughtUpRecord(NamedTuple):
    """Whether the member has all entries that may have been committed before its view."""

    caught_up: bool

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["caught-up", self.caught_up]


class DiscardPendingRecord(NamedTuple):
    """The member left the chain with uncommitted entries, which are to be discarded later."""

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["stale"]


class DiscardRecord(NamedTuple):
    """The entries above an index are discarded."""

    after_index: int

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["drop", self.after_index]


class RollbackRecord(NamedTuple):
    """The replica has taken its role in a view with a base, and rolled back its log for that view."""

    view_number: int
    base_number: int
    index: int  # of the newest entry on its disk when it left the base

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["rollback", *self]


ChainRecord = (
    SnapshotRecord | EntryRecord | CaughtUpRecord | DiscardPendingRecord | DiscardRecord | RollbackRecord
)


def decode_record(record: Record) -> ChainRecord | None:
    """Return the typed record; None if its kind is not one of the chain's or a field has the wrong type."""
    match record:
        case ["entry", int(index), change, int(committed_index)]:
            return EntryRecord(index, change, committed_index)
        case ["base", int(index), state_wire]:
            return SnapshotRecord(index, state_wire)
        case ["caught-up", bool(caught_up)]:
            return CaughtUpRecord(caught_up)
        case ["stale"]:
            return DiscardPendingRecord()
        case ["drop", int(after_index)]:
            return DiscardRecord(after_index)
        case ["rollback", int(view_number), int(base_number), int(index)]:
            return RollbackRecord(view_number, base_number, index)
    return None
