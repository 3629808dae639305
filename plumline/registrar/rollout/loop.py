"""The reconcile loop of the roll-out: executes the steps of the plan while the `weights` lease is held."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, Protocol

from plumline.registrar.rollout.orders import OrderOutcome, order_body, outcome_of
from plumline.registrar.rollout.plan import RolloutPlan, RolloutStates, Step, StepKind
from plumline.registrar.rollout.reports import EndpointReport, parse_report
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet import Address, address_of
from plumline.routing.fleet_state import ListedEndpoint
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallWithdrawnError

ACTIVE_INTERVAL_S = 0.25  # between reconciliations while a roll-out is in progress
IDLE_INTERVAL_S = 1.0  # between reconciliations otherwise, unless woken
ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.8


class RolloutEnvironment(Protocol):
    """What the roll-out needs from the registrar that it runs in."""

    def fencing_token(self) -> int | None:
        """The fencing token of the `weights` lease, None unless it is held now."""

    def endpoints(self) -> Sequence[ListedEndpoint]:
        """The newest list of endpoints, empty if there is none."""

    def desired_versions(self) -> Mapping[str, int]:
        """The committed versions by model."""

    def publish(self, states: RolloutStates) -> None:
        """Publishes the states that routers need, if the lease is still held."""


class EndpointRolloutLoop:
    """Executes the plan while the lease is held; checks the lease again whenever an order is sent."""

    def __init__(
        self,
        caller: Caller,
        lease_holder: str,
        environment: RolloutEnvironment,
        clock: Callable[[], float] = time.monotonic,
        *,
        apply_timeout_s: float = 8.0,
        wait: Wait = wait_for,
    ) -> None:
        """`lease_holder` names this node in orders; `clock` is steady time in s, `apply_timeout_s`
        VersionApplyMs in s.
        """
        self.caller, self.lease_holder, self.environment = caller, lease_holder, environment
        self.clock, self.wait = clock, wait
        self.plan = RolloutPlan(apply_timeout_s)
        self.fencing_token: int | None = None  # of the lease term that the plan was started under
        self.resumed = False  # under this fencing token; requires a list of endpoints
        self.inherited_states: RolloutStates = {}  # newest published by any lease holder
        self.published: RolloutStates | None = None  # last states under this fencing token
        self._event = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()

    def inherit(self, states: RolloutStates) -> None:
        """Stores the states that another lease holder published, for when this node wins the lease."""
        self.inherited_states = states

    def wake(self) -> None:
        """Reconciles now: the configuration, the list of endpoints or the lease has changed."""
        self._event.set()

    async def run(self) -> None:
        """Reconciles until cancelled."""
        try:
            while True:
                self._event.clear()
                await self.wait(self._event, self.reconcile())
        finally:
            self._cancel_calls()

    def reconcile(self) -> float:
        """Compares desired and reported versions and starts the calls that are due.

        Returns the time (s) until the next reconciliation.
        """
        now = self.clock()
        fencing_token = self.environment.fencing_token()
        self.plan.update_desired_versions(self.environment.desired_versions(), now)
        if fencing_token != self.fencing_token:
            self._cancel_calls()
            self.fencing_token, self.published, self.resumed = fencing_token, None, False
        if fencing_token is None:
            return IDLE_INTERVAL_S
        endpoints = self.environment.endpoints()
        if not endpoints:
            return IDLE_INTERVAL_S
        self.plan.update_endpoints(endpoints)
        if not self.resumed:
            self.resumed = True
            self.plan.resume(self.inherited_states, now)
            self.plan.update_endpoints(endpoints)  # drops states of endpoints that are no longer listed
        steps = self.plan.due_steps(now)
        self._publish_changes()  # before any order, so that routers send elsewhere by then
        for step in steps:
            self._start_call(step, fencing_token)
        return ACTIVE_INTERVAL_S if self.plan.in_progress else IDLE_INTERVAL_S

    def _publish_changes(self) -> None:
        states = self.plan.states()
        if states != self.published:
            self.published = self.inherited_states = states
            self.environment.publish(states)

    def _start_call(self, step: Step, fencing_token: int) -> None:
        """Starts the call of the step, if its kind needs one."""
        if step.kind not in (StepKind.ORDER, StepKind.REPORT):
            return
        address = address_of(self.plan.versions.endpoints[step.endpoint_id].address)
        if step.kind is StepKind.ORDER:
            self._spawn(self._send_order(step, address, fencing_token))
        else:
            self._spawn(self._fetch_report(step.endpoint_id, address))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _cancel_calls(self) -> None:
        for task in self._calls:
            task.cancel()

    def _prepare_order(self, step: Step, fencing_token: int) -> dict[str, Any]:
        """The body of an order, built when it is sent. Raises CallWithdrawnError if the lease is lost."""
        if self.environment.fencing_token() != fencing_token:
            raise CallWithdrawnError("the lease is no longer held")
        return order_body(step.model, step.version, step.expected_count, self.lease_holder, fencing_token)

    async def _send_order(self, step: Step, address: Address, fencing_token: int) -> None:
        try:
            answer = await self.caller.call(
                "order",
                address,
                headers={calls.EXPECTED_INSTANCE: step.endpoint_id},
                prepare=lambda: self._prepare_order(step, fencing_token),
                timeout_s=ORDER_TIMEOUT_S,
            )
        except CallWithdrawnError:
            self.plan.order_withdrawn(step.endpoint_id)
            return
        except CallFailedError as error:
            outcome = OrderOutcome.NO_ANSWER if error.sent else OrderOutcome.UNREACHABLE
        else:
            outcome = outcome_of(answer.status)
        self.plan.order_finished(step.endpoint_id, outcome, self.clock())

    async def _fetch_report(self, endpoint_id: str, address: Address) -> None:
        report: EndpointReport | None = None
        try:
            answer = await self.caller.call(
                "report",
                address,
                headers={calls.EXPECTED_INSTANCE: endpoint_id},
                timeout_s=REPORT_TIMEOUT_S,
            )
        except CallFailedError:
            pass
        else:
            if answer.status == 200:
                report = parse_report(answer.json)
        self.plan.report_finished(endpoint_id, report, self.clock())
