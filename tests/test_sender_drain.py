"""Stopping the sender's process by SIGTERM, by a handover, and by both at once, with clients that use their
connections until it ends."""

import asyncio
import json
import multiprocessing
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from peers import Peer, Platform, Reply, Request, config_json, host, message, play, soon
from test_process import running, start, wait_for

import message_sender.__main__ as sender_main
from message_sender.net.handover import HandoverState
from message_sender.net.sender import EXIT_RESTART

CLIENTS = 8
READY_LINE = rb"ready on (\S+):(\d+)"
LOSS_SLACK_S = 0.2  # s by which a request may cross the close of its connection


class Receiver(Peer):
    """An endpoint that accepts every message after a short delay."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__()
        self.chance = chance
        self.delivered: set[str] = set()

    def came(self, request: Request) -> None:
        self.delivered.add(request.id)
        delay_s = self.chance.choice([0.0, 0.01, 0.5])
        asyncio.get_running_loop().call_later(delay_s, request.answer, 200)


class NotifiedDiscovery(Platform):
    """A discovery service that answers notices; `told` has the messages reported as ended other than by
    delivery."""

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
class SentMessage:
    """A message that a client sent. Times are s of the monotonic clock."""

    id: str
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0  # 0: the connection closed first


@dataclass(slots=True)
class PersistentClient:
    """Sends messages on one connection, and opens a new one when it closes."""

    number: int
    address: Any
    chance: random.Random
    gone: asyncio.Event
    handed_in: list[SentMessage] = field(default_factory=list)

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
        """Sends a message; returns whether the connection stays open."""
        sent_message = SentMessage(f"m{self.number}-{len(self.handed_in)}")
        data = message(sent_message.id)
        cut = self.chance.choice([len(data), len(data), len(data) - 1])
        self.handed_in.append(sent_message)
        try:
            writer.write(data[:cut])
            if cut < len(data):
                await asyncio.sleep(self.chance.uniform(0.0, 1.0))
                writer.write(data[cut:])
            if reader.at_eof():
                return False
            sent_message.sent = time.monotonic()
            head = await soon(reader.readuntil(b"\r\n\r\n"))
            reply = Reply(head, b"")
            sent_message.status = reply.status
            await soon(reader.readexactly(int(reply.headers["content-length"])))
            return reply.headers.get("connection") != "close"
        finally:
            sent_message.ended = time.monotonic()


def unanswered(clients: list[PersistentClient]) -> list[SentMessage]:
    """Complete requests without a response, except those that crossed the close of their connection."""
    return [
        each
        for client in clients
        for each in client.handed_in
        if each.sent and not each.status and each.ended - each.sent > LOSS_SLACK_S
    ]


class Scene:
    """Clients, an endpoint, and successive processes of one sender."""

    def __init__(self, seed: int, state: Path, receiver: Receiver, platform: NotifiedDiscovery) -> None:
        self.chance, self.state = random.Random(seed), state
        self.receiver, self.platform = receiver, platform
        self.told = config_json(platform, host(receiver.dial))
        self.gone = asyncio.Event()  # stops the clients
        self.clients: list[PersistentClient] = []

    async def begin(self, address: Any) -> None:  # noqa: ANN401
        """Starts the clients."""
        self.clients = [PersistentClient(n, address, self.chance, self.gone) for n in range(CLIENTS)]
        self.tasks = [asyncio.ensure_future(each.run()) for each in self.clients]
        await asyncio.sleep(0.5)

    async def successor(self) -> asyncio.subprocess.Process:
        """Starts the next process."""
        return await start(self.told, self.state)

    async def check(self) -> None:
        """Checks that every request was answered, and that every accepted message was delivered or reported
        as ended."""
        self.gone.set()
        await soon(asyncio.gather(*self.tasks))
        assert unanswered(self.clients) == []
        handed_in = [each for client in self.clients for each in client.handed_in]
        taken = {each.id for each in handed_in if each.status in (200, 202)}
        assert len(taken) > CLIENTS
        async with asyncio.timeout(10):
            while not taken <= self.receiver.delivered | self.platform.told:
                await asyncio.sleep(0.05)


Leave = Callable[[Scene, asyncio.subprocess.Process], Awaitable[asyncio.subprocess.Process]]


async def leave_by_sigterm(scene: Scene, process: asyncio.subprocess.Process) -> asyncio.subprocess.Process:
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert await soon(process.wait()) == 0
    scene.gone.set()
    return await scene.successor()


async def leave_by_hand_over(scene: Scene, process: asyncio.subprocess.Process) -> asyncio.subprocess.Process:
    successor = await scene.successor()
    await wait_for(successor, READY_LINE)
    await asyncio.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    assert await soon(process.wait()) == 0
    return successor


async def leave_by_both(scene: Scene, process: asyncio.subprocess.Process) -> asyncio.subprocess.Process:
    successor = await scene.successor()
    await asyncio.sleep(scene.chance.uniform(0.0, 0.4))
    process.send_signal(signal.SIGTERM)
    assert await soon(process.wait()) == 0
    return successor


async def catches_sigterm(process: asyncio.subprocess.Process) -> None:
    """Returns once the process handles SIGTERM. Before that the interpreter is still starting, for an
    unbounded time on a busy machine."""
    status = Path(f"/proc/{process.pid}/status")
    async with asyncio.timeout(10):
        while True:
            caught = next(line for line in status.read_text().splitlines() if line.startswith("SigCgt:"))
            if int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1:
                return
            await asyncio.sleep(0.002)


async def leave_while_the_successor_is_told_to_end(
    scene: Scene, process: asyncio.subprocess.Process
) -> asyncio.subprocess.Process:
    """The successor gets SIGTERM while it starts or takes over, and must exit cleanly at any point."""
    first = await scene.successor()
    await catches_sigterm(first)
    await asyncio.sleep(scene.chance.uniform(0.0, 0.2))
    first.send_signal(signal.SIGTERM)
    assert await soon(first.wait()) == 0
    process.send_signal(signal.SIGTERM)
    assert await soon(process.wait()) == 0
    return await scene.successor()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "leave",
    [leave_by_sigterm, leave_by_hand_over, leave_by_both, leave_while_the_successor_is_told_to_end],
)
def test_nothing_is_lost_as_a_sender_leaves(leave: Leave, seed: int, tmp_path: Path) -> None:
    async def test(_: Path) -> None:
        state = tmp_path / "state"
        state.mkdir()
        async with Receiver(random.Random(seed)) as receiver, NotifiedDiscovery() as platform:
            scene = Scene(seed, state, receiver, platform)
            async with running(scene.told, state) as (process, address):
                await scene.begin(address)
                last = await leave(scene, process)
                try:
                    await scene.check()
                finally:
                    last.kill()
                    await last.wait()

    play(test)(tmp_path)


def test_sigterm_before_the_handover_ends_the_sender_cleanly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It exits cleanly while it waits for the state folder."""

    async def scene() -> int:
        loop = asyncio.get_running_loop()

        async def wait_forever(folder: Path) -> HandoverState:
            loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
            return await loop.create_future()

        monkeypatch.setattr(sender_main, "acquire_state_folder", wait_forever)
        async with Platform() as platform:
            return await soon(sender_main.serve(sender_main.config_from(config_json(platform), tmp_path)))

    assert asyncio.run(scene()) == 0


