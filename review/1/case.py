"""Two tenants ask for the same shared parts at nearly the same time; meanwhile the operator isolates one."""

import asyncio
import secrets
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    CallError,
    CouldNotRunError,
    Record,
    System,
    fetch,
    run,
    trouble,
)

from plumline.lab.engine import Engine, Run, Shape  # noqa: E402
from plumline.lab.local import configuration_for  # noqa: E402

APPLY_S = 2.0  # ConfigurationApplyMs
SHARED_TOKENS, OWN_TOKENS, OUT_TOKENS = 13_300, 3_720, 17  # of a catalog-check
HALL, LIBRARY = "hall", "library"  # tenants; the library is the one that becomes isolated
SUBJECT_S = 0.1  # between two subjects
SECOND_S = 0.03  # from a subject's first request, the hall's, to its second, the library's
CHANGE_S = 0.5  # from the first request to the operator's change; no request follows its acknowledgement
JUDGED_SUBJECTS = 6  # the newest ones are asked for again
QUIET_S = 3.0  # from the acknowledgement to the requests that are judged


def engine() -> Engine:
    """An endpoint with the figures of pslc-lend's lendbot."""
    shape = Shape(
        service="service",
        slots=24,
        queue=72,
        cache_tokens=149_454,
        token_bytes=163_840,
        link_mbps=1_100_000.0,
        connection_limit=210,
        prefill_ms=1 / 61.2,
        token_ms=3.37,
        tokens_per_event=7,
    )
    return Engine(shape)


def configuration(version: int, *, isolated: bool) -> dict[str, Any]:
    """One route for prompts with a shared part, two tenants."""
    document = configuration_for(version, "127.0.0.1:9", slots=24)
    document["Routes"] = [document["Routes"][0] | {"Name": "catalog-check", "PathPrefix": "/catalog/"}]
    document["Services"] = document["Services"][:1]
    document["Services"][0]["ConnectionLimit"] = 210
    document["Services"][0]["Engine"] |= {
        "CacheTokenCapacity": 149_454,
        "CacheTokenBytes": 163_840,
        "LinkSpeedMbps": 1_100_000.0,
        "stride": 7,
    }
    document["Tenants"] = [
        {"Name": HALL, "ApiKeys": ["key-hall"], "Priority": 1, "Isolated": False},
        {"Name": LIBRARY, "ApiKeys": ["key-library"], "Priority": 1, "Isolated": isolated},
    ]
    return document


class Clients:
    """Sends requests; knows when each was sent."""

    def __init__(self, system: System, record: Record) -> None:
        self.system, self.record = system, record
        self.sent_at: dict[str, float] = {}  # by Attempt-Id
        self.subjects = 0  # asked for so far

    async def ask_in_turn(self, group: asyncio.TaskGroup) -> None:
        """One subject after the other, each asked for by both tenants, until cancelled."""
        while True:
            subject, self.subjects = self.subjects, self.subjects + 1
            group.create_task(self.ask(HALL, subject))
            await asyncio.sleep(SECOND_S)
            group.create_task(self.ask(LIBRARY, subject))
            await asyncio.sleep(SUBJECT_S - SECOND_S)

    async def ask(self, tenant: str, subject: int, router: int = 0) -> None:
        """One request of a tenant for a subject."""
        name = secrets.token_hex(8)
        total = SHARED_TOKENS + OWN_TOKENS
        headers = [
            ("Host", "lab.example"),
            ("Attempt-Id", name),
            ("Model-Name", "model"),
            ("Token-Counts", f"{total},{OUT_TOKENS}"),
            ("Prompt-Prefix", f"{0xA0 + subject:08x}:{SHARED_TOKENS},{secrets.token_hex(4)}:{OWN_TOKENS}"),
            ("Remaining-Milliseconds", "6000"),
            ("X-Api-Key", f"key-{tenant}"),
        ]
        self.sent_at[name] = time.monotonic()
        self.record.note(f"sent {name} of {tenant} for subject {subject}")
        front = self.system.front(self.system.routers[router])
        try:
            status, answered, _ = await fetch(front, "POST", "/catalog/2f", headers, b"notes", timeout=6.0)
        except CallError as error:
            self.record.note(f"answered {name}: {error!r}")
        else:
            self.record.note(f"answered {name}: {status}, seal {answered.get('server-seal')}")


def breaches(runs: Iterable[Run], sent_at: dict[str, float], isolated_since: float) -> list[Run]:
    """Runs that used another tenant's memory although one of the two is isolated; only requests count that
    were sent once every router must have had the configuration."""
    return [
        each
        for each in runs
        if sent_at[each.id] > isolated_since + APPLY_S
        and any(maker != each.tenant and LIBRARY in (maker, each.tenant) for maker, _ in each.reused)
    ]


async def case(system: System, record: Record) -> int:
    """Whether WALL was broken."""
    engines = [engine() for _ in range(3)]
    for each in engines:
        await each.start()
        system.platform.add(each.entry)
    verdict = await system.operator.replace(configuration(1, isolated=not trouble()), 0)
    record.note(f"version 1 answered {verdict.status}; {LIBRARY} is isolated: {not trouble()}")
    isolated_since = time.monotonic()
    await system.ready()
    await asyncio.sleep(3.0)

    clients = Clients(system, record)
    async with asyncio.TaskGroup() as group:
        stream = group.create_task(clients.ask_in_turn(group))
        await asyncio.sleep(CHANGE_S)
        if trouble():
            record.note(f"the operator sends version 2: {LIBRARY} is isolated")
            verdict = await system.operator.replace(configuration(2, isolated=True), 1)
            isolated_since = time.monotonic()
            record.note(f"version 2 answered {verdict.status}")
            if not verdict.taken:
                raise CouldNotRunError("the change was not acknowledged")
        stream.cancel()
    await asyncio.sleep(QUIET_S)

    for subject in range(clients.subjects)[-JUDGED_SUBJECTS:]:
        for router in range(len(system.routers)):
            await clients.ask(HALL, subject, router)
    judged = [run for each in engines for run in each.runs]
    for each in judged:
        made_by = sorted({maker for maker, _ in each.reused})
        record.note(
            f"run {each.id} of {each.tenant} at {each.instance}, salt {each.salt}, memory of {made_by}"
        )
    found = breaches(judged, clients.sent_at, isolated_since)
    for each in found:
        record.note(f"WALL broken: {each.id} of {each.tenant} used memory that {LIBRARY} made")
    late = [run for run in judged if clients.sent_at[run.id] > isolated_since + APPLY_S]
    for each in engines:
        await each.stop()
    if not late:
        raise CouldNotRunError("no judged request has run")
    record.note(f"{len(late)} runs judged, {len(found)} break WALL")
    return BROKEN if found else HELD


run(case, FOLDER)
