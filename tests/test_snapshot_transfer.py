"""Snapshot transfer: chunks are requested one by one, over links that lose, duplicate and reorder them."""

import random
from collections import Counter
from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

import ormsgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.coordination import catch_up as catch_up_module
from plumline.coordination import flow_control as flow_control_module
from plumline.coordination import replica_storage as storage_module
from plumline.coordination import snapshot_transfer as transfer_module
from plumline.coordination.log import ReplicationLog
from plumline.coordination.retry_timer import INITIAL_TIMEOUT_S, MAX_TIMEOUT_S, RetryTimer
from plumline.coordination.snapshot_transfer import (
    CHUNK_BYTES,
    SNAPSHOT_IDLE_S,
    ChunkRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotReceiver,
    SnapshotSender,
)
from plumline.errors import FrameError, UnavailableError
from tests.core_schedule import explore
from tests.core_world import Node, World, short_logs


def wire_of(size: int, seed: int = 1) -> list[bytes]:
    return [random.Random(seed).randbytes(size)]


def transferred(receiver: SnapshotReceiver, sender: SnapshotSender) -> tuple[Any, int]:
    """Return the received state in wire form, and how many chunks were requested."""
    for requests in range(1, 10_000):
        complete = receiver.add(sender.chunk_for(0.0, receiver.next_request()))
        if complete is not None:
            return complete.unpack(), requests
    raise AssertionError("the transfer does not complete")


def test_a_snapshot_takes_as_many_chunks_as_its_size_needs() -> None:
    sender = SnapshotSender(lambda: (7, wire_of(1_000_000)), lambda index: True)
    wire, requests = transferred(SnapshotReceiver(), sender)
    assert wire == wire_of(1_000_000)
    assert requests == 1_000_000 // CHUNK_BYTES + 1


@given(st.randoms(use_true_random=False), st.integers(1, 400))
def test_lost_duplicated_and_reordered_chunks_cost_time_only(chance: random.Random, size: int) -> None:
    with patch.object(transfer_module, "CHUNK_BYTES", 16):
        newest = 7
        sender = SnapshotSender(lambda: (newest, wire_of(size, newest)), lambda index: index > newest - 4)
        receiver = SnapshotReceiver()
        in_flight: list[SnapshotChunk] = []
        for step in range(20_000):
            if step % 50 == 49 and newest < 20:
                newest += 1
            in_flight.append(sender.chunk_for(0.0, receiver.next_request()))
            if chance.random() < 0.3:
                in_flight.append(sender.chunk_for(0.0, receiver.next_request()))
            chance.shuffle(in_flight)
            if chance.random() < 0.3:
                in_flight.pop()
            while len(in_flight) > 3:
                complete = receiver.add(in_flight.pop())
                if complete is not None:
                    assert complete.unpack() == wire_of(size, complete.id.index)
                    return
        raise AssertionError("the transfer does not complete")


def test_a_transfer_resumes_with_another_sender_of_the_same_snapshot() -> None:
    first = SnapshotSender(lambda: (7, wire_of(500_000)), lambda index: True)
    second = SnapshotSender(lambda: (7, wire_of(500_000)), lambda index: True)
    receiver = SnapshotReceiver()
    for _ in range(4):
        receiver.add(first.chunk_for(0.0, receiver.next_request()))
    offset = receiver.next_request().offset
    assert offset == 4 * CHUNK_BYTES
    assert second.chunk_for(0.0, receiver.next_request()).offset == offset
    assert transferred(receiver, second)[1] == 500_000 // CHUNK_BYTES + 1 - 4


def test_one_snapshot_serves_all_receivers_and_is_freed_when_idle() -> None:
    snapshots_made = []

    def state() -> tuple[int, Any]:
        snapshots_made.append(1)
        return 7, wire_of(300_000)

    sender = SnapshotSender(state, lambda index: True)
    for _ in range(5):
        transferred(SnapshotReceiver(), sender)
    assert len(snapshots_made) == 1
    sender.tick(SNAPSHOT_IDLE_S - 0.1)
    assert sender.cached is not None
    sender.tick(SNAPSHOT_IDLE_S + 0.1)
    assert sender.cached is None


