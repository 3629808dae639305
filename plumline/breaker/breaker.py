"""A circuit breaker: the state of one destination, and when the next call to it may start.

Consecutive failures open it. After the reset timeout a trial call closes it or restarts the timeout. While it
is closed, a gap paces the calls. Times and durations are microseconds of the owner's clock; those passed in
are whole numbers.
"""

import math
import random

from plumline.breaker.interface import BreakerSettings, TimedCall

FAILURE_THRESHOLD = 3  # consecutive failures; five, as in the paper, take too long at a small destination
RESET_TIMEOUT = 2_000_000  # us from the last failure to the trial; as in the design
GAP_STEP = 100_000  # us, the smallest gap: about the time of one call at a typical destination
RATE_STEP = 0.5  # of the interval between calls at this sender's share of the rate: largest first gap
RATE_MAX = 4  # times that interval: the largest gap; a cold destination takes a fifth, and has its own gap
DEMAND_STEP = 1.25  # of the interval between messages to a destination: first gap of a large fleet's sender
DEMAND_MAX = 6  # times that interval: its largest gap
WAIT_SLACK = 100_000  # us at most, added to a requested wait by a large fleet; calls came up to 80 ms early
GAP_SENDERS = 4  # senders up to which the reset timeout bounds the gap; more senders get less of a limit each
GAP_SHRINK = 0.08  # of the gap, removed by each served call: a refusal may cost the waiting time of ten calls
GAP_CUTOFF = 1 / 8  # of the first gap: a smaller gap is dropped; many rate limits need one above it
FAILURE_SHARE = 0.4  # of recent calls, from which an outage is suspected; far above stray errors
SMOOTHING = 0.125  # weight of the newest call in that share and in the usual time, as for TCP round trips
OVERDUE_DEVIATIONS = 4  # mean deviations above the usual time: the call is overdue, as in TCP's timeout
WARM_UP_PACE = 0.75  # of fall_multiple: a returning destination is paced at that times its warm share
# Of a failure: an error is still an answer, even if unreadable. The paper allows a threshold per kind.
ERROR_WEIGHT = 1 / 3
RATE_MEMORY = 10_000_000  # us for which the usual rate is remembered if no warm-up time is configured
NEVER = math.inf


