"""Prefix cache of an endpoint or cache store, its events and HTTP handlers; the simulated cache store."""

import asyncio
import json
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from plumline.lab import Call, CallError, Pace, Server, fetch

Key = tuple[str, str, str]  # salt, model, ID
MAX_RETAINED_EVENTS = 1000
MAX_POLL_WAIT_MS = 1000  # longest wait of a /kv-events call for new events


@dataclass(frozen=True, slots=True)
class CachedBlock:
    """A cached prefix block: its tokens, and the tenant and model version that produced it."""

    tokens: int
    tenant: str
    version: int


def parse_prefix(text: str) -> list[tuple[str, int]]:
    """Parses `Prompt-Prefix` into (ID, tokens) in order; returns [] if it is empty or malformed."""
    try:
        pairs = [each.partition(":") for each in text.split(",") if each.strip()]
        return [(name.strip(), int(tokens)) for name, _, tokens in pairs]
    except ValueError:
        return []


class PrefixCache:
    """Cached blocks by (salt, model, ID); evicts the least recently used beyond `capacity` tokens."""

    def __init__(self, capacity: int, epoch: int = 1) -> None:
        self.capacity, self.epoch = capacity, epoch
        self.blocks: OrderedDict[Key, CachedBlock] = OrderedDict()
        self.cached_tokens = 0  # tokens of all cached blocks
        self.reserved_tokens = 0  # tokens of running requests, which can't be evicted
        self.number = 0
        self.events: deque[list[Any]] = deque(maxlen=MAX_RETAINED_EVENTS)
        self.event_recorded = asyncio.Event()

    def put(self, key: Key, block: CachedBlock) -> None:
        """Caches a block. A block that is already cached stays, unless the new one has more tokens."""
        before = self.blocks.get(key)
        if (before and before.tokens >= block.tokens) or block.tokens + self.reserved_tokens > self.capacity:
            return
        self.cached_tokens += block.tokens - (before.tokens if before else 0)
        self.blocks[key] = block
        self.blocks.move_to_end(key)
        self._record_event("+", key, block.tokens)
        self.evict_to_capacity()

    def prefix(
        self, salt: str, model: str, blocks: Iterable[tuple[str, int]]
    ) -> list[tuple[str, CachedBlock]]:
        """Returns the longest fully cached run of leading blocks and marks each as most recently used."""
        found = []
        for name, tokens in blocks:
            key = (salt, model, name)
            block = self.blocks.get(key)
            if block is None or block.tokens < tokens:
                break
            self.blocks.move_to_end(key)
            found.append((name, block))
        return found

    def evict_to_capacity(self) -> None:
        """Evicts the least recently used blocks until the rest fits."""
        while self.blocks and self.cached_tokens + self.reserved_tokens > self.capacity:
            self._evict(next(iter(self.blocks)))

    def clear(self, model: str | None = None) -> None:
        """Evicts all blocks, or all of one model."""
        for key in [key for key in self.blocks if model in (None, key[1])]:
            self._evict(key)

    def restart(self) -> None:
        """Clears the cache and starts a new epoch."""
        self.blocks.clear()
        self.events.clear()
        self.cached_tokens = self.reserved_tokens = self.number = 0
        self.epoch += 1

    def _evict(self, key: Key) -> None:
        self.cached_tokens -= self.blocks.pop(key).tokens
        self._record_event("-", key, 0)

    def _record_event(self, operation: str, key: Key, tokens: int) -> None:
        self.number += 1
        salt, model, name = key
        self.events.append([self.number, operation, salt, name, tokens, model])
        self.event_recorded.set()
        self.event_recorded = asyncio.Event()


