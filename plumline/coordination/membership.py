"""Membership reconciliation: compares the agreed view with the healthy members, and proposes the next one.

Each registrar runs one `MembershipReconciler`. At every tick it derives the desired next view from the state
of the failure detector, and proposes it to the acceptors if it differs from the current one.

Three rules limit whom one registrar may exclude, as a partition makes healthy members look dead:

- Only its neighbours in the chain exclude a silent member. One that is unreachable from elsewhere in the
  chain still replicates.
- Any registrar may act on what a member reports of itself: a new incarnation, an unhealthy disk, or draining.
- Only the tail admits learners, as it will be their predecessor: one in each view, or as many as the chain
  needs to commit.

A view that is not activated and whose chain lost a member is abandoned (docs/control-safety/activation.md).

docs/control-safety/membership.md lists the invariants, and the tests for each of them.
"""

from enum import StrEnum
from random import Random

from plumline.coordination.acceptor_planner import AcceptorPlanner
from plumline.coordination.chain_planner import ChainPlanner, LocalReplica
from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import FailureDetector
from plumline.coordination.loss_tolerance import LossTolerance
from plumline.coordination.member_health import MemberAssessor
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.errors import ToleranceUnattainableError

#: Seconds between the first proposals of registrars that could propose the same view.
PROPOSAL_STAGGER_S = 0.12


class PendingHandover(StrEnum):
    """A role that others must take over before a draining registrar exits. The values appear in its log."""

    LEASE = "lease"
    REPLICA = "replica in the chain"
    ACCEPTOR = "acceptor"


class MembershipReconciler:
    """Derives the desired view and proposes it until it is decided or no longer desired."""

    def __init__(
        self,
        local_member: Member,
        view_agreement: ViewAgreement,
        failure_detector: FailureDetector,
        rng: Random,
        tolerance: LossTolerance,
    ) -> None:
        """`tolerance`: the losses to survive at once."""
        self.local_member = local_member
        self.view_agreement = view_agreement
        self.failure_detector = failure_detector
        self.members = MemberAssessor(local_member, failure_detector)
        self.chains = ChainPlanner(self.members, tolerance)
        self.acceptors = AcceptorPlanner(self.members, tolerance)
        self.rng = rng
        self._target: View | None = None
        self._target_set_at = 0.0

    @property
    def draining(self) -> bool:
        """Whether this registrar is shutting down; its pings report it to the others."""
        return self.members.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self.members.draining = draining

    # Reconciliation loop

    def reconcile(self, now: float, replica: LocalReplica) -> None:
        """Proposes the desired view, if it differs from the current one and a majority is reachable.

        Proposers of the same view start one after the other, so that their proposals don't preempt each
        other.
        """
        target = self._next_target(now, replica)
        if target is None:
            self._target = None
            return
        if target != self._target:
            self._target = target
            self._target_set_at = now
        if now - self._target_set_at >= self._proposer_rank(now, target) * PROPOSAL_STAGGER_S:
            self.view_agreement.propose(now, self.rng, target)

    def _next_target(self, now: float, replica: LocalReplica) -> View | None:
        """The view to propose now: the desired one, else one whose proposal was not completed."""
        view = self.view_agreement.view
        if view is None or not self.reaches_majority(now, view):
            return None
        desired = self.desired_view(now, view, replica)
        return desired if desired is not view else self._unfinished_proposal()

    def reaches_majority(self, now: float, view: View) -> bool:
        """Whether a majority of the acceptors echoes this registrar's pings.

        A registrar that comes back from a partition or a freeze has received no echoes for that long. It
        must not exclude other members before their echoes have arrived.
        """
        return self.failure_detector.has_quorum_contact(now, view.acceptors)

    def _unfinished_proposal(self) -> View | None:
        """The view that this acceptor has accepted; reads are blocked until it is decided."""
        if self.view_agreement.accepted is None or not self.view_agreement.is_acceptor():
            return None
        return self.view_agreement.accepted.view

    def _proposer_rank(self, now: float, target: View) -> int:
        """Number of live acceptors of the target with a lower address; they propose before this registrar."""
        rank = 0
        for address, _ in sorted(target.acceptors):
            if address == self.local_member.address:
                break
            rank += self.failure_detector.is_alive(now, address)
        return rank

    # Desired view

    def desired_view(self, now: float, view: View, replica: LocalReplica) -> View:
        """The view that should follow the current one.

        Returns `view` itself if it needs no change, if this registrar is not a member of it, or if no
        successor would be safe now.
        """
        base_chain = view.base.chain if view.base is not None else ()
        if self.local_member not in (*view.acceptors, *view.chain, *base_chain):
            return view
        if self.may_abandon(view, replica):
            return self._view_from_base(now, view, replica)
        chain = self.chains.next_chain(now, view, replica)
        return view if chain is None else self._successor(now, view, chain, replica)

    def may_abandon(self, view: View, replica: LocalReplica) -> bool:
        """Whether the view has a base, is not known complete, and all its members support activation."""
        if view.base is None or self.chains.is_known_complete(view, replica):
            return False
        return self.members.support_activation((*view.acceptors, *view.chain))

    def _view_from_base(self, now: float, view: View, replica: LocalReplica) -> View:
        """The view that abandons this one; `view` itself if that is not needed or not possible now."""
        chain = self.chains.chain_from_base(now, view, replica)
        if chain is None:
            return view
        acceptors = self.acceptors.desired_acceptors(now, view, chain)
        if (chain, acceptors) == (view.chain, view.acceptors):
            return view
        return View(view.number + 1, acceptors, chain, view.base)

    def _successor(self, now: float, view: View, chain: tuple[Member, ...], replica: LocalReplica) -> View:
        """The successor of a complete view; `view` itself if nothing needs to change."""
        acceptors = self.acceptors.desired_acceptors(now, view, chain)
        base = None
        if self.members.support_activation((*acceptors, *view.acceptors, *chain)):
            base = self.chains.base_of_successor(view, replica)
        base_is_supported = base is not None or view.base is None
        can_be_activated = replica.activated or not replica.activation_refused
        if (chain, acceptors) == (view.chain, view.acceptors) and base_is_supported and can_be_activated:
            return view
        return View(view.number + 1, acceptors, chain, base)

    def check_tolerance(self, view: View) -> None:
        """Raises ToleranceUnattainableError if the known registrars run in too few zones or regions."""
        configured = self.acceptors.tolerance
        if self.members.attainable_tolerance(view, configured) != configured:
            raise ToleranceUnattainableError(
                f"{configured.zones} zones or {configured.regions} regions may be lost at once, and the known"
                " registrars run in too few for a majority to be left"
            )

    # Draining

    def pending_handover(self, now: float) -> PendingHandover | None:
        """The role that this draining registrar has not yet handed over; None if it may exit."""
        view = self.view_agreement.view
        if view is None or view.acceptors == (self.local_member,):
            return None  # there is no other registrar to hand over to
        if self.local_member in view.chain or not self.is_replicated_by_others(view):
            return PendingHandover.REPLICA
        if self.local_member in view.acceptors and not self.acceptors.may_stop_voting(now, view):
            return PendingHandover.ACCEPTOR
        return None

    def is_replicated_by_others(self, view: View) -> bool:
        """Whether enough members of this view's chain have reported that they are caught up in it."""
        caught_up = sum(self.members.has_reported_caught_up(view, member) for member in view.chain)
        return caught_up >= min(self.chains.replicas_needed, len(view.chain))
