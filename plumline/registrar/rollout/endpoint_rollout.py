"""State of the roll-out of one endpoint, and the transitions between its phases."""

from dataclasses import dataclass
from enum import StrEnum

from plumline.registrar.rollout.versions import VersionUpdate

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.4, 4.0
TIMER_TOLERANCE_S = 0.01  # how much before its time a step may run, as timers may fire early


class RolloutPhase(StrEnum):
    """Phase of the roll-out of one endpoint, by what it waits for."""

    CHECKING = "checking"  # a report that shows whether an order is in progress
    ANNOUNCED = "announced"  # the routers to send elsewhere; the order is sent after that
    ORDERED = "ordered"  # a report that shows the ordered version, or that the order was lost
    BACKING_OFF = "backing-off"  # the next attempt; the endpoint serves in the meantime


@dataclass(slots=True)
class EndpointRollout:
    """The roll-out of one endpoint. All times are steady s."""

    phase: RolloutPhase
    next_step_at: float  # earliest time of the next step
    started_at: float
    last_report_at: float  # or the time since which one is awaited
    updating: bool  # as published: routers send elsewhere
    target: VersionUpdate | None = None  # of the last order by this lease holder
    ordered_at: float = 0.0  # 0: no order yet
    attempts: int = 0  # consecutive ones without a response or effect
    unresponsive: bool = False  # the last call had no response
    call_in_flight: bool = False
    expected_count: int | None = None  # `CallSequence` of the newest report since the last order

    def is_due(self, now: float) -> bool:
        """Whether the time of the next step has come."""
        return now >= self.next_step_at - TIMER_TOLERANCE_S

    def announce(self, now: float, delay_s: float = 0.0) -> None:
        """Schedules the next order after `delay_s`."""
        self.phase = RolloutPhase.ANNOUNCED
        self.next_step_at = now + delay_s

    def await_report(self, now: float, delay_s: float) -> None:
        """Notes that an order is in progress; schedules the first report after `delay_s`."""
        self.phase = RolloutPhase.ORDERED
        self.ordered_at = now
        self.next_step_at = now + delay_s

    def back_off(self, now: float) -> None:
        """Schedules the next attempt; the endpoint serves its present version until then."""
        self.attempts += 1
        self.phase = RolloutPhase.BACKING_OFF
        self.updating = False
        self.next_step_at = now + backoff_s(self.attempts)

    def restart(self, now: float) -> None:
        """Starts another update at once; needs no announcement, as routers send elsewhere already."""
        self.announce(now)
        self.started_at = now
        self.last_report_at = now
        self.attempts = 0


def backoff_s(attempts: int) -> float:
    """Time (s) to wait after this many consecutive attempts without effect."""
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts - 1, 8))
