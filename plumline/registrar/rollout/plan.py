"""The job of the `weights` lease: moves endpoints to the version of their model's weights that was named.

`RolloutPlan` decides, with no clock and no sockets of its own; `RolloutController` carries its steps out. An
endpoint that is to move is first announced (`moving`: routers send elsewhere), then ordered, then asked for
its report until that shows the new version and no order under way.
"""

import asyncio
import math
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from plumline.registrar.discovery import UNREADABLE, Pause, models_from, pause
from plumline.routing.fleet import Address, address_of
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallWithdrawnError

ANNOUNCE_S = 0.25  # from the mark to the order: until every router has heard
FIRST_REPORT_S = 0.3  # from a 202 to the first report that can show it done: reports are that old
REPORT_S = 0.25  # between two reports of one endpoint
LOST_ORDER_S = 1.0  # a report that shows nothing of an order this long after it: the order was lost
SILENCE_S = 5.0  # an endpoint that moves but gives no report is marked as standing still after this
FIRST_BACKOFF_S, MOST_BACKOFF_S = 0.4, 4.0
MOST_TRIES = 3  # orders in a row without effect before the endpoint is used again for a while
MOVE_S = 1.2  # first guess of what one move takes, announcing included; learnt from those done
LEAST_MOVE_S, MOST_MOVE_S, LEARN_SHARE = 0.5, 4.0, 0.3
MOVING_SHARE = 3  # one in so many of a service's endpoints moves at a time
PACE_SHARE, LATE_SHARE = 0.5, 0.75  # of VersionApplyMs: aim to be done; after this the old ones are of no use
EARLY_S = 0.01  # timers and ticks may differ by this
TICK_S, IDLE_S = 0.25, 1.0
ORDER_S, REPORT_WAIT_S = 1.0, 0.8  # patience of a call
METHOD = "waiting"  # runs finish on the weights that they began with; any other method breaks them

Marks = dict[str, dict[str, Any]]
Wanted = Mapping[str, int]


class StepKind(StrEnum):
    """What a step asks for. ANNOUNCE and DONE are in the marks already; the others are calls to make."""

    ANNOUNCE = "announce"
    ORDER = "order"
    REPORT = "report"
    DONE = "done"


class Step(NamedTuple):
    """One thing to do; the fields after `id` are those of an order only."""

    kind: StepKind
    id: str
    model: str = ""
    version: int = 0
    expected: int | None = None  # the `CallSequence` that the endpoint must have; None: any


class RolloutPhase(StrEnum):
    """Where an endpoint stands on its way to other weights."""

    CHECKING = "checking"  # unknown what it does: a report has to tell
    ANNOUNCED = "announced"
    ORDERED = "ordered"
    BACKING_OFF = "backing-off"