def test_sigterm_during_the_handover_ends_the_sender_cleanly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> int:
        acquire_state_folder = sender_main.acquire_state_folder

        async def signalled_meanwhile(folder: Path) -> HandoverState:
            handover = await acquire_state_folder(folder)
            os.kill(os.getpid(), signal.SIGTERM)
            return handover

        monkeypatch.setattr(sender_main, "acquire_state_folder", signalled_meanwhile)
        async with Platform() as platform:
            return await soon(sender_main.serve(sender_main.config_from(config_json(platform), tmp_path)))

    assert asyncio.run(scene()) == 0


class RestartingSender:
    """A sender whose first run ends as its successor has ended, and whose second run lasts until SIGTERM."""

    runs = 0

    def __init__(self, *_: object) -> None:
        self.terminated = asyncio.Event()

    async def start(self) -> None:
        type(self).runs += 1

    def terminate(self) -> None:
        self.terminated.set()

    async def run(self) -> int:
        if self.runs == 1:
            return EXIT_RESTART
        await self.terminated.wait()
        return 0


def run_with_sigterm_between_two_runs() -> None:
    """Runs the program in this process, which gets SIGTERM after the first run and before the second."""
    reads = 0

    def read_config() -> Any:  # noqa: ANN401
        nonlocal reads
        reads += 1
        if reads > 1:
            os.kill(os.getpid(), signal.SIGTERM)
        return sender_main.Config(**dict.fromkeys(sender_main.Config.__annotations__))

    async def acquire(_: object) -> None:
        return None

    sender_main.read_config = read_config
    sender_main.acquire_state_folder = acquire
    sender_main.Sender = RestartingSender  # type: ignore[assignment,misc]
    raise SystemExit(sender_main.main())


# Guards against a sender that SIGTERM ends with -15 while it starts again after its successor has ended.
def test_sigterm_between_two_runs_of_a_sender_ends_it_cleanly() -> None:
    child = multiprocessing.get_context("spawn").Process(target=run_with_sigterm_between_two_runs)
    child.start()
    child.join(20)
    assert child.exitcode == 0
