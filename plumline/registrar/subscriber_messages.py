"""The messages between a registrar and the routers that subscribe to it, and their form on the wire.

From a router:

    ["follow", index]                   subscribes, with the number of the newest entry that it has
    ["primary", is_primary]             whether this registrar is to send it entries and prompt events
    ["heartbeat", index, loads]         is alive; the loads that it sees, by service
    ["hurry"]                           asks for a new endpoint list
    ["news", origin, events]            prompt events, which are forwarded as they came

To a router, besides `topic` (soft state), `entry`, `state` and `news`:

    ["beat", is_current, committed_index, registrars, router_count, loads]
"""

from typing import NamedTuple

from plumline.coordination.environment import Message
from plumline.errors import FrameError
from plumline.registrar.service_load import ServiceLoads, is_load_report

ENTRY_KIND = "entry"  # [kind, index, change]
SNAPSHOT_KIND = "state"  # [kind, index, the whole state after that entry]
PROMPT_EVENTS_KIND = "news"  # [kind, address that the events are about, events]
REFRESH_ENDPOINTS_KIND = "hurry"  # [kind]


class Subscribe(NamedTuple):
    """The router wants the feed."""

    index: int  # number of the newest entry that it has


class SelectPrimary(NamedTuple):
    """The router has chosen its primary registrar."""

    is_primary: bool  # whether it is this one


class RouterHeartbeat(NamedTuple):
    """The router is alive."""

    loads: ServiceLoads


class PublisherHeartbeat(NamedTuple):
    """The registrar is alive, and says what it knows of the fleet."""

    is_current: bool  # whether the registrar surely has the newest entries
    committed_index: int  # number of the newest committed entry
    registrars: list[list[str]]  # [address, zone] of each that can be subscribed to
    router_count: int  # alive, at any registrar; at least 1
    loads: ServiceLoads  # the sum over these routers

    def to_wire(self) -> Message:
        """The message's plain values."""
        return ["beat", *self]


SubscriberMessage = Subscribe | SelectPrimary | RouterHeartbeat


def subscriber_message_from_wire(message: Message) -> SubscriberMessage:
    """The typed message. Raises FrameError for any other kind, and for a malformed one."""
    match message:
        case ["follow", int(index)]:
            return Subscribe(index)
        case ["primary", bool(is_primary)]:
            return SelectPrimary(is_primary)
        case ["heartbeat", int(), dict(loads)]:
            if not all(map(is_load_report, loads.values())):
                raise FrameError("a heartbeat with a malformed load report")
            return RouterHeartbeat(loads)
        case _:
            raise FrameError(f"a subscriber does not send {message[0]!r}")
