"""The operators' commands, and the metrics that they report."""

import asyncio
from pathlib import Path
from typing import Any

from peers import READY, World, ask, host, message, play, soon, tell

from message_sender.net.journal import Journal
from plumline.wire.http import Address


class SenderWithControl(World):
    """A sender with an operators' address."""

    def tell(self) -> dict[str, Any]:
        return super().tell() | {"control": "127.0.0.1:0"}

    async def call(self, line: str) -> list[str]:
        return (await send(await self.control(), line.encode() + b"\n")).decode().splitlines()

    async def control(self) -> Address:
        while self.sender.control.listener is None:
            await asyncio.sleep(0)
        return self.sender.control.listener.getsockname()

    async def metrics(self) -> dict[str, str]:
        *lines, last = await self.call("METRICS")
        assert last == "eof"
        return dict(each.split(":") for each in lines)

    async def wait_for_metrics(self, **metrics: str) -> None:
        """Waits until the metrics, named by their last part, have these values."""
        seen: dict[str, str] = {}
        async with asyncio.timeout(20):
            while seen != metrics:
                told = {name.rpartition(".")[2]: value for name, value in (await self.metrics()).items()}
                seen = {name: told[name] for name in metrics}


async def send(address: Address, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        return await soon(reader.read())
    finally:
        writer.close()


@play
async def test_every_metric_is_reported_from_the_start(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
        assert await world.metrics() == {
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
    async with SenderWithControl(tmp_path) as world:
        await world.hand_in("m1")
        request = await world.receiver.next()
        await world.wait_for_metrics(forwards="1|c", outstanding="1|g", succeeded="0|c")
        request.answer(200)
        await world.wait_for_metrics(forwards="1|c", outstanding="0|g", succeeded="1|c")


@play
async def test_a_failure_is_counted_when_its_notice_is_answered(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path, semantics="once") as world:
        await world.hand_in("m1")
        (await world.receiver.next()).break_off()
        notice = await world.platform.next()
        await world.wait_for_metrics(aborted="0|c", outstanding="1|g")
        notice.answer(204)
        await world.wait_for_metrics(aborted="1|c", declined="0|c", succeeded="0|c", outstanding="0|g")


@play
async def test_returned_and_refused_messages_count_as_declined(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
        await world.hand_in("m1", X_Time_Left="0.3")  # its endpoint never responds
        await world.receiver.next()
        notice = await world.platform.next()
        notice.answer(204)
        await world.wait_for_metrics(declined="1|c", aborted="0|c")
        assert (await world.hand_in("m2", X_Time_Left="0")).status == 429
        await world.wait_for_metrics(declined="2|c", aborted="0|c", outstanding="0|g")


@play
async def test_invalid_requests_are_not_counted(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
        assert (await world.hand_in("m1", X_Time_Left="soon")).status == 400
        await world.wait_for_metrics(declined="0|c", aborted="0|c", succeeded="0|c")


@play
async def test_discovered_and_ejected_endpoints_are_reported(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path, semantics="once") as world:
        for name in ("m1", "m2", "m3"):
            await world.hand_in(name)
            (await world.receiver.next()).break_off()
            (await world.platform.next()).answer(204)
        await world.wait_for_metrics(ejected="1|g", discovered="2|g")
        watch = await soon(world.platform.watches.get())
        tell(watch, 42, host(world.receiver.dial, "s"))
        await world.wait_for_metrics(
            ejected="2|g", discovered="3|g"
        )  # the endpoints share their destination's breaker


@play
async def test_status_is_ok_only_while_messages_are_accepted(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
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
    async with SenderWithControl(tmp_path) as world:
        world.sender.server.ready = False
        assert (await ask(world.running.address, READY)).status == 503
        assert await world.call("STATUS") == ["fail starting"]


@play
async def test_invalid_commands_fail(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
        address = await world.control()
        for data in (b"REBOOT\n", b"\n", b"\xff\xfe\n", b"x" * 100_000 + b"\n", message("m1")):
            assert (await send(address, data)).startswith(b"fail")
        assert await send(address, b"STATUS\r\n") == b"ok\n"


@play
async def test_silent_and_incomplete_callers_block_nobody_and_are_closed(tmp_path: Path) -> None:
    async with SenderWithControl(tmp_path) as world:
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
async def test_without_an_operators_address_there_is_no_listener(tmp_path: Path) -> None:
    async with World(tmp_path) as world:
        assert world.sender.config.control is None
        await world.hand_in("m1")
        (await world.receiver.next()).answer(200)
        assert world.sender.control.listener is None


def test_has_room_covers_the_largest_message(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 3_000_000)
    assert journal.has_room()
    journal.limit = 64_000
    assert not journal.has_room()
    journal.close()
