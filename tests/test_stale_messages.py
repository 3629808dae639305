"""A message of an older view, or an answer from a chain that is over: directed schedules that hold one back
for as long as it takes, each with the guard and without it."""

from typing import Any

import pytest

from plumline.coordination.read_barrier import CONFIRMATION_TIMEOUT_S, RESEND_INTERVAL_S
from plumline.coordination.replica_status import ReplicaStatus
from plumline.errors import VersionConflictError
from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_world import World
from tests.test_activation import lose


def formed(**kwargs: Any) -> World:  # noqa: ANN401
    world = World(1, 3, quiet=True, **kwargs)
    world.settle()
    return world


def with_a_member_that_lacks_entries(**kwargs: Any) -> World:  # noqa: ANN401
    """The chain is a, b and c; c lacks the newest change, as what is sent to it is lost."""
    world = formed(**kwargs)
    world.put(0)
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    world.put(1)
    world.start(world.nodes["c"])
    replica = world.nodes["c"].core.chain
    assert world.go(2.0, lambda: replica.status() is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP)
    send = world.send

    def send_nothing_more_to_c(sender: str, to: str, message: list[Any]) -> None:
        if to != "c" or message[0] not in ("chain-entry", "chain-floor", "chain-lesson"):
            send(sender, to, message)

    world.send = send_nothing_more_to_c  # type: ignore[method-assign]
    world.put(2)
    assert world.go(5.0, lambda: world.chain() == "abc")
    world.go(1.0)
    return world


def read_after_a_stale_target(world: World) -> list[Any]:
    """The catch-up target that b sent in view 1 reaches c now."""
    world.deliver("b", "c", ["chain-floor", 1, 1])
    world.go(1.0)
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(0.5)
    return answers


def test_a_catch_up_target_of_an_older_view_makes_nobody_caught_up() -> None:
    assert read_after_a_stale_target(with_a_member_that_lacks_entries()) == [None]


def test_without_the_views_number_a_stale_target_shows_an_older_state() -> None:
    world = with_a_member_that_lacks_entries(**mutation("TakesReportsOfAnyView"))
    with pytest.raises(ViolationError):
        read_after_a_stale_target(world)


def commit_after_a_stale_entry(world: World) -> list[Any]:
    """An entry that the head of view 1 ordered, and that b sent on, reaches c in a view with another head."""
    world.put(0)
    world.split("a", "bc")
    assert world.go(5.0, lambda: world.chain() == "bc")
    world.go(0.5)  # both are in that view
    stale = world.change(1)
    world.deliver("b", "c", ["chain-entry", 1, 2, stale])
    world.go(0.2)
    world.put(1)
    return stale


def test_an_entry_of_an_older_view_is_not_taken() -> None:
    world = formed()
    stale = commit_after_a_stale_entry(world)
    world.go(1.0)
    assert world.ids("b") == world.ids("c")
    assert stale[2] not in world.ids("c")


def test_without_the_views_number_a_stale_entry_makes_replicas_differ() -> None:
    world = formed(**mutation("TakesEntriesOfAnyView"))
    with pytest.raises(ViolationError):
        commit_after_a_stale_entry(world)


def refusal_by_a_head_that_was_removed(world: World) -> list[Any]:
    """What a, cut off and still the head of view 1, answers to a change that builds on a newer state."""
    world.put(0)
    world.split("a", "bc")
    assert world.go(5.0, lambda: world.chain() == "bc")
    world.put(1)
    told: list[Any] = []
    change = world.change(2)
    world.submit(world.nodes["a"], change, told.append)
    world.go(0.5)
    world.submit(world.nodes["b"], change)  # the operator's next attempt
    world.go(1.0)
    return told


def test_a_head_that_was_removed_refuses_nothing() -> None:
    told = refusal_by_a_head_that_was_removed(formed())
    assert not any(isinstance(error, VersionConflictError) for error in told)


def test_without_asking_a_majority_a_change_is_refused_and_in_force() -> None:
    with pytest.raises(ViolationError):
        refusal_by_a_head_that_was_removed(formed(**mutation("RefusesWithoutAsking")))


def test_a_read_whose_question_to_the_acceptors_is_lost_is_answered_all_the_same() -> None:
    world = formed()
    world.put(0)
    stop = lose(world, "view-check")
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(0.1)
    stop()
    world.go(2 * RESEND_INTERVAL_S)
    assert [state.ids for state in answers] == [("c1",)]


def test_a_question_that_nobody_answers_is_given_up() -> None:
    world = formed()
    world.put(0)
    lose(world, "view-check")
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(CONFIRMATION_TIMEOUT_S + 0.2)
    assert answers == [None]
    world.spy = True
    world.go(1.0)
    assert not [message for _, _, _, message in world.seen if message[0] == "view-check"]
