"""A router's feed subscriber against fake registrars on loopback sockets."""

import asyncio
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

from peers import play, soon

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.counters import Counters
from plumline.router import subscriber
from plumline.router.subscriber import FeedSubscriber
from plumline.routing.fleet import Fleet
from plumline.settings import Settings
from plumline.wire.frame_link import CHUNK_BYTES, FrameLink, OutgoingFrame
from plumline.wire.frames import framed, hello

DOCUMENT = {
    "Version": 3,
    "Routes": [],
    "Services": [{"Name": "s"}],
    "Limits": {},
}


class FakeRegistrar:
    """Accepts subscribers; a test sends them frames and reads their messages."""

    def __init__(self) -> None:
        self.links: list[FrameLink] = []
        self.received: asyncio.Queue[list[Any]] = asyncio.Queue()
        self.up = asyncio.Event()
        self.ended_links = 0

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, host, port)
        self.address = self.server.sockets[0].getsockname()
        return self.address[1]

    def accept(self) -> FrameLink:
        greeting = hello("r", "registrar", "x", "z")
        return FrameLink(
            greeting, self.on_link_up, lambda _, m: self.received.put_nowait(m), self.on_link_down, Counters()
        )

    def on_link_up(self, link: FrameLink) -> None:
        self.links.append(link)
        self.up.set()

    def on_link_down(self, link: FrameLink) -> None:
        self.ended_links += 1

    def close(self) -> None:
        self.server.close()
        for each in self.links:
            each.abort()


def settings_for(port: int, *hosts: str) -> Settings:
    return Settings(
        node_name="router-1",
        ip_address="127.0.0.1",
        internal_ports=(port, port),
        seed_addresses=tuple((host, 1) for host in hosts),
    )


async def wait_until(condition: Any) -> None:  # noqa: ANN401
    """Runs the event loop until the condition holds; the test's time limit bounds it."""
    while not condition():
        await asyncio.sleep(0)


@play
async def test_an_open_source_is_subscribed_to_over_one_connection(tmp_path: Path) -> None:
    registrar, fleet = FakeRegistrar(), Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, Counters())
    now = asyncio.get_running_loop().time()
    feed_subscriber.reconcile_sources(now)
    await soon(registrar.up.wait())
    await soon(
        wait_until(lambda: all(source.connect_task.done() for source in feed_subscriber.sources.values()))
    )
    for step in range(4):
        feed_subscriber.reconcile_sources(now + step * subscriber.RECONCILE_INTERVAL_S)
    assert list(feed_subscriber.sources) == [f"127.0.0.1:{port}"]
    assert await soon(registrar.received.get()) == ["follow", 0]
    await asyncio.sleep(0)
    assert (len(registrar.links), registrar.ended_links) == (1, 0)
    feed_subscriber.close()
    registrar.close()


@play
async def test_entries_are_applied_in_order_and_never_reverted(tmp_path: Path) -> None:
    registrar, fleet = FakeRegistrar(), Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, Counters())
    feed_subscriber.reconcile_sources(asyncio.get_running_loop().time())
    await soon(registrar.up.wait())
    link = registrar.links[0]
    state = ReplicatedConfiguration().apply(["replace", 0, DOCUMENT])
    link.send(["state", 5, state.to_wire()])
    link.send(["entry", 6, ["weights", {"Model": "m", "Version": 2}]])
    link.send(["state", 4, ReplicatedConfiguration().to_wire()])
    link.send(["entry", 6, ["weights", {"Model": "m", "Version": 9}]])
    link.send(["topic", "roster", [1, 1], []])
    await soon(wait_until(lambda: "roster" in feed_subscriber.soft_state.values))
    assert (fleet.applied_index, fleet.state.version, fleet.acknowledged_version("m")) == (6, 3, 2)
    # After a gap the missing entries are requested again.
    link.send(["entry", 9, ["weights", {"Model": "m", "Version": 4}]])
    assert await soon(registrar.received.get()) == ["follow", 0]
    assert await soon(registrar.received.get()) == ["follow", 6]
    assert fleet.applied_index == 6
    feed_subscriber.close()
    registrar.close()


