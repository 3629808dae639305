"""Chain replication of the log: changes enter at the head, commits start at the tail.

The head orders the changes. Every member syncs an entry to its disk before it forwards it to its successor.
The tail commits what it has synced, if the chain is long enough, and the commit is passed back to the head,
which replies to the callers. Lost messages are resent after a timeout, so they only cost time. (van Renesse
and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.)

Invariant: a member's log has all entries of its successor's log. A new view keeps the order of the members
that remain. A registrar outside the chain is a learner: it receives committed entries only, and joins as the
new tail.

The other parts of a replica: `replica_storage` (log, state, records), `flow_control` (how much a successor
may be sent), `catch_up` (learners and snapshots), `reads` (linearizable reads), `chain_role` and
`chain_messages`.
"""

from collections.abc import Callable
from typing import Any, Generic

from plumline.coordination.catch_up import CatchUpClient, CatchUpServer
from plumline.coordination.chain_messages import (
    CatchUpTarget,
    ChainMessage,
    CommitNotice,
    CommittedEntries,
    EntriesRequest,
    LogTrimmed,
    ProgressReport,
    ReplicateEntry,
    SnapshotData,
    SnapshotRequest,
    decode_message,
)
from plumline.coordination.chain_role import ChainRole
from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.flow_control import ReceiveWindow, SendWindow
from plumline.coordination.log import Change, Entry, ReplicationLog
from plumline.coordination.pending_replies import PendingReplies, SubmitCallback
from plumline.coordination.read_barrier import ViewConfirmed
from plumline.coordination.reads import LinearizableReads
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.replica_storage import ReplicaStorage, State
from plumline.coordination.snapshot_transfer import ChunkRequest
from plumline.coordination.view import View
from plumline.errors import PlumlineError, UnavailableError

REPORT_INTERVAL_S = 0.2  # between reports to the predecessor, and between the polls of a learner


