"""The singleton roles: work that one registrar of the fleet does at a time, the holder of the role's lease.

| lease       | roles                                                                      |
| ----------- | -------------------------------------------------------------------------- |
| `discovery` | endpoint discovery, health checks of the cache stores, roll-outs of        |
|             | service versions; the term is recorded with each stage                     |
| `weights`   | roll-outs of versions of the endpoints' weights; the term is the fencing token |

All loops run at each registrar; a loop does nothing while its lease is held elsewhere.
"""

from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from plumline import logs
from plumline.coordination.core import Core
from plumline.coordination.lease import LeaseDurations
from plumline.coordination.log import Change
from plumline.counters import Counters
from plumline.errors import PlumlineError
from plumline.registrar.cache_stores import CacheStoreMonitor
from plumline.registrar.discovery import EndpointDiscovery
from plumline.registrar.forwarding import RequestForwarder
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.rollout.loop import EndpointRolloutLoop
from plumline.registrar.router_directory import RouterDirectory
from plumline.registrar.service_rollout.controller import ExposureBound
from plumline.registrar.service_rollout.loop import ServiceRolloutLoop
from plumline.registrar.singleton_environments import (
    RegistrarCacheStoreEnvironment,
    RegistrarDiscoveryEnvironment,
    RegistrarRolloutEnvironment,
    RegistrarServiceRolloutEnvironment,
    rollout_states_from_wire,
)
from plumline.registrar.soft_state_replication import SoftStateReplicator, Topic
from plumline.routing.rollout_report import RolloutReport
from plumline.settings import Settings
from plumline.wire.calls import Caller
from plumline.wire.mesh import Mesh

DISCOVERY_LEASE_S = 1.2  # s; no lock delay: concurrent calls of two holders only cost more
WEIGHTS_LEASE_S = 1.0  # s
LOCK_DELAY_MARGIN_S = 0.4  # s added to the lock delay that the deployment asks for

log = logs.logger("registrar")

Clock = Callable[[], float]


class Lease(StrEnum):
    """The leases, as they are named on the wire and on disk."""

    DISCOVERY = "discovery"
    WEIGHTS = "weights"


def lease_durations(settings: Settings) -> dict[str, LeaseDurations]:
    """The duration of each lease, and the delay after its end before another registrar may acquire it."""
    lock_delay_s = settings.bounds.lease_duration_ms / 1000 + LOCK_DELAY_MARGIN_S
    return {
        Lease.DISCOVERY: LeaseDurations(DISCOVERY_LEASE_S, 0.0),
        Lease.WEIGHTS: LeaseDurations(WEIGHTS_LEASE_S, lock_delay_s),
    }


class SingletonRoles:
    """Wires the loops of all roles to the registrar, and forwards events to them."""

    def __init__(
        self,
        settings: Settings,
        core: Core,
        replicator: SoftStateReplicator,
        publisher: FeedPublisher,
        mesh: Mesh,
        counters: Counters,
        clock: Clock,
        forwarder: RequestForwarder,
        routers: RouterDirectory,
    ) -> None:
        """`clock()`: s, steady."""
        self.core, self.clock, self.forwarder = core, clock, forwarder
        self.known_terms: dict[Lease, int | None] = {}  # of the leases held here, as of the last check
        caller = Caller(clock)
        self.rollout = EndpointRolloutLoop(
            caller,
            settings.node_name,
            RegistrarRolloutEnvironment(
                token=lambda: self._active_term(Lease.WEIGHTS),
                configuration=lambda: core.chain.state,
                replicator=replicator,
            ),
            clock,
            apply_timeout_s=settings.bounds.version_apply_ms / 1000,
        )
        self.service_rollouts = ServiceRolloutLoop(
            RegistrarServiceRolloutEnvironment(
                token=lambda: self._active_term(Lease.DISCOVERY),
                configuration=lambda: core.chain.state,
                replicator=replicator,
                live_routers=lambda: routers.live_routers(clock()),
                submit=self._submit,
            ),
            clock,
            exposure=ExposureBound(settings.bounds.exposure_share, settings.bounds.exposure_slack),
        )
        self.discovery = EndpointDiscovery(
            settings,
            caller,
            RegistrarDiscoveryEnvironment(
                token=lambda: self._active_term(Lease.DISCOVERY),
                replicator=replicator,
                on_published=self._on_endpoints_published,
            ),
            clock,
        )
        self.cache_stores = CacheStoreMonitor(
            caller,
            RegistrarCacheStoreEnvironment(
                token=lambda: self._active_term(Lease.DISCOVERY),
                configuration=lambda: core.chain.state,
                replicator=replicator,
                publisher=publisher,
                mesh=mesh,
                counters=counters,
            ),
            clock,
        )

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Coroutines of the loops, which run until they are cancelled."""
        return (
            self.discovery.run(),
            self.cache_stores.run(),
            self.rollout.run(),
            self.service_rollouts.run(),
        )

    # Events.

    def campaign(self) -> None:
        """Starts to campaign for all leases."""
        for lease in Lease:
            self.core.campaign(self.clock(), lease)

    def check_leases(self, now: float) -> None:
        """Wakes all loops when a lease was acquired or lost. `now`: s, steady."""
        for lease in Lease:
            term = self.core.lease_election.fencing_token(now, lease)
            if term != self.known_terms.get(lease):
                self.known_terms[lease] = term
                log.info(logs.event("lease", name=lease, term=term))
                self.discovery.wake()
                self.cache_stores.wake()
                self.rollout.wake()
                self.service_rollouts.wake()

    def on_rollout_report(self, report: RolloutReport) -> None:
        """Records a router's report of the roll-outs that are under way."""
        self.service_rollouts.reports.add_report(report)

    def on_configuration_changed(self) -> None:
        """Wakes the loops that read the configuration."""
        self.rollout.wake()
        self.cache_stores.wake()
        self.service_rollouts.wake()

    def on_soft_state_update(self, topic: str, value: Any) -> None:  # noqa: ANN401
        """Another registrar has published this value of a topic. Raises ValueError for a malformed one."""
        if topic == Topic.ROLLOUT:
            self.rollout.inherit(rollout_states_from_wire(value))
        self.rollout.wake()

    def refresh_endpoints(self) -> None:
        """A router misses an endpoint: reads the list again soon, if the lease is held here."""
        self.discovery.refresh_soon()

    def _on_endpoints_published(self) -> None:
        self.rollout.wake()
        self.service_rollouts.wake()

    # Callbacks of the roles.

    def _submit(self, change: Change, on_result: Callable[[PlumlineError | None], None]) -> None:
        """Submits a change to the head of the chain, as for an operator's request."""
        self.forwarder.submit(self.clock(), change, 0, lambda error, _: on_result(error))

    def _active_term(self, lease: Lease) -> int | None:
        """The term of the lease if this registrar holds it at this moment, else None."""
        return self.core.lease_election.fencing_token(self.clock(), lease)
