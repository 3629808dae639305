"""What a router knows of the fleet and what its requests share: loads, the prefix cache index, prefix homes,
stores, versions, shares; and how the fleet's news changes them."""

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
from plumline.prefix_cache.events import Done, Placed, Read, Stored, news_from
from plumline.prefix_cache.index import Placement, PrefixCacheIndex
from plumline.router.drain import DrainDeadlines
from plumline.router.relay import Headers, value_of
from plumline.router.upstream import Pool
from plumline.routing.cache_salt import NamedVersions
from plumline.routing.endpoint_load import Affinity, Load
from plumline.routing.fleet import Address, Endpoint, Fleet
from plumline.routing.fleet_state import StoreStatus
from plumline.routing.outcomes import Outcomes, store_key
from plumline.routing.prefix_homes import PrefixHomes
from plumline.routing.read_rates import ServiceReadRates
from plumline.routing.reserved_quota import Shares
from plumline.routing.rollout_evidence import RolloutEvidence
from plumline.routing.rollout_report import AnswerTally, ServiceReport
from plumline.routing.version_gate import VersionGate
from plumline.settings import Settings

CONNECT_TIMEOUT = 0.3  # s
REVOCATION_SHARE = 0.8  # of RevocationMs: what a request takes on its way is left
UNTOLD_STORE = StoreStatus(up=True, epoch=0)  # one that nobody told of

log = logs.logger("dispatch")


def address_text(address: Address) -> str:
    """The address as "ip:port"."""
    return f"{address[0]}:{address[1]}"


class Budget(Protocol):
    """What bounds second sends, see `plumline.coordination.retry_budget`."""

    def record_request(self, now: float, service: str) -> None:
        """A request for the service has come."""

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        """Whether one more send beyond the first is allowed; if so, it counts as made."""


def retry_budget(settings: Settings, now: float) -> RetryBudget:
    """This router's share of the fleet's budget for second sends, by the settings' bounds."""
    bounds = settings.bounds
    return RetryBudget(
        bounds.retry_budget_ratio,
        bounds.retry_window_s,
        bounds.retry_budget_slack,
        now,
        fresh_system=settings.first_start,
    )


