"""Messages and stored records of the agreement on views, and their form on the wire and on the disk.

A proposal number is a list of two, a view is as `View.to_wire` gives it. `instance` is the number of the view
to be decided. Whatever concerns activation has a form of its own, beside those that earlier releases know and
that are sent or written wherever they suffice.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from plumline.coordination.environment import Message, Record
from plumline.coordination.view import ActivatedView, View

RECORD_KINDS = frozenset(
    {"view", "promise", "accept", "view-base", "accept-base", "view-activated", "view-abandoned"}
)


class ProposalNumber(NamedTuple):
    """Orders proposals for one view: by round, and within a round by proposer. No two proposals share one."""

    round: int
    proposer: str  # address of a registrar and a token of this life of its process

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "ProposalNumber":
        """Raises ValueError or TypeError where the wire form is none of a proposal number."""
        round_number, proposer = wire
        return cls(int(round_number), str(proposer))


NO_PROPOSAL = ProposalNumber(0, "")  # below every number that is proposed


class AcceptedProposal(NamedTuple):
    """What an acceptor has accepted last."""

    number: ProposalNumber
    view: View


# Messages


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1, proposer to acceptors: promise to take part in nothing with a lower number."""

    instance: int
    number: ProposalNumber
    #: The proposed view abandons its predecessor: promise also not to take part in activating that one.
    abandons: bool = False

    def to_wire(self) -> Message:
        """The message as it is sent."""
        wire = ["view-prepare", self.instance, list(self.number)]
        return [*wire, True] if self.abandons else wire


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1, an acceptor's answer: what it has accepted before, if anything."""

    instance: int
    number: ProposalNumber
    accepted: AcceptedProposal | None
    #: Whether the view before `instance` is activated, as far as the acceptor knows. None: not asked for.
    activated: bool | None = None

    def to_wire(self) -> Message:
        """The message as it is sent."""
        accepted = None
        if self.accepted is not None:
            accepted = [list(self.accepted.number), self.accepted.view.to_wire()]
        wire = ["view-promise", self.instance, list(self.number), accepted]
        return wire if self.activated is None else [*wire, self.activated]


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2, proposer to acceptors: accept this view."""

    instance: int
    number: ProposalNumber
    view: View

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-accept", self.instance, list(self.number), self.view.to_wire()]


@dataclass(frozen=True, slots=True)
class Accepted:
    """Phase 2, an acceptor's answer."""

    instance: int
    number: ProposalNumber

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-accepted", self.instance, list(self.number)]


@dataclass(frozen=True, slots=True)
class Refused:
    """An acceptor's answer in either phase: it has promised a higher number."""

    instance: int
    promised: ProposalNumber

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-refused", self.instance, list(self.promised)]


@dataclass(frozen=True, slots=True)
class Decided:
    """A view that was decided, sent to all who are in it or were in the one before, and to who asks."""

    view: View

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-decided", self.view.to_wire()]


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for the newest view that the receiver knows."""

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-ask"]


@dataclass(frozen=True, slots=True)
class Activate:
    """From the tail of a view to its acceptors: the chain holds all that was acknowledged before."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-activate", self.view_number]


@dataclass(frozen=True, slots=True)
class Activated:
    """An acceptor's answer: it has that on its disk."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-activated", self.view_number]


@dataclass(frozen=True, slots=True)
class Abandoned:
    """An acceptor's answer: it has promised not to take part in activating this view."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-abandoned", self.view_number]


ViewMessage = (
    Prepare | Promise | Accept | Accepted | Refused | Decided | ViewRequest | Activate | Activated | Abandoned
)


