"""Reference model: computes what a request should get, from the operators' document alone and without state.

It follows the operators' documentation and shares no lookup code with the router, so that a fault there shows
as a difference. `table_results` returns the results of a router's table in the same form.
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

ProbeResults = dict[str, Any]  # result by name of the probe


class RouteAttributes(NamedTuple):
    """The attributes of a route that apply to its requests; times in ms."""

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


class TenantAttributes(NamedTuple):
    """The attributes of the tenant that an API key belongs to."""

    name: str
    priority: int | None
    isolated: bool
    reserved_share: float


# From the document.


def expected_results(document: Document) -> ProbeResults:
    """The result that each probe should get according to the document."""
    results: ProbeResults = {"version": document["Version"], "tenants": bool(document.get("Tenants"))}
    for host in PROBED_HOSTS:
        for path in PROBED_PATHS:
            results[f"{host}{path}"] = _expected_route(document, host, path)
    for key in PROBED_KEYS:
        results[key] = _expected_tenant(document, key)
    for name in TENANT_NAMES:
        results[f"{name} shares"] = expected_cache_sharing(document, name)
    for name in SERVICE_NAMES:
        results[name] = _expected_service(document, name)
    results["body limit"] = _value_or(document.get("Limits", {}), "BodyLimitBytes", DEFAULT_BODY_LIMIT_BYTES)
    results["targets"] = _expected_targets(document)
    return results


def _plain_host(host: str) -> str:
    """The host without its port, in lower case."""
    return host.split(":")[0].lower()


def _expected_route(document: Document, host: str, path: str) -> RouteAttributes | None:
    """The route with the longest prefix that matches the path."""
    plain_path = path.split("?")[0]
    matching = [
        route
        for route in document.get("Routes", [])
        if _plain_host(route["Host"]) == _plain_host(host) and plain_path.startswith(route["PathPrefix"])
    ]
    if not matching:
        return None
    route = max(matching, key=lambda each: len(each["PathPrefix"]))
    return RouteAttributes(
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
    """The value, or the default if it is missing or null."""
    return default if item.get(key) is None else item[key]


def _expected_idempotence(route: Document) -> bool:
    """A streaming request may be repeated if its route is resumable."""
    kind = route.get("Kind")
    return kind == "idempotent" or (kind == "streaming" and route.get("Resumable") is True)


def _expected_split(route: Document) -> tuple[tuple[str, float], ...]:
    if route.get("TrafficSplit"):
        return tuple((split["Service"], split["Weight"]) for split in route["TrafficSplit"])
    return ((route["Service"], 1),)


def _expected_target(route: Document) -> float:
    return _value_or(route, "TargetLatencyMs", route["TimeoutMs"])


def _expected_targets(document: Document) -> dict[str, float]:
    """The shortest latency target, in ms, of each service that a route names."""
    targets: dict[str, float] = {}
    for route in document.get("Routes", []):
        for service, _ in _expected_split(route):
            targets[service] = min(targets.get(service, float("inf")), _expected_target(route))
    return targets


def _expected_tenant(document: Document, key: str) -> TenantAttributes | None:
    for tenant in document.get("Tenants", []):
        if key in (tenant.get("ApiKeys") or []):
            isolated, share = tenant.get("Isolated") is True, tenant.get("ReservedShare") or 0
            return TenantAttributes(tenant["Name"], tenant.get("Priority"), isolated, share)
    return None


def expected_cache_sharing(document: Document, name: str) -> bool:
    """Whether the tenant may share cache entries with other tenants."""
    return any(
        tenant["Name"] == name and not tenant.get("Isolated") for tenant in document.get("Tenants", [])
    )


def _expected_service(document: Document, name: str) -> tuple[str, int, int] | None:
    """Health path, connection limit, and cache capacity in tokens."""
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


def table_results(table: RouteTable) -> ProbeResults:
    """The result that each probe gets at a router with this table."""
    results: ProbeResults = {"version": table.version, "tenants": table.has_tenants}
    for host in PROBED_HOSTS:
        for path in PROBED_PATHS:
            results[f"{host}{path}"] = _route_attributes(table.match(host, path))
    for key in PROBED_KEYS:
        results[key] = _tenant_attributes(table.tenant_of(key))
    for name in TENANT_NAMES:
        results[f"{name} shares"] = table.shares_cache(name)
    for name in SERVICE_NAMES:
        results[name] = _service_attributes(table.services.get(name))
    results["body limit"] = table.limits.max_body_bytes
    results["targets"] = table.shortest_latency_targets()
    return results


def _route_attributes(route: Route | None) -> RouteAttributes | None:
    if route is None:
        return None
    return RouteAttributes(
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


def _tenant_attributes(tenant: Tenant | None) -> TenantAttributes | None:
    if tenant is None:
        return None
    return TenantAttributes(tenant.name, tenant.priority, tenant.isolated, tenant.reserved_share)


def _service_attributes(service: Service | None) -> tuple[str, int, int] | None:
    if service is None:
        return None
    return service.health_path, service.connection_limit, service.cache_token_capacity


def differences(expected: ProbeResults, actual: ProbeResults) -> Iterator[str]:
    """A line for each probe whose results differ."""
    for probe, result in expected.items():
        if actual[probe] != result:
            yield f"{probe}: by the document {result}, at the router {actual[probe]}"
