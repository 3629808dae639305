"""Confirmations of the feed: a registrar's rounds, the age that a router counts, and how it asks for them."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import play, soon

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.counters import Counters
from plumline.errors import FrameError
from plumline.registrar.feed_confirmation import FeedConfirmer
from plumline.registrar.subscriber_messages import ConfirmationRequest
from plumline.router.confirmation_requester import INTERVAL_S, MISSED_CONFIRMATIONS
from plumline.router.subscriber import FeedSubscriber
from plumline.routing.configuration_age import (
    LIMIT_SHARE,
    MAX_UNAPPLIED_CONFIRMATIONS,
    AgeLimits,
    ConfigurationAge,
)
from plumline.routing.fleet import Fleet
from plumline.settings import Bounds
from tests.test_subscriber import DOCUMENT, FakeRegistrar, settings_for, wait_until

FEATURES = ["features", ["confirmations"]]


class FakeLink:
    def __init__(self) -> None:
        self.sent: list[list[Any]] = []

    def send(self, message: list[Any]) -> None:
        self.sent.append(message)


class Core:
    """Collects inquiries, which the tests answer."""

    def __init__(self) -> None:
        self.inquiries: list[Callable[[int | None], None]] = []

    def confirm_index(self, callback: Callable[[int | None], None]) -> None:
        self.inquiries.append(callback)


def test_a_request_is_answered_by_an_inquiry_that_begins_after_its_arrival() -> None:
    core, first, late = Core(), FakeLink(), FakeLink()
    confirmer = FeedConfirmer(core.confirm_index)
    links: list[Any] = [first, late]
    for link in links:
        confirmer.on_subscriber_connected(link)
    assert first.sent == late.sent == [FEATURES]
    confirmer.tick()
    assert not core.inquiries  # nobody asks
    confirmer.on_request(links[0], ConfirmationRequest(10))
    confirmer.on_request(links[0], ConfirmationRequest(20))
    confirmer.tick()
    confirmer.on_request(links[1], ConfirmationRequest(30))
    confirmer.tick()
    assert len(core.inquiries) == 1
    core.inquiries[0](7)
    assert first.sent[1:] == [["confirmed", 20, 7]] and not late.sent[1:]
    confirmer.tick()
    core.inquiries[1](8)
    assert late.sent[1:] == [["confirmed", 30, 8]] and len(first.sent) == 2


def test_the_requests_of_an_uncertain_inquiry_are_answered_by_the_next() -> None:
    core, first, second = Core(), FakeLink(), FakeLink()
    confirmer = FeedConfirmer(core.confirm_index)
    links: list[Any] = [first, second]
    for link in links:
        confirmer.on_request(link, ConfirmationRequest(1))
    confirmer.tick()
    confirmer.on_request(links[1], ConfirmationRequest(2))
    core.inquiries[0](None)
    confirmer.tick()
    core.inquiries[1](4)
    assert first.sent == [["confirmed", 1, 4]] and second.sent == [["confirmed", 2, 4]]


def test_a_router_that_has_left_is_not_answered() -> None:
    core, link = Core(), FakeLink()
    confirmer = FeedConfirmer(core.confirm_index)
    router: Any = link
    confirmer.on_request(router, ConfirmationRequest(1))
    confirmer.on_subscriber_disconnected(router)
    confirmer.tick()
    assert not core.inquiries
    confirmer.on_request(router, ConfirmationRequest(2))
    confirmer.tick()
    confirmer.on_subscriber_disconnected(router)
    core.inquiries[0](None)
    confirmer.tick()
    assert len(core.inquiries) == 1 and not link.sent


@pytest.mark.parametrize("message", [["confirm"], ["confirm", "1"], ["confirm", 1, 2]])
def test_a_malformed_request_is_an_error(message: list[Any]) -> None:
    with pytest.raises(FrameError):
        ConfirmationRequest.from_wire(message)


def test_limits_follow_the_bounds() -> None:
    bounds = Bounds(configuration_apply_ms=2000, revocation_ms=5000)
    assert AgeLimits.from_bounds(bounds) == AgeLimits(2.0 * LIMIT_SHARE, math.inf)
    closed = AgeLimits.from_bounds(replace(bounds, revocation_closed=True))
    assert closed.keys_s == 5.0 * LIMIT_SHARE


@given(
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("applied"), st.integers(0, 20)),
            st.tuples(st.just("confirmed"), st.integers(0, 20), st.integers(0, 100)),
        ),
        max_size=40,
    )
)
def test_a_confirmation_counts_only_once_its_entries_are_applied(steps: list[tuple[Any, ...]]) -> None:
    age, applied, confirmations = ConfigurationAge(), 0, list[tuple[int, int]]()
    for kind, *fields in steps:
        if kind == "applied":
            applied = max(applied, fields[0])
            age.on_applied(applied)
        else:
            confirmations.append((fields[0], fields[1]))
            age.on_confirmed(float(fields[1]), fields[0], applied)
        usable = [at for index, at in confirmations if index <= applied]
        assert age.confirmed_at <= max(usable, default=-math.inf)
        if len(confirmations) <= MAX_UNAPPLIED_CONFIRMATIONS:
            assert age.confirmed_at == max(usable, default=-math.inf)


# A router's subscriber.


async def subscriber_of(registrar: FakeRegistrar, **settings: Any) -> tuple[FeedSubscriber, Fleet]:  # noqa: ANN401
    fleet = Fleet()
    port = await registrar.listen("127.0.0.1", 0)
    feed = FeedSubscriber(replace(settings_for(port, "127.0.0.1"), **settings), fleet, Counters())
    feed.reconcile_sources(asyncio.get_running_loop().time())
    await soon(registrar.up.wait())
    assert await soon(registrar.received.get()) == ["follow", 0]
    return feed, fleet


def close(feed: FeedSubscriber, *registrars: FakeRegistrar) -> None:
    feed.close()
    for each in registrars:
        each.close()


# Guards against a configuration that counts as recent because old bytes are read late, as after a freeze
# (review/4, WALL).
@play
async def test_the_age_counts_from_the_request_however_late_the_reply_is_read(tmp_path: Any) -> None:  # noqa: ANN401
    registrar = FakeRegistrar()
    feed, fleet = await subscriber_of(registrar)
    link = registrar.links[0]
    link.send(FEATURES)
    kind, sent_at_us = await soon(registrar.received.get())
    assert kind == "confirm"
    link.send(["beat", True, 0, [], 4, {}])
    await soon(wait_until(lambda: fleet.fresh))
    assert fleet.configuration_age.confirmed_at == -math.inf  # a heartbeat may have waited in a socket
    link.send(["confirmed", sent_at_us, 0])
    await soon(wait_until(lambda: fleet.configuration_age.confirmed_at > 0))
    assert fleet.configuration_age.confirmed_at == sent_at_us / 1e6
    link.send(["confirmed", sent_at_us - 1000, 0])  # an older reply
    link.send(["confirmed", sent_at_us + 10**12, 0])  # a time to come
    await soon(wait_until(lambda: fleet.configuration_age.confirmed_at != sent_at_us / 1e6))
    assert fleet.configuration_age.confirmed_at <= asyncio.get_running_loop().time()
    close(feed, registrar)


@play
async def test_a_reply_counts_once_the_entries_that_it_names_are_applied(tmp_path: Any) -> None:  # noqa: ANN401
    registrar = FakeRegistrar()
    feed, fleet = await subscriber_of(registrar)
    link = registrar.links[0]
    link.send(FEATURES)
    _, sent_at_us = await soon(registrar.received.get())
    link.send(["confirmed", sent_at_us, 5])
    link.send(["topic", "roster", [1, 1], []])
    await soon(wait_until(lambda: "roster" in feed.soft_state.values))
    assert fleet.configuration_age.confirmed_at == -math.inf
    link.send(["state", 5, ReplicatedConfiguration().apply(["replace", 0, DOCUMENT]).to_wire()])
    await soon(wait_until(lambda: fleet.state is not None))
    assert fleet.configuration_age.confirmed_at == sent_at_us / 1e6
    close(feed, registrar)


@play
async def test_a_registrar_of_an_earlier_release_is_not_asked_and_confirms_by_its_heartbeats(
    tmp_path: Any,  # noqa: ANN401
) -> None:
    registrar = FakeRegistrar()
    feed, fleet = await subscriber_of(registrar)
    link = registrar.links[0]
    link.send(["beat", False, 0, [], 4, {}])
    link.send(["beat", True, 3, [], 4, {}])
    await soon(wait_until(lambda: feed.lag.began_at is not None))
    assert fleet.configuration_age.confirmed_at == -math.inf
    link.send(["state", 3, ReplicatedConfiguration().apply(["replace", 0, DOCUMENT]).to_wire()])
    await soon(wait_until(lambda: fleet.configuration_age.confirmed_at > 0))
    feed.confirmations.tick(asyncio.get_running_loop().time(), feed.sources.values(), feed.primary)
    link.send(["topic", "roster", [1, 1], []])
    await soon(wait_until(lambda: "roster" in feed.soft_state.values))
    kinds = [registrar.received.get_nowait()[0] for _ in range(registrar.received.qsize())]
    assert "confirm" not in kinds
    close(feed, registrar)


@play
async def test_the_primary_alone_is_asked_until_confirmations_are_overdue(tmp_path: Any) -> None:  # noqa: ANN401
    first, second, fleet = FakeRegistrar(), FakeRegistrar(), Fleet()
    port = await first.listen("127.0.0.1", 0)
    await second.listen("127.0.0.2", port)
    feed = FeedSubscriber(settings_for(port, "127.0.0.1", "127.0.0.2"), fleet, Counters())
    now = asyncio.get_running_loop().time()
    feed.reconcile_sources(now)
    addresses = [[f"127.0.0.{host}:{port}", "a"] for host in (1, 2)]
    for registrar in (first, second):
        await soon(registrar.up.wait())
        registrar.links[0].send(FEATURES)
        registrar.links[0].send(["beat", True, 0, addresses, 4, {}])
    await soon(wait_until(lambda: all(each.is_current and each.confirms for each in feed.sources.values())))
    assert len(feed.sources) == 2 and feed.primary is not None

    asked: list[str] = []

    def record(address: str) -> Callable[[list[Any]], None]:
        return lambda message: asked.append(address) if message[0] == "confirm" else None

    for source in feed.sources.values():
        assert source.link is not None
        source.link.send = record(source.address)  # type: ignore[method-assign, assignment]

    def asked_at(at: float) -> list[str]:
        asked.clear()
        feed.confirmations.tick(at, feed.sources.values(), feed.primary)
        return sorted(asked)

    primary = feed.primary.address
    fleet.configuration_age.confirmed_at = now
    assert asked_at(now) == [primary]
    assert asked_at(now + INTERVAL_S / 2) == []
    assert asked_at(now + INTERVAL_S) == [primary]
    overdue_s = (MISSED_CONFIRMATIONS + 1) * INTERVAL_S
    assert asked_at(now + overdue_s) == sorted(feed.sources)
    close(feed, first, second)
