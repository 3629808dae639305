"""Reserved quotas: in a surge each tenant keeps its reserved share of a service, at whichever router.

Work is in ms of endpoint time, rates in ms a second. Each router measures the demand of each tenant, with
refused requests, and reports it in its heartbeats; the registrars' heartbeats return the sums over the fleet.

From these every router computes the same max-min fair level: a tenant may use its reserved share or the
level, whichever is greater, and reserved capacity without demand is lent to the others. Nothing is limited
while the demand is within the capacity, nor for a tenant whose demand is within its ceiling. For a tenant
above its ceiling, a router admits work from a token bucket, whose rate is the ceiling times this router's
fraction of the tenant's demand.

Tenants are counted only while the configuration reserves something. Pure; times are steady seconds.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

DEMAND_TIME_CONSTANT_S = 1.5  # of the decay of measured demand; a flood must show within its first second
MIN_RATE_SPAN_S = 1.0  # a burst right after the first request is not yet a rate
TARGET_UTILIZATION = 0.8  # of endpoints' time: beyond it waiting times grow without bound
REFUSAL_SURGE = 1.2  # demand divided by capacity; below it, requests over their share are sent last
FLOOD_FACTOR = 2.0  # a rate above this multiple of the reported one is a flood not yet in the fleet's sums
MIN_REPORT_INTERVAL_S = 0.5  # heartbeats to several registrars that are closer together count as one report
BUCKET_IDLE_S = 2.0  # a bucket that was unused for longer doesn't show what its tenant has used since
BURST_S = 0.5  # seconds of its rate that a bucket holds
FLEET_DEMAND_TTL_S = 4.0  # after which the fleet's sums expire
DIVISION_INTERVAL_S = 0.2  # between computations of the level
SURGE_END_DELAY_S = 10.0  # without excess demand, after which a surge has ended
STRAIN_WEIGHT = 0.1  # of the newest send in the moving average of sends that were late or refused as full
STRAIN_THRESHOLD = 0.15  # above it the endpoints can do less than the computed capacity
CAPACITY_DECREASE = 0.95  # factor on the assumed capacity while strain is above the threshold,
CAPACITY_DECREASE_INTERVAL_S = 0.25  # applied once in this time
CAPACITY_RECOVERY_PER_S = 0.04  # of the computed capacity, afterwards
MIN_CAPACITY_FACTOR = 0.4  # the part of the computed capacity that is always assumed
TENANT_IDLE_S = 30.0  # after which a tenant without requests is dropped
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.2, 1.0  # sent to a refused client
MAX_REPORTED_TENANTS = 16  # that a router reports by name
MAX_SUMMED_TENANTS = 64  # that a registrar's heartbeat lists by name; the rest are one sum and their number
READ_RATIO_WEIGHT = 0.05  # of the newest request in the moving average of the part of prompts that is read
SURGE_RANKS = 3  # distinguished in a surge, since an endpoint has ten priorities in all

Demand = Mapping[str, float]  # ms a second by tenant
DemandReport = list[Any]  # on the wire: [{tenant: ms a second}, ms a second of the rest, number of the rest]


def max_min_level(capacity: float, demand: Demand, reserved: Demand) -> float:
    """The level at which the capacity is used up; infinite where all demand fits.

    A tenant gets min(its demand, max(its reserve, level)); all in ms a second, and the sum of `reserved` is
    at most `capacity`. Max-min fair: no tenant could get more without taking it from one that has less, or
    that has only its reserve.
    """
    left, slopes = capacity, []
    for tenant, amount in demand.items():
        floor = reserved.get(tenant, 0.0)
        left -= min(amount, floor)
        if amount > floor:
            slopes += [(floor, 1), (amount, -1)]
    if sum(demand.values()) <= capacity:
        return math.inf
    level, rising = 0.0, 0
    for at, change in sorted(slopes):
        if rising and left <= rising * (at - level):
            break
        left -= rising * (at - level)
        level, rising = at, rising + change
    return level + max(left, 0.0) / rising if rising else level


def max_min_allocation(capacity: float, demand: Demand, reserved: Demand) -> dict[str, float]:
    """What each tenant may use, in ms a second."""
    level = max_min_level(capacity, demand, reserved)
    return {tenant: min(each, max(reserved.get(tenant, 0.0), level)) for tenant, each in demand.items()}


def demand_report(demand: Demand, most: int, rest: float = 0.0, others: int = 0) -> DemandReport:
    """The largest `most` tenants by name, the others as a sum and a number.

    `rest`, `others`: sum and number of tenants that were already without a name.
    """
    if len(demand) > most:
        named = dict(heapq.nlargest(most, demand.items(), key=lambda each: each[1]))
        rest += sum(demand.values()) - sum(named.values())
        others += len(demand) - most
        demand = named
    return [{tenant: round(each, 1) for tenant, each in demand.items()}, round(rest, 1), others]


def is_demand_report(value: Any) -> bool:  # noqa: ANN401
    """Whether the value has the form of a `DemandReport`."""
    match value:
        case [dict(demand), int() | float() as rest, int(others)]:
            figures = [rest, others, *demand.values()]
            return all(type(each) in (int, float) and 0 <= each < math.inf for each in figures)
    return False


def sum_demand_reports(reports: Iterable[Any], most: int = MAX_SUMMED_TENANTS) -> DemandReport | None:
    """The sum of the routers' reports, without those that are malformed; None if no report is valid."""
    sums: dict[str, float] = {}
    rest, others, found = 0.0, 0, False
    for each in reports:
        if is_demand_report(each):
            found = True
            for tenant, rate in each[0].items():
                sums[tenant] = sums.get(tenant, 0.0) + rate
            rest += each[1]
            others = max(others, each[2])  # the unnamed tenants are mostly the same at all routers
    return demand_report(sums, most, rest, others) if found else None


