"""Publishes the configuration feed to routers: committed entries from an index on, soft state, heartbeats.

Entries go only to the subscribers that have chosen this registrar as their primary. While a subscriber's link
is busy it is sent no further entries; once the link has drained, it gets all missing ones, as entries or as
one snapshot, whichever is shorter. No entries are sent while this registrar may lack the newest ones.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from plumline.configuration.difference import replace_as_amend
from plumline.configuration.document import Document
from plumline.coordination.environment import Message
from plumline.coordination.log import Change
from plumline.coordination.replication import ChainReplica
from plumline.coordination.soft_state import SoftState
from plumline.registrar.peer_messages import SoftStateUpdate
from plumline.registrar.publish_buffer import PublishBuffer
from plumline.registrar.service_load import ServiceLoads, total_loads
from plumline.registrar.subscriber_messages import (
    PROMPT_EVENTS_KIND,
    PublisherHeartbeat,
    RouterHeartbeat,
    SelectPrimary,
    Subscribe,
    subscriber_message_from_wire,
)
from plumline.wire.frame_link import FrameLink
from plumline.wire.frames import pack

MAX_MISSED_HEARTBEATS = 3  # heartbeat intervals without a message after which a subscriber counts as dead


@dataclass(slots=True)
class Subscriber:
    """The state of one subscribed router."""

    link: FrameLink
    node: str
    sent_index: int = -1  # of the newest entry it has or was sent; -1: it has not subscribed yet
    last_seen: float = 0.0  # s, steady
    loads: ServiceLoads = field(default_factory=dict)  # of its last heartbeat
    is_primary: bool = False  # whether it has chosen this registrar for entries and prompt events
    has_soft_state: bool = False  # whether the initial soft state has been sent to it


class FeedPublisher:
    """Publishes to the routers that subscribe here, and detects their failure: see `live_subscribers`."""

    def __init__(
        self,
        chain: ChainReplica,
        soft_state: SoftState,
        heartbeat_s: float,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """`heartbeat_s`: interval of the routers' heartbeats. `is_current()`: whether this registrar is
        known to have the newest entries."""
        self.chain, self.soft_state, self.is_current = chain, soft_state, is_current
        self.subscriber_timeout_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self.subscribers: dict[FrameLink, Subscriber] = {}
        self.highest_subscriber_index = 0  # that subscribers have reported, of entries from any registrar
        self.buffer = PublishBuffer(lambda: (chain.committed_index, chain.state))
        self._last_heartbeat: PublisherHeartbeat | None = None
        self._last_configuration: tuple[int, Document | None] = (-1, None)  # after the entry of that number

    # Connections.

    def on_subscriber_connected(self, link: FrameLink, now: float) -> None:
        """A router has connected; it gets nothing before it subscribes."""
        assert link.peer is not None
        self.subscribers[link] = Subscriber(link, link.peer["node"], last_seen=now)
        link.on_drained = self._on_link_drained

    def on_subscriber_disconnected(self, link: FrameLink) -> None:
        """A router's connection has ended."""
        self.subscribers.pop(link, None)

    def on_subscriber_message(self, link: FrameLink, message: Message, now: float) -> None:
        """Handles a subscriber's message. Raises FrameError for a kind that subscribers don't send."""
        subscriber = self.subscribers.get(link)
        if subscriber is None:
            return
        subscriber.last_seen = now
        match subscriber_message_from_wire(message):
            case Subscribe(index):
                self._subscribe(subscriber, index)
            case SelectPrimary(is_primary):
                subscriber.is_primary = is_primary
                self._catch_up(subscriber)
            case RouterHeartbeat(loads):
                subscriber.loads = loads

    def _on_link_drained(self, link: FrameLink) -> None:
        if subscriber := self.subscribers.get(link):
            self._catch_up(subscriber)

    # Entries.

    def on_entry_committed(self, index: int, change: Change | None) -> None:
        """Publishes the committed entry of this number; None: a snapshot was installed in its place."""
        previous_index, previous = self._last_configuration
        if change is None:
            self.buffer.reset(index)
        else:
            is_next = previous_index == index - 1
            self.buffer.append(index, replace_as_amend(previous, change) if is_next else change)
        self._last_configuration = index, self.chain.state.configuration
        self._catch_up_all()

    def _subscribe(self, subscriber: Subscriber, index: int) -> None:
        self.highest_subscriber_index = max(self.highest_subscriber_index, index)
        if subscriber.sent_index >= 0 and subscriber.link.busy and subscriber.is_primary:
            return  # the entries that it asks for are being sent
        is_first = subscriber.sent_index < 0
        subscriber.sent_index = index
        if is_first:
            self._send_first_heartbeat(subscriber)
        self._send_soft_state(subscriber)
        self._catch_up(subscriber)

    def _send_first_heartbeat(self, subscriber: Subscriber) -> None:
        """Sends the last heartbeat at once: a starting router chooses its primary by a heartbeat."""
        if self._last_heartbeat is not None and self.is_current():
            heartbeat = self._last_heartbeat._replace(
                is_current=True, committed_index=self.chain.committed_index
            )
            subscriber.link.send(heartbeat.to_wire())

    def _send_soft_state(self, subscriber: Subscriber) -> None:
        """Sends all soft state, once, and not while this registrar's values may be outdated."""
        if subscriber.sent_index < 0 or subscriber.has_soft_state or not self.is_current():
            return
        subscriber.has_soft_state = True
        for message in self.soft_state.messages():
            subscriber.link.send(message)

    def _catch_up(self, subscriber: Subscriber) -> None:
        """Sends the missing entries. A subscriber that is ahead gets none, as indexes never decrease."""
        is_receiving = subscriber.is_primary and subscriber.sent_index >= 0 and not subscriber.link.busy
        if not is_receiving or not self.is_current():
            return
        if self.buffer.newest_index != self.chain.committed_index:
            self.buffer.reset(self.chain.committed_index)
        for message in self.buffer.messages_after(subscriber.sent_index):
            subscriber.link.send_packed(message.kind, message.data, ordered=True)
            subscriber.sent_index = message.index

    def _catch_up_all(self) -> None:
        for subscriber in list(self.subscribers.values()):
            self._send_soft_state(subscriber)
            self._catch_up(subscriber)

    # Broadcasts.

    def publish_soft_state(self, topic: str) -> None:
        """Sends the current value of the topic to all subscribers."""
        current = self.soft_state.values[topic]
        self.broadcast(SoftStateUpdate(topic, current.version, current.value).to_wire())

    def broadcast(self, message: Message) -> None:
        """Sends a message to every router that has subscribed."""
        if self.subscribers:
            data = pack(message)
            for subscriber in list(self.subscribers.values()):
                if subscriber.sent_index >= 0:
                    subscriber.link.send_packed(message[0], data)

    def forward_prompt_events(self, message: Message, origin: FrameLink | None = None) -> None:
        """Sends a router's or a store's prompt events to all whose primary this is, except their origin.

        `message` is a `news` message as it was received. It isn't parsed, as these are the most frequent.
        """
        data = pack(message)
        for subscriber in list(self.subscribers.values()):
            if subscriber.is_primary and subscriber.link is not origin:
                subscriber.link.send_packed(PROMPT_EVENTS_KIND, data)

    def publish_heartbeat(
        self, is_current: bool, registrars: list[list[str]], routers: dict[str, ServiceLoads]
    ) -> None:
        """Sends a heartbeat to all subscribers.

        `registrars`: [address, zone] of those that can be subscribed to; `routers`: all that are alive.
        """
        heartbeat = PublisherHeartbeat(
            is_current,
            self.chain.committed_index,
            registrars,
            max(len(routers), 1),
            total_loads(routers.values()),
        )
        self._last_heartbeat = heartbeat
        self.broadcast(heartbeat.to_wire())
        self._catch_up_all()

    # Failure detection.

    def live_subscribers(self, now: float) -> dict[str, ServiceLoads]:
        """The loads of each subscriber that sent a message within the time-out, by node name."""
        return {
            subscriber.node: subscriber.loads
            for subscriber in self.subscribers.values()
            if now - subscriber.last_seen < self.subscriber_timeout_s
        }
