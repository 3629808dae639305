"""Admission of requests by their heads: route, tenant, prompt, deadline and reserved share."""

from dataclasses import dataclass

from plumline.configuration.entities import Route, Tenant
from plumline.configuration.route_table import RouteTable
from plumline.prefix_cache.blocks import PrefixBlock, output_tokens, parse_parts, prompt_tokens, size_of
from plumline.router.relay import Headers, request_headers, value_of
from plumline.router.router_state import RouterState
from plumline.routing.prefix_homes import OUTPUT_WEIGHT, is_long
from plumline.routing.reserved_quota import QuotaStatus, priority
from plumline.wire.exchange import Exchange
from plumline.wire.http import parse_decimal

UNCONFIGURED_RETRY_AFTER_S = 0.3  # no configuration is loaded yet, or it may be outdated
DRAINING_RETRY_AFTER_S = 0.0  # this router is shutting down; any other can serve the request at once
#: Fewest tokens of shared parts for which routers announce a prompt to one another. Reading smaller parts
#: again costs less than the messages and transfers.
TRACKED_TOKENS = 2048
MAX_PRIORITY_RANK = 4  # higher ranks count as this one; endpoints have ten priorities, two per rank


@dataclass(slots=True)
class Prompt:
    """A request's prompt as described by the head."""

    model: str  # empty: the request names no model
    parts: list[PrefixBlock]
    tokens: int  # to be read
    output_ms: float  # of an endpoint's time, for the output
    long: bool


@dataclass(slots=True)
class Request:
    """An admitted request."""

    exchange: Exchange
    id: bytes | None  # its `Attempt-Id`
    method: bytes
    target: bytes
    table: RouteTable
    route: Route
    tenant: Tenant | None
    service: str
    forwarded_headers: Headers  # sent with every attempt
    deadline: float  # monotonic s at which the client or the route gives up
    prompt: Prompt
    quota_status: QuotaStatus  # of the tenant against its reserved share
    priority: int

    @property
    def owner(self) -> str:
        """Owner of the share that the request counts against, see `owner_of`."""
        return owner_of(self.tenant)


@dataclass(slots=True)
class Denial:
    """The answer to a request that is not admitted. `retry_after_s`: its `Retry-After`."""

    status: int
    name: str
    retry_after_s: float | None = None


def admit(router: RouterState, exchange: Exchange, request_id: bytes | None) -> Request | Denial:
    """Parses and admits the request, or returns why it is not admitted."""
    table = router.fleet.table
    if table is None:
        return Denial(503, "no-configuration", UNCONFIGURED_RETRY_AFTER_S)
    if not router.knows_keys():
        return Denial(503, "revocation-unsure", UNCONFIGURED_RETRY_AFTER_S)
    route = table.match(exchange.host, exchange.path)
    if route is None:
        return deny(router, 404, "no-route")
    tenant = tenant_of(table, exchange.headers)
    if table.has_tenants and tenant is None and not route.public:
        return deny(router, 401, "no-tenant")
    deadline = exchange.began + min(remaining_ms(exchange.headers), route.timeout_ms) / 1000
    if router.drain is not None and not router.drain.admits(router.clock(), deadline):
        return Denial(503, "draining", DRAINING_RETRY_AFTER_S)
    return admit_to_service(router, exchange, request_id, route, tenant, deadline)


def admit_to_service(
    router: RouterState,
    exchange: Exchange,
    request_id: bytes | None,
    route: Route,
    tenant: Tenant | None,
    deadline: float,
) -> Request | Denial:
    """Chooses the request's service by its route, counts the request, and checks the tenant's share."""
    now, fleet = router.clock(), router.fleet
    service = route.choose_service(router.rng)
    router.budget.record_request(now, service)
    read_rate = router.read_rates_of(service).typical()
    shortest_target_ms = router.shortest_latency_targets.get(service, route.latency_target_ms)
    prompt = read_prompt(exchange.headers, shortest_target_ms, read_rate)
    cost_ms = prompt.tokens / read_rate, prompt.output_ms
    quota_status = router.quotas.check(now, service, owner_of(tenant), cost_ms, fleet.routers)
    if quota_status.refused:
        return Denial(429, "over-share", quota_status.retry_after_s)
    return Request(
        exchange=exchange,
        id=request_id,
        method=exchange.method.encode("ascii"),
        target=exchange.target.encode("latin-1"),
        table=fleet.table,
        route=route,
        tenant=tenant,
        service=service,
        forwarded_headers=forwarded_headers(exchange.headers, tenant),
        deadline=deadline,
        prompt=prompt,
        quota_status=quota_status,
        # Short prompts go before long ones: they delay long ones little, but would be delayed much.
        priority=priority(priority_rank(route, tenant), prompt.long, MAX_PRIORITY_RANK, quota_status),
    )


def tenant_of(table: RouteTable, headers: Headers) -> Tenant | None:
    """The tenant of the request's API key; None if the key is missing or unknown, or if there are several."""
    keys = {value for name, value in headers if name == b"x-api-key"}
    if len(keys) != 1:
        return None
    return table.tenant_of(next(iter(keys)).decode("latin-1").strip())


def forwarded_headers(headers: Headers, tenant: Tenant | None) -> Headers:
    """The client's headers that are forwarded, and the tenant's name."""
    forwarded = request_headers(headers)
    if tenant:
        forwarded.append((b"tenant-name", tenant.name.encode()))
    return forwarded


def deny(router: RouterState, status: int, name: str) -> Denial:
    """Denies a request. A router whose configuration may be outdated answers 503 instead of a 4xx, which
    clients do not retry."""
    if router.fleet.fresh and router.has_recent_configuration():
        return Denial(status, name)
    return Denial(503, f"{name}-unsure", UNCONFIGURED_RETRY_AFTER_S)


def owner_of(tenant: Tenant | None) -> str:
    """Owner of a share: the tenant, or "" for all requests without a tenant together."""
    return tenant.name if tenant else ""


def priority_rank(route: Route, tenant: Tenant | None) -> int:
    """Priority rank, 0 is most urgent: the tenant's priority if it has one, else the route's."""
    tenant_priority = tenant.priority if tenant else None
    return min(max(route.priority if tenant_priority is None else tenant_priority, 0), MAX_PRIORITY_RANK)


def remaining_ms(headers: Headers) -> float:
    """Milliseconds that the client will wait, infinite if it sends no limit."""
    value = value_of(headers, b"remaining-milliseconds")
    ms = parse_decimal(value.decode("latin-1")) if value else None
    return float("inf") if ms is None else ms


def read_prompt(headers: Headers, latency_target_ms: float, read_rate: float) -> Prompt:
    """Parses the prompt's headers. `latency_target_ms`: the shortest of the service's routes; `read_rate`:
    tokens per ms that the service's endpoints read."""
    model = (value_of(headers, b"model-name") or b"").decode("latin-1")
    prefix = value_of(headers, b"prompt-prefix")
    parts = parse_parts(prefix.decode("latin-1")) if model and prefix else []
    counts = (value_of(headers, b"token-counts") or b"").decode("latin-1")
    tokens = max(prompt_tokens(counts), size_of(parts))
    # A prompt with tracked shared parts is handled as a long one, however fast it is read.
    is_tracked = size_of(parts[:-1]) >= TRACKED_TOKENS
    long = is_tracked or is_long(tokens / read_rate, latency_target_ms)
    return Prompt(model, parts, tokens, output_tokens(counts) * OUTPUT_WEIGHT / read_rate, long)
