"""Membership reconciliation: complete cores whose view must follow the healthy machines."""

from typing import Any

import pytest

from plumline.coordination.failure_detector import FORGET_TIMEOUT_S, SUSPECT_TIMEOUT_S
from plumline.coordination.lease import LeaseDurations
from plumline.coordination.membership import PendingHandover
from tests.core_mutations import mutation
from tests.core_world import World


def settled_world(seed: int = 1, size: int = 3, **kwargs: int) -> World:
    world = World(seed, size, quiet=True, **kwargs)
    world.settle()
    return world


@pytest.mark.parametrize("name", "abc")
def test_a_restart_shorter_than_the_suspicion_timeout_changes_no_view(name: str) -> None:
    world = settled_world()
    world.put(0)
    world.crash(world.nodes[name])
    world.go(SUSPECT_TIMEOUT_S / 4)
    world.start(world.nodes[name])
    world.go(3.0)
    assert list(world.views) == [1]


def test_a_restart_of_all_at_once_changes_no_view() -> None:
    world = settled_world()
    world.put(0)
    for node in world.nodes.values():
        world.crash(node)
    for node in world.nodes.values():
        world.start(node)
    world.go(3.0)
    assert list(world.views) == [1]


@pytest.mark.parametrize("name", "abc")
def test_a_silent_member_is_removed_and_rejoins_as_the_tail(name: str) -> None:
    world = settled_world()
    world.put(0)
    world.crash(world.nodes[name])
    rest = "".join(sorted(set("abc") - {name}))
    assert world.go(3 * SUSPECT_TIMEOUT_S, lambda: world.chain() == rest)
    world.put(1)
    world.start(world.nodes[name])
    world.settle()
    assert world.chain() == rest + name
    assert world.ids(name) == world.ids(rest[0]) == ("c1", "c2")


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a"), ("b", "c"), ("c", "b")])
def test_a_one_way_partition_between_neighbours_is_repaired(pair: tuple[str, str]) -> None:
    world = settled_world()
    world.cut.add(pair)
    world.go(8.0)
    world.put(0)
    world.cut = set()
    world.settle()


def test_a_partition_between_members_that_are_no_neighbours_changes_no_view() -> None:
    world = settled_world()
    world.cut |= {("a", "c"), ("c", "a")}
    world.go(8.0)
    assert list(world.views) == [1]
    world.put(0)


def test_a_member_with_an_unhealthy_disk_is_removed_and_rejoins() -> None:
    world = settled_world()
    world.nodes["b"].core.disk_unhealthy = True
    assert world.go(3.0, lambda: world.chain() == "ac")
    world.put(0)
    world.nodes["b"].core.disk_unhealthy = False
    world.settle()
    assert world.chain() == "acb"


@pytest.mark.parametrize("name", "abc")
def test_a_draining_member_is_removed(name: str) -> None:
    world = settled_world()
    world.nodes[name].core.membership.draining = True
    world.settle("".join(sorted(set("abc") - {name})), within=3.0)
    world.put(0)


def test_three_machines_are_replaced_one_after_the_other() -> None:
    world = World(3, 6, quiet=True, start=False, seeds=3)
    for name in "abc":
        world.start(world.nodes[name])
    world.settle()
    for number, (old, new) in enumerate(zip("abc", "def", strict=True)):
        world.put(number)
        world.crash(world.nodes[old])
        world.seeds = sorted({*world.seeds, new} - {old})
        for node in world.nodes.values():
            if node.core:
                node.core.seeds = world.seeds
        world.start(world.nodes[new])
        world.settle(within=30.0)
        world.go(3.0)
    world.go(2 * FORGET_TIMEOUT_S)
    world.put(3)
    assert sorted(address for address, _ in world.newest.acceptors) == ["d", "e", "f"]
    assert all(len(world.ids(name)) == 4 for name in "def")


def test_a_machine_absent_for_long_is_still_an_acceptor_when_the_next_one_is_lost() -> None:
    """Two acceptors would tolerate no loss, so the third stays an acceptor however long it is absent."""
    world = settled_world()
    world.put(0)
    world.crash(world.nodes["c"])
    world.go(3 * FORGET_TIMEOUT_S)
    world.wipe(world.nodes["a"])
    world.start(world.nodes["c"])
    world.start(world.nodes["a"])
    world.go(20.0)
    world.put(1)
    world.settle()