def decode_message(message: Message) -> ViewMessage | None:
    """The message typed; None for one of another protocol.

    Raises ValueError or TypeError where its kind is one of these and a field is malformed.
    """
    match message:
        case ["view-prepare", int(instance), number]:
            return Prepare(instance, ProposalNumber.from_wire(number))
        case ["view-prepare", int(instance), number, True]:
            return Prepare(instance, ProposalNumber.from_wire(number), abandons=True)
        case ["view-promise", int(instance), number, accepted]:
            return Promise(instance, ProposalNumber.from_wire(number), _accepted_from_wire(accepted))
        case ["view-promise", int(instance), number, accepted, bool(activated)]:
            return Promise(
                instance, ProposalNumber.from_wire(number), _accepted_from_wire(accepted), activated
            )
        case ["view-accept", int(instance), number, view]:
            return Accept(instance, ProposalNumber.from_wire(number), View.from_wire(view))
        case ["view-accepted", int(instance), number]:
            return Accepted(instance, ProposalNumber.from_wire(number))
        case ["view-refused", int(instance), promised]:
            return Refused(instance, ProposalNumber.from_wire(promised))
        case ["view-decided", view]:
            return Decided(View.from_wire(view))
        case ["view-ask"]:
            return ViewRequest()
        case ["view-activate", int(view_number)]:
            return Activate(view_number)
        case ["view-activated", int(view_number)]:
            return Activated(view_number)
        case ["view-abandoned", int(view_number)]:
            return Abandoned(view_number)
    return None


def _accepted_from_wire(wire: list[Any] | None) -> AcceptedProposal | None:
    if wire is None:
        return None
    return AcceptedProposal(ProposalNumber.from_wire(wire[0]), View.from_wire(wire[1]))


# Records. The base of a view is a record before that of the view, so that a file whose end was lost never has
# a view without its base, and an earlier release reads the view alone.


@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A decided view: what was promised and accepted for it, and before it, is over."""

    view: View

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view", self.view.to_wire_without_base()]


@dataclass(frozen=True, slots=True)
class ViewBaseRecord:
    """The base of a decided view, whose own record follows."""

    view_number: int
    base: ActivatedView

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view-base", self.view_number, self.base.to_wire()]


@dataclass(frozen=True, slots=True)
class PromiseRecord:
    """The highest number that this acceptor has promised."""

    instance: int
    number: ProposalNumber

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["promise", self.instance, list(self.number)]


@dataclass(frozen=True, slots=True)
class AcceptRecord:
    """What this acceptor has accepted; its number is promised with it."""

    instance: int
    number: ProposalNumber
    view: View

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["accept", self.instance, list(self.number), self.view.to_wire_without_base()]


@dataclass(frozen=True, slots=True)
class AcceptBaseRecord:
    """The base of an accepted view, whose own record follows."""

    instance: int
    number: ProposalNumber
    base: ActivatedView

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["accept-base", self.instance, list(self.number), self.base.to_wire()]


@dataclass(frozen=True, slots=True)
class ActivatedRecord:
    """This acceptor takes part in activating the view: it never promises to abandon it without saying so."""

    view_number: int

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view-activated", self.view_number]


@dataclass(frozen=True, slots=True)
class AbandonedRecord:
    """This acceptor takes no part in activating the view any more."""

    view_number: int

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view-abandoned", self.view_number]


ViewAgreementRecord = (
    ViewRecord
    | ViewBaseRecord
    | PromiseRecord
    | AcceptRecord
    | AcceptBaseRecord
    | ActivatedRecord
    | AbandonedRecord
)


def decode_record(record: Record) -> ViewAgreementRecord | None:
    """The record typed; None for one of another protocol."""
    match record:
        case ["view", view]:
            return ViewRecord(View.from_wire(view))
        case ["view-base", view_number, base]:
            return ViewBaseRecord(view_number, ActivatedView.from_wire(base))
        case ["promise", instance, number]:
            return PromiseRecord(instance, ProposalNumber.from_wire(number))
        case ["accept", instance, number, view]:
            return AcceptRecord(instance, ProposalNumber.from_wire(number), View.from_wire(view))
        case ["accept-base", instance, number, base]:
            return AcceptBaseRecord(instance, ProposalNumber.from_wire(number), ActivatedView.from_wire(base))
        case ["view-activated", view_number]:
            return ActivatedRecord(view_number)
        case ["view-abandoned", view_number]:
            return AbandonedRecord(view_number)
    return None
