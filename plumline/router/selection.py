"""The choice of an endpoint for one request: who may be sent it, and what each would cost."""

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
from plumline.routing.prefix_fetch import Fetch, Holder, best_fetch, may_gain
from plumline.routing.prefix_homes import AWAY_SHARE, SHORT_AWAY_SHARE
from plumline.routing.read_rates import ServiceReadRates

LEAST_CONNECTIONS = 2  # to an endpoint, however many routers share its limit
SILENCE_SHARE = 0.8  # of the silence that a client bears, in which a first piece must be expected
RESIDENT_SHARE = 0.8  # of an endpoint's memory that prompts may take before others go elsewhere


@dataclass(slots=True)
class EndpointChoice:
    """An endpoint that may be sent the request, and what that would cost."""

    endpoint: Endpoint
    salt: Salt | None  # with its version; None: nothing may be shared
    candidate: Candidate


@dataclass(slots=True)
class ChoiceContext:
    """What holds for all endpoints during one choice."""

    now: float
    most_connections: int  # of this router to one endpoint
    store: Service | None  # that keeps this prompt's shared parts
    rates: ServiceReadRates
    reading_ms: float  # of a usual long prompt of the service
    salts: dict[int, Salt] = field(default_factory=dict)  # by version of the weights
    holders: dict[str, list[Holder]] = field(default_factory=dict)  # by salt


