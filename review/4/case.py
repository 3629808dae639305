"""WALL: a router that is cut off keeps a tenant that has become Isolated in the shared cache."""

import asyncio
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import TROUBLE, CouldNotRunError, Deployment, Record, fetch, run  # noqa: E402

from plumline.lab import CallError  # noqa: E402
from plumline.lab.engine import Shape  # noqa: E402
from plumline.lab.local import configuration_for  # noqa: E402

APPLY_S = 2.0  # ConfigurationApplyMs
CUT_S = 5.5  # the largest `node_cut` of the site file
PART_TOKENS = 800
TENANTS = {"north": "key-north", "south": "key-south"}


class Clients:
    """Sends one prompt after the other to the router, and keeps what was sent."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self.sent: dict[str, tuple[str, float]] = {}  # tenant and time of sending, by Attempt-Id

    async def prompt(self, tenant: str, part: str) -> None:
        """Sends a prompt that begins with this part, and waits for its answer."""
        name, own = secrets.token_hex(8), secrets.token_hex(4)
        headers = [
            ("Host", "lab.example"),
            ("Attempt-Id", name),
            ("Model-Name", "model"),
            ("Token-Counts", f"{PART_TOKENS + 20},8"),
            ("Prompt-Prefix", f"{part}:{PART_TOKENS},{own}:20"),
            ("Remaining-Milliseconds", "4000"),
            ("X-Api-Key", TENANTS[tenant]),
        ]
        self.sent[name] = tenant, time.monotonic()
        self.record.line(f"client of {tenant} sends {name}, part {part}")
        try:
            status, got, body = await fetch(self.address, "POST", "/chat/x", headers, b"x", 5.0)
        except CallError as error:
            self.record.line(f"{name}: no answer: {error}")
        else:
            self.record.line(f"{name}: {status} seal={got.get('server-seal')} {len(body)} bytes")


async def case(record: Record, deployment: Deployment) -> bool:
    """Returns whether the rule held."""
    await deployment.start(routers=1, engines=1, shape=Shape())
    document = configuration_for(1, deployment.store.server.address)
    document["Tenants"] = [
        {"Name": name, "ApiKeys": [key], "Priority": 1, "Isolated": False} for name, key in TENANTS.items()
    ]
    await deployment.change("the first configuration, no tenant Isolated", "replace", document, 0)
    await deployment.wait_until_ready()
    await asyncio.sleep(3.5)  # ContactMs of calm
    clients = Clients(record, deployment.fronts[0])
    await clients.prompt("south", "aaaa0001")
    if TROUBLE:
        deployment.cut_router()
        asyncio.get_running_loop().call_later(CUT_S, deployment.heal_router)
    cut_at = time.monotonic()
    await asyncio.sleep(0.1)
    north = {"Name": "north", "ApiKeys": [TENANTS["north"]], "Priority": 1, "Isolated": True}
    acknowledged_at = await deployment.change(
        "tenant north becomes Isolated", "amend", {"Version": 2, "Upserts": {"Tenants": [north]}}, 1
    )
    await asyncio.sleep(acknowledged_at + APPLY_S + 0.3 - time.monotonic())
    await clients.prompt("north", "aaaa0001")  # a part that south's prompt has left
    for number in range(3):  # parts that are first read for north, and then asked for by south
        await clients.prompt("north", f"bbbb000{number}")
        await clients.prompt("south", f"bbbb000{number}")
    await asyncio.sleep(cut_at + CUT_S + 2.0 - time.monotonic())
    await clients.prompt("north", "cccc0001")  # after the cut
    await clients.prompt("south", "cccc0001")
    runs = deployment.engines[0].runs
    if not runs or runs[0].id not in clients.sent:
        raise CouldNotRunError("the first prompt has not run")
    held = True
    for each in runs:
        tenant, sent_at = clients.sent[each.id]
        late_s = sent_at - acknowledged_at
        reused = [other for other, _ in each.reused]
        record.line(f"run {each.id} of {each.tenant}, salt {each.salt}, memory made by {reused or 'nobody'}")
        if late_s > APPLY_S and any(other != tenant for other in reused):
            record.line(f"WALL: sent {late_s:.3f} s after the acknowledgement; north is Isolated")
            held = False
    return held


if __name__ == "__main__":
    sys.exit(run(FOLDER, {}, case))
