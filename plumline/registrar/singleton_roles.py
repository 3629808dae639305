"""The singleton roles: what only one registrar of the fleet does at a time, the holder of the role's lease.

| lease       | roles                                                                      |
| ----------- | -------------------------------------------------------------------------- |
| `discovery` | keeping the endpoint list, health checks of the cache stores               |
| `weights`   | rolling out versions of the endpoints' weights; the term is the fencing token |

All loops run at each registrar; they do nothing while its lease is held elsewhere.
"""

from collections.abc import Callable, Coroutine, Mapping
from enum import StrEnum
from typing import Any

from plumline import logs
from plumline.configuration.document import Document
from plumline.configuration.route_table import RouteTable
from plumline.coordination.core import Core
from plumline.coordination.lease import LeaseDurations
from plumline.counters import Counters
from plumline.prefix_cache.index import TOLD_PART
from plumline.registrar.cache_stores import CacheStoreMonitor
from plumline.registrar.discovery import EndpointDiscovery
from plumline.registrar.peer_messages import PromptEvents
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.rollout.loop import RolloutController
from plumline.registrar.soft_state_replication import SoftStateReplicator, Topic
from plumline.settings import Settings
from plumline.wire.calls import Caller
from plumline.wire.mesh import Mesh

DISCOVERY_LEASE_S = 1.2  # s; no lock delay: the calls of two holders do no harm but their price
WEIGHTS_LEASE_S = 1.0  # s
LOCK_DELAY_MARGIN_S = 0.4  # s added to the lock delay that the deployment asks for
MAX_EVENTS_PER_MESSAGE = 500  # of a cache store; they are small
DELETION_SIGN = "-"  # of a cache store's event

log = logs.logger("registrar")

Clock = Callable[[], float]


class Lease(StrEnum):
    """The leases, as they are named on the wire and on disk."""

    DISCOVERY = "discovery"
    WEIGHTS = "weights"


def lease_durations(settings: Settings) -> dict[str, LeaseDurations]:
    """How long each lease lasts, and rests after it has ended before another registrar may win it."""
    lock_delay_s = settings.bounds.lease_duration_ms / 1000 + LOCK_DELAY_MARGIN_S
    return {
        Lease.DISCOVERY: LeaseDurations(DISCOVERY_LEASE_S, 0.0),
        Lease.WEIGHTS: LeaseDurations(WEIGHTS_LEASE_S, lock_delay_s),
    }


