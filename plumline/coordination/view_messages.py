"""Messages and stored records of the agreement on views, and their encoding on the wire and on the disk.

A proposal number is encoded as a list of two, a view as by `View.to_wire`. `instance` is the number of the
view to be decided. Activation has its own messages and longer forms of existing ones; the forms that earlier
releases know are used wherever they suffice.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from plumline.coordination.environment import Message, Record
from plumline.coordination.view import ActivatedView, View

RECORD_KINDS = frozenset(
    {"view", "promise", "accept", "view-base", "accept-base", "view-activated", "view-abandoned"}
)


class ProposalNumber(NamedTuple):
    """Orders proposals for one view: by round, then by proposer. Each number is used once."""

    round: int
    proposer: str  # address of a registrar and a token of its process run

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "ProposalNumber":
        """Raises ValueError or TypeError if the wire form is not a proposal number."""
        round_number, proposer = wire
        return cls(int(round_number), str(proposer))


NO_PROPOSAL = ProposalNumber(0, "")  # below every proposed number


class AcceptedProposal(NamedTuple):
    """The proposal that an acceptor accepted last."""

    number: ProposalNumber
    view: View


# Messages


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1, proposer to acceptors: promise to accept no proposal with a lower number."""

    instance: int
    number: ProposalNumber
    #: Whether the proposed view abandons its predecessor: the promise then includes not to activate that one.
    abandons: bool = False

    def to_wire(self) -> Message:
        """The message as it is sent."""
        wire = ["view-prepare", self.instance, list(self.number)]
        return [*wire, True] if self.abandons else wire


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1, an acceptor's answer: the proposal that it accepted before, if any."""

    instance: int
    number: ProposalNumber
    accepted: AcceptedProposal | None
    #: Whether the acceptor knows the view before `instance` to be activated. None: not requested.
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
    """A decided view, sent to the members of it and of its predecessor, and on request."""

    view: View

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-decided", self.view.to_wire()]


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Requests the newest view that the receiver knows."""

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-ask"]


@dataclass(frozen=True, slots=True)
class Activate:
    """From the tail of a view to its acceptors: the chain holds all entries acknowledged before."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-activate", self.view_number]


@dataclass(frozen=True, slots=True)
class Activated:
    """An acceptor's answer: it has synced the activation to its disk."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-activated", self.view_number]


@dataclass(frozen=True, slots=True)
class Abandoned:
    """An acceptor's answer: it has promised not to help activate this view."""

    view_number: int

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-abandoned", self.view_number]


ViewMessage = (
    Prepare | Promise | Accept | Accepted | Refused | Decided | ViewRequest | Activate | Activated | Abandoned
)


def decode_message(message: Message) -> ViewMessage | None:
    """The decoded message; None for one of another protocol.

    Raises ValueError or TypeError if the kind is one of these and a field is malformed.
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


# Records. The base of a view is stored in a separate record before that of the view: a truncated file then
# never has a view without its base, and an earlier release can read the view record alone.


@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A decided view; it supersedes the promises and acceptances recorded for it and for earlier views."""

    view: View

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view", self.view.to_wire_without_base()]


@dataclass(frozen=True, slots=True)
class ViewBaseRecord:
    """The base of a decided view, whose record follows."""

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
    """The proposal that this acceptor has accepted; its number counts as promised, too."""

    instance: int
    number: ProposalNumber
    view: View

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["accept", self.instance, list(self.number), self.view.to_wire_without_base()]


@dataclass(frozen=True, slots=True)
class AcceptBaseRecord:
    """The base of an accepted view, whose record follows."""

    instance: int
    number: ProposalNumber
    base: ActivatedView

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["accept-base", self.instance, list(self.number), self.base.to_wire()]


@dataclass(frozen=True, slots=True)
class ActivatedRecord:
    """This acceptor helps to activate the view, and reports so in any later promise to abandon it."""

    view_number: int

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view-activated", self.view_number]


@dataclass(frozen=True, slots=True)
class AbandonedRecord:
    """This acceptor no longer helps to activate the view."""

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
    """The decoded record; None for one of another protocol."""
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
