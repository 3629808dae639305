"""Random schedules of faults within a deployment's loss tolerance, which check that the core still serves.

A place of the core counts as lost while its machine is down, frozen, slow or partitioned, and for
`CATCH_UP_S` after that. A replaced machine counts until its successor has run for that long. Disks are lost
and machines removed for good only while the lost places stay within the tolerance. All processes may be
killed at any time, as by a power loss, with their disks kept.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from plumline.coordination.environment import Message
from plumline.coordination.lease import LeaseDurations
from plumline.errors import PlumlineError
from tests.core_leases import Holder, LeaseObserver
from tests.core_register import Register, ViolationError
from tests.core_world import Node, World, short_logs

CATCH_UP_S = 4.0  # the smallest bound of a deployment (docs/control-safety/membership.md)
SERVICE_TIMEOUT_S = 7.0  # for the core to become stable (ContactMs), and then for an answer (AcknowledgeMs)
#: For a lease to be held again: its duration, the lock delay, the abstention of new voters, and some rounds.
LEASE_TIMEOUT_S = 14.0
LEAVE_TIMEOUT_S = 6.0  # maximum wait of a draining process
DISK_UNHEALTHY_AFTER_S = 0.6  # a machine with a write unsynced for longer reports its disk as unhealthy
LEASES = {"discovery": LeaseDurations(1.2, 0.0), "weights": LeaseDurations(1.0, 3.4)}
FOREVER = float("inf")


class Fault(StrEnum):
    """Kinds of faults and operations in a schedule; FAULT_WEIGHTS has their relative frequencies."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    ONE_WAY = "one-way"
    PAIR_CUT = "pair-cut"
    SLOW_LINK = "slow-link"
    SLOW_DISK = "slow-disk"
    WIPE = "wipe"
    WIPE_AND_KILL_ALL = "wipe-and-kill-all"
    KILL_ALL = "kill-all"
    RESET = "reset"
    RESTART = "planned-restart"
    REPLACE = "replace"
    REPLACE_PLANNED = "replace-planned"
    SEEDS = "seeds"


FAULT_WEIGHTS = {
    Fault.KILL: 3,
    Fault.FREEZE: 3,
    Fault.CUT: 3,
    Fault.ONE_WAY: 2,
    Fault.PAIR_CUT: 2,
    Fault.SLOW_LINK: 2,
    Fault.SLOW_DISK: 2,
    Fault.WIPE: 4,
    Fault.WIPE_AND_KILL_ALL: 2,
    Fault.KILL_ALL: 2,
    Fault.RESET: 2,
    Fault.RESTART: 3,
    Fault.REPLACE: 3,
    Fault.REPLACE_PLANNED: 3,
    Fault.SEEDS: 1,
}
FAULTS_WITHOUT_LOSS = {Fault.RESET, Fault.SEEDS, Fault.KILL_ALL}
FAULTS_KEEPING_DISK = {
    Fault.KILL,
    Fault.FREEZE,
    Fault.CUT,
    Fault.ONE_WAY,
    Fault.PAIR_CUT,
    Fault.SLOW_LINK,
    Fault.SLOW_DISK,
    Fault.RESTART,
}


@dataclass(eq=False)
class Place:
    """A place of the core: its current machine, and until when that counts as lost. A replaced machine counts
    in addition until its successor has run for CATCH_UP_S."""

    name: str
    lost_until: float = 0.0
    predecessor_lost_until: float = 0.0
    fault_count: int = 0  # in progress now
    replacing: bool = False

    def lost(self, now: float) -> bool:
        return self.fault_count > 0 or now < self.lost_until

    def lost_machines(self, now: float) -> int:
        return int(self.lost(now)) + int(now < self.predecessor_lost_until)


@dataclass
class ActiveFaults:
    """Active faults of links and disks, by machine."""

    inbound_cut: set[str] = field(default_factory=set)  # messages to it are dropped
    outbound_cut: set[str] = field(default_factory=set)  # messages from it are dropped
    slow_links: set[str] = field(default_factory=set)
    stalled_until: dict[str, float] = field(default_factory=dict)
    reset_at: dict[str, float] = field(default_factory=dict)  # messages in flight at that time are lost
    arrived: dict[tuple[str, str], float] = field(default_factory=dict)  # newest arrival on each link
    unsynced_since: dict[str, float] = field(default_factory=dict)


