"""What a registrar publishes of the platform's list, from the read to the value that its routers hold.

The loop, its environment and the replicator are the real ones; lease, platform and links are fakes.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.registrar.discovery import EndpointDiscovery
from plumline.registrar.singleton_environments import RegistrarDiscoveryEnvironment
from plumline.registrar.soft_state_replication import SoftStateReplicator, Topic
from plumline.settings import Bounds, Settings
from plumline.wire.calls import Answer, CallTimeoutError

DRAIN_S = 3.0
START_S = 100.0
EARLIER_TERM = 5


class Registrar:
    """A registrar that has just started: no list is known to it, and no lease is held."""

    def __init__(self) -> None:
        self.now = START_S
        self.token: int | None = None
        self.states = {"a": "ready", "b": "ready"}
        self.outage = (math.inf, math.inf)  # from, to: the platform is silent
        self.reads: list[float] = []  # when complete reads began
        self.routers = SoftState()  # what a router that is subscribed here holds
        self.soft_state = SoftState()
        mesh = Mock()
        replicator = SoftStateReplicator(self.soft_state, self, mesh, Counters())  # type: ignore[arg-type]
        environment = RegistrarDiscoveryEnvironment(lambda: self.token, replicator, lambda: None)
        settings = Settings(
            "r-1",
            "10.0.0.2",
            (7000, 7001),
            cloud_api=("10.9.9.9", 1),
            cloud_rate_per_s=50.0,
            bounds=Bounds(drain_ms=DRAIN_S * 1000),
        )
        self.discovery = EndpointDiscovery(
            settings,
            self,
            environment,
            lambda: self.now,
            wait=self.wait,
            jitter=lambda: 1.0,  # type: ignore[arg-type]
        )
        self.next_poll_at = self.now

    async def call(
        self,
        name: str,
        address: tuple[str, int],
        *,
        query: str,
        prepare: Callable[[], Any],
        timeout_s: float,
    ) -> Answer:
        prepare()
        if self.outage[0] <= self.now < self.outage[1]:
            self.now += timeout_s
            raise CallTimeoutError("silent", sent=True)
        self.reads.append(self.now)
        instances = [
            {"Identifier": key, "Service": "s", "Address": "10.0.0.1:80", "State": state}
            for key, state in self.states.items()
        ]
        return Answer(200, {}, {"Instances": instances, "NextToken": None})

    async def wait(self, event: asyncio.Event, seconds: float) -> None:
        self.now += seconds

    def publish_soft_state(self, topic: str) -> None:
        value = self.soft_state.values[topic]
        self.routers.update(topic, value.version, value.value)

    def run_until(self, end: float) -> None:
        """Polls when the loop would."""
        while self.next_poll_at <= end:
            self.now = max(self.now, self.next_poll_at)
            delay_s = asyncio.run(self.discovery.poll())
            self.next_poll_at = self.now + delay_s
        self.now = end

    def set_token(self, token: int | None) -> None:
        """The lease is won or lost, which wakes the loop."""
        self.token, self.next_poll_at = token, self.now

    def draining(self) -> set[str]:
        """The endpoints that the router takes for draining."""
        return {each["id"] for each in self.routers.get(Topic.ENDPOINTS) or () if each["draining"]}


def router_with_an_earlier_list(registrar: Registrar) -> None:
    """The router has outlived the registrars: it holds the list of an earlier lease holder."""
    earlier = [{"id": key, "draining": False} for key in registrar.states]
    registrar.routers.update(Topic.ENDPOINTS, (EARLIER_TERM, 17), earlier)


# Guards against DRAIN: a list read before the lease was won reached routers 5 s after it was won.
def test_a_list_read_before_the_lease_was_won_reaches_routers_as_soon_as_it_is_held() -> None:
    registrar = Registrar()
    router_with_an_earlier_list(registrar)
    registrar.states["a"] = "draining"
    registrar.run_until(START_S + 0.6)
    registrar.set_token(EARLIER_TERM + 1)
    registrar.run_until(START_S + DRAIN_S)
    assert registrar.draining() == {"a"}


# Guards against DRAIN: after a lease was lost and won again between two polls, another holder's list stayed.
def test_a_list_is_published_under_each_term_of_its_lease() -> None:
    registrar = Registrar()
    registrar.set_token(EARLIER_TERM)
    registrar.states["a"] = "draining"
    registrar.run_until(START_S + 0.2)
    assert registrar.draining() == {"a"}
    # Another holder publishes what it read earlier, and loses the lease again.
    stale = [{"id": key, "draining": False} for key in registrar.states]
    for copy in (registrar.soft_state, registrar.routers):
        copy.update(Topic.ENDPOINTS, (EARLIER_TERM + 1, 1), stale)
    registrar.set_token(EARLIER_TERM + 2)
    registrar.run_until(START_S + DRAIN_S)
    assert registrar.draining() == {"a"}


# Guards against DRAIN: a list that the replicator had turned down counted as published.
def test_a_list_that_was_not_published_is_published_once_it_may_be() -> None:
    registrar = Registrar()
    registrar.set_token(EARLIER_TERM)
    stale = [{"id": key, "draining": False} for key in registrar.states]
    for copy in (registrar.soft_state, registrar.routers):
        copy.update(Topic.ENDPOINTS, (EARLIER_TERM + 1, 1), stale)
    registrar.states["a"] = "draining"
    registrar.run_until(START_S + 0.2)
    assert registrar.draining() == set()
    registrar.set_token(EARLIER_TERM + 2)
    registrar.run_until(START_S + DRAIN_S)
    assert registrar.draining() == {"a"}


def uncounted_outage_s(outage_s: float) -> float:
    """Time between two complete reads around an outage of the platform, the outage itself left out."""
    registrar = Registrar()
    registrar.set_token(EARLIER_TERM)
    began = START_S + 5.99  # shortly before a read is due
    registrar.outage = began, began + outage_s
    registrar.run_until(began + outage_s + 10.0)
    last_before = max(at for at in registrar.reads if at < began)
    first_after = min(at for at in registrar.reads if at >= began)
    return first_after - last_before - outage_s


# Guards against DRAIN: after an outage of the platform the list was read again only after a long pause.
def test_after_an_outage_of_the_platform_the_list_is_read_within_the_drain_time() -> None:
    outages = [step / 10 for step in range(1, 120)]
    late = {outage_s: late_s for outage_s in outages if (late_s := uncounted_outage_s(outage_s)) >= DRAIN_S}
    assert not late
