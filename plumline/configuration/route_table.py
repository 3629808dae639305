"""Lookups that a router makes for each request in a valid document: route, tenant, limits, services."""

from dataclasses import dataclass, field

from plumline.configuration.document import Document, normalized_host
from plumline.configuration.entities import (
    Route,
    Service,
    Tenant,
    latency_target_of,
    limits_from,
    route_from,
    service_from,
    tenant_from,
    traffic_split_of,
)


class _LazyRoute:
    """A route's item, and the route that is built from it on first use: most of thousands are never used.

    It is shared by the tables of successive documents.
    """

    __slots__ = ("_route", "item")

    def __init__(self, item: Document) -> None:
        self.item = item
        self._route: Route | None = None

    def route(self) -> Route:
        """The route, built on the first call."""
        if self._route is None:
            self._route = route_from(self.item)
        return self._route

    def host_and_prefix(self) -> tuple[str, str]:
        """The normalized host and the path prefix."""
        return normalized_host(self.item["Host"]), self.item["PathPrefix"]


@dataclass(slots=True)
class _HostRoutes:
    """The routes of one host."""

    by_prefix: dict[str, _LazyRoute] = field(default_factory=dict)
    longest_prefix: int = 0  # characters


class _LatencyTargetCounts:
    """Number of routes by service and latency target, to find the shortest target without scanning routes."""

    def __init__(self, earlier: "_LatencyTargetCounts | None" = None) -> None:
        counts = earlier.counts if earlier else {}
        self.counts = {service: dict(target_counts) for service, target_counts in counts.items()}

    def add(self, item: Document, change: int) -> None:
        """Add (1) or remove (-1) a route's item."""
        target_ms = latency_target_of(item)
        for service, _ in traffic_split_of(item):
            target_counts = self.counts.setdefault(service, {})
            target_counts[target_ms] = target_counts.get(target_ms, 0) + change
            if not target_counts[target_ms]:
                del target_counts[target_ms]

    def shortest(self) -> dict[str, float]:
        """The shortest target in ms of each service that has a route."""
        return {
            service: min(target_counts) for service, target_counts in self.counts.items() if target_counts
        }


