"""Messages between registrars other than those of the core and of forwarding, and their form on the wire.

["topic", topic, [term, count], value]   a new version of a topic of soft state
["followers", loads by router]           the routers that the sender considers alive
["news", origin, events]                 prompt events, which are forwarded to routers unchanged
["hurry"]                                a router asks for a new endpoint list
["zone", zone]                           the zone that the sender runs in

Reports of roll-outs, which are forwarded unchanged, are described in plumline.routing.rollout_report.
"""

from typing import Any, NamedTuple

from plumline.coordination.environment import Message
from plumline.coordination.soft_state import Version
from plumline.registrar.service_load import ServiceLoads
from plumline.routing.rollout_report import RolloutReport


class SoftStateUpdate(NamedTuple):
    """A topic's value and its version."""

    topic: str
    version: Version
    value: Any

    def to_wire(self) -> Message:
        """Encodes the message as plain values; routers get the same form."""
        return ["topic", self.topic, list(self.version), self.value]


class SubscriberReport(NamedTuple):
    """The live subscribers of the sender: their loads, by node name."""

    routers: dict[str, ServiceLoads]

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["followers", self.routers]


class PromptEvents(NamedTuple):
    """Events about prompts from a router or a cache store (see plumline.prefix_cache.events)."""

    origin: str  # the router's node name, or the store's address
    events: list[Any]

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["news", self.origin, self.events]


class RefreshEndpoints(NamedTuple):
    """Asks to read the endpoint list again soon, as a router misses an endpoint."""

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["hurry"]


class ZoneAnnouncement(NamedTuple):
    """The zone that the sender runs in."""

    zone: str

    def to_wire(self) -> Message:
        """Encodes the message as plain values."""
        return ["zone", self.zone]


PeerMessage = (
    SoftStateUpdate | SubscriberReport | PromptEvents | RefreshEndpoints | ZoneAnnouncement | RolloutReport
)


def peer_message_from_wire(message: Message) -> PeerMessage | None:
    """Parses a message; returns None if its kind or form is none of those above.

    Raises ValueError, TypeError for a malformed report of a roll-out.
    """
    match message:
        case ["topic", str(topic), [int(term), int(count)], value]:
            return SoftStateUpdate(topic, (term, count), value)
        case ["followers", dict(routers)]:
            return SubscriberReport(routers)
        case ["news", str(origin), list(events)]:
            return PromptEvents(origin, events)
        case ["hurry"]:
            return RefreshEndpoints()
        case ["zone", str(zone)]:
            return ZoneAnnouncement(zone)
        case ["rollout-report", *_]:
            return RolloutReport.from_wire(message)
        case _:
            return None
