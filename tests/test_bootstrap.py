"""View 1 is created once, whatever the order of starts, losses and repeated messages."""

from itertools import permutations

import pytest

from plumline.coordination.bootstrap import LATER_START_WAIT_S
from plumline.coordination.view import View
from tests.core_world import World


@pytest.mark.parametrize("order", list(permutations("abc")))
def test_three_seeds_create_one_view_in_any_order(order: tuple[str, ...]) -> None:
    world = World(1, quiet=True, start=False)
    for name in order:
        assert not world.views
        world.start(world.nodes[name])
        world.go(0.7)
    world.settle()
    world.go(3.0)
    assert list(world.views) == [1]
    assert world.chain() == "abc"


@pytest.mark.parametrize("killed", "abc")
def test_a_seed_killed_before_its_first_sync(killed: str) -> None:
    world = World(2, quiet=True, start=False)
    for node in world.nodes.values():
        world.start(node)
    world.go(0.001)
    assert not world.nodes[killed].disk
    world.crash(world.nodes[killed], keep=0)
    world.go(0.3)
    assert not world.views  # one seed is missing
    world.start(world.nodes[killed])
    world.settle()
    assert (killed, f"{killed}-2") in world.views[1].acceptors


def test_a_majority_of_seeds_creates_no_view() -> None:
    world = World(3, quiet=True, start=False)
    world.start(world.nodes["a"])
    world.start(world.nodes["b"])
    world.go(30.0)
    assert not world.views


def test_messages_of_an_earlier_run_of_the_founder_have_no_effect_after_a_new_query() -> None:
    world = World(4, quiet=True, start=False)
    b = world.nodes["b"]
    world.start(b)
    world.go(0.1)
    old, new = ("a", "a-1"), ("a", "a-2")
    stale = View(1, (old, b.member, ("c", "c-1")), (old, b.member, ("c", "c-1")))
    fresh = View(1, (new, b.member, ("c", "c-1")), (new, b.member, ("c", "c-1")))
    world.deliver("a", "b", ["found-ask", "first"])
    world.deliver("a", "b", ["found-ask", "second"])
    world.deliver("a", "b", ["found-view", "first", stale.to_wire()])
    world.go(1.0)
    assert not world.views
    world.deliver("a", "b", ["found-view", "second", fresh.to_wire()])
    world.go(1.0)
    assert world.views == {1: fresh}


def test_a_delayed_duplicate_of_an_old_query_has_no_effect() -> None:
    """The founder uses the answer to its second query; b must not return to the first."""
    world = World(4, quiet=True, start=False)
    b = world.nodes["b"]
    world.start(b)
    world.go(0.1)
    old = ("a", "a-1")
    stale = View(1, (old, b.member, ("c", "c-1")), (old, b.member, ("c", "c-1")))
    world.deliver("a", "b", ["found-ask", "first"])
    world.deliver("a", "b", ["found-ask", "second"])
    world.deliver("a", "b", ["found-ask", "first"])
    world.deliver("a", "b", ["found-view", "first", stale.to_wire()])
    world.go(1.0)
    assert not world.views


def test_a_later_start_with_all_disks_empty_creates_a_view_only_after_a_wait() -> None:
    world = World(5, quiet=True, first_start=False)
    world.go(LATER_START_WAIT_S)
    assert not world.views
    world.settle(within=LATER_START_WAIT_S)


def test_a_later_start_creates_no_view_while_a_configuration_is_known() -> None:
    world = World(6, quiet=True, first_start=False)
    for node in world.nodes.values():
        node.is_configuration_known = True
    world.go(3 * LATER_START_WAIT_S)
    assert not world.views


def test_a_wiped_seed_creates_no_second_first_view() -> None:
    world = World(7, quiet=True)
    world.settle()
    world.put(0)
    world.wipe(world.nodes["a"])  # the founder
    world.start(world.nodes["a"])
    world.settle()
    assert world.newest.number > 1
    assert ("a", "a-2") in world.newest.acceptors
    assert world.ids("a") == ("c1",)
