"""The feed's publisher: which subscribers get entries, in what form, and the limits for slow subscribers."""

from typing import Any

import ormsgpack
import pytest

from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.coordination.soft_state import SoftState
from plumline.registrar import publish_buffer
from plumline.registrar.publisher import FeedPublisher
from plumline.wire.frames import FrameDecoder


class FakeChain:
    """The part of a chain that a publisher reads; tests commit changes to it."""

    def __init__(self) -> None:
        self.state, self.committed_index = ReplicatedConfiguration(), 0

    def commit(self, publisher: FeedPublisher, change: list[Any]) -> None:
        self.state = self.state.apply(change)
        self.committed_index += 1
        publisher.on_entry_committed(self.committed_index, change)


class FakeLink:
    """Records the frames that are sent; tests set `busy` while the router does not read."""

    def __init__(self, node: str) -> None:
        self.peer = {"node": node}
        self.frames: list[bytes] = []
        self.busy = False
        self.on_drained: Any = None

    def send(self, message: list[Any], *, ordered: bool = False) -> None:
        self.frames.append(ormsgpack.packb(message))

    def send_packed(self, kind: str, data: bytes, *, ordered: bool = False) -> None:
        self.frames.append(data)

    def drain(self) -> None:
        self.busy = False
        self.on_drained(self)

    def received(self) -> list[list[Any]]:
        """The entries and snapshots sent since the last call."""
        frames, self.frames = self.frames, []
        messages = [FrameDecoder().feed(frame)[0] for frame in frames]
        return [message for message in messages if message[0] in ("entry", "state")]


class Router:
    """Applies entries and snapshots as a router does."""

    def __init__(self, link: FakeLink) -> None:
        self.link, self.index, self.state, self.received_bytes = link, 0, ReplicatedConfiguration(), 0

    def apply_received(self) -> list[str]:
        """Applies all messages received; returns their kinds."""
        self.received_bytes += sum(map(len, self.link.frames))
        kinds = []
        for kind, index, content in self.link.received():
            kinds.append(kind)
            if kind == "state":
                assert index > self.index
                self.state = ReplicatedConfiguration.from_wire(content)
            else:
                assert index == self.index + 1
                self.state = self.state.apply(content)
            self.index = index
        return kinds


def document(version: int, routes: int) -> Document:
    return {
        "Version": version,
        "Routes": [
            {"Name": f"r{at}", "Host": "h", "PathPrefix": f"/{at}/", "Service": "s", "TimeoutMs": 1000}
            for at in range(routes)
        ],
        "Services": [{"Name": "s"}],
    }


def amend(version: int, at: int) -> list[Any]:
    """A change that sets another time-out for one route."""
    changed = {"Name": f"r{at}", "Host": "h", "PathPrefix": f"/{at}/", "Service": "s", "TimeoutMs": version}
    return ["amend", version - 1, {"Version": version, "Upserts": {"Routes": [changed]}}]


class Scene:
    """A chain with a publisher and some routers, which have chosen it as their primary."""

    def __init__(self, routers: int = 1) -> None:
        self.chain, self.is_current = FakeChain(), True
        self.publisher = FeedPublisher(self.chain, SoftState(), 1.2, lambda: self.is_current)  # type: ignore[arg-type]
        self.routers = [self.join(f"n{at}") for at in range(routers)]

    def join(self, node: str, index: int = 0, primary: bool = True) -> Router:
        link: Any = FakeLink(node)
        self.publisher.on_subscriber_connected(link, 0.0)
        self.receive(link, ["follow", index])
        if primary:
            self.receive(link, ["primary", True])
        return Router(link)

    def receive(self, link: Any, message: list[Any]) -> None:  # noqa: ANN401
        self.publisher.on_subscriber_message(link, message, 0.0)

    def commit(self, *changes: list[Any]) -> None:
        for change in changes:
            self.chain.commit(self.publisher, change)


def test_entries_go_only_to_subscribers_that_chose_this_primary() -> None:
    scene = Scene()
    other = scene.join("other", primary=False)
    scene.commit(["replace", 0, document(1, 3)], amend(2, 0))
    scene.publisher.publish_heartbeat(True, [], {})
    assert scene.routers[0].apply_received() == ["entry", "entry"]
    assert other.link.received() == []
    scene.receive(other.link, ["follow", 0])
    scene.receive(other.link, ["primary", True])
    assert other.apply_received() == ["entry", "entry"]
    assert other.state.configuration == scene.chain.state.configuration
    scene.receive(other.link, ["primary", False])
    scene.commit(amend(3, 0))
    assert other.apply_received() == []


def test_a_registrar_that_may_lack_the_newest_entries_publishes_none() -> None:
    scene = Scene()
    scene.is_current = False
    scene.commit(["replace", 0, document(1, 3)])
    late = scene.join("late")
    scene.publisher.publish_heartbeat(False, [], {})
    assert scene.routers[0].apply_received() == late.apply_received() == []
    scene.is_current = True
    scene.publisher.publish_heartbeat(True, [], {})
    assert scene.routers[0].apply_received() == late.apply_received() == ["entry"]


def test_a_slow_subscriber_gets_no_more_until_it_has_read_and_then_the_shortest() -> None:
    scene = Scene()
    router = scene.routers[0]
    scene.commit(["replace", 0, document(1, 50)])
    assert router.apply_received() == ["entry"]
    router.link.busy = True
    scene.commit(*(amend(version, version % 50) for version in range(2, 400)))
    scene.publisher.publish_heartbeat(True, [], {})
    assert router.apply_received() == []
    router.link.drain()
    assert router.apply_received() == ["state"]  # it is shorter than 398 entries
    assert router.state.configuration == scene.chain.state.configuration
    router.link.busy = True
    scene.commit(amend(400, 1), amend(401, 1))
    router.link.drain()
    assert router.apply_received() == ["entry", "entry"]
    assert router.index == scene.chain.committed_index


