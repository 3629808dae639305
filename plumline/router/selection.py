"""Selects an endpoint for one request: which endpoints are eligible, and the expected cost of each."""

import math
from dataclasses import dataclass, field

from plumline.configuration.entities import Service
from plumline.configuration.service_rollouts import RolloutStage
from plumline.prefix_cache.blocks import size_of
from plumline.router.admission import TRACKED_TOKENS, Request
from plumline.router.progress import RETRY_AFTER_RANGE_S, Progress
from plumline.router.router_state import RouterState, address_text
from plumline.routing.cache_salt import Salt, cache_owner_of, salt_for
from plumline.routing.endpoint_scoring import Candidate, choose, expected_ms
from plumline.routing.fleet import Address, Endpoint
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.prefix_fetch import Fetch, PrefixHolder, best_fetch, can_save_time
from plumline.routing.prefix_homes import OFF_HOME_COST_SHARE, SHORT_OFF_HOME_COST_SHARE
from plumline.routing.read_rates import ServiceReadRates

MIN_CONNECTIONS_PER_ENDPOINT = 2  # allowed to each router, however many share the endpoint's limit
SILENCE_LIMIT_SHARE = 0.8  # of the client's silence limit; the first chunk must be expected within it
MEMORY_FILL_SHARE = 0.8  # of an endpoint's cache capacity; long prompts that exceed it go elsewhere


@dataclass(slots=True)
class EndpointChoice:
    """An eligible endpoint for the request, and the expected cost of sending it there."""

    endpoint: Endpoint
    salt: Salt | None  # for its version of the weights; None: nothing may be shared
    candidate: Candidate


@dataclass(slots=True)
class ChoiceContext:
    """Values common to all endpoints during one selection."""

    now: float
    max_connections: int  # from this router to one endpoint
    store: Service | None  # the cache store for this prompt's shared parts
    rates: ServiceReadRates
    reading_ms: float  # of a typical long prompt of the service
    salts: dict[int, Salt | None] = field(default_factory=dict)  # by version of the weights
    holders: dict[str, list[PrefixHolder]] = field(default_factory=dict)  # by salt


