"""One registrar's process object on loopback sockets and a real folder, without the rest of a fleet."""

import asyncio
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from peers import play, soon

from plumline.coordination.keeper import Duty
from plumline.registrar import app
from plumline.registrar.app import CLOSE_S, Registrar
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


async def formed(registrar: Registrar) -> None:
    """Steps it by hand until it is the head of a chain of one."""
    await registrar.known.wait()
    now = registrar.loop.time()
    while not registrar.core.chain.caught_up:
        now += 0.05
        registrar.core.tick(now)
        await asyncio.sleep(0)


@play
async def test_a_registrar_goes_on_from_its_disk_and_commits_what_is_on_it(tmp_path: Path) -> None:
    first = Registrar(settings_for(tmp_path))
    await soon(formed(first))
    taken = first.loop.create_future()
    change = ["weights", {"Model": "m", "Version": 3}]
    first.core.chain.submit(change, lambda error: taken.set_result(error))
    assert await soon(taken) is None
    first.writer.close()
    # What was the newest entry as it ended is committed as the next life begins, before any message came.
    second = Registrar(settings_for(tmp_path))
    assert second.core.me == first.core.me
    assert second.core.chain.state.versions == {"m": 3}
    assert second.core.chain.is_head() and second.core.chain.caught_up
    second.writer.close()


@play
async def test_a_registrar_without_its_disk_is_another_incarnation_and_no_member(tmp_path: Path) -> None:
    first = Registrar(settings_for(tmp_path / "one"))
    await soon(formed(first))
    second = Registrar(settings_for(tmp_path / "two"))
    assert second.core.me[0] == first.core.me[0]
    assert second.core.me[1] != first.core.me[1]
    assert second.core.views.view is None
    first.writer.close()
    second.writer.close()


@play
async def test_a_registrar_that_is_alone_ends_without_waiting(tmp_path: Path) -> None:
    registrar = Registrar(settings_for(tmp_path))
    await soon(formed(registrar))
    began = registrar.loop.time()
    await soon(registrar.hand_over())
    assert registrar.loop.time() - began < CLOSE_S
    assert registrar.core.keeper.leaving
    assert registrar.counters.get("leave.incomplete") == 0
    registrar.writer.close()


@play
async def test_a_registrar_ends_within_the_grace_period_and_says_what_it_could_not_hand_over(
    tmp_path: Path,
) -> None:
    settings = replace(settings_for(tmp_path), bounds=Bounds(grace_period_s=CLOSE_S + 0.1))
    registrar = Registrar(settings)
    await soon(formed(registrar))
    registrar.core.remaining_duty = lambda now: Duty.REPLICA
    with patch.object(app, "log") as log:
        await soon(registrar.hand_over())
    assert "replica in the chain" in log.warning.call_args.args[0]
    assert registrar.counters.get("leave.incomplete") == 1
    registrar.writer.close()


@play
async def test_a_registrar_ends_as_soon_as_its_duties_are_handed_over(tmp_path: Path) -> None:
    registrar = Registrar(settings_for(tmp_path))
    await soon(formed(registrar))
    duties = [Duty.LEASE, Duty.REPLICA, Duty.ACCEPTOR, None]
    registrar.core.remaining_duty = lambda now: duties.pop(0)
    await soon(registrar.hand_over())
    assert duties == []
    assert registrar.counters.get("leave.incomplete") == 0
    registrar.writer.close()
