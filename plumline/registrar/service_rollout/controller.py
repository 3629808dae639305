"""Decides what comes next in one roll-out of a service version. Pure: evidence in, a decision out.

The stages, by the share of the time from the order to the deadline (`duration_s`):

- announced: until endpoints of the target version are listed.
- canary: few endpoints of the target version take as much each as one in service, within the share that a bad
  version may get. At least until CANARY_END; a version that turns bad late is to be seen here.
- growing: all its endpoints take a share that rises by GROWTH_STEPS.
- holding: they take all new requests, until nothing runs at other versions, or HOLDING_END.
- completed, or at any stage reverted, as soon as the version is found to be bad.

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

# Shares of the roll-out's duration.
CANARY_END = 0.5  # the earliest end of the canary stage
CANARY_PATIENCE = 0.65  # from here on a version that nothing speaks against may go on without a full proof
GROWTH_STEP = 0.035  # the time of one step
HOLDING_END = 0.88  # when requests at other versions are waited for no longer
OVERTIME = 2.0  # when a roll-out that can't be judged is reverted
GROWTH_STEPS = (0.1, 0.2, 0.4)  # shares of the requests while growing
#: Of the share that a bad version may get: what the canary endpoints take. The rest is for the time that it
#: takes to stop a version that turns bad while it grows.
CANARY_SHARE = 0.8
CANARY_SLACK_SHARE = 0.5  # the same, of the requests beyond that share
MAX_CANARY_SHARE = 0.25  # of the requests, however few they are
MIN_CANARIES = 2  # one endpoint's fault could not be told from its version's
MIN_TARGET_SHARE = 0.75  # of the endpoints in service: so many of the target version take over from them
MIN_HOLDING_S = 0.5  # for the grant to reach the routers and their reports to come back
MIN_OVERDUE_HOLDING_S = 2.0  # the same, where HOLDING_END is over before the stage has begun
RECENT_WINDOWS_S = (1.5, 4.0)


class ExposureBound(NamedTuple):
    """What a bad version may get between the order and the deadline."""

    share: float  # of all requests for the service
    slack: float  # requests beyond that

    def canary_share(self, requests: float) -> float:
        """The share that the canary endpoints may take. `requests`: from order to deadline; 0: unknown."""
        share = CANARY_SHARE * self.share
        if requests > 0:
            share += CANARY_SLACK_SHARE * self.slack / requests
        return min(share, max(MAX_CANARY_SHARE, CANARY_SHARE * self.share))


class Fleet(NamedTuple):
    """What a controller sees of the service and of the routers."""

    endpoints: Sequence[ListedEndpoint]  # of the service
    routers: frozenset[str]  # nodes of those that are alive


class Decision(NamedTuple):
    """What is to be done now."""

    stage: RolloutStage | None  # to be recorded; None: the recorded one stays
    grant: RolloutGrant | None  # for the routers until the next decision; None: nothing on trial
    reason: str
    judgement: Judgement | None = None


@dataclass(slots=True)
class _Progress:
    """When this controller has seen the roll-out and its stage for the first time."""

    began_at: float  # the order, as far as is known
    stage: RolloutStage
    stage_at: float
    step: int = 0  # of GROWTH_STEPS
    step_at: float = 0.0  # when it was begun


class RolloutController:
    """One for a roll-out, at the holder of the lease."""

    def __init__(self, record: RolloutRecord, now: float, exposure: ExposureBound, elapsed_s: float) -> None:
        """`elapsed_s`: since the order."""
        self.exposure = exposure
        self.suspects: set[str] = set()  # endpoints that alone speak against the version
        self._progress = _Progress(now - elapsed_s, record.stage, now, step_at=now)

    def elapsed_s(self, now: float) -> float:
        """S since the order, as far as is known."""
        return now - self._progress.began_at

    def decide(self, record: RolloutRecord, now: float, fleet: Fleet, reports: RolloutReports) -> Decision:
        """The next step of a roll-out that is under way."""
        if record.stage is not self._progress.stage:
            self._progress.stage, self._progress.stage_at = record.stage, now
            self._progress.step_at = now
        recent = [reports.weights_since(now - length) for length in RECENT_WINDOWS_S]
        target, serving = _by_version(record, fleet.endpoints)
        judgement = judge(
            reports.weights,
            recent,
            reports.baseline(),
            frozenset(self.suspects),
            single=len(target) == 1,
        )
        if judgement.verdict is Verdict.BAD:
            return Decision(RolloutStage.REVERTED, None, "bad answers", judgement)
        if judgement.suspect is not None:
            self.suspects.add(judgement.suspect)
        share_of_time = self.elapsed_s(now) / record.duration_s
        if share_of_time >= OVERTIME:
            return Decision(RolloutStage.REVERTED, None, "not judged in time", judgement)
        match record.stage:
            case RolloutStage.ANNOUNCED:
                decision = self._announced(target, serving)
            case RolloutStage.CANARY:
                requests = reports.request_rate(now) * record.duration_s
                grant = self._canary_grant(record, target, serving, requests)
                decision = self._canary(grant, share_of_time, target, serving, judgement)
            case RolloutStage.GROWING:
                decision = self._growing(record, now, target, serving, judgement)
            case _:
                decision = self._holding(record, now, share_of_time, fleet, reports, judgement)
        return decision._replace(judgement=judgement)

    def _announced(self, target: list[ListedEndpoint], serving: list[ListedEndpoint]) -> Decision:
        if len(target) < max(min(MIN_CANARIES, len(serving)), 1):
            return Decision(None, None, "no endpoints of the target version")
        return Decision(RolloutStage.CANARY, None, "endpoints of the target version are listed")

    def _canary(
        self,
        grant: RolloutGrant,
        share_of_time: float,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        judgement: Judgement,
    ) -> Decision:
        if share_of_time < CANARY_END:
            return Decision(None, grant, "watched")
        if len(target) < MIN_TARGET_SHARE * len(serving):
            return Decision(None, grant, "too few endpoints of the target version")
        if judgement.verdict is Verdict.GOOD:
            return Decision(RolloutStage.GROWING, grant, "good answers")
        if share_of_time >= CANARY_PATIENCE and judgement.verdict is Verdict.UNSUSPECTED:
            return Decision(RolloutStage.GROWING, grant, "nothing speaks against it")
        return Decision(None, grant, "not judged yet")

    def _canary_grant(
        self,
        record: RolloutRecord,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        requests: float,
    ) -> RolloutGrant:
        """Few endpoints, each with the load of one in service: a fault that only load shows is seen too."""
        most_share = self.exposure.canary_share(requests)
        count = max(MIN_CANARIES, int(most_share * len(serving)))
        sound = [endpoint for endpoint in target if endpoint.id not in self.suspects] or target
        candidates = [Candidate(endpoint.id, endpoint.zone) for endpoint in sound]
        chosen = choose_across_zones(record.target, candidates, count)
        share = min(most_share, len(chosen) / max(len(serving), 1))
        return RolloutGrant(record.target, RolloutStage.CANARY, share, tuple(chosen))

    def _growing(
        self,
        record: RolloutRecord,
        now: float,
        target: list[ListedEndpoint],
        serving: list[ListedEndpoint],
        judgement: Judgement,
    ) -> Decision:
        if judgement.verdict is Verdict.UNDECIDED:
            # Not a step further before it is known what speaks against the version.
            self._progress.step_at = now
        elif now >= self._progress.step_at + GROWTH_STEP * record.duration_s:
            self._progress.step += 1
            self._progress.step_at = now
        step = self._progress.step
        share = GROWTH_STEPS[min(step, len(GROWTH_STEPS) - 1)]
        grant = RolloutGrant(record.target, RolloutStage.GROWING, share, None)
        if step < len(GROWTH_STEPS):
            return Decision(None, grant, "grows")
        if len(target) < MIN_TARGET_SHARE * len(serving):
            return Decision(None, grant, "too few endpoints of the target version")
        return Decision(RolloutStage.HOLDING, grant, "has grown")

    def _holding(
        self,
        record: RolloutRecord,
        now: float,
        share_of_time: float,
        fleet: Fleet,
        reports: RolloutReports,
        judgement: Judgement,
    ) -> Decision:
        grant = RolloutGrant(record.target, RolloutStage.HOLDING, 1.0, None)
        if judgement.verdict is Verdict.UNDECIDED and share_of_time < HOLDING_END:
            return Decision(None, grant, "not judged yet")
        held_s = now - self._progress.stage_at
        if held_s >= MIN_HOLDING_S and _all_moved(fleet.routers, reports.routers):
            return Decision(RolloutStage.COMPLETED, grant, "nothing runs at other versions")
        if share_of_time >= HOLDING_END and held_s >= MIN_OVERDUE_HOLDING_S:
            return Decision(RolloutStage.COMPLETED, grant, "the deadline is near")
        return Decision(None, grant, "requests run at other versions")


def _by_version(
    record: RolloutRecord, endpoints: Sequence[ListedEndpoint]
) -> tuple[list[ListedEndpoint], list[ListedEndpoint]]:
    """The endpoints that take requests: of the target version, and of those in service."""
    ready = [endpoint for endpoint in endpoints if not endpoint.draining]
    target = [endpoint for endpoint in ready if endpoint.version == record.target]
    barred = {record.target, *record.reverted}
    return target, [endpoint for endpoint in ready if endpoint.version not in barred]


def _all_moved(alive: frozenset[str], reported: dict[str, RouterProgress]) -> bool:
    """Whether each router that is alive sends all requests to the target version, and none runs elsewhere."""
    if not alive:
        return False
    return all(
        (progress := reported.get(node)) is not None
        and progress.stage is RolloutStage.HOLDING
        and progress.others_running == 0
        for node in alive
    )
