"""Upgrades a running system to another release and back under load: registrars first, then some routers.

Both releases are checkouts. The clients of the soak keep their connections, and its judge finds lost
requests.
"""

import math
import tempfile
from pathlib import Path

from plumline.lab.local import Machine, Process
from plumline.lab.soak.plan import Action, Step
from plumline.lab.soak.runner import Soak, SoakResult, SoakSize

FIRST_STEP_S = 3.0
#: Between two processes: graceful stop, start, and the time limit for a registrar to catch up.
STEP_INTERVAL_S = 8.0
CHANGE_INTERVAL_S = 0.7
ROUTER_FRACTION = 1 / 3  # fraction of the routers that are upgraded


def processes_to_upgrade(routers: list[str], registrars: list[str]) -> list[str]:
    """Returns the processes to upgrade, in order."""
    return [*registrars, *routers[: math.ceil(len(routers) * ROUTER_FRACTION)]]


def upgrade_seconds(size: SoakSize) -> float:
    """Returns the duration of the traffic: upgrade, downgrade and one more step interval."""
    count = size.registrars + math.ceil(size.routers * ROUTER_FRACTION)
    return FIRST_STEP_S + (2 * count + 1) * STEP_INTERVAL_S


def upgrade_plan(routers: list[str], registrars: list[str]) -> list[Step]:
    """Stops each process twice, for the upgrade and the downgrade, with configuration changes throughout."""
    names = processes_to_upgrade(routers, registrars)
    stops = [
        Step(FIRST_STEP_S + number * STEP_INTERVAL_S, Action.TERMINATE, name)
        for number, name in enumerate([*names, *names])
    ]
    end = stops[-1].at + STEP_INTERVAL_S
    changes = [Step(number * CHANGE_INTERVAL_S, Action.CHANGE) for number in range(1, int(end))]
    return sorted([*stops, *changes], key=lambda step: step.at)


class Upgrade(Soak):
    """An upgrade and the downgrade after it."""

    def __init__(self, size: SoakSize, directory: Path, old: Path, new: Path) -> None:
        super().__init__(1, size, directory)
        self.old, self.new = old, new

    def _process(self, machine: Machine) -> Process:
        return Process(machine, self.directory, self.old)

    def _draw_plan(self, routers: list[str], registrars: list[str]) -> list[Step]:
        return upgrade_plan(routers, registrars)

    def _terminate(self, name: str) -> None:
        process = self.supervisors[name].process
        process.sources = self.new if process.sources == self.old else self.old
        super()._terminate(name)


async def run_upgrade(old: Path, new: Path, size: SoakSize, logs: Path | None = None) -> SoakResult:
    """Upgrades from the checkout `old` to `new` and back.

    Saves the logs of the processes under `logs` if the result is not good. Errors: NotStartedError,
    UnavailableError.
    """
    with tempfile.TemporaryDirectory(prefix="plumline-upgrade-") as name:
        run = Upgrade(size, Path(name), old.resolve(), new.resolve())
        result = await run.run()
        if logs is not None and not result.good:
            run.save_logs(logs / "upgrade")
        return result
