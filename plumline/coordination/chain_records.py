"""Records of the chain in a registrar's record file, and their one codec.

A record is a list that begins with its kind. The kinds and their fields are a stored form: a later release
must read what an earlier one has written.
"""

from typing import Any, NamedTuple

from plumline.coordination.environment import Record
from plumline.coordination.log import Change


class SnapshotRecord(NamedTuple):
    """A whole committed state; it replaces all entries before it in the file."""

    index: int  # of the last log entry that the state includes
    state_wire: Any  # the state in its wire form

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["base", self.index, self.state_wire]


class EntryRecord(NamedTuple):
    """A log entry."""

    index: int
    change: Change
    committed_index: int  # known to be committed as the entry was written

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["entry", self.index, self.change, self.committed_index]


class CaughtUpRecord(NamedTuple):
    """Whether the member holds all that may have been committed before its view."""

    caught_up: bool

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["caught-up", self.caught_up]


class DiscardPendingRecord(NamedTuple):
    """The member left the chain with uncommitted entries, which it is to discard later."""

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
    """The replica has taken on its role in a view with a base, and rolled its log back for it."""

    view_number: int
    base_number: int
    index: int  # of the newest entry that it held on its disk as it left the base

    def to_wire(self) -> Record:
        """Return the stored form."""
        return ["rollback", *self]


ChainRecord = (
    SnapshotRecord | EntryRecord | CaughtUpRecord | DiscardPendingRecord | DiscardRecord | RollbackRecord
)


def decode_record(record: Record) -> ChainRecord | None:
    """Return the typed record; None for a kind that is not the chain's."""
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
