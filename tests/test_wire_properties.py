"""Guarantees of the request path to clients, endpoints and the retry budget, checked in random runs
(`wire_world`), and mutation tests: with one guard removed, some run must report a fault.
"""

import inspect
import os
import sys
import textwrap
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wire_world import World, answer_correctly, cut_short, resume_wrongly

from plumline.router.attempt import Attempt
from plumline.router.progress import Progress
from plumline.router.relay import EventJoiner
from plumline.router.request_handler import RequestHandler
from plumline.router.selection import Selection
from plumline.router.upstream import UpstreamConnection
from plumline.wire.server import Connection

RUNS = int(os.environ.get("PLUMLINE_WIRE_RUNS", "150"))
MAX_SEEDS = 300  # number of runs within which a missing guard must be detected


@settings(max_examples=RUNS, deadline=None, derandomize=True)
@given(st.integers(0, 2**48))
def test_no_answer_goes_astray_and_nothing_runs_twice(seed: int) -> None:
    assert World(seed).play() == []


def test_the_same_seed_gives_the_same_run() -> None:
    def run_once() -> list[tuple[str, int, bytes, float]]:
        world = World(7)
        world.play()
        return [(each.id, each.status, each.answer, each.ended_at) for each in world.requests.values()]

    assert run_once() == run_once()


def test_the_runs_cover_every_kind_of_outcome() -> None:
    """Without this coverage the property tests would prove little."""
    seen: set[tuple[int, bool]] = set()
    retries = disconnects = 0
    for seed in range(30):
        world = World(seed)
        world.play()
        seen |= {(each.status, each.complete) for each in world.requests.values()}
        disconnects += sum(bool(each.disconnected_at) for each in world.requests.values())
        retries += world.retry_budget.granted
    assert {(200, True), (200, False), (400, True), (502, True), (503, True), (504, True), (0, False)} <= seen
    assert retries > 50 and disconnects > 20

    assert not any(World(seed, INTERRUPTED_STREAMS).play() for seed in range(30))


#: Behaviours that interrupt streams, so that more of them are resumed.
INTERRUPTED_STREAMS = [(answer_correctly, 3), (cut_short, 6), (resume_wrongly, 3)]


@dataclass(frozen=True)
class Guard:
    """A fragment of a method that enforces a guarantee, and the text that replaces it to disable it."""

    owner: type
    method: str
    text: str
    without: str
    streams: bool = False  # detected only with resumed streams

    def __str__(self) -> str:
        return f"{self.owner.__name__}.{self.method}: {' '.join(self.text.split())[:50]}"

    def mutated(self) -> Callable[..., Any]:
        method = getattr(self.owner, self.method)
        source = textwrap.dedent(inspect.getsource(method))
        assert source.count(self.text) == 1, "the guard has moved"
        names: dict[str, Any] = {}
        exec(source.replace(self.text, self.without), vars(sys.modules[self.owner.__module__]), names)
        return names[self.method]


GUARDS = [
    # Matching responses to requests.
    Guard(Attempt, "is_answered_by", "return ids == {self.request.id}", "return True"),
    Guard(Attempt, "is_answered_by", "not connection.used and ", ""),
    # What proves that a request has not run.
    Guard(Attempt, "receive", "elif status in NOT_RUN_STATUSES:", "elif False:"),
    Guard(Attempt, "discard_answer", "return Proof.MAY_HAVE_RUN", "return Proof.NOT_RUN"),
    Guard(Attempt, "on_refusal", " and status not in NOT_RUN_STATUSES", " and status != 429"),
    Guard(
        Attempt,
        "on_broken_connection",
        "self.router.outcomes.failed(self.call, now)\n    return Proof.MAY_HAVE_RUN",
        "return Proof.NOT_RUN",
    ),
    Guard(RequestHandler, "run_attempts", "progress.may_have_run |= proof is Proof.MAY_HAVE_RUN", "pass"),
    Guard(RequestHandler, "send_final_answer", "elif not progress.may_have_run:", "elif True:"),
    # Who may send it again, and how often.
    Guard(Progress, "may_send", "return not self.may_have_run or route.idempotent", "return True"),
    Guard(Progress, "may_send", "self.attempts >= route.attempt_limit or ", ""),
    Guard(Attempt, "send_on", "progress.retry_granted = False", "pass"),
    Guard(Selection, "ready_in_s", "key in self.progress.attempted or ", ""),
    # Whole answers only.
    Guard(Attempt, "receive", 'return self.discard_answer("unsealed")', "pass"),
    Guard(Attempt, "relay", "if needs_end and not ends_event(tail):", "if False:"),
    Guard(UpstreamConnection, "end", "self.wake()", 'self.codec.receive_data(b"")\n        self.wake()'),
    Guard(RequestHandler, "send_final_answer", "self.exchange.abort()", "self.exchange.finish()"),
    # Resumed streams.
    Guard(Attempt, "receive", " and is_event_stream(headers)", "", streams=True),
    Guard(EventJoiner, "begin", 'self.incomplete, self.resumed = b"", ', "self.resumed = ", streams=True),
    Guard(EventJoiner, "feed", "if self.resumed and self.last_id is not None:", "if False:", streams=True),
    Guard(EventJoiner, "feed", "buffered[:end], buffered[end:]", 'buffered, b""', streams=True),
    Guard(EventJoiner, "may_join", "return self.position_known and ", "return ", streams=True),
    # One request at a time per connection; no work for disconnected clients or after the timeout.
    Guard(Connection, "advance", "self.phase in (Phase.ANSWER, Phase.LINGERING) or ", ""),
    Guard(RequestHandler, "on_client_disconnect", "self.progress.connection.close()", "pass"),
    Guard(RequestHandler, "run_attempts", "if progress.client_left:", "if False:"),
    Guard(RequestHandler, "on_deadline", "self.progress.connection.close()", "pass"),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_a_removed_guard_is_detected(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(guard.owner, guard.method, guard.mutated())
    behaviours = INTERRUPTED_STREAMS if guard.streams else None
    assert any(World(seed, behaviours).play() for seed in range(MAX_SEEDS))
