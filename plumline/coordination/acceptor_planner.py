"""Which members vote in the next view: the smallest set that tolerates the losses, repaired by exchange.

docs/control-safety/membership.md and docs/control-safety/zones.md have the reasons.
"""

from plumline.coordination.environment import Member
from plumline.coordination.loss_tolerance import LossTolerance, spread
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.view import View


class AcceptorPlanner:
    """Plans the acceptors of the view that follows the present one."""

    def __init__(self, members: MemberAssessor, tolerance: LossTolerance) -> None:
        """`tolerance`: what may be lost at once."""
        self.members = members
        self.tolerance = tolerance

    def target_acceptor_count(self, view: View) -> int:
        """The smallest odd number of acceptors of which every loss leaves a majority, if well placed.

        Where none does, the number that the loss of single machines needs.
        """
        smallest = 2 * self.tolerance.machines + 1
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        if not tolerance.zones and not tolerance.regions:
            return smallest
        known = {member.address for member in (*view.chain, *view.acceptors)}
        domains = [self.members.failure_detector.domain_of(address) for address in known]
        for count in range(smallest, len(domains) + 1, 2):
            if tolerance.leaves_a_majority(spread(domains, count)):
                return count
        return smallest

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
            if replaced is not None or len(view.acceptors) < self.target_acceptor_count(view):
                return (*(member for member in view.acceptors if member != replaced), candidate)
        if len(view.acceptors) > self.target_acceptor_count(view):
            stopped = self._stopped_acceptors(now, view, chain)
            if stopped:
                return tuple(member for member in view.acceptors if member != stopped[0])
        return self._spread_further(now, view, chain)

    def _spread_further(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """The acceptors with one exchanged for a member of the chain, if the worst loss then takes fewer.

        All who vote go on to vote in the meantime, so the step costs no tolerance.
        """
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        if not tolerance.zones and not tolerance.regions:
            return view.acceptors
        best, least = view.acceptors, self._worst_loss(tolerance, view.acceptors)
        for candidate in self._candidates(now, view, chain):
            for replaced in view.acceptors:
                exchanged = (*(member for member in view.acceptors if member != replaced), candidate)
                if self._worst_loss(tolerance, exchanged) < least:
                    best, least = exchanged, self._worst_loss(tolerance, exchanged)
        return best

    def _worst_loss(self, tolerance: LossTolerance, members: tuple[Member, ...]) -> int:
        return tolerance.worst_loss(self.members.domains(members))

    def next_acceptor(self, now: float, view: View, chain: tuple[Member, ...]) -> Member | None:
        """The healthy member of the chain that becomes an acceptor next, once one is replaceable.

        First comes one whose earlier incarnation is an acceptor, as it lost that one's disk; then one with
        which a loss takes the fewest of those that vote; then the chain's order counts.
        """
        candidates = self._candidates(now, view, chain)
        acceptor_addresses = {address for address, _ in view.acceptors}
        for member in candidates:
            if member.address in acceptor_addresses:
                return member
        voting = tuple(
            member for member in view.acceptors if not self.members.has_stopped_voting(now, member)
        )
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        return min(
            candidates,
            key=lambda candidate: self._worst_loss(tolerance, (*voting, candidate)),
            default=None,
        )

    def _candidates(self, now: float, view: View, chain: tuple[Member, ...]) -> list[Member]:
        """The healthy members of the chain that are no acceptors, in its order."""
        return [
            member
            for member in chain
            if member not in view.acceptors
            and self.members.answered_recently(now, member)
            and self.members.health(now, member) is MemberHealth.HEALTHY
        ]

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
            key=lambda member: self.members.failure_detector.time_since_contact(now, member.address),
            default=None,
        )

    def _stopped_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> list[Member]:
        """Acceptors other than this registrar that are out of the chain and no longer vote."""
        return [
            member
            for member in view.acceptors
            if member not in chain
            and member != self.members.local_member
            and self.members.has_stopped_voting(now, member)
        ]

    def may_stop_voting(self, now: float, view: View) -> bool:
        """Whether this acceptor may end.

        The others must be a majority without it. If there are more acceptors than needed, or a member of the
        chain could replace it, it waits for that. Otherwise it stays an acceptor by what its disk holds: a
        smaller set would tolerate no more losses.
        """
        if self.next_acceptor(now, view, view.chain) is not None:
            return False
        if len(view.acceptors) > self.target_acceptor_count(view):
            return False
        others = [member for member in view.acceptors if member != self.members.local_member]
        voting = [
            member
            for member in others
            if self.members.answered_recently(now, member)
            and not self.members.has_stopped_voting(now, member)
        ]
        return len(voting) >= view.majority()
