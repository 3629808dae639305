"""What happens in a soak: planned work on the processes in series that overlap, drawn from a seed. No I/O."""

import random
from dataclasses import dataclass
from enum import Enum

MOST_SERIES = 6


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
    """Steps of all series, by time; at least one router is stopped."""
    series = [
        lambda: _stop_in_turn(rng, routers, seconds),
        lambda: _stop_in_turn(rng, registrars, seconds),
        lambda: _deploy(rng, routers + registrars, seconds),
        lambda: _stop_again(rng, routers + registrars, seconds),
        lambda: _reload(rng, routers + registrars, seconds),
        lambda: _change(rng, seconds),
        lambda: _replace_endpoints(rng, seconds),
    ]
    steps = _stop_in_turn(rng, routers, seconds) + _change(rng, seconds)
    for _ in range(rng.randint(2, MOST_SERIES)):
        steps += rng.choice(series)()
    return sorted((step for step in steps if step.at < seconds), key=lambda step: step.at)


def _stop_in_turn(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """Some processes, each a while after the one before: from nearly at once to well apart."""
    count = rng.randint(1, len(names))
    begin, gap = rng.uniform(1.0, seconds / 2), rng.choice([0.05, 0.5, 1.0, 2.0])
    chosen = rng.sample(names, count)
    return [Step(begin + n * gap, Action.TERMINATE, name) for n, name in enumerate(chosen)]


def _deploy(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """All processes in turn, as a new release is rolled out."""
    begin, gap = rng.uniform(1.0, seconds / 3), seconds / 2 / len(names)
    return [Step(begin + n * gap, Action.TERMINATE, name) for n, name in enumerate(names)]


def _stop_again(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    """One process, several signals in a row: while it drains, while it starts, and once it is back."""
    name, at = rng.choice(names), rng.uniform(1.0, seconds / 2)
    steps = []
    for _ in range(rng.randint(2, 4)):
        steps.append(Step(at, rng.choice([Action.TERMINATE, Action.TERMINATE, Action.RELOAD]), name))
        at += rng.uniform(0.02, 6.0)
    return steps


def _reload(rng: random.Random, names: list[str], seconds: float) -> list[Step]:
    begin, gap = rng.uniform(0.0, seconds / 2), rng.uniform(0.02, 0.5)
    return [Step(begin + n * gap, Action.RELOAD, name) for n, name in enumerate(names)]


def _change(rng: random.Random, seconds: float) -> list[Step]:
    gap = rng.uniform(0.3, 3.0)
    return [Step(n * gap, Action.CHANGE) for n in range(1, int(seconds / gap))]


def _replace_endpoints(rng: random.Random, seconds: float) -> list[Step]:
    begin = rng.uniform(0.5, seconds / 2)
    return [Step(begin + n * 3.0, Action.REPLACE_ENDPOINT) for n in range(rng.randint(1, 3))]
