"""Replicates soft state from the lease holder to the other registrars, and from each to its routers."""

from enum import StrEnum
from typing import Any

from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.registrar.peer_messages import SoftStateUpdate
from plumline.registrar.publisher import FeedPublisher
from plumline.wire.mesh import Mesh

#: Lower than any version that a lease holder assigns.
UNLEASED_VERSION = (0, 0)


class Topic(StrEnum):
    """The topics of soft state, as they are named on the wire."""

    ENDPOINTS = "roster"  # the endpoint list
    CACHE_STORES = "stores"  # by name: the statuses of the cache stores
    GRANTS = "grants"  # by service: the traffic allowed to a version on trial
    ROLLOUT = "marks"  # by endpoint: which ones are moving to another version of their weights


class SoftStateReplicator:
    """Updates this registrar's soft state and sends newer values on."""

    def __init__(
        self, soft_state: SoftState, publisher: FeedPublisher, mesh: Mesh, counters: Counters
    ) -> None:
        self.soft_state, self.publisher, self.mesh, self.counters = soft_state, publisher, mesh, counters

    def on_peer_update(self, update: SoftStateUpdate) -> bool:
        """Applies another registrar's update and publishes it to routers; returns whether it was newer."""
        if not self.soft_state.update(update.topic, update.version, update.value):
            return False
        self.publisher.publish_soft_state(update.topic)
        return True

    def publish(self, topic: Topic, term: int, value: Any) -> bool:  # noqa: ANN401
        """Publishes to registrars and routers, as the holder of the topic's lease in this term.

        If a later term has already published, this is counted and nothing is published. Returns whether the
        value was published.
        """
        version = self.soft_state.next_version(topic, term)
        if version is None:
            self.counters.add("topics.term-over")
            return False
        self.soft_state.update(topic, version, value)
        self.publisher.publish_soft_state(topic)
        self.mesh.send_all(SoftStateUpdate(topic, version, value).to_wire())
        return True

    def publish_without_lease(self, topic: Topic, value: Any) -> None:  # noqa: ANN401
        """Publishes to this registrar's own subscribers; any lease holder's value replaces it."""
        self.soft_state.update(topic, UNLEASED_VERSION, value)
        self.publisher.publish_soft_state(topic)

    def send_all_to(self, address: str) -> None:
        """Sends all topics to a registrar whose link has just come up."""
        link = self.mesh.links[address]
        for message in self.soft_state.messages():
            link.send(message)
