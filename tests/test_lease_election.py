"""Leases by election: by hand, and by a seeded explorer that must find every guard that is taken out."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from plumline.coordination.lease import (
    LeaseDurations,
    LeaseElection,
    LeaseMessageError,
    Persist,
    Send,
    majority,
)
from plumline.coordination.lease.candidate import Candidate
from plumline.coordination.lease.messages import (
    LeaseGrant,
    LeaseMessage,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    LeaseWithdrawal,
    message_from_wire,
)
from plumline.coordination.lease.quorum import Electorate
from plumline.coordination.lease.records import Term, TermRecord
from plumline.coordination.lease.voter import Voter

LEASE = "weights"
DURATIONS = {LEASE: LeaseDurations(1.0, 0.5)}
TICK_S = 0.15


Kind = type[Voter] | type[Candidate] | None


def lease_election(kind: Kind, name: str, random: Random) -> LeaseElection:
    """A node's part in the elections; `kind` takes the place of its voter's or its candidate's class."""
    election = LeaseElection(name, DURATIONS, random)
    if kind is not None:
        overridden = {name for name in vars(kind) if not name.startswith("__")}
        assert overridden <= set(dir(kind.__base__))  # what is overridden is still there
        part = election.voter if issubclass(kind, Voter) else election.candidate
        part.__class__ = kind
    return election


class ViolationError(Exception):
    """An invariant is broken."""


# The explorer


@dataclass
class Node:
    """A machine: its process (None while it is down), its disk, and what it has learned of the views."""

    name: str
    election: LeaseElection | None = None
    incarnation: int = 0
    disk: list[list[Any]] = field(default_factory=list)
    view: int = 0  # synced at once
    resumes_at: float = 0.0
    deferred_calls: list[Callable[[], None]] = field(default_factory=list)
    accepted: int = 0  # view whose successor it has accepted, synced at once
    in_views: bool = True  # its incarnation is the one that the views name


