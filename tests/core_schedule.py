"""Random schedules of troubles, with noise on links and disks, that know nothing of what may be lost at once:
a disk is lost only where another holds all. tests/core_tolerance.py has those that keep account of losses.
"""

from collections import Counter
from functools import partial
from typing import Any

from plumline.errors import PlumlineError
from tests.core_register import Register, ViolationError
from tests.core_world import Node, World, short_logs

CALM_S = 10.0  # simulated time for a chain with copies enough, and an acknowledged change, after the troubles


class Schedule(World):
    """Troubles and operators at random, then calm."""

    # Troubles

    def may_wipe(self, node: Node) -> bool:
        if sum(each.lost for each in self.nodes.values()) >= self.copies - 1 or node.lost:
            return False
        if self.any_wipe or not self.newest:
            return True
        others = [each for each in self.nodes.values() if each is not node]
        return all(each.core for each in others) and not self.in_doubt() and any(map(self.holds_all, others))

    def in_doubt(self) -> bool:
        """Whether some acceptor holds a view that may be decided yet, with whoever is lost meanwhile."""
        return any(each.core and each.core.view_agreement.accepted for each in self.nodes.values())

    def trouble(self) -> None:
        if not self.troubles_on:
            return
        self.at(self.random.expovariate(self.troubles_per_s), self.trouble)
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
        """Somebody asks some registrar for something."""
        if not self.troubles_on:
            return
        self.at(self.random.expovariate(6.0), self.operate)
        asked = self.random.choice(list(self.nodes.values()))
        if asked.core is None or self.now < asked.thaws_at:
            return
        if self.random.random() < 0.4:
            to = asked.core.tail_address()
            if to and (asked.name, to) not in self.cut:
                self.read(self.nodes[to])
            return
        to = asked.core.head_address()
        if not to or (asked.name, to) in self.cut:
            return
        if self.tried and self.random.random() < 0.3:
            change = self.random.choice(self.tried[-5:])
        else:
            known = [len(each.core.chain.state.ids) for each in self.nodes.values() if each.core]
            based_on = max(known) if self.random.random() < 0.8 else self.random.choice(known)
            change = self.change(based_on)
            self.tried.append(change)
        if change[2] not in self.refused:
            self.submit(self.nodes[to], change)

    # A schedule

    def run(self, seconds: float) -> None:
        """Troubles for so long, then calm; ViolationError with the seed."""
        try:
            self.troubles_on = True
            self.at(self.random.random() * 4, self.trouble)
            self.at(self.random.random(), self.operate)
            self.go(seconds)
            self.calm()
        except (ViolationError, AssertionError, IndexError, KeyError, TypeError, ValueError) as error:
            raise ViolationError(
                f"seed {self.seed}, {len(self.nodes)} machines, at {self.now:.3f} s: {error!r}"
            ) from error

    def calm(self) -> None:
        self.troubles_on, self.cut, self.syncs = False, set(), (0.005,)
        self.loss = self.twice = self.slow = self.jitter = 0.0
        for node in self.nodes.values():
            node.thaws_at = min(node.thaws_at, self.now)
            self.thaw(node, node.life)  # what was held back comes first, in its order
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

        def well() -> bool:
            return bool(done) and self.newest is not None and len(self.newest.chain) >= self.copies

        if not self.go(CALM_S, well):
            state = {
                node.name: (
                    node.me[1],
                    node.core.view_agreement.view and node.core.view_agreement.view.number,
                    node.core.chain.caught_up,
                )
                for node in self.nodes.values()
                if node.core
            }
            raise ViolationError(
                f"no change is acknowledged {CALM_S} s after the troubles: {self.newest} {state}"
            )
        answers: list[Register] = []

        def read() -> None:
            if not answers:
                self.at(0.25, read)
                tail = self.nodes[self.newest.chain[-1][0]]
                self.read(tail, lambda state: answers.append(state) if state is not None else None)

        read()
        if not self.go(CALM_S, lambda: bool(answers)):
            raise ViolationError(f"no read is answered {CALM_S} s after the troubles: {self.newest}")
        missing = [name for name in self.acknowledged if name not in answers[0].ids]
        if missing:
            raise ViolationError(f"{missing} were acknowledged and are lost")


def explore(numbers: range, size: int, *, seconds: float = 8.0, **kwargs: Any) -> Counter[str]:  # noqa: ANN401
    """Runs a schedule for each number, its seed, and counts what happened in them."""
    counts: Counter[str] = Counter()
    with short_logs():
        for seed in numbers:
            world = Schedule(seed, size, **kwargs)
            world.run(seconds)
            counts += world.counts
            counts["schedules"] += 1
            counts["views"] += len(world.views)
    return counts