class RouterState:
    """One for all requests of a router. `clock`: the steady clock in s."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        chance: random.Random | None = None,
        *,
        budget: Budget | None = None,
    ) -> None:
        bounds = settings.bounds
        self.bounds = bounds
        self.fleet, self.counters, self.clock = fleet, counters, clock
        self.node, self.zone, self.regions = settings.node_name, settings.zone, settings.zones
        self.chance = chance or random.Random()
        self.budget: Budget = budget or retry_budget(settings, clock())
        self.outcomes = Outcomes(lambda: self.fleet.routers, self.chance)
        self.pool = Pool(CONNECT_TIMEOUT)
        self.drain: DrainDeadlines | None = None  # while the process shuts down
        self.affinity = Affinity()
        self.read_rates: dict[str, ServiceReadRates] = {}  # by service
        self.index = PrefixCacheIndex(self.memory_of, self.observe_reading)
        self.serials = itertools.count(1)
        #: Tells the other routers of a prompt placed, read or ended; the process sets it.
        self.tell: Callable[[list[Any]], None] = lambda _: None
        self.stores: dict[str, StoreStatus] = {}  # what the core tells of stores, by name
        self.versions = NamedVersions(self.told_versions, bounds.version_apply_ms / 1000)
        self.shares = Shares(self.surge)
        self.version_gate = VersionGate(clock)
        self.rollout_evidence = RolloutEvidence()
        self.shortest_latency_targets: dict[str, float] = {}  # ms, by service
        self.by_service: dict[str, list[Endpoint]] = {}
        self.prefix_homes: dict[str, PrefixHomes] = {}  # by service
        # By endpoint id:
        self.models: dict[str, dict[str, int]] = {}  # weights, as listed
        self.loads: dict[str, Load] = {}
        self.learned: dict[str, dict[str, int]] = {}  # {model: version} that its answers told
        self.shunned: dict[str, float] = {}  # until when
        self.gone: set[str] = set()  # those whose address answered for another incarnation
        #: Set once a configuration and endpoints are known, for the first time in this process's life.
        self.equipped = asyncio.Event()
        self.started_at = clock()
        self.next_late_report_at = 0.0  # steady s: no log line explains a late first piece before
        self.told("configuration")
        self.told("endpoints")
        fleet.watchers.append(self.told)

    def told_versions(self) -> dict[str, int] | None:
        """The named version of each model's weights; None while no configuration is known."""
        return self.fleet.state.weight_versions if self.fleet.state else None

    def told(self, topic: str) -> None:
        """The fleet's news."""
        if topic == "configuration":
            self.told_configuration()
        elif topic == "stores":
            self.told_stores(self.fleet.stores)
        elif topic == "endpoints":
            self.told_endpoints(self.fleet.endpoints)
        elif topic == "grants":
            self.version_gate.grant(self.fleet.grants)
            self.set_usable()
        if self.fleet.table is not None and self.fleet.endpoints and not self.equipped.is_set():
            log.info(logs.event("equipped", endpoints=len(self.fleet.endpoints)))
            self.equipped.set()

    def told_configuration(self) -> None:
        """Another configuration is in force."""
        table = self.fleet.table
        self.versions.look(self.clock())
        self.shares.set_reserved(table.reserved_shares if table else {})
        self.shortest_latency_targets = table.shortest_latency_targets() if table else {}
        self.set_version_traffic()
        self.set_usable()

    def told_endpoints(self, listed: dict[str, Endpoint]) -> None:
        """The endpoints have changed: what is known of those that are gone is forgotten."""
        now = self.clock()
        self.index.set_endpoints(listed)
        for key, models in self.models.items():
            if key in listed and listed[key].models != models:
                self.index.clear_endpoint(key)  # other weights: all that it kept is dropped
        self.models = {key: each.models for key, each in listed.items()}
        self.by_service = {}
        for each in listed.values():
            self.by_service.setdefault(each.service, []).append(each)
        self.set_version_traffic()
        self.set_usable()
        self.pool.sweep(now, listed)
        self.outcomes.age(listed, now)
        self.gone &= listed.keys()
        for known in (self.loads, self.learned, self.shunned):
            for key in [key for key in known if key not in listed]:
                del known[key]

    def set_version_traffic(self) -> None:
        """Works out anew which versions of the services take requests."""
        records = self.fleet.state.rollouts.records if self.fleet.state else {}
        self.version_gate.update(self.by_service, records)
        running = {name: each.target for name, each in records.items() if each.stage.running}
        self.rollout_evidence.retain(running)

    def rollout_reports(self, whole: bool) -> dict[str, ServiceReport]:
        """What this router has seen of the roll-outs under way, by service; `whole`: not only changes."""
        reports: dict[str, ServiceReport] = {}
        for service, endpoints in self.by_service.items():
            traffic = self.version_gate.traffic(service)
            if traffic is None or traffic.target is None:
                continue
            others = [each.id for each in endpoints if each.version != traffic.target]
            running = sum(self.loads[key].running for key in others if key in self.loads)
            tallies = tuple(AnswerTally(*each) for each in self.rollout_evidence.take_report(service, whole))
            reports[service] = ServiceReport(traffic.target, traffic.stage, running, tallies)
        return reports

    def set_usable(self) -> None:
        """PrefixHomes and shares reckon with the endpoints that take requests."""
        counts: dict[str, int] = {}
        for service, endpoints in self.by_service.items():
            traffic = self.version_gate.traffic(service)
            homes = traffic.homes() if traffic else frozenset()
            usable = [
                each.id for each in endpoints if each.id in homes and not (each.draining or each.moving)
            ]
            self.prefix_homes.setdefault(service, PrefixHomes()).set_endpoints(usable)
            counts[service] = len(usable)
        self.shares.set_endpoints(counts)
        self.prefix_homes = {
            name: each for name, each in self.prefix_homes.items() if name in self.by_service
        }
        for service, endpoints in self.by_service.items():
            self.read_rates_of(service).retain(each.id for each in endpoints)
        self.read_rates = {name: each for name, each in self.read_rates.items() if name in self.by_service}

    def read_rates_of(self, service: str) -> ServiceReadRates:
        """How fast the service's endpoints read prompts."""
        return self.read_rates.get(service) or self.read_rates.setdefault(service, ServiceReadRates())

    def observe_reading(self, endpoint: str, tokens: float, ms: float) -> None:
        """A prompt that found no other to be read at the endpoint had its first piece after this time."""
        if listed := self.fleet.endpoints.get(endpoint):
            self.read_rates_of(listed.service).observe(endpoint, tokens, ms)

    def work_rates(self) -> dict[str, list[Any]]:
        """This router's work by service, for its heartbeats: [short, long] in ms a second, and what tenants
        ask for where shares are reserved."""
        now = self.clock()
        found: dict[str, list[Any]] = {}
        for name, each in self.prefix_homes.items():
            found[name] = [round(rate, 1) for rate in each.work.rates(now)]
            if (demand := self.shares.demand(now, name)) is not None:
                found[name].append(demand)
        return found

    def told_work(self, work: dict[str, list[Any]]) -> None:
        """The whole fleet's."""
        for name, (_, _, *demand) in work.items():
            if demand:
                self.shares.take(self.clock(), name, demand[0])

    def surge(self, service: str, on: bool, times: float) -> None:
        """A service's surge has begun or is over; `times`: the demand in multiples of what it can do."""
        log.info(logs.event("surge", service=service, on=on, demand=round(times, 2)))

    def told_stores(self, stores: dict[str, StoreStatus]) -> None:
        """By name: one that was down, or began anew, holds nothing any more."""
        for name, status in stores.items():
            known = self.stores.get(name)
            service = self.fleet.table.services.get(name) if self.fleet.table else None
            began_anew = known is not None and (not status.up or status.epoch != known.epoch)
            if began_anew and service and service.cache_store_address:
                self.index.store(address_text(service.cache_store_address)).clear()
        self.stores = stores

    def memory_of(self, endpoint: str) -> float:
        """Tokens of the endpoint's memory; 0 where that is not known."""
        listed = self.fleet.endpoints.get(endpoint)
        table = self.fleet.table
        service = table.services.get(listed.service) if listed and table else None
        return service.cache_token_capacity if service else 0.0

    def told_news(self, node: str, events: list[Any]) -> None:
        """What another router tells of its prompts, or a registrar of the store at the address `node`. Raises
        ValueError, TypeError for what is no news."""
        now = self.clock()
        for event in events:
            match news_from(event):
                case Placed() as placed:
                    if placed.endpoint in self.fleet.endpoints:
                        placement = Placement(
                            placed.endpoint, placed.salt, placed.parts, placed.missing, placed.saves, now
                        )
                        self.index.placed((node, placed.number), placement)
                case Read(number):
                    self.index.read((node, number), now)
                case Done(number):
                    self.index.done((node, number))
                case Stored(epoch, changes):
                    self.index.store(node).changed(epoch, changes)

    def may_know_revoked_keys(self) -> bool:
        """Where revocation is closed, a router that has been out of touch for long takes no key any more."""
        bounds, since = self.bounds, self.clock() - self.fleet.fresh_at
        return bounds.revocation_closed and since > bounds.revocation_ms / 1000 * REVOCATION_SHARE

    def load(self, key: str) -> Load:
        """This router's load on the endpoint with this id."""
        return self.loads.get(key) or self.loads.setdefault(key, Load())

    def version_at(self, endpoint: Endpoint, model: str) -> int | None:
        """The newest version of the model's weights known to be at the endpoint."""
        listed = endpoint.models.get(model)
        told = self.learned.get(endpoint.id, {}).get(model)
        return max(listed or 0, told or 0) or None

    def learn_version(self, endpoint: Endpoint, model: str, headers: Headers) -> None:
        """Takes note of the version of the weights that an answer tells."""
        told = value_of(headers, b"versions")
        if model and told and told.isdigit() and len(told) < 10:
            # Only what was named: an endpoint with a version taken for another one would be of no use.
            known = self.version_at(endpoint, model) or 0
            if known < int(told) <= self.fleet.named_version(model):
                self.learned.setdefault(endpoint.id, {})[model] = int(told)

    def store_for(self, parts: list[PrefixBlock]) -> Service | None:
        """The store that holds a prompt's shared parts: the same for all routers, of those that are up."""
        stores = self.fleet.table.cache_stores
        up = [
            name
            for name, each in stores.items()
            if each.cache_store_address
            and self.stores.get(name, UNTOLD_STORE).up
            and not self.outcomes.is_open(store_key(each.cache_store_address))
        ]
        if len(up) > 1:
            name = rendezvous.choose(parts[-2][0] if len(parts) > 1 else "", up)
        else:
            name = up[0] if up else None
        return stores[name] if name is not None else None
