"""Catch-up: how a replica gets the entries that it lacks, or a snapshot if the log no longer has them.

A learner, which is outside the chain, requests batches of committed entries from the members in turn,
starting at the tail. A member that lacks entries which its predecessor's log no longer has requests a
snapshot from the predecessor. The server keeps no state per replica that it serves.
"""

from collections.abc import Callable
from typing import Any

from plumline.coordination.chain_messages import (
    CommittedEntries,
    EntriesRequest,
    SnapshotData,
    SnapshotRequest,
)
from plumline.coordination.chain_role import ChainRole
from plumline.coordination.environment import Environment
from plumline.coordination.replica_storage import ReplicaStorage
from plumline.coordination.snapshot_transfer import (
    ChunkRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotFetch,
    SnapshotSender,
)
from plumline.errors import PlumlineError

CATCH_UP_BATCH_BYTES = 128 * 1024  # of packed entries in one batch; a larger entry is sent alone
MAX_CATCH_UP_TIMEOUT_S = 0.8  # before a batch is requested again


class CatchUpServer:
    """Serves committed entries and snapshots from a member's log and state."""

    def __init__(self, environment: Environment, storage: ReplicaStorage[Any]) -> None:
        self._environment, self._storage = environment, storage
        self._role = ChainRole.without_view()
        self._serves_learners = False
        self._now = 0.0
        self._snapshots = SnapshotSender(self._current_state, self._log_continues_from)

    def begin_view(self, role: ChainRole, *, activated: bool) -> None:
        """Serve in a newer view. Learners are served only once it is activated: they may be sources of its
        base, which must keep their entries until then."""
        self._role, self._serves_learners = role, activated

    def tick(self, now: float) -> None:
        """Advance the clock to `now`, and free a snapshot that is no longer requested."""
        self._now = now
        self._snapshots.tick(now)

    def on_entries_request(self, sender: str, request: EntriesRequest) -> None:
        """Send the next batch, or the start of a snapshot if the log was trimmed beyond that point."""
        if not self._serves_learners:
            return
        committed_index = self._storage.committed_index
        after = request.after_index
        if after < committed_index and not self._storage.log.continues_from(after):
            self.on_snapshot_request(sender, ChunkRequest())
            return
        entries = self._storage.log.batch(after, committed_index, CATCH_UP_BATCH_BYTES)
        more = bool(entries) and entries[-1].index < committed_index
        pairs = [[entry.index, entry.change] for entry in entries]
        batch = CommittedEntries(self._role.view_number, more, pairs)
        self._environment.send(sender, batch.to_wire())

    def on_snapshot_request(self, sender: str, request: ChunkRequest) -> None:
        """Send a chunk of a snapshot, to a learner or to the successor."""
        if not self._serves_learners and sender != self._role.successor:
            return
        chunk = self._snapshots.chunk_for(self._now, request)
        data = SnapshotData(self._role.view_number, chunk.to_wire())
        self._environment.send(sender, data.to_wire())

    def _current_state(self) -> tuple[int, Any]:
        return self._storage.committed_index, self._storage.state.to_wire()

    def _log_continues_from(self, index: int) -> bool:
        return index == self._storage.committed_index or self._storage.log.continues_from(index)