class World:
    """One random schedule. `run` raises ViolationError; `holder_changes` counts the changes of holder."""

    def __init__(
        self,
        seed: int,
        size: int,
        kind: Kind = None,
        *,
        sync_first: bool = True,
        reconfigure: bool = True,
        exchanges: bool = False,
    ) -> None:
        """`exchanges`: a voter may take another's place in one view."""
        self.exchanges = exchanges
        self.random = Random(seed)
        self.kind = kind
        self.sync_first = sync_first
        self.reconfigure = reconfigure
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.nodes = {name: Node(name) for name in "abcde"[:size]}
        self.views: list[list[str]] = [list(self.nodes)]
        self.partitioned: set[str] = set()
        self.holder_changes = 0
        self.last_act: tuple[tuple[str, int], int, float] | None = (
            None  # incarnation, term, last possible act
        )
        self.incarnation_of_term: dict[int, tuple[str, int]] = {}
        self.loss = self.random.choice([0.0, 0.05, 0.3])
        self.slow = 0.1  # part of the messages that take up to 2 s
        self.syncs = self.random.choice([(0.001, 0.01), (0.001, 0.01, 0.2), (0.001, 0.3, 1.5)])
        self.faults_per_s = self.random.choice([0.5, 1.0, 2.0])
        for node in self.nodes.values():
            self.start(node, formed=True)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, call))

    # One node

    def start(self, node: Node, *, formed: bool = False) -> None:
        node.incarnation += 1
        node.deferred_calls.clear()
        election = node.election = lease_election(self.kind, node.name, Random(self.random.random()))
        election.restore(node.disk)
        if formed:
            node.view = 1
            election.set_view(self.now, 1, self.voters(node, 1), formed_now=True)
        elif node.view:
            election.set_view(self.now, node.view, self.voters(node, node.view))
        election.stop_granting(node.accepted)
        election.campaign(self.now, LEASE)
        self.after(self.random.random() * TICK_S, lambda: self.tick(node, node.incarnation))

    def voters(self, node: Node, number: int) -> list[str]:
        voters = self.views[number - 1]
        return voters if node.in_views else [name for name in voters if name != node.name]

    def alive(self, node: Node, incarnation: int, call: Callable[[], None]) -> bool:
        """Whether the call may be made now; a paused node gets it when it resumes."""
        if node.election is None or node.incarnation != incarnation:
            return False
        if self.now < node.resumes_at:
            node.deferred_calls.append(call)
            if len(node.deferred_calls) == 1:
                self.after(node.resumes_at - self.now, lambda: self.resume(node))
            return False
        return True

    def resume(self, node: Node) -> None:
        calls, node.deferred_calls = node.deferred_calls, []
        self.random.shuffle(calls)
        for call in calls:
            call()

    def tick(self, node: Node, incarnation: int) -> None:
        if self.alive(node, incarnation, lambda: self.tick(node, incarnation)):
            node.election.tick(self.now)
            self.step(node)
            self.after(TICK_S, lambda: self.tick(node, incarnation))

    def step(self, node: Node) -> None:
        for action in node.election.take_actions():
            if isinstance(action, Send):
                self.send(node, action.to, action.message)
            else:
                self.persist(node, action)
        self.watch()

    def persist(self, node: Node, action: Persist) -> None:
        incarnation = node.incarnation
        if not self.sync_first:
            for to, message in action.send_after:
                self.send(node, to, message)

        def synced() -> None:
            if node.election is None or node.incarnation != incarnation:
                if node.in_views and self.random.random() < 0.2:
                    node.disk.append(action.record)  # unsynced, yet there after the crash
                return
            node.disk.append(action.record)
            if self.alive(node, incarnation, on_synced):
                on_synced()

        def on_synced() -> None:
            if node.incarnation == incarnation and node.election:
                node.election.on_synced(action.record)
                if self.sync_first:
                    for to, message in action.send_after:
                        self.send(node, to, message)

        self.after(self.random.choice(self.syncs), synced)

    def send(self, node: Node, to: str, message: list[Any]) -> None:
        if to == node.name:
            self.after(0.0, lambda: self.deliver(node.name, to, message))
            return
        for _ in range(2 if self.random.random() < 0.05 else 1):
            if self.random.random() < self.loss or (node.name in self.partitioned) != (
                to in self.partitioned
            ):
                continue
            slow = self.random.random() < self.slow
            delay = self.random.uniform(0.1, 2.0) if slow else self.random.uniform(0.001, 0.02)
            self.after(delay, lambda: self.deliver(node.name, to, message))

    def deliver(self, sender: str, to: str, message: list[Any]) -> None:
        node = self.nodes[to]
        if self.alive(node, node.incarnation, lambda: self.deliver(sender, to, message)):
            node.election.on_message(self.now, sender, message)
            self.step(node)

    # Faults and views

    def fault(self) -> None:
        self.after(self.random.expovariate(self.faults_per_s), self.fault)
        node = self.random.choice(list(self.nodes.values()))
        if self.last_act and self.random.random() < 0.5:
            node = self.nodes[self.last_act[0][0]]
        match self.random.choice("crash crash pause partition disk-loss view view release outage".split()):
            case "crash":
                self.crash(node)
            case "outage":
                for machine in self.nodes.values():
                    self.crash(machine)
            case "pause":
                node.resumes_at = self.now + self.random.uniform(0.1, 2.5)
            case "partition":
                size = len(self.nodes)
                self.partitioned = set(
                    self.random.sample(list(self.nodes), self.random.randrange(size // 2 + 1))
                )
            case "disk-loss" if self.reconfigure and all(machine.in_views for machine in self.nodes.values()):
                self.crash(node)
                node.disk, node.view, node.accepted, node.in_views = [], 0, 0, False
            case "view" if self.reconfigure:
                self.change_view()
            case "release" if node.election and self.now >= node.resumes_at:
                node.election.release(self.now, LEASE)
                self.step(node)
                node.election.campaign(self.now, LEASE)

    def crash(self, node: Node) -> None:
        if node.election is None:
            return
        node.election = None

        def restart() -> None:
            if node.election is None:
                self.start(node)

        self.after(self.random.choice([0.01, 0.3, 1.0]), restart)

    def change_view(self) -> None:
        """The next view, decided by a majority of the present one that has taken the present one in."""
        number = len(self.views)
        voters = self.views[-1]
        able = [
            node
            for node in map(self.nodes.get, voters)
            if node and node.election and node.in_views and self.now >= node.resumes_at
        ]
        self.random.shuffle(able)
        able = able[: majority(len(voters))]
        if len(able) < majority(len(voters)):
            return
        for node in able:
            self.learn(node, number)
            node.accepted = number
            node.election.stop_granting(number)
        outside = [name for name in self.nodes if name not in voters]
        lost_disks = [name for name in voters if not self.nodes[name].in_views]
        if lost_disks:
            following = [name for name in voters if name not in lost_disks]
        elif outside and self.exchanges and self.random.random() < 0.7:
            joins, leaves = self.random.choice(outside), self.random.choice(voters)
            if self.nodes[joins].election is None:
                return
            following = [*(name for name in voters if name != leaves), joins]
            self.nodes[joins].in_views = True
        elif outside and (len(voters) < 3 or self.random.random() < 0.5):
            joins = self.random.choice(outside)
            if self.nodes[joins].election is None:
                return
            following = [*voters, joins]
            self.nodes[joins].in_views = True
        elif len(voters) > 2:
            leaves = self.random.choice(voters)
            following = [name for name in voters if name != leaves]
        else:
            return
        self.views.append(following)
        for node in self.nodes.values():
            if self.random.random() < 0.7:
                self.after(
                    self.random.choice([0.0, 0.02, 1.0, 3.0]), lambda node=node: self.learn(node, number + 1)
                )

    def learn(self, node: Node, number: int) -> None:
        if node.election is None or self.now < node.resumes_at:
            return
        step = self.random.random() < 0.7
        while node.view < number:
            node.view = node.view + 1 if step else number
            node.election.set_view(self.now, node.view, self.voters(node, node.view))
        self.step(node)

    # Invariants

    def watch(self) -> None:
        held = [
            ((node.name, node.incarnation), term)
            for node in self.nodes.values()
            if node.election and (term := node.election.fencing_token(self.now, LEASE)) is not None
        ]
        if len(held) > 1:
            raise ViolationError(f"two holders: {held}")
        if not held:
            return
        incarnation, term = held[0]
        if self.incarnation_of_term.setdefault(term, incarnation) != incarnation:
            raise ViolationError(f"term {term} of both {self.incarnation_of_term[term]} and {incarnation}")
        if self.last_act:
            before, last_term, last_act = self.last_act
            if term < last_term or (term == last_term) != (incarnation == before and term == last_term):
                raise ViolationError(f"term {term} after {last_term}")
            if incarnation[0] != before[0]:
                self.holder_changes += 1
                if self.now - last_act < DURATIONS[LEASE].lock_delay_s - 1e-9:
                    raise ViolationError(f"{incarnation} came {self.now - last_act:.3f} s after {before}")
        self.last_act = incarnation, term, self.now

    def run(self, until: float) -> None:
        self.after(self.random.random(), self.fault)
        while self.events and self.events[0][0] < until:
            self.now, _, call = heapq.heappop(self.events)
            call()


def explore(
    seeds: range, size: int, kind: Kind = None, *, until: float = 7.0, **kwargs: bool
) -> Counter[str]:
    """Run a schedule for each seed: how many were run, and how many changes of holder there were."""
    counts: Counter[str] = Counter()
    for seed in seeds:
        world = World(seed, size, kind, **kwargs)
        world.run(until)
        counts["schedules"] += 1
        counts["holder_changes"] += world.holder_changes
        counts["views"] += len(world.views)
    return counts


@pytest.mark.parametrize(("size", "seeds"), [(3, 800), (5, 250)])
@pytest.mark.parametrize(("reconfigure", "exchanges"), [(False, False), (True, False), (True, True)])
def test_explorer_finds_nothing(size: int, seeds: int, reconfigure: bool, exchanges: bool) -> None:
    counts = explore(range(seeds), size, reconfigure=reconfigure, exchanges=exchanges)
    print(size, reconfigure, exchanges, dict(counts))
    assert counts["schedules"] == seeds
    assert counts["holder_changes"] > seeds / 8  # else it explored nothing
    assert (counts["views"] > 3 * seeds / 2) == reconfigure


class NoAbstention(Voter):
    def _is_abstaining(self, now: float, vote: Any) -> bool:  # noqa: ANN401
        return False


class NoLockDelay(Voter):
    def _grant_s(self, lease: str) -> float:
        return self._durations[lease].lease_s


class GrantsToSeveral(Voter):
    def _is_free_for(self, now: float, vote: Any, candidate: str) -> bool:  # noqa: ANN401
        return True


class CountsFromAnswer(Candidate):
    def _lease_start(self, requested_at: float, now: float) -> float:
        return now


class ForgetsEarlierViews(Voter):
    def _earlier_grants_end_at(self, electorate: Electorate, grant_s: float) -> float:
        return 0.0


class RestoresNothing(Voter):
    def restore(self, records: Iterable[TermRecord]) -> None:
        pass


class GivesTermsTwice(Candidate):
    def _next_term(self, lease: str) -> int:
        highest_term = self._candidacies[lease].highest_term
        term = super()._next_term(lease)
        self._candidacies[lease].highest_term = highest_term
        return term


class GrantsAfterAccepting(Voter):
    def stop_granting(self, view: int) -> None:
        pass


class WithdrawalFreesAll(Voter):
    def on_withdrawal(self, sender: str, withdrawal: LeaseWithdrawal) -> None:
        vote = self._votes[withdrawal.lease]
        if vote.grantee == sender:
            vote.grant_expires_at = 0.0


@pytest.mark.parametrize(
    ("kind", "sync_first", "size", "first"),
    [
        (NoAbstention, True, 3, 0),
        (NoAbstention, True, 5, 0),
        (NoLockDelay, True, 3, 0),
        (NoLockDelay, True, 5, 0),
        (GrantsToSeveral, True, 3, 0),
        (CountsFromAnswer, True, 5, 200),
        (RestoresNothing, True, 3, 0),
        (GivesTermsTwice, True, 4, 6400),
        (WithdrawalFreesAll, True, 5, 0),
        (ForgetsEarlierViews, True, 5, 500),
        (None, False, 4, 800),
    ],
)
def test_explorer_finds_what_a_guard_is_for(kind: Kind, sync_first: bool, size: int, first: int) -> None:
    """`first`: the seed to begin with, where it would take long from 0."""
    with pytest.raises(ViolationError) as caught:
        explore(range(first, first + 5000), size, kind, sync_first=sync_first, until=10.0)
    print(caught.value)


# By hand


def calm(size: int = 3) -> World:
    """A world without loss or fault, its disks fast."""
    world = World(1, size)
    world.loss, world.slow, world.syncs = 0.0, 0.0, (0.001,)
    return world


def run_until(world: World, until: float) -> None:
    """Step on without faults."""
    while world.events and world.events[0][0] < until:
        world.now, _, call = heapq.heappop(world.events)
        call()
    world.now = until


def holder(world: World) -> str | None:
    held = [n.name for n in world.nodes.values() if n.election and n.election.fencing_token(world.now, LEASE)]
    return held[0] if held else None


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_a_fresh_system_has_a_holder_soon_and_keeps_it(size: int) -> None:
    world = calm(size)
    run_until(world, 1.5)
    first, term = holder(world), world.last_act[1]
    assert first
    records = sum(len(node.disk) for node in world.nodes.values())
    for second in range(2, 30):
        run_until(world, float(second))
        assert holder(world) == first
        assert world.last_act[1] == term
    assert sum(len(node.disk) for node in world.nodes.values()) == records


@pytest.mark.parametrize("size", [3, 5])
def test_another_takes_over_after_lease_and_lock_delay(size: int) -> None:
    world = calm(size)
    run_until(world, 5.0)
    gone = world.nodes[holder(world)]
    gone.election = None
    last_act = world.last_act[2]
    run_until(world, 5.0 + sum(DURATIONS[LEASE]) + 3.0)
    assert holder(world) not in (None, gone.name)
    assert world.last_act[1] > 1 << 20
    assert world.holder_changes == 1
    assert last_act <= 5.0


def test_after_a_release_only_the_lock_delay_passes() -> None:
    world = calm()
    run_until(world, 5.0)
    node = world.nodes[holder(world)]
    node.election.release(world.now, LEASE)
    world.step(node)
    assert node.election.fencing_token(world.now, LEASE) is None
    run_until(world, 5.0 + DURATIONS[LEASE].lock_delay_s)
    assert holder(world) is None
    run_until(world, 5.0 + DURATIONS[LEASE].lock_delay_s + 1.0)
    assert holder(world) not in (None, node.name)


@pytest.mark.parametrize(("kind", "size", "first"), [(GrantsAfterAccepting, 4, 0), (NoAbstention, 4, 0)])
def test_explorer_finds_what_a_guard_of_exchanges_is_for(kind: Kind, size: int, first: int) -> None:
    with pytest.raises(ViolationError) as caught:
        explore(range(first, first + 5000), size, kind, until=10.0, exchanges=True)
    print(caught.value)


def voter(*, formed_now: bool = True) -> LeaseElection:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, ["c", "d", "v"], formed_now=formed_now)
    return election


def ask(term: int, *, view: int = 1, incarnation: int = 1, renewal: bool = False) -> list[Any]:
    return ["ask", LEASE, view, term, incarnation, 9, renewal]


def test_a_grant_waits_for_the_sync_and_a_renewal_needs_none() -> None:
    election = voter()
    election.on_message(0.0, "c", ask(5))
    [action] = election.take_actions()
    assert action == Persist(["ballot", LEASE, 5, "c/1"], [("c", ["grant", LEASE, 1, 5, 9])])
    election.on_message(0.1, "c", ask(5, renewal=True))
    assert isinstance(election.take_actions()[0], Persist)  # not known to be synced yet
    election.on_synced(action.record)
    election.on_message(0.2, "c", ask(5, renewal=True))
    assert election.take_actions() == [Send("c", ["grant", LEASE, 1, 5, 9])]
    assert election.records() == [["ballot", LEASE, 5, "c/1"]]


def test_a_voter_refuses() -> None:
    election = voter()
    election.on_message(0.0, "c", ask(5))
    election.take_actions()
    for message, sender, wait_s in [
        (ask(6), "d", 1.5),  # promised to another
        (ask(6, view=2), "c", 0.0),
        (ask(4), "c", 0.0),
        (ask(5, incarnation=2), "c", 0.0),  # another incarnation, the same term
    ]:
        election.on_message(0.0, sender, message)
        assert election.take_actions() == [Send(sender, ["refuse", LEASE, 1, 5, 9, wait_s])]
    election.on_message(1.5, "d", ask(5))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 1, 5, 9, 0.0])]
    election.on_message(1.5, "d", ask(6))
    assert isinstance(election.take_actions()[0], Persist)


