"""Operators over forwarders over whole cores, in the hand-stepped world: what they see must hold together.

Operators send real changes of the configuration to any registrar, several at a time and on the same version,
and send them again, unchanged, whenever no clear answer came; also long after they were acknowledged.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from plumline.configuration import history as history_module
from plumline.configuration.replicated_state import ReplicatedConfiguration, model_names
from plumline.configuration.service_rollouts import ServiceRollouts, is_rollout_change
from plumline.configuration.validation import validate
from plumline.coordination import replica_storage as storage_module
from plumline.coordination.environment import Message
from plumline.errors import ConfigurationInvalidError, PlumlineError, VersionConflictError
from plumline.registrar.forwarding import RequestForwarder
from tests import core_world
from tests.core_register import ViolationError
from tests.core_schedule import Schedule
from tests.core_world import SHORT_LOG_ENTRIES, TICK_S, Node

Ask = Callable[[RequestForwarder, float, Callable[..., None]], None]
Told = Callable[[PlumlineError | None, Any], None]

SILENCE_S = 1.0  # a caller leaves after so long
MOST_UNDER_WAY = 8
SETTLE_S = 25.0  # simulated time, after the troubles, for every order to get its clear answer
REFUSALS = (ConfigurationInvalidError, VersionConflictError)
SERVICES = ("s1", "s2", "s3")
MODELS = ("p", "q", "r")  # the first two are those that the operators name versions of
LATE_S = (0.05, 1.5)  # what a delayed request takes


def change_id(change: list[Any]) -> str:
    """A text that names this very change."""
    if is_rollout_change(change):
        return f"rollout {change[1]['Rollout']}"
    if change[0] == "weights":
        return f"{change[1]['Model']}@{change[1]['Version']}"
    return change[2]["Id"]


@dataclass(frozen=True, slots=True)
class NamedState:
    """The state of the program, and the ids of all changes that led to it."""

    state: ReplicatedConfiguration = field(default_factory=ReplicatedConfiguration)
    ids: tuple[str, ...] = ()

    def check(self, change: list[Any]) -> bool:
        return self.state.check(change)

    def apply(self, change: list[Any]) -> "NamedState":
        new = self.state.apply(change)
        if new is self.state:
            raise ViolationError(f"{change} is in the log twice")
        return NamedState(new, (*self.ids, change_id(change)))

    @property
    def configuration(self) -> dict[str, Any] | None:
        return self.state.configuration

    @property
    def rollouts(self) -> ServiceRollouts:
        return self.state.rollouts

    def to_wire(self) -> list[Any]:
        return [self.state.to_wire(), list(self.ids)]

    @staticmethod
    def load(wire: list[Any]) -> "NamedState":
        return NamedState(ReplicatedConfiguration.from_wire(wire[0]), tuple(wire[1]))


@dataclass(slots=True)
class Order:
    """A change on its way, sent until it is clearly answered."""

    change: list[Any]
    tries: int = 0
    answered: bool = False

    @property
    def id(self) -> str:
        return change_id(self.change)

    @property
    def version(self) -> int:
        return self.change[2]["Version"]


class Operator:
    def __init__(self, world: "ControlWorld", name: str) -> None:
        self.world, self.name = world, name
        self.known = 0  # the newest version that it was told of
        self.under_way: list[Order] = []
        self.count = 0

    def act(self) -> None:
        """Something new, while the troubles last."""
        if not self.world.faults_enabled:
            return
        self.world.at(self.world.random.expovariate(4.0), self.act)
        chance = self.world.random.random()
        if chance < 0.3:
            self.world.read(self.name, self.learn)
        elif chance < 0.45 and self.world.settled_orders:
            self.world.repeat(self.world.random.choice(self.world.settled_orders))
        elif len(self.under_way) < MOST_UNDER_WAY:
            order = Order(self.new_change())
            self.under_way.append(order)
            self.send(order)

    def learn(self, version: int) -> None:
        self.known = max(self.known, version)

    def new_change(self) -> list[Any]:
        random = self.world.random
        self.count += 1
        base = self.known
        if random.random() < 0.2:
            own = [each.version for each in self.under_way if each.change[0] != "weights"]
            base = random.choice([*own, max(0, base - 1), base])  # on what is not acknowledged yet, or is old
        if random.random() < 0.05:
            return ["weights", {"Model": self.name, "Version": self.count}]
        body: dict[str, Any] = {"Version": base + random.randint(1, 3), "Id": f"{self.name}{self.count}"}
        if base == 0 or random.random() < 0.3:
            models = [{"Name": each} for each in random.sample(MODELS, random.randint(0, len(MODELS)))]
            services = [{"Name": "s1", "Engine": {"Models": models}}, {"Name": "s2"}]
            return ["replace", base, body | {"Services": services}]
        service = random.choice(SERVICES)  # valid or not by what the version that it builds on holds
        if random.random() < 0.3:
            return ["amend", base, body | {"Removals": {"Services": [service]}}]
        place = random.choice("xyz")
        route = {"Name": place, "Host": "h", "PathPrefix": f"/{place}/", "TimeoutMs": 9, "Service": service}
        return ["amend", base, body | {"Upserts": {"Routes": [route]}}]

    def send(self, order: Order) -> None:
        order.tries += 1
        tries = order.tries

        def again() -> None:
            if not order.answered and order.tries == tries:
                self.send(order)

        def told(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            if order.answered:
                return
            if error is None or isinstance(error, REFUSALS):
                order.answered = True
                self.under_way.remove(order)
                self.world.settled_orders.append(order)
                if error is None and order.change[0] != "weights":
                    self.learn(order.version)
            else:
                self.world.at(min(1.0, 0.05 * 2 ** min(tries, 5)), again)

        self.world.submit_at(self.world.any_registrar(), order.change, told)
        self.world.at(SILENCE_S + min(1.0, 0.05 * 2 ** min(tries, 5)), again)


class ControlWorld(Schedule):
    """`forwarder`: the class of the request forwarder that every registrar has."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        *,
        forwarder: type[RequestForwarder] = RequestForwarder,
        **kwargs: Any,  # noqa: ANN401
    ) -> None:
        self.forwarder_class = forwarder
        self.forwarders: dict[str, RequestForwarder] = {}
        self.settled_orders: list[Order] = []
        self.by_version: dict[int, str] = {}  # version -> id acknowledged under it
        self.acknowledged_version = 0
        super().__init__(seed, size, **kwargs)
        self.answer_loss = 0.0 if kwargs.get("quiet") else self.random.choice([0.0, 0.1, 0.5])
        self.operators = [Operator(self, "p"), Operator(self, "q")]

    # Registrars.

    def start_core(self, node: Node) -> None:
        super().start_core(node)
        assert node.core is not None
        self.forwarders[node.name] = self.forwarder_class(node.core, node.core.environment.send)
        self.tick_forwarder(node, node.generation)

    def freeze(self, node: Node, seconds: float) -> None:
        # What is held back waits for the longer one.
        node.frozen_until = max(node.frozen_until, self.now + seconds)

    def tick_forwarder(self, node: Node, life: int) -> None:
        def step() -> None:
            self.forwarders[node.name].tick(self.now + node.offset)
            self.at(TICK_S, lambda: self.tick_forwarder(node, life))

        self.call_if_running(node, life, step)

    def deliver(self, sender: str, to: str, message: Message) -> None:
        if message[0] not in ("ask", "answer"):
            super().deliver(sender, to, message)
            return
        node = self.nodes[to]

        def step() -> None:
            if not self.forwarders[to].on_message(self.now + node.offset, sender, message):
                raise ViolationError(f"nobody knows {message}")
            self.after_step(node)

        self.call_if_running(node, node.generation, step)

    def on_applied(self, node: Node, number: int, change: list[Any] | None) -> None:
        if change is not None:
            self.check_commit(node, number, change_id(change))
        else:
            self.check_state(node)

    # Calls of operators.

    def any_registrar(self) -> Node:
        return self.random.choice(list(self.nodes.values()))

    def request(self, node: Node, ask: Ask, told: Told) -> None:
        """A call to a registrar: it may come late, and its answer may be lost."""
        late = self.random.random() < self.slow_rate
        delay = self.random.uniform(*LATE_S) if late else self.random.uniform(0.001, 0.02)
        self.at(
            delay, lambda: self.call_if_running(node, node.generation, lambda: self.take(node, ask, told))
        )

    def take(self, node: Node, ask: Ask, told: Told) -> None:
        began, life, answers = self.now, node.generation, []

        def outcome(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            answers.append(error)
            if len(answers) > 1:
                raise ViolationError(f"{node.name} answers a call twice")
            self.counts["answers"] += 1
            self.saw(error, result)
            if self.random.random() >= self.answer_loss:
                self.at(self.random.uniform(0.001, 0.02), lambda: told(error, result))

        def overdue() -> None:
            if not answers and node.generation == life and node.core and node.frozen_until <= began:
                raise ViolationError(f"{node.name} is silent for {SILENCE_S} s to a call of {began:.3f} s")

        self.at(SILENCE_S, overdue)
        ask(self.forwarders[node.name], self.now + node.offset, outcome)

    def saw(self, error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        """Counts answers by kind."""
        self.counts[error.code if error else "ok"] += 1

    def submit_at(self, node: Node, change: list[Any], told: Told) -> None:
        """Whatever a registrar answers is held against all else that is known, also if the answer is lost."""

        def ask(forwarder: RequestForwarder, now: float, outcome: Callable[..., None]) -> None:
            def judged(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
                if error is None:
                    self.on_taken(change)
                elif isinstance(error, REFUSALS):
                    self.on_refusal(change, error)
                outcome(error, result)

            forwarder.submit(now, change, 100, judged)

        self.request(node, ask, told)

    def repeat(self, order: Order) -> None:
        """A settled order once more: its answer is judged like any other."""
        self.counts["repeats"] += 1
        self.submit_at(self.any_registrar(), order.change, lambda error, result: None)

    def read(self, name: str, learn: Callable[[int], None], node: Node | None = None) -> None:  # type: ignore[override]
        floor = self.acknowledged_version

        def ask(forwarder: RequestForwarder, now: float, outcome: Callable[..., None]) -> None:
            def judged(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
                version = result["Version"] if result else 0
                if error is None and version < floor:
                    raise ViolationError(f"{version} is read after {floor} was acknowledged")
                if error is None and result:
                    self.judge_read(result)
                outcome(error, result)

            forwarder.read(now, judged)

        def told(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            if error is None:
                learn(result["Version"] if result else 0)

        self.request(node or self.any_registrar(), ask, told)

    def judge_read(self, result: dict[str, Any]) -> None:
        self.counts["reads"] += 1
        if result["Id"] not in self.committed.values():
            raise ViolationError(f"{result['Id']}, which is not in force, is read")
        if self.by_version.get(result["Version"], result["Id"]) != result["Id"]:
            raise ViolationError(f"{result['Id']} is read under the number of another change")
        validate(result)

    def on_taken(self, change: list[Any]) -> None:
        if change[0] == "weights" and not is_rollout_change(change):
            self.on_named(change[1])
            return
        name = change_id(change)
        if name not in self.committed.values():
            raise ViolationError(f"{name} is acknowledged and not in force")
        if is_rollout_change(change):
            return
        _, base, body = change
        if self.acknowledged_by_base.setdefault(base, name) != name:
            raise ViolationError(f"{name} and {self.acknowledged_by_base[base]} are acknowledged on {base}")
        if self.by_version.setdefault(body["Version"], name) != name:
            raise ViolationError(f"{name} and {self.by_version[body['Version']]} are both {body['Version']}")
        self.acknowledged_version = max(self.acknowledged_version, body["Version"])
        if name not in self.acknowledged:
            self.acknowledged[name] = base
            self.counts["acknowledged"] += 1

    def on_named(self, named: dict[str, Any]) -> None:
        """A version of weights is acknowledged; a newer one of the same model covers it."""
        in_force = [each for each in self.committed.values() if each.startswith(f"{named['Model']}@")]
        if max((int(each.split("@")[1]) for each in in_force), default=0) < named["Version"]:
            raise ViolationError(f"{named} is acknowledged and not in force: {in_force}")

    def on_refusal(self, change: list[Any], error: PlumlineError) -> None:
        name = change_id(change)
        self.refused.add(name)
        if name in self.committed.values():
            raise ViolationError(f"{name}, which is in force, is refused: {error.text}")

    # Single calls.

    def put_first(self) -> None:
        """A first configuration, acknowledged, and applied by every member."""
        change = ["replace", 0, {"Version": 1, "Id": "first"}]
        error, _ = self.wait(lambda told: self.submit_at(self.nodes[self.chain()[0]], change, told))
        if error is not None:
            raise ViolationError(f"the first configuration got {error!r}")
        self.go(1.0)

    def read_now(self, node: Node) -> tuple[PlumlineError | None, float]:
        """A read's error and the time that it took."""
        return self.wait(
            lambda told: self.request(node, lambda forwarder, now, out: forwarder.read(now, out), told)
        )

    def change_now(self, node: Node) -> tuple[PlumlineError | None, float]:
        """The same of a change on the version in place."""
        change = ["amend", self.acknowledged_version, {"Version": 9, "Id": "nine"}]
        return self.wait(lambda told: self.submit_at(node, change, told))

    def wait(self, call: Callable[[Told], None]) -> tuple[PlumlineError | None, float]:
        answers: list[PlumlineError | None] = []
        began = self.now
        call(lambda error, result: answers.append(error))
        if not self.go(5.0, lambda: bool(answers)):
            raise ViolationError("no answer in 5 s")
        return answers[0], self.now - began

    # Schedules.

    def begin(self) -> None:
        self.faults_enabled = True
        for operator in self.operators:
            self.at(self.random.random(), operator.act)

    def cut_off(self, node: Node, how: str) -> None:
        others = [name for name in self.nodes if name != node.name]
        if how != "in":
            self.cut |= {(node.name, other) for other in others}
        if how != "out":
            self.cut |= {(other, node.name) for other in others}

    def run_cuts(self, seconds: float = 22.0) -> None:
        """One machine of the chain after another is cut off for long, some restarted meanwhile."""
        self.begin()
        self.at(self.random.uniform(1.0, 4.0), self.cut_one)
        self.go(seconds)
        self.end()

    def cut_one(self) -> None:
        if not self.faults_enabled:
            return
        chain = [self.nodes[address] for address, _ in self.newest.chain] if self.newest else []
        members = chain or list(self.nodes.values())
        count = self.random.choice([1, 1, 1, 2])
        for node in self.random.sample(members, min(count, len(members))):
            self.cut_off(node, self.random.choice(["both", "both", "in", "out"]))
            if self.random.random() < 0.4:
                self.at(self.random.uniform(0.1, 15.0), lambda node=node: self.restart(node))
            self.counts["cuts"] += 1
        for_s = self.random.choice([0.5, 3.0, 10.0, 20.0])
        self.at(for_s, self.cut.clear)
        self.at(for_s + self.random.choice([0.05, 1.0, 5.0]), self.cut_one)

    def restart(self, node: Node) -> None:
        self.crash(node)
        if self.random.random() < 0.3 and self.may_wipe(node):
            self.wipe(node)
        self.at(self.random.choice([0.01, 0.5, 2.0]), lambda: self.start(node))

    def run_troubles(self, seconds: float = 8.0) -> None:
        """Every kind of trouble of the explorer of cores."""
        self.begin()
        self.at(self.random.random() * 4, self.inject_fault)
        self.go(seconds)
        self.end()

    def end(self) -> None:
        """Calm: every order gets its clear answer, and what was acknowledged is read, and sent again."""
        self.faults_enabled, self.sync_delays = False, (0.005,)
        self.cut.clear()
        self.loss_rate = self.duplicate_rate = self.slow_rate = self.jitter_s = self.answer_loss = 0.0
        for node in self.nodes.values():
            node.frozen_until = min(node.frozen_until, self.now)
            self.thaw(node, node.generation)
            self.start(node)
        if not self.go(SETTLE_S, lambda: not self.lagging()):
            raise ViolationError(f"no clear answer {SETTLE_S} s after the troubles: {self.lagging()}")
        read: list[int] = []
        for _ in range(60):
            self.read("end", read.append)
            if self.go(0.5, lambda: bool(read)):
                break
        if not read:
            raise ViolationError("nothing can be read at the end")
        for order in self.settled_orders:
            self.repeat(order)
        self.go(2.0)

    def can_settle(self, change: list[Any], newest: ReplicatedConfiguration) -> bool:
        if change[0] == "weights":
            known = model_names(newest.configuration)
            return not known or change[1]["Model"] in known
        return newest.history.horizon <= change[1] <= newest.version

    def lagging(self) -> list[Order]:
        """Orders without a clear answer, but for those on a version that never came or is forgotten."""
        cores = [node.core for node in self.nodes.values() if node.core]
        newest = max((core.chain.state.state for core in cores), key=lambda state: state.version)
        return [
            order
            for operator in self.operators
            for order in operator.under_way
            if self.can_settle(order.change, newest)
        ]


@contextmanager
def short_memory(remembered: int = 0) -> Iterator[None]:
    """Short logs, the state above in the cores, and, if given, few repeats remembered."""
    with ExitStack() as stack:
        stack.enter_context(patch.object(storage_module, "RETAINED_ENTRIES", SHORT_LOG_ENTRIES))
        stack.enter_context(patch.object(core_world, "Register", NamedState))
        if remembered:
            stack.enter_context(patch.object(history_module, "SEGMENT_CHANGES", 2))
            stack.enter_context(patch.object(history_module, "MIN_REMEMBERED_CHANGES", remembered))
        yield


def explore_control(
    seeds: range,
    size: int = 3,
    *,
    cuts: bool = False,
    remembered: int = 0,
    seconds: float = 8.0,
    **kwargs: Any,  # noqa: ANN401
) -> Counter[str]:
    """Plays a schedule for each seed and counts what happened in them; ViolationError names the seed."""
    counts: Counter[str] = Counter()
    with short_memory(remembered):
        for seed in seeds:
            world = ControlWorld(seed, size, **kwargs)
            try:
                if cuts:
                    world.run_cuts(seconds)
                else:
                    world.run_troubles(seconds)
            except (
                ViolationError,
                AssertionError,
                LookupError,
                TypeError,
                ValueError,
                PlumlineError,
            ) as error:
                raise ViolationError(
                    f"seed {seed}, {size} machines, at {world.now:.3f} s: {error!r}"
                ) from error
            counts += world.counts
            counts["schedules"] += 1
    return counts
