"""Random fault schedules, with random delays and losses on links and disks, that don't track how much
may be lost at once: a disk is lost only while another member has all data. The schedules in
tests/core_tolerance.py track losses.
"""

from collections import Counter
from functools import partial
from typing import Any

from plumline.errors import PlumlineError
from tests.core_register import Register, ViolationError
from tests.core_world import Node, World, short_logs

RECOVERY_TIMEOUT_S = 10.0  # simulated, after the faults, for a large enough chain to acknowledge a change


class Schedule(World):
    """Random faults and operator requests, followed by a check of the recovery."""

    # Faults

    def may_wipe(self, node: Node) -> bool:
        if sum(each.lost for each in self.nodes.values()) >= self.copies - 1 or node.lost:
            return False
        if self.unrestricted_wipes or not self.newest:
            return True
        others = [each for each in self.nodes.values() if each is not node]
        return (
            all(each.core for each in others)
            and not self.has_undecided_view()
            and any(map(self.holds_all, others))
        )

    def has_undecided_view(self) -> bool:
        """Whether some acceptor has accepted a view that may still be decided, with members lost by then."""
        return any(each.core and each.core.view_agreement.accepted for each in self.nodes.values())

    def inject_fault(self) -> None:
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(self.faults_per_s), self.inject_fault)
        node = self.random.choice(list(self.nodes.values()))
        if self.newest and self.random.random() < 0.5:
            node = self.nodes[self.random.choice(self.newest.chain)[0]]
        kinds = "crash crash freeze freeze cut cut heal oneway alone wipe wipe outage bounce"
        kind = self.random.choice(kinds.split())
        names = list(self.nodes)
        match kind:
            case "crash":
                self.crash(node)
                self.at(self.random.choice([0.01, 0.5, 2.0, 6.0]), lambda: self.start(node))
            case "bounce":
                self.crash(node)
                self.start(node)
            case "outage":
                for each in self.nodes.values():
                    self.crash(each)
                    self.at(self.random.choice([0.01, 0.5, 2.0]), lambda each=each: self.start(each))
            case "freeze" if node.core:
                self.freeze(node, self.random.choice([0.3, 1.0, 2.0, 4.0]))
            case "cut":
                some = set(self.random.sample(names, self.random.randint(1, len(names) // 2)))
                self.split("".join(sorted(some)), "".join(sorted(set(names) - some)))
            case "alone":
                one, other = self.random.sample(names, 2)
                self.cut |= {(one, other), (other, one)}
            case "oneway":
                one, other = self.random.sample(names, 2)
                self.cut.add((one, other))
            case "heal":
                self.cut = set()
            case "wipe" if self.may_wipe(node):
                self.wipe(node)
                self.at(self.random.choice([0.01, 0.5, 2.0, 6.0]), lambda: self.start(node))
            case _:
                return
        self.counts[kind] += 1

    # Operators

    def operate(self) -> None:
        """Send a read or a change, as an operator would, to a random registrar."""
        if not self.faults_enabled:
            return
        self.at(self.random.expovariate(6.0), self.operate)
        asked = self.random.choice(list(self.nodes.values()))
        if asked.core is None or self.now < asked.frozen_until:
            return
        if self.confirmations:
            self.confirm(asked)
        if self.random.random() < 0.4:
            to = asked.core.tail_address()
            if to and (asked.name, to) not in self.cut:
                self.read(self.nodes[to])
            return
        to = asked.core.head_address()
        if not to or (asked.name, to) in self.cut:
            return
        if self.submitted_changes and self.random.random() < 0.3:
            change = self.random.choice(self.submitted_changes[-5:])
        else:
            known = [len(each.core.chain.state.ids) for each in self.nodes.values() if each.core]
            based_on = max(known) if self.random.random() < 0.8 else self.random.choice(known)
            change = self.change(based_on)
            self.submitted_changes.append(change)
        if change[2] not in self.refused:
            self.submit(self.nodes[to], change)

    # A schedule

    def run(self, seconds: float) -> None:
        """Inject faults for this time, then check the recovery. A ViolationError names the seed."""
        try:
            self.faults_enabled = True
            self.at(self.random.random() * 4, self.inject_fault)
            self.at(self.random.random(), self.operate)
            self.go(seconds)
            self.check_recovery()
        except (ViolationError, AssertionError, IndexError, KeyError, TypeError, ValueError) as error:
            raise ViolationError(
                f"seed {self.seed}, {len(self.nodes)} machines, at {self.now:.3f} s: {error!r}"
            ) from error

    def check_recovery(self) -> None:
        self.faults_enabled, self.cut, self.sync_delays = False, set(), (0.005,)
        self.loss_rate = self.duplicate_rate = self.slow_rate = self.jitter_s = 0.0
        for node in self.nodes.values():
            node.frozen_until = min(node.frozen_until, self.now)
            self.thaw(node, node.generation)  # deferred calls are made first, in their order
            self.start(node)
        done: list[list[Any]] = []

        def answered(change: list[Any], error: PlumlineError | None) -> None:
            if error is None:
                done.append(change)

        def try_one() -> None:
            if done:
                return
            self.at(0.25, try_one)
            for node in self.nodes.values():
                if node.core and node.core.chain.is_head() and node.core.view_agreement.view == self.newest:
                    change = self.change(len(node.core.chain.latest_state.ids))
                    self.submit(node, change, partial(answered, change))

        try_one()

        def recovered() -> bool:
            return bool(done) and self.newest is not None and len(self.newest.chain) >= self.copies

        if not self.go(RECOVERY_TIMEOUT_S, recovered):
            state = {
                node.name: (
                    node.member[1],
                    node.core.view_agreement.view and node.core.view_agreement.view.number,
                    node.core.chain.caught_up,
                )
                for node in self.nodes.values()
                if node.core
            }
            raise ViolationError(
                f"no change is acknowledged {RECOVERY_TIMEOUT_S} s after the faults: {self.newest} {state}"
            )
        answers: list[Register] = []

        def read() -> None:
            if not answers:
                self.at(0.25, read)
                tail = self.nodes[self.newest.chain[-1][0]]
                self.read(tail, lambda state: answers.append(state) if state is not None else None)

        read()
        if not self.go(RECOVERY_TIMEOUT_S, lambda: bool(answers)):
            raise ViolationError(
                f"no read is answered {RECOVERY_TIMEOUT_S} s after the faults: {self.newest}"
            )
        missing = [name for name in self.acknowledged if name not in answers[0].ids]
        if missing:
            raise ViolationError(f"{missing} were acknowledged and are lost")


def explore(random_seeds: range, size: int, *, seconds: float = 8.0, **kwargs: Any) -> Counter[str]:  # noqa: ANN401
    """Run a schedule for each seed, and count the events in them."""
    counts: Counter[str] = Counter()
    with short_logs():
        for seed in random_seeds:
            world = Schedule(seed, size, **kwargs)
            world.run(seconds)
            counts += world.counts
            counts["schedules"] += 1
            counts["views"] += len(world.views)
    return counts
