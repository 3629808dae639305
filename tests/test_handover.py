"""Two processes of one sender: what the newer one takes over from the older one."""

import asyncio
import os
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from helpers import SECOND, World, endpoint, sent
from peers import Peer, Platform, ask, config_json, host, message, play, read_reply, soon
from peers import World as Sending
from test_process import prepared, running, start, wait_for

from message_sender import interface as face
from message_sender.interface import Outcome
from message_sender.net.handover import HANDOVER_REQUEST, VERSION, Channel, HandoverState, Lock, address_of
from message_sender.rules import Dispatcher

AT_MOST_ONCE = {"semantics": "once"}


@asynccontextmanager
async def first(tmp_path: Path, **kind: object) -> AsyncIterator[tuple[Any, ...]]:
    """A receiver, a discovery service, a process, its clients' address, and the configuration and folder."""
    state = tmp_path / "state"
    state.mkdir()
    async with Peer() as receiver, Platform() as platform:
        told = config_json(platform, host(receiver.dial), **kind)
        async with running(told, state) as (process, address):
            yield receiver, platform, process, address, told, state


@play
async def test_a_call_that_is_out_is_answered_to_the_new_process(tmp_path: Path) -> None:
    async with first(tmp_path, **AT_MOST_ONCE) as (receiver, platform, old, address, told, state):
        async with prepared(told, state) as run_successor:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message("m1"))
            assert (await read_reply(reader)).status == 202
            call = await receiver.next()
            assert await run_successor() == address
            old.send_signal(signal.SIGTERM)
            assert await soon(old.wait()) == 0
            call.answer(200)
            writer.write(message("m2"))  # the client continues on its connection
            assert (await read_reply(reader)).status == 202
            second = await receiver.next()
            assert second.id == "m2" and second.headers.get("x-correlation-id") == "m2"
            second.answer(200)
            writer.write(message("m1"))  # the new process recognizes the id of a finished message
            assert (await read_reply(reader)).status == 202
            assert (await ask(address, message("m3"))).status == 202
            assert (await receiver.next()).id == "m3"
            assert platform.requests.empty() and receiver.accepted <= 2
        writer.close()


@play
async def test_a_request_that_is_half_read_is_read_to_its_end_there(tmp_path: Path) -> None:
    async with first(tmp_path) as (receiver, _, old, address, told, state):
        async with prepared(told, state) as run_successor:
            whole = message("m1", b"0123456789" * 400)
            parts = [whole[:30], whole[:-3000], whole[:-1]]
            streams = [await asyncio.open_connection(*address) for _ in parts]
            for part, (_, writer) in zip(parts, streams, strict=True):
                writer.write(part.replace(b": m1\r", b": m%d\r" % len(part)))
                await writer.drain()
            assert (await ask(address, message("m2"))).status == 202  # read after the incomplete ones
            (await receiver.next()).answer(200)
            await run_successor()
            old.send_signal(signal.SIGTERM)
            await soon(old.wait())
            bodies = {}
            for part, (reader, writer) in zip(parts, streams, strict=True):
                rest = whole.replace(b": m1\r", b": m%d\r" % len(part))
                writer.write(rest[len(part.replace(b": m1\r", b": m%d\r" % len(part))) :])
                assert (await read_reply(reader)).status == 202
                request = await receiver.next()
                bodies[request.id] = request.body
                request.answer(200)
                writer.close()
            assert bodies == {f"m{len(part)}": b"0123456789" * 400 for part in parts}


@play
async def test_a_retry_after_is_handed_over(tmp_path: Path) -> None:
    async with first(tmp_path) as (receiver, _, old, address, told, state):
        assert (await ask(address, message("m1"))).status == 202
        refused = await receiver.next()
        began = asyncio.get_running_loop().time()
        refused.answer(429, "Retry-After: 3")
        assert (await ask(address, message("m2"))).status == 202
        async with running(told, state):
            old.send_signal(signal.SIGTERM)
            await receiver.next()
            assert asyncio.get_running_loop().time() - began > 2.5


