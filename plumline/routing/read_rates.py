"""How fast each endpoint reads prompts, learnt from the prompts that routers tell one another of.

A prompt that finds no other to be read at its endpoint takes a time that grows with its tokens. The slope is
fitted by least squares over what was seen: for each endpoint, as those of a service differ in speed, and for
all endpoints of a service together, which is what an endpoint counts as before it has been seen enough.

- Start: `START_TOKENS_PER_MS`, which weighs as much as `PRIOR_WEIGHT` says and no more.
- Bounds: a rate stays within `TOKENS_PER_MS_RANGE`, and one observation within `MAX_OBSERVED_MS`.
- Forgetting: each observation lowers the weight of those before it, so that some
  1 / (1 - `ENDPOINT_MEMORY`) of an endpoint's count. An endpoint that restarts has another id and begins
  anew as the service's others are; other weights change nothing.

Pure; tokens, milliseconds and tokens per millisecond.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

START_TOKENS_PER_MS = 100.0  # before anything was seen
TOKENS_PER_MS_RANGE = (2.0, 5000.0)
MAX_OBSERVED_MS = 10_000.0  # what took longer was held up by something else
MIN_OBSERVED_TOKENS = 256  # what is shorter says nothing of the rate
SERVICE_MEMORY = 0.98  # weight that an observation leaves to those before it, of a service
ENDPOINT_MEMORY = 0.9  # the same of one endpoint
#: What a prior weighs, as a spread of observed sizes in tokens squared: that of two prompts 4,000 apart.
PRIOR_WEIGHT = 2 * 2000.0**2


@dataclass(slots=True)
class Slope:
    """A fading least-squares fit of time over tokens."""

    memory: float
    weight: float = 0.0
    mean_tokens: float = 0.0
    mean_ms: float = 0.0
    tokens_squared: float = 0.0  # sum of squared deviations
    product: float = 0.0  # sum of products of both deviations

    def observe(self, tokens: float, ms: float) -> None:
        """Takes in one observation (Welford's update, with forgetting)."""
        self.weight = self.weight * self.memory + 1
        share = 1 / self.weight
        off_tokens, off_ms = tokens - self.mean_tokens, ms - self.mean_ms
        self.mean_tokens += off_tokens * share
        self.mean_ms += off_ms * share
        self.tokens_squared = self.tokens_squared * self.memory + off_tokens * (tokens - self.mean_tokens)
        self.product = self.product * self.memory + off_tokens * (ms - self.mean_ms)

    def ms_per_token(self, prior: float) -> float:
        """The slope, drawn towards `prior` while little has been seen."""
        return (self.product + PRIOR_WEIGHT * prior) / (self.tokens_squared + PRIOR_WEIGHT)


def bounded_rate(ms_per_token: float) -> float:
    """Tokens a ms within the bounds, of a slope that noise may have made anything."""
    slowest, fastest = TOKENS_PER_MS_RANGE
    return min(max(1 / max(ms_per_token, 1 / fastest), slowest), fastest)


@dataclass(slots=True)
class ServiceReadRates:
    """The rates of one service's endpoints."""

    shared: Slope = field(default_factory=lambda: Slope(SERVICE_MEMORY))
    endpoints: dict[str, Slope] = field(default_factory=dict)  # by id

    def observe(self, endpoint: str, tokens: float, ms: float) -> None:
        """An endpoint has taken this long for a prompt of so many tokens that it did not keep."""
        if tokens < MIN_OBSERVED_TOKENS or not 0.0 < ms <= MAX_OBSERVED_MS:
            return
        self.shared.observe(tokens, ms)
        self.endpoints.setdefault(endpoint, Slope(ENDPOINT_MEMORY)).observe(tokens, ms)

    def typical(self) -> float:
        """Tokens a ms that an endpoint of the service reads, where none is meant in particular."""
        return bounded_rate(self.shared.ms_per_token(1 / START_TOKENS_PER_MS))

    def of(self, endpoint: str) -> float:
        """Tokens a ms that this endpoint reads."""
        typical = self.typical()
        slope = self.endpoints.get(endpoint)
        return bounded_rate(slope.ms_per_token(1 / typical)) if slope else typical

    def retain(self, ids: Iterable[str]) -> None:
        """Forgets the endpoints that are gone."""
        known = set(ids)
        self.endpoints = {key: each for key, each in self.endpoints.items() if key in known}
