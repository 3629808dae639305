"""A single RegistrarProcess on loopback sockets and a real folder, without a fleet."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from peers import play, soon

from plumline.coordination.membership import PendingHandover
from plumline.registrar import process
from plumline.registrar.process import SHUTDOWN_RESERVE_S, RegistrarProcess
from plumline.settings import Bounds, Settings

PORTS = (47_641, 47_655)


def settings_for(folder: Path) -> Settings:
    return Settings(
        node_name="core-1",
        ip_address="127.0.0.1",
        internal_ports=PORTS,
        seed_addresses=(("127.0.0.1", 1),),
        first_start=True,
        data_directory=folder,
    )


async def become_head(registrar: RegistrarProcess) -> None:
    """Steps the registrar by hand until it is the head of a chain of one."""
    await registrar.durable_state.wait_for_incarnation()
    now = registrar.loop.time()
    while not registrar.core.chain.caught_up:
        now += 0.05
        registrar.core.tick(now)
        await asyncio.sleep(0)


@play
async def test_a_registrar_recovers_from_its_disk_and_commits_what_is_on_it(tmp_path: Path) -> None:
    first = RegistrarProcess(settings_for(tmp_path))
    await soon(become_head(first))
    result = first.loop.create_future()
    change = ["weights", {"Model": "m", "Version": 3}]
    first.core.chain.submit(change, lambda error: result.set_result(error))
    assert await soon(result) is None
    first.durable_state.close()
    # The newest entry of the first process is committed when the next one starts, before any message arrives.
    second = RegistrarProcess(settings_for(tmp_path))
    assert second.core.local_member == first.core.local_member
    assert second.core.chain.state.model_versions == {"m": 3}
    assert second.core.chain.is_head() and second.core.chain.caught_up
    second.durable_state.close()


@play
async def test_a_registrar_that_lost_its_disk_has_a_new_incarnation_and_no_view(
    tmp_path: Path,
) -> None:
    first = RegistrarProcess(settings_for(tmp_path / "one"))
    await soon(become_head(first))
    second = RegistrarProcess(settings_for(tmp_path / "two"))
    assert second.core.local_member.address == first.core.local_member.address
    assert second.core.local_member.incarnation != first.core.local_member.incarnation
    assert second.core.view_agreement.view is None
    first.durable_state.close()
    second.durable_state.close()


class FakeExchange:
    """A fake of an operator's request that records the response."""

    def __init__(self, method: str, path: str, body: bytes = b"", based_on: bytes = b"0") -> None:
        self.method, self.path, self.body, self.client_disconnected = method, path, body, False
        self.headers = [(b"based-on-version", based_on)]
        self.answer: tuple[int, dict[bytes, bytes], bytes] | None = None

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.answer = status, dict(headers), body


@play
async def test_a_registrar_that_knows_nothing_rejects_nothing(tmp_path: Path) -> None:
    """Without a view or a configuration it responds 503 at once, so that callers ask another registrar."""
    registrar = RegistrarProcess(settings_for(tmp_path))
    calls = [
        FakeExchange("GET", "/Configuration.Read"),
        FakeExchange("POST", "/Configuration.Replace", b'{"Version":1}'),
        FakeExchange("POST", "/Configuration.Amend", b'{"Version":3}', b"2"),
        FakeExchange("POST", "/version-put", b'{"Model":"m","Version":1}'),
    ]
    for each in calls:
        await soon(registrar.operator_api.serve(each))
        assert each.answer is not None
        assert (each.answer[0], each.answer[1][b"Retry-After"]) == (503, b"0.3")
    cut_short = FakeExchange("POST", "/Configuration.Replace", b'{"Version":')
    await soon(registrar.operator_api.serve(cut_short))  # invalid in any state
    assert cut_short.answer is not None and cut_short.answer[0] == 400
    await soon(become_head(registrar))
    read = FakeExchange("GET", "/Configuration.Read")
    await soon(registrar.operator_api.serve(read))
    assert read.answer is not None and read.answer[0] == 503
    registrar.durable_state.close()


