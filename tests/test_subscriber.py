"""A router's feed_subscriber against registrars that a test plays on loopback sockets."""

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
    """Takes subscribers; a test sends them frames and sees what they say."""

    def __init__(self) -> None:
        self.links: list[FrameLink] = []
        self.said: asyncio.Queue[list[Any]] = asyncio.Queue()
        self.up = asyncio.Event()
        self.downs = 0

    async def listen(self, host: str, port: int) -> int:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, host, port)
        self.address = self.server.sockets[0].getsockname()
        return self.address[1]

    def accept(self) -> FrameLink:
        greeting = hello("r", "registrar", "x", "z")
        return FrameLink(greeting, self.came, lambda _, m: self.said.put_nowait(m), self.went, Counters())

    def came(self, link: FrameLink) -> None:
        self.links.append(link)
        self.up.set()

    def went(self, link: FrameLink) -> None:
        self.downs += 1

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


async def until(condition: Any) -> None:  # noqa: ANN401
    """Turns of the loop until it holds; the test's own time limit ends it otherwise."""
    while not condition():
        await asyncio.sleep(0)


@play
async def test_a_source_that_is_up_is_subscribed_to_over_one_connection(tmp_path: Path) -> None:
    registrar, fleet = FakeRegistrar(), Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, Counters())
    now = asyncio.get_running_loop().time()
    feed_subscriber.reconcile_sources(now)
    await soon(registrar.up.wait())
    await soon(until(lambda: all(source.connect_task.done() for source in feed_subscriber.sources.values())))
    for step in range(4):
        feed_subscriber.reconcile_sources(now + step * subscriber.RECONCILE_INTERVAL_S)
    assert list(feed_subscriber.sources) == [f"127.0.0.1:{port}"]
    assert await soon(registrar.said.get()) == ["follow", 0]
    await asyncio.sleep(0)
    assert (len(registrar.links), registrar.downs) == (1, 0)
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
    await soon(until(lambda: "roster" in feed_subscriber.soft_state.values))
    assert (fleet.place, fleet.state.version, fleet.named_version("m")) == (6, 3, 2)
    # One that came too early is asked for again.
    link.send(["entry", 9, ["weights", {"Model": "m", "Version": 4}]])
    assert await soon(registrar.said.get()) == ["follow", 0]
    assert await soon(registrar.said.get()) == ["follow", 6]
    assert fleet.place == 6
    feed_subscriber.close()
    registrar.close()


@play
async def test_a_source_that_is_silent_or_not_current_is_replaced(tmp_path: Path) -> None:
    silent, well, fleet = FakeRegistrar(), FakeRegistrar(), Fleet()
    port = await silent.listen("127.0.0.1", 0)
    await well.listen("127.0.0.2", port)
    settings = replace(settings_for(port, "127.0.0.1"), heartbeat_interval_ms=100)
    feed_subscriber = FeedSubscriber(settings, fleet, Counters())
    now = asyncio.get_running_loop().time()
    feed_subscriber.reconcile_sources(now)
    await soon(silent.up.wait())
    silent.links[0].send(["beat", True, 0, [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]], 4, {}])
    await soon(until(lambda: fleet.fresh))
    assert fleet.routers == 4
    feed_subscriber.reconcile_sources(now + 0.1)
    await soon(well.up.wait())
    well.links[0].send(["beat", True, 0, [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]], 4, {}])
    await soon(until(lambda: feed_subscriber.sources[f"127.0.0.2:{port}"].is_current))
    current = feed_subscriber.sources[f"127.0.0.2:{port}"]
    first = feed_subscriber.sources[f"127.0.0.1:{port}"]
    later = now + subscriber.SILENCE_TIMEOUT_S + 1
    current.last_message_at = later
    feed_subscriber.reconcile_sources(later)
    # Out of two, it is tried anew, over another connection.
    assert feed_subscriber.sources[f"127.0.0.1:{port}"] is not first
    assert not first.is_current
    assert feed_subscriber.sources[f"127.0.0.2:{port}"] is current
    assert fleet.fresh
    # Not fresh for long enough: left too, and then nobody vouches for what is known.
    well.links[0].send(["beat", False, 0, [], 4, {}])
    await soon(until(lambda: not current.is_current))
    assert not fleet.fresh
    current.last_message_at = later + subscriber.STALE_TIMEOUT_S + 2
    feed_subscriber.reconcile_sources(later + subscriber.STALE_TIMEOUT_S + 2)
    assert (
        current.address not in feed_subscriber.sources
        or feed_subscriber.sources[current.address] is not current
    )
    feed_subscriber.close()
    silent.close()
    well.close()


@play
async def test_a_frame_that_cannot_be_applied_ends_the_connection(tmp_path: Path) -> None:
    registrar, fleet, counters = FakeRegistrar(), Fleet(), Counters()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, counters)
    feed_subscriber.reconcile_sources(asyncio.get_running_loop().time())
    await soon(registrar.up.wait())
    registrar.links[0].send(["state", 5, {"not": "a state"}])
    await soon(until(lambda: registrar.downs == 1))
    assert (fleet.place, fleet.state) == (0, None)
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
    told = [[f"127.0.0.1:{port}", "a"], [f"127.0.0.2:{port}", "b"]]
    first.links[0].send(["beat", True, 5, told, 4, {}])
    await soon(until(lambda: feed_subscriber.primary is not None))
    first.links[0].send(["state", 5, ReplicatedConfiguration().apply(["replace", 0, DOCUMENT]).to_wire()])
    await soon(until(lambda: fleet.place == 5))
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    await soon(second.up.wait())
    second.links[0].send(["beat", True, 5, told, 4, {}])
    await soon(until(lambda: feed_subscriber.sources[f"127.0.0.2:{port}"].is_current))
    return feed_subscriber, fleet, first, second


