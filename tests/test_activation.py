"""Activation of views: nothing is committed before it, and a view never activated can be abandoned."""

from collections.abc import Callable
from typing import Any

import pytest

from plumline.coordination.environment import Member
from plumline.coordination.failure_detector import MAX_PINGS_WITHOUT_FEATURES, PING_INTERVAL_S
from plumline.coordination.view import ActivatedView, View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import decode_message, decode_record
from tests import core_mutations
from tests.activation_model import ABANDONING_VIEW, OTHER_PROPOSALS, QUORUMS, explore
from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_schedule import explore as explore_schedules
from tests.core_world import World


def settled_world(seed: int = 1, **kwargs: Any) -> World:  # noqa: ANN401
    world = World(seed, 3, quiet=True, **kwargs)
    world.settle()
    return world


def drop_messages(world: World, *kinds: str) -> Callable[[], None]:
    """Drops all messages of these kinds until the returned function is called."""
    send = world.send

    def selective(sender: str, to: str, message: list[Any]) -> None:
        if message[0] not in kinds:
            send(sender, to, message)

    def stop() -> None:
        world.send = send  # type: ignore[method-assign]

    world.send = selective  # type: ignore[method-assign]
    return stop


def test_nothing_is_acknowledged_or_read_before_a_majority_has_recorded_the_activation() -> None:
    world = settled_world()
    world.put(0)
    stop = drop_messages(world, "view-activated")
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    results: list[Any] = []
    world.go(0.5)
    world.submit(world.nodes["a"], world.change(1), results.append)
    world.go(3.0)
    answers: list[Any] = []
    world.read(world.nodes["b"], answers.append)
    assert (results, answers) == ([], [None])
    stop()
    assert world.go(1.0, lambda: results == [None])


def world_with_lagging_learner(**kwargs: Any) -> World:  # noqa: ANN401
    """The chain is a and c, which cannot catch up. b holds all entries; it was down and is back."""
    world = settled_world(**kwargs)
    world.put(0)
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    world.put(1)
    drop_messages(world, "chain-entry", "chain-floor")
    world.start(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "abc")
    world.crash(world.nodes["b"])
    assert world.go(6.0, lambda: world.chain() == "ac")
    world.start(world.nodes["b"])
    world.go(1.0)
    return world


def test_the_source_that_was_removed_takes_over_from_a_head_whose_disk_is_lost() -> None:
    world = world_with_lagging_learner()
    assert world.newest.base == ActivatedView(2, (Member("a", "a-1"), Member("b", "b-1")))
    world.wipe(world.nodes["a"])
    world.start(world.nodes["a"])
    assert world.go(5.0, lambda: world.chain().startswith("b"))
    assert world.newest.base.number == 2
    del world.send  # no more messages are dropped
    world.settle("abc")
    world.put(2)
    assert world.ids("b") == ("c1", "c2", "c3")


def test_without_abandoning_views_the_core_does_not_recover() -> None:
    world = world_with_lagging_learner(**mutation("NeverAbandons"))
    world.wipe(world.nodes["a"])
    world.start(world.nodes["a"])
    assert not world.go(20.0, lambda: world.chain().startswith("b"))


def entries_sent_to_the_source(world: World) -> list[Any]:
    """Committed entries sent to b, a learner in a view that is not activated and a source of its base."""
    world.spy, world.seen = True, []
    world.go(3.0)
    return [message for _, _, to, message in world.seen if (to, message[0]) == ("b", "chain-lesson")]


def test_a_source_keeps_its_entries_until_the_view_without_it_is_activated() -> None:
    world = world_with_lagging_learner()
    assert entries_sent_to_the_source(world) == []  # it would discard its uncommitted entries
    del world.send  # c catches up now, and the view is activated
    assert entries_sent_to_the_source(world)


def test_without_the_guard_a_source_is_served_before_activation() -> None:
    assert entries_sent_to_the_source(world_with_lagging_learner(**mutation("ServesSourcesBeforeActivation")))