@dataclass(slots=True)
class EndpointRollout:
    """Where one endpoint is on its way. Times are steady s; `due`: the next step is not before."""

    phase: RolloutPhase
    due: float
    begun: float
    heard: float  # last report, or since when one is missing
    moving: bool
    model: str = ""
    version: int = 0
    ordered: float = 0.0
    tries: int = 0  # in a row without a word or effect
    silent: bool = False  # the last call got no answer
    calling: bool = False  # a call is out
    expected: int | None = None  # `CallSequence` of the newest report since the last order


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What `GET /report` says here: versions by model, whether an order is under way, and how many orders the
    endpoint has taken since its start (None if it doesn't say)."""

    models: dict[str, int]
    busy: bool
    call_sequence: int | None = None


def parse_report(body: Any) -> EndpointReport | None:  # noqa: ANN401
    """None if the body is no report."""
    try:
        taken = body.get(calls.CALL_SEQUENCE)
        known = isinstance(taken, int) and not isinstance(taken, bool)
        return EndpointReport(
            models_from(body[calls.MODELS]), bool(body[calls.BUSY]), taken if known else None
        )
    except UNREADABLE:
        return None


def backoff(tries: int) -> float:
    """s to wait after so many tries in a row without effect."""
    return min(MOST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(tries - 1, 8))


class RolloutPlan:
    """Which endpoint moves when. Fed by `update`, `ordered`, `withdrawn` and `reported`; asked for `steps`.

    `apply_s`: VersionApplyMs in s. `now` is steady time in s everywhere.
    """

    def __init__(self, apply_s: float) -> None:
        self.apply_s = apply_s
        self.wanted: dict[str, int] = {}
        self.named: dict[str, float] = {}  # when each model's version was first seen here
        self.roster: dict[str, Mapping[str, Any]] = {}
        self.known: dict[str, dict[str, int]] = {}  # versions seen in reports that the list doesn't show yet
        self.moves: dict[str, EndpointRollout] = {}
        self.move_s = MOVE_S
        self.finished: list[str] = []
        self.looked = False

    # What is so.

    def take_wanted(self, wanted: Wanted, now: float) -> None:
        """The named versions. Also by a plan that may not act: so that it knows how old each name is."""
        first, self.looked = not self.looked, True
        for model, version in wanted.items():
            if version > self.wanted.get(model, 0):
                self.wanted[model] = version
                # At a process's first look it is unknown how long the name has stood: it may be late.
                self.named[model] = now - self.apply_s * PACE_SHARE if first else now

    def take_roster(self, roster: Iterable[Mapping[str, Any]]) -> None:
        """The newest list. An empty one is no list yet: nothing is forgotten for it."""
        found = {each["id"]: each for each in roster}
        if not found:
            return
        self.roster = found
        for each in [id_ for id_ in self.moves if id_ not in found or found[id_]["draining"]]:
            del self.moves[each]
        for each in list(self.known):
            listed = found[each]["models"] if each in found else None
            kept = {m: v for m, v in self.known[each].items() if listed is not None and v > listed.get(m, 0)}
            if kept:
                self.known[each] = kept
            else:
                del self.known[each]

    def adopt(self, marks: Mapping[str, Mapping[str, Any]], now: float) -> None:
        """Begins anew after another holder, whose marks may be old or lost: reports come before orders."""
        self.finished.clear()
        self.moves.clear()
        for id_, mark in marks.items():
            for model, version in mark.get("models", {}).items():
                self._know(id_, model, version)
        moving = {id_ for id_, mark in marks.items() if mark.get("moving")}
        for id_ in self.roster:
            if self._usable(id_) and (id_ in moving or self._lag(id_)):
                self.moves[id_] = EndpointRollout(RolloutPhase.CHECKING, now, now, now, id_ in moving)

    def marks(self) -> Marks:
        """What routers have to know beyond the list (see plumline.routing.fleet)."""
        told: Marks = {id_: {"moving": False, "models": dict(models)} for id_, models in self.known.items()}
        for id_, move in self.moves.items():
            if move.moving or id_ in told:
                told[id_] = {"moving": move.moving, "models": dict(self.known.get(id_, {}))}
        return told

    @property
    def active(self) -> bool:
        """Whether anything is in progress."""
        return bool(self.moves or self.finished)

    def _usable(self, id_: str) -> bool:
        return id_ in self.roster and not self.roster[id_]["draining"]

    def _know(self, id_: str, model: str, version: int) -> None:
        if version > self.roster.get(id_, {}).get("models", {}).get(model, 0):
            models = self.known.setdefault(id_, {})
            models[model] = max(version, models.get(model, 0))

    def _lag(self, id_: str) -> tuple[str, int] | None:
        """A model of this endpoint, and the version, that it has yet to be moved to."""
        known = self.known.get(id_, {})
        for model, listed in self.roster[id_]["models"].items():
            wanted = self.wanted.get(model, 0)
            if wanted > max(listed, known.get(model, 0)):
                return model, wanted
        return None

    # What to do.

    def steps(self, now: float) -> list[Step]:
        """What is due. A call's step comes once and waits for its result."""
        found = [step for id_ in list(self.moves) if (step := self._next(id_, self.moves[id_], now))]
        found += [Step(StepKind.ANNOUNCE, id_) for id_ in self._begin(now)]
        found += [Step(StepKind.DONE, id_) for id_ in self.finished]
        self.finished.clear()
        return found

    def _next(self, id_: str, move: EndpointRollout, now: float) -> Step | None:
        if move.calling or move.phase is RolloutPhase.BACKING_OFF:
            return None
        if move.moving and move.phase is not RolloutPhase.ANNOUNCED and now - move.heard >= SILENCE_S:
            move.moving, move.phase = False, RolloutPhase.CHECKING  # what it has is for its own 421s to tell
        if now < move.due - EARLY_S:
            return None
        if move.phase is RolloutPhase.ANNOUNCED:
            if not (lag := self._lag(id_)):  # the list has shown it meanwhile
                self._finish(id_)
                return None
            move.model, move.version = lag
            move.calling = True
            return Step(StepKind.ORDER, id_, *lag, move.expected)
        move.calling = True
        return Step(StepKind.REPORT, id_)

    def _begin(self, now: float) -> list[str]:
        """The endpoints that may begin to move now, marked so."""
        waiting: dict[str, list[str]] = {}
        needing: dict[str, int] = {}
        moving: dict[str, int] = {}
        total: dict[str, int] = {}
        zones: dict[tuple[str, str], int] = {}  # moving, by service and zone
        for id_, each in self.roster.items():
            if each["draining"]:
                continue
            service, move = each["service"], self.moves.get(id_)
            total[service] = total.get(service, 0) + 1
            if move and move.moving:
                zones[service, each["zone"]] = zones.get((service, each["zone"]), 0) + 1
                moving[service] = moving.get(service, 0) + (not move.silent)  # it would hold up the others
            if not self._lag(id_):
                if move and move.phase is RolloutPhase.BACKING_OFF:
                    self._finish(id_)
                continue
            needing[service] = needing.get(service, 0) + 1
            if not move or (move.phase is RolloutPhase.BACKING_OFF and now >= move.due - EARLY_S):
                waiting.setdefault(service, []).append(id_)
        begun: list[str] = []
        for service, ids in waiting.items():
            room = self._at_once(total[service], needing[service], ids, now) - moving.get(service, 0)
            ids.sort()
            while ids and room > 0:
                # One zone after the other in turn: no zone loses more of its own than the others do.
                id_ = min(ids, key=lambda each: zones.get(self._place(each), 0))
                ids.remove(id_)
                zones[self._place(id_)] = zones.get(self._place(id_), 0) + 1
                before = self.moves.get(id_)
                move = EndpointRollout(RolloutPhase.ANNOUNCED, now + ANNOUNCE_S, now, now, True)
                if before is not None:
                    move.tries, move.expected = before.tries, before.expected
                self.moves[id_] = move
                begun.append(id_)
                room -= 1
        return begun

    def _place(self, id_: str) -> tuple[str, str]:
        return self.roster[id_]["service"], self.roster[id_]["zone"]

    def _at_once(self, total: int, needing: int, ids: list[str], now: float) -> int:
        """How many of a service may move at a time: few, but done in time; at most a third unless late."""
        since = min(self.named[lag[0]] for id_ in ids if (lag := self._lag(id_)))
        age = now - since
        if age >= LATE_SHARE * self.apply_s:
            return total
        rounds = max(1, int((PACE_SHARE * self.apply_s - age) / self.move_s))
        return min(max(1, math.ceil(total / MOVING_SHARE)), math.ceil(needing / rounds))

    def _finish(self, id_: str) -> None:
        del self.moves[id_]
        self.finished.append(id_)

    def _back_off(self, move: EndpointRollout, now: float) -> None:
        move.tries += 1
        move.phase, move.moving, move.due = RolloutPhase.BACKING_OFF, False, now + backoff(move.tries)

    # What came of it.

    def withdrawn(self, id_: str) -> None:
        """The order was not sent, as the lease wasn't ours at that moment."""
        if move := self.moves.get(id_):
            move.calling = False

    def ordered(self, id_: str, status: int | None, sent: bool, now: float) -> None:
        """An order's answer; None: there was none. `sent`: the order may have been taken."""
        if not (move := self.moves.get(id_)):
            return
        move.calling, move.silent, move.expected = False, status is None, None
        if status == 200:
            self._achieved(id_, move, now)
        elif status == 202:
            move.phase, move.ordered, move.heard, move.due = (
                RolloutPhase.ORDERED,
                now,
                now,
                now + FIRST_REPORT_S,
            )
        elif status == 409:  # another order is under way: its end shows in reports
            move.phase, move.ordered, move.heard, move.due = RolloutPhase.ORDERED, now, now, now + REPORT_S
        elif status is None and sent:
            move.tries += 1
            move.phase, move.ordered, move.due = RolloutPhase.ORDERED, now, now + backoff(move.tries)
        else:
            # Not taken (unreachable; 400, 421, 5xx), or another holder's order came after ours (412): the
            # endpoint serves on as it is.
            self._back_off(move, now)

    def reported(self, id_: str, report: EndpointReport | None, now: float) -> None:
        """A report, or None if none came."""
        if not (move := self.moves.get(id_)):
            return
        move.calling, move.silent = False, report is None
        if report is None:
            move.tries += 1
            move.due = now + backoff(move.tries)
            return
        move.heard, move.expected = now, report.call_sequence
        for model, version in report.models.items():
            self._know(id_, model, version)
        if report.busy:
            if move.phase is RolloutPhase.CHECKING:
                move.phase, move.ordered, move.moving = RolloutPhase.ORDERED, now, True
            move.tries, move.due = 0, now + REPORT_S
        elif move.phase is RolloutPhase.CHECKING:
            self._checked(id_, move, now)
        elif report.models.get(move.model, 0) >= move.version:
            self._achieved(id_, move, now)
        elif now - move.ordered < LOST_ORDER_S:
            move.due = now + REPORT_S
        elif move.tries >= MOST_TRIES:
            self._back_off(move, now)
        else:
            move.tries += 1
            move.phase, move.due = RolloutPhase.ANNOUNCED, now + backoff(move.tries)

    def _checked(self, id_: str, move: EndpointRollout, now: float) -> None:
        if not self._lag(id_):
            self._finish(id_)
        elif move.moving:
            move.phase, move.due, move.tries = RolloutPhase.ANNOUNCED, now, 0
        else:
            move.phase, move.due, move.tries = RolloutPhase.BACKING_OFF, now, 0

    def _achieved(self, id_: str, move: EndpointRollout, now: float) -> None:
        """It has the version that it was ordered to; a newer one or another model may be next."""
        if move.model:
            self._know(id_, move.model, move.version)
        if not move.tries and move.ordered:
            took = min(MOST_MOVE_S, max(LEAST_MOVE_S, now - move.begun))
            self.move_s += LEARN_SHARE * (took - self.move_s)
        if self._lag(id_):
            move.phase, move.due, move.begun, move.heard, move.tries = (
                RolloutPhase.ANNOUNCED,
                now,
                now,
                now,
                0,
            )
        else:
            self._finish(id_)


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
