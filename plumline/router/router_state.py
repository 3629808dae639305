"""State shared by all requests of a router: loads, the prefix cache index, prefix homes, stores, versions and
shares; and its updates when the fleet changes."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from plumline import logs
from plumline.configuration.entities import Service
from plumline.coordination import rendezvous
from plumline.coordination.retry_budget import RetryBudget
from plumline.counters import Counters
from plumline.prefix_cache.blocks import PrefixBlock
from plumline.prefix_cache.events import Done, Placed, Read, Stored, decode_event
from plumline.prefix_cache.index import Placement, PrefixCacheIndex
from plumline.router.drain import DrainDeadlines
from plumline.router.relay import Headers, value_of
from plumline.router.upstream import ConnectionPool
from plumline.routing.cache_salt import AcknowledgedVersions
from plumline.routing.configuration_age import AgeLimits
from plumline.routing.endpoint_load import Affinity, EndpointLoad
from plumline.routing.fleet import Address, Endpoint, Fleet
from plumline.routing.fleet_state import StoreStatus
from plumline.routing.outcomes import Outcomes, store_key
from plumline.routing.prefix_homes import PrefixHomes
from plumline.routing.read_rates import ServiceReadRates
from plumline.routing.reserved_quota import ReservedQuotas
from plumline.routing.rollout_evidence import RolloutEvidence
from plumline.routing.rollout_report import AnswerTally, ServiceReport
from plumline.routing.version_gate import VersionGate
from plumline.settings import Settings

CONNECT_TIMEOUT_S = 0.3
UNREPORTED_STORE = StoreStatus(up=True, epoch=0)  # assumed until the core reports the store

log = logs.logger("dispatch")


def address_text(address: Address) -> str:
    """The address as "ip:port"."""
    return f"{address[0]}:{address[1]}"


class Budget(Protocol):
    """Limits retries, see `plumline.coordination.retry_budget`."""

    def record_request(self, now: float, service: str) -> None:
        """Counts a request for the service."""

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        """Whether one more attempt beyond the first is allowed; if so, it is counted."""


def retry_budget(settings: Settings, now: float) -> RetryBudget:
    """This router's share of the fleet's retry budget, from the settings' bounds."""
    bounds = settings.bounds
    return RetryBudget(
        bounds.retry_budget_ratio,
        bounds.retry_window_s,
        bounds.retry_budget_slack,
        now,
        fresh_system=settings.first_start,
    )


