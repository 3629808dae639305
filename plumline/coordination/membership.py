"""Membership reconciliation: compares the agreed view with the healthy members, and proposes the next one.

Each registrar runs one `MembershipReconciler`. At every tick it derives the view that should follow the
present one from what the failure detector knows, and puts it to the acceptors if it differs.

Three rules limit whom one registrar may exclude, as a partition makes healthy members look dead:

- A silent member is excluded by its neighbours in the chain alone. Whoever merely can't be reached from
  elsewhere in the chain still replicates.
- What a member reports of itself (a new incarnation, a failing disk, that it leaves) counts for everyone.
- The tail admits learners, one in each view, as it is the replica that they will follow.

docs/control-safety/membership.md has the invariants, and the tests that show each of them.
"""

from enum import StrEnum
from random import Random
from typing import NamedTuple

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import FailureDetector
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement

#: Seconds between the first proposals of registrars that could propose the same view.
PROPOSAL_STAGGER_S = 0.12
#: Entries that a learner may lack when it is admitted to the chain.
MAX_LEARNER_LAG = 256


class PendingHandover(StrEnum):
    """A role that others must take over before a leaving registrar may end. The values appear in its log."""

    LEASE = "lease"
    REPLICA = "replica in the chain"
    ACCEPTOR = "acceptor"


class LocalReplica(NamedTuple):
    """The state of this registrar's own replica. Entries are counted from the first ever committed."""

    synced: int  # entries on the disk
    committed: int  # entries known to be committed
    caught_up: bool  # holds all that the previous view had committed


