"""Signals that arrive after a process has finished its work."""

import subprocess
import sys
from pathlib import Path

import pytest

from plumline.lab.local import Ports

ROOT = Path(__file__).parent.parent
#: Terminates a role shortly after its start, and sends both signals once its event loop is closed.
SCRIPT = """
import asyncio, os, signal, sys
from pathlib import Path
from plumline.settings import Bounds, Settings
from plumline.process_signals import run_and_block_signals
from plumline.registrar.process import RegistrarProcess
from plumline.router.process import Router

async def run(role: str, folder: str, port: int) -> None:
    directory = Path(folder) if role == "registrar" else None
    settings = Settings("n", "127.0.0.1", (port, port), seed_addresses=(("127.0.0.1", 1),),
                        bounds=Bounds(grace_period_s=0.5), first_start=True, data_directory=directory)
    process = Router(settings) if role == "router" else RegistrarProcess(settings)
    asyncio.get_running_loop().call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)
    await process.run()

asyncio.run(run_and_block_signals(run(sys.argv[1], sys.argv[2], int(sys.argv[3]))))
os.kill(os.getpid(), signal.SIGHUP)
os.kill(os.getpid(), signal.SIGTERM)
print("ended in order")
"""


@pytest.mark.parametrize("role", ["router", "registrar"])
def test_a_signal_after_the_work_of_a_process_does_not_change_its_exit_status(
    role: str, tmp_path: Path
) -> None:
    """In a soak run (seed 116), SIGHUP arrived there and the registrar ended with the signal's status."""
    port = Ports.free(["127.0.0.1"]).internal
    command = [sys.executable, "-c", SCRIPT, role, str(tmp_path), str(port)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    assert (completed.returncode, completed.stdout) == (0, b"ended in order\n")


def test_a_signal_is_not_delivered_to_a_writer_thread_that_waits_for_a_stalled_disk(
    tmp_path: Path,
) -> None:
    """A registrar that is terminated before its first record is synced leaves its writer thread running."""
    stalled = "import os, time\nos.fsync = os.fdatasync = lambda file: time.sleep(5)\n" + SCRIPT
    port = Ports.free(["127.0.0.1"]).internal
    command = [sys.executable, "-c", stalled, "registrar", str(tmp_path), str(port)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    assert (completed.returncode, completed.stdout) == (0, b"ended in order\n")
