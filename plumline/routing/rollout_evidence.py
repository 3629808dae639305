"""What a router's own requests show of the versions of a service while one of them is on trial.

An answer is bad if it failed, or took several times what a like request takes: its expected time until the
first piece, and the rest that answers on the same route take at versions in service. Answers on trial are
counted by endpoint and route, all others by route alone. Counts only rise while the roll-out is under way, so
that a report that is lost or comes twice does no harm.

Start of a route's rest: its latency target, as if one answer had shown it. Bounds: at least MIN_REST_MS.
Forgetting: each answer lowers the weight of those before it, down to REST_WEIGHT for the newest.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plumline.routing.version_gate import ServiceTraffic

SLOW_FACTOR = 3.0  # times the expected time, from which on an answer counts as bad
REST_WEIGHT = 0.02  # of the newest answer, once many were seen
MIN_REST_MS = 10.0
NOT_ON_TRIAL = ""  # in place of an endpoint's id

TallyKey = tuple[str, str]  # endpoint id or NOT_ON_TRIAL, route


class TimedAnswer(NamedTuple):
    """One request that an endpoint was sent, at its end. Times in ms."""

    service: str
    endpoint: str
    route: str
    took_ms: float  # from its sending to its end
    expected_ms: float  # until its first piece, at a usual endpoint
    failed: bool
    cut_short: bool  # by its client, or by the end of its time: it counts only if it was slow by then
    latency_target_ms: float  # of the route


@dataclass(slots=True)
class AnswerRest:
    """What answers on a route take beyond the expected time until their first piece."""

    mean_ms: float
    answers: int = 1

    def observe(self, rest_ms: float) -> None:
        """Takes the rest of one answer."""
        self.answers += 1
        weight = max(1 / self.answers, REST_WEIGHT)
        self.mean_ms += (max(rest_ms, MIN_REST_MS) - self.mean_ms) * weight


@dataclass(slots=True)
class _Trial:
    """The counts of one roll-out: [answers, bad ones] by key."""

    target: str
    tallies: dict[TallyKey, list[int]] = field(default_factory=dict)
    changed: set[TallyKey] = field(default_factory=set)  # since the last report


class RolloutEvidence:
    """One for a router."""

    def __init__(self) -> None:
        self._rests: dict[tuple[str, str], AnswerRest] = {}  # by service and route
        self._trials: dict[str, _Trial] = {}  # by service

    def observe(self, answer: TimedAnswer, traffic: ServiceTraffic | None) -> None:
        """Counts an answer that ended. `traffic`: the service's, at this moment."""
        rest = self._rest(answer)
        bad = answer.failed or answer.took_ms > SLOW_FACTOR * (answer.expected_ms + rest.mean_ms)
        on_trial = (
            traffic is not None and traffic.target is not None and answer.endpoint not in traffic.serving
        )
        if not (on_trial or answer.failed or answer.cut_short):
            rest.observe(answer.took_ms - answer.expected_ms)
        if traffic is None or traffic.target is None or (answer.cut_short and not bad):
            return
        trial = self._trials.get(answer.service)
        if trial is None or trial.target != traffic.target:
            trial = self._trials[answer.service] = _Trial(traffic.target)
        key = (answer.endpoint if on_trial else NOT_ON_TRIAL, answer.route)
        tally = trial.tallies.setdefault(key, [0, 0])
        tally[0] += 1
        tally[1] += bad
        trial.changed.add(key)

    def _rest(self, answer: TimedAnswer) -> AnswerRest:
        key = answer.service, answer.route
        return self._rests.get(key) or self._rests.setdefault(key, AnswerRest(answer.latency_target_ms))

    def retain(self, targets: dict[str, str]) -> None:
        """Keeps the counts of these roll-outs only; the target by service."""
        self._trials = {
            service: trial for service, trial in self._trials.items() if targets.get(service) == trial.target
        }

    def take_report(self, service: str, whole: bool) -> list[list[Any]]:
        """[endpoint, route, answers, bad ones] of the keys that changed since the last report, or of all."""
        trial = self._trials.get(service)
        if trial is None:
            return []
        keys = list(trial.tallies) if whole else sorted(trial.changed)
        trial.changed.clear()
        return [[*key, *trial.tallies[key]] for key in keys]
