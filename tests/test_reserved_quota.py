"""Reserved quotas of a service: allocation, token buckets and demand reports, with a simulated clock."""

import math
import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.routing import reserved_quota
from plumline.routing.reserved_quota import (
    NOT_IN_SURGE,
    Account,
    QuotaStatus,
    ReservedQuotas,
    demand_report,
    is_demand_report,
    max_min_allocation,
    priority,
    sum_demand_reports,
)

ASKED = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0, 5000), max_size=8)
PARTS = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0, 0.125), max_size=8)
CAPACITY = st.floats(1, 10_000)


# --- allocation


@given(CAPACITY, ASKED, PARTS)
def test_no_tenant_gets_more_than_its_demand_or_less_than_its_reserve_if_it_has_the_demand(
    capacity: float, asked: dict[str, float], parts: dict[str, float]
) -> None:
    reserved = {tenant: part * capacity for tenant, part in parts.items()}
    got = max_min_allocation(capacity, asked, reserved)
    assert got.keys() == asked.keys()
    for tenant, each in got.items():
        assert each <= asked[tenant]
        assert each >= min(asked[tenant], reserved.get(tenant, 0.0))


@given(CAPACITY, ASKED, PARTS)
def test_the_capacity_is_used_up_if_there_is_demand_and_is_never_exceeded(
    capacity: float, asked: dict[str, float], parts: dict[str, float]
) -> None:
    reserved = {tenant: part * capacity for tenant, part in parts.items()}
    total = sum(max_min_allocation(capacity, asked, reserved).values())
    assert total == pytest.approx(min(capacity, sum(asked.values())), rel=1e-6, abs=1e-6)


@given(CAPACITY, ASKED, PARTS, st.randoms())
def test_the_order_of_tenants_does_not_matter(
    capacity: float, asked: dict[str, float], parts: dict[str, float], rng: random.Random
) -> None:
    reserved = {tenant: part * capacity for tenant, part in parts.items()}
    mixed = list(asked)
    rng.shuffle(mixed)
    other = max_min_allocation(capacity, {tenant: asked[tenant] for tenant in mixed}, reserved)
    assert other == pytest.approx(max_min_allocation(capacity, asked, reserved), rel=1e-6, abs=1e-6)


@given(CAPACITY, ASKED, PARTS)
def test_a_tenant_below_its_demand_gets_no_less_than_any_other_beyond_its_reserve(
    capacity: float, asked: dict[str, float], parts: dict[str, float]
) -> None:
    reserved = {tenant: part * capacity for tenant, part in parts.items()}
    got = max_min_allocation(capacity, asked, reserved)
    short = [each for tenant, each in got.items() if each < asked[tenant] * (1 - 1e-9)]
    if short:
        least = min(short) * (1 + 1e-6) + 1e-6
        assert all(each <= max(least, reserved.get(tenant, 0.0)) for tenant, each in got.items())


@pytest.mark.parametrize(
    ("asked", "reserved", "expected"),
    [
        ({"a": 30, "b": 40}, {"a": 50}, {"a": 30, "b": 40}),
        ({"a": 30, "b": 400}, {"a": 50}, {"a": 30, "b": 70}),  # the unused reserve of a is lent
        ({"a": 500, "b": 400}, {"a": 70}, {"a": 70, "b": 30}),
        ({"a": 500, "b": 10, "c": 400}, {"a": 40}, {"a": 45, "b": 10, "c": 45}),
        ({"a": 300, "b": 300, "c": 300, "d": 10}, {}, {"a": 30, "b": 30, "c": 30, "d": 10}),
        ({"a": 300, "b": 300}, {"a": 100}, {"a": 100, "b": 0}),
    ],
)
def test_allocations_of_a_capacity_of_a_hundred(
    asked: dict[str, float], reserved: dict[str, float], expected: dict[str, float]
) -> None:
    assert max_min_allocation(100, asked, reserved) == pytest.approx(expected)


# --- priorities


def test_priorities_in_a_surge_order_by_share_then_length_then_rank() -> None:
    without_surge = [priority(rank, long, 4, NOT_IN_SURGE) for long in (False, True) for rank in range(5)]
    assert without_surge == list(range(10))
    tiers = [
        [
            priority(rank, long, 4, QuotaStatus(1.5, surging, over, 0.3 * over))
            for long in (False, True)
            for rank in range(5)
        ]
        for surging, over in ((False, False), (True, False), (True, True))
    ]
    for tier in tiers:
        assert tier == sorted(tier) and max(tier[:5]) < min(tier[5:])
    assert max(tiers[0]) < min(tiers[1]) and max(tiers[1]) < min(tiers[2]) and max(tiers[2]) == 9