def test_a_snapshot_that_the_log_does_not_continue_from_is_replaced() -> None:
    indices, usable = iter([7, 30]), {7}
    sender = SnapshotSender(lambda: (next(indices), wire_of(100)), lambda index: index in usable)
    assert sender.chunk_for(0.0, ChunkRequest()).snapshot.index == 7
    assert sender.chunk_for(0.0, ChunkRequest()).snapshot.index == 7
    usable.clear()
    assert sender.chunk_for(0.0, ChunkRequest()).snapshot.index == 30


@pytest.mark.parametrize("wire", [[], [1, "d", 2, 0], [1, "d", 2, 0, "text"], ["1", "d", 2, 0, b""]])
def test_a_malformed_chunk_is_rejected(wire: list[Any]) -> None:
    with pytest.raises(FrameError):
        SnapshotChunk.from_wire(wire)


def test_a_snapshot_that_does_not_match_its_digest_is_rejected() -> None:
    snapshot = Snapshot.pack(7, wire_of(100))
    with pytest.raises(FrameError):
        Snapshot(snapshot.id, Snapshot.pack(7, wire_of(100, seed=2)).data).unpack()
    large = Snapshot.pack(7, [bytes(transfer_module.MAX_STATE_BYTES + 1)])
    with pytest.raises(FrameError):
        large.unpack()


def test_the_timeout_grows_with_slow_and_missing_replies() -> None:
    timer = RetryTimer()
    assert timer.may_send(0.0)
    timer.start(0.0)
    assert not timer.may_send(INITIAL_TIMEOUT_S - 0.01)
    assert timer.may_send(INITIAL_TIMEOUT_S)
    now, waits = 0.0, []
    for _ in range(6):
        timer.start(now)
        waits.append(timer.timeout_s)
        now += timer.timeout_s
    assert waits[-1] == MAX_TIMEOUT_S
    assert waits == sorted(waits)
    timer.on_reply(now - timer.timeout_s + 0.5)
    assert timer.timeout_s == 4 * 0.5


# The log.


def test_the_log_is_bounded_by_bytes_and_keeps_uncommitted_entries() -> None:
    log = ReplicationLog()
    for number in range(1, 11):
        log.append(number, ["x" * 1000])
    log.trim(8, 512, 3000)
    assert [entry.index for entry in log] == [9, 10]
    log.trim(10, 1, 1 << 20)
    assert [entry.index for entry in log] == [10]
    assert (log.continues_from(9), log.continues_from(8), log.continues_from(15)) == (True, False, True)
    log.truncate_after(9)
    assert (len(log), log.size_bytes()) == (0, 0)
    log.append(10, ["x" * 1000])
    assert log.size_bytes() == len(ormsgpack.packb(["x" * 1000]))
    assert [entry.index for entry in log.between(9, 12)] == [10]


# In the chain.


@pytest.fixture
def small_chunks() -> Iterator[None]:
    """Make chunks so small that even the short states of random schedules need several of them."""
    with (
        patch.object(transfer_module, "CHUNK_BYTES", 12),
        patch.object(flow_control_module, "WINDOW_BYTES", 40),
        patch.object(catch_up_module, "CATCH_UP_BATCH_BYTES", 30),
    ):
        yield


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("size", [3, 5])
def test_random_schedules_with_many_chunks_per_snapshot_violate_no_invariant(size: int) -> None:
    counts = explore(range(50_000, 50_080), size, seconds=8.0)
    assert counts["acknowledged"] > 160


def bytes_of(world: World, *kinds: str) -> Counter[str]:
    """Return the bytes sent to each machine in messages of these kinds since `spy` was set."""
    found: Counter[str] = Counter()
    for _, _, to, message in world.seen:
        if message[0] in kinds:
            found[to] += len(ormsgpack.packb(message))
    return found


