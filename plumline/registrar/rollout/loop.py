"""The reconcile loop of the roll-out: carries out the plan's steps while the `weights` lease is held."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from plumline.registrar.rollout.plan import RolloutPlan, RolloutStates, Step, StepKind
from plumline.registrar.rollout.reports import EndpointReport, parse_report
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet import Address, address_of
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallWithdrawnError

ACTIVE_INTERVAL_S, IDLE_INTERVAL_S = 0.25, 1.0
ORDER_TIMEOUT_S, REPORT_TIMEOUT_S = 1.0, 0.8  # patience of a call
UPDATE_METHOD = "waiting"  # runs finish on the weights that they began with; any other method breaks them


class RolloutController:
    """Carries the plan out while `may_act()` gives the lease's fence number.

    `may_act` is asked again at the very moment of each sending. `publish_rollout` gets all marks whenever
    they change. `clock` is steady time in s, `apply_timeout_s` VersionApplyMs in s.
    """

    def __init__(
        self,
        caller: Caller,
        lease_holder: str,
        may_act: Callable[[], int | None],
        endpoints: Callable[[], list[dict[str, Any]]],
        desired_versions: Callable[[], dict[str, int]],
        publish_rollout: Callable[[RolloutStates], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        apply_timeout_s: float = 8.0,
        wait: Wait = wait_for,
    ) -> None:
        self.caller, self.lease_holder, self.may_act = caller, lease_holder, may_act
        self.endpoints, self.desired_versions, self.publish_rollout = (
            endpoints,
            desired_versions,
            publish_rollout,
        )
        self.clock, self.wait = clock, wait
        self.plan = RolloutPlan(apply_timeout_s)
        self.fencing_token: int | None = None  # of the lease that the plan was begun under
        self.resumed = False  # under this fencing_token; it takes a list of endpoints
        self.inherited_states: RolloutStates = {}  # the newest marks of whoever held the lease
        self.published: RolloutStates | None = None
        self._event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def inherit(self, states: RolloutStates) -> None:
        """States that another holder published; used when the lease is won next."""
        self.inherited_states = states

    def wake(self) -> None:
        """Configuration, roster or lease changed."""
        self._event.set()

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                self._event.clear()
                await self.wait(self._event, self.reconcile())
        finally:
            self._cancel_calls()

    def reconcile(self) -> float:
        """One look at everything: begins the calls that are due. Returns the time (s) to the next look."""
        now = self.clock()
        fencing_token = self.may_act()
        self.plan.update_desired_versions(self.desired_versions(), now)
        if fencing_token != self.fencing_token:
            self._cancel_calls()
            self.fencing_token, self.published, self.resumed = fencing_token, None, False
        if fencing_token is None or not (endpoints := self.endpoints()):
            return IDLE_INTERVAL_S
        self.plan.update_endpoints(endpoints)
        if not self.resumed:
            self.resumed = True
            self.plan.resume(self.inherited_states, now)
            self.plan.update_endpoints(endpoints)  # drops states of endpoints that are gone
        steps = self.plan.due_steps(now)
        states = self.plan.states()
        if states != self.published:
            self.published = self.inherited_states = states
            self.publish_rollout(states)
        for step in steps:
            if step.kind is StepKind.ORDER:
                self._spawn(
                    self._send_order(
                        step, address_of(self.plan.endpoints[step.endpoint_id]["address"]), fencing_token
                    )
                )
            elif step.kind is StepKind.REPORT:
                self._spawn(
                    self._fetch_report(step, address_of(self.plan.endpoints[step.endpoint_id]["address"]))
                )
        return ACTIVE_INTERVAL_S if self.plan.in_progress else IDLE_INTERVAL_S

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_calls(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send_order(self, step: Step, address: Address, fencing_token: int) -> None:
        def prepare() -> dict[str, Any]:
            if self.may_act() != fencing_token:
                raise CallWithdrawnError("the lease is over")
            # An earlier order that was silent may still come: after this one it finds another count.
            counted = {} if step.expected_count is None else {calls.EXPECTED_COUNT: step.expected_count}
            return counted | {
                calls.OPERATION: calls.VERSION,
                calls.MODEL: step.model,
                calls.VERSION: step.version,
                calls.METHOD: UPDATE_METHOD,
                calls.HOLDER: self.lease_holder,
                calls.FENCE_NUMBER: fencing_token,
            }

        status: int | None = None
        sent = True
        try:
            answer = await self.caller.call(
                "order",
                address,
                headers={calls.EXPECTED_INSTANCE: step.endpoint_id},
                prepare=prepare,
                timeout_s=ORDER_TIMEOUT_S,
            )
            status = answer.status
        except CallWithdrawnError:
            self.plan.order_withdrawn(step.endpoint_id)
            return
        except CallFailedError as error:
            sent = error.sent
        self.plan.order_answered(step.endpoint_id, status, sent, self.clock())

    async def _fetch_report(self, step: Step, address: Address) -> None:
        report: EndpointReport | None = None
        try:
            answer = await self.caller.call(
                "report",
                address,
                headers={calls.EXPECTED_INSTANCE: step.endpoint_id},
                timeout_s=REPORT_TIMEOUT_S,
            )
            if answer.status == 200:
                report = parse_report(answer.json)
        except CallFailedError:
            pass
        self.plan.report_received(step.endpoint_id, report, self.clock())
