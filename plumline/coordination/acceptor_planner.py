"""Which members vote in the next view: the smallest set that tolerates the losses, repaired by exchange.

docs/control-safety/membership.md has the reasons.
"""

from plumline.coordination.environment import Member
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.view import View


class AcceptorPlanner:
    """Plans the acceptors of the view that follows the present one."""

    def __init__(self, members: MemberAssessor, replicas_needed: int) -> None:
        """`replicas_needed` hold each acknowledged entry: one more than may be lost at once."""
        self.members = members
        self.replicas_needed = replicas_needed

    @property
    def target_acceptor_count(self) -> int:
        """The smallest number of acceptors that keep a majority with `replicas_needed` - 1 of them lost."""
        return 2 * self.replicas_needed - 1

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
            and self.members.health(now, member) is MemberHealth.HEALTHY
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
        if len(view.acceptors) > self.target_acceptor_count:
            return False
        others = [member for member in view.acceptors if member != self.members.local_member]
        voting = [
            member
            for member in others
            if self.members.answered_recently(now, member)
            and not self.members.has_stopped_voting(now, member)
        ]
        return len(voting) >= view.majority()
