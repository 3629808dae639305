"""The index of kept prompts, from what routers tell one another of the prompts that they place.

Three things follow from the news: which prompts are still being read where (an endpoint's backlog), which
parts an endpoint keeps (the least lately used give way, as they do there), and which the store holds.
Nothing is asked of the endpoints; what the news miss makes a choice worse, never wrong, as salts decide what
may be found.

Pure; times are steady seconds, sizes tokens.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from plumline.prefix_cache.blocks import PrefixBlock, common_tokens, leading_tokens, size_of

Serial = tuple[str, int]  # the router that placed a prompt, its count there

ENDPOINT_SHARE = 0.7  # of an endpoint's memory that parts may take: running requests have the rest
FORGOTTEN = 4.0  # s after which a prompt whose reading nobody told of no longer counts as backlog
ENDLESS = 20.0  # s after which a stream whose end nobody told of no longer counts as running
SAVING = 3.0  # s for a store to tell that it holds what was sent to it; then it is sent again
PARTS_SEEN = 50_000  # parts remembered as read by somebody
#: Tokens of a stored part that routers are told of; smaller ones are read as fast as moved and count as held.
TOLD_PART = 512
BLOCK = 16  # tokens: a part may be kept to the last whole block only


@dataclass(slots=True)
class Placement:
    """A long prompt at an endpoint, from its sending to its stream's end."""

    endpoint: str
    salt: str
    parts: list[PrefixBlock]
    missing: float
    saves: str  # address of the store that it is saved to; empty: to none
    at: float
    waited: bool = False  # another prompt was still to be read there when it was placed