def test_a_learner_that_has_not_caught_up_never_becomes_the_head() -> None:
    world = settled_world()
    world.put(0)
    world.crash(world.nodes["c"])
    world.go(2.0)
    world.put(1)
    world.split("b", "c")  # admitted, but cut off from its predecessor before it has caught up
    world.start(world.nodes["c"])
    for _ in range(200):
        world.go(0.05)
        if "c" in world.chain():
            break
        if world.nodes["c"].core.view_agreement.view == world.newest:
            world.cut = {("b", "c")} if world.now % 1 < 0.5 else set()
    world.cut = {("b", "c"), ("c", "b")}
    world.go(0.5)
    world.crash(world.nodes["a"])
    world.go(5.0)
    world.start(world.nodes["a"])
    world.crash(world.nodes["b"])
    world.go(10.0)
    world.start(world.nodes["b"])
    world.cut = set()
    world.settle(within=30.0)
    assert world.ids("a")[:2] == world.ids("c")[:2] == ("c1", "c2")


def test_the_chain_is_not_made_too_short_to_commit() -> None:
    """A chain with too few replicas can commit nothing, and its entries are lost with its only member."""
    world = settled_world()
    world.put(0)
    world.crash(world.nodes["c"])
    assert world.go(3.0, lambda: world.chain() == "ab")
    world.cut = {("a", "b"), ("b", "a")}
    world.start(world.nodes["c"])
    world.go(10.0)
    assert all(len(view.chain) >= world.copies for view in world.views.values())


def world_with_spare(**kwargs: Any) -> World:  # noqa: ANN401
    """Three machines that have formed a core, and a fourth that has not started."""
    world = World(1, 4, quiet=True, start=False, seeds=3, **kwargs)
    for name in "abc":
        world.start(world.nodes[name])
    world.settle("abc")
    world.put(0)
    world.first_start = False
    return world


def local_time(world: World, name: str) -> float:
    return world.now + world.nodes[name].offset


def addresses(members: tuple[tuple[str, str], ...]) -> str:
    return "".join(sorted(address for address, _ in members))


@pytest.mark.parametrize("lost", "abc")
def test_a_new_member_replaces_the_acceptor_that_is_lost(lost: str) -> None:
    world = world_with_spare()
    world.crash(world.nodes[lost])
    rest = "".join(sorted(set("abc") - {lost}))
    world.settle(rest)
    world.start(world.nodes["d"])
    world.settle(rest + "d")
    assert addresses(world.newest.acceptors) == rest + "d"
    assert all(len(view.acceptors) == 3 for view in world.views.values())


@pytest.mark.parametrize("second", "abd")
def test_a_loss_right_after_a_replacement_is_tolerated(second: str) -> None:
    """The second loss comes at the moment at which the new member is admitted."""
    world = world_with_spare()
    world.crash(world.nodes["c"])
    world.settle("ab")
    world.start(world.nodes["d"])
    assert world.go(5.0, lambda: "d" in world.chain())
    world.crash(world.nodes[second])
    world.settle("".join(sorted(set("abd") - {second})))
    world.put(1)


def test_a_thawed_registrar_removes_no_member_before_it_gets_echoes() -> None:
    world = settled_world()
    world.put(0)
    for node in world.nodes.values():
        world.freeze(node, 3.0)
    world.go(10.0)
    assert list(world.views) == [1]


def test_a_chain_is_not_shortened_to_a_member_that_has_not_answered() -> None:
    """a is down but not suspected yet: without b, c would be the only one of two required replicas."""
    world = settled_world()
    world.put(0)
    for node in world.nodes.values():
        world.crash(node)
    world.start(world.nodes["b"])
    world.start(world.nodes["c"])
    world.go(0.2)
    world.nodes["b"].core.begin_draining(local_time(world, "b"))
    world.go(5.0)
    assert list(world.views) == [1]
    assert world.nodes["b"].core.pending_handover(local_time(world, "b")) is PendingHandover.REPLICA
    world.start(world.nodes["a"])
    world.settle("ac")


