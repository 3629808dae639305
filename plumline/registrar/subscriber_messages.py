"""The messages between a registrar and its subscribed routers, and their form on the wire.

From a router:

    ["follow", index]                   subscribes; index: number of the newest entry it has
    ["primary", is_primary]             whether this registrar should send entries and prompt events
    ["heartbeat", index, loads]         heartbeat with the loads that it sees, by service
    ["hurry"]                           asks for a new endpoint list
    ["news", origin, events]            prompt events, which are forwarded unchanged
    ["confirm", sent_at_us]             asks for a confirmation; only of a registrar with that feature

To a router, besides `topic` (soft state), `entry`, `state` and `news`:

    ["beat", is_current, committed_index, registrars, router_count, loads]
    ["features", names]                 what the registrar's release supports, as a connection begins
    ["confirmed", sent_at_us, index]    the entries up to `index` have all that was acknowledged before
"""

from typing import NamedTuple

from plumline.coordination.environment import Message
from plumline.errors import FrameError
from plumline.registrar.service_load import ServiceLoads, is_load_report

ENTRY_KIND = "entry"  # [kind, index, change]
SNAPSHOT_KIND = "state"  # [kind, index, the state after that entry]
PROMPT_EVENTS_KIND = "news"  # [kind, address that the events are about, events]
REFRESH_ENDPOINTS_KIND = "hurry"  # [kind]
CONFIRMATION_REQUEST_KIND = "confirm"  # [kind, time of the request]
CONFIRMATIONS_FEATURE = "confirmations"  # confirmation requests are answered


class Subscribe(NamedTuple):
    """The router subscribes to the feed."""

    index: int  # number of the newest entry that it has


class SelectPrimary(NamedTuple):
    """The router has chosen its primary registrar, or changed it."""

    is_primary: bool  # whether the primary is the receiver


class RouterHeartbeat(NamedTuple):
    """The router's heartbeat."""

    loads: ServiceLoads


class PublisherHeartbeat(NamedTuple):
    """The registrar's heartbeat, with what it knows of the fleet."""

    is_current: bool  # whether the registrar is known to have the newest entries
    committed_index: int  # number of the newest committed entry
    registrars: list[list[str]]  # [address, zone] of each that can be subscribed to
    router_count: int  # live ones at all registrars; at least 1
    loads: ServiceLoads  # the sum over these routers

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["beat", *self]


class ConfirmationRequest(NamedTuple):
    """A router asks up to which entry the feed is complete."""

    sent_at_us: int  # microseconds of the router's steady clock; returned in the reply

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["confirm", *self]

    @classmethod
    def from_wire(cls, message: Message) -> "ConfirmationRequest":
        """Parses the message. Raises FrameError if it is malformed."""
        match message:
            case ["confirm", int(sent_at_us)]:
                return cls(sent_at_us)
        raise FrameError("malformed confirmation request")


class FeedConfirmed(NamedTuple):
    """The reply: all changes acknowledged before the request arrived are among the entries up to `index`."""

    sent_at_us: int  # of the request
    index: int

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["confirmed", *self]


class FeedFeatures(NamedTuple):
    """What the registrar's release supports beyond the first form of the feed."""

    confirmations: bool  # whether it answers confirmation requests

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["features", [CONFIRMATIONS_FEATURE] if self.confirmations else []]


SubscriberMessage = Subscribe | SelectPrimary | RouterHeartbeat


def subscriber_message_from_wire(message: Message) -> SubscriberMessage:
    """Parses a subscriber's message. Raises FrameError if its kind is unexpected or it is malformed."""
    match message:
        case ["follow", int(index)]:
            return Subscribe(index)
        case ["primary", bool(is_primary)]:
            return SelectPrimary(is_primary)
        case ["heartbeat", int(), dict(loads)]:
            if not all(map(is_load_report, loads.values())):
                raise FrameError("heartbeat has a malformed load report")
            return RouterHeartbeat(loads)
        case _:
            raise FrameError(f"unexpected or malformed message from a subscriber: {message[0]!r}")
