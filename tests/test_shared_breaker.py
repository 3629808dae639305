"""The breaker alone, as any owner uses it; the sender's use of it is tested with its dispatcher."""

import random
from dataclasses import dataclass

import pytest
from helpers import settings

from plumline.breaker.breaker import (
    ERROR_WEIGHT,
    FAILURE_THRESHOLD,
    GAP_STEP,
    NEVER,
    RESET_TIMEOUT,
    WAIT_SLACK,
    Breaker,
)
from plumline.breaker.interface import BreakerSettings
from plumline.breaker.plain import PlainSettings

MS = 1_000
SECOND = 1_000_000
START = 1000 * SECOND
LARGE_FLEET = 200
PLAIN = PlainSettings(least_aim_us=2 * SECOND, fleet_size=4)
COLD = PlainSettings(
    least_aim_us=2 * SECOND, fleet_size=4, cold=10 * SECOND, cold_from=0.2, fall_multiple=2.0
)


@dataclass
class SentCall:
    sent: int


def a_breaker(settings: BreakerSettings = PLAIN) -> Breaker:
    return Breaker(settings, random.Random(7), "a")


def send(breaker: Breaker, now: int) -> SentCall:
    assert breaker.ready_at(now) <= now
    breaker.last_sent = now
    return SentCall(now)


def opened(settings: BreakerSettings = PLAIN) -> Breaker:
    breaker = a_breaker(settings)
    for _ in range(FAILURE_THRESHOLD):
        breaker.failed(START)
    return breaker


def trial_of(breaker: Breaker, now: int) -> SentCall:
    breaker.trial = trial = send(breaker, now)
    return trial


def test_failures_in_a_row_open_it() -> None:
    breaker = a_breaker()
    for _ in range(FAILURE_THRESHOLD - 1):
        breaker.failed(START)
        assert breaker.ready_at(START) <= START
    breaker.failed(START)
    assert breaker.ready_at(START) == START + RESET_TIMEOUT


def test_a_served_call_between_them_resets_the_count() -> None:
    breaker = a_breaker()
    for _ in range(FAILURE_THRESHOLD - 1):
        breaker.failed(START)
    breaker.served(START + MS, SentCall(START))
    for _ in range(FAILURE_THRESHOLD - 1):
        breaker.failed(START + 2 * MS)
    assert breaker.ready_at(START + 2 * MS) <= START + 2 * MS


def test_errors_open_it_later_than_other_failures() -> None:
    breaker = a_breaker()
    for _ in range(FAILURE_THRESHOLD):
        breaker.failed(START, ERROR_WEIGHT, error=True)
    assert 0 < breaker.failures < FAILURE_THRESHOLD and breaker.ready_at(START) <= START


def test_after_the_reset_timeout_one_trial_may_start() -> None:
    breaker, due = opened(), START + RESET_TIMEOUT
    assert breaker.ready_at(due - 1) > due - 1
    trial_of(breaker, due)
    assert breaker.ready_at(due) == breaker.ready_at(due + 60 * SECOND) == NEVER


def test_a_served_trial_closes_it() -> None:
    breaker, due = opened(), START + RESET_TIMEOUT
    breaker.served(due + 10 * MS, trial_of(breaker, due))
    assert breaker.failures == 0 and breaker.trial is None
    assert due < breaker.ready_at(due + 10 * MS) < due + RESET_TIMEOUT


def test_a_failed_trial_restarts_the_timeout() -> None:
    breaker, due = opened(), START + RESET_TIMEOUT
    trial_of(breaker, due)
    breaker.failed(due + 10 * MS)
    assert breaker.ready_at(due + 10 * MS) == due + 10 * MS + RESET_TIMEOUT
    trial_of(breaker, due + 10 * MS + RESET_TIMEOUT)


def test_a_refused_trial_restarts_the_timeout() -> None:
    breaker, due = opened(), START + RESET_TIMEOUT
    breaker.refused(due + 10 * MS, trial_of(breaker, due), 0)
    assert breaker.ready_at(due + 10 * MS) == due + 10 * MS + RESET_TIMEOUT


def test_refusals_raise_the_gap_up_to_its_limit_and_do_not_open_it() -> None:
    breaker, now, gaps = a_breaker(), START, []
    for _ in range(8):
        call = send(breaker, now)
        breaker.refused(now + MS, call, 0)
        gaps.append(breaker.gap)
        now = int(breaker.ready_at(now + MS))
    assert gaps[:3] == [GAP_STEP, 2 * GAP_STEP, 4 * GAP_STEP] and gaps[-1] == RESET_TIMEOUT
    assert breaker.failures == 0


