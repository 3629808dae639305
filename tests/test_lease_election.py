"""Lease elections: single cases, and seeded random schedules that must detect each disabled guard."""

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
    """A node's part in the elections; `kind` replaces the class of its voter or its candidate."""
    election = LeaseElection(name, DURATIONS, random)
    if kind is not None:
        overridden = {name for name in vars(kind) if not name.startswith("__")}
        assert overridden <= set(dir(kind.__base__))  # the overridden methods still exist
        part = election.voter if issubclass(kind, Voter) else election.candidate
        part.__class__ = kind
    return election


class ViolationError(Exception):
    """An invariant is violated."""


# Random schedules


@dataclass
class Node:
    """A machine: its process (None while it is down), its disk, and the views that it knows of."""

    name: str
    election: LeaseElection | None = None
    incarnation: int = 0
    disk: list[list[Any]] = field(default_factory=list)
    view: int = 0  # the newest view that it knows of; durable at once
    resumes_at: float = 0.0
    deferred_calls: list[Callable[[], None]] = field(default_factory=list)
    accepted: int = 0  # the view whose successor it has accepted; durable at once
    in_views: bool = True  # the views contain its current incarnation


class Simulation:
    """One random schedule. `run` raises ViolationError; `holder_changes` counts changes of the holder."""

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
        """`exchanges`: a single view change may replace a voter by another node."""
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
        self.slow = 0.1  # fraction of the messages that take up to 2 s
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
            election.set_view(self.now, 1, self.voters(node, 1), created_now=True)
        elif node.view:
            election.set_view(self.now, node.view, self.voters(node, node.view))
        election.stop_granting(node.accepted)
        election.campaign(self.now, LEASE)
        self.after(self.random.random() * TICK_S, lambda: self.tick(node, node.incarnation))

    def voters(self, node: Node, number: int) -> list[str]:
        voters = self.views[number - 1]
        return voters if node.in_views else [name for name in voters if name != node.name]

    def can_call_now(self, node: Node, incarnation: int, call: Callable[[], None]) -> bool:
        """Whether the call may be made now; calls to a paused node are deferred until it resumes."""
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
        if self.can_call_now(node, incarnation, lambda: self.tick(node, incarnation)):
            node.election.tick(self.now)
            self.run_actions(node)
            self.after(TICK_S, lambda: self.tick(node, incarnation))

    def run_actions(self, node: Node) -> None:
        for action in node.election.take_actions():
            if isinstance(action, Send):
                self.send(node, action.to, action.message)
            else:
                self.persist(node, action)
        self.check_invariants()

    def persist(self, node: Node, action: Persist) -> None:
        incarnation = node.incarnation
        if not self.sync_first:
            for to, message in action.send_after:
                self.send(node, to, message)

        def synced() -> None:
            if node.election is None or node.incarnation != incarnation:
                if node.in_views and self.random.random() < 0.2:
                    node.disk.append(action.record)  # not synced, but on the disk after the crash
                return
            node.disk.append(action.record)
            if self.can_call_now(node, incarnation, on_synced):
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
        if self.can_call_now(node, node.incarnation, lambda: self.deliver(sender, to, message)):
            node.election.on_message(self.now, sender, message)
            self.run_actions(node)

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
                self.run_actions(node)
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
        """Decide the next view by a majority of the current one's voters, after these have entered it."""
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
        one_by_one = self.random.random() < 0.7
        while node.view < number:
            node.view = node.view + 1 if one_by_one else number
            node.election.set_view(self.now, node.view, self.voters(node, node.view))
        self.run_actions(node)

    # Invariants

    def check_invariants(self) -> None:
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
    """Run a schedule for each seed and count schedules, changes of holder, and views."""
    counts: Counter[str] = Counter()
    for seed in seeds:
        simulation = Simulation(seed, size, kind, **kwargs)
        simulation.run(until)
        counts["schedules"] += 1
        counts["holder_changes"] += simulation.holder_changes
        counts["views"] += len(simulation.views)
    return counts


@pytest.mark.parametrize(("size", "seeds"), [(3, 800), (5, 250)])
@pytest.mark.parametrize(("reconfigure", "exchanges"), [(False, False), (True, False), (True, True)])
def test_random_schedules_violate_no_invariant(
    size: int, seeds: int, reconfigure: bool, exchanges: bool
) -> None:
    counts = explore(range(seeds), size, reconfigure=reconfigure, exchanges=exchanges)
    print(size, reconfigure, exchanges, dict(counts))
    assert counts["schedules"] == seeds
    assert counts["holder_changes"] > seeds / 8  # otherwise the schedules exercise nothing
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


class StartsLeaseAtAnswer(Candidate):
    def _lease_start(self, requested_at: float, now: float) -> float:
        return now


class IgnoresEarlierViews(Voter):
    def _earlier_grants_end_at(self, electorate: Electorate, grant_s: float) -> float:
        return 0.0


class RestoresNothing(Voter):
    def restore(self, records: Iterable[TermRecord]) -> None:
        pass