@dataclass(slots=True)
class DecayingRate:
    """A rate of work, decaying exponentially with DEMAND_TIME_CONSTANT_S."""

    amount: float = 0.0
    updated_at: float = 0.0
    started_at: float = 0.0

    def add(self, now: float, ms: float) -> float:
        """Adds the work and returns the new rate, in ms a second."""
        if not self.started_at:
            self.started_at = self.updated_at = now
        self.amount = self.amount * math.exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S) + ms
        self.updated_at = now
        return self.value(now)

    def value(self, now: float) -> float:
        """The current rate, in ms a second."""
        if not self.started_at:
            return 0.0
        known = max(now - self.started_at, MIN_RATE_SPAN_S)
        span = DEMAND_TIME_CONSTANT_S * (1 - math.exp(-known / DEMAND_TIME_CONSTANT_S))
        return self.amount * math.exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S) / span


@dataclass(slots=True)
class Account:
    """Demand and token bucket of one tenant at one service."""

    demand: DecayingRate = field(default_factory=DecayingRate)
    read_ratio: float = 1.0  # part of its prompts' tokens that was read lately; the others were cached
    reported_rate: float = 0.0  # at the last heartbeat
    previous_rate: float = 0.0  # at the heartbeat before: the fleet's sums may not include a newer one yet
    tokens: float = 0.0  # ms that may be spent; below 0 after a request that was larger than the tokens left
    refilled_at: float = -math.inf

    def spend(self, now: float, ms: float, rate: float) -> float:
        """Takes `ms` from the bucket and returns 0 if it had tokens; else the seconds until it has some."""
        elapsed = now - self.refilled_at
        # A tenant whose bucket was idle gets no burst: a flood has had its burst before it was detected.
        most = rate * BURST_S if elapsed <= BUCKET_IDLE_S else min(rate, 1.0)
        self.tokens = min(self.tokens + rate * min(elapsed, 1e6), most)
        self.refilled_at = now
        if self.tokens > 0:
            self.tokens -= ms
            return 0.0
        return min((1.0 - self.tokens) / rate, MAX_RETRY_AFTER_S) if rate else MAX_RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """How a request relates to its tenant's quota."""

    surge: float = 0.0  # demand on its service divided by the capacity; 0 if the capacity isn't exceeded
    above_ceiling: bool = False  # its tenant's demand is above its ceiling
    over_quota: bool = False  # and its bucket is empty
    retry_after_s: float = 0.0  # seconds until the bucket has tokens again, if it is empty

    @property
    def refused(self) -> bool:
        """Whether it is refused at once: over its share, and the surge reaches REFUSAL_SURGE."""
        return self.over_quota and self.surge >= REFUSAL_SURGE


NOT_IN_SURGE = QuotaStatus()


