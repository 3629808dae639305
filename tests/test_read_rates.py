"""How fast endpoints read, learnt from what they did: any kind of engine, each endpoint by itself."""

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

ANSWERS = 40  # of the service, in which the estimate follows


def observe(
    rates: ServiceReadRates, endpoint: str, rate: float, base_ms: float, chance: random.Random
) -> None:
    """One prompt of any size at an endpoint that reads `rate` tokens a ms, after some other work."""
    tokens = chance.uniform(2_000, 40_000)
    rates.observe(endpoint, tokens, base_ms + tokens / rate + chance.uniform(0, 30))


@pytest.mark.parametrize("rate", [START_TOKENS_PER_MS / 3, 61.2, 157.0, START_TOKENS_PER_MS * 3])
def test_the_estimate_follows_an_engine_of_another_kind_within_some_answers(rate: float) -> None:
    rates, chance = ServiceReadRates(), random.Random(1)
    for number in range(ANSWERS):
        observe(rates, f"e{number % 8}", rate, 40.0, chance)
    assert rates.typical() == pytest.approx(rate, rel=0.15)
    assert rates.of("never seen") == rates.typical()


def test_endpoints_of_one_service_that_differ_are_told_apart() -> None:
    rates, chance = ServiceReadRates(), random.Random(2)
    for _ in range(ANSWERS):
        observe(rates, "fast", 157.0, 30.0, chance)
        observe(rates, "slow", 157.0 / 3, 30.0, chance)
    assert rates.of("fast") > 2 * rates.of("slow")


def test_no_noise_makes_one_endpoint_look_far_faster_than_the_others() -> None:
    """All prompts would go there: short ones that took long and long ones that took little must not do so."""
    rates, chance = ServiceReadRates(), random.Random(4)
    for _ in range(ANSWERS):
        observe(rates, "usual", 150.0, 30.0, chance)
    for tokens, ms in ((3_000, 400.0), (20_000, 140.0), (3_000, 400.0), (30_000, 220.0)):
        rates.observe("odd", tokens, ms)
    assert rates.of("odd") < 2 * rates.of("usual")


def test_what_was_learnt_is_forgotten_as_an_endpoint_changes_or_goes() -> None:
    rates, chance = ServiceReadRates(), random.Random(3)
    for rate in (300.0, 30.0):
        for _ in range(2 * ANSWERS):
            observe(rates, "e", rate, 30.0, chance)
        assert rates.of("e") == pytest.approx(rate, rel=0.2)
    rates.retain([])
    assert rates.of("e") == rates.typical()


def test_short_prompts_and_times_that_something_else_took_say_nothing() -> None:
    rates = ServiceReadRates()
    for tokens, ms in ((10, 500.0), (30_000, 2 * MAX_OBSERVED_MS), (30_000, 0.0), (30_000, -5.0)):
        rates.observe("e", tokens, ms)
    assert rates.typical() == START_TOKENS_PER_MS


@given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(-1e3, 1e5)), max_size=60))
def test_no_answers_whatever_take_a_rate_out_of_its_bounds(answers: list[tuple[float, float]]) -> None:
    rates = ServiceReadRates()
    for tokens, ms in answers:
        rates.observe("e", tokens, ms)
    slowest, fastest = TOKENS_PER_MS_RANGE
    least, most = SLOWNESS_RANGE
    assert slowest * 0.999 <= rates.typical() <= fastest * 1.001
    assert rates.typical() / most * 0.999 <= rates.of("e") <= rates.typical() / least * 1.001
