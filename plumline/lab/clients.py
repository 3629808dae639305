"""Clients: requests by class at given rates, whatever becomes of them."""

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from plumline.lab import CallError, Clock, GarbledAnswerError, Reply, exchange
from plumline.lab.engine import body_hash

PROMISES = {408, 421, 429, 503}
LAST = {400, 401, 404, 413, 431}
CONNECT_S = 1.0


@dataclass(frozen=True, slots=True)
class Class:
    """A kind of request. `rate` in requests/s, `objective_ms` to the first event, `patience_ms` in all,
    `gap_ms` the longest pause between events of an answer in time; `subjects`: how many shared first parts it
    draws from; `resumable` makes it idempotent."""

    name: str
    host: str
    path: str
    rate: float
    model: str = "model"
    prompt_tokens: int = 400
    out_tokens: int = 32
    objective_ms: float = 600
    patience_ms: float = 6000
    gap_ms: float = 500
    subjects: int = 8
    resumable: bool = False
    key: str = ""
    tenant: str = ""
    tries: int = 4


@dataclass(frozen=True, slots=True)
class Sent:
    """What a client sent as one try."""

    id: str
    method: str
    target: str
    body_hash: str
    tenant: str
    repeatable: bool
    model: str


@dataclass(slots=True)
class Tally:
    """Of one class: outcomes by name, and ms from the first try to the first event of those served."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_ms: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """ms; nan if nothing was served."""
        ordered = sorted(self.first_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


@dataclass(slots=True)
class _Try:
    """How one try ended: a status (0: no head), the first event's time, and what may follow."""

    status: int = 0
    word: str = "failed"
    first_at: float | None = None
    longest_gap_ms: float = 0.0
    retry_after: float = 0.0
    may_have_run: bool = True
    seal: str = ""


class Clients:
    """Sends `classes` to the `fronts` ("ip:port"); `tallies`, `sent` and `answers` tell what came of it."""

    def __init__(
        self, fronts: list[str], classes: Iterable[Class], seed: int = 1, clock: Clock = time.monotonic
    ) -> None:
        self.fronts, self.classes = list(fronts), list(classes)
        self.random, self.clock = random.Random(seed), clock
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        self.sent: dict[str, Sent] = {}
        self.answers: list[tuple[str, str]] = []  # (Attempt-Id, Server-Seal) of each success

    async def run(self, seconds: float) -> None:
        """Open loop: a request leaves when it is due, whether or not earlier ones are answered."""
        began = self.clock()
        async with asyncio.TaskGroup() as group:
            for due, kind in self.plan(seconds):
                await asyncio.sleep(max(0.0, began + due - self.clock()))
                group.create_task(self.ask(kind))

    def plan(self, seconds: float) -> list[tuple[float, Class]]:
        """Poisson arrivals of all classes, by time in seconds."""
        return sorted(
            (due for kind in self.classes for due in self._arrivals(kind, seconds)), key=lambda x: x[0]
        )

    def _arrivals(self, kind: Class, seconds: float) -> Iterator[tuple[float, Class]]:
        at = self.random.expovariate(kind.rate)
        while at < seconds:
            yield at, kind
            at += self.random.expovariate(kind.rate)

    async def ask(self, kind: Class) -> str:
        """One request with all its tries: in-time, late, cut, refused, denied, garbled or failed."""
        began = self.clock()
        deadline = began + kind.patience_ms / 1000
        subject = self.random.randrange(kind.subjects)
        own = f"{self.random.getrandbits(32):08x}"
        shared = kind.prompt_tokens // 2
        prefix = f"{0xA0000000 + subject:08x}:{shared},{own}:{kind.prompt_tokens - shared}"
        body = self.random.randbytes(64)
        last = _Try()
        for number in range(kind.tries):
            left = deadline - self.clock()
            if left <= 0:
                break
            last = await self._try(kind, prefix, body, left)
            if last.word == "served":
                break
            promised = last.status in PROMISES
            again = not last.status or last.status >= 500
            repeat = promised or not last.may_have_run or (kind.resumable and again)
            if last.word in ("garbled", "cut") or last.status in LAST or not repeat:
                break
            if number + 1 < kind.tries:
                left = max(0.0, deadline - self.clock())
                await asyncio.sleep(min(last.retry_after or 0.05 * 2**number, left / 3))
        word = last.word
        if word == "served" and last.first_at is not None:
            first_ms = (last.first_at - began) * 1000
            self.tallies[kind.name].first_ms.append(first_ms)
            in_time = first_ms <= kind.objective_ms and last.longest_gap_ms <= kind.gap_ms
            word = "in-time" if in_time else "late"
        self.tallies[kind.name].outcomes[word] += 1
        return word

    async def _try(self, kind: Class, prefix: str, body: bytes, left: float) -> _Try:
        name = f"{self.random.getrandbits(64):016x}"
        target = f"{kind.path}{self.random.getrandbits(8):02x}"
        headers = [
            ("Host", kind.host),
            ("Attempt-Id", name),
            ("Model-Name", kind.model),
            ("Token-Counts", f"{kind.prompt_tokens},{kind.out_tokens}"),
            ("Prompt-Prefix", prefix),
            ("Remaining-Milliseconds", str(int(left * 1000))),
        ]
        if kind.key:
            headers.append(("X-Api-Key", kind.key))
        digest = body_hash(body)
        self.sent[name] = Sent(name, "POST", target, digest, kind.tenant, kind.resumable, kind.model)
        result = _Try()
        try:
            async with (
                asyncio.timeout(left),
                exchange(self.random.choice(self.fronts), "POST", target, headers, body) as reply,
            ):
                result.status = reply.status
                result.seal = reply.headers.get("server-seal", "")
                result.retry_after = _seconds(reply.headers.get("retry-after", ""))
                await self._read(reply, name, digest, result)
        except GarbledAnswerError:
            result.word = "garbled"
        except CallError as error:
            result.may_have_run = error.sent
            result.word = "cut" if result.status == 200 else "failed"
        except TimeoutError:
            result.word = "cut" if result.status == 200 else "failed"
        return result

    async def _read(self, reply: Reply, name: str, digest: str, result: _Try) -> None:
        if reply.status != 200:
            await reply.body()
            refused = reply.status in PROMISES
            result.word = "refused" if refused else "denied" if reply.status < 500 else "failed"
            return
        whole, before = bytearray(), 0.0
        async with aclosing(reply.data()) as pieces:
            async for piece in pieces:
                now = self.clock()
                if result.first_at is None:
                    result.first_at = now
                else:
                    result.longest_gap_ms = max(result.longest_gap_ms, (now - before) * 1000)
                before = now
                whole += piece
        right = reply.headers.get("attempt-id") == name and result.seal and whole_stream(bytes(whole), digest)
        result.word = "served" if right else "garbled"
        if right:
            self.answers.append((name, result.seal))


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def whole_stream(data: bytes, digest: str) -> bool:
    """Whether an engine's events are there from the first to the last, each once and in order."""
    pieces = [line[6:] for line in data.decode("latin-1").split("\n") if line.startswith("data: ")]
    return bool(pieces) and pieces == [f"{digest}.{n}/{len(pieces)}" for n in range(1, len(pieces) + 1)]


def summary(tallies: Mapping[str, Tally]) -> list[dict[str, Any]]:
    """One row a class: counts by outcome and the first event's middle and 95th percentile, ms."""
    rows = []
    for name, tally in sorted(tallies.items()):
        middle, high = tally.percentile(0.5), tally.percentile(0.95)
        rows.append({"class": name, **tally.outcomes, "first_p50_ms": middle, "first_p95_ms": high})
    return rows