def priority(rank: int, long: bool, max_rank: int, quota_status: QuotaStatus) -> int:
    """The priority at the endpoint, 0 first.

    In a surge, requests of tenants within their ceiling come first, then what other tenants may use, then
    what is over their share; within each of these, short requests before long ones, then by rank.
    """
    if not quota_status.surge:
        return rank + (max_rank + 1) * long
    if quota_status.above_ceiling:
        return 2 * SURGE_RANKS + 2 * quota_status.over_quota + long
    return min(rank, SURGE_RANKS - 1) + SURGE_RANKS * long


@dataclass(slots=True)
class ServiceQuota:
    """Capacity and demand of one service, as one router knows them."""

    capacity: float = 0.0  # ms a second that can be allocated, computed from the number of endpoints
    capacity_factor: float = 1.0  # the fraction of it that the endpoints currently show to have
    factor_changed_at: float = 0.0
    strain: float = 0.0
    accounts: dict[str, Account] = field(default_factory=dict)
    fleet_report: DemandReport | None = None
    fleet_report_at: float = -math.inf
    divided_at: float = -math.inf
    level: float = math.inf
    surge: float = 0.0
    reported_at: float = -math.inf  # the last heartbeat
    last_surge_at: float = -math.inf
    pruned_at: float = 0.0

    def fleet_demand(self, tenant: str, own: float, routers: int, reserved: Mapping[str, float]) -> float:
        """The tenant's demand at all routers, where `own` is that at this one.

        Taken from the fleet's report. Without a report, or for a flood that it can't include yet, this
        router's demand is assumed at every router. Once there is a report, a tenant with a reserve is never
        limited by such an assumption.
        """
        if self.fleet_report is None:
            return own * max(routers, 1)
        reported = self.fleet_report[0].get(tenant, 0.0)
        if tenant not in reserved and own > self.accounts[tenant].previous_rate * FLOOD_FACTOR:
            return max(reported, own * max(routers, 1))
        return max(reported, own)

    def divide(self, now: float, reserved: Mapping[str, float], routers: int) -> None:
        """Recomputes the level and the surge. `reserved`: shares of the capacity."""
        self.divided_at = now
        if now - self.fleet_report_at > FLEET_DEMAND_TTL_S:
            self.fleet_report = None
        if now - self.pruned_at > TENANT_IDLE_S:
            self.pruned_at = now
            self.accounts = {
                n: each for n, each in self.accounts.items() if now - each.demand.updated_at < TENANT_IDLE_S
            }
        demand = dict(self.fleet_report[0]) if self.fleet_report else {}
        for tenant, each in self.accounts.items():
            demand[tenant] = self.fleet_demand(tenant, each.demand.value(now), routers, reserved)
        if self.fleet_report and self.fleet_report[2]:
            known = sum(each not in self.fleet_report[0] for each in self.accounts)
            rest = self.fleet_report[1] / self.fleet_report[2]
            # The unnamed tenants with requests at this router are already counted by name.
            demand.update((f"\0{number}", rest) for number in range(max(self.fleet_report[2] - known, 0)))
        total = sum(demand.values())
        capacity = self.usable_capacity(now)
        if total <= capacity or not capacity:
            self.level, self.surge = math.inf, 0.0
            return
        floors = {tenant: share * capacity for tenant, share in reserved.items()}
        self.level = max_min_level(capacity, demand, floors)
        self.surge, self.last_surge_at = total / capacity, now

    def usable_capacity(self, now: float) -> float:
        """Ms a second that can be allocated, after adapting the capacity factor to the endpoints' strain."""
        if self.strain > STRAIN_THRESHOLD:
            if now - self.factor_changed_at >= CAPACITY_DECREASE_INTERVAL_S:
                lowered = max(self.capacity_factor * CAPACITY_DECREASE, MIN_CAPACITY_FACTOR)
                self.capacity_factor, self.factor_changed_at = lowered, now
        elif self.capacity_factor < 1.0:
            increase = CAPACITY_RECOVERY_PER_S * (now - self.factor_changed_at)
            self.capacity_factor = min(self.capacity_factor + increase, 1.0)
            self.factor_changed_at = now
        return self.capacity * self.capacity_factor