def test_a_restarted_voter_abstains_and_knows_its_durations() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.restore([["ballot", LEASE, 7, "c/1"], ["entry", 3], ["ballot", LEASE, 6, "d/1"]])
    election.set_view(0.0, 1, ["c", "d", "v"], formed_now=True)  # it has voted before: not fresh
    election.on_message(1.0, "d", ask(8))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 1, 7, 9, 0.5])]
    election.on_message(1.0, "c", ask(7, renewal=True))
    assert election.take_actions() == [Send("c", ["grant", LEASE, 1, 7, 9])]
    assert election.records() == [["ballot", LEASE, 7, "c/1"]]


def test_a_voter_that_has_abstained_once_does_not_so_again_with_the_next_view() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.restore([["ballot", LEASE, 7, "c/1"]])
    election.set_view(0.0, 4, ["c", "d", "v"])
    election.set_view(2.0, 5, ["c", "d", "v"])
    election.on_message(2.0, "d", ask(8, view=5))
    assert isinstance(election.take_actions()[0], Persist)


def test_a_voter_that_has_missed_a_view_abstains() -> None:
    election = voter()
    election.set_view(2.0, 3, ["c", "d", "v"])
    election.on_message(3.0, "d", ask(8, view=3))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 3, 0, 9, 0.5])]


