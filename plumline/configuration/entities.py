"""Typed entities of a configuration, built from a valid document: routes, tenants, services, limits."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumline.configuration.document import Document, normalized_host
from plumline.configuration.rules import parse_address

IDEMPOTENT, NON_IDEMPOTENT, STREAMING = "idempotent", "non_idempotent", "streaming"
KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)
DEFAULT_PRIORITY = 5
UNLIMITED_CONNECTIONS = 1 << 30


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests to one host and path prefix are sent, and under which limits."""

    name: str
    host: str  # lower case, without port
    prefix: str  # path prefix; begins and ends with "/"
    kind: str  # one of KINDS; an unknown Kind counts as NON_IDEMPOTENT and runs at most once
    timeout_ms: float
    latency_target_ms: float  # the timeout if TargetLatencyMs is not given
    priority: int = DEFAULT_PRIORITY  # 0 is highest
    traffic_split: tuple[tuple[str, float], ...] = ()  # (service, weight); a service may occur twice
    attempt_limit: int = 1
    public: bool = False  # needs no API key
    sticky: bool = False  # prompts are sent in parts that a prefix cache may contain
    resumable: bool = False  # an interrupted stream may continue at another endpoint
    gap_target_ms: float = 0.0  # target for the longest pause between events of a stream; 0: none

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run at one endpoint may be retried at another."""
        return self.kind == IDEMPOTENT or (self.kind == STREAMING and self.resumable)

    def choose_service(self, rng: random.Random) -> str:
        """The name of a service, chosen at random by weight; never one of weight 0."""
        if len(self.traffic_split) == 1:
            return self.traffic_split[0][0]
        remaining = rng.random() * sum(weight for _, weight in self.traffic_split)
        last_candidate = ""
        for service, weight in self.traffic_split:
            if weight > 0:
                if remaining < weight:
                    return service
                remaining -= weight
                last_candidate = service
        return last_candidate


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, known by its API keys."""

    name: str
    priority: int | None = None  # overrides the route's
    isolated: bool = False  # shares no prefix cache with other tenants
    reserved_share: float = 0.0  # fraction of each service's capacity that is reserved for it under overload


@dataclass(frozen=True, slots=True)
class Service:
    """The properties of a group of endpoints, or of a cache store (`cache_store_address` is set)."""

    name: str
    health_path: str = "/health"
    connection_limit: int = UNLIMITED_CONNECTIONS  # total over all callers
    slots: int = 1  # requests that an endpoint runs concurrently
    cache_token_capacity: int = 0  # tokens that fit in an endpoint's or a store's KV cache; 0: unknown
    cache_token_bytes: int = 0  # bytes of KV cache per token
    link_speed_mbps: float = 0.0  # Mbit/s; 0: unknown
    concurrency_limit: int = 1  # concurrent calls of /kv-events
    models: tuple[str, ...] = ()
    cache_store_address: tuple[str, int] | None = None
    cache_store_zone: str = ""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and the duration of what a client sends."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


def traffic_split_of(item: Document) -> tuple[tuple[str, float], ...]:
    """The services of a route's item, with their weights."""
    splits = item.get("TrafficSplit")
    if not splits:
        return ((item["Service"], 1),)
    return tuple((split["Service"], split["Weight"]) for split in splits)


def latency_target_of(item: Document) -> float:
    """The latency target of a route's item, in ms."""
    return _value_or(item, "TargetLatencyMs", item["TimeoutMs"])


def route_from(item: Document) -> Route:
    """The route of a valid item of Routes."""
    kind = item.get("Kind")
    return Route(
        name=item["Name"],
        host=normalized_host(item["Host"]),
        prefix=item["PathPrefix"],
        kind=kind if kind in KINDS else NON_IDEMPOTENT,
        timeout_ms=item["TimeoutMs"],
        latency_target_ms=latency_target_of(item),
        priority=_value_or(item, "Priority", DEFAULT_PRIORITY),
        traffic_split=traffic_split_of(item),
        attempt_limit=_value_or(item, "AttemptLimit", 1),
        public=bool(item.get("PublicAccess")),
        sticky=bool(item.get("StickySessions")),
        resumable=bool(item.get("Resumable")),
        gap_target_ms=_value_or(item, "gap_aim_ms", 0.0),
    )


def service_from(item: Document) -> Service:
    """The service of a valid item of Services; endpoints have properties in Engine, stores in the item."""
    engine = item.get("Engine") or item
    return Service(
        name=item["Name"],
        health_path=_value_or(item, "HealthPath", "/health"),
        connection_limit=_value_or(item, "ConnectionLimit", UNLIMITED_CONNECTIONS),
        slots=_value_or(engine, "CapacitySlots", 1),
        cache_token_capacity=_value_or(engine, "CacheTokenCapacity", 0),
        cache_token_bytes=_value_or(engine, "CacheTokenBytes", 0),
        link_speed_mbps=_value_or(engine, "LinkSpeedMbps", 0.0),
        concurrency_limit=_value_or(engine, "ConcurrencyLimit", 1),
        models=tuple(model["Name"] for model in engine.get("Models") or ()),
        cache_store_address=parse_address(item.get("CacheStoreAddress")),
        cache_store_zone=_value_or(item, "Zone", ""),
    )


def tenant_from(item: Document) -> Tenant:
    """The tenant of a valid item of Tenants."""
    return Tenant(
        name=item["Name"],
        priority=item.get("Priority"),
        isolated=bool(item.get("Isolated")),
        reserved_share=_value_or(item, "ReservedShare", 0.0),
    )


def limits_from(item: Document) -> ClientLimits:
    """The limits of a valid Limits object."""
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=_value_or(item, "HeaderLimitBytes", defaults.max_header_bytes),
        max_body_bytes=_value_or(item, "BodyLimitBytes", defaults.max_body_bytes),
        header_timeout_ms=_value_or(item, "HeaderTimeoutMs", defaults.header_timeout_ms),
        idle_timeout_ms=_value_or(item, "IdleTimeoutMs", defaults.idle_timeout_ms),
    )


def _value_or(item: Mapping[str, Any], key: str, default: Any) -> Any:  # noqa: ANN401
    """The value under the key; the default if it is missing or null."""
    value = item.get(key)
    return default if value is None else value
