"""What a router looks up for each request, made from a valid document: route, tenant, limits, services."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from plumline.configuration import address
from plumline.configuration.document import Document, host_key

IDEMPOTENT, NON_IDEMPOTENT, STREAMING = "idempotent", "non_idempotent", "streaming"
KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    host: str  # lower case, without port
    prefix: str
    kind: str  # one of KINDS; what is not known may run at most once
    timeout_ms: float
    latency_target_ms: float  # the time-out where no TargetLatencyMs is given
    priority: int = 5  # 0 is highest
    traffic_split: tuple[tuple[str, float], ...] = ()  # (service, weight); a service may come twice
    attempt_limit: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0  # 0: none is given

    @property
    def idempotent(self) -> bool:
        """A second endpoint may be asked although the first may have run it."""
        return self.kind == IDEMPOTENT or (self.kind == STREAMING and self.resumable)

    def choose_service(self, rng: random.Random) -> str:
        """A service, by weight; one of weight 0 never."""
        splits = self.traffic_split
        if len(splits) == 1:
            return splits[0][0]
        left = rng.random() * sum(weight for _, weight in splits)
        last = ""
        for service, weight in splits:
            if weight > 0:
                if left < weight:
                    return service
                left -= weight
                last = service
        return last


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    priority: int | None = None  # goes before the route's
    isolated: bool = False
    reserved_share: float = 0.0  # of the work of each service, kept for it in a surge


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    health_path: str = "/health"
    connection_limit: int = 1 << 30  # of all callers together; where none is given, in effect none
    slots: int = 1
    cache_token_capacity: int = 0
    cache_token_bytes: int = 0
    link_speed_mbps: float = 0.0
    concurrency_limit: int = 1  # calls of /kv-events at a time
    models: tuple[str, ...] = ()
    cache_store_address: tuple[str, int] | None = None
    cache_store_zone: str = ""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: float = 3000
    idle_ms: float = 15000


class _LazyRoute:
    """A route's item, and the route made from it when it is first asked for: most of thousands never are.
    Shared by the tables of successive documents."""

    __slots__ = ("_route", "item")

    def __init__(self, item: Document) -> None:
        self.item = item
        self._route: Route | None = None

    def route(self) -> Route:
        if self._route is None:
            self._route = route_from(self.item)
        return self._route

    def place(self) -> tuple[str, str]:
        """Host and prefix."""
        return host_key(self.item["Host"]), self.item["PathPrefix"]


@dataclass(slots=True)
class _HostRoutes:
    prefixes: dict[str, _LazyRoute] = field(default_factory=dict)
    longest: int = 0


class _LatencyTargetCounts:
    """How many routes to each service have which aim, so that the shortest is known without a look at all."""

    def __init__(self, earlier: "_LatencyTargetCounts | None" = None) -> None:
        known = earlier.counts if earlier else {}
        self.counts = {service: dict(aims) for service, aims in known.items()}

    def count(self, item: Document, change: int) -> None:
        aim = latency_target_of(item)
        for service, _ in traffic_split_of(item):
            aims = self.counts.setdefault(service, {})
            aims[aim] = aims.get(aim, 0) + change
            if not aims[aim]:
                del aims[aim]

    def shortest(self) -> dict[str, float]:
        return {service: min(aims) for service, aims in self.counts.items() if aims}


class RouteTable:
    """Look-ups in one document. `earlier`, the table before it, lends the routes whose items are the same."""

    def __init__(self, document: Document, earlier: "RouteTable | None" = None) -> None:
        self._routes_by_name: dict[str, _LazyRoute] = {}
        self._hosts: dict[str, _HostRoutes] = {}
        self._latency_targets = _LatencyTargetCounts()
        old = earlier._routes_by_name if earlier else {}
        for item in document.get("Routes", ()):
            made = old.get(item["Name"])
            if made is None or made.item is not item:
                made = _LazyRoute(item)
            self._routes_by_name[item["Name"]] = made
            name, prefix = made.place()
            host = self._hosts.get(name)
            if host is None:
                host = self._hosts[name] = _HostRoutes()
            host.prefixes[prefix] = made
            host.longest = max(host.longest, len(prefix))
            self._latency_targets.count(item, 1)
        self._take_rest(document)

    def with_amendment(self, document: Document, body: Document) -> "RouteTable":
        """The table of `document`, which an Amend with this body has made of this table's document.

        What is left of the routes is shared, so that one changed route of thousands costs little.
        """
        table = RouteTable.__new__(RouteTable)
        table._routes_by_name, table._hosts = dict(self._routes_by_name), dict(self._hosts)
        table._latency_targets = _LatencyTargetCounts(self._latency_targets)
        items: list[Document] = body.get("Upserts", {}).get("Routes", [])
        gone = body.get("Removals", {}).get("Routes", [])
        touched: dict[str, _HostRoutes] = {}  # hosts as the new table's own
        for name in dict.fromkeys([*gone, *(item["Name"] for item in items)]):
            if (made := self._routes_by_name.get(name)) is not None:
                host, prefix = made.place()
                table._own_host(host, touched).prefixes.pop(prefix, None)
                table._latency_targets.count(made.item, -1)
        for name in gone:
            table._routes_by_name.pop(name, None)
        for item in items:
            made = table._routes_by_name[item["Name"]] = _LazyRoute(item)
            host, prefix = made.place()
            table._own_host(host, touched).prefixes[prefix] = made
            table._latency_targets.count(item, 1)
        for name, changed in touched.items():
            changed.longest = max(map(len, changed.prefixes), default=0)
            if not changed.prefixes:
                del table._hosts[name]
        table._take_rest(document)
        return table

    def _own_host(self, name: str, touched: dict[str, _HostRoutes]) -> _HostRoutes:
        """The host, copied when it is first touched."""
        host = touched.get(name)
        if host is None:
            shared = self._hosts.get(name)
            host = touched[name] = self._hosts[name] = _HostRoutes(dict(shared.prefixes) if shared else {})
        return host

    def _take_rest(self, document: Document) -> None:
        """All that is small, made anew for each document."""
        self.version: int = document["Version"]
        self.limits = limits_from(document.get("Limits") or {})
        self.services = {item["Name"]: service_from(item) for item in document.get("Services", ())}
        self._keys: dict[str, Tenant] = {}
        self.has_tenants = bool(document.get("Tenants"))
        self.reserved_shares: dict[str, float] = {}  # shares by tenant, of those that have one
        for item in document.get("Tenants", ()):
            share = _or(item, "ReservedShare", 0.0)
            tenant = Tenant(item["Name"], item.get("Priority"), bool(item.get("Isolated")), share)
            if share:
                self.reserved_shares[tenant.name] = share
            for key in item.get("ApiKeys") or ():
                self._keys[key] = tenant

    @property
    def routes(self) -> list[Route]:
        return [made.route() for made in self._routes_by_name.values()]

    def shortest_latency_targets(self) -> dict[str, float]:
        """The shortest aim in ms among the routes to each service."""
        return self._latency_targets.shortest()

    @property
    def cache_stores(self) -> dict[str, Service]:
        """The services that are stores, by name."""
        return {name: each for name, each in self.services.items() if each.cache_store_address is not None}

    def match(self, host: str, path: str) -> Route | None:
        """The route of the longest prefix that begins the path (its query aside); None if there is none."""
        found = self._hosts.get(host) or self._hosts.get(host_key(host))
        if found is None:
            return None
        query = path.find("?")
        end = path.rfind("/", 0, found.longest if query < 0 else min(query, found.longest))
        while end >= 0:
            made = found.prefixes.get(path[: end + 1])
            if made is not None:
                return made.route()
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, key: str) -> Tenant | None:
        return self._keys.get(key)


def traffic_split_of(item: Document) -> tuple[tuple[str, float], ...]:
    """The services that a route's item names, with their weights."""
    splits = item.get("TrafficSplit")
    return tuple((each["Service"], each["Weight"]) for each in splits) if splits else ((item["Service"], 1),)


