"""One router's share of the fleet's allowance of repeats, for each service.

The rule: in every window of `window_s` the repeats of all routers together are at most ratio x requests +
slack, where the requests are those of that window, of the one before or of the one half a window earlier,
whichever holds the most. Two kinds of allowance keep it without a word between routers:

- Each request of this router allows PART_OF_RATIO x ratio repeats, each once, for less than half a window.
  The repeats of a window [s, s+w] then come from requests in [s-w/2, s+w]: at most two of the rule's
  windows ([s-w/2, s+w/2] and [s, s+w]), so that with at most half of the ratio they fit into the fuller
  one, however requests wander between routers.
- Of the slack each router spends an equal part in any window. The number of routers is the largest told
  within the last window (one that has just died may have spent its part), with MARGIN for those not known
  yet. A router just started takes its part as spent by the life before it.
"""

from collections import deque
from math import floor

BUCKET_S = 0.5
PART_OF_RATIO = 0.48
PART_OF_SLACK = 0.8
MARGIN = 2


class _Service:
    __slots__ = ("earned", "spent", "spent_sum", "sum")

    def __init__(self) -> None:
        self.earned: deque[list[float]] = deque()  # [bucket number, allowance left], oldest first
        self.sum = 0.0
        self.spent: deque[list[int]] = deque()  # [bucket number, repeats out of the slack]
        self.spent_sum = 0


class RetryBudget:
    """`ratio` and `slack` as in the rule, `window_s` seconds. Times are seconds on the steady clock."""

    def __init__(
        self, ratio: float, window_s: float, slack: float, now: float, *, fresh_system: bool = False
    ) -> None:
        """`fresh_system`: no router can have lived before this one, so the slack is open at once."""
        self._each = ratio * PART_OF_RATIO
        self._slack = slack * PART_OF_SLACK
        # Both ends leave a tenth of the window for the way between client, router and endpoint.
        self._earned_buckets = floor(0.4 * window_s / BUCKET_S)
        self._spent_buckets = floor(1.1 * window_s / BUCKET_S) + 1
        self._slack_opens = now if fresh_system else now + 1.1 * window_s
        self._services: dict[str, _Service] = {}
        self._counts: deque[list[int]] = deque()  # [last bucket in force, routers], counts falling

    def request(self, now: float, service: str) -> None:
        """A client's request for the service has come in (not a repeat of this router's own)."""
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        bucket = floor(now / BUCKET_S)
        if state.earned and state.earned[-1][0] == bucket:
            state.earned[-1][1] += self._each
        else:
            self._expire(state, bucket)
            state.earned.append([bucket, self._each])
        state.sum += self._each

    def may_repeat(self, now: float, service: str, routers: int) -> bool:
        """Whether one more arrival past the first may be sent now; if so, it is taken. `routers`: alive in
        the fleet, this one included, as far as known."""
        bucket = floor(now / BUCKET_S)
        self._note_routers(bucket, routers)
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        self._expire(state, bucket)
        if state.sum >= 1.0 and self._take(state):
            return True
        if now < self._slack_opens or state.spent_sum + 1 > self._slack / (self._counts[0][1] + MARGIN):
            return False
        if state.spent and state.spent[-1][0] == bucket:
            state.spent[-1][1] += 1
        else:
            state.spent.append([bucket, 1])
        state.spent_sum += 1
        return True

    def _note_routers(self, bucket: int, routers: int) -> None:
        counts = self._counts
        if counts:
            counts[-1][0] = bucket  # it may have held until just now
        while counts and counts[-1][1] <= routers:
            counts.pop()
        counts.append([bucket, routers])
        while counts[0][0] < bucket - self._spent_buckets:
            counts.popleft()

    def _expire(self, state: _Service, bucket: int) -> None:
        while state.earned and state.earned[0][0] < bucket - self._earned_buckets + 1:
            state.sum -= state.earned.popleft()[1]
        if not state.earned:
            state.sum = 0.0  # no rounding is carried on
        while state.spent and state.spent[0][0] < bucket - self._spent_buckets:
            state.spent_sum -= state.spent.popleft()[1]

    def _take(self, state: _Service) -> bool:
        """One whole repeat out of what is earned, oldest first; False if rounding had made up the sum."""
        if sum(left for _, left in state.earned) < 1.0:
            return False
        need = 1.0
        while need > 0.0 and state.earned:
            oldest = state.earned[0]
            part = min(need, oldest[1])
            oldest[1] -= part
            need -= part
            state.sum -= part
            if oldest[1] <= 0.0:
                state.earned.popleft()
        return True
