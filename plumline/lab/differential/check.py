"""Applies random changes to the system and compares its routers with a reference model of the document."""

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
    expected_cache_sharing,
    expected_results,
    table_results,
)
from plumline.lab.differential.shrink import shrink
from plumline.lab.differential.system import FeedStalledError, Registrar, Subscriber
from plumline.routing.cache_salt import cache_owner_of

STEADY, SLOW, RESTARTED = "steady", "slow", "restarted"
RESTART_PROBABILITY = 0.02  # that the registrar restarts after a change
RESUBSCRIBE_PROBABILITY = 0.1  # that the RESTARTED router subscribes again after a change
PAUSE_PROBABILITY = 0.2  # that the SLOW router stops reading, or resumes, after a change
MAX_DIFFERENCES = 20  # lines reported for one fault


@dataclass(frozen=True, slots=True)
class Fault:
    """A change after which a router, or the state on the registrar's disk, differs from the document."""

    where: str
    lines: tuple[str, ...]
    before: Document | None  # minimized if the fault is reproducible without the feed
    change: Change


@dataclass(slots=True)
class Report:
    """What a run has done, and its first fault if any."""

    seed: int
    tried: int = 0
    taken: dict[str, int] = field(default_factory=lambda: {"replace": 0, "amend": 0})
    compared: int = 0  # number of full comparisons, each of one router
    registrar_restarts: int = 0
    subscriptions: int = 0
    fault: Fault | None = None

    @property
    def good(self) -> bool:
        """Whether no fault was found."""
        return self.fault is None

    def text(self) -> str:
        """A summary line; for a fault also its lines, the document before the change, and the change."""
        summary = (
            f"seed {self.seed}: {self.tried} changes tried, {sum(self.taken.values())} taken ({self.taken}), "
            f"{self.compared} comparisons, {self.registrar_restarts} restarts of the registrar, "
            f"{self.subscriptions} subscriptions"
        )
        if self.fault is None:
            return f"{summary}: no difference"
        before, change = json.dumps(self.fault.before), json.dumps(self.fault.change)
        fault_lines = [
            f"difference ({self.fault.where}):",
            *self.fault.lines,
            f"before: {before}",
            f"change: {change}",
        ]
        return "\n".join([summary, *fault_lines])

    def parts(self) -> dict[str, Any]:
        """The report as JSON values."""
        fault = self.fault
        fault_values = fault and {
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
            "fault": fault_values,
        }


class SharedCacheHistory:
    """Which tenants may have written to each generation of the shared cache."""

    def __init__(self) -> None:
        self._sharing_tenants: dict[int, set[str]] = {}

    def isolated_after_sharing(self, state: ReplicatedConfiguration) -> set[str]:
        """Tenants that are isolated now but were not in an earlier configuration of this generation."""
        shared = self._sharing_tenants.setdefault(state.shared_cache_generation, set())
        shared |= tenant_names(state.configuration, isolated=False)
        return shared & tenant_names(state.configuration, isolated=True)


