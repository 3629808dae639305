"""How fast each endpoint reads prompts, learnt from the prompts that routers tell one another of.

A prompt that finds no other to be read at its endpoint takes a time that grows with its tokens. The slope is
fitted by least squares over all endpoints of a service. Those of a service differ in speed, and one alone
shows too little for a slope of its own: what its answers took in multiples of what the service's fit says is
averaged instead.

- Start: `START_TOKENS_PER_MS`, with the weight `PRIOR_WEIGHT`; an endpoint starts as a usual one.
- Bounds: the service's rate stays within `TOKENS_PER_MS_RANGE`, an endpoint's within `SLOWNESS_RANGE` of it,
  and one observation within `MAX_OBSERVED_MS`.
- Forgetting: each observation lowers the weight of those before it: some 50 count of a service
  (`SERVICE_MEMORY`), some 10 of an endpoint (`SLOWNESS_WEIGHT`). An endpoint that restarts has another id and
  begins anew; other weights change nothing.

Pure; tokens, milliseconds and tokens per millisecond.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

START_TOKENS_PER_MS = 100.0  # before anything was seen
TOKENS_PER_MS_RANGE = (2.0, 5000.0)
MAX_OBSERVED_MS = 10_000.0  # what took longer was held up by something else
MIN_OBSERVED_TOKENS = 256  # what is shorter says nothing of the rate
START_READING_MS = 200.0  # of a prompt that other requests wait behind, before any was seen
START_READINGS = 4  # observations that this weighs as much as
SERVICE_MEMORY = 0.98  # weight that an observation leaves to those before it, of a service
SLOWNESS_WEIGHT = 0.1  # of the newest observation of one endpoint
SLOWNESS_RANGE = (0.5, 4.0)  # times what a usual endpoint of the service takes
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

    def expected_ms(self, tokens: float, prior: float) -> float:
        """What the fit says of a prompt of so many tokens; never less than its slope alone."""
        slope = self.ms_per_token(prior)
        base_ms = max(self.mean_ms - slope * self.mean_tokens, 0.0) if self.weight else 0.0
        return base_ms + slope * tokens

    def ms_per_token(self, prior: float) -> float:
        """The slope, drawn towards `prior` while little has been seen; within the bounds of rates."""
        slope = (self.product + PRIOR_WEIGHT * prior) / (self.tokens_squared + PRIOR_WEIGHT)
        slowest, fastest = TOKENS_PER_MS_RANGE
        return min(max(slope, 1 / fastest), 1 / slowest)


@dataclass(slots=True)
class ServiceReadRates:
    """The rates of one service's endpoints."""

    shared: Slope = field(default_factory=lambda: Slope(SERVICE_MEMORY))
    slowness: dict[str, float] = field(default_factory=dict)  # by endpoint id, in multiples of the usual time

    def observe(self, endpoint: str, tokens: float, ms: float) -> None:
        """An endpoint has taken this long for a prompt of so many tokens that it did not keep."""
        if tokens < MIN_OBSERVED_TOKENS or not 0.0 < ms <= MAX_OBSERVED_MS:
            return
        lowest, highest = SLOWNESS_RANGE
        ratio = ms / self.shared.expected_ms(tokens, 1 / START_TOKENS_PER_MS)
        known = self.slowness.get(endpoint, 1.0)
        self.slowness[endpoint] = known + (min(max(ratio, lowest), highest) - known) * SLOWNESS_WEIGHT
        self.shared.observe(tokens, ms)

    def typical(self) -> float:
        """Tokens a ms that an endpoint of the service reads, where none is meant in particular."""
        return 1 / self.shared.ms_per_token(1 / START_TOKENS_PER_MS)

    def typical_reading_ms(self) -> float:
        """How long a prompt that routers tell one another of takes here until its first piece, on average."""
        seen = self.shared.weight
        return (self.shared.mean_ms * seen + START_READING_MS * START_READINGS) / (seen + START_READINGS)

    def of(self, endpoint: str) -> float:
        """Tokens a ms that this endpoint reads."""
        return self.typical() / self.slowness.get(endpoint, 1.0)

    def retain(self, ids: Iterable[str]) -> None:
        """Forgets the endpoints that are gone."""
        known = set(ids)
        self.slowness = {key: each for key, each in self.slowness.items() if key in known}
