"""What a router knows of the fleet and what its requests share: loads, the index of prompts, lanes, stores,
versions, shares; and how the fleet's news changes them."""

import itertools
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from plumline import logs
from plumline.configuration.routes import Service
from plumline.coordination import ring
from plumline.coordination.budget import RetryBudget
from plumline.counters import Counters
from plumline.prompts.index import Placement, PromptIndex
from plumline.router.relay import Headers, value_of
from plumline.router.upstream import Pool
from plumline.routing.fleet import Address, Endpoint, Fleet
from plumline.routing.lanes import Lanes
from plumline.routing.loads import Affinity, Load, Part
from plumline.routing.outcomes import Outcomes, store_key
from plumline.routing.salt import NamedVersions
from plumline.routing.shares import Shares
from plumline.settings import Settings

CONNECT_TIMEOUT = 0.3  # s
REVOCATION_SHARE = 0.8  # of RevocationMs: what a request takes on its way is left
UP: dict[str, Any] = {"up": True}  # a store that nobody told of

log = logs.logger("dispatch")


def address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Budget(Protocol):
    def request(self, now: float, service: str) -> None: ...
    def may_repeat(self, now: float, service: str, routers: int) -> bool: ...


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
        self.zone, self.fleet, self.counters, self.clock = settings.zone, fleet, counters, clock
        self.bounds = settings.bounds
        self.chance = chance or random.Random()
        bounds = settings.bounds
        self.budget: Budget = budget or RetryBudget(
            bounds.retry_budget_ratio,
            bounds.retry_window_s,
            bounds.retry_budget_slack,
            clock(),
            fresh_system=settings.first_start,
        )
        self.outcomes = Outcomes(lambda: self.fleet.routers, self.chance)
        self.pool = Pool(CONNECT_TIMEOUT)
        self.affinity = Affinity()
        self.index = PromptIndex(self.memory_of)
        self.node, self.regions = settings.node_name, settings.zones
        self.serials = itertools.count(1)
        #: Tells the other routers of a prompt placed, read or ended; the process sets it.
        self.tell: Callable[[list[Any]], None] = lambda _: None
        self.models: dict[str, dict[str, int]] = {}  # weights by endpoint id, as listed
        self.stores: dict[str, dict[str, Any]] = {}  # what the core tells of stores, by name
        self.loads: dict[str, Load] = {}
        self.versions = NamedVersions(self.told_versions, bounds.version_apply_ms / 1000)
        self.learned: dict[str, dict[str, int]] = {}  # endpoint id -> {model: version} that its answers told
        self.shunned: dict[str, float] = {}  # endpoint id -> until when
        self.gone: set[str] = set()  # ids whose address answered for another incarnation
        self.by_service: dict[str, list[Endpoint]] = {}
        self.lanes: dict[str, Lanes] = {}
        self.shares = Shares(self.surge)
        self.shortest_aims: dict[str, float] = {}  # ms, by service
        self.told("configuration")
        self.told("endpoints")
        fleet.watchers.append(self.told)

    def told_versions(self) -> dict[str, int] | None:
        return self.fleet.state.versions if self.fleet.state else None

    def told(self, topic: str) -> None:
        """The fleet's news."""
        now = self.clock()
        if topic == "configuration":
            self.versions.look(now)
            self.shares.set_reserved(self.fleet.table.reserved if self.fleet.table else {})
            self.shortest_aims = self.fleet.table.shortest_aims() if self.fleet.table else {}
        elif topic == "stores":
            self.told_stores(self.fleet.stores)
        elif topic == "endpoints":
            listed = self.fleet.endpoints
            self.index.set_endpoints(listed)
            for key, models in self.models.items():
                if key in listed and listed[key].models != models:
                    self.index.clear_endpoint(key)  # other weights: all that it kept is dropped
            self.models = {key: each.models for key, each in listed.items()}
            self.by_service = {}
            for each in listed.values():
                self.by_service.setdefault(each.service, []).append(each)
            counts: dict[str, int] = {}
            for service, at in self.by_service.items():
                usable = [each.id for each in at if not (each.draining or each.moving)]
                self.lanes.setdefault(service, Lanes()).set_endpoints(service, usable)
                counts[service] = len(usable)
            self.shares.set_endpoints(counts)
            self.lanes = {name: each for name, each in self.lanes.items() if name in self.by_service}
            self.pool.sweep(now, listed)
            self.outcomes.age(listed, now)
            self.gone &= listed.keys()
            for known in (self.loads, self.learned, self.shunned):
                for key in [key for key in known if key not in listed]:
                    del known[key]

    def work_rates(self) -> dict[str, list[Any]]:
        """This router's work by service, for its heartbeats: [short, long] in ms a second, and what tenants
        ask for where shares are reserved."""
        now = self.clock()
        found: dict[str, list[Any]] = {}
        for name, each in self.lanes.items():
            found[name] = [round(rate, 1) for rate in each.work.rates(now)]
            if (demand := self.shares.demand(now, name)) is not None:
                found[name].append(demand)
        return found

    def told_work(self, work: dict[str, list[Any]]) -> None:
        """The whole fleet's."""
        for name, (short, long, *demand) in work.items():
            if lanes := self.lanes.get(name):
                lanes.fleet = short, long
            if demand:
                self.shares.take(self.clock(), name, demand[0])

    def surge(self, service: str, on: bool, times: float) -> None:
        log.info(logs.words("surge", service=service, on=on, demand=round(times, 2)))

    def told_stores(self, stores: dict[str, dict[str, Any]]) -> None:
        """{name: {"up": bool, "epoch": int}}: one that was down, or began anew, holds nothing any more."""
        for name, each in stores.items():
            known = self.stores.get(name)
            service = self.fleet.table.services.get(name) if self.fleet.table else None
            begun_anew = known is not None and (not each["up"] or each["epoch"] != known["epoch"])
            if begun_anew and service and service.store_address:
                self.index.store(address_text(service.store_address)).clear()
        self.stores = stores

    def memory_of(self, endpoint: str) -> float:
        listed = self.fleet.endpoints.get(endpoint)
        table = self.fleet.table
        service = table.services.get(listed.service) if listed and table else None
        return service.kv_tokens if service else 0.0

    def told_news(self, node: str, events: list[Any]) -> None:
        """What another router tells of its prompts. Raises ValueError, TypeError for what is no news."""
        now = self.clock()
        for event in events:
            match event:
                case [
                    "placed",
                    int(number),
                    str(endpoint),
                    str(salt),
                    list(told),
                    float(missing),
                    str(saves),
                ]:
                    parts = [(str(name), int(tokens)) for name, tokens in told]
                    if endpoint in self.fleet.endpoints:
                        placement = Placement(endpoint, salt, parts, missing, saves, now)
                        self.index.placed((node, number), placement)
                case ["read", int(number)]:
                    self.index.read((node, number))
                case ["done", int(number)]:
                    self.index.done((node, number))
                case ["stored", int(epoch), list(changes)]:
                    self.index.store(node).changed(epoch, changes)  # by the store's address
                case _:
                    raise ValueError(f"no news: {event!r}")

    def may_know_revoked_keys(self) -> bool:
        """Where revocation is closed, a router that has been out of touch for long takes no key any more."""
        bounds, since = self.bounds, self.clock() - self.fleet.fresh_at
        return bounds.revocation_closed and since > bounds.revocation_ms / 1000 * REVOCATION_SHARE

    def load(self, key: str) -> Load:
        return self.loads.get(key) or self.loads.setdefault(key, Load())

    def version_at(self, endpoint: Endpoint, model: str) -> int | None:
        """The newest version of the model's weights known to be at the endpoint."""
        listed = endpoint.models.get(model)
        told = self.learned.get(endpoint.id, {}).get(model)
        return max(listed or 0, told or 0) or None

    def learn_version(self, endpoint: Endpoint, model: str, headers: Headers) -> None:
        told = value_of(headers, b"versions")
        if model and told and told.isdigit() and len(told) < 10:
            # Only what was named: an endpoint with a version taken for another one would be of no use.
            known = self.version_at(endpoint, model) or 0
            if known < int(told) <= self.fleet.named_version(model):
                self.learned.setdefault(endpoint.id, {})[model] = int(told)

    def store_for(self, parts: list[Part]) -> Service | None:
        """The store that holds a prompt's shared parts: the same for all routers, of those that are up."""
        stores = self.fleet.table.stores
        up = [
            name
            for name, each in stores.items()
            if each.store_address
            and self.stores.get(name, UP)["up"]
            and not self.outcomes.is_open(store_key(each.store_address))
        ]
        if len(up) > 1:
            name = ring.choose(parts[-2][0] if len(parts) > 1 else "", up)
        else:
            name = up[0] if up else None
        return stores[name] if name is not None else None