class RouterState:
    """Shared by all requests of a router. `clock`: the monotonic clock in s."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        *,
        budget: Budget | None = None,
    ) -> None:
        bounds = settings.bounds
        self.bounds = bounds
        self.age_limits = AgeLimits.from_bounds(bounds)
        self.fleet, self.counters, self.clock = fleet, counters, clock
        self.node, self.zone, self.regions = settings.node_name, settings.zone, settings.zones
        self.rng = rng or random.Random()
        self.budget: Budget = budget or retry_budget(settings, clock())
        self.outcomes = Outcomes(lambda: self.fleet.routers, self.rng)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S)
        self.drain: DrainDeadlines | None = None  # while the process shuts down
        self.affinity = Affinity()
        self.read_rates: dict[str, ServiceReadRates] = {}  # by service
        self.index = PrefixCacheIndex(self.cache_capacity_of, self.observe_reading)
        self.placement_numbers = itertools.count(1)
        #: Publishes to the other routers that a prompt was placed, read or done; set by the process.
        self.publish_prompt_event: Callable[[list[Any]], None] = lambda _: None
        self.stores: dict[str, StoreStatus] = {}  # by name, as the core reports them
        self.versions = AcknowledgedVersions(self.acknowledged_versions, bounds.version_apply_ms / 1000)
        self.quotas = ReservedQuotas(self.log_surge)
        self.version_gate = VersionGate(clock)
        self.rollout_evidence = RolloutEvidence()
        self.shortest_latency_targets: dict[str, float] = {}  # ms, by service
        self.endpoints_by_service: dict[str, list[Endpoint]] = {}
        self.prefix_homes: dict[str, PrefixHomes] = {}  # by service
        # By endpoint id:
        self.models: dict[str, dict[str, int]] = {}  # versions of the weights, as listed
        self.loads: dict[str, EndpointLoad] = {}
        self.reported_versions: dict[str, dict[str, int]] = {}  # {model: version}, from its answers
        self.backoff_until: dict[str, float] = {}  # monotonic s
        self.replaced: set[str] = set()  # those whose address is now used by another incarnation
        #: Set as soon as a configuration that is confirmed, and endpoints, are known for the first time in
        #: this process.
        self.initialized = asyncio.Event()
        self.started_at = clock()
        self.next_late_report_at = 0.0  # monotonic s; no late first chunk is logged before
        self.on_fleet_change("configuration")
        self.on_fleet_change("endpoints")
        fleet.watchers.append(self.on_fleet_change)

    def acknowledged_versions(self) -> dict[str, int] | None:
        """The newest acknowledged version of each model's weights; None while no configuration is known."""
        return self.fleet.state.model_versions if self.fleet.state else None

    def on_fleet_change(self, topic: str) -> None:
        """Updates the state after a change of the fleet."""
        if topic == "configuration":
            self.on_configuration()
        elif topic == "stores":
            self.on_stores(self.fleet.stores)
        elif topic == "endpoints":
            self.on_endpoints(self.fleet.endpoints)
        elif topic == "grants":
            self.version_gate.grant(self.fleet.grants)
            self.update_usable_endpoints()
        if not self.initialized.is_set() and self.is_fleet_known():
            log.info(logs.event("equipped", endpoints=len(self.fleet.endpoints)))
            self.initialized.set()

    def is_fleet_known(self) -> bool:
        """Whether a configuration that was confirmed, and endpoints, are known."""
        fleet = self.fleet
        return fleet.table is not None and bool(fleet.endpoints) and fleet.configuration_age.is_confirmed

    def on_configuration(self) -> None:
        """Applies a new configuration."""
        table = self.fleet.table
        self.versions.update(self.clock())
        self.quotas.set_reserved(table.reserved_shares if table else {})
        self.shortest_latency_targets = table.shortest_latency_targets() if table else {}
        self.update_version_traffic()
        self.update_usable_endpoints()

    def on_endpoints(self, listed: dict[str, Endpoint]) -> None:
        """Applies a changed list of endpoints and deletes the state of removed ones."""
        now = self.clock()
        self.index.set_endpoints(listed)
        for key, models in self.models.items():
            if key in listed and listed[key].models != models:
                self.index.clear_endpoint(key)  # other weights: its cache was dropped
        self.models = {key: each.models for key, each in listed.items()}
        self.endpoints_by_service = {}
        for each in listed.values():
            self.endpoints_by_service.setdefault(each.service, []).append(each)
        self.update_version_traffic()
        self.update_usable_endpoints()
        self.pool.close_expired(now, listed)
        self.outcomes.expire(listed, now)
        self.replaced &= listed.keys()
        for known in (self.loads, self.reported_versions, self.backoff_until):
            for key in [key for key in known if key not in listed]:
                del known[key]

    def update_version_traffic(self) -> None:
        """Recomputes which versions of the services receive requests."""
        records = self.fleet.state.rollouts.records if self.fleet.state else {}
        self.version_gate.update(self.endpoints_by_service, records)
        running = {name: each.target for name, each in records.items() if each.stage.running}
        self.rollout_evidence.retain(running)

    def rollout_reports(self, full: bool) -> dict[str, ServiceReport]:
        """This router's reports on running roll-outs, by service; `full`: not only changes."""
        reports: dict[str, ServiceReport] = {}
        for service, endpoints in self.endpoints_by_service.items():
            traffic = self.version_gate.traffic(service)
            if traffic is None or traffic.target is None:
                continue
            others = [each.id for each in endpoints if each.version != traffic.target]
            running = sum(self.loads[key].running for key in others if key in self.loads)
            tallies = tuple(AnswerTally(*each) for each in self.rollout_evidence.take_report(service, full))
            reports[service] = ServiceReport(traffic.target, traffic.stage, running, tallies)
        return reports

    def update_usable_endpoints(self) -> None:
        """Updates prefix homes, shares and read rates to the endpoints that accept requests."""
        counts: dict[str, int] = {}
        for service, endpoints in self.endpoints_by_service.items():
            traffic = self.version_gate.traffic(service)
            homes = traffic.homes() if traffic else frozenset()
            usable = [
                each.id for each in endpoints if each.id in homes and not (each.draining or each.updating)
            ]
            self.prefix_homes.setdefault(service, PrefixHomes()).set_endpoints(usable)
            counts[service] = len(usable)
        self.quotas.set_endpoints(counts)
        self.prefix_homes = {
            name: each for name, each in self.prefix_homes.items() if name in self.endpoints_by_service
        }
        for service, endpoints in self.endpoints_by_service.items():
            self.read_rates_of(service).retain(each.id for each in endpoints)
        self.read_rates = {
            name: each for name, each in self.read_rates.items() if name in self.endpoints_by_service
        }

    def read_rates_of(self, service: str) -> ServiceReadRates:
        """Read rates of the service's endpoints."""
        return self.read_rates.get(service) or self.read_rates.setdefault(service, ServiceReadRates())

    def observe_reading(self, endpoint: str, tokens: float, ms: float) -> None:
        """Records the time to the first chunk of a prompt that had no other prompt to be read before it."""
        if listed := self.fleet.endpoints.get(endpoint):
            self.read_rates_of(listed.service).observe(endpoint, tokens, ms)

    def work_rates(self) -> dict[str, list[Any]]:
        """This router's work by service, for its heartbeats: [short, long] in ms per second, and the tenants'
        demand if shares are reserved."""
        now = self.clock()
        found: dict[str, list[Any]] = {}
        for name, each in self.prefix_homes.items():
            found[name] = [round(rate, 1) for rate in each.work.rates(now)]
            if (demand := self.quotas.demand_report(now, name)) is not None:
                found[name].append(demand)
        return found

    def on_fleet_work(self, work: dict[str, list[Any]]) -> None:
        """Applies the whole fleet's work by service."""
        for name, (_, _, *demand) in work.items():
            if demand:
                self.quotas.set_fleet_report(self.clock(), name, demand[0])

    def log_surge(self, service: str, on: bool, times: float) -> None:
        """Logs the start or the end of a service's surge; `times`: demand as a multiple of its capacity."""
        log.info(logs.event("surge", service=service, on=on, demand=round(times, 2)))

    def on_stores(self, stores: dict[str, StoreStatus]) -> None:
        """Applies the stores' states, by name. A store that went down or restarted has lost its contents."""
        for name, status in stores.items():
            known = self.stores.get(name)
            service = self.fleet.table.services.get(name) if self.fleet.table else None
            lost_contents = known is not None and (not status.up or status.epoch != known.epoch)
            if lost_contents and service and service.cache_store_address:
                self.index.store(address_text(service.cache_store_address)).clear()
        self.stores = stores

    def cache_capacity_of(self, endpoint: str) -> float:
        """The endpoint's cache capacity in tokens; 0 if it is unknown."""
        listed = self.fleet.endpoints.get(endpoint)
        table = self.fleet.table
        service = table.services.get(listed.service) if listed and table else None
        return service.cache_token_capacity if service else 0.0

    def on_prompt_events(self, node: str, events: list[Any]) -> None:
        """Applies another router's prompt events, or a registrar's events of the store at the address `node`.
        Raises ValueError or TypeError for malformed events."""
        now = self.clock()
        for event in events:
            match decode_event(event):
                case Placed() as placed:
                    if placed.endpoint in self.fleet.endpoints:
                        placement = Placement(
                            placed.endpoint,
                            placed.salt,
                            placed.parts,
                            placed.uncached_tokens,
                            placed.save_store,
                            now,
                        )
                        self.index.add_placement((node, placed.number), placement)
                case Read(number):
                    self.index.mark_read((node, number), now)
                case Done(number):
                    self.index.remove_stream((node, number))
                case Stored(epoch, changes):
                    self.index.store(node).apply_events(epoch, changes)

    def has_recent_configuration(self) -> bool:
        """Whether the configuration is recent enough to tell which tenants share the prefix cache, and which
        routes and keys do not exist."""
        return self.configuration_age_s() <= self.age_limits.configuration_s

    def knows_keys(self) -> bool:
        """Whether the configuration is recent enough to accept API keys."""
        return self.configuration_age_s() <= self.age_limits.keys_s

    def configuration_age_s(self) -> float:
        """The greatest possible age of the configuration in s."""
        return self.fleet.configuration_age.seconds(self.clock())

    def load(self, key: str) -> EndpointLoad:
        """This router's load on the endpoint with this id."""
        return self.loads.get(key) or self.loads.setdefault(key, EndpointLoad())

    def version_at(self, endpoint: Endpoint, model: str) -> int | None:
        """The newest version of the model's weights that the endpoint is known to have."""
        listed = endpoint.models.get(model)
        reported = self.reported_versions.get(endpoint.id, {}).get(model)
        return max(listed or 0, reported or 0) or None

    def record_version(self, endpoint: Endpoint, model: str, headers: Headers) -> None:
        """Records the version of the weights that an answer reports."""
        reported = value_of(headers, b"versions")
        if model and reported and reported.isdigit() and len(reported) < 10:
            # Only up to the acknowledged version: an endpoint recorded with a wrong one could not be used.
            known = self.version_at(endpoint, model) or 0
            if known < int(reported) <= self.fleet.acknowledged_version(model):
                self.reported_versions.setdefault(endpoint.id, {})[model] = int(reported)

    def store_for(self, parts: list[PrefixBlock]) -> Service | None:
        """The store for a prompt's shared parts, of those that are up; all routers choose the same one."""
        stores = self.fleet.table.cache_stores
        up = [
            name
            for name, each in stores.items()
            if each.cache_store_address
            and self.stores.get(name, UNREPORTED_STORE).up
            and not self.outcomes.is_open(store_key(each.cache_store_address))
        ]
        if len(up) > 1:
            name = rendezvous.choose(parts[-2][0] if len(parts) > 1 else "", up)
        else:
            name = up[0] if up else None
        return stores[name] if name is not None else None
