"""The environments that connect the singleton roles to the registrar: lease, configuration and soft state.

A role's results are published as soft state under its lease's fencing token. The token is read anew before
each action, since a lease can end at any moment.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.configuration.service_rollouts import AdvanceRollout, RolloutRecord
from plumline.coordination.log import Change
from plumline.counters import Counters
from plumline.errors import PlumlineError
from plumline.prefix_cache.index import MIN_EVENT_PART_TOKENS
from plumline.registrar.cache_store_events import StoreEvents
from plumline.registrar.cache_stores import StoreStatuses
from plumline.registrar.peer_messages import PromptEvents
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.rollout.plan import RolloutStates
from plumline.registrar.soft_state_replication import SoftStateReplicator, Topic
from plumline.routing.fleet_state import ListedEndpoint, RolloutGrant, RolloutState
from plumline.wire.http import Address
from plumline.wire.mesh import Mesh

MAX_EVENTS_PER_MESSAGE = 500  # of a cache store

#: Returns the fencing token of a role's lease, None unless the lease is held at this moment.
FencingToken = Callable[[], int | None]

#: Returns the configuration that is committed at this registrar.
CommittedConfiguration = Callable[[], ReplicatedConfiguration]


class RegistrarDiscoveryEnvironment:
    """The environment of EndpointDiscovery."""

    def __init__(
        self, token: FencingToken, replicator: SoftStateReplicator, on_published: Callable[[], None]
    ) -> None:
        """`on_published()` is called after each call of `publish`."""
        self._token, self._replicator, self._on_published = token, replicator, on_published

    def may_read(self) -> bool:
        """Whether the lease is held, or no list is known, as after a power failure.

        Then no registrar can hold the lease for a while, and routers can't serve requests without a list.
        """
        return self._token() is not None or not self._list_is_known()

    def term(self) -> int | None:
        """The term of the lease if it is held at this moment, else None."""
        return self._token()

    def publish(self, endpoints: Sequence[ListedEndpoint]) -> bool:
        """Publishes the list; without the lease only if none is known, and only to own subscribers.

        Returns whether it was published.
        """
        value = [endpoint.to_wire() for endpoint in endpoints]
        if (token := self._token()) is not None:
            published = self._replicator.publish(Topic.ENDPOINTS, token, value)
        elif published := bool(value) and not self._list_is_known():
            self._replicator.publish_without_lease(Topic.ENDPOINTS, value)
        self._on_published()
        return published

    def _list_is_known(self) -> bool:
        return self._replicator.soft_state.get(Topic.ENDPOINTS) is not None


class RegistrarCacheStoreEnvironment:
    """The environment of CacheStoreMonitor."""

    def __init__(
        self,
        token: FencingToken,
        configuration: CommittedConfiguration,
        replicator: SoftStateReplicator,
        publisher: FeedPublisher,
        mesh: Mesh,
        counters: Counters,
    ) -> None:
        self._token, self._configuration = token, configuration
        self._replicator, self._publisher, self._mesh = replicator, publisher, mesh
        self._counters = counters
        self._document: Document | None = None  # that `_addresses` was computed from
        self._addresses: dict[str, Address] = {}

    def term(self) -> int | None:
        """The term of the lease if it is held at this moment, else None."""
        return self._token()

    def holds_lease(self) -> bool:
        """Whether the lease is held at this moment."""
        return self._token() is not None

    def addresses(self) -> Mapping[str, Address]:
        """The addresses of the stores that have one, by name; computed once for each configuration."""
        document = self._configuration().configuration
        if document is not self._document:
            self._document = document
            stores = RouteTable(document).cache_stores if document else {}
            self._addresses = {
                name: store.cache_store_address for name, store in stores.items() if store.cache_store_address
            }
        return self._addresses

    def publish(self, statuses: StoreStatuses) -> bool:
        """Publishes the statuses, if the lease is still held. Returns whether they were published."""
        if (token := self._token()) is None:
            return False
        value = {name: status.to_wire() for name, status in statuses.items()}
        return self._replicator.publish(Topic.CACHE_STORES, token, value)

    def publish_events(self, address: Address, events: StoreEvents) -> None:
        """Sends a store's events to all routers: evictions, and additions of large enough prefixes."""
        if events.lost:
            self._counters.add("stores.events-lost")
        changes = [
            change.to_wire()
            for change in events.changes
            if change.cached_tokens >= MIN_EVENT_PART_TOKENS or change.sign == "-"
        ]
        host, port = address
        # A message is sent even without changes, since the epoch may have changed.
        for start in range(0, max(len(changes), 1), MAX_EVENTS_PER_MESSAGE):
            stored = ["stored", events.epoch, changes[start : start + MAX_EVENTS_PER_MESSAGE]]
            message = PromptEvents(f"{host}:{port}", [stored]).to_wire()
            self._publisher.forward_prompt_events(message)
            self._mesh.send_all(message)