class Breaker:
    """The paper's breaker, extended by the gap, requested waits and the warm-up after an outage."""

    #: Fields handed to another process; the rest follows from settings, endpoint list and calls in flight.
    KEPT = (
        *("opened", "failures", "trial_at", "gap", "gap_changed", "last_sent", "wait_until", "unserved"),
        *("sick", "cold_since", "doubting", "doubt_began", "errors", "up_at", "cold_before", "shut_at"),
        *("served_sent", "took", "spread", "known", "calls", "span", "last_served"),
        *("asked", "asked_span", "last_asked"),
    )

    def __init__(self, settings: BreakerSettings, rng: random.Random, name: str = "") -> None:
        self.settings, self.rng, self.name = settings, rng, name
        self.opened: int | None = None  # when it opened; only for the operators' notes
        self.failures: float = 0
        self.trial_at = -NEVER
        self.trial: TimedCall | None = None
        self.crowd = max(settings.fleet_size / GAP_SENDERS, 1)
        self.fleet_factor = 1 - 1 / self.crowd  # 0 for a small fleet, near 1 for a very large one
        self.max_gap = RESET_TIMEOUT * self.crowd
        self.initial_gap, self.gap, self.gap_changed = GAP_STEP * self.crowd, 0.0, -NEVER
        # The first messages may be a burst, which does not show the rate: one in 2 s is assumed before them.
        self.asked, self.asked_span, self.last_asked = 1.0, float(RESET_TIMEOUT), NEVER
        self.out, self.last_sent, self.wait_until = 0, -NEVER, 0
        self.unserved, self.sick, self.cold_since = 0, 0.0, -NEVER  # unserved: calls since the last served
        # An outage is suspected from an unserved call until a call shows whether it was one.
        self.doubting, self.doubt_began, self.errors = False, -NEVER, False  # errors: any since
        self.up_at, self.cold_before = -NEVER, -NEVER  # last_served and cold_since at its start
        self.shut_at = -NEVER  # last refusal that started a warm-up
        self.served_sent = -NEVER  # send time of the newest served call
        self.least_aim = min(each.aim for each in settings.classes)
        self.took, self.spread, self.known = self.least_aim / 4, self.least_aim / 8, 1
        self.calls, self.span, self.last_served = 0.1, RESET_TIMEOUT / 20 * self.crowd, NEVER
        self.rate_memory = settings.cold or RATE_MEMORY
        self.rate_gap = NEVER  # between calls at this sender's part of the announced rate

    def set_rate(self, rate: float) -> None:
        """Fits the first and the largest gap to the announced rate; the defaults suit small destinations."""
        self.rate_gap = 1e6 * self.settings.fleet_size / rate
        self.initial_gap = min(GAP_STEP * self.crowd, RATE_STEP * self.rate_gap)
        self.max_gap = min(RESET_TIMEOUT * self.crowd, RATE_MAX * self.rate_gap)

    def count_message(self, now: int, routes: int) -> None:
        """Counts a message for this destination. In a large fleet their interval sets the first and largest
        gap, as this sender's part of a rate limit is of that order. A smaller first gap has no effect, so no
        call is served where refused ones use up the limit; a far larger one takes many calls to shrink."""
        if (elapsed := now - self.last_asked) >= 0:
            decay = math.exp(-elapsed / self.rate_memory)
            self.asked, self.asked_span = self.asked * decay + 1 / routes, self.asked_span * decay + elapsed
        self.last_asked = now
        if self.fleet_factor and self.rate_gap == NEVER:
            interval = self.asked_span / self.asked
            self.initial_gap = GAP_STEP / self.crowd + DEMAND_STEP * interval * self.fleet_factor
            longest = DEMAND_MAX * interval / self.fleet_factor
            self.max_gap = max(RESET_TIMEOUT, min(RESET_TIMEOUT * self.crowd, longest))

    def set_wait(self, until: int) -> None:
        """Rule: waits. Many senders share machines, whose clocks may be ahead of the destination's clock."""
        self.wait_until = max(self.wait_until, until + math.ceil(WAIT_SLACK * self.fleet_factor))

    def ready_at(self, now: int) -> float:
        """When the next call may start; NEVER while the result of a trial is pending."""
        if self.failures >= FAILURE_THRESHOLD:
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.warm_up_gap(now)))

    def state(self, now: int) -> str:
        """For operators: its counts and when the next call may start."""
        values = {
            "gap": max(self.gap, 0.0),
            "cold gap": self.warm_up_gap(now),
            "told wait": max(self.wait_until - now, 0),
            "next call in": max(self.ready_at(now) - now, 0),
        }
        parts = [f"{name} {value / 1e6:.2f} s" for name, value in values.items() if value]
        return ", ".join([f"(failures {self.failures:.1f}", f"out {self.out}", *parts]) + ")"

    def restart_timeout(self, now: int) -> None:
        """Restarts the timeout. In a large fleet a failed trial extends it to about the gap of a cold
        destination, which protects a destination that is down."""
        timeout: float = RESET_TIMEOUT
        if self.trial and self.crowd > 1:
            self.cold_since = now
            timeout = max(timeout, self.warm_up_gap(now) * self.rng.uniform(0.5, 1.5))
        self.trial, self.trial_at = None, now + timeout

    def warm_up_gap(self, now: int) -> float:
        """Rule: a returning destination is not overloaded. The pace follows this sender's usual rate times
        the warm share; a restarted sender has no usual rate, only its part of the announced one."""
        cold = self.settings.cold
        if not cold or (warm := (now - self.cold_since) / cold) >= 1:
            return 0.0
        share = self.settings.cold_from + (1 - self.settings.cold_from) * max(warm, 0.0)
        pace = self.settings.fall_multiple * (WARM_UP_PACE + self.fleet_factor / 4) * share
        return min(min(self.span / self.calls, self.rate_gap) / pace, 2 * self.max_gap)

    def overdue_at(self, call: TimedCall) -> float:
        """When the call will have taken longer than usual for its destination."""
        return call.sent + self.overdue_timeout()

    def overdue_timeout(self) -> float:
        """How long a call may take before it is overdue."""
        return max(self.took + OVERDUE_DEVIATIONS * self.spread, self.least_aim / 4)

    def failed(
        self, now: int, weight: float = 1, run: float = FAILURE_THRESHOLD, error: bool = False
    ) -> None:
        """A call failed. `weight`: in the count that opens the breaker; `run`: number of consecutive unserved
        calls that may be an outage; `error`: it was answered with an error."""
        self.failures += weight
        self.restart_timeout(now)
        self.sick += (1 - self.sick) * SMOOTHING
        self.suspect_outage(now, run, error)

    def refused(self, now: int, call: TimedCall, wait: int) -> None:
        """A call was refused: the destination is full or shut. `wait`: the requested wait in us, or 0."""
        if call is self.trial:
            self.restart_timeout(now)
        if call.sent >= self.gap_changed:  # earlier calls were not paced by the current gap
            self.gap, self.gap_changed = min(max(2 * self.gap, self.initial_gap), self.max_gap), now
            # A large fleet is refused mostly by rate limits; a shut destination mostly asks for a long wait.
            self.suspect_outage(now, max(FAILURE_THRESHOLD / self.crowd, 2), weight=1 / self.crowd)
            if self.cold_since == now:
                self.shut_at = now
            late = self.rng.uniform(0, 2 * self.gap) * self.fleet_factor  # spreads equal waits
            self.wait_until = max(self.wait_until, now) + math.ceil(late)
        if wait >= RESET_TIMEOUT:  # too long for a rate limit: it is shut and will reopen cold
            self.cold_since, self.shut_at = max(self.cold_since, now + wait), now

    def suspect_outage(self, now: int, run: float, error: bool = False, weight: float = 1) -> None:
        """Restarts the warm-up on a suspected outage: consecutive unserved calls, or many recent failures."""
        if not self.doubting:
            self.doubting, self.doubt_began, self.up_at = True, now, self.last_served
            self.cold_before = self.cold_since
            self.errors = False
        self.unserved += weight
        self.errors |= error
        if self.unserved >= run or self.sick >= FAILURE_SHARE:
            self.cold_since = max(self.cold_since, now)  # it may be the future end of a requested wait

    def end_suspicion(self, now: int, call: TimedCall) -> None:
        """Reverts the warm-up if the unserved calls span too short a time for an outage, which lasts far
        longer than the reset timeout. A call sent before the refusals proves nothing, as a shut destination
        serves what it has accepted. Nor does a call after errors: one that fails most calls serves some."""
        if call.sent < self.shut_at and self.cold_since != self.cold_before:
            return
        known_up = [at for at in (self.up_at, call.sent) if at <= self.doubt_began]
        if now - max(known_up, default=-NEVER) < RESET_TIMEOUT and not self.errors:
            self.cold_since = self.cold_before
        elif now - self.doubt_began >= RESET_TIMEOUT and self.unserved >= 1:
            self.cold_since = max(self.cold_since, now)  # may have been an outage, however few calls show it
        self.doubting = False

    def served(self, now: int, call: TimedCall) -> None:
        """A call succeeded: closes the breaker and shrinks the gap."""
        if self.doubting:
            self.end_suspicion(now, call)
        took = now - call.sent
        self.served_sent = max(self.served_sent, call.sent)
        self.known += 1
        weight = max(SMOOTHING, 1 / self.known)  # the initial estimate counts as one call
        self.spread += (abs(took - self.took) - self.spread) * weight
        self.took += (took - self.took) * weight
        elapsed = now - self.last_served
        if self.unserved == 0 and self.warm_up_gap(now) == 0 and elapsed >= 0:
            decay = math.exp(-elapsed / self.rate_memory)
            self.calls, self.span = self.calls * decay + 1, self.span * decay + elapsed
        self.last_served = now
        if self.failures >= FAILURE_THRESHOLD:
            self.gap = max(self.gap, self.initial_gap)
        if call.sent >= self.gap_changed:  # as in refused()
            unrefused = min((now - self.gap_changed) / (2 * RESET_TIMEOUT), 1)
            self.gap *= (1 - GAP_SHRINK) ** (1 + unrefused * (self.crowd - 1) / 2)
            self.gap *= self.gap >= self.initial_gap * GAP_CUTOFF
        self.failures, self.unserved, self.trial = 0, 0, None
        self.sick *= 1 - SMOOTHING
