"""Views alone, without chain or membership: proposals at random, messages that come late, twice or never, and
restarts, which keep what was synced. One view follows another, whoever learns it."""

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
    """An acceptor and proposer with its disk. It is the environment of its views."""

    def __init__(self, world: "ViewSchedule", me: Member) -> None:
        self.world, self.me, self.life = world, me, 0
        self.disk: list[Record] = [["view", View(1, MEMBERS, MEMBERS).to_wire()]]
        self.unsynced: list[Record] = []
        self.start()

    def start(self) -> None:
        self.life += 1
        self.disk += self.unsynced[: self.world.random.randint(0, len(self.unsynced))]
        self.unsynced = []
        self.views = self.world.kind(self.me, self, self.world.installed)
        for record in self.disk:
            self.views.restore(record)

    def send(self, to: str, message: Message) -> None:
        self.world.send(self.me[0], to, message)

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        life = self.life
        self.unsynced.append(record)

        def synced() -> None:
            if self.life == life:
                self.disk.append(self.unsynced.pop(0))
                done()

        self.world.at(SYNC_S, synced)


class ViewSchedule:
    """One random schedule of so many seconds."""

    def __init__(self, seed: int, kind: type[ViewAgreement] = ViewAgreement) -> None:
        self.random, self.kind = Random(seed), kind
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.decided: dict[int, View] = {}
        self.machines = {me[0]: Machine(self, me) for me in MEMBERS}
        self.late = self.random.choice([0.2, 0.5])

    def at(self, delay: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, call))

    def send(self, sender: str, to: str, message: Message) -> None:
        if to != sender and self.random.random() < 0.1:
            return
        late = to != sender and self.random.random() < self.late
        delay = self.random.uniform(0.1, 3.0) if late else 0.005
        self.at(delay, lambda: self.machines[to].views.on_message(sender, message))

    def installed(self, view: View) -> None:
        if self.decided.setdefault(view.number, view) != view:
            raise ViolationError(f"{view} and {self.decided[view.number]}")

    def step(self) -> None:
        """Somebody proposes a chain, or restarts."""
        self.at(self.random.uniform(0.02, 0.3), self.step)
        machine = self.random.choice(list(self.machines.values()))
        if self.random.random() < 0.4:
            machine.start()
            return
        chain = tuple(self.random.sample(MEMBERS, self.random.randint(1, 3)))
        views = machine.views
        views.next_proposal_at = 0.0
        if views.view and (
            views.proposal is None or self.now - views.proposal.started_at > PROPOSAL_TIMEOUT_S
        ):
            views.propose(self.now, self.random, View(views.view.number + 1, MEMBERS, chain))

    def run(self, seconds: float) -> int:
        """How many views were decided."""
        self.step()
        while self.events[0][0] < seconds:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return len(self.decided)


def explore(seeds: range, kind: type[ViewAgreement] = ViewAgreement) -> int:
    return sum(ViewSchedule(seed, kind).run(20.0) for seed in seeds)


def test_one_view_follows_another() -> None:
    schedules = 400
    views = explore(range(schedules))
    print(schedules, "schedules", views, "views")
    assert views > 5 * schedules


@pytest.mark.parametrize("kind", [ForgetsPromises, ForgetsAccepted])
def test_schedules_find_what_a_restart_must_not_forget(kind: type[ViewAgreement]) -> None:
    with pytest.raises(ViolationError) as caught:
        explore(range(5000), kind)
    print(caught.value)