class Selection:
    """One for a request, asked before each of its sends: its progress says what has been tried."""

    def __init__(self, router: RouterState, request: Request, progress: Progress) -> None:
        self.router, self.request, self.progress = router, request, progress
        self.service: Service | None = request.table.services.get(request.service)
        self.shared = request.prompt.parts[:-1]
        self.shared_tokens = size_of(self.shared)

    def count_request(self, now: float) -> None:
        """Tells the breakers of all endpoints that a request has come which could go to any of them; once for
        each request, however often it is looked for an endpoint."""
        traffic = self.router.version_gate.traffic(self.request.service)
        usable = traffic.in_use() if traffic else frozenset()
        self.router.outcomes.asked(usable, max(len(usable), 1), now)

    def pick(self, now: float) -> tuple[EndpointChoice | None, float]:
        """The endpoint to send to; if there is none, s until one may be ready (infinite: not by waiting)."""
        picked, wait = None, math.inf
        for allowed in self.allowed_endpoints():
            picked, ready = self.pick_among(allowed, now)
            if picked is not None:
                return picked, 0.0
            wait = min(wait, ready)
        return None, wait

    def allowed_endpoints(self) -> list[frozenset[str]]:
        """The ids of the endpoints that the request may be sent to: one set, or two of which the second is
        used only if none of the first can be.

        A request is drawn once for the version on trial; one that was sent already goes to those in service.
        """
        traffic = self.router.version_gate.traffic(self.request.service)
        if traffic is None:
            return []
        if traffic.share >= 1.0:
            return (
                [traffic.trial] if traffic.stage is RolloutStage.HOLDING else [traffic.trial, traffic.serving]
            )
        if self.progress.trial_draw is None:
            self.progress.trial_draw = self.router.chance.random() if traffic.share else None
        draw = self.progress.trial_draw
        if draw is None or draw >= traffic.share or self.progress.attempts:
            return [traffic.serving]
        return [traffic.trial, traffic.serving]

    def pick_among(self, allowed: frozenset[str], now: float) -> tuple[EndpointChoice | None, float]:
        """The best of these endpoints; if none can be sent the request, s until one may be ready."""
        router = self.router
        listed = router.by_service.get(self.request.service, ())
        endpoints = [each for each in listed if each.id in allowed]
        router.index.age(now)
        look = self.look(now)
        wait = math.inf
        found: dict[str, EndpointChoice] = {}
        for endpoint in endpoints:
            if (ready := self.ready_in(endpoint, look)) > 0:
                wait = min(wait, ready)
            elif not self.memory_is_full(endpoint):
                salt = self.salt_at(endpoint, look)
                found[endpoint.id] = EndpointChoice(endpoint, salt, self.candidate(endpoint, salt, look))
        candidates = [each.candidate for each in found.values()]
        self.add_away_costs(candidates, look)
        best = choose(candidates, router.chance)
        if best is None:
            return None, wait
        if self.is_over_share(best):
            return None, math.inf
        if self.is_too_late(best, now):
            return None, wait
        return found[best.id], 0.0

    def look(self, now: float) -> ChoiceContext:
        """What this choice needs to know once."""
        router, parts = self.router, self.request.prompt.parts
        most = LEAST_CONNECTIONS
        if self.service:
            most = max(self.service.connection_limit // max(router.fleet.routers, 1), most)
        store = router.store_for(parts) if parts else None
        rates = router.read_rates_of(self.request.service)
        return ChoiceContext(now, most, store, rates, rates.typical_reading_ms())

    # Who may be sent it.

    def ready_in(self, endpoint: Endpoint, look: ChoiceContext) -> float:
        """S until the endpoint may be sent the request; 0: now, infinite: not by waiting."""
        router, key, model = self.router, endpoint.id, self.request.prompt.model
        if endpoint.draining or endpoint.moving or key in self.progress.attempted or key in router.gone:
            return math.inf
        if (shunned_until := router.shunned.get(key, 0.0)) > look.now:
            return shunned_until - look.now
        if model:
            version = router.version_at(endpoint, model) or 1
            if not router.versions.usable(model, version, look.now):
                return math.inf
        if (ready := router.outcomes.ready_in(key, look.now)) > 0:
            return ready
        return 0.0 if router.pool.room(key, look.most_connections, look.now) else math.inf

    def memory_is_full(self, endpoint: Endpoint) -> bool:
        """Whether a long prompt finds no room beside those that the endpoint has; an idle one takes any."""
        prompt = self.request.prompt
        if not MECHANISMS.memory_limit or not prompt.long:
            return False
        if not self.service or not self.service.cache_token_capacity:
            return False
        occupied = self.router.index.occupied(endpoint.id)
        full = (
            bool(occupied) and prompt.tokens > self.service.cache_token_capacity * RESIDENT_SHARE - occupied
        )
        if full:
            self.router.counters.add("request-memory-full")
        return full

    def salt_at(self, endpoint: Endpoint, look: ChoiceContext) -> Salt | None:
        """The salt for the version of the weights there; None where that is not known."""
        version = self.version_at(endpoint)
        if version is None:
            return None
        salt = look.salts.get(version)
        if salt is None:
            salt = look.salts[version] = self.salt_of(version)
        return salt

    def is_in_force(self, salt: Salt, endpoint: Endpoint) -> bool:
        """Whether the salt, of an earlier choice, is still the one for this endpoint."""
        version = self.version_at(endpoint)
        return version is not None and salt == self.salt_of(version)

    def version_at(self, endpoint: Endpoint) -> int | None:
        """The version there of the weights that the request is for; None where that is not known."""
        model = self.request.prompt.model
        return self.router.version_at(endpoint, model) if model else None

    def salt_of(self, version: int) -> Salt:
        """The salt for this version of the weights, by the configuration in force now: the request may have
        been admitted by an earlier one."""
        fleet = self.router.fleet
        generation = fleet.state.shared_cache_generation if fleet.state else 0
        return salt_for(version, generation, cache_owner_of(self.request.tenant, fleet.table))

    # What each would cost.

    def candidate(self, endpoint: Endpoint, salt: Salt | None, look: ChoiceContext) -> Candidate:
        """The endpoint as this request sees it, but for what it costs to be away from its home."""
        router, prompt = self.router, self.request.prompt
        load = router.load(endpoint.id)
        read_rate = look.rates.of(endpoint.id)
        kept = self.kept_at(endpoint, salt, look.now)
        fetch = self.fetch_to(endpoint, salt, kept, read_rate, look)
        return Candidate(
            id=endpoint.id,
            unread=load.unread + router.index.backlog(endpoint.id),
            running=load.running,
            slots=endpoint.slots,
            missing=max(prompt.tokens - kept, 0),
            movable=fetch.tokens if fetch else 0.0,
            moved_ms=fetch.ms if fetch else 0.0,
            excess_ms=load.excess(look.now),
            same_zone=endpoint.zone == router.zone,
            connected=router.pool.has_idle(endpoint.id, look.now),
            read_rate=read_rate,
            reading_ms=look.reading_ms,
            source=fetch.source if fetch else None,
            again=self.read_again(salt, kept + (fetch.tokens if fetch else 0)),
        )

    def kept_at(self, endpoint: Endpoint, salt: Salt | None, now: float) -> int:
        """Tokens at the prompt's start that the endpoint likely keeps, or is reading already."""
        router, prompt = self.router, self.request.prompt
        if salt is None or not prompt.parts:
            return 0
        if prompt.long:
            return router.index.coming(endpoint.id, salt.text, prompt.parts)
        return router.affinity.kept(salt.text, prompt.parts, endpoint.id, now)

    def fetch_to(
        self, endpoint: Endpoint, salt: Salt | None, kept: int, read_rate: float, look: ChoiceContext
    ) -> Fetch | None:
        """The best move of shared parts to the endpoint; None where none is faster than to read them."""
        service = self.service
        if not MECHANISMS.prefix_fetch:
            return None
        if salt is None or service is None or not may_gain(self.shared_tokens - kept, read_rate):
            return None
        return best_fetch(
            self.holders_of(salt, service, look),
            endpoint.address,
            endpoint.zone,
            kept,
            service.cache_token_bytes,
            service.link_speed_mbps,
            read_rate,
            self.router.regions,
        )

    def read_again(self, salt: Salt | None, spared: float) -> float:
        """Tokens of shared parts that would be read though somebody has read them."""
        if salt is None or not self.request.prompt.long:
            return 0.0
        return max(self.router.index.read_before(salt.text, self.shared) - spared, 0.0)

    def holders_of(self, salt: Salt, service: Service, look: ChoiceContext) -> list[Holder]:
        """Who is known to hold a beginning of this prompt's shared parts: endpoints and the store."""
        if (found := look.holders.get(salt.text)) is not None:
            return found
        found = look.holders[salt.text] = []
        if self.request.prompt.long:
            for each in self.router.by_service.get(self.request.service, ()):
                if held := self.router.index.kept(each.id, salt.text, self.shared):
                    found.append(Holder(each.address, each.zone, held, service.link_speed_mbps))
        store = look.store
        if store and store.cache_store_address and (held := self.held_by(store.cache_store_address, salt)):
            found.append(
                Holder(store.cache_store_address, store.cache_store_zone, held, store.link_speed_mbps)
            )
        return found

    def held_by(self, store: Address, salt: Salt) -> int:
        """Tokens at the prompt's start that the store holds; of short ones nobody tells."""
        if self.request.prompt.long:
            return self.router.index.store(address_text(store)).held(salt.text, self.shared)
        return self.router.affinity.seen(salt.text, self.shared)

    def add_away_costs(self, candidates: list[Candidate], look: ChoiceContext) -> None:
        """What it costs to send the request elsewhere than to the home of its shared parts."""
        prompt = self.request.prompt
        homes = self.router.prefix_homes.get(self.request.service)
        home = homes.home(prompt.parts) if homes and prompt.model else None
        if home is None:
            return
        away_ms = look.reading_ms * (AWAY_SHARE if prompt.long else SHORT_AWAY_SHARE)
        for each in candidates:
            each.away_ms = away_ms if each.id != home else 0.0

    # Whether it is worth sending, and now.

    def awaits_reading(self, picked: EndpointChoice) -> bool:
        """Whether the endpoint would read shared parts that are being read just now, there or elsewhere.

        An endpoint that is sent two prompts with one shared part while it keeps that part for neither reads
        it for both. Once the first has been read the part is found there, or can be moved.
        """
        prompt, salt, index = self.request.prompt, picked.salt, self.router.index
        if not MECHANISMS.reading_waits or not prompt.long or salt is None or not self.shared:
            return False
        if not index.is_being_read(salt.text, self.shared[-1]):
            return False
        found = index.kept(picked.endpoint.id, salt.text, self.shared) + picked.candidate.movable
        return self.shared_tokens - found >= TRACKED_TOKENS

    def is_over_share(self, best: Candidate) -> bool:
        """Whether its tenant is over its share in a surge and it would be late even where it costs least."""
        request = self.request
        over = (
            request.standing.over
            and expected_ms(best) > request.route.latency_target_ms
            and not self.progress.attempts
        )
        if over:
            self.progress.quota_exceeded = True
        return over

    def is_too_late(self, best: Candidate, now: float) -> bool:
        """Whether a long prompt would be given up before its first piece: its reading is spared, and it may
        come back."""
        if not self.request.prompt.long or not MECHANISMS.shedding:
            return False
        late_ms = expected_ms(best) - self.patience_ms(now)
        if late_ms <= 0:
            return False
        self.router.counters.add("request-shed")
        self.progress.retry_after_s = min(max(late_ms / 1000, RETRY_AFTER_RANGE_S[0]), RETRY_AFTER_RANGE_S[1])
        return True

    def patience_ms(self, now: float) -> float:
        """How long the client waits for the first piece: PROTOCOL's bound on silence, or what is left."""
        route = self.request.route
        silence = max(2000.0, 4 * route.latency_target_ms, 8 * route.gap_target_ms)
        return min(silence * SILENCE_SHARE, (self.request.until - now) * 1000)
