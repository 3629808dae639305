"""Messages of an older view, or replies of a replaced chain, that arrive late: directed schedules, each run
with the check that guards against them and without it."""

from typing import Any

import pytest

from plumline.coordination.read_barrier import CONFIRMATION_TIMEOUT_S, RESEND_INTERVAL_S
from plumline.coordination.replica_status import ReplicaStatus
from plumline.errors import VersionConflictError
from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_world import World
from tests.test_activation import drop_messages


def formed(**kwargs: Any) -> World:  # noqa: ANN401
    world = World(1, 3, quiet=True, **kwargs)
    world.settle()
    return world


def world_with_lagging_member(**kwargs: Any) -> World:  # noqa: ANN401
    """The chain is a, b and c; c lacks the newest change, as the messages with it are lost."""
    world = formed(**kwargs)
    world.put(0)
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    world.put(1)
    world.start(world.nodes["c"])
    replica = world.nodes["c"].core.chain
    assert world.go(2.0, lambda: replica.status() is ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP)
    send = world.send

    def drop_entries_to_c(sender: str, to: str, message: list[Any]) -> None:
        if to != "c" or message[0] not in ("chain-entry", "chain-floor", "chain-lesson"):
            send(sender, to, message)

    world.send = drop_entries_to_c  # type: ignore[method-assign]
    world.put(2)
    assert world.go(5.0, lambda: world.chain() == "abc")
    world.go(1.0)
    return world


def read_after_a_stale_target(world: World) -> list[Any]:
    """The catch-up target that b sent in view 1 reaches c late; then c is read."""
    world.deliver("b", "c", ["chain-floor", 1, 1])
    world.go(1.0)
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(0.5)
    return answers


def test_a_catch_up_target_of_an_older_view_makes_nobody_caught_up() -> None:
    assert read_after_a_stale_target(world_with_lagging_member()) == [None]


def test_without_the_view_number_check_a_stale_target_exposes_an_older_state() -> None:
    world = world_with_lagging_member(**mutation("TakesReportsOfAnyView"))
    with pytest.raises(ViolationError):
        read_after_a_stale_target(world)


def commit_after_a_stale_entry(world: World) -> list[Any]:
    """An entry of the head of view 1, forwarded by b, reaches c in a view with another head."""
    world.put(0)
    world.split("a", "bc")
    assert world.go(5.0, lambda: world.chain() == "bc")
    world.go(0.5)  # until both have installed that view
    stale = world.change(1)
    world.deliver("b", "c", ["chain-entry", 1, 2, stale])
    world.go(0.2)
    world.put(1)
    return stale


def test_an_entry_of_an_older_view_is_ignored() -> None:
    world = formed()
    stale = commit_after_a_stale_entry(world)
    world.go(1.0)
    assert world.ids("b") == world.ids("c")
    assert stale[2] not in world.ids("c")


def test_without_the_view_number_check_a_stale_entry_makes_replicas_differ() -> None:
    world = formed(**mutation("TakesEntriesOfAnyView"))
    with pytest.raises(ViolationError):
        commit_after_a_stale_entry(world)


def refusal_by_a_head_that_was_removed(world: World) -> list[Any]:
    """What a, partitioned and still the head of view 1, replies to a change based on a newer state."""
    world.put(0)
    world.split("a", "bc")
    assert world.go(5.0, lambda: world.chain() == "bc")
    world.put(1)
    results: list[Any] = []
    change = world.change(2)
    world.submit(world.nodes["a"], change, results.append)
    world.go(0.5)
    world.submit(world.nodes["b"], change)  # the operator's next attempt
    world.go(1.0)
    return results


def test_a_head_that_was_removed_refuses_nothing() -> None:
    results = refusal_by_a_head_that_was_removed(formed())
    assert not any(isinstance(error, VersionConflictError) for error in results)


def test_without_confirmation_of_the_view_a_change_is_refused_and_committed() -> None:
    with pytest.raises(ViolationError):
        refusal_by_a_head_that_was_removed(formed(**mutation("RefusesWithoutConfirmation")))


def test_a_read_is_answered_although_its_first_view_check_is_lost() -> None:
    world = formed()
    world.put(0)
    stop = drop_messages(world, "view-check")
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(0.1)
    stop()
    world.go(2 * RESEND_INTERVAL_S)
    assert [state.ids for state in answers] == [("c1",)]


def test_a_view_check_without_replies_is_denied_after_the_timeout() -> None:
    world = formed()
    world.put(0)
    drop_messages(world, "view-check")
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(CONFIRMATION_TIMEOUT_S + 0.2)
    assert answers == [None]
    world.spy = True
    world.go(1.0)
    assert not [message for _, _, _, message in world.seen if message[0] == "view-check"]