@play
async def test_the_old_process_starts_again_when_its_successor_ends(tmp_path: Path) -> None:
    async with first(tmp_path) as (receiver, _, old, address, told, state):
        assert (await ask(address, message("m1"))).status == 202
        await receiver.next()
        async with running(told, state) as (new, _):
            new.send_signal(signal.SIGKILL)
            await soon(new.wait())
        again = await wait_for(old, rb"ready on (\S+):(\d+)")
        request = await receiver.next()
        assert request.id == "m1" and old.returncode is None
        request.answer(200)
        assert (await ask((again[1].decode(), int(again[2])), message("m2"))).status == 202


@pytest.mark.parametrize("early", [False, True])
def test_a_process_that_hands_nothing_over_is_waited_for(tmp_path: Path, early: bool) -> None:
    async def test(tmp_path: Path) -> None:
        async with first(tmp_path) as (receiver, _, old, address, told, state):
            assert (await ask(address, message("m1"))).status == 202
            await receiver.next()
            old.send_signal(signal.SIGSTOP)
            new = await start(told, state)
            try:
                await wait_for(new, rb"does not hand over")
                assert Lock.take(state) is None
                if early:  # SIGTERM before anything is handed over
                    old.send_signal(signal.SIGTERM)
                    old.send_signal(signal.SIGCONT)
                else:
                    old.send_signal(signal.SIGKILL)
                await wait_for(new, rb"ready on")
                if not early:  # its calls were broken off, as after any SIGKILL
                    assert (await receiver.next()).id == "m1"
                await soon(old.wait())
                assert new.returncode is None
            finally:
                new.kill()
                await new.wait()

    play(test)(tmp_path)


@play
async def test_invalid_handover_requests_are_ignored(tmp_path: Path) -> None:
    async with first(tmp_path) as (_, __, old, address, ___, state):
        for data in (b"", b"who is there?\n", HANDOVER_REQUEST[:-1]):
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as stranger:
                stranger.settimeout(20)
                stranger.connect(address_of(state))
                stranger.sendall(data)
                stranger.shutdown(socket.SHUT_WR)
                assert stranger.recv(1) == b""
        assert (await ask(address, message("m1"))).status == 202 and old.returncode is None


def test_the_lock_has_one_owner_and_follows_its_descriptor(tmp_path: Path) -> None:
    lock = Lock.take(tmp_path)
    assert lock is not None and Lock.take(tmp_path) is None
    passed = Lock(os.dup(lock.descriptor))
    lock.close()
    assert Lock.take(tmp_path) is None
    passed.close()
    again = Lock.take(tmp_path)
    assert again is not None
    again.close()


def taken_over(world: World, *held: face.MessageRestored) -> tuple[Dispatcher, list[face.Action]]:
    successor = Dispatcher(world.dispatcher.settings, seed=8)
    listed = face.EndpointsListed(face.Listing.CACHED, (endpoint("a"),))
    return successor, successor.handle(
        world.now, [listed, *held, face.MemoryReceived(world.dispatcher.memory())]
    )


def restored(name: str, kind: str = "once", attempts: int = 1, held: bool = False) -> face.MessageRestored:
    return face.MessageRestored(
        face.MessageAccepted(name, kind, 1, 20 * SECOND), attempts, None, "", held=held
    )


def test_the_module_continues_with_a_call_in_flight() -> None:
    world = World(max_attempts=1)
    world.take("once")
    successor, actions = taken_over(world, restored("m1"))
    assert not sent(actions) and "m1" in successor.messages and len(successor.out) == 1
    ended = face.AttemptEnded("m1", 0, Outcome.RESET)
    assert face.Fail("m1") in successor.handle(world.now + 1000, [ended])
    assert not successor.out and successor.breakers[1, ""].failures == 1


def test_the_module_restores_open_breakers_and_waits() -> None:
    world = World()
    world.open_breaker()
    successor, actions = taken_over(world, restored("x", "safe", 0, held=True))
    assert not sent(actions) and successor.count_avoided() == 1
    world = World()
    world.take()
    world.answer("m1", Outcome.FULL, wait=3 * SECOND)
    successor, actions = taken_over(world, restored("m1", "safe", held=True))
    assert not sent(actions) and not sent(successor.handle(world.now + 2 * SECOND, []))
    assert sent(successor.handle(world.now + 4 * SECOND, []))


