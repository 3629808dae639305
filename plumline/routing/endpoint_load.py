"""What this router has at each endpoint, and which parts of prompts it sent where. Times: steady seconds."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from plumline.prefix_cache.blocks import PrefixBlock, leading_tokens
from plumline.routing.mechanisms import MECHANISMS

PARTS_KEPT = 20_000  # (salt, part) pairs remembered
PLACES_KEPT = 8  # endpoints remembered for one part
PART_AGE = 60.0  # s after which a part may have given way at an endpoint
EXCESS_WEIGHT = 0.2  # of the newest first piece
EXCESS_AGE = 3.0  # s in which what was seen fades


@dataclass(slots=True)
class Load:
    """What this router has at one endpoint, and how much longer than expected its answers took of late."""

    running: int = 0  # requests
    unread: float = 0.0  # tokens of short prompts that are to be read
    excess_ms: float = 0.0
    seen_at: float = 0.0

    def excess(self, now: float) -> float:
        """What is left by now of the excess seen, in ms."""
        if not self.excess_ms or not MECHANISMS.observed_excess:
            return 0.0
        return self.excess_ms * math.exp(-max(now - self.seen_at, 0.0) / EXCESS_AGE)

    def first_piece(self, now: float, excess_ms: float) -> None:
        """A first piece has come this much later than expected."""
        left = self.excess(now)
        self.excess_ms = left + (max(excess_ms, 0.0) - left) * EXCESS_WEIGHT
        self.seen_at = now


class Affinity:
    """Bounded, least lately used first: (salt, part id) -> {endpoint id: when it was sent there}."""

    def __init__(self, most: int = PARTS_KEPT) -> None:
        self.most = most
        self.parts: OrderedDict[tuple[str, str], dict[str, float]] = OrderedDict()

    def sent(self, salt: str, parts: Sequence[PrefixBlock], endpoint: str, now: float) -> None:
        """A prompt with the parts was sent to the endpoint."""
        for name, _ in parts:
            places = self.parts.setdefault((salt, name), {})
            self.parts.move_to_end((salt, name))
            places.pop(endpoint, None)
            places[endpoint] = now
            if len(places) > PLACES_KEPT:
                del places[next(iter(places))]
        while len(self.parts) > self.most:
            self.parts.popitem(last=False)

    def kept(self, salt: str, parts: Sequence[PrefixBlock], endpoint: str, now: float) -> int:
        """Tokens at the prompt's start that `endpoint` likely keeps."""

        def is_kept(part: PrefixBlock) -> bool:
            sent_at = self.parts.get((salt, part[0]), {}).get(endpoint)
            return sent_at is not None and now - sent_at <= PART_AGE

        return leading_tokens(parts, is_kept)

    def seen(self, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start sent anywhere under this salt: the store likely holds them."""
        return leading_tokens(parts, lambda part: (salt, part[0]) in self.parts)
