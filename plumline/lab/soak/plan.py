"""Planned work of a soak: overlapping series of actions on processes, drawn from a seed. No I/O."""

import random
from dataclasses import dataclass
from enum import Enum

MAX_SERIES = 6


class Action(Enum):
    """One step of planned work."""

    TERMINATE = "SIGTERM, and a new start once it has ended"
    RELOAD = "SIGHUP"
    CHANGE = "a change of the configuration"
    REPLACE_ENDPOINT = "a new endpoint, then one that drains and ends"


@dataclass(frozen=True, slots=True)
class Step:
    """`at`: s from the start of the traffic; `target`: the process, empty for actions that have none."""

    at: float
    action: Action
    target: str = ""


def draw_plan(rng: random.Random, routers: list[str], registrars: list[str], seconds: float) -> list[Step]:
    """Returns the steps of all series ordered by time; at least one router is stopped."""
    series = [
        lambda: _stop_in_turn(rng, routers, seconds),
        lambda: _stop_in_turn(rng, registrars, seconds),
        lambda: _deploy(rng, routers + registrars, seconds),
        lambda: _signal_repeatedly(rng, routers + registrars, seconds),
        lambda: _reload(rng, routers + registrars, seconds),
        lambda: _change(rng, seconds),
        lambda: _replace_endpoints(rng, seconds),
    ]
    steps = _stop_in_turn(rng, routers, seconds) + _change(rng, seconds)
    for _ in range(rng.randint(2, MAX_SERIES)):
        steps += rng.choice(series)()
    return sorted((step for step in steps if step.at < seconds), key=lambda step: step.at)


def _stop_in_turn(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """Stops some processes in turn, with gaps from nearly none to seconds."""
    count = rng.randint(1, len(names))
    start_at, gap = rng.uniform(1.0, seconds / 2), rng.choice([0.05, 0.5, 1.0, 2.0])
    chosen = rng.sample(names, count)
    return [Step(start_at + n * gap, Action.TERMINATE, name) for n, name in enumerate(chosen)]


def _deploy(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """Stops all processes in turn, as the rollout of a release does."""
    start_at, gap = rng.uniform(1.0, seconds / 3), seconds / 2 / len(names)
    return [Step(start_at + n * gap, Action.TERMINATE, name) for n, name in enumerate(names)]


def _signal_repeatedly(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """Signals one process repeatedly: while it drains, while it starts and after its restart."""
    name, at = rng.choice(names), rng.uniform(1.0, seconds / 2)
    steps = []
    for _ in range(rng.randint(2, 4)):
        steps.append(Step(at, rng.choice([Action.TERMINATE, Action.TERMINATE, Action.RELOAD]), name))
        at += rng.uniform(0.02, 6.0)
    return steps


def _reload(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    start_at, gap = rng.uniform(0.0, seconds / 2), rng.uniform(0.02, 0.5)
    return [Step(start_at + n * gap, Action.RELOAD, name) for n, name in enumerate(names)]


def _change(rng: random.Random, seconds: float) -> list[Step]:
    gap = rng.uniform(0.3, 3.0)
    return [Step(n * gap, Action.CHANGE) for n in range(1, int(seconds / gap))]


def _replace_endpoints(rng: random.Random, seconds: float) -> list[Step]:
    start_at = rng.uniform(0.5, seconds / 2)
    return [Step(start_at + n * 3.0, Action.REPLACE_ENDPOINT) for n in range(rng.randint(1, 3))]