class RegistrarRolloutEnvironment:
    """The environment of EndpointRolloutLoop."""

    def __init__(
        self,
        token: FencingToken,
        configuration: CommittedConfiguration,
        replicator: SoftStateReplicator,
    ) -> None:
        self._token, self._configuration, self._replicator = token, configuration, replicator
        self._endpoints = PublishedEndpoints(replicator)

    def fencing_token(self) -> int | None:
        """The fencing token of the lease, None unless it is held at this moment."""
        return self._token()

    def endpoints(self) -> Sequence[ListedEndpoint]:
        """The newest list, empty if there is none."""
        return self._endpoints.newest()

    def desired_versions(self) -> Mapping[str, int]:
        """The committed versions of the weights, by model."""
        return self._configuration().model_versions

    def publish(self, states: RolloutStates) -> None:
        """Publishes the states, if the lease is still held."""
        if (token := self._token()) is not None:
            value = {endpoint_id: state.to_wire() for endpoint_id, state in states.items()}
            self._replicator.publish(Topic.ROLLOUT, token, value)


class RegistrarServiceRolloutEnvironment:
    """The environment of ServiceRolloutLoop."""

    def __init__(
        self,
        token: FencingToken,
        configuration: CommittedConfiguration,
        replicator: SoftStateReplicator,
        live_routers: Callable[[], Iterable[str]],
        submit: Callable[[Change, Callable[[PlumlineError | None], None]], None],
    ) -> None:
        """`submit(change, on_result)`: submits a change to the head of the chain."""
        self._token, self._configuration = token, configuration
        self._replicator, self._live_routers, self._submit = replicator, live_routers, submit
        self._endpoints = PublishedEndpoints(replicator)

    def fencing_token(self) -> int | None:
        """The term of the lease, None unless it is held at this moment."""
        return self._token()

    def records(self) -> Mapping[str, RolloutRecord]:
        """The committed records, by service."""
        return self._configuration().rollouts.records

    def endpoints(self) -> Sequence[ListedEndpoint]:
        """The newest list, empty if there is none."""
        return self._endpoints.newest()

    def live_routers(self) -> frozenset[str]:
        """The nodes of the routers that are alive."""
        return frozenset(self._live_routers())

    def publish(self, grants: Mapping[str, RolloutGrant]) -> None:
        """Publishes the grants, if the lease is still held."""
        if (token := self._token()) is not None:
            value = {service: grant.to_wire() for service, grant in grants.items()}
            self._replicator.publish(Topic.GRANTS, token, value)

    def has_published_grants(self) -> bool:
        """Whether the newest grants that any lease holder has published are not empty."""
        return bool(self._replicator.soft_state.get(Topic.GRANTS))

    def record(self, decision: AdvanceRollout, on_result: Callable[[PlumlineError | None], None]) -> None:
        """Submits a decision to the chain."""
        self._submit(decision.to_change(), on_result)


class PublishedEndpoints:
    """Decodes the published list of endpoints, once for each list."""

    def __init__(self, replicator: SoftStateReplicator) -> None:
        self._replicator = replicator
        self._decoded: Any = None  # the published value that `_endpoints` was decoded from
        self._endpoints: list[ListedEndpoint] = []

    def newest(self) -> Sequence[ListedEndpoint]:
        """The newest list, empty if there is none."""
        value = self._replicator.soft_state.get(Topic.ENDPOINTS)
        if value is not self._decoded:
            self._endpoints = [ListedEndpoint.from_wire(item) for item in value or ()]
            self._decoded = value
        return self._endpoints


def rollout_states_from_wire(value: Any) -> RolloutStates:  # noqa: ANN401 (plain values of a message)
    """Decodes the published states of a roll-out. Raises ValueError if the value is malformed."""
    if not isinstance(value, Mapping) or not all(isinstance(state, Mapping) for state in value.values()):
        raise ValueError("no states of a roll-out")
    return {endpoint_id: RolloutState.from_wire(state) for endpoint_id, state in value.items()}
