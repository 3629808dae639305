"""The simulated platform and operator."""

import json
from typing import Any

import pytest

from plumline.errors import UnavailableError
from plumline.lab import Call, CallError, Server, fetch
from plumline.lab.operator import Operator
from plumline.lab.platform import Platform
from tests.lab_stand import run_async, serving

# --- platform


class ManualClock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def listing(names: list[str], clock: ManualClock, **more: Any) -> Platform:  # noqa: ANN401
    platform = Platform(clock=clock, **more)
    for number, name in enumerate(names):
        platform.add(lambda name=name, zone=f"z{number % 2}": {"Identifier": name, "Zone": zone})
    return platform


def test_the_list_lags_and_shows_draining_and_crashed_endpoints() -> None:
    clock = ManualClock()
    platform = listing(["a", "b", "c"], clock, lag_ms=300, crashed_s=5)
    assert platform.listed() == []
    clock.now += 0.3
    assert [entry["State"] for entry in platform.listed()] == ["ready"] * 3
    platform.drain("a")
    platform.crash("b")
    assert platform.listed()[0]["State"] == "ready"
    clock.now += 0.4
    assert [entry["State"] for entry in platform.listed()] == ["draining", "ready", "ready"]
    platform.end("a")
    clock.now += 4.9
    platform.refresh()
    clock.now += 0.3
    assert [entry["Identifier"] for entry in platform.listed()] == ["c"]


@run_async
async def test_the_list_comes_in_pages_by_zone_at_a_limited_rate() -> None:
    clock = ManualClock()
    platform = listing(["a", "b", "c"], clock, lag_ms=0, page=2, rate=3)

    async def ask_list(query: str) -> tuple[int, list[str], str | None]:
        status, _, body = await fetch(platform.server.address, "GET", "/instances" + query)
        got = json.loads(body) if status == 200 else {"Instances": [], "NextToken": None}
        return status, [entry["Identifier"] for entry in got["Instances"]], got["NextToken"]

    async with serving(platform.server):
        assert await ask_list("") == (200, ["a", "b"], "p-2")
        assert await ask_list("?PageToken=p-2") == (200, ["c"], None)
        assert await ask_list("?Zone=z1") == (200, ["b"], None)
        assert (await ask_list(""))[0] == 429
        clock.now += 1
        assert (await ask_list(""))[0] == 200
        platform.down = True
        with pytest.raises(CallError):
            await ask_list("")


# --- operator


class Scripted(Server):
    """Responds with each (status, headers) in turn, None resets the connection; repeats the last one."""

    def __init__(self, *script: tuple[int, list[tuple[str, str]]] | None) -> None:
        super().__init__(self._handle)
        self.script, self.calls = list(script), list[tuple[str, str, bytes]]()

    async def _handle(self, call: Call) -> None:
        self.calls.append((call.path, call.headers.get("based-on-version", ""), call.body))
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if step is None:
            return call.reset()
        call.answer(step[0], b"{}", step[1])


async def no_sleep(_seconds: float) -> None:
    """Replaces the operator's sleep; returns immediately."""


@run_async
async def test_the_operator_tries_other_addresses_until_a_definite_response() -> None:
    one = Scripted(None, (429, []))
    two = Scripted((503, []), (200, []))
    async with serving(one, two):
        verdict = await Operator([one.address, two.address], sleep=no_sleep).replace({"Version": 3}, 2)
        assert (verdict.taken, verdict.attempts) == (True, 4)
        assert {each for server in (one, two) for each in server.calls} == {
            ("/Configuration.Replace", "2", b'{"Version": 3}')
        }


@run_async
async def test_the_operator_follows_two_redirects() -> None:
    last = Scripted((200, []))
    async with serving(last):
        middle = Scripted((307, [("Location", f"http://{last.address}/b")]))
        async with serving(middle):
            first = Scripted((307, [("Location", f"http://{middle.address}/a")]))
            async with serving(first):
                assert (await Operator([first.address], sleep=no_sleep).version_put("m", 2)).attempts == 1
                assert last.calls[0][0] == "/b"
                over = Scripted((307, [("Location", f"http://{first.address}/c")]), (200, []))
                async with serving(over):
                    assert (await Operator([over.address], sleep=no_sleep).version_put("m", 2)).attempts == 2


@pytest.mark.parametrize(("status", "attempts"), [(400, 1), (409, 1), (412, 1), (413, 1), (422, 1), (404, 3)])
def test_the_operator_stops_at_a_refusal(status: int, attempts: int) -> None:
    @run_async
    async def test() -> None:
        server = Scripted((status, []))
        async with serving(server):
            verdict = await Operator([server.address], sleep=no_sleep).amend({}, 0)
            assert (verdict.status, verdict.attempts) == (status, attempts)

    test()


@run_async
async def test_the_operator_gives_up_after_its_timeout() -> None:
    server, clock = Scripted((503, [])), ManualClock()

    async def sleep(seconds: float) -> None:
        clock.now += seconds

    async with serving(server):
        with pytest.raises(UnavailableError):
            await Operator([server.address], timeout_s=5, sleep=sleep, clock=clock).read()
