"""A model endpoint: answers any request with a stream of events, keeps parts of prompts, takes orders.

It notes every run and every order, for `clients.judge`, and has faults that a test switches on.
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
from plumline.lab.store import Kept, KeptCalls, Part, parts_from, pull, push

METHODS = ("waiting", "cutover", "keep")
NOT_EXECUTED = ("Not-Executed", "1")


class Fault(StrEnum):
    """What the next request meets."""

    REFUSE = "refuse"  # 503 with Not-Executed
    RESET_BEFORE = "reset-before"  # reset, not run
    RESET_AFTER = "reset-after"  # run, then reset before the head
    CUT = "cut"  # reset after the first event
    SURPLUS = "surplus"  # a whole second answer after the answer
    WRONG_ID = "wrong-id"  # another Attempt-Id in the answer
    SILENCE = "silence"  # run, and never answered
    FAIL = "fail"  # run, 500


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request. `reused`: (tenant, version) that made each part which wasn't prefilled."""

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
    key_shown: bool = False
    missing: int = 0  # tokens prefilled


@dataclass(frozen=True, slots=True)
class Order:
    """An order as it arrived, at `at` seconds of the steady clock, and the status that answered it."""

    at: float
    holder: str
    fence: int
    status: int


@dataclass(slots=True)
class Shape:
    """Sizes and times of an endpoint; times in ms of the model."""

    service: str = "service"
    zone: str = "zone-a"
    slots: int = 4
    queue: int = 4
    models: dict[str, int] = field(default_factory=lambda: {"model": 1})
    cache_tokens: int = 50_000
    token_bytes: int = 100_000
    link_mbps: float = 100_000.0
    connection_limit: int = 64
    kv_calls: int = 12
    prefill_ms: float = 0.05  # a token that isn't kept
    token_ms: float = 5.0
    crowd: float = 0.1  # by how much each further running request lengthens a token
    tokens_per_event: int = 4
    in_turn: bool = False  # it reads one prompt at a time, the most urgent first
    load_ms: float = 500.0
    fencing: bool = True


@dataclass(slots=True, eq=False)
class _Job:
    call: Call
    model: str
    priority: int
    number: int
    need: int  # tokens of memory
    admitted: asyncio.Future[bool] | None = None
    running: bool = False
    begun: bool = False


def body_hash(body: bytes) -> str:
    """What an endpoint puts into each event, so that a body that was changed is seen."""
    return hashlib.sha256(body).hexdigest()[:16]


def number_of(text: str | None, default: int) -> int:
    """The whole number that the text is, else the default."""
    return int(text) if text and text.strip().isdigit() else default