def test_who_has_accepted_the_next_view_grants_nothing_in_the_present_one() -> None:
    election = voter()
    election.on_message(0.0, "c", ask(5))
    election.take_actions()
    election.stop_granting(1)
    for message in (ask(5, renewal=True), ask(6)):
        election.on_message(0.1, "c", message)
        assert election.take_actions() == [Send("c", ["refuse", LEASE, 1, 5, 9, 0.0])]
    election.set_view(0.2, 2, ["c", "v", "w"])
    election.on_message(0.2, "c", ask(5, view=2, renewal=True))
    assert isinstance(election.take_actions()[0], Persist)


def test_only_the_newcomer_abstains_after_an_exchange() -> None:
    election = voter()
    election.set_view(5.0, 2, ["d", "v", "w"])
    election.on_message(5.0, "d", ask(9 << 20, view=2))
    assert isinstance(election.take_actions()[0], Persist)
    newcomer = LeaseElection("w", DURATIONS, Random(1))
    newcomer.set_view(5.0, 2, ["d", "v", "w"])
    newcomer.on_message(6.0, "d", ask(9 << 20, view=2))
    assert newcomer.take_actions() == [Send("d", ["refuse", LEASE, 2, 0, 9, 0.5])]


def test_no_voter_grants_nothing() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, ["c", "d"])
    election.on_message(9.0, "c", ask(5))
    assert election.take_actions() == [Send("c", ["refuse", LEASE, 1, 0, 9, 0.0])]


