"""Keeps the view what it should be: the wanted view from what is known of the peers, and the loop to it.

Only a neighbour in the chain takes a silent member out: who merely can't see each other across the chain
harms nothing. What a member says of itself (another incarnation, a sick disk, leaving) counts for everyone.
The tail takes learners in, one at a time, as it is the one that they will follow.
"""

import random
from enum import StrEnum

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import SUSPECT_TIMEOUT_S, FailureDetector
from plumline.coordination.replica_status import ReplicaStatus
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement

PROPOSAL_STAGGER_S = 0.12  # s between the registrars that could propose the same
ABSENT_AFTER_S = 3.0  # s of silence after which a member is not waited for
MAX_LEARNER_LAG = 256  # entries that a learner may lack when it is taken in


class PendingHandover(StrEnum):
    """What a registrar holds that others must take over before it may end."""

    LEASE = "lease"
    REPLICA = "replica in the chain"
    ACCEPTOR = "acceptor"


class MembershipReconciler:
    def __init__(
        self,
        local_member: Member,
        view_agreement: ViewAgreement,
        failure_detector: FailureDetector,
        rng: random.Random,
        replicas: int,
    ) -> None:
        """`replicas`: of what is acknowledged; twice that less one acceptors are enough."""
        self.local_member, self.view_agreement, self.failure_detector = (
            local_member,
            view_agreement,
            failure_detector,
        )
        self.rng = rng
        self.replicas = replicas
        self.draining = False
        self._target: tuple[int, tuple[Member, ...], tuple[Member, ...]] | None = None
        self._target_since = 0.0

    def health(self, now: float, member: Member) -> tuple[bool, bool]:
        """(is not to be in the chain, everyone can know that)."""
        address, incarnation = member
        if member == self.local_member:
            return self.draining, True
        peer = self.failure_detector.peers.get(address)
        if peer is None:
            return False, False
        alive = self.failure_detector.is_alive(now, address)
        if not peer.incarnation:
            return not alive, False  # it hasn't told anything yet
        if alive and (peer.incarnation != incarnation or peer.disk_unhealthy or peer.draining):
            return True, True
        return not alive, False

    def desired_view(self, now: float, synced: int, committed: int, caught_up: bool) -> View | None:
        """The view that should follow the present one; None if that is well, or is for others to mend."""
        view = self.view_agreement.view
        if view is None or self.local_member not in (*view.acceptors, *view.chain):
            return None
        chain = self.reachable_chain(now, view)
        if not chain or not self.is_caught_up(view, chain[0], caught_up):
            return None  # nobody left that holds all: wait for one to come back
        learner = self._next_learner(now, view, chain, synced) if chain[-1] == self.local_member else None
        if learner:
            chain = (*chain, learner)
        if not self.has_quorum_of_replicas(now, view, chain, caught_up, committed):
            return None
        acceptors = self.desired_acceptors(now, view, chain)
        if (chain, acceptors) == (view.chain, view.acceptors):
            return None
        return View(view.number + 1, acceptors, chain)

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        """The chain without those that everyone can know to be unfit, and without this registrar's
        neighbours as far as they are silent: about others, not reached from here alone, it has no say."""
        unfit = {each: self.health(now, each) for each in view.chain}
        chain = [each for each in view.chain if unfit[each] != (True, True)]
        if self.local_member in chain:
            while (at := chain.index(self.local_member)) > 0 and unfit[chain[at - 1]][0]:
                del chain[at - 1]
            while (at := chain.index(self.local_member)) + 1 < len(chain) and unfit[chain[at + 1]][0]:
                del chain[at + 1]
        return tuple(chain)

    def is_caught_up(self, view: View, member: Member, caught_up: bool) -> bool:
        """Whether it is known to hold all that was ever committed. `caught_up`: this registrar does."""
        if member not in view.chain:
            return False
        at, mine = view.chain.index(member), view.position(self.local_member)
        if at == 0 or (caught_up and mine is not None and at <= mine):
            return True
        peer = self.failure_detector.peers.get(member[0])
        return peer is not None and (peer.incarnation, peer.view_number, peer.status) == (
            member[1],
            view.number,
            ReplicaStatus.CHAIN_CAUGHT_UP,
        )

    def _is_presumed_lost(self, now: float, member: Member) -> bool:
        """As far as can be known: it lost its disk, or has been silent for long."""
        peer = self.failure_detector.peers.get(member[0])
        wiped = peer is not None and peer.incarnation not in ("", member[1])
        return wiped or self.failure_detector.time_since_contact(now, member[0]) > ABSENT_AFTER_S

    def has_quorum_of_replicas(
        self, now: float, view: View, chain: tuple[Member, ...], caught_up: bool, committed: int
    ) -> bool:
        """Whether this chain could commit, and as many of it as must hold all do so. The latter is waived
        where who goes has been away for long: only a chain without it lets the others catch up."""
        wanted = min(self.replicas, len(view.chain))
        if len(chain) < wanted:
            return False
        holding = 0
        for each in chain:
            peer = self.failure_detector.peers.get(each[0])
            same = peer is not None and peer.incarnation == each[1]
            level = caught_up and same and peer.last_synced >= committed
            holding += self.answered_recently(now, each) and (
                level or self.is_caught_up(view, each, caught_up)
            )
        gone = [each for each in view.chain if each not in chain]
        away = all(self._is_presumed_lost(now, each) for each in gone)
        return holding >= wanted or (bool(gone) and away)

    def answered_recently(self, now: float, member: Member) -> bool:
        """Whether it has answered lately, not only begun to be asked."""
        return self.failure_detector.time_since_echo(now, member[0]) < SUSPECT_TIMEOUT_S

    def _next_learner(self, now: float, view: View, chain: tuple[Member, ...], synced: int) -> Member | None:
        for address, peer in sorted(self.failure_detector.peers.items()):
            member = Member(address, peer.incarnation)
            fit = not (peer.disk_unhealthy or peer.draining) and self.failure_detector.is_stable(now, address)
            if not fit or any(address == each for each, _ in chain) or not peer.incarnation:
                continue
            nearly_caught_up = peer.status is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
            if (
                peer.view_number == view.number
                and nearly_caught_up
                and peer.last_synced + MAX_LEARNER_LAG >= synced
            ):
                return member
        return None

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """One acceptor comes, goes or takes another's seat in one view. Whoever comes takes the seat of one
        that does not vote where there is any: were it added, and the other removed after it, the view
        between would need the votes of all that are left, and one more loss there would stop the core.
        With acceptors enough and no vacant seat nobody is added: it serves in the chain without a vote."""
        newcomer = self.next_acceptor(now, view, chain)
        if newcomer:
            seat = self.replaceable_acceptor(now, view, chain, newcomer)
            if seat or len(view.acceptors) < self.target_acceptor_count():
                return (*(each for each in view.acceptors if each != seat), newcomer)
        if len(view.acceptors) > self.target_acceptor_count():
            for each in view.acceptors:
                if each not in chain and each != self.local_member and self.has_stopped_voting(now, each):
                    return tuple(other for other in view.acceptors if other != each)
        return view.acceptors

    def next_acceptor(self, now: float, view: View, chain: tuple[Member, ...]) -> Member | None:
        """The member of the chain that gets the next seat: one whose earlier incarnation has a seat, else
        the first that has none. Only members that answer and are well."""
        without = [
            each
            for each in chain
            if each not in view.acceptors
            and self.answered_recently(now, each)
            and not self.health(now, each)[0]
        ]
        seated = {address for address, _ in view.acceptors}
        return next((each for each in without if each[0] in seated), without[0] if without else None)

    def target_acceptor_count(self) -> int:
        """So many keep a majority when as many are lost as may be."""
        return 2 * self.replicas - 1

    def replaceable_acceptor(
        self, now: float, view: View, chain: tuple[Member, ...], newcomer: Member
    ) -> Member | None:
        """The acceptor whose seat the newcomer takes: its own earlier incarnation, else one that votes no
        more, the longest silent first."""
        for each in view.acceptors:
            if each[0] == newcomer[0]:
                return each
        vacant = [
            each
            for each in view.acceptors
            if each not in chain and each != self.local_member and self.has_stopped_voting(now, each)
        ]
        return max(
            vacant, key=lambda each: self.failure_detector.time_since_contact(now, each[0]), default=None
        )

    def has_stopped_voting(self, now: float, member: Member) -> bool:
        """Whether this acceptor is silent, has lost its disk, or is about to end."""
        peer = self.failure_detector.peers.get(member[0])
        if peer is None or not self.failure_detector.is_alive(now, member[0]):
            return True
        return peer.draining or peer.incarnation not in ("", member[1])

    def pending_handover(self, now: float) -> PendingHandover | None:
        """What a registrar that leaves has not yet handed over."""
        view = self.view_agreement.view
        if view is None or view.acceptors == (self.local_member,):
            return None  # there is nobody else
        if self.local_member in view.chain or not self.is_replicated_by_others(view):
            return PendingHandover.REPLICA
        if self.local_member in view.acceptors and not self.may_stop_voting(now, view):
            return PendingHandover.ACCEPTOR
        return None

    def is_replicated_by_others(self, view: View) -> bool:
        """Whether as many others as must hold a copy have told that they hold all in this view's chain."""
        peers = [
            (self.failure_detector.peers.get(address), incarnation) for address, incarnation in view.chain
        ]
        holding = [
            peer
            for peer, incarnation in peers
            if peer
            and (peer.incarnation, peer.view_number, peer.status)
            == (incarnation, view.number, ReplicaStatus.CHAIN_CAUGHT_UP)
        ]
        return len(holding) >= min(self.replicas, len(view.chain))

    def may_stop_voting(self, now: float, view: View) -> bool:
        """Whether this acceptor may end: the others are a majority, and none could be taken out for it. Where
        there are no more acceptors than enough it stays one, by its disk: fewer would bear no more. It waits
        while a member of the chain could take its seat."""
        if self.next_acceptor(now, view, view.chain):
            return False
        others = [each for each in view.acceptors if each != self.local_member]
        voting = [
            each
            for each in others
            if self.answered_recently(now, each) and not self.has_stopped_voting(now, each)
        ]
        return len(view.acceptors) <= self.target_acceptor_count() and len(voting) >= view.majority()

    def reaches_majority(self, now: float) -> bool:
        """Whether a majority of the acceptors answers. Who was cut off or frozen and is just back has heard
        of nobody: it judges nobody before the echoes have come."""
        view = self.view_agreement.view
        return view is not None and self.failure_detector.has_quorum_contact(now, view.acceptors)

    def _unfinished_proposal(self) -> View | None:
        """What an acceptor has accepted: until it is decided, no read can be answered."""
        return (
            self.view_agreement.accepted.view
            if self.view_agreement.accepted and self.view_agreement.is_acceptor()
            else None
        )

    def reconcile(self, now: float, synced: int, committed: int, caught_up: bool) -> None:
        wanted = None
        if self.reaches_majority(now):
            wanted = self.desired_view(now, synced, committed, caught_up) or self._unfinished_proposal()
        if wanted is None:
            self._target = None
            return
        key = (wanted.number, wanted.acceptors, wanted.chain)
        if key != self._target:
            self._target, self._target_since = key, now
        rank = 0
        for address, _ in sorted(wanted.acceptors):
            if address == self.local_member[0]:
                break
            rank += self.failure_detector.is_alive(now, address)
        if now - self._target_since >= rank * PROPOSAL_STAGGER_S:
            self.view_agreement.propose(now, self.rng, wanted)
