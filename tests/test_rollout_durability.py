"""Orders of roll-outs with real cores and forwarders in a stepped simulation: an acknowledged order survives
every loss within the tolerance, and its roll-out continues."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import pytest

from plumline.configuration.service_rollouts import (
    AdvanceRollout,
    RolloutConflictError,
    RolloutInvalidError,
    RolloutNotFoundError,
    RolloutRecord,
    StartRollout,
)
from plumline.coordination.lease import LeaseDurations
from plumline.errors import PlumlineError, UnavailableError
from plumline.registrar.service_rollout.loop import Grants, ServiceRolloutLoop
from plumline.routing.fleet_state import ListedEndpoint
from tests.control_world import ControlWorld, short_memory
from tests.core_world import Node
from tests.rollout_simulation import listed

LEASE = "discovery"
ORDER = StartRollout("s", "v2", 12.0)
FIRST_CONFIGURATION = {"Version": 1, "Id": "first", "Services": [{"Name": "s"}]}
STEP_S = 0.2


class RegistrarEnvironment:
    """The environment of the control loop at one registrar."""

    def __init__(self, world: "RolloutWorld", node: Node) -> None:
        self.world, self.node = world, node

    def fencing_token(self) -> int | None:
        assert self.node.core is not None
        return self.node.core.lease_election.fencing_token(self.world.now + self.node.offset, LEASE)

    def records(self) -> Mapping[str, RolloutRecord]:
        assert self.node.core is not None
        return self.node.core.chain.state.rollouts.records

    def endpoints(self) -> Sequence[ListedEndpoint]:
        return [*listed(9, "v1"), *listed(9, "v2")]

    def live_routers(self) -> frozenset[str]:
        return frozenset({"edge-1"})

    def publish(self, grants: Grants) -> None:
        self.world.published.append((self.world.now, dict(grants)))

    def has_published_grants(self) -> bool:
        return False

    def record(self, decision: AdvanceRollout, on_result: Callable[[PlumlineError | None], None]) -> None:
        forwarder, now = self.world.forwarders[self.node.name], self.world.now + self.node.offset
        forwarder.submit(now, decision.to_change(), 0, lambda error, _: on_result(error))


class RolloutWorld(ControlWorld):
    """Every registrar is a candidate for the lease, and controls roll-outs while it holds it."""

    def __init__(self, seed: int, size: int = 3, **kwargs: Any) -> None:  # noqa: ANN401
        self.published: list[tuple[float, dict[str, Any]]] = []
        super().__init__(seed, size, quiet=True, start=False, **kwargs)
        self.leases = {LEASE: LeaseDurations(1.2, 0.0)}
        for node in self.nodes.values():
            self.start(node)

    def start_core(self, node: Node) -> None:
        super().start_core(node)
        assert node.core is not None
        node.core.campaign(self.now + node.offset, LEASE)
        steering = ServiceRolloutLoop(RegistrarEnvironment(self, node), lambda: self.now + node.offset)
        self.run_steps(node, node.generation, steering)

    def run_steps(self, node: Node, life: int, steering: ServiceRolloutLoop) -> None:
        def step() -> None:
            steering.step()
            self.after_step(node)
            self.at(STEP_S, lambda: self.run_steps(node, life, steering))

        self.call_if_running(node, life, step)

    def configured(self) -> "RolloutWorld":
        self.settle()
        assert self.order_now(["replace", 0, FIRST_CONFIGURATION]) is None
        return self

    def order_now(self, change: list[Any], at: int = 0) -> PlumlineError | None:
        node = list(self.nodes.values())[at]
        return self.wait(lambda on_result: self.submit_at(node, change, on_result))[0]

    def read_rollout(self, service: str = "s") -> dict[str, Any] | PlumlineError:
        """The answer of any registrar; asks them in turn until one answers."""
        for attempt in range(40):
            node = list(self.nodes.values())[attempt % len(self.nodes)]
            answer = self.read_rollout_at(node, service)
            if not isinstance(answer, UnavailableError):
                return answer
            self.go(0.5)
        raise AssertionError("no registrar answers")

    def read_rollout_at(self, node: Node, service: str) -> dict[str, Any] | PlumlineError:
        answers: list[Any] = []
        if node.core is None:
            return UnavailableError("down")

        def on_result(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            answers.append(error or result)

        self.forwarders[node.name].read(self.now + node.offset, on_result, service)
        self.go(1.0, lambda: bool(answers))
        return answers[0] if answers else UnavailableError("silent")


@pytest.fixture(autouse=True)
def program_state() -> Iterator[None]:
    """The cores replicate the state type of the program."""
    with short_memory():
        yield


# Guards against an operators' API without this order (issue 49: "had no ack after N ms of calm").
@pytest.mark.parametrize("at", range(3))
def test_an_order_is_acknowledged_and_read_at_any_registrar(at: int) -> None:
    world = RolloutWorld(1).configured()
    assert world.order_now(ORDER.to_change(), at) is None
    assert world.read_rollout() == {"State": "running", "TargetVersion": "v2"}
    assert world.order_now(ORDER.to_change(), (at + 1) % 3) is None  # a retry after a lost acknowledgement


def test_invalid_orders_are_rejected_and_leave_no_record() -> None:
    world = RolloutWorld(2).configured()
    assert isinstance(world.order_now(StartRollout("x", "v2", 12.0).to_change()), RolloutInvalidError)
    assert isinstance(world.read_rollout(), RolloutNotFoundError)
    assert world.order_now(ORDER.to_change()) is None
    assert isinstance(world.order_now(ORDER._replace(target="v3").to_change()), RolloutConflictError)
    assert world.read_rollout() == {"State": "running", "TargetVersion": "v2"}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lost_disk", ["", "a", "b", "c"])
def test_an_acknowledged_order_survives_a_power_loss_of_all_and_one_disk(seed: int, lost_disk: str) -> None:
    world = RolloutWorld(seed).configured()
    assert world.order_now(ORDER.to_change()) is None
    for node in world.nodes.values():
        world.crash(node, keep=0)
    if lost_disk:
        world.wipe(world.nodes[lost_disk])
    world.go(0.5)
    for node in world.nodes.values():
        world.start(node)
    assert world.read_rollout() == {"State": "running", "TargetVersion": "v2"}
    # The roll-out continues: a controller advances it, and lets routers send to the new version.
    restarted_at = world.now
    assert world.go(20.0, lambda: any(grants for at, grants in world.published if at > restarted_at))


@pytest.mark.parametrize("seed", range(4))
def test_an_order_accepted_right_before_the_head_loses_power_is_kept_or_was_not_acknowledged(
    seed: int,
) -> None:
    world = RolloutWorld(seed).configured()
    head = world.nodes[world.chain()[0]]
    answers: list[PlumlineError | None] = []
    world.submit_at(head, ORDER.to_change(), lambda error, _: answers.append(error))
    world.go(0.02 + 0.01 * seed)
    world.crash(head)
    world.go(8.0)
    world.start(head)
    found = world.read_rollout()
    if answers and answers[0] is None:
        assert found == {"State": "running", "TargetVersion": "v2"}


def test_the_lease_holder_is_lost_at_each_stage_and_another_continues() -> None:
    world = RolloutWorld(5).configured()
    assert world.order_now(ORDER.to_change()) is None
    seen: set[str] = set()
    for _ in range(30):
        world.go(1.0)
        record = next(n.core for n in world.nodes.values() if n.core).chain.state.rollouts.records["s"]
        if record.stage.value in seen or not record.stage.running:
            continue
        seen.add(record.stage.value)
        holder = next(
            (
                node
                for node in world.nodes.values()
                if node.core and RegistrarEnvironment(world, node).fencing_token() is not None
            ),
            None,
        )
        if holder is not None:
            world.crash(holder)
            world.go(4.0)
            world.start(holder)
    # No router reports answers here, so that the version can't be judged: it is reverted.
    assert world.go(20.0, lambda: world.read_rollout()["State"] == "reverted")  # type: ignore[index]
    assert "canary" in seen
