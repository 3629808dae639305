"""The voter of a node: it grants leases to candidates and stores the terms that it has granted.

For each lease a voter is in one of three states:

- ABSTAINING, until `abstains_until`: it may have made grants that still bind, or may not know of some. It
  grants only renewals: a renewal shows that a majority elected its sender and nobody else.
- BOUND, until `grant_expires_at`: it has granted the lease to `grantee` and grants it to nobody else.
- FREE: it grants the lease to the first candidate that requests it under a high enough term.

    ABSTAINING --time--> FREE --request granted--> BOUND --time, release, withdrawal--> FREE
    any state --a view with unknown grants before it--> ABSTAINING

In any state a request is granted only in the current view, and only until this voter accepts the view's
successor.
"""

from collections.abc import Iterable
from dataclasses import dataclass

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
from plumline.coordination.lease.records import NO_TERM, Term, TermRecord
from plumline.coordination.lease.view_history import ViewHistory


@dataclass(slots=True)
class _Vote:
    """What this voter has granted for one lease."""

    term: Term = NO_TERM  # the highest term granted
    synced_term: int = 0  # the highest term known to be durable
    grantee: str = ""  # the node that the grant was made to
    grant_expires_at: float = 0.0
    earlier_grant_expires_at: float = 0.0  # of the grantee's earlier terms, which may have been held
    abstains_until: float = 0.0


