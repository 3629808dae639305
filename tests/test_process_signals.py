"""Signals that come when a process has already done its work."""

import subprocess
import sys
from pathlib import Path

import pytest

from plumline.lab.local import Ports

ROOT = Path(__file__).parent.parent
#: A role that is told to end as it starts; then both signals, once its event loop is closed.
SCRIPT = """
import asyncio, os, signal, sys
from pathlib import Path
from plumline.settings import Bounds, Settings
from plumline.process_signals import run_to_end
from plumline.registrar.process import RegistrarProcess
from plumline.router.process import Router

async def run(role: str, folder: str, port: int) -> None:
    directory = Path(folder) if role == "registrar" else None
    settings = Settings("n", "127.0.0.1", (port, port), seed_addresses=(("127.0.0.1", 1),),
                        bounds=Bounds(grace_period_s=0.5), first_start=True, data_directory=directory)
    process = Router(settings) if role == "router" else RegistrarProcess(settings)
    asyncio.get_running_loop().call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)
    await process.run()

asyncio.run(run_to_end(run(sys.argv[1], sys.argv[2], int(sys.argv[3]))))
os.kill(os.getpid(), signal.SIGHUP)
os.kill(os.getpid(), signal.SIGTERM)
print("ended in order")
"""


@pytest.mark.parametrize("role", ["router", "registrar"])
def test_a_signal_after_its_last_work_does_not_change_how_a_process_ends(role: str, tmp_path: Path) -> None:
    """A soak (seed 116) met SIGHUP there: the registrar ended with the signal's status."""
    port = Ports.free(["127.0.0.1"]).internal
    command = [sys.executable, "-c", SCRIPT, role, str(tmp_path), str(port)]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    assert (ended.returncode, ended.stdout) == (0, b"ended in order\n")


def test_a_signal_does_not_end_a_process_by_way_of_a_thread_that_waits_for_a_stalled_disk(
    tmp_path: Path,
) -> None:
    """Told to end before its first record is synced, a registrar leaves its writer's thread behind."""
    stalled = "import os, time\nos.fsync = os.fdatasync = lambda file: time.sleep(5)\n" + SCRIPT
    port = Ports.free(["127.0.0.1"]).internal
    command = [sys.executable, "-c", stalled, "registrar", str(tmp_path), str(port)]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    assert (ended.returncode, ended.stdout) == (0, b"ended in order\n")
