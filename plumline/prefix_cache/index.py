"""The prefix-cache index, built from the events that routers exchange about the prompts that they place.

The events show which prompts each endpoint has yet to read (its backlog), which parts it caches (evicted
least recently used first, as the endpoint does), and which parts a store holds. Endpoints are not queried. A
missed event makes the choice of an endpoint worse but never incorrect, since salts decide what a request may
find.

Pure; times are steady seconds, sizes tokens.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from plumline.prefix_cache.blocks import PrefixBlock, common_tokens, leading_tokens, size_of

PromptId = tuple[str, int]  # the router that placed a prompt, and that router's number for it

CACHE_MEMORY_SHARE = 0.7  # of an endpoint's memory that cached parts may use; running requests use the rest
READING_TIMEOUT_S = 4.0  # after which a prompt without a read event no longer counts as backlog
STREAM_TIMEOUT_S = 20.0  # after which a stream without a done event no longer counts as running
SAVE_TIMEOUT_S = 3.0  # for a store to confirm parts that were sent to it; then they are sent again
MAX_READ_PARTS = 50_000  # parts remembered as read at any endpoint
#: Tokens from which on routers get events of a stored part; smaller ones are read as fast as they are moved,
#: and count as held.
MIN_EVENT_PART_TOKENS = 512
CACHE_BLOCK_TOKENS = 16  # a part may be cached up to its last full block only


@dataclass(slots=True)
class Placement:
    """A long prompt at an endpoint, from when it is sent until its stream ends."""

    endpoint: str
    salt: str
    parts: list[PrefixBlock]
    uncached_tokens: float  # tokens that the endpoint has to read
    save_store: str  # address of the store that it is saved to; empty: to none
    at: float
    queued: bool = False  # another prompt was still unread there when it was placed


@dataclass(slots=True)
class EndpointCache:
    """The parts that one endpoint likely caches, least recently used first."""

    capacity: float
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    size: int = 0

    def add(self, salt: str, parts: Iterable[PrefixBlock]) -> None:
        """Marks the parts as just used; evicts what no longer fits."""
        for name, tokens in parts:
            key = (salt, name)
            self.size += tokens - self.parts.pop(key, 0)
            self.parts[key] = tokens
        while self.size > self.capacity and self.parts:
            self.size -= self.parts.popitem(last=False)[1]

    def cached_tokens(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that are cached."""
        return leading_tokens(parts, lambda part: (salt, part[0]) in self.parts)


