"""This router's load at each endpoint, and which prompt parts it sent where. Times are steady seconds."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from plumline.prefix_cache.blocks import PrefixBlock, leading_tokens
from plumline.routing.mechanisms import MECHANISMS

MAX_PARTS = 20_000  # (salt, part) pairs remembered
MAX_ENDPOINTS_PER_PART = 8  # endpoints remembered for one part
PART_TTL_S = 60.0  # after which an endpoint may have evicted a part
EXCESS_WEIGHT = 0.2  # of the newest first piece in the moving average
EXCESS_TIME_CONSTANT_S = 3.0  # of the average's exponential decay


@dataclass(slots=True)
class EndpointLoad:
    """This router's load at one endpoint, and how much later than expected its answers recently began."""

    running: int = 0  # requests
    unread_tokens: float = 0.0  # tokens of short prompts that the endpoint has yet to read
    excess_ms: float = 0.0
    seen_at: float = 0.0

    def excess_at(self, now: float) -> float:
        """The observed excess after its decay until now, in ms."""
        if not self.excess_ms or not MECHANISMS.observed_excess:
            return 0.0
        return self.excess_ms * math.exp(-max(now - self.seen_at, 0.0) / EXCESS_TIME_CONSTANT_S)

    def record_first_piece(self, now: float, excess_ms: float) -> None:
        """Records a first piece that came this much later than expected."""
        remaining = self.excess_at(now)
        self.excess_ms = remaining + (max(excess_ms, 0.0) - remaining) * EXCESS_WEIGHT
        self.seen_at = now


class Affinity:
    """The endpoints that parts were sent to, bounded, least recently used part first.

    `parts`: (salt, part id) -> {endpoint id: when the part was sent there}.
    """

    def __init__(self, max_parts: int = MAX_PARTS) -> None:
        self.max_parts = max_parts
        self.parts: OrderedDict[tuple[str, str], dict[str, float]] = OrderedDict()

    def record_send(self, salt: str, parts: Sequence[PrefixBlock], endpoint: str, now: float) -> None:
        """A prompt with the parts was sent to the endpoint."""
        for name, _ in parts:
            endpoints = self.parts.setdefault((salt, name), {})
            self.parts.move_to_end((salt, name))
            endpoints.pop(endpoint, None)
            endpoints[endpoint] = now
            if len(endpoints) > MAX_ENDPOINTS_PER_PART:
                del endpoints[next(iter(endpoints))]
        while len(self.parts) > self.max_parts:
            self.parts.popitem(last=False)

    def cached_tokens(self, salt: str, parts: Sequence[PrefixBlock], endpoint: str, now: float) -> int:
        """Tokens at the prompt's start that `endpoint` likely caches."""

        def is_cached(part: PrefixBlock) -> bool:
            sent_at = self.parts.get((salt, part[0]), {}).get(endpoint)
            return sent_at is not None and now - sent_at <= PART_TTL_S

        return leading_tokens(parts, is_cached)

    def sent_tokens(self, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start sent to any endpoint under this salt: the store likely holds them."""
        return leading_tokens(parts, lambda part: (salt, part[0]) in self.parts)
