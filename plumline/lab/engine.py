"""Simulated model endpoint: streams events, caches prompt prefixes and carries out version orders.

It records every run and every order for `plumline.lab.judge`, and injects faults on request.
"""

import asyncio
import hashlib
import heapq
import math
import secrets
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from typing import Any

from plumline.lab import Call, Pace, Server
from plumline.lab.store import (
    CachedBlock,
    PrefixCache,
    PrefixCacheHandlers,
    fetch_blocks,
    parse_prefix,
    save_blocks,
)

METHODS = ("waiting", "cutover", "keep")
NOT_EXECUTED = ("Not-Executed", "1")


class Fault(StrEnum):
    """A fault that is injected into a request."""

    REFUSE = "refuse"  # 503 with Not-Executed
    RESET_BEFORE = "reset-before"  # connection reset, request not run
    RESET_AFTER = "reset-after"  # run, then connection reset before the response head
    CUT = "cut"  # connection reset after the first event
    SURPLUS = "surplus"  # a complete second response after the response
    WRONG_ID = "wrong-id"  # another Attempt-Id in the response
    SILENCE = "silence"  # run, never answered
    FAIL = "fail"  # run, answered with 500


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request.

    `reused`: tenant and model version that produced each cached block used in place of prefill.
    """

    id: str
    tenant: str
    version: int
    salt: str
    body_hash: str
    method: str
    target: str
    model: str
    instance: str
    service: str
    seal: str
    resumed_from: int = 0
    reused: tuple[tuple[str, int], ...] = ()
    api_key_sent: bool = False
    prefilled_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """A received order: arrival time `at` (s, monotonic clock) and the status of its response."""

    at: float
    holder: str
    fence: int
    status: int


@dataclass(slots=True)
class Shape:
    """Capacities and timings of an endpoint; times in ms of model time."""

    service: str = "service"
    zone: str = "zone-a"
    slots: int = 4
    queue: int = 4
    models: dict[str, int] = field(default_factory=lambda: {"model": 1})
    cache_tokens: int = 50_000
    token_bytes: int = 100_000
    link_mbps: float = 100_000.0
    connection_limit: int = 64
    event_poll_limit: int = 12
    prefill_ms: float = 0.05  # per token that is not cached
    token_ms: float = 5.0
    slowdown_per_request: float = 0.1  # relative increase of token_ms per additional running request
    tokens_per_event: int = 4
    serial_prefill: bool = False  # prefills one prompt at a time, most urgent first
    load_ms: float = 500.0
    fencing: bool = True


@dataclass(slots=True, eq=False)
class _Job:
    call: Call
    model: str
    priority: int
    number: int
    memory_tokens: int  # cache tokens reserved while it runs
    admitted: asyncio.Future[bool] | None = None
    running: bool = False
    started: bool = False


def body_hash(body: bytes) -> str:
    """Digest of a request body; each event carries it, so that a changed body is detected."""
    return hashlib.sha256(body).hexdigest()[:16]


def parse_number(text: str | None, default: int) -> int:
    """Parses a non-negative integer; returns the default for anything else."""
    return int(text) if text and text.strip().isdigit() else default


class Engine:
    """A simulated model endpoint.

    `speed`: factor by which model time runs faster than real time; deadlines are in real time.
    """

    def __init__(self, shape: Shape | None = None, speed: float = 1.0, host: str = "127.0.0.1") -> None:
        self.shape = shape or Shape()
        self.pace = Pace(speed)
        self.server = Server(self._handle, host, limit=self.shape.connection_limit)
        self.models = dict(self.shape.models)
        self.latest_versions = dict(self.shape.models)  # newest version that an order may name
        self.prefix_cache = PrefixCache(self.shape.cache_tokens, epoch=secrets.randbelow(90_000) + 1)
        self.prefix_cache_handlers = PrefixCacheHandlers(
            self.prefix_cache, self.shape.event_poll_limit, self.pace
        )
        self.arrived: set[str] = set()  # ids of all requests received, run or not
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.counts: Counter[str] = Counter()
        self.faults: deque[Fault] = deque()
        self.default_fault: Fault | None = None
        self.draining = False
        self.number = count(1)
        self._link = asyncio.Lock()
        self.prefilling = False
        self.prefill_queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._streams_allowed = asyncio.Event()
        self._streams_allowed.set()
        self._waiters: list[tuple[Callable[[], bool], asyncio.Future[None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_incarnation()
        self._handlers = self.prefix_cache_handlers.by_route | {
            ("GET", "/report"): self._report,
            ("POST", "/order"): self._order,
            ("GET", "/health"): self._health,
        }

    def _start_incarnation(self) -> None:
        self.id = "i-" + secrets.token_hex(4)
        self.sequence = 0
        self.fence = 0
        self.updating_model: str | None = None
        self.queue: list[_Job] = []
        self.running: list[_Job] = []

    async def start(self) -> None:
        """Starts to listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Cancels all calls and orders in progress and stops listening."""
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()

    async def restart(self) -> None:
        """Starts a new incarnation at the same address: new id, empty cache, same model versions."""
        await self.stop()
        self._start_incarnation()
        self.prefix_cache.restart()
        await self.start()

    def inject(self, fault: Fault, times: int = 1) -> None:
        """Injects the fault into the next `times` requests."""
        self.faults.extend([fault] * times)

    def pause_streams(self) -> None:
        """Pauses all streams before their next event."""
        self._streams_allowed.clear()

    def resume_streams(self) -> None:
        """Resumes the streams that `pause_streams` paused."""
        self._streams_allowed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until the condition is true; it is evaluated again after each change of state."""
        if not condition():
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((condition, future))
            await future

    def _notify_waiters(self) -> None:
        for condition, future in self._waiters:
            if not future.done() and condition():
                future.set_result(None)
        self._waiters = [each for each in self._waiters if not each[1].done()]

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the platform's instance list, without `State`."""
        return {
            "Identifier": self.id,
            "Service": self.shape.service,
            "Address": self.server.address,
            "Zone": self.shape.zone,
            "Version": "v1",
            "CapacitySlots": self.shape.slots,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": self._models(),
        }

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": name, "Version": version, "Adapters": []} for name, version in self.models.items()]

    # --- calls

    async def _handle(self, call: Call) -> None:
        handler = self._handlers.get((call.method, call.path), self._request)
        self.counts[call.path if handler != self._request else "request"] += 1
        if call.headers.get("expected-instance", self.id) != self.id:
            return self._reject(call, 421, ("Instance-Id", self.id))
        await handler(call)
        self._notify_waiters()

    def _reject(self, call: Call, status: int, *headers: tuple[str, str]) -> None:
        self.counts[f"turned-{status}"] += 1
        given = call.headers.get("attempt-id")
        call.answer(status, b"", [NOT_EXECUTED, *headers, *([("Attempt-Id", given)] if given else [])])

    async def _health(self, call: Call) -> None:
        full = len(self.running) >= self.shape.slots and len(self.queue) >= self.shape.queue
        call.answer(503 if self.draining or full else 200, b"", [("Instance-Id", self.id)])

    async def _report(self, call: Call) -> None:
        report = {
            "Stage": "both",
            "Models": self._models(),
            "Busy": self.updating_model is not None,
            "CallSequence": self.sequence,
            "WaitingRequests": len(self.queue),
            "RunningRequests": len(self.running),
            "CacheUsed": self.prefix_cache.reserved_tokens,
            "CacheTotal": self.shape.cache_tokens,
            "Handles": 0,
        }
        call.answer_json(200, report)

    # --- orders

    async def _order(self, call: Call) -> None:
        order = call.json()
        status = self._validate_order(order) if isinstance(order, dict) else 400
        if status != 400:
            self.orders.append(Order(self.pace.clock(), order["Holder"], order["FenceNumber"], status))
        if status == 202:
            self.sequence += 1
            self.updating_model = order["Model"]
            self._reject_waiting(order["Model"])
            task = asyncio.get_running_loop().create_task(self._update_version(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        call.answer(status)

    def _validate_order(self, order: dict[str, Any]) -> int:
        """Returns the status of the response to an order; records its fence number."""
        fence, model, version = order.get("FenceNumber"), order.get("Model"), order.get("Version")
        if not order.get("Holder") or not isinstance(fence, int):
            return 400
        if self.shape.fencing and fence < self.fence:
            return 412
        known = (
            model in self.models and isinstance(version, int) and 0 < version <= self.latest_versions[model]
        )
        if order.get("Operation") != "Version" or order.get("Method") not in METHODS or not known:
            return 400
        self.fence = max(self.fence, fence)
        if self.updating_model is not None or order.get("ExpectedCount", self.sequence) != self.sequence:
            return 409
        return 200 if self.models[model] == version else 202

    async def _update_version(self, order: dict[str, Any]) -> None:
        model = order["Model"]
        if order["Method"] == "cutover":
            for job in [job for job in self._all_jobs() if job.model == model]:
                job.call.reset()
        if order["Method"] != "keep":
            await self.wait_until(
                lambda: not any(job.started and job.model == model for job in self._all_jobs())
            )
        await self.pace.wait(self.shape.load_ms)
        self.models[model] = order["Version"]
        self.prefix_cache.clear()
        self.updating_model = None
        self._notify_waiters()

    def _all_jobs(self) -> list[_Job]:
        return self.running + self.queue

    def _reject_waiting(self, model: str) -> None:
        for job in [job for job in self.queue if job.model == model and not job.started]:
            if job.admitted and not job.admitted.done():
                job.admitted.set_result(False)

    # --- requests

    async def _request(self, call: Call) -> None:
        headers = call.headers
        if "attempt-id" not in headers:
            return self._reject(call, 400)
        self.arrived.add(headers["attempt-id"])
        fault = self.faults.popleft() if self.faults else self.default_fault
        if fault is Fault.REFUSE:
            return self._reject(call, 503, ("Retry-After", "0.1"))
        if fault is Fault.RESET_BEFORE:
            return call.reset()
        model = headers.get("model-name") or next(iter(self.models))
        if model not in self.models:
            return self._reject(call, 421)
        prompt, _, out = headers.get("token-counts", "").partition(",")
        tokens, out_tokens = parse_number(prompt, 0), parse_number(out, 8)
        priority = min(9, parse_number(headers.get("priority"), 5))
        job = _Job(call, model, priority, next(self.number), tokens + out_tokens)
        left = parse_number(headers.get("remaining-milliseconds"), 60_000) / 1000
        full = len(self.queue) >= self.shape.queue and not self._fits(job)
        if left <= 0 or job.memory_tokens > self.shape.cache_tokens or full or self.updating_model == model:
            return self._reject(call, 503, ("Retry-After", "0.1"))
        answering = False
        try:
            async with asyncio.timeout(left):
                if not await self._admit(job):
                    return self._reject(call, 503)
                if parse_number(headers.get("expect-version"), self.models[model]) != self.models[model]:
                    return self._reject(call, 421, ("Versions", str(self.models[model])))
                job.started = answering = True
                await self._serve(job, tokens, out_tokens, fault)
        except TimeoutError:
            if not answering:
                self._reject(call, 503)
            else:
                self.counts["deadline"] += 1
                call.reset()
        finally:
            self._finish(job)

    def _fits(self, job: _Job) -> bool:
        return (
            len(self.running) < self.shape.slots
            and self.prefix_cache.reserved_tokens + job.memory_tokens <= self.shape.cache_tokens
        )

    async def _admit(self, job: _Job) -> bool:
        """Waits for a slot and cache memory; returns False if an order rejected the request meanwhile."""
        job.admitted = asyncio.get_running_loop().create_future()
        self.queue.append(job)
        self._admit_waiting()
        self._notify_waiters()
        return await job.admitted

    def _admit_waiting(self) -> None:
        """Admits queued requests that fit, most urgent and oldest first; may preempt a less urgent one."""
        self.queue.sort(key=lambda job: (job.priority, job.number))
        while self.queue and self.queue[0].admitted:
            job = self.queue[0]
            preemptible = [other for other in self.running if other.started and other.priority > job.priority]
            if not self._fits(job) and preemptible:
                self._release(max(preemptible, key=lambda other: (other.priority, other.number)))
            if not self._fits(job):
                return
            self.queue.remove(job)
            job.running = True
            self.running.append(job)
            self.prefix_cache.reserved_tokens += job.memory_tokens
            self.prefix_cache.evict_to_capacity()
            if job.admitted and not job.admitted.done():
                job.admitted.set_result(True)

    def _release(self, job: _Job) -> None:
        if job.running:
            job.running = False
            self.running.remove(job)
            self.prefix_cache.reserved_tokens -= job.memory_tokens

    def _finish(self, job: _Job) -> None:
        self._release(job)
        if job in self.queue:
            self.queue.remove(job)
        self._admit_waiting()
        self._notify_waiters()

    async def _serve(self, job: _Job, tokens: int, out_tokens: int, fault: Fault | None) -> None:
        call, headers = job.call, job.call.headers
        version = self.models[job.model]
        salt, prefix = headers.get("cache-salt", ""), parse_prefix(headers.get("prompt-prefix", ""))
        if "kv-fetch" in headers:
            await self._fetch_missing_blocks(headers["kv-fetch"], salt, job.model, prefix)
        found = self.prefix_cache.prefix(salt, job.model, prefix)
        run = self._begin_run(job, version, salt, [block for _, block in found], tokens)
        if fault is Fault.SILENCE:
            await asyncio.get_running_loop().create_future()
        if fault is Fault.RESET_AFTER:
            return call.reset()
        await self.prefill(job.priority, run.prefilled_tokens)
        new_blocks = [
            (name, CachedBlock(size, run.tenant, run.version)) for name, size in prefix[len(found) :]
        ]
        await self._cache_blocks(run, new_blocks, headers.get("kv-save"))
        given = "0" * 16 if fault is Fault.WRONG_ID else run.id
        head = [("Attempt-Id", given), ("Server-Seal", run.seal), ("Versions", str(run.version))]
        if self.draining:
            head.append(("Connection", "close"))
        if fault is Fault.FAIL:
            return call.answer(500, b"", head)
        call.head(200, [*head, ("Content-Type", "text/event-stream")])
        await self._stream(job, run, run.prefilled_tokens, out_tokens, fault)
        if fault is Fault.SURPLUS:
            lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {run.id}", f"Server-Seal: {run.seal}"]
            call.raw("\r\n".join([*lines, "Content-Length: 5", "", "stray"]).encode())

    def _begin_run(self, job: _Job, version: int, salt: str, found: list[CachedBlock], tokens: int) -> Run:
        """Records the start of a run. `found`: cached blocks of its prompt; `tokens`: prompt length."""
        call, headers = job.call, job.call.headers
        run = Run(
            id=headers["attempt-id"],
            tenant=headers.get("tenant-name", ""),
            version=version,
            salt=salt,
            body_hash=body_hash(call.body),
            method=call.method,
            target=call.target,
            model=job.model,
            instance=self.id,
            service=self.shape.service,
            seal=f"{self.id[2:]}.{next(self.number)}",
            resumed_from=parse_number(headers.get("last-event-id"), 0),
            reused=tuple((block.tenant, block.version) for block in found),
            api_key_sent="x-api-key" in headers,
            prefilled_tokens=max(0, tokens - sum(block.tokens for block in found)),
        )
        self.runs.append(run)
        self._notify_waiters()
        return run

    async def _cache_blocks(
        self, run: Run, new_blocks: list[tuple[str, CachedBlock]], store: str | None
    ) -> None:
        """Caches the blocks that the run prefilled, unless the model version has changed since.

        Also saves them to the cache store at address `store`, if given.
        """
        if self.models[run.model] == run.version:
            for name, block in new_blocks:
                self.prefix_cache.put((run.salt, run.model, name), block)
        if store is not None and new_blocks:
            await self._transfer_tokens(sum(block.tokens for _, block in new_blocks))
            await save_blocks(store, run.salt, run.model, new_blocks)

    async def prefill(self, priority: int, tokens: int) -> None:
        """Waits as long as the prefill of the tokens takes, including time in the prefill queue."""
        if not self.shape.serial_prefill:
            return await self.pace.wait(tokens * self.shape.prefill_ms)
        if self.prefilling:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self.prefill_queue, (priority, next(self.number), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():  # already chosen to prefill: starts the next one
                    self._start_next_prefill()
                raise
        self.prefilling = True
        try:
            await self.pace.wait(tokens * self.shape.prefill_ms)
        finally:
            self._start_next_prefill()

    def _start_next_prefill(self) -> None:
        while self.prefill_queue:
            turn = heapq.heappop(self.prefill_queue)[2]
            if not turn.done():
                return turn.set_result(None)
        self.prefilling = False

    async def _stream(
        self, job: _Job, run: Run, prefilled_tokens: int, out_tokens: int, fault: Fault | None
    ) -> None:
        """Sends events `id: N`, `data: BODYHASH.N/OF`.

        Every endpoint produces the same event N, so another endpoint can resume the stream.
        """
        of = max(1, math.ceil(out_tokens / self.shape.tokens_per_event))
        version = run.version
        for number in range(run.resumed_from + 1, of + 1):
            if fault is Fault.CUT and number > run.resumed_from + 1:
                return job.call.reset()
            slowdown = 1 + self.shape.slowdown_per_request * max(0, len(self.running) - 1)
            await self.pace.wait(self.shape.token_ms * self.shape.tokens_per_event * slowdown)
            await self._streams_allowed.wait()
            if not job.running:  # preempted: its prompt is prefilled again
                self.counts["preempted"] += 1
                await self._admit(job)
                await self.prefill(job.priority, prefilled_tokens)
            now = self.models[run.model]
            first = f"versions: {now}\n" if now != version else ""
            version = now
            job.call.chunk(f"{first}id: {number}\ndata: {run.body_hash}.{number}/{of}\n\n".encode())
        job.call.end()

    # --- transfer of cached blocks

    async def _fetch_missing_blocks(
        self, source: str, salt: str, model: str, prefix: list[tuple[str, int]]
    ) -> None:
        here = len(self.prefix_cache.prefix(salt, model, prefix))
        if here == len(prefix):
            return
        there = (await fetch_blocks(source, salt, model, prefix))[here:]
        await self._transfer_tokens(sum(block.tokens for _, block in there))
        for name, block in there:
            self.prefix_cache.put((salt, model, name), block)

    async def _transfer_tokens(self, tokens: int) -> None:
        async with self._link:
            await self.pace.wait(tokens * self.shape.token_bytes * 8 / 1000 / self.shape.link_mbps)

    @contextmanager
    def streams_paused(self) -> Iterator[None]:
        """Pauses all streams within the context."""
        self.pause_streams()
        try:
            yield
        finally:
            self.resume_streams()
