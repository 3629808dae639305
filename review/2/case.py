"""The operator sends services and tenants first, and the routes with the next version."""

import asyncio
import secrets
import sys
import time
from collections import Counter
from pathlib import Path

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

from plumline.lab.engine import Engine, Shape  # noqa: E402
from plumline.lab.local import configuration_for  # noqa: E402

APPLY_S = 2.0  # ConfigurationApplyMs
CALM_S = 2.0  # between the first version's acknowledgement and the second one
JUDGED_FROM_S = APPLY_S + 1.0  # after the acknowledgement
ROUNDS, ROUND_S = 10, 1.0  # of requests to each router, so that the fault is not one of a moment
OLD_STATUSES = (401, 403, 404)  # though route and key are there


async def ask(system: System, record: Record, router: int) -> int:
    """One request to a router; its status, 0 where there was no answer."""
    name = secrets.token_hex(8)
    headers = [
        ("Host", "lab.example"),
        ("Attempt-Id", name),
        ("Model-Name", "model"),
        ("Token-Counts", "291,6"),
        ("Prompt-Prefix", f"000000aa:92,{secrets.token_hex(4)}:199"),
        ("Remaining-Milliseconds", "3000"),
        ("X-Api-Key", "key-open"),
    ]
    process = system.routers[router]
    try:
        answer = await fetch(system.front(process), "POST", "/chat/2f", headers, b"renew", timeout=4.0)
    except CallError as error:
        record.note(f"{name} to {process.machine.name}: {error!r}")
        return 0
    record.note(f"{name} to {process.machine.name}: {answer[0]} {answer[2][:40]!r}")
    return answer[0]


async def case(system: System, record: Record) -> int:
    """Whether CONFIG was broken."""
    engine = Engine(Shape())
    await engine.start()
    system.platform.add(engine.entry)
    version = 0
    if trouble():
        document = configuration_for(1, "127.0.0.1:9")
        del document["Routes"]
        verdict = await system.operator.replace(document, 0)
        record.note(f"version 1, without Routes, answered {verdict.status}")
        if not verdict.taken:
            raise CouldNotRunError("a configuration without Routes is not taken")
        version = 1
        await system.ready()
        await asyncio.sleep(CALM_S)
    verdict = await system.operator.replace(configuration_for(version + 1, "127.0.0.1:9"), version)
    acknowledged_at = time.monotonic()
    record.note(f"version {version + 1}, with its two routes, answered {verdict.status}")
    if not verdict.taken:
        raise CouldNotRunError("the version with the routes was not acknowledged")
    await system.ready()
    await asyncio.sleep(max(acknowledged_at + JUDGED_FROM_S - time.monotonic(), 0.0))

    read = await system.operator.read()
    record.note(f"read back: version {read['Version']}, routes {[route['Name'] for route in read['Routes']]}")
    statuses: Counter[int] = Counter()
    for _ in range(ROUNDS):
        for router in range(len(system.routers)):
            statuses[await ask(system, record, router)] += 1
        await asyncio.sleep(ROUND_S)
    await engine.stop()
    record.note(f"{statuses.total()} requests judged, by status: {dict(statuses)}; runs: {len(engine.runs)}")
    return BROKEN if any(statuses[status] for status in OLD_STATUSES) else HELD


run(case, FOLDER)
