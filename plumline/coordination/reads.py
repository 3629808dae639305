"""Linearizable reads at the tail.

Every acknowledged change is committed, and the tail commits first. So its state is recent enough to answer a
read if it is still the tail of the newest view when it receives the read; a read barrier verifies that.
"""

from collections.abc import Callable
from typing import Generic

from plumline.coordination.chain_role import ChainRole
from plumline.coordination.environment import Environment
from plumline.coordination.read_barrier import ReadBarrier, ViewConfirmed
from plumline.coordination.replica_storage import ReplicaStorage, State


class LinearizableReads(Generic[State]):
    """Answers reads from a replica's state once the acceptors have confirmed its view."""

    def __init__(self, environment: Environment, storage: ReplicaStorage[State]) -> None:
        self._storage = storage
        self._barrier = ReadBarrier(environment)
        self._role = ChainRole.without_view()

    def begin_view(self, role: ChainRole) -> None:
        """Take the role in a newer view; pending reads of the previous view are denied."""
        self._role = role
        self._barrier.deny_all()

    def tick(self, now: float) -> None:
        """Resend checks to acceptors that have not replied."""
        self._barrier.tick(now)

    def read(self, callback: Callable[[State | None], None], *, can_commit: bool) -> None:
        """Call back with the state, or with None where this replica may not answer.

        `can_commit`: whether the chain is long enough to commit. A chain that became too short may have
        entries that were committed before that, without this replica knowing it.
        """
        all_committed = can_commit or self._storage.committed_index == self._storage.synced_index
        if not self._role.is_tail() or not self._storage.caught_up or not all_committed:
            callback(None)
            return
        self.confirm_view(lambda confirmed: callback(self._storage.state if confirmed else None))

    def confirm_view(self, callback: Callable[[bool], None]) -> None:
        """Call back with True once a majority of the acceptors knows no view newer than this one."""
        if self._role.view is None:
            callback(False)
        else:
            self._barrier.confirm(self._role.view, callback)

    def on_confirmed(self, sender: str, message: ViewConfirmed) -> None:
        """Count an acceptor's reply to a view check."""
        self._barrier.on_confirmed(sender, message)
