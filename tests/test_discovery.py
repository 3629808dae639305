"""The watch and the notices."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from peers import Peer, Platform, Request, host, list_line, play, soon, tell

from message_sender import interface as face
from message_sender.interface import EndpointState, Listing
from message_sender.net import discovery as module
from message_sender.net.discovery import Discovery, EndpointList

OLD, NEW = "127.0.0.1:1", "127.0.0.1:2"


class UnansweredDiscovery(Platform):
    """A discovery service that never answers the first request for a watch."""

    def came(self, request: Request) -> None:
        if self.accepted > 1:
            super().came(request)


@asynccontextmanager
async def watching(
    checked: bool = False, senders: int = 1
) -> AsyncIterator[tuple[Discovery, Platform, asyncio.Queue[face.EndpointsListed], Any]]:
    async with Platform() as platform:
        lists: asyncio.Queue[face.EndpointsListed] = asyncio.Queue()
        answered: asyncio.Queue[str] = asyncio.Queue()
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(
            platform.address, known, lists.put_nowait, lambda name, state: answered.put_nowait(name), senders
        )
        work = [
            discovery.watch(),
            discovery.send_notices(),
            *([discovery.check_periodically()] if checked else []),
        ]
        tasks = [asyncio.create_task(each) for each in work]
        yield discovery, platform, lists, answered
        for task in tasks:
            task.cancel()


@play
async def test_changes_and_full_lists_are_reported_and_the_next_watch_continues_from_them(_: Path) -> None:
    async with watching() as (discovery, platform, lists, _answered):
        watch = await soon(platform.watches.get())
        assert watch.target == "/registry/instances?watch=1&after=41"
        watch.write("1\r\n\n\r\n")
        tell(watch, 43, host(OLD, health="draining"), host(NEW, name="s", site="y", block=4))
        told = await soon(lists.get())
        assert told.listing is Listing.CHANGES
        assert [each.state for each in told.endpoints] == [EndpointState.DRAINING, EndpointState.READY]
        assert told.endpoints[1] == face.Endpoint("s", 4, EndpointState.READY, "k", "y", 1.0)
        tell(watch, 44, host(NEW, health="gone"))
        await soon(lists.get())
        assert discovery.addresses == {"s": ("127.0.0.1", 2)}
        tell(watch, 50, host(NEW), whole=True)
        assert (await soon(lists.get())).listing is Listing.FULL
        assert discovery.addresses == {"r": ("127.0.0.1", 2)}
        watch.break_off()
        assert (await soon(lists.get())).listing is Listing.FAILED
        again = asyncio.create_task(discovery.watch())
        assert (await soon(platform.watches.get())).target.endswith("after=50")
        again.cancel()


@pytest.mark.parametrize("text", ["7\r\nnot so\n\r\n", "3\r\n{}\n\r\n", "0\r\n\r\n", "zzz\r\n"])
def test_a_watch_that_ends_or_is_malformed_is_reported(text: str) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, lists, _answered):
            (await soon(platform.watches.get())).write(text)
            assert (await soon(lists.get())).listing is Listing.FAILED

    play(test)(Path())


@pytest.mark.parametrize("ends", ["\n", "\r\n"])
def test_a_list_may_span_lines_of_the_watch(ends: str) -> None:
    """Each line arrives separately, so that each has been the last one for a while."""

    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, lists, _answered):
            watch = await soon(platform.watches.get())
            told = json.loads(list_line(42, host(NEW, "one }"), host(NEW, "two")))
            text = json.dumps(told, indent=2).replace("\n", ends) + ends
            for line in [*text.splitlines(keepends=True), "\n"]:
                watch.write(f"{len(line):x}\r\n{line}\r\n")
                await watch.writer.drain()
            told = await soon(lists.get())
            assert [each.id for each in told.endpoints] == ["one }", "two"]
            tell(watch, 43, host(NEW, "three"))
            assert [each.id for each in (await soon(lists.get())).endpoints] == ["three"]
            assert discovery.seq == 43

    play(test)(Path())


@pytest.mark.parametrize("text", ["{\n}}\n", '{"seq":42,"who\n', "{\n]\n}\n", "}\n", '{\n"seq": 4x,\n}\n'])
def test_malformed_lists_are_rejected_at_once(text: str) -> None:
    told = module.WatchParser()
    with pytest.raises(ValueError):
        told.feed(text.encode())


def test_an_incomplete_list_does_not_keep_a_watch_alive() -> None:
    told = module.WatchParser()
    assert told.feed(b'\n{\n"seq": 42,\n') == [] and told.keepalive_received
    assert told.feed(b"\n\n") == [] and not told.keepalive_received
    assert told.feed(b'"whole": false, "hosts": []\n}\n\n') == [{"seq": 42, "whole": False, "hosts": []}]
    assert told.keepalive_received


def test_a_silent_watch_is_opened_anew_at_once_in_any_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Changes that it misses count as known 6 s after it fell silent. This includes a watch that never
    reported anything."""

    async def test(_: Path) -> None:
        for senders in (1, 200):
            async with watching(senders=senders) as (_discovery, platform, lists, _answered):
                first = await soon(platform.watches.get())
                second = await soon(platform.watches.get())
                assert not first.writer.is_closing() and lists.empty()
                tell(second, 42, host(NEW))
                assert (await soon(lists.get())).listing is Listing.CHANGES
                assert (await soon(platform.watches.get())).target.endswith("after=42")

    monkeypatch.setattr(module, "SILENCE_TIMEOUT", 0.05)
    play(test)(Path())


