"""Which replicas form the chain of the next view, and which of them hold all that was committed.

Members of a view that is activated, or known to be complete, all do. In one that is not, the sources of its
base do, and whoever has caught up since.
"""

from typing import NamedTuple

from plumline.coordination.environment import Member
from plumline.coordination.loss_tolerance import LossTolerance
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.view import ActivatedView, View

#: Entries that a learner may lack when it is admitted to the chain.
MAX_LEARNER_LAG = 256


class LocalReplica(NamedTuple):
    """The state of this registrar's own replica. Entries are counted from the first ever committed."""

    synced: int  # entries on the disk
    committed: int  # entries known to be committed
    caught_up: bool  # holds all that the previous view had committed
    activated: bool = True  # the view is known to be, or needs not be
    known_complete: bool = False  # some acceptor or the tail has told that the chain holds all committed
    activation_refused: bool = False  # an acceptor has told this registrar, the tail, that it takes no part


class ChainPlanner:
    """Plans chains from what this registrar knows of the others."""

    def __init__(self, members: MemberAssessor, tolerance: LossTolerance) -> None:
        """`tolerance`: what may be lost at once."""
        self.members = members
        self.local_member = members.local_member
        self.tolerance = tolerance
        #: Hold each acknowledged entry, if single machines are lost.
        self.replicas_needed = tolerance.machines + 1

    # Who holds all that was committed.

    def is_known_complete(self, view: View, replica: LocalReplica) -> bool:
        """Whether every member of the chain holds all that was committed before, as its tail does."""
        if view.number == 1 or not view.chain:
            return True  # nothing was committed before
        if view.base is not None and (replica.activated or replica.known_complete):
            return True
        tail = view.chain[-1]
        if tail == self.local_member:
            return replica.caught_up
        return self.members.has_reported_caught_up(view, tail)

    def is_caught_up(self, view: View, member: Member, replica: LocalReplica) -> bool:
        """Whether a member of the chain is known to hold every entry that was ever committed.

        The head does. So does every member ahead of a caught-up one, as a log holds all that its successor's
        does; others must have reported it in this view.
        """
        position = view.position(member)
        if position is None:
            return False
        if position == 0 or self.is_known_complete(view, replica):
            return True
        local_position = view.position(self.local_member)
        if replica.caught_up and local_position is not None and position <= local_position:
            return True
        return self.members.has_reported_caught_up(view, member)

    def base_of_successor(self, view: View, replica: LocalReplica) -> ActivatedView:
        """The base of a successor that does not abandon the view: its members that hold all committed."""
        chain = tuple(member for member in view.chain if self.is_caught_up(view, member, replica))
        return ActivatedView(view.number, chain)

    # The chain that follows an activated view.

    def next_chain(self, now: float, view: View, replica: LocalReplica) -> tuple[Member, ...] | None:
        """The chain after this view's; None if no successor would be safe now."""
        chain = self.reachable_chain(now, view)
        if not chain or not self.is_caught_up(view, chain[0], replica):
            return None  # no complete replica could be the head: wait until one is back
        if chain[-1] == self.local_member:
            chain = self._with_learners(now, view, chain, replica)
            if not replica.activated:  # nothing is sent to learners yet, so none of them has caught up
                chain = self._with_available_members(now, view, chain, ())
        return chain if self.has_quorum_of_replicas(now, view, chain, replica) else None

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        """The chain without unfit members, and without this registrar's unreachable neighbours.

        A neighbour that is left out makes the next member the neighbour. Other members that can't be reached
        from here stay: whether they replicate is for their own neighbours to judge.
        """
        health = {member: self.members.health(now, member) for member in view.chain}
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

    def has_quorum_of_replicas(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> bool:
        """Whether this chain could commit, and enough of it are caught up that nothing committed is at risk.

        The latter is waived if all members that are left out have been absent for long: then only a chain
        without them lets the others catch up.
        """
        if not self._is_long_enough(view, chain):
            return False
        needed = self._shortest_chain(view)
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
        peer = self.members.failure_detector.peers.get(address)
        if replica.caught_up and peer is not None and peer.incarnation == incarnation:
            if peer.last_synced >= replica.committed:
                return True
        return self.is_caught_up(view, member, replica)

    def _with_learners(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> tuple[Member, ...]:
        """The chain with the next learner, and with as many as it needs to be long enough to commit."""
        while (learner := self._next_learner(now, view, chain, replica)) is not None:
            chain = (*chain, learner)
            if self._is_long_enough(view, chain):
                break
        return chain

    def _next_learner(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> Member | None:
        """The learner to admit: the first by address that is healthy and stable, and has nearly caught up."""
        addresses = {address for address, _ in chain}
        for address, peer in sorted(self.members.failure_detector.peers.items()):
            if address in addresses or not peer.incarnation or peer.disk_unhealthy or peer.draining:
                continue
            if not self.members.failure_detector.is_stable(now, address):
                continue
            may_join = (
                peer.view_number == view.number and peer.status is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
            )
            if may_join and peer.last_synced + MAX_LEARNER_LAG >= replica.synced:
                return Member(address, peer.incarnation)
        return None

    # The chain that follows a view which is not activated.

    def chain_from_base(self, now: float, view: View, replica: LocalReplica) -> tuple[Member, ...] | None:
        """The chain of a view that abandons this one; None if there can be none now.

        It is this view's as long as nobody in it is lost. Otherwise it begins with the sources of the base,
        in their order, as each one's log has all that those of later ones have. Only where none of them
        answers, a member of the abandoned chain that has caught up begins it. Others follow as far as it
        needs them.
        """
        assert view.base is not None
        reachable = self.reachable_chain(now, view)
        if reachable == view.chain:
            return reachable
        chain = self._available_sources(now, view.base)
        if not chain:
            chain = self._available_caught_up(now, view, reachable, replica)[:1]
        if not chain:
            return None
        chain = self._with_available_members(now, view, chain, reachable)
        return chain if self._is_long_enough(view, chain) else None

    def _available_sources(self, now: float, base: ActivatedView) -> tuple[Member, ...]:
        """The sources of the base that answer; those that are about to end only where there are no others."""
        answering = tuple(member for member in base.chain if self.members.is_answering(now, member))
        return tuple(member for member in answering if self.members.is_available(now, member)) or answering

    def _available_caught_up(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> tuple[Member, ...]:
        return tuple(
            member
            for member in chain
            if self.is_caught_up(view, member, replica) and self.members.is_available(now, member)
        )

    def survives_losses(self, view: View, chain: tuple[Member, ...]) -> bool:
        """Whether a replica of what this chain commits is left after every loss that can be borne at all."""
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        return tolerance.leaves_a_replica(self.members.domains(chain))

    def _is_long_enough(self, view: View, chain: tuple[Member, ...]) -> bool:
        """Whether the chain could commit, or at least bears as much as the present one."""
        if len(chain) < self._shortest_chain(view):
            return False
        return self.survives_losses(view, chain) or not self.survives_losses(view, view.chain)

    def _shortest_chain(self, view: View) -> int:
        """How many members the next chain must have at least."""
        return min(self.replicas_needed, len(view.chain))

    def _with_available_members(
        self, now: float, view: View, chain: tuple[Member, ...], preferred: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """The chain with as many other registrars, the preferred ones first, as it needs to commit.

        What they lack they get from their predecessors before the view is activated.
        """
        for member in (*preferred, *self.members.known_registrars()):
            if self._is_long_enough(view, chain):
                break
            is_new = all(member.address != each.address for each in chain)
            if is_new and self.members.is_available(now, member):
                chain = (*chain, member)
        return chain