class ReservedQuotas:
    """The quotas of all services at one router.

    `on_surge(service, whether a surge is on, demand divided by capacity)` is called when one begins and ends.
    """

    def __init__(
        self, on_surge: Callable[[str, bool, float], None] = lambda service, on, times: None
    ) -> None:
        self.reserved: Mapping[str, float] = {}
        self.services: dict[str, ServiceQuota] = {}
        self.on_surge, self.surging_services = on_surge, set[str]()

    def set_reserved(self, reserved: Mapping[str, float]) -> None:
        """Reserved shares by tenant, 0 to 1. Without any, nothing is counted or limited."""
        self.reserved = reserved
        if not reserved:
            for each in self.services.values():
                each.accounts.clear()
                each.fleet_report = None

    def set_endpoints(self, usable: Mapping[str, int]) -> None:
        """By service: the number of endpoints that take requests."""
        self.services = {name: self.services.get(name) or ServiceQuota() for name in usable}
        for name, count in usable.items():
            self.services[name].capacity = count * 1000.0 * TARGET_UTILIZATION

    def check(
        self, now: float, service: str, tenant: str, ms: tuple[float, float], routers: int
    ) -> QuotaStatus:
        """Counts a new request and returns how it relates to its tenant's quota.

        `ms`: of reading its whole prompt, and of all its other work.
        """
        if not self.reserved or (quota := self.services.get(service)) is None:
            return NOT_IN_SURGE
        account = quota.accounts.get(tenant)
        if account is None:
            account = quota.accounts[tenant] = Account()
        work = ms[0] * account.read_ratio + ms[1]
        own = account.demand.add(now, work)
        if now - quota.divided_at >= DIVISION_INTERVAL_S:
            quota.divide(now, self.reserved, routers)
            self.report_surge(now, service, quota)
        if not quota.surge:
            return NOT_IN_SURGE
        ceiling = max(self.reserved.get(tenant, 0.0) * quota.capacity * quota.capacity_factor, quota.level)
        demand = quota.fleet_demand(tenant, own, routers, self.reserved)
        if demand <= ceiling:
            return QuotaStatus(quota.surge)
        wait = account.spend(now, work, ceiling * min(own / demand, 1.0))
        return QuotaStatus(quota.surge, True, wait > 0, max(wait, MIN_RETRY_AFTER_S) if wait else 0.0)

    def record_send(self, service: str, tenant: str, prompt_ms: float, read_ms: float) -> None:
        """Counts a request sent to an endpoint that has to read `read_ms` of its `prompt_ms`."""
        if self.reserved and prompt_ms and (quota := self.services.get(service)):
            if account := quota.accounts.get(tenant):
                account.read_ratio += (min(read_ms / prompt_ms, 1.0) - account.read_ratio) * READ_RATIO_WEIGHT

    def record_outcome(self, service: str, strained: bool) -> None:
        """Counts a send whose first piece has come, or that an endpoint refused as full.

        `strained`: it was refused, or its first piece was late.
        """
        if self.reserved and (quota := self.services.get(service)):
            quota.strain += (strained - quota.strain) * STRAIN_WEIGHT

    def report_surge(self, now: float, service: str, quota: ServiceQuota) -> None:
        """Calls `on_surge` for a surge that has begun, or that ended SURGE_END_DELAY_S ago."""
        if quota.surge and service not in self.surging_services:
            self.surging_services.add(service)
            self.on_surge(service, True, quota.surge)
        elif service in self.surging_services and now - quota.last_surge_at > SURGE_END_DELAY_S:
            self.surging_services.discard(service)
            self.on_surge(service, False, 0.0)

    def demand_report(self, now: float, service: str) -> DemandReport | None:
        """This router's report for its heartbeats; None where nothing is reserved."""
        if not self.reserved or (quota := self.services.get(service)) is None:
            return None
        rates = {name: each.demand.value(now) for name, each in quota.accounts.items()}
        if now - quota.reported_at > MIN_REPORT_INTERVAL_S:
            quota.reported_at = now
            for name, each in quota.accounts.items():
                each.previous_rate, each.reported_rate = each.reported_rate, rates[name]
        return demand_report(
            {name: rate for name, rate in rates.items() if rate >= 0.1}, MAX_REPORTED_TENANTS
        )

    def set_fleet_report(self, now: float, service: str, report: Any) -> None:  # noqa: ANN401
        """Stores the fleet's report from a registrar's heartbeat."""
        quota = self.services.get(service)
        if quota is not None and self.reserved and is_demand_report(report):
            quota.fleet_report, quota.fleet_report_at = report, now
