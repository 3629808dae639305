"""What a request's head says: its route, tenant and prompt, its time, and whether it is admitted."""

from dataclasses import dataclass

from plumline.configuration.entities import Route, Tenant
from plumline.configuration.route_table import RouteTable
from plumline.prefix_cache.blocks import PrefixBlock, output_tokens, parse_parts, prompt_tokens, size_of
from plumline.router.relay import Headers, request_headers, value_of
from plumline.router.router_state import RouterState
from plumline.routing.prefix_homes import OUTPUT_WEIGHT, is_long
from plumline.routing.reserved_quota import Standing, priority
from plumline.wire.exchange import Exchange
from plumline.wire.http import decimal

UNCONFIGURED_RETRY_AFTER_S = 0.3  # where no configuration is here yet, or it may be an old one
DRAINING_RETRY_AFTER_S = 0.0  # where this router is about to end: any other one can serve it at once
#: Tokens of shared parts from which on it pays that routers tell one another of a prompt. Smaller ones are
#: read again for less than the messages and moves cost.
TRACKED_TOKENS = 2048
MAX_PRIORITY_RANK = 4  # ranks from here on count alike: an endpoint knows ten, two for each


@dataclass(slots=True)
class Prompt:
    """What the head says of a request's prompt."""

    model: str  # empty: the request is for no model
    parts: list[PrefixBlock]
    tokens: int  # to be read
    work_ms: float  # of an endpoint's time beside its reading
    long: bool


@dataclass(slots=True)
class Request:
    """One that has been admitted."""

    exchange: Exchange
    id: bytes | None  # its `Attempt-Id`
    method: bytes
    target: bytes
    table: RouteTable
    route: Route
    tenant: Tenant | None
    service: str
    base: Headers  # that go with every send
    until: float  # steady s at which the client or the route gives up
    prompt: Prompt
    standing: Standing  # towards its tenant's share
    priority: int

    @property
    def owner(self) -> str:
        """Whose share it is, see `owner_of`."""
        return owner_of(self.tenant)


@dataclass(slots=True)
class Denial:
    """The answer to one that has not been. `retry_after_s`: what its client is told."""

    status: int
    name: str
    retry_after_s: float | None = None


def admit(router: RouterState, exchange: Exchange, request_id: bytes | None) -> Request | Denial:
    """The request, with all that its head says, or why it is not admitted."""
    table = router.fleet.table
    if table is None:
        return Denial(503, "no-configuration", UNCONFIGURED_RETRY_AFTER_S)
    if router.may_know_revoked_keys():
        return Denial(503, "revocation-unsure", UNCONFIGURED_RETRY_AFTER_S)
    route = table.match(exchange.host, exchange.path)
    if route is None:
        return denied(router, 404, "no-route")
    tenant = tenant_of(table, exchange.headers)
    if table.has_tenants and tenant is None and not route.public:
        return denied(router, 401, "no-tenant")
    until = exchange.began + min(remaining_ms(exchange.headers), route.timeout_ms) / 1000
    if router.drain is not None and not router.drain.admits(router.clock(), until):
        return Denial(503, "draining", DRAINING_RETRY_AFTER_S)
    return admit_to_service(router, exchange, request_id, route, tenant, until)


def admit_to_service(
    router: RouterState,
    exchange: Exchange,
    request_id: bytes | None,
    route: Route,
    tenant: Tenant | None,
    until: float,
) -> Request | Denial:
    """Chooses the route's service for the request, counts it there, and checks its tenant's share."""
    now, fleet = router.clock(), router.fleet
    service = route.choose_service(router.chance)
    router.budget.record_request(now, service)
    read_rate = router.read_rates_of(service).typical()
    shortest_target_ms = router.shortest_latency_targets.get(service, route.latency_target_ms)
    prompt = read_prompt(exchange.headers, shortest_target_ms, read_rate)
    ms = prompt.tokens / read_rate, prompt.work_ms
    standing = router.shares.ask(now, service, owner_of(tenant), ms, fleet.routers)
    if standing.refused:
        return Denial(429, "over-share", standing.wait)
    return Request(
        exchange=exchange,
        id=request_id,
        method=exchange.method.encode("ascii"),
        target=exchange.target.encode("latin-1"),
        table=fleet.table,
        route=route,
        tenant=tenant,
        service=service,
        base=base_headers(exchange.headers, tenant),
        until=until,
        prompt=prompt,
        standing=standing,
        # Short prompts go before long ones: they cost those little, the other way much.
        priority=priority(rank_of(route, tenant), prompt.long, MAX_PRIORITY_RANK, standing),
    )


def tenant_of(table: RouteTable, headers: Headers) -> Tenant | None:
    """Whose key the request bears; None where it bears none that is known, or several."""
    keys = {value for name, value in headers if name == b"x-api-key"}
    if len(keys) != 1:
        return None
    return table.tenant_of(next(iter(keys)).decode("latin-1").strip())


def base_headers(headers: Headers, tenant: Tenant | None) -> Headers:
    """The client's headers that go on, and the tenant's name."""
    base = request_headers(headers)
    if tenant:
        base.append((b"tenant-name", tenant.name.encode()))
    return base


def denied(router: RouterState, status: int, name: str) -> Denial:
    """A router that may not know the newest configuration doesn't say 4xx, which nobody repeats."""
    if router.fleet.fresh:
        return Denial(status, name)
    return Denial(503, f"{name}-unsure", UNCONFIGURED_RETRY_AFTER_S)


def owner_of(tenant: Tenant | None) -> str:
    """Whose share it is: the tenant's; all that come without one have one together."""
    return tenant.name if tenant else ""


def rank_of(route: Route, tenant: Tenant | None) -> int:
    """How urgent it is, 0 first: the tenant's priority where it has one, else the route's."""
    told = tenant.priority if tenant else None
    return min(max(route.priority if told is None else told, 0), MAX_PRIORITY_RANK)


def remaining_ms(headers: Headers) -> float:
    """Ms that the client waits, infinite if it doesn't say."""
    told = value_of(headers, b"remaining-milliseconds")
    ms = decimal(told.decode("latin-1")) if told else None
    return float("inf") if ms is None else ms


def read_prompt(headers: Headers, latency_target_ms: float, read_rate: float) -> Prompt:
    """The prompt as the headers tell it. `latency_target_ms`: the shortest one of the service's routes;
    `read_rate`: tokens a ms that the service's endpoints read."""
    model = (value_of(headers, b"model-name") or b"").decode("latin-1")
    prefix = value_of(headers, b"prompt-prefix")
    parts = parse_parts(prefix.decode("latin-1")) if model and prefix else []
    counts = (value_of(headers, b"token-counts") or b"").decode("latin-1")
    tokens = max(prompt_tokens(counts), size_of(parts))
    # One whose shared parts are worth tracking is dealt with as a long one, however fast it is read.
    is_tracked = size_of(parts[:-1]) >= TRACKED_TOKENS
    long = is_tracked or is_long(tokens / read_rate, latency_target_ms)
    return Prompt(model, parts, tokens, output_tokens(counts) * OUTPUT_WEIGHT / read_rate, long)
