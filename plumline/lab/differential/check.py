"""Runs random changes through the system, and compares routers with a plain reading of the document."""

import asyncio
import json
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from plumline.configuration.difference import replace_as_amend
from plumline.configuration.document import Document
from plumline.configuration.entities import Tenant
from plumline.configuration.replicated_state import ReplicatedConfiguration, tenant_names
from plumline.configuration.route_table import RouteTable
from plumline.coordination.log import Change
from plumline.lab.differential.documents import ChangeGenerator
from plumline.lab.differential.resolver import (
    differences,
    expected_reading,
    expected_to_share,
    reading_of,
)
from plumline.lab.differential.shrink import shrink
from plumline.lab.differential.system import FeedStalledError, Registrar, Subscriber
from plumline.routing.cache_salt import cache_owner_of

STEADY, SLOW, RESTARTED = "steady", "slow", "restarted"
RESTART_CHANCE = 0.02  # of the registrar, after a change
RESUBSCRIBE_CHANCE = 0.1  # of the router that restarts, after a change
PAUSE_CHANCE = 0.2  # that the slow router stops reading, or reads again
MAX_DIFFERENCES = 20  # lines kept of one fault


@dataclass(frozen=True, slots=True)
class Fault:
    """A change after which a router, or the registrar's disk, is not as the document says."""

    where: str
    lines: tuple[str, ...]
    before: Document | None  # shrunk where the fault shows in one process as well
    change: Change


@dataclass(slots=True)
class Report:
    """What a run did and found."""

    seed: int
    tried: int = 0
    taken: dict[str, int] = field(default_factory=lambda: {"replace": 0, "amend": 0})
    compared: int = 0  # a router's whole reading each
    registrar_restarts: int = 0
    subscriptions: int = 0
    fault: Fault | None = None

    @property
    def good(self) -> bool:
        """Whether nothing was found."""
        return self.fault is None

    def text(self) -> str:
        """A line of what was done; for a fault its lines, the document before and the change."""
        done = (
            f"seed {self.seed}: {self.tried} changes tried, {sum(self.taken.values())} taken ({self.taken}), "
            f"{self.compared} comparisons, {self.registrar_restarts} restarts of the registrar, "
            f"{self.subscriptions} subscriptions"
        )
        if self.fault is None:
            return f"{done}: no difference"
        before, change = json.dumps(self.fault.before), json.dumps(self.fault.change)
        shown = [
            f"difference ({self.fault.where}):",
            *self.fault.lines,
            f"before: {before}",
            f"change: {change}",
        ]
        return "\n".join([done, *shown])

    def parts(self) -> dict[str, Any]:
        """Plain values, for JSON."""
        fault = self.fault
        found = fault and {
            "where": fault.where,
            "lines": list(fault.lines),
            "before": fault.before,
            "change": fault.change,
        }
        return {
            "seed": self.seed,
            "tried": self.tried,
            "taken": self.taken,
            "compared": self.compared,
            "registrar_restarts": self.registrar_restarts,
            "subscriptions": self.subscriptions,
            "fault": found,
        }


class SharedCacheHistory:
    """Which tenants may have left something in which generation of the shared cache."""

    def __init__(self) -> None:
        self._sharing: dict[int, set[str]] = {}

    def mixed(self, state: ReplicatedConfiguration) -> set[str]:
        """Tenants that are isolated now, and were not in an earlier configuration of this generation."""
        shared = self._sharing.setdefault(state.shared_cache_generation, set())
        shared |= tenant_names(state.configuration, isolated=False)
        return shared & tenant_names(state.configuration, isolated=True)