class ToleranceSchedule(World):
    """Tolerates `losses` at once. `exceed_tolerance`: faults that keep the disk may overlap in any number;
    service is then checked only after a moment without lost places, and at the end."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        *,
        losses: int = 1,
        exceed_tolerance: bool = False,
        mutate: Callable[[Any], None] = lambda core: None,
        **kwargs: Any,  # noqa: ANN401
    ) -> None:
        super().__init__(
            seed, size, copies=losses + 1, quiet=True, seeds=3, start=False, mutate=mutate, **kwargs
        )
        self.losses, self.exceed_tolerance = losses, exceed_tolerance
        self.leases = LEASES
        self.observers = [LeaseObserver(name, durations) for name, durations in LEASES.items()]
        self.places = [Place(name) for name in self.nodes]
        self.active_faults = ActiveFaults()
        self.sync_delays = self.random.choice([(0.002,), (0.002, 0.01), (0.005, 0.05)])
        self.jitter_s = self.random.choice([0.0, 0.004])
        self.faults_per_s = self.random.choice([0.3, 1.0, 3.0])
        self.tolerance_exceeded = False  # losses went beyond the tolerance, and not all places are back
        self.killed_until = 0.0  # all machines killed together are back by then
        self.faults_held_until = 0.0  # no fault ends before
        self.longest_wait_s: dict[str, float] = {}  # longest waits, in seconds, by kind
        for node in self.nodes.values():
            self.start(node)

    # Accounting of losses

    def lost_places(self) -> list[Place]:
        return [place for place in self.places if place.lost(self.now)]

    def tolerates(self, *more: Place) -> bool:
        """Whether these places may be lost in addition."""
        now = [place.lost_machines(self.now) for place in self.places]
        return sum(now) + sum(not each.lost(self.now) for each in set(more)) <= self.losses

    def lost_copies(self) -> int:
        """A lost or draining member may already have left the chain and discarded entries that its successor
        still commits in the previous view."""
        leaving = [node for node in self.nodes.values() if node.core and node.core.membership.draining]
        return sum(place.lost_machines(self.now) for place in self.places) + len(leaving)

    def is_tolerance_exceeded(self) -> bool:
        """Whether losses went beyond the tolerance, and not all places are back."""
        self.tolerance_exceeded = self.tolerance_exceeded and bool(self.lost_places())
        return self.tolerance_exceeded

    def begin_fault(self, place: Place) -> None:
        place.fault_count += 1

    def end_fault(self, place: Place) -> None:
        place.fault_count -= 1
        place.lost_until = max(place.lost_until, self.now + CATCH_UP_S)

    def schedule_fault_end(self, delay: float, call: Callable[[], None]) -> None:
        """Schedules the end of a fault, postponed while `faults_held_until` is in the future."""

        def end_or_postpone() -> None:
            if self.now < self.faults_held_until:
                self.schedule_fault_end(self.faults_held_until - self.now, call)
            else:
                call()

        self.at(delay, end_or_postpone)

    # Links and disks

    def is_cut(self, sender: str, to: str) -> bool:
        return (
            (sender, to) in self.cut
            or sender in self.active_faults.outbound_cut
            or to in self.active_faults.inbound_cut
        )

    def link_delay(self, sender: str, to: str) -> float:
        """Links deliver messages in order, as connections do."""
        delay = super().link_delay(sender, to)
        if {sender, to} & self.active_faults.slow_links:
            delay += self.random.uniform(0.2, 1.0)
        arrives = max(self.now + delay, self.active_faults.arrived.get((sender, to), 0.0) + 1e-6)
        self.active_faults.arrived[sender, to] = arrives
        return arrives - self.now

    def sync_delay(self, node: Node) -> float:
        if len(node.unsynced) == 1:
            self.active_faults.unsynced_since[node.name] = self.now
        stall = self.active_faults.stalled_until.get(node.name, 0.0) - self.now
        return max(0.0, stall) + super().sync_delay(node)

    def before_tick(self, node: Node) -> None:
        waited = self.now - self.active_faults.unsynced_since.get(node.name, self.now)
        node.core.disk_unhealthy = bool(node.unsynced) and waited > DISK_UNHEALTHY_AFTER_S

    def arrive(self, sent: float, sender: str, to: str, message: Message) -> None:
        resets = self.active_faults.reset_at
        if sent >= max(resets.get(sender, 0.0), resets.get(to, 0.0)):
            self.deliver(sender, to, message)

    def start_core(self, node: Node) -> None:
        super().start_core(node)
        for lease in self.leases:
            node.core.campaign(self.now + node.offset, lease)

    def after_step(self, node: Node) -> None:
        super().after_step(node)
        for observer in self.observers:
            observer.observe(self.now, self.holders(observer.name))

    def holders(self, lease: str) -> list[tuple[Holder, int]]:
        found = []
        for node in self.nodes.values():
            if node.core and self.now >= node.frozen_until:
                token = node.core.lease_election.fencing_token(self.now + node.offset, lease)
                if token is not None:
                    found.append((Holder(node.name, node.generation), token))
        return found

    # Faults

    def inject_random_fault(self) -> None:
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(self.faults_per_s), self.inject_random_fault)
        [kind] = self.random.choices(list(FAULT_WEIGHTS), FAULT_WEIGHTS.values())
        place = self.choose_place()
        tolerated = kind in FAULTS_WITHOUT_LOSS or (
            self.tolerates(place) and not (kind not in FAULTS_KEEPING_DISK and self.is_tolerance_exceeded())
        )
        if (tolerated or (self.exceed_tolerance and kind in FAULTS_KEEPING_DISK)) and self.inject(
            kind, place
        ):
            self.tolerance_exceeded |= not tolerated
            self.counts[kind] += 1

    def choose_place(self) -> Place:
        """A random place; more often that of the chain's head or tail, or of a lease holder."""
        place = self.random.choice(self.places)
        if self.newest and self.random.random() < 0.3:
            name = self.random.choice([self.newest.chain[0][0], self.newest.chain[-1][0]])
            return next((each for each in self.places if each.name == name), place)
        lease_holders = [each.tenure.holder.name for each in self.observers if each.tenure]
        if lease_holders and self.random.random() < 0.3:
            name = self.random.choice(lease_holders)
            return next((each for each in self.places if each.name == name), place)
        return place

    def inject(self, kind: Fault, place: Place) -> bool:
        """Injects the fault; returns False if that is not possible now."""
        node = self.nodes[place.name]
        match kind:
            case Fault.KILL:
                self.kill(place, self.random.choice([0.01, 0.5, 2.0, 6.0]))
            case Fault.WIPE:
                self.wipe(node)
                self.kill(place, self.random.choice([0.01, 0.5, 2.0, 6.0]))
            case Fault.KILL_ALL:
                self.kill_all(self.random.choice([0.2, 1.0, 3.0]))
            case Fault.WIPE_AND_KILL_ALL:
                self.wipe_up_to_tolerance(place)
                self.kill_all(1.0)
            case Fault.FREEZE if node.core:
                seconds = self.random.choice([0.3, 1.0, 2.0, 5.0])
                self.freeze(node, seconds)
                self.add_timed_fault(place, seconds, lambda: None)
            case Fault.CUT | Fault.ONE_WAY:
                self.cut_off(place, kind)
            case Fault.PAIR_CUT:
                self.cut_pair(place)
            case Fault.SLOW_LINK:
                self.active_faults.slow_links.add(node.name)
                self.add_timed_fault(
                    place, self.random_duration_s(), lambda: self.active_faults.slow_links.discard(node.name)
                )
            case Fault.SLOW_DISK:
                seconds = self.random.choice([0.3, 1.0, 3.0])
                self.active_faults.stalled_until[node.name] = self.now + seconds
                self.add_timed_fault(place, seconds, lambda: None)
            case Fault.RESET:
                self.active_faults.reset_at[node.name] = self.now
            case Fault.RESTART if node.core and not place.replacing:
                self.restart(place)
            case Fault.REPLACE if not place.replacing:
                self.replace(place)
            case Fault.REPLACE_PLANNED if node.core and not place.replacing:
                self.replace_planned(place)
            case Fault.SEEDS:
                self.change_seeds()
            case _:
                return False
        return True

    def random_duration_s(self) -> float:
        return self.random.choice([0.3, 1.0, 3.0, 8.0])

    def add_timed_fault(self, place: Place, seconds: float, stop: Callable[[], None]) -> None:
        self.begin_fault(place)

        def on_end() -> None:
            stop()
            self.end_fault(place)

        self.schedule_fault_end(seconds, on_end)

    def kill(self, place: Place, down_s: float) -> None:
        node = self.nodes[place.name]
        self.crash(node)
        self.add_timed_fault(place, down_s, lambda: self.start(node))

    def kill_all(self, within: float) -> None:
        """Kills all processes, as a power loss does: unsynced records may be lost. All restart soon, except
        those that were down before."""
        for place in self.places:
            node = self.nodes[place.name]
            if node.core is None:
                continue
            self.crash(node)
            self.begin_fault(place)
            self.at(
                self.random.random() * within, lambda place=place, node=node: self.bring_back(place, node)
            )
        self.faults_held_until = max(self.faults_held_until, self.now + within)
        self.killed_until = self.now + within
        for place in self.places:
            if place.predecessor_lost_until > self.now:
                place.predecessor_lost_until = self.killed_until + CATCH_UP_S

    def bring_back(self, place: Place, node: Node) -> None:
        self.start(node)
        self.end_fault(place)

    def wipe_up_to_tolerance(self, place: Place) -> None:
        """Wipes as many machines as the tolerance allows, including this one."""
        others = [each for each in self.places if each is not place]
        for each in [place, *self.random.sample(others, len(others))]:
            if self.tolerates(each):
                self.wipe(self.nodes[each.name])
                self.kill(each, self.random.choice([0.01, 0.5, 2.0]))

    def cut_off(self, place: Place, kind: Fault) -> None:
        sets = [self.active_faults.inbound_cut, self.active_faults.outbound_cut]
        if kind is Fault.ONE_WAY:
            sets = [self.random.choice(sets)]
        name = place.name
        for each in sets:
            each.add(name)

        def heal() -> None:
            for each in sets:
                each.discard(name)

        self.add_timed_fault(place, self.random_duration_s(), heal)

    def cut_pair(self, place: Place) -> None:
        """Cuts a pair of links. The place counts as lost, though others reach its machine."""
        other = self.random.choice([each for each in self.places if each is not place])
        links = {(place.name, other.name), (other.name, place.name)}
        self.cut |= links
        self.add_timed_fault(place, self.random_duration_s(), lambda: self.cut.difference_update(links))

    # Planned restarts and replacements

    def restart(self, place: Place) -> None:
        """SIGTERM, and a start some time after the process has exited."""
        node = self.nodes[place.name]
        self.begin_fault(place)
        down_s = self.random.choice([0.1, 1.0, 3.0])
        self.leave(node, lambda: self.schedule_fault_end(down_s, lambda: self.bring_back(place, node)))

    def leave(self, node: Node, on_ended: Callable[[], None]) -> None:
        """The process exits after its handover, or after LEAVE_TIMEOUT_S without it."""
        life, deadline = node.generation, self.now + LEAVE_TIMEOUT_S
        if node.core is None:
            on_ended()
            return
        node.core.begin_draining(self.now + node.offset)

        def check_handover() -> None:
            if node.generation != life or node.core is None:  # killed meanwhile
                on_ended()
                return
            thawed = self.now >= node.frozen_until
            done = thawed and node.core.pending_handover(self.now + node.offset) is None
            if done or self.now >= deadline:
                self.counts["handed over" if done else "left without handing over"] += 1
                self.crash(node, keep=len(node.unsynced))
                on_ended()
                return
            self.at(0.05, check_handover)

        self.at(0.05, check_handover)

    def successor(self, place: Place) -> Node:
        """A new machine with an empty disk, a new address and some seeds."""
        name = f"{place.name[0]}{len(self.nodes)}"
        node = self.nodes[name] = Node(name)
        self.change_seeds()
        return node

    def replace(self, place: Place) -> None:
        """Removes the machine for good; a machine with an empty disk replaces it later."""
        old = self.nodes[place.name]
        place.replacing = True
        self.crash(old)
        old.destroyed = True
        self.begin_fault(place)

        def start_successor() -> None:
            node = self.successor(place)
            place.name, place.replacing = node.name, False
            self.start(node)
            self.end_fault(place)

        self.schedule_fault_end(self.random.choice([0.5, 1.0, 4.0, 8.0]), start_successor)

    def replace_planned(self, place: Place) -> None:
        """Starts the new machine, then sends SIGTERM to the old one, which counts until the new one has had
        time to catch up."""
        old = self.nodes[place.name]
        place.replacing = True
        node = self.successor(place)
        self.start(node)
        started = self.now

        def end_old() -> None:
            if self.is_tolerance_exceeded():
                self.at(1.0, end_old)
                return
            ready_at = max(started, self.killed_until) + CATCH_UP_S
            if self.now < ready_at and not self.tolerates(place):
                self.at(ready_at - self.now, end_old)
                return
            place.name = node.name
            place.predecessor_lost_until = max(ready_at, place.lost_until)
            self.leave(old, retire)

        def retire() -> None:
            self.crash(old)  # it may have been starting, with no process to drain
            old.destroyed = True
            place.replacing = False

        self.at(self.random.choice([1.0, CATCH_UP_S]), end_old)

    def change_seeds(self) -> None:
        """Changes the seeds, and reloads the settings of some processes. At least one seed is available, or
        will be: a new machine whose seeds were all removed for good could find no other."""
        available = [each.name for each in self.places if not each.lost(self.now)]
        available = available or [each.name for each in self.places if not self.nodes[each.name].destroyed]
        if not available:
            return
        first = self.random.choice(available)
        others = [each.name for each in self.places if each.name != first]
        self.seeds = [first, *self.random.sample(others, min(2, len(others)))]
        for node in self.nodes.values():
            if node.core and self.random.random() < 0.5:
                node.core.set_seeds(self.seeds)

    # Service

    def check_service(self, timeout: float) -> Register:
        """Submits a change until it is acknowledged, then reads; ViolationError if that takes too long."""
        done: list[bool] = []
        answers: list[Register] = []
        asked_at = self.now

        def on_answer(error: PlumlineError | None) -> None:
            if error is None:
                done.append(True)

        def try_again() -> None:
            if answers:
                return
            self.at(0.25, try_again)
            for node in self.nodes.values():
                if (
                    node.core is None
                    or self.now < node.frozen_until
                    or node.core.view_agreement.view != self.newest
                ):
                    continue
                if not done and node.core.chain.is_head():
                    self.submit(node, self.change(len(node.core.chain.latest_state.ids)), on_answer)
                if done and node.core.chain.is_tail():
                    self.read(node, lambda state: answers.append(state) if state is not None else None)

        try_again()
        if not self.go(timeout, lambda: bool(answers)):
            outcome = "read is answered" if done else "change is acknowledged"
            raise ViolationError(f"no {outcome} within {timeout} s: {self.describe_state()}")
        self.record_wait("service", self.now - asked_at)
        return answers[0]

    def record_wait(self, what: str, seconds: float) -> None:
        self.longest_wait_s[what] = max(self.longest_wait_s.get(what, 0.0), seconds)

    def describe_state(self) -> str:
        parts = [f"{self.newest}", f"lost: {[each.name for each in self.lost_places()]}"]
        for node in self.nodes.values():
            if core := node.core:
                view = core.view_agreement.view
                parts.append(f"{node.member[1]} view {view and view.number} caught up {core.chain.caught_up}")
        return "; ".join(parts)

    def await_leases(self, timeout: float) -> None:
        asked_at = self.now
        if not self.go(timeout, lambda: all(self.holders(name) for name in self.leases)):
            missing = [name for name in self.leases if not self.holders(name)]
            raise ViolationError(f"no registrar holds {missing} after {timeout} s: {self.describe_state()}")
        self.record_wait("leases", self.now - asked_at)

    # A schedule

    def run(self, seconds: float = 8.0, rounds: int = 2) -> None:
        """Runs rounds of faults for up to `seconds`, each followed by a check of service without new faults.
        A ViolationError names the seed."""
        try:
            self.form()
            for _ in range(rounds):
                self.faults_enabled = True
                self.at(self.random.random(), self.inject_random_fault)
                self.at(self.random.random(), self.send_random_request)
                self.go(self.random.uniform(1.0, seconds))
                self.faults_enabled = False
                self.check_quiet_period()
            self.finish()
        except (ViolationError, AssertionError, IndexError, KeyError, TypeError, ValueError) as error:
            description = f"seed {self.seed}, {len(self.places)} machines, {self.losses} lost at once"
            raise ViolationError(f"{description}, at {self.now:.3f} s: {error!r}") from error

    def form(self) -> None:
        self.settle("".join(self.nodes), within=10.0)
        self.first_start = False
        self.go(CATCH_UP_S)
        self.await_leases(LEASE_TIMEOUT_S)

    def check_quiet_period(self) -> None:
        """Checks service without new faults; active ones go on or end. Skipped if tolerance is exceeded."""
        if self.random.random() < 0.7:
            self.faults_held_until = max(self.faults_held_until, self.now + SERVICE_TIMEOUT_S + 1.0)
        if not self.is_tolerance_exceeded():
            self.counts["stretches"] += 1
            self.check_service(SERVICE_TIMEOUT_S)
        self.faults_held_until = 0.0

    def finish(self) -> None:
        """Waits until all faults end, then checks that the core has recovered: the chain has exactly the
        places' machines, each lease is held, and no acknowledged change is lost."""
        if not self.go(30.0, lambda: not any(place.fault_count or place.replacing for place in self.places)):
            raise ViolationError("a fault does not end")
        final_state = self.check_service(SERVICE_TIMEOUT_S)
        missing = [name for name in self.acknowledged if name not in final_state.ids]
        if missing:
            raise ViolationError(f"{missing} were acknowledged and are lost")
        self.await_leases(LEASE_TIMEOUT_S)
        if not self.go(CATCH_UP_S, self.is_restored):
            raise ViolationError(f"the core has not recovered: {self.describe_state()}")

    def is_restored(self) -> bool:
        """Whether the chain has exactly the places' machines, and as many acceptors vote as needed."""
        view, names = self.newest, {place.name for place in self.places}
        chain, acceptors = ({each for each, _ in members} for members in (view.chain, view.acceptors))
        voting = min(len(names), 2 * self.losses + 1)
        return chain == names and acceptors <= names and len(view.acceptors) == voting

    def send_random_request(self) -> None:
        """Sends a random change or read to the head or tail that a random registrar knows."""
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(6.0), self.send_random_request)
        asked = self.random.choice(list(self.nodes.values()))
        if asked.core is None or self.now < asked.frozen_until:
            return
        to = asked.core.tail_address() if self.random.random() < 0.4 else asked.core.head_address()
        if not to or self.is_cut(asked.name, to):
            return
        if to == asked.core.tail_address() and self.random.random() < 0.5:
            self.read(self.nodes[to])
        elif to == asked.core.head_address():
            self.submit(self.nodes[to], self.change(len(asked.core.chain.latest_state.ids)))


def explore_tolerance(
    numbers: range,
    size: int,
    *,
    seconds: float = 8.0,
    **kwargs: Any,  # noqa: ANN401
) -> Counter[str]:
    """Runs a schedule with each number as its seed, and counts the events in them."""
    counts: Counter[str] = Counter()
    with short_logs():
        for seed in numbers:
            schedule = ToleranceSchedule(seed, size, **kwargs)
            schedule.run(seconds)
            counts += schedule.counts
            counts["schedules"] += 1
            counts["views"] += len(schedule.views)
            counts["turns"] += sum(each.holder_changes for each in schedule.observers)
    return counts
