"""Decides whether the version on trial is worse than those in service, by a sequential test on bad answers.

The baseline is the rate of the versions in service, as faults of machines, links and load affect all versions
at the same time. The test is Wald's sequential probability ratio test between two rates (`likelihood`). It is
applied to each route and to all routes combined, as a version may be bad on one route only; and to several
windows that end now, as a version may turn bad late (the window-limited form by Lai, 1995).

The baseline is an estimate, and the test is repeated often. Wald's bounds account for neither, so that
FALSE_BAD_RATE is set below the rate that is acceptable for an entire roll-out.

A fault of one endpoint is not a fault of its version: without the endpoint with the most evidence against it,
the evidence must still be against the version. The answers of such an endpoint are excluded from the evidence
for a good version, too.
"""

import math
from collections.abc import Iterable, Set
from enum import Enum
from typing import NamedTuple

from plumline.registrar.service_rollout.evidence import ALL_ROUTES, EvidenceTable, Scope
from plumline.registrar.service_rollout.likelihood import EMPTY_TALLY, Tally

FALSE_BAD_RATE = 0.0001  # of good versions that one test of one scope may find bad
FALSE_GOOD_RATE = 0.02  # of bad versions that may be found good
BAD_THRESHOLD = -math.log(FALSE_BAD_RATE)
REST_THRESHOLD = BAD_THRESHOLD / 4  # for all endpoints except the worst one
SUSPECT_THRESHOLD = BAD_THRESHOLD / 2  # for a single endpoint
MAX_SUSPECT_SHARE = 0.4  # of the endpoints on trial; with more suspects, the fault is their version's
GOOD_THRESHOLD = math.log(FALSE_GOOD_RATE)  # for all routes together
GOOD_ROUTE_THRESHOLD = GOOD_THRESHOLD / 3  # for each single route
#: Answers of a route, expected by its share of the traffic, from which it must be proven good by itself.
MIN_EXPECTED_ANSWERS = 12


class Verdict(Enum):
    """The result of a test of the evidence so far."""

    BAD = "bad"
    GOOD = "good"
    UNDECIDED = "undecided"
    UNSUSPECTED = "unsuspected"  # undecided, without evidence against the version


class ScopeEvidence(NamedTuple):
    """The log-likelihood ratios of a bad version to a good one, for one route or for all."""

    scope: Scope
    total: float
    rest: float  # without the endpoint with the most evidence against the version
    worst: float  # of that endpoint alone
    worst_endpoint: str
    answers: int

    @property
    def is_bad(self) -> bool:
        """Whether the version is worse, not only one of its endpoints."""
        return self.total >= BAD_THRESHOLD and self.rest >= REST_THRESHOLD


class Judgement(NamedTuple):
    """A verdict, and the evidence for it."""

    verdict: Verdict
    scope: Scope  # the route that decided it; ALL_ROUTES: all routes together
    ratio: float  # the log-likelihood ratio in this scope
    answers: int  # of the version on trial, in this scope
    suspect: str | None = None  # an endpoint that by itself has much evidence against it


NO_ANSWERS = Judgement(Verdict.UNDECIDED, ALL_ROUTES, 0.0, 0)


def judge(
    evidence: EvidenceTable,
    recent: Iterable[EvidenceTable],
    baseline: dict[Scope, Tally],
    suspects: frozenset[str] = frozenset(),
    *,
    single_endpoint: bool = False,
) -> Judgement:
    """The verdict on all answers on trial so far, and on those in the windows that end now.

    `baseline`: the answers of versions in service; `suspects`: endpoints that earlier judgements named;
    `single_endpoint`: the version has only one, whose faults are indistinguishable from the version's.
    """
    overall = _by_scope(evidence)
    for scopes in (overall, *map(_by_scope, recent)):
        for each in scopes:
            if each.is_bad or (single_endpoint and each.total >= BAD_THRESHOLD):
                return Judgement(Verdict.BAD, each.scope, each.total, each.answers)
    suspect = next((each.worst_endpoint for each in overall if each.worst >= SUSPECT_THRESHOLD), None)
    unsuspected = _by_scope(_without_suspects(evidence, suspects | ({suspect} if suspect else set())))
    combined = next((each for each in unsuspected if each.scope is ALL_ROUTES), None)
    if combined is None:
        return NO_ANSWERS._replace(suspect=suspect)
    highest = max(unsuspected, key=lambda each: each.total)
    verdict = _verdict_unless_bad(unsuspected, combined, highest, baseline)
    return Judgement(verdict, highest.scope, highest.total, highest.answers, suspect)


def _verdict_unless_bad(
    unsuspected: list[ScopeEvidence],
    combined: ScopeEvidence,
    highest: ScopeEvidence,
    baseline: dict[Scope, Tally],
) -> Verdict:
    """The verdict on a version that was not found to be bad."""
    routes_good = all(
        each.total <= (GOOD_ROUTE_THRESHOLD if _is_common(each.scope, combined, baseline) else REST_THRESHOLD)
        for each in unsuspected
    )
    if combined.total <= GOOD_THRESHOLD and routes_good:
        return Verdict.GOOD
    # One bad answer on a route with few requests is not enough for a suspicion.
    if combined.total <= 0 and highest.total < REST_THRESHOLD:
        return Verdict.UNSUSPECTED
    return Verdict.UNDECIDED


def _is_common(scope: Scope, combined: ScopeEvidence, baseline: dict[Scope, Tally]) -> bool:
    """Whether the route has enough of the traffic to require evidence for it alone."""
    total_answers = baseline.get(ALL_ROUTES, EMPTY_TALLY).answers
    if scope is ALL_ROUTES or not total_answers:
        return True
    share = baseline.get(scope, EMPTY_TALLY).answers / total_answers
    return share * combined.answers >= MIN_EXPECTED_ANSWERS


def _without_suspects(evidence: EvidenceTable, suspects: Set[str]) -> EvidenceTable:
    """The evidence without that of the suspects, unless there are too many for faults of single endpoints."""
    endpoints = {endpoint for endpoint, _ in evidence}
    if len(suspects & endpoints) > max(1, len(endpoints) * MAX_SUSPECT_SHARE):
        return evidence
    return {key: of_endpoint for key, of_endpoint in evidence.items() if key[0] not in suspects}


def _by_scope(evidence: EvidenceTable) -> list[ScopeEvidence]:
    """The evidence for all routes combined, and for each route with answers on trial."""
    by_scope: dict[Scope, dict[str, tuple[float, int]]] = {}
    for (endpoint, scope), of_endpoint in evidence.items():
        by_scope.setdefault(scope, {})[endpoint] = of_endpoint.ratio, of_endpoint.answers
    scopes: list[ScopeEvidence] = []
    for scope, endpoints in by_scope.items():
        worst_endpoint, (worst, _) = max(endpoints.items(), key=lambda item: item[1][0])
        total = sum(ratio for ratio, _ in endpoints.values())
        answers = sum(count for _, count in endpoints.values())
        scopes.append(ScopeEvidence(scope, total, total - worst, worst, worst_endpoint, answers))
    return scopes