def test_bytes_without_a_line_do_not_keep_a_watch_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, _lists, _answered):
            watch = await soon(platform.watches.get())
            for _n in range(1000):
                if not platform.watches.empty():
                    break
                watch.write("1\r\n \r\n")
                await asyncio.sleep(0.02)
            assert not platform.watches.empty()

    monkeypatch.setattr(module, "SILENCE_TIMEOUT", 0.2)
    play(test)(Path())


def test_a_watch_that_lasted_a_while_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching() as (_discovery, platform, lists, _answered):
            watch = await soon(platform.watches.get())
            for _n in range(4):
                watch.write("1\r\n\n\r\n")
                await asyncio.sleep(0.1)
            watch.break_off()
            (await soon(platform.watches.get())).break_off()
            assert (await soon(lists.get())).listing is Listing.FAILED

    monkeypatch.setattr(module, "SILENCE_TIMEOUT", 0.3)
    play(test)(Path())


def test_an_unanswered_watch_request_is_hedged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a large fleet the first request may wait 10 s for a busy discovery. The one that is answered is
    kept."""

    async def test(_: Path) -> None:
        async with UnansweredDiscovery() as platform:
            known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
            lists: asyncio.Queue[face.EndpointsListed] = asyncio.Queue()
            discovery = Discovery(platform.address, known, lists.put_nowait, lambda name, state: None, 200)
            watching = asyncio.create_task(discovery.watch())
            tell(await soon(platform.watches.get()), 42, host(NEW))
            assert (await soon(lists.get())).listing is Listing.CHANGES
            await soon(platform.ends.get())  # the first one is closed
            assert platform.accepted == 2
            watching.cancel()

    monkeypatch.setattr(module, "HEDGE_DELAY", 0.05)
    play(test)(Path())


def test_refused_connections_are_retried_soon_in_any_fleet() -> None:
    """A list counts as known as soon as discovery is back."""

    async def test(_: Path) -> None:
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        with socket.create_server(("127.0.0.1", 0)) as bound:
            address = bound.getsockname()
        discovery = Discovery(address, known, lambda _: None, lambda name, state: None, 200)
        watching = asyncio.create_task(discovery.watch())
        await asyncio.sleep(0.1)
        with socket.create_server(address) as listener:
            listener.setblocking(False)
            began = asyncio.get_running_loop().time()
            await soon(asyncio.get_running_loop().sock_accept(listener))
            assert asyncio.get_running_loop().time() - began < 1.5
        watching.cancel()

    play(test)(Path())


def test_an_open_watch_that_reports_nothing_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(_: Path) -> None:
        async with watching(checked=True) as (discovery, platform, lists, _answered):
            watch = await soon(platform.watches.get())
            (await soon(platform.lists.get())).answer(503)
            (await soon(platform.lists.get())).answer(200, body=list_line(41, host(OLD), whole=True))
            assert lists.empty()
            drained = host(OLD, health="draining")
            (await soon(platform.lists.get())).answer(200, body=list_line(43, drained, whole=True))
            told = await soon(lists.get())
            assert (told.listing, told.endpoints[0].state) == (Listing.FULL, EndpointState.DRAINING)
            tell(watch, 42, host(OLD))  # the watch is behind: this change is outdated
            tell(watch, 44, host(NEW, "new"))
            assert [each.id for each in (await soon(lists.get())).endpoints] == ["new"]
            assert discovery.seq == 44 and lists.empty()

    monkeypatch.setattr(module, "CHECK_INTERVAL", 0.02)
    play(test)(Path())


@play
async def test_notices_are_sent_until_they_are_answered(_: Path) -> None:
    async with watching() as (discovery, platform, _lists, answered):
        discovery.notify("a", "failed")
        (await platform.next()).break_off()
        (await platform.next()).answer(503)
        request = await platform.next()
        assert answered.empty()
        discovery.notify("b", "returned", 1_500_000)
        request.answer(204)
        assert (request.target, await soon(answered.get())) == ("/v1/notices", "a")
        request = await platform.next()
        assert json.loads(request.body) == {"id": "b", "state": "returned", "after_ms": 1500}
        request.answer(204)
        assert await soon(answered.get()) == "b" and discovery.notices == {}


@play
async def test_a_hung_discovery_gets_the_notice_on_a_new_connection(_: Path) -> None:
    async with watching() as (discovery, platform, _lists, answered):
        discovery.notify("a", "failed")
        silent = await platform.next()
        request = await platform.next()
        assert request.writer is not silent.writer and request.body == silent.body
        request.answer(204)
        assert await soon(answered.get()) == "a"


@play
async def test_one_malformed_notice_does_not_block_the_others(_: Path) -> None:
    async with watching() as (discovery, platform, _lists, answered):
        discovery.notify("a", "failed")
        first = await platform.next()
        discovery.notify("b", "failed")
        discovery.notify("c", "failed")
        first.answer(204)
        (await platform.next()).answer(400)
        (await platform.next()).answer(400)
        (await platform.next()).answer(204)
        assert [await soon(answered.get()) for _ in "abc"] == ["a", "b", "c"]


@pytest.mark.parametrize(
    "bad",
    [
        {"health": "unwell"},
        {"dial": "127.0.0.1:port"},
        {"dial": "127.0.0.1:²"},
        {"block": "x"},
        {"block": float("inf")},
        {"host": []},
    ],
)
def test_a_malformed_line_is_not_applied_in_part(bad: dict[str, Any]) -> None:
    """A change must not be applied in part, nor be lost because its version was stored before it was
    parsed."""

    async def test(_: Path) -> None:
        async with watching() as (discovery, platform, lists, _answered):
            watch = await soon(platform.watches.get())
            tell(watch, 42, host(NEW, "new"), host(OLD) | bad)
            assert (await soon(lists.get())).listing is Listing.FAILED
            assert (discovery.seq, discovery.addresses) == (41, {"r": ("127.0.0.1", 1)})

    play(test)(Path())


@play
async def test_the_removal_of_an_unknown_host_does_not_affect_its_line(_: Path) -> None:
    async with watching() as (discovery, platform, lists, _answered):
        watch = await soon(platform.watches.get())
        tell(watch, 42, host(OLD, "never seen", health="gone"), host(NEW, "new"))
        assert (await soon(lists.get())).listing is Listing.CHANGES
        assert discovery.seq == 42 and list(discovery.addresses) == ["r", "new"]


@play
async def test_listed_destinations_stay_known(_: Path) -> None:
    async with watching() as (discovery, platform, lists, _answered):
        tell(await soon(platform.watches.get()), 42, host(NEW, "new", block=8), whole=True)
        await soon(lists.get())
        assert discovery.destinations == {3, 8}


@play
async def test_a_watch_moves_to_a_new_address_without_a_gap(_: Path) -> None:
    """Versions of another service are not comparable, so its full list is requested. Until it arrives the old
    watch is used, and afterwards no more."""
    async with watching() as (discovery, old, lists, _answered), Platform() as new:
        watch = await soon(old.watches.get())
        discovery.move(new.address)
        moved = asyncio.create_task(discovery.watch())
        (await soon(new.lists.get())).answer(503)
        asked = await soon(new.lists.get())
        assert (asked.method, asked.target) == ("GET", "/registry/instances")
        tell(watch, 99, host(OLD, health="draining"))
        assert (await soon(lists.get())).endpoints[0].state is EndpointState.DRAINING
        asked.answer(200, body=list_line(7, host(NEW, "new"), whole=True))
        told = await soon(lists.get())
        assert (told.listing, [each.id for each in told.endpoints]) == (Listing.FULL, ["new"])
        assert (await soon(new.watches.get())).target.endswith("after=7")
        tell(watch, 100, host(OLD))
        await soon(old.ends.get())  # the old watch ends silently, and its last line is ignored
        assert lists.empty() and discovery.seq == 7 and list(discovery.addresses) == ["new"]
        moved.cancel()


@play
async def test_a_notice_in_flight_is_sent_again_to_the_new_address(_: Path) -> None:
    async with watching() as (discovery, old, _lists, answered), Platform() as new:
        discovery.notify("a", "failed")
        first = await old.next()
        discovery.move(new.address)
        first.break_off()
        again = await new.next()
        assert again.body == first.body
        again.answer(204)
        assert await soon(answered.get()) == "a"


@play
async def test_notices_change_connection_with_the_address(_: Path) -> None:
    async with watching() as (discovery, old, _lists, answered), Platform() as new:
        discovery.notify("a", "failed")
        (await old.next()).answer(204)
        await soon(answered.get())
        discovery.move(new.address)
        discovery.notify("b", "failed")
        (await new.next()).answer(204)
        assert await soon(answered.get()) == "b" and old.requests.empty()


def pauses_between_checks(monkeypatch: pytest.MonkeyPatch, senders: int, *answers: bool) -> list[float]:
    """The delays before each check, given the results of the previous ones."""

    async def test() -> list[float]:
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(("127.0.0.1", 9), known, lambda _: None, lambda name, state: None, senders)
        pauses: list[float] = []
        left = list(answers)

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) > len(answers):
                raise asyncio.CancelledError

        async def check_once() -> bool:
            return left.pop(0)

        monkeypatch.setattr(module.asyncio, "sleep", sleep)
        monkeypatch.setattr(discovery, "check_once", check_once)
        with pytest.raises(asyncio.CancelledError):
            await discovery.check_periodically()
        return pauses

    return asyncio.run(test())


def test_few_senders_check_the_list_well_within_6_s(monkeypatch: pytest.MonkeyPatch) -> None:
    for senders in (1, 4):
        pauses = pauses_between_checks(monkeypatch, senders, *[True] * 50)
        assert all(1.5 <= each <= 2.5 for each in pauses) and len(set(pauses)) > 1


def test_many_senders_check_at_the_joint_rate_of_four(monkeypatch: pytest.MonkeyPatch) -> None:
    assert all(18 <= each <= 30 for each in pauses_between_checks(monkeypatch, 48, *[True] * 50))


def test_checks_back_off_while_discovery_does_not_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses = pauses_between_checks(monkeypatch, 4, *[False] * 9, True)
    assert all(12 <= each <= 20 for each in pauses[3:10]) and pauses[1] >= 3 and pauses[10] <= 2.5


@play
async def test_a_list_with_its_head_in_pieces_is_read(_: Path) -> None:
    async with watching() as (discovery, platform, lists, _answered):
        await soon(platform.watches.get())
        fetching = asyncio.create_task(discovery.fetch(platform.address))
        request = await soon(platform.lists.get())
        line = list_line(44, host(NEW, name="new"), whole=True)
        for part in ("HTTP/1.1 200 It\r\nCont", f"ent-Length: {len(line)}\r\n\r\n{line[:9]}", line[9:]):
            request.write(part)
            await request.writer.drain()
            await asyncio.sleep(0.01)
        assert (await soon(fetching)).seq == 44 and lists.empty()


@play
async def test_a_watch_after_an_unanswered_one_has_a_longer_timeout(_: Path) -> None:
    async with Peer() as silent, Platform() as platform:
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        discovery = Discovery(silent.address, known, lambda _: None, lambda name, state: None)
        assert discovery.watch_timeout == module.ANSWER_TIMEOUT
        with pytest.raises(TimeoutError):
            await discovery.open_hedged(silent.address)
        assert discovery.watch_timeout == module.WATCH_TIMEOUT > module.ANSWER_TIMEOUT
        watching = asyncio.create_task(discovery.open_hedged(platform.address))
        await soon(platform.watches.get())
        async with asyncio.timeout(20):
            while discovery.watch_timeout != module.ANSWER_TIMEOUT:
                await asyncio.sleep(0.001)
        watching.cancel()


@play
async def test_many_senders_wait_longer_for_a_busy_discovery(_: Path) -> None:
    """31 of 40 senders gave up after 1 to 2 s, again and again, and never got a list."""
    async with Peer() as busy:
        known = EndpointList({"seq": 41, "whole": True, "hosts": [host(OLD)]})
        few, many = (
            Discovery(busy.address, known, lambda _: None, lambda name, state: None, senders)
            for senders in (4, 40)
        )
        asking = [asyncio.create_task(each.open_hedged(busy.address)) for each in (few, many)]
        await asyncio.wait(asking, timeout=20, return_when=asyncio.FIRST_COMPLETED)
        assert asking[0].done() and isinstance(asking[0].exception(), TimeoutError)
        assert not asking[1].done()
        asking[1].cancel()
        patience = [few.first_timeout, few.next_timeout, many.first_timeout, many.next_timeout]
        assert patience == [module.ANSWER_TIMEOUT, module.WATCH_TIMEOUT, *[module.MAX_TIMEOUT] * 2]
