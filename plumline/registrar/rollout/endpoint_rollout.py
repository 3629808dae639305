"""Where one endpoint stands on its way to another version, and the changes between its phases."""

from dataclasses import dataclass
from enum import StrEnum

from plumline.registrar.rollout.versions import VersionUpdate

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.4, 4.0
TIMER_TOLERANCE_S = 0.01  # timers and the loop's looks may differ by this


class RolloutPhase(StrEnum):
    """What the roll-out of one endpoint waits for."""

    CHECKING = "checking"  # a report has to tell what the endpoint does
    ANNOUNCED = "announced"  # until routers send elsewhere; then the order goes out
    ORDERED = "ordered"  # a report that shows the ordered version, or that the order was lost
    BACKING_OFF = "backing-off"  # another attempt; the endpoint serves in the meantime


@dataclass(slots=True)
class EndpointRollout:
    """The roll-out of one endpoint. All times are steady s."""

    phase: RolloutPhase
    next_step_at: float  # there is no step before
    started_at: float
    last_report_at: float  # or since when one is missing
    updating: bool  # published: routers send elsewhere
    target: VersionUpdate | None = None  # of the last order of this holder
    ordered_at: float = 0.0  # 0: no order yet
    attempts: int = 0  # in a row without an answer or effect
    unresponsive: bool = False  # the last call had no answer
    call_in_flight: bool = False
    expected_count: int | None = None  # `CallSequence` of the newest report since the last order

    def is_due(self, now: float) -> bool:
        """Whether the time of the next step has come."""
        return now >= self.next_step_at - TIMER_TOLERANCE_S

    def announce(self, now: float, delay_s: float = 0.0) -> None:
        """The next order goes out after `delay_s`."""
        self.phase = RolloutPhase.ANNOUNCED
        self.next_step_at = now + delay_s

    def await_report(self, now: float, delay_s: float) -> None:
        """An order is in progress; the first report is fetched after `delay_s`."""
        self.phase = RolloutPhase.ORDERED
        self.ordered_at = now
        self.next_step_at = now + delay_s

    def back_off(self, now: float) -> None:
        """The endpoint serves on as it is until the next attempt."""
        self.attempts += 1
        self.phase = RolloutPhase.BACKING_OFF
        self.updating = False
        self.next_step_at = now + backoff_s(self.attempts)

    def restart(self, now: float) -> None:
        """Goes on with another update at once, without an announcement: routers send elsewhere already."""
        self.announce(now)
        self.started_at = now
        self.last_report_at = now
        self.attempts = 0


def backoff_s(attempts: int) -> float:
    """Time (s) to wait after so many attempts in a row without effect."""
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts - 1, 8))
