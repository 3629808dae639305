"""A request's way after it has been read: admission, choice, sends, relay, and what each send's end proved.

What keeps the rules: every send carries `Expected-Instance`; a second one is made only where the first surely
has not run or the route is idempotent, and only out of the budget; 503 is answered only where surely nothing
ran, 502 or 504 where something may have.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Protocol

import h11

from plumline import logs
from plumline.configuration.routes import Route, RouteTable, Service, Tenant
from plumline.coordination import ring
from plumline.coordination.budget import RetryBudget
from plumline.counters import Counters
from plumline.prompts.index import Placement, PromptIndex
from plumline.router.relay import (
    EventJoiner,
    Headers,
    answer_headers,
    is_framed,
    request_headers,
    value_of,
)
from plumline.router.upstream import (
    Pool,
    UpstreamConnectError,
    UpstreamConnection,
    UpstreamError,
    UpstreamUnsentError,
    idle_time,
)
from plumline.routing.choice import READ_RATE, Candidate, choose, expected_ms
from plumline.routing.fleet import Address, Endpoint, Fleet
from plumline.routing.lanes import AWAY_MS, SHORT_AWAY_MS, TOKEN_MS, Lanes, is_long
from plumline.routing.loads import Affinity, Load, Part, output_tokens, parse_parts, prompt_tokens
from plumline.routing.outcomes import Call, Outcomes, store_key
from plumline.routing.salt import NamedVersions, Salt, salt_for
from plumline.routing.shares import CALM, Shares, Standing, priority
from plumline.routing.sources import Fetch, Holder, best_fetch
from plumline.settings import Settings
from plumline.wire.exchange import Exchange

CONNECT_TIMEOUT = 0.3  # s
MOST_CONNECTS = 3  # connections that may fail under one request
LEAST_CONNECTIONS = 2  # to an endpoint, however many routers share its limit
MARGIN = 0.02  # s of a request's time that the way back may take
WAIT_SHARE = 1 / 8  # of the aim: how long a request may be held, once, for an endpoint to be ready
COME_BACK = (0.2, 1.0)  # s, the least and the most that a refused client is told
NOT_YET = 0.3  # s a client is told where no configuration is here yet
SHUNNED = 1.0  # s without sends to an endpoint whose weights turned out to be others than known
PROMISES = frozenset((408, 421, 429, 503))  # a client takes these for 'has not run and never will'

log = logs.logger("dispatch")


SILENCE_SHARE = 0.8  # of the silence that a client bears, in which a first piece must be expected
RESIDENT_SHARE = 0.8  # of an endpoint's memory that prompts may take before others go elsewhere
REVOCATION_SHARE = 0.8  # of RevocationMs: what a request takes on its way is left
MOST_RANK = 4  # ranks from here on count alike: an endpoint knows ten, two for each
UP: dict[str, Any] = {"up": True}  # a store that nobody told of


class Budget(Protocol):
    def request(self, now: float, service: str) -> None: ...
    def may_repeat(self, now: float, service: str, routers: int) -> bool: ...


class Proof(Enum):
    """What the end of one send proves."""

    ANSWERED = "answered"  # the client has its answer, or its connection was cut
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(slots=True)
class Picked:
    endpoint: Endpoint
    salt: Salt | None  # with its version; None: nothing may be shared
    candidate: Candidate


class Dispatcher:
    """The requests of one router. `clock`: the steady clock in s."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        chance: random.Random | None = None,
        *,
        budget: Budget | None = None,
    ) -> None:
        self.zone, self.fleet, self.counters, self.clock = settings.zone, fleet, counters, clock
        self.bounds = settings.bounds
        self.chance = chance or random.Random()
        bounds = settings.bounds
        self.budget: Budget = budget or RetryBudget(
            bounds.retry_budget_ratio,
            bounds.retry_window_s,
            bounds.retry_budget_slack,
            clock(),
            fresh_system=settings.first_start,
        )
        self.outcomes = Outcomes(lambda: self.fleet.routers, self.chance)
        self.pool = Pool(CONNECT_TIMEOUT)
        self.affinity = Affinity()
        self.index = PromptIndex(self.memory_of)
        self.node, self.regions = settings.node_name, settings.zones
        self.count = itertools.count(1)
        #: Tells the other routers of a prompt placed, read or ended; the process sets it.
        self.tell: Callable[[list[Any]], None] = lambda _: None
        self.models: dict[str, dict[str, int]] = {}  # weights by endpoint id, as listed
        self.stores: dict[str, dict[str, Any]] = {}  # what the core tells of stores, by name
        self.loads: dict[str, Load] = {}
        self.versions = NamedVersions(self.told_versions, bounds.version_apply_ms / 1000)
        self.learned: dict[str, dict[str, int]] = {}  # endpoint id -> {model: version} that its answers told
        self.shunned: dict[str, float] = {}  # endpoint id -> until when
        self.gone: set[str] = set()  # ids whose address answered for another incarnation
        self.by_service: dict[str, list[Endpoint]] = {}
        self.lanes: dict[str, Lanes] = {}
        self.shares = Shares(self.surge)
        self.shortest_aims: dict[str, float] = {}  # ms, by service
        self.tasks: set[asyncio.Task[None]] = set()
        self.told("configuration")
        self.told("endpoints")
        fleet.watchers.append(self.told)

    def told_versions(self) -> dict[str, int] | None:
        return self.fleet.state.versions if self.fleet.state else None

    def told(self, topic: str) -> None:
        """The fleet's news."""
        now = self.clock()
        if topic == "configuration":
            self.versions.look(now)
            self.shares.set_reserved(self.fleet.table.reserved if self.fleet.table else {})
            self.shortest_aims = {}
            for route in self.fleet.table.routes if self.fleet.table else ():
                for service, _ in route.splits:
                    known = self.shortest_aims.get(service, route.aim_ms)
                    self.shortest_aims[service] = min(known, route.aim_ms)
        elif topic == "stores":
            self.told_stores(self.fleet.stores)
        elif topic == "endpoints":
            listed = self.fleet.endpoints
            self.index.set_endpoints(listed)
            for key, models in self.models.items():
                if key in listed and listed[key].models != models:
                    self.index.clear_endpoint(key)  # other weights: all that it kept is dropped
            self.models = {key: each.models for key, each in listed.items()}
            self.by_service = {}
            for each in listed.values():
                self.by_service.setdefault(each.service, []).append(each)
            counts: dict[str, int] = {}
            for service, at in self.by_service.items():
                usable = [each.id for each in at if not (each.draining or each.moving)]
                self.lanes.setdefault(service, Lanes()).set_endpoints(service, usable)
                counts[service] = len(usable)
            self.shares.set_endpoints(counts)
            self.lanes = {name: each for name, each in self.lanes.items() if name in self.by_service}
            self.pool.sweep(now, listed)
            self.outcomes.age(listed, now)
            self.gone &= listed.keys()
            for known in (self.loads, self.learned, self.shunned):
                for key in [key for key in known if key not in listed]:
                    del known[key]

    def work_rates(self) -> dict[str, list[Any]]:
        """This router's work by service, for its heartbeats: [short, long] in ms a second, and what tenants
        ask for where shares are reserved."""
        now = self.clock()
        found: dict[str, list[Any]] = {}
        for name, each in self.lanes.items():
            found[name] = [round(rate, 1) for rate in each.work.rates(now)]
            if (demand := self.shares.demand(now, name)) is not None:
                found[name].append(demand)
        return found

    def told_work(self, work: dict[str, list[Any]]) -> None:
        """The whole fleet's."""
        for name, (short, long, *demand) in work.items():
            if lanes := self.lanes.get(name):
                lanes.fleet = short, long
            if demand:
                self.shares.take(self.clock(), name, demand[0])

    def surge(self, service: str, on: bool, times: float) -> None:
        log.info(logs.words("surge", service=service, on=on, demand=round(times, 2)))

    def told_stores(self, stores: dict[str, dict[str, Any]]) -> None:
        """{name: {"up": bool, "epoch": int}}: one that was down, or began anew, holds nothing any more."""
        for name, each in stores.items():
            known = self.stores.get(name)
            service = self.fleet.table.services.get(name) if self.fleet.table else None
            begun_anew = known is not None and (not each["up"] or each["epoch"] != known["epoch"])
            if begun_anew and service and service.store_address:
                self.index.store(address_text(service.store_address).decode()).clear()
        self.stores = stores

    def memory_of(self, endpoint: str) -> float:
        listed = self.fleet.endpoints.get(endpoint)
        table = self.fleet.table
        service = table.services.get(listed.service) if listed and table else None
        return service.kv_tokens if service else 0.0

    def told_news(self, node: str, events: list[Any]) -> None:
        """What another router tells of its prompts. Raises ValueError, TypeError for what is no news."""
        now = self.clock()
        for event in events:
            match event:
                case ["placed", int(number), str(endpoint), str(salt), list(told), float(missing),
                str(saves)]:
                    parts = [(str(name), int(tokens)) for name, tokens in told]
                    if endpoint in self.fleet.endpoints:
                        placement = Placement(endpoint, salt, parts, missing, saves, now)
                        self.index.placed((node, number), placement)
                case ["read", int(number)]:
                    self.index.read((node, number))
                case ["done", int(number)]:
                    self.index.done((node, number))
                case ["stored", int(epoch), list(changes)]:
                    self.index.store(node).changed(epoch, changes)  # by the store's address
                case _:
                    raise ValueError(f"no news: {event!r}")

    def handle(self, exchange: Exchange) -> None:
        """Takes the request on; its answer comes by a task of its own."""
        task = asyncio.get_running_loop().create_task(Job(self, exchange).run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def drained(self) -> None:
        """Returns once every request taken on has its answer."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()

    def may_know_revoked_keys(self) -> bool:
        """Where revocation is closed, a router that has been out of touch for long takes no key any more."""
        bounds, since = self.bounds, self.clock() - self.fleet.fresh_at
        return bounds.revocation_closed and since > bounds.revocation_ms / 1000 * REVOCATION_SHARE

    def load(self, key: str) -> Load:
        return self.loads.get(key) or self.loads.setdefault(key, Load())

    def version_at(self, endpoint: Endpoint, model: str) -> int | None:
        """The newest version of the model's weights known to be at the endpoint."""
        listed = endpoint.models.get(model)
        told = self.learned.get(endpoint.id, {}).get(model)
        return max(listed or 0, told or 0) or None

    def learn_version(self, endpoint: Endpoint, model: str, headers: Headers) -> None:
        told = value_of(headers, b"versions")
        if model and told and told.isdigit() and len(told) < 10:
            # Only what was named: an endpoint with a version taken for another one would be of no use.
            known = self.version_at(endpoint, model) or 0
            if known < int(told) <= self.fleet.named_version(model):
                self.learned.setdefault(endpoint.id, {})[model] = int(told)

    def store_for(self, parts: list[Part]) -> Service | None:
        """The store that holds a prompt's shared parts: the same for all routers, of those that are up."""
        stores = self.fleet.table.stores
        up = [
            name
            for name, each in stores.items()
            if each.store_address
            and self.stores.get(name, UP)["up"]
            and not self.outcomes.is_open(store_key(each.store_address))
        ]
        if len(up) > 1:
            name = ring.choose(parts[-2][0] if len(parts) > 1 else "", up)
        else:
            name = up[0] if up else None
        return stores[name] if name is not None else None


class Job:
    """One request."""

    def __init__(self, dispatcher: Dispatcher, exchange: Exchange) -> None:
        self.of, self.exchange = dispatcher, exchange
        self.method = exchange.method.encode("ascii")
        self.target = exchange.target.encode("latin-1")
        self.id = value_of(exchange.headers, b"attempt-id")
        self.table: RouteTable
        self.route: Route
        self.tenant: Tenant | None = None
        self.service = ""
        self.base: Headers = []
        self.until = 0.0  # steady s at which the client or the route gives up
        self.timer: asyncio.TimerHandle | None = None
        self.connection: UpstreamConnection | None = None
        self.expired = self.gone = self.ran = self.granted = False
        self.started = False  # the head of an answer has gone to the client
        self.sends = self.connects = 0
        self.tried: set[str] = set()  # endpoints that were sent this request, or couldn't be
        self.joiner: EventJoiner | None = None
        self.come_back = COME_BACK[0]
        self.standing = CALM  # towards its tenant's share
        self.over_share = False  # and not sent for it
        self.holders: dict[str, list[Holder]] = {}  # by salt, of the choice at hand

    async def run(self) -> None:
        try:
            if not self.admit():
                return
            self.exchange.on_gone = self.client_gone
            self.gone = self.exchange.gone
            left = self.until - self.of.clock()
            self.timer = asyncio.get_running_loop().call_later(max(left, 0), self.expire)
            await self.work()
        except Exception:
            self.count("failed")
            log.exception("a request could not be handled")
            self.ran = self.ran or self.sends > 0
            if not self.exchange.done:
                self.give_up()
        finally:
            if self.timer:
                self.timer.cancel()
            self.exchange.on_gone = None

    def count(self, name: str) -> None:
        self.of.counters.add(f"request-{name}")

    # Admission.

    def admit(self) -> bool:
        """Whether a route takes the request; if not, it has been answered."""
        exchange, fleet = self.exchange, self.of.fleet
        if fleet.table is None:
            self.answer(503, "no-configuration", NOT_YET)
            return False
        self.table = fleet.table
        if self.of.may_know_revoked_keys():
            self.answer(503, "revocation-unsure", NOT_YET)
            return False
        route = self.table.match(exchange.host, exchange.path)
        if route is None:
            return self.denied(404, "no-route")
        self.route = route
        keys = {value for name, value in exchange.headers if name == b"x-api-key"}
        if len(keys) == 1:
            self.tenant = self.table.tenant_of(next(iter(keys)).decode("latin-1").strip())
        if self.table.has_tenants and self.tenant is None and not route.public:
            return self.denied(401, "no-tenant")
        now = self.of.clock()
        self.service = route.pick(self.of.chance)
        self.of.budget.request(now, self.service)
        self.base = request_headers(exchange.headers)
        if self.tenant:
            self.base.append((b"tenant-name", self.tenant.name.encode()))
        self.until = exchange.began + min(self.told_time(), route.timeout_ms) / 1000
        self.read_prompt()
        ms = self.tokens / READ_RATE, self.work_ms
        standing = self.of.shares.ask(now, self.service, self.owner(), ms, self.of.fleet.routers)
        self.set_standing(standing)
        if standing.refused:
            self.answer(429, "over-share", standing.wait)
            return False
        return True

    def owner(self) -> str:
        """Whose share it is: the tenant's; all that come without one have one together."""
        return self.tenant.name if self.tenant else ""

    def set_standing(self, standing: Standing) -> None:
        # Short prompts go before long ones: they cost those little, the other way much.
        told = self.tenant.priority if self.tenant else None
        rank = min(max(self.route.priority if told is None else told, 0), MOST_RANK)
        self.standing = standing
        self.priority = priority(rank, self.long, MOST_RANK, standing)

    def denied(self, status: int, name: str) -> bool:
        """A router that may not know the newest configuration doesn't say 4xx, which nobody repeats."""
        if self.of.fleet.fresh:
            self.answer(status, name)
        else:
            self.answer(503, f"{name}-unsure", NOT_YET)
        return False

    def told_time(self) -> float:
        """Ms that the client waits, infinite if it doesn't say."""
        told = value_of(self.exchange.headers, b"remaining-milliseconds")
        if told and told.isdigit() and len(told) < 12:
            return float(told)
        return float("inf")

    def read_prompt(self) -> None:
        headers = self.exchange.headers
        self.model = (value_of(headers, b"model-name") or b"").decode("latin-1")
        prefix = value_of(headers, b"prompt-prefix")
        self.parts = parse_parts(prefix.decode("latin-1")) if self.model and prefix else []
        counts = (value_of(headers, b"token-counts") or b"").decode("latin-1")
        self.tokens = max(prompt_tokens(counts), sum(tokens for _, tokens in self.parts))
        read_ms = self.tokens / READ_RATE
        self.long = is_long(read_ms, self.of.shortest_aims.get(self.service, self.route.aim_ms))
        self.work_ms = output_tokens(counts) * TOKEN_MS  # beside its reading
        isolated = self.tenant is not None and self.tenant.isolated
        self.isolated = self.tenant.name if self.tenant and isolated else None

    # The ends that come from outside.

    def expire(self) -> None:
        self.expired = True
        if self.connection:
            self.connection.close()
        if self.started and not self.exchange.done:
            self.exchange.abort()  # also wakes who waits for a client that doesn't read

    def client_gone(self) -> None:
        self.gone = True
        if self.connection:
            self.connection.close()  # the endpoint drops the request

    # Sends.

    async def work(self) -> None:
        held = False
        while True:
            now = self.of.clock()
            if self.gone:
                self.count("client-gone")
                return
            if self.expired or self.until - now <= MARGIN or not self.may_send():
                break
            picked, wait = self.pick(now)
            if picked is None:
                if held or wait > min(self.route.aim_ms / 1000 * WAIT_SHARE, self.until - now - MARGIN):
                    self.come_back = wait if wait < float("inf") else self.come_back
                    break
                held = True
                await asyncio.sleep(wait)
                continue
            if self.sends and not self.granted:
                if not self.of.budget.may_repeat(now, self.service, self.of.fleet.routers):
                    self.count("over-budget")
                    break
                self.granted = True
            proof = await self.attempt(picked)
            if proof is Proof.ANSWERED:
                return
            self.ran |= proof is Proof.MAY_HAVE_RUN
        self.give_up()

    def may_send(self) -> bool:
        if self.sends >= self.route.attempt_limit or self.connects >= MOST_CONNECTS:
            return False
        if self.started and not (self.joiner and self.joiner.may_join()):
            return False
        return not self.ran or self.route.idempotent

    def pick(self, now: float) -> tuple[Picked | None, float]:
        """The endpoint to send to; if there is none, s until one may be ready (infinite: not by waiting)."""
        of, wait = self.of, float("inf")
        endpoints = of.by_service.get(self.service, ())
        service = self.table.services.get(self.service)
        routers = max(of.fleet.routers, 1)
        most = max(service.connection_limit // routers, LEAST_CONNECTIONS) if service else LEAST_CONNECTIONS
        store = of.store_for(self.parts) if self.parts else None
        if not self.tried:
            of.outcomes.asked([each.id for each in endpoints], max(len(endpoints), 1), now)
        of.index.age(now)
        salts: dict[int, Salt] = {}
        self.holders = {}
        found: list[Candidate] = []
        chosen: dict[str, tuple[Endpoint, Salt | None]] = {}
        for each in endpoints:
            key = each.id
            if each.draining or each.moving or key in self.tried or key in of.gone:
                continue
            if of.shunned.get(key, 0.0) > now:
                wait = min(wait, of.shunned[key] - now)
                continue
            version = of.version_at(each, self.model) if self.model else None
            if self.model and not of.versions.usable(self.model, version or 1, now):
                continue
            if (ready := of.outcomes.ready_in(key, now)) > 0:
                wait = min(wait, ready)
                continue
            if not of.pool.room(key, most, now):
                continue
            if self.long and service and service.kv_tokens:
                room = service.kv_tokens * RESIDENT_SHARE - of.index.occupied(key)
                if self.tokens > room and of.index.occupied(key):
                    self.count("memory-full")
                    continue
            salt = None
            if version is not None:
                salt = salts.get(version)
                if salt is None:
                    wall = of.fleet.state.wall if of.fleet.state else 0
                    salt = salts[version] = salt_for(version, wall, self.isolated)
            found.append(self.candidate(each, salt, service, store, now))
            chosen[key] = (each, salt)
        lanes = of.lanes.get(self.service)
        if lanes and self.model:
            if lanes.fleet == (0.0, 0.0):  # nobody told yet: as if all routers had what this one has
                short, long = lanes.work.rates(now)
                lanes.fleet = short * routers, long * routers
            home = lanes.home(self.parts, self.long)
            away = AWAY_MS if self.long else SHORT_AWAY_MS
            for each in found:
                each.astray_ms = lanes.astray_ms(each.id, self.long)
                if home is not None and each.id != home:
                    each.astray_ms += away
        best = choose(found, of.chance)
        if best is None:
            return None, wait
        if self.standing.over and expected_ms(best) > self.route.aim_ms and not self.sends:
            self.over_share = True
            return None, float("inf")
        if self.long and (late := expected_ms(best) - self.patience_ms(now)) > 0:
            # It would be given up before its first piece: the reading is spared, and it may come back.
            self.count("shed")
            self.come_back = min(max(late / 1000, COME_BACK[0]), COME_BACK[1])
            return None, wait
        return Picked(*chosen[best.id], best), 0.0

    def patience_ms(self, now: float) -> float:
        """How long the client waits for the first piece: PROTOCOL's bound on silence, or what is left."""
        silence = max(2000.0, 4 * self.route.aim_ms, 8 * self.route.gap_aim_ms)
        return min(silence * SILENCE_SHARE, (self.until - now) * 1000)

    def candidate(
        self,
        endpoint: Endpoint,
        salt: Salt | None,
        service: Service | None,
        store: Service | None,
        now: float,
    ) -> Candidate:
        of = self.of
        load = of.load(endpoint.id)
        kept = 0
        fetch: Fetch | None = None
        if salt and self.parts:
            if self.long:
                kept = of.index.coming(endpoint.id, salt.text, self.parts)
            else:
                kept = of.affinity.kept(salt.text, self.parts, endpoint.id, now)
            if service:
                fetch = best_fetch(
                    self.holders_of(salt, service, store),
                    endpoint.address,
                    endpoint.zone,
                    kept,
                    service.kv_token_bytes,
                    service.link_mbps,
                    READ_RATE,
                    of.regions,
                )
        return Candidate(
            id=endpoint.id,
            unread=load.unread + of.index.backlog(endpoint.id),
            running=load.running,
            slots=endpoint.slots,
            missing=max(self.tokens - kept, 0),
            movable=fetch.tokens if fetch else 0.0,
            moved_ms=fetch.ms if fetch else 0.0,
            excess_ms=load.excess(now),
            same_zone=endpoint.zone == of.zone,
            connected=of.pool.has_idle(endpoint.id, now),
            source=fetch.source if fetch else None,
            again=self.read_again(salt, kept + (fetch.tokens if fetch else 0)),
        )

    def read_again(self, salt: Salt | None, spared: float) -> float:
        if salt is None or not self.long:
            return 0.0
        return max(self.of.index.read_before(salt.text, self.parts[:-1]) - spared, 0.0)

    def holders_of(self, salt: Salt, service: Service, store: Service | None) -> list[Holder]:
        """Who is known to hold a beginning of this prompt's shared parts: endpoints and the store."""
        if (found := self.holders.get(salt.text)) is not None:
            return found
        of, shared = self.of, self.parts[:-1]
        found = self.holders[salt.text] = []
        if not self.long:
            seen = of.affinity.seen(salt.text, shared)
            if store and store.store_address and seen:
                found.append(Holder(store.store_address, store.store_zone, seen, store.link_mbps))
            return found
        for each in of.by_service.get(self.service, ()):
            if held := of.index.kept(each.id, salt.text, shared):
                found.append(Holder(each.address, each.zone, held, service.link_mbps))
        if store and store.store_address:
            contents = of.index.store(address_text(store.store_address).decode())
            if held := contents.held(salt.text, shared):
                found.append(Holder(store.store_address, store.store_zone, held, store.link_mbps))
        return found

    async def attempt(self, picked: Picked) -> Proof:
        """One send, its answer, and what its end says of the endpoint's health."""
        of, endpoint = self.of, picked.endpoint
        load = of.load(endpoint.id)
        call = of.outcomes.begin(endpoint.id, of.clock())
        load.running += 1
        if not self.long:
            load.unread += picked.candidate.missing
        read_ms = expected_ms(reading_of(picked.candidate))
        of.shares.sent(self.service, self.owner(), self.tokens / READ_RATE, read_ms)
        if lanes := of.lanes.get(self.service):
            lanes.work.add(of.clock(), read_ms + self.work_ms, self.long)
        send = Send(self, picked, load, call)
        try:
            return await send.run()
        finally:
            load.running -= 1
            send.finished()
            of.outcomes.nothing(call)  # if its end hasn't said more
            if self.connection:
                of.pool.drop(endpoint.id, self.connection)
                self.connection = None

    # Answers of our own.

    def give_up(self) -> None:
        """The final answer at once: a promise only where surely nothing has run."""
        if self.exchange.done or self.gone:
            self.count("client-gone")
        elif self.started:
            self.count("cut")
            self.exchange.abort()
        elif self.over_share and not self.ran:
            self.answer(429, "over-share", self.standing.wait)
        elif not self.ran:
            least, most = COME_BACK
            self.answer(503, "refused", min(max(self.come_back, least), most))
        else:
            self.answer(504 if self.expired else 502, "late" if self.expired else "unclear")

    def answer(self, status: int, name: str, come_back: float | None = None) -> None:
        self.count(name)
        headers: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.id is not None:
            headers.append((b"attempt-id", self.id))
        if come_back is not None:
            headers.append((b"retry-after", b"%.2f" % come_back))
        self.exchange.respond(status, headers, name.encode() + b"\n")


def address_text(address: Address) -> bytes:
    return b"%s:%d" % (address[0].encode(), address[1])


def reading_of(candidate: Candidate) -> Candidate:
    """The same request at an idle endpoint: what its own reading takes."""
    return replace(candidate, unread=0.0, running=0, excess_ms=0.0)


class Send:
    """One try at one endpoint."""

    def __init__(self, job: Job, picked: Picked, load: Load, call: Call) -> None:
        self.job, self.of = job, job.of
        self.endpoint, self.salt, self.candidate = picked.endpoint, picked.salt, picked.candidate
        self.load, self.call = load, call
        self.unread = 0.0 if job.long else picked.candidate.missing
        self.number = 0  # under which the others were told of it
        self.saves = ""
        self.told = False
        self.began = 0.0
        self.wrote = False  # a piece of this answer's body has come

    def release(self) -> None:
        """The prompt has been read, or never will be."""
        self.load.unread = max(self.load.unread - self.unread, 0.0)
        self.unread = 0.0
        if self.number and self.wrote and not self.told:
            self.told = True
            self.of.index.read((self.of.node, self.number))
            self.of.tell(["read", self.number])

    def finished(self) -> None:
        """Nothing of it runs any more."""
        self.release()
        if self.number:
            self.of.index.done((self.of.node, self.number))
            self.of.tell(["done", self.number])
            self.number = 0

    def place(self) -> None:
        """A long prompt is on its way: the others are told."""
        of, job = self.of, self.job
        if not job.long or self.salt is None:
            return
        self.number = next(of.count)
        missing = float(self.candidate.missing - self.candidate.movable)
        placement = Placement(self.endpoint.id, self.salt.text, job.parts, missing, self.saves, self.began)
        of.index.placed((of.node, self.number), placement)
        parts = [list(each) for each in job.parts]
        of.tell(["placed", self.number, self.endpoint.id, self.salt.text, parts, missing, self.saves])

    def count(self, name: str) -> None:
        self.of.counters.add(f"send-{name}")

    def still_there(self) -> bool:
        listed = self.of.fleet.endpoints.get(self.endpoint.id)
        return listed is not None and not listed.draining and not listed.moving

    async def run(self) -> Proof:
        job, of = self.job, self.of
        key = self.endpoint.id
        connection = of.pool.take_idle(key, of.clock())
        if connection is None:
            try:
                connection = await of.pool.connect(key, self.endpoint.address)
            except UpstreamConnectError:
                job.connects += 1
                job.tried.add(key)
                of.outcomes.failed(self.call, of.clock())
                self.count("connect-failed")
                return Proof.NOT_RUN
            self.count("connected")
        job.connection = connection
        if job.gone or job.expired or not self.still_there():
            job.connects += 1
            return Proof.NOT_RUN
        self.began = of.clock()
        left = int((job.until - self.began - MARGIN) * 1000)
        if left <= 0:
            job.expired = True
            return Proof.NOT_RUN
        try:
            connection.send(job.method, job.target, self.headers(left), job.exchange.body)
        except UpstreamUnsentError:
            job.connects += 1
            self.count("unsent")
            return Proof.NOT_RUN
        job.sends += 1
        job.granted = False
        job.tried.add(key)
        if self.salt:
            of.affinity.sent(self.salt.text, job.parts, key, self.began)
        self.place()
        try:
            return await self.receive(connection)
        except UpstreamError:
            return self.broken()

    def headers(self, left: int) -> Headers:
        """Those that go with this send; salt and `Expect-Version` are one and the same version's."""
        job, key = self.job, self.endpoint.id
        headers = list(job.base)
        if job.joiner and job.started and job.joiner.last is not None:
            headers = [each for each in headers if each[0] != b"last-event-id"]
            headers.append((b"last-event-id", job.joiner.last))
        headers.append((b"expected-instance", key.encode()))
        headers.append((b"remaining-milliseconds", b"%d" % left))
        if job.exchange.body or value_of(job.exchange.headers, b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(job.exchange.body)))
        if job.model:
            headers.append((b"priority", b"%d" % job.priority))
            if self.salt is None:  # of unknown weights: shared with nobody
                headers.append((b"cache-salt", b"x%032x" % self.of.chance.getrandbits(128)))
            else:
                headers.append((b"cache-salt", self.salt.text.encode()))
                headers.append((b"expect-version", b"%d" % self.salt.version))
                store = self.of.store_for(job.parts) if job.parts else None
                # A short request's parts are read faster than they wait for the store's link.
                address = store.store_address if store and job.long else None
                if source := self.candidate.source or address:
                    headers.append((b"kv-fetch", address_text(source)))
                if address and self.worth_saving(address_text(address).decode()):
                    self.saves = address_text(address).decode()
                    headers.append((b"kv-save", address_text(address)))
        return headers

    def worth_saving(self, store: str) -> bool:
        """Whether the store may lack a shared part; saving a long prompt again would keep its link busy."""
        shared = self.job.parts[:-1]
        if self.salt is None or not shared:
            return False
        return self.of.index.store(store).lacks(self.of.clock(), self.salt.text, shared)

    def broken(self) -> Proof:
        """The connection has ended without a whole answer."""
        job, now = self.job, self.of.clock()
        if job.gone:
            self.count("client-gone")
            return Proof.MAY_HAVE_RUN
        if job.expired:
            self.count("silent" if not self.wrote else "unfinished")
            if not self.wrote:
                self.of.outcomes.failed(self.call, now)
            return Proof.MAY_HAVE_RUN
        self.count("broken")
        self.of.outcomes.failed(self.call, now)
        return Proof.MAY_HAVE_RUN

    def spoilt(self, name: str) -> Proof:
        self.count(name)
        self.of.outcomes.failed(self.call, self.of.clock(), error=True)
        return Proof.MAY_HAVE_RUN

    async def receive(self, connection: UpstreamConnection) -> Proof:
        job, of = self.job, self.of
        response = await connection.event()
        assert isinstance(response, h11.Response)
        status, headers = response.status_code, list(response.headers)
        told = value_of(headers, b"attempt-id")
        if told != job.id and not (told is None and status == 421):
            return self.spoilt("surplus")
        if status == 421 or value_of(headers, b"not-executed") is not None:
            if (proof := self.turned_away(status, headers)) is not None:
                if not job.gone and connection.finish_now():
                    self.keep(connection, headers)
                return proof
        elif status in PROMISES:
            return self.spoilt("unproven")  # what it would promise isn't known
        of.learn_version(self.endpoint, job.model, headers)
        if not is_framed(job.method, status, headers):
            return self.spoilt("unframed")
        if 200 <= status < 300 and (
            value_of(headers, b"server-seal") is None or value_of(headers, b"content-encoding") is not None
        ):
            return self.spoilt("unsealed")
        if status >= 500 and job.route.idempotent and self.could_repeat():
            return self.spoilt("error")
        if job.started and status != 200:
            return self.spoilt("not-resumed")
        return await self.relay(connection, status, headers)

    def turned_away(self, status: int, headers: Headers) -> Proof | None:
        """Surely not run. None: the client's own fault, which the endpoint's answer tells it."""
        job, of, now = self.job, self.of, self.of.clock()
        key = self.endpoint.id
        if status == 421:
            of.counters.add("stale-endpoint")
            instance = value_of(headers, b"instance-id")
            if instance is not None and instance != key.encode():
                of.gone.add(key)
                return Proof.NOT_RUN
            of.learned.pop(key, None)  # what its answers told may have been wrong, or is over
            of.learn_version(self.endpoint, job.model, headers)
            if self.salt is None or of.version_at(self.endpoint, job.model) == self.salt.version:
                of.shunned[key] = now + SHUNNED
            return Proof.NOT_RUN
        if status < 500 and status != 429:
            return None if not job.started else Proof.NOT_RUN
        self.count("turned-away")
        of.shares.ended(job.service, True)
        wait = seconds(value_of(headers, b"retry-after"))
        of.outcomes.refused(self.call, now, wait)
        job.come_back = max(wait, of.outcomes.ready_in(key, now)) if wait else COME_BACK[0]
        return Proof.NOT_RUN

    def could_repeat(self) -> bool:
        job = self.job
        return job.sends < job.route.attempt_limit and job.pick(self.of.clock())[0] is not None

    async def relay(self, connection: UpstreamConnection, status: int, headers: Headers) -> Proof:
        """The body as it comes. The head waits for the first piece: a break before that can be mended."""
        job, exchange = self.job, self.job.exchange
        if not job.started:
            stream = (value_of(headers, b"content-type") or b"").startswith(b"text/event-stream")
            job.joiner = EventJoiner() if stream and status == 200 and job.route.resumable else None
        joiner = job.joiner
        if joiner:
            joiner.begin()
        while True:
            event = await connection.event()
            if isinstance(event, h11.Data):
                if not self.wrote:
                    self.first_piece()
                data = bytes(event.data)
                if joiner:
                    data = joiner.feed(data)
                if not data:
                    continue
            elif isinstance(event, h11.EndOfMessage):
                data = joiner.rest() if joiner else b""
            else:
                raise UpstreamError("a head within an answer")
            if job.gone or exchange.done:
                return self.cut_off()
            if not job.started:
                job.started = True
                exchange.start(status, answer_headers(headers, with_length=joiner is None))
            if data:
                exchange.write(data)
            if isinstance(event, h11.EndOfMessage):
                break
            await exchange.drain()
            if job.gone or exchange.done:
                return self.cut_off()
        exchange.finish()
        self.count(f"answered-{status // 100}xx")
        if status >= 500:
            self.of.outcomes.failed(self.call, self.of.clock(), error=True)
        else:
            self.of.outcomes.served(self.call, self.of.clock())
        self.keep(connection, headers)
        return Proof.ANSWERED

    def cut_off(self) -> Proof:
        """The client is gone, or its time was up while it didn't read."""
        self.count("client-gone" if self.job.gone else "unfinished")
        return Proof.ANSWERED

    def first_piece(self) -> None:
        self.wrote = True
        self.release()
        now = self.of.clock()
        excess_ms = (now - self.began) * 1000 - expected_ms(self.candidate)
        self.load.first_piece(now, excess_ms)
        self.of.shares.ended(self.job.service, excess_ms > self.job.route.aim_ms / 2)

    def keep(self, connection: UpstreamConnection, headers: Headers) -> None:
        self.job.connection = None
        idle = idle_time(headers) if self.endpoint.id in self.of.fleet.endpoints else 0.0
        self.of.pool.give_back(self.endpoint.id, connection, idle, self.of.clock())


def seconds(text: bytes | None) -> float:
    """A `Retry-After` in seconds with fractions; 0 if there is none that can be read."""
    if text is None or len(text) > 16 or not text.replace(b".", b"", 1).isdigit():
        return 0.0
    return float(text)