def test_subscribing_again_during_a_transfer_changes_nothing() -> None:
    scene = Scene()
    scene.commit(["replace", 0, document(1, 2000)])
    router = scene.join("late")
    sent = len(router.link.frames)
    router.link.busy = True
    for _ in range(5):
        scene.receive(router.link, ["follow", 0])
        scene.receive(router.link, ["primary", True])
    assert len(router.link.frames) == sent
    router.link.drain()
    assert len(router.link.frames) == sent


def test_a_thousand_changes_of_large_configurations_cost_a_subscriber_few_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    packed: list[str] = []
    pack = publish_buffer.pack
    monkeypatch.setattr(publish_buffer, "pack", lambda message: packed.append(message[0]) or pack(message))
    scene = Scene()
    scene.commit(["replace", 0, document(1, 4000)])
    for version in range(2, 1000):
        scene.commit(amend(version, version % 4000))
    size = len(ormsgpack.packb(scene.chain.state.configuration))
    packed.clear()
    behind = [scene.join(f"late{at}", index=1) for at in range(50)]
    new = [scene.join(f"new{at}") for at in range(50)]
    for each in [*behind, *new]:
        if each in behind:
            each.index, each.state = 1, ReplicatedConfiguration().apply(["replace", 0, document(1, 4000)])
        each.apply_received()
        assert each.index == scene.chain.committed_index
        assert each.state.configuration == scene.chain.state.configuration
        assert each.received_bytes < size / 5
    assert packed == ["state"]  # one packed snapshot for all of them
    assert scene.publisher.buffer.size_bytes <= publish_buffer.MAX_BUFFERED_BYTES


def test_a_replaced_configuration_is_published_as_what_it_changes() -> None:
    scene = Scene()
    scene.commit(["replace", 0, document(1, 4000)])
    scene.routers[0].apply_received()
    before = scene.routers[0].received_bytes
    for version in range(2, 12):
        second = document(version, 4000)
        second["Routes"][version]["TimeoutMs"] = version
        scene.commit(["replace", version - 1, second])
    assert scene.routers[0].apply_received() == ["entry"] * 10
    assert scene.routers[0].received_bytes - before < 10 * 1000
    assert scene.routers[0].state.configuration == scene.chain.state.configuration


def test_after_a_snapshot_from_the_chain_subscribers_get_a_snapshot() -> None:
    scene = Scene()
    scene.commit(["replace", 0, document(1, 3)])
    scene.routers[0].apply_received()
    scene.chain.state = ReplicatedConfiguration().apply(["replace", 0, document(9, 3)])
    scene.chain.committed_index = 12
    scene.publisher.on_entry_committed(12, None)
    assert scene.routers[0].apply_received() == ["state"]
    scene.commit(amend(10, 2))
    assert scene.routers[0].apply_received() == ["entry"]
    assert scene.routers[0].state.version == 10


def test_buffered_entries_are_bounded_by_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publish_buffer, "MAX_BUFFERED_BYTES", 2000)
    scene = Scene()
    scene.commit(["replace", 0, document(1, 20)])
    for version in range(2, 100):
        scene.commit(amend(version, version % 20))
        assert scene.publisher.buffer.size_bytes <= 2000
    router = scene.join("late", index=1)
    router.index = 1
    assert router.apply_received()[0] == "state"
    assert router.index == scene.chain.committed_index


def test_a_subscriber_of_a_registrar_that_may_be_partitioned_gets_no_old_soft_state() -> None:
    """The soft state is sent once, with the first heartbeat after the registrar is current again."""
    scene = Scene(routers=0)
    scene.publisher.soft_state.update("roster", (3, 1), ["an endpoint"])
    scene.is_current = False
    link = scene.join("n").link
    scene.publisher.publish_heartbeat(False, [], {})
    assert topics_in(link) == []
    scene.is_current = True
    scene.publisher.publish_heartbeat(True, [], {})
    scene.publisher.publish_heartbeat(True, [], {})
    assert topics_in(link) == ["roster"]


def decoded(link: FakeLink) -> list[list[Any]]:
    """The messages that were sent."""
    return [FrameDecoder().feed(each)[0] if each[0] == 0 else ormsgpack.unpackb(each) for each in link.frames]


def topics_in(link: FakeLink) -> list[str]:
    """The names of the topics that were sent."""
    return [message[1] for message in decoded(link) if message[0] == "topic"]


def kinds_in(link: FakeLink) -> list[str]:
    """The kinds of the messages that were sent."""
    return [message[0] for message in decoded(link)]


def test_a_router_that_subscribes_gets_the_heartbeat_at_once_if_the_registrar_is_current() -> None:
    """A starting router chooses its primary by a heartbeat, so it must not wait for the next one."""
    scene = Scene(routers=0)
    assert kinds_in(scene.join("too-early").link) == []
    scene.publisher.publish_heartbeat(False, [["a:1", "zone"]], {})
    scene.commit(["replace", 0, document(1, 3)])
    link = scene.join("n", primary=False).link
    assert decoded(link)[0][:4] == ["beat", True, 1, [["a:1", "zone"]]]
    scene.receive(link, ["follow", 0])
    assert kinds_in(link) == ["beat"]
    scene.is_current = False
    assert kinds_in(scene.join("partitioned").link) == []
