"""Dispatches the messages that other registrars and routers send over internal connections."""

from collections.abc import Callable

from plumline.coordination.core import Core
from plumline.coordination.environment import Message
from plumline.counters import Counters
from plumline.errors import FrameError
from plumline.registrar.feed_confirmation import FeedConfirmer
from plumline.registrar.forwarding import RequestForwarder
from plumline.registrar.peer_messages import (
    PromptEvents,
    RefreshEndpoints,
    SoftStateUpdate,
    SubscriberReport,
    ZoneAnnouncement,
    peer_message_from_wire,
)
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.router_directory import RouterDirectory
from plumline.registrar.singleton_roles import SingletonRoles
from plumline.registrar.soft_state_replication import SoftStateReplicator
from plumline.registrar.subscriber_messages import (
    CONFIRMATION_REQUEST_KIND,
    PROMPT_EVENTS_KIND,
    REFRESH_ENDPOINTS_KIND,
    ConfirmationRequest,
)
from plumline.routing.rollout_report import ROLLOUT_REPORT_KIND, RolloutReport
from plumline.wire.frame_link import FrameLink
from plumline.wire.mesh import Mesh


class PeerMessageHandler:
    """Handles messages from registrars, including those that this one sends to itself."""

    def __init__(
        self,
        core: Core,
        forwarder: RequestForwarder,
        replicator: SoftStateReplicator,
        routers: RouterDirectory,
        roles: SingletonRoles,
        zones: dict[str, str],
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        """`zones`: of registrars, by address; updated here. `clock()`: s, steady."""
        self.core, self.forwarder, self.replicator = core, forwarder, replicator
        self.routers, self.roles, self.zones = routers, roles, zones
        self.publisher, self.mesh = replicator.publisher, replicator.mesh
        self.counters, self.clock = counters, clock

    def on_link_up(self, address: str) -> None:
        """Sends this registrar's zone and the soft state over a link that has just come up."""
        own_zone = self.zones[self.mesh.local_address]
        self.mesh.links[address].send(ZoneAnnouncement(own_zone).to_wire())
        self.replicator.send_all_to(address)
        self.core.failure_detector.ping_soon()

    def on_message(self, sender: str, message: Message) -> None:
        """Dispatches a message by its kind; one that is unknown or malformed is counted and dropped."""
        now = self.clock()
        try:
            if self.core.on_message(now, sender, message):
                return
            if self.forwarder.on_message(now, sender, message):
                return
            self._dispatch(now, sender, message)
        except (ValueError, TypeError, IndexError, KeyError):
            self.counters.add("frames.malformed")

    def _dispatch(self, now: float, sender: str, message: Message) -> None:
        match peer_message_from_wire(message):
            case SoftStateUpdate() as update:
                if self.replicator.on_peer_update(update):
                    self.roles.on_soft_state_update(update.topic, update.value)
            case SubscriberReport(routers):
                self.routers.on_report(now, sender, routers)
            case PromptEvents():
                self.publisher.forward_prompt_events(message)
            case RefreshEndpoints():
                self.roles.refresh_endpoints()
            case RolloutReport() as report:
                self.roles.on_rollout_report(report)
            case ZoneAnnouncement(zone):
                self.zones[sender] = zone
            case None:
                self.counters.add("frames.unknown")


class RouterMessageHandler:
    """Handles messages from routers. Raising FrameError closes the router's connection."""

    def __init__(
        self,
        publisher: FeedPublisher,
        confirmer: FeedConfirmer,
        roles: SingletonRoles,
        mesh: Mesh,
        clock: Callable[[], float],
    ) -> None:
        """`clock()`: s, steady."""
        self.publisher, self.confirmer = publisher, confirmer
        self.roles, self.mesh, self.clock = roles, mesh, clock

    def on_connected(self, link: FrameLink) -> None:
        """A router has connected."""
        self.confirmer.on_subscriber_connected(link)
        self.publisher.on_subscriber_connected(link, self.clock())

    def on_message(self, link: FrameLink, message: Message) -> None:
        """Dispatches a message by its kind."""
        if message == [REFRESH_ENDPOINTS_KIND]:
            self.mesh.send_all(message)
            self.roles.refresh_endpoints()
        elif message[0] == ROLLOUT_REPORT_KIND:
            self._on_rollout_report(link, message)
        elif message[0] == PROMPT_EVENTS_KIND:
            self.publisher.forward_prompt_events(message, link)
            self.mesh.send_all(message)
        elif message[0] == CONFIRMATION_REQUEST_KIND:
            self.confirmer.on_request(link, ConfirmationRequest.from_wire(message))
        else:
            self.publisher.on_subscriber_message(link, message, self.clock())

    def _on_rollout_report(self, link: FrameLink, message: Message) -> None:
        """Handles a report of roll-outs and forwards it, as any registrar may take over their control."""
        try:
            report = RolloutReport.from_wire(message)
        except (ValueError, TypeError) as error:
            raise FrameError(f"malformed report of a roll-out: {error}") from error
        self.roles.on_rollout_report(report)
        self.mesh.send_all(message)

    def on_disconnected(self, link: FrameLink) -> None:
        """A router's connection has ended."""
        self.confirmer.on_subscriber_disconnected(link)
        self.publisher.on_subscriber_disconnected(link)