class Voter:
    """One node as a voter for each lease in `durations`."""

    def __init__(self, node: str, durations: dict[str, LeaseDurations], outbox: Outbox) -> None:
        self._node = node
        self._durations = durations
        self._outbox = outbox
        self._electorate = Electorate()
        self._superseded_view = -1  # the highest view whose successor this voter has accepted
        self._history = ViewHistory()
        self._votes = {lease: _Vote() for lease in durations}

    # Durable state

    def restore(self, records: Iterable[TermRecord]) -> None:
        """Replay durable records, before any other call. Records of unknown leases are ignored."""
        for record in records:
            vote = self._votes.get(record.lease)
            if vote is not None and record.term.number > vote.term.number:
                vote.term, vote.synced_term = record.term, record.term.number

    def records(self) -> list[TermRecord]:
        """The whole durable state."""
        return [TermRecord(lease, vote.term) for lease, vote in self._votes.items() if vote.term.number]

    def on_synced(self, record: TermRecord) -> None:
        """The record is durable: further grants of its term need no record."""
        vote = self._votes[record.lease]
        vote.synced_term = max(vote.synced_term, record.term.number)

    def highest_term(self, lease: str) -> int:
        """The number of the highest term that this voter has granted."""
        return self._votes[lease].term.number

    # Views

    def set_view(self, now: float, electorate: Electorate, *, created_now: bool) -> None:
        """Vote in this view from now on; abstain as long as grants unknown to this node may bind.

        `created_now`: this process has just taken part in forming the first view, so there was no earlier
        one.
        """
        previous = self._electorate
        nothing_granted = not any(vote.term.number for vote in self._votes.values())
        is_first_view = created_now and electorate.view == 1 and nothing_granted
        # Views before the previous one could reach no majority after this node learned of the previous one.
        # Their earlier grants it has taken into account, or has abstained for.
        voted_in_previous = self._node in previous.voters and previous.view == electorate.view - 1
        self._history.add(now, previous)
        for lease, durations in self._durations.items():
            vote = self._votes[lease]
            if is_first_view:
                vote.abstains_until = now
            elif not voted_in_previous:
                vote.abstains_until = now + durations.lease_s + durations.lock_delay_s
            else:
                earlier_end = self._earlier_grants_end_at(electorate, durations.grant_s)
                vote.abstains_until = max(vote.abstains_until, earlier_end)
        longest_grant_s = max((durations.grant_s for durations in self._durations.values()), default=0.0)
        self._history.prune(now, longest_grant_s)
        self._electorate = electorate

    def stop_granting(self, view: int) -> None:
        """Grant nothing more in `view`, renewals included: this node has accepted its successor.

        The successor may be decided without this node learning of the decision. To be called before the
        acceptance is sent, and after a restart.
        """
        self._superseded_view = max(self._superseded_view, view)

    # Messages

    def on_request(self, now: float, sender: str, request: LeaseRequest) -> None:
        """Grant or refuse a request."""
        vote = self._votes[request.lease]
        term = Term.of(request.term, sender, request.incarnation)
        wait_s = self._wait_s(now, vote, sender, renewal=request.renewal)
        is_rising_or_same = term.number > vote.term.number or term == vote.term
        if not self._may_grant_in(request.view) or wait_s > 0.0 or not is_rising_or_same:
            refusal = LeaseRefusal(
                request.lease, self._electorate.view, vote.term.number, request.request_id, wait_s
            )
            self._outbox.send(now, sender, refusal)
            return
        self._bind(now, request.lease, vote, sender, term)
        grant = LeaseGrant(request.lease, request.view, request.term, request.request_id)
        if vote.synced_term >= term.number:
            self._outbox.send(now, sender, grant)
        else:
            # A voter that lost its term in a crash could grant a lower one, and tokens would not rise.
            self._outbox.persist(TermRecord(request.lease, term), sender, grant)

    def on_release(self, now: float, sender: str, release: LeaseRelease) -> None:
        """The holder has stopped acting under this term: the grant ends after the lock delay."""
        vote = self._votes[release.lease]
        if vote.term == Term.of(release.term, sender, release.incarnation):
            delay_ends_at = now + self._durations[release.lease].lock_delay_s
            vote.grant_expires_at = max(
                vote.earlier_grant_expires_at, min(vote.grant_expires_at, delay_ends_at)
            )

    def on_withdrawal(self, sender: str, withdrawal: LeaseWithdrawal) -> None:
        """The lease was never held under this term: only grants of the sender's earlier terms bind."""
        vote = self._votes[withdrawal.lease]
        if vote.term == Term.of(withdrawal.term, sender, withdrawal.incarnation):
            vote.grant_expires_at = vote.earlier_grant_expires_at

    # Rules

    def _grant_s(self, lease: str) -> float:
        return self._durations[lease].grant_s

    def _earlier_grants_end_at(self, electorate: Electorate, grant_s: float) -> float:
        return self._history.last_grant_ends_at(electorate, grant_s)

    def _may_grant_in(self, view: int) -> bool:
        is_current = view == self._electorate.view and view > self._superseded_view
        return is_current and self._node in self._electorate.voters

    def _is_free_for(self, now: float, vote: _Vote, candidate: str) -> bool:
        return vote.grantee in ("", candidate) or now >= vote.grant_expires_at

    def _is_abstaining(self, now: float, vote: _Vote) -> bool:
        return now < vote.abstains_until

    def _wait_s(self, now: float, vote: _Vote, candidate: str, *, renewal: bool) -> float:
        """How long an earlier grant or abstaining prevents a grant to the candidate; 0.0 if neither."""
        wait_s = 0.0
        if not self._is_free_for(now, vote, candidate):
            wait_s = vote.grant_expires_at - now
        if self._is_abstaining(now, vote) and not renewal:
            wait_s = max(wait_s, vote.abstains_until - now)
        return wait_s

    def _bind(self, now: float, lease: str, vote: _Vote, grantee: str, term: Term) -> None:
        """Grant the lease to a node from now on."""
        if vote.grantee != grantee:
            vote.earlier_grant_expires_at = 0.0
        elif term.number > vote.term.number:
            # The node may have held its earlier term. A withdrawal of the new one must not end that grant.
            vote.earlier_grant_expires_at = max(vote.earlier_grant_expires_at, vote.grant_expires_at)
        vote.grantee, vote.grant_expires_at = grantee, now + self._grant_s(lease)
        vote.term = term
