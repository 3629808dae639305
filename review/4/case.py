"""WALL: a router with an old configuration keeps a tenant that has become Isolated in the shared cache.

Two parts, one after the other, each with one disruption: a router that stands still, and one that is cut off.
"""

import asyncio
import secrets
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import h11

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import TROUBLE, CouldNotRunError, Deployment, Record, run  # noqa: E402

from plumline.lab.engine import Run, Shape  # noqa: E402
from plumline.lab.local import configuration_for  # noqa: E402

APPLY_S = 2.0  # ConfigurationApplyMs
FREEZE_S = 3.5  # the largest `node_freeze` of the site file
CUT_S = 5.5  # the largest `node_cut` of the site file
CALM_S = 3.5  # ContactMs, and a little more
ANSWER_S = 6.0  # for an answer, also of a router that stands still
PART_TOKENS = 800
TENANTS = ("north", "west", "south")


@dataclass(frozen=True)
class Sent:
    """A prompt as its client sent it."""

    tenant: str
    at: float  # monotonic s


class Client:
    """A client that keeps its connection, and sends one prompt after the other on it."""

    def __init__(self, record: Record, sent: dict[str, Sent], address: str, tenant: str) -> None:
        """`sent`: by Attempt-Id, shared by all clients."""
        self.record, self.sent, self.address, self.tenant = record, sent, address, tenant

    async def connect(self) -> None:
        """Opens the connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.codec = h11.Connection(h11.CLIENT)

    async def prompt(self, part: str) -> None:
        """Sends a prompt that begins with this part, and waits for its answer."""
        name, own = secrets.token_hex(8), secrets.token_hex(4)
        headers = [
            ("Host", "lab.example"),
            ("Attempt-Id", name),
            ("Model-Name", "model"),
            ("Token-Counts", f"{PART_TOKENS + 20},8"),
            ("Prompt-Prefix", f"{part}:{PART_TOKENS},{own}:20"),
            ("Remaining-Milliseconds", "4000"),
            ("X-Api-Key", f"key-{self.tenant}"),
            ("Content-Length", "1"),
        ]
        request = h11.Request(method="POST", target="/chat/x", headers=headers)
        events = (request, h11.Data(data=b"x"), h11.EndOfMessage())
        self.sent[name] = Sent(self.tenant, time.monotonic())
        self.record.line(f"client of {self.tenant} sends {name}, part {part}, to {self.address}")
        self.writer.write(b"".join(self.codec.send(event) or b"" for event in events))
        try:
            async with asyncio.timeout(ANSWER_S):
                status, size = await self.answer()
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self.record.line(f"{name}: no answer: {error!r}")
            return
        self.record.line(f"{name}: {status}, {size} bytes")
        if self.codec.our_state is h11.DONE and self.codec.their_state is h11.DONE:
            self.codec.start_next_cycle()

    async def answer(self) -> tuple[int, int]:
        """The status and the length of the answer's body."""
        status = size = 0
        while not isinstance(event := self.codec.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self.codec.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
        return status, size


class Case:
    """The deployment, the clients, and what was sent so far."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self.record, self.deployment = record, deployment
        self.sent: dict[str, Sent] = {}
        self.version = 1

    async def client(self, router: int, tenant: str) -> Client:
        """A connected client of this router."""
        client = Client(self.record, self.sent, self.deployment.fronts[router], tenant)
        await client.connect()
        return client

    async def isolate(self, tenant: str) -> float:
        """Makes the tenant Isolated; returns the time of the acknowledgement."""
        item = {"Name": tenant, "ApiKeys": [f"key-{tenant}"], "Priority": 1, "Isolated": True}
        body = {"Version": self.version + 1, "Upserts": {"Tenants": [item]}}
        acknowledged_at = await self.deployment.change(
            f"{tenant} becomes Isolated", "amend", body, self.version
        )
        self.version += 1
        return acknowledged_at

    async def stand_still(self) -> bool:
        """A router stands still while north becomes Isolated. Returns whether the rule held."""
        self.record.line("part 1: edge-2 stands still")
        parts = [f"aaaa000{number}" for number in range(3)]
        south = await self.client(1, "south")
        norths = [await self.client(1, "north") for _ in parts]
        for part, north in zip(parts, norths, strict=True):
            await south.prompt(part)  # shared, as nobody is Isolated yet
            await north.prompt(f"9{part[1:]}")  # a part of its own; opens the connection that it keeps
        if TROUBLE:
            self.deployment.signal("edge-2", signal.SIGSTOP)
            asyncio.get_running_loop().call_later(FREEZE_S, self.deployment.signal, "edge-2", signal.SIGCONT)
        await asyncio.sleep(0.1)
        acknowledged_at = await self.isolate("north")
        await asyncio.sleep(acknowledged_at + APPLY_S + 0.3 - time.monotonic())
        await asyncio.gather(*(north.prompt(part) for part, north in zip(parts, norths, strict=True)))
        return self.judge("north", acknowledged_at)

    async def cut_off(self) -> bool:
        """A router is cut off while west becomes Isolated. Returns whether the rule held."""
        self.record.line("part 2: edge-1 is cut off from all registrars")
        south, west = await self.client(0, "south"), await self.client(0, "west")
        await south.prompt("bbbb0000")
        if TROUBLE:
            self.deployment.cut_router()
            asyncio.get_running_loop().call_later(CUT_S, self.deployment.heal_router)
        cut_at = time.monotonic()
        await asyncio.sleep(0.1)
        acknowledged_at = await self.isolate("west")
        await asyncio.sleep(acknowledged_at + APPLY_S + 0.3 - time.monotonic())
        await west.prompt("bbbb0000")  # a part that south's prompt has left
        for number in range(3):  # parts that are first read for west, and then asked for by south
            await west.prompt(f"cccc000{number}")
            await south.prompt(f"cccc000{number}")
        await asyncio.sleep(cut_at + CUT_S + 2.0 - time.monotonic())
        await west.prompt("dddd0000")  # after the cut
        await south.prompt("dddd0000")
        return self.judge("west", acknowledged_at)

    def judge(self, isolated: str, acknowledged_at: float) -> bool:
        """Whether no prompt sent later than ConfigurationApplyMs after the acknowledgement breaks WALL."""
        held = True
        for each in self.deployment.engines[0].runs:
            if (sent := self.sent.get(each.id)) is None or sent.at <= acknowledged_at + APPLY_S:
                continue
            others = sorted({tenant for tenant, _ in each.reused if tenant != sent.tenant})
            broken = bool(others) and isolated in (sent.tenant, *others)
            held = held and not broken
            self.record.line(self.verdict(each, sent.at - acknowledged_at, others, broken))
        return held

    def verdict(self, each: Run, late_s: float, others: list[str], broken: bool) -> str:
        """A line on one run."""
        return (
            f"{'WALL broken' if broken else 'right'}: {each.id} of {each.tenant}, sent {late_s:.3f} s after"
            f" the acknowledgement, salt {each.salt}, memory of others: {others or 'none'}"
        )


async def case(record: Record, deployment: Deployment) -> bool:
    """Returns whether the rule held."""
    await deployment.start(routers=2, engines=1, shape=Shape())
    document = configuration_for(1, deployment.store.server.address)
    document["Tenants"] = [
        {"Name": name, "ApiKeys": [f"key-{name}"], "Priority": 1, "Isolated": False} for name in TENANTS
    ]
    await deployment.change("the first configuration, no tenant Isolated", "replace", document, 0)
    await deployment.wait_until_ready()
    await asyncio.sleep(CALM_S)
    parts = Case(record, deployment)
    held = await parts.stand_still()
    await asyncio.sleep(CALM_S)
    held = await parts.cut_off() and held
    if not deployment.engines[0].runs:
        raise CouldNotRunError("nothing has run")
    return held


if __name__ == "__main__":
    sys.exit(run(FOLDER, {}, case))