class ReusesTerms(Candidate):
    def _next_term(self, lease: str) -> int:
        highest_term = self._candidacies[lease].highest_term
        term = super()._next_term(lease)
        self._candidacies[lease].highest_term = highest_term
        return term


class GrantsAfterAccepting(Voter):
    def stop_granting(self, view: int) -> None:
        pass


class WithdrawalEndsAllGrants(Voter):
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
        (StartsLeaseAtAnswer, True, 5, 200),
        (RestoresNothing, True, 3, 0),
        (ReusesTerms, True, 4, 6400),
        (WithdrawalEndsAllGrants, True, 5, 0),
        (IgnoresEarlierViews, True, 5, 500),
        (None, False, 4, 800),
    ],
)
def test_random_schedules_detect_a_disabled_guard(
    kind: Kind, sync_first: bool, size: int, first: int
) -> None:
    """`first`: the first seed; a later one than 0 where the search from 0 takes long."""
    with pytest.raises(ViolationError) as caught:
        explore(range(first, first + 5000), size, kind, sync_first=sync_first, until=10.0)
    print(caught.value)


# Single cases


def faultless_simulation(size: int = 3) -> Simulation:
    """A simulation without message loss or faults and with fast disks."""
    simulation = Simulation(1, size)
    simulation.loss, simulation.slow, simulation.syncs = 0.0, 0.0, (0.001,)
    return simulation


def run_until(simulation: Simulation, until: float) -> None:
    """Run the events up to `until` without injecting faults."""
    while simulation.events and simulation.events[0][0] < until:
        simulation.now, _, call = heapq.heappop(simulation.events)
        call()
    simulation.now = until


def holder(simulation: Simulation) -> str | None:
    held = [
        n.name
        for n in simulation.nodes.values()
        if n.election and n.election.fencing_token(simulation.now, LEASE)
    ]
    return held[0] if held else None


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_a_new_system_elects_a_holder_and_keeps_it(size: int) -> None:
    simulation = faultless_simulation(size)
    run_until(simulation, 1.5)
    first, term = holder(simulation), simulation.last_act[1]
    assert first
    records = sum(len(node.disk) for node in simulation.nodes.values())
    for second in range(2, 30):
        run_until(simulation, float(second))
        assert holder(simulation) == first
        assert simulation.last_act[1] == term
    assert sum(len(node.disk) for node in simulation.nodes.values()) == records


@pytest.mark.parametrize("size", [3, 5])
def test_another_node_takes_over_after_lease_and_lock_delay(size: int) -> None:
    simulation = faultless_simulation(size)
    run_until(simulation, 5.0)
    crashed = simulation.nodes[holder(simulation)]
    crashed.election = None
    last_act = simulation.last_act[2]
    run_until(simulation, 5.0 + sum(DURATIONS[LEASE]) + 3.0)
    assert holder(simulation) not in (None, crashed.name)
    assert simulation.last_act[1] > 1 << 20
    assert simulation.holder_changes == 1
    assert last_act <= 5.0


def test_after_a_release_only_the_lock_delay_passes() -> None:
    simulation = faultless_simulation()
    run_until(simulation, 5.0)
    node = simulation.nodes[holder(simulation)]
    node.election.release(simulation.now, LEASE)
    simulation.run_actions(node)
    assert node.election.fencing_token(simulation.now, LEASE) is None
    run_until(simulation, 5.0 + DURATIONS[LEASE].lock_delay_s)
    assert holder(simulation) is None
    run_until(simulation, 5.0 + DURATIONS[LEASE].lock_delay_s + 1.0)
    assert holder(simulation) not in (None, node.name)


@pytest.mark.parametrize(("kind", "size", "first"), [(GrantsAfterAccepting, 4, 0), (NoAbstention, 4, 0)])
def test_random_schedules_with_exchanges_detect_a_disabled_guard(kind: Kind, size: int, first: int) -> None:
    with pytest.raises(ViolationError) as caught:
        explore(range(first, first + 5000), size, kind, until=10.0, exchanges=True)
    print(caught.value)


def new_voter(*, created_now: bool = True) -> LeaseElection:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, ["c", "d", "v"], created_now=created_now)
    return election


def request_message(term: int, *, view: int = 1, incarnation: int = 1, renewal: bool = False) -> list[Any]:
    return ["ask", LEASE, view, term, incarnation, 9, renewal]


def test_a_grant_waits_for_the_sync_and_a_renewal_needs_none() -> None:
    election = new_voter()
    election.on_message(0.0, "c", request_message(5))
    [action] = election.take_actions()
    assert action == Persist(["ballot", LEASE, 5, "c/1"], [("c", ["grant", LEASE, 1, 5, 9])])
    election.on_message(0.1, "c", request_message(5, renewal=True))
    assert isinstance(election.take_actions()[0], Persist)  # not known to be synced yet
    election.on_synced(action.record)
    election.on_message(0.2, "c", request_message(5, renewal=True))
    assert election.take_actions() == [Send("c", ["grant", LEASE, 1, 5, 9])]
    assert election.records() == [["ballot", LEASE, 5, "c/1"]]


