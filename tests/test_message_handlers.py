"""Which part of a registrar handles each message, what is counted, and what is forwarded."""

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.registrar.message_handlers import PeerMessageHandler, RouterMessageHandler
from plumline.registrar.router_directory import REPORT_MARGIN_S, RouterDirectory
from plumline.registrar.soft_state_replication import SoftStateReplicator, Topic

OWN, PEER = "10.0.0.1:1", "10.0.0.2:1"
TIMEOUT_S = 3.6


class Scene:
    """Both handlers over real soft state, with mocks for parts with sockets or loops."""

    def __init__(self) -> None:
        self.now = 10.0
        self.counters = Counters()
        self.publisher: Any = Mock(subscriber_timeout_s=TIMEOUT_S)
        self.publisher.live_subscribers.return_value = {"own": {}}
        self.mesh: Any = Mock(local_address=OWN, links={PEER: Mock()})
        self.core: Any = Mock()
        self.core.on_message.return_value = False
        self.forwarder: Any = Mock()
        self.forwarder.on_message.return_value = False
        self.roles: Any = Mock()
        self.routers = RouterDirectory(self.publisher)
        self.soft_state = SoftState()
        self.replicator = SoftStateReplicator(self.soft_state, self.publisher, self.mesh, self.counters)
        self.zones = {OWN: "a"}
        self.peers = PeerMessageHandler(
            self.core,
            self.forwarder,
            self.replicator,
            self.routers,
            self.roles,
            self.zones,
            self.counters,
            lambda: self.now,
        )
        self.confirmer: Any = Mock()
        self.clients = RouterMessageHandler(
            self.publisher, self.confirmer, self.roles, self.mesh, lambda: self.now
        )


def test_soft_state_of_a_peer_goes_to_subscribers_and_roles_only_if_it_is_newer() -> None:
    scene = Scene()
    for _ in range(2):
        scene.peers.on_message(PEER, ["topic", "marks", [3, 1], {"e": {}}])
    scene.publisher.publish_soft_state.assert_called_once_with("marks")
    scene.roles.on_soft_state_update.assert_called_once_with("marks", {"e": {}})
    scene.mesh.send_all.assert_not_called()


def test_reports_count_for_the_subscribers_timeout_and_a_margin() -> None:
    scene = Scene()
    scene.peers.on_message(PEER, ["followers", {"theirs": {"s": [1.0, 2.0]}}])
    scene.now += TIMEOUT_S + REPORT_MARGIN_S - 0.01
    assert scene.routers.live_routers(scene.now) == {"theirs": {"s": [1.0, 2.0]}, "own": {}}
    scene.now += 0.01
    assert scene.routers.live_routers(scene.now) == {"own": {}}


def test_prompt_events_are_forwarded_as_they_came_and_only_routers_reach_the_other_registrars() -> None:
    scene = Scene()
    message = ["news", "n", [["read", 3]]]
    scene.peers.on_message(PEER, message)
    scene.publisher.forward_prompt_events.assert_called_once_with(message)
    scene.mesh.send_all.assert_not_called()
    link: Any = SimpleNamespace()
    scene.clients.on_message(link, message)
    scene.publisher.forward_prompt_events.assert_called_with(message, link)
    scene.mesh.send_all.assert_called_once_with(message)


def test_a_refresh_of_the_endpoint_list_reaches_the_roles_of_all_registrars() -> None:
    scene = Scene()
    scene.clients.on_message(SimpleNamespace(), ["hurry"])  # type: ignore[arg-type]
    scene.mesh.send_all.assert_called_once_with(["hurry"])
    scene.peers.on_message(PEER, ["hurry"])
    assert scene.roles.refresh_endpoints.call_count == 2


def test_other_messages_of_a_router_are_its_publishers() -> None:
    scene = Scene()
    link: Any = SimpleNamespace()
    scene.clients.on_connected(link)
    scene.clients.on_message(link, ["follow", 3])
    scene.clients.on_disconnected(link)
    scene.publisher.on_subscriber_connected.assert_called_once_with(link, scene.now)
    scene.publisher.on_subscriber_message.assert_called_once_with(link, ["follow", 3], scene.now)
    scene.publisher.on_subscriber_disconnected.assert_called_once_with(link)


def test_a_new_link_gets_the_zone_and_then_all_soft_state() -> None:
    scene = Scene()
    scene.soft_state.update("roster", (3, 1), ["e"])
    scene.peers.on_link_up(PEER)
    sent = [call.args[0] for call in scene.mesh.links[PEER].send.call_args_list]
    assert sent == [["zone", "a"], ["topic", "roster", [3, 1], ["e"]]]
    scene.peers.on_message(PEER, ["zone", "b"])
    assert scene.zones == {OWN: "a", PEER: "b"}


@pytest.mark.parametrize("error", [ValueError, TypeError, IndexError, KeyError])
def test_a_malformed_message_is_counted_and_dropped(error: type[Exception]) -> None:
    scene = Scene()
    scene.core.on_message.side_effect = error
    scene.peers.on_message(PEER, ["ping"])
    assert scene.counters.get("frames.malformed") == 1


def test_an_unknown_message_is_counted_and_dropped() -> None:
    scene = Scene()
    scene.peers.on_message(PEER, ["gossip", 1])
    assert scene.counters.get("frames.unknown") == 1
    scene.forwarder.on_message.return_value = True
    scene.peers.on_message(PEER, ["ask", "k", ["read"]])
    assert scene.counters.get("frames.unknown") == 1


def test_a_lease_holder_publishes_to_registrars_and_routers_until_a_later_term_has() -> None:
    scene = Scene()
    scene.replicator.publish(Topic.ENDPOINTS, 2, ["e"])
    scene.mesh.send_all.assert_called_once_with(["topic", "roster", [2, 1], ["e"]])
    scene.publisher.publish_soft_state.assert_called_once_with("roster")
    scene.peers.on_message(PEER, ["topic", "roster", [3, 1], ["f"]])
    scene.replicator.publish(Topic.ENDPOINTS, 2, ["g"])
    assert scene.counters.get("topics.term-over") == 1
    assert scene.soft_state.get("roster") == ["f"]
    assert scene.mesh.send_all.call_count == 1


def test_what_is_published_without_a_lease_stays_with_the_own_subscribers() -> None:
    scene = Scene()
    scene.replicator.publish_without_lease(Topic.ENDPOINTS, ["e"])
    scene.publisher.publish_soft_state.assert_called_once_with("roster")
    scene.mesh.send_all.assert_not_called()
    scene.peers.on_message(PEER, ["topic", "roster", [1, 1], ["f"]])
    assert scene.soft_state.get("roster") == ["f"]
