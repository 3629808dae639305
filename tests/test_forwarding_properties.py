"""Requests between registrars whose responses are delayed, duplicated, reordered, forged or lost: each
request gets its own result or an error. Runs in virtual time.
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

from plumline.coordination.environment import Member
from plumline.errors import PlumlineError, UnavailableError, VersionConflictError
from plumline.registrar.forwarding import RequestForwarder

NAMES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
REQUEST_COUNT = 30
TICK_S = 0.05
RESPONSE_TIMEOUT_S = 20.0  # far above the forwarder's own time-out


class Chain:
    """Rejects odd changes; the result of a read is the number of the read."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.submitted, self.reads = rng, [], 0

    def submit(self, change: list[Any], done: Any) -> None:  # noqa: ANN401
        self.submitted.append(change[1])
        error = VersionConflictError(f"{change[1]}") if change[1] % 2 else None
        asyncio.get_running_loop().call_later(self.rng.uniform(0, 0.9), done, error)

    def read(self, found: Any) -> None:  # noqa: ANN401
        self.reads += 1
        found(SimpleNamespace(configuration={"read": self.reads}))


class Network:
    """Delays, duplicates and drops messages between registrars, and forges some answers."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.clear_answers = 0  # other than UnavailableError
        self.chains = {name: Chain(rng) for name in NAMES}
        self.forwarders = {name: self.forwarder(name) for name in NAMES}

    def forwarder(self, name: str) -> RequestForwarder:
        """A registrar's request forwarder, whose core knows head and tail and always has a quorum."""
        core: Any = SimpleNamespace(
            local_member=Member(name, "1"),
            head_address=lambda: NAMES[0],
            tail_address=lambda: NAMES[1],
            chain=self.chains[name],
            has_quorum_contact=lambda now: True,
            failure_detector=SimpleNamespace(is_alive=lambda now, address: True),
        )
        return RequestForwarder(core, lambda to, message: self.send(name, to, message))

    async def tick(self) -> None:
        while True:
            for each in self.forwarders.values():
                each.tick(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_S)

    def send(self, sender: str, to: str, message: list[Any]) -> None:
        loop, rng = asyncio.get_running_loop(), self.rng
        copies = [message] * rng.choice([0, 1, 1, 1, 2 if message[0] == "answer" else 1])
        if message[0] == "answer" and rng.random() < 0.2:
            copies.append(["answer", "0123456789ab", None, "", {"taken": "another's"}])
        for each in copies:
            delay = rng.choice([0.0, 0.001, 0.5, 3.5])
            loop.call_later(delay, self.deliver, sender, to, each)

    def deliver(self, sender: str, to: str, message: list[Any]) -> None:
        assert self.forwarders[to].on_message(asyncio.get_running_loop().time(), sender, message)


async def ask(network: Network, number: int) -> None:
    loop, rng = asyncio.get_running_loop(), network.rng
    await asyncio.sleep(rng.uniform(0, 2))
    forwarder_asked = network.forwarders[rng.choice(NAMES)]
    answered: asyncio.Future[tuple[PlumlineError | None, Any]] = loop.create_future()

    def outcome(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        assert not answered.done(), "answered twice"
        answered.set_result((error, result))

    reading = rng.random() < 0.3
    if reading:
        forwarder_asked.read(loop.time(), outcome)
    else:
        forwarder_asked.submit(loop.time(), ["weights", number], 0, outcome)
    await asyncio.wait([answered], timeout=RESPONSE_TIMEOUT_S)
    assert answered.done(), "never answered"
    error, result = answered.result()
    if isinstance(error, UnavailableError):
        return  # a change may have been committed
    network.clear_answers += 1
    if reading:
        assert error is None and result["read"] >= 1
    elif number % 2:
        assert isinstance(error, VersionConflictError) and error.text == f"{number}"
    else:
        assert error is None and result == {"taken": True}


async def run_requests(_: VirtualLoop, seed: int) -> Network:
    network = Network(random.Random(seed))
    ticking = asyncio.create_task(network.tick())
    await asyncio.gather(*(ask(network, number) for number in range(REQUEST_COUNT)))
    await asyncio.sleep(10)
    ticking.cancel()
    return network


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**48))
def test_each_request_has_its_own_result_or_an_error(seed: int) -> None:
    network: Network = virtual_net.run(lambda loop: run_requests(loop, seed))
    submitted = network.chains[NAMES[0]].submitted
    assert len(submitted) == len(set(submitted))  # a change is forwarded once
    assert not any(each.pending for each in network.forwarders.values())
    assert network.clear_answers > 0


def test_reused_keys_would_show(monkeypatch: pytest.MonkeyPatch) -> None:
    keys = itertools.cycle("abcdef")
    monkeypatch.setattr(secrets, "token_hex", lambda _: next(keys))
    wrong = 0
    for seed in range(10):
        try:
            virtual_net.run(lambda loop, seed=seed: run_requests(loop, seed))
        except (AssertionError, KeyError):
            wrong += 1
    assert wrong