class CatchUpClient:
    """Requests the entries that this replica lacks; at most one request is outstanding."""

    def __init__(
        self,
        environment: Environment,
        storage: ReplicaStorage[Any],
        install_snapshot: Callable[[int, Any], None],
        on_synced: Callable[[], None],
    ) -> None:
        """`install_snapshot` is called with the index and wire form of a received state, `on_synced` once
        entries are synced."""
        self._environment, self._storage = environment, storage
        self._install_snapshot, self._on_synced = install_snapshot, on_synced
        self._role = ChainRole.without_view()
        self._now = 0.0
        self.fetch = SnapshotFetch()
        self._nearly_caught_up = False  # the newest batch was the last one
        self._source_counter = -1  # counts the requests of a learner, to select the members in turn

    def begin_view(self, role: ChainRole) -> None:
        """Request from the members of a newer view; a partial snapshot is kept."""
        self._role = role
        self._nearly_caught_up = False
        self.fetch.begin_view()

    def tick(self, now: float) -> None:
        """Advance the clock to `now`."""
        self._now = now

    def is_nearly_caught_up(self) -> bool:
        """Whether a learner lacks at most one batch."""
        return self._nearly_caught_up and not self.fetch.in_progress

    # Requests.

    def poll(self) -> None:
        """Send or resend the request for missing entries or chunks. A member without a partial snapshot sends
        none: its predecessor pushes the entries."""
        if self._role.is_learner():
            self._poll_as_learner()
        elif self.fetch.in_progress and self._role.predecessor and self.fetch.may_request(self._now):
            self._request_chunk(self._role.predecessor)

    def _poll_as_learner(self) -> None:
        chain = self._role.view.chain if self._role.view is not None else ()
        if not chain or not self.fetch.may_request(self._now):
            return
        addresses = [member.address for member in chain]
        if self.fetch.in_progress and self.fetch.source in addresses:
            self._request_chunk(self.fetch.source)
            return
        self._source_counter += 1
        source = addresses[-1 - self._source_counter % len(addresses)]
        if self.fetch.in_progress:
            self._request_chunk(source)
        else:
            self._request_entries(source)

    def _request_entries(self, source: str) -> None:
        self.fetch.source = source
        self.fetch.timer.start(self._now, MAX_CATCH_UP_TIMEOUT_S)
        request = EntriesRequest(self._role.view_number, self._storage.committed_index)
        self._environment.send(source, request.to_wire())

    def _request_chunk(self, source: str) -> None:
        self._send_chunk_request(source, self.fetch.request(self._now, source))

    def _send_chunk_request(self, source: str, chunk: ChunkRequest) -> None:
        request = SnapshotRequest(self._role.view_number, chunk.index, chunk.digest, chunk.offset)
        self._environment.send(source, request.to_wire())

    # Replies.

    def on_log_trimmed(self, sender: str) -> None:
        """Request a snapshot, as the predecessor's log no longer has the entries that this member lacks."""
        if self.fetch.may_request(self._now):
            self._request_chunk(sender)

    def on_snapshot_data(self, sender: str, chunk_wire: list[Any]) -> None:
        """Handle a received chunk: request the next one, or install the snapshot if it is complete.

        A snapshot that can't be read is discarded and requested again later.
        """
        try:
            chunk = SnapshotChunk.from_wire(chunk_wire)
            match self.fetch.on_chunk(self._now, sender, chunk, self._storage.committed_index):
                case Snapshot() as snapshot:
                    self._on_snapshot(sender, snapshot)
                case ChunkRequest() as request:
                    self._send_chunk_request(sender, request)
        except PlumlineError:
            self.fetch.reset()

    def _on_snapshot(self, sender: str, snapshot: Snapshot) -> None:
        if self._role.is_learner():
            self._storage.discard_uncommitted()
        self._install_snapshot(snapshot.id.index, snapshot.unpack())
        if self._role.is_learner():
            self._request_entries(sender)

    def on_entries(self, sender: str, batch: CommittedEntries) -> None:
        """Handle a batch sent to this learner; the next one is requested once its entries are synced."""
        if self.fetch.awaits_reply_from(sender):
            self.fetch.timer.on_reply(self._now)
            self._nearly_caught_up = not batch.more
        if batch.entries:
            self._storage.discard_uncommitted()
        for index, change in batch.entries:
            if index == self._storage.last_index + 1:
                self._storage.append_committed(index, change, lambda: self._on_entry_synced(sender))
        self._storage.trim()

    def _on_entry_synced(self, source: str) -> None:
        self._on_synced()
        batch_synced = self._storage.synced_index == self._storage.last_index
        needs_more = batch_synced and not self._nearly_caught_up
        if self._role.is_learner() and needs_more and not self.fetch.timer.awaiting_reply:
            self._request_entries(source)
