"""What a router looks up for each request, made from a valid document: route, tenant, limits, services."""

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
    """A route's item, and the route made from it when it is first asked for: most of thousands never are.

    Shared by the tables of successive documents.
    """

    __slots__ = ("_route", "item")

    def __init__(self, item: Document) -> None:
        self.item = item
        self._route: Route | None = None

    def route(self) -> Route:
        """The route, made at the first call."""
        if self._route is None:
            self._route = route_from(self.item)
        return self._route

    def host_and_prefix(self) -> tuple[str, str]:
        """The host as it is compared, and the path prefix."""
        return normalized_host(self.item["Host"]), self.item["PathPrefix"]


@dataclass(slots=True)
class _HostRoutes:
    """The routes of one host."""

    by_prefix: dict[str, _LazyRoute] = field(default_factory=dict)
    longest_prefix: int = 0  # characters


class _LatencyTargetCounts:
    """How many routes to each service have which latency target: the shortest is known without a scan."""

    def __init__(self, earlier: "_LatencyTargetCounts | None" = None) -> None:
        counts = earlier.counts if earlier else {}
        self.counts = {service: dict(of_service) for service, of_service in counts.items()}

    def add(self, item: Document, change: int) -> None:
        """Count a route's item in (1) or out (-1)."""
        target_ms = latency_target_of(item)
        for service, _ in traffic_split_of(item):
            of_service = self.counts.setdefault(service, {})
            of_service[target_ms] = of_service.get(target_ms, 0) + change
            if not of_service[target_ms]:
                del of_service[target_ms]

    def shortest(self) -> dict[str, float]:
        """The shortest target in ms of each service that has a route."""
        return {service: min(of_service) for service, of_service in self.counts.items() if of_service}


class RouteTable:
    """Look-ups in one document; never changed once made.

    Public fields: `version` of the document; `limits` for clients; `services` by name; `has_tenants`;
    `reserved_shares`, fractions by the name of the tenant, of those that have one.
    """

    def __init__(self, document: Document, earlier: "RouteTable | None" = None) -> None:
        """`earlier`: the table before it, which lends the routes whose items are the same."""
        self._routes_by_name: dict[str, _LazyRoute] = {}
        self._hosts: dict[str, _HostRoutes] = {}
        self._latency_targets = _LatencyTargetCounts()
        known = earlier._routes_by_name if earlier else {}
        for item in document.get("Routes", ()):
            route = known.get(item["Name"])
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
        self._build_small_indexes(document)

    def with_amendment(self, document: Document, body: Document) -> "RouteTable":
        """The table of `document`, which an Amend with this body has made of this table's document.

        Untouched routes are shared, so that one changed route of thousands costs little. A body that gives
        the routes whole, as registrars of earlier releases send it where there were none, is no change of
        single routes: the table is made from the document.
        """
        if "Routes" in body:
            return RouteTable(document, self)
        table = RouteTable.__new__(RouteTable)
        table._routes_by_name, table._hosts = dict(self._routes_by_name), dict(self._hosts)
        table._latency_targets = _LatencyTargetCounts(self._latency_targets)
        upserts: list[Document] = body.get("Upserts", {}).get("Routes", [])
        removals: list[str] = body.get("Removals", {}).get("Routes", [])
        copied: dict[str, _HostRoutes] = {}  # hosts that the new table no longer shares
        for name in dict.fromkeys([*removals, *(item["Name"] for item in upserts)]):
            if (route := self._routes_by_name.get(name)) is not None:
                table._remove_from_host(route, copied)
        for name in removals:
            table._routes_by_name.pop(name, None)
        for item in upserts:
            route = table._routes_by_name[item["Name"]] = _LazyRoute(item)
            table._add_to_host(route, copied)
        for name, host in copied.items():
            host.longest_prefix = max(map(len, host.by_prefix), default=0)
            if not host.by_prefix:
                del table._hosts[name]
        table._build_small_indexes(document)
        return table

    def _remove_from_host(self, route: _LazyRoute, copied: dict[str, _HostRoutes]) -> None:
        name, prefix = route.host_and_prefix()
        self._copy_host(name, copied).by_prefix.pop(prefix, None)
        self._latency_targets.add(route.item, -1)

    def _add_to_host(self, route: _LazyRoute, copied: dict[str, _HostRoutes]) -> None:
        name, prefix = route.host_and_prefix()
        self._copy_host(name, copied).by_prefix[prefix] = route
        self._latency_targets.add(route.item, 1)

    def _copy_host(self, name: str, copied: dict[str, _HostRoutes]) -> _HostRoutes:
        """The host, copied when it is first changed."""
        host = copied.get(name)
        if host is None:
            shared = self._hosts.get(name)
            host = copied[name] = self._hosts[name] = _HostRoutes(dict(shared.by_prefix) if shared else {})
        return host

    def _build_small_indexes(self, document: Document) -> None:
        """Everything but the routes: small, and made anew for each document."""
        self.version: int = document["Version"]
        self.limits = limits_from(document.get("Limits") or {})
        self.services = {item["Name"]: service_from(item) for item in document.get("Services", ())}
        self.has_tenants = bool(document.get("Tenants"))
        self.reserved_shares: dict[str, float] = {}
        self._tenants_by_key: dict[str, Tenant] = {}
        self._sharing_tenants: set[str] = set()
        for item in document.get("Tenants", ()):
            tenant = tenant_from(item)
            if tenant.reserved_share:
                self.reserved_shares[tenant.name] = tenant.reserved_share
            if not tenant.isolated:
                self._sharing_tenants.add(tenant.name)
            for api_key in item.get("ApiKeys") or ():
                self._tenants_by_key[api_key] = tenant

    @property
    def route_count(self) -> int:
        """How many routes can be matched; makes none of them."""
        return len(self._routes_by_name)

    @property
    def routes(self) -> list[Route]:
        """All routes, in the order of the document; makes each that no request has asked for yet."""
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
        """The route of the longest prefix that begins the path (its query aside); None if there is none."""
        found = self._hosts.get(host) or self._hosts.get(normalized_host(host))
        if found is None:
            return None
        query = path.find("?")
        end = path.rfind("/", 0, found.longest_prefix if query < 0 else min(query, found.longest_prefix))
        while end >= 0:
            route = found.by_prefix.get(path[: end + 1])
            if route is not None:
                return route.route()
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, api_key: str) -> Tenant | None:
        """The tenant with this API key; None if no tenant has it."""
        return self._tenants_by_key.get(api_key)

    def shares_cache(self, tenant_name: str) -> bool:
        """Whether the tenant uses the prefix cache that tenants share: it is listed, and not isolated."""
        return tenant_name in self._sharing_tenants
