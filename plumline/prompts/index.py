"""The index of kept prompts, from what routers tell one another of the prompts that they place.

Three things follow from the news: which prompts are still being read where (an endpoint's backlog), which
parts an endpoint keeps (the least lately used give way, as they do there), and which the store holds.
Nothing is asked of the endpoints; what the news miss makes a choice worse, never wrong, as salts decide what
may be found.

Pure; times are steady seconds, sizes tokens.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

Part = tuple[str, int]  # id, tokens
Serial = tuple[str, int]  # the router that placed a prompt, its count there

ENDPOINT_SHARE = 0.7  # of an endpoint's memory that parts may take: running requests have the rest
STORE_SHARE = 0.9
FORGOTTEN = 4.0  # s after which a prompt whose reading nobody told of no longer counts as backlog
STORE_PARTS = 50_000  # parts of one store, where its size is not known


@dataclass(slots=True)
class Placement:
    endpoint: str
    salt: str
    parts: list[Part]
    missing: float
    saves: bool
    at: float


@dataclass(slots=True)
class Keep:
    """Parts kept in one place, least lately used first."""

    capacity: float
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    size: int = 0

    def add(self, salt: str, parts: Iterable[Part]) -> None:
        for name, tokens in parts:
            key = (salt, name)
            self.size += tokens - self.parts.pop(key, 0)
            self.parts[key] = tokens
        while self.size > self.capacity and self.parts:
            self.size -= self.parts.popitem(last=False)[1]

    def held(self, salt: str, parts: Iterable[Part]) -> int:
        """Tokens at the prompt's start: a part counts if all before it are kept."""
        total = 0
        for name, tokens in parts:
            if (salt, name) not in self.parts:
                break
            total += tokens
        return total


class PromptIndex:
    def __init__(self, capacity_of: Callable[[str], float]) -> None:
        """`capacity_of(endpoint id)`: tokens of its memory; 0 where that is not known."""
        self.capacity_of = capacity_of
        self.placements: dict[Serial, Placement] = {}  # being read, oldest first
        self.unread: dict[str, float] = {}  # endpoint -> tokens of those
        self.keeps: dict[str, Keep] = {}
        self.store = Keep(math.inf)

    # News.

    def placed(self, serial: Serial, placement: Placement) -> None:
        """A prompt has been sent to an endpoint, which begins to read what it doesn't keep."""
        self.ended(serial)
        self.placements[serial] = placement
        key = placement.endpoint
        self.unread[key] = self.unread.get(key, 0.0) + placement.missing

    def read(self, serial: Serial) -> None:
        """Its first piece has come: the endpoint keeps all its parts now."""
        if (placement := self.ended(serial)) is None:
            return
        keep = self.keeps.get(placement.endpoint)
        if keep is None:
            capacity = self.capacity_of(placement.endpoint) or math.inf
            keep = self.keeps[placement.endpoint] = Keep(capacity * ENDPOINT_SHARE)
        keep.add(placement.salt, placement.parts)
        if placement.saves:
            self.store.add(placement.salt, placement.parts)

    def ended(self, serial: Serial) -> Placement | None:
        """It is no longer being read: it has been, or never will be."""
        placement = self.placements.pop(serial, None)
        if placement is not None:
            left = self.unread.get(placement.endpoint, 0.0) - placement.missing
            if left > 0.5:
                self.unread[placement.endpoint] = left
            else:
                self.unread.pop(placement.endpoint, None)
        return placement

    def age(self, now: float) -> None:
        """Drops what nobody told the end of."""
        while self.placements:
            serial, oldest = next(iter(self.placements.items()))
            if now - oldest.at < FORGOTTEN:
                break
            self.ended(serial)

    def set_endpoints(self, ids: Iterable[str]) -> None:
        """What an endpoint that is gone kept, and was reading, is forgotten."""
        known = set(ids)
        for key in [key for key in self.keeps if key not in known]:
            del self.keeps[key]
        for serial in [s for s, each in self.placements.items() if each.endpoint not in known]:
            self.ended(serial)

    def clear_endpoint(self, endpoint: str) -> None:
        """It has taken other weights, or begun anew."""
        self.keeps.pop(endpoint, None)

    def clear_store(self, capacity: float = math.inf) -> None:
        """It has begun anew, or is another one."""
        self.store = Keep(capacity * STORE_SHARE)

    # Questions.

    def backlog(self, endpoint: str) -> float:
        """Tokens of prompts told of that it still has to read."""
        return self.unread.get(endpoint, 0.0)

    def kept(self, endpoint: str, salt: str, parts: Sequence[Part]) -> int:
        """Tokens at the prompt's start that the endpoint likely keeps."""
        keep = self.keeps.get(endpoint)
        return keep.held(salt, parts) if keep else 0

    def in_store(self, salt: str, parts: Sequence[Part]) -> int:
        return self.store.held(salt, parts)

    def coming(self, endpoint: str, salt: str, parts: Sequence[Part]) -> int:
        """Tokens at the prompt's start that the endpoint keeps or is reading for another request."""
        best = self.kept(endpoint, salt, parts)
        for each in self.placements.values():
            if each.endpoint == endpoint and each.salt == salt:
                best = max(best, common(each.parts, parts))
        return best


def common(some: Sequence[Part], others: Sequence[Part]) -> int:
    """Tokens of the parts that both begin with."""
    total = 0
    for one, other in zip(some, others, strict=False):
        if one[0] != other[0]:
            break
        total += one[1]
    return total