@dataclass(slots=True)
class Keep:
    """Parts kept in one place, least lately used first."""

    capacity: float
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    size: int = 0

    def add(self, salt: str, parts: Iterable[PrefixBlock]) -> None:
        """The parts have just been used; what no longer fits gives way."""
        for name, tokens in parts:
            key = (salt, name)
            self.size += tokens - self.parts.pop(key, 0)
            self.parts[key] = tokens
        while self.size > self.capacity and self.parts:
            self.size -= self.parts.popitem(last=False)[1]

    def held(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that are kept here."""
        return leading_tokens(parts, lambda part: (salt, part[0]) in self.parts)


@dataclass(slots=True)
class StoreContents:
    """What a store holds by its own events, and what is on its way to it."""

    epoch: int = 0
    parts: dict[tuple[str, str], int] = field(default_factory=dict)  # tokens kept
    saving: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)  # until when

    def clear(self) -> None:
        """It is down, or has begun anew: it holds nothing."""
        self.parts.clear()
        self.saving.clear()

    def changed(self, epoch: int, changes: Iterable[Sequence[Any]]) -> None:
        """[sign, salt, part, tokens kept now] of each event. Raises ValueError, TypeError for others."""
        if epoch != self.epoch:
            self.clear()
            self.epoch = epoch
        for _, salt, name, tokens in changes:
            key = (str(salt), str(name))
            self.saving.pop(key, None)
            if int(tokens) > 0:
                self.parts[key] = int(tokens)
            else:
                self.parts.pop(key, None)

    def held(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the store holds; parts that it doesn't tell of count as held."""
        return leading_tokens(parts, lambda part: part[1] < TOLD_PART or self.holds(salt, part))

    def holds(self, salt: str, part: PrefixBlock) -> bool:
        """Whether it has told that it holds the part, up to the last whole block."""
        name, tokens = part
        return self.parts.get((salt, name), 0) >= tokens - BLOCK

    def lacks(self, now: float, salt: str, parts: Sequence[PrefixBlock]) -> bool:
        """Whether any of the parts is neither held nor on its way."""
        while self.saving:
            key, until = next(iter(self.saving.items()))
            if until > now:
                break
            del self.saving[key]
        return any(
            part[1] >= TOLD_PART and (salt, part[0]) not in self.saving and not self.holds(salt, part)
            for part in parts
        )

    def sent(self, now: float, salt: str, parts: Iterable[PrefixBlock]) -> None:
        """The parts are on their way to it."""
        for name, _ in parts:
            self.saving[salt, name] = now + SAVING


class PrefixCacheIndex:
    """Where long prompts are being read and kept, by all that routers and stores tell."""

    def __init__(
        self,
        capacity_of: Callable[[str], float],
        on_reading: Callable[[str, float, float], None] = lambda endpoint, tokens, ms: None,
    ) -> None:
        """`capacity_of(endpoint id)`: tokens of its memory; 0 where that is not known.

        `on_reading(endpoint id, tokens, ms)` is called for each prompt that found no other to be read at its
        endpoint: tokens that it did not keep there, and the time until its first piece."""
        self.capacity_of, self.on_reading = capacity_of, on_reading
        self.placements: dict[Serial, Placement] = {}  # being read, oldest first
        self.unread: dict[str, float] = {}  # endpoint -> tokens of those
        self.keeps: dict[str, Keep] = {}
        self.resident: dict[str, float] = {}  # endpoint -> tokens of prompts read or being read for a stream
        self.streams: dict[Serial, Placement] = {}  # those, oldest first
        self.stores: dict[str, StoreContents] = {}  # by address, "ip:port"
        self.seen: OrderedDict[tuple[str, str], None] = OrderedDict()  # parts that somebody has read
        self.being_read: Counter[tuple[str, str]] = Counter()  # parts of prompts that are being read

    # News.

    def placed(self, serial: Serial, placement: Placement) -> None:
        """A prompt has been sent to an endpoint, which begins to read what it doesn't keep."""
        self.done(serial)
        self.placements[serial] = self.streams[serial] = placement
        key = placement.endpoint
        placement.waited = key in self.unread
        self.unread[key] = self.unread.get(key, 0.0) + placement.missing
        self.being_read.update((placement.salt, name) for name, _ in placement.parts)
        self.resident[key] = self.resident.get(key, 0.0) + size_of(placement.parts)
        if placement.saves:
            self.store(placement.saves).sent(placement.at, placement.salt, placement.parts)

    def read(self, serial: Serial, now: float) -> None:
        """Its first piece has come: the endpoint keeps all its parts now."""
        if (placement := self.ended(serial)) is None:
            return
        if not placement.waited:
            self.on_reading(placement.endpoint, placement.missing, (now - placement.at) * 1000)
        keep = self.keeps.get(placement.endpoint)
        if keep is None:
            capacity = self.capacity_of(placement.endpoint) or math.inf
            keep = self.keeps[placement.endpoint] = Keep(capacity * ENDPOINT_SHARE)
        keep.add(placement.salt, placement.parts)
        for name, _ in placement.parts:
            self.seen[placement.salt, name] = None
            self.seen.move_to_end((placement.salt, name))
        while len(self.seen) > PARTS_SEEN:
            self.seen.popitem(last=False)

    def done(self, serial: Serial) -> None:
        """Its stream has ended, or never will begin: its memory is free for others."""
        self.ended(serial)
        if (placement := self.streams.pop(serial, None)) is not None:
            lower(self.resident, placement.endpoint, size_of(placement.parts))

    def ended(self, serial: Serial) -> Placement | None:
        """It is no longer being read: it has been, or never will be."""
        placement = self.placements.pop(serial, None)
        if placement is not None:
            lower(self.unread, placement.endpoint, placement.missing)
            for name, _ in placement.parts:
                self.being_read[placement.salt, name] -= 1
                if not self.being_read[placement.salt, name]:
                    del self.being_read[placement.salt, name]
        return placement

    def age(self, now: float) -> None:
        """Drops what nobody told the end of."""
        while self.placements:
            serial, oldest = next(iter(self.placements.items()))
            if now - oldest.at < FORGOTTEN:
                break
            self.ended(serial)
        while self.streams:
            serial, oldest = next(iter(self.streams.items()))
            if now - oldest.at < ENDLESS:
                break
            self.done(serial)

    def set_endpoints(self, ids: Iterable[str]) -> None:
        """What an endpoint that is gone kept, and was reading, is forgotten."""
        known = set(ids)
        for key in [key for key in self.keeps if key not in known]:
            del self.keeps[key]
        for serial in [s for s, each in self.streams.items() if each.endpoint not in known]:
            self.done(serial)

    def clear_endpoint(self, endpoint: str) -> None:
        """It has taken other weights, or begun anew."""
        self.keeps.pop(endpoint, None)

    def store(self, address: str) -> StoreContents:
        """What is known of the store at the address, "ip:port"."""
        return self.stores.get(address) or self.stores.setdefault(address, StoreContents())

    def set_stores(self, addresses: Iterable[str]) -> None:
        """What is known of other stores is forgotten."""
        known = set(addresses)
        self.stores = {address: each for address, each in self.stores.items() if address in known}

    # Questions.

    def backlog(self, endpoint: str) -> float:
        """Tokens of prompts told of that it still has to read."""
        return self.unread.get(endpoint, 0.0)

    def kept(self, endpoint: str, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the endpoint likely keeps."""
        keep = self.keeps.get(endpoint)
        return keep.held(salt, parts) if keep else 0

    def occupied(self, endpoint: str) -> float:
        """Tokens of its memory that prompts told of take, read or not, until their streams end."""
        return self.resident.get(endpoint, 0.0)

    def read_before(self, salt: str, parts: Iterable[PrefixBlock]) -> int:
        """Tokens at the prompt's start that somebody has read, or is reading: to read them again is waste."""

        def is_read(part: PrefixBlock) -> bool:
            key = (salt, part[0])
            return key in self.seen or key in self.being_read

        return leading_tokens(parts, is_read)

    def is_being_read(self, salt: str, part: PrefixBlock) -> bool:
        """Whether a prompt with this part is being read at any endpoint."""
        return (salt, part[0]) in self.being_read

    def coming(self, endpoint: str, salt: str, parts: Sequence[PrefixBlock]) -> int:
        """Tokens at the prompt's start that the endpoint keeps or is reading for another request."""
        best = self.kept(endpoint, salt, parts)
        for each in self.placements.values():
            if each.endpoint == endpoint and each.salt == salt:
                best = max(best, common_tokens(each.parts, parts))
        return best


def lower(sums: dict[str, float], key: str, by: float) -> None:
    """Takes an amount off a sum; one that comes to nothing is dropped."""
    left = sums.get(key, 0.0) - by
    if left > 0.5:
        sums[key] = left
    else:
        sums.pop(key, None)
