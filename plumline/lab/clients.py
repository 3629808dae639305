"""Open-loop clients: send requests of several classes at given rates."""

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from plumline.lab import CallError, Clock, MalformedResponseError, Reply, exchange
from plumline.lab.engine import body_hash

NOT_RUN_STATUSES = {408, 421, 429, 503}
FINAL_STATUSES = {400, 401, 404, 413, 431}
CONNECT_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    `rate`: requests/s. A response is in time if its first event comes within `objective_ms` and no two events
    are more than `max_gap_ms` apart. `timeout_ms`: for all attempts. `shared_prefixes`: number of shared
    prompt prefixes to draw from. `resumable`: also idempotent.
    """

    name: str
    host: str
    path: str
    rate: float
    model: str = "model"
    prompt_tokens: int = 400
    out_tokens: int = 32
    objective_ms: float = 600
    timeout_ms: float = 6000
    max_gap_ms: float = 500
    shared_prefixes: int = 8
    resumable: bool = False
    key: str = ""
    tenant: str = ""
    max_attempts: int = 4


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as a client sent it in one attempt."""

    id: str
    method: str
    target: str
    body_hash: str
    tenant: str
    idempotent: bool
    model: str


@dataclass(slots=True)
class Tally:
    """Results of a class: outcomes by name, and ms from first attempt to first event of served requests."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_ms: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Returns the percentile of `first_ms` in ms; nan if nothing was served."""
        ordered = sorted(self.first_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


@dataclass(slots=True)
class _Attempt:
    """Result of one attempt. `status`: 0 without a response head; `first_at`: time of the first event."""

    status: int = 0
    outcome: str = "failed"
    first_at: float | None = None
    longest_gap_ms: float = 0.0
    retry_after: float = 0.0
    may_have_run: bool = True
    seal: str = ""


class Clients:
    """Sends requests of `classes` to routers ("ip:port"); records `tallies`, `sent` and `answers`."""

    def __init__(
        self,
        router_addresses: list[str],
        classes: Iterable[RequestClass],
        seed: int = 1,
        clock: Clock = time.monotonic,
    ) -> None:
        self.router_addresses, self.classes = list(router_addresses), list(classes)
        self.random, self.clock = random.Random(seed), clock
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        self.sent: dict[str, SentRequest] = {}
        self.answers: list[tuple[str, str]] = []  # (Attempt-Id, Server-Seal) of each success

    async def run(self, seconds: float) -> None:
        """Sends each request when it is due, whether or not earlier ones are answered (open loop)."""
        began = self.clock()
        async with asyncio.TaskGroup() as group:
            for due, kind in self.plan(seconds):
                await asyncio.sleep(max(0.0, began + due - self.clock()))
                group.create_task(self.send_request(kind))

    def plan(self, seconds: float) -> list[tuple[float, RequestClass]]:
        """Poisson arrivals of all classes, by time in seconds."""
        return sorted(
            (due for kind in self.classes for due in self._arrivals(kind, seconds)), key=lambda x: x[0]
        )

    def _arrivals(self, kind: RequestClass, seconds: float) -> Iterator[tuple[float, RequestClass]]:
        at = self.random.expovariate(kind.rate)
        while at < seconds:
            yield at, kind
            at += self.random.expovariate(kind.rate)

    async def send_request(self, kind: RequestClass) -> str:
        """Sends one request with its retries.

        Returns in-time, late, cut, refused, denied, garbled or failed.
        """
        began = self.clock()
        deadline = began + kind.timeout_ms / 1000
        prefix_number = self.random.randrange(kind.shared_prefixes)
        unique = f"{self.random.getrandbits(32):08x}"
        shared = kind.prompt_tokens // 2
        prefix = f"{0xA0000000 + prefix_number:08x}:{shared},{unique}:{kind.prompt_tokens - shared}"
        body = self.random.randbytes(64)
        last = _Attempt()
        for number in range(kind.max_attempts):
            left = deadline - self.clock()
            if left <= 0:
                break
            last = await self._send_attempt(kind, prefix, body, left)
            if last.outcome == "served":
                break
            not_run = last.status in NOT_RUN_STATUSES
            server_failed = not last.status or last.status >= 500
            may_retry = not_run or not last.may_have_run or (kind.resumable and server_failed)
            if last.outcome in ("garbled", "cut") or last.status in FINAL_STATUSES or not may_retry:
                break
            if number + 1 < kind.max_attempts:
                left = max(0.0, deadline - self.clock())
                await asyncio.sleep(min(last.retry_after or 0.05 * 2**number, left / 3))
        outcome = last.outcome
        if outcome == "served" and last.first_at is not None:
            first_ms = (last.first_at - began) * 1000
            self.tallies[kind.name].first_ms.append(first_ms)
            in_time = first_ms <= kind.objective_ms and last.longest_gap_ms <= kind.max_gap_ms
            outcome = "in-time" if in_time else "late"
        self.tallies[kind.name].outcomes[outcome] += 1
        return outcome

    async def _send_attempt(self, kind: RequestClass, prefix: str, body: bytes, left: float) -> _Attempt:
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
        self.sent[name] = SentRequest(name, "POST", target, digest, kind.tenant, kind.resumable, kind.model)
        result = _Attempt()
        try:
            async with (
                asyncio.timeout(left),
                exchange(self.random.choice(self.router_addresses), "POST", target, headers, body) as reply,
            ):
                result.status = reply.status
                result.seal = reply.headers.get("server-seal", "")
                result.retry_after = _seconds(reply.headers.get("retry-after", ""))
                await self._read(reply, name, digest, result)
        except MalformedResponseError:
            result.outcome = "garbled"
        except CallError as error:
            result.may_have_run = error.sent
            result.outcome = "cut" if result.status == 200 else "failed"
        except TimeoutError:
            result.outcome = "cut" if result.status == 200 else "failed"
        return result

    async def _read(self, reply: Reply, name: str, digest: str, result: _Attempt) -> None:
        if reply.status != 200:
            await reply.body()
            refused = reply.status in NOT_RUN_STATUSES
            result.outcome = "refused" if refused else "denied" if reply.status < 500 else "failed"
            return
        data, before = bytearray(), 0.0
        async with aclosing(reply.data()) as chunks:
            async for chunk in chunks:
                now = self.clock()
                if result.first_at is None:
                    result.first_at = now
                else:
                    result.longest_gap_ms = max(result.longest_gap_ms, (now - before) * 1000)
                before = now
                data += chunk
        valid = (
            reply.headers.get("attempt-id") == name
            and result.seal
            and is_complete_stream(bytes(data), digest)
        )
        result.outcome = "served" if valid else "garbled"
        if valid:
            self.answers.append((name, result.seal))


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def is_complete_stream(data: bytes, digest: str) -> bool:
    """Whether the stream has all events of an endpoint, each once and in order."""
    chunks = [line[6:] for line in data.decode("latin-1").split("\n") if line.startswith("data: ")]
    return bool(chunks) and chunks == [f"{digest}.{n}/{len(chunks)}" for n in range(1, len(chunks) + 1)]


def summary(tallies: Mapping[str, Tally]) -> list[dict[str, Any]]:
    """Returns a row per class: counts by outcome, and p50 and p95 of the time to the first event, in ms."""
    rows = []
    for name, tally in sorted(tallies.items()):
        median, p95 = tally.percentile(0.5), tally.percentile(0.95)
        rows.append({"class": name, **tally.outcomes, "first_p50_ms": median, "first_p95_ms": p95})
    return rows
