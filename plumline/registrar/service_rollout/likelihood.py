"""Evidence for a bad version: Wald's log-likelihood ratio between two rates of bad answers.

A good version has the rate of the versions in service. A bad version has that rate, and in addition the
fraction EFFECT_SIZE of the other answers is bad. Pure.
"""

import math
from typing import NamedTuple

EFFECT_SIZE = 0.2  # fraction of the good answers of versions in service that are bad at a bad version
MIN_RATE, MAX_RATE = 0.02, 0.7  # bounds of the estimated rate of the versions in service
PRIOR_ANSWERS = 10.0  # weight of MIN_RATE in an estimate, as a number of answers


class Tally(NamedTuple):
    """Counts of ended answers, and of the bad ones among them."""

    answers: int = 0
    bad: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """The sum."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def minus(self, other: "Tally") -> "Tally":
        """The difference."""
        return Tally(self.answers - other.answers, self.bad - other.bad)


EMPTY_TALLY = Tally()


def estimated_rate(*baselines: Tally) -> float:
    """The rate of bad answers at versions in service: the highest of the rates of these tallies."""
    rates = [(tally.bad + MIN_RATE * PRIOR_ANSWERS) / (tally.answers + PRIOR_ANSWERS) for tally in baselines]
    return min(max(*rates, MIN_RATE), MAX_RATE)


def log_likelihood_ratio(tally: Tally, rate: float) -> float:
    """Ratio of a bad version to a good one, if `rate` of the answers of versions in service are bad."""
    bad_rate = rate + (1 - rate) * EFFECT_SIZE
    good = tally.answers - tally.bad
    return tally.bad * math.log(bad_rate / rate) + good * math.log((1 - bad_rate) / (1 - rate))