def test_entries_of_an_abandoned_view_are_rolled_back_and_their_callers_get_an_error() -> None:
    world = settled_world()
    world.put(0)
    drop_messages(world, "view-activate")
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    head = world.nodes["a"].core.chain
    results: list[Any] = []
    world.submit(world.nodes["a"], world.change(1), results.append)
    world.go(0.5)
    assert head.last_index == 2
    assert results == []
    view = world.newest
    abandoning = View(view.number + 1, view.acceptors, view.chain, view.base)
    head.install_view(abandoning)
    assert head.last_index == 1
    assert len(results) == 1
    assert results[0] is not None
    head.install_view(abandoning)  # as after a restart
    assert head.last_index == 1


def world_with_unactivated_view() -> World:
    world = settled_world()
    drop_messages(world, "view-activate")
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    world.go(1.0)
    world.spy = True
    return world


def replies(world: World, kind: str) -> list[Any]:
    return [message for _, who, to, message in world.seen if (who, to, message[0]) == ("a", "b", kind)]


@pytest.mark.parametrize("restarts", [False, True])
def test_an_acceptor_that_promised_to_abandon_a_view_does_not_activate_it(restarts: bool) -> None:
    world = world_with_unactivated_view()
    world.deliver("b", "a", ["view-prepare", 3, [90, "b"], True])
    world.go(0.01)
    assert replies(world, "view-promise") == [["view-promise", 3, [90, "b"], None, False]]
    if restarts:
        world.crash(world.nodes["a"], keep=0)
        world.start(world.nodes["a"])
    world.deliver("b", "a", ["view-activate", 2])
    world.go(0.01)
    assert replies(world, "view-abandoned") == [["view-abandoned", 2]]
    assert replies(world, "view-activated") == []


@pytest.mark.parametrize("restarts", [False, True])
def test_an_acceptor_that_activated_a_view_reports_so_in_its_promise(restarts: bool) -> None:
    world = world_with_unactivated_view()
    world.deliver("b", "a", ["view-activate", 2])
    world.go(0.01)
    assert replies(world, "view-activated") == [["view-activated", 2]]
    if restarts:
        world.crash(world.nodes["a"], keep=0)
        world.start(world.nodes["a"])
    world.deliver("b", "a", ["view-prepare", 3, [90, "b"], True])
    world.go(0.01)
    assert replies(world, "view-promise") == [["view-promise", 3, [90, "b"], None, True]]


# Releases without activation


def test_a_view_has_no_base_while_a_registrar_of_an_earlier_release_is_there() -> None:
    world = settled_world()
    stop = drop_messages(world, "features")
    for name in "ab":  # discards what c reported before its process was replaced by an earlier release
        world.nodes[name].core.failure_detector.peers["c"].features = frozenset()
    world.go((MAX_PINGS_WITHOUT_FEATURES + 4) * PING_INTERVAL_S)
    world.nodes["c"].core.disk_unhealthy = True
    assert world.go(3.0, lambda: world.chain() == "ab")
    assert world.newest.base is None
    stop()
    world.go(2.0)
    world.nodes["c"].core.disk_unhealthy = False
    world.settle("abc")
    assert world.newest.base is not None
    world.put(0)


def test_a_view_with_a_base_is_followed_by_one_without_for_an_earlier_release() -> None:
    world = settled_world()
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    world.start(world.nodes["c"])
    world.settle("abc")
    assert world.newest.base is not None
    drop_messages(world, "features")
    assert world.go(10.0, lambda: world.newest.base is None)
    world.settle("abc")
    world.put(0)


# Encoding on the wire and on the disk


def test_a_view_is_decoded_as_it_was_encoded() -> None:
    for view in (
        ABANDONING_VIEW,
        *OTHER_PROPOSALS,
        View(1, ABANDONING_VIEW.acceptors, ABANDONING_VIEW.chain),
    ):
        assert View.from_wire(view.to_wire()) == view
        assert len(view.to_wire_without_base()) == 3


