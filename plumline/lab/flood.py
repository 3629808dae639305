"""Floods all routers with one tenant's requests and compares the others', with and without reserved shares.

Runs real processes on loopback and simulated endpoints that prefill one prompt at a time. The victims send
short catalog checks and renewals (`library`) and longer briefs and answers (`guides`).
"""

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumline.errors import UnavailableError
from plumline.lab.clients import Clients, RequestClass, SentRequest, Tally
from plumline.lab.engine import Engine, Run, Shape
from plumline.lab.judge import Breach, judge_all
from plumline.lab.local import (
    BOUNDS,
    Ports,
    Process,
    configuration_for,
    machines_for,
    settings_for,
    simulated_services,
    wait_until_ready,
)
from plumline.lab.operator import Operator

HOST = "lab.example"
FLOODER = "flooder"
RESERVED_SHARES = {"library": 0.3, "guides": 0.4}
ENGINES = 2
#: Prefill at the speed that routers assume. With all 8 slots busy, 8 tokens per 1.6 ms: 0.2 ms per token.
SHAPE = Shape(
    slots=8, queue=8, prefill_ms=1 / 61.2, token_ms=1.6, slowdown_per_request=0.0, serial_prefill=True
)
WARMUP_S = 2.0  # traffic at the flooder's usual rate before the flood
USUAL_RATE = 6.0  # requests/s of the flooder; each takes about 70 ms of endpoint time


def configuration(store: str, reserved: bool) -> dict[str, Any]:
    """Returns a configuration with one route for requests that may run only once, and three tenants."""
    document = configuration_for(1, store, SHAPE.slots)
    route = next(each for each in document["Routes"] if each["Name"] == "r-once")
    document["Routes"] = [route | {"AttemptLimit": 2, "Priority": 1}]
    document["Tenants"] = [{"Name": name, "ApiKeys": [f"key-{name}"]} for name in (*RESERVED_SHARES, FLOODER)]
    for tenant in document["Tenants"] if reserved else ():
        if tenant["Name"] in RESERVED_SHARES:
            tenant["ReservedShare"] = RESERVED_SHARES[tenant["Name"]]
    return document


def request_class(name: str, tenant: str, rate: float, prompt: int, out: int) -> RequestClass:
    """Returns a class of requests of one tenant, `rate` requests/s."""
    return RequestClass(
        name,
        HOST,
        "/once/",
        rate,
        prompt_tokens=prompt,
        out_tokens=out,
        key=f"key-{tenant}",
        tenant=tenant,
        timeout_ms=4000,
    )


def victims() -> list[RequestClass]:
    """Returns the request classes of the two tenants with a reserved share."""
    return [
        request_class("catalog-check", "library", 3.0, 500, 8),
        request_class("renew-ask", "library", 4.0, 1200, 24),
        request_class("itinerary-brief", "guides", 1.5, 3600, 48),
        request_class("kiosk-question", "guides", 3.0, 2400, 24),
    ]


def flooder(times: float) -> RequestClass:
    """Returns the flooder's class at `times` its usual rate; almost no two requests share a prefix."""
    each = request_class("flood", FLOODER, USUAL_RATE * times, 4400, 24)
    return RequestClass(
        **({name: getattr(each, name) for name in RequestClass.__slots__} | {"shared_prefixes": 1 << 30})
    )


@dataclass(slots=True)
class Outcome:
    """Results of one run."""

    tallies: dict[str, Tally]
    breaches: list[Breach]
    twice: int  # answered requests of the victims that did not run exactly once
    exits: dict[str, int]

    def in_time(self, classes: Iterable[str]) -> float:
        """Returns the fraction of the classes' requests served in time; 0 without requests."""
        counts: Counter[str] = Counter()
        for name in classes:
            counts += self.tallies[name].outcomes if name in self.tallies else Counter()
        return counts["in-time"] / counts.total() if counts else 0.0


