"""Schedules whose losses are just what a deployment's tolerance allows, and that ask for service within it.

A place of the core is lost while its machine is down, frozen, slowed or cut off and for `CATCH_UP_S` after;
a machine that was replaced stops counting once its successor has run for so long. A disk is lost, and a
machine goes for good, only where the lost places stay within the tolerance. Every process may be killed at
any time, and the power lost, with disks kept.
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
SERVICE_S = 7.0  # until the core counts as stable (ContactMs), and then for an answer (AcknowledgeMs)
LEASE_S = 14.0  # for a lease to be held again: lease, rest, abstention of newcomers, and some rounds
LEAVE_S = 6.0  # that a leaving process waits at the most
SICK_AFTER_S = 0.6  # a write not synced for so long makes the machine say that its disk is sick
LEASES = {"discovery": LeaseDurations(1.2, 0.0), "weights": LeaseDurations(1.0, 3.4)}
FOREVER = float("inf")


class Trouble(StrEnum):
    """What may happen in a schedule; those with more weight stand in WEIGHTS."""

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


WEIGHTS = {
    Trouble.KILL: 3,
    Trouble.FREEZE: 3,
    Trouble.CUT: 3,
    Trouble.ONE_WAY: 2,
    Trouble.PAIR_CUT: 2,
    Trouble.SLOW_LINK: 2,
    Trouble.SLOW_DISK: 2,
    Trouble.WIPE: 4,
    Trouble.WIPE_AND_KILL_ALL: 2,
    Trouble.KILL_ALL: 2,
    Trouble.RESET: 2,
    Trouble.RESTART: 3,
    Trouble.REPLACE: 3,
    Trouble.REPLACE_PLANNED: 3,
    Trouble.SEEDS: 1,
}
NO_LOSS = {Trouble.RESET, Trouble.SEEDS, Trouble.KILL_ALL}
DISK_KEPT = {
    Trouble.KILL,
    Trouble.FREEZE,
    Trouble.CUT,
    Trouble.ONE_WAY,
    Trouble.PAIR_CUT,
    Trouble.SLOW_LINK,
    Trouble.SLOW_DISK,
    Trouble.RESTART,
}


@dataclass(eq=False)
class Place:
    """A place of the core: the machine that has it now, and until when that counts as lost. One that it has
    replaced counts beside it until the new one has had its time."""

    name: str
    lost_until: float = 0.0
    predecessor_until: float = 0.0
    troubles: int = 0  # under way now
    replacing: bool = False

    def lost(self, now: float) -> bool:
        return self.troubles > 0 or now < self.lost_until

    def lost_machines(self, now: float) -> int:
        return int(self.lost(now)) + int(now < self.predecessor_until)


@dataclass
class Surroundings:
    """Troubles of links and disks that are on, by machine."""

    deaf: set[str] = field(default_factory=set)  # nothing reaches it
    mute: set[str] = field(default_factory=set)  # nothing comes from it
    slow_links: set[str] = field(default_factory=set)
    stalled_until: dict[str, float] = field(default_factory=dict)
    reset_at: dict[str, float] = field(default_factory=dict)  # what was under way then is lost
    arrived: dict[tuple[str, str], float] = field(default_factory=dict)  # the newest by each link
    unsynced_since: dict[str, float] = field(default_factory=dict)


class ToleranceSchedule(World):
    """`losses` at once. `overrun`: troubles that keep the disk come in any number; service is asked for again
    once no place was lost for a moment, and at the end."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        *,
        losses: int = 1,
        overrun: bool = False,
        mutate: Callable[[Any], None] = lambda core: None,
        **kwargs: Any,  # noqa: ANN401
    ) -> None:
        super().__init__(
            seed, size, copies=losses + 1, quiet=True, seeds=3, start=False, mutate=mutate, **kwargs
        )
        self.losses, self.overrun = losses, overrun
        self.leases = LEASES
        self.observers = [LeaseObserver(name, durations) for name, durations in LEASES.items()]
        self.places = [Place(name) for name in self.nodes]
        self.around = Surroundings()
        self.sync_delays = self.random.choice([(0.002,), (0.002, 0.01), (0.005, 0.05)])
        self.jitter_s = self.random.choice([0.0, 0.004])
        self.faults_per_s = self.random.choice([0.3, 1.0, 3.0])
        self.beyond = False  # more was lost than is borne, and not all were back since
        self.killed_until = 0.0  # by then all are back whom one moment killed
        self.held_until = 0.0  # no trouble ends before
        self.slowest: dict[str, float] = {}  # measured: longest waits for service
        for node in self.nodes.values():
            self.start(node)

    # Account of losses

    def lost_places(self) -> list[Place]:
        return [place for place in self.places if place.lost(self.now)]

    def bears(self, *more: Place) -> bool:
        """Whether these may be lost, too."""
        now = [place.lost_machines(self.now) for place in self.places]
        return sum(now) + sum(not each.lost(self.now) for each in set(more)) <= self.losses

    def lost_copies(self) -> int:
        """Whoever is lost or leaves may have been taken out, and have dropped what its successor in the chain
        then commits, in the view before."""
        leaving = [node for node in self.nodes.values() if node.core and node.core.membership.draining]
        return sum(place.lost_machines(self.now) for place in self.places) + len(leaving)

    def is_beyond(self) -> bool:
        """Whether more was lost than is borne, and not all were back since."""
        self.beyond = self.beyond and bool(self.lost_places())
        return self.beyond

    def begin(self, place: Place) -> None:
        place.troubles += 1

    def end(self, place: Place) -> None:
        place.troubles -= 1
        place.lost_until = max(place.lost_until, self.now + CATCH_UP_S)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """The end of a trouble: not while losses are held as they are."""

        def due() -> None:
            if self.now < self.held_until:
                self.later(self.held_until - self.now, call)
            else:
                call()

        self.at(delay, due)

    # Surroundings

    def is_cut(self, sender: str, to: str) -> bool:
        return (sender, to) in self.cut or sender in self.around.mute or to in self.around.deaf

    def link_delay(self, sender: str, to: str) -> float:
        """Links keep the order of what is sent, as connections do."""
        delay = super().link_delay(sender, to)
        if {sender, to} & self.around.slow_links:
            delay += self.random.uniform(0.2, 1.0)
        arrives = max(self.now + delay, self.around.arrived.get((sender, to), 0.0) + 1e-6)
        self.around.arrived[sender, to] = arrives
        return arrives - self.now

    def sync_delay(self, node: Node) -> float:
        if len(node.unsynced) == 1:
            self.around.unsynced_since[node.name] = self.now
        stall = self.around.stalled_until.get(node.name, 0.0) - self.now
        return max(0.0, stall) + super().sync_delay(node)

    def before_tick(self, node: Node) -> None:
        waited = self.now - self.around.unsynced_since.get(node.name, self.now)
        node.core.disk_unhealthy = bool(node.unsynced) and waited > SICK_AFTER_S

    def arrive(self, sent: float, sender: str, to: str, message: Message) -> None:
        resets = self.around.reset_at
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

    # Troubles

    def inject_fault(self) -> None:
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(self.faults_per_s), self.inject_fault)
        [kind] = self.random.choices(list(WEIGHTS), WEIGHTS.values())
        place = self.victim()
        borne = kind in NO_LOSS or (self.bears(place) and not (kind not in DISK_KEPT and self.is_beyond()))
        if (borne or (self.overrun and kind in DISK_KEPT)) and self.strike(kind, place):
            self.beyond |= not borne
            self.counts[kind] += 1

    def victim(self) -> Place:
        """Often a member of the chain or a holder of a lease, head and tail as likely as all others."""
        place = self.random.choice(self.places)
        if self.newest and self.random.random() < 0.3:
            wanted = self.random.choice([self.newest.chain[0][0], self.newest.chain[-1][0]])
            return next((each for each in self.places if each.name == wanted), place)
        held = [each.tenure.holder.name for each in self.observers if each.tenure]
        if held and self.random.random() < 0.3:
            wanted = self.random.choice(held)
            return next((each for each in self.places if each.name == wanted), place)
        return place

    def strike(self, kind: Trouble, place: Place) -> bool:
        """False if it can't be now."""
        node = self.nodes[place.name]
        match kind:
            case Trouble.KILL:
                self.kill(place, self.random.choice([0.01, 0.5, 2.0, 6.0]))
            case Trouble.WIPE:
                self.wipe(node)
                self.kill(place, self.random.choice([0.01, 0.5, 2.0, 6.0]))
            case Trouble.KILL_ALL:
                self.kill_all(self.random.choice([0.2, 1.0, 3.0]))
            case Trouble.WIPE_AND_KILL_ALL:
                self.wipe_some(place)
                self.kill_all(1.0)
            case Trouble.FREEZE if node.core:
                seconds = self.random.choice([0.3, 1.0, 2.0, 5.0])
                self.freeze(node, seconds)
                self.lasts(place, seconds, lambda: None)
            case Trouble.CUT | Trouble.ONE_WAY:
                self.cut_off(place, kind)
            case Trouble.PAIR_CUT:
                self.cut_pair(place)
            case Trouble.SLOW_LINK:
                self.around.slow_links.add(node.name)
                self.lasts(place, self.seconds(), lambda: self.around.slow_links.discard(node.name))
            case Trouble.SLOW_DISK:
                seconds = self.random.choice([0.3, 1.0, 3.0])
                self.around.stalled_until[node.name] = self.now + seconds
                self.lasts(place, seconds, lambda: None)
            case Trouble.RESET:
                self.around.reset_at[node.name] = self.now
            case Trouble.RESTART if node.core and not place.replacing:
                self.restart(place)
            case Trouble.REPLACE if not place.replacing:
                self.replace(place)
            case Trouble.REPLACE_PLANNED if node.core and not place.replacing:
                self.replace_by_plan(place)
            case Trouble.SEEDS:
                self.name_seeds()
            case _:
                return False
        return True

    def seconds(self) -> float:
        return self.random.choice([0.3, 1.0, 3.0, 8.0])

    def lasts(self, place: Place, seconds: float, stop: Callable[[], None]) -> None:
        self.begin(place)

        def over() -> None:
            stop()
            self.end(place)

        self.later(seconds, over)

    def kill(self, place: Place, down_s: float) -> None:
        node = self.nodes[place.name]
        self.crash(node)
        self.lasts(place, down_s, lambda: self.start(node))

    def kill_all(self, within: float) -> None:
        """Of every process, or of power: what was not synced may be lost either way. All come back soon,
        but for those that are down anyway."""
        for place in self.places:
            node = self.nodes[place.name]
            if node.core is None:
                continue
            self.crash(node)
            self.begin(place)
            self.at(self.random.random() * within, lambda place=place, node=node: self.back(place, node))
        self.held_until = max(self.held_until, self.now + within)
        self.killed_until = self.now + within
        for place in self.places:
            if place.predecessor_until > self.now:
                place.predecessor_until = self.killed_until + CATCH_UP_S

    def back(self, place: Place, node: Node) -> None:
        self.start(node)
        self.end(place)

    def wipe_some(self, place: Place) -> None:
        """As many as may be lost, that one among them."""
        others = [each for each in self.places if each is not place]
        for each in [place, *self.random.sample(others, len(others))]:
            if self.bears(each):
                self.wipe(self.nodes[each.name])
                self.kill(each, self.random.choice([0.01, 0.5, 2.0]))

    def cut_off(self, place: Place, kind: Trouble) -> None:
        sets = [self.around.deaf, self.around.mute]
        if kind is Trouble.ONE_WAY:
            sets = [self.random.choice(sets)]
        name = place.name
        for each in sets:
            each.add(name)

        def heal() -> None:
            for each in sets:
                each.discard(name)

        self.lasts(place, self.seconds(), heal)

    def cut_pair(self, place: Place) -> None:
        """The place counts as lost, though others reach its machine."""
        other = self.random.choice([each for each in self.places if each is not place])
        links = {(place.name, other.name), (other.name, place.name)}
        self.cut |= links
        self.lasts(place, self.seconds(), lambda: self.cut.difference_update(links))

    # Plans and replacements

    def restart(self, place: Place) -> None:
        """SIGTERM, and a start some time after its end."""
        node = self.nodes[place.name]
        self.begin(place)
        down_s = self.random.choice([0.1, 1.0, 3.0])
        self.leave(node, lambda: self.later(down_s, lambda: self.back(place, node)))

    def leave(self, node: Node, ended: Callable[[], None]) -> None:
        """The process hands over and ends, or ends without after a while."""
        life, deadline = node.generation, self.now + LEAVE_S
        if node.core is None:
            ended()
            return
        node.core.begin_draining(self.now + node.offset)

        def look() -> None:
            if node.generation != life or node.core is None:  # killed meanwhile
                ended()
                return
            thawed = self.now >= node.frozen_until
            done = thawed and node.core.pending_handover(self.now + node.offset) is None
            if done or self.now >= deadline:
                self.counts["handed over" if done else "left without handing over"] += 1
                self.crash(node, keep=len(node.unsynced))
                ended()
                return
            self.at(0.05, look)

        self.at(0.05, look)

    def successor(self, place: Place) -> Node:
        """A new empty machine at a new address; it is told some seeds."""
        name = f"{place.name[0]}{len(self.nodes)}"
        node = self.nodes[name] = Node(name)
        self.name_seeds()
        return node

    def replace(self, place: Place) -> None:
        """The machine is gone for good; an empty one comes later."""
        old = self.nodes[place.name]
        place.replacing = True
        self.crash(old)
        old.destroyed = True
        self.begin(place)

        def come() -> None:
            node = self.successor(place)
            place.name, place.replacing = node.name, False
            self.start(node)
            self.end(place)

        self.later(self.random.choice([0.5, 1.0, 4.0, 8.0]), come)

    def replace_by_plan(self, place: Place) -> None:
        """The new machine first, then SIGTERM; the old one counts until the new one has had its time."""
        old = self.nodes[place.name]
        place.replacing = True
        node = self.successor(place)
        self.start(node)
        started = self.now

        def end_old() -> None:
            if self.is_beyond():
                self.at(1.0, end_old)
                return
            ready = max(started, self.killed_until) + CATCH_UP_S
            if self.now < ready and not self.bears(place):
                self.at(ready - self.now, end_old)
                return
            place.name = node.name
            place.predecessor_until = max(ready, place.lost_until)
            self.leave(old, gone)

        def gone() -> None:
            self.crash(old)  # it may have been starting, with no process that could leave
            old.destroyed = True
            place.replacing = False

        self.at(self.random.choice([1.0, CATCH_UP_S]), end_old)

    def name_seeds(self) -> None:
        """Other seeds, one of them at least in touch, or else to come back; some processes read the settings
        again. A new machine that is told only of machines that are gone for good can find nobody."""
        well = [each.name for each in self.places if not each.lost(self.now)]
        well = well or [each.name for each in self.places if not self.nodes[each.name].destroyed]
        if not well:
            return
        first = self.random.choice(well)
        others = [each.name for each in self.places if each.name != first]
        self.seeds = [first, *self.random.sample(others, min(2, len(others)))]
        for node in self.nodes.values():
            if node.core and self.random.random() < 0.5:
                node.core.set_seeds(self.seeds)

    # Service

    def ask(self, timeout: float) -> Register:
        """A change that is acknowledged and, after it, a read; ViolationError if it takes too long."""
        done: list[bool] = []
        answers: list[Register] = []
        asked_at = self.now

        def answered(error: PlumlineError | None) -> None:
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
                    self.submit(node, self.change(len(node.core.chain.latest_state.ids)), answered)
                if done and node.core.chain.is_tail():
                    self.read(node, lambda state: answers.append(state) if state is not None else None)

        try_again()
        if not self.go(timeout, lambda: bool(answers)):
            said = "read is answered" if done else "change is acknowledged"
            raise ViolationError(f"no {said} in {timeout} s: {self.state()}")
        self.note_wait("service", self.now - asked_at)
        return answers[0]

    def note_wait(self, what: str, seconds: float) -> None:
        self.slowest[what] = max(self.slowest.get(what, 0.0), seconds)

    def state(self) -> str:
        told = [f"{self.newest}", f"lost: {[each.name for each in self.lost_places()]}"]
        for node in self.nodes.values():
            if core := node.core:
                view = core.view_agreement.view
                told.append(f"{node.member[1]} view {view and view.number} caught up {core.chain.caught_up}")
        return "; ".join(told)

    def await_leases(self, timeout: float) -> None:
        asked_at = self.now
        if not self.go(timeout, lambda: all(self.holders(name) for name in self.leases)):
            missing = [name for name in self.leases if not self.holders(name)]
            raise ViolationError(f"nobody holds {missing} after {timeout} s: {self.state()}")
        self.note_wait("leases", self.now - asked_at)

    # A schedule

    def run(self, seconds: float = 8.0, stretches: int = 2) -> None:
        """Troubles for up to so long, then a stretch without new ones, some times; ViolationError names the
        seed."""
        try:
            self.form()
            for _ in range(stretches):
                self.faults_enabled = True
                self.at(self.random.random(), self.inject_fault)
                self.at(self.random.random(), self.operate)
                self.go(self.random.uniform(1.0, seconds))
                self.faults_enabled = False
                self.stretch()
            self.finish()
        except (ViolationError, AssertionError, IndexError, KeyError, TypeError, ValueError) as error:
            told = f"seed {self.seed}, {len(self.places)} machines, {self.losses} lost at once"
            raise ViolationError(f"{told}, at {self.now:.3f} s: {error!r}") from error

    def form(self) -> None:
        self.settle("".join(self.nodes), within=10.0)
        self.first_start = False
        self.go(CATCH_UP_S)
        self.await_leases(LEASE_S)

    def stretch(self) -> None:
        """No new trouble; those that are on stay so, or end. What can be served is."""
        if self.random.random() < 0.7:
            self.held_until = max(self.held_until, self.now + SERVICE_S + 1.0)
        if not self.is_beyond():
            self.counts["stretches"] += 1
            self.ask(SERVICE_S)
        self.held_until = 0.0

    def finish(self) -> None:
        """Every trouble ends, and the core is whole again: all places are, no other machine, each lease is
        held, and nothing that was acknowledged is lost."""
        if not self.go(30.0, lambda: not any(place.troubles or place.replacing for place in self.places)):
            raise ViolationError("a trouble doesn't end")
        held = self.ask(SERVICE_S)
        missing = [name for name in self.acknowledged if name not in held.ids]
        if missing:
            raise ViolationError(f"{missing} were acknowledged and are lost")
        self.await_leases(LEASE_S)
        if not self.go(CATCH_UP_S, self.is_whole):
            raise ViolationError(f"not whole again: {self.state()}")

    def is_whole(self) -> bool:
        """Whether each place is in the chain, and as many as needed vote."""
        view, names = self.newest, {place.name for place in self.places}
        chain, acceptors = ({each for each, _ in members} for members in (view.chain, view.acceptors))
        voting = min(len(names), 2 * self.losses + 1)
        return chain == names and acceptors <= names and len(view.acceptors) == voting

    def operate(self) -> None:
        """Somebody asks some registrar for something."""
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(6.0), self.operate)
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
    """Runs a schedule for each number, its seed, and counts what happened in them."""
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
