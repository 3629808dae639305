"""Estimates of how fast each endpoint reads prompts, from the prompt events that routers exchange.

The reading time of a prompt that is not queued behind another grows linearly with its tokens. The slope is
fitted by least squares over all endpoints of a service. The endpoints differ in speed, but one alone has too
few observations for its own slope: its slowness is averaged instead, as multiples of the service's fit.

- Start: `START_TOKENS_PER_MS`, with the weight `PRIOR_WEIGHT`; an endpoint starts as a typical one.
- Bounds: the service's rate stays within `TOKENS_PER_MS_RANGE`, an endpoint's within `SLOWNESS_RANGE` of it,
  and one observation within `MAX_OBSERVED_MS`.
- Decay: each observation lowers the weight of earlier ones, so that about 50 count for a service
  (`SERVICE_MEMORY`) and about 10 for an endpoint (`SLOWNESS_WEIGHT`). An endpoint that restarts has another
  id and starts without observations; other weights change nothing.

Pure; tokens, milliseconds and tokens per millisecond.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

START_TOKENS_PER_MS = 100.0  # before any observation
TOKENS_PER_MS_RANGE = (2.0, 5000.0)
MAX_OBSERVED_MS = 10_000.0  # a longer time has another cause than reading
MIN_OBSERVED_TOKENS = 256  # a shorter prompt does not show the rate
START_READING_MS = 200.0  # of a prompt that other requests wait behind, before any observation
START_READINGS = 4  # number of observations with the same weight as START_READING_MS
SERVICE_MEMORY = 0.98  # factor on the weight of earlier observations of a service
SLOWNESS_WEIGHT = 0.1  # of the newest observation of one endpoint
SLOWNESS_RANGE = (0.5, 4.0)  # multiples of the time of a typical endpoint of the service
#: Weight of a prior, as a sum of squared deviations of tokens: that of two prompts 4,000 tokens apart.
PRIOR_WEIGHT = 2 * 2000.0**2


@dataclass(slots=True)
class Slope:
    """A least-squares fit of time over tokens, with exponential decay."""

    memory: float  # factor on the weight of earlier observations
    weight: float = 0.0
    mean_tokens: float = 0.0
    mean_ms: float = 0.0
    tokens_squared: float = 0.0  # sum of squared deviations
    product: float = 0.0  # sum of products of both deviations

    def observe(self, tokens: float, ms: float) -> None:
        """Adds one observation (Welford's update, with decay)."""
        self.weight = self.weight * self.memory + 1
        share = 1 / self.weight
        off_tokens, off_ms = tokens - self.mean_tokens, ms - self.mean_ms
        self.mean_tokens += off_tokens * share
        self.mean_ms += off_ms * share
        self.tokens_squared = self.tokens_squared * self.memory + off_tokens * (tokens - self.mean_tokens)
        self.product = self.product * self.memory + off_tokens * (ms - self.mean_ms)

    def expected_ms(self, tokens: float, prior: float) -> float:
        """The fitted time of a prompt of so many tokens; at least the slope times the tokens."""
        slope = self.ms_per_token(prior)
        base_ms = max(self.mean_ms - slope * self.mean_tokens, 0.0) if self.weight else 0.0
        return base_ms + slope * tokens

    def ms_per_token(self, prior: float) -> float:
        """The slope, weighted with `prior` while there are few observations, within TOKENS_PER_MS_RANGE."""
        slope = (self.product + PRIOR_WEIGHT * prior) / (self.tokens_squared + PRIOR_WEIGHT)
        slowest, fastest = TOKENS_PER_MS_RANGE
        return min(max(slope, 1 / fastest), 1 / slowest)


@dataclass(slots=True)
class ServiceReadRates:
    """The rates of one service's endpoints."""

    shared: Slope = field(default_factory=lambda: Slope(SERVICE_MEMORY))
    slowness: dict[str, float] = field(default_factory=dict)  # by endpoint id: multiples of the typical time

    def observe(self, endpoint: str, tokens: float, ms: float) -> None:
        """Records the time of an endpoint for a prompt with so many tokens that it did not have cached."""
        if tokens < MIN_OBSERVED_TOKENS or not 0.0 < ms <= MAX_OBSERVED_MS:
            return
        lowest, highest = SLOWNESS_RANGE
        ratio = ms / self.shared.expected_ms(tokens, 1 / START_TOKENS_PER_MS)
        known = self.slowness.get(endpoint, 1.0)
        self.slowness[endpoint] = known + (min(max(ratio, lowest), highest) - known) * SLOWNESS_WEIGHT
        self.shared.observe(tokens, ms)

    def typical(self) -> float:
        """Tokens a ms that a typical endpoint of the service reads."""
        return 1 / self.shared.ms_per_token(1 / START_TOKENS_PER_MS)

    def typical_reading_ms(self) -> float:
        """The average time of a prompt with events until its first piece, in ms."""
        seen = self.shared.weight
        return (self.shared.mean_ms * seen + START_READING_MS * START_READINGS) / (seen + START_READINGS)

    def of(self, endpoint: str) -> float:
        """Tokens a ms that this endpoint reads."""
        return self.typical() / self.slowness.get(endpoint, 1.0)

    def retain(self, ids: Iterable[str]) -> None:
        """Drops all endpoints but these."""
        known = set(ids)
        self.slowness = {key: each for key, each in self.slowness.items() if key in known}
