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


def draw_plan(chance: random.Random, routers: list[str], registrars: list[str], seconds: float) -> list[Step]:
    """Steps of all series, by time; at least one router is stopped."""
    series = [
        lambda: _stop_in_turn(chance, routers, seconds),
        lambda: _stop_in_turn(chance, registrars, seconds),
        lambda: _deploy(chance, routers + registrars, seconds),
        lambda: _stop_again(chance, routers + registrars, seconds),
        lambda: _reload(chance, routers + registrars, seconds),
        lambda: _change(chance, seconds),
        lambda: _replace_endpoints(chance, seconds),
    ]
    steps = _stop_in_turn(chance, routers, seconds) + _change(chance, seconds)
    for _ in range(chance.randint(2, MOST_SERIES)):
        steps += chance.choice(series)()
    return sorted((step for step in steps if step.at < seconds), key=lambda step: step.at)


def _stop_in_turn(chance: random.Random, names: list[str], seconds: float) -> list[Step]:
    """Some processes, each a while after the one before: from nearly at once to well apart."""
    count = chance.randint(1, len(names))
    begin, gap = chance.uniform(1.0, seconds / 2), chance.choice([0.05, 0.5, 1.0, 2.0])
    chosen = chance.sample(names, count)
    return [Step(begin + n * gap, Action.TERMINATE, name) for n, name in enumerate(chosen)]


def _deploy(chance: random.Random, names: list[str], seconds: float) -> list[Step]:
    """All processes in turn, as a new release is rolled out."""
    begin, gap = chance.uniform(1.0, seconds / 3), seconds / 2 / len(names)
    return [Step(begin + n * gap, Action.TERMINATE, name) for n, name in enumerate(names)]


def _stop_again(chance: random.Random, names: list[str], seconds: float) -> list[Step]:
    """One process, several signals in a row: while it drains, while it starts, and once it is back."""
    name, at = chance.choice(names), chance.uniform(1.0, seconds / 2)
    steps = []
    for _ in range(chance.randint(2, 4)):
        steps.append(Step(at, chance.choice([Action.TERMINATE, Action.TERMINATE, Action.RELOAD]), name))
        at += chance.uniform(0.02, 6.0)
    return steps


def _reload(chance: random.Random, names: list[str], seconds: float) -> list[Step]:
    begin, gap = chance.uniform(0.0, seconds / 2), chance.uniform(0.02, 0.5)
    return [Step(begin + n * gap, Action.RELOAD, name) for n, name in enumerate(names)]


def _change(chance: random.Random, seconds: float) -> list[Step]:
    gap = chance.uniform(0.3, 3.0)
    return [Step(n * gap, Action.CHANGE) for n in range(1, int(seconds / gap))]


def _replace_endpoints(chance: random.Random, seconds: float) -> list[Step]:
    begin = chance.uniform(0.5, seconds / 2)
    return [Step(begin + n * 3.0, Action.REPLACE_ENDPOINT) for n in range(chance.randint(1, 3))]
