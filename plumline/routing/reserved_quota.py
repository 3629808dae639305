"""Reserved shares: in a surge each tenant keeps its part of a service's work, whichever router it comes to.

Work is ms of endpoints' time, a rate is ms a second. Every router counts what each tenant asks of it,
refused requests too, and tells it with its heartbeats; the beats bring the fleet's sums back. From these
every router works out the same level: a tenant may have its reserved share or the level, whichever is more,
and what nobody asks for is lent to the others. Where the fleet is asked for no more than it can do, nothing
is held back; nor is a tenant that asks for no more than its ceiling. Above it, a router spends that part of
the ceiling that it has of the tenant's demand, out of a bucket of tokens.

Only tenants of a configuration that reserves something are counted. Pure; times are steady seconds.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

MEMORY_S = 1.5  # s over which demand is remembered: a flood is to be seen within its first second
LEAST_S = 1.0  # s: a clump at the beginning is no rate yet
USE = 0.8  # of endpoints' time that can be given away: beyond it waits grow without bound
SLIGHT = 1.2  # times the capacity: up to here what is over its share may still be sent, after all others
JUMP = 2.0  # times what this router told: more of it is a flood that the fleet hasn't told of yet
SHIFT_S = 0.5  # s; heartbeats to several registrars that follow one another faster are one
RESTED_S = 2.0  # s: a bucket not used for so long is no account of what its tenant had
BURST_S = 0.5  # s of its rate that a bucket holds
TOLD_S = 4.0  # s after which what the fleet told is void
DIVIDE_S = 0.2  # s between divisions
CALM_S = 10.0  # s without one after which a surge is over
STRAIN_WEIGHT = 0.1  # of the newest send in the share of those that were late or that full endpoints refused
MOST_STRAIN = 0.15  # of them: beyond it the endpoints can do less than was worked out, and
LESS, LESS_S = 0.95, 0.25  # the capacity is taken for less by this, once in so many s,
MORE = 0.04  # a s by which it comes back afterwards,
LEAST_ABILITY = 0.4  # and at least this part of it is taken for granted
IDLE_S = 30.0  # s after which a tenant that asked for nothing is forgotten
LEAST_WAIT_S, MOST_WAIT_S = 0.2, 1.0  # that a refused client is told
MOST_TOLD = 16  # tenants that a router tells of by name, and
MOST_SUMMED = 64  # that a beat does; the rest come as one sum and their number
RATIO_WEIGHT = 0.05  # of the newest request in what is read of prompts
RANKS = 3  # that are told apart in a surge: an endpoint knows ten priorities in all

Asked = Mapping[str, float]  # by tenant: ms a second
Told = list[Any]  # on the wire: [{tenant: ms a second}, the rest's ms a second, the rest's number]


def level_of(capacity: float, asked: Asked, reserved: Asked) -> float:
    """The level at which the capacity is used up, infinite where all may have what they ask for.

    A tenant has min(what it asks, max(`reserved`, level)); all in ms a second, the sum of `reserved` up to
    `capacity`. Max-min: nobody could have more without taking it from one that has less or only its reserve.
    """
    left, slopes = capacity, []
    for tenant, wanted in asked.items():
        floor = reserved.get(tenant, 0.0)
        left -= min(wanted, floor)
        if wanted > floor:
            slopes += [(floor, 1), (wanted, -1)]
    if sum(asked.values()) <= capacity:
        return math.inf
    level, rising = 0.0, 0
    for at, change in sorted(slopes):
        if rising and left <= rising * (at - level):
            break
        left -= rising * (at - level)
        level, rising = at, rising + change
    return level + max(left, 0.0) / rising if rising else level


def allowed(capacity: float, asked: Asked, reserved: Asked) -> dict[str, float]:
    """What each tenant may have, in ms a second."""
    level = level_of(capacity, asked, reserved)
    return {tenant: min(each, max(reserved.get(tenant, 0.0), level)) for tenant, each in asked.items()}


def to_wire(asked: Asked, most: int, rest: float = 0.0, others: int = 0) -> Told:
    """The largest `most` by name; `rest` and `others`: sum and number of those that had no name before."""
    if len(asked) > most:
        named = dict(heapq.nlargest(most, asked.items(), key=lambda each: each[1]))
        rest += sum(asked.values()) - sum(named.values())
        others += len(asked) - most
        asked = named
    return [{tenant: round(each, 1) for tenant, each in asked.items()}, round(rest, 1), others]


def is_told(told: Any) -> bool:  # noqa: ANN401
    """Whether it has the shape of what `to_wire` gives."""
    match told:
        case [dict(asked), int() | float() as rest, int(others)]:
            figures = [rest, others, *asked.values()]
            return all(type(each) in (int, float) and 0 <= each < math.inf for each in figures)
    return False


def summed(told: Iterable[Any], most: int = MOST_SUMMED) -> Told | None:
    """The fleet's, of what its routers told; one that is malformed counts nothing. None if none is left."""
    sums: dict[str, float] = {}
    rest, others, found = 0.0, 0, False
    for each in told:
        if is_told(each):
            found = True
            for tenant, rate in each[0].items():
                sums[tenant] = sums.get(tenant, 0.0) + rate
            rest += each[1]
            others = max(others, each[2])  # they are mostly the same ones everywhere
    return to_wire(sums, most, rest, others) if found else None


