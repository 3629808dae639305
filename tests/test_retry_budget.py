"""Retry budget: the fleet's retries exceed the limit in no window."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from plumline.coordination.retry_budget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 58.0


def largest_excess(
    requests: list[float], retries: list[float], window_s: float, ratio: float, slack: float
) -> float:
    """Return the largest difference, over all windows (s, s + w], between the retries and their limit.

    It is reached in a window that begins or ends at an event.
    """

    def count(times: list[float], start: float) -> int:
        return sum(start < time <= start + window_s for time in times)

    worst = -slack
    for end in retries:
        start = end - window_s
        allowed = max(count(requests, start - shift) for shift in (0.0, window_s / 2, window_s))
        worst = max(worst, count(retries, start) - ratio * allowed - slack)
    return worst


def simulate_fleet(
    seed: int, routers: int, retry_probability: float, requests_shift: bool
) -> tuple[list[float], list[float]]:
    """Simulate a fleet that retries as much as its budgets allow; return the times of requests and retries.

    Requests come in bursts and may shift between routers, routers fail and restart, and each router learns
    the number of routers with a delay of up to 2 s.
    """
    random = Random(seed)
    alive: list[RetryBudget | None] = [
        RetryBudget(RATIO, WINDOW_S, SLACK, 0.0, fresh_system=True) for _ in range(routers)
    ]
    history = [(0.0, routers)]
    requests: list[float] = []
    retries: list[float] = []
    now, end = 0.0, 40.0
    rate, favoured, next_change_at = 20.0, 0, 0.0
    while now < end:
        now += random.expovariate(rate)
        if now >= next_change_at:
            next_change_at = now + random.uniform(1.0, 6.0)
            rate = random.choice([3.0, 20.0, 80.0])
            favoured = random.randrange(routers)
            victim = random.randrange(routers)
            if alive[victim] is None:
                alive[victim] = RetryBudget(RATIO, WINDOW_S, SLACK, now)
            elif sum(each is not None for each in alive) > 1:
                alive[victim] = RetryBudget(RATIO, WINDOW_S, SLACK, now) if random.random() < 0.5 else None
            history.append((now, sum(each is not None for each in alive)))
        router = favoured if requests_shift and random.random() < 0.9 else random.randrange(routers)
        budget = alive[router]
        if budget is None:
            continue
        requests.append(now)
        budget.record_request(now, "chat")
        seen_at = now - random.uniform(0.0, 2.0)
        known = next((count for time, count in reversed(history) if time <= seen_at), routers)
        while random.random() < retry_probability and budget.try_spend(now, "chat", known):
            retries.append(now)
    return requests, retries


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 12), st.sampled_from([0.2, 0.6, 0.95, 1.0]), st.booleans())
def test_no_window_exceeds_the_limit(
    seed: int, routers: int, retry_probability: float, requests_shift: bool
) -> None:
    requests, retries = simulate_fleet(seed, routers, retry_probability, requests_shift)
    assert largest_excess(requests, retries, WINDOW_S, RATIO, SLACK) <= 1e-9


def test_the_check_detects_an_excess() -> None:
    """59 retries at once and no request are one over the slack. A window does not include its start."""
    assert largest_excess([], [5.0] * 59, WINDOW_S, RATIO, SLACK) == 1.0
    assert largest_excess([5.0] * 5, [5.0] * 59, WINDOW_S, RATIO, SLACK) == 0.0
    assert largest_excess([], [5.0] * 30 + [15.0] * 29, WINDOW_S, RATIO, SLACK) < 0.0


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32))
def test_bursts_at_both_ends_of_a_window(seed: int) -> None:
    """A burst of requests at one router, then one at another; no window of the limit contains both."""
    random = Random(seed)
    budgets = [RetryBudget(RATIO, WINDOW_S, 0.0, 0.0, fresh_system=True) for _ in range(2)]
    requests: list[float] = []
    retries: list[float] = []
    first = random.uniform(20.0, 21.0)
    for budget, at in zip(budgets, (first, first + random.uniform(5.0, 12.0)), strict=True):
        for _ in range(200):
            requests.append(at)
            budget.record_request(at, "chat")
        spend_at = at + random.uniform(0.0, 5.0)
        while budget.try_spend(spend_at, "chat", 2):
            retries.append(spend_at)
    assert largest_excess(requests, retries, WINDOW_S, RATIO, 0.0) <= 1e-9


def test_steady_requests_allow_nearly_half_of_the_ratio() -> None:
    budget = RetryBudget(RATIO, WINDOW_S, 0.0, 0.0, fresh_system=True)
    retries = 0
    for step in range(10_000):
        now = step * 0.01
        budget.record_request(now, "chat")
        retries += budget.try_spend(now, "chat", 3)
    assert 0.45 * RATIO * 10_000 < retries <= 0.48 * RATIO * 10_000


def test_services_have_separate_budgets() -> None:
    budget = RetryBudget(RATIO, WINDOW_S, 0.0, 0.0, fresh_system=True)
    for _ in range(100):
        budget.record_request(1.0, "chat")
    assert not budget.try_spend(1.0, "mail", 1)
    assert budget.try_spend(1.0, "chat", 1)


def test_a_restarted_router_assumes_that_its_share_of_the_slack_is_spent() -> None:
    budget = RetryBudget(RATIO, WINDOW_S, SLACK, 100.0)
    assert not budget.try_spend(110.0, "chat", 3)
    assert budget.try_spend(112.0, "chat", 3)


def test_the_slack_is_shared_among_the_most_routers_of_the_last_window() -> None:
    budget = RetryBudget(RATIO, WINDOW_S, SLACK, 0.0, fresh_system=True)
    assert budget.try_spend(1.0, "chat", 20)  # 0.8 * 58 / 22: two
    assert budget.try_spend(8.0, "chat", 1)
    assert not budget.try_spend(8.0, "chat", 1)
    assert budget.try_spend(30.0, "chat", 1)
