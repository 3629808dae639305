"""The candidate of a node: it requests leases, renews those that it holds and releases them.

For each lease a candidate is in one of the states of `CandidateState`:

    IDLE --campaign--> WAITING --its turn has come--> REQUESTING --majority of grants--> HOLDING
    REQUESTING --timeout, too many refusals, another view--> WAITING
    HOLDING --renewed--> HOLDING
    HOLDING --the lease has expired--> WAITING
    any state --release--> IDLE
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

from plumline.coordination.lease.actions import Outbox
from plumline.coordination.lease.durations import LeaseDurations
from plumline.coordination.lease.messages import (
    LeaseGrant,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    LeaseWithdrawal,
)
from plumline.coordination.lease.quorum import Electorate
from plumline.coordination.lease.records import first_term_of
from plumline.coordination.lease.voter import Voter

BACKOFF_S = (0.1, 0.4)  # between two attempts: bounds of a uniformly random delay
CANDIDATE_SPACING_S = 0.08  # between the first attempts of successive candidates, to avoid contention
MAX_PENDING_REQUESTS = 4  # requests whose answers still count; older ones are discarded
INCARNATION_BITS = 48
REQUEST_ID_BITS = 62


class CandidateState(Enum):
    """What a node is doing about a lease."""

    IDLE = auto()  # it doesn't want the lease
    WAITING = auto()  # it requests the lease from `next_attempt_at` on
    REQUESTING = auto()  # it has requested the lease under `term`, and has no majority yet
    HOLDING = auto()  # a majority has granted `term`; it may act until `lease_expires_at`


@dataclass(slots=True)
class _PendingRequest:
    """The answers to one request so far."""

    requested_at: float
    granted: set[str] = field(default_factory=set)
    refused: dict[str, float] = field(default_factory=dict)  # voter -> seconds until it may grant


@dataclass(slots=True)
class _Candidacy:
    state: CandidateState = CandidateState.IDLE
    term: int = 0  # the term requested or held; 0 in IDLE and WAITING
    lease_expires_at: float = 0.0
    requested_at: float = 0.0  # time of the last request, renewals included
    next_attempt_at: float = 0.0
    highest_term: int = 0  # reported by voters of this node's views, or requested
    pending: dict[int, _PendingRequest] = field(default_factory=dict)  # by request id

    def clear_term(self, state: CandidateState) -> None:
        """Discard the term and all requests for it."""
        self.state = state
        self.term = 0
        self.lease_expires_at = 0.0
        self.pending.clear()


class Candidate:
    """One node as a candidate for each lease in `durations`. `voter` is the node's own."""

    def __init__(
        self, node: str, durations: dict[str, LeaseDurations], voter: Voter, outbox: Outbox, random: Random
    ) -> None:
        self._node = node
        self._durations = durations
        self._voter = voter
        self._outbox = outbox
        self._random = random
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._request_count = 0
        self._electorate = Electorate()
        self._candidacies = {lease: _Candidacy() for lease in durations}

    # Called by the owner

    def set_view(self, now: float, electorate: Electorate) -> None:
        """Request from these voters from now on. A lease that is held remains so until it expires."""
        for lease, candidacy in self._candidacies.items():
            candidacy.pending.clear()
            if candidacy.state is CandidateState.REQUESTING:
                self._withdraw(now, lease)  # sent to the voters of the earlier view
        self._electorate = electorate
        for candidacy in self._candidacies.values():
            if candidacy.state is not CandidateState.HOLDING:
                self._wait_for_turn(now, candidacy)

    def campaign(self, now: float, lease: str) -> None:
        """Try to hold the lease from now on, until it is released."""
        candidacy = self._candidacies[lease]
        if candidacy.state is CandidateState.IDLE:
            candidacy.state = CandidateState.WAITING
            self._wait_for_turn(now, candidacy)

    def fencing_token(self, now: float, lease: str) -> int | None:
        """The number of the term under which this node may act at `now`; None if it may not."""
        candidacy = self._candidacies[lease]
        may_act = candidacy.state is CandidateState.HOLDING and now < candidacy.lease_expires_at
        return candidacy.term if may_act else None

    def release(self, now: float, lease: str) -> None:
        """Stop acting and campaigning; voters can elect another candidate after the lock delay."""
        candidacy = self._candidacies[lease]
        held_term = self.fencing_token(now, lease)
        if candidacy.state is CandidateState.REQUESTING:
            self._withdraw(now, lease)
        candidacy.clear_term(CandidateState.IDLE)
        if held_term is not None:
            self._broadcast(now, LeaseRelease(lease, held_term, self._incarnation))

    def tick(self, now: float) -> None:
        """Send requests and renewals that are due; abandon attempts and leases that have timed out."""
        for lease, candidacy in self._candidacies.items():
            durations = self._durations[lease]
            if candidacy.state is CandidateState.HOLDING and now >= candidacy.lease_expires_at:
                candidacy.clear_term(CandidateState.WAITING)
                self._back_off(now, candidacy)
            if not self._electorate.voters:
                continue
            match candidacy.state:
                case CandidateState.WAITING if now >= candidacy.next_attempt_at:
                    self._start_attempt(now, lease)
                case CandidateState.REQUESTING if now >= candidacy.requested_at + durations.request_timeout_s:
                    self._withdraw(now, lease)
                    self._back_off(now, candidacy)
                case CandidateState.HOLDING if self._renewal_is_due(now, candidacy, durations):
                    self._request(now, lease, renewal=True)

    # Messages

    def on_grant(self, now: float, sender: str, grant: LeaseGrant) -> None:
        """Count a grant; a majority of them for one request elects this node, or renews its lease."""
        candidacy = self._candidacies[grant.lease]
        request = candidacy.pending.get(grant.request_id)
        if request is None or sender not in self._electorate.voters:
            return
        if grant.view != self._electorate.view or grant.term != candidacy.term:
            return
        request.granted.add(sender)
        if len(request.granted) < self._electorate.majority:
            return
        if candidacy.state is CandidateState.HOLDING and now >= candidacy.lease_expires_at:
            return  # the lease has expired: only a new term may follow
        expires_at = self._lease_start(request.requested_at, now) + self._durations[grant.lease].lease_s
        if now < expires_at:
            candidacy.state = CandidateState.HOLDING
            candidacy.lease_expires_at = max(candidacy.lease_expires_at, expires_at)
            self._forget_requests_before(candidacy, request.requested_at)

    def on_refusal(self, now: float, sender: str, refusal: LeaseRefusal) -> None:
        """Count a refusal; abandon an attempt that can no longer reach a majority."""
        candidacy = self._candidacies[refusal.lease]
        request = candidacy.pending.get(refusal.request_id)
        if refusal.view == self._electorate.view:
            candidacy.highest_term = max(candidacy.highest_term, refusal.term)
        if request is None or sender not in self._electorate.voters:
            return
        request.refused[sender] = refusal.wait_s
        not_refused_count = len(self._electorate.voters) - len(request.refused)
        needed_count = self._electorate.majority
        if candidacy.state is CandidateState.HOLDING or not_refused_count >= needed_count:
            return
        # Time until a majority may be free; voters that haven't refused count as free now.
        waits = sorted([0.0] * not_refused_count + list(request.refused.values()))
        self._withdraw(now, refusal.lease)
        self._back_off(now, candidacy, waits[needed_count - 1])

    def on_release(self, now: float, sender: str, release: LeaseRelease) -> None:
        """Another node has released the lease: schedule an attempt for after the lock delay."""
        candidacy = self._candidacies[release.lease]
        if sender != self._node and candidacy.state is CandidateState.WAITING:
            self._wait_for_turn(now + self._durations[release.lease].lock_delay_s, candidacy)

    # Attempts

    def _wait_for_turn(self, now: float, candidacy: _Candidacy) -> None:
        """Schedule an attempt; candidates follow each other in the order of their names."""
        rank = sum(voter < self._node for voter in self._electorate.voters)
        candidacy.next_attempt_at = now + CANDIDATE_SPACING_S * (rank + self._random.random())

    def _back_off(self, now: float, candidacy: _Candidacy, wait_s: float = 0.0) -> None:
        candidacy.next_attempt_at = now + wait_s + self._random.uniform(*BACKOFF_S)

    def _next_term(self, lease: str) -> int:
        """A number above all known terms.

        An incarnation requests each term once. If a term were reused, a delayed withdrawal could end a newer
        grant of it.
        """
        candidacy = self._candidacies[lease]
        known = max(
            candidacy.highest_term, self._voter.highest_term(lease), first_term_of(self._electorate.view)
        )
        candidacy.highest_term = known + 1
        return candidacy.highest_term

    def _start_attempt(self, now: float, lease: str) -> None:
        candidacy = self._candidacies[lease]
        candidacy.term = self._next_term(lease)
        candidacy.state = CandidateState.REQUESTING
        self._request(now, lease, renewal=False)

    def _renewal_is_due(self, now: float, candidacy: _Candidacy, durations: LeaseDurations) -> bool:
        may_request_again = now >= candidacy.requested_at + durations.renewal_interval_s
        return may_request_again and now >= candidacy.lease_expires_at - durations.renew_within_s

    def _request(self, now: float, lease: str, *, renewal: bool) -> None:
        candidacy = self._candidacies[lease]
        request_id = self._next_request_id()
        candidacy.requested_at = now
        candidacy.pending[request_id] = _PendingRequest(now)
        while len(candidacy.pending) > MAX_PENDING_REQUESTS:
            del candidacy.pending[next(iter(candidacy.pending))]
        self._broadcast(
            now,
            LeaseRequest(
                lease, self._electorate.view, candidacy.term, self._incarnation, request_id, renewal
            ),
        )

    def _next_request_id(self) -> int:
        """An id that is unique across incarnations, so that an answer matches one request only."""
        self._request_count += 1
        request_id = self._request_count << INCARNATION_BITS | self._incarnation >> 1
        return request_id & ((1 << REQUEST_ID_BITS) - 1)

    def _lease_start(self, requested_at: float, now: float) -> float:
        """A lease starts with its request: each voter counts its grant from a later moment."""
        return requested_at

    def _forget_requests_before(self, candidacy: _Candidacy, requested_at: float) -> None:
        candidacy.pending = {
            request_id: request
            for request_id, request in candidacy.pending.items()
            if request.requested_at >= requested_at
        }

    def _withdraw(self, now: float, lease: str) -> None:
        """Abandon a term that was requested and never held."""
        candidacy = self._candidacies[lease]
        term = candidacy.term
        candidacy.clear_term(CandidateState.WAITING)
        self._broadcast(now, LeaseWithdrawal(lease, term, self._incarnation))

    def _broadcast(self, now: float, message: LeaseRequest | LeaseRelease | LeaseWithdrawal) -> None:
        self._outbox.broadcast(now, self._electorate, message)
