"""Random schedules of the agreement on views alone, without chain and membership.

Proposals are random, messages are delayed or lost, and restarts keep the synced records. All machines must
install the same sequence of views.
"""

import heapq
from collections.abc import Callable
from random import Random

import pytest

from plumline.coordination.environment import Member, Message, Record
from plumline.coordination.view import View
from plumline.coordination.view_agreement import PROPOSAL_TIMEOUT_S, ViewAgreement
from tests.core_mutations import ForgetsAccepted, ForgetsPromises
from tests.core_register import ViolationError

MEMBERS: tuple[Member, ...] = (Member("a", "a-1"), Member("b", "b-1"), Member("c", "c-1"))
SYNC_S = 0.02


class Machine:
    """An acceptor and proposer with its disk, and the environment of its `ViewAgreement`."""

    def __init__(self, schedule: "ViewSchedule", member: Member) -> None:
        self.schedule, self.member, self.run_number = schedule, member, 0
        self.disk: list[Record] = [["view", View(1, MEMBERS, MEMBERS).to_wire()]]
        self.unsynced: list[Record] = []
        self.start()

    def start(self) -> None:
        self.run_number += 1
        self.disk += self.unsynced[: self.schedule.random.randint(0, len(self.unsynced))]
        self.unsynced = []
        self.agreement = self.schedule.agreement_class(self.member, self, self.schedule.on_installed)
        for record in self.disk:
            self.agreement.restore(record)

    def send(self, to: str, message: Message) -> None:
        self.schedule.send(self.member[0], to, message)

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        run_number = self.run_number
        self.unsynced.append(record)

        def on_synced() -> None:
            if self.run_number == run_number:
                self.disk.append(self.unsynced.pop(0))
                done()

        self.schedule.at(SYNC_S, on_synced)


class ViewSchedule:
    """One random schedule."""

    def __init__(self, seed: int, agreement_class: type[ViewAgreement] = ViewAgreement) -> None:
        self.random, self.agreement_class = Random(seed), agreement_class
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.decided: dict[int, View] = {}
        self.machines = {member[0]: Machine(self, member) for member in MEMBERS}
        self.delayed_share = self.random.choice([0.2, 0.5])

    def at(self, delay: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, call))

    def send(self, sender: str, to: str, message: Message) -> None:
        if to != sender and self.random.random() < 0.1:
            return
        delayed = to != sender and self.random.random() < self.delayed_share
        delay = self.random.uniform(0.1, 3.0) if delayed else 0.005
        self.at(delay, lambda: self.machines[to].agreement.on_message(sender, message))

    def on_installed(self, view: View) -> None:
        if self.decided.setdefault(view.number, view) != view:
            raise ViolationError(f"{view} and {self.decided[view.number]}")

    def step(self) -> None:
        """Makes a random machine propose a chain or restart."""
        self.at(self.random.uniform(0.02, 0.3), self.step)
        machine = self.random.choice(list(self.machines.values()))
        if self.random.random() < 0.4:
            machine.start()
            return
        chain = tuple(self.random.sample(MEMBERS, self.random.randint(1, 3)))
        agreement = machine.agreement
        agreement.next_proposal_at = 0.0
        if agreement.view and (
            agreement.proposal is None or self.now - agreement.proposal.started_at > PROPOSAL_TIMEOUT_S
        ):
            agreement.propose(self.now, self.random, View(agreement.view.number + 1, MEMBERS, chain))

    def run(self, seconds: float) -> int:
        """Runs for so many simulated seconds; returns the number of views that were decided."""
        self.step()
        while self.events[0][0] < seconds:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return len(self.decided)


def explore(seeds: range, agreement_class: type[ViewAgreement] = ViewAgreement) -> int:
    return sum(ViewSchedule(seed, agreement_class).run(20.0) for seed in seeds)


def test_one_view_follows_another() -> None:
    schedules = 400
    views = explore(range(schedules))
    print(schedules, "schedules", views, "views")
    assert views > 5 * schedules


@pytest.mark.parametrize("agreement_class", [ForgetsPromises, ForgetsAccepted])
def test_schedules_detect_votes_lost_in_a_restart(agreement_class: type[ViewAgreement]) -> None:
    with pytest.raises(ViolationError) as caught:
        explore(range(5000), agreement_class)
    print(caught.value)