@dataclass(slots=True)
class Rate:
    """Work that fades over MEMORY_S."""

    amount: float = 0.0
    at: float = 0.0
    since: float = 0.0

    def add(self, now: float, ms: float) -> float:
        """The rate with it, in ms a second."""
        if not self.since:
            self.since = self.at = now
        self.amount = self.amount * math.exp((self.at - now) / MEMORY_S) + ms
        self.at = now
        return self.of(now)

    def of(self, now: float) -> float:
        """The rate by now, in ms a second."""
        if not self.since:
            return 0.0
        known = max(now - self.since, LEAST_S)
        span = MEMORY_S * (1 - math.exp(-known / MEMORY_S))
        return self.amount * math.exp((self.at - now) / MEMORY_S) / span


@dataclass(slots=True)
class Account:
    """One tenant's at one service. `ratio`: of prompts' tokens that were read lately, others being kept."""

    demand: Rate = field(default_factory=Rate)
    ratio: float = 1.0
    told: float = 0.0  # its rate at the last heartbeat, and
    base: float = 0.0  # at the one before: the fleet's sums may not hold a newer one yet
    tokens: float = 0.0  # ms that may be spent; below 0 after a request that was larger than what was there
    filled: float = -math.inf

    def spend(self, now: float, ms: float, rate: float) -> float:
        """0 if the bucket had tokens, which are taken; else s until it has some."""
        gone = now - self.filled
        # A flood has had its burst before it was seen as one.
        most = rate * BURST_S if gone <= RESTED_S else min(rate, 1.0)
        self.tokens = min(self.tokens + rate * min(gone, 1e6), most)
        self.filled = now
        if self.tokens > 0:
            self.tokens -= ms
            return 0.0
        return min((1.0 - self.tokens) / rate, MOST_WAIT_S) if rate else MOST_WAIT_S


@dataclass(frozen=True, slots=True)
class Standing:
    """How a request stands. `surge`: demand on its service by its capacity, 0 if it is not above it."""

    surge: float = 0.0
    surging: bool = False  # its tenant asks for more than its ceiling
    over: bool = False  # and its bucket is empty
    wait: float = 0.0  # s until its tenant's share has room again, where it is over it

    @property
    def refused(self) -> bool:
        """Whether it is refused at once: over its share, and the surge isn't slight."""
        return self.over and self.surge >= SLIGHT


CALM = Standing()


def priority(rank: int, long: bool, most_rank: int, standing: Standing) -> int:
    """For the endpoint, 0 first. In a surge, first those of tenants within their ceiling, then what surging
    ones may have, then what is over their share; in each, short ones before long ones, then by rank."""
    if not standing.surge:
        return rank + (most_rank + 1) * long
    if standing.surging:
        return 2 * RANKS + 2 * standing.over + long
    return min(rank, RANKS - 1) + RANKS * long


@dataclass(slots=True)
class ServiceShares:
    """One service's. `capacity`: ms a second that can be given away, worked out; `ability`: the part of it
    that the endpoints show to be there."""

    capacity: float = 0.0
    ability: float = 1.0
    able_at: float = 0.0
    strain: float = 0.0
    accounts: dict[str, Account] = field(default_factory=dict)
    told: Told | None = None
    told_at: float = -math.inf
    divided: float = -math.inf
    level: float = math.inf
    surge: float = 0.0
    shifted: float = -math.inf  # the last heartbeat
    seen: float = -math.inf  # when it was in a surge last
    aged: float = 0.0

    def fleet_demand(self, tenant: str, own: float, routers: int, reserved: Mapping[str, float]) -> float:
        """The tenant's at all routers, where this one has `own` of it: what was told, or while nothing is
        told of it, as if all had as much. A reserve is never held to such a guess against what is told."""
        if self.told is None:
            return own * max(routers, 1)
        told = self.told[0].get(tenant, 0.0)
        if tenant not in reserved and own > self.accounts[tenant].base * JUMP:
            return max(told, own * max(routers, 1))
        return max(told, own)

    def divide(self, now: float, reserved: Mapping[str, float], routers: int) -> None:
        """Takes stock. `reserved`: shares of the capacity."""
        self.divided = now
        if now - self.told_at > TOLD_S:
            self.told = None
        if now - self.aged > IDLE_S:
            self.aged = now
            self.accounts = {n: each for n, each in self.accounts.items() if now - each.demand.at < IDLE_S}
        asked = dict(self.told[0]) if self.told else {}
        for tenant, each in self.accounts.items():
            asked[tenant] = self.fleet_demand(tenant, each.demand.of(now), routers, reserved)
        if self.told and self.told[2]:
            known = sum(each not in self.told[0] for each in self.accounts)
            rest = self.told[1] / self.told[2]
            # Those of the rest that come here are counted by name already.
            asked.update((f"\0{number}", rest) for number in range(max(self.told[2] - known, 0)))
        total = sum(asked.values())
        capacity = self.able(now)
        if total <= capacity or not capacity:
            self.level, self.surge = math.inf, 0.0
            return
        floors = {tenant: share * capacity for tenant, share in reserved.items()}
        self.level = level_of(capacity, asked, floors)
        self.surge, self.seen = total / capacity, now

    def able(self, now: float) -> float:
        """Ms a second that can be given away, by what is seen of the endpoints."""
        if self.strain > MOST_STRAIN:
            if now - self.able_at >= LESS_S:
                self.ability, self.able_at = max(self.ability * LESS, LEAST_ABILITY), now
        elif self.ability < 1.0:
            self.ability = min(self.ability + MORE * (now - self.able_at), 1.0)
            self.able_at = now
        return self.capacity * self.ability


