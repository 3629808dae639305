"""Health of the members of a view, from the failure detector and from their own reports."""

from collections.abc import Iterable
from enum import Enum, auto

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import SUSPECT_TIMEOUT_S, VIEW_ACTIVATION, FailureDetector
from plumline.coordination.loss_tolerance import FailureDomain, LossTolerance
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.view import View

#: Seconds without contact after which replication no longer waits for a member to catch up.
ABSENT_AFTER_S = 3.0


class MemberHealth(Enum):
    """Health of a member of the view, as this registrar sees it."""

    HEALTHY = auto()
    UNREACHABLE = auto()  # from this registrar; others may still reach it
    UNFIT = auto()  # by its own report, so every registrar that reaches it agrees


class MemberAssessor:
    """Assesses the registrars, including the local one, for which there are no pings."""

    def __init__(self, local_member: Member, failure_detector: FailureDetector) -> None:
        """`failure_detector`: keeps the echoes and reports of the peers."""
        self.local_member = local_member
        self.failure_detector = failure_detector
        #: Set once this registrar shuts down; its pings report it to the others.
        self.draining = False

    def health(self, now: float, member: Member) -> MemberHealth:
        """The health of a member of the current view."""
        if member == self.local_member:
            return MemberHealth.UNFIT if self.draining else MemberHealth.HEALTHY
        address, incarnation = member
        peer = self.failure_detector.peers.get(address)
        if peer is None:
            return MemberHealth.HEALTHY
        if not self.failure_detector.is_alive(now, address):
            return MemberHealth.UNREACHABLE
        if not peer.incarnation:
            return MemberHealth.HEALTHY  # it has reported nothing yet
        if peer.incarnation != incarnation or peer.disk_unhealthy or peer.draining:
            return MemberHealth.UNFIT
        return MemberHealth.HEALTHY

    def answered_recently(self, now: float, member: Member) -> bool:
        """Whether a member echoed a ping recently; a newly discovered one has not, though not suspected."""
        return self.failure_detector.time_since_echo(now, member.address) < SUSPECT_TIMEOUT_S

    def has_reported_caught_up(self, view: View, member: Member) -> bool:
        """Whether a member of this view's chain has reported, in this view, to hold all committed entries."""
        address, incarnation = member
        peer = self.failure_detector.peers.get(address)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and peer.view_number == view.number
            and peer.status is ReplicaStatus.CHAIN_CAUGHT_UP
        )

    def has_lost_disk(self, member: Member) -> bool:
        """Whether another incarnation now runs at the member's address."""
        peer = self.failure_detector.peers.get(member.address)
        return peer is not None and peer.incarnation not in ("", member.incarnation)

    def has_stopped_voting(self, now: float, member: Member) -> bool:
        """Whether an acceptor is suspected, has lost its disk, or is draining."""
        peer = self.failure_detector.peers.get(member.address)
        if peer is None or not self.failure_detector.is_alive(now, member.address):
            return True
        return peer.draining or self.has_lost_disk(member)

    def is_presumed_lost(self, now: float, member: Member) -> bool:
        """Whether a member has lost its disk, or has had no contact for ABSENT_AFTER_S."""
        without_contact_s = self.failure_detector.time_since_contact(now, member.address)
        return self.has_lost_disk(member) or without_contact_s > ABSENT_AFTER_S

    def is_answering(self, now: float, member: Member) -> bool:
        """Whether this incarnation of a registrar runs, echoes pings and has a healthy disk."""
        if member == self.local_member:
            return True
        peer = self.failure_detector.peers.get(member.address)
        if peer is None or peer.incarnation != member.incarnation or peer.disk_unhealthy:
            return False
        return self.answered_recently(now, member)

    def is_available(self, now: float, member: Member) -> bool:
        """Whether a registrar can join a chain now."""
        return self.is_answering(now, member) and self.health(now, member) is MemberHealth.HEALTHY

    def known_registrars(self) -> list[Member]:
        """This registrar and those that have reported their incarnation, ordered by address."""
        peers = [Member(peer.address, peer.incarnation) for peer in self.failure_detector.peers.values()]
        return sorted(member for member in (*peers, self.local_member) if member.incarnation)

    def domains(self, members: Iterable[Member]) -> list[FailureDomain]:
        """The failure domains that these registrars have reported."""
        return [self.failure_detector.domain_of(member.address) for member in members]

    def attainable_tolerance(self, view: View, tolerance: LossTolerance) -> LossTolerance:
        """The part of the tolerance that the registrars of the view and all other known ones can provide."""
        if not tolerance.zones and not tolerance.regions:
            return tolerance
        addresses = {member.address for member in (*view.acceptors, *view.chain, *self.known_registrars())}
        return tolerance.attainable(self.failure_detector.domain_of(address) for address in addresses)

    def support_activation(self, members: Iterable[Member]) -> bool:
        """Whether the releases of all these registrars support views with a base."""
        return all(self.failure_detector.supports(address, VIEW_ACTIVATION) for address, _ in members)
