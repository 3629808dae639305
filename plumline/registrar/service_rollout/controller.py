"""Decides the next step of one roll-out of a service version. Pure: turns evidence into a decision.

The stages, timed by fractions of the roll-out's duration (`duration_s`, from its start to its deadline):

- announced: waits for endpoints of the target version to be listed.
- canary: a few endpoints of the target version each take the load of one in service, limited to the share
  that a bad version may get. Lasts at least until CANARY_END, to detect a version that turns bad late.
- growing: all endpoints of the target version take a share that rises by GROWTH_SHARES.
- holding: they take all new requests, until no request runs at other versions, or until HOLDING_END.
- completed; or reverted, from any stage, as soon as the version is found to be bad.

Times are steady seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from plumline.configuration.service_rollouts import RolloutRecord, RolloutStage
from plumline.coordination.rendezvous import Candidate, choose_across_zones
from plumline.registrar.service_rollout.evidence import RolloutReports, RouterProgress
from plumline.registrar.service_rollout.verdict import Judgement, Verdict, judge
from plumline.routing.fleet_state import ListedEndpoint, RolloutGrant

# Fractions of the roll-out's duration.
CANARY_END = 0.5  # earliest end of the canary stage
UNSUSPECTED_CANARY_END = 0.65  # the same for a version that is unsuspected, but not proven good
GROWTH_STEP_DURATION = 0.035  # time between two of the GROWTH_SHARES
HOLDING_END = 0.88  # end of the wait for requests at other versions
JUDGEMENT_TIMEOUT = 2.0  # end of the wait for a verdict; the roll-out is reverted then
GROWTH_SHARES = (0.1, 0.2, 0.4)  # shares of the requests in the growing stage
#: Fraction of the share that a bad version may get which the canary endpoints take. The rest allows for the
#: time that it takes to stop a version that turns bad in the growing stage.
CANARY_SHARE = 0.8
CANARY_SLACK_SHARE = 0.5  # fraction of the slack that the canary endpoints take
MAX_CANARY_SHARE = 0.25  # of the requests, however few they are
MIN_CANARIES = 2  # endpoints; with one, its own fault is indistinguishable from one of its version
MIN_TARGET_SHARE = 0.75  # endpoints of the target version needed, as a fraction of those in service
MIN_HOLDING_S = 0.5  # for the grant to reach the routers and their reports to arrive
MIN_OVERDUE_HOLDING_S = 2.0  # the same, if the stage starts after HOLDING_END
RECENT_WINDOWS_S = (1.5, 4.0)  # windows that are tested for a version that turned bad late


class ExposureBound(NamedTuple):
    """Limits the requests to a bad version between the start and the deadline of a roll-out."""

    share: float  # of all requests for the service
    slack: float  # number of requests beyond that share

    def canary_share(self, requests: float) -> float:
        """The share that the canary endpoints may take. `requests`: from start to deadline; 0: unknown."""
        share = CANARY_SHARE * self.share
        if requests > 0:
            share += CANARY_SLACK_SHARE * self.slack / requests
        return min(share, max(MAX_CANARY_SHARE, CANARY_SHARE * self.share))


class ServiceSnapshot(NamedTuple):
    """The present endpoints of a service, and the live routers."""

    endpoints: Sequence[ListedEndpoint]  # of the service
    routers: frozenset[str]  # nodes of the live ones


class Decision(NamedTuple):
    """The result of one evaluation of a roll-out."""

    stage: RolloutStage | None  # to be recorded; None: the stage doesn't change
    grant: RolloutGrant | None  # for the routers until the next decision; None: no version on trial
    reason: str
    judgement: Judgement | None = None


@dataclass(slots=True)
class _Progress:
    """Start times of the roll-out, its stage and its growth step, as far as this controller knows."""

    started_at: float
    stage: RolloutStage
    stage_started_at: float
    step: int = 0  # index into GROWTH_SHARES, or beyond its end
    step_started_at: float = 0.0


class RolloutController:
    """Decides the stages and grants of one roll-out, at the lease holder."""

    def __init__(self, record: RolloutRecord, now: float, exposure: ExposureBound, elapsed_s: float) -> None:
        """`elapsed_s`: since the start of the roll-out."""
        self.exposure = exposure
        self.suspects: set[str] = set()  # ids of endpoints whose faults are taken as their own
        self._progress = _Progress(now - elapsed_s, record.stage, now, step_started_at=now)

    def elapsed_s(self, now: float) -> float:
        """Time (s) since the start of the roll-out, as far as is known."""
        return now - self._progress.started_at

    def decide(
        self, record: RolloutRecord, now: float, snapshot: ServiceSnapshot, reports: RolloutReports
    ) -> Decision:
        """Decides the next step of a roll-out in progress."""
        if record.stage is not self._progress.stage:
            self._progress.stage, self._progress.stage_started_at = record.stage, now
            self._progress.step_started_at = now
        recent = [reports.evidence_since(now - window_s) for window_s in RECENT_WINDOWS_S]
        target, serving = _by_version(record, snapshot.endpoints)
        judgement = judge(
            reports.evidence,
            recent,
            reports.baseline(),
            frozenset(self.suspects),
            single_endpoint=len(target) == 1,
        )
        if judgement.verdict is Verdict.BAD:
            return Decision(RolloutStage.REVERTED, None, "bad answers", judgement)
        if judgement.suspect is not None:
            self.suspects.add(judgement.suspect)
        elapsed_share = self.elapsed_s(now) / record.duration_s
        if elapsed_share >= JUDGEMENT_TIMEOUT:
            return Decision(RolloutStage.REVERTED, None, "not judged in time", judgement)
        match record.stage:
            case RolloutStage.ANNOUNCED:
                decision = self._decide_announced(target, serving)
            case RolloutStage.CANARY:
                requests = reports.request_rate(now) * record.duration_s
                grant = self._canary_grant(record, target, serving, requests)
                decision = self._decide_canary(grant, elapsed_share, target, serving, judgement)
            case RolloutStage.GROWING:
                decision = self._decide_growing(record, now, target, serving, judgement)
            case _:
                decision = self._decide_holding(record, now, elapsed_share, snapshot, reports, judgement)
        return decision._replace(judgement=judgement)

    def _decide_announced(self, target: list[ListedEndpoint], serving: list[ListedEndpoint]) -> Decision:
        if len(target) < max(min(MIN_CANARIES, len(serving)), 1):
            return Decision(None, None, "no endpoints of the target version")
        return Decision(RolloutStage.CANARY, None, "endpoints of the target version are listed")

    def _decide_canary(
        self,
        grant: RolloutGrant,
        elapsed_share: float,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        judgement: Judgement,
    ) -> Decision:
        if elapsed_share < CANARY_END:
            return Decision(None, grant, "watched")
        if len(target) < MIN_TARGET_SHARE * len(serving):
            return Decision(None, grant, "too few endpoints of the target version")
        if judgement.verdict is Verdict.GOOD:
            return Decision(RolloutStage.GROWING, grant, "good answers")
        if elapsed_share >= UNSUSPECTED_CANARY_END and judgement.verdict is Verdict.UNSUSPECTED:
            return Decision(RolloutStage.GROWING, grant, "nothing speaks against it")
        return Decision(None, grant, "not judged yet")

    def _canary_grant(
        self,
        record: RolloutRecord,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        requests: float,
    ) -> RolloutGrant:
        """A few endpoints, each with the load of one in service, to detect faults that only load shows."""
        max_share = self.exposure.canary_share(requests)
        count = max(MIN_CANARIES, int(max_share * len(serving)))
        unsuspected = [endpoint for endpoint in target if endpoint.id not in self.suspects] or target
        candidates = [Candidate(endpoint.id, endpoint.zone) for endpoint in unsuspected]
        chosen = choose_across_zones(record.target, candidates, count)
        share = min(max_share, len(chosen) / max(len(serving), 1))
        return RolloutGrant(record.target, RolloutStage.CANARY, share, tuple(chosen))

    def _decide_growing(
        self,
        record: RolloutRecord,
        now: float,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        judgement: Judgement,
    ) -> Decision:
        if judgement.verdict is Verdict.UNDECIDED:
            # The share rises only after evidence against the version has been resolved.
            self._progress.step_started_at = now
        elif now >= self._progress.step_started_at + GROWTH_STEP_DURATION * record.duration_s:
            self._progress.step += 1
            self._progress.step_started_at = now
        step = self._progress.step
        share = GROWTH_SHARES[min(step, len(GROWTH_SHARES) - 1)]
        grant = RolloutGrant(record.target, RolloutStage.GROWING, share, None)
        if step < len(GROWTH_SHARES):
            return Decision(None, grant, "grows")
        if len(target) < MIN_TARGET_SHARE * len(serving):
            return Decision(None, grant, "too few endpoints of the target version")
        return Decision(RolloutStage.HOLDING, grant, "has grown")

    def _decide_holding(
        self,
        record: RolloutRecord,
        now: float,
        elapsed_share: float,
        snapshot: ServiceSnapshot,
        reports: RolloutReports,
        judgement: Judgement,
    ) -> Decision:
        grant = RolloutGrant(record.target, RolloutStage.HOLDING, 1.0, None)
        if judgement.verdict is Verdict.UNDECIDED and elapsed_share < HOLDING_END:
            return Decision(None, grant, "not judged yet")
        holding_s = now - self._progress.stage_started_at
        if holding_s >= MIN_HOLDING_S and _all_routers_switched(snapshot.routers, reports.routers):
            return Decision(RolloutStage.COMPLETED, grant, "nothing runs at other versions")
        if elapsed_share >= HOLDING_END and holding_s >= MIN_OVERDUE_HOLDING_S:
            return Decision(RolloutStage.COMPLETED, grant, "the deadline is near")
        return Decision(None, grant, "requests run at other versions")


def _by_version(
    record: RolloutRecord, endpoints: Sequence[ListedEndpoint]
) -> tuple[list[ListedEndpoint], list[ListedEndpoint]]:
    """The endpoints that aren't draining: of the target version, and of the versions in service."""
    ready = [endpoint for endpoint in endpoints if not endpoint.draining]
    target = [endpoint for endpoint in ready if endpoint.version == record.target]
    excluded = {record.target, *record.reverted}
    return target, [endpoint for endpoint in ready if endpoint.version not in excluded]


def _all_routers_switched(live_routers: frozenset[str], reported: dict[str, RouterProgress]) -> bool:
    """Whether each live router sends all requests to the target version, and none runs at others."""
    if not live_routers:
        return False
    return all(
        (progress := reported.get(node)) is not None
        and progress.stage is RolloutStage.HOLDING
        and progress.others_running == 0
        for node in live_routers
    )
