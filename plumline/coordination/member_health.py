"""Health of the members of a view, as the failure detector and their own reports show it."""

from enum import Enum, auto

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import SUSPECT_TIMEOUT_S, FailureDetector
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.view import View

#: Seconds of silence after which replication no longer waits for a member to catch up.
ABSENT_AFTER_S = 3.0


class MemberHealth(Enum):
    """What this registrar may conclude about a member of the view."""

    HEALTHY = auto()
    UNREACHABLE = auto()  # from here; others may still reach it
    UNFIT = auto()  # by its own report, so every registrar that reaches it concludes the same


class MemberAssessor:
    """Judges members other than the local one, which counts as answering but has reported nothing."""

    def __init__(self, failure_detector: FailureDetector) -> None:
        """The failure detector has what the peers echoed and reported."""
        self.failure_detector = failure_detector

    def health(self, now: float, member: Member) -> MemberHealth:
        """What is known of another member of the present view."""
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
        """Whether a member echoed a ping lately; one just discovered has not, though it is not suspected."""
        return self.failure_detector.time_since_echo(now, member.address) < SUSPECT_TIMEOUT_S

    def has_reported_caught_up(self, view: View, member: Member) -> bool:
        """Whether a member of this view's chain has reported in it to hold all that was ever committed."""
        address, incarnation = member
        peer = self.failure_detector.peers.get(address)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and peer.view_number == view.number
            and peer.status is ReplicaStatus.CHAIN_CAUGHT_UP
        )

    def has_lost_disk(self, member: Member) -> bool:
        """Whether another incarnation runs at the member's address now."""
        peer = self.failure_detector.peers.get(member.address)
        return peer is not None and peer.incarnation not in ("", member.incarnation)

    def has_stopped_voting(self, now: float, member: Member) -> bool:
        """Whether an acceptor is silent, has lost its disk, or is about to end."""
        peer = self.failure_detector.peers.get(member.address)
        if peer is None or not self.failure_detector.is_alive(now, member.address):
            return True
        return peer.draining or self.has_lost_disk(member)

    def is_presumed_lost(self, now: float, member: Member) -> bool:
        """Whether a member has lost its disk, or has been silent for so long that nobody waits for it."""
        silence_s = self.failure_detector.time_since_contact(now, member.address)
        return self.has_lost_disk(member) or silence_s > ABSENT_AFTER_S
