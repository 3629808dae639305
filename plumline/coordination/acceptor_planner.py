"""Plans the acceptors of the next view: the smallest set that tolerates the losses, changed one at a time.

The reasons are in docs/control-safety/membership.md and docs/control-safety/zones.md.
"""

from plumline.coordination.environment import Member
from plumline.coordination.loss_tolerance import LossTolerance, select_spread_domains
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.view import View


class AcceptorPlanner:
    """Plans the acceptors of the view that follows the current one."""

    def __init__(self, members: MemberAssessor, tolerance: LossTolerance) -> None:
        """`tolerance`: the losses to survive at once."""
        self.members = members
        self.tolerance = tolerance

    def target_acceptor_count(self, view: View) -> int:
        """The smallest odd number of acceptors that can be placed so that every loss leaves a majority.

        If there is none, the number that the loss of single machines requires.
        """
        smallest = 2 * self.tolerance.machines + 1
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        if not tolerance.zones and not tolerance.regions:
            return smallest
        known = {member.address for member in (*view.chain, *view.acceptors)}
        domains = [self.members.failure_detector.domain_of(address) for address in known]
        for count in range(smallest, len(domains) + 1, 2):
            if tolerance.leaves_a_majority(select_spread_domains(domains, count)):
                return count
        return smallest

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """The acceptors of the next view, which differ in at most one member from the current ones.

        An acceptor that no longer votes is replaced in a single view change. Adding the new one first would
        need the votes of all remaining acceptors, and one more loss would stop the core. For the same reason
        no acceptor is added if there are enough: a further member serves in the chain without a vote.
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
        return self._improve_spread(now, view, chain)

    def _improve_spread(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """The acceptors with one replaced by a chain member, if the worst loss then takes fewer of them.

        All of them vote during the change, so it costs no tolerance.
        """
        tolerance = self.members.attainable_tolerance(view, self.tolerance)
        if not tolerance.zones and not tolerance.regions:
            return view.acceptors
        best, smallest_loss = view.acceptors, self._worst_loss(tolerance, view.acceptors)
        for candidate in self._candidates(now, view, chain):
            for replaced in view.acceptors:
                exchanged = (*(member for member in view.acceptors if member != replaced), candidate)
                if self._worst_loss(tolerance, exchanged) < smallest_loss:
                    best, smallest_loss = exchanged, self._worst_loss(tolerance, exchanged)
        return best

    def _worst_loss(self, tolerance: LossTolerance, members: tuple[Member, ...]) -> int:
        return tolerance.worst_loss(self.members.domains(members))

    def next_acceptor(self, now: float, view: View, chain: tuple[Member, ...]) -> Member | None:
        """The healthy chain member that becomes an acceptor next, once one is replaceable.

        Prefers a member whose earlier incarnation, with its disk lost, is an acceptor. Then the one with
        which the worst loss takes the fewest voting acceptors; ties go by order in the chain.
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
        """The healthy chain members that are not acceptors, in chain order."""
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

        That is its own earlier incarnation, else the non-voting one with the longest time since contact.
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
        """Acceptors other than this registrar that are not in the chain and no longer vote."""
        return [
            member
            for member in view.acceptors
            if member not in chain
            and member != self.members.local_member
            and self.members.has_stopped_voting(now, member)
        ]

    def may_stop_voting(self, now: float, view: View) -> bool:
        """Whether this acceptor may exit.

        The others must form a majority without it. If there are more acceptors than needed, or a chain member
        could replace it, it waits for that view change. Otherwise it stays an acceptor, down but with its
        disk kept: a smaller set would tolerate no more losses.
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
