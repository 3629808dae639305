"""A router that no registrar reaches while the configuration changes, in a whole system in virtual time.

Three registrars and two routers run on the virtual network of `frozen_cluster`. A cut holds between one
router and all registrars; its clients and endpoints are not affected.
"""

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import frozen_adapter
import pytest
from frozen_story import (
    CORES,
    ENDPOINTS,
    PLATFORM,
    ROUTERS,
    SERVING,
    Day,
    answered,
    platform,
)
from frozen_story import settings_text as base_settings_text

APPLY_S = 2.0  # ConfigurationApplyMs
MIN_ACCEPTED_SHARE = 0.4  # of RevocationMs, for which a cut-off router goes on accepting keys
CUT_ROUTER = ROUTERS[0]
TENANTS = ("north", "south")
PROMPT = {"Model_Name": "m", "Prompt_Prefix": "p1:800,p2:20", "Token_Counts": "820,8"}


def document(
    version: int, *, isolated: tuple[str, ...] = (), listed: tuple[str, ...] = TENANTS
) -> dict[str, Any]:
    route = {"Host": "h.example", "TimeoutMs": 5000, "TargetLatencyMs": 400, "Service": "s"}
    return {
        "Version": version,
        "Routes": [
            {"Name": "chat", "PathPrefix": "/chat/", "Kind": "idempotent", "AttemptLimit": 3, **route}
        ],
        "Services": [
            {"Name": "s", "ConnectionLimit": 100, "Engine": {"CapacitySlots": 8, "Models": [{"Name": "m"}]}}
        ],
        "Tenants": [
            {"Name": name, "ApiKeys": [f"key-{name}"], "Isolated": name in isolated} for name in listed
        ],
    }


@dataclass(frozen=True)
class Run:
    """A request as an endpoint received it."""

    id: str
    tenant: str
    salt: str


@dataclass
class System:
    """A started system, and what its endpoints have received."""

    day: Day
    revocation_s: float | None = None  # RevocationMs, where `RevocationClosed` is true
    runs: dict[str, Run] = field(default_factory=dict)  # by Attempt-Id

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        self.day.cluster.stand_in(PLATFORM, platform)
        for host in ENDPOINTS:
            self.day.cluster.stand_in((host, SERVING), self.serve)
        for host in (*CORES, *ROUTERS):
            path = self.day.folder / f"{host}.toml"
            text = base_settings_text(host, self.day.folder)
            if self.revocation_s is not None:
                bounds = f"RevocationClosed = true\nRevocationMs = {self.revocation_s * 1000:.0f}\n"
                text = text.replace("[Bounds]\n", f"[Bounds]\n{bounds}")
            path.write_text(text)
            program = frozen_adapter.registrar_program if host in CORES else frozen_adapter.router_program
            self.day.cluster.start(host, program(path))
        await asyncio.sleep(4.0)
        await self.replace(document(1))
        await asyncio.sleep(1.0)

    def serve(self, head: bytes, body: bytes) -> bytes | None:
        lines = [line.partition(b":") for line in head.split(b"\r\n")]
        headers = {name.lower(): value.strip().decode() for name, _, value in lines}
        if b"attempt-id" not in headers:
            report = {"Models": [{"Name": "m", "Version": 1}], "Busy": False, "CallSequence": 0}
            return answered("200 OK", json.dumps(report).encode())
        name = headers[b"attempt-id"]
        self.runs[name] = Run(name, headers[b"tenant-name"], headers[b"cache-salt"])
        return answered("200 OK", b"done", f"Attempt-Id: {name}".encode(), b"Server-Seal: x")

    async def replace(self, new: dict[str, Any]) -> float:
        """Replaces the configuration; returns when that was acknowledged."""
        line, based_on = "POST /Configuration.Replace", new["Version"] - 1
        answer = await self.day.operate(CORES[0], line, new, Based_On_Version=based_on)
        assert b" 200 " in answer, answer
        return self.now()

    async def ask(self, router: str, tenant: str) -> Run | None:
        """Sends a prompt of this tenant; returns its run, or None if it was refused."""
        answer = await self.day.use(router, "/chat/a", X_Api_Key=f"key-{tenant}", **PROMPT)
        name = f"{self.day.asked:016x}"
        assert (b" 200 " in answer) == (name in self.runs), answer
        return self.runs.get(name)

    async def salt_of(self, router: str, tenant: str) -> str:
        run = await self.ask(router, tenant)
        assert run is not None
        return run.salt

    def cut(self) -> None:
        cut = {(CUT_ROUTER, core) for core in CORES}
        loop = self.day.cluster.loop
        loop.is_cut = lambda one, other: (one, other) in cut or (other, one) in cut  # type: ignore[method-assign]

    def heal(self) -> None:
        loop = self.day.cluster.loop
        loop.is_cut = lambda one, other: False  # type: ignore[method-assign]
        self.day.cluster.break_off(CUT_ROUTER)