class Shares:
    """Of all services, at one router. `news`: told (service, whether a surge is on, demand by capacity)."""

    def __init__(self, news: Callable[[str, bool, float], None] = lambda service, on, times: None) -> None:
        self.reserved: Mapping[str, float] = {}
        self.services: dict[str, ServiceShares] = {}
        self.news, self.on = news, set[str]()

    def set_reserved(self, reserved: Mapping[str, float]) -> None:
        """By tenant, 0 to 1. Without any, nothing is counted and nothing held back."""
        self.reserved = reserved
        if not reserved:
            for each in self.services.values():
                each.accounts.clear()
                each.told = None

    def set_endpoints(self, usable: Mapping[str, int]) -> None:
        """By service: how many take requests."""
        self.services = {name: self.services.get(name) or ServiceShares() for name in usable}
        for name, count in usable.items():
            self.services[name].capacity = count * 1000.0 * USE

    def ask(self, now: float, service: str, tenant: str, ms: tuple[float, float], routers: int) -> Standing:
        """How a new request stands. `ms`: of reading its whole prompt, and of all its other work."""
        if not self.reserved or (at := self.services.get(service)) is None:
            return CALM
        account = at.accounts.get(tenant)
        if account is None:
            account = at.accounts[tenant] = Account()
        work = ms[0] * account.ratio + ms[1]
        own = account.demand.add(now, work)
        if now - at.divided >= DIVIDE_S:
            at.divide(now, self.reserved, routers)
            self.tell(now, service, at)
        if not at.surge:
            return CALM
        ceiling = max(self.reserved.get(tenant, 0.0) * at.capacity * at.ability, at.level)
        demand = at.fleet_demand(tenant, own, routers, self.reserved)
        if demand <= ceiling:
            return Standing(at.surge)
        wait = account.spend(now, work, ceiling * min(own / demand, 1.0))
        return Standing(at.surge, True, wait > 0, max(wait, LEAST_WAIT_S) if wait else 0.0)

    def sent(self, service: str, tenant: str, whole_ms: float, read_ms: float) -> None:
        """A request was sent to where `read_ms` of the `whole_ms` of its prompt are to be read."""
        if self.reserved and whole_ms and (at := self.services.get(service)):
            if account := at.accounts.get(tenant):
                account.ratio += (min(read_ms / whole_ms, 1.0) - account.ratio) * RATIO_WEIGHT

    def ended(self, service: str, strained: bool) -> None:
        """A send's first piece has come, or a full endpoint refused it; `strained`: that, or it was late."""
        if self.reserved and (at := self.services.get(service)):
            at.strain += (strained - at.strain) * STRAIN_WEIGHT

    def tell(self, now: float, service: str, at: ServiceShares) -> None:
        """Tells the news of a surge that began, or has been over for long enough."""
        if at.surge and service not in self.on:
            self.on.add(service)
            self.news(service, True, at.surge)
        elif service in self.on and now - at.seen > CALM_S:
            self.on.discard(service)
            self.news(service, False, 0.0)

    def demand(self, now: float, service: str) -> Told | None:
        """This router's, for its heartbeats; None where nothing is reserved."""
        if not self.reserved or (at := self.services.get(service)) is None:
            return None
        rates = {name: each.demand.of(now) for name, each in at.accounts.items()}
        if now - at.shifted > SHIFT_S:
            at.shifted = now
            for name, each in at.accounts.items():
                each.base, each.told = each.told, rates[name]
        return to_wire({name: rate for name, rate in rates.items() if rate >= 0.1}, MOST_TOLD)

    def take(self, now: float, service: str, told: Any) -> None:  # noqa: ANN401
        """The fleet's, of a beat."""
        at = self.services.get(service)
        if at is not None and self.reserved and is_told(told):
            at.told, at.told_at = told, now