async def said(registrar: FakeRegistrar) -> list[list[Any]]:
    """All that it was told so far, heartbeats aside."""
    for _ in range(20):
        await asyncio.sleep(0)
    found = [registrar.said.get_nowait() for _ in range(registrar.said.qsize())]
    return [message for message in found if message[0] != "heartbeat"]


def beat(committed: int, *registrars: FakeRegistrar) -> list[Any]:
    addresses = [":".join(map(str, each.address)) for each in registrars]
    return ["beat", True, committed, [[each, "a"] for each in addresses], 4, {}]


@play
async def test_entries_are_requested_from_one_source_only(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    assert ["primary", True] in await said(first)
    assert await said(second) == [["follow", 5]]
    assert fleet.fresh
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_the_other_source_becomes_primary_when_the_primary_lags_a_heartbeat(tmp_path: Path) -> None:
    counters = Counters()
    feed_subscriber, fleet, first, second = await two_sources(counters)
    await said(first), await said(second)
    primary = feed_subscriber.primary
    second.links[0].send(beat(6, first, second))
    other = next(source for source in feed_subscriber.sources.values() if source is not primary)
    await soon(until(lambda: other.committed_index == 6))
    now = feed_subscriber.loop.time()
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S / 2)
    assert feed_subscriber.primary is primary and fleet.fresh
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S + 0.1)
    assert feed_subscriber.primary is other
    assert await said(first) == [["primary", False]]
    assert await said(second) == [["follow", 5], ["primary", True]]
    assert counters.get("feed.primary-lags") == 1
    # What is known may not be the newest, so nothing is denied by it.
    assert not fleet.fresh
    second.links[0].send(["entry", 6, ["weights", {"Model": "m", "Version": 2}]])
    await soon(until(lambda: fleet.place == 6))
    feed_subscriber.reconcile_sources(now + subscriber.LAG_TIMEOUT_S + 0.2)
    assert fleet.fresh
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_chunks_that_arrive_keep_a_source_and_a_primary(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    await said(first), await said(second)
    primary = feed_subscriber.primary
    assert primary is not None and primary.link is not None
    second.links[0].send(beat(6, first, second))
    other = next(source for source in feed_subscriber.sources.values() if source is not primary)
    await soon(until(lambda: other.committed_index == 6))
    now = feed_subscriber.loop.time()
    later = now + subscriber.SILENCE_TIMEOUT_S + 1
    # The pieces of a state on their way, and no whole message.
    large = OutgoingFrame(framed(random.Random(1).randbytes(3 * CHUNK_BYTES)))
    first.links[0].transport.write(large.next_frame())
    await soon(until(lambda: primary.link.last_chunk_at > 0))
    primary.link.last_received_at = primary.link.last_chunk_at = other.last_message_at = later
    feed_subscriber.reconcile_sources(later + 0.1)
    assert feed_subscriber.sources[primary.address] is primary
    assert feed_subscriber.primary is primary
    assert await said(first) == await said(second) == []
    assert not fleet.fresh  # it is long since the core had more
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_a_primary_that_is_lost_is_replaced_by_the_other_source_at_once(tmp_path: Path) -> None:
    feed_subscriber, fleet, first, second = await two_sources(Counters())
    await said(second)
    first.links[0].abort()
    await soon(until(lambda: len(feed_subscriber.sources) == 1))
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    assert feed_subscriber.primary is not None and feed_subscriber.primary.address.startswith("127.0.0.2")
    assert await said(second) == [["follow", 5], ["primary", True]]
    assert fleet.place == 5
    feed_subscriber.close()
    first.close()
    second.close()


@play
async def test_a_router_that_starts_shows_nothing_before_it_has_all_that_was_reported(tmp_path: Path) -> None:
    registrar, fleet = FakeRegistrar(), Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed_subscriber = FeedSubscriber(settings_for(port, "127.0.0.1"), fleet, Counters())
    feed_subscriber.reconcile_sources(feed_subscriber.loop.time())
    await soon(registrar.up.wait())
    link = registrar.links[0]
    link.send(beat(2, registrar))
    link.send(["entry", 1, ["replace", 0, DOCUMENT]])
    await soon(until(lambda: feed_subscriber.applied_index == 1))
    assert (fleet.state, fleet.table, fleet.place) == (None, None, 0)
    link.send(["entry", 2, ["amend", 3, {"Version": 4}]])
    await soon(until(lambda: fleet.place == 2))
    assert (fleet.state.version, fleet.table.version) == (4, 4)
    # From then on each entry counts as it comes.
    link.send(beat(9, registrar))
    link.send(["entry", 3, ["amend", 4, {"Version": 5}]])
    await soon(until(lambda: fleet.place == 3))
    assert (fleet.state.version, fleet.table.version) == (5, 5)
    feed_subscriber.close()
    registrar.close()


@play
async def test_a_placed_prompt_goes_to_the_primary_at_once_and_other_events_together(tmp_path: Path) -> None:
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
