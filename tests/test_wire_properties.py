"""What clients, endpoints and the budget may rely on, whatever endpoints and clients do: random runs of the
whole request path (`wire_world`), and the same runs with one guard taken out, which they must notice.
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
from wire_world import World, answer_well, cut_short, resume_oddly

from plumline.router.attempt import Attempt
from plumline.router.progress import Progress
from plumline.router.relay import EventJoiner
from plumline.router.request_handler import RequestHandler
from plumline.router.selection import Selection
from plumline.router.upstream import UpstreamConnection
from plumline.wire.server import Connection

RUNS = int(os.environ.get("PLUMLINE_WIRE_RUNS", "150"))
MOST_SEEDS = 300  # within which a guard that is missing must show


@settings(max_examples=RUNS, deadline=None, derandomize=True)
@given(st.integers(0, 2**48))
def test_no_answer_goes_astray_and_nothing_runs_twice(seed: int) -> None:
    assert World(seed).play() == []


def test_the_same_seed_is_the_same_run() -> None:
    def played() -> list[tuple[str, int, bytes, float]]:
        world = World(7)
        world.play()
        return [(each.id, each.status, each.answer, each.ended) for each in world.asked.values()]

    assert played() == played()


def test_the_runs_hold_every_kind_of_end() -> None:
    """Else they would show little."""
    ends: set[tuple[int, bool]] = set()
    repeats = gone = 0
    for seed in range(30):
        world = World(seed)
        world.play()
        ends |= {(each.status, each.complete) for each in world.asked.values()}
        gone += sum(bool(each.left) for each in world.asked.values())
        repeats += world.allowance.granted
    assert {(200, True), (200, False), (400, True), (502, True), (503, True), (504, True), (0, False)} <= ends
    assert repeats > 50 and gone > 20

    assert not any(World(seed, BROKEN_STREAMS).play() for seed in range(30))


#: More of what only streams of several runs meet.
BROKEN_STREAMS = [(answer_well, 3), (cut_short, 6), (resume_oddly, 3)]


@dataclass(frozen=True)
class Guard:
    """A piece of a method that keeps a promise, and what stands there once it is taken out."""

    owner: type
    method: str
    text: str
    without: str
    streams: bool = False  # only streams of several runs show it

    def __str__(self) -> str:
        return f"{self.owner.__name__}.{self.method}: {' '.join(self.text.split())[:50]}"

    def taken_out(self) -> Callable[..., Any]:
        method = getattr(self.owner, self.method)
        source = textwrap.dedent(inspect.getsource(method))
        assert source.count(self.text) == 1, "the guard has moved"
        names: dict[str, Any] = {}
        exec(source.replace(self.text, self.without), vars(sys.modules[self.owner.__module__]), names)
        return names[self.method]


GUARDS = [
    # Which request an answer belongs to.
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
    Guard(Selection, "ready_in", "key in self.progress.attempted or ", ""),
    # Whole answers only.
    Guard(Attempt, "receive", 'return self.discard_answer("unsealed")', "pass"),
    Guard(Attempt, "relay", "if needs_end and not ends_event(tail):", "if False:"),
    Guard(UpstreamConnection, "end", "self.wake()", 'self.codec.receive_data(b"")\n        self.wake()'),
    Guard(RequestHandler, "send_final_answer", "self.exchange.abort()", "self.exchange.finish()"),
    # A stream of several runs.
    Guard(Attempt, "receive", " and is_event_stream(headers)", "", streams=True),
    Guard(EventJoiner, "begin", 'self.incomplete, self.resumed = b"", ', "self.resumed = ", streams=True),
    Guard(EventJoiner, "feed", "if self.resumed and self.last_id is not None:", "if False:", streams=True),
    Guard(EventJoiner, "feed", "buffered[:end], buffered[end:]", 'buffered, b""', streams=True),
    Guard(EventJoiner, "may_join", "return self.position_known and ", "return ", streams=True),
    # One request at a time on a connection; nothing for a client that has gone, or after its time.
    Guard(Connection, "advance", "self.phase in (Phase.ANSWER, Phase.LEAVING) or ", ""),
    Guard(RequestHandler, "on_client_gone", "self.progress.connection.close()", "pass"),
    Guard(RequestHandler, "run_attempts", "if progress.client_left:", "if False:"),
    Guard(RequestHandler, "on_deadline", "self.progress.connection.close()", "pass"),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_without_a_guard_a_run_shows_it(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(guard.owner, guard.method, guard.taken_out())
    acts = BROKEN_STREAMS if guard.streams else None
    assert any(World(seed, acts).play() for seed in range(MOST_SEEDS))