class RouteTable:
    """Lookups in one document; immutable.

    Public fields: `version` of the document; `limits` for clients; `services` by name; `has_tenants`;
    `reserved_shares`, fractions by tenant name, only tenants that have one.
    """

    def __init__(self, document: Document, earlier: "RouteTable | None" = None) -> None:
        """`earlier`: the previous table; routes whose items are identical are reused from it."""
        self._routes_by_name: dict[str, _LazyRoute] = {}
        self._hosts: dict[str, _HostRoutes] = {}
        self._latency_targets = _LatencyTargetCounts()
        earlier_routes = earlier._routes_by_name if earlier else {}
        for item in document.get("Routes", ()):
            route = earlier_routes.get(item["Name"])
            if route is None or route.item is not item:
                route = _LazyRoute(item)
            self._routes_by_name[item["Name"]] = route
            name, prefix = route.host_and_prefix()
            host = self._hosts.get(name)
            if host is None:
                host = self._hosts[name] = _HostRoutes()
            host.by_prefix[prefix] = route
            host.longest_prefix = max(host.longest_prefix, len(prefix))
            self._latency_targets.add(item, 1)
        self._index_all_but_routes(document)

    def with_amendment(self, document: Document, body: Document) -> "RouteTable":
        """The table of `document`, the result of an Amend with this body of this table's document.

        Unchanged routes are shared, so that changing one route of thousands is cheap. If the body has the
        complete list of routes, the table is built from the document: registrars of earlier releases send
        such a body if there were no routes before.
        """
        if "Routes" in body:
            return RouteTable(document, self)
        table = RouteTable.__new__(RouteTable)
        table._routes_by_name, table._hosts = dict(self._routes_by_name), dict(self._hosts)
        table._latency_targets = _LatencyTargetCounts(self._latency_targets)
        upserts: list[Document] = body.get("Upserts", {}).get("Routes", [])
        removals: list[str] = body.get("Removals", {}).get("Routes", [])
        copied_hosts: dict[str, _HostRoutes] = {}  # hosts that are no longer shared with this table
        for name in dict.fromkeys([*removals, *(item["Name"] for item in upserts)]):
            if (route := self._routes_by_name.get(name)) is not None:
                table._remove_from_host(route, copied_hosts)
        for name in removals:
            table._routes_by_name.pop(name, None)
        for item in upserts:
            route = table._routes_by_name[item["Name"]] = _LazyRoute(item)
            table._add_to_host(route, copied_hosts)
        for name, host in copied_hosts.items():
            host.longest_prefix = max(map(len, host.by_prefix), default=0)
            if not host.by_prefix:
                del table._hosts[name]
        table._index_all_but_routes(document)
        return table

    def _remove_from_host(self, route: _LazyRoute, copied_hosts: dict[str, _HostRoutes]) -> None:
        name, prefix = route.host_and_prefix()
        self._writable_host(name, copied_hosts).by_prefix.pop(prefix, None)
        self._latency_targets.add(route.item, -1)

    def _add_to_host(self, route: _LazyRoute, copied_hosts: dict[str, _HostRoutes]) -> None:
        name, prefix = route.host_and_prefix()
        self._writable_host(name, copied_hosts).by_prefix[prefix] = route
        self._latency_targets.add(route.item, 1)

    def _writable_host(self, name: str, copied_hosts: dict[str, _HostRoutes]) -> _HostRoutes:
        """The host's routes, copied_hosts on the first change."""
        host = copied_hosts.get(name)
        if host is None:
            shared = self._hosts.get(name)
            host = copied_hosts[name] = self._hosts[name] = _HostRoutes(
                dict(shared.by_prefix) if shared else {}
            )
        return host

    def _index_all_but_routes(self, document: Document) -> None:
        """Index everything except the routes; it is small, so it is rebuilt for each document."""
        self.version: int = document["Version"]
        self.limits = limits_from(document.get("Limits") or {})
        self.services = {item["Name"]: service_from(item) for item in document.get("Services", ())}
        self.has_tenants = bool(document.get("Tenants"))
        self.reserved_shares: dict[str, float] = {}
        self._tenants_by_key: dict[str, Tenant] = {}
        self._cache_sharing_tenants: set[str] = set()
        for item in document.get("Tenants", ()):
            tenant = tenant_from(item)
            if tenant.reserved_share:
                self.reserved_shares[tenant.name] = tenant.reserved_share
            if not tenant.isolated:
                self._cache_sharing_tenants.add(tenant.name)
            for api_key in item.get("ApiKeys") or ():
                self._tenants_by_key[api_key] = tenant

    @property
    def route_count(self) -> int:
        """The number of routes; builds none of them."""
        return len(self._routes_by_name)

    @property
    def routes(self) -> list[Route]:
        """All routes, in the order of the document; builds those that haven't been used yet."""
        return [route.route() for route in self._routes_by_name.values()]

    def shortest_latency_targets(self) -> dict[str, float]:
        """The shortest latency target, in ms, among the routes to each service."""
        return self._latency_targets.shortest()

    @property
    def cache_stores(self) -> dict[str, Service]:
        """The services that are cache stores, by name."""
        return {
            name: service
            for name, service in self.services.items()
            if service.cache_store_address is not None
        }

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path, ignoring the query; None if there is none."""
        host_routes = self._hosts.get(host) or self._hosts.get(normalized_host(host))
        if host_routes is None:
            return None
        query = path.find("?")
        end = path.rfind(
            "/", 0, host_routes.longest_prefix if query < 0 else min(query, host_routes.longest_prefix)
        )
        while end >= 0:
            route = host_routes.by_prefix.get(path[: end + 1])
            if route is not None:
                return route.route()
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, api_key: str) -> Tenant | None:
        """The tenant with this API key; None if no tenant has it."""
        return self._tenants_by_key.get(api_key)

    def shares_cache(self, tenant_name: str) -> bool:
        """Whether the tenant uses the shared prefix cache: it is listed, and not isolated."""
        return tenant_name in self._cache_sharing_tenants