# --- token buckets


def test_a_bucket_admits_its_rate_and_returns_the_time_until_it_has_tokens() -> None:
    account = Account()
    admitted, now = 0.0, 100.0
    while now < 110.0:
        if account.spend(now, 50.0, 200.0) == 0.0:
            admitted += 50.0
        now += 0.01
    assert admitted == pytest.approx(10 * 200.0, abs=60)
    wait = account.spend(now, 50.0, 200.0)
    while not wait:
        wait = account.spend(now, 50.0, 200.0)
    assert account.spend(now + wait * 0.9, 50.0, 200.0) > 0
    assert account.spend(now + wait * 1.01, 50.0, 200.0) == 0.0


def test_a_request_larger_than_the_bucket_is_admitted_and_charged_afterwards() -> None:
    account = Account()
    assert account.spend(10.0, 900.0, 100.0) == 0.0
    assert account.spend(11.0, 900.0, 100.0) == reserved_quota.MAX_RETRY_AFTER_S
    assert account.spend(18.9, 900.0, 100.0) > 0.0
    assert account.spend(19.2, 900.0, 100.0) == 0.0


def test_a_bucket_without_a_rate_is_empty() -> None:
    account = Account()
    assert account.spend(10.0, 1.0, 0.0) == account.spend(1e9, 1.0, 0.0) == reserved_quota.MAX_RETRY_AFTER_S


# --- demand reports on the wire


def test_the_largest_tenants_are_reported_by_name_and_the_rest_as_one_sum() -> None:
    asked = {f"t{n}": float(n) for n in range(40)}
    named, rest, others = demand_report(asked, 16)
    assert set(named) == {f"t{n}" for n in range(24, 40)}
    assert (rest, others) == (sum(range(24)), 24)


def test_reports_of_routers_are_summed_and_malformed_ones_are_ignored() -> None:
    reports = [[{"a": 10.0, "b": 1}, 5.0, 2], [{"a": 20.5}, 1.0, 7]]
    malformed = ["x", [{"a": "1"}, 0, 0], [{"a": math.nan}, 0, 0], [{"a": -1.0}, 0, 0]]
    assert sum_demand_reports([*malformed, *reports]) == [{"a": 30.5, "b": 1.0}, 6.0, 7]
    assert sum_demand_reports(["x", None, [{}, -1.0, 0], [{}, 0, True]]) is None
    many = sum_demand_reports([[{f"{router}-{n}": 1.0 for n in range(16)}, 0.0, 0] for router in range(10)])
    assert many is not None and is_demand_report(many)
    assert len(many[0]) == reserved_quota.MAX_SUMMED_TENANTS and many[1:] == [96.0, 96]


# --- a fleet of routers, with a simulated clock


class Routers:
    """Quotas of several routers for a service "s"; they exchange heartbeats every second if `reporting`."""

    def __init__(
        self, count: int, reserved: dict[str, float], reporting: bool = True, endpoints: int = 2
    ) -> None:
        self.now, self.reporting, self.reported_at = 1000.0, reporting, 0.0
        self.each = [ReservedQuotas() for _ in range(count)]
        for each in self.each:
            each.set_endpoints({"s": endpoints})
            each.set_reserved(reserved)
        self.capacity = endpoints * 1000 * reserved_quota.TARGET_UTILIZATION
        self.admitted: dict[str, float] = Counter()
        self.refused: Counter[str] = Counter()
        self.over_share: dict[str, float] = Counter()  # ms of requests that were sent although over the share
        self.rng = random.Random(5)

    def ask(self, router: int, tenant: str, ms: float) -> QuotaStatus:
        each = self.each[router]
        found = each.check(self.now, "s", tenant, (ms, 0.0), len(self.each))
        if found.refused:
            self.refused[tenant] += 1
        elif found.over_quota:
            self.over_share[tenant] += ms
        else:
            self.admitted[tenant] += ms
            each.record_send("s", tenant, ms, ms)
        return found

    def run(self, seconds: float, rates: dict[str, float], ms: float, to: Callable[[], int]) -> None:
        """Poisson arrivals of requests of `ms` each; `rates` in ms a second for the whole fleet."""
        self.admitted.clear(), self.refused.clear(), self.over_share.clear()
        total = sum(rates.values()) / ms
        ends = self.now + seconds
        while self.now < ends:
            self.now += self.rng.expovariate(total)
            tenant = self.rng.choices(list(rates), list(rates.values()))[0]
            self.ask(to(), tenant, ms)
            if self.reporting and self.now - self.reported_at >= 1.0:
                self.reported_at = self.now
                demand = sum_demand_reports(each.demand_report(self.now, "s") for each in self.each)
                for each in self.each:
                    each.set_fleet_report(self.now, "s", demand)

    def anywhere(self) -> int:
        return self.rng.randrange(len(self.each))


