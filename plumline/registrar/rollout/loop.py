"""The reconcile loop of the roll-out: carries out the plan's steps while the `weights` lease is held."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from plumline.registrar.discovery import Pause, pause
from plumline.registrar.rollout.plan import Marks, RolloutPlan, Step, StepKind
from plumline.registrar.rollout.reports import EndpointReport, parse_report
from plumline.routing.fleet import Address, address_of
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallWithdrawnError

TICK_S, IDLE_S = 0.25, 1.0
ORDER_S, REPORT_WAIT_S = 1.0, 0.8  # patience of a call
METHOD = "waiting"  # runs finish on the weights that they began with; any other method breaks them


class RolloutController:
    """Carries the plan out while `may_act()` gives the lease's fence number.

    `may_act` is asked again at the very moment of each sending. `publish_rollout` gets all marks whenever
    they change. `clock` is steady time in s, `apply_s` VersionApplyMs in s.
    """

    def __init__(
        self,
        caller: Caller,
        holder_name: str,
        may_act: Callable[[], int | None],
        roster: Callable[[], list[dict[str, Any]]],
        wanted: Callable[[], dict[str, int]],
        publish_rollout: Callable[[Marks], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        apply_s: float = 8.0,
        pause: Pause = pause,
    ) -> None:
        self.caller, self.holder_name, self.may_act = caller, holder_name, may_act
        self.roster, self.wanted, self.publish_rollout = roster, wanted, publish_rollout
        self.clock, self.pause = clock, pause
        self.plan = RolloutPlan(apply_s)
        self.fence: int | None = None  # of the lease that the plan was begun under
        self.adopted = False  # under this fence; it takes a roster
        self.inherited: Marks = {}  # the newest marks of whoever held the lease
        self.told: Marks | None = None
        self._event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def adopt(self, marks: Marks) -> None:
        """Marks that another holder published; used when the lease is won next."""
        self.inherited = marks

    def wake(self) -> None:
        """Configuration, roster or lease changed."""
        self._event.set()

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                self._event.clear()
                await self.pause(self._event, self.turn())
        finally:
            self._cancel()

    def turn(self) -> float:
        """One look at everything: begins the calls that are due. Returns the time (s) to the next look."""
        now = self.clock()
        fence = self.may_act()
        self.plan.take_wanted(self.wanted(), now)
        if fence != self.fence:
            self._cancel()
            self.fence, self.told, self.adopted = fence, None, False
        if fence is None or not (roster := self.roster()):
            return IDLE_S
        self.plan.take_roster(roster)
        if not self.adopted:
            self.adopted = True
            self.plan.adopt(self.inherited, now)
            self.plan.take_roster(roster)  # marks of endpoints that are gone
        steps = self.plan.steps(now)
        marks = self.plan.marks()
        if marks != self.told:
            self.told = self.inherited = marks
            self.publish_rollout(marks)
        for step in steps:
            if step.kind is StepKind.ORDER:
                self._start(self._order(step, address_of(self.plan.roster[step.id]["address"]), fence))
            elif step.kind is StepKind.REPORT:
                self._start(self._report(step, address_of(self.plan.roster[step.id]["address"])))
        return TICK_S if self.plan.active else IDLE_S

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _order(self, step: Step, address: Address, fence: int) -> None:
        def prepare() -> dict[str, Any]:
            if self.may_act() != fence:
                raise CallWithdrawnError("the lease is over")
            # An earlier order that was silent may still come: after this one it finds another count.
            counted = {} if step.expected is None else {calls.EXPECTED_COUNT: step.expected}
            return counted | {
                calls.OPERATION: calls.VERSION,
                calls.MODEL: step.model,
                calls.VERSION: step.version,
                calls.METHOD: METHOD,
                calls.HOLDER: self.holder_name,
                calls.FENCE_NUMBER: fence,
            }

        status: int | None = None
        sent = True
        try:
            answer = await self.caller.call(
                "order",
                address,
                headers={calls.EXPECTED_INSTANCE: step.id},
                prepare=prepare,
                timeout_s=ORDER_S,
            )
            status = answer.status
        except CallWithdrawnError:
            self.plan.withdrawn(step.id)
            return
        except CallFailedError as error:
            sent = error.sent
        self.plan.ordered(step.id, status, sent, self.clock())

    async def _report(self, step: Step, address: Address) -> None:
        report: EndpointReport | None = None
        try:
            answer = await self.caller.call(
                "report", address, headers={calls.EXPECTED_INSTANCE: step.id}, timeout_s=REPORT_WAIT_S
            )
            if answer.status == 200:
                report = parse_report(answer.json)
        except CallFailedError:
            pass
        self.plan.reported(step.id, report, self.clock())
