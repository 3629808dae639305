"""A registrar's durable state: recovery, when the incarnation may be sent, and when the disk is unhealthy."""

import asyncio
from pathlib import Path

from peers import play, soon

from plumline.registrar.durable_state import STALLED_WRITE_S, DurableState
from plumline.registrar.process import PeriodicTimer

VIEW_RECORD = ["view", 1, [], []]


@play
async def test_a_restart_finds_the_incarnation_and_the_records_of_the_core(folder: Path) -> None:
    loop = asyncio.get_running_loop()
    first = DurableState(folder, loop)
    assert first.records == []
    first.start_writing(lambda: [VIEW_RECORD])
    await soon(first.wait_for_incarnation())
    synced = asyncio.Event()
    first.persist(VIEW_RECORD, synced.set)
    await soon(synced.wait())
    first.close()
    second = DurableState(folder, loop)
    assert second.incarnation == first.incarnation
    assert second.records == [VIEW_RECORD]
    second.close()


@play
async def test_the_incarnation_may_not_be_sent_before_it_is_synced(folder: Path) -> None:
    state = DurableState(folder, asyncio.get_running_loop())
    assert not state.incarnation_synced.is_set()
    state.start_writing(list)
    assert not state.incarnation_synced.is_set()
    await soon(state.wait_for_incarnation())
    assert state.incarnation_synced.is_set()
    state.close()


@play
async def test_without_a_folder_each_start_is_another_incarnation_and_nothing_is_waited_for(_: Path) -> None:
    loop = asyncio.get_running_loop()
    first, second = DurableState(None, loop), DurableState(None, loop)
    assert first.incarnation != second.incarnation
    first.start_writing(list)
    await soon(first.wait_for_incarnation())
    synced = asyncio.Event()
    first.persist(VIEW_RECORD, synced.set)
    await soon(synced.wait())
    first.close()


@play
async def test_a_write_that_waits_too_long_makes_the_disk_unhealthy(folder: Path) -> None:
    loop = asyncio.get_running_loop()
    state = DurableState(folder, loop)
    state.start_writing(list)
    await soon(state.wait_for_incarnation())
    submitted_at = loop.time()
    assert not state.is_unhealthy(submitted_at + 60.0)  # no write is pending
    synced = asyncio.Event()
    state.persist(VIEW_RECORD, synced.set)
    assert not state.is_unhealthy(submitted_at)
    assert state.is_unhealthy(loop.time() + STALLED_WRITE_S + 0.01)
    await soon(synced.wait())
    state.close()


def test_a_periodic_timer_is_due_at_once_and_then_after_each_interval() -> None:
    timer = PeriodicTimer(0.4)
    assert [timer.is_due(now) for now in (10.0, 10.1, 10.39, 10.41, 10.8, 10.82)] == [
        *(True, False, False),
        *(True, False, True),
    ]