@play
async def test_changes_are_acknowledged_repeated_and_rejected_over_http(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    await soon(become_head(registrar))

    async def status(body: bytes, based_on: bytes, path: str = "/Configuration.Replace") -> int:
        exchange = FakeExchange("POST", path, body, based_on)
        await soon(registrar.operator_api.serve(exchange))
        assert exchange.answer is not None
        return exchange.answer[0]

    assert await status(b'{"Version":3,"Limits":{}}', b"0") == 200
    assert await status(b'{ "Limits": {},\n "Version": 3 }', b"0") == 200  # the same, formatted differently
    assert await status(b'{"Version":3}', b"0") == 412
    assert await status(b'{"Version":2}', b"3") == 400
    assert await status(b'{"Version":9}', b"5") == 503  # version 5 may be under way
    assert await status(b'{"Version":5}', b"3", "/Configuration.Amend") == 200
    assert await status(b'{"Version":3,"Limits":{}}', b"0") == 200
    registrar.durable_state.close()


@play
async def test_a_lone_registrar_shuts_down_without_waiting(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    await soon(become_head(registrar))
    began = registrar.loop.time()
    await soon(registrar.hand_over())
    assert registrar.loop.time() - began < SHUTDOWN_RESERVE_S
    assert registrar.core.membership.draining
    assert registrar.counters.get("leave.incomplete") == 0
    registrar.durable_state.close()


@play
async def test_shutdown_ends_within_the_grace_period_and_logs_what_was_not_handed_over(
    tmp_path: Path,
) -> None:
    settings = replace(settings_for(tmp_path), bounds=Bounds(grace_period_s=SHUTDOWN_RESERVE_S + 0.1))
    registrar = RegistrarProcess(settings)
    await soon(become_head(registrar))
    registrar.core.pending_handover = lambda now: PendingHandover.REPLICA
    with patch.object(process, "log") as log:
        await soon(registrar.hand_over())
    assert "replica in the chain" in log.warning.call_args.args[0]
    assert registrar.counters.get("leave.incomplete") == 1
    registrar.durable_state.close()


@play
async def test_shutdown_ends_as_soon_as_all_duties_are_handed_over(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    await soon(become_head(registrar))
    pending = [PendingHandover.LEASE, PendingHandover.REPLICA, PendingHandover.ACCEPTOR, None]
    registrar.core.pending_handover = lambda now: pending.pop(0)
    await soon(registrar.hand_over())
    assert pending == []
    assert registrar.counters.get("leave.incomplete") == 0
    registrar.durable_state.close()


@play
async def test_all_loops_of_a_registrar_go_by_its_own_clock(tmp_path: Path) -> None:
    """A loop on the machine's clock would make runs in virtual time depend on the machine's load."""
    registrar = RegistrarProcess(settings_for(tmp_path))
    roles = registrar.roles
    for each in (roles, roles.discovery, roles.cache_stores, roles.rollout):
        assert each.clock == registrar.loop.time
    registrar.mesh.close()
    registrar.durable_state.close()


# Guards against an operators' API without the roll-out calls (issue 49: "had no ack after N ms of calm").
@play
async def test_a_roll_out_is_ordered_read_and_refused_over_http(tmp_path: Path) -> None:
    registrar = RegistrarProcess(settings_for(tmp_path))
    await soon(become_head(registrar))

    async def call(method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, str]]:
        exchange = FakeExchange(method, path, body)
        await soon(registrar.operator_api.serve(exchange))
        assert exchange.answer is not None
        return exchange.answer[0], json.loads(exchange.answer[2])

    order = b'{"Service":"s 1","TargetVersion":"v2","DurationS":12}'
    assert (await call("POST", "/Rollouts.Start", order))[0] == 503  # there is no configuration yet
    configuration = b'{"Version":1,"Services":[{"Name":"s 1"}]}'
    assert (await call("POST", "/Configuration.Replace", configuration))[0] == 200
    assert (await call("GET", "/Rollouts.Read/s%201"))[0] == 404
    assert (await call("POST", "/Rollouts.Start", order))[0] == 200
    assert (await call("POST", "/Rollouts.Start", order))[0] == 200
    read = await call("GET", "/Rollouts.Read/s%201")
    assert read == (200, {"State": "running", "TargetVersion": "v2"})
    status, error = await call("POST", "/Rollouts.Start", order.replace(b"v2", b"v3"))
    assert (status, error["error"]) == (409, "rollout-conflict")
    status, error = await call(
        "POST", "/Rollouts.Start", b'{"Service":"x","TargetVersion":"v2","DurationS":1}'
    )
    assert (status, error["error"]) == (400, "rollout-invalid")
    status, error = await call("POST", "/Rollouts.Start", b'{"Service":"s 1","TargetVersion":"v2"}')
    assert (status, error["error"]) == (400, "rollout-invalid")
    assert error["text"].startswith("DurationS: ")
    assert (await call("POST", "/Rollouts.Start", b"{"))[0] == 400
    hidden = b'{"Model":"","Version":0,"Rollout":["start","s 1","v9",5]}'
    assert (await call("POST", "/version-put", hidden))[0] == 400
    assert (await call("GET", "/Rollouts.Read/s%201"))[1]["TargetVersion"] == "v2"
    registrar.durable_state.close()