@dataclass(slots=True)
class StoreContents:
    """What a store holds by its own events, and what is being saved to it."""

    epoch: int = 0
    parts: dict[tuple[str, str], int] = field(default_factory=dict)  # tokens held
    #: The time until which each may take.
    pending_saves: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)

    def clear(self) -> None:
        """The store is down or has restarted: it holds nothing."""
        self.parts.clear()
        self.pending_saves.clear()

    def apply_events(self, epoch: int, changes: Iterable[Sequence[Any]]) -> None:
        """Applies events, [sign, salt, part, tokens held now] each. Raises ValueError, TypeError."""
        if epoch != self.epoch:
            self.clear()
            self.epoch = epoch
        for _, salt, name, tokens in changes:
            key = (str(salt), str(name))
            self.pending_saves.pop(key, None)
            if int(tokens) > 0:
                self.parts[key] = int(tokens)
            else:
                self.parts.pop(key, None)

    def held_tokens(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the store holds.

        Parts below MIN_EVENT_PART_TOKENS, which have no events, count as held.
        """
        return leading_tokens(parts, lambda part: part[1] < MIN_EVENT_PART_TOKENS or self.holds(salt, part))

    def holds(self, salt: str, part: PrefixBlock) -> bool:
        """Whether its events show that it holds the part, up to the last full block."""
        name, tokens = part
        return self.parts.get((salt, name), 0) >= tokens - CACHE_BLOCK_TOKENS

    def is_missing_any(self, now: float, salt: str, parts: Sequence[PrefixBlock]) -> bool:
        """Whether any of the parts is neither held nor being saved."""
        while self.pending_saves:
            key, until = next(iter(self.pending_saves.items()))
            if until > now:
                break
            del self.pending_saves[key]
        return any(
            part[1] >= MIN_EVENT_PART_TOKENS
            and (salt, part[0]) not in self.pending_saves
            and not self.holds(salt, part)
            for part in parts
        )

    def sent(self, now: float, salt: str, parts: Iterable[PrefixBlock]) -> None:
        """Records that the parts are being saved to the store."""
        for name, _ in parts:
            self.pending_saves[salt, name] = now + SAVE_TIMEOUT_S


class PrefixCacheIndex:
    """Where long prompts are being read and cached, from the events of routers and stores."""

    def __init__(
        self,
        capacity_of: Callable[[str], float],
        on_reading: Callable[[str, float, float], None] = lambda endpoint, tokens, ms: None,
    ) -> None:
        """`capacity_of(endpoint id)`: tokens of its memory; 0 where that is not known.

        `on_reading(endpoint id, tokens, ms)` is called for each prompt that was not queued behind another
        unread one: the tokens that the endpoint did not have cached, and the time until its first piece.
        """
        self.capacity_of, self.on_reading = capacity_of, on_reading
        self.unread_placements: dict[PromptId, Placement] = {}  # not yet read, oldest first
        self.unread_tokens: dict[str, float] = {}  # endpoint -> tokens that those have to read there
        self.endpoint_caches: dict[str, EndpointCache] = {}
        self.resident_tokens: dict[str, float] = {}  # endpoint -> tokens of the prompts in `streams`
        self.streams: dict[PromptId, Placement] = {}  # prompts whose stream has not ended, oldest first
        self.stores: dict[str, StoreContents] = {}  # by address, "ip:port"
        #: Parts read at any endpoint, least recently first.
        self.read_parts: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.parts_being_read: Counter[tuple[str, str]] = Counter()  # number of unread prompts with the part

    # Events.

    def add_placement(self, prompt_id: PromptId, placement: Placement) -> None:
        """A prompt was sent to an endpoint, which has to read what it doesn't cache."""
        self.remove_stream(prompt_id)
        self.unread_placements[prompt_id] = self.streams[prompt_id] = placement
        key = placement.endpoint
        placement.queued = key in self.unread_tokens
        self.unread_tokens[key] = self.unread_tokens.get(key, 0.0) + placement.uncached_tokens
        self.parts_being_read.update((placement.salt, name) for name, _ in placement.parts)
        self.resident_tokens[key] = self.resident_tokens.get(key, 0.0) + size_of(placement.parts)
        if placement.save_store:
            self.store(placement.save_store).sent(placement.at, placement.salt, placement.parts)

    def mark_read(self, prompt_id: PromptId, now: float) -> None:
        """The prompt's first piece has come: the endpoint now caches all its parts."""
        if (placement := self.finish_reading(prompt_id)) is None:
            return
        if not placement.queued:
            self.on_reading(placement.endpoint, placement.uncached_tokens, (now - placement.at) * 1000)
        cache = self.endpoint_caches.get(placement.endpoint)
        if cache is None:
            capacity = self.capacity_of(placement.endpoint) or math.inf
            cache = self.endpoint_caches[placement.endpoint] = EndpointCache(capacity * CACHE_MEMORY_SHARE)
        cache.add(placement.salt, placement.parts)
        for name, _ in placement.parts:
            self.read_parts[placement.salt, name] = None
            self.read_parts.move_to_end((placement.salt, name))
        while len(self.read_parts) > MAX_READ_PARTS:
            self.read_parts.popitem(last=False)

    def remove_stream(self, prompt_id: PromptId) -> None:
        """The prompt's stream has ended or will never begin: its memory is free."""
        self.finish_reading(prompt_id)
        if (placement := self.streams.pop(prompt_id, None)) is not None:
            subtract(self.resident_tokens, placement.endpoint, size_of(placement.parts))

    def finish_reading(self, prompt_id: PromptId) -> Placement | None:
        """Removes the prompt from the unread ones: it was read, or never will be."""
        placement = self.unread_placements.pop(prompt_id, None)
        if placement is not None:
            subtract(self.unread_tokens, placement.endpoint, placement.uncached_tokens)
            for name, _ in placement.parts:
                self.parts_being_read[placement.salt, name] -= 1
                if not self.parts_being_read[placement.salt, name]:
                    del self.parts_being_read[placement.salt, name]
        return placement

    def expire(self, now: float) -> None:
        """Drops prompts and streams whose end event did not come in time."""
        while self.unread_placements:
            prompt_id, oldest = next(iter(self.unread_placements.items()))
            if now - oldest.at < READING_TIMEOUT_S:
                break
            self.finish_reading(prompt_id)
        while self.streams:
            prompt_id, oldest = next(iter(self.streams.items()))
            if now - oldest.at < STREAM_TIMEOUT_S:
                break
            self.remove_stream(prompt_id)

    def set_endpoints(self, ids: Iterable[str]) -> None:
        """Drops what is known of endpoints that are not listed any more."""
        known = set(ids)
        for key in [key for key in self.endpoint_caches if key not in known]:
            del self.endpoint_caches[key]
        for prompt_id in [s for s, each in self.streams.items() if each.endpoint not in known]:
            self.remove_stream(prompt_id)

    def clear_endpoint(self, endpoint: str) -> None:
        """Drops the cached parts of an endpoint that has other weights or has restarted."""
        self.endpoint_caches.pop(endpoint, None)

    def store(self, address: str) -> StoreContents:
        """What is known of the store at the address, "ip:port"."""
        return self.stores.get(address) or self.stores.setdefault(address, StoreContents())

    def set_stores(self, addresses: Iterable[str]) -> None:
        """Drops what is known of stores at other addresses."""
        known = set(addresses)
        self.stores = {address: each for address, each in self.stores.items() if address in known}

    # Queries.

    def backlog(self, endpoint: str) -> float:
        """Tokens of placed prompts that the endpoint has yet to read."""
        return self.unread_tokens.get(endpoint, 0.0)

    def cached_tokens(self, endpoint: str, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the endpoint likely caches."""
        cache = self.endpoint_caches.get(endpoint)
        return cache.cached_tokens(salt, parts) if cache else 0

    def occupied_tokens(self, endpoint: str) -> float:
        """Tokens of the endpoint's memory that placed prompts use, read or not, until their streams end."""
        return self.resident_tokens.get(endpoint, 0.0)

    def read_or_reading_tokens(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that an endpoint has read or is reading: a second reading is waste."""

        def is_read(part: PrefixBlock) -> bool:
            key = (salt, part[0])
            return key in self.read_parts or key in self.parts_being_read

        return leading_tokens(parts, is_read)

    def is_being_read(self, salt: str, part: PrefixBlock) -> bool:
        """Whether a prompt with this part is being read at any endpoint."""
        return (salt, part[0]) in self.parts_being_read

    def cached_or_reading_tokens(self, endpoint: str, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the endpoint caches or is reading for another request."""
        longest = self.cached_tokens(endpoint, salt, parts)
        for each in self.unread_placements.values():
            if each.endpoint == endpoint and each.salt == salt:
                longest = max(longest, common_tokens(each.parts, parts))
        return longest


def subtract(sums: dict[str, float], key: str, amount: float) -> None:
    """Subtracts an amount from a sum; drops the sum once nothing remains."""
    remaining = sums.get(key, 0.0) - amount
    if remaining > 0.5:
        sums[key] = remaining
    else:
        sums.pop(key, None)
