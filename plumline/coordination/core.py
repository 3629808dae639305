"""The core of a registrar: its part in views, bootstrap, replication, failure detection and leases.

`Core` owns one state machine for each of these protocols. It dispatches messages and records to them, steps
them together, and passes state between them. It has no sockets, clocks or files: a registrar's process drives
it, or a test.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Generic, Protocol

from plumline.coordination.bootstrap import Bootstrap
from plumline.coordination.chain_planner import LocalReplica
from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.failure_detector import (
    PING_KIND,
    SUSPECT_TIMEOUT_S,
    FailureDetector,
    reported_view_number,
)
from plumline.coordination.lease import (
    LEASE_MESSAGE_KIND,
    TERM_RECORD_KIND,
    LeaseDurations,
    LeaseElection,
    Persist,
    Send,
)
from plumline.coordination.log import Change
from plumline.coordination.loss_tolerance import UNKNOWN_DOMAIN, FailureDomain, LossTolerance
from plumline.coordination.membership import MembershipReconciler, PendingHandover
from plumline.coordination.read_barrier import ViewCheck
from plumline.coordination.replica_status import LocalStatus
from plumline.coordination.replica_storage import State
from plumline.coordination.replication import ChainReplica
from plumline.coordination.view import View
from plumline.coordination.view_activation import ViewActivation
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import RECORD_KINDS as VIEW_RECORD_KINDS


@dataclass(frozen=True, slots=True)
class CoreConfig:
    """The configuration of a core, fixed at its start."""

    local_member: Member
    seeds: list[str]  # addresses of the registrars that create view 1
    replicas_needed: int  # per committed entry: one more than the machines that may be lost
    first_start: bool  # the system never ran before
    leases: dict[str, LeaseDurations]  # by name
    domain: FailureDomain = UNKNOWN_DOMAIN  # where this registrar runs
    zone_losses: int = 0  # zones that may be lost at once, instead of machines
    region_losses: int = 0  # likewise, regions

    @property
    def tolerance(self) -> LossTolerance:
        """The losses that the core must survive."""
        return LossTolerance(self.replicas_needed - 1, self.zone_losses, self.region_losses)


class CoreObserver(Protocol):
    """Callbacks from a core to its owner."""

    def on_entry_committed(self, index: int, change: Change | None) -> None:
        """Called for each committed entry in order; `change` is None if a snapshot replaced the state."""

    def on_view_installed(self, view: View) -> None:
        """Called for each view that this registrar has learned, once it is synced to the disk."""

    def is_configuration_known(self) -> bool:
        """Whether a router has reported a configuration, so that view 1 must no longer be created."""


class Core(Generic[State]):
    """The protocols of one registrar, stepped together. Times are seconds on the local steady clock."""

    def __init__(
        self,
        config: CoreConfig,
        environment: Environment,
        initial_state: State,
        load_state: Callable[[Any], State],
        observer: CoreObserver,
        random: Random,
    ) -> None:
        """`initial_state`: before the first entry. `load_state` decodes a state from its wire form. `random`
        adds jitter to the timing of proposals and candidacies."""
        member = config.local_member
        self.local_member, self.seeds, self.environment = member, config.seeds, environment
        self.disk_unhealthy = False  # set by the owner while the disk accepts no writes
        self._observer, self._lease_names = observer, tuple(config.leases)
        self._now = 0.0  # time of the latest step
        self.view_agreement = ViewAgreement(member, environment, self._on_view_installed)
        self.view_activation = ViewActivation(environment)
        self.chain = ChainReplica(
            member,
            config.replicas_needed,
            environment,
            initial_state,
            load_state,
            observer.on_entry_committed,
        )
        self.failure_detector = FailureDetector(member, environment, config.domain)
        self.membership = MembershipReconciler(
            member, self.view_agreement, self.failure_detector, random, config.tolerance
        )
        self.chain.survives_losses = lambda view: self.membership.chains.survives_losses(view, view.chain)
        self.bootstrap = Bootstrap(
            member,
            config.seeds,
            config.first_start,
            environment,
            self.view_agreement,
            observer.is_configuration_known,
        )
        self.lease_election = LeaseElection(member.address, config.leases, random)

    def set_seeds(self, seeds: list[str]) -> None:
        """Changes the addresses to ping. Only the seeds given at the start of this process can create view 1:
        if machines were replaced, all of the new seeds may have empty disks."""
        self.seeds = seeds

    # Durable state

    def restore(self, now: float, records: list[Record]) -> None:
        """Replays the durable records before the first step. May report entries as committed."""
        self._now = now
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
            self._on_view_installed(self.view_agreement.view)
            self._stop_granting_superseded_leases()

    def records(self) -> list[Record]:
        """The records from which `restore` rebuilds the entire durable state."""
        return [*self.view_agreement.records(), *self.chain.records(), *self.lease_election.records()]

    # Steps

    def tick(self, now: float) -> None:
        """Steps all protocols; call it every few tens of milliseconds."""
        self._now = now
        for address in self.seeds:
            self.failure_detector.add_peer(now, address)
        self.bootstrap.tick(now)
        view = self.view_agreement.view
        self.failure_detector.tick(now, self._local_status(view))
        self.membership.reconcile(now, self._local_replica())
        self.chain.tick(now)
        self._activate_view()
        self.lease_election.tick(now)
        self._perform_lease_actions()
        if view is not None:
            named = {member.address for member in (*view.acceptors, *view.chain)} | set(self.seeds)
            self.failure_detector.remove_unresponsive_peers(now, named)

    def _local_replica(self) -> LocalReplica:
        return LocalReplica(
            self.chain.synced_index,
            self.chain.committed_index,
            self.chain.caught_up,
            activated=self.chain.activated,
            known_complete=self.view_agreement.activated,
            activation_refused=self.view_activation.refused,
        )

    def _activate_view(self) -> None:
        """As the tail: activates the view once the chain holds all that was committed before it."""
        if self.chain.activated or not self.chain.holds_all_committed():
            return
        self.view_activation.request(self._now)
        if self.view_activation.is_activated():
            self.chain.on_view_activated()

    def _local_status(self, view: View | None) -> LocalStatus:
        synced = self.chain.synced_index
        if self.chain.role.is_learner():  # later entries may be discarded
            synced = min(synced, self.chain.committed_index)
        return LocalStatus(
            incarnation=self.local_member.incarnation,
            view_number=view.number if view else 0,
            last_synced=synced,
            disk_unhealthy=self.disk_unhealthy,
            draining=self.membership.draining,
            status=self.chain.status(),
        )

    def _on_view_installed(self, view: View) -> None:
        self.view_activation.begin_view(view)
        self.chain.install_view(view)
        for member in (*view.acceptors, *view.chain):
            self.failure_detector.add_peer(self._now, member.address)
        voters: list[str] = []
        if self.local_member in view.acceptors:
            voters = [member.address for member in view.acceptors]
        created_now = view.number == 1 and self.bootstrap.installed_first_view
        self.lease_election.set_view(self._now, view.number, voters, created_now=created_now)
        self._observer.on_view_installed(view)

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """Dispatches the message to its protocol; returns False if there is none for its kind."""
        self._now = now
        if self.failure_detector.on_message(now, sender, message):
            if message[0] == PING_KIND:
                self.view_agreement.on_peer_view_number(sender, reported_view_number(message))
            return True
        if message[0] == ViewCheck.KIND:
            self._on_view_check(sender, message)
            return True
        if self.view_agreement.on_message(sender, message):
            self._stop_granting_superseded_leases()
            return True
        if self.chain.on_message(sender, message) or self.view_activation.on_message(sender, message):
            self._activate_view()
            return True
        if self.bootstrap.on_message(sender, message):
            return True
        if message[0] == LEASE_MESSAGE_KIND:
            self.lease_election.on_message(now, sender, message[1:])
            self._perform_lease_actions()
            return True
        return False

    def _on_view_check(self, sender: str, message: Message) -> None:
        """Answers a read barrier that asks whether the view of this number is still the newest."""
        check = ViewCheck.from_wire(message)
        if self.view_agreement.knows_no_successor(check.view_number) and self.view_agreement.is_acceptor():
            self.environment.send(sender, check.confirmed().to_wire())

    # Leases

    def _stop_granting_superseded_leases(self) -> None:
        """Grants no more leases in the current view once this acceptor has accepted the next one."""
        if self.view_agreement.view is not None and self.view_agreement.accepted is not None:
            self.lease_election.stop_granting(self.view_agreement.view.number)

    def _perform_lease_actions(self) -> None:
        for action in self.lease_election.take_actions():
            if isinstance(action, Send):
                self.environment.send(action.to, [LEASE_MESSAGE_KIND, *action.message])
            else:
                self.environment.persist(
                    action.record, lambda action=action: self._on_lease_record_synced(action)
                )

    def _on_lease_record_synced(self, action: Persist) -> None:
        self.lease_election.on_synced(action.record)
        for to, message in action.send_after:
            self.environment.send(to, [LEASE_MESSAGE_KIND, *message])

    def campaign(self, now: float, lease: str) -> None:
        """Makes this registrar a candidate for the lease until it drains."""
        self.lease_election.campaign(now, lease)
        self._perform_lease_actions()

    # Shutdown

    def begin_draining(self, now: float) -> None:
        """Releases all leases and asks the others to remove this registrar from the view."""
        self.membership.draining = True
        for name in self._lease_names:
            self.lease_election.release(now, name)
        self._perform_lease_actions()

    def pending_handover(self, now: float) -> PendingHandover | None:
        """The role still to be handed over before this registrar may exit; None if there is none."""
        if any(self.lease_election.fencing_token(now, name) is not None for name in self._lease_names):
            return PendingHandover.LEASE
        return self.membership.pending_handover(now)

    # Queries by the owner

    def is_up_to_date(self, now: float) -> bool:
        """Whether this registrar holds the committed entries, judged by the views that a majority of the
        acceptors reports."""
        view = self.view_agreement.view
        if view is None or self.chain.role.is_learner():
            return False
        if not self.failure_detector.has_quorum_of_reported_views(now, view.acceptors):
            return False
        newer_view_reported = any(
            peer.view_number > view.number and now - peer.last_echoed_at < SUSPECT_TIMEOUT_S
            for peer in self.failure_detector.peers.values()
        )
        return self.chain.caught_up and not newer_view_reported

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority of the acceptors echoed this registrar's pings recently."""
        view = self.view_agreement.view
        return view is not None and self.failure_detector.has_quorum_contact(now, view.acceptors)

    def check_tolerance(self) -> None:
        """Raises ToleranceUnattainableError if the known registrars run in too few zones or regions."""
        if self.view_agreement.view is not None:
            self.membership.check_tolerance(self.view_agreement.view)

    def head_address(self) -> str | None:
        """The address of the chain's head, to which changes are submitted; None if unknown."""
        view = self.view_agreement.view
        return view.chain[0].address if view and view.chain else None

    def tail_address(self) -> str | None:
        """The address of the chain's tail, which answers reads; None if unknown."""
        view = self.view_agreement.view
        return view.chain[-1].address if view and view.chain else None
