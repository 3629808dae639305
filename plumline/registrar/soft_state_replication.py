"""Replicates soft state: from the holder of a lease to the other registrars, and from each to its routers."""

from enum import StrEnum
from typing import Any

from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.registrar.peer_messages import SoftStateUpdate
from plumline.registrar.publisher import FeedPublisher
from plumline.wire.mesh import Mesh

#: Below the version that any lease holder gives.
UNLEASED_VERSION = (0, 0)


class Topic(StrEnum):
    """The topics of soft state, as they are named on the wire."""

    ENDPOINTS = "roster"  # the endpoint list
    CACHE_STORES = "stores"  # by name: which cache stores are up
    GRANTS = "grants"  # by service: what may be sent to a version on trial
    ROLLOUT = "marks"  # by endpoint: which of them move to another version of their weights


class SoftStateReplicator:
    """Updates this registrar's soft state, and passes on what was new."""

    def __init__(
        self, soft_state: SoftState, publisher: FeedPublisher, mesh: Mesh, counters: Counters
    ) -> None:
        self.soft_state, self.publisher, self.mesh, self.counters = soft_state, publisher, mesh, counters

    def on_peer_update(self, update: SoftStateUpdate) -> bool:
        """Takes another registrar's update and publishes it to routers; returns whether it was newer."""
        if not self.soft_state.update(update.topic, update.version, update.value):
            return False
        self.publisher.publish_soft_state(update.topic)
        return True

    def publish(self, topic: Topic, term: int, value: Any) -> None:  # noqa: ANN401
        """Publishes to registrars and routers, as the holder of the topic's lease in this term.

        Nothing is published, and it is counted, where a later term has published already.
        """
        version = self.soft_state.next_version(topic, term)
        if version is None:
            self.counters.add("topics.term-over")
            return
        self.soft_state.update(topic, version, value)
        self.publisher.publish_soft_state(topic)
        self.mesh.send_all(SoftStateUpdate(topic, version, value).to_wire())

    def publish_without_lease(self, topic: Topic, value: Any) -> None:  # noqa: ANN401
        """Publishes to this registrar's own subscribers, until any lease holder's value comes."""
        self.soft_state.update(topic, UNLEASED_VERSION, value)
        self.publisher.publish_soft_state(topic)

    def send_all_to(self, address: str) -> None:
        """Sends all topics to a registrar that has just been connected to."""
        link = self.mesh.links[address]
        for message in self.soft_state.messages():
            link.send(message)
