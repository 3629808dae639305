"""One registrar's share of the core: views, formation, chain, contacts and leases stepped together.

Pure: time and messages in, messages and records out. A registrar process, or a test by hand, drives it.
"""

import random
from collections.abc import Callable
from typing import Any

from plumline.coordination.bootstrap import Bootstrap
from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.failure_detector import SUSPECT_TIMEOUT_S, FailureDetector
from plumline.coordination.lease import (
    LEASE_MESSAGE_KIND,
    TERM_RECORD_KIND,
    LeaseDurations,
    LeaseElection,
    Persist,
    Send,
)
from plumline.coordination.membership import MembershipReconciler, PendingHandover
from plumline.coordination.read_barrier import ViewCheck
from plumline.coordination.replica_status import LocalStatus
from plumline.coordination.replication import ChainReplica
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import RECORD_KINDS as VIEW_RECORD_KINDS


class Core:
    """`changed` is told of each new view, `applied(number, change or None)` of each committed entry."""

    def __init__(
        self,
        me: Member,
        seeds: list[str],
        copies: int,
        first_start: bool,
        environment: Environment,
        empty: Any,  # noqa: ANN401
        load: Callable[[Any], Any],
        leases: dict[str, LeaseDurations],
        now: float,
        chance: random.Random,
        applied: Callable[[int, list[Any] | None], None],
        changed: Callable[[View], None],
        is_configuration_known: Callable[[], bool],
    ) -> None:
        self.me, self.seeds, self.environment, self.now = me, seeds, environment, now
        self.changed, self.leases = changed, tuple(leases)
        self.view_agreement = ViewAgreement(me, environment, self.installed)
        self.chain = ChainReplica(me, copies, environment, empty, load, applied)
        self.failure_detector = FailureDetector(me, environment)
        self.membership = MembershipReconciler(me, self.view_agreement, self.failure_detector, chance, copies)
        self.bootstrap = Bootstrap(
            me, seeds, first_start, environment, self.view_agreement, is_configuration_known
        )
        self.lease_election = LeaseElection(me[0], leases, chance)
        self.disk_unhealthy = False

    def set_seeds(self, seeds: list[str]) -> None:
        """The seeds of now: whom to ask. The first view is formed by those of this process's start, or never:
        machines that were exchanged may all be empty."""
        self.seeds = seeds

    # Durable state.

    def restore(self, records: list[Record]) -> None:
        """From a file's records, before the first step."""
        lease_records = []
        for record in records:
            if record[0] in VIEW_RECORD_KINDS:
                self.view_agreement.restore(record)
            elif record[0] == TERM_RECORD_KIND:
                lease_records.append(record)
            else:
                self.chain.restore(record)
        self.lease_election.restore(lease_records)
        if self.view_agreement.view is not None:
            self.installed(self.view_agreement.view)
            self.stop_granting_leases()

    def records(self) -> list[Record]:
        return [*self.view_agreement.records(), *self.chain.records(), *self.lease_election.records()]

    # Steps.

    def installed(self, view: View) -> None:
        self.chain.install_view(view)
        for address, _ in (*view.acceptors, *view.chain):
            self.failure_detector.add_peer(self.now, address)
        voters = [address for address, _ in view.acceptors] if self.me in view.acceptors else []
        formed_now = view.number == 1 and self.bootstrap.took_part
        self.lease_election.set_view(self.now, view.number, voters, formed_now=formed_now)
        self.changed(view)

    def tick(self, now: float) -> None:
        self.now = now
        for address in self.seeds:
            self.failure_detector.add_peer(now, address)
        self.bootstrap.tick(now)
        view = self.view_agreement.view
        present = self.chain.role.is_member()
        synced = (
            self.chain.synced_index if present else min(self.chain.synced_index, self.chain.committed_index)
        )
        local_status = LocalStatus(
            incarnation=self.me.incarnation,
            view_number=view.number if view else 0,
            last_synced=synced,
            disk_unhealthy=self.disk_unhealthy,
            draining=self.membership.draining,
            status=self.chain.status(),
        )
        self.failure_detector.tick(now, local_status)
        self.membership.reconcile(
            now, self.chain.synced_index, self.chain.committed_index, self.chain.caught_up
        )
        self.chain.tick(now)
        self.lease_election.tick(now)
        self.perform_lease_actions()
        if view is not None:
            named = {address for address, _ in (*view.acceptors, *view.chain)} | set(self.seeds)
            self.failure_detector.remove_silent_peers(now, named)

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """False if nobody here knows the kind of message."""
        self.now = now
        if self.failure_detector.on_message(now, sender, message):
            if message[0] == "ping":
                self.view_agreement.on_peer_view_number(sender, message[3])
            return True
        if message[0] == ViewCheck.KIND:
            check = ViewCheck.from_wire(message)
            if (
                self.view_agreement.knows_no_successor(check.view_number)
                and self.view_agreement.is_acceptor()
            ):
                self.environment.send(sender, check.confirmed().to_wire())
            return True
        if self.view_agreement.on_message(sender, message):
            self.stop_granting_leases()
            return True
        if self.chain.on_message(sender, message):
            return True
        if self.bootstrap.on_message(sender, message):
            return True
        if message[0] == LEASE_MESSAGE_KIND:
            self.lease_election.on_message(now, sender, message[1:])
            self.perform_lease_actions()
            return True
        return False

    def stop_granting_leases(self) -> None:
        """Whoever has accepted the next view votes for no lease in the present one."""
        if self.view_agreement.view is not None and self.view_agreement.accepted is not None:
            self.lease_election.stop_granting(self.view_agreement.view.number)

    def perform_lease_actions(self) -> None:
        for action in self.lease_election.take_actions():
            if isinstance(action, Send):
                self.environment.send(action.to, [LEASE_MESSAGE_KIND, *action.message])
            else:
                self.environment.persist(
                    action.record, lambda action=action: self.lease_record_synced(action)
                )

    def lease_record_synced(self, action: Persist) -> None:
        self.lease_election.on_synced(action.record)
        for to, message in action.send_after:
            self.environment.send(to, [LEASE_MESSAGE_KIND, *message])

    def campaign(self, now: float, lease: str) -> None:
        """Makes this registrar a candidate for the lease, until it leaves."""
        self.lease_election.campaign(now, lease)
        self.perform_lease_actions()

    def leave(self, now: float) -> None:
        """Gives all leases back and tells the others to take this registrar out."""
        self.membership.draining = True
        for lease in self.leases:
            self.lease_election.release(now, lease)
        self.perform_lease_actions()

    def pending_handover(self, now: float) -> PendingHandover | None:
        """What must still be handed over before this registrar may end; None: nothing."""
        if any(self.lease_election.fencing_token(now, lease) is not None for lease in self.leases):
            return PendingHandover.LEASE
        return self.membership.pending_handover(now)

    # What others may ask.

    def fresh(self, now: float) -> bool:
        """Whether what this registrar has is the newest, as far as a majority in touch shows."""
        view = self.view_agreement.view
        if view is None or self.chain.role.is_learner():
            return False
        if not self.failure_detector.has_quorum_of_reported_views(now, view.acceptors):
            return False
        newer = any(
            peer.view_number > view.number and now - peer.last_echoed_at < SUSPECT_TIMEOUT_S
            for peer in self.failure_detector.peers.values()
        )
        return self.chain.caught_up and not newer

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority of the acceptors answered this registrar lately."""
        view = self.view_agreement.view
        return view is not None and self.failure_detector.has_quorum_contact(now, view.acceptors)

    def head(self) -> str | None:
        view = self.view_agreement.view
        return view.chain[0][0] if view and view.chain else None

    def tail(self) -> str | None:
        view = self.view_agreement.view
        return view.chain[-1][0] if view and view.chain else None