def latency_target_of(item: Document) -> float:
    return _or(item, "TargetLatencyMs", item["TimeoutMs"])


def route_from(item: Document) -> Route:
    kind = item.get("Kind")
    return Route(
        name=item["Name"],
        host=host_key(item["Host"]),
        prefix=item["PathPrefix"],
        kind=kind if kind in KINDS else NON_IDEMPOTENT,
        timeout_ms=item["TimeoutMs"],
        latency_target_ms=latency_target_of(item),
        priority=_or(item, "Priority", 5),
        traffic_split=traffic_split_of(item),
        attempt_limit=_or(item, "AttemptLimit", 1),
        public=bool(item.get("PublicAccess")),
        sticky=bool(item.get("StickySessions")),
        resumable=bool(item.get("Resumable")),
        gap_target_ms=_or(item, "gap_aim_ms", 0.0),
    )


def service_from(item: Document) -> Service:
    """An endpoint service has its figures under Engine, a store beside its name."""
    engine = item.get("Engine") or item
    return Service(
        name=item["Name"],
        health_path=_or(item, "HealthPath", "/health"),
        connection_limit=_or(item, "ConnectionLimit", 1 << 30),
        slots=_or(engine, "CapacitySlots", 1),
        cache_token_capacity=_or(engine, "CacheTokenCapacity", 0),
        cache_token_bytes=_or(engine, "CacheTokenBytes", 0),
        link_speed_mbps=_or(engine, "LinkSpeedMbps", 0.0),
        concurrency_limit=_or(engine, "ConcurrencyLimit", 1),
        models=tuple(each["Name"] for each in engine.get("Models") or ()),
        cache_store_address=address(item.get("CacheStoreAddress")),
        cache_store_zone=_or(item, "Zone", ""),
    )


def limits_from(item: Document) -> ClientLimits:
    usual = ClientLimits()
    return ClientLimits(
        header_bytes=_or(item, "HeaderLimitBytes", usual.header_bytes),
        body_bytes=_or(item, "BodyLimitBytes", usual.body_bytes),
        header_ms=_or(item, "HeaderTimeoutMs", usual.header_ms),
        idle_ms=_or(item, "IdleTimeoutMs", usual.idle_ms),
    )


def _or(item: Mapping[str, Any], key: str, usual: Any) -> Any:  # noqa: ANN401
    value = item.get(key)
    return usual if value is None else value