@play
async def test_a_silent_or_stale_source_is_replaced(tmp_path: Path) -> None:
    silent, healthy, fleet = FakeRegistrar(), FakeRegistrar(), Fleet()
    port = await silent.listen("127.0.0.1", 0)
    await healthy.listen("127.0.0.2", port)
    settings = replace(settings_for(port, "127.0.0.1"), heartbeat_interval_ms=100)
    feed_subscriber = FeedSubscriber(settings, fleet, Counters())
    now = asyncio.get_running_loop().time()
    feed_subscriber.reconcile_sources(now)
    await soon(silent.up.wait())
    silent.links[0].send(["beat", True, 0, [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]], 4, {}])
    await soon(wait_until(lambda: fleet.fresh))
    assert fleet.routers == 4
    feed_subscriber.reconcile_sources(now + 0.1)
    await soon(healthy.up.wait())
    healthy.links[0].send(["beat", True, 0, [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]], 4, {}])
    await soon(wait_until(lambda: feed_subscriber.sources[f"127.0.0.2:{port}"].is_current))
    current = feed_subscriber.sources[f"127.0.0.2:{port}"]
    first = feed_subscriber.sources[f"127.0.0.1:{port}"]
    later = now + subscriber.SILENCE_TIMEOUT_S + 1
    current.last_message_at = later
    feed_subscriber.reconcile_sources(later)
    # With only two sources it is tried again, over a new connection.
    assert feed_subscriber.sources[f"127.0.0.1:{port}"] is not first
    assert not first.is_current
    assert feed_subscriber.sources[f"127.0.0.2:{port}"] is current
    assert fleet.fresh
    # It is not current for too long, so it is replaced too; no source is current then.
    healthy.links[0].send(["beat", False, 0, [], 4, {}])
    await soon(wait_until(lambda: not current.is_current))
    assert not fleet.fresh
    current.last_message_at = later + subscriber.STALE_TIMEOUT_S + 2
    feed_subscriber.reconcile_sources(later + subscriber.STALE_TIMEOUT_S + 2)
    assert (
        current.address not in feed_subscriber.sources
        or feed_subscriber.sources[current.address] is not current
    )
    feed_subscriber.close()
    silent.close()
    healthy.close()


@play
async def test_a_frame_that_cannot_be_applied_ends_the_connection(tmp_path: Path) -> None:
    registrar, fleet, counters = FakeRegistrar(), Fleet(), Counters()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, counters)
    feed_subscriber.reconcile_sources(asyncio.get_running_loop().time())
    await soon(registrar.up.wait())
    registrar.links[0].send(["state", 5, {"not": "a state"}])
    await soon(wait_until(lambda: registrar.ended_links == 1))
    assert (fleet.applied_index, fleet.state) == (0, None)
    assert counters.get("frames.frame-invalid") == 1
    feed_subscriber.close()
    registrar.close()


async def two_sources(counters: Counters) -> tuple[FeedSubscriber, Fleet, FakeRegistrar, FakeRegistrar]:
    """A subscriber whose primary is the first registrar; both are current at entry 5."""
    first, second, fleet = FakeRegistrar(), FakeRegistrar(), Fleet()
    port = await first.listen("127.0.0.1", 0)
    await second.listen("127.0.0.2", port)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, counters)
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    await soon(first.up.wait())
    registrars = [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]]
    first.links[0].send(["beat", True, 5, registrars, 4, {}])
    await soon(wait_until(lambda: feed_subscriber.primary is not None))
    first.links[0].send(["state", 5, ReplicatedConfiguration().apply(["replace", 0, DOCUMENT]).to_wire()])
    await soon(wait_until(lambda: fleet.applied_index == 5))
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    await soon(second.up.wait())
    second.links[0].send(["beat", True, 5, registrars, 4, {}])
    await soon(wait_until(lambda: feed_subscriber.sources[f"127.0.0.2:{port}"].is_current))
    return feed_subscriber, fleet, first, second


async def take_received(registrar: FakeRegistrar) -> list[list[Any]]:
    """All messages that the registrar has received so far, except heartbeats."""
    for _ in range(20):
        await asyncio.sleep(0)
    found = [registrar.received.get_nowait() for _ in range(registrar.received.qsize())]
    return [message for message in found if message[0] != "heartbeat"]


def heartbeat_message(committed: int, *registrars: FakeRegistrar) -> list[Any]:
    addresses = [":".join(map(str, each.address)) for each in registrars]
    return ["beat", True, committed, [[each, "a"] for each in addresses], 4, {}]


