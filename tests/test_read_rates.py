"""Estimates of endpoints' reading rates, for any kind of engine and each endpoint."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.routing.read_rates import (
    MAX_OBSERVED_MS,
    SLOWNESS_RANGE,
    START_TOKENS_PER_MS,
    TOKENS_PER_MS_RANGE,
    ServiceReadRates,
)

ANSWERS = 40  # of the service, within which the estimate must adapt


def observe(rates: ServiceReadRates, endpoint: str, rate: float, base_ms: float, rng: random.Random) -> None:
    """Observes a prompt of random size at an endpoint that reads `rate` tokens a ms, with other delays."""
    tokens = rng.uniform(2_000, 40_000)
    rates.observe(endpoint, tokens, base_ms + tokens / rate + rng.uniform(0, 30))


@pytest.mark.parametrize("rate", [START_TOKENS_PER_MS / 3, 61.2, 157.0, START_TOKENS_PER_MS * 3])
def test_the_estimate_adapts_to_the_rate_of_an_engine_within_some_answers(rate: float) -> None:
    rates, rng = ServiceReadRates(), random.Random(1)
    for number in range(ANSWERS):
        observe(rates, f"e{number % 8}", rate, 40.0, rng)
    assert rates.typical() == pytest.approx(rate, rel=0.15)
    assert rates.of("never seen") == rates.typical()


def test_endpoints_of_one_service_get_different_rates() -> None:
    rates, rng = ServiceReadRates(), random.Random(2)
    for _ in range(ANSWERS):
        observe(rates, "fast", 157.0, 30.0, rng)
        observe(rates, "slow", 157.0 / 3, 30.0, rng)
    assert rates.of("fast") > 2 * rates.of("slow")


def test_noise_does_not_make_an_endpoint_seem_far_faster_than_the_others() -> None:
    """Guards against sending all prompts to an endpoint whose short prompts were slow and long ones fast."""
    rates, rng = ServiceReadRates(), random.Random(4)
    for _ in range(ANSWERS):
        observe(rates, "usual", 150.0, 30.0, rng)
    for tokens, ms in ((3_000, 400.0), (20_000, 140.0), (3_000, 400.0), (30_000, 220.0)):
        rates.observe("odd", tokens, ms)
    assert rates.of("odd") < 2 * rates.of("usual")


def test_old_observations_decay_and_those_of_an_unlisted_endpoint_are_dropped() -> None:
    rates, rng = ServiceReadRates(), random.Random(3)
    for rate in (300.0, 30.0):
        for _ in range(2 * ANSWERS):
            observe(rates, "e", rate, 30.0, rng)
        assert rates.of("e") == pytest.approx(rate, rel=0.2)
    rates.retain([])
    assert rates.of("e") == rates.typical()


def test_short_prompts_and_implausible_times_are_ignored() -> None:
    rates = ServiceReadRates()
    for tokens, ms in ((10, 500.0), (30_000, 2 * MAX_OBSERVED_MS), (30_000, 0.0), (30_000, -5.0)):
        rates.observe("e", tokens, ms)
    assert rates.typical() == START_TOKENS_PER_MS


@given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(-1e3, 1e5)), max_size=60))
def test_rates_stay_within_their_bounds_for_any_answers(answers: list[tuple[float, float]]) -> None:
    rates = ServiceReadRates()
    for tokens, ms in answers:
        rates.observe("e", tokens, ms)
    slowest, fastest = TOKENS_PER_MS_RANGE
    lowest, highest = SLOWNESS_RANGE
    assert slowest * 0.999 <= rates.typical() <= fastest * 1.001
    assert rates.typical() / highest * 0.999 <= rates.of("e") <= rates.typical() / lowest * 1.001