def test_two_removals_in_a_row_make_voters_abstain() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, list("vwxyz"), formed_now=True)
    election.set_view(5.0, 2, list("vwxy"))
    election.on_message(5.0, "w", ask(9 << 20, view=2))
    assert isinstance(election.take_actions()[0], Persist)
    election.on_message(5.0, "w", ["withdraw", LEASE, 9 << 20, 1])
    election.set_view(6.0, 3, list("vwx"))  # v, w are a majority, and so were x, y, z
    election.on_message(7.0, "w", ask(10 << 20, view=3))
    assert election.take_actions() == [Send("w", ["refuse", LEASE, 3, 9 << 20, 9, 0.5])]


@pytest.mark.parametrize(
    "message",
    [[], ["ask"], ["ask", LEASE], ["ask", LEASE, 1, "5", 1, 9, False], ["grant", LEASE, 1], ["no", LEASE], 5],
)
def test_a_bad_message_is_a_typed_error(message: Any) -> None:  # noqa: ANN401
    election = voter()
    with pytest.raises(LeaseMessageError):
        election.on_message(0.0, "c", message)
    assert election.take_actions() == []


def test_messages_of_unknown_leases_are_passed_over() -> None:
    election = voter()
    election.on_message(0.0, "c", ["ask", "other", 1, 5, 1, 9, False])
    assert election.take_actions() == []


@pytest.mark.parametrize(
    ("message", "wire"),
    [
        (LeaseRequest(LEASE, 1, 5, 7, 9, True), ["ask", LEASE, 1, 5, 7, 9, True]),
        (LeaseGrant(LEASE, 1, 5, 9), ["grant", LEASE, 1, 5, 9]),
        (LeaseRefusal(LEASE, 1, 5, 9, 0.5), ["refuse", LEASE, 1, 5, 9, 0.5]),
        (LeaseRelease(LEASE, 5, 7), ["release", LEASE, 5, 7]),
        (LeaseWithdrawal(LEASE, 5, 7), ["withdraw", LEASE, 5, 7]),
    ],
)
def test_a_message_has_one_form_on_the_wire(message: LeaseMessage, wire: list[Any]) -> None:
    assert message.to_wire() == wire
    assert message_from_wire(wire, DURATIONS) == message
    assert type(message_from_wire(wire, DURATIONS)) is type(message)


def test_a_term_has_one_form_on_disk() -> None:
    record = TermRecord(LEASE, Term.of(5, "c:1", 255))
    assert record.to_stored() == ["ballot", LEASE, 5, "c:1/ff"]
    assert TermRecord.from_stored(record.to_stored()) == record
