"""Agreement on views: single-decree Paxos, one instance a view.

The acceptors of view n decide view n+1, so each change of members, including one of the acceptors, needs a
majority of the old acceptors, and views form a single sequence. An acceptor syncs a promise or an acceptance
to its disk before it answers the proposer. See docs/system.md, and Lamport, "Paxos Made Simple" (2001).

A view is activated by a majority of its acceptors (`plumline.coordination.view`). A successor based on an
earlier view abandons it. An acceptor that has promised such a successor no longer helps to activate the view,
and one that has helped reports so in its promise, so at most one of the two reaches a majority. The proof is
in docs/control-safety/activation.md.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.view import View
from plumline.coordination.view_messages import (
    NO_PROPOSAL,
    Abandoned,
    AbandonedRecord,
    Accept,
    AcceptBaseRecord,
    Accepted,
    AcceptedProposal,
    AcceptRecord,
    Activate,
    Activated,
    ActivatedRecord,
    Decided,
    Prepare,
    Promise,
    PromiseRecord,
    ProposalNumber,
    Refused,
    ViewBaseRecord,
    ViewRecord,
    ViewRequest,
    decode_message,
    decode_record,
)

#: Seconds without a result after which a proposal counts as failed and another may be made.
PROPOSAL_TIMEOUT_S = 0.5
#: Bounds of the random factor that PROPOSAL_TIMEOUT_S is multiplied by to get the minimum time between two
#: proposals of one registrar. The jitter keeps competing proposers from preempting each other repeatedly.
RETRY_FACTORS = (0.6, 1.4)


@dataclass(slots=True)
class Proposal:
    """A proposal of this registrar that is in progress."""

    proposed_view: View
    number: ProposalNumber
    started_at: float  # s, steady clock
    promises: dict[str, AcceptedProposal | None] = field(default_factory=dict)  # by acceptor's address
    #: Sent to the acceptors in phase 2; None before. Not `proposed_view` if a promise reports another one.
    chosen_view: View | None = None
    acceptances: set[str] = field(default_factory=set)  # addresses of acceptors


class ViewAgreement:
    """One registrar's part in the agreement on views, as acceptor, proposer and learner."""

    def __init__(
        self, local_member: Member, environment: Environment, on_installed: Callable[[View], None]
    ) -> None:
        """`on_installed` is called with each newly decided view, once it is synced to the disk."""
        self.local_member, self.environment, self.on_installed = local_member, environment, on_installed
        self.view: View | None = None  # the newest view known to be decided, and synced to the disk
        # As an acceptor of the view after `view`.
        self.promised = NO_PROPOSAL
        self.accepted: AcceptedProposal | None = None
        # As an acceptor of `view`.
        self.activated = False  # whether its chain is known to hold all entries acknowledged before
        self.abandoned = False  # has promised not to help activate it
        self._activating = False  # helps to activate it; the record may not be synced yet
        self._activation_synced = False
        # As a proposer.
        self.proposer_name = f"{local_member.address}/{secrets.token_hex(4)}"  # unique to each process run
        self.proposal: Proposal | None = None
        self.highest_round = 0  # ever seen
        self.next_proposal_at = 0.0
        # As a learner.
        self.unsynced_view: View | None = None  # decided, but still being written to the disk
        # During replay: each base record precedes the record of the view that it belongs to.
        self._restored_view_base: ViewBaseRecord | None = None
        self._restored_accept_base: AcceptBaseRecord | None = None

    # State

    def restore(self, record: Record) -> None:
        """Replays one durable record; records of other protocols are ignored."""
        match decode_record(record):
            case ViewBaseRecord() as base:
                self._restored_view_base = base
            case AcceptBaseRecord() as base:
                self._restored_accept_base = base
            case ViewRecord(view):
                base = self._restored_view_base
                matches = base is not None and base.view_number == view.number
                self._set_view(replace(view, base=base.base) if base and matches else view)
            case PromiseRecord(instance, number) if self.is_next(instance):
                self.promised = max(self.promised, number)
            case AcceptRecord(instance, number, view) if self.is_next(instance):
                self.promised = max(self.promised, number)
                base = self._restored_accept_base
                matches = base is not None and (base.instance, base.number) == (instance, number)
                accepted = replace(view, base=base.base) if base and matches else view
                self.accepted = AcceptedProposal(number, accepted)
            case ActivatedRecord(number) if self._is_current(number):
                self.activated = self._activating = self._activation_synced = True
            case AbandonedRecord(number) if self._is_current(number):
                self.abandoned = True
        self.highest_round = max(self.highest_round, self.promised.round)

    def records(self) -> list[Record]:
        """The records from which `restore` rebuilds the current state."""
        records: list[Record] = []
        if self.view is not None:
            instance = self.view.number + 1
            records += _records_of_view(self.view)
            if self._activating:
                records.append(ActivatedRecord(self.view.number).to_wire())
            if self.abandoned:
                records.append(AbandonedRecord(self.view.number).to_wire())
            if self.promised > NO_PROPOSAL:
                records.append(PromiseRecord(instance, self.promised).to_wire())
            if self.accepted:
                records += _records_of_acceptance(instance, self.accepted)
        if self.unsynced_view is not None:
            records += _records_of_view(self.unsynced_view)
        return records

    def knows_any_view(self) -> bool:
        """Whether this registrar knows of a decided view."""
        return self.view is not None or self.unsynced_view is not None

    def is_acceptor(self) -> bool:
        """Whether this registrar votes in the current view."""
        return self.view is not None and self.local_member in self.view.acceptors

    def is_next(self, instance: int) -> bool:
        """Whether this is the number of the view to be decided next."""
        return self.view is not None and instance == self.view.number + 1

    def _is_current(self, view_number: int) -> bool:
        return self.view is not None and view_number == self.view.number

    def knows_no_successor(self, number: int) -> bool:
        """Whether view `number` is the current one, and this acceptor has accepted no successor."""
        return self.view is not None and self.view.number == number and self.accepted is None

    def _set_view(self, view: View) -> None:
        self.view, self.promised, self.accepted, self.proposal = view, NO_PROPOSAL, None, None
        self.activated, self.abandoned = view.base is None, False
        self._activating = self._activation_synced = False

    # Proposer

    def propose(self, now: float, random: Random, view: View) -> None:
        """Proposes `view`, the successor of the current one, to the acceptors; another view may be decided.

        Does nothing while a proposal of this registrar is in progress. It need not be an acceptor. The
        proposal is dropped if `view` abandons the current view and an acceptor reports that one as activated.
        """
        if self.view is None or view.number != self.view.number + 1:
            return
        if now < self.next_proposal_at or self._is_proposing(now):
            return
        self.highest_round += 1
        number = ProposalNumber(self.highest_round, self.proposer_name)
        self.proposal = Proposal(view, number, now)
        self.next_proposal_at = now + PROPOSAL_TIMEOUT_S * random.uniform(*RETRY_FACTORS)
        request = Prepare(view.number, number, view.abandons_its_predecessor()).to_wire()
        for acceptor in self.view.acceptors:
            self.environment.send(acceptor.address, request)

    def on_promise(self, sender: str, promise: Promise) -> None:
        """Once a majority has promised, sends the acceptors a view to accept: the one accepted under the
        highest number, or the proposed one if none was accepted."""
        proposal = self._proposal_for(promise.instance, promise.number)
        if self.view is None or proposal is None or proposal.chosen_view:
            return
        proposal.promises[sender] = promise.accepted
        self.activated |= promise.activated is True
        if len(proposal.promises) < self.view.majority():
            return
        accepted = [each for each in proposal.promises.values() if each is not None]
        newest = max(accepted, key=lambda each: each.number, default=None)
        if newest is None and self.activated and proposal.proposed_view.abandons_its_predecessor():
            self.proposal = None  # the base lacks what was committed in the current view
            return
        proposal.chosen_view = newest.view if newest else proposal.proposed_view
        request = Accept(promise.instance, promise.number, proposal.chosen_view).to_wire()
        for acceptor in self.view.acceptors:
            self.environment.send(acceptor.address, request)

    def on_accepted(self, sender: str, accepted: Accepted) -> None:
        """Once a majority has accepted the view, sends it as decided to the members of both views."""
        proposal = self._proposal_for(accepted.instance, accepted.number)
        if self.view is None or proposal is None:
            return
        proposal.acceptances.add(sender)
        decided = proposal.chosen_view
        if len(proposal.acceptances) < self.view.majority() or decided is None:
            return
        recipients = (*self.view.acceptors, *self.view.chain, *decided.acceptors, *decided.chain)
        self.proposal = None
        message = Decided(decided).to_wire()
        for address in sorted({member.address for member in recipients}):
            self.environment.send(address, message)

    def _is_proposing(self, now: float) -> bool:
        return self.proposal is not None and now - self.proposal.started_at < PROPOSAL_TIMEOUT_S

    def _proposal_for(self, instance: int, number: ProposalNumber) -> Proposal | None:
        """The proposal that an acceptor's answer belongs to; None if it has ended."""
        if self.proposal is None or not self.is_next(instance) or number != self.proposal.number:
            return None
        return self.proposal

    # Acceptor

    def on_prepare(self, sender: str, prepare: Prepare) -> None:
        """Promises the number if it is above all promised before, and answers once the promise is synced."""
        instance, number = prepare.instance, prepare.number
        if not self.is_next(instance):
            self._on_other_instance(sender, instance)
            return
        self.highest_round = max(self.highest_round, number.round)
        if not self.is_acceptor():
            return
        if number <= self.promised:
            self.environment.send(sender, Refused(instance, self.promised).to_wire())
            return
        self.promised = number
        activated = None
        if prepare.abandons:
            activated = self.activated
            self._stop_activating(instance - 1)
        reply = Promise(instance, number, self.accepted_to_report(), activated).to_wire()
        self.environment.persist(
            PromiseRecord(instance, number).to_wire(), lambda: self.environment.send(sender, reply)
        )

    def accepted_to_report(self) -> AcceptedProposal | None:
        """The accepted proposal that a promise of this acceptor reports."""
        return self.accepted

    def on_accept(self, sender: str, accept: Accept) -> None:
        """Accepts the view unless a higher number was promised, and answers once the acceptance is synced."""
        instance, number, view = accept.instance, accept.number, accept.view
        if not self.is_next(instance):
            self._on_other_instance(sender, instance)
            return
        if not self.is_acceptor():
            return
        if number < self.promised:
            self.environment.send(sender, Refused(instance, self.promised).to_wire())
            return
        self.promised, self.accepted = number, AcceptedProposal(number, view)
        reply = Accepted(instance, number).to_wire()
        *base_records, record = _records_of_acceptance(instance, self.accepted)
        for each in base_records:
            self.environment.persist(each, _no_action)
        self.environment.persist(record, lambda: self.environment.send(sender, reply))

    def _on_other_instance(self, sender: str, instance: int) -> None:
        """One of the two registrars lacks a view: sends it to the peer, or requests it."""
        if self.view is not None and instance <= self.view.number:
            self.environment.send(sender, Decided(self.view).to_wire())
        else:
            self.environment.send(sender, ViewRequest().to_wire())

    # Activation, at an acceptor

    def _stop_activating(self, view_number: int) -> None:
        """Refuses to activate the view from now on; the record is synced before that of the promise."""
        if not self.abandoned:
            self.abandoned = True
            self.environment.persist(AbandonedRecord(view_number).to_wire(), _no_action)

    def on_activate(self, sender: str, view_number: int) -> None:
        """Records the activation of the current view and answers once that is synced; refuses if it has
        promised to abandon the view."""
        if not self._is_current(view_number):
            self._on_other_instance(sender, view_number + 1)
            return
        if not self.is_acceptor():
            return
        if self.abandoned and not self._activating:
            self.environment.send(sender, Abandoned(view_number).to_wire())
            return
        reply = Activated(view_number).to_wire()
        if self._activation_synced:
            self.environment.send(sender, reply)
        if self._activating:
            return
        self.activated = self._activating = True

        def on_synced() -> None:
            if self._is_current(view_number):
                self._activation_synced = True
                self.environment.send(sender, reply)

        self.environment.persist(ActivatedRecord(view_number).to_wire(), on_synced)

    # Learner

    def on_decided(self, view: View) -> None:
        """Stores the view and installs it once it is synced, if it is newer than the newest known one."""
        known = self.unsynced_view or self.view
        if known is not None and view.number <= known.number:
            return
        self.unsynced_view = view

        def on_synced() -> None:
            if self.unsynced_view is view:
                self.unsynced_view = None
            if self.view is None or view.number > self.view.number:
                self._set_view(view)
                self.on_installed(view)

        *base_records, record = _records_of_view(view)
        for each in base_records:
            self.environment.persist(each, _no_action)
        self.environment.persist(record, on_synced)

    def on_peer_view_number(self, sender: str, number: int) -> None:
        """Requests the view of a peer that has reported a higher view number."""
        if number > (self.view.number if self.view else 0):
            self.environment.send(sender, ViewRequest().to_wire())

    def on_message(self, sender: str, message: Message) -> bool:
        """Handles a message of this protocol; returns False for any other."""
        decoded = decode_message(message)
        if decoded is None:
            return False
        match decoded:
            case Prepare() as prepare:
                self.on_prepare(sender, prepare)
            case Promise() as promise:
                self.on_promise(sender, promise)
            case Accept() as accept:
                self.on_accept(sender, accept)
            case Accepted() as accepted:
                self.on_accepted(sender, accepted)
            case Refused() as refused:
                self.highest_round = max(self.highest_round, refused.promised.round)
            case Decided() as decided:
                self.on_decided(decided.view)
            case ViewRequest():
                if self.view is not None:
                    self.environment.send(sender, Decided(self.view).to_wire())
            case Activate(view_number):
                self.on_activate(sender, view_number)
            case Activated() | Abandoned():
                return False  # handled by the tail's `ViewActivation`
        return True


def _no_action() -> None:
    """Callback for a record whose sync needs no action."""


def _records_of_view(view: View) -> list[Record]:
    """The records of a decided view, in the order in which they are stored."""
    record = ViewRecord(view).to_wire()
    if view.base is None:
        return [record]
    return [ViewBaseRecord(view.number, view.base).to_wire(), record]


def _records_of_acceptance(instance: int, accepted: AcceptedProposal) -> list[Record]:
    """The records of an accepted proposal, in the order in which they are stored."""
    number, view = accepted
    record = AcceptRecord(instance, number, view).to_wire()
    if view.base is None:
        return [record]
    return [AcceptBaseRecord(instance, number, view.base).to_wire(), record]
