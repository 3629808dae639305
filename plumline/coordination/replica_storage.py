"""A replica's log and state, and the records of them on its disk.

Three positions in the log mark the progress of entries: `last_index` (in memory), `synced_index` (on this
disk) and `committed_index` (on the disks of all members of the chain, applied to `state`). This module sends
no messages: the caller does, in the callback that it passes with an entry or snapshot, which runs once that
is synced.
"""

from collections.abc import Callable
from typing import Any, Generic, Protocol, Self, TypeVar

from plumline.coordination.chain_records import (
    CaughtUpRecord,
    ChainRecord,
    DiscardPendingRecord,
    DiscardRecord,
    EntryRecord,
    RollbackRecord,
    SnapshotRecord,
    decode_record,
)
from plumline.coordination.chain_role import ChainRole
from plumline.coordination.environment import Environment, Record
from plumline.coordination.log import Change, Entry, ReplicationLog
from plumline.coordination.view import View

#: Committed entries kept in memory for replicas that are behind; one further behind needs a snapshot.
RETAINED_ENTRIES = 512
RETAINED_BYTES = 4 * 1024 * 1024  # packed size of the entries, which take about 16 MiB of memory


class StateMachine(Protocol):
    """The replicated state: immutable, and the same on every replica after the same entries."""

    def check(self, change: Change) -> bool:
        """Return whether the change was applied before. Raises PlumlineError if it must be refused."""

    def apply(self, change: Change) -> Self:
        """Return the state after the change."""

    def to_wire(self) -> Any:  # noqa: ANN401
        """Return a form that ormsgpack can pack and the `load` function can read."""


State = TypeVar("State", bound=StateMachine)


def _ignore() -> None:
    """Sync callback of a record that nothing waits for."""