@play
async def test_entries_are_requested_from_one_source_only(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    assert ["primary", True] in await take_received(first)
    assert await take_received(second) == [["follow", 5]]
    assert fleet.fresh
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_the_other_source_becomes_primary_when_the_primary_lags_a_heartbeat(tmp_path: Path) -> None:
    counters = Counters()
    feed_subscriber, fleet, first, second = await two_sources(counters)
    await take_received(first), await take_received(second)
    primary = feed_subscriber.primary
    second.links[0].send(heartbeat_message(6, first, second))
    other = next(source for source in feed_subscriber.sources.values() if source is not primary)
    await soon(wait_until(lambda: other.committed_index == 6))
    now = feed_subscriber.loop.time()
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S / 2)
    assert feed_subscriber.primary is primary and fleet.fresh
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S + 0.1)
    assert feed_subscriber.primary is other
    assert await take_received(first) == [["primary", False]]
    assert await take_received(second) == [["follow", 5], ["primary", True]]
    assert counters.get("feed.primary-lags") == 1
    # The known configuration may be outdated, so no request may be denied by it.
    assert not fleet.fresh
    second.links[0].send(["entry", 6, ["weights", {"Model": "m", "Version": 2}]])
    await soon(wait_until(lambda: fleet.applied_index == 6))
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S + 0.2)
    assert fleet.fresh
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_a_source_and_a_primary_are_kept_while_chunks_arrive(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    await take_received(first), await take_received(second)
    primary = feed_subscriber.primary
    assert primary is not None and primary.link is not None
    second.links[0].send(heartbeat_message(6, first, second))
    other = next(source for source in feed_subscriber.sources.values() if source is not primary)
    await soon(wait_until(lambda: other.committed_index == 6))
    now = feed_subscriber.loop.time()
    later = now + subscriber.SILENCE_TIMEOUT_S + 1
    # Chunks of a snapshot arrive, but no complete message.
    large = OutgoingFrame(framed(random.Random(1).randbytes(3 * CHUNK_BYTES)))
    first.links[0].transport.write(large.next_frame())
    await soon(wait_until(lambda: primary.link.last_chunk_at > 0))
    primary.link.last_received_at = primary.link.last_chunk_at = other.last_message_at = later
    feed_subscriber.reconcile_sources(later + 0.1)
    assert feed_subscriber.sources[primary.address] is primary
    assert feed_subscriber.primary is primary
    assert await take_received(first) == await take_received(second) == []
    assert not fleet.fresh  # an entry has been missing for too long
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_a_lost_primary_is_replaced_by_the_other_source_at_once(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    await take_received(second)
    first.links[0].abort()
    await soon(wait_until(lambda: len(feed_subscriber.sources) == 1))
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    assert feed_subscriber.primary is not None and feed_subscriber.primary.address.startswith("127.0.0.2")
    assert await take_received(second) == [["follow", 5], ["primary", True]]
    assert fleet.applied_index == 5
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_a_starting_router_exposes_no_state_before_it_has_all_reported_entries(tmp_path: Path) -> None:
    registrar, fleet = FakeRegistrar(), Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, Counters())
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    await soon(registrar.up.wait())
    link = registrar.links[0]
    link.send(heartbeat_message(2, registrar))
    link.send(["entry", 1, ["replace", 0, DOCUMENT]])
    await soon(wait_until(lambda: feed_subscriber.applied_index == 1))
    assert (fleet.state, fleet.table, fleet.applied_index) == (None, None, 0)
    link.send(["entry", 2, ["amend", 3, {"Version": 4}]])
    await soon(wait_until(lambda: fleet.applied_index == 2))
    assert (fleet.state.version, fleet.table.version) == (4, 4)
    # From then on each entry is applied as it arrives.
    link.send(heartbeat_message(9, registrar))
    link.send(["entry", 3, ["amend", 4, {"Version": 5}]])
    await soon(wait_until(lambda: fleet.applied_index == 3))
    assert (fleet.state.version, fleet.table.version) == (5, 5)
    feed_subscriber.close()
    registrar.close()


@play
async def test_a_placement_is_sent_to_the_primary_at_once_and_other_events_in_batches(tmp_path: Path) -> None:
    subscribing, _, first, second = await two_sources(Counters())
    assert subscribing.primary is not None and subscribing.primary.link is not None
    sent: list[list[Any]] = []
    subscribing.primary.link.send = lambda message, **_: sent.append(message)  # type: ignore[method-assign]
    subscribing.publish_prompt_event(["read", 1])
    subscribing.publish_prompt_event(["done", 1])
    assert sent == []
    subscribing.publish_prompt_event(["placed", 2])
    assert sent == [["news", "router-1", [["read", 1], ["done", 1], ["placed", 2]]]]
    subscribing.publish_prompt_event(["read", 2])
    subscribing.publish_prompt_event(["done", 2])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert sent[1:] == [["news", "router-1", [["read", 2], ["done", 2]]]]
    subscribing.close()
    first.close()
    second.close()