class PrefixCacheHandlers:
    """Handlers of `/kv-events` and `/kv-list`, and of the lab's block transfer (`/lab-pull`, `/lab-push`)."""

    def __init__(self, cache: PrefixCache, limit: int, pace: Pace) -> None:
        self.cache, self.limit, self.pace = cache, limit, pace
        self.pending_polls = 0
        self.by_route = {
            ("GET", "/kv-events"): self._events,
            ("GET", "/kv-list"): self._list,
            ("POST", "/lab-pull"): self._pull,
            ("POST", "/lab-push"): self._push,
        }

    async def _events(self, call: Call) -> None:
        if self.pending_polls >= self.limit:
            return call.answer(429)
        try:
            since = int(call.query.get("Since", "0"))
            wait_ms = min(MAX_POLL_WAIT_MS, int(call.headers.get("wait-ms", "0")))
        except ValueError:
            return call.answer(400)
        self.pending_polls += 1
        try:
            if wait_ms > 0 and self.cache.number <= since:
                arrived = asyncio.ensure_future(self.cache.event_recorded.wait())
                timer = asyncio.ensure_future(self.pace.wait(wait_ms))
                try:
                    await asyncio.wait({arrived, timer}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    arrived.cancel()
                    timer.cancel()
        finally:
            self.pending_polls -= 1
        events = [event for event in self.cache.events if event[0] > since]
        oldest = self.cache.events[0][0] if self.cache.events else self.cache.number + 1
        lost = since + 1 < oldest or since > self.cache.number
        call.answer_json(200, self._position() | {"Lost": lost, "Events": events})

    async def _list(self, call: Call) -> None:
        rows = [[salt, name, block.tokens, model] for (salt, model, name), block in self.cache.blocks.items()]
        call.answer_json(200, self._position() | {"Held": rows})

    def _position(self) -> dict[str, int]:
        return {"Epoch": self.cache.epoch, "NextToken": self.cache.number}

    async def _pull(self, call: Call) -> None:
        wanted = call.json()
        found = self.cache.prefix(wanted["salt"], wanted["model"], wanted["parts"])
        call.answer_json(200, [[name, block.tokens, block.tenant, block.version] for name, block in found])

    async def _push(self, call: Call) -> None:
        given = call.json()
        for name, tokens, tenant, version in given["parts"]:
            self.cache.put((given["salt"], given["model"], name), CachedBlock(tokens, tenant, version))
        call.answer(200)


async def fetch_blocks(
    address: str, salt: str, model: str, blocks: list[tuple[str, int]]
) -> list[tuple[str, CachedBlock]]:
    """Returns the leading blocks cached at the endpoint or store at `address`; [] if the call fails."""
    body = json.dumps({"salt": salt, "model": model, "parts": blocks}).encode()
    try:
        status, _, got = await fetch(address, "POST", "/lab-pull", body=body, timeout=0.5)
    except CallError:
        return []
    return [(name, CachedBlock(*rest)) for name, *rest in json.loads(got)] if status == 200 else []


async def save_blocks(address: str, salt: str, model: str, blocks: list[tuple[str, CachedBlock]]) -> bool:
    """Saves blocks to the store at `address`; returns False if the call fails."""
    rows = [[name, block.tokens, block.tenant, block.version] for name, block in blocks]
    body = json.dumps({"salt": salt, "model": model, "parts": rows}).encode()
    try:
        return (await fetch(address, "POST", "/lab-push", body=body, timeout=0.5))[0] == 200
    except CallError:
        return False


class CacheStore:
    """Simulated cache store: keeps saved blocks, also across model versions, until it restarts."""

    def __init__(self, capacity: int = 1_000_000, limit: int = 12, pace: Pace | None = None) -> None:
        self.cache = PrefixCache(capacity)
        self.handlers = PrefixCacheHandlers(self.cache, limit, pace or Pace())
        self.server = Server(self._handle)

    async def _handle(self, call: Call) -> None:
        handler = self.handlers.by_route.get((call.method, call.path))
        if handler is None:
            return call.answer(404)
        await handler(call)

    def restart(self) -> None:
        """Clears the cache, as a restart of the store does."""
        self.cache.restart()
