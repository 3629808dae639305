"""What all routers have reported of the roll-outs under way, and what it says of the version on trial.

Every registrar keeps it, so that the next controller need not begin anew. A router's counts are totals of one
life of its process; here stands the sum of the newest totals of all lives.

The sums are sampled. Each sample weighs the answers on trial that came since the last one against those of
the versions in service at the same time, so that a fault that meets both for a while speaks against neither.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from plumline.configuration.service_rollouts import RolloutStage
from plumline.registrar.service_rollout.likelihood import (
    NOTHING,
    Tally,
    estimated_rate,
    log_likelihood_ratio,
)
from plumline.routing.rollout_evidence import NOT_ON_TRIAL
from plumline.routing.rollout_report import AnswerTally, RolloutReport, ServiceReport

SAMPLE_INTERVAL_S = 0.2  # s between two samples of the sums
MAX_SAMPLES = 40
BASELINE_SAMPLES = 5  # that a rate of the versions in service is estimated from
ALL_ROUTES = None

Key = tuple[str, str]  # endpoint id or NOT_ON_TRIAL, route
Scope = str | None  # a route, or ALL_ROUTES


class RouterProgress(NamedTuple):
    """How far a router follows the roll-out, by its newest report."""

    stage: RolloutStage | None
    others_running: int


class Weight(NamedTuple):
    """What the answers of one endpoint on trial say in one scope."""

    answers: int = 0
    ratio: float = 0.0  # log-likelihood ratio of a bad version over a good one


Weights = dict[tuple[str, Scope], Weight]  # by endpoint and scope
NO_WEIGHT = Weight()


class _Sample(NamedTuple):
    at: float
    baseline: dict[Scope, Tally]
    weights: Weights


@dataclass(slots=True)
class RolloutReports:
    """The reports of one roll-out."""

    target: str
    routers: dict[str, RouterProgress] = field(default_factory=dict)  # by node
    sums: dict[Key, Tally] = field(default_factory=dict)
    weights: Weights = field(default_factory=dict)  # of all answers on trial so far
    _totals: dict[tuple[str, int, Key], Tally] = field(default_factory=dict)  # by node, life and key
    _weighed: dict[Key, Tally] = field(default_factory=dict)  # the sums as of the last sample
    _samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _began: _Sample | None = None  # the first sample

    def take(self, node: str, life: int, report: ServiceReport) -> None:
        """Takes a router's report; totals never fall, so an old one changes nothing."""
        self.routers[node] = RouterProgress(report.stage, report.others_running)
        for tally in report.tallies:
            self._take_tally(node, life, tally)

    def _take_tally(self, node: str, life: int, tally: AnswerTally) -> None:
        key = tally.endpoint, tally.route
        known = self._totals.get((node, life, key), NOTHING)
        if tally.answers <= known.answers:
            return
        total = Tally(tally.answers, tally.bad)
        self._totals[node, life, key] = total
        self.sums[key] = self.sums.get(key, NOTHING).plus(total.minus(known))

    def sample(self, now: float) -> None:
        """Weighs what has come since the last sample, if that is old enough. `now`: steady s."""
        if self._samples and now < self._samples[-1].at + SAMPLE_INTERVAL_S:
            return
        baseline = self.baseline()
        rates = self._rates(baseline)
        for (endpoint, route), total in self.sums.items():
            news = total.minus(self._weighed.get((endpoint, route), NOTHING))
            if endpoint == NOT_ON_TRIAL or not news.answers:
                continue
            for scope in (ALL_ROUTES, route):
                known = self.weights.get((endpoint, scope), NO_WEIGHT)
                ratio = log_likelihood_ratio(news, rates.get(scope, estimated_rate(NOTHING)))
                weight = Weight(known.answers + news.answers, known.ratio + ratio)
                self.weights[endpoint, scope] = weight
        self._weighed = dict(self.sums)
        sample = _Sample(now, baseline, dict(self.weights))
        self._samples.append(sample)
        self._began = self._began or sample

    def _rates(self, baseline: dict[Scope, Tally]) -> dict[Scope, float]:
        """The rates of bad answers at versions in service, by scope.

        The highest of the rates since the last sample, over the last few, and over all: a fault that has just
        begun is in the first alone.
        """
        kept = list(self._samples)[-BASELINE_SAMPLES:]
        samples = [kept[0], kept[-1]] if kept else []
        return {
            scope: estimated_rate(
                tally, *(tally.minus(sample.baseline.get(scope, NOTHING)) for sample in samples)
            )
            for scope, tally in baseline.items()
        }

    def baseline(self) -> dict[Scope, Tally]:
        """The answers of versions in service so far, by scope."""
        found: dict[Scope, Tally] = {}
        for (endpoint, route), total in self.sums.items():
            if endpoint == NOT_ON_TRIAL:
                found[route] = total
                found[ALL_ROUTES] = found.get(ALL_ROUTES, NOTHING).plus(total)
        return found

    def weights_since(self, since: float) -> Weights:
        """What the answers on trial say that came after this moment (steady s)."""
        earlier = [sample for sample in self._samples if sample.at <= since]
        if not earlier:
            return self.weights
        before = earlier[-1].weights
        found: Weights = {}
        for key, weight in self.weights.items():
            known = before.get(key, NO_WEIGHT)
            if weight.answers > known.answers:
                found[key] = Weight(weight.answers - known.answers, weight.ratio - known.ratio)
        return found

    def request_rate(self, now: float) -> float:
        """Answers a second of versions in service, since the first sample; 0 while there are none."""
        if self._began is None or now <= self._began.at:
            return 0.0
        answers = self.baseline().get(ALL_ROUTES, NOTHING).answers
        answers -= self._began.baseline.get(ALL_ROUTES, NOTHING).answers
        return answers / (now - self._began.at)


class RolloutReportDirectory:
    """The reports of all roll-outs under way, by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, RolloutReports] = {}

    def take(self, report: RolloutReport) -> None:
        """Takes a router's report."""
        for service, each in report.services.items():
            self.of(service, each.target).take(report.node, report.life, each)

    def of(self, service: str, target: str) -> RolloutReports:
        """The reports of a roll-out; begun anew where the service has another target now."""
        reports = self.by_service.get(service)
        if reports is None or reports.target != target:
            reports = self.by_service[service] = RolloutReports(target)
        return reports

    def retain(self, targets: dict[str, str]) -> None:
        """Forgets the reports of all but these roll-outs; the target by service."""
        self.by_service = {
            service: reports
            for service, reports in self.by_service.items()
            if targets.get(service) == reports.target
        }
