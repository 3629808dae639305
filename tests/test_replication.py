"""Chain replication in directed schedules: an acknowledged change is on every member's disk, and stays."""

from collections.abc import Callable
from typing import Any

import pytest

from plumline.coordination.chain_messages import CommittedEntries
from plumline.coordination.environment import Member
from plumline.coordination.replication import ChainReplica
from plumline.coordination.snapshot_transfer import Snapshot, SnapshotChunk
from plumline.coordination.view import View
from plumline.errors import UnavailableError, VersionConflictError
from tests.core_world import NullEnvironment, Register, World, on_disk, short_logs


def formed(seed: int = 1, size: int = 3) -> World:
    world = World(seed, size, quiet=True)
    world.settle()
    return world


def submit(world: World, name: str, change: list[Any]) -> list[Any]:
    results: list[Any] = []
    world.submit(world.nodes[name], change, results.append)
    return results


def test_an_entry_is_synced_on_all_members_before_the_answer() -> None:
    world = formed()
    world.sync_delays = (0.1,)
    results = submit(world, "a", world.change(0))
    seen: list[tuple[int, bool]] = []
    while not results:
        world.go(0.01)
        seen.append((sum("c1" in on_disk(node) for node in world.nodes.values()), bool(results)))
    assert {copies for copies, answered in seen if not answered} == {0, 1, 2, 3} - {
        3 if (3, False) not in seen else -1
    }
    assert {copies for copies, answered in seen if answered} == {3}
    assert results == [None]


def test_a_chain_with_too_few_replicas_acknowledges_nothing() -> None:
    world = formed()
    for name in "bc":
        world.crash(world.nodes[name])
    results = submit(world, "a", world.change(0))
    world.go(20.0)
    assert results == [] or isinstance(results[0], UnavailableError)
    assert not world.committed
    for name in "bc":
        world.start(world.nodes[name])
    world.settle()
    world.put(len(world.nodes[world.chain()[0]].core.chain.latest_state.ids))


def test_the_head_is_lost_with_an_entry_that_it_did_not_forward() -> None:
    world = formed()
    world.split("a", "bc")
    results = submit(world, "a", world.change(0))
    world.go(3.0)
    world.put(0, at="b")
    assert "c1" in on_disk(world.nodes["a"])
    world.cut = set()
    world.settle()
    assert world.chain()[-1] == "a"
    assert world.ids("a") == ("c2",)
    assert "c1" not in on_disk(world.nodes["a"])
    assert len(results) == 1
    assert isinstance(results[0], UnavailableError)


def test_a_discarded_entry_stays_discarded_after_a_restart() -> None:
    world = formed()
    world.split("a", "bc")
    submit(world, "a", world.change(0))
    world.go(3.0)
    world.cut = set()
    world.settle()
    world.crash(world.nodes["a"])
    world.start(world.nodes["a"])
    world.put(0)
    world.settle()
    assert world.ids("a") == ("c2",)


@pytest.mark.parametrize("name", "bc")
def test_middle_or_tail_is_lost_with_an_entry_in_flight(name: str) -> None:
    world = formed()
    world.put(0)
    world.crash(world.nodes[name])
    results = submit(world, "a", world.change(1))
    assert world.go(5.0, lambda: bool(results))
    assert results == [None]
    world.start(world.nodes[name])
    world.settle()
    assert world.ids(name) == ("c1", "c2")


def test_a_learner_catches_up_before_it_commits_or_answers() -> None:
    with short_logs():
        world = formed()
        world.crash(world.nodes["c"])
        assert world.go(3.0, lambda: world.chain() == "ab")
        for number in range(20):
            world.put(number)
        world.start(world.nodes["c"])
        while world.chain() != "abc":
            world.go(0.001)
            answers: list[Any] = []
            world.read(world.nodes["c"], answers.append)
            assert answers in ([], [None])
        world.settle()
        world.put(20)
        assert len(world.ids("c")) == 21


def test_a_frozen_tail_may_not_answer_a_read() -> None:
    world = formed()
    world.put(0)
    c = world.nodes["c"]
    world.freeze(c, 3.0)
    world.go(2.5)
    world.put(1)
    answers: list[Any] = []
    world.at(0.0, lambda: world.call_if_running(c, c.generation, lambda: c.core.chain.read(answers.append)))
    world.go(3.0)
    assert answers in ([], [None])


def test_a_partitioned_tail_may_not_answer_a_read() -> None:
    world = formed()
    world.put(0)
    world.split("ab", "c")
    world.go(3.0)
    world.put(1)
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(3.0)
    assert answers in ([], [None])


def test_a_tail_answers_with_what_was_acknowledged() -> None:
    world = formed()
    world.put(0)
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    world.go(0.1)
    assert answers == [Register(("c1",))]


def test_a_confirmation_for_an_earlier_process_of_the_tail_is_ignored() -> None:
    world = formed()
    world.spy = True
    world.read(world.nodes["c"])
    world.go(0.1)
    late = [(who, m) for _, who, to, m in world.seen if to == "c" and m[0] == "view-checked"]
    world.crash(world.nodes["c"])
    world.start(world.nodes["c"])
    world.go(1.0)
    world.split("c", "ab")
    answers: list[Any] = []
    world.read(world.nodes["c"], answers.append)
    for who, message in late:
        world.deliver(who, "c", message)
    world.go(0.1)
    assert answers in ([], [None])