def play(
    scenario: Callable[[System], Coroutine[Any, Any, None]], *, revocation_s: float | None = None
) -> None:
    async def story(day: Day) -> Any:  # noqa: ANN401
        system = System(day, revocation_s)
        await system.start()
        await scenario(system)
        return day.told

    frozen_adapter.play(story)


# Guards against use of the shared cache by a router with an old configuration, after a tenant has become
# isolated (review/4, WALL).
def test_a_cut_off_router_shares_nothing_that_a_missed_change_may_have_isolated() -> None:
    async def scenario(system: System) -> None:
        for router in ROUTERS:
            assert [await system.salt_of(router, tenant) for tenant in TENANTS] == ["v1w0", "v1w0"]
        system.cut()
        await asyncio.sleep(0.1)
        acknowledged_at = await system.replace(document(2, isolated=("north",)))
        await asyncio.sleep(acknowledged_at + APPLY_S - system.now())
        salts = [await system.salt_of(CUT_ROUTER, tenant) for tenant in (*TENANTS, *TENANTS)]
        assert len({*salts, "v1w0", "v1w1", "v1t:north"}) == len(salts) + 3  # each its own
        assert [await system.salt_of(ROUTERS[1], tenant) for tenant in TENANTS] == ["v1t:north", "v1w1"]
        system.heal()
        await asyncio.sleep(2.0)
        assert [await system.salt_of(CUT_ROUTER, tenant) for tenant in TENANTS] == ["v1t:north", "v1w1"]

    play(scenario)


def test_routers_in_contact_go_on_sharing() -> None:
    async def scenario(system: System) -> None:
        for _ in range(40):
            await asyncio.sleep(0.13)
            assert [await system.salt_of(router, "north") for router in ROUTERS] == ["v1w0", "v1w0"]

    play(scenario)


# Guards against requests that run with a key that was taken away more than RevocationMs before (review/3,
# CONFIG).
@pytest.mark.parametrize("cut_after_s", [0.0, 0.1, 0.2, 0.3, 0.4])
@pytest.mark.parametrize("revocation_s", [1.0, 2.0, 5.0, 30.0])
def test_a_cut_off_router_accepts_no_key_that_may_have_been_taken_away(
    revocation_s: float, cut_after_s: float
) -> None:
    async def scenario(system: System) -> None:
        for _ in range(30):
            assert await system.ask(CUT_ROUTER, "north") is not None  # in contact
            await asyncio.sleep(0.07)
        await asyncio.sleep(cut_after_s)
        system.cut()
        acknowledged_at = await system.replace(document(2, listed=("south",)))
        await asyncio.sleep(revocation_s - 5.0)
        while (sent_at := system.now()) < acknowledged_at + revocation_s + 1.0:
            run = await system.ask(CUT_ROUTER, "north")
            late_s = sent_at - acknowledged_at
            assert run is None or late_s <= revocation_s, f"run {late_s:.3f} s after the acknowledgement"
            assert run is not None or late_s > revocation_s * MIN_ACCEPTED_SHARE, f"refused at {late_s:.3f} s"
            await asyncio.sleep(0.02)

    play(scenario, revocation_s=revocation_s)