def test_a_call_sent_before_the_gap_was_raised_raises_it_no_further() -> None:
    breaker = a_breaker()
    for _ in range(3):
        breaker.refused(START + MS, SentCall(START), 0)
    assert breaker.gap == GAP_STEP


def test_served_calls_shrink_the_gap_to_zero() -> None:
    breaker, now = a_breaker(), START
    breaker.refused(now + MS, send(breaker, now), 0)
    gaps = [breaker.gap]
    while breaker.gap and len(gaps) < 100:
        now = int(breaker.ready_at(now)) + 1
        breaker.served(now + MS, send(breaker, now))
        gaps.append(breaker.gap)
    assert gaps == sorted(gaps, reverse=True) and gaps[1] < gaps[0] and gaps[-1] == 0


def test_a_requested_wait_applies_in_every_state_and_a_shorter_one_changes_nothing() -> None:
    for breaker in (a_breaker(), opened()):
        breaker.set_wait(START + 5 * SECOND)
        breaker.set_wait(START + SECOND)
        assert breaker.ready_at(START) == START + 5 * SECOND


def test_a_large_fleet_extends_a_requested_wait_slightly() -> None:
    breaker = a_breaker(PlainSettings(2 * SECOND, fleet_size=LARGE_FLEET))
    breaker.set_wait(START)
    assert START + 80 * MS <= breaker.wait_until <= START + WAIT_SLACK


def test_after_an_outage_calls_are_paced_until_the_destination_is_warm() -> None:
    breaker = opened(COLD)
    assert breaker.warm_up_gap(START) > breaker.warm_up_gap(START + 5 * SECOND) > 0
    assert breaker.warm_up_gap(START + COLD.cold) == 0


@pytest.mark.parametrize("fleet_size", [4, LARGE_FLEET])
def test_without_a_warm_up_time_no_call_is_paced_for_it_and_nothing_fails(fleet_size: int) -> None:
    breaker = opened(PlainSettings(2 * SECOND, fleet_size))
    now = START
    for routes in (1, 2, 1):
        breaker.count_message(now, routes)
    now = int(breaker.ready_at(now))
    breaker.served(now + MS, trial_of(breaker, now))
    breaker.refused(now + 2 * MS, SentCall(now + MS), 3 * SECOND)
    breaker.count_message(now + 2 * MS, 1)
    breaker.served(now + SECOND, SentCall(now + MS))
    breaker.served(now + SECOND, SentCall(now + MS))
    for at in (START, now, now + SECOND, now + 3 * SECOND):
        assert breaker.warm_up_gap(at) == 0
    assert 0 < breaker.initial_gap <= breaker.max_gap < NEVER


@pytest.mark.parametrize("cold", [1, 10 * SECOND])
def test_the_configured_warm_up_time_is_the_rate_memory(cold: int) -> None:
    assert a_breaker(PlainSettings(2 * SECOND, cold=cold)).rate_memory == cold


def test_the_senders_settings_and_plain_ones_make_the_same_breaker() -> None:
    sender = settings(fleet_size=4)
    plain = PlainSettings(min(each.aim for each in sender.classes), 4, 10 * SECOND, 0.2, 2.0)
    known = []
    for owner_settings in (sender, plain):
        breaker, now = a_breaker(owner_settings), START
        for number in range(60):
            now = max(now, int(breaker.ready_at(now)) + 1)
            breaker.count_message(now, 1)
            call = send(breaker, now)
            if breaker.failures >= FAILURE_THRESHOLD:
                breaker.trial = call
            now += 30 * MS
            if number % 20 < 5:
                breaker.failed(now)
            elif number % 7 == 0:
                breaker.refused(now, call, 3 * SECOND * (number % 2))
            else:
                breaker.served(now, call)
        known.append([getattr(breaker, name) for name in Breaker.KEPT])
    assert known[0] == known[1]


@pytest.mark.parametrize(
    "name, value",
    [
        ("least_aim_us", 0),
        ("fleet_size", 0),
        ("fall_multiple", 0.0),
        ("cold", -1),
        ("cold_from", 0.0),
        ("cold_from", 1.1),
    ],
)
def test_plain_settings_name_what_is_out_of_its_range(name: str, value: float) -> None:
    values = {"least_aim_us": 2 * SECOND} | {name: value}
    with pytest.raises(ValueError, match=name):
        PlainSettings(**values)  # type: ignore[arg-type]
