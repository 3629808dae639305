"""The loop of the roll-outs of service versions: carries out what their controllers decide.

Each stage is recorded first, by a change that the chain commits, and acted on once the record shows it. A
decision carries the term of the lease: the record takes none of an earlier term. Grants go out as soft state
under the same term, again and again, since routers use them for a short time only.
"""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from plumline import logs
from plumline.configuration.service_rollouts import AdvanceRollout, RolloutRecord, RolloutStage
from plumline.errors import PlumlineError
from plumline.registrar.service_rollout.controller import Decision, ExposureBound, Fleet, RolloutController
from plumline.registrar.service_rollout.evidence import RolloutReportDirectory
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet_state import GRANT_DURATION_S, ListedEndpoint, RolloutGrant

STEP_INTERVAL_S = 0.2  # between two decisions while a roll-out is under way
IDLE_INTERVAL_S = 1.0  # between two looks otherwise, unless woken
GRANT_INTERVAL_S = GRANT_DURATION_S / 4  # after which an unchanged grant goes out again
DEFAULT_EXPOSURE = ExposureBound(share=0.1, slack=50.0)
COMPLETED_GRANT_S = 5.0  # for which a completed roll-out's grant goes out: routers may lack the record yet
RECORD_TIMEOUT_S = 1.0  # after which a decision that was not recorded is submitted again

log = logs.logger("registrar")

Grants = Mapping[str, RolloutGrant]  # by service


class ServiceRolloutEnvironment(Protocol):
    """What the roll-outs need of the registrar that they run in."""

    def fencing_token(self) -> int | None:
        """The term of the lease, None unless it is held at this moment."""

    def records(self) -> Mapping[str, RolloutRecord]:
        """The committed records, by service."""

    def endpoints(self) -> Sequence[ListedEndpoint]:
        """The newest list of endpoints, empty if there is none."""

    def live_routers(self) -> frozenset[str]:
        """The nodes of the routers that are alive."""

    def publish(self, grants: Grants) -> None:
        """Publishes the grants, if the lease is still held."""

    def published_any(self) -> bool:
        """Whether the newest grants that any holder has published allow anything."""

    def record(self, decision: AdvanceRollout, on_result: Callable[[PlumlineError | None], None]) -> None:
        """Submits a decision to the chain."""