class SingletonRoles:
    """The roles' loops, what they read, and where what they find is published."""

    def __init__(
        self,
        settings: Settings,
        core: Core,
        replicator: SoftStateReplicator,
        publisher: FeedPublisher,
        mesh: Mesh,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """`clock()`: s, steady."""
        self.core, self.replicator, self.publisher, self.mesh = core, replicator, publisher, mesh
        self.soft_state, self.counters, self.clock = replicator.soft_state, counters, clock
        self.known_terms: dict[Lease, int | None] = {}  # held here, as of the last check
        self.store_addresses = StoreAddresses()
        caller = Caller(clock)
        self.discovery = EndpointDiscovery(settings, caller, self._may_discover, self._publish_endpoints)
        self.cache_stores = CacheStoreMonitor(
            caller,
            lambda: self.store_addresses.of(core.chain.state.configuration),
            lambda: self._active_term(Lease.DISCOVERY) is not None,
            self._publish_cache_stores,
            clock,
            on_events=self._publish_store_events,
        )
        self.rollout = RolloutController(
            caller,
            settings.node_name,
            lambda: self._active_term(Lease.WEIGHTS),
            lambda: self.soft_state.get(Topic.ENDPOINTS) or [],
            lambda: core.chain.state.weight_versions,
            self._publish_rollout,
            clock,
            apply_timeout_s=settings.bounds.version_apply_ms / 1000,
        )

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """The loops, which run until they are cancelled."""
        return self.discovery.run(), self.cache_stores.run(), self.rollout.run()

    # Events.

    def campaign(self) -> None:
        """Stands for all leases from now on."""
        for lease in Lease:
            self.core.campaign(self.clock(), lease)

    def check_leases(self, now: float) -> None:
        """Wakes all loops when a lease was won or lost. `now`: s, steady."""
        for lease in Lease:
            term = self.core.lease_election.fencing_token(now, lease)
            if term != self.known_terms.get(lease):
                self.known_terms[lease] = term
                log.info(logs.words("lease", name=lease, term=term))
                self.discovery.wake()
                self.cache_stores.wake()
                self.rollout.wake()

    def on_configuration_changed(self) -> None:
        """Wakes the loops that read the configuration."""
        self.rollout.wake()
        self.cache_stores.wake()

    def on_soft_state_update(self, topic: str, value: Any) -> None:  # noqa: ANN401
        """Another registrar has published this value of a topic."""
        if topic == Topic.ROLLOUT:
            self.rollout.inherit(value)
        self.rollout.wake()

    def refresh_endpoints(self) -> None:
        """A router misses an endpoint: the list is read again soon, if the lease is held here."""
        self.discovery.refresh_soon()

    # What the loops ask.

    def _active_term(self, lease: Lease) -> int | None:
        """The term of the lease if this registrar may act for it right now."""
        return self.core.lease_election.fencing_token(self.clock(), lease)

    def _may_discover(self) -> bool:
        """Whether the lease is held, or no endpoint list is known, as after a loss of power: nobody can hold
        the lease for a while then, and routers can do nothing without a list."""
        return self._active_term(Lease.DISCOVERY) is not None or self.soft_state.get(Topic.ENDPOINTS) is None

    # What the loops publish.

    def _publish_endpoints(self, endpoints: list[dict[str, Any]]) -> None:
        if (term := self._active_term(Lease.DISCOVERY)) is not None:
            self.replicator.publish(Topic.ENDPOINTS, term, endpoints)
        elif self.soft_state.get(Topic.ENDPOINTS) is None and endpoints:
            self.replicator.publish_without_lease(Topic.ENDPOINTS, endpoints)
        self.rollout.wake()

    def _publish_cache_stores(self, stores: Mapping[str, dict[str, Any]]) -> None:
        if (term := self._active_term(Lease.DISCOVERY)) is not None:
            self.replicator.publish(Topic.CACHE_STORES, term, stores)

    def _publish_rollout(self, states: Mapping[str, dict[str, Any]]) -> None:
        if (term := self._active_term(Lease.WEIGHTS)) is not None:
            self.replicator.publish(Topic.ROLLOUT, term, states)

    def _publish_store_events(
        self, address: tuple[str, int], epoch: int, lost: bool, changes: list[Any]
    ) -> None:
        """Sends a cache store's events to all routers: deletions, and additions large enough to count."""
        if lost:
            self.counters.add("stores.events-lost")
        reported = [change for change in changes if change[3] >= TOLD_PART or change[0] == DELETION_SIGN]
        host, port = address
        for start in range(0, max(len(reported), 1), MAX_EVENTS_PER_MESSAGE):
            stored = ["stored", epoch, reported[start : start + MAX_EVENTS_PER_MESSAGE]]
            message = PromptEvents(f"{host}:{port}", [stored]).to_wire()
            self.publisher.forward_prompt_events(message)
            self.mesh.send_all(message)


class StoreAddresses:
    """The addresses of the cache stores, worked out once for each configuration."""

    def __init__(self) -> None:
        self._configuration: Document | None = None  # that the addresses are from
        self._addresses: dict[str, tuple[str, int]] = {}

    def of(self, configuration: Document | None) -> dict[str, tuple[str, int]]:
        """(host, port) by the store's name, of those that have an address."""
        if configuration is not self._configuration:
            self._configuration = configuration
            stores = RouteTable(configuration).cache_stores if configuration else {}
            self._addresses = {
                name: store.cache_store_address for name, store in stores.items() if store.cache_store_address
            }
        return self._addresses