RESERVED = {"library": 0.3, "guides": 0.2}
USUAL = {"library": 250.0, "guides": 200.0, "other": 300.0}


def test_below_the_capacity_no_request_is_limited() -> None:
    fleet = Routers(3, RESERVED)
    for _ in range(2000):
        fleet.now += 0.08
        assert fleet.ask(fleet.anywhere(), fleet.rng.choice("abc"), 30.0) is NOT_IN_SURGE


@pytest.mark.parametrize("reporting", [True, False], ids=["told", "untold"])
@pytest.mark.parametrize("routers", [1, 4])
def test_a_flood_is_limited_to_the_capacity_that_others_leave_and_no_other_tenant_is_refused(
    routers: int, reporting: bool
) -> None:
    fleet = Routers(routers, RESERVED, reporting)
    fleet.run(20, USUAL, 30.0, fleet.anywhere)
    assert not fleet.refused
    flood = USUAL | {"other": 3000.0}
    fleet.run(1, flood, 30.0, fleet.anywhere)
    assert fleet.admitted["other"] < 2500
    fleet.run(20, flood, 30.0, fleet.anywhere)
    assert set(fleet.refused) == {"other"}
    left = fleet.capacity - USUAL["library"] - USUAL["guides"]
    assert 0.8 * left < fleet.admitted["other"] / 20 < 1.2 * left
    fleet.run(10, USUAL, 30.0, fleet.anywhere)
    fleet.run(20, USUAL, 30.0, fleet.anywhere)
    assert not fleet.refused  # the flood is over


def test_a_share_holds_for_the_fleet_however_a_flood_is_spread_over_the_routers() -> None:
    fleet = Routers(4, RESERVED)
    uneven = [0, 0, 0, 0, 0, 0, 0, 1, 1, 2, 3]
    fleet.run(10, USUAL | {"other": 4000.0}, 30.0, lambda: fleet.rng.choice(uneven))
    fleet.run(20, USUAL | {"other": 4000.0}, 30.0, lambda: fleet.rng.choice(uneven))
    left = fleet.capacity - USUAL["library"] - USUAL["guides"]
    assert fleet.admitted["other"] / 20 < 1.25 * left
    assert fleet.refused["library"] + fleet.refused["guides"] <= 2


def test_a_tenant_with_more_demand_than_its_reserve_still_gets_the_full_reserve() -> None:
    fleet = Routers(3, {"library": 0.5})
    rates = {"library": 1600.0, "other": 1600.0, "third": 1600.0}
    fleet.run(5, rates, 20.0, fleet.anywhere)
    fleet.run(20, rates, 20.0, fleet.anywhere)
    assert fleet.admitted["library"] / 20 == pytest.approx(0.5 * fleet.capacity, rel=0.15)
    assert fleet.admitted["other"] / 20 == pytest.approx(0.25 * fleet.capacity, rel=0.15)


def test_in_a_slight_surge_requests_over_a_share_get_the_last_priority_and_are_not_refused() -> None:
    fleet = Routers(2, RESERVED)
    rates = {"library": 300.0, "other": 1430.0}  # 1.08 of the capacity
    fleet.run(10, rates, 10.0, fleet.anywhere)
    fleet.run(20, rates, 10.0, fleet.anywhere)
    assert fleet.over_share["other"] > 0 and fleet.over_share["library"] == 0
    assert fleet.refused["library"] == 0 and fleet.refused["other"] * 10.0 < 0.05 * 1430 * 20


def test_a_refused_client_gets_a_retry_time_within_bounds() -> None:
    fleet = Routers(1, RESERVED)
    found = []
    for _ in range(50):
        fleet.now += 0.02
        found.append(fleet.ask(0, "other", 200.0))
    waits = {each.retry_after_s for each in found if each.refused}
    assert waits and all(
        reserved_quota.MIN_RETRY_AFTER_S <= each <= reserved_quota.MAX_RETRY_AFTER_S for each in waits
    )


def test_cached_prompts_count_only_for_the_tokens_that_are_read() -> None:
    fleet = Routers(1, RESERVED)
    each = fleet.each[0]
    for _ in range(400):  # 2,500 ms of prompts a second, of which a tenth is read
        fleet.now += 0.02
        standing = each.check(fleet.now, "s", "other", (50.0, 0.0), 1)
        each.record_send("s", "other", 50.0, 5.0)
    assert standing is NOT_IN_SURGE
    demand = each.demand_report(fleet.now, "s")
    assert demand is not None and demand[0]["other"] == pytest.approx(250, rel=0.1)


