"""Evidence about the versions of a service from a router's own requests, while one of them is on trial.

An answer is bad if it failed, or took several times the time of a similar request: its expected time until
the first piece, plus the remainder that answers on the same route take at versions in service.

Answers on trial are counted by endpoint and route, all others by route alone. Counts only increase during a
roll-out, so that a lost or repeated report does no harm.

The average remainder of a route starts at its latency target, as if one answer had taken that. Each answer
counts with at least MIN_REMAINDER_MS and lowers the weight of earlier ones; the newest weighs at least
REMAINDER_WEIGHT.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plumline.routing.version_gate import ServiceTraffic

SLOW_FACTOR = 3.0  # times the expected time, above which an answer is bad
REMAINDER_WEIGHT = 0.02  # least weight of the newest answer in the average
MIN_REMAINDER_MS = 10.0
NOT_ON_TRIAL = ""  # in place of an endpoint id

TallyKey = tuple[str, str]  # endpoint id or NOT_ON_TRIAL, route


class TimedAnswer(NamedTuple):
    """One request to an endpoint, after its end."""

    service: str
    endpoint: str
    route: str
    took_ms: float  # from the send to the end
    expected_ms: float  # until its first piece, at a typical endpoint
    failed: bool
    cut_short: bool  # by its client or its deadline: it counts only if it was already slow
    latency_target_ms: float  # of the route


@dataclass(slots=True)
class AverageRemainder:
    """The average time of answers on a route beyond their expected time until the first piece."""

    mean_ms: float
    answers: int = 1

    def observe(self, remainder_ms: float) -> None:
        """Adds the remainder of one answer."""
        self.answers += 1
        weight = max(1 / self.answers, REMAINDER_WEIGHT)
        self.mean_ms += (max(remainder_ms, MIN_REMAINDER_MS) - self.mean_ms) * weight


@dataclass(slots=True)
class _Trial:
    """The counts of one roll-out: [answers, bad ones] by key."""

    target: str
    tallies: dict[TallyKey, list[int]] = field(default_factory=dict)
    changed: set[TallyKey] = field(default_factory=set)  # since the last report


class RolloutEvidence:
    """The evidence of one router."""

    def __init__(self) -> None:
        self._remainders: dict[tuple[str, str], AverageRemainder] = {}  # by service and route
        self._trials: dict[str, _Trial] = {}  # by service

    def observe(self, answer: TimedAnswer, traffic: ServiceTraffic | None) -> None:
        """Counts an answer that ended. `traffic`: the current traffic of its service."""
        remainder = self._remainder(answer)
        bad = answer.failed or answer.took_ms > SLOW_FACTOR * (answer.expected_ms + remainder.mean_ms)
        on_trial = (
            traffic is not None and traffic.target is not None and answer.endpoint not in traffic.serving
        )
        if not (on_trial or answer.failed or answer.cut_short):
            remainder.observe(answer.took_ms - answer.expected_ms)
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

    def _remainder(self, answer: TimedAnswer) -> AverageRemainder:
        key = answer.service, answer.route
        return self._remainders.get(key) or self._remainders.setdefault(
            key, AverageRemainder(answer.latency_target_ms)
        )

    def retain(self, targets: dict[str, str]) -> None:
        """Drops the counts of all roll-outs but these. `targets`: by service."""
        self._trials = {
            service: trial for service, trial in self._trials.items() if targets.get(service) == trial.target
        }

    def take_report(self, service: str, complete: bool) -> list[list[Any]]:
        """[endpoint, route, answers, bad ones] of the keys that changed since the last report, or of all."""
        trial = self._trials.get(service)
        if trial is None:
            return []
        keys = list(trial.tallies) if complete else sorted(trial.changed)
        trial.changed.clear()
        return [[*key, *trial.tallies[key]] for key in keys]
