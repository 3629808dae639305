"""The message sender's process while it leaves: by SIGTERM, by handing over, and by both at once, with
clients that use their connections until it is gone."""

import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from peers import Peer, Platform, Reply, Request, config_json, host, message, play, soon
from test_process import running, start, wait_for

CLIENTS = 8
LOSS_SLACK_S = 0.2  # by which a request may cross the close of its connection


class Receiver(Peer):
    """An endpoint that takes every message after a moment."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__()
        self.chance = chance
        self.delivered: set[str] = set()

    def came(self, request: Request) -> None:
        self.delivered.add(request.id)
        delay_s = self.chance.choice([0.0, 0.01, 0.5])
        asyncio.get_running_loop().call_later(delay_s, request.answer, 200)


class Notified(Platform):
    """Discovery that answers notices: `told` are the messages whose end was told of, other than delivered."""

    def __init__(self) -> None:
        super().__init__()
        self.told: set[str] = set()

    def came(self, request: Request) -> None:
        if request.method == "POST":
            self.told |= {json.loads(line)["id"] for line in request.body.splitlines()}
            request.answer(204)
        else:
            super().came(request)


@dataclass(slots=True)
class HandIn:
    """One message that a client handed in. Times are steady s."""

    id: str
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0  # 0: the connection ended first


@dataclass(slots=True)
class KeptClient:
    """Hands message after message in on the same connection, and takes a new one where that ends."""

    number: int
    address: Any
    chance: random.Random
    gone: asyncio.Event
    handed_in: list[HandIn] = field(default_factory=list)

    async def run(self) -> None:
        while not self.gone.is_set():
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            try:
                while not self.gone.is_set() and await self.hand_in(reader, writer):
                    await asyncio.sleep(self.chance.choice([0.0, 0.0, 0.05, 0.3]))
            except (OSError, EOFError):
                pass
            finally:
                writer.close()

    async def hand_in(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection stands."""
        one = HandIn(f"m{self.number}-{len(self.handed_in)}")
        data = message(one.id)
        cut = self.chance.choice([len(data), len(data), len(data) - 1])
        self.handed_in.append(one)
        try:
            writer.write(data[:cut])
            if cut < len(data):
                await asyncio.sleep(self.chance.uniform(0.0, 1.0))
                writer.write(data[cut:])
            if reader.at_eof():
                return False
            one.sent = time.monotonic()
            head = await soon(reader.readuntil(b"\r\n\r\n"))
            reply = Reply(head, b"")
            one.status = reply.status
            await soon(reader.readexactly(int(reply.headers["content-length"])))
            return reply.headers.get("connection") != "close"
        finally:
            one.ended = time.monotonic()


def lost(clients: list[KeptClient]) -> list[HandIn]:
    """Whole requests that ended without an answer, other than by crossing the close."""
    return [
        each
        for client in clients
        for each in client.handed_in
        if each.sent and not each.status and each.ended - each.sent > LOSS_SLACK_S
    ]


async def leave_by_sigterm(process: asyncio.subprocess.Process, told: dict[str, Any], state: Path) -> None:
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)


async def leave_by_hand_over(process: asyncio.subprocess.Process, told: dict[str, Any], state: Path) -> None:
    pass


async def leave_by_both(process: asyncio.subprocess.Process, told: dict[str, Any], state: Path) -> None:
    asyncio.get_running_loop().call_later(random.Random(1).uniform(0.0, 0.4), send_term, process)


def send_term(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("leave", [leave_by_sigterm, leave_by_hand_over, leave_by_both])
def test_nothing_is_lost_as_a_sender_leaves(leave: Any, seed: int, tmp_path: Path) -> None:  # noqa: ANN401
    async def test(_: Path) -> None:
        chance = random.Random(seed)
        state = tmp_path / "state"
        state.mkdir()
        async with Receiver(chance) as receiver, Notified() as platform:
            told = config_json(platform, host(receiver.dial))
            gone = asyncio.Event()
            async with running(told, state) as (process, address):
                clients = [KeptClient(number, address, chance, gone) for number in range(CLIENTS)]
                tasks = [asyncio.ensure_future(each.run()) for each in clients]
                await asyncio.sleep(0.5)
                await leave(process, told, state)
                if leave is leave_by_sigterm:
                    assert await soon(process.wait()) == 0
                    gone.set()
                successor = await start(told, state)
                try:
                    await wait_for(successor, rb"ready on (\S+):(\d+)")
                    if leave is leave_by_hand_over:
                        await asyncio.sleep(0.5)
                        process.send_signal(signal.SIGTERM)
                    assert await soon(process.wait()) == 0
                    gone.set()
                    await soon(asyncio.gather(*tasks))
                    taken = {
                        each.id
                        for client in clients
                        for each in client.handed_in
                        if each.status in (200, 202)
                    }
                    assert lost(clients) == []
                    assert len(taken) > CLIENTS
                    async with asyncio.timeout(10):
                        while not taken <= receiver.delivered | platform.told:
                            await asyncio.sleep(0.05)
                finally:
                    successor.kill()
                    await successor.wait()

    play(test)(tmp_path)
