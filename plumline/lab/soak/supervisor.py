"""Supervises one process of a soak: restarts it when it ends and records its shutdowns."""

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from plumline.lab.judge import Breach
from plumline.lab.local import BOUNDS, Process, exit_status
from plumline.lab.soak.faults import FaultPeriod
from plumline.lab.soak.judge import Shutdown

GRACE_S = float(BOUNDS["GracePeriodS"])
RESTART_S = (0.0, 1.0)  # range of the delay from exit to the next start
KILLED = -signal.SIGKILL
TERMINATED = -signal.SIGTERM


class Supervisor:
    """Restarts a process whenever it ends, as the platform does."""

    def __init__(self, process: Process, settings: dict[str, Any], rng: random.Random) -> None:
        self.process, self.settings, self.rng = process, settings, rng
        self.shutdowns: list[Shutdown] = []
        self.breaches: list[Breach] = []
        self.draining = False
        self.log_offset = 0  # size of its log in bytes at the latest start
        self.tasks: set[asyncio.Task[None]] = set()
        self.faults: list[FaultPeriod] = []

    @property
    def name(self) -> str:
        """Name of its machine."""
        return self.process.machine.name

    async def start(self) -> None:
        """Starts the process."""
        self.log_offset = self.process.log.stat().st_size if self.process.log.exists() else 0
        await self.process.start(self.settings)
        self.settings["FirstStart"] = False
        self.draining = False
        for fault in self.faults:
            fault.ended_at = min(fault.ended_at, time.monotonic())

    def signal(self, number: signal.Signals) -> bool:
        """Sends the signal; returns False if no process is running."""
        child = self.process.child
        if child is None or child.returncode is not None:
            return False
        child.send_signal(number)
        return True

    def terminate(self) -> None:
        """Sends SIGTERM; the first one to a process also schedules its restart."""
        if not self.signal(signal.SIGTERM) or self.draining:
            return
        self.draining = True
        now = time.monotonic()
        has_fault = any(fault.ended_at > now for fault in self.faults)
        shutdown = Shutdown(now, disturbed=has_fault)
        self.shutdowns.append(shutdown)
        self._spawn(self._restart(shutdown))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kill(self, down_s: float, *, loses_disk: bool) -> None:
        """Sends SIGKILL and restarts; a process that is shutting down already has its restart scheduled."""
        if not self.signal(signal.SIGKILL):
            return
        self.faults.append(FaultPeriod(time.monotonic()))
        self._disturb_shutdown()
        if not self.draining:
            self.draining = True  # no process is running until the restart
            self._spawn(self._start_after(down_s, loses_disk=loses_disk))

    async def _start_after(self, down_s: float, *, loses_disk: bool) -> None:
        child = self.process.child
        assert child is not None
        await child.wait()
        if loses_disk:
            shutil.rmtree(self.settings["DataDirectory"], ignore_errors=True)
        await asyncio.sleep(down_s)
        await self.start()

    def freeze(self, seconds: float) -> None:
        """Sends SIGSTOP, and SIGCONT after `seconds`."""
        child = self.process.child
        if child is None or not self.signal(signal.SIGSTOP):
            return
        period = FaultPeriod(time.monotonic())
        self.faults.append(period)
        self._disturb_shutdown()
        self._spawn(self._continue_after(seconds, child, period))

    async def _continue_after(
        self, seconds: float, child: asyncio.subprocess.Process, period: FaultPeriod
    ) -> None:
        await asyncio.sleep(seconds)
        if child.returncode is None:
            child.send_signal(signal.SIGCONT)
        period.ended_at = time.monotonic()

    def _disturb_shutdown(self) -> None:
        if self.draining and self.shutdowns:
            self.shutdowns[-1].disturbed = True

    async def _restart(self, shutdown: Shutdown) -> None:
        await self._wait_for_end(shutdown)
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        await self.start()

    async def _wait_for_end(self, shutdown: Shutdown) -> None:
        child = self.process.child
        assert child is not None
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                child.kill()
            await child.wait()
        status = exit_status(child)
        shutdown.exited_at = time.monotonic()
        if shutdown.disturbed or status == 0 or (status == TERMINATED and not self.has_started()):
            return
        why = "it had not ended when the grace period was over" if status == KILLED else f"exit {status}"
        self.breaches.append(Breach("EXIT", self.name, why))

    def has_started(self) -> bool:
        """Whether the current process has logged event=started."""
        with self.process.log.open("rb") as log:
            log.seek(self.log_offset)
            return b"event=started" in log.read()

    async def stop(self) -> None:
        """Cancels all scheduled work and stops the process."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.process.stop()
