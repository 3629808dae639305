"""A circuit breaker: what it knows of one destination, and when the next call may go there.

Failures in a row open it, one trial after the reset timeout closes it or restarts the timeout, a gap paces
calls while closed. Times and durations are microseconds of its owner's clock, whole ones where it gives them.
"""

import math
import random

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

    #: What another process goes on from; all else follows from the settings, the list and the calls out.
    KEPT = (
        *("opened", "failures", "trial_at", "gap", "gap_changed", "last_sent", "wait_until", "unserved"),
        *("sick", "cold_since", "doubting", "doubt_began", "errors", "up_at", "cold_before", "shut_at"),
        *("served_sent", "took", "spread", "known", "calls", "span", "last_served"),
        *("asked", "asked_span", "last_asked"),
    )

    def __init__(self, settings: BreakerSettings, chance: random.Random, name: str = "") -> None:
        self.settings, self.chance, self.name = settings, chance, name
        self.opened: int | None = None  # since when it has been open, for the notes alone
        self.failures: float = 0
        self.trial_at = -NEVER
        self.trial: TimedCall | None = None
        self.crowd = max(settings.fleet_size / GAP_SENDERS, 1)
        self.many = 1 - 1 / self.crowd  # 0 for a few senders, near 1 for very many
        self.most_gap = RESET_TIMEOUT * self.crowd
        self.step, self.gap, self.gap_changed = GAP_STEP * self.crowd, 0.0, -NEVER
        # The first messages may be a clump, which tells nothing of the rest: one in 2 s is assumed before.
        self.asked, self.asked_span, self.last_asked = 1.0, float(RESET_TIMEOUT), NEVER
        self.out, self.last_sent, self.wait_until = 0, -NEVER, 0
        self.unserved, self.sick, self.cold_since = 0, 0.0, -NEVER  # unserved: calls since the last served
        # A doubt lasts from a call that was not served to one that shows what that was:
        self.doubting, self.doubt_began, self.errors = False, -NEVER, False  # errors: any are part of it
        self.up_at, self.cold_before = -NEVER, -NEVER  # last_served and cold_since when it began
        self.shut_at = -NEVER  # the last refusal for which a warm-up began
        self.served_sent = -NEVER  # sending of the newest call that was served
        self.least_aim = min(each.aim for each in settings.classes)
        self.took, self.spread, self.known = self.least_aim / 4, self.least_aim / 8, 1
        self.calls, self.span, self.last_served = 0.1, RESET_TIMEOUT / 20 * self.crowd, NEVER
        self.remembered = settings.cold or UNTOLD_COLD
        self.told_gap = NEVER  # between own calls at this sender's part of the rate that the list tells

    def told_rate(self, rate: float) -> None:
        """Guards busy destinations from gaps made for small ones: both ends follow the told rate."""
        self.told_gap = 1e6 * self.settings.fleet_size / rate
        self.step = min(GAP_STEP * self.crowd, TOLD_STEP * self.told_gap)
        self.most_gap = min(RESET_TIMEOUT * self.crowd, TOLD_MOST * self.told_gap)

    def asked_for(self, now: int, routes: int) -> None:
        """A message came for this destination. In a crowd the gap's ends follow from how often this sender's
        do: its part of any limit is of that order. A first gap below that changes nothing, and where refused
        calls use the limit up it then serves nobody; one far above takes many calls to shrink."""
        if (passed := now - self.last_asked) >= 0:
            fade = math.exp(-passed / self.remembered)
            self.asked, self.asked_span = self.asked * fade + 1 / routes, self.asked_span * fade + passed
        self.last_asked = now
        if self.many and self.told_gap == NEVER:
            interval = self.asked_span / self.asked
            self.step = GAP_STEP / self.crowd + ASKED_STEP * interval * self.many
            most = ASKED_MOST * interval / self.many
            self.most_gap = max(RESET_TIMEOUT, min(RESET_TIMEOUT * self.crowd, most))

    def told_wait(self, until: int) -> None:
        """Rule: waits. Many senders share machines, whose time may be ahead of the destination's."""
        self.wait_until = max(self.wait_until, until + math.ceil(WAIT_SLACK * self.many))

    def ready_at(self, now: int) -> float:
        """When the next call may go; NEVER while a trial's result decides it."""
        if self.failures >= FAILURE_THRESHOLD:
            return NEVER if self.trial else max(self.wait_until, self.trial_at)
        return max(self.wait_until, self.last_sent + max(self.gap, self.cold_gap(now)))

    def state(self, now: int) -> str:
        """For people: what it counts and when the next call may go."""
        told = {
            "gap": max(self.gap, 0.0),
            "cold gap": self.cold_gap(now),
            "told wait": max(self.wait_until - now, 0),
            "next call in": max(self.ready_at(now) - now, 0),
        }
        parts = [f"{name} {value / 1e6:.2f} s" for name, value in told.items() if value]
        return ", ".join([f"(failures {self.failures:.1f}", f"out {self.out}", *parts]) + ")"

    def restart(self, now: int) -> None:
        """Guards a destination that is down from a crowd: a failed trial waits out the gap of a cold one."""
        timeout: float = RESET_TIMEOUT
        if self.trial and self.crowd > 1:
            self.cold_since = now
            timeout = max(timeout, self.cold_gap(now) * self.chance.uniform(0.5, 1.5))
        self.trial, self.trial_at = None, now + timeout

    def cold_gap(self, now: int) -> float:
        """Rule: a returning destination is not pushed over. Own usual rate times the share that is warm; a
        sender that was started again knows no usual rate, only its part of the told one."""
        cold = self.settings.cold
        if not cold or (warm := (now - self.cold_since) / cold) >= 1:
            return 0.0
        share = self.settings.cold_from + (1 - self.settings.cold_from) * max(warm, 0.0)
        push = self.settings.fall_multiple * (COLD_PUSH + self.many / 4) * share
        return min(min(self.span / self.calls, self.told_gap) / push, 2 * self.most_gap)

    def overdue_at(self, call: TimedCall) -> float:
        """When the call has taken longer than its destination usually does."""
        return call.sent + self.patience()

    def patience(self) -> float:
        """How long a call may take before it is overdue."""
        return max(self.took + OVERDUE_SPREADS * self.spread, self.least_aim / 4)

    def failed(
        self, now: int, weight: float = 1, run: float = FAILURE_THRESHOLD, error: bool = False
    ) -> None:
        """A call failed. `weight`: in the count that opens the breaker; `run`: how many unserved calls in a
        row may be an outage; `error`: it was answered, though wrongly."""
        self.failures += weight
        self.restart(now)
        self.sick += (1 - self.sick) * MEMORY
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
                self.shut_at = now
            late = self.chance.uniform(0, 2 * self.gap) * self.many  # told alike, back apart
            self.wait_until = max(self.wait_until, now) + math.ceil(late)
        if wait >= RESET_TIMEOUT:  # no limit tells so long a wait: it is shut, and opens cold
            self.cold_since, self.shut_at = max(self.cold_since, now + wait), now

    def doubt(self, now: int, run: float, error: bool = False, weight: float = 1) -> None:
        """What may be an outage restarts the warm-up: a run of unserved calls, or many failures of late."""
        if not self.doubting:
            self.doubting, self.doubt_began, self.up_at = True, now, self.last_served
            self.cold_before = self.cold_since
            self.errors = False
        self.unserved += weight
        self.errors |= error
        if self.unserved >= run or self.sick >= SICK_SHARE:
            self.cold_since = max(self.cold_since, now)  # it may be the end of a told wait that is to come

    def end_doubt(self, now: int, call: TimedCall) -> None:
        """Takes the warm-up back if the calls that were not served fit into no outage, as those last far
        longer than the reset timeout. A call sent before the refusals shows nothing: what is shut serves what
        it has. Nor does any where there were errors: what fails most calls serves some all the while."""
        if call.sent < self.shut_at and self.cold_since != self.cold_before:
            return
        known_up = [at for at in (self.up_at, call.sent) if at <= self.doubt_began]
        if now - max(known_up, default=-NEVER) < RESET_TIMEOUT and not self.errors:
            self.cold_since = self.cold_before
        elif now - self.doubt_began >= RESET_TIMEOUT and self.unserved >= 1:
            self.cold_since = max(self.cold_since, now)  # it may have been one, however few calls show it
        self.doubting = False

    def served(self, now: int, call: TimedCall) -> None:
        """A call was answered well: closes the breaker, and lets go of the gap."""
        if self.doubting:
            self.end_doubt(now, call)
        took = now - call.sent
        self.served_sent = max(self.served_sent, call.sent)
        self.known += 1
        weight = max(MEMORY, 1 / self.known)  # the first guess counts as one call
        self.spread += (abs(took - self.took) - self.spread) * weight
        self.took += (took - self.took) * weight
        passed = now - self.last_served
        if self.unserved == 0 and self.cold_gap(now) == 0 and passed >= 0:
            fade = math.exp(-passed / self.remembered)
            self.calls, self.span = self.calls * fade + 1, self.span * fade + passed
        self.last_served = now
        if self.failures >= FAILURE_THRESHOLD:
            self.gap = max(self.gap, self.step)
        if call.sent >= self.gap_changed:  # as with refusals: calls sent before it grew say nothing of it
            calm = min((now - self.gap_changed) / (2 * RESET_TIMEOUT), 1)
            self.gap *= (1 - GAP_SHRINK) ** (1 + calm * (self.crowd - 1) / 2)
            self.gap *= self.gap >= self.step * GAP_LET_GO
        self.failures, self.unserved, self.trial = 0, 0, None
        self.sick *= 1 - MEMORY
