"""A circuit breaker: what it knows of one destination, and when the next call may go there.

Failures in a row open it, one trial after the reset timeout closes it or restarts the timeout, a gap paces
calls while closed. Times and durations are microseconds of its owner's clock, whole ones where it gives them.
"""

import math
from collections.abc import Mapping
from random import Random
from typing import Any, ClassVar

from plumline.breaker.interface import BreakerSettings, TimedCall

FAILURE_THRESHOLD = 3  # failures in a row; a small destination would take too long to show the paper's five
RESET_TIMEOUT = 2_000_000  # us from the last failure to the trial; the design page's figure
GAP_STEP = 100_000  # us, the smallest gap: about one call's time at a destination of usual pace
TOLD_STEP = 0.5  # of the time between calls at this sender's part of the told rate: the step at the most
TOLD_MOST = 4  # times that: the gap at the most; a cold destination takes a fifth, and has its own gap
ASKED_STEP = 1.25  # of the time between a crowd's messages to a destination: its first gap there
ASKED_MOST = 6  # times that: its longest
WAIT_SLACK = 100_000  # us, at the most, that a crowd adds to a told wait; calls up to 80 ms early were seen
GAP_SENDERS = 4  # senders up to which the gap ends at the reset timeout; more share a limit more thinly
GAP_SHRINK = 0.08  # share of the gap that a served call takes off: a refusal may cost a wait of ten calls
GAP_LET_GO = 1 / 8  # of the smallest step: a gap below that is none; above it many limits lie
SICK_SHARE = 0.4  # recent failures among calls from which a destination is doubtful: far above stray errors
MEMORY = 0.125  # weight of the newest call in that share and in the usual time; as TCP smooths round trips
OVERDUE_SPREADS = 4  # mean deviations above the usual time from which a call is overdue; TCP's time-out rule
COLD_PUSH = 0.75  # of fall_multiple: a returning destination is paced at that times its warm share
# Of a failure: an error is an answer, also a spoilt one; the paper allows a threshold for each kind.
ERROR_WEIGHT = 1 / 3
UNTOLD_COLD = 10_000_000  # us: where no destination is cold, how long the usual rate is remembered
NEVER = math.inf