@pytest.mark.parametrize("name", "abc")
def test_a_draining_member_of_three_hands_over_soon_and_stays_an_acceptor(name: str) -> None:
    world = settled_world()
    world.put(0)
    core = world.nodes[name].core
    core.begin_draining(local_time(world, name))
    assert core.pending_handover(local_time(world, name)) is PendingHandover.REPLICA
    assert world.go(1.0, lambda: core.pending_handover(local_time(world, name)) is None)
    assert name not in world.chain()
    assert addresses(world.newest.acceptors) == "abc"


def test_a_draining_member_with_a_successor_is_no_acceptor_when_it_ends() -> None:
    """Four acceptors, one of which has just exited, would not tolerate the loss of another."""
    world = world_with_spare()
    world.start(world.nodes["d"])
    world.settle("abcd")
    core = world.nodes["c"].core
    core.begin_draining(local_time(world, "c"))
    assert world.go(2.0, lambda: core.pending_handover(local_time(world, "c")) is None)
    world.crash(world.nodes["c"])
    assert addresses(world.newest.acceptors) == "abd"
    world.wipe(world.nodes["a"])
    world.settle("bd")
    world.put(1)


def test_a_draining_member_waits_while_another_is_absent() -> None:
    world = settled_world()
    world.put(0)
    world.crash(world.nodes["c"])
    world.settle("ab")
    core = world.nodes["a"].core
    core.begin_draining(local_time(world, "a"))
    world.go(5.0)
    assert core.pending_handover(local_time(world, "a")) is PendingHandover.REPLICA
    world.start(world.nodes["c"])
    assert world.go(5.0, lambda: core.pending_handover(local_time(world, "a")) is None)
    assert world.chain() == "bc"


def test_a_draining_registrar_releases_its_leases() -> None:
    world = World(1, 3, quiet=True, start=False)
    world.leases = {"weights": LeaseDurations(1.0, 3.0)}
    for node in world.nodes.values():
        world.start(node)
    world.settle()
    for name, node in world.nodes.items():
        node.core.campaign(local_time(world, name), "weights")

    def holders() -> str:
        held = (
            name
            for name, node in world.nodes.items()
            if node.core
            and node.core.lease_election.fencing_token(local_time(world, name), "weights") is not None
        )
        return "".join(held)

    assert world.go(5.0, lambda: bool(holders()))
    first = holders()
    core = world.nodes[first].core
    core.begin_draining(local_time(world, first))
    assert holders() == ""
    assert world.go(1.0, lambda: core.pending_handover(local_time(world, first)) is None)
    world.crash(world.nodes[first])
    assert not world.go(1.9, lambda: bool(holders()))  # the lock delay
    assert world.go(2.0, lambda: bool(holders()))


def test_a_registrar_that_reaches_no_majority_proposes_nothing() -> None:
    world = settled_world(size=4)
    world.put(0)
    world.spy = True
    world.split("b", "ac")
    world.settle("acd")
    world.go(3.0)
    assert not [to for _, who, to, message in world.seen if who == "b" and message[0] == "view-prepare"]


def test_a_draining_member_is_removed_from_more_acceptors_than_needed() -> None:
    """It had left the chain before, so only its role as an acceptor remains to be handed over."""
    world = settled_world(size=4)
    world.put(0)
    core = world.nodes["c"].core
    core.disk_unhealthy = True
    world.settle("abd")
    world.go(0.5)
    core.begin_draining(local_time(world, "c"))
    assert core.pending_handover(local_time(world, "c")) is PendingHandover.ACCEPTOR
    assert world.go(1.0, lambda: core.pending_handover(local_time(world, "c")) is None)
    assert addresses(world.newest.acceptors) == "abd"


def test_a_view_change_keeps_members_that_only_its_proposer_cannot_reach() -> None:
    world = settled_world(size=4)
    world.put(0)
    world.cut |= {("a", "d"), ("d", "a")}
    world.go(2.0)
    world.nodes["b"].core.begin_draining(local_time(world, "b"))
    world.go(2.0)
    assert [addresses(view.chain) for view in world.views.values()] == ["abcd", "acd"]
    assert addresses(world.newest.acceptors) == "acd"


