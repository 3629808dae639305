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

STAGGER = 0.12  # s between the registrars that could propose the same
AWAY_AFTER = 3.0  # s of silence after which a member is not waited for
LEARNER_LAG = 256  # entries that a learner may lack when it is taken in


class PendingHandover(StrEnum):
    """What a registrar holds that others must take over before it may end."""

    LEASE = "lease"
    REPLICA = "replica in the chain"
    ACCEPTOR = "acceptor"


class MembershipReconciler:
    def __init__(
        self, me: Member, views: ViewAgreement, contacts: FailureDetector, chance: random.Random, copies: int
    ) -> None:
        """`copies`: of what is acknowledged; twice that less one acceptors are enough."""
        self.me, self.views, self.contacts, self.chance = me, views, contacts, chance
        self.copies = copies
        self.leaving = False
        self.wanting: tuple[int, tuple[Member, ...], tuple[Member, ...]] | None = None
        self.since = 0.0

    def unfit(self, now: float, member: Member) -> tuple[bool, bool]:
        """(is not to be in the chain, everyone can know that)."""
        address, incarnation = member
        if member == self.me:
            return self.leaving, True
        peer = self.contacts.peers.get(address)
        if peer is None:
            return False, False
        alive = self.contacts.is_alive(now, address)
        if not peer.incarnation:
            return not alive, False  # it hasn't told anything yet
        if alive and (peer.incarnation != incarnation or peer.disk_unhealthy or peer.draining):
            return True, True
        return not alive, False

    def wanted(self, now: float, synced: int, committed: int, caught_up: bool) -> View | None:
        """The view that should follow the present one; None if that is well, or is for others to mend."""
        view = self.views.view
        if view is None or self.me not in (*view.acceptors, *view.chain):
            return None
        chain = self.fit_chain(now, view)
        if not chain or not self.holds_all(view, chain[0], caught_up):
            return None  # nobody left that holds all: wait for one to come back
        learner = self.learner(now, view, chain, synced) if chain[-1] == self.me else None
        if learner:
            chain = (*chain, learner)
        if not self.enough(now, view, chain, caught_up, committed):
            return None
        acceptors = self.acceptors(now, view, chain)
        if (chain, acceptors) == (view.chain, view.acceptors):
            return None
        return View(view.number + 1, acceptors, chain)

    def fit_chain(self, now: float, view: View) -> tuple[Member, ...]:
        """The chain without those that everyone can know to be unfit, and without this registrar's
        neighbours as far as they are silent: about others, not reached from here alone, it has no say."""
        unfit = {each: self.unfit(now, each) for each in view.chain}
        chain = [each for each in view.chain if unfit[each] != (True, True)]
        if self.me in chain:
            while (at := chain.index(self.me)) > 0 and unfit[chain[at - 1]][0]:
                del chain[at - 1]
            while (at := chain.index(self.me)) + 1 < len(chain) and unfit[chain[at + 1]][0]:
                del chain[at + 1]
        return tuple(chain)

    def holds_all(self, view: View, member: Member, caught_up: bool) -> bool:
        """Whether it is known to hold all that was ever committed. `caught_up`: this registrar does."""
        if member not in view.chain:
            return False
        at, mine = view.chain.index(member), view.position(self.me)
        if at == 0 or (caught_up and mine is not None and at <= mine):
            return True
        peer = self.contacts.peers.get(member[0])
        return peer is not None and (peer.incarnation, peer.view_number, peer.status) == (
            member[1],
            view.number,
            ReplicaStatus.CHAIN_CAUGHT_UP,
        )

    def never_back(self, now: float, member: Member) -> bool:
        """As far as can be known: it lost its disk, or has been silent for long."""
        peer = self.contacts.peers.get(member[0])
        wiped = peer is not None and peer.incarnation not in ("", member[1])
        return wiped or self.contacts.time_since_contact(now, member[0]) > AWAY_AFTER

    def enough(
        self, now: float, view: View, chain: tuple[Member, ...], caught_up: bool, committed: int
    ) -> bool:
        """Whether this chain could commit, and as many of it as must hold all do so. The latter is waived
        where who goes has been away for long: only a chain without it lets the others catch up."""
        wanted = min(self.copies, len(view.chain))
        if len(chain) < wanted:
            return False
        holding = 0
        for each in chain:
            peer = self.contacts.peers.get(each[0])
            same = peer is not None and peer.incarnation == each[1]
            level = caught_up and same and peer.last_synced >= committed
            holding += self.heard(now, each) and (level or self.holds_all(view, each, caught_up))
        gone = [each for each in view.chain if each not in chain]
        away = all(self.never_back(now, each) for each in gone)
        return holding >= wanted or (bool(gone) and away)

    def heard(self, now: float, member: Member) -> bool:
        """Whether it has answered lately, not only begun to be asked."""
        return self.contacts.time_since_echo(now, member[0]) < SUSPECT_TIMEOUT_S

    def learner(self, now: float, view: View, chain: tuple[Member, ...], synced: int) -> Member | None:
        for address, peer in sorted(self.contacts.peers.items()):
            member = Member(address, peer.incarnation)
            fit = not (peer.disk_unhealthy or peer.draining) and self.contacts.is_stable(now, address)
            if not fit or any(address == each for each, _ in chain) or not peer.incarnation:
                continue
            nearly_caught_up = peer.status is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
            if (
                peer.view_number == view.number
                and nearly_caught_up
                and peer.last_synced + LEARNER_LAG >= synced
            ):
                return member
        return None

    def acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        """One acceptor comes, goes or takes another's seat in one view. Whoever comes takes the seat of one
        that does not vote where there is any: were it added, and the other removed after it, the view
        between would need the votes of all that are left, and one more loss there would stop the core.
        With acceptors enough and no vacant seat nobody is added: it serves in the chain without a vote."""
        newcomer = self.next_acceptor(now, view, chain)
        if newcomer:
            seat = self.vacant_seat(now, view, chain, newcomer)
            if seat or len(view.acceptors) < self.enough_acceptors():
                return (*(each for each in view.acceptors if each != seat), newcomer)
        if len(view.acceptors) > self.enough_acceptors():
            for each in view.acceptors:
                if each not in chain and each != self.me and self.votes_no_more(now, each):
                    return tuple(other for other in view.acceptors if other != each)
        return view.acceptors

    def next_acceptor(self, now: float, view: View, chain: tuple[Member, ...]) -> Member | None:
        """The member of the chain that gets the next seat: one whose earlier incarnation has a seat, else
        the first that has none. Only members that answer and are well."""
        without = [
            each
            for each in chain
            if each not in view.acceptors and self.heard(now, each) and not self.unfit(now, each)[0]
        ]
        seated = {address for address, _ in view.acceptors}
        return next((each for each in without if each[0] in seated), without[0] if without else None)

    def enough_acceptors(self) -> int:
        """So many keep a majority when as many are lost as may be."""
        return 2 * self.copies - 1

    def vacant_seat(
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
            if each not in chain and each != self.me and self.votes_no_more(now, each)
        ]
        return max(vacant, key=lambda each: self.contacts.time_since_contact(now, each[0]), default=None)

    def votes_no_more(self, now: float, member: Member) -> bool:
        """Whether this acceptor is silent, has lost its disk, or is about to end."""
        peer = self.contacts.peers.get(member[0])
        if peer is None or not self.contacts.is_alive(now, member[0]):
            return True
        return peer.draining or peer.incarnation not in ("", member[1])

    def pending_handover(self, now: float) -> PendingHandover | None:
        """What a registrar that leaves has not yet handed over."""
        view = self.views.view
        if view is None or view.acceptors == (self.me,):
            return None  # there is nobody else
        if self.me in view.chain or not self.taken_over(view):
            return PendingHandover.REPLICA
        if self.me in view.acceptors and not self.dispensable(now, view):
            return PendingHandover.ACCEPTOR
        return None

    def taken_over(self, view: View) -> bool:
        """Whether as many others as must hold a copy have told that they hold all in this view's chain."""
        peers = [(self.contacts.peers.get(address), incarnation) for address, incarnation in view.chain]
        holding = [
            peer
            for peer, incarnation in peers
            if peer
            and (peer.incarnation, peer.view_number, peer.status)
            == (incarnation, view.number, ReplicaStatus.CHAIN_CAUGHT_UP)
        ]
        return len(holding) >= min(self.copies, len(view.chain))

    def dispensable(self, now: float, view: View) -> bool:
        """Whether this acceptor may end: the others are a majority, and none could be taken out for it. Where
        there are no more acceptors than enough it stays one, by its disk: fewer would bear no more. It waits
        while a member of the chain could take its seat."""
        if self.next_acceptor(now, view, view.chain):
            return False
        others = [each for each in view.acceptors if each != self.me]
        voting = [each for each in others if self.heard(now, each) and not self.votes_no_more(now, each)]
        return len(view.acceptors) <= self.enough_acceptors() and len(voting) >= view.majority()

    def in_touch(self, now: float) -> bool:
        """Whether a majority of the acceptors answers. Who was cut off or frozen and is just back has heard
        of nobody: it judges nobody before the echoes have come."""
        view = self.views.view
        return view is not None and self.contacts.has_quorum_contact(now, view.acceptors)

    def left_over(self) -> View | None:
        """What an acceptor has accepted: until it is decided, no read can be answered."""
        return self.views.accepted.view if self.views.accepted and self.views.is_acceptor() else None

    def tick(self, now: float, synced: int, committed: int, caught_up: bool) -> None:
        wanted = None
        if self.in_touch(now):
            wanted = self.wanted(now, synced, committed, caught_up) or self.left_over()
        if wanted is None:
            self.wanting = None
            return
        key = (wanted.number, wanted.acceptors, wanted.chain)
        if key != self.wanting:
            self.wanting, self.since = key, now
        rank = 0
        for address, _ in sorted(wanted.acceptors):
            if address == self.me[0]:
                break
            rank += self.contacts.is_alive(now, address)
        if now - self.since >= rank * STAGGER:
            self.views.propose(now, self.chance, wanted)