class ReplicaStorage(Generic[State]):
    """The log, the state before and after its uncommitted entries, and their records."""

    def __init__(
        self,
        environment: Environment,
        initial_state: State,
        load: Callable[[Any], State],
        on_applied: Callable[[int, Change | None], None],
    ) -> None:
        """Create an empty storage, to be filled by `restore`.

        `load` decodes a state from its wire form. `on_applied(index, change)` is called for each entry as it
        is committed, and with None in place of the change where a snapshot replaces the state.
        """
        self._environment, self._load, self._on_applied = environment, load, on_applied
        self.log = ReplicationLog()
        self.state = initial_state  # with the committed entries
        self.latest_state = initial_state  # with all entries of the log
        self.committed_index = self.last_index = self.synced_index = 0
        self.caught_up = False  # has all that its predecessor in this view had as the view began
        #: The replica left the chain with uncommitted entries. The old tail may still commit them, so they
        #: are kept until the members of a newer chain report what was committed.
        self.discard_pending = False
        self._rollback = RollbackRecord(0, 0, 0)  # of the newest view with a base
        self._generation = 0  # of the log; incremented on a discard, so that pending syncs are ignored

    # Durable state.

    def restore(self, record: Record) -> None:
        """Apply one record of the file, in file order. Records of unknown kinds are skipped."""
        self._restore(decode_record(record))

    def _restore(self, record: ChainRecord | None) -> None:
        match record:
            case SnapshotRecord():
                self.state = self.latest_state = self._load(record.state_wire)
                self.log.clear()
                self.committed_index = self.last_index = self.synced_index = record.index
            case EntryRecord() if record.index == self.last_index + 1:
                self.log.append(record.index, record.change)
                self.latest_state = self.latest_state.apply(record.change)
                self.last_index = self.synced_index = record.index
                self._apply_through(min(record.committed_index, self.synced_index), notify=False)
            case CaughtUpRecord():
                self.caught_up = record.caught_up
            case DiscardPendingRecord():
                self.discard_pending = True
            case DiscardRecord():
                self.discard_pending = False
                self.discard_after(record.after_index)
            case RollbackRecord():
                self._rollback = record

    def records(self) -> list[Record]:
        """Return the records from which `restore` rebuilds the current content."""
        records = [SnapshotRecord(self.committed_index, self.state.to_wire()).to_wire()]
        records += [
            EntryRecord(entry.index, entry.change, self.committed_index).to_wire()
            for entry in self.log.between(self.committed_index, self.last_index)
        ]
        records.append(CaughtUpRecord(self.caught_up).to_wire())
        if self.discard_pending:
            records.append(DiscardPendingRecord().to_wire())
        if self._rollback.view_number:
            records.append(self._rollback.to_wire())
        return records

    def _persist_through(self, index: int, record: Record, on_synced: Callable[[], None]) -> None:
        """Write a record that brings the log on disk up to `index`, unless entries are discarded before."""
        generation = self._generation

        def synced() -> None:
            if generation == self._generation:
                self.synced_index = index
                on_synced()

        self._environment.persist(record, synced)

    # Entries and snapshots.

    def append(self, index: int, change: Change, on_synced: Callable[[Entry], None]) -> None:
        """Add an uncommitted entry after the newest one."""
        self.latest_state = self.latest_state.apply(change)
        entry = self.log.append(index, change)
        self.last_index = index
        record = EntryRecord(index, change, self.committed_index).to_wire()
        self._persist_through(index, record, lambda: on_synced(entry))

    def append_committed(self, index: int, change: Change, on_synced: Callable[[], None]) -> None:
        """Add an entry that is known to be committed, after a log without uncommitted ones."""
        self.latest_state = self.latest_state.apply(change)
        self.log.append(index, change)
        self.last_index = self.committed_index = index
        self.state = self.latest_state
        self._on_applied(index, change)
        self._persist_through(index, EntryRecord(index, change, index).to_wire(), on_synced)

    def install_snapshot(self, index: int, state_wire: Any, on_synced: Callable[[], None]) -> None:  # noqa: ANN401
        """Replace log and state by a committed state that is newer than the newest entry.

        If `load` can't read the state, its exception is raised and nothing is changed.
        """
        state = self._load(state_wire)
        self._generation += 1
        self.log.clear()
        self.state = self.latest_state = state
        self.committed_index = self.last_index = index
        self._on_applied(index, None)
        self._persist_through(index, SnapshotRecord(index, state_wire).to_wire(), on_synced)

    def commit_through(self, index: int) -> bool:
        """Apply the synced entries up to `index`; return whether there were any."""
        return self._apply_through(min(index, self.synced_index), notify=True)

    def _apply_through(self, index: int, *, notify: bool) -> bool:
        if index <= self.committed_index:
            return False
        for entry in list(self.log.between(self.committed_index, index)):
            if entry.index == self.last_index:
                self.state = self.latest_state
            else:
                self.state = self.state.apply(entry.change)
            self.committed_index = entry.index
            if notify:
                self._on_applied(entry.index, entry.change)
        self.trim()
        return True

    def trim(self) -> None:
        """Remove committed entries beyond the retention limits."""
        self.log.trim(self.committed_index, RETAINED_ENTRIES, RETAINED_BYTES)

    # Views with a base: entries from views that have been abandoned since are rolled back.

    def begin_view(self, view: View, role: ChainRole, *, is_source: bool) -> bool:
        """Take a role in a view with a base, and return whether entries were rolled back.

        A learner keeps all entries until it learns what was committed. After a restart in the same view
        nothing is rolled back.
        """
        assert view.base is not None
        if self._rollback.view_number == view.number:
            return False
        has_left_base = self._rollback.base_number == view.base.number
        left_at = self._rollback.index if has_left_base else self.synced_index
        self._rollback = RollbackRecord(view.number, view.base.number, left_at)
        rolled_back = False
        if role.is_member():
            rolled_back = self._roll_back_to(
                self._kept_through(role, is_source=is_source, has_left_base=has_left_base)
            )
        self._environment.persist(self._rollback.to_wire(), _ignore)
        self.set_caught_up(role.is_member() and (is_source or role.is_head()))
        return rolled_back

    def _kept_through(self, role: ChainRole, *, is_source: bool, has_left_base: bool) -> int:
        """Return the index of the newest entry to keep in the chain of a view with a base.

        A source, which is a member of the base's chain, keeps the entries that it had when it left the base:
        they may be committed, and its log has all entries of the sources after it. Any other member keeps
        committed entries only, except a head: then no source was reachable, and it has all that was
        committed.
        """
        if is_source:
            return max(self._rollback.index, self.committed_index) if has_left_base else self.last_index
        return self.last_index if role.is_head() else self.committed_index

    def _roll_back_to(self, index: int) -> bool:
        if not self.discard_pending and self.last_index <= index:
            return False
        rolled_back = self.last_index > index
        self.discard_pending = False
        self._environment.persist(DiscardRecord(index).to_wire(), _ignore)
        if rolled_back:
            self.discard_after(index)
        return rolled_back

    # Uncommitted entries after a change of view.

    def request_discard(self) -> None:
        """Record, also on disk, that any uncommitted entries are to be discarded later."""
        if self.last_index > self.committed_index and not self.discard_pending:
            self.discard_pending = True
            self._environment.persist(DiscardPendingRecord().to_wire(), _ignore)

    def discard_uncommitted(self) -> None:
        """Discard the uncommitted entries if that is pending.

        Called once members of a newer chain report what was committed, or when this replica joins that
        chain. Not as soon as it leaves its chain: the old tail may still commit an entry whose other
        copy is here.
        """
        if self.discard_pending:
            self.discard_pending = False
            self._environment.persist(DiscardRecord(self.committed_index).to_wire(), _ignore)
            self.discard_after(self.committed_index)

    def discard_after(self, index: int) -> None:
        """Remove uncommitted entries above `index` from memory."""
        self._generation += 1
        self.log.truncate_after(index)
        self.last_index = min(self.last_index, max(index, self.committed_index))
        self.synced_index = min(self.synced_index, self.last_index)
        self.latest_state = self.state
        for entry in self.log.between(self.committed_index, self.last_index):
            self.latest_state = self.latest_state.apply(entry.change)

    def set_caught_up(self, caught_up: bool) -> None:
        """Set whether it is caught up, also on disk: the head may be lost while this replica restarts."""
        if caught_up != self.caught_up:
            self.caught_up = caught_up
            self._environment.persist(CaughtUpRecord(caught_up).to_wire(), _ignore)
