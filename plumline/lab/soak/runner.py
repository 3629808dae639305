"""Runs a soak: real routers and registrars, planned work on them, and clients with persistent connections."""

import asyncio
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from plumline.errors import UnavailableError
from plumline.lab.engine import Engine, Shape
from plumline.lab.judge import Breach, judge, judge_orders
from plumline.lab.local import (
    BOUNDS,
    Machine,
    Ports,
    Process,
    configuration_for,
    machines_for,
    settings_for,
    simulated_services,
    wait_until_ready,
)
from plumline.lab.operator import Operator
from plumline.lab.platform import Platform
from plumline.lab.soak.clients import LoadBalancer, PersistentClient, PersistentOperator
from plumline.lab.soak.faults import Fault, FaultStep, draw_faults
from plumline.lab.soak.judge import Evidence, judge_lost
from plumline.lab.soak.plan import Action, Step, draw_plan
from plumline.lab.soak.supervisor import GRACE_S, Supervisor

ENGINES = 3
SLOTS = (6, 16, 64)  # per endpoint; with few slots requests queue there and are rejected
ROUTE_TIMEOUT_S = 8.0
READY_TIMEOUT_S = 60.0
ENDPOINT_STOP_EXTRA_S = 3.0  # after DrainMs, until a draining endpoint is stopped
LAG_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Size of a soak; `seconds`: duration of the traffic."""

    routers: int = 4
    registrars: int = 3
    clients: int = 24
    seconds: float = 20.0
    faults: bool = False  # in addition to the planned work


@dataclass(slots=True)
class SoakResult:
    """Results of one seed. `lag_s`: largest scheduling delay of the soak itself."""

    seed: int
    size: SoakSize
    breaches: list[Breach] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    steps: Counter[str] = field(default_factory=Counter)
    shutdowns: int = 0
    lag_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether no rule was broken and requests were served."""
        return not self.breaches and self.outcomes["answered-200"] > 0

    def text(self) -> str:
        """Formats the result: one line, and one line per breach."""
        counts = ", ".join(f"{name} {number}" for name, number in sorted(self.outcomes.items()))
        steps = ", ".join(f"{name.lower()} {number}" for name, number in sorted(self.steps.items()))
        verdict = "ok" if self.good else "BROKEN"
        line = (
            f"seed {self.seed} {verdict}: {self.size.routers} routers, {self.size.registrars} registrars, "
            f"{self.size.clients} clients; {self.shutdowns} shutdowns; {steps}; {counts}; "
            f"late by {self.lag_s:.3f} s"
        )
        return "\n".join([line, *(f"  {each.rule} {each.id}: {each.text}" for each in self.breaches)])