def test_a_restored_call_uses_one_slot() -> None:
    world = World(slots=2)
    world.take()
    world.take()
    held = restored("x", "safe", 0, held=True)
    _, actions = taken_over(world, restored("m1", "safe"), restored("m2", "safe"), held)
    assert not sent(actions)


def handover_from(*frames: dict[str, Any], lock: Lock) -> HandoverState:
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = Channel(theirs)
    for frame in frames:
        channel.send(frame)
    with socket.socket() as listener:
        channel.send({"listener": True}, listener.fileno())
    channel.send_lock(lock)
    channel.send_done()
    handover = HandoverState(channel=Channel(ours))
    try:
        handover.receive()
    finally:
        channel.close()
    return handover


def test_incompatible_state_leaves_the_lock_and_the_listener(tmp_path: Path) -> None:
    lock = Lock.take(tmp_path)
    assert lock is not None
    handover = handover_from({"state": {"version": VERSION + 1}}, {"lines": ["x"]}, {"new": 1}, lock=lock)
    lock.close()
    assert handover.state is None and handover.lines == [] and handover.listener is not None
    assert Lock.take(tmp_path) is None  # the lock was handed over
    handover.drop()
    assert Lock.take(tmp_path) is not None


def test_an_incomplete_handover_is_dropped(tmp_path: Path) -> None:
    lock = Lock.take(tmp_path)
    assert lock is not None
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = Channel(theirs)
    channel.send({"state": {"version": VERSION}})
    channel.send_lock(lock)
    lock.close()
    channel.close()  # the owner ended before the last frame
    handover = HandoverState(channel=Channel(ours))
    with pytest.raises(ConnectionError):
        handover.receive()
    assert handover.state is None and Lock.take(tmp_path) is not None


@play
async def test_a_sender_that_has_handed_over_ignores_a_reload(tmp_path: Path) -> None:
    async with Sending(tmp_path) as world:
        moved = replace(world.sender.config, discovery=("127.0.0.1", 9))
        world.sender.handed_over = True
        world.sender.reconfigure(moved)
        assert world.sender.discovery.address == world.platform.address
        world.sender.handed_over = False
        world.sender.reconfigure(moved)
        assert world.sender.discovery.address == moved.discovery


class SenderWithCall(Sending):
    """A sender with a call of m1 in flight, and the channel to its successor."""

    async def __aenter__(self) -> "SenderWithCall":
        await super().__aenter__()
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.channel, self.successor = Channel(theirs), HandoverState(channel=Channel(ours))
        await self.hand_in("m1")
        self.request = await self.receiver.next()
        self.call_socket = self.sender.client.in_flight["m1"].connection.sock
        return self

    def hand_over(self) -> None:
        self.sender.hand_over(self.channel)
        lock = Lock.take(self.state)
        assert lock is not None
        self.channel.send_lock(lock)
        lock.close()
        self.channel.send_done()
        self.successor.receive()


@play
async def test_a_handed_over_call_is_open_in_one_process_only(tmp_path: Path) -> None:
    """If this process kept the connection open, the receiver would not see the successor give the call up,
    and would get a second copy."""
    async with SenderWithCall(tmp_path) as world:
        world.hand_over()
        assert world.call_socket.fileno() == -1
        ((told, sock),) = world.successor.calls
        assert told["message"] == "m1"
        await asyncio.sleep(0)
        sock.close()
        await soon(world.receiver.ends.get())
        world.successor.drop()


@play
async def test_a_cancelled_call_is_aborted_before_its_message_is_handed_over(tmp_path: Path) -> None:
    async with SenderWithCall(tmp_path) as world:
        ((key, task),) = world.sender.calls.items()
        task.cancel()  # cancelled, but not finished yet
        with pytest.raises(BlockingIOError):
            world.call_socket.recv(1, socket.MSG_PEEK)
        world.hand_over()
        assert world.call_socket.recv(1, socket.MSG_PEEK) == b""  # before another turn of the loop
        assert world.successor.calls == [] and key == ("m1", 0)
        assert b'"outcome":"cancelled"' in b"".join(world.successor.lines)
        await soon(world.receiver.ends.get())
        world.successor.drop()
