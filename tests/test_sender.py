"""The complete sender in the test's process, between a scripted receiver and discovery service."""

import asyncio
import json
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from peers import (
    KEYED,
    PATIENCE,
    READY,
    Peer,
    Running,
    World,
    ask,
    host,
    list_line,
    message,
    play,
    read_reply,
    soon,
    tell,
)

from message_sender.__main__ import config_from
from message_sender.interface import Outcome
from message_sender.net import sender as module
from message_sender.net.config import Descriptors
from message_sender.net.journal import Attempt, Journal
from message_sender.net.sender import CLOSE_DELAY, Sender

NO_ENDPOINT = {"X_Route_To": "dest=9"}  # no usable endpoint: queued until its time is up
SHORT_TIME_LEFT_S = 4.0  # s left of a message that must expire in a test: more than this process may stall
SHORT_TIME_LEFT = {"X_Time_Left": f"{SHORT_TIME_LEFT_S}"}


def advance_clocks(world: World, seconds: float) -> None:
    """Advances both clocks of the sender, as if its process had stalled for so long."""
    loop = asyncio.get_running_loop()
    steady = loop.time
    loop.time = lambda: steady() + seconds  # type: ignore[method-assign]
    world.sender.clock.base += int(seconds * 1e9)


async def answer_notices(platform: Peer) -> None:
    """Answers all notices, including repeated ones: a stalled process may miss the first answer."""
    while True:
        (await platform.requests.get()).answer(204)


def recoverable_messages(state: Path) -> list[str]:
    """The messages that a start now would recover, read from a copy of the journal."""
    copy = state / "copy"
    copy.mkdir(exist_ok=True)
    (copy / "journal").write_bytes((state / "journal").read_bytes())
    journal = Journal(copy, 3_000_000)
    journal.close()
    return list(journal.entries)


