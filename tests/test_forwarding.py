"""A request forwarder: what it sends, which responses it accepts, and its time-outs."""

from typing import Any

import pytest

from plumline.coordination.environment import Member
from plumline.errors import PlumlineError, UnavailableError, VersionConflictError
from plumline.registrar.forwarding import (
    FORWARD_TIMEOUT_S,
    LARGE_BODY_BYTES_PER_S,
    READ_REPEAT_INTERVAL_S,
    RequestForwarder,
)

CHANGE = ["amend", 1, {"Version": 2}]


class FailureDetector:
    def __init__(self) -> None:
        self.silent: set[str] = set()

    def is_alive(self, now: float, address: str) -> bool:
        return address not in self.silent


class Chain:
    def __init__(self) -> None:
        self.submitted: list[Any] = []
        self.reads: list[Any] = []

    def submit(self, change: list[Any], answer: Any) -> None:  # noqa: ANN401
        self.submitted.append((change, answer))

    def read(self, answer: Any) -> None:  # noqa: ANN401
        self.reads.append(answer)


class Core:
    """A fake of the part of a core that the request forwarder uses."""

    def __init__(self) -> None:
        self.local_member = Member("me", "1")
        self.failure_detector, self.chain = FailureDetector(), Chain()
        self.majority = True
        self.chain_head: str | None = "head"

    def has_quorum_contact(self, now: float) -> bool:
        return self.majority

    def head_address(self) -> str | None:
        return self.chain_head

    def tail_address(self) -> str | None:
        return "tail"


class Scene:
    def __init__(self) -> None:
        self.core = Core()
        self.sent: list[tuple[str, list[Any]]] = []
        self.forwarder = RequestForwarder(self.core, lambda to, message: self.sent.append((to, message)))  # type: ignore[arg-type]
        self.results: list[tuple[PlumlineError | None, Any]] = []

    def submit(self, size: int = 0) -> str:
        """Submits a change; returns the key of the forwarded request."""
        self.forwarder.submit(0.0, CHANGE, size, self.on_result)
        return self.sent[-1][1][1]

    def on_result(self, error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        self.results.append((error, result))

    def unavailable(self) -> bool:
        return len(self.results) == 1 and isinstance(self.results[0][0], UnavailableError)


def test_a_change_goes_to_the_head_and_its_result_comes_once() -> None:
    scene = Scene()
    key = scene.submit()
    assert scene.sent == [("head", ["ask", key, ["submit", CHANGE]])]
    for _ in range(2):
        assert scene.forwarder.on_message(0.1, "head", ["answer", key, None, "", {"taken": True}])
    scene.forwarder.tick(60.0)
    assert scene.results == [(None, {"taken": True})]


def test_an_error_keeps_its_type() -> None:
    scene = Scene()
    key = scene.submit()
    scene.forwarder.on_message(0.1, "head", ["answer", key, "version-conflict", "no", None])
    assert isinstance(scene.results[0][0], VersionConflictError) and scene.results[0][0].text == "no"


def test_a_response_counts_only_from_the_registrar_asked_and_in_time() -> None:
    scene = Scene()
    key = scene.submit()
    scene.forwarder.on_message(0.1, "another", ["answer", key, "version-conflict", "no", None])
    assert scene.results == []
    scene.forwarder.tick(FORWARD_TIMEOUT_S - 0.01)
    assert scene.results == []
    scene.forwarder.tick(FORWARD_TIMEOUT_S)
    assert scene.unavailable()
    scene.forwarder.on_message(
        FORWARD_TIMEOUT_S + 0.1, "head", ["answer", key, "version-conflict", "no", None]
    )
    assert scene.unavailable()


def test_a_large_body_has_a_longer_timeout() -> None:
    scene = Scene()
    scene.submit(size=2 * LARGE_BODY_BYTES_PER_S)
    scene.forwarder.tick(FORWARD_TIMEOUT_S + 1.99)
    assert scene.results == []
    scene.forwarder.tick(FORWARD_TIMEOUT_S + 2.0)
    assert scene.unavailable()


@pytest.mark.parametrize("cause", ["no view", "no majority", "silent head"])
def test_a_request_that_cannot_be_served_fails_at_once(cause: str) -> None:
    scene = Scene()
    if cause == "no view":
        scene.core.chain_head = None
    elif cause == "no majority":
        scene.core.majority = False
    else:
        scene.core.failure_detector.silent.add("head")
    scene.forwarder.submit(0.0, CHANGE, 4_000_000, scene.on_result)
    assert scene.unavailable() and not scene.sent


@pytest.mark.parametrize("cause", ["no majority", "silent head"])
def test_a_pending_request_fails_as_soon_as_its_registrar_is_unreachable(cause: str) -> None:
    scene = Scene()
    scene.submit(size=4_000_000)
    if cause == "no majority":
        scene.core.majority = False
    else:
        scene.core.failure_detector.silent.add("head")
    scene.forwarder.tick(0.05)
    assert scene.unavailable()


def test_a_head_or_tail_without_a_quorum_accepts_nothing() -> None:
    scene = Scene()
    scene.core.majority = False
    for operation in (["submit", CHANGE], ["read"]):
        assert scene.forwarder.on_message(0.0, "asker", ["ask", "k", operation])
        to, message = scene.sent.pop()
        assert (to, message[:3]) == ("asker", ["answer", "k", "unavailable"])
    assert not scene.core.chain.submitted and not scene.core.chain.reads


def test_the_head_and_the_tail_respond_to_the_sender() -> None:
    scene = Scene()
    scene.forwarder.on_message(0.0, "asker", ["ask", "k", ["submit", CHANGE]])
    change, answer = scene.core.chain.submitted[0]
    assert change == CHANGE and not scene.sent
    answer(None)
    assert scene.sent.pop() == ("asker", ["answer", "k", None, "", {"taken": True}])
    scene.forwarder.on_message(0.0, "asker", ["ask", "k", ["read"]])
    scene.core.chain.reads[0](None)
    assert scene.sent.pop()[1][2] == "unavailable"


def test_messages_of_other_kinds_are_not_handled() -> None:
    scene = Scene()
    for message in (["ping", 1], ["ask", 7, ["read"]], ["ask", "k", ["drop"]], ["answer", "k", 5, "", None]):
        assert not scene.forwarder.on_message(0.0, "x", message)


def test_a_read_without_a_response_is_forwarded_again_and_a_change_is_not() -> None:
    scene = Scene()
    scene.submit()
    scene.forwarder.read(0.0, scene.on_result)
    _, read = scene.sent[-1]
    for now in (READ_REPEAT_INTERVAL_S / 2, READ_REPEAT_INTERVAL_S, READ_REPEAT_INTERVAL_S * 1.5):
        scene.forwarder.tick(now)
    assert scene.sent[2:] == [("tail", read)]
    for _ in range(2):  # a response to each of the two reads
        scene.forwarder.on_message(0.5, "tail", ["answer", read[1], None, "", {"Version": 1}])
    assert scene.results == [(None, {"Version": 1})]
    scene.forwarder.tick(READ_REPEAT_INTERVAL_S * 2)
    assert len(scene.sent) == 3
