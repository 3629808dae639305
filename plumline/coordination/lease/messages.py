"""The messages between candidates and voters, and their form on the wire.

On the wire each message is a list: its kind, the name of the lease, then the fields in the order of the type.
A term is sent as its number alone; the sender and its incarnation identify the owner of the term.
"""

from collections.abc import Container
from typing import Any, NamedTuple

from plumline.errors import PlumlineError

LEASE_MESSAGE_KIND = "ballot"  # the kind of the frame that carries one between registrars

WireMessage = list[Any]


class LeaseMessageError(PlumlineError):
    """A message that is not of this protocol; nothing of it was applied."""

    code, status = "ballot-message-invalid", 400


class LeaseRequest(NamedTuple):
    """A candidate asks a voter for the lease, or a holder asks it for a renewal."""

    lease: str
    view: int
    term: int
    incarnation: int  # of the candidate's process
    request_id: int  # echoed in the answer
    renewal: bool

    def to_wire(self) -> WireMessage:
        """The list that is sent."""
        return ["ask", self.lease, self.view, self.term, self.incarnation, self.request_id, self.renewal]


class LeaseGrant(NamedTuple):
    """A voter grants a request. It is sent once the term is durable at the voter."""

    lease: str
    view: int  # of the request
    term: int  # of the request
    request_id: int

    def to_wire(self) -> WireMessage:
        """The list that is sent."""
        return ["grant", self.lease, self.view, self.term, self.request_id]


class LeaseRefusal(NamedTuple):
    """A voter refuses a request."""

    lease: str
    view: int  # of the voter
    term: int  # the highest that the voter has granted
    request_id: int
    wait_s: float  # until the voter may grant the lease; 0.0 if waiting alone doesn't help

    def to_wire(self) -> WireMessage:
        """The list that is sent."""
        return ["refuse", self.lease, self.view, self.term, self.request_id, self.wait_s]


class LeaseRelease(NamedTuple):
    """A holder has stopped acting under its term, so that only the lock delay remains."""

    lease: str
    term: int
    incarnation: int

    def to_wire(self) -> WireMessage:
        """The list that is sent."""
        return ["release", self.lease, self.term, self.incarnation]


class LeaseWithdrawal(NamedTuple):
    """A candidate has abandoned a term under which it never held the lease, so no grant of it binds."""

    lease: str
    term: int
    incarnation: int

    def to_wire(self) -> WireMessage:
        """The list that is sent."""
        return ["withdraw", self.lease, self.term, self.incarnation]


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRefusal | LeaseRelease | LeaseWithdrawal


def message_from_wire(wire: WireMessage, leases: Container[str]) -> LeaseMessage | None:
    """The message encoded in `wire`, or None if it is about none of these `leases`.

    Raises LeaseMessageError if it has the form of no message type.
    """
    try:
        kind, lease, *fields = wire
        if lease not in leases:
            return None
    except (TypeError, ValueError) as error:
        raise LeaseMessageError(str(error)) from error
    match kind, fields:
        case "ask", [int(view), int(term), int(incarnation), int(request_id), bool(renewal)]:
            return LeaseRequest(lease, view, term, incarnation, request_id, renewal)
        case "grant", [int(view), int(term), int(request_id)]:
            return LeaseGrant(lease, view, term, request_id)
        case "refuse", [int(view), int(term), int(request_id), float(wait_s)]:
            return LeaseRefusal(lease, view, term, request_id, wait_s)
        case "release", [int(term), int(incarnation)]:
            return LeaseRelease(lease, term, incarnation)
        case "withdraw", [int(term), int(incarnation)]:
            return LeaseWithdrawal(lease, term, incarnation)
    raise LeaseMessageError(f"no such message: {kind!r}")
