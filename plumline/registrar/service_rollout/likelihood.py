"""How much answers speak for a bad version: Wald's log-likelihood ratio between two rates of bad answers.

A good version has the rate of the versions in service, a bad one that rate with EFFECT of the good answers
turned bad. Pure.
"""

import math
from typing import NamedTuple

EFFECT = 0.2  # of the good answers: a version that spoils so many more than those in service is bad
MIN_RATE, MAX_RATE = 0.02, 0.7  # bounds of the estimated rate of the versions in service
PRIOR_ANSWERS = 10.0  # that the lower bound weighs as much as


class Tally(NamedTuple):
    """Answers that ended, and the bad ones among them."""

    answers: int = 0
    bad: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """The sum."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def minus(self, other: "Tally") -> "Tally":
        """The difference."""
        return Tally(self.answers - other.answers, self.bad - other.bad)


NOTHING = Tally()


def estimated_rate(*baselines: Tally) -> float:
    """The rate of bad answers at versions in service: the highest that one of the tallies gives."""
    rates = [(tally.bad + MIN_RATE * PRIOR_ANSWERS) / (tally.answers + PRIOR_ANSWERS) for tally in baselines]
    return min(max(*rates, MIN_RATE), MAX_RATE)


def log_likelihood_ratio(tally: Tally, rate: float) -> float:
    """Of a bad version over a good one, where `rate` of the answers are bad at the versions in service."""
    worse = rate + (1 - rate) * EFFECT
    good = tally.answers - tally.bad
    return tally.bad * math.log(worse / rate) + good * math.log((1 - worse) / (1 - rate))