@pytest.mark.parametrize("unsynced_lost", [False, True])
def test_all_are_killed_at_once_and_nothing_acknowledged_is_lost(unsynced_lost: bool) -> None:
    world = formed()
    for number in range(5):
        world.put(number)
    results = submit(world, "a", world.change(5))
    world.go(0.003)
    for node in world.nodes.values():
        world.crash(node, keep=0 if unsynced_lost else 99)
    assert not results
    for node in world.nodes.values():
        world.start(node)
    world.settle()
    world.go(2.0)
    assert world.ids("a")[:5] == ("c1", "c2", "c3", "c4", "c5")
    assert len({world.ids(name) for name in "abc"}) == 1


def test_a_wiped_member_rejoins_with_a_new_incarnation_and_all_entries() -> None:
    world = formed()
    for number in range(3):
        world.put(number)
    for name in "bca":
        world.wipe(world.nodes[name])
        world.start(world.nodes[name])
        world.settle()
        assert world.nodes[name].member in world.newest.chain
    world.put(3)
    assert world.ids("a") == ("c1", "c2", "c3", "c4")


def test_a_repeated_change_is_acknowledged_again_without_effect() -> None:
    world = formed()
    change = world.put(0)
    world.put(1)
    assert submit(world, "a", change) == [None]
    results = submit(world, "a", third := world.change(2))
    again = submit(world, "a", third)
    assert (results, again) == ([], [])
    world.go(0.1)
    assert (results, again) == ([None], [None])
    assert world.ids("a") == ("c1", "c2", "c3")


def test_of_two_changes_on_one_base_one_wins_and_the_other_is_applied_nowhere() -> None:
    world = formed()
    first, second = submit(world, "a", world.change(0)), submit(world, "a", world.change(0))
    world.go(0.1)
    assert first == [None]
    assert isinstance(second[0], VersionConflictError)
    assert {world.ids(name) for name in "abc"} == {("c1",)}


def test_a_removed_head_refuses_nothing() -> None:
    """The change that it would refuse by an older state may be committed already, or be valid."""
    world = formed()
    world.put(0)
    world.split("a", "bc")
    world.go(3.0)
    world.put(1, at="b")
    change = world.put(2, at="b")
    results = submit(world, "a", change)
    world.go(5.0)
    assert not any(isinstance(error, VersionConflictError) for error in results)


def test_a_late_snapshot_reverts_nothing() -> None:
    world = formed()
    for number in range(3):
        world.put(number)
    b, early = world.nodes["b"], Register(("c1", "c2", "c3"))
    world.cut = {("b", "c"), ("c", "b")}
    submit(world, "a", world.change(3))
    submit(world, "a", world.change(4))
    world.go(0.05)
    assert b.core.chain.synced_index == 5
    assert b.core.chain.committed_index == 3
    snapshot = Snapshot.pack(4, [*early.ids, "c4"])
    world.deliver("a", "b", ["chain-piece", 1, *SnapshotChunk(snapshot.id, 0, snapshot.data).to_wire()])
    assert b.core.chain.committed_index == 4
    assert b.core.chain.last_index == 5
    assert b.core.chain.synced_index == 5
    world.go(0.05)
    assert len(on_disk(b)) == 5


def test_records_restore_the_same_content() -> None:
    world = formed()
    for number in range(6):
        world.put(number)
    chain = world.nodes["b"].core.chain
    again = ChainReplica(
        chain.local_member, 2, NullEnvironment(), Register(), Register.load, lambda number, change: None
    )
    for record in chain.records():
        again.restore(record)
    assert (again.state, again.latest_state, again.last_index, again.synced_index) == (
        chain.state,
        chain.latest_state,
        chain.last_index,
        chain.synced_index,
    )


def test_entries_of_another_view_or_from_another_than_the_predecessor_are_ignored() -> None:
    world = formed()
    change = world.change(0)
    world.deliver("a", "b", ["chain-entry", 0, 1, change])
    world.deliver("a", "b", ["chain-entry", 2, 1, change])
    world.deliver("c", "b", ["chain-entry", 1, 1, change])
    world.deliver("a", "c", ["chain-entry", 1, 1, change])
    world.go(0.1)
    assert [node.core.chain.last_index for node in world.nodes.values()] == [0, 0, 0]
    world.deliver("a", "b", ["chain-entry", 1, 1, change])
    assert world.nodes["b"].core.chain.last_index == 1


class Recorder:
    """An environment that syncs each record at once and stores it."""

    def __init__(self) -> None:
        self.records: list[list[Any]] = []

    def send(self, to: str, message: list[Any]) -> None:
        pass

    def persist(self, record: list[Any], done: Callable[[], None]) -> None:
        self.records.append(record)
        done()


def chain_of(recorder: Recorder) -> ChainReplica:
    return ChainReplica(
        Member("a", "a-1"), 2, recorder, Register(), Register.load, lambda number, change: None
    )


def test_a_removed_member_keeps_what_may_be_committed_and_discards_it_as_it_joins_again() -> None:
    """Also if its process ended before the discard was on disk, or if its file was rewritten before."""
    a, b, c = Member("a", "a-1"), Member("b", "b-1"), Member("c", "c-1")
    recorder = Recorder()
    chain = chain_of(recorder)
    chain.install_view(View(1, (a, b, c), (a, b)))
    chain.submit(["set", 0, "c1"], lambda error: None)
    chain.install_view(View(2, (a, b, c), (b, c)))
    assert (chain.last_index, chain.committed_index) == (1, 0)  # b may still commit it
    for records in (list(recorder.records), chain.records()):
        again = chain_of(Recorder())
        for record in records:
            again.restore(record)
        assert (again.last_index, again.committed_index) == (1, 0)
        again.install_view(View(3, (a, b, c), (b, a)))
        assert (again.last_index, again.committed_index) == (0, 0)
    chain.catch_up.on_entries("b", CommittedEntries(2, False, [[1, ["set", 0, "c2"]]]))
    assert chain.state.ids == ("c2",)