TRANSFER = ("chain-entry", "chain-piece", "chain-lesson")


class LimitedRateLinks:
    """Limits the rate of each link: a message is delayed by its size and by the messages queued before it."""

    def __init__(self, world: World, bytes_per_s: float) -> None:
        self.world, self.rate, self.free_at = world, bytes_per_s, {}
        self.send, world.send = world.send, self.delayed

    def delayed(self, sender: str, to: str, message: list[Any]) -> None:
        size = len(ormsgpack.packb(message))
        if message[0] not in TRANSFER:  # small messages are sent between chunks
            self.send(sender, to, message)
            return
        start = max(self.free_at.get((sender, to), 0.0), self.world.now)
        end = self.free_at[sender, to] = start + size / self.rate
        self.world.at(end - self.world.now, lambda: self.send(sender, to, message))


def formed(seed: int = 1, size: int = 3) -> World:
    world = World(seed, size, quiet=True)
    world.settle()
    return world


def large_change(world: World, length: int) -> list[Any]:
    """Return a change whose name is long and does not compress."""
    change = world.change(len(world.ids(world.chain()[0])))
    return [*change[:2], change[2] + random.Random(world.change_count).randbytes(length // 2).hex()]


def put_large(world: World, length: int) -> None:
    results: list[Any] = []
    world.submit(world.nodes[world.chain()[0]], large_change(world, length), results.append)
    assert world.go(30.0, lambda: bool(results))
    assert results == [None]


def world_with_absent_machine(name: str, changes: int, length: int) -> World:
    """Return a world in which this machine is down while this number of changes of this length are made."""
    world = formed()
    world.crash(world.nodes[name])
    assert world.go(3.0, lambda: name not in world.chain())
    for _ in range(changes):
        put_large(world, length)
    return world


def assert_not_serving_while_behind(world: World, node: Node, wanted: int) -> None:
    """Check that a machine that lacks changes answers no read, accepts no change and isn't up to date."""
    core = node.core
    if core is None or len(core.chain.state.ids) >= wanted:
        return
    answers: list[Any] = []
    world.read(node, answers.append)
    assert answers in ([], [None])
    assert not core.is_up_to_date(world.now + node.offset)
    results: list[Any] = []
    world.submit(node, world.change(len(core.chain.state.ids)), results.append)
    assert not results or isinstance(results[0], UnavailableError)


@pytest.mark.parametrize("wiped", [False, True])
@pytest.mark.parametrize("name", "abc")
def test_a_member_that_was_down_for_a_thousand_changes_gets_one_snapshot(name: str, wiped: bool) -> None:
    world = world_with_absent_machine(name, 1000, 200)
    other = world.chain()[0]
    state = len(Snapshot.pack(1, world.nodes[other].core.chain.state.to_wire()).data)
    world.spy = True
    if wiped:
        world.wipe(world.nodes[name])
    began = world.now
    world.start(world.nodes[name])
    while len(world.chain()) < 3:
        world.go(0.02)
        assert_not_serving_while_behind(world, world.nodes[name], 1000)
        assert world.now < began + 6.0
    world.settle()
    received_bytes = bytes_of(world, *TRANSFER)[name]
    print("bytes", received_bytes, "state", state, "seconds", round(world.now - began, 2))
    assert received_bytes < 1.1 * state + 2 * catch_up_module.CATCH_UP_BATCH_BYTES
    assert world.ids(name) == world.ids(other)


def test_the_log_stays_bounded_with_large_changes_and_each_is_sent_once() -> None:
    world = world_with_absent_machine("c", 12, 1_000_000)
    for name in "ab":
        assert world.nodes[name].core.chain.log.size_bytes() <= storage_module.RETAINED_BYTES
    world.spy = True
    world.start(world.nodes["c"])
    world.settle()
    received_bytes = bytes_of(world, *TRANSFER)["c"]
    state = 12_000_000
    print("bytes", received_bytes)
    assert received_bytes < 1.2 * state
    assert world.ids("c") == world.ids("a")


def test_over_a_slow_link_a_snapshot_takes_the_time_of_its_bytes() -> None:
    world = world_with_absent_machine("c", 600, 4_000)
    LimitedRateLinks(world, 625_000)
    world.spy = True
    began = world.now
    world.start(world.nodes["c"])
    world.settle(within=20.0)
    state = len(Snapshot.pack(1, world.nodes["a"].core.chain.state.to_wire()).data)
    received_bytes, duration_s = bytes_of(world, *TRANSFER)["c"], world.now - began
    print("bytes", received_bytes, "state", state, "seconds", round(duration_s, 2))
    assert state > 1_000_000
    assert received_bytes < 1.2 * state
    assert duration_s < state / 625_000 + 4.0


def test_a_partitioned_transfer_resumes_where_it_was() -> None:
    world = world_with_absent_machine("c", 600, 4_000)
    LimitedRateLinks(world, 625_000)
    world.spy = True
    c = world.nodes["c"]
    world.start(c)
    assert world.go(10.0, lambda: len(c.core.chain.catch_up.fetch.receiver.data) > 600_000)
    world.split("ab", "c")
    world.go(1.0)
    world.cut = set()
    world.settle(within=20.0)
    state = len(Snapshot.pack(1, world.nodes["a"].core.chain.state.to_wire()).data)
    received_bytes = bytes_of(world, *TRANSFER)["c"]
    print("bytes", received_bytes, "state", state)
    assert received_bytes < 1.3 * state
    assert world.ids("c") == world.ids("a")


def test_a_learner_is_admitted_only_when_nearly_caught_up() -> None:
    """Otherwise the chain could not commit until the new tail has received all that it lacks."""
    world = world_with_absent_machine("c", 100, 10_000)  # fewer entries than a learner may lack by count
    LimitedRateLinks(world, 125_000)
    world.start(world.nodes["c"])
    most = 0
    while "c" not in world.chain():
        world.go(0.01)
    chain = world.nodes["a"].core.chain
    most = chain.log.bytes_between(world.nodes["c"].core.chain.synced_index, chain.last_index)
    assert most <= catch_up_module.CATCH_UP_BATCH_BYTES


def test_a_slow_successor_is_sent_no_more_than_its_window() -> None:
    world = formed()
    LimitedRateLinks(world, 625_000)
    world.spy = True
    results: list[Any] = []
    names: list[str] = list(world.ids("a"))
    head = world.nodes[world.chain()[0]]
    for _ in range(40):
        change = ["set", len(names), f"x{len(names)}" + random.Random(len(names)).randbytes(50_000).hex()]
        names.append(change[2])
        world.submit(head, change, results.append)
    most = 0
    while len(results) < 40:
        assert world.now < 60.0
        world.go(0.005)
        chain = head.core.chain
        window = chain.send_window
        sent = chain.log.bytes_between(window.acknowledged_index, window.sent_index)
        most = max(most, sent)
    assert results == [None] * 40
    assert flow_control_module.WINDOW_BYTES // 2 < most <= flow_control_module.WINDOW_BYTES
    for name in "bc":
        sent = bytes_of(world, *TRANSFER)[name]
        assert sent < 1.1 * 40 * 100_000, name  # each entry once
    assert {len(world.ids(name)) for name in "abc"} == {40}


@pytest.mark.usefixtures("small_chunks")
def test_a_successor_far_behind_its_predecessor_fetches_a_snapshot() -> None:
    with short_logs():
        world = formed()
        for number in range(4):
            world.put(number)
        world.split("a", "b")  # b receives nothing from a, and is not removed at once
        world.cut = {("a", "b")}
        world.cut = set()
        world.crash(world.nodes["c"])
        assert world.go(3.0, lambda: world.chain() == "ab")
        for number in range(4, 40):
            world.put(number)
        world.spy = True
        world.start(world.nodes["c"])
        world.settle()
        assert any(message[0] == "chain-piece" for _, _, to, message in world.seen if to == "c")
        assert len(world.ids("c")) == 40
