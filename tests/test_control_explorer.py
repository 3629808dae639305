"""Random schedules of operators with partitioned, restarted and frozen registrars, and for each removed guard
a schedule that detects its absence.

The default count runs in less than a minute on one core; PLUMLINE_SCHEDULES multiplies it.
"""

import os
from collections.abc import Callable, Iterator
from contextlib import nullcontext
from typing import Any
from unittest.mock import patch

import pytest

from plumline.configuration.history import History, HistoryMatch
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.coordination.core import Core
from plumline.coordination.pending_replies import SubmitCallback
from plumline.coordination.replication import ChainReplica
from plumline.errors import (
    ConfigurationInvalidError,
    PlumlineError,
    UnavailableError,
    VersionConflictError,
)
from plumline.registrar import forwarding
from tests.control_world import ControlWorld, explore_control, short_memory
from tests.core_register import ViolationError

SCHEDULE_MULTIPLIER = float(os.environ.get("PLUMLINE_SCHEDULES", "1"))
FEW_REMEMBERED = 8  # remembered changes, so that many repeats are forgotten

SCHEDULES = [
    pytest.param(60, {"cuts": True, "seconds": 22.0}, id="cuts-3"),
    pytest.param(12, {"cuts": True, "seconds": 22.0, "size": 5, "copies": 3}, id="cuts-5"),
    pytest.param(90, {}, id="troubles-3"),
    pytest.param(25, {"size": 5, "copies": 3}, id="troubles-5"),
    pytest.param(60, {"remembered": FEW_REMEMBERED}, id="troubles-3-few-remembered"),
]


@pytest.mark.parametrize(("schedules", "how"), SCHEDULES)
def test_operators_see_nothing_wrong(schedules: int, how: dict[str, Any]) -> None:
    count = max(1, int(schedules * SCHEDULE_MULTIPLIER))
    counts = explore_control(range(count), **how)
    print(how, dict(counts))
    assert counts["schedules"] == count
    assert counts["acknowledged"] > 2 * count  # otherwise the schedules explored nothing
    assert counts["version-conflict"] > 2 * count
    assert counts["repeats"] > 2 * count
    assert counts["reads"] > count


def test_who_is_cut_off_answers_at_once_that_another_should_be_asked() -> None:
    """For head, middle and tail, cut off in both directions or in one, before and after detection."""
    with short_memory():
        for place in range(3):
            for how in ("both", "in", "out"):
                world = ControlWorld(1, quiet=True)
                world.settle()
                world.put_first()
                node = world.nodes[world.chain()[place]]
                world.cut_off(node, how)
                for at, within in ((0.0, 0.9), (1.0, 0.06), (20.0, 0.06)):
                    world.go(at)
                    for call in (world.read_now, world.change_now):
                        found, took = call(node)
                        assert isinstance(found, UnavailableError), (place, how, at, found)
                        assert took <= within, (place, how, at, took)
                        world.go(0.0)


# Mutations that remove a guard.


class RefusesAtOnce(ChainReplica):
    """Refuses before the entries that the refusal depends on are committed."""

    def submit(self, change: list[Any], answer: SubmitCallback) -> None:
        if self.is_head() and self.can_commit():
            try:
                self.latest_state.check(change)
            except PlumlineError as error:
                answer(error)
                return
        super().submit(change, answer)


class ReadsWithoutAsking(ChainReplica):
    def read(self, answer: Callable[[Any], None]) -> None:
        answer(self.state if self.is_tail() and self.caught_up else None)


class AcknowledgesBeforeCommit(ChainReplica):
    def submit(self, change: list[Any], answer: SubmitCallback) -> None:
        super().submit(change, lambda error: None)
        if self.is_head() and self.can_commit() and self.latest_state is not self.state:
            answer(None)


class AcknowledgesAnUncommittedRepeat(ChainReplica):
    def submit(self, change: list[Any], answer: SubmitCallback) -> None:
        try:
            known = self.is_head() and self.can_commit() and self.latest_state.check(change)
        except PlumlineError:
            known = False
        if known:
            answer(None)
        else:
            super().submit(change, answer)


def replace_chain(kind: type) -> dict[str, Any]:
    def mutate(core: Core) -> None:
        core.chain.__class__ = kind

    return {"mutate": mutate}


def refuses_what_may_come(state: ReplicatedConfiguration, kind: str, based_on: Any, body: Any) -> bool:  # noqa: ANN401
    if based_on > state.version:
        raise VersionConflictError("not in place")
    return IS_REPEAT(state, kind, based_on, body)


def refuses_what_it_forgot(state: ReplicatedConfiguration, kind: str, based_on: Any, body: Any) -> bool:  # noqa: ANN401
    try:
        return IS_REPEAT(state, kind, based_on, body)
    except UnavailableError as error:
        if "remembered" in error.text:
            raise VersionConflictError("not remembered") from error
        raise


def refuses_unknown_models(state: ReplicatedConfiguration, named: dict[str, Any]) -> bool:
    try:
        return CHECK_WEIGHTS(state, named)
    except UnavailableError as error:
        raise ConfigurationInvalidError(error.text) from error


def knows_no_repeat(history: History, base: int, digest: str) -> HistoryMatch:
    return HistoryMatch.DIFFERENT


def knows_no_content(history: History, base: int, digest: str) -> HistoryMatch:
    found = MATCH(history, base, digest)
    return (
        HistoryMatch.APPLIED
        if base < history.horizon or any(base in each for each in history.full_segments)
        else found
    )


IS_REPEAT, CHECK_WEIGHTS, MATCH = (
    ReplicatedConfiguration._is_repeat,
    ReplicatedConfiguration._check_weights,
    History.match,
)


def mutations() -> Iterator[Any]:
    # The first seed, where the search from 0 would take long.
    for kind, first in (
        (RefusesAtOnce, 110),
        (ReadsWithoutAsking, 165),
        (AcknowledgesBeforeCommit, 0),
        (AcknowledgesAnUncommittedRepeat, 0),
    ):
        yield pytest.param({"first": first, **replace_chain(kind)}, nullcontext(), id=kind.__name__)
    yield pytest.param(
        {},
        patch.object(ReplicatedConfiguration, "_is_repeat", refuses_what_may_come),
        id="RefusesWhatMayCome",
    )
    with_few_remembered = {"remembered": FEW_REMEMBERED, "first": 35}
    forget_repeats = patch.object(ReplicatedConfiguration, "_is_repeat", refuses_what_it_forgot)
    yield pytest.param(with_few_remembered, forget_repeats, id="RefusesWhatItForgot")
    unknown = patch.object(ReplicatedConfiguration, "_check_weights", refuses_unknown_models)
    yield pytest.param({"cuts": True, "seconds": 22.0}, unknown, id="RefusesUnknownModels")
    yield pytest.param({}, patch.object(History, "match", knows_no_repeat), id="KnowsNoRepeat")
    yield pytest.param(
        with_few_remembered, patch.object(History, "match", knows_no_content), id="TakesAnyBodyForTheRepeat"
    )
    yield pytest.param({}, patch.object(forwarding, "FORWARD_TIMEOUT_S", 3.0), id="WaitsLongerThanItsCallers")


@pytest.mark.parametrize(("how", "mutation"), list(mutations()))
def test_a_schedule_shows_what_each_guard_is_for(how: dict[str, Any], mutation: Any) -> None:  # noqa: ANN401
    first = how.get("first", 0)
    rest = {key: value for key, value in how.items() if key != "first"}
    with mutation, pytest.raises(ViolationError) as caught:
        explore_control(range(first, first + 2000), **rest)
    print(caught.value)