class Run:
    """A run with one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.generator = ChangeGenerator(self.rng)
        self.report = Report(seed)
        self.registrar = Registrar(folder)
        self.subscribers: dict[str, Subscriber] = {}
        self.shared_cache_history = SharedCacheHistory()
        self.paused = False

    async def execute(self, changes: int) -> None:
        """Tries changes until their number is reached or a fault is found."""
        await self.registrar.listen()
        try:
            for name in (STEADY, SLOW, RESTARTED):
                await self._subscribe(name)
            while self.report.tried < changes and self.report.good:
                await self._step()
        finally:
            for subscriber in self.subscribers.values():
                subscriber.close()
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
            await self._inject_disruptions(before, change)
        except FeedStalledError as error:
            self._record_fault("feed", [error.text], before, change)

    async def _compare(self, before: Document | None, change: Change) -> None:
        state, index = self.registrar.state, self.registrar.index
        assert state.configuration is not None
        if tenants := self.shared_cache_history.isolated_after_sharing(state):
            self._record_fault(
                "shared cache", [f"isolated, and in its generation: {sorted(tenants)}"], before, change
            )
        expected = expected_results(state.configuration)
        for name, subscriber in self.subscribers.items():
            if name == SLOW and self.paused:
                continue
            await subscriber.wait_for_index(index)
            self.report.compared += 1
            table = subscriber.fleet.table
            lines = list(differences(expected, table_results(table)))
            lines += wrong_cache_owners(before, state.configuration, table)
            generation = subscriber.fleet.state.shared_cache_generation
            if generation != state.shared_cache_generation:
                lines.append(f"shared cache generation: {state.shared_cache_generation}, there {generation}")
            if lines:
                self._record_fault(name, lines, before, change)

    async def _inject_disruptions(self, before: Document | None, change: Change) -> None:
        """Randomly restarts the registrar, resubscribes a router, and pauses or resumes another."""
        if self.rng.random() < RESTART_PROBABILITY:
            state_before_restart = self.registrar.state.to_wire()
            await self.registrar.restart()
            self.report.registrar_restarts += 1
            if self.registrar.state.to_wire() != state_before_restart:
                self._record_fault(
                    "disk", ["the state replayed from the disk is another one"], before, change
                )
            self.paused = False
            for name in self.subscribers:
                await self._subscribe(name)
        if self.rng.random() < RESUBSCRIBE_PROBABILITY:
            await self._subscribe(RESTARTED)
        if self.rng.random() < PAUSE_PROBABILITY:
            self.paused = not self.paused
            self.subscribers[SLOW].set_reading(not self.paused)

    def _record_fault(self, where: str, lines: list[str], before: Document | None, change: Change) -> None:
        if self.report.fault is None:
            before, change = shrink(before, change, table_differs)
            self.report.fault = Fault(where, tuple(lines[:MAX_DIFFERENCES]), before, change)


def table_differs(before: Document | None, change: Change) -> bool:
    """Whether the fault is reproducible without the feed, by applying the change to a router's table."""
    state = ReplicatedConfiguration()
    if before is not None:
        state = state.apply(["replace", 0, before])
    if state.check(change):
        return False
    after = state.apply(change).configuration
    assert after is not None
    table = _table_after(before, after, change)
    if any(differences(expected_results(after), table_results(table))):
        return True
    return bool(wrong_cache_owners(before, after, table))


def _table_after(before: Document | None, after: Document, change: Change) -> RouteTable:
    """A router's table after it has applied the change in the form that the feed sends."""
    if before is None:
        return RouteTable(after)
    earlier = RouteTable(before)
    sent = replace_as_amend(before, change)
    if sent[0] == "amend":
        return earlier.with_amendment(after, sent[2])
    return RouteTable(after, earlier)


def wrong_cache_owners(before: Document | None, after: Document, table: RouteTable) -> list[str]:
    """A line for each tenant whose request, if admitted under `before` and sent under `after`, would read or
    write the wrong cache."""
    lines = []
    for item in before.get("Tenants", []) if before else []:
        owner = cache_owner_of(Tenant(item["Name"], isolated=item.get("Isolated") is True), table)
        shares = expected_cache_sharing(after, item["Name"])
        if (owner is None) is not shares:
            lines.append(f"{item['Name']}, admitted before: shares by the document {shares}, owner {owner}")
    return lines


async def check(seed: int, changes: int, report_to: list[Report] | None = None) -> Report:
    """Tries `changes` random changes with one seed.

    The report is appended to `report_to` at the start, so that it is available after an interruption.
    """
    with tempfile.TemporaryDirectory(prefix="plumline-configure-") as folder:
        run = Run(seed, Path(folder))
        if report_to is not None:
            report_to.append(run.report)
        await run.execute(changes)
        return run.report


def run_check(seed: int, changes: int) -> Report:
    """Runs `check` to its end or until it is interrupted; the report then covers the completed part."""
    reports: list[Report] = []
    try:
        return asyncio.run(check(seed, changes, reports))
    except KeyboardInterrupt:
        return reports[0] if reports else Report(seed)