def test_a_draining_member_waits_until_others_report_to_be_caught_up() -> None:
    world = settled_world()
    world.put(0)
    core = world.nodes["c"].core
    core.begin_draining(local_time(world, "c"))
    assert world.go(1.0, lambda: core.local_member not in core.view_agreement.view.chain)
    assert core.pending_handover(local_time(world, "c")) is PendingHandover.REPLICA
    assert world.go(1.0, lambda: core.pending_handover(local_time(world, "c")) is None)


def test_a_second_loss_right_after_a_replacement_among_five_is_tolerated() -> None:
    world = World(1, 6, quiet=True, start=False, seeds=5, copies=3)
    for name in "abcde":
        world.start(world.nodes[name])
    world.settle("abcde")
    world.put(0)
    world.first_start = False
    world.crash(world.nodes["d"])
    world.crash(world.nodes["e"])
    world.settle("abc")
    world.start(world.nodes["f"])
    assert world.go(5.0, lambda: "f" in world.chain())
    assert len(world.newest.acceptors) == 5
    world.crash(world.nodes["a"])
    world.settle("bcf")
    world.put(1)


def recovers_from_a_disk_lost_as_a_replaced_machine_is_killed(world: World) -> bool:
    world.start(world.nodes["d"])
    world.settle("abcd")
    world.crash(world.nodes["a"])
    world.wipe(world.nodes["d"])
    world.start(world.nodes["d"])
    return world.go(7.0, lambda: world.chain() == "bcd")


def test_a_disk_lost_just_as_a_replaced_machine_is_killed_is_tolerated() -> None:
    """The successor has had time to catch up, so one loss is allowed again; the old machine still votes."""
    world = world_with_spare()
    assert recovers_from_a_disk_lost_as_a_replaced_machine_is_killed(world)
    world.put(1)


def test_with_a_fourth_acceptor_the_core_does_not_recover_from_that() -> None:
    world = world_with_spare(**mutation("AddsAFourthAcceptor"))
    assert not recovers_from_a_disk_lost_as_a_replaced_machine_is_killed(world)
    assert not world.go(20.0, lambda: world.chain() == "bcd")


def world_with_successor() -> World:
    """Four machines in the chain, three of them acceptors: the fourth had no acceptor to replace."""
    world = world_with_spare()
    world.start(world.nodes["d"])
    world.settle("abcd")
    assert addresses(world.newest.acceptors) == "abc"
    return world


@pytest.mark.parametrize("lost", "abc")
def test_a_successor_replaces_the_acceptor_that_is_lost(lost: str) -> None:
    world = world_with_successor()
    world.crash(world.nodes[lost])
    rest = "".join(sorted(set("abc") - {lost}))
    world.settle(rest + "d")
    assert addresses(world.newest.acceptors) == rest + "d"
    assert all(len(view.acceptors) == 3 for view in world.views.values())
    world.put(1)


@pytest.mark.parametrize("lost", "abc")
def test_a_successor_whose_disk_is_lost_as_any_acceptor_is_killed_is_tolerated(lost: str) -> None:
    world = world_with_successor()
    world.crash(world.nodes[lost])
    world.wipe(world.nodes["d"])
    world.start(world.nodes["d"])
    rest = "".join(sorted(set("abc") - {lost}))
    world.settle(rest + "d")
    world.put(1)


def test_a_tail_that_is_no_acceptor_admits_learners() -> None:
    world = world_with_successor()
    world.nodes["b"].core.disk_unhealthy = True
    assert world.go(3.0, lambda: world.chain() == "acd")
    world.nodes["b"].core.disk_unhealthy = False
    world.settle("abcd")
    assert world.chain() == "acdb"
    assert addresses(world.newest.acceptors) == "abc"


def test_a_draining_acceptor_waits_until_a_chain_member_has_replaced_it() -> None:
    """It had left the chain before, so only its role as an acceptor remains to be handed over."""
    world = world_with_successor()
    core = world.nodes["c"].core
    core.disk_unhealthy = True
    world.settle("abd")
    world.go(0.5)
    core.begin_draining(local_time(world, "c"))
    assert core.pending_handover(local_time(world, "c")) is PendingHandover.ACCEPTOR
    assert world.go(1.0, lambda: core.pending_handover(local_time(world, "c")) is None)
    assert addresses(world.newest.acceptors) == "abd"
