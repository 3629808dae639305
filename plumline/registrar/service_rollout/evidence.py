"""Collects the routers' reports on roll-outs in progress, and the evidence about the version on trial.

Every registrar does this, so that the next controller need not start without evidence. A router's counts are
totals of one incarnation of its process; the sums here add up the newest totals of all incarnations.

The sums are sampled. Each sample compares the answers on trial since the last sample with those of the
versions in service at the same time: a temporary fault that affects both is not evidence against either.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from plumline.configuration.service_rollouts import RolloutStage
from plumline.registrar.service_rollout.likelihood import (
    EMPTY_TALLY,
    Tally,
    estimated_rate,
    log_likelihood_ratio,
)
from plumline.routing.rollout_evidence import NOT_ON_TRIAL
from plumline.routing.rollout_report import AnswerTally, RolloutReport, ServiceReport

SAMPLE_INTERVAL_S = 0.2  # between samples of the sums
MAX_SAMPLES = 40  # stored samples of a roll-out
BASELINE_SAMPLES = 5  # newest samples from which a rate of the versions in service is estimated
ALL_ROUTES = None

TallyKey = tuple[str, str]  # endpoint id or NOT_ON_TRIAL, route
Scope = str | None  # a route, or ALL_ROUTES


class RouterProgress(NamedTuple):
    """A router's progress in the roll-out, by its newest report."""

    stage: RolloutStage | None
    others_running: int  # its requests at endpoints of other versions


class EndpointEvidence(NamedTuple):
    """The evidence from the answers of one endpoint on trial in one scope."""

    answers: int = 0
    ratio: float = 0.0  # log-likelihood ratio of a bad version to a good one


EvidenceTable = dict[tuple[str, Scope], EndpointEvidence]  # by endpoint id and scope
NO_EVIDENCE = EndpointEvidence()


class _Sample(NamedTuple):
    at: float
    baseline: dict[Scope, Tally]
    evidence: EvidenceTable


@dataclass(slots=True)
class RolloutReports:
    """The reports on one roll-out."""

    target: str
    routers: dict[str, RouterProgress] = field(default_factory=dict)  # by node
    sums: dict[TallyKey, Tally] = field(default_factory=dict)
    evidence: EvidenceTable = field(default_factory=dict)  # of all answers on trial so far
    #: By node, incarnation and key.
    _totals: dict[tuple[str, int, TallyKey], Tally] = field(default_factory=dict)
    _sampled_sums: dict[TallyKey, Tally] = field(default_factory=dict)  # `sums` at the last sample
    _samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _first_sample: _Sample | None = None

    def add_report(self, node: str, incarnation: int, report: ServiceReport) -> None:
        """Adds a router's report. Totals never decrease, so that the counts of an old report are ignored."""
        self.routers[node] = RouterProgress(report.stage, report.others_running)
        for tally in report.tallies:
            self._add_tally(node, incarnation, tally)

    def _add_tally(self, node: str, incarnation: int, tally: AnswerTally) -> None:
        key = tally.endpoint, tally.route
        previous = self._totals.get((node, incarnation, key), EMPTY_TALLY)
        if tally.answers <= previous.answers:
            return
        total = Tally(tally.answers, tally.bad)
        self._totals[node, incarnation, key] = total
        self.sums[key] = self.sums.get(key, EMPTY_TALLY).plus(total.minus(previous))

    def sample(self, now: float) -> None:
        """Evaluates the answers since the last sample, if that is old enough. `now`: steady s."""
        if self._samples and now < self._samples[-1].at + SAMPLE_INTERVAL_S:
            return
        baseline = self.baseline()
        rates = self._rates(baseline)
        for (endpoint, route), total in self.sums.items():
            new_answers = total.minus(self._sampled_sums.get((endpoint, route), EMPTY_TALLY))
            if endpoint == NOT_ON_TRIAL or not new_answers.answers:
                continue
            for scope in (ALL_ROUTES, route):
                previous = self.evidence.get((endpoint, scope), NO_EVIDENCE)
                ratio = log_likelihood_ratio(new_answers, rates.get(scope, estimated_rate(EMPTY_TALLY)))
                evidence = EndpointEvidence(previous.answers + new_answers.answers, previous.ratio + ratio)
                self.evidence[endpoint, scope] = evidence
        self._sampled_sums = dict(self.sums)
        sample = _Sample(now, baseline, dict(self.evidence))
        self._samples.append(sample)
        self._first_sample = self._first_sample or sample

    def _rates(self, baseline: dict[Scope, Tally]) -> dict[Scope, float]:
        """The rates of bad answers at versions in service, by scope.

        The highest of three rates: since the last sample, over the newest samples, and over all answers. Only
        the first shows a fault that has just started.
        """
        newest = list(self._samples)[-BASELINE_SAMPLES:]
        samples = [newest[0], newest[-1]] if newest else []
        return {
            scope: estimated_rate(
                tally, *(tally.minus(sample.baseline.get(scope, EMPTY_TALLY)) for sample in samples)
            )
            for scope, tally in baseline.items()
        }

    def baseline(self) -> dict[Scope, Tally]:
        """The answers of versions in service so far, by scope."""
        tallies: dict[Scope, Tally] = {}
        for (endpoint, route), total in self.sums.items():
            if endpoint == NOT_ON_TRIAL:
                tallies[route] = total
                tallies[ALL_ROUTES] = tallies.get(ALL_ROUTES, EMPTY_TALLY).plus(total)
        return tallies

    def evidence_since(self, since: float) -> EvidenceTable:
        """The evidence from the answers on trial after this time (steady s)."""
        earlier = [sample for sample in self._samples if sample.at <= since]
        if not earlier:
            return self.evidence
        before = earlier[-1].evidence
        recent: EvidenceTable = {}
        for key, evidence in self.evidence.items():
            previous = before.get(key, NO_EVIDENCE)
            if evidence.answers > previous.answers:
                recent[key] = EndpointEvidence(
                    evidence.answers - previous.answers, evidence.ratio - previous.ratio
                )
        return recent

    def request_rate(self, now: float) -> float:
        """Answers per second of the versions in service since the first sample; 0 if there are none."""
        if self._first_sample is None or now <= self._first_sample.at:
            return 0.0
        answers = self.baseline().get(ALL_ROUTES, EMPTY_TALLY).answers
        answers -= self._first_sample.baseline.get(ALL_ROUTES, EMPTY_TALLY).answers
        return answers / (now - self._first_sample.at)


class RolloutReportDirectory:
    """The reports on all roll-outs in progress, by service."""

    def __init__(self) -> None:
        self.by_service: dict[str, RolloutReports] = {}

    def add_report(self, report: RolloutReport) -> None:
        """Adds a router's report."""
        for service, each in report.services.items():
            self.reports_of(service, each.target).add_report(report.node, report.incarnation, each)

    def reports_of(self, service: str, target: str) -> RolloutReports:
        """The reports on a roll-out; empty at first, and if the service has a new target."""
        reports = self.by_service.get(service)
        if reports is None or reports.target != target:
            reports = self.by_service[service] = RolloutReports(target)
        return reports

    def retain(self, targets: dict[str, str]) -> None:
        """Removes the reports on all but these roll-outs. `targets`: target version by service."""
        self.by_service = {
            service: reports
            for service, reports in self.by_service.items()
            if targets.get(service) == reports.target
        }
