"""Groups of counters used as a plain mapping, as the server does."""

import asyncio
from collections.abc import Callable

import pytest

from plumline.counters import Counters
from plumline.wire.exchange import Exchange
from plumline.wire.server import Server

TEST_TIMEOUT_S = 10.0  # reached only by a failing test


def test_a_group_counts_under_its_prefix() -> None:
    counters = Counters()
    counters.add("request-late", 2)
    counters.add("clients", 1)
    group = counters.group("clients")
    group["request-late"] = group.get("request-late", 0) + 1
    group["request-late"] = group.get("request-late", 0) + 1
    assert counters.get("clients.request-late") == group["request-late"] == 2
    assert counters.snapshot() == {"request-late": 2, "clients": 1, "clients.request-late": 2}
    assert counters.changed_lines() == [
        "counter=clients total=1 change=1",
        "counter=clients.request-late total=2 change=2",
        "counter=request-late total=2 change=2",
    ]
    counters.add("clients.request-late")
    assert group["request-late"] == 3
    assert counters.changed_lines() == ["counter=clients.request-late total=3 change=1"]


def test_a_group_contains_only_its_own_counters() -> None:
    counters = Counters()
    counters.add("links.renewed")
    group = counters.group("clients")
    assert dict(group) == {} and not group
    with pytest.raises(KeyError):
        group["renewed"]
    group.update({"client-gone": 1, "a.b": 2})
    assert dict(group) == {"client-gone": 1, "a.b": 2} and len(group) == 2
    del group["a.b"]
    assert counters.snapshot() == {"links.renewed": 1, "clients.client-gone": 1}
    with pytest.raises(KeyError):
        del group["renewed"]


def failing_handler(_: Exchange) -> None:
    raise ValueError("a fault of the handler")


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (b"nothing that is HTTP\r\n\r\n", "request-malformed"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20000 + b"\r\n\r\n", "header-too-long"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "handler-failed"),
    ],
    ids=["malformed", "too-long", "failed"],
)
def test_the_summary_contains_the_counters_of_a_server(sent: bytes, code: str) -> None:
    counters = Counters()

    async def run_server(handler: Callable[[Exchange], None]) -> None:
        server = Server(handler, counters=counters.group("clients"))
        await server.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*server.address())
        writer.write(sent)
        await reader.read()
        writer.close()
        server.end()

    asyncio.run(asyncio.wait_for(run_server(failing_handler), TEST_TIMEOUT_S))
    assert counters.changed_lines() == [f"counter=clients.{code} total=1 change=1"]
