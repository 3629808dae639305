"""Plans the chain of the next view, and determines which replicas hold all committed entries.

All chain members of a view that is activated or known to be complete hold them. In any other view, the
sources of its base do (the chain of the last activated view), and members that have caught up since.
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
    """The state of this registrar's own replica. Entries are numbered from the first one ever committed."""

    synced: int  # entries synced to the disk
    committed: int  # entries known to be committed
    caught_up: bool  # holds all entries that earlier views committed
    activated: bool = True  # the view is known to be activated, or needs no activation
    known_complete: bool = False  # an acceptor reported that the chain holds all committed entries
    activation_refused: bool = False  # this registrar is the tail, and an acceptor refused to activate


class ChainPlanner:
    """Plans chains from what this registrar knows about the others."""

    def __init__(self, members: MemberAssessor, tolerance: LossTolerance) -> None:
        """`tolerance`: the losses to survive at once."""
        self.members = members
        self.local_member = members.local_member
        self.tolerance = tolerance
        #: Replicas of each acknowledged entry that the loss of single machines requires.
        self.replicas_needed = tolerance.machines + 1

    # Complete replicas

    def is_known_complete(self, view: View, replica: LocalReplica) -> bool:
        """Whether every chain member is known to hold all entries committed before, as the tail does."""
        if view.number == 1 or not view.chain:
            return True  # nothing was committed before
        if view.base is not None and (replica.activated or replica.known_complete):
            return True
        tail = view.chain[-1]
        if tail == self.local_member:
            return replica.caught_up
        return self.members.has_reported_caught_up(view, tail)

    def is_caught_up(self, view: View, member: Member, replica: LocalReplica) -> bool:
        """Whether a chain member is known to hold all committed entries.

        The head does. So does every member ahead of a caught-up one, as each log contains that of its
        successor in the chain. Others must have reported it in this view.
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
        """The base of a successor that does not abandon the view: the complete members of its chain."""
        chain = tuple(member for member in view.chain if self.is_caught_up(view, member, replica))
        return ActivatedView(view.number, chain)

    # The chain after an activated view

    def next_chain(self, now: float, view: View, replica: LocalReplica) -> tuple[Member, ...] | None:
        """The chain of the next view; None if no successor would be safe now."""
        chain = self.reachable_chain(now, view)
        if not chain or not self.is_caught_up(view, chain[0], replica):
            return None  # no complete replica can become the head: wait until one is back
        if chain[-1] == self.local_member:
            chain = self._with_learners(now, view, chain, replica)
            if not replica.activated:  # learners get no entries yet, so none can catch up
                chain = self._with_available_members(now, view, chain, ())
        return chain if self.has_quorum_of_replicas(now, view, chain, replica) else None

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        """The chain without unfit members, and without this registrar's unreachable neighbours.

        Removing a neighbour makes the member behind it the new neighbour. Other members that are unreachable
        from this registrar stay: only their own neighbours can tell whether they replicate.
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
        """Whether this chain can commit, and has enough caught-up members to keep committed entries safe.

        The second condition is waived if all removed members are presumed lost: the others can then catch up
        only in a chain without them.
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
        """Whether a member answers and is known to hold all committed entries."""
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
        """The chain with the next learner, and with further ones until it is long enough to commit."""
        while (learner := self._next_learner(now, view, chain, replica)) is not None:
            chain = (*chain, learner)
            if self._is_long_enough(view, chain):
                break
        return chain

    def _next_learner(
        self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica
    ) -> Member | None:
        """The learner to admit: the first by address that is healthy, stable and nearly caught up."""
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

    # The chain after a view that is not activated

    def chain_from_base(self, now: float, view: View, replica: LocalReplica) -> tuple[Member, ...] | None:
        """The chain of a view that abandons this one; None if no such chain is possible now.

        The chain stays the same while no member is lost. Otherwise it starts with the sources of the base, in
        their order, as each log contains those of later sources. If none of them answers, it starts with a
        caught-up member of the abandoned chain. Other members are added until it can commit.
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
        """The sources of the base that answer; draining ones only if there are no others."""
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
        """Whether every loss within the attainable tolerance leaves a replica of this chain."""
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        return tolerance.leaves_a_replica(self.members.domains(chain))

    def _is_long_enough(self, view: View, chain: tuple[Member, ...]) -> bool:
        """Whether the chain has enough members, and survives the losses if the current one does."""
        if len(chain) < self._shortest_chain(view):
            return False
        return self.survives_losses(view, chain) or not self.survives_losses(view, view.chain)

    def _shortest_chain(self, view: View) -> int:
        """Minimum number of members of the next chain."""
        return min(self.replicas_needed, len(view.chain))

    def _with_available_members(
        self, now: float, view: View, chain: tuple[Member, ...], preferred: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """The chain with other registrars added, the preferred ones first, until it is long enough to commit.

        They get the entries that they lack from their predecessors before the view is activated.
        """
        for member in (*preferred, *self.members.known_registrars()):
            if self._is_long_enough(view, chain):
                break
            is_new = all(member.address != each.address for each in chain)
            if is_new and self.members.is_available(now, member):
                chain = (*chain, member)
        return chain
