import asyncio
import json
from typing import Any

import pytest
from rollout_world import endpoint, from_wire, to_wire

from plumline.registrar.rollout.loop import EndpointRolloutLoop
from plumline.registrar.rollout.plan import RolloutStates
from plumline.routing.fleet_state import ListedEndpoint
from plumline.wire.calls import Caller


class Engine:
    """An endpoint on a socket that applies ordered versions; records the orders and headers."""

    def __init__(self) -> None:
        self.version = 1
        self.answers_orders = True  # else it reads an order and closes the connection
        self.orders: list[dict[str, Any]] = []
        self.instances: set[str | None] = set()
        self.reported = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(line.split(": ", 1) for line in head.lower().split("\r\n")[1:-2])
                self.instances.add(lines.get("expected-instance"))
                body = await reader.readexactly(int(lines.get("content-length", "0")))
                status, data = 200, b""
                if head.startswith("POST /order "):
                    self.orders.append(json.loads(body))
                    if not self.answers_orders:
                        break
                    status, self.version = 202, self.orders[-1]["Version"]
                else:
                    models = [{"Name": "m", "Version": self.version, "Adapters": []}]
                    report = {"Models": models, "Busy": False, "CallSequence": len(self.orders)}
                    data = json.dumps(report).encode()
                    self.reported.set()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Environment:
    """A registrar whose lease and endpoint list the test sets; records published states in wire form."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.token: int | None = 7
        self.desired = {"m": 1}
        self.listed = [endpoint("a", address=f"{address[0]}:{address[1]}")]
        self.published: list[dict[str, Any]] = []

    def fencing_token(self) -> int | None:
        return self.token

    def endpoints(self) -> list[ListedEndpoint]:
        return self.listed

    def desired_versions(self) -> dict[str, int]:
        return self.desired

    def publish(self, states: RolloutStates) -> None:
        self.published.append(to_wire(states))


class Rig:
    """The control loop with a clock that the test advances, and one engine on a socket."""

    def __init__(self, caller: Caller, address: tuple[str, int]) -> None:
        self.now = 100.0
        self.environment = Environment(address)
        self.controller = EndpointRolloutLoop(caller, "node-1", self.environment, lambda: self.now)

    async def reconcile(self, after: float = 0.0) -> float:
        """Reconciles once and waits for the calls that were started."""
        self.now += after
        wait = self.controller.reconcile()
        await asyncio.gather(*self.controller._calls)
        return wait


async def run_with_rig(scenario: Any, engine: Engine | None = None) -> None:  # noqa: ANN401
    engine, caller = engine or Engine(), Caller()
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    try:
        async with asyncio.timeout(10):
            await scenario(Rig(caller, server.sockets[0].getsockname()), engine)
    finally:
        caller.close()
        server.close()


def test_the_loop_updates_an_endpoint_on_a_socket() -> None:
    async def scenario(rig: Rig, engine: Engine) -> None:
        assert await rig.reconcile() == 1.0
        rig.environment.desired = {"m": 2}
        assert await rig.reconcile() == 0.25
        assert rig.environment.published[-1] == {"a": {"moving": True, "models": {}}}
        await rig.reconcile(0.25)
        await rig.reconcile(0.3)
        await rig.reconcile()
        assert rig.environment.published == [
            {},
            {"a": {"moving": True, "models": {}}},
            {"a": {"moving": False, "models": {"m": 2}}},
        ]
        assert engine.orders == [
            {"Operation": "Version", "Model": "m", "Version": 2, "Method": "waiting", "Holder": "node-1",
             "FenceNumber": 7}
        ]  # fmt: skip
        assert engine.instances == {"a"}
        assert await rig.reconcile() == 1.0
        # A retry of an order without a response expects the count of the report between the two.
        rig.controller.plan.versions.confirmed.clear()
        engine.version, engine.answers_orders = 1, False
        rig.environment.desired = {"m": 3}
        for _ in range(12):
            await rig.reconcile(0.5)
        assert [each.get("ExpectedCount") for each in engine.orders[1:3]] == [None, 2]

    asyncio.run(run_with_rig(scenario))


def test_no_order_is_sent_once_the_lease_is_lost_even_between_reconciling_and_sending() -> None:
    async def scenario(rig: Rig, engine: Engine) -> None:
        await rig.reconcile()
        rig.environment.desired = {"m": 2}
        await rig.reconcile()
        rig.now += 0.25
        rig.controller.reconcile()  # starts the order's call, but sends no byte yet
        rig.environment.token = None
        await asyncio.gather(*rig.controller._calls)
        assert engine.orders == []
        assert await rig.reconcile() == 1.0
        rig.environment.token = 9  # won again: a report is fetched first, and the order carries the new token
        await rig.reconcile(1)
        assert engine.orders == []
        await rig.reconcile()
        assert [each["FenceNumber"] for each in engine.orders] == [9]

    asyncio.run(run_with_rig(scenario))


class SilentEngine(Engine):
    """Reads an order without responding; records whether the call's connection was reset."""

    def __init__(self) -> None:
        super().__init__()
        self.arrived = asyncio.Event()
        self.ended = asyncio.Event()
        self.was_reset = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.arrived.set()
        try:
            while await reader.read(1000):
                pass
        except ConnectionResetError:
            self.was_reset = True
        self.ended.set()
        writer.close()


@pytest.mark.parametrize("fencing_token", [None, 8])
def test_an_order_in_flight_is_reset_once_its_fencing_token_is_over(fencing_token: int | None) -> None:
    """Also if the same holder wins the lease again at once, under the next token."""

    async def scenario(rig: Rig, engine: SilentEngine) -> None:
        await rig.reconcile()
        rig.environment.desired = {"m": 2}
        await rig.reconcile()
        rig.now += 0.25
        rig.controller.reconcile()
        await engine.arrived.wait()
        rig.environment.token = fencing_token
        rig.controller.reconcile()
        await engine.ended.wait()
        assert engine.was_reset

    asyncio.run(run_with_rig(scenario, SilentEngine()))


def test_a_lease_holder_without_a_list_publishes_nothing_and_resumes_when_it_comes() -> None:
    async def scenario(rig: Rig, engine: Engine) -> None:
        listed, rig.environment.listed = rig.environment.listed, []
        rig.environment.desired = {"m": 2}
        rig.controller.inherit(from_wire({"a": {"moving": True, "models": {}}}))
        await rig.reconcile()
        assert rig.environment.published == []
        rig.environment.listed = listed
        await rig.reconcile()
        assert rig.environment.published == [{"a": {"moving": True, "models": {}}}]
        assert engine.reported.is_set()
        assert engine.orders == []

    asyncio.run(run_with_rig(scenario))


def test_wake_reconciles_at_once() -> None:
    async def scenario(rig: Rig, engine: Engine) -> None:
        rig.environment.desired = {"m": 2}
        rig.controller.inherit(from_wire({"a": {"moving": True, "models": {}}}))
        fencing_token, rig.environment.token = rig.environment.token, None
        paused = asyncio.Event()

        async def wait(event: asyncio.Event, seconds: float) -> None:
            paused.set()
            await event.wait()

        rig.controller.wait = wait
        running = asyncio.ensure_future(rig.controller.run())
        await paused.wait()
        rig.environment.token = fencing_token
        rig.controller.wake()
        await engine.reported.wait()
        running.cancel()

    asyncio.run(run_with_rig(scenario))
