"""Messages and stored records of the agreement on views, and their form on the wire and on the disk.

A proposal number is a list of two, a view is as `View.to_wire` gives it. `instance` is the number of the view
to be decided.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from plumline.coordination.environment import Message, Record
from plumline.coordination.view import View

RECORD_KINDS = frozenset({"view", "promise", "accept"})


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

    def to_wire(self) -> Message:
        """The message as it is sent."""
        return ["view-prepare", self.instance, list(self.number)]


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1, an acceptor's answer: what it has accepted before, if anything."""

    instance: int
    number: ProposalNumber
    accepted: AcceptedProposal | None

    def to_wire(self) -> Message:
        """The message as it is sent."""
        accepted = None
        if self.accepted is not None:
            accepted = [list(self.accepted.number), self.accepted.view.to_wire()]
        return ["view-promise", self.instance, list(self.number), accepted]


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


ViewMessage = Prepare | Promise | Accept | Accepted | Refused | Decided | ViewRequest


def decode_message(message: Message) -> ViewMessage | None:
    """The message typed; None for one of another protocol.

    Raises ValueError or TypeError where its kind is one of these and a field is malformed.
    """
    match message:
        case ["view-prepare", int(instance), number]:
            return Prepare(instance, ProposalNumber.from_wire(number))
        case ["view-promise", int(instance), number, accepted]:
            return Promise(instance, ProposalNumber.from_wire(number), _accepted_from_wire(accepted))
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
    return None


def _accepted_from_wire(wire: list[Any] | None) -> AcceptedProposal | None:
    if wire is None:
        return None
    return AcceptedProposal(ProposalNumber.from_wire(wire[0]), View.from_wire(wire[1]))


# Records


@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A decided view: what was promised and accepted for it, and before it, is over."""

    view: View

    def to_wire(self) -> Record:
        """The record as it is stored."""
        return ["view", self.view.to_wire()]


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
        return ["accept", self.instance, list(self.number), self.view.to_wire()]


def decode_record(record: Record) -> ViewRecord | PromiseRecord | AcceptRecord | None:
    """The record typed; None for one of another protocol."""
    match record:
        case ["view", view]:
            return ViewRecord(View.from_wire(view))
        case ["promise", instance, number]:
            return PromiseRecord(instance, ProposalNumber.from_wire(number))
        case ["accept", instance, number, view]:
            return AcceptRecord(instance, ProposalNumber.from_wire(number), View.from_wire(view))
    return None