class MembershipReconciler:
    """Derives the desired view and proposes it until it is decided, or until it is no longer desired."""

    def __init__(
        self,
        local_member: Member,
        view_agreement: ViewAgreement,
        failure_detector: FailureDetector,
        rng: Random,
        replicas_needed: int,
    ) -> None:
        """`replicas_needed` hold each acknowledged entry: one more than may be lost at once."""
        self.local_member = local_member
        self.view_agreement = view_agreement
        self.failure_detector = failure_detector
        self.members = MemberAssessor(failure_detector)
        self.rng = rng
        self.replicas_needed = replicas_needed
        #: Set once this registrar shuts down; its pings tell the others.
        self.draining = False
        self._target: View | None = None
        self._target_since = 0.0

    @property
    def target_acceptor_count(self) -> int:
        """The smallest number of acceptors that keep a majority with `replicas_needed` - 1 of them lost."""
        return 2 * self.replicas_needed - 1

    # The loop.

    def reconcile(self, now: float, replica: LocalReplica) -> None:
        """Proposes the desired view, if it is another than the present one and a majority is in reach.

        Proposers that want the same view start one after the other, so that their ballots don't collide.
        """
        target = self._next_target(now, replica)
        if target is None:
            self._target = None
            return
        if target != self._target:
            self._target = target
            self._target_since = now
        if now - self._target_since >= self._proposer_rank(now, target) * PROPOSAL_STAGGER_S:
            self.view_agreement.propose(now, self.rng, target)

    def _next_target(self, now: float, replica: LocalReplica) -> View | None:
        """The view to propose now: the desired one, else one whose proposal was left unfinished."""
        view = self.view_agreement.view
        if view is None or not self.reaches_majority(now, view):
            return None
        desired = self.desired_view(now, view, replica)
        return desired if desired is not view else self._unfinished_proposal()

    def reaches_majority(self, now: float, view: View) -> bool:
        """Whether a majority of the acceptors echoes this registrar's pings.

        A registrar that comes back from a partition or a freeze has heard of nobody for that long. It must
        not judge the others before their echoes have come.
        """
        return self.failure_detector.has_quorum_contact(now, view.acceptors)

    def _unfinished_proposal(self) -> View | None:
        """The view that this acceptor has accepted; until it is decided, no read can be answered."""
        if self.view_agreement.accepted is None or not self.view_agreement.is_acceptor():
            return None
        return self.view_agreement.accepted.view

    def _proposer_rank(self, now: float, target: View) -> int:
        """How many live acceptors of the target propose before this registrar: those of a lower address."""
        rank = 0
        for address, _ in sorted(target.acceptors):
            if address == self.local_member.address:
                break
            rank += self.failure_detector.is_alive(now, address)
        return rank

    # The desired view.

    def desired_view(self, now: float, view: View, replica: LocalReplica) -> View:
        """The view that should follow the present one.

        That is `view` itself if it is as it should be, if this registrar has no part in it, or if no
        successor would be safe now.
        """
        if self.local_member not in (*view.acceptors, *view.chain):
            return view
        chain = self.reachable_chain(now, view)
        if not chain or not self.is_caught_up(view, chain[0], replica):
            return view  # no complete replica could be the head: wait until one is back
        if chain[-1] == self.local_member:
            learner = self._next_learner(now, view, chain, replica)
            if learner is not None:
                chain = (*chain, learner)
        if not self.has_quorum_of_replicas(now, view, chain, replica):
            return view
        acceptors = self.desired_acceptors(now, view, chain)
        if (chain, acceptors) == (view.chain, view.acceptors):
            return view
        return View(view.number + 1, acceptors, chain)

    def health(self, now: float, member: Member) -> MemberHealth:
        """What is known of a member of the present view, this registrar included."""
        if member == self.local_member:
            return MemberHealth.UNFIT if self.draining else MemberHealth.HEALTHY
        return self.members.health(now, member)

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        """The chain without unfit members, and without this registrar's unreachable neighbours.

        A neighbour that is left out makes the next member the neighbour. Other members that can't be reached
        from here stay: whether they replicate is for their own neighbours to judge.
        """
        health = {member: self.health(now, member) for member in view.chain}
        chain = [member for member in view.chain if health[member] is not MemberHealth.UNFIT]
        if self.local_member not in chain:
            return tuple(chain)
        position = chain.index(self.local_member)
        upstream = chain[:position]
        downstream = chain[position + 1 :]
        while upstream and health[upstream[-1]] is not MemberHealth.HEALTHY:
            upstream.pop()
        while downstream and health[downstream[0]] is not MemberHealth.HEALTHY:
            downstream.pop(0)
        return (*upstream, self.local_member, *downstream)

    def is_caught_up(self, view: View, member: Member, replica: LocalReplica) -> bool:
        """Whether a member of the chain is known to hold every entry that was ever committed.

        The head does. So does every member ahead of a caught-up one, as a log holds all that its successor's
        does; others must have reported it in this view.
        """
        position = view.position(member)
        if position is None:
            return False
        if position == 0:
            return True
        local_position = view.position(self.local_member)
        if replica.caught_up and local_position is not None and position <= local_position:
            return True
        return self.members.has_reported_caught_up(view, member)

    def has_quorum_of_replicas(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> bool:
        """Whether this chain could commit, and enough of it are caught up that nothing committed is at risk.

        The latter is waived if all members that are left out have been absent for long: then only a chain
        without them lets the others catch up.
        """
        needed = min(self.replicas_needed, len(view.chain))
        if len(chain) < needed:
            return False
        caught_up = sum(self._is_live_replica(now, view, member, replica) for member in chain)
        if caught_up >= needed:
            return True
        removed = [member for member in view.chain if member not in chain]
        return bool(removed) and all(self.members.is_presumed_lost(now, member) for member in removed)

    def _is_live_replica(self, now: float, view: View, member: Member, replica: LocalReplica) -> bool:
        """Whether a member answers and holds all that is committed, as far as this registrar can know."""
        if not self.members.answered_recently(now, member):
            return False
        address, incarnation = member
        peer = self.failure_detector.peers.get(address)
        if replica.caught_up and peer is not None and peer.incarnation == incarnation:
            if peer.last_synced >= replica.committed:
                return True
        return self.is_caught_up(view, member, replica)

    def _next_learner(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> Member | None:
        """The learner to admit: the first by address that is healthy and stable, and has nearly caught up."""
        addresses = {address for address, _ in chain}
        for address, peer in sorted(self.failure_detector.peers.items()):
            if address in addresses or not peer.incarnation or peer.disk_unhealthy or peer.draining:
                continue
            if not self.failure_detector.is_stable(now, address):
                continue
            may_join = (
                peer.view_number == view.number and peer.status is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
            )
            if may_join and peer.last_synced + MAX_LEARNER_LAG >= replica.synced:
                return Member(address, peer.incarnation)
        return None

    # Acceptors.

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """The acceptors of the next view, of which at most one is another than in the present one.

        An acceptor that no longer votes is replaced within one view. Adding the new one first would make a
        view that needs the votes of all that are left, and one more loss in it would stop the core. Where no
        acceptor is replaceable and there are enough, nobody is added for the same reason: a further member
        serves in the chain without a vote.
        """
        candidate = self.next_acceptor(now, view, chain)
        if candidate is not None:
            replaced = self.replaceable_acceptor(now, view, chain, candidate)
            if replaced is not None or len(view.acceptors) < self.target_acceptor_count:
                return (*(member for member in view.acceptors if member != replaced), candidate)
        if len(view.acceptors) > self.target_acceptor_count:
            stopped = self._stopped_acceptors(now, view, chain)
            if stopped:
                return tuple(member for member in view.acceptors if member != stopped[0])
        return view.acceptors

    def next_acceptor(self, now: float, view: View, chain: tuple[Member, ...]) -> Member | None:
        """The healthy member of the chain that becomes an acceptor next, once one is replaceable.

        First comes one whose earlier incarnation is an acceptor, as it lost that one's disk; then the chain's
        order counts.
        """
        candidates = [
            member
            for member in chain
            if member not in view.acceptors
            and self.members.answered_recently(now, member)
            and self.health(now, member) is MemberHealth.HEALTHY
        ]
        acceptor_addresses = {address for address, _ in view.acceptors}
        for member in candidates:
            if member.address in acceptor_addresses:
                return member
        return candidates[0] if candidates else None

    def replaceable_acceptor(
        self, now: float, view: View, chain: tuple[Member, ...], candidate: Member
    ) -> Member | None:
        """The acceptor that the candidate replaces; None if all others still vote.

        That is its own earlier incarnation, else the longest silent of those that no longer vote.
        """
        for member in view.acceptors:
            if member.address == candidate.address:
                return member
        stopped = self._stopped_acceptors(now, view, chain)
        return max(
            stopped,
            key=lambda member: self.failure_detector.time_since_contact(now, member.address),
            default=None,
        )

    def _stopped_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> list[Member]:
        """Acceptors other than this registrar that are out of the chain and no longer vote."""
        return [
            member
            for member in view.acceptors
            if member not in chain
            and member != self.local_member
            and self.members.has_stopped_voting(now, member)
        ]

    # Leaving.

    def pending_handover(self, now: float) -> PendingHandover | None:
        """What this leaving registrar has not yet handed over; None if it may end."""
        view = self.view_agreement.view
        if view is None or view.acceptors == (self.local_member,):
            return None  # there is nobody to hand over to
        if self.local_member in view.chain or not self.is_replicated_by_others(view):
            return PendingHandover.REPLICA
        if self.local_member in view.acceptors and not self.may_stop_voting(now, view):
            return PendingHandover.ACCEPTOR
        return None

    def is_replicated_by_others(self, view: View) -> bool:
        """Whether enough members of this view's chain have reported in it that they are caught up."""
        caught_up = sum(self.members.has_reported_caught_up(view, member) for member in view.chain)
        return caught_up >= min(self.replicas_needed, len(view.chain))

    def may_stop_voting(self, now: float, view: View) -> bool:
        """Whether this acceptor may end.

        The others must be a majority without it. If there are more acceptors than needed, or a member of the
        chain could replace it, it waits for that. Otherwise it stays an acceptor by what its disk holds: a
        smaller set would tolerate no more losses.
        """
        if self.next_acceptor(now, view, view.chain) is not None:
            return False
        if len(view.acceptors) > self.target_acceptor_count:
            return False
        others = [member for member in view.acceptors if member != self.local_member]
        voting = [
            member
            for member in others
            if self.members.answered_recently(now, member)
            and not self.members.has_stopped_voting(now, member)
        ]
        return len(voting) >= view.majority()
