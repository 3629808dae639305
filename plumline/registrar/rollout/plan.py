"""Decides which endpoint updates to the desired version of its model's weights, and when.

Pure: no clock and no I/O. An endpoint is first announced as updating, so that routers send elsewhere. Then
the order is sent, and reports are fetched until one shows the new version and no order in progress.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from plumline.registrar.rollout.admission import TARGET_SHARE, RolloutAdmission
from plumline.registrar.rollout.endpoint_rollout import EndpointRollout, RolloutPhase, backoff_s
from plumline.registrar.rollout.orders import OrderOutcome
from plumline.registrar.rollout.reports import EndpointReport
from plumline.registrar.rollout.versions import FleetVersions
from plumline.routing.fleet_state import ListedEndpoint, RolloutState

ANNOUNCE_DELAY_S = 0.25  # from the announcement to the order: for it to reach every router
FIRST_REPORT_DELAY_S = 0.3  # from a 202 to the first report that can show the update: the age of reports
REPORT_INTERVAL_S = 0.25  # between reports of one endpoint
LOST_ORDER_TIMEOUT_S = 1.0  # an order without effect in reports for this long was lost
UNRESPONSIVE_TIMEOUT_S = 5.0  # without a report: the endpoint is no longer published as updating
MAX_ATTEMPTS = 3  # consecutive ones without effect before the endpoint serves again during a backoff

RolloutStates = dict[str, RolloutState]  # by endpoint id, as published


class StepKind(StrEnum):
    """The kind of a step. ANNOUNCE and DONE only change the published states; the others are calls."""

    ANNOUNCE = "announce"
    ORDER = "order"
    REPORT = "report"
    DONE = "done"


class Step(NamedTuple):
    """One action for an endpoint; the fields after `endpoint_id` are for orders only."""

    kind: StepKind
    endpoint_id: str
    model: str = ""
    version: int = 0
    expected_count: int | None = None  # the `CallSequence` that the endpoint must have; None: any


class RolloutPlan:
    """Schedules the updates of all endpoints.

    The `update_`, `order_` and `report_` methods are its inputs, `due_steps` its output. `now` is steady time
    in s everywhere.
    """

    def __init__(self, apply_timeout_s: float) -> None:
        """`apply_timeout_s`: VersionApplyMs in s, within which all endpoints should have a new version."""
        self.versions = FleetVersions(initial_age_s=TARGET_SHARE * apply_timeout_s)
        self.admission = RolloutAdmission(apply_timeout_s)
        self.rollouts: dict[str, EndpointRollout] = {}  # by endpoint id
        self._completed: list[str] = []

    # Inputs.

    def update_desired_versions(self, desired: Mapping[str, int], now: float) -> None:
        """Updates the desired versions; also needed without the lease, as it determines their age."""
        self.versions.update_desired(desired, now)

    def update_endpoints(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Replaces the list of endpoints. An empty one means that there is none yet, and is ignored."""
        if not self.versions.update_endpoints(endpoints):
            return
        for endpoint_id in list(self.rollouts):
            if not self.versions.is_serving(endpoint_id):
                del self.rollouts[endpoint_id]

    def resume(self, states: Mapping[str, RolloutState], now: float) -> None:
        """Starts again from the states that another lease holder published.

        These may be outdated or lost, so that reports are fetched before orders are sent.
        """
        self._completed.clear()
        self.rollouts.clear()
        for endpoint_id, state in states.items():
            for model, version in state.models.items():
                self.versions.confirm(endpoint_id, model, version)
        for endpoint_id in self.versions.endpoints:
            if not self.versions.is_serving(endpoint_id):
                continue
            updating = endpoint_id in states and states[endpoint_id].updating
            if updating or self.versions.pending_update(endpoint_id):
                self.rollouts[endpoint_id] = EndpointRollout(
                    RolloutPhase.CHECKING,
                    next_step_at=now,
                    started_at=now,
                    last_report_at=now,
                    updating=updating,
                )

    def states(self) -> RolloutStates:
        """The states that routers need in addition to the platform's list."""
        confirmed = self.versions.confirmed
        states = {
            endpoint_id: RolloutState(updating=False, models=dict(models))
            for endpoint_id, models in confirmed.items()
        }
        for endpoint_id, rollout in self.rollouts.items():
            if rollout.updating or endpoint_id in states:
                models = dict(confirmed.get(endpoint_id, {}))
                states[endpoint_id] = RolloutState(rollout.updating, models)
        return states

    @property
    def in_progress(self) -> bool:
        """Whether any endpoint's roll-out is in progress."""
        return bool(self.rollouts or self._completed)

    # Decisions.

    def due_steps(self, now: float) -> list[Step]:
        """The steps that are due. The step of a call is returned once; the next one follows its result."""
        steps: list[Step] = []
        for endpoint_id, rollout in list(self.rollouts.items()):
            step = self._next_step(endpoint_id, rollout, now)
            if step is not None:
                steps.append(step)
        self._complete_up_to_date()
        for endpoint_id in self.admission.admit(self.versions, self.rollouts, now):
            self._start(endpoint_id, now)
            steps.append(Step(StepKind.ANNOUNCE, endpoint_id))
        steps += [Step(StepKind.DONE, endpoint_id) for endpoint_id in self._completed]
        self._completed.clear()
        return steps

    def _next_step(self, endpoint_id: str, rollout: EndpointRollout, now: float) -> Step | None:
        """The call that is due, if any."""
        if rollout.call_in_flight or rollout.phase is RolloutPhase.BACKING_OFF:
            return None
        if rollout.updating and rollout.phase is not RolloutPhase.ANNOUNCED:
            self._check_unresponsive(rollout, now)
        if not rollout.is_due(now):
            return None
        if rollout.phase is not RolloutPhase.ANNOUNCED:
            rollout.call_in_flight = True
            return Step(StepKind.REPORT, endpoint_id)
        pending = self.versions.pending_update(endpoint_id)
        if pending is None:  # the platform lists the version by now
            self._complete(endpoint_id)
            return None
        rollout.target = pending
        rollout.call_in_flight = True
        return Step(StepKind.ORDER, endpoint_id, pending.model, pending.version, rollout.expected_count)

    def _check_unresponsive(self, rollout: EndpointRollout, now: float) -> None:
        """Lets routers use an unresponsive endpoint again; its 421 responses show them its version."""
        if now - rollout.last_report_at >= UNRESPONSIVE_TIMEOUT_S:
            rollout.updating = False
            rollout.phase = RolloutPhase.CHECKING

    def _complete_up_to_date(self) -> None:
        """Ends the backoff of endpoints that no longer need an update."""
        for endpoint_id, rollout in list(self.rollouts.items()):
            if rollout.phase is RolloutPhase.BACKING_OFF and not self.versions.pending_update(endpoint_id):
                self._complete(endpoint_id)

    def _start(self, endpoint_id: str, now: float) -> None:
        """Announces the endpoint as updating; keeps the attempts and the count of its earlier roll-out."""
        previous = self.rollouts.get(endpoint_id)
        rollout = EndpointRollout(
            RolloutPhase.ANNOUNCED,
            next_step_at=now + ANNOUNCE_DELAY_S,
            started_at=now,
            last_report_at=now,
            updating=True,
        )
        if previous is not None:
            rollout.attempts = previous.attempts
            rollout.expected_count = previous.expected_count
        self.rollouts[endpoint_id] = rollout

    def _complete(self, endpoint_id: str) -> None:
        del self.rollouts[endpoint_id]
        self._completed.append(endpoint_id)

    # Results of calls.

    def order_withdrawn(self, endpoint_id: str) -> None:
        """Handles an order that was not sent, as the lease was not held."""
        if rollout := self.rollouts.get(endpoint_id):
            rollout.call_in_flight = False

    def order_finished(self, endpoint_id: str, outcome: OrderOutcome, now: float) -> None:
        """Handles the outcome of an order."""
        rollout = self.rollouts.get(endpoint_id)
        if rollout is None:
            return
        rollout.call_in_flight = False
        rollout.unresponsive = outcome in (OrderOutcome.UNREACHABLE, OrderOutcome.NO_ANSWER)
        rollout.expected_count = None
        match outcome:
            case OrderOutcome.APPLIED:
                self._version_applied(endpoint_id, rollout, now)
            case OrderOutcome.ACCEPTED:
                rollout.last_report_at = now
                rollout.await_report(now, FIRST_REPORT_DELAY_S)
            case OrderOutcome.CONFLICT:
                rollout.last_report_at = now
                rollout.await_report(now, REPORT_INTERVAL_S)
            case OrderOutcome.NO_ANSWER:
                rollout.attempts += 1
                rollout.await_report(now, backoff_s(rollout.attempts))
            case OrderOutcome.REJECTED | OrderOutcome.UNREACHABLE:
                rollout.back_off(now)

    def report_finished(self, endpoint_id: str, report: EndpointReport | None, now: float) -> None:
        """Handles the result of fetching a report; `report` is None if there was no valid one."""
        rollout = self.rollouts.get(endpoint_id)
        if rollout is None:
            return
        rollout.call_in_flight = False
        rollout.unresponsive = report is None
        if report is None:
            rollout.attempts += 1
            rollout.next_step_at = now + backoff_s(rollout.attempts)
            return
        rollout.last_report_at = now
        rollout.expected_count = report.call_sequence
        for model, version in report.models.items():
            self.versions.confirm(endpoint_id, model, version)
        if report.busy:
            self._order_in_progress(rollout, now)
        elif rollout.phase is RolloutPhase.CHECKING:
            self._check_finished(endpoint_id, rollout, now)
        elif rollout.target is None or report.models.get(rollout.target.model, 0) >= rollout.target.version:
            self._version_applied(endpoint_id, rollout, now)
        else:
            self._order_without_effect(rollout, now)

    def _order_in_progress(self, rollout: EndpointRollout, now: float) -> None:
        """Handles a report with an order in progress, of this lease holder or another."""
        if rollout.phase is RolloutPhase.CHECKING:
            rollout.phase = RolloutPhase.ORDERED
            rollout.ordered_at = now
            rollout.updating = True
        rollout.attempts = 0
        rollout.next_step_at = now + REPORT_INTERVAL_S

    def _check_finished(self, endpoint_id: str, rollout: EndpointRollout, now: float) -> None:
        """Handles a report without an order in progress, in the CHECKING phase."""
        rollout.attempts = 0
        rollout.next_step_at = now
        if not self.versions.pending_update(endpoint_id):
            self._complete(endpoint_id)
        elif rollout.updating:
            rollout.phase = RolloutPhase.ANNOUNCED
        else:
            rollout.phase = RolloutPhase.BACKING_OFF

    def _order_without_effect(self, rollout: EndpointRollout, now: float) -> None:
        """Handles a report that doesn't show the ordered version: it is too old, or the order was lost."""
        if now - rollout.ordered_at < LOST_ORDER_TIMEOUT_S:
            rollout.next_step_at = now + REPORT_INTERVAL_S
        elif rollout.attempts >= MAX_ATTEMPTS:
            rollout.back_off(now)
        else:
            rollout.attempts += 1
            rollout.announce(now, backoff_s(rollout.attempts))

    def _version_applied(self, endpoint_id: str, rollout: EndpointRollout, now: float) -> None:
        """Handles an applied order; continues with a newer version or another model, if one is pending."""
        if rollout.target is not None:
            self.versions.confirm(endpoint_id, *rollout.target)
        if not rollout.attempts and rollout.ordered_at:
            self.admission.observe_duration(now - rollout.started_at)
        if self.versions.pending_update(endpoint_id):
            rollout.restart(now)
        else:
            self._complete(endpoint_id)
