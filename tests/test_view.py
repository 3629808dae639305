"""Agreement on views in scripted cases: majority decisions, and votes that are synced before answers."""

from random import Random

from plumline.coordination.lease import LeaseDurations
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from tests.core_world import World


def settled_world(seed: int = 1, size: int = 3) -> World:
    world = World(seed, size, quiet=True)
    world.settle()
    return world


def successor_without(view: View, name: str) -> View:
    chain = tuple(each for each in view.chain if each[0] != name)
    return View(view.number + 1, view.acceptors, chain)


def test_a_majority_decides_and_the_third_learns_later() -> None:
    world = settled_world()
    world.freeze(world.nodes["c"], 3.0)
    world.go(2.0)
    assert world.views[2].chain == (("a", "a-1"), ("b", "b-1"))
    assert world.nodes["c"].core.view_agreement.view.number == 1
    world.settle()


def test_a_minority_decides_nothing() -> None:
    world = settled_world()
    world.split("a", "bc")
    world.go(20.0)
    assert world.nodes["a"].core.view_agreement.view.number == 1
    assert world.newest.chain[0] == ("b", "b-1")


def test_no_view_is_decided_when_all_are_isolated() -> None:
    world = settled_world()
    world.split("a", "b", "c")
    world.go(20.0)
    assert list(world.views) == [1]
    world.cut = set()
    world.settle()


def test_dueling_proposers_decide_one_view() -> None:
    for seed in range(30):
        world = settled_world(seed)
        world.jitter_s = 0.01
        view, now = world.newest, world.now
        for name, excluded in (("a", "b"), ("c", "a"), ("b", "c")):
            core = world.nodes[name].core
            core.view_agreement.propose(
                now + world.nodes[name].offset, Random(seed), successor_without(view, excluded)
            )
        assert world.go(10.0, lambda world=world: len(world.views) > 1)
        world.settle()


def test_promise_and_acceptance_are_synced_before_they_are_sent() -> None:
    world = settled_world()
    world.spy, world.sync_delays = True, (0.1,)
    a, view = world.nodes["a"], world.newest
    prepare = ["view-prepare", 2, [7, "b"]]
    accept = ["view-accept", 2, [7, "b"], successor_without(view, "c").to_wire()]
    for kind, reply_kind, message in (
        ("promise", "view-promise", prepare),
        ("accept", "view-accepted", accept),
    ):
        world.deliver("b", "a", message)
        world.go(0.05)
        assert not [m for _, who, _, m in world.seen if who == "a" and m[0] == reply_kind]
        world.go(0.06)
        assert [m for _, who, _, m in world.seen if who == "a" and m[0] == reply_kind]
        assert [kind, 2, [7, "b"]] in [record[:3] for record in a.disk]  # it may have been rewritten


def test_a_promise_survives_a_crash() -> None:
    world = settled_world()
    a = world.nodes["a"]
    world.deliver("b", "a", ["view-prepare", 2, [7, "b"]])
    world.go(0.01)
    world.crash(a, keep=0)
    world.start(a)
    assert a.core.view_agreement.promised == (7, "b")
    world.spy = True
    world.deliver("c", "a", ["view-prepare", 2, [6, "c"]])
    world.deliver("c", "a", ["view-accept", 2, [6, "c"], successor_without(world.newest, "b").to_wire()])
    world.go(0.01)
    assert [m[0] for _, who, to, m in world.seen if (who, to) == ("a", "c") and m[0].startswith("view-")] == [
        "view-refused"
    ] * 2


def test_an_accepted_view_is_taken_over_by_the_next_proposer() -> None:
    world = settled_world()
    for name in "bc":  # accepted by a majority, so decided, but its proposer sends no decision
        world.deliver("a", name, ["view-accept", 2, [3, "a"], successor_without(world.newest, "c").to_wire()])
    world.go(0.01)
    world.nodes["b"].core.view_agreement.propose(
        world.now + world.nodes["b"].offset, Random(1), successor_without(world.newest, "a")
    )
    assert world.go(5.0, lambda: 2 in world.views)
    assert world.views[2].chain == (("a", "a-1"), ("b", "b-1"))


def test_an_accepted_view_that_is_no_longer_desired_does_not_block_reads() -> None:
    world = settled_world()
    world.put(0)
    for name in "ab":
        world.deliver("c", name, ["view-accept", 2, [3, "c"], successor_without(world.newest, "b").to_wire()])
    answers: list[object] = []
    for _ in range(20):
        world.go(0.5)
        world.read(world.nodes[world.chain()[-1]], answers.append)
    assert any(state is not None for state in answers)


def test_a_wiped_machine_votes_for_nothing_until_a_view_admits_it() -> None:
    world = settled_world()
    world.wipe(world.nodes["c"])
    world.start(world.nodes["c"])
    c = world.nodes["c"]
    assert world.go(1.0, lambda: c.core is not None and c.core.view_agreement.knows_any_view())
    world.spy = True
    number = world.newest.number
    world.deliver("a", "c", ["view-prepare", number + 1, [50, "a"]])
    world.deliver(
        "a", "c", ["view-accept", number + 1, [50, "a"], successor_without(world.newest, "b").to_wire()]
    )
    world.go(0.01)
    replies = [m for _, who, _, m in world.seen if who == "c" and m[0] in ("view-promise", "view-accepted")]
    assert not replies
    world.settle()
    assert ("c", "c-2") in world.newest.acceptors
    assert ("c", "c-1") not in world.newest.acceptors


def test_records_restore_the_same_state() -> None:
    world = settled_world()
    views = world.nodes["a"].core.view_agreement
    world.deliver("b", "a", ["view-accept", 2, [3, "b"], successor_without(world.newest, "c").to_wire()])
    world.go(0.01)
    restored = ViewAgreement(views.local_member, views.environment, lambda view: None)
    for record in views.records():
        restored.restore(record)
    assert (restored.view, restored.promised, restored.accepted) == (
        views.view,
        views.promised,
        views.accepted,
    )
    assert restored.highest_round >= views.highest_round


def test_an_acceptor_of_the_next_view_grants_no_lease_even_after_a_restart() -> None:
    world = World(1, 3, quiet=True, start=False)
    world.leases = {"weights": LeaseDurations(1.0, 0.5)}
    for node in world.nodes.values():
        world.start(node)
    world.settle()
    a = world.nodes["a"]
    world.deliver("b", "a", ["view-accept", 2, [7, "b"], successor_without(world.newest, "c").to_wire()])
    world.go(0.01)
    for restarts in (False, True):
        if restarts:
            world.crash(a)
            world.start(a)
        world.spy, world.seen = True, []
        world.deliver("c", "a", ["ballot", "ask", "weights", 1, 1 << 30, 5, 6, True])
        world.go(0.01)
        replies = [m for _, who, to, m in world.seen if (who, to, m[0]) == ("a", "c", "ballot")]
        assert [m[1] for m in replies] == ["refuse"]
