"""One router's share of the fleet's retry budget, for each service.

The rule: in every window of `window_s` the retries of all routers together are at most ratio x requests +
slack, where the requests are those of that window, of the one before or of the one half a window earlier,
whichever holds the most. Two kinds of allowance keep it without a message between routers:

- Each request of this router earns RATIO_FRACTION x ratio retries, to be spent within less than half a
  window. The retries of a window [s, s+w] then come from requests in [s-w/2, s+w]: at most two of the rule's
  windows ([s-w/2, s+w/2] and [s, s+w]), so that with at most half of the ratio they fit into the fuller
  one, however requests wander between routers.
- Of the slack each router spends an equal share in any window. The number of routers is the largest that was
  reported within the last window (one that has just died may have spent its share), with ROUTER_MARGIN for
  those not known yet. A router that has just started counts its share as spent by its previous life.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

BUCKET_S = 0.5  # width of the buckets in which requests and retries are counted
RATIO_FRACTION = 0.48  # of the ratio; half would keep the rule, the rest is a reserve
SLACK_FRACTION = 0.8  # of the slack
ROUTER_MARGIN = 2  # routers that may live without being known yet
#: Earned retries expire after the first of these parts of a window, and the slack's share is for the second:
#: both leave a tenth of the window for the way between client, router and endpoint.
EARNED_WINDOW_FRACTION = 0.4
SLACK_WINDOW_FRACTION = 1.1


@dataclass(slots=True)
class _Earned:
    """What the requests of one bucket allow."""

    bucket: int  # number of the bucket: time / BUCKET_S
    remaining: float  # retries that are not spent


@dataclass(slots=True)
class _SlackSpent:
    """What was spent of the slack in one bucket."""

    bucket: int
    retries: int


@dataclass(slots=True)
class _RouterCount:
    """How many routers were reported alive."""

    last_bucket: int  # the last one in which it was so
    routers: int


@dataclass(slots=True)
class _ServiceState:
    """What is left and what is spent for one service; both queues oldest first."""

    earned: deque[_Earned] = field(default_factory=deque)
    earned_sum: float = 0.0  # over `earned`, but for rounding
    slack_spent: deque[_SlackSpent] = field(default_factory=deque)
    slack_spent_sum: int = 0


class RetryBudget:
    """The allowance of one router. Times are seconds on the steady clock, and must not fall."""

    def __init__(
        self, ratio: float, window_s: float, slack: float, now: float, *, fresh_system: bool = False
    ) -> None:
        """`ratio` and `slack` as in the rule. `fresh_system`: no router can have lived before this one, so
        that its share of the slack may be spent at once."""
        self._earned_per_request = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._earned_buckets = floor(EARNED_WINDOW_FRACTION * window_s / BUCKET_S)
        self._slack_buckets = floor(SLACK_WINDOW_FRACTION * window_s / BUCKET_S) + 1
        self._slack_from = now if fresh_system else now + SLACK_WINDOW_FRACTION * window_s
        self._services: dict[str, _ServiceState] = {}
        self._router_counts: deque[_RouterCount] = deque()  # of the last window, the largest first

    def record_request(self, now: float, service: str) -> None:
        """Counts a request of a client for the service; a retry of this router is none."""
        state = self._services.get(service) or self._add_service(service)
        bucket = floor(now / BUCKET_S)
        if state.earned and state.earned[-1].bucket == bucket:
            state.earned[-1].remaining += self._earned_per_request
        else:
            self._expire(state, bucket)
            state.earned.append(_Earned(bucket, self._earned_per_request))
        state.earned_sum += self._earned_per_request

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        """Spends one retry if there is an allowance for it; whether there was.

        `routers`: how many are alive in the fleet as far as known, this one included.
        """
        bucket = floor(now / BUCKET_S)
        self._record_router_count(bucket, routers)
        state = self._services.get(service) or self._add_service(service)
        self._expire(state, bucket)
        if state.earned_sum >= 1.0 and self._spend_earned(state):
            return True
        return self._spend_slack(now, state, bucket)

    def _add_service(self, service: str) -> _ServiceState:
        state = self._services[service] = _ServiceState()
        return state

    def _record_router_count(self, bucket: int, routers: int) -> None:
        counts = self._router_counts
        if counts:
            counts[-1].last_bucket = bucket  # it may have been so until just now
        while counts and counts[-1].routers <= routers:
            counts.pop()
        counts.append(_RouterCount(bucket, routers))
        while counts[0].last_bucket < bucket - self._slack_buckets:
            counts.popleft()

    def _expire(self, state: _ServiceState, bucket: int) -> None:
        while state.earned and state.earned[0].bucket < bucket - self._earned_buckets + 1:
            state.earned_sum -= state.earned.popleft().remaining
        if not state.earned:
            state.earned_sum = 0.0  # so that no rounding error is carried on
        while state.slack_spent and state.slack_spent[0].bucket < bucket - self._slack_buckets:
            state.slack_spent_sum -= state.slack_spent.popleft().retries

    def _spend_earned(self, state: _ServiceState) -> bool:
        """Takes one retry out of what was earned, oldest first; False if only rounding made up the sum."""
        if sum(each.remaining for each in state.earned) < 1.0:
            return False
        missing = 1.0
        while missing > 0.0 and state.earned:
            oldest = state.earned[0]
            part = min(missing, oldest.remaining)
            oldest.remaining -= part
            missing -= part
            state.earned_sum -= part
            if oldest.remaining <= 0.0:
                state.earned.popleft()
        return True

    def _spend_slack(self, now: float, state: _ServiceState, bucket: int) -> bool:
        share = self._slack / (self._router_counts[0].routers + ROUTER_MARGIN)
        if now < self._slack_from or state.slack_spent_sum + 1 > share:
            return False
        if state.slack_spent and state.slack_spent[-1].bucket == bucket:
            state.slack_spent[-1].retries += 1
        else:
            state.slack_spent.append(_SlackSpent(bucket, 1))
        state.slack_spent_sum += 1
        return True
