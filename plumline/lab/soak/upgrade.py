"""Rolls a running system from one release to another and back, under load: the core first, then some routers.

Both releases are checkouts. The soak's clients keep their connections meanwhile, and its judge says whether
anything was lost.
"""

import math
import tempfile
from pathlib import Path

from plumline.lab.local import Machine, Process
from plumline.lab.soak.plan import Action, Step
from plumline.lab.soak.runner import Soak, SoakResult, SoakSize

FIRST_STEP_S = 3.0
#: Between two processes: an end in order, a start, and the time that a registrar has to catch up.
STEP_INTERVAL_S = 8.0
CHANGE_INTERVAL_S = 0.7
ROUTER_SHARE = 1 / 3  # of the routers take part


def rolled(routers: list[str], registrars: list[str]) -> list[str]:
    """The processes that are exchanged, in order."""
    return [*registrars, *routers[: math.ceil(len(routers) * ROUTER_SHARE)]]


def upgrade_seconds(size: SoakSize) -> float:
    """How long the traffic lasts: there and back, and a last step's time."""
    count = size.registrars + math.ceil(size.routers * ROUTER_SHARE)
    return FIRST_STEP_S + (2 * count + 1) * STEP_INTERVAL_S


def upgrade_plan(routers: list[str], registrars: list[str]) -> list[Step]:
    """Each process is stopped twice: for the other release, and for the first one again. Changes go on."""
    names = rolled(routers, registrars)
    stops = [
        Step(FIRST_STEP_S + number * STEP_INTERVAL_S, Action.TERMINATE, name)
        for number, name in enumerate([*names, *names])
    ]
    end = stops[-1].at + STEP_INTERVAL_S
    changes = [Step(number * CHANGE_INTERVAL_S, Action.CHANGE) for number in range(1, int(end))]
    return sorted([*stops, *changes], key=lambda step: step.at)


class Upgrade(Soak):
    """One roll there and back."""

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
    """Rolls from the checkout `old` to `new` and back.

    What the processes wrote is kept under `logs` if a rule is broken. Errors: NotStartedError,
    UnavailableError.
    """
    with tempfile.TemporaryDirectory(prefix="plumline-upgrade-") as name:
        run = Upgrade(size, Path(name), old.resolve(), new.resolve())
        result = await run.run()
        if logs is not None and not result.good:
            run.keep_logs(logs / "upgrade")
        return result