class Run:
    """One seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.chance = random.Random(seed)
        self.generator = ChangeGenerator(self.chance)
        self.report = Report(seed)
        self.registrar = Registrar(folder)
        self.subscribers: dict[str, Subscriber] = {}
        self.caches = SharedCacheHistory()
        self.paused = False

    async def play(self, changes: int) -> None:
        """Until so many changes were tried, or a fault was found."""
        await self.registrar.listen()
        try:
            for name in (STEADY, SLOW, RESTARTED):
                await self._subscribe(name)
            while self.report.tried < changes and self.report.good:
                await self._step()
        finally:
            for each in self.subscribers.values():
                each.close()
            self.registrar.close()

    async def _subscribe(self, name: str) -> None:
        if name in self.subscribers:
            self.subscribers[name].close()
        self.subscribers[name] = Subscriber(name, self.registrar.port)
        await self.subscribers[name].connect()
        self.report.subscriptions += 1

    async def _step(self) -> None:
        before = self.registrar.state.configuration
        change = self.generator.change(before)
        self.report.tried += 1
        if not self.registrar.submit(change):
            return
        self.report.taken[change[0]] += 1
        try:
            await self._compare(before, change)
            await self._disturb(before, change)
        except FeedStalledError as error:
            self._note("feed", [error.text], before, change)

    async def _compare(self, before: Document | None, change: Change) -> None:
        state, index = self.registrar.state, self.registrar.index
        assert state.configuration is not None
        if mixed := self.caches.mixed(state):
            self._note("shared cache", [f"isolated, and in its generation: {sorted(mixed)}"], before, change)
        expected = expected_reading(state.configuration)
        for name, subscriber in self.subscribers.items():
            if name == SLOW and self.paused:
                continue
            await subscriber.reach(index)
            self.report.compared += 1
            table = subscriber.fleet.table
            lines = list(differences(expected, reading_of(table)))
            lines += wrong_cache_owners(before, state.configuration, table)
            generation = subscriber.fleet.state.shared_cache_generation
            if generation != state.shared_cache_generation:
                lines.append(f"shared cache generation: {state.shared_cache_generation}, there {generation}")
            if lines:
                self._note(name, lines, before, change)

    async def _disturb(self, before: Document | None, change: Change) -> None:
        """Restarts of the registrar and of a router; a router that does not read for a while."""
        if self.chance.random() < RESTART_CHANCE:
            live = self.registrar.state.to_wire()
            await self.registrar.restart()
            self.report.registrar_restarts += 1
            if self.registrar.state.to_wire() != live:
                self._note("disk", ["the state replayed from the disk is another one"], before, change)
            self.paused = False
            for name in self.subscribers:
                await self._subscribe(name)
        if self.chance.random() < RESUBSCRIBE_CHANCE:
            await self._subscribe(RESTARTED)
        if self.chance.random() < PAUSE_CHANCE:
            self.paused = not self.paused
            self.subscribers[SLOW].set_reading(not self.paused)

    def _note(self, where: str, lines: list[str], before: Document | None, change: Change) -> None:
        if self.report.fault is None:
            before, change = shrink(before, change, table_differs)
            self.report.fault = Fault(where, tuple(lines[:MAX_DIFFERENCES]), before, change)


def table_differs(before: Document | None, change: Change) -> bool:
    """Whether the fault shows without the feed: a router that had the document before is given the change."""
    state = ReplicatedConfiguration()
    if before is not None:
        state = state.apply(["replace", 0, before])
    if state.check(change):
        return False
    after = state.apply(change).configuration
    assert after is not None
    table = _table_after(before, after, change)
    if any(differences(expected_reading(after), reading_of(table))):
        return True
    return bool(wrong_cache_owners(before, after, table))


def _table_after(before: Document | None, after: Document, change: Change) -> RouteTable:
    """The table that a router has after the change, as the feed sends it."""
    if before is None:
        return RouteTable(after)
    earlier = RouteTable(before)
    sent = replace_as_amend(before, change)
    if sent[0] == "amend":
        return earlier.with_amendment(after, sent[2])
    return RouteTable(after, earlier)


def wrong_cache_owners(before: Document | None, after: Document, table: RouteTable) -> list[str]:
    """A line for each tenant of a request admitted under `before` and sent under `after` that would find, or
    leave, something in the wrong cache."""
    found = []
    for item in before.get("Tenants", []) if before else []:
        owner = cache_owner_of(Tenant(item["Name"], isolated=item.get("Isolated") is True), table)
        shares = expected_to_share(after, item["Name"])
        if (owner is None) is not shares:
            found.append(f"{item['Name']}, admitted before: shares by the document {shares}, owner {owner}")
    return found


async def check(seed: int, changes: int, report_to: list[Report] | None = None) -> Report:
    """Tries so many random changes with one seed.

    `report_to` gets the report as the run begins, for the case that it is ended early.
    """
    with tempfile.TemporaryDirectory(prefix="plumline-configure-") as folder:
        run = Run(seed, Path(folder))
        if report_to is not None:
            report_to.append(run.report)
        await run.play(changes)
        return run.report


def run_check(seed: int, changes: int) -> Report:
    """The same, to its end or until it is interrupted: then the report says how far it came."""
    reports: list[Report] = []
    try:
        return asyncio.run(check(seed, changes, reports))
    except KeyboardInterrupt:
        return reports[0] if reports else Report(seed)
