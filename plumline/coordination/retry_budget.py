"""One router's share of the fleet's retry budget, for each service.

The limit: in every window of `window_s` the retries of all routers together are at most ratio x requests +
slack. The requests are those of that window, of the window before it or of the window that starts half a
window earlier, whichever has the most. Two kinds of allowance enforce it without messages between routers:

- Each request of this router earns RATIO_FRACTION x ratio retries, which expire in less than half a window.
  The retries of a window [s, s+w] are then earned by requests in [s-w/2, s+w]. Two of the limit's windows
  ([s-w/2, s+w/2] and [s, s+w]) cover these, so with at most half of the ratio the retries fit the window with
  more requests, however the requests shift between routers.
- Each router may spend an equal share of the slack in any window. The number of routers is the largest that
  was reported within the last window (a router that has just failed may have spent its share), plus
  ROUTER_MARGIN for those not yet known. A router that has just started assumes that its previous process
  spent the share.
"""

from collections import deque
from dataclasses import dataclass, field
from math import floor

BUCKET_S = 0.5  # width of the buckets in which requests and retries are counted
RATIO_FRACTION = 0.48  # of the ratio; up to half keeps the limit, the difference is a reserve
SLACK_FRACTION = 0.8  # of the slack that is shared out between the routers
ROUTER_MARGIN = 2  # routers that may be running but are not known yet
#: Fractions of the window: earned retries expire after the first, and a share of the slack limits any period
#: of the second. Both leave a tenth of the window for delays between client, router and endpoint.
EARNED_WINDOW_FRACTION = 0.4
SLACK_WINDOW_FRACTION = 1.1


@dataclass(slots=True)
class _Earned:
    """Retries earned by the requests of one bucket."""

    bucket: int  # floor(time / BUCKET_S)
    remaining: float  # retries not yet spent


@dataclass(slots=True)
class _SlackSpent:
    """Retries that were spent from the slack in one bucket."""

    bucket: int
    retries: int


@dataclass(slots=True)
class _RouterCount:
    """A number of routers that was reported alive."""

    last_bucket: int  # last bucket in which this number was current
    routers: int


@dataclass(slots=True)
class _ServiceState:
    """The remaining and the spent allowances of one service; both queues oldest first."""

    earned: deque[_Earned] = field(default_factory=deque)
    earned_sum: float = 0.0  # of `remaining` over `earned`, except for rounding errors
    slack_spent: deque[_SlackSpent] = field(default_factory=deque)
    slack_spent_sum: int = 0


class RetryBudget:
    """The retry allowance of one router. Times are seconds of the monotonic clock and must not decrease."""

    def __init__(
        self, ratio: float, window_s: float, slack: float, now: float, *, fresh_system: bool = False
    ) -> None:
        """`ratio` and `slack` are those of the limit. `fresh_system`: no router can have run before this one,
        so its share of the slack is available at once."""
        self._earned_per_request = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._earned_buckets = floor(EARNED_WINDOW_FRACTION * window_s / BUCKET_S)
        self._slack_buckets = floor(SLACK_WINDOW_FRACTION * window_s / BUCKET_S) + 1
        self._slack_from = now if fresh_system else now + SLACK_WINDOW_FRACTION * window_s
        self._services: dict[str, _ServiceState] = {}
        self._router_counts: deque[_RouterCount] = deque()  # of the last window, largest first

    def record_request(self, now: float, service: str) -> None:
        """Count a client's request for the service. Retries by this router must not be counted."""
        state = self._services.get(service) or self._add_service(service)
        bucket = floor(now / BUCKET_S)
        if state.earned and state.earned[-1].bucket == bucket:
            state.earned[-1].remaining += self._earned_per_request
        else:
            self._expire(state, bucket)
            state.earned.append(_Earned(bucket, self._earned_per_request))
        state.earned_sum += self._earned_per_request

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        """Spend one retry if the allowance suffices; return whether it did.

        `routers`: the number of routers in the fleet known to be alive, including this one.
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
            counts[-1].last_bucket = bucket  # it may have been current until now
        while counts and counts[-1].routers <= routers:
            counts.pop()
        counts.append(_RouterCount(bucket, routers))
        while counts[0].last_bucket < bucket - self._slack_buckets:
            counts.popleft()

    def _expire(self, state: _ServiceState, bucket: int) -> None:
        while state.earned and state.earned[0].bucket < bucket - self._earned_buckets + 1:
            state.earned_sum -= state.earned.popleft().remaining
        if not state.earned:
            state.earned_sum = 0.0  # so that rounding errors do not accumulate
        while state.slack_spent and state.slack_spent[0].bucket < bucket - self._slack_buckets:
            state.slack_spent_sum -= state.slack_spent.popleft().retries

    def _spend_earned(self, state: _ServiceState) -> bool:
        """Take one earned retry, oldest first; False if only rounding errors raised the sum to 1."""
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
