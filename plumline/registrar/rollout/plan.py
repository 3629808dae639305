"""The job of the `weights` lease: moves endpoints to the version of their model's weights that was named.

`RolloutPlan` decides, with no clock and no sockets of its own; `RolloutController` carries its steps out. An
endpoint that is to move is first announced (`moving`: routers send elsewhere), then ordered, then asked for
its report until that shows the new version and no order under way.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from plumline.registrar.rollout.reports import EndpointReport

ANNOUNCE_DELAY_S = 0.25  # from the announcement to the order: until every router has heard
FIRST_REPORT_DELAY_S = 0.3  # from a 202 to the first report that can show it done: reports are that old
REPORT_INTERVAL_S = 0.25  # between two reports of one endpoint
LOST_ORDER_TIMEOUT_S = 1.0  # a report that shows nothing of an order this long after it: the order was lost
UNRESPONSIVE_TIMEOUT_S = 5.0  # without a report: the endpoint is no longer published as updating
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.4, 4.0
MAX_ATTEMPTS = 3  # orders in a row without effect before the endpoint is used again for a while
INITIAL_DURATION_S = 1.2  # first estimate of one endpoint's roll-out, the announcement included
MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0  # bounds of one measured duration
DURATION_SMOOTHING = 0.3  # weight of the newest duration in the moving average
ENDPOINTS_PER_CONCURRENT_UPDATE = 3  # one in so many of a service's endpoints is updated at a time
TARGET_SHARE = 0.5  # of VersionApplyMs: the time in which a roll-out aims to be complete
OVERDUE_SHARE = 0.75  # of VersionApplyMs: endpoints of an old version are of no use after this
TIMER_TOLERANCE_S = 0.01  # timers and the loop's looks may differ by this

RolloutStates = dict[str, dict[str, Any]]
DesiredVersions = Mapping[str, int]


class StepKind(StrEnum):
    """What a step asks for. ANNOUNCE and DONE are in the marks already; the others are calls to make."""

    ANNOUNCE = "announce"
    ORDER = "order"
    REPORT = "report"
    DONE = "done"


class Step(NamedTuple):
    """One thing to do; the fields after `endpoint_id` are those of an order only."""

    kind: StepKind
    endpoint_id: str
    model: str = ""
    version: int = 0
    expected_count: int | None = None  # the `CallSequence` that the endpoint must have; None: any


class RolloutPhase(StrEnum):
    """Where an endpoint stands on its way to other weights."""

    CHECKING = "checking"  # unknown what it does: a report has to tell
    ANNOUNCED = "announced"
    ORDERED = "ordered"
    BACKING_OFF = "backing-off"


@dataclass(slots=True)
class EndpointRollout:
    """Where one endpoint is on its way. Times are steady s; `next_step_at`: the next step is not before."""

    phase: RolloutPhase
    next_step_at: float
    started_at: float
    last_report_at: float  # last report, or since when one is missing
    updating: bool
    model: str = ""
    version: int = 0
    ordered_at: float = 0.0
    attempts: int = 0  # in a row without a word or effect
    unresponsive: bool = False  # the last call got no answer
    call_in_flight: bool = False  # a call is out
    expected_count: int | None = None  # `CallSequence` of the newest report since the last order


def backoff(attempts: int) -> float:
    """s to wait after so many tries in a row without effect."""
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts - 1, 8))


class RolloutPlan:
    """Which endpoint moves when. Fed by `update`, `ordered`, `withdrawn` and `reported`; asked for `steps`.

    `apply_timeout_s`: VersionApplyMs in s. `now` is steady time in s everywhere.
    """

    def __init__(self, apply_timeout_s: float) -> None:
        self.apply_timeout_s = apply_timeout_s
        self.desired_versions: dict[str, int] = {}
        self.named_at: dict[str, float] = {}  # when each model's version was first seen here
        self.endpoints: dict[str, Mapping[str, Any]] = {}
        self.confirmed: dict[
            str, dict[str, int]
        ] = {}  # versions seen in reports that the list doesn't show yet
        self.rollouts: dict[str, EndpointRollout] = {}
        self.expected_duration_s = INITIAL_DURATION_S
        self.completed: list[str] = []
        self.initialized = False

    # What is so.

    def update_desired_versions(self, desired: DesiredVersions, now: float) -> None:
        """The named versions. Also by a plan that may not act: so that it knows how old each name is."""
        first, self.initialized = not self.initialized, True
        for model, version in desired.items():
            if version > self.desired_versions.get(model, 0):
                self.desired_versions[model] = version
                # At a process's first look it is unknown how long the name has stood: it may be late.
                self.named_at[model] = now - self.apply_timeout_s * TARGET_SHARE if first else now

    def update_endpoints(self, endpoints: Iterable[Mapping[str, Any]]) -> None:
        """The newest list. An empty one is no list yet: nothing is forgotten for it."""
        found = {each["id"]: each for each in endpoints}
        if not found:
            return
        self.endpoints = found
        for each in [id_ for id_ in self.rollouts if id_ not in found or found[id_]["draining"]]:
            del self.rollouts[each]
        for each in list(self.confirmed):
            listed = found[each]["models"] if each in found else None
            kept = {
                m: v for m, v in self.confirmed[each].items() if listed is not None and v > listed.get(m, 0)
            }
            if kept:
                self.confirmed[each] = kept
            else:
                del self.confirmed[each]

    def resume(self, states: Mapping[str, Mapping[str, Any]], now: float) -> None:
        """Begins anew after another holder, whose marks may be old or lost: reports come before orders."""
        self.completed.clear()
        self.rollouts.clear()
        for id_, state in states.items():
            for model, version in state.get("models", {}).items():
                self._confirm_version(id_, model, version)
        moving = {id_ for id_, state in states.items() if state.get("moving")}
        for id_ in self.endpoints:
            if self._usable(id_) and (id_ in moving or self._pending_update(id_)):
                self.rollouts[id_] = EndpointRollout(RolloutPhase.CHECKING, now, now, now, id_ in moving)

    def states(self) -> RolloutStates:
        """What routers have to know beyond the list (see plumline.routing.fleet)."""
        states: RolloutStates = {
            id_: {"moving": False, "models": dict(models)} for id_, models in self.confirmed.items()
        }
        for id_, rollout in self.rollouts.items():
            if rollout.updating or id_ in states:
                states[id_] = {
                    "moving": rollout.updating,
                    "models": dict(self.confirmed.get(id_, {})),
                }
        return states

    @property
    def in_progress(self) -> bool:
        """Whether anything is in progress."""
        return bool(self.rollouts or self.completed)

    def _usable(self, id_: str) -> bool:
        return id_ in self.endpoints and not self.endpoints[id_]["draining"]

    def _confirm_version(self, id_: str, model: str, version: int) -> None:
        if version > self.endpoints.get(id_, {}).get("models", {}).get(model, 0):
            models = self.confirmed.setdefault(id_, {})
            models[model] = max(version, models.get(model, 0))

    def _pending_update(self, id_: str) -> tuple[str, int] | None:
        """A model of this endpoint, and the version, that it has yet to be moved to."""
        known = self.confirmed.get(id_, {})
        for model, listed in self.endpoints[id_]["models"].items():
            desired = self.desired_versions.get(model, 0)
            if desired > max(listed, known.get(model, 0)):
                return model, desired
        return None

    # What to do.

    def due_steps(self, now: float) -> list[Step]:
        """What is due. A call's step comes once and waits for its result."""
        found = [
            step for id_ in list(self.rollouts) if (step := self._next_step(id_, self.rollouts[id_], now))
        ]
        found += [Step(StepKind.ANNOUNCE, id_) for id_ in self._start_rollouts(now)]
        found += [Step(StepKind.DONE, id_) for id_ in self.completed]
        self.completed.clear()
        return found

    def _next_step(self, id_: str, rollout: EndpointRollout, now: float) -> Step | None:
        if rollout.call_in_flight or rollout.phase is RolloutPhase.BACKING_OFF:
            return None
        if (
            rollout.updating
            and rollout.phase is not RolloutPhase.ANNOUNCED
            and now - rollout.last_report_at >= UNRESPONSIVE_TIMEOUT_S
        ):
            rollout.updating, rollout.phase = (
                False,
                RolloutPhase.CHECKING,
            )  # what it has is for its own 421s to tell
        if now < rollout.next_step_at - TIMER_TOLERANCE_S:
            return None
        if rollout.phase is RolloutPhase.ANNOUNCED:
            if not (pending := self._pending_update(id_)):  # the list has shown it meanwhile
                self._complete(id_)
                return None
            rollout.model, rollout.version = pending
            rollout.call_in_flight = True
            return Step(StepKind.ORDER, id_, *pending, rollout.expected_count)
        rollout.call_in_flight = True
        return Step(StepKind.REPORT, id_)

    def _start_rollouts(self, now: float) -> list[str]:
        """The endpoints that may begin to update now, marked as updating."""
        candidates: dict[str, list[str]] = {}
        outdated: dict[str, int] = {}
        updating: dict[str, int] = {}
        total: dict[str, int] = {}
        zones: dict[tuple[str, str], int] = {}  # moving, by service and zone
        for id_, each in self.endpoints.items():
            if each["draining"]:
                continue
            service, rollout = each["service"], self.rollouts.get(id_)
            total[service] = total.get(service, 0) + 1
            if rollout and rollout.updating:
                zones[service, each["zone"]] = zones.get((service, each["zone"]), 0) + 1
                updating[service] = updating.get(service, 0) + (
                    not rollout.unresponsive
                )  # it would hold up the others
            if not self._pending_update(id_):
                if rollout and rollout.phase is RolloutPhase.BACKING_OFF:
                    self._complete(id_)
                continue
            outdated[service] = outdated.get(service, 0) + 1
            if not rollout or (
                rollout.phase is RolloutPhase.BACKING_OFF and now >= rollout.next_step_at - TIMER_TOLERANCE_S
            ):
                candidates.setdefault(service, []).append(id_)
        started: list[str] = []
        for service, ids in candidates.items():
            capacity = self._max_concurrent(total[service], outdated[service], ids, now) - updating.get(
                service, 0
            )
            ids.sort()
            while ids and capacity > 0:
                # One zone after the other in turn: no zone loses more of its own than the others do.
                id_ = min(ids, key=lambda each: zones.get(self._failure_domain(each), 0))
                ids.remove(id_)
                zones[self._failure_domain(id_)] = zones.get(self._failure_domain(id_), 0) + 1
                before = self.rollouts.get(id_)
                rollout = EndpointRollout(RolloutPhase.ANNOUNCED, now + ANNOUNCE_DELAY_S, now, now, True)
                if before is not None:
                    rollout.attempts, rollout.expected_count = before.attempts, before.expected_count
                self.rollouts[id_] = rollout
                started.append(id_)
                capacity -= 1
        return started

    def _failure_domain(self, id_: str) -> tuple[str, str]:
        return self.endpoints[id_]["service"], self.endpoints[id_]["zone"]

    def _max_concurrent(self, total: int, outdated: int, ids: list[str], now: float) -> int:
        """How many of a service may move at a time: few, but done in time; at most a third unless late."""
        since = min(self.named_at[pending[0]] for id_ in ids if (pending := self._pending_update(id_)))
        age = now - since
        if age >= OVERDUE_SHARE * self.apply_timeout_s:
            return total
        rounds = max(1, int((TARGET_SHARE * self.apply_timeout_s - age) / self.expected_duration_s))
        return min(max(1, math.ceil(total / ENDPOINTS_PER_CONCURRENT_UPDATE)), math.ceil(outdated / rounds))

    def _complete(self, id_: str) -> None:
        del self.rollouts[id_]
        self.completed.append(id_)

    def _back_off(self, rollout: EndpointRollout, now: float) -> None:
        rollout.attempts += 1
        rollout.phase, rollout.updating, rollout.next_step_at = (
            RolloutPhase.BACKING_OFF,
            False,
            now + backoff(rollout.attempts),
        )

    # What came of it.

    def order_withdrawn(self, id_: str) -> None:
        """The order was not sent, as the lease wasn't ours at that moment."""
        if rollout := self.rollouts.get(id_):
            rollout.call_in_flight = False

    def order_answered(self, id_: str, status: int | None, sent: bool, now: float) -> None:
        """An order's answer; None: there was none. `sent`: the order may have been taken."""
        if not (rollout := self.rollouts.get(id_)):
            return
        rollout.call_in_flight, rollout.unresponsive, rollout.expected_count = False, status is None, None
        if status == 200:
            self._version_applied(id_, rollout, now)
        elif status == 202:
            rollout.phase, rollout.ordered_at, rollout.last_report_at, rollout.next_step_at = (
                RolloutPhase.ORDERED,
                now,
                now,
                now + FIRST_REPORT_DELAY_S,
            )
        elif status == 409:  # another order is under way: its end shows in reports
            rollout.phase, rollout.ordered_at, rollout.last_report_at, rollout.next_step_at = (
                RolloutPhase.ORDERED,
                now,
                now,
                now + REPORT_INTERVAL_S,
            )
        elif status is None and sent:
            rollout.attempts += 1
            rollout.phase, rollout.ordered_at, rollout.next_step_at = (
                RolloutPhase.ORDERED,
                now,
                now + backoff(rollout.attempts),
            )
        else:
            # Not taken (unreachable; 400, 421, 5xx), or another holder's order came after ours (412): the
            # endpoint serves on as it is.
            self._back_off(rollout, now)

    def report_received(self, id_: str, report: EndpointReport | None, now: float) -> None:
        """A report, or None if none came."""
        if not (rollout := self.rollouts.get(id_)):
            return
        rollout.call_in_flight, rollout.unresponsive = False, report is None
        if report is None:
            rollout.attempts += 1
            rollout.next_step_at = now + backoff(rollout.attempts)
            return
        rollout.last_report_at, rollout.expected_count = now, report.call_sequence
        for model, version in report.models.items():
            self._confirm_version(id_, model, version)
        if report.busy:
            if rollout.phase is RolloutPhase.CHECKING:
                rollout.phase, rollout.ordered_at, rollout.updating = RolloutPhase.ORDERED, now, True
            rollout.attempts, rollout.next_step_at = 0, now + REPORT_INTERVAL_S
        elif rollout.phase is RolloutPhase.CHECKING:
            self._check_completed(id_, rollout, now)
        elif report.models.get(rollout.model, 0) >= rollout.version:
            self._version_applied(id_, rollout, now)
        elif now - rollout.ordered_at < LOST_ORDER_TIMEOUT_S:
            rollout.next_step_at = now + REPORT_INTERVAL_S
        elif rollout.attempts >= MAX_ATTEMPTS:
            self._back_off(rollout, now)
        else:
            rollout.attempts += 1
            rollout.phase, rollout.next_step_at = RolloutPhase.ANNOUNCED, now + backoff(rollout.attempts)

    def _check_completed(self, id_: str, rollout: EndpointRollout, now: float) -> None:
        if not self._pending_update(id_):
            self._complete(id_)
        elif rollout.updating:
            rollout.phase, rollout.next_step_at, rollout.attempts = RolloutPhase.ANNOUNCED, now, 0
        else:
            rollout.phase, rollout.next_step_at, rollout.attempts = RolloutPhase.BACKING_OFF, now, 0

    def _version_applied(self, id_: str, rollout: EndpointRollout, now: float) -> None:
        """It has the version that it was ordered to; a newer one or another model may be next."""
        if rollout.model:
            self._confirm_version(id_, rollout.model, rollout.version)
        if not rollout.attempts and rollout.ordered_at:
            took = min(MAX_DURATION_S, max(MIN_DURATION_S, now - rollout.started_at))
            self.expected_duration_s += DURATION_SMOOTHING * (took - self.expected_duration_s)
        if self._pending_update(id_):
            (
                rollout.phase,
                rollout.next_step_at,
                rollout.started_at,
                rollout.last_report_at,
                rollout.attempts,
            ) = (
                RolloutPhase.ANNOUNCED,
                now,
                now,
                now,
                0,
            )
        else:
            self._complete(id_)