class Selection:
    """Selects endpoints for one request, anew before each attempt; its progress records earlier attempts."""

    def __init__(self, router: RouterState, request: Request, progress: Progress) -> None:
        self.router, self.request, self.progress = router, request, progress
        self.service: Service | None = request.table.services.get(request.service)
        self.shared = request.prompt.parts[:-1]
        self.shared_tokens = size_of(self.shared)

    def count_request(self, now: float) -> None:
        """Reports one request to the circuit breakers of all endpoints that could receive it. Called once per
        request, however often an endpoint is selected for it."""
        traffic = self.router.version_gate.traffic(self.request.service)
        usable = traffic.in_use() if traffic else frozenset()
        self.router.outcomes.record_request(usable, max(len(usable), 1), now)

    def select_endpoint(self, now: float) -> tuple[EndpointChoice | None, float]:
        """The endpoint to send to. If there is none: seconds until one may be ready, infinite if waiting does
        not help."""
        picked, wait = None, math.inf
        for allowed in self.allowed_endpoints():
            picked, ready_s = self.select_among(allowed, now)
            if picked is not None:
                return picked, 0.0
            wait = min(wait, ready_s)
        return None, wait

    def allowed_endpoints(self) -> list[frozenset[str]]:
        """The ids of the endpoints that the request may be sent to: one set, or two of which the second is
        used only if no endpoint of the first is available.

        Each request is assigned to the version on trial by one random draw. A retry goes to the versions in
        service.
        """
        traffic = self.router.version_gate.traffic(self.request.service)
        if traffic is None:
            return []
        if traffic.share >= 1.0:
            return (
                [traffic.trial] if traffic.stage is RolloutStage.HOLDING else [traffic.trial, traffic.serving]
            )
        if self.progress.trial_draw is None:
            self.progress.trial_draw = self.router.rng.random() if traffic.share else None
        draw = self.progress.trial_draw
        if draw is None or draw >= traffic.share or self.progress.attempts:
            return [traffic.serving]
        return [traffic.trial, traffic.serving]

    def select_among(self, allowed: frozenset[str], now: float) -> tuple[EndpointChoice | None, float]:
        """The best of these endpoints. If none is available: seconds until one may be ready."""
        router = self.router
        listed = router.endpoints_by_service.get(self.request.service, ())
        endpoints = [each for each in listed if each.id in allowed]
        router.index.expire(now)
        context = self.build_context(now)
        wait = math.inf
        choices: dict[str, EndpointChoice] = {}
        for endpoint in endpoints:
            if (ready_s := self.ready_in_s(endpoint, context)) > 0:
                wait = min(wait, ready_s)
            elif not self.memory_is_full(endpoint):
                salt = self.salt_at(endpoint, context)
                choices[endpoint.id] = EndpointChoice(endpoint, salt, self.candidate(endpoint, salt, context))
        candidates = [each.candidate for each in choices.values()]
        self.add_off_home_costs(candidates, context)
        best = choose(candidates, router.rng)
        if best is None:
            return None, wait
        if self.is_over_share(best):
            return None, math.inf
        if self.is_too_late(best, now):
            return None, wait
        return choices[best.id], 0.0

    def build_context(self, now: float) -> ChoiceContext:
        """Computes the values common to all endpoints for one selection."""
        router, parts = self.router, self.request.prompt.parts
        max_connections = MIN_CONNECTIONS_PER_ENDPOINT
        if self.service:
            max_connections = max(
                self.service.connection_limit // max(router.fleet.routers, 1), max_connections
            )
        store = router.store_for(parts) if parts else None
        rates = router.read_rates_of(self.request.service)
        return ChoiceContext(now, max_connections, store, rates, rates.typical_reading_ms())

    # Eligibility.

    def ready_in_s(self, endpoint: Endpoint, context: ChoiceContext) -> float:
        """Seconds until the endpoint may be sent the request; 0: now, infinite: waiting does not help."""
        router, key, model = self.router, endpoint.id, self.request.prompt.model
        if endpoint.draining or endpoint.updating or key in self.progress.attempted or key in router.replaced:
            return math.inf
        if (shunned_until := router.backoff_until.get(key, 0.0)) > context.now:
            return shunned_until - context.now
        if model:
            version = router.version_at(endpoint, model) or 1
            if not router.versions.is_usable(model, version, context.now):
                return math.inf
        if (ready_s := router.outcomes.ready_in_s(key, context.now)) > 0:
            return ready_s
        return 0.0 if router.pool.has_capacity(key, context.max_connections, context.now) else math.inf

    def memory_is_full(self, endpoint: Endpoint) -> bool:
        """Whether a long prompt does not fit beside the prompts in the endpoint's memory. An endpoint without
        any accepts every prompt."""
        prompt = self.request.prompt
        if not MECHANISMS.memory_limit or not prompt.long:
            return False
        if not self.service or not self.service.cache_token_capacity:
            return False
        occupied = self.router.index.occupied_tokens(endpoint.id)
        full = (
            bool(occupied)
            and prompt.tokens > self.service.cache_token_capacity * MEMORY_FILL_SHARE - occupied
        )
        if full:
            self.router.counters.add("request-memory-full")
        return full

    def salt_at(self, endpoint: Endpoint, context: ChoiceContext) -> Salt | None:
        """The salt for the endpoint's version of the weights; None if nothing may be shared."""
        version = self.version_at(endpoint)
        if version is None:
            return None
        if version not in context.salts:
            context.salts[version] = self.salt_of(version)
        return context.salts[version]

    def is_salt_valid(self, salt: Salt, endpoint: Endpoint) -> bool:
        """Whether a salt from an earlier selection is still valid for this endpoint."""
        version = self.version_at(endpoint)
        return version is not None and salt == self.salt_of(version)

    def version_at(self, endpoint: Endpoint) -> int | None:
        """The endpoint's version of the weights that the request asks for; None if it is unknown."""
        model = self.request.prompt.model
        return self.router.version_at(endpoint, model) if model else None

    def salt_of(self, version: int) -> Salt | None:
        """The salt for this version of the weights under the current configuration; the request may have been
        admitted under an earlier one. None if the configuration is too old to tell who shares the cache."""
        if not self.router.has_recent_configuration():
            return None
        fleet = self.router.fleet
        generation = fleet.state.shared_cache_generation if fleet.state else 0
        return salt_for(version, generation, cache_owner_of(self.request.tenant, fleet.table))

    # Cost estimates.

    def candidate(self, endpoint: Endpoint, salt: Salt | None, context: ChoiceContext) -> Candidate:
        """The endpoint's scoring input for this request, without the cost of leaving the prompt's home, which
        `add_off_home_costs` sets."""
        router, prompt = self.router, self.request.prompt
        load = router.load(endpoint.id)
        read_rate = context.rates.of(endpoint.id)
        cached = self.cached_tokens_at(endpoint, salt, context.now)
        fetch = self.best_fetch_to(endpoint, salt, cached, read_rate, context)
        return Candidate(
            id=endpoint.id,
            unread_tokens=load.unread_tokens + router.index.backlog(endpoint.id),
            running=load.running,
            slots=endpoint.slots,
            uncached_tokens=max(prompt.tokens - cached, 0),
            fetchable_tokens=fetch.tokens if fetch else 0.0,
            fetch_ms=fetch.ms if fetch else 0.0,
            excess_ms=load.excess_at(context.now),
            same_zone=endpoint.zone == router.zone,
            connected=router.pool.has_idle(endpoint.id, context.now),
            read_rate=read_rate,
            reading_ms=context.reading_ms,
            source=fetch.source if fetch else None,
            reread_tokens=self.tokens_read_again(salt, cached + (fetch.tokens if fetch else 0)),
        )

    def cached_tokens_at(self, endpoint: Endpoint, salt: Salt | None, now: float) -> int:
        """Tokens at the prompt's start that the endpoint has probably cached, or is already reading."""
        router, prompt = self.router, self.request.prompt
        if salt is None or not prompt.parts:
            return 0
        if prompt.long:
            return router.index.cached_or_reading_tokens(endpoint.id, salt.text, prompt.parts)
        return router.affinity.cached_tokens(salt.text, prompt.parts, endpoint.id, now)

    def best_fetch_to(
        self, endpoint: Endpoint, salt: Salt | None, cached: int, read_rate: float, context: ChoiceContext
    ) -> Fetch | None:
        """The best transfer of shared parts to the endpoint; None if reading them is faster."""
        service = self.service
        if not MECHANISMS.prefix_fetch:
            return None
        if salt is None or service is None or not can_save_time(self.shared_tokens - cached, read_rate):
            return None
        return best_fetch(
            self.known_holders(salt, service, context),
            endpoint.address,
            endpoint.zone,
            cached,
            service.cache_token_bytes,
            service.link_speed_mbps,
            read_rate,
            self.router.regions,
        )

    def tokens_read_again(self, salt: Salt | None, spared: float) -> float:
        """Tokens of shared parts that would be read although they have been read before."""
        if salt is None or not self.request.prompt.long:
            return 0.0
        return max(self.router.index.read_or_reading_tokens(salt.text, self.shared) - spared, 0.0)

    def known_holders(self, salt: Salt, service: Service, context: ChoiceContext) -> list[PrefixHolder]:
        """The endpoints and the cache store known to hold a prefix of this prompt's shared parts."""
        if (holders := context.holders.get(salt.text)) is not None:
            return holders
        holders = context.holders[salt.text] = []
        if self.request.prompt.long:
            for each in self.router.endpoints_by_service.get(self.request.service, ()):
                if held := self.router.index.cached_tokens(each.id, salt.text, self.shared):
                    holders.append(PrefixHolder(each.address, each.zone, held, service.link_speed_mbps))
        store = context.store
        if (
            store
            and store.cache_store_address
            and (held := self.tokens_in_store(store.cache_store_address, salt))
        ):
            holders.append(
                PrefixHolder(store.cache_store_address, store.cache_store_zone, held, store.link_speed_mbps)
            )
        return holders

    def tokens_in_store(self, store: Address, salt: Salt) -> int:
        """Tokens at the prompt's start that the store holds. It reports only those of long prompts; for short
        ones, prompts sent before stand in."""
        if self.request.prompt.long:
            return self.router.index.store(address_text(store)).held_tokens(salt.text, self.shared)
        return self.router.affinity.sent_tokens(salt.text, self.shared)

    def add_off_home_costs(self, candidates: list[Candidate], context: ChoiceContext) -> None:
        """Adds the cost of sending the request to an endpoint other than the home of its shared parts."""
        prompt = self.request.prompt
        homes = self.router.prefix_homes.get(self.request.service)
        home = homes.home(prompt.parts) if homes and prompt.model else None
        if home is None:
            return
        off_home_ms = context.reading_ms * (OFF_HOME_COST_SHARE if prompt.long else SHORT_OFF_HOME_COST_SHARE)
        for each in candidates:
            each.off_home_ms = off_home_ms if each.id != home else 0.0

    # Whether to send the request now.

    def should_wait_for_reading(self, picked: EndpointChoice) -> bool:
        """Whether the endpoint would read shared parts that it or another endpoint is currently reading.

        An endpoint that receives two prompts with the same uncached shared part reads that part twice. Once
        the first prompt has been read, the part is cached there or can be transferred.
        """
        prompt, salt, index = self.request.prompt, picked.salt, self.router.index
        if not MECHANISMS.reading_waits or not prompt.long or salt is None or not self.shared:
            return False
        if not index.is_being_read(salt.text, self.shared[-1]):
            return False
        available = (
            index.cached_tokens(picked.endpoint.id, salt.text, self.shared)
            + picked.candidate.fetchable_tokens
        )
        return self.shared_tokens - available >= TRACKED_TOKENS

    def is_over_share(self, best: Candidate) -> bool:
        """Whether the tenant exceeds its share in a surge, and the request would miss its latency target even
        at the cheapest endpoint."""
        request = self.request
        rejected = (
            request.quota_status.over_quota
            and expected_ms(best) > request.route.latency_target_ms
            and not self.progress.attempts
        )
        if rejected:
            self.progress.quota_exceeded = True
        return rejected

    def is_too_late(self, best: Candidate, now: float) -> bool:
        """Whether the client of a long prompt would give up before the first chunk. The request is refused
        then, with a `Retry-After`, instead of being read in vain."""
        if not self.request.prompt.long or not MECHANISMS.shedding:
            return False
        late_ms = expected_ms(best) - self.first_chunk_timeout_ms(now)
        if late_ms <= 0:
            return False
        self.router.counters.add("request-shed")
        self.progress.retry_after_s = min(max(late_ms / 1000, RETRY_AFTER_RANGE_S[0]), RETRY_AFTER_RANGE_S[1])
        return True

    def first_chunk_timeout_ms(self, now: float) -> float:
        """How long the client waits for the first chunk: PROTOCOL's limit on silence, or its deadline."""
        route = self.request.route
        silence_limit_ms = max(2000.0, 4 * route.latency_target_ms, 8 * route.gap_target_ms)
        return min(silence_limit_ms * SILENCE_LIMIT_SHARE, (self.request.deadline - now) * 1000)
