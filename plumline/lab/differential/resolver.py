"""The reference: what a request is to get, read from the operators' document alone, from scratch each time.

Written from the operators' pages, and without any of the router's look-ups, so that a fault in those shows as
a difference. `reading_of` says the same in the same form of a router's table.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from plumline.configuration.document import Document
from plumline.configuration.entities import Route, Service, Tenant
from plumline.configuration.route_table import RouteTable
from plumline.lab.differential.documents import API_KEYS, HOSTS, PREFIXES, SERVICE_NAMES, TENANT_NAMES

PROBED_HOSTS = (*HOSTS, "Three.Example:80", "unknown.example", "bulk-3.example")
PROBED_PATHS = (
    *(f"{prefix}x?y=/a/b/" for prefix in PREFIXES),
    "/a",
    "/abc",
    "/a/bc/d",
    "/bulk/10/z",
    "/bulk/10",
)
PROBED_KEYS = (*API_KEYS, "key-unknown")

DEFAULT_PRIORITY = 5
DEFAULT_BODY_LIMIT_BYTES = 4 * 1024 * 1024
UNLIMITED_CONNECTIONS = 1 << 30

Reading = dict[str, Any]  # what is to be in force, by the name of what was asked


class RouteReading(NamedTuple):
    """What a route says of its requests; times in ms."""

    name: str
    split: tuple[tuple[str, float], ...]
    idempotent: bool
    timeout: float
    target: float
    priority: int
    attempts: int
    public: bool
    resumable: bool
    gap: float


class TenantReading(NamedTuple):
    """What a key's tenant has."""

    name: str
    priority: int | None
    isolated: bool
    reserved_share: float


# From the document.


def expected_reading(document: Document) -> Reading:
    """What each probe is to get by the document."""
    found: Reading = {"version": document["Version"], "tenants": bool(document.get("Tenants"))}
    for host in PROBED_HOSTS:
        for path in PROBED_PATHS:
            found[f"{host}{path}"] = _expected_route(document, host, path)
    for key in PROBED_KEYS:
        found[key] = _expected_tenant(document, key)
    for name in TENANT_NAMES:
        found[f"{name} shares"] = expected_to_share(document, name)
    for name in SERVICE_NAMES:
        found[name] = _expected_service(document, name)
    found["body limit"] = _value_or(document.get("Limits", {}), "BodyLimitBytes", DEFAULT_BODY_LIMIT_BYTES)
    found["targets"] = _expected_targets(document)
    return found


def _plain_host(host: str) -> str:
    """Without the port, in lower case."""
    return host.split(":")[0].lower()


def _expected_route(document: Document, host: str, path: str) -> RouteReading | None:
    """The route of the longest prefix that begins the path."""
    plain_path = path.split("?")[0]
    matching = [
        route
        for route in document.get("Routes", [])
        if _plain_host(route["Host"]) == _plain_host(host) and plain_path.startswith(route["PathPrefix"])
    ]
    if not matching:
        return None
    route = max(matching, key=lambda each: len(each["PathPrefix"]))
    return RouteReading(
        route["Name"],
        _expected_split(route),
        _expected_idempotence(route),
        route["TimeoutMs"],
        _expected_target(route),
        _value_or(route, "Priority", DEFAULT_PRIORITY),
        _value_or(route, "AttemptLimit", 1),
        route.get("PublicAccess") is True,
        route.get("Resumable") is True,
        route.get("gap_aim_ms") or 0,
    )


def _value_or(item: Document, key: str, default: float) -> Any:  # noqa: ANN401
    """The value; the default where it is missing or null."""
    return default if item.get(key) is None else item[key]


def _expected_idempotence(route: Document) -> bool:
    """A stream may run again where it may be resumed."""
    kind = route.get("Kind")
    return kind == "idempotent" or (kind == "streaming" and route.get("Resumable") is True)


def _expected_split(route: Document) -> tuple[tuple[str, float], ...]:
    if route.get("TrafficSplit"):
        return tuple((split["Service"], split["Weight"]) for split in route["TrafficSplit"])
    return ((route["Service"], 1),)


def _expected_target(route: Document) -> float:
    return _value_or(route, "TargetLatencyMs", route["TimeoutMs"])


def _expected_targets(document: Document) -> dict[str, float]:
    """The shortest target of each service that a route names."""
    found: dict[str, float] = {}
    for route in document.get("Routes", []):
        for service, _ in _expected_split(route):
            found[service] = min(found.get(service, float("inf")), _expected_target(route))
    return found


def _expected_tenant(document: Document, key: str) -> TenantReading | None:
    for tenant in document.get("Tenants", []):
        if key in (tenant.get("ApiKeys") or []):
            isolated, share = tenant.get("Isolated") is True, tenant.get("ReservedShare") or 0
            return TenantReading(tenant["Name"], tenant.get("Priority"), isolated, share)
    return None


def expected_to_share(document: Document, name: str) -> bool:
    """Whether the tenant of this name may find what others left, and they what it leaves."""
    return any(
        tenant["Name"] == name and not tenant.get("Isolated") for tenant in document.get("Tenants", [])
    )


def _expected_service(document: Document, name: str) -> tuple[str, int, int] | None:
    """Health path, connection limit, and memory in tokens."""
    for service in document.get("Services", []):
        if service["Name"] == name:
            engine = service.get("Engine") or service
            return (
                service.get("HealthPath", "/health"),
                _value_or(service, "ConnectionLimit", UNLIMITED_CONNECTIONS),
                _value_or(engine, "CacheTokenCapacity", 0),
            )
    return None


# From a router's table.


def reading_of(table: RouteTable) -> Reading:
    """What each probe gets at a router with this table."""
    found: Reading = {"version": table.version, "tenants": table.has_tenants}
    for host in PROBED_HOSTS:
        for path in PROBED_PATHS:
            found[f"{host}{path}"] = _route_reading(table.match(host, path))
    for key in PROBED_KEYS:
        found[key] = _tenant_reading(table.tenant_of(key))
    for name in TENANT_NAMES:
        found[f"{name} shares"] = table.shares_cache(name)
    for name in SERVICE_NAMES:
        found[name] = _service_reading(table.services.get(name))
    found["body limit"] = table.limits.body_bytes
    found["targets"] = table.shortest_latency_targets()
    return found


def _route_reading(route: Route | None) -> RouteReading | None:
    if route is None:
        return None
    return RouteReading(
        route.name,
        route.traffic_split,
        route.idempotent,
        route.timeout_ms,
        route.latency_target_ms,
        route.priority,
        route.attempt_limit,
        route.public,
        route.resumable,
        route.gap_target_ms,
    )


def _tenant_reading(tenant: Tenant | None) -> TenantReading | None:
    if tenant is None:
        return None
    return TenantReading(tenant.name, tenant.priority, tenant.isolated, tenant.reserved_share)


def _service_reading(service: Service | None) -> tuple[str, int, int] | None:
    if service is None:
        return None
    return service.health_path, service.connection_limit, service.cache_token_capacity


def differences(expected: Reading, found: Reading) -> Iterator[str]:
    """A line for each probe with another answer."""
    for probe, answer in expected.items():
        if found[probe] != answer:
            yield f"{probe}: by the document {answer}, at the router {found[probe]}"