class Engine:
    """`speed`: how much faster than real the model's times run; deadlines are real. `hold` stops all streams
    before their next event until `go_on`."""

    def __init__(self, shape: Shape | None = None, speed: float = 1.0, host: str = "127.0.0.1") -> None:
        self.shape = shape or Shape()
        self.pace = Pace(speed)
        self.server = Server(self._handle, host, limit=self.shape.connection_limit)
        self.models = dict(self.shape.models)
        self.named = dict(self.shape.models)  # the newest version that exists
        self.kept = Kept(self.shape.cache_tokens, epoch=secrets.randbelow(90_000) + 1)
        self.kept_calls = KeptCalls(self.kept, self.shape.kv_calls, self.pace)
        self.arrived: set[str] = set()  # ids of the requests that were read here, run or not
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.counts: Counter[str] = Counter()
        self.faults: deque[Fault] = deque()
        self.always: Fault | None = None
        self.draining = False
        self.number = count(1)
        self._link = asyncio.Lock()
        self.reading = False
        self.readers: list[tuple[int, int, asyncio.Future[None]]] = []
        self._flow = asyncio.Event()
        self._flow.set()
        self._watching: list[tuple[Callable[[], bool], asyncio.Future[None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin_life()
        self._calls = self.kept_calls.table | {
            ("GET", "/report"): self._report,
            ("POST", "/order"): self._order,
            ("GET", "/health"): self._health,
        }

    def _begin_life(self) -> None:
        self.id = "i-" + secrets.token_hex(4)
        self.sequence = 0
        self.fence = 0
        self.moving: str | None = None
        self.queue: list[_Job] = []
        self.running: list[_Job] = []

    async def start(self) -> None:
        """Listens for calls."""
        await self.server.start()

    async def stop(self) -> None:
        """Ends all calls and orders under way, and the listening."""
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()

    async def restart(self) -> None:
        """A new incarnation at the same address: a new id, nothing kept, the versions it had."""
        await self.stop()
        self._begin_life()
        self.kept.restart()
        await self.start()

    def inject(self, fault: Fault, times: int = 1) -> None:
        """The next requests meet the fault, so many times."""
        self.faults.extend([fault] * times)

    def hold(self) -> None:
        """Stops all streams before their next event."""
        self._flow.clear()

    def go_on(self) -> None:
        """Lets the streams that `hold` stopped go on."""
        self._flow.set()

    async def until(self, true: Callable[[], bool]) -> None:
        """Returns when a change of this endpoint has made `true` so."""
        if not true():
            future = asyncio.get_running_loop().create_future()
            self._watching.append((true, future))
            await future

    def _changed(self) -> None:
        for true, future in self._watching:
            if not future.done() and true():
                future.set_result(None)
        self._watching = [each for each in self._watching if not each[1].done()]

    def entry(self) -> dict[str, Any]:
        """Its entry in the platform's list, without `State`."""
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
        handler = self._calls.get((call.method, call.path), self._request)
        self.counts[call.path if handler != self._request else "request"] += 1
        if call.headers.get("expected-instance", self.id) != self.id:
            return self._turn_away(call, 421, ("Instance-Id", self.id))
        await handler(call)
        self._changed()

    def _turn_away(self, call: Call, status: int, *headers: tuple[str, str]) -> None:
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
            "Busy": self.moving is not None,
            "CallSequence": self.sequence,
            "WaitingRequests": len(self.queue),
            "RunningRequests": len(self.running),
            "CacheUsed": self.kept.taken,
            "CacheTotal": self.shape.cache_tokens,
            "Handles": 0,
        }
        call.answer_json(200, report)

    # --- orders

    async def _order(self, call: Call) -> None:
        order = call.json()
        status = self._weigh(order) if isinstance(order, dict) else 400
        if status != 400:
            self.orders.append(Order(self.pace.clock(), order["Holder"], order["FenceNumber"], status))
        if status == 202:
            self.sequence += 1
            self.moving = order["Model"]
            self._turn_waiting_away(order["Model"])
            task = asyncio.get_running_loop().create_task(self._move(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        call.answer(status)

    def _weigh(self, order: dict[str, Any]) -> int:
        """The status that answers an order; takes note of its fence."""
        fence, model, version = order.get("FenceNumber"), order.get("Model"), order.get("Version")
        if not order.get("Holder") or not isinstance(fence, int):
            return 400
        if self.shape.fencing and fence < self.fence:
            return 412
        known = model in self.models and isinstance(version, int) and 0 < version <= self.named[model]
        if order.get("Operation") != "Version" or order.get("Method") not in METHODS or not known:
            return 400
        self.fence = max(self.fence, fence)
        if self.moving is not None or order.get("ExpectedCount", self.sequence) != self.sequence:
            return 409
        return 200 if self.models[model] == version else 202

    async def _move(self, order: dict[str, Any]) -> None:
        model = order["Model"]
        if order["Method"] == "cutover":
            for job in [job for job in self._present() if job.model == model]:
                job.call.reset()
        if order["Method"] != "keep":
            await self.until(lambda: not any(job.begun and job.model == model for job in self._present()))
        await self.pace.wait(self.shape.load_ms)
        self.models[model] = order["Version"]
        self.kept.forget()
        self.moving = None
        self._changed()

    def _present(self) -> list[_Job]:
        return self.running + self.queue

    def _turn_waiting_away(self, model: str) -> None:
        for job in [job for job in self.queue if job.model == model and not job.begun]:
            if job.admitted and not job.admitted.done():
                job.admitted.set_result(False)

    # --- requests

    async def _request(self, call: Call) -> None:
        headers = call.headers
        if "attempt-id" not in headers:
            return self._turn_away(call, 400)
        self.arrived.add(headers["attempt-id"])
        fault = self.faults.popleft() if self.faults else self.always
        if fault is Fault.REFUSE:
            return self._turn_away(call, 503, ("Retry-After", "0.1"))
        if fault is Fault.RESET_BEFORE:
            return call.reset()
        model = headers.get("model-name") or next(iter(self.models))
        if model not in self.models:
            return self._turn_away(call, 421)
        prompt, _, out = headers.get("token-counts", "").partition(",")
        tokens, out_tokens = number_of(prompt, 0), number_of(out, 8)
        priority = min(9, number_of(headers.get("priority"), 5))
        job = _Job(call, model, priority, next(self.number), tokens + out_tokens)
        left = number_of(headers.get("remaining-milliseconds"), 60_000) / 1000
        full = len(self.queue) >= self.shape.queue and not self._fits(job)
        if left <= 0 or job.need > self.shape.cache_tokens or full or self.moving == model:
            return self._turn_away(call, 503, ("Retry-After", "0.1"))
        answering = False
        try:
            async with asyncio.timeout(left):
                if not await self._admit(job):
                    return self._turn_away(call, 503)
                if number_of(headers.get("expect-version"), self.models[model]) != self.models[model]:
                    return self._turn_away(call, 421, ("Versions", str(self.models[model])))
                job.begun = answering = True
                await self._serve(job, tokens, out_tokens, fault)
        except TimeoutError:
            if not answering:
                self._turn_away(call, 503)
            else:
                self.counts["deadline"] += 1
                call.reset()
        finally:
            self._leave(job)

    def _fits(self, job: _Job) -> bool:
        return len(self.running) < self.shape.slots and self.kept.taken + job.need <= self.shape.cache_tokens

    async def _admit(self, job: _Job) -> bool:
        """Waits for a slot and memory; False if an order came in between."""
        job.admitted = asyncio.get_running_loop().create_future()
        self.queue.append(job)
        self._fill()
        self._changed()
        return await job.admitted

    def _fill(self) -> None:
        """Lets in what fits, the most urgent and oldest first; it may take the place of a less urgent one."""
        self.queue.sort(key=lambda job: (job.priority, job.number))
        while self.queue and self.queue[0].admitted:
            job = self.queue[0]
            lesser = [other for other in self.running if other.begun and other.priority > job.priority]
            if not self._fits(job) and lesser:
                self._release(max(lesser, key=lambda other: (other.priority, other.number)))
            if not self._fits(job):
                return
            self.queue.remove(job)
            job.running = True
            self.running.append(job)
            self.kept.taken += job.need
            self.kept.shrink()
            if job.admitted and not job.admitted.done():
                job.admitted.set_result(True)

    def _release(self, job: _Job) -> None:
        if job.running:
            job.running = False
            self.running.remove(job)
            self.kept.taken -= job.need

    def _leave(self, job: _Job) -> None:
        self._release(job)
        if job in self.queue:
            self.queue.remove(job)
        self._fill()
        self._changed()

    async def _serve(self, job: _Job, tokens: int, out_tokens: int, fault: Fault | None) -> None:
        call, headers = job.call, job.call.headers
        version = self.models[job.model]
        salt, parts = headers.get("cache-salt", ""), parts_from(headers.get("prompt-prefix", ""))
        if "kv-fetch" in headers:
            await self._fetch_parts(headers["kv-fetch"], salt, job.model, parts)
        found = self.kept.prefix(salt, job.model, parts)
        run = self._begin_run(job, version, salt, [part for _, part in found], tokens)
        if fault is Fault.SILENCE:
            await asyncio.get_running_loop().create_future()
        if fault is Fault.RESET_AFTER:
            return call.reset()
        await self.read(job.priority, run.missing)
        made = [(name, Part(size, run.tenant, run.version)) for name, size in parts[len(found) :]]
        await self._keep_parts(run, made, headers.get("kv-save"))
        given = "0" * 16 if fault is Fault.WRONG_ID else run.id
        head = [("Attempt-Id", given), ("Server-Seal", run.seal), ("Versions", str(run.version))]
        if self.draining:
            head.append(("Connection", "close"))
        if fault is Fault.FAIL:
            return call.answer(500, b"", head)
        call.head(200, [*head, ("Content-Type", "text/event-stream")])
        await self._stream(job, run, run.missing, out_tokens, fault)
        if fault is Fault.SURPLUS:
            lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {run.id}", f"Server-Seal: {run.seal}"]
            call.raw("\r\n".join([*lines, "Content-Length: 5", "", "stray"]).encode())

    def _begin_run(self, job: _Job, version: int, salt: str, found: list[Part], tokens: int) -> Run:
        """Notes that a request runs from now on. `found`: the parts kept here; `tokens`: of its prompt."""
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
            resumed_from=number_of(headers.get("last-event-id"), 0),
            reused=tuple((part.tenant, part.version) for part in found),
            key_shown="x-api-key" in headers,
            missing=max(0, tokens - sum(part.tokens for part in found)),
        )
        self.runs.append(run)
        self._changed()
        return run

    async def _keep_parts(self, run: Run, made: list[tuple[str, Part]], store: str | None) -> None:
        """Keeps the parts that the run has read, unless the weights have changed, and saves them to the
        store at the address, if one is named."""
        if self.models[run.model] == run.version:
            for name, part in made:
                self.kept.put((run.salt, run.model, name), part)
        if store is not None and made:
            await self._move_tokens(sum(part.tokens for _, part in made))
            await push(store, run.salt, run.model, made)

    async def read(self, priority: int, tokens: int) -> None:
        """The time that reading them takes, with the wait for it."""
        if not self.shape.in_turn:
            return await self.pace.wait(tokens * self.shape.prefill_ms)
        if self.reading:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self.readers, (priority, next(self.number), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():  # it had the turn and passes it on
                    self._pass_turn()
                raise
        self.reading = True
        try:
            await self.pace.wait(tokens * self.shape.prefill_ms)
        finally:
            self._pass_turn()

    def _pass_turn(self) -> None:
        while self.readers:
            turn = heapq.heappop(self.readers)[2]
            if not turn.done():
                return turn.set_result(None)
        self.reading = False

    async def _stream(self, job: _Job, run: Run, missing: int, out_tokens: int, fault: Fault | None) -> None:
        """Events `id: N`, `data: BODYHASH.N/OF`; a piece is the same everywhere, so it may be resumed."""
        of = max(1, math.ceil(out_tokens / self.shape.tokens_per_event))
        version = run.version
        for number in range(run.resumed_from + 1, of + 1):
            if fault is Fault.CUT and number > run.resumed_from + 1:
                return job.call.reset()
            crowded = 1 + self.shape.crowd * max(0, len(self.running) - 1)
            await self.pace.wait(self.shape.token_ms * self.shape.tokens_per_event * crowded)
            await self._flow.wait()
            if not job.running:  # preempted: reads its prompt again
                self.counts["preempted"] += 1
                await self._admit(job)
                await self.read(job.priority, missing)
            now = self.models[run.model]
            first = f"versions: {now}\n" if now != version else ""
            version = now
            job.call.piece(f"{first}id: {number}\ndata: {run.body_hash}.{number}/{of}\n\n".encode())
        job.call.end()

    # --- moves of parts

    async def _fetch_parts(self, source: str, salt: str, model: str, parts: list[tuple[str, int]]) -> None:
        here = len(self.kept.prefix(salt, model, parts))
        if here == len(parts):
            return
        there = (await pull(source, salt, model, parts))[here:]
        await self._move_tokens(sum(part.tokens for _, part in there))
        for name, part in there:
            self.kept.put((salt, model, name), part)

    async def _move_tokens(self, tokens: int) -> None:
        async with self._link:
            await self.pace.wait(tokens * self.shape.token_bytes * 8 / 1000 / self.shape.link_mbps)

    @contextmanager
    def held(self) -> Iterator[None]:
        """All streams stand still within."""
        self.hold()
        try:
            yield
        finally:
            self.go_on()
