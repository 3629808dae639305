"""Support of the cases of the second review: a small deployment of real processes on loopback addresses.

The registrars and routers are started by the commands of deploy/system.toml. The endpoints, the cache store,
the platform and the operator are the stand-ins of plumline.lab. `Proxy` stands on the path between one router
and one registrar, and can cut it.
"""

import asyncio
import contextlib
import json
import logging
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from plumline.errors import FrameError  # noqa: E402
from plumline.lab import CallError, fetch  # noqa: E402
from plumline.lab.engine import Engine, Shape  # noqa: E402
from plumline.lab.local import Machine, Ports, settings_for, toml_text  # noqa: E402
from plumline.lab.operator import Operator  # noqa: E402
from plumline.lab.platform import Platform  # noqa: E402
from plumline.lab.store import CacheStore  # noqa: E402
from plumline.wire.frames import FrameDecoder, pack  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
READY_S = 30.0
REGISTRARS = 3
logging.getLogger("asyncio").setLevel(logging.ERROR)  # a proxy may write to a connection that has ended
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The deployment did not come up, or a step of the case could not be made."""


class Record:
    """The lines of record.txt, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def line(self, text: str) -> None:
        """Writes a line."""
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.file, flush=True)


class Proxy:
    """Relays the internal connections from one router to one registrar.

    A registrar tells routers the addresses of all registrars; the proxy names the proxies in their place, so
    that the router stays behind them. While `cut` is set, nothing passes either way: bytes are held up, and
    new connections are accepted but hear nothing, as behind a cut.
    """

    def __init__(self, own: tuple[str, int], target: tuple[str, int], names: dict[str, str]) -> None:
        self.own, self.target, self.names = own, target, names
        self.open = asyncio.Event()
        self.open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._accept, *self.own)

    def stop(self) -> None:
        """Ends all connections."""
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    def cut(self) -> None:
        """From now on nothing passes."""
        self.open.clear()

    def heal(self) -> None:
        """Everything passes again, also what was held up."""
        self.open.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.open.wait()
            to_reader, to_writer = await asyncio.open_connection(*self.target)
            halves = [
                asyncio.ensure_future(self._up(reader, to_writer)),
                asyncio.ensure_future(self._down(to_reader, writer)),
            ]
            try:
                await asyncio.wait(halves, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for half in halves:
                    half.cancel()
                to_writer.transport.abort()
        except (OSError, FrameError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.tasks.discard(task)

    async def _up(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)

    async def _down(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = FrameDecoder()
        while data := await reader.read(65536):
            for message in decoder.feed(data):
                if message[0] == "beat":
                    message[3] = [[self.names.get(address, address), zone] for address, zone in message[3]]
                await self.open.wait()
                writer.write(pack(message))


class Deployment:
    """Three registrars, routers, endpoints, a store and a platform; the first router is behind proxies."""

    def __init__(self, record: Record, folder: Path, bounds: dict[str, Any]) -> None:
        self.record, self.folder, self.bounds = record, folder, bounds
        self.children: dict[str, asyncio.subprocess.Process] = {}
        self.proxies: list[Proxy] = []
        self.engines: list[Engine] = []
        self.store, self.platform = CacheStore(), Platform()
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: str(role["run"]).split() for name, role in roles.items()}

    async def start(self, routers: int, engines: int, shape: Shape) -> None:
        """Starts everything; the configuration is still to be sent."""
        core = [Machine("registrar", f"core-{n}", f"127.0.1.{n}", "zone-a") for n in range(1, REGISTRARS + 1)]
        edge = [Machine("router", f"edge-{n}", f"127.0.2.{n}", "zone-a") for n in range(1, routers + 1)]
        hosts = [each.host for each in (*core, *edge)]
        hosts += [each.host.replace("127.0.1.", "127.0.3.") for each in core]
        self.ports = Ports.free(hosts)
        await self.store.server.start()
        await self.platform.server.start()
        for _ in range(engines):
            engine = Engine(shape)
            await engine.start()
            self.platform.add(engine.entry)
            self.engines.append(engine)
        names = {
            f"{each.host}:{self.ports.internal}": f"{each.host.replace('127.0.1.', '127.0.3.')}"
            f":{self.ports.internal}"
            for each in core
        }
        for each in core:
            proxy_host = each.host.replace("127.0.1.", "127.0.3.")
            proxy = Proxy((proxy_host, self.ports.internal), (each.host, self.ports.internal), names)
            await proxy.start()
            self.proxies.append(proxy)
        machines = [*core, *edge]
        for each in machines:
            settings = settings_for(each, machines, self.ports, self.platform.server.address, self.folder)
            settings["Bounds"] = settings["Bounds"] | self.bounds
            if each is edge[0]:
                settings["SeedAddresses"] = [
                    f"{every.host.replace('127.0.1.', '127.0.3.')}:{self.ports.control}" for every in core
                ]
            await self._start(each, settings)
        self.operator = Operator([f"{each.host}:{self.ports.control}" for each in core])
        self.fronts = [f"{each.host}:{self.ports.front}" for each in edge]
        self.readiness = [f"{each.host}:{self.ports.readiness}" for each in edge]

    async def _start(self, machine: Machine, settings: dict[str, Any]) -> None:
        path = self.folder / f"{machine.name}.toml"
        path.write_text(toml_text(settings))
        if "DataDirectory" in settings:
            Path(settings["DataDirectory"]).mkdir(parents=True, exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PLUMLINE_BOOT": str(path),
        }
        with (self.folder / f"{machine.name}.log").open("ab") as out:
            self.children[machine.name] = await asyncio.create_subprocess_exec(
                *self.commands[machine.role], env=environment, cwd=ROOT, stdout=out, stderr=out
            )

    async def wait_until_ready(self) -> None:
        """Waits until every router answers its readiness check with 200."""
        deadline = time.monotonic() + READY_S
        for address in self.readiness:
            while True:
                with contextlib.suppress(CallError):
                    if (await fetch(address, "GET", "/readiness", timeout=1.0))[0] == 200:
                        break
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f"{address} is not ready")
                await asyncio.sleep(0.1)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one of the started processes."""
        self.record.line(f"signal {signal.Signals(number).name} to {name}")
        self.children[name].send_signal(number)

    def cut_router(self) -> None:
        """Cuts the first router off from all registrars."""
        self.record.line("cut: edge-1 from all registrars")
        for proxy in self.proxies:
            proxy.cut()

    def heal_router(self) -> None:
        """Ends the cut."""
        self.record.line("healed: edge-1 reaches all registrars")
        for proxy in self.proxies:
            proxy.heal()

    async def stop(self) -> None:
        """Ends every process and stand-in."""
        for child in self.children.values():
            if child.returncode is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            await child.wait()
        for proxy in self.proxies:
            proxy.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.server.stop()
        await self.platform.server.stop()

    async def change(self, text: str, kind: str, document: dict[str, Any], based_on: int) -> float:
        """Sends a change as an operator does; returns the time of its acknowledgement."""
        self.record.line(f"operator sends: {text}: {json.dumps(document)[:400]}")
        send = self.operator.replace if kind == "replace" else self.operator.amend
        result = await send(document, based_on)
        if not result.taken:
            raise CouldNotRunError(f"the change was answered {result.status}: {result.body[:200]!r}")
        self.record.line(f"operator gets {result.status} after {result.seconds:.3f} s")
        return time.monotonic()


def run(folder: Path, bounds: dict[str, Any], case: Callable[[Record, Deployment], Awaitable[bool]]) -> int:
    """Runs a case; returns the exit status. `case` returns whether the rule held."""
    record = Record(folder)

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="plumline-review-") as name:
            deployment = Deployment(record, Path(name), bounds)
            try:
                async with asyncio.timeout(LIMIT_S):
                    return HELD if await case(record, deployment) else BROKEN
            finally:
                await deployment.stop()

    record.line(f"TROUBLE={int(TROUBLE)}")
    try:
        status = asyncio.run(main())
    except Exception as error:
        record.line(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[status])
    return status