class ChainReplica(Generic[State]):
    """One registrar's replica: a member of the chain, or a learner outside it.

    Times are seconds of the local monotonic clock.
    """

    def __init__(
        self,
        local_member: Member,
        replicas_needed: int,
        environment: Environment,
        initial_state: State,
        load: Callable[[Any], State],
        on_applied: Callable[[int, Change | None], None],
    ) -> None:
        """Start as a learner without a view.

        `replicas_needed`: length of the shortest chain that may commit. `load` decodes a state from its wire
        form. `on_applied(index, change)` is called for each committed entry in order, with None in place of
        the change where a snapshot replaced the state.
        """
        self.local_member, self._replicas_needed = local_member, replicas_needed
        #: Whether a replica of the view's chain remains after any tolerated loss: with zones, the length of
        #: the chain alone does not show that.
        self.survives_losses: Callable[[View], bool] = lambda view: True
        self._environment = environment
        self.role = ChainRole.without_view()
        self.storage = ReplicaStorage(environment, initial_state, load, on_applied)
        self.send_window = SendWindow()
        self._receive_window = ReceiveWindow()
        self._pending_replies = PendingReplies()
        self._catch_up_target: int | None = None  # once synced up to this index, it is caught up
        self.activated = False  # whether the view is known to be activated; before that nothing commits in it
        self._reads = LinearizableReads(environment, self.storage)
        self._catch_up_server = CatchUpServer(environment, self.storage)
        self.catch_up = CatchUpClient(
            environment, self.storage, self._install_snapshot, self._on_synced_progress
        )
        self._now = self._next_report_at = 0.0

    # Read access for other components.

    @property
    def state(self) -> State:
        """The committed state."""
        return self.storage.state

    @property
    def latest_state(self) -> State:
        """The state with all entries of the log applied, including uncommitted ones."""
        return self.storage.latest_state

    @property
    def log(self) -> ReplicationLog:
        """The newest entries."""
        return self.storage.log

    @property
    def committed_index(self) -> int:
        """Index of the newest entry that this replica knows to be committed."""
        return self.storage.committed_index

    @property
    def synced_index(self) -> int:
        """Index of the newest entry that is on this disk together with all entries before it."""
        return self.storage.synced_index

    @property
    def last_index(self) -> int:
        """Index of the newest entry in memory."""
        return self.storage.last_index

    @property
    def caught_up(self) -> bool:
        """Whether this member has all that may have been committed before its view."""
        return self.storage.caught_up

    def is_head(self) -> bool:
        """Whether it is the head of its view's chain."""
        return self.role.is_head()

    def is_tail(self) -> bool:
        """Whether it is the tail of its view's chain."""
        return self.role.is_tail()

    def can_commit(self) -> bool:
        """Whether the chain has enough members that what it commits survives any tolerated loss."""
        if self.role.view is None or self.role.chain_length < self._replicas_needed:
            return False
        return self.survives_losses(self.role.view)

    def status(self) -> ReplicaStatus:
        """Return the replica status that this registrar reports in its pings."""
        if self.role.is_member():
            return ReplicaStatus.CHAIN_CAUGHT_UP if self.caught_up else ReplicaStatus.CHAIN_CATCHING_UP
        if self.catch_up.is_nearly_caught_up():
            return ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
        return ReplicaStatus.LEARNER_BEHIND

    # Durable state.

    def restore(self, record: Record) -> None:
        """Apply one record of the file, in file order, before the first message or tick."""
        self.storage.restore(record)

    def records(self) -> list[Record]:
        """Return the records from which `restore` rebuilds the current content."""
        return self.storage.records()

    # Views.

    def install_view(self, view: View) -> None:
        """Take this replica's role in a newly decided view."""
        was_head = self.is_head()
        self.role = ChainRole.in_view(view, self.local_member)
        self.activated = view.base is None
        self._catch_up_target = None
        self.send_window = SendWindow()
        self._catch_up_server.begin_view(self.role, activated=self.activated)
        self.catch_up.begin_view(self.role)
        self._next_report_at = 0.0
        self._reads.begin_view(self.role)
        rolled_back = self._begin_view_in_storage(view)
        if rolled_back or (was_head and not self.is_head()):
            self._pending_replies.fail_all()
        if self.role.is_learner():
            self.storage.request_discard()
            return
        self._report()
        self._commit_if_tail()

    def _begin_view_in_storage(self, view: View) -> bool:
        """Prepare the log for the role in the view; return whether entries were rolled back."""
        if view.base is not None:
            is_source = self.local_member in view.base.chain
            return self.storage.begin_view(view, self.role, is_source=is_source)
        if view.number == 1 or self.role.is_learner():
            self.storage.set_caught_up(self.role.is_member())
        if self.role.is_member():
            self.storage.discard_uncommitted()
        return False

    def holds_all_committed(self) -> bool:
        """Whether this is a caught-up tail; then all members have what was committed before this view."""
        return self.role.is_tail() and self.storage.caught_up

    def on_view_activated(self) -> None:
        """Start to commit, answer reads and serve learners, as this view is activated."""
        if not self.activated:
            self.activated = True
            self._catch_up_server.begin_view(self.role, activated=True)
            self._commit_if_tail()

    # Changes, at the head.

    def submit(self, change: Change, callback: SubmitCallback) -> None:
        """Append the change to the log, and call back with None once it is committed, or with the error.

        A repeated change is not applied again, but gets the same reply as the first one. A refusal that may
        depend on an uncommitted entry is sent only once that entry is committed.
        """
        if not self.is_head() or not self.can_commit():
            callback(UnavailableError("this chain can't commit now"))
            return
        error: PlumlineError | None = None
        try:
            is_new = not self.storage.latest_state.check(change)
        except PlumlineError as refusal:
            is_new, error = False, refusal
        storage = self.storage
        if is_new:
            self._append(storage.last_index + 1, change)
        if storage.committed_index < storage.last_index:
            self._pending_replies.add(storage.last_index, callback, error)
        elif error is None:
            callback(None)
        else:
            self._refuse(error, callback)

    def _refuse(self, error: PlumlineError, callback: SubmitCallback) -> None:
        """Refuse once the view is confirmed: a removed head may have too old a state to refuse."""
        unconfirmed = UnavailableError("this chain may not be the present one")
        self._reads.confirm_view(lambda confirmed: callback(error if confirmed else unconfirmed))

    # Replication: sync, then forward, then commit.

    def _append(self, index: int, change: Change) -> None:
        self.storage.append(index, change, self._on_entry_synced)

    def _on_entry_synced(self, entry: Entry) -> None:
        """Only what is synced here is forwarded, reported or committed."""
        self._forward()
        self._receive_window.add(entry.size)
        if self._receive_window.report_is_due():
            self._report()
        self._on_synced_progress()

    def _forward(self) -> None:
        """Send the successor the synced entries that it lacks, as far as the send window allows."""
        successor, storage = self.role.successor, self.storage
        if successor is None or not self.send_window.lacks(storage.synced_index):
            return
        view_number = self.role.view_number
        if not storage.log.continues_from(self.send_window.sent_index):
            self._environment.send(successor, LogTrimmed(view_number).to_wire())
            return
        for entry in self.send_window.take_entries(self._now, storage.log, storage.synced_index):
            message = ReplicateEntry(view_number, entry.index, entry.change)
            self._environment.send(successor, message.to_wire())

    def _on_synced_progress(self) -> None:
        """Handle newly synced entries: this member may now be caught up, and the tail commits them."""
        self._check_catch_up_target()
        self._commit_if_tail()

    def _check_catch_up_target(self) -> None:
        target = self._catch_up_target
        if target is not None and self.storage.synced_index >= target and not self.caught_up:
            self.storage.set_caught_up(True)
            self._commit_if_tail()

    def _commit_if_tail(self) -> None:
        if self.activated and self.holds_all_committed() and self.can_commit():
            self._commit_through(self.storage.synced_index)
            self._notify_predecessor_of_commit()

    def _commit_through(self, index: int) -> None:
        """Commit the synced entries up to `index`, and reply to the callers that wait for them."""
        if self.storage.commit_through(index):
            self._pending_replies.release_through(self.storage.committed_index)

    def _notify_predecessor_of_commit(self) -> None:
        if predecessor := self.role.predecessor:
            notice = CommitNotice(self.role.view_number, self.storage.committed_index)
            self._environment.send(predecessor, notice.to_wire())

    def _install_snapshot(self, index: int, state_wire: Any) -> None:  # noqa: ANN401
        """Install a committed state in place of entries that the other members' logs no longer have."""
        if index <= self.last_index:
            self._commit_through(index)  # keep the entries after it, which may be in flight to the tail
        else:
            self.storage.install_snapshot(index, state_wire, self._on_snapshot_synced)

    def _on_snapshot_synced(self) -> None:
        self._report()
        self._forward()
        self._on_synced_progress()

    # Reports, from successor to predecessor.

    def tick(self, now: float) -> None:
        """Advance the clock to `now`, and report or poll if that is due."""
        self._now = now
        self._catch_up_server.tick(now)
        self.catch_up.tick(now)
        self._reads.tick(now)
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        self.catch_up.poll()
        if self.role.is_member():
            self._report()
            self._commit_if_tail()

    def _report(self) -> None:
        self._receive_window.on_report_sent()
        if predecessor := self.role.predecessor:
            report = ProgressReport(
                self.role.view_number, self.last_index, self.committed_index, self.caught_up
            )
            self._environment.send(predecessor, report.to_wire())

    def _on_report(self, sender: str, report: ProgressReport) -> None:
        self.send_window.on_report(self._now, report.last_index)
        if self.caught_up and not report.caught_up:
            target = CatchUpTarget(self.role.view_number, self.synced_index)
            self._environment.send(sender, target.to_wire())
        self._forward()
        if report.committed_index > self.committed_index:
            self._commit_through(report.committed_index)
            self._notify_predecessor_of_commit()

    def _on_commit_notice(self, notice: CommitNotice) -> None:
        self.on_view_activated()
        if notice.committed_index <= self.storage.committed_index:
            self._notify_predecessor_of_activation()
            return
        if self.send_window.is_open:
            self.send_window.acknowledge(self._now, notice.committed_index)
            self._forward()
        self._commit_through(notice.committed_index)
        self._notify_predecessor_of_commit()

    def _notify_predecessor_of_activation(self) -> None:
        """Forward the tail's periodic notice though it commits nothing new: an earlier one may be lost."""
        if self.role.view is not None and self.role.view.base is not None:
            self._notify_predecessor_of_commit()

    # Reads.

    def read(self, callback: Callable[[State | None], None]) -> None:
        """Call back with a state that has all changes acknowledged before, or None if that is not certain."""
        if not self.activated:
            callback(None)
            return
        self._reads.read(callback, can_commit=self.can_commit())

    def confirm_index(self, callback: Callable[[int | None], None]) -> None:
        """Call back with an index up to which all changes acknowledged before this call are found, or with
        None if that is not certain.

        Every member syncs an entry before the entry can be committed. So a caught-up member of the newest
        view has all that was acknowledged, even where it doesn't know yet that it is committed.
        """
        if not self.role.is_member() or not self.caught_up:
            callback(None)
            return
        synced_index = self.synced_index
        self._reads.confirm_view(lambda confirmed: callback(synced_index if confirmed else None))

    # Messages.

    def on_message(self, sender: str, wire: Message) -> bool:
        """Handle a message of the chain or of its read barrier; return False if it is neither."""
        message = decode_message(wire)
        if message is not None:
            if message.view_number == self.role.view_number:
                self._handle(sender, message)
            return True
        confirmed = ViewConfirmed.from_wire(wire)
        if confirmed is not None:
            self._reads.on_confirmed(sender, confirmed)
        return confirmed is not None

    def _handle(self, sender: str, message: ChainMessage) -> None:
        """Handle a message of this view if this role expects such messages from the sender."""
        if self.role.is_learner():
            self._handle_as_learner(sender, message)
            return
        if sender == self.role.predecessor:
            self._handle_from_predecessor(sender, message)
        if sender == self.role.successor:
            self._handle_from_successor(sender, message)
        match message:
            case EntriesRequest():
                self._catch_up_server.on_entries_request(sender, message)
            case SnapshotRequest(_, index, digest, offset):
                self._catch_up_server.on_snapshot_request(sender, ChunkRequest(index, digest, offset))

    def _handle_as_learner(self, sender: str, message: ChainMessage) -> None:
        match message:
            case CommittedEntries():
                self.catch_up.on_entries(sender, message)
            case SnapshotData():
                self.catch_up.on_snapshot_data(sender, message.chunk_wire)

    def _handle_from_predecessor(self, sender: str, message: ChainMessage) -> None:
        match message:
            case ReplicateEntry() if message.index == self.storage.last_index + 1:
                self._append(message.index, message.change)
            case LogTrimmed():
                self.catch_up.on_log_trimmed(sender)
            case SnapshotData():
                self.catch_up.on_snapshot_data(sender, message.chunk_wire)
            case CatchUpTarget():
                if self._catch_up_target is None:
                    self._catch_up_target = message.index
                self._check_catch_up_target()

    def _handle_from_successor(self, sender: str, message: ChainMessage) -> None:
        match message:
            case CommitNotice():
                self._on_commit_notice(message)
            case ProgressReport():
                self._on_report(sender, message)