def test_nothing_is_counted_without_reserved_shares() -> None:
    fleet = Routers(1, {})
    for _ in range(500):
        assert fleet.ask(0, "other", 100.0) is NOT_IN_SURGE
    assert fleet.each[0].demand_report(fleet.now, "s") is None and not fleet.each[0].services["s"].accounts


def test_counting_ends_when_no_share_is_reserved_any_more() -> None:
    fleet = Routers(1, RESERVED)
    for _ in range(500):
        fleet.now += 0.01
        fleet.ask(0, "other", 100.0)
    assert fleet.refused["other"]
    fleet.each[0].set_reserved({})
    assert fleet.ask(0, "other", 100.0) is NOT_IN_SURGE
    assert not fleet.each[0].services["s"].accounts


def test_idle_tenants_are_dropped_and_old_reports_expire() -> None:
    fleet = Routers(1, RESERVED)
    each = fleet.each[0]
    for n in range(300):
        fleet.ask(0, f"t{n}", 1.0)
    each.set_fleet_report(fleet.now, "s", [{"far": 99999.0}, 0.0, 0])
    fleet.now += reserved_quota.TENANT_IDLE_S + 1
    assert fleet.ask(0, "new", 1.0) is NOT_IN_SURGE
    assert set(each.services["s"].accounts) == {"new"} and each.services["s"].fleet_report is None


def test_many_small_tenants_reported_as_one_sum_are_not_taken_for_one() -> None:
    fleet = Routers(1, RESERVED)
    each = fleet.each[0]
    each.set_fleet_report(fleet.now, "s", [{"flood": 3000.0}, 800.0, 40])  # 20 ms a second each
    fleet.ask(0, "small", 20.0)
    assert each.services["s"].level == pytest.approx(fleet.capacity - 800.0, rel=0.05)


def test_a_surge_is_reported_at_its_beginning_and_some_time_after_its_end() -> None:
    fleet, reports = Routers(1, RESERVED), []
    fleet.each[0].on_surge = lambda service, on, times: reports.append((service, on))
    for _ in range(300):
        fleet.now += 0.01
        fleet.ask(0, "other", 50.0)
    assert reports == [("s", True)]
    for _ in range(300):
        fleet.now += 0.1
        fleet.ask(0, "other", 5.0)
    assert reports == [("s", True), ("s", False)]


def run_with_strain(fleet: Routers, seconds: float, strain: bool) -> None:
    """20 requests of 20 ms a second, a quarter of what two endpoints can do, and their outcomes."""
    for _ in range(round(seconds * 20)):
        fleet.now += 0.05
        fleet.ask(0, "other", 20.0)
        fleet.each[0].record_outcome("s", strain)


def test_late_or_full_endpoints_lower_the_assumed_capacity_until_they_recover() -> None:
    fleet = Routers(1, RESERVED)
    quota = fleet.each[0].services["s"]
    run_with_strain(fleet, 2, False)
    assert quota.capacity_factor == 1.0
    run_with_strain(fleet, 10, True)
    assert (
        quota.capacity_factor == reserved_quota.MIN_CAPACITY_FACTOR and quota.surge == 0.0
    )  # demand is within the lowered capacity
    for _ in range(60):
        fleet.now += 0.01
        fleet.ask(0, "other", 20.0)
    assert quota.surge > 1 and quota.level <= fleet.capacity * reserved_quota.MIN_CAPACITY_FACTOR
    run_with_strain(fleet, 30, False)
    assert quota.capacity_factor == 1.0 and quota.surge == 0.0


def test_occasional_late_answers_do_not_lower_the_capacity() -> None:
    fleet = Routers(1, RESERVED)
    for n in range(400):
        fleet.now += 0.05
        fleet.ask(0, "other", 20.0)
        fleet.each[0].record_outcome("s", n % 20 == 0)
    assert fleet.each[0].services["s"].capacity_factor == 1.0
    fleet.each[0].record_outcome("unknown", True)


def test_an_unknown_service_and_one_without_endpoints_limit_nothing() -> None:
    fleet = Routers(1, RESERVED, endpoints=0)
    for _ in range(100):
        assert fleet.ask(0, "other", 500.0) is NOT_IN_SURGE
        assert fleet.each[0].check(fleet.now, "unknown", "other", (500.0, 0.0), 1) is NOT_IN_SURGE
    fleet.each[0].set_fleet_report(fleet.now, "unknown", [{}, 0.0, 0])
