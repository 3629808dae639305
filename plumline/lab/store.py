"""Kept parts of prompts, as endpoints and a cache store hold them, with their events; the store itself."""

import asyncio
import json
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from plumline.lab import Call, CallError, Pace, Server, fetch

Key = tuple[str, str, str]  # salt, model, ID
KEPT_EVENTS = 1000
HOLD_MS = 1000  # the longest that /kv-events is held


@dataclass(frozen=True, slots=True)
class Part:
    """`tokens` kept of one part, and whose request made them under which version of the weights."""

    tokens: int
    tenant: str
    version: int


def parts_from(text: str) -> list[tuple[str, int]]:
    """`Prompt-Prefix` as (ID, tokens) in order; [] if it is empty or no such list."""
    try:
        pairs = [each.partition(":") for each in text.split(",") if each.strip()]
        return [(name.strip(), int(tokens)) for name, _, tokens in pairs]
    except ValueError:
        return []


class Kept:
    """Parts under (salt, model, ID); those unused longest give way beyond `capacity` tokens."""

    def __init__(self, capacity: int, epoch: int = 1) -> None:
        self.capacity, self.epoch = capacity, epoch
        self.parts: OrderedDict[Key, Part] = OrderedDict()
        self.total = 0  # tokens
        self.taken = 0  # tokens of running requests, which can't give way
        self.number = 0
        self.events: deque[list[Any]] = deque(maxlen=KEPT_EVENTS)
        self.arrived = asyncio.Event()

    def put(self, key: Key, part: Part) -> None:
        """Keeps a part as first made; a longer piece of it replaces a shorter one."""
        before = self.parts.get(key)
        if (before and before.tokens >= part.tokens) or part.tokens + self.taken > self.capacity:
            return
        self.total += part.tokens - (before.tokens if before else 0)
        self.parts[key] = part
        self.parts.move_to_end(key)
        self._tell("+", key, part.tokens)
        self.shrink()

    def prefix(self, salt: str, model: str, parts: Iterable[tuple[str, int]]) -> list[tuple[str, Part]]:
        """The parts kept whole from the first on without a gap; each becomes the newest used."""
        found = []
        for name, tokens in parts:
            key = (salt, model, name)
            part = self.parts.get(key)
            if part is None or part.tokens < tokens:
                break
            self.parts.move_to_end(key)
            found.append((name, part))
        return found

    def shrink(self) -> None:
        """Drops the parts unused longest until the rest fits."""
        while self.parts and self.total + self.taken > self.capacity:
            self._drop(next(iter(self.parts)))

    def forget(self, model: str | None = None) -> None:
        """Drops everything, or all of one model."""
        for key in [key for key in self.parts if model in (None, key[1])]:
            self._drop(key)

    def restart(self) -> None:
        """Nothing is kept any more, and the epoch is a new one."""
        self.parts.clear()
        self.events.clear()
        self.total = self.taken = self.number = 0
        self.epoch += 1

    def _drop(self, key: Key) -> None:
        self.total -= self.parts.pop(key).tokens
        self._tell("-", key, 0)

    def _tell(self, sign: str, key: Key, tokens: int) -> None:
        self.number += 1
        salt, model, name = key
        self.events.append([self.number, sign, salt, name, tokens, model])
        self.arrived.set()
        self.arrived = asyncio.Event()


class KeptCalls:
    """`/kv-events` and `/kv-list`, and the lab's own way to move parts (`/lab-pull`, `/lab-push`)."""

    def __init__(self, kept: Kept, limit: int, pace: Pace) -> None:
        self.kept, self.limit, self.pace = kept, limit, pace
        self.held = 0
        self.table = {
            ("GET", "/kv-events"): self._events,
            ("GET", "/kv-list"): self._list,
            ("POST", "/lab-pull"): self._pull,
            ("POST", "/lab-push"): self._push,
        }

    async def _events(self, call: Call) -> None:
        if self.held >= self.limit:
            return call.answer(429)
        try:
            since = int(call.query.get("Since", "0"))
            wait_ms = min(HOLD_MS, int(call.headers.get("wait-ms", "0")))
        except ValueError:
            return call.answer(400)
        self.held += 1
        try:
            if wait_ms > 0 and self.kept.number <= since:
                arrived = asyncio.ensure_future(self.kept.arrived.wait())
                timer = asyncio.ensure_future(self.pace.wait(wait_ms))
                try:
                    await asyncio.wait({arrived, timer}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    arrived.cancel()
                    timer.cancel()
        finally:
            self.held -= 1
        events = [event for event in self.kept.events if event[0] > since]
        oldest = self.kept.events[0][0] if self.kept.events else self.kept.number + 1
        lost = since + 1 < oldest or since > self.kept.number
        call.answer_json(200, self._place() | {"Lost": lost, "Events": events})

    async def _list(self, call: Call) -> None:
        held = [[salt, name, part.tokens, model] for (salt, model, name), part in self.kept.parts.items()]
        call.answer_json(200, self._place() | {"Held": held})

    def _place(self) -> dict[str, int]:
        return {"Epoch": self.kept.epoch, "NextToken": self.kept.number}

    async def _pull(self, call: Call) -> None:
        wanted = call.json()
        found = self.kept.prefix(wanted["salt"], wanted["model"], wanted["parts"])
        call.answer_json(200, [[name, part.tokens, part.tenant, part.version] for name, part in found])

    async def _push(self, call: Call) -> None:
        given = call.json()
        for name, tokens, tenant, version in given["parts"]:
            self.kept.put((given["salt"], given["model"], name), Part(tokens, tenant, version))
        call.answer(200)


async def pull(address: str, salt: str, model: str, parts: list[tuple[str, int]]) -> list[tuple[str, Part]]:
    """What the endpoint or store at `address` keeps of these parts; [] if it is dead or isn't one."""
    body = json.dumps({"salt": salt, "model": model, "parts": parts}).encode()
    try:
        status, _, got = await fetch(address, "POST", "/lab-pull", body=body, timeout=0.5)
    except CallError:
        return []
    return [(name, Part(*rest)) for name, *rest in json.loads(got)] if status == 200 else []


async def push(address: str, salt: str, model: str, parts: list[tuple[str, Part]]) -> bool:
    """Saves parts at the store at `address`; False if it didn't take them."""
    plain = [[name, part.tokens, part.tenant, part.version] for name, part in parts]
    body = json.dumps({"salt": salt, "model": model, "parts": plain}).encode()
    try:
        return (await fetch(address, "POST", "/lab-push", body=body, timeout=0.5))[0] == 200
    except CallError:
        return False


class CacheStore:
    """The cache store: keeps what endpoints save, over new versions too, until it restarts."""

    def __init__(self, capacity: int = 1_000_000, limit: int = 12, pace: Pace | None = None) -> None:
        self.kept = Kept(capacity)
        self.calls = KeptCalls(self.kept, limit, pace or Pace())
        self.server = Server(self._handle)

    async def _handle(self, call: Call) -> None:
        handler = self.calls.table.get((call.method, call.path))
        if handler is None:
            return call.answer(404)
        await handler(call)

    def restart(self) -> None:
        """It loses all that it kept."""
        self.kept.restart()