class RolloutSteering:
    """Steers all roll-outs that are under way, while the lease is held; watches their age all the time."""

    def __init__(
        self,
        environment: ServiceRolloutEnvironment,
        clock: Callable[[], float] = time.monotonic,
        *,
        exposure: ExposureBound = DEFAULT_EXPOSURE,
        wait: Wait = wait_for,
    ) -> None:
        """`clock` is steady time in s; `exposure`: what a bad version may get."""
        self.environment, self.clock, self.wait = environment, clock, wait
        self.exposure = exposure
        self.reports = RolloutReportDirectory()
        self.controllers: dict[str, RolloutController] = {}  # by service, of this term
        self.term: int | None = None
        self._seen_at: dict[tuple[str, str], float] = {}  # when a roll-out was seen first, less its age
        self._granted: Grants | None = None  # the last that were published in this term
        self._grant_at = 0.0
        self._completed: dict[str, tuple[str, float]] = {}  # target by service, and when it was decided
        self._submitted: dict[str, tuple[RolloutStage, float]] = {}  # by service, and when
        self._event = asyncio.Event()

    def wake(self) -> None:
        """Brings the next look: the records, the lease or the list of endpoints has changed."""
        self._event.set()

    async def run(self) -> None:
        """Steers until cancelled."""
        while True:
            self._event.clear()
            await self.wait(self._event, self.step())

    def step(self) -> float:
        """Decides and carries out what is due. Returns the time (s) to the next look."""
        now = self.clock()
        running = {name: each for name, each in self.environment.records().items() if each.stage.running}
        self._watch(running, now)
        term = self.environment.fencing_token()
        if term != self.term:
            self.term, self._granted = term, None
            self.controllers.clear()
            self._submitted.clear()
            self._completed.clear()
        if term is None:
            return IDLE_INTERVAL_S
        grants = self._grants_of_completed(now)
        for service, record in running.items():
            decision = self._decide(record, now)
            if decision.grant is not None:
                grants[service] = decision.grant
            if decision.stage is not None:
                self._record(record, decision, term, now)
        self._publish(grants, now)
        return STEP_INTERVAL_S if running or grants else IDLE_INTERVAL_S

    def _grants_of_completed(self, now: float) -> dict[str, RolloutGrant]:
        """Grants for routers that don't know yet that a roll-out is completed: the other versions stop."""
        records = self.environment.records()
        found: dict[str, RolloutGrant] = {}
        for service, (target, seen_at) in list(self._completed.items()):
            record = records.get(service)
            is_over = now >= seen_at + COMPLETED_GRANT_S
            if is_over or record is None or record.target != target:
                del self._completed[service]
            elif record.stage is RolloutStage.COMPLETED:
                found[service] = RolloutGrant(target, RolloutStage.HOLDING, 1.0, None)
        return found

    def _watch(self, running: Mapping[str, RolloutRecord], now: float) -> None:
        """Keeps what is known of these roll-outs, and forgets the rest."""
        targets = {service: record.target for service, record in running.items()}
        self.reports.retain(targets)
        self._seen_at = {key: at for key, at in self._seen_at.items() if targets.get(key[0]) == key[1]}
        for service, record in running.items():
            began_at = now - record.elapsed_ms / 1000
            key = service, record.target
            self._seen_at[key] = min(self._seen_at.get(key, began_at), began_at)
            self.reports.of(service, record.target).sample(now)
        for service in [service for service in self.controllers if service not in running]:
            del self.controllers[service]

    def _decide(self, record: RolloutRecord, now: float) -> Decision:
        service = record.service
        elapsed_s = now - self._seen_at[service, record.target]
        controller = self.controllers.get(service)
        if controller is None:
            controller = RolloutController(record, now, self.exposure, elapsed_s)
            self.controllers[service] = controller
        endpoints = [each for each in self.environment.endpoints() if each.service == service]
        fleet = Fleet(endpoints, self.environment.live_routers())
        return controller.decide(record, now, fleet, self.reports.of(service, record.target))

    def _record(self, record: RolloutRecord, decision: Decision, term: int, now: float) -> None:
        """Submits the stage, unless it has been a moment ago."""
        assert decision.stage is not None
        service, stage = record.service, decision.stage
        submitted = self._submitted.get(service)
        if submitted is not None and submitted[0] is stage and now < submitted[1] + RECORD_TIMEOUT_S:
            return
        self._submitted[service] = stage, now
        if stage is RolloutStage.COMPLETED:
            self._completed[service] = record.target, now
        elapsed_s = now - self._seen_at[service, record.target]
        self._log(record, decision, elapsed_s)
        advance = AdvanceRollout(service, record.target, stage, term, round(elapsed_s * 1000))

        def on_result(error: PlumlineError | None) -> None:
            if error is not None:
                self._submitted.pop(service, None)
            self.wake()

        self.environment.record(advance, on_result)

    def _log(self, record: RolloutRecord, decision: Decision, elapsed_s: float) -> None:
        judgement = decision.judgement
        fields = {
            "service": record.service,
            "target": record.target,
            "stage": decision.stage,
            "reason": decision.reason.replace(" ", "-"),
            "elapsed": round(elapsed_s, 2),
        }
        if judgement is not None:
            fields |= {"ratio": round(judgement.ratio, 1), "answers": judgement.answers}
            fields |= {"route": judgement.scope or "all"}
        log.info(logs.event("rollout", **fields))

    def _publish(self, grants: Grants, now: float) -> None:
        """Publishes grants that have changed, or are due again; an empty one only to take others back."""
        changed = grants != self._granted
        if not changed and (not grants or now < self._grant_at + GRANT_INTERVAL_S):
            return
        if not grants and self._granted is None and not self.environment.published_any():
            self._granted = grants
            return
        self._granted, self._grant_at = grants, now
        self.environment.publish(grants)
