"""Asks between registrars, whose answers come late, twice, in any order, for nobody, or not at all: each has
its own answer or none. In virtual time.
"""

import asyncio
import itertools
import random
import secrets
from types import SimpleNamespace
from typing import Any

import pytest
import virtual_net
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_net import VirtualLoop

from plumline.counters import Counters
from plumline.errors import PlumlineError, UnavailableError, VersionConflictError
from plumline.registrar.operators import Operators

NAMES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
ASKS = 30


class Chain:
    """Refuses odd changes, and tells in its state which read it was."""

    def __init__(self, chance: random.Random) -> None:
        self.chance, self.submitted, self.reads = chance, [], 0

    def submit(self, change: list[Any], done: Any) -> None:  # noqa: ANN401
        self.submitted.append(change[1])
        error = VersionConflictError(f"{change[1]}") if change[1] % 2 else None
        asyncio.get_running_loop().call_later(self.chance.uniform(0, 4), done, error)

    def read(self, found: Any) -> None:  # noqa: ANN401
        self.reads += 1
        found(SimpleNamespace(configuration={"read": self.reads}))


class Network:
    """Delivers messages between registrars late, twice, or not at all, and makes some up."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.chains = {name: Chain(chance) for name in NAMES}
        self.operators = {
            name: Operators(
                SimpleNamespace(head=lambda: NAMES[0], tail=lambda: NAMES[1], chain=self.chains[name]),
                lambda to, message, name=name: self.send(name, to, message),
                Counters(),
            )
            for name in NAMES
        }

    def send(self, sender: str, to: str, message: list[Any]) -> None:
        loop, chance = asyncio.get_running_loop(), self.chance
        copies = [message] * chance.choice([0, 1, 1, 1, 2 if message[0] == "answer" else 1])
        if message[0] == "answer" and chance.random() < 0.2:
            copies.append(["answer", "0123456789ab", None, "", {"taken": "another's"}])
        for each in copies:
            delay = chance.choice([0.0, 0.001, 0.5, 3.5])
            loop.call_later(delay, self.operators[to].on_message, sender, each)


async def ask(network: Network, number: int) -> None:
    chance = network.chance
    await asyncio.sleep(chance.uniform(0, 2))
    asker = network.operators[chance.choice(NAMES)]
    try:
        if chance.random() < 0.3:
            result = await asker.ask(NAMES[1], ["read"])
            assert result["read"] >= 1
        else:
            assert await asker.ask(NAMES[0], ["submit", ["weights", number]]) == {"taken": True}
            assert number % 2 == 0
    except VersionConflictError as error:
        assert error.text == f"{number}"
    except UnavailableError:
        pass  # it may have been taken
    except PlumlineError as error:
        raise AssertionError(f"an error that nobody told: {error}") from error


async def play(_: VirtualLoop, seed: int) -> Network:
    network = Network(random.Random(seed))
    await asyncio.gather(*(ask(network, number) for number in range(ASKS)))
    await asyncio.sleep(10)
    return network


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**48))
def test_each_ask_has_its_own_answer_or_none(seed: int) -> None:
    network: Network = virtual_net.run(lambda loop: play(loop, seed))
    submitted = network.chains[NAMES[0]].submitted
    assert len(submitted) == len(set(submitted))  # an ask goes out once
    assert not any(each.asked for each in network.operators.values())


def test_keys_that_are_used_again_would_show(monkeypatch: pytest.MonkeyPatch) -> None:
    keys = itertools.cycle("abcdef")
    monkeypatch.setattr(secrets, "token_hex", lambda _: next(keys))
    wrong = 0
    for seed in range(10):
        try:
            virtual_net.run(lambda loop, seed=seed: play(loop, seed))
        except (AssertionError, KeyError):
            wrong += 1
    assert wrong