@dataclass(slots=True)
class Comparison:
    """The same flood without and with reserved shares. `bound`: minimum in-time fraction per victim class."""

    without: Outcome
    with_share: Outcome
    bound: float

    @property
    def good(self) -> bool:
        """Whether, with reserved shares, each victim class kept the bound and no rule was broken."""
        each = self.with_share
        rules_kept = not each.breaches and not each.twice and not any(each.exits.values())
        return rules_kept and all(each.in_time([name]) >= self.bound for name in victim_names())

    def parts(self) -> dict[str, Any]:
        """Returns the comparison as JSON-compatible values."""
        runs = {"without": self.without, "with": self.with_share}
        return {"good": self.good, "bound": self.bound} | {
            key: {
                "in_time": {name: round(each.in_time([name]), 4) for name in sorted(each.tallies)},
                "victims_in_time": round(each.in_time(victim_names()), 4),
                "outcomes": {name: dict(tally.outcomes) for name, tally in sorted(each.tallies.items())},
                "breaches": [f"{b.rule} {b.id}: {b.text}" for b in each.breaches],
                "not_once": each.twice,
                "exits": each.exits,
            }
            for key, each in runs.items()
        }

    def text(self) -> str:
        """Formats the comparison as text, one line per class."""
        lines = [f"{'in time':>16}  {'without':>8}  {'with':>8}"]
        for name in [*victim_names(), "flood"]:
            before, after = self.without.in_time([name]), self.with_share.in_time([name])
            lines.append(f"{name:>16}  {before:>8.3f}  {after:>8.3f}")
        before, after = (each.in_time(victim_names()) for each in (self.without, self.with_share))
        lines.append(f"{'all victims':>16}  {before:>8.3f}  {after:>8.3f}")
        for key, each in (("without", self.without), ("with", self.with_share)):
            violations = [f"{b.rule} {b.id}: {b.text}" for b in each.breaches] or ["no rule broken"]
            lines.append(f"{key}: {'; '.join(violations)}; {each.twice} of the victims' answers not run once")
        lines.append(f"bound {self.bound:g} for each kind: {'kept' if self.good else 'NOT KEPT'}")
        return "\n".join(lines)


def victim_names() -> list[str]:
    """Returns the names of the victims' classes."""
    return [each.name for each in victims()]


def count_not_run_once(
    runs: Iterable[Run], sent: dict[str, SentRequest], answers: Iterable[tuple[str, str]]
) -> int:
    """Counts the victims' answered requests that did not run exactly once."""
    counts = Counter(run.id for run in runs)
    names = {name for name, _ in answers if sent[name].tenant in RESERVED_SHARES}
    return sum(counts[name] != 1 for name in names)


async def compare(
    routers: int = 3, seconds: float = 12.0, times: float = 8.0, bound: float = 0.9, seed: int = 1
) -> Comparison:
    """Runs the same load without and with reserved shares. Errors: NotStartedError, UnavailableError."""
    without = await run(routers, seconds, times, seed, reserved=False)
    with_share = await run(routers, seconds, times, seed, reserved=True)
    return Comparison(without, with_share, bound)


async def run(routers: int, seconds: float, times: float, seed: int, reserved: bool) -> Outcome:
    """Runs one registrar and `routers` routers, and a flood of `times` the usual rate for `seconds`."""
    machines = machines_for(routers, 1)
    ports = Ports.free(each.host for each in machines)
    with tempfile.TemporaryDirectory(prefix="plumline-flood-") as name:
        directory = Path(name)
        async with simulated_services(ENGINES, 1.0, SHAPE) as (engines, store, platform):
            processes = [Process(each, directory) for each in machines]
            try:
                for each in processes:
                    address = platform.server.address
                    await each.start(settings_for(each.machine, machines, ports, address, directory))
                operator = Operator([f"{machines[0].host}:{ports.control}"])
                result = await operator.replace(configuration(store.server.address, reserved), 0)
                if not result.taken:
                    raise UnavailableError(f"the configuration was answered {result.status}")
                edge = processes[1:]
                await asyncio.gather(
                    *(wait_until_ready(each, f"{each.machine.host}:{ports.readiness}") for each in edge)
                )
                router_addresses = [f"{each.machine.host}:{ports.front}" for each in edge]
                outcome = await run_flood(router_addresses, engines, seconds, times, seed)
            finally:
                ends = await asyncio.gather(*(each.stop() for each in processes))
        outcome.exits = {each.machine.name: end for each, end in zip(processes, ends, strict=True)}
        return outcome


async def run_flood(
    router_addresses: list[str], engines: list[Engine], seconds: float, times: float, seed: int
) -> Outcome:
    """Runs a warm-up, which is not counted, then the flood."""
    warmup = Clients(router_addresses, [*victims(), flooder(1.0)], seed, time.monotonic)
    await warmup.run(WARMUP_S)
    clients = Clients(router_addresses, [*victims(), flooder(times)], seed + 1, time.monotonic)
    await clients.run(seconds)
    clients.sent |= warmup.sent
    clients.answers += warmup.answers
    breaches = judge_all(engines, clients, BOUNDS["LeaseDurationMs"] / 1000, [])
    runs = [run for engine in engines for run in engine.runs]
    not_run_once = count_not_run_once(runs, clients.sent, clients.answers)
    return Outcome(dict(clients.tallies), breaches, not_run_once, {})
