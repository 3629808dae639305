"""Shared parts of the cases: the project's own programs as real processes on loopback, and small stand-ins.

The programs are started with the commands of `deploy/system.toml`, from the root of the repository, with the
libraries that its build has put under `target/deps`. Operator and platform are the project's own stand-ins.
"""

import asyncio
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from plumline.lab import CallError, fetch  # noqa: E402
from plumline.lab.local import Machine, Ports, machines_for, settings_for, toml_text  # noqa: E402
from plumline.lab.operator import Operator  # noqa: E402
from plumline.lab.platform import Platform  # noqa: E402

READY_S = 25.0
GRACE_S = 8.0
CASE_S = 100.0  # a case takes at most so long, and its processes GRACE_S more to end
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be brought to the point where the rule can be judged."""


class Record:
    """`record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """One line."""
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


class Process:
    """One process of the system."""

    def __init__(self, machine: Machine, folder: Path) -> None:
        self.machine, self.folder = machine, folder
        self.child: asyncio.subprocess.Process | None = None

    async def start(self, settings: Mapping[str, Any]) -> None:
        """Writes its settings file and starts it."""
        path = self.folder / f"{self.machine.name}.toml"
        path.write_text(toml_text(settings))
        if "DataDirectory" in settings:
            Path(settings["DataDirectory"]).mkdir(parents=True, exist_ok=True)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][self.machine.role]["run"])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {
            "PLUMLINE_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.machine.name}.log").open("ab") as out:
            self.child = await asyncio.create_subprocess_exec(
                *command, env=environment, cwd=ROOT, stdout=out, stderr=out
            )

    def log(self) -> str:
        """Its output so far."""
        return (self.folder / f"{self.machine.name}.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal, if it runs."""
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def stop(self) -> int | None:
        """SIGTERM, and SIGKILL after the grace period; its exit status."""
        if self.child is None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.child.wait(), GRACE_S)
        except TimeoutError:
            self.child.kill()
            return await self.child.wait()


class System:
    """Registrars, routers, platform and operator, on loopback addresses and free ports."""

    def __init__(self, folder: Path, routers: int, registrars: int) -> None:
        self.folder = folder
        self.machines = machines_for(routers, registrars)
        self.ports = Ports.free(each.host for each in self.machines)
        self.platform = Platform()
        self.processes = [Process(each, folder) for each in self.machines]
        self.routers = [each for each in self.processes if each.machine.role == "router"]
        self.registrars = [each for each in self.processes if each.machine.role == "registrar"]
        self.operator = Operator([f"{each.machine.host}:{self.ports.control}" for each in self.registrars])

    def settings(self, process: Process, *, first_start: bool = True) -> dict[str, Any]:
        """The settings of one process."""
        address = self.platform.server.address
        found = settings_for(process.machine, self.machines, self.ports, address, self.folder)
        return found | {"FirstStart": first_start}

    def front(self, process: Process) -> str:
        """Where a router takes clients' requests."""
        return f"{process.machine.host}:{self.ports.front}"

    def control(self, process: Process) -> str:
        """Where a registrar takes the operator's calls."""
        return f"{process.machine.host}:{self.ports.control}"

    async def start(self) -> None:
        """Starts platform and processes."""
        await self.platform.server.start()
        for each in self.processes:
            await each.start(self.settings(each))

    async def ready(self) -> None:
        """Returns once all routers call themselves ready."""
        for each in self.routers:
            address = f"{each.machine.host}:{self.ports.readiness}"
            deadline = time.monotonic() + READY_S
            while True:
                try:
                    if (await fetch(address, "GET", "/readiness", timeout=1.0))[0] == 200:
                        break
                except CallError:
                    pass
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f"{each.machine.name} was not ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends every process."""
        await asyncio.gather(*(each.stop() for each in self.processes))
        await self.platform.server.stop()


#: Plays it and returns HELD or BROKEN; raises whatever keeps it from being judged.
Case = Callable[[System, Record], Awaitable[int]]


def trouble() -> bool:
    """Whether the disruption is to happen: not with TROUBLE=0."""
    return os.environ.get("TROUBLE") != "0"


def run(case: Case, folder: Path, routers: int = 2, registrars: int = 3) -> None:
    """Plays the case, which leaves `record.txt` in `folder`, and ends with its exit code."""

    async def play() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder)
        with tempfile.TemporaryDirectory(prefix="plumline-review-") as name:
            system = System(Path(name), routers, registrars)
            try:
                await system.start()
                async with asyncio.timeout(CASE_S):
                    return await case(system, record)
            except Exception as error:  # whatever it is, the rule was not judged
                record.note(f"could not run: {error!r}")
                return COULD_NOT_RUN
            finally:
                await system.stop()

    try:
        status = asyncio.run(play())
    except (asyncio.CancelledError, KeyboardInterrupt):  # told to end: its processes have ended as well
        status = COULD_NOT_RUN
    sys.exit(status)


__all__ = ["CallError", "CouldNotRunError", "Process", "Record", "System", "fetch", "run", "trouble"]