def test_a_voter_refuses_conflicting_or_outdated_requests() -> None:
    election = new_voter()
    election.on_message(0.0, "c", request_message(5))
    election.take_actions()
    for message, sender, wait_s in [
        (request_message(6), "d", 1.5),  # granted to another node
        (request_message(6, view=2), "c", 0.0),
        (request_message(4), "c", 0.0),
        (request_message(5, incarnation=2), "c", 0.0),  # another incarnation, the same term
    ]:
        election.on_message(0.0, sender, message)
        assert election.take_actions() == [Send(sender, ["refuse", LEASE, 1, 5, 9, wait_s])]
    election.on_message(1.5, "d", request_message(5))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 1, 5, 9, 0.0])]
    election.on_message(1.5, "d", request_message(6))
    assert isinstance(election.take_actions()[0], Persist)


def test_a_restarted_voter_abstains_and_grants_renewals() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.restore([["ballot", LEASE, 7, "c/1"], ["entry", 3], ["ballot", LEASE, 6, "d/1"]])
    # Its records show that it voted before, so it abstains.
    election.set_view(0.0, 1, ["c", "d", "v"], created_now=True)
    election.on_message(1.0, "d", request_message(8))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 1, 7, 9, 0.5])]
    election.on_message(1.0, "c", request_message(7, renewal=True))
    assert election.take_actions() == [Send("c", ["grant", LEASE, 1, 7, 9])]
    assert election.records() == [["ballot", LEASE, 7, "c/1"]]


def test_a_voter_does_not_abstain_again_when_the_next_view_follows() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.restore([["ballot", LEASE, 7, "c/1"]])
    election.set_view(0.0, 4, ["c", "d", "v"])
    election.set_view(2.0, 5, ["c", "d", "v"])
    election.on_message(2.0, "d", request_message(8, view=5))
    assert isinstance(election.take_actions()[0], Persist)


def test_a_voter_that_has_missed_a_view_abstains() -> None:
    election = new_voter()
    election.set_view(2.0, 3, ["c", "d", "v"])
    election.on_message(3.0, "d", request_message(8, view=3))
    assert election.take_actions() == [Send("d", ["refuse", LEASE, 3, 0, 9, 0.5])]


def test_a_voter_that_accepted_the_next_view_grants_nothing_in_the_current_one() -> None:
    election = new_voter()
    election.on_message(0.0, "c", request_message(5))
    election.take_actions()
    election.stop_granting(1)
    for message in (request_message(5, renewal=True), request_message(6)):
        election.on_message(0.1, "c", message)
        assert election.take_actions() == [Send("c", ["refuse", LEASE, 1, 5, 9, 0.0])]
    election.set_view(0.2, 2, ["c", "v", "w"])
    election.on_message(0.2, "c", request_message(5, view=2, renewal=True))
    assert isinstance(election.take_actions()[0], Persist)


def test_only_the_new_voter_abstains_after_an_exchange() -> None:
    election = new_voter()
    election.set_view(5.0, 2, ["d", "v", "w"])
    election.on_message(5.0, "d", request_message(9 << 20, view=2))
    assert isinstance(election.take_actions()[0], Persist)
    new_node = LeaseElection("w", DURATIONS, Random(1))
    new_node.set_view(5.0, 2, ["d", "v", "w"])
    new_node.on_message(6.0, "d", request_message(9 << 20, view=2))
    assert new_node.take_actions() == [Send("d", ["refuse", LEASE, 2, 0, 9, 0.5])]


def test_a_node_that_is_no_voter_refuses() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, ["c", "d"])
    election.on_message(9.0, "c", request_message(5))
    assert election.take_actions() == [Send("c", ["refuse", LEASE, 1, 0, 9, 0.0])]


def test_two_removals_in_a_row_make_voters_abstain() -> None:
    election = LeaseElection("v", DURATIONS, Random(1))
    election.set_view(0.0, 1, list("vwxyz"), created_now=True)
    election.set_view(5.0, 2, list("vwxy"))
    election.on_message(5.0, "w", request_message(9 << 20, view=2))
    assert isinstance(election.take_actions()[0], Persist)
    election.on_message(5.0, "w", ["withdraw", LEASE, 9 << 20, 1])
    election.set_view(6.0, 3, list("vwx"))  # v, w are a majority, and so were x, y, z
    election.on_message(7.0, "w", request_message(10 << 20, view=3))
    assert election.take_actions() == [Send("w", ["refuse", LEASE, 3, 9 << 20, 9, 0.5])]


@pytest.mark.parametrize(
    "message",
    [[], ["ask"], ["ask", LEASE], ["ask", LEASE, 1, "5", 1, 9, False], ["grant", LEASE, 1], ["no", LEASE], 5],
)
def test_a_malformed_message_raises_lease_message_error(message: Any) -> None:  # noqa: ANN401
    election = new_voter()
    with pytest.raises(LeaseMessageError):
        election.on_message(0.0, "c", message)
    assert election.take_actions() == []


def test_messages_about_unknown_leases_are_ignored() -> None:
    election = new_voter()
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
