"""The choice of an endpoint for one request: who may be sent it, and what each would cost."""

from dataclasses import dataclass

from plumline.configuration.routes import Service
from plumline.router.admission import Request
from plumline.router.progress import COME_BACK, Progress
from plumline.router.state import RouterState, address_text
from plumline.routing.choice import READ_RATE, Candidate, choose, expected_ms
from plumline.routing.fleet import Endpoint
from plumline.routing.lanes import AWAY_MS, SHORT_AWAY_MS
from plumline.routing.salt import Salt, salt_for
from plumline.routing.sources import Fetch, Holder, best_fetch

LEAST_CONNECTIONS = 2  # to an endpoint, however many routers share its limit
SILENCE_SHARE = 0.8  # of the silence that a client bears, in which a first piece must be expected
RESIDENT_SHARE = 0.8  # of an endpoint's memory that prompts may take before others go elsewhere


@dataclass(slots=True)
class Picked:
    endpoint: Endpoint
    salt: Salt | None  # with its version; None: nothing may be shared
    candidate: Candidate


class Selection:
    """One for a request, asked before each of its sends: its progress says what has been tried."""

    def __init__(self, router: RouterState, request: Request, progress: Progress) -> None:
        self.router, self.request, self.progress = router, request, progress
        self.holders: dict[str, list[Holder]] = {}  # by salt, of the choice at hand

    def pick(self, now: float) -> tuple[Picked | None, float]:
        """The endpoint to send to; if there is none, s until one may be ready (infinite: not by waiting)."""
        router, request, progress = self.router, self.request, self.progress
        prompt, wait = request.prompt, float("inf")
        endpoints = router.by_service.get(request.service, ())
        service = request.table.services.get(request.service)
        routers = max(router.fleet.routers, 1)
        most = max(service.connection_limit // routers, LEAST_CONNECTIONS) if service else LEAST_CONNECTIONS
        store = router.store_for(prompt.parts) if prompt.parts else None
        if not progress.tried:
            router.outcomes.asked([each.id for each in endpoints], max(len(endpoints), 1), now)
        router.index.age(now)
        salts: dict[int, Salt] = {}
        self.holders = {}
        found: list[Candidate] = []
        chosen: dict[str, tuple[Endpoint, Salt | None]] = {}
        for each in endpoints:
            key = each.id
            if each.draining or each.moving or key in progress.tried or key in router.gone:
                continue
            if router.shunned.get(key, 0.0) > now:
                wait = min(wait, router.shunned[key] - now)
                continue
            version = router.version_at(each, prompt.model) if prompt.model else None
            if prompt.model and not router.versions.usable(prompt.model, version or 1, now):
                continue
            if (ready := router.outcomes.ready_in(key, now)) > 0:
                wait = min(wait, ready)
                continue
            if not router.pool.room(key, most, now):
                continue
            if prompt.long and service and service.kv_tokens:
                room = service.kv_tokens * RESIDENT_SHARE - router.index.occupied(key)
                if prompt.tokens > room and router.index.occupied(key):
                    router.counters.add("request-memory-full")
                    continue
            salt = None
            if version is not None:
                salt = salts.get(version)
                if salt is None:
                    wall = router.fleet.state.wall if router.fleet.state else 0
                    salt = salts[version] = salt_for(version, wall, request.isolated)
            found.append(self.candidate(each, salt, service, store, now))
            chosen[key] = (each, salt)
        lanes = router.lanes.get(request.service)
        if lanes and prompt.model:
            if lanes.fleet == (0.0, 0.0):  # nobody told yet: as if all routers had what this one has
                short, long = lanes.work.rates(now)
                lanes.fleet = short * routers, long * routers
            home = lanes.home(prompt.parts, prompt.long)
            away = AWAY_MS if prompt.long else SHORT_AWAY_MS
            for each in found:
                each.astray_ms = lanes.astray_ms(each.id, prompt.long)
                if home is not None and each.id != home:
                    each.astray_ms += away
        best = choose(found, router.chance)
        if best is None:
            return None, wait
        if request.standing.over and expected_ms(best) > request.route.aim_ms and not progress.sends:
            progress.over_share = True
            return None, float("inf")
        if prompt.long and (late := expected_ms(best) - self.patience_ms(now)) > 0:
            # It would be given up before its first piece: the reading is spared, and it may come back.
            router.counters.add("request-shed")
            progress.come_back = min(max(late / 1000, COME_BACK[0]), COME_BACK[1])
            return None, wait
        return Picked(*chosen[best.id], best), 0.0

    def patience_ms(self, now: float) -> float:
        """How long the client waits for the first piece: PROTOCOL's bound on silence, or what is left."""
        route = self.request.route
        silence = max(2000.0, 4 * route.aim_ms, 8 * route.gap_aim_ms)
        return min(silence * SILENCE_SHARE, (self.request.until - now) * 1000)

    def candidate(
        self,
        endpoint: Endpoint,
        salt: Salt | None,
        service: Service | None,
        store: Service | None,
        now: float,
    ) -> Candidate:
        router, prompt = self.router, self.request.prompt
        load = router.load(endpoint.id)
        kept = 0
        fetch: Fetch | None = None
        if salt and prompt.parts:
            if prompt.long:
                kept = router.index.coming(endpoint.id, salt.text, prompt.parts)
            else:
                kept = router.affinity.kept(salt.text, prompt.parts, endpoint.id, now)
            if service:
                fetch = best_fetch(
                    self.holders_of(salt, service, store),
                    endpoint.address,
                    endpoint.zone,
                    kept,
                    service.kv_token_bytes,
                    service.link_mbps,
                    READ_RATE,
                    router.regions,
                )
        return Candidate(
            id=endpoint.id,
            unread=load.unread + router.index.backlog(endpoint.id),
            running=load.running,
            slots=endpoint.slots,
            missing=max(prompt.tokens - kept, 0),
            movable=fetch.tokens if fetch else 0.0,
            moved_ms=fetch.ms if fetch else 0.0,
            excess_ms=load.excess(now),
            same_zone=endpoint.zone == router.zone,
            connected=router.pool.has_idle(endpoint.id, now),
            source=fetch.source if fetch else None,
            again=self.read_again(salt, kept + (fetch.tokens if fetch else 0)),
        )

    def read_again(self, salt: Salt | None, spared: float) -> float:
        prompt = self.request.prompt
        if salt is None or not prompt.long:
            return 0.0
        return max(self.router.index.read_before(salt.text, prompt.parts[:-1]) - spared, 0.0)

    def holders_of(self, salt: Salt, service: Service, store: Service | None) -> list[Holder]:
        """Who is known to hold a beginning of this prompt's shared parts: endpoints and the store."""
        if (found := self.holders.get(salt.text)) is not None:
            return found
        router, shared = self.router, self.request.prompt.parts[:-1]
        found = self.holders[salt.text] = []
        if not self.request.prompt.long:
            seen = router.affinity.seen(salt.text, shared)
            if store and store.store_address and seen:
                found.append(Holder(store.store_address, store.store_zone, seen, store.link_mbps))
            return found
        for each in router.by_service.get(self.request.service, ()):
            if held := router.index.kept(each.id, salt.text, shared):
                found.append(Holder(each.address, each.zone, held, service.link_mbps))
        if store and store.store_address:
            contents = router.index.store(address_text(store.store_address))
            if held := contents.held(salt.text, shared):
                found.append(Holder(store.store_address, store.store_zone, held, store.link_mbps))
        return found
