"""Whether the version on trial is worse than those in service: a sequential test on bad answers.

Both versions meet the same faults of machines, links and load at the same time, so the rate of the versions
in service is what the one on trial is held against. The test is Wald's sequential probability ratio test
between two rates (`likelihood`). It is done for each route by itself and for all together, since a version
may be bad on one route only; and over several windows that end now, since one may turn bad late (the
window-limited form by Lai, 1995).

The rate of the versions in service is an estimate, and there are many looks, which Wald's bounds do not
reckon with; FALSE_BAD_RATE is set below what is wanted of a whole roll-out for that.

A fault of one endpoint is no fault of its version: without the endpoint that speaks most against it, the rest
must still speak against the version. That endpoint's answers are left out of what speaks for it, too.
"""

import math
from collections.abc import Iterable, Set
from enum import Enum
from typing import NamedTuple

from plumline.registrar.service_rollout.evidence import ALL_ROUTES, Scope, Weights
from plumline.registrar.service_rollout.likelihood import NOTHING, Tally

FALSE_BAD_RATE = 0.0001  # of good versions that one look at one scope may call bad
FALSE_GOOD_RATE = 0.02  # of bad versions that may be called good
BAD_THRESHOLD = -math.log(FALSE_BAD_RATE)
REST_THRESHOLD = BAD_THRESHOLD / 4  # for what is left without the worst endpoint
SUSPECT_THRESHOLD = BAD_THRESHOLD / 2  # for one endpoint by itself
MAX_SUSPECT_SHARE = 0.4  # of the endpoints on trial; where more are suspects, their version is at fault
GOOD_THRESHOLD = math.log(FALSE_GOOD_RATE)  # for all routes together
GOOD_ROUTE_THRESHOLD = GOOD_THRESHOLD / 3  # for each route by itself
EXPECTED_ANSWERS = 12  # of a route, by its share of the traffic: from here on it has to prove good by itself


class Verdict(Enum):
    """What the evidence says so far."""

    BAD = "bad"
    GOOD = "good"
    UNDECIDED = "undecided"
    UNSUSPECTED = "unsuspected"  # undecided, and nothing speaks against the version


class ScopeEvidence(NamedTuple):
    """The log-likelihood ratios of bad over good for one route, or for all."""

    scope: Scope
    total: float
    rest: float  # without the endpoint that speaks most against the version
    worst: float  # of that endpoint
    worst_endpoint: str
    answers: int

    @property
    def is_bad(self) -> bool:
        """Whether the version is worse, and not just one endpoint of it."""
        return self.total >= BAD_THRESHOLD and self.rest >= REST_THRESHOLD


class Judgement(NamedTuple):
    """A verdict, and what it rests on."""

    verdict: Verdict
    scope: Scope  # the route that decided it; ALL_ROUTES: all together
    ratio: float  # the log-likelihood ratio there
    answers: int  # of the version on trial, there
    suspect: str | None = None  # an endpoint that alone speaks against the version


NO_ANSWERS = Judgement(Verdict.UNDECIDED, ALL_ROUTES, 0.0, 0)


def judge(
    weights: Weights,
    recent: Iterable[Weights],
    baseline: dict[Scope, Tally],
    suspects: frozenset[str] = frozenset(),
    *,
    single: bool = False,
) -> Judgement:
    """The verdict by all answers on trial so far, and by those of the windows that end now.

    `baseline`: the answers of versions in service; `suspects`: endpoints that earlier judgements named;
    `single`: the version has one endpoint only, so that its fault can't be told from its version's.
    """
    whole = _by_scope(weights)
    for evidence in (whole, *map(_by_scope, recent)):
        for each in evidence:
            if each.is_bad or (single and each.total >= BAD_THRESHOLD):
                return Judgement(Verdict.BAD, each.scope, each.total, each.answers)
    suspect = next((each.worst_endpoint for each in whole if each.worst >= SUSPECT_THRESHOLD), None)
    own = _by_scope(_without(weights, suspects | ({suspect} if suspect else set())))
    together = next((each for each in own if each.scope is ALL_ROUTES), None)
    if together is None:
        return NO_ANSWERS._replace(suspect=suspect)
    highest = max(own, key=lambda each: each.total)
    verdict = _without_fault(own, together, highest, baseline)
    return Judgement(verdict, highest.scope, highest.total, highest.answers, suspect)


def _without_fault(
    own: list[ScopeEvidence],
    together: ScopeEvidence,
    highest: ScopeEvidence,
    baseline: dict[Scope, Tally],
) -> Verdict:
    """The verdict on a version that is not found to be bad."""
    routes_good = all(
        each.total <= (GOOD_ROUTE_THRESHOLD if _is_common(each.scope, together, baseline) else REST_THRESHOLD)
        for each in own
    )
    if together.total <= GOOD_THRESHOLD and routes_good:
        return Verdict.GOOD
    # One bad answer on a route of few requests is no suspicion.
    if together.total <= 0 and highest.total < REST_THRESHOLD:
        return Verdict.UNSUSPECTED
    return Verdict.UNDECIDED


def _is_common(scope: Scope, together: ScopeEvidence, baseline: dict[Scope, Tally]) -> bool:
    """Whether the route has so much of the traffic that the version on trial must be known there."""
    everything = baseline.get(ALL_ROUTES, NOTHING).answers
    if scope is ALL_ROUTES or not everything:
        return True
    share = baseline.get(scope, NOTHING).answers / everything
    return share * together.answers >= EXPECTED_ANSWERS


def _without(weights: Weights, suspects: Set[str]) -> Weights:
    """The weights without those of the suspects, unless these are too many for single faults."""
    endpoints = {endpoint for endpoint, _ in weights}
    if len(suspects & endpoints) > max(1, len(endpoints) * MAX_SUSPECT_SHARE):
        return weights
    return {key: weight for key, weight in weights.items() if key[0] not in suspects}


def _by_scope(weights: Weights) -> list[ScopeEvidence]:
    """The evidence for all routes together, and for each route that was seen on trial."""
    by_scope: dict[Scope, dict[str, tuple[float, int]]] = {}
    for (endpoint, scope), weight in weights.items():
        by_scope.setdefault(scope, {})[endpoint] = weight.ratio, weight.answers
    found: list[ScopeEvidence] = []
    for scope, endpoints in by_scope.items():
        worst_endpoint, (worst, _) = max(endpoints.items(), key=lambda item: item[1][0])
        total = sum(ratio for ratio, _ in endpoints.values())
        answers = sum(count for _, count in endpoints.values())
        found.append(ScopeEvidence(scope, total, total - worst, worst, worst_endpoint, answers))
    return found
