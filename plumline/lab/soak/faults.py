"""Faults in a soak beside its planned work: drawn from a seed, with the times that they excuse. No I/O."""

import random
from dataclasses import dataclass
from enum import Enum

MOST_FAULTS = 4  # of routers, and as many of registrars
DOWN_S = (0.01, 0.5, 2.0)  # from a kill to the next start
FROZEN_S = (0.3, 1.0, 3.0)


class Fault(Enum):
    """What befalls one process."""

    KILL = "SIGKILL, and a new start"
    FREEZE = "SIGSTOP, and SIGCONT some seconds later"
    LOSE_DISK = "SIGKILL, and a new start with an empty folder"


@dataclass(frozen=True, slots=True)
class FaultStep:
    """`at`: s from the start of the traffic; `seconds`: until the process starts or goes on again."""

    at: float
    fault: Fault
    target: str
    seconds: float


@dataclass(slots=True)
class FaultPeriod:
    """A fault of one process, as it happened. Times are steady s."""

    began_at: float
    ended_at: float = float("inf")  # it serves again


def draw_faults(
    rng: random.Random, routers: list[str], registrars: list[str], seconds: float
) -> list[FaultStep]:
    """Faults by time. One registrar loses its disk at the most: what was acknowledged is on two or more."""
    steps = [
        _draw(rng, rng.choice(names), seconds)
        for names in (routers, registrars)
        for _ in range(rng.randint(1, MOST_FAULTS))
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