class Breaker:
    """The paper's breaker, with the gap, told waits and the warm-up after an outage."""

    #: What another process goes on from, by its name in the state that is handed over: names there stay.
    #: All else follows from the settings, the list and the calls in flight.
    STORED_FIELDS: ClassVar[dict[str, str]] = {
        "opened": "opened",
        "failures": "failures",
        "trial_at": "trial_at",
        "gap": "gap",
        "gap_changed": "gap_changed",
        "last_sent": "last_sent",
        "wait_until": "wait_until",
        "unserved": "unserved_run",
        "sick": "failure_share",
        "cold_since": "cold_since",
        "doubting": "outage_suspected",
        "doubt_began": "suspected_since",
        "errors": "errors_in_suspicion",
        "up_at": "served_before_suspicion",
        "cold_before": "cold_since_before_suspicion",
        "shut_at": "last_shut_refusal",
        "served_sent": "newest_served_sent",
        "took": "mean_duration",
        "spread": "duration_deviation",
        "known": "duration_samples",
        "calls": "served_count",
        "span": "served_span",
        "last_served": "last_served",
        "asked": "request_count",
        "asked_span": "request_span",
        "last_asked": "last_request_at",
    }

    def __init__(self, settings: BreakerSettings, random: Random, name: str = "") -> None:
        """`random` spreads the retries of many senders; `name` is for the log alone."""
        self.settings, self.random, self.name = settings, random, name
        self.crowd = max(settings.fleet_size / GAP_SENDERS, 1)
        self.contention = 1 - 1 / self.crowd  # 0 for a few senders, near 1 for very many
        self.rate_memory = settings.cold or UNTOLD_COLD  # us
        self.out = 0  # calls in flight

        # The state of the breaker. It is open while `failures` is at the threshold.
        self.opened: int | None = None  # since when it has been open, for the log alone
        self.failures: float = 0
        self.trial_at = -NEVER
        self.trial: TimedCall | None = None
        self.wait_until = 0  # until when the destination told to wait

        # The gap between calls after refusals, and its bounds.
        self.step = GAP_STEP * self.crowd
        self.most_gap = RESET_TIMEOUT * self.crowd
        self.gap, self.gap_changed = 0.0, -NEVER
        self.last_sent = -NEVER
        self.advertised_gap = NEVER  # between own calls at this sender's part of the rate that the list tells

        # How often messages come for the destination, fading.
        # The first messages may be a clump, which tells nothing of the rest: one in 2 s is assumed before.
        self.request_count, self.request_span = 1.0, float(RESET_TIMEOUT)
        self.last_request_at = NEVER

        # A suspicion of an outage lasts from a call that was not served to one that shows what that was.
        self.unserved_run = 0  # calls since the last that was served, refused ones weighted
        self.failure_share = 0.0  # of recent calls
        self.cold_since = -NEVER  # when the latest warm-up began or begins
        self.outage_suspected, self.suspected_since = False, -NEVER
        self.errors_in_suspicion = False  # whether any answer was an error
        self.served_before_suspicion = -NEVER  # `last_served` when it began
        self.cold_since_before_suspicion = -NEVER  # `cold_since` when it began
        self.last_shut_refusal = -NEVER  # the last refusal for which a warm-up began
        self.newest_served_sent = -NEVER  # sending of the newest call that was served

        # How long served calls take, and how often they are served, both fading.
        self.least_target = min(each.aim for each in settings.classes)
        self.mean_duration = self.least_target / 4
        self.duration_deviation = self.least_target / 8
        self.duration_samples = 1
        self.served_count, self.served_span = 0.1, RESET_TIMEOUT / 20 * self.crowd
        self.last_served = NEVER

    def stored_state(self) -> dict[str, Any]:
        """What another process goes on from: numbers, booleans and None, for JSON."""
        return {stored: getattr(self, field) for stored, field in self.STORED_FIELDS.items()}

    def restore_state(self, state: Mapping[str, Any]) -> None:
        """Take over the state of another process. What an earlier release did not store stays as it is."""
        for stored, field in self.STORED_FIELDS.items():
            if stored in state:
                setattr(self, field, state[stored])

    def told_rate(self, rate: float) -> None:
        """Guards busy destinations from gaps made for small ones: both ends follow the told rate."""
        self.advertised_gap = 1e6 * self.settings.fleet_size / rate
        self.step = min(GAP_STEP * self.crowd, TOLD_STEP * self.advertised_gap)
        self.most_gap = min(RESET_TIMEOUT * self.crowd, TOLD_MOST * self.advertised_gap)

    def asked_for(self, now: int, routes: int) -> None:
        """A message came for this destination. In a crowd the gap's ends follow from how often this sender's
        do: its part of any limit is of that order. A first gap below that changes nothing, and where refused
        calls use the limit up it then serves nobody; one far above takes many calls to shrink."""
        if (passed := now - self.last_request_at) >= 0:
            fade = math.exp(-passed / self.rate_memory)
            self.request_count = self.request_count * fade + 1 / routes
            self.request_span = self.request_span * fade + passed
        self.last_request_at = now
        if self.contention and self.advertised_gap == NEVER:
            interval = self.request_span / self.request_count
            self.step = GAP_STEP / self.crowd + ASKED_STEP * interval * self.contention
            most = ASKED_MOST * interval / self.contention
            self.most_gap = max(RESET_TIMEOUT, min(RESET_TIMEOUT * self.crowd, most))

    def told_wait(self, until: int) -> None:
        """Rule: waits. Many senders share machines, whose time may be ahead of the destination's."""
        self.wait_until = max(self.wait_until, until + math.ceil(WAIT_SLACK * self.contention))

    def ready_at(self, now: int) -> float:
        """When the next call may go; NEVER while a trial's result decides it."""
        if self.failures >= FAILURE_THRESHOLD:
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.cold_gap(now)))

    def state(self, now: int) -> str:
        """For people: what it counts and when the next call may go."""
        waits = {
            "gap": max(self.gap, 0.0),
            "cold gap": self.cold_gap(now),
            "told wait": max(self.wait_until - now, 0),
            "next call in": max(self.ready_at(now) - now, 0),
        }
        parts = [f"{name} {value / 1e6:.2f} s" for name, value in waits.items() if value]
        return ", ".join([f"(failures {self.failures:.1f}", f"out {self.out}", *parts]) + ")"

    def restart(self, now: int) -> None:
        """Guards a destination that is down from a crowd: a failed trial waits out the gap of a cold one."""
        timeout: float = RESET_TIMEOUT
        if self.trial and self.crowd > 1:
            self.cold_since = now
            timeout = max(timeout, self.cold_gap(now) * self.random.uniform(0.5, 1.5))
        self.trial, self.trial_at = None, now + timeout

    def cold_gap(self, now: int) -> float:
        """Rule: a returning destination is not pushed over. Own usual rate times the share that is warm; a
        sender that was started again knows no usual rate, only its part of the told one."""
        cold = self.settings.cold
        if not cold or (warm := (now - self.cold_since) / cold) >= 1:
            return 0.0
        share = self.settings.cold_from + (1 - self.settings.cold_from) * max(warm, 0.0)
        push = self.settings.fall_multiple * (COLD_PUSH + self.contention / 4) * share
        return min(min(self.served_span / self.served_count, self.advertised_gap) / push, 2 * self.most_gap)

    def overdue_at(self, call: TimedCall) -> float:
        """When the call has taken longer than its destination usually does."""
        return call.sent + self.patience()

    def patience(self) -> float:
        """How long a call may take before it is overdue."""
        return max(self.mean_duration + OVERDUE_SPREADS * self.duration_deviation, self.least_target / 4)

    def failed(
        self, now: int, weight: float = 1, run: float = FAILURE_THRESHOLD, error: bool = False
    ) -> None:
        """A call failed. `weight`: in the count that opens the breaker; `run`: how many unserved calls in a
        row may be an outage; `error`: it was answered, though wrongly."""
        self.failures += weight
        self.restart(now)
        self.failure_share += (1 - self.failure_share) * MEMORY
        self.doubt(now, run, error)

    def refused(self, now: int, call: TimedCall, wait: int) -> None:
        """A call was refused as the destination is full or shut; `wait`: us that it told, or 0."""
        if call is self.trial:
            self.restart(now)
        if call.sent >= self.gap_changed:  # calls sent before the gap last grew say nothing of it
            self.gap, self.gap_changed = min(max(2 * self.gap, self.step), self.most_gap), now
            # Many senders meet a limit far more often than something shut, which mostly tells a long wait.
            self.doubt(now, max(FAILURE_THRESHOLD / self.crowd, 2), weight=1 / self.crowd)
            if self.cold_since == now:
                self.last_shut_refusal = now
            late = self.random.uniform(0, 2 * self.gap) * self.contention  # told alike, back apart
            self.wait_until = max(self.wait_until, now) + math.ceil(late)
        if wait >= RESET_TIMEOUT:  # no limit tells so long a wait: it is shut, and opens cold
            self.cold_since, self.last_shut_refusal = max(self.cold_since, now + wait), now

    def doubt(self, now: int, run: float, error: bool = False, weight: float = 1) -> None:
        """What may be an outage restarts the warm-up: a run of unserved calls, or many failures of late."""
        if not self.outage_suspected:
            self.outage_suspected, self.suspected_since = True, now
            self.served_before_suspicion = self.last_served
            self.cold_since_before_suspicion = self.cold_since
            self.errors_in_suspicion = False
        self.unserved_run += weight
        self.errors_in_suspicion |= error
        if self.unserved_run >= run or self.failure_share >= SICK_SHARE:
            self.cold_since = max(self.cold_since, now)  # it may be the end of a told wait that is to come

    def end_doubt(self, now: int, call: TimedCall) -> None:
        """Takes the warm-up back if the calls that were not served fit into no outage, as those last far
        longer than the reset timeout. A call sent before the refusals shows nothing: what is shut serves what
        it has. Nor does any where there were errors: what fails most calls serves some all the while."""
        if call.sent < self.last_shut_refusal and self.cold_since != self.cold_since_before_suspicion:
            return
        served_at = (self.served_before_suspicion, call.sent)
        known_up = [moment for moment in served_at if moment <= self.suspected_since]
        if now - max(known_up, default=-NEVER) < RESET_TIMEOUT and not self.errors_in_suspicion:
            self.cold_since = self.cold_since_before_suspicion
        elif now - self.suspected_since >= RESET_TIMEOUT and self.unserved_run >= 1:
            self.cold_since = max(self.cold_since, now)  # it may have been one, however few calls show it
        self.outage_suspected = False

    def served(self, now: int, call: TimedCall) -> None:
        """A call was answered well: closes the breaker, and lets go of the gap."""
        if self.outage_suspected:
            self.end_doubt(now, call)
        duration = now - call.sent
        self.newest_served_sent = max(self.newest_served_sent, call.sent)
        self.duration_samples += 1
        weight = max(MEMORY, 1 / self.duration_samples)  # the first guess counts as one call
        self.duration_deviation += (abs(duration - self.mean_duration) - self.duration_deviation) * weight
        self.mean_duration += (duration - self.mean_duration) * weight
        passed = now - self.last_served
        if self.unserved_run == 0 and self.cold_gap(now) == 0 and passed >= 0:
            fade = math.exp(-passed / self.rate_memory)
            self.served_count = self.served_count * fade + 1
            self.served_span = self.served_span * fade + passed
        self.last_served = now
        if self.failures >= FAILURE_THRESHOLD:
            self.gap = max(self.gap, self.step)
        if call.sent >= self.gap_changed:  # as with refusals: calls sent before it grew say nothing of it
            calm = min((now - self.gap_changed) / (2 * RESET_TIMEOUT), 1)
            self.gap *= (1 - GAP_SHRINK) ** (1 + calm * (self.crowd - 1) / 2)
            self.gap *= self.gap >= self.step * GAP_LET_GO
        self.failures, self.unserved_run, self.trial = 0, 0, None
        self.failure_share *= 1 - MEMORY
