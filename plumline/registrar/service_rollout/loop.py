"""The control loop of the roll-outs of service versions: executes the decisions of their controllers.

Each stage is recorded first, by a change that the chain commits, and takes effect once the record shows it. A
decision carries the lease term: the record accepts none of an earlier term. Grants are published as soft
state under the same term, and repeated, as they expire at the routers after a short time.
"""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from plumline import logs
from plumline.configuration.service_rollouts import AdvanceRollout, RolloutRecord, RolloutStage
from plumline.errors import PlumlineError
from plumline.registrar.service_rollout.controller import (
    Decision,
    ExposureBound,
    RolloutController,
    ServiceSnapshot,
)
from plumline.registrar.service_rollout.evidence import RolloutReportDirectory
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet_state import GRANT_DURATION_S, ListedEndpoint, RolloutGrant

STEP_INTERVAL_S = 0.2  # between decisions while a roll-out is in progress
IDLE_INTERVAL_S = 1.0  # between checks otherwise, unless woken
GRANT_INTERVAL_S = GRANT_DURATION_S / 4  # between publications of unchanged grants
DEFAULT_EXPOSURE = ExposureBound(share=0.1, slack=50.0)
COMPLETED_GRANT_S = 5.0  # how long a completed roll-out's grant is published, for routers without the record
RECORD_TIMEOUT_S = 1.0  # until a decision that has not been recorded is submitted again

log = logs.logger("registrar")

Grants = Mapping[str, RolloutGrant]  # by service


class ServiceRolloutEnvironment(Protocol):
    """What the roll-outs need from the registrar that they run in."""

    def fencing_token(self) -> int | None:
        """The term of the lease, None unless it is held now."""

    def records(self) -> Mapping[str, RolloutRecord]:
        """The committed records, by service."""

    def endpoints(self) -> Sequence[ListedEndpoint]:
        """The newest list of endpoints, empty if there is none."""

    def live_routers(self) -> frozenset[str]:
        """The nodes of the live routers."""

    def publish(self, grants: Grants) -> None:
        """Publishes the grants, if the lease is still held."""

    def has_published_grants(self) -> bool:
        """Whether the newest grants published by any lease holder are non-empty."""

    def record(self, decision: AdvanceRollout, on_result: Callable[[PlumlineError | None], None]) -> None:
        """Submits a decision to the chain."""


class ServiceRolloutLoop:
    """Controls all roll-outs in progress while the lease is held; tracks their age also without it."""

    def __init__(
        self,
        environment: ServiceRolloutEnvironment,
        clock: Callable[[], float] = time.monotonic,
        *,
        exposure: ExposureBound = DEFAULT_EXPOSURE,
        wait: Wait = wait_for,
    ) -> None:
        """`clock` is steady time in s; `exposure` limits the requests to a bad version."""
        self.environment, self.clock, self.wait = environment, clock, wait
        self.exposure = exposure
        self.reports = RolloutReportDirectory()
        self.controllers: dict[str, RolloutController] = {}  # by service, under this term
        self.term: int | None = None
        self._started_at: dict[tuple[str, str], float] = {}  # earliest known start, by service and target
        self._published_grants: Grants | None = None  # last published under this term
        self._published_at = 0.0
        self._completed: dict[str, tuple[str, float]] = {}  # target and time of the decision, by service
        self._submitted: dict[str, tuple[RolloutStage, float]] = {}  # stage and time, by service
        self._event = asyncio.Event()

    def wake(self) -> None:
        """Runs the next step now: the records, the lease or the list of endpoints has changed."""
        self._event.set()

    async def run(self) -> None:
        """Controls the roll-outs until cancelled."""
        while True:
            self._event.clear()
            await self.wait(self._event, self.step())

    def step(self) -> float:
        """Makes and executes the decisions that are due. Returns the time (s) until the next step."""
        now = self.clock()
        running = {name: each for name, each in self.environment.records().items() if each.stage.running}
        self._track_running(running, now)
        term = self.environment.fencing_token()
        if term != self.term:
            self.term, self._published_grants = term, None
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
        """Grants for routers without the record of a completion, as endpoints of other versions stop."""
        records = self.environment.records()
        grants: dict[str, RolloutGrant] = {}
        for service, (target, decided_at) in list(self._completed.items()):
            record = records.get(service)
            is_expired = now >= decided_at + COMPLETED_GRANT_S
            if is_expired or record is None or record.target != target:
                del self._completed[service]
            elif record.stage is RolloutStage.COMPLETED:
                grants[service] = RolloutGrant(target, RolloutStage.HOLDING, 1.0, None)
        return grants

    def _track_running(self, running: Mapping[str, RolloutRecord], now: float) -> None:
        """Updates the age and evidence of these roll-outs; drops the state of all others."""
        targets = {service: record.target for service, record in running.items()}
        self.reports.retain(targets)
        self._started_at = {key: at for key, at in self._started_at.items() if targets.get(key[0]) == key[1]}
        for service, record in running.items():
            started_at = now - record.elapsed_ms / 1000
            key = service, record.target
            self._started_at[key] = min(self._started_at.get(key, started_at), started_at)
            self.reports.reports_of(service, record.target).sample(now)
        for service in [service for service in self.controllers if service not in running]:
            del self.controllers[service]

    def _decide(self, record: RolloutRecord, now: float) -> Decision:
        service = record.service
        elapsed_s = now - self._started_at[service, record.target]
        controller = self.controllers.get(service)
        if controller is None:
            controller = RolloutController(record, now, self.exposure, elapsed_s)
            self.controllers[service] = controller
        endpoints = [each for each in self.environment.endpoints() if each.service == service]
        snapshot = ServiceSnapshot(endpoints, self.environment.live_routers())
        return controller.decide(record, now, snapshot, self.reports.reports_of(service, record.target))

    def _record(self, record: RolloutRecord, decision: Decision, term: int, now: float) -> None:
        """Submits the stage, unless it was submitted within RECORD_TIMEOUT_S."""
        assert decision.stage is not None
        service, stage = record.service, decision.stage
        submitted = self._submitted.get(service)
        if submitted is not None and submitted[0] is stage and now < submitted[1] + RECORD_TIMEOUT_S:
            return
        self._submitted[service] = stage, now
        if stage is RolloutStage.COMPLETED:
            self._completed[service] = record.target, now
        elapsed_s = now - self._started_at[service, record.target]
        self._log_decision(record, decision, elapsed_s)
        advance = AdvanceRollout(service, record.target, stage, term, round(elapsed_s * 1000))

        def on_result(error: PlumlineError | None) -> None:
            if error is not None:
                self._submitted.pop(service, None)
            self.wake()

        self.environment.record(advance, on_result)

    def _log_decision(self, record: RolloutRecord, decision: Decision, elapsed_s: float) -> None:
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
        """Publishes grants that have changed or are due again; empty ones only to revoke earlier ones."""
        changed = grants != self._published_grants
        if not changed and (not grants or now < self._published_at + GRANT_INTERVAL_S):
            return
        if not grants and self._published_grants is None and not self.environment.has_published_grants():
            self._published_grants = grants
            return
        self._published_grants, self._published_at = grants, now
        self.environment.publish(grants)
