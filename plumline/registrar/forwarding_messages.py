"""The messages of request forwarding, from one registrar to another, and their form on the wire.

    ["ask", key, ["submit", change]]      a change for the head
    ["ask", key, ["read"]]                a read of the configuration, for the tail
    ["ask", key, ["read", service]]       a read of a service's roll-out, for the tail
    ["answer", key, code, text, result]   the response; code is nil where there is no error

The key identifies the request; the registrar that forwards it chooses a random one.
"""

from typing import NamedTuple

from plumline.configuration.document import Document
from plumline.coordination.environment import Message
from plumline.coordination.log import Change


class ForwardedWrite(NamedTuple):
    """A change for the head to submit to the chain."""

    key: str
    change: Change

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["ask", self.key, ["submit", self.change]]


class ForwardedRead(NamedTuple):
    """A read for the tail to serve."""

    key: str
    service: str | None = None  # whose roll-out is read; None: reads the configuration

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["ask", self.key, ["read"] if self.service is None else ["read", self.service]]


class ForwardingResponse(NamedTuple):
    """The result of the request with this key, or its error."""

    key: str
    error_code: str | None  # of a PlumlineError; None: no error
    error_text: str  # empty where there is no error
    result: Document | None

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["answer", self.key, self.error_code, self.error_text, self.result]


ForwardedRequest = ForwardedWrite | ForwardedRead
ForwardingMessage = ForwardedWrite | ForwardedRead | ForwardingResponse


def forwarding_message_from_wire(message: Message) -> ForwardingMessage | None:
    """Parses a message; returns None if its kind or form is none of those above."""
    match message:
        case ["ask", str(key), ["submit", list(change)]]:
            return ForwardedWrite(key, change)
        case ["ask", str(key), ["read"]]:
            return ForwardedRead(key)
        case ["ask", str(key), ["read", str(service)]]:
            return ForwardedRead(key, service)
        case ["answer", str(key), str() | None as code, str(text), result]:
            return ForwardingResponse(key, code, text, result)
        case _:
            return None
