"""Operators, request forwarders and cores in a simulated world: all answers must be consistent.

Operators send changes of the configuration to any registrar, several at a time and on the same version, and
repeat them unchanged until they get a clear answer, and also long after they were acknowledged.
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

ForwarderCall = Callable[[RequestForwarder, float, Callable[..., None]], None]
ResultCallback = Callable[[PlumlineError | None, Any], None]

RESPONSE_TIMEOUT_S = 1.0  # a caller gives up after this time without a response
MAX_OPEN_ORDERS = 8
SETTLE_S = 25.0  # simulated time after the last fault for every order to get a clear answer
REFUSALS = (ConfigurationInvalidError, VersionConflictError)
SERVICES = ("s1", "s2", "s3")
MODELS = ("p", "q", "r")  # operators set weight versions of the first two
LATE_S = (0.05, 1.5)  # range of the delay of a late request


def change_id(change: list[Any]) -> str:
    """A text that identifies the change."""
    if is_rollout_change(change):
        return f"rollout {change[1]['Rollout']}"
    if change[0] == "weights":
        return f"{change[1]['Model']}@{change[1]['Version']}"
    return change[2]["Id"]


@dataclass(frozen=True, slots=True)
class NamedState:
    """The replicated state, and the ids of all changes that led to it."""

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
    """A change that an operator sends repeatedly until it gets a clear answer."""

    change: list[Any]
    attempts: int = 0
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
        self.known_version = 0  # the newest version that it has learned of
        self.open_orders: list[Order] = []
        self.count = 0

    def act(self) -> None:
        """Reads, repeats an order or sends a new one, while faults are injected."""
        if not self.world.faults_enabled:
            return
        self.world.at(self.world.random.expovariate(4.0), self.act)
        chance = self.world.random.random()
        if chance < 0.3:
            self.world.read(self.name, self.learn)
        elif chance < 0.45 and self.world.settled_orders:
            self.world.repeat(self.world.random.choice(self.world.settled_orders))
        elif len(self.open_orders) < MAX_OPEN_ORDERS:
            order = Order(self.new_change())
            self.open_orders.append(order)
            self.send(order)

    def learn(self, version: int) -> None:
        self.known_version = max(self.known_version, version)

    def new_change(self) -> list[Any]:
        random = self.world.random
        self.count += 1
        base = self.known_version
        if random.random() < 0.2:
            own = [each.version for each in self.open_orders if each.change[0] != "weights"]
            base = random.choice([*own, max(0, base - 1), base])  # may be unacknowledged yet, or old
        if random.random() < 0.05:
            return ["weights", {"Model": self.name, "Version": self.count}]
        body: dict[str, Any] = {"Version": base + random.randint(1, 3), "Id": f"{self.name}{self.count}"}
        if base == 0 or random.random() < 0.3:
            models = [{"Name": each} for each in random.sample(MODELS, random.randint(0, len(MODELS)))]
            services = [{"Name": "s1", "Engine": {"Models": models}}, {"Name": "s2"}]
            return ["replace", base, body | {"Services": services}]
        service = random.choice(SERVICES)  # valid or not, depending on its base version
        if random.random() < 0.3:
            return ["amend", base, body | {"Removals": {"Services": [service]}}]
        place = random.choice("xyz")
        route = {"Name": place, "Host": "h", "PathPrefix": f"/{place}/", "TimeoutMs": 9, "Service": service}
        return ["amend", base, body | {"Upserts": {"Routes": [route]}}]

    def send(self, order: Order) -> None:
        order.attempts += 1
        attempts = order.attempts

        def send_again() -> None:
            if not order.answered and order.attempts == attempts:
                self.send(order)

        def told(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            if order.answered:
                return
            if error is None or isinstance(error, REFUSALS):
                order.answered = True
                self.open_orders.remove(order)
                self.world.settled_orders.append(order)
                if error is None and order.change[0] != "weights":
                    self.learn(order.version)
            else:
                self.world.at(min(1.0, 0.05 * 2 ** min(attempts, 5)), send_again)

        self.world.submit_at(self.world.any_registrar(), order.change, told)
        self.world.at(RESPONSE_TIMEOUT_S + min(1.0, 0.05 * 2 ** min(attempts, 5)), send_again)


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
                raise ViolationError(f"no handler knows {message}")
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

    def request(self, node: Node, ask: ForwarderCall, told: ResultCallback) -> None:
        """Calls a registrar: the call may arrive late, and its answer may be lost."""
        late = self.random.random() < self.slow_rate
        delay = self.random.uniform(*LATE_S) if late else self.random.uniform(0.001, 0.02)
        self.at(
            delay, lambda: self.call_if_running(node, node.generation, lambda: self.take(node, ask, told))
        )

    def take(self, node: Node, ask: ForwarderCall, told: ResultCallback) -> None:
        began, life, answers = self.now, node.generation, []

        def outcome(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            answers.append(error)
            if len(answers) > 1:
                raise ViolationError(f"{node.name} answers a call twice")
            self.counts["answers"] += 1
            self.count_answer(error, result)
            if self.random.random() >= self.answer_loss:
                self.at(self.random.uniform(0.001, 0.02), lambda: told(error, result))

        def check_answered() -> None:
            if not answers and node.generation == life and node.core and node.frozen_until <= began:
                raise ViolationError(
                    f"{node.name} is silent for {RESPONSE_TIMEOUT_S} s to a call of {began:.3f} s"
                )

        self.at(RESPONSE_TIMEOUT_S, check_answered)
        ask(self.forwarders[node.name], self.now + node.offset, outcome)

    def count_answer(self, error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        """Counts answers by kind."""
        self.counts[error.code if error else "ok"] += 1

    def submit_at(self, node: Node, change: list[Any], told: ResultCallback) -> None:
        """Checks each answer of a registrar against all that is known, even if the answer is lost."""

        def ask(forwarder: RequestForwarder, now: float, outcome: Callable[..., None]) -> None:
            def checked(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
                if error is None:
                    self.check_acknowledged(change)
                elif isinstance(error, REFUSALS):
                    self.on_refusal(change, error)
                outcome(error, result)

            forwarder.submit(now, change, 100, checked)

        self.request(node, ask, told)

    def repeat(self, order: Order) -> None:
        """Sends a settled order again; its answer is checked like any other."""
        self.counts["repeats"] += 1
        self.submit_at(self.any_registrar(), order.change, lambda error, result: None)

    def read(self, name: str, learn: Callable[[int], None], node: Node | None = None) -> None:  # type: ignore[override]
        floor = self.acknowledged_version

        def ask(forwarder: RequestForwarder, now: float, outcome: Callable[..., None]) -> None:
            def checked(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
                version = result["Version"] if result else 0
                if error is None and version < floor:
                    raise ViolationError(f"{version} is read after {floor} was acknowledged")
                if error is None and result:
                    self.check_read(result)
                outcome(error, result)

            forwarder.read(now, checked)

        def told(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            if error is None:
                learn(result["Version"] if result else 0)

        self.request(node or self.any_registrar(), ask, told)

    def check_read(self, result: dict[str, Any]) -> None:
        self.counts["reads"] += 1
        if result["Id"] not in self.committed.values():
            raise ViolationError(f"{result['Id']}, which is not in force, is read")
        if self.by_version.get(result["Version"], result["Id"]) != result["Id"]:
            raise ViolationError(f"{result['Id']} is read under the number of another change")
        validate(result)

    def check_acknowledged(self, change: list[Any]) -> None:
        if change[0] == "weights" and not is_rollout_change(change):
            self.check_weights_acknowledged(change[1])
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

    def check_weights_acknowledged(self, named: dict[str, Any]) -> None:
        """Checks that an acknowledged version of weights, or a newer one of the model, is committed."""
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
        """Submits a first configuration; it is acknowledged, and every member has time to apply it."""
        change = ["replace", 0, {"Version": 1, "Id": "first"}]
        error, _ = self.wait(lambda told: self.submit_at(self.nodes[self.chain()[0]], change, told))
        if error is not None:
            raise ViolationError(f"the first configuration got {error!r}")
        self.go(1.0)

    def read_now(self, node: Node) -> tuple[PlumlineError | None, float]:
        """Reads at the node; returns the error and the time that the read took."""
        return self.wait(
            lambda told: self.request(node, lambda forwarder, now, out: forwarder.read(now, out), told)
        )

    def change_now(self, node: Node) -> tuple[PlumlineError | None, float]:
        """Submits a change on the acknowledged version; returns the same as `read_now`."""
        change = ["amend", self.acknowledged_version, {"Version": 9, "Id": "nine"}]
        return self.wait(lambda told: self.submit_at(node, change, told))

    def wait(self, call: Callable[[ResultCallback], None]) -> tuple[PlumlineError | None, float]:
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
        """Partitions machines of the chain one after another for long; some restart during it."""
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
        """Injects every kind of fault of the explorer of cores."""
        self.begin()
        self.at(self.random.random() * 4, self.inject_fault)
        self.go(seconds)
        self.end()

    def end(self) -> None:
        """Ends all faults: orders get clear answers and a read succeeds; then repeats the settled orders."""
        self.faults_enabled, self.sync_delays = False, (0.005,)
        self.cut.clear()
        self.loss_rate = self.duplicate_rate = self.slow_rate = self.jitter_s = self.answer_loss = 0.0
        for node in self.nodes.values():
            node.frozen_until = min(node.frozen_until, self.now)
            self.thaw(node, node.generation)
            self.start(node)
        if not self.go(SETTLE_S, lambda: not self.unsettled_orders()):
            raise ViolationError(f"no clear answer {SETTLE_S} s after the faults: {self.unsettled_orders()}")
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
            configured = model_names(newest.configuration)
            return not configured or change[1]["Model"] in configured
        return newest.history.horizon <= change[1] <= newest.version

    def unsettled_orders(self) -> list[Order]:
        """Orders with no clear answer, except those on a version never committed or forgotten."""
        cores = [node.core for node in self.nodes.values() if node.core]
        newest = max((core.chain.state.state for core in cores), key=lambda state: state.version)
        return [
            order
            for operator in self.operators
            for order in operator.open_orders
            if self.can_settle(order.change, newest)
        ]


@contextmanager
def short_memory(remembered: int = 0) -> Iterator[None]:
    """Cores with short logs and NamedState, and, if given, with few remembered changes."""
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
    """Runs a schedule for each seed and counts its events; ViolationError names the seed."""
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