class Soak:
    """Runs one seed."""

    def __init__(self, seed: int, size: SoakSize, directory: Path) -> None:
        self.size, self.directory = size, directory
        self.rng = random.Random(seed)
        self.result = SoakResult(seed, size)
        self.machines = machines_for(size.routers, size.registrars)
        self.ports = Ports.free(each.host for each in self.machines)
        self.supervisors: dict[str, Supervisor] = {}
        self.engines: list[Engine] = []
        self.retired: list[Engine] = []
        self.changes: asyncio.Queue[None] = asyncio.Queue()
        self.document: dict[str, Any] = {}
        self.slots = self.rng.choice(SLOTS)

    async def run(self) -> SoakResult:
        """Runs the processes and the traffic. Errors: NotStartedError, UnavailableError."""
        shape = Shape(slots=self.slots, queue=self.slots, connection_limit=4096, tokens_per_event=50)
        shape = replace(shape, slowdown_per_request=0.02, cache_tokens=20_000_000)
        async with AsyncExitStack() as stack:
            engines, store, platform = await stack.enter_async_context(
                simulated_services(ENGINES, 1.0, shape)
            )
            self.engines, self.platform, self.shape = engines, platform, shape
            self.document = soak_configuration(store.server.address, shape)
            stack.push_async_callback(self._stop_all)
            await self._start_all(platform)
            await self._traffic()
            await self._check_configuration()
        self._judge()
        return self.result

    async def _start_all(self, platform: Platform) -> None:
        for machine in self.machines:
            settings = settings_for(
                machine, self.machines, self.ports, platform.server.address, self.directory
            )
            self.supervisors[machine.name] = Supervisor(self._process(machine), settings, self.rng)
        await asyncio.gather(*(each.start() for each in self.supervisors.values()))
        reply = await self._operator().replace(self.document, 0)
        if not reply.taken:
            raise UnavailableError(f"the configuration was answered {reply.status}: {reply.body[:300]!r}")
        for each in self._of_role("router"):
            process = self.supervisors[each.name].process
            await wait_until_ready(process, f"{each.host}:{self.ports.readiness}", READY_TIMEOUT_S)

    def _process(self, machine: Machine) -> Process:
        return Process(machine, self.directory)

    def _of_role(self, role: str) -> list[Machine]:
        return [each for each in self.machines if each.role == role]

    def _operator(self) -> Operator:
        return Operator(
            [f"{each.host}:{self.ports.control}" for each in self._of_role("registrar")], READY_TIMEOUT_S
        )

    async def _traffic(self) -> None:
        routers, registrars = self._of_role("router"), self._of_role("registrar")
        addresses = {
            each.name: (f"{each.host}:{self.ports.front}", f"{each.host}:{self.ports.readiness}")
            for each in routers
        }
        load_balancer = LoadBalancer(addresses)
        clients = [
            PersistentClient(load_balancer, random.Random(self.rng.random()), ROUTE_TIMEOUT_S)
            for _ in range(self.size.clients)
        ]
        operators = [
            PersistentOperator(each.name, f"{each.host}:{self.ports.control}") for each in registrars
        ]
        plan = self._draw_plan([each.name for each in routers], [each.name for each in registrars])
        faults = self._draw_faults(routers, registrars) if self.size.faults else []
        until = time.monotonic() + self.size.seconds
        loop = asyncio.get_running_loop()
        background = [loop.create_task(work) for work in (load_balancer.check_forever(), self._measure_lag())]
        changing = loop.create_task(self._apply_changes())
        async with asyncio.TaskGroup() as group:
            for each in [*clients, *operators]:
                group.create_task(each.run(until))
            group.create_task(self._execute_plan(plan))
            group.create_task(self._inject_faults(faults))
        await self.changes.join()
        for task in [*background, changing]:
            task.cancel()
        await asyncio.gather(*background, changing, return_exceptions=True)
        self.clients, self.operators = clients, operators

    async def _measure_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.result.lag_s = max(self.result.lag_s, time.monotonic() - due)

    async def _execute_plan(self, plan: list[Step]) -> None:
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in plan:
                await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
                self.result.steps[step.action.name] += 1
                match step.action:
                    case Action.TERMINATE:
                        self._terminate(step.target)
                    case Action.RELOAD:
                        # SIGHUP ends a process that has not installed its signal handlers yet.
                        if self.supervisors[step.target].has_started():
                            self.supervisors[step.target].signal(signal.SIGHUP)
                    case Action.CHANGE:
                        self.changes.put_nowait(None)
                    case Action.REPLACE_ENDPOINT:
                        group.create_task(self._replace_endpoint())

    def _draw_plan(self, routers: list[str], registrars: list[str]) -> list[Step]:
        return draw_plan(self.rng, routers, registrars, self.size.seconds)

    def _draw_faults(self, routers: list[Machine], registrars: list[Machine]) -> list[FaultStep]:
        names = [[each.name for each in machines] for machines in (routers, registrars)]
        return draw_faults(self.rng, *names, self.size.seconds)

    def _terminate(self, name: str) -> None:
        self.supervisors[name].terminate()

    async def _inject_faults(self, faults: list[FaultStep]) -> None:
        began = time.monotonic()
        for step in faults:
            await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
            self.result.steps[step.fault.name] += 1
            target = self.supervisors[step.target]
            match step.fault:
                case Fault.KILL:
                    target.kill(step.seconds, loses_disk=False)
                case Fault.LOSE_DISK:
                    target.kill(step.seconds, loses_disk=True)
                case Fault.FREEZE:
                    target.freeze(step.seconds)

    async def _apply_changes(self) -> None:
        """Applies the queued changes in order; each is sent until its response is definite."""
        while True:
            await self.changes.get()
            version = self.document["Version"]
            changed = self.document | {"Version": version + 1}
            extra = {"Name": f"extra-{version}", "ApiKeys": [f"key-{version}"]}
            changed["Tenants"] = [*self.document["Tenants"][:2], extra]
            with suppress(UnavailableError):
                reply = await self._operator().replace(changed, version)
                if reply.taken:
                    self.document = changed
                else:
                    text = f"answered {reply.status} {reply.body[:200]!r}"
                    self.result.breaches.append(Breach("CONFIG", f"version {version + 1}", text))
            self.changes.task_done()

    async def _replace_endpoint(self) -> None:
        new, old = Engine(self.shape), self.engines.pop(0)
        await new.start()
        self.engines.append(new)
        self.platform.add(new.entry)
        self.retired.append(old)
        self.platform.drain(old.id)
        old.draining = True
        await asyncio.sleep(BOUNDS["DrainMs"] / 1000 + ENDPOINT_STOP_EXTRA_S)
        await old.wait_until(lambda: not old.running and not old.queue)
        self.platform.end(old.id)
        await old.stop()

    async def _check_configuration(self) -> None:
        """Checks that the last acknowledged configuration is in place, or a newer one.

        A newer one comes from a change without a definite response.
        """
        found = await self._operator().read()
        if found != self.document and found.get("Version", 0) <= self.document["Version"]:
            text = f"version {found.get('Version')} read, {self.document['Version']} acknowledged"
            self.result.breaches.append(Breach("CONFIG", "read", text))

    def save_logs(self, folder: Path) -> None:
        """Copies the logs of the processes and the result into the folder."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "result.txt").write_text(self.result.text() + "\n")
        for log in self.directory.glob("*.log"):
            shutil.copy(log, folder / log.name)

    async def _stop_all(self) -> None:
        await asyncio.gather(*(each.stop() for each in self.supervisors.values()))

    def _judge(self) -> None:
        result = self.result
        engines = self.engines + self.retired
        evidence = Evidence(
            grace_s=GRACE_S,
            loss_slack_s=BOUNDS["LossSlackMs"] / 1000,
            lag_s=result.lag_s,
            arrived={name for engine in engines for name in engine.arrived},
            shutdowns={name: each.shutdowns for name, each in self.supervisors.items()},
            faults={name: each.faults for name, each in self.supervisors.items()},
            contact_s=BOUNDS["ContactMs"] / 1000,
        )
        for client in self.clients:
            result.outcomes += client.outcomes
            result.breaches += judge_lost(client.records, evidence)
            result.breaches += judge(
                [run for engine in engines for run in engine.runs if run.id in client.sent], client.sent
            )
        for operator in self.operators:
            result.breaches += judge_lost(operator.records, evidence)
        for engine in engines:
            result.breaches += judge_orders(engine.orders, BOUNDS["LeaseDurationMs"] / 1000)
        for status in ("answered-500", "answered-401", "answered-404", "answered-403"):
            if result.outcomes[status]:
                text = f"{result.outcomes[status]} requests"
                result.breaches.append(Breach("DENIED", status, text))
        for each in self.supervisors.values():
            result.breaches += each.breaches
            result.shutdowns += len(each.shutdowns)


def soak_configuration(store: str, shape: Shape) -> dict[str, Any]:
    """Returns the lab's configuration with the sizes and timeouts of the soak."""
    document = configuration_for(1, store, shape.slots)
    for route in document["Routes"]:
        route["TimeoutMs"] = int(ROUTE_TIMEOUT_S * 1000)
    service = document["Services"][0]
    service["ConnectionLimit"] = shape.connection_limit
    service["Engine"]["CacheTokenCapacity"] = shape.cache_tokens
    return document


async def run_seed(seed: int, size: SoakSize, logs: Path | None = None) -> SoakResult:
    """Runs one seed; saves the logs of the processes under `logs` if the result is not good."""
    with tempfile.TemporaryDirectory(prefix="plumline-soak-") as name:
        soak = Soak(seed, size, Path(name))
        result = await soak.run()
        if logs is not None and not result.good:
            soak.save_logs(logs / f"seed-{seed}")
    return result


async def run_seeds(seeds: Iterable[int], size: SoakSize, logs: Path | None = None) -> list[SoakResult]:
    """Runs the seeds in order; prints the result of each."""
    results = []
    for seed in seeds:
        result = await run_seed(seed, size, logs)
        print(result.text(), flush=True)
        results.append(result)
    return results