@pytest.mark.parametrize(
    "wire",
    [[3, [], []] + [[1, []]] * 2, [3, [], [], [1]], [3, [], [], [1, ["a"]]], [3, [], [], ["x", []]], 3],
)
def test_a_malformed_view_is_refused(wire: Any) -> None:  # noqa: ANN401
    with pytest.raises((ValueError, TypeError)):
        decode_message(["view-decided", wire])


def test_the_base_is_written_before_its_view() -> None:
    world = settled_world()
    world.crash(world.nodes["c"])
    assert world.go(5.0, lambda: world.chain() == "ab")
    for record_kind in ("view", "accept"):
        kinds = [record[0] for record in world.nodes["a"].disk]
        if f"{record_kind}-base" in kinds:
            assert kinds[kinds.index(f"{record_kind}-base") + 1] == record_kind
    restored = ViewAgreement(world.nodes["a"].member, None, lambda view: None)  # type: ignore[arg-type]
    for record in world.nodes["a"].core.view_agreement.records():
        assert decode_record(record) is not None
        restored.restore(record)
    assert restored.view == world.newest
    assert restored.view.base == ActivatedView(1, world.views[1].chain)


# All orders of events for one view, and random schedules


@pytest.mark.parametrize("quorums", [("ab", "bc", "ac", "ab", "ac"), ("bc", "ab", "ac", "bc", "ab")])
@pytest.mark.parametrize("other", OTHER_PROPOSALS)
def test_no_order_of_events_activates_and_abandons_a_view(other: View, quorums: tuple[str, ...]) -> None:
    """Explores two of the 243 combinations of majorities; a run of all of them is started manually."""
    counts = explore(ViewAgreement, other, quorums)
    print(dict(counts))
    assert counts["states"] > 1000
    assert counts["activated"] > 100
    assert counts["accepted"] > 100


@pytest.mark.parametrize(
    ("guard", "other", "last"),
    [
        ("ActivatesAbandonedView", 0, "ab"),
        ("OmitsActivationFromPromise", 0, "ac"),
        ("ForgetsActivation", 1, "ac"),
        ("ForgetsAbandoning", 0, "ac"),
    ],
)
def test_the_model_detects_a_removed_guard(guard: str, other: int, last: str) -> None:
    with pytest.raises(ViolationError) as caught:
        explore(getattr(core_mutations, guard), OTHER_PROPOSALS[other], (*(QUORUMS[0],) * 4, last))
    print(caught.value)


@pytest.mark.parametrize(
    ("guard", "first"),
    [
        ("CommitsBeforeActivation", 54),
        ("NeverAbandons", 2013),
        ("KeepsEntriesOfAbandonedViews", 120),
        ("RollsBackInTheSameView", 0),
    ],
)
def test_schedules_detect_a_removed_activation_guard(guard: str, first: int) -> None:
    """`first`: the first seed; starting from 0 would take long."""
    with pytest.raises(ViolationError) as caught:
        explore_schedules(
            range(first, first + 40), 3, seconds=30.0, unrestricted_wipes=True, **mutation(guard)
        )
    print(caught.value)


@pytest.mark.parametrize("size", [3, 5])
def test_the_core_recovers_from_a_disk_lost_at_any_moment(size: int) -> None:
    """Other machines are killed, frozen and cut off meanwhile. Before views were activated, the core did not
    recover in one schedule of eighty."""
    counts = explore_schedules(
        range(2060, 2060 + 150 // size), size, seconds=30.0, unrestricted_wipes=True, copies=(size + 1) // 2
    )
    print(size, dict(counts))
    assert counts["wipe"] > counts["schedules"]
    assert counts["acknowledged"] > 3 * counts["schedules"]
