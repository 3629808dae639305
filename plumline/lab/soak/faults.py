"""Faults of a soak in addition to its planned work, drawn from a seed. No I/O."""

import random
from dataclasses import dataclass
from enum import Enum

MAX_FAULTS = 4  # per role, not counting a lost disk
DOWN_S = (0.01, 0.5, 2.0)  # from SIGKILL to the next start
FROZEN_S = (0.3, 1.0, 3.0)  # from SIGSTOP to SIGCONT


class Fault(Enum):
    """A fault of one process."""

    KILL = "SIGKILL, and a new start"
    FREEZE = "SIGSTOP, and SIGCONT some seconds later"
    LOSE_DISK = "SIGKILL, and a new start with an empty folder"


@dataclass(frozen=True, slots=True)
class FaultStep:
    """`at`: s from the start of the traffic; `seconds`: until the process is started or continued."""

    at: float
    fault: Fault
    target: str
    seconds: float


@dataclass(slots=True)
class FaultPeriod:
    """The time span of a fault of one process, in s of the monotonic clock."""

    began_at: float
    ended_at: float = float("inf")  # the process was started or continued


def draw_faults(
    rng: random.Random, routers: list[str], registrars: list[str], seconds: float
) -> list[FaultStep]:
    """Returns faults ordered by time.

    At most one registrar loses its disk, since acknowledged writes are on at least two.
    """
    steps = [
        _draw(rng, rng.choice(names), seconds)
        for names in (routers, registrars)
        for _ in range(rng.randint(1, MAX_FAULTS))
    ]
    if rng.random() < 0.5:
        at = rng.uniform(1.0, seconds)
        steps.append(FaultStep(at, Fault.LOSE_DISK, rng.choice(registrars), rng.choice(DOWN_S)))
    return sorted(steps, key=lambda step: step.at)


def _draw(rng: random.Random, name: str, seconds: float) -> FaultStep:
    at = rng.uniform(0.5, seconds)
    if rng.random() < 0.5:
        return FaultStep(at, Fault.KILL, name, rng.choice(DOWN_S))
    return FaultStep(at, Fault.FREEZE, name, rng.choice(FROZEN_S))
