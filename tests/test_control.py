"""The operators' commands, and the metrics that they report."""

import asyncio
from pathlib import Path
from typing import Any

from peers import READY, World, ask, host, message, play, soon, tell

from message_sender.net.journal import Journal
from plumline.wire.http import Address


class Watched(World):
    """A sender with an operators' address."""

    def tell(self) -> dict[str, Any]:
        return super().tell() | {"control": "127.0.0.1:0"}

    async def call(self, line: str) -> list[str]:
        return (await send(await self.control(), line.encode() + b"\n")).decode().splitlines()

    async def control(self) -> Address:
        while self.sender.control.listener is None:
            await asyncio.sleep(0)
        return self.sender.control.listener.getsockname()

    async def figures(self) -> dict[str, str]:
        *lines, last = await self.call("METRICS")
        assert last == "eof"
        return dict(each.split(":") for each in lines)

    async def become(self, **figures: str) -> None:
        """Waits until the metrics, named by their last part, have these values."""
        seen: dict[str, str] = {}
        async with asyncio.timeout(20):
            while seen != figures:
                told = {name.rpartition(".")[2]: value for name, value in (await self.figures()).items()}
                seen = {name: told[name] for name in figures}


async def send(address: Address, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        return await soon(reader.read())
    finally:
        writer.close()


@play
async def test_every_figure_is_told_from_nought_on(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        assert await world.figures() == {
            "app.results.c.succeeded": "0|c",
            "app.results.c.declined": "0|c",
            "app.results.c.aborted": "0|c",
            "app.forwards": "0|c",
            "app.outstanding": "0|g",
            "app.discovered": "2|g",
            "app.ejected": "0|g",
        }


@play
async def test_a_delivery_is_counted_when_it_is_made(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        await world.hand_in("m1")
        request = await world.receiver.next()
        await world.become(forwards="1|c", outstanding="1|g", succeeded="0|c")
        request.answer(200)
        await world.become(forwards="1|c", outstanding="0|g", succeeded="1|c")


@play
async def test_a_failure_is_counted_when_its_notice_is_answered(tmp_path: Path) -> None:
    async with Watched(tmp_path, semantics="once") as world:
        await world.hand_in("m1")
        (await world.receiver.next()).break_off()
        notice = await world.platform.next()
        await world.become(aborted="0|c", outstanding="1|g")
        notice.answer(204)
        await world.become(aborted="1|c", declined="0|c", succeeded="0|c", outstanding="0|g")


@play
async def test_what_is_handed_back_or_turned_away_is_declined(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        await world.hand_in("m1", X_Time_Left="0.3")  # its endpoint never responds
        await world.receiver.next()
        notice = await world.platform.next()
        notice.answer(204)
        await world.become(declined="1|c", aborted="0|c")
        assert (await world.hand_in("m2", X_Time_Left="0")).status == 429
        await world.become(declined="2|c", aborted="0|c", outstanding="0|g")


@play
async def test_requests_that_are_no_messages_count_nowhere(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        assert (await world.hand_in("m1", X_Time_Left="soon")).status == 400
        await world.become(declined="0|c", aborted="0|c", succeeded="0|c")


@play
async def test_the_list_and_what_the_module_avoids_are_told(tmp_path: Path) -> None:
    async with Watched(tmp_path, semantics="once") as world:
        for name in ("m1", "m2", "m3"):
            await world.hand_in(name)
            (await world.receiver.next()).break_off()
            (await world.platform.next()).answer(204)
        await world.become(ejected="1|g", discovered="2|g")
        watch = await soon(world.platform.watches.get())
        tell(watch, 42, host(world.receiver.dial, "s"))
        await world.become(ejected="2|g", discovered="3|g")  # the endpoints share their destination's breaker


@play
async def test_status_is_ok_only_while_messages_are_taken_on(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        assert await world.call("STATUS") == ["ok"]
        world.sender.journal.limit = 512  # the state folder is full
        (status,) = await world.call("STATUS")
        assert status.startswith("fail") and (await world.hand_in("m1")).status == 503
        world.sender.journal.limit = 3_000_000
        assert await world.call("STATUS") == ["ok"]
        world.sender.terminate()
        assert await world.call("STATUS") == ["fail stopping"]


@play
async def test_status_fails_before_the_sender_is_ready(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        world.sender.server.ready = False
        assert (await ask(world.running.address, READY)).status == 503
        assert await world.call("STATUS") == ["fail starting"]


@play
async def test_odd_calls_hear_fail(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        address = await world.control()
        for data in (b"REBOOT\n", b"\n", b"\xff\xfe\n", b"x" * 100_000 + b"\n", message("m1")):
            assert (await send(address, data)).startswith(b"fail")
        assert await send(address, b"STATUS\r\n") == b"ok\n"


@play
async def test_silent_and_half_callers_keep_nobody_out_and_are_ended(tmp_path: Path) -> None:
    async with Watched(tmp_path) as world:
        address = await world.control()
        callers = [
            await asyncio.open_connection(*address) for _ in range(3 * world.sender.control.max_callers)
        ]
        for _, writer in callers[::2]:
            writer.write(b"STAT")
        assert await world.call("STATUS") == ["ok"]
        assert len(world.sender.control.callers) <= world.sender.control.max_callers
        for reader, writer in callers:
            try:
                assert (await soon(reader.read())) in (b"", b"fail no call came\n")
            except ConnectionResetError:
                pass  # closed to make room
            writer.close()
        async with asyncio.timeout(20):
            while world.sender.control.callers:
                await asyncio.sleep(0.01)


@play
async def test_without_a_setting_there_is_no_listener(tmp_path: Path) -> None:
    async with World(tmp_path) as world:
        assert world.sender.config.control is None
        await world.hand_in("m1")
        (await world.receiver.next()).answer(200)
        assert world.sender.control.listener is None


def test_the_largest_message_has_room_in_a_journal_that_says_so(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 3_000_000)
    assert journal.has_room()
    journal.limit = 64_000
    assert not journal.has_room()
    journal.close()