@play
async def test_a_message_is_accepted_sent_and_finished(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1")).status == 202
        request = await world.receiver.next()
        assert request.id == "m1" and recoverable_messages(state) == ["m1"]
        assert (await world.hand_in("m1")).status == 202  # a repeated request is not a second message
        request.answer(200)
        while world.sender.journal.entries:
            await asyncio.sleep(0.001)
        assert recoverable_messages(state) == [] and world.receiver.requests.empty()


@play
async def test_journal_records_precede_the_202_and_each_attempt(state: Path) -> None:
    seen: list[str] = []
    async with World(state) as world:
        journal, client = world.sender.journal, world.sender.client
        taken, sent, call = journal.record_taken, journal.record_sent, client.call
        journal.record_taken = lambda message: seen.append("taken") or taken(message)
        journal.record_sent = lambda *told: seen.append("sent") or sent(*told)
        client.call = lambda *told: seen.append("call") or call(*told)
        respond = module.Connection.answer
        try:
            module.Connection.answer = lambda *told, **more: seen.append("answer") or respond(*told, **more)
            assert (await world.hand_in("m1")).status == 202
            await world.receiver.next()
        finally:
            module.Connection.answer = respond
    assert seen == ["taken", "answer", "sent", "call"]


@play
async def test_a_refused_message_gets_a_retry_after_at_once(state: Path) -> None:
    async with World(state) as world:
        reply = await world.hand_in("late", X_Time_Left="0")
        assert reply.status == 429 and float(reply.headers["retry-after"]) > 0
        assert recoverable_messages(state) == [] and world.platform.requests.empty()


@play
async def test_messages_above_max_open_are_rejected(state: Path) -> None:
    async with World(state) as world:
        world.sender.settings = replace(world.sender.settings, max_open=1)
        assert (await world.hand_in("m1")).status == 202
        reply = await world.hand_in("m2")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


@play
async def test_a_full_journal_rejects_a_message_and_nothing_is_sent(state: Path) -> None:
    async with World(state) as world:
        world.sender.journal.limit = 0
        reply = await world.hand_in("m1")
        assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
        world.sender.journal.limit = 3_000_000
        assert (await world.hand_in("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert recoverable_messages(state) == ["m2"] and list(world.sender.dispatcher.messages) == ["m2"]


@play
async def test_a_client_that_closes_before_its_response_withdraws_its_message(state: Path) -> None:
    async with World(state) as world:
        turn, closed = world.sender.turn, asyncio.Event()
        world.sender.turn = lambda: None  # the loop is late: the turn does not run
        _, writer = await asyncio.open_connection(*world.running.address)
        writer.write(message("m1"))
        while not world.sender.pending:
            await asyncio.sleep(0.001)
        (connection,) = world.sender.pending["m1"][1]
        connection.transport.pause_reading()
        writer.close()
        await writer.wait_closed()
        closed.set()
        world.sender.turn = turn
        turn()
        assert (await world.hand_in("m2")).status == 202
        assert (await world.receiver.next()).id == "m2"
        assert recoverable_messages(state) == ["m2"]


@play
async def test_an_end_is_journalled_when_its_notice_is_answered(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1", **NO_ENDPOINT, **SHORT_TIME_LEFT)).status == 202
        assert world.platform.requests.empty()
        advance_clocks(world, SHORT_TIME_LEFT_S)
        notice = await world.platform.next()
        told = json.loads(notice.body)
        assert (told["id"], told["state"]) == ("m1", "returned") and told["after_ms"] > 0
        assert recoverable_messages(state) == ["m1"]
        notice.answer(204)
        answering = asyncio.create_task(answer_notices(world.platform))
        while world.sender.journal.entries:
            await asyncio.sleep(0.001)
        answering.cancel()
        assert recoverable_messages(state) == []


@play
async def test_a_key_waits_until_the_notice_of_its_previous_message_is_answered(state: Path) -> None:
    async with World(state, **KEYED) as world:
        await world.hand_in("m1", X_Session_Key="k", **NO_ENDPOINT, **SHORT_TIME_LEFT)
        await world.hand_in("m2", X_Session_Key="k")
        advance_clocks(world, SHORT_TIME_LEFT_S)
        notice = await world.platform.next()
        await world.hand_in("other", X_Session_Key="l")
        assert (await world.receiver.next()).id == "other" and world.receiver.requests.empty()
        notice.answer(204)
        answering = asyncio.create_task(answer_notices(world.platform))
        assert (await world.receiver.next()).id == "m2"
        answering.cancel()


@play
async def test_a_retry_after_applies_to_every_message(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1")
        (await world.receiver.next()).answer(429, "Retry-After: 3600")
        while world.sender.calls:
            await asyncio.sleep(0.001)
        await world.hand_in("m2", **SHORT_TIME_LEFT)
        advance_clocks(world, SHORT_TIME_LEFT_S)
        # m2 expires without a call, and m1 stays queued.
        assert json.loads((await world.platform.next()).body)["id"] == "m2"
        assert world.receiver.requests.empty() and list(world.sender.dispatcher.messages) == ["m1"]


@play
async def test_a_drain_applies_as_soon_as_its_line_is_read(state: Path) -> None:
    async with World(state) as world:
        watch = await soon(world.platform.watches.get())
        await world.hand_in("m1")
        (await world.receiver.next()).answer(200)
        tell(watch, 42, host(world.receiver.dial, health="draining"))
        while world.sender.dispatcher.endpoints:
            await asyncio.sleep(0.001)
        await world.hand_in("m2", **SHORT_TIME_LEFT)
        advance_clocks(world, SHORT_TIME_LEFT_S)
        assert json.loads((await world.platform.next()).body)["id"] == "m2"
        assert world.receiver.requests.empty()


@play
async def test_a_removal_while_a_call_connects_stops_the_call(state: Path) -> None:
    async with World(state) as world:
        watch, client = await soon(world.platform.watches.get()), world.sender.client
        connecting, go_on, connect = asyncio.Event(), asyncio.Event(), client.connect

        async def slow(address: tuple[str, int]) -> object:
            connecting.set()
            await go_on.wait()
            return await connect(address)

        client.connect = slow
        await world.hand_in("m1", X_Time_Left="1")
        await soon(connecting.wait())
        tell(watch, 42, host(world.receiver.dial, health="gone"))
        while world.sender.dispatcher.endpoints:
            await asyncio.sleep(0.001)
        go_on.set()
        assert json.loads((await world.platform.next()).body)["id"] == "m1"
        assert world.receiver.requests.empty()


@play
async def test_the_list_is_requested_though_the_simulator_pushes_it(state: Path) -> None:
    async with World(state) as world:
        assert world.told["settings"]["membership_mode"] == "pushed"
        assert (await soon(world.platform.watches.get())).target.endswith("watch=1&after=41")


@play
async def test_a_closed_watch_is_reopened(state: Path) -> None:
    async with World(state) as world:
        watch = await soon(world.platform.watches.get())
        tell(watch, 57, host(world.receiver.dial))
        await asyncio.sleep(0)
        watch.writer.close()
        assert (await soon(world.platform.watches.get())).target.endswith("after=57")


@play
async def test_accepted_messages_continue_in_order_after_a_restart(state: Path) -> None:
    async with World(state, **KEYED) as world:
        await world.hand_in("m1", X_Session_Key="k")
        await world.hand_in("m2", X_Session_Key="k")
        first = await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, state) as again:
            assert list(again.sender.dispatcher.messages) == ["m1", "m2"]
            restored = again.sender.dispatcher.messages["m1"]
            assert (
                restored.attempts == 1
                and restored.possible_run_zone == "z"
                and restored.possible_run_at is not None
            )
            request = await world.receiver.next()
            assert restored.attempts == 2
            assert (request.id, request.body) == ("m1", first.body) and world.receiver.requests.empty()
            assert request.headers["idempotency-key"] == "key of m1"
            request.answer(200)
            (second := await world.receiver.next()).answer(200)
            assert second.id == "m2"
            assert float(second.headers["x-time-left"]) < 8


@play
async def test_nothing_goes_by_an_old_list_before_the_agent_s_is_heard(state: Path) -> None:
    """A list at the agent counts as known from the process's start. It arrives last, after everything that
    the sender does before."""
    async with World(state) as world, Peer() as other:
        await world.hand_in("m1")
        (await world.receiver.next()).break_off()
        world.sender.stop(0)
        await world.running.task
        world.platform.listing = ""
        async with Running(world.told, state) as again:
            request = await soon(world.platform.lists.get())
            assert (await again.hand_in("m2")).status == 202
            assert world.receiver.requests.empty() and other.requests.empty()
            gone = host(world.receiver.dial, health="draining")
            request.answer(200, body=list_line(43, gone, host(other.dial, "other"), whole=True))
            assert {(await other.next()).id, (await other.next()).id} == {"m1", "m2"}
            assert world.receiver.requests.empty()
            assert (await soon(world.platform.watches.get())).target.endswith(
                "after=41"
            )  # from the first process
            assert (await soon(world.platform.watches.get())).target.endswith("after=43")


@play
async def test_a_silent_agent_delays_messages_only_for_a_while(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1")
        (await world.receiver.next()).break_off()
        world.sender.stop(0)
        await world.running.task
        world.platform.listing = ""
        async with Running(world.told, state):
            assert (await world.receiver.next()).id == "m1"
            assert world.platform.lists.qsize() >= 1


@play
async def test_an_at_most_once_message_in_flight_fails_after_a_restart(state: Path) -> None:
    async with World(state, semantics="once") as world:
        await world.hand_in("m1")
        await world.receiver.next()
        world.sender.stop(0)
        await world.running.task
        async with Running(world.told, state):
            notice = await world.platform.next()
            assert json.loads(notice.body) == {"id": "m1", "state": "failed"}
            notice.answer(204)
        assert world.receiver.requests.empty()


@play
async def test_an_expired_message_is_ended_after_a_restart(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1", **NO_ENDPOINT)
        world.sender.stop(0)
        await world.running.task
        file = state / "journal"
        records = [json.loads(each) for each in file.read_text().splitlines()]
        records[0]["taken"]["until"] -= 3600 * 10**6
        file.write_text("".join(json.dumps(each) + "\n" for each in records))
        async with Running(world.told, state):
            notice = await world.platform.next()
            assert json.loads(notice.body)["id"] == "m1"
            notice.answer(204)


@play
async def test_sigterm_finishes_calls_and_accepts_messages_before_the_end(state: Path) -> None:
    async with World(state) as world:
        await world.hand_in("m1")
        request = await world.receiver.next()
        reader, writer = await asyncio.open_connection(*world.running.address)
        world.sender.terminate()
        writer.write(message("m2"))
        reply = await read_reply(reader)
        assert reply.status == 202 and reply.headers["connection"] == "close"
        assert await soon(reader.read()) == b""
        assert (await ask(world.running.address, READY)).status == 503
        world.sender.stop_listening()
        with pytest.raises(OSError):
            await asyncio.open_connection(*world.running.address)
        assert not world.sender.stopped.done()
        request.answer(200)
        (await world.receiver.next()).answer(200)
        assert await asyncio.wait_for(world.running.task, PATIENCE) == 0
        assert recoverable_messages(state) == []


@play
async def test_a_request_read_as_the_process_ends_is_accepted_and_answered(state: Path) -> None:
    """The process is stopped as the last byte is read, before the turn that responds."""
    async with World(state) as world:
        take = world.sender.receive_message

        def stop_and_receive(*told: Any) -> None:  # noqa: ANN401
            world.sender.stop(0)
            take(*told)

        world.sender.server.on_message = stop_and_receive
        assert (await world.hand_in("m1")).status == 202
        assert await soon(world.running.task) == 0
        assert recoverable_messages(state) == ["m1"] and world.receiver.requests.empty()


@play
async def test_a_request_unread_as_the_process_ends_is_accepted_and_answered(state: Path) -> None:
    async with World(state) as world:
        reader, writer = await asyncio.open_connection(*world.running.address)
        writer.write(READY)
        assert (await read_reply(reader)).status == 200
        writer.write(message("m1"))  # is sent at once, so it has arrived before the loop polls again
        world.sender.stop(0)
        reply = await read_reply(reader)
        assert reply.status == 202
        assert await soon(world.running.task) == 0
        assert recoverable_messages(state) == ["m1"] and world.receiver.requests.empty()


@play
async def test_clients_connected_as_the_listener_closes_are_answered(state: Path) -> None:
    """One client has connected and sent a request, one has only connected, one sends a request on an older
    connection; all of it is unread."""
    async with World(state) as world:
        old = await asyncio.open_connection(*world.running.address)
        old[1].write(message("m1", **NO_ENDPOINT))
        assert (await read_reply(old[0])).status == 202
        asked, silent = (socket.create_connection(world.running.address) for _ in "ab")
        asked.sendall(message("m2", **NO_ENDPOINT))
        old[1].write(message("m3", **NO_ENDPOINT))
        world.sender.terminate()
        world.sender.stop_listening()
        fresh = await asyncio.open_connection(sock=silent)
        fresh[1].write(message("m4", **NO_ENDPOINT))
        for reader, writer in (old, await asyncio.open_connection(sock=asked), fresh):
            reply = await read_reply(reader)
            assert (reply.status, reply.headers["connection"]) == (202, "close")
            writer.close()
        assert sorted(recoverable_messages(state)) == ["m1", "m2", "m3", "m4"]


@play
async def test_a_message_on_two_connections_in_one_turn_is_accepted_once(state: Path) -> None:
    async with World(state) as world:
        clients = [await asyncio.open_connection(*world.running.address) for _ in "ab"]
        turn, world.sender.turn = world.sender.turn, lambda: None  # the loop is late
        for _, writer in clients:
            writer.write(message("m1"))
        while not any(len(told[1]) == 2 for told in world.sender.pending.values()):
            await asyncio.sleep(0.001)
        world.sender.turn = turn
        turn()
        assert [(await read_reply(reader)).status for reader, _ in clients] == [202, 202]
        (await world.receiver.next()).answer(200)
        assert world.receiver.requests.empty()
        for _, writer in clients:
            writer.close()


@play
async def test_a_stopping_sender_starts_no_call_that_may_not_finish(state: Path) -> None:
    async with World(state) as world:
        world.sender.dispatcher.stops_at = world.sender.now() + 1000
        await world.hand_in("m1")
        await world.hand_in("m2")
        world.sender.stop(0)
        await world.running.task
        assert world.receiver.requests.empty() and recoverable_messages(state) == ["m1", "m2"]


@play
async def test_an_unexpected_error_ends_the_process(state: Path) -> None:
    async with World(state) as world:

        async def broken(*_: object) -> None:
            raise RuntimeError("nobody foresaw this")

        world.sender.client.call = broken
        await world.hand_in("m1")
        assert await soon(world.running.task) == 1
        world.running.task = asyncio.create_task(asyncio.sleep(0, 0))
    assert recoverable_messages(state) == ["m1"]


def test_recorded_outcomes_are_restored_after_a_restart(tmp_path: Path) -> None:
    """Attempts that certainly did not run are ignored; the first that may have run is restored."""

    async def test(state: Path) -> None:
        async with World(state) as world:
            await world.hand_in("m1", **NO_ENDPOINT)
            journal = world.sender.journal
            for number, outcome in enumerate((Outcome.FULL, Outcome.ERROR, Outcome.RESET)):
                journal.record_sent("m1", number, Attempt(1000 + number, "r", f"z{number}"))
                journal.record_outcome("m1", number, outcome)
            world.sender.stop(0)
            await world.running.task
            again = Sender(config_from(world.told, state))
            restored = again.restored_event(again.journal.entries["m1"])
            assert (restored.attempts, restored.possible_run_at, restored.possible_run_zone) == (
                3,
                1001,
                "z1",
            )

    play(test)(tmp_path)


@play
async def test_failures_before_the_last_delivery_do_not_count_after_a_restart(state: Path) -> None:
    """A delivered message is no longer in the journal, so the failures alone would look like an outage."""
    async with World(state) as world:
        for name, at, outcome in (("m1", 1000, Outcome.RESET), ("m2", 1001, Outcome.OK)):
            await world.hand_in(name, **NO_ENDPOINT)
            world.sender.journal.record_sent(name, 0, Attempt(at, "r", "z"))
            world.sender.journal.record_outcome(name, 0, outcome)
        world.sender.journal.record_sent("m1", 1, Attempt(1002, "r", "z"))
        world.sender.journal.record_outcome("m1", 1, Outcome.CONNECT_FAILED)
        world.sender.stop(0)
        await world.running.task
        again = Sender(config_from(world.told, state))
        restored = again.restored_event(again.journal.entries["m1"])
        assert restored.outcomes == (("r", Outcome.CONNECT_FAILED),)


@play
async def test_the_id_of_a_finished_message_is_not_a_new_message(state: Path) -> None:
    """A repeated request, as from a client that lost the response, must not take effect twice."""
    async with World(state) as world:
        await world.hand_in("m1")
        (await world.receiver.next()).answer(200)
        while world.sender.journal.entries:
            await asyncio.sleep(0.001)
        assert (await world.hand_in("m1")).status == 202
        await world.hand_in("m2")
        assert (await world.receiver.next()).id == "m2" and world.receiver.requests.empty()


@play
async def test_a_destination_without_endpoints_is_not_unknown(state: Path) -> None:
    async with World(state) as world:
        assert (await world.hand_in("m1", X_Route_To="dest=8")).status == 404
        assert (await world.hand_in("m2", **NO_ENDPOINT)).status == 202


@play
async def test_a_new_wake_up_cancels_the_previous_timer(state: Path) -> None:
    """The module requests ever earlier wake-ups and cancels none, so timers would pile up in a long-running
    process."""
    async with World(state) as world:
        asked = [module.face.WakeAfter(each * 1_000_000) for each in (50, 40, 30)]
        timers = []
        for each in asked:
            world.sender.perform_action(each, set())
            timers.append(world.sender.wake_timer)
        assert [each.cancelled() for each in timers] == [True, True, False]


@pytest.mark.parametrize("sockets", [64, 128, 256, 384, 1024])
def test_the_division_of_descriptors_stays_within_the_limit(sockets: int) -> None:
    share = Descriptors.divide(sockets, slots=12)
    assert share.total() <= sockets
    assert share.calls >= 16 and (sockets < 256 or share.clients > sockets / 3)


@pytest.mark.parametrize("over", [False, True])
def test_a_second_message_with_the_same_id_is_rejected(tmp_path: Path, over: bool) -> None:
    """A client may use another client's id. If its message gets 202 without being accepted, the next one with
    its key does not wait for it, and their order breaks."""

    async def test(state: Path) -> None:
        async with World(state, **KEYED) as world:
            await world.hand_in("m1", X_Session_Key="other")
            request = await world.receiver.next()
            if over:
                request.answer(200)
                while world.sender.journal.entries:
                    await asyncio.sleep(0.001)
            reply = await world.hand_in("m1", X_Session_Key="k")
            assert reply.status == 503 and float(reply.headers["retry-after"]) > 0
            assert (await world.hand_in("m1", X_Session_Key="other")).status == 202

    play(test)(tmp_path)


@play
async def test_two_messages_with_one_id_in_a_turn_are_not_both_accepted(state: Path) -> None:
    async with World(state) as world:
        replies = await asyncio.gather(*(world.hand_in("m1", body) for body in (b"x", b"y")))
        assert sorted(each.status for each in replies) == [202, 503]


@play
async def test_a_retry_waits_until_the_receiver_can_have_seen_the_close(tmp_path: Path) -> None:
    async with World(tmp_path) as world:
        await world.hand_in("m1")
        first = await world.receiver.next()
        began = asyncio.get_running_loop().time()
        first.break_off()
        assert (await world.receiver.next()).id == "m1"
        assert asyncio.get_running_loop().time() - began >= CLOSE_DELAY
