import asyncio
import json
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from plumline.errors import PlumlineError
from plumline.wire import calls
from plumline.wire.calls import (
    CALLS,
    INCOMING,
    Caller,
    CallFailedError,
    CallTimeoutError,
    CallWithdrawnError,
    idle_seconds,
)

Address = tuple[str, int]
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def answer(status: int = 200, body: object = None, *lines: str) -> bytes:
    data = b"" if body is None else json.dumps(body).encode()
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}", *lines]
    return "\r\n".join([*head, "", ""]).encode() + data


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns the request line, the headers by lower-case name and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.split("\r\n")[:-2]
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Peer:
    """A server that sends scripted responses, and records the requests and the number of connections."""

    def __init__(self, *script: bytes) -> None:
        self.script = list(script)
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.connections = 0
        self.address: Address = ("", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while self.script:
                self.requests.append(await read_request(reader))
                writer.write(self.script.pop(0))
                await writer.drain()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def run_scenario(scenario: Callable[[Caller, Address], Coroutine[Any, Any, None]], peer: Handler) -> None:
    async def run() -> None:
        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        caller = Caller()
        try:
            async with asyncio.timeout(10):
                await scenario(caller, server.sockets[0].getsockname())
        finally:
            caller.close()
            server.close()

    asyncio.run(run())


def test_the_table_holds_every_call_once() -> None:
    assert set(CALLS) == {
        "instances", "report", "order", "health", "kv_events", "kv_list", "configuration_replace",
        "configuration_amend", "configuration_read", "version_put", "rollout_start", "rollout_read",
        "readiness",
    }  # fmt: skip
    assert INCOMING["POST", "/Configuration.Amend"].name == "configuration_amend"
    assert ("GET", "/instances") not in INCOMING
    assert len(INCOMING) == 7


def test_failures_are_typed_with_codes() -> None:
    for error in (CallFailedError, CallTimeoutError, CallWithdrawnError):
        assert issubclass(error, PlumlineError)
    assert len({e.code for e in (CallFailedError, CallTimeoutError, CallWithdrawnError)}) == 3


def test_a_call_sends_json_and_gives_status_headers_and_json() -> None:
    peer = Peer(answer(202, {"A": [1]}, "Retry-After: 0.5"))

    async def scenario(caller: Caller, address: Address) -> None:
        got = await caller.call(
            "order", address, headers={calls.EXPECTED_INSTANCE: "i-1"}, body={"B": 2}, timeout_s=5
        )
        assert (got.status, got.json, got.headers["retry-after"]) == (202, {"A": [1]}, "0.5")

    run_scenario(scenario, peer.serve)
    first, headers, body = peer.requests[0]
    assert first == "POST /order HTTP/1.1"
    assert (headers["expected-instance"], headers["content-type"]) == ("i-1", "application/json")
    assert json.loads(body) == {"B": 2}


def test_query_and_another_path_go_out() -> None:
    peer = Peer(answer(), answer())

    async def scenario(caller: Caller, address: Address) -> None:
        await caller.call("kv_events", address, query="Since=118", timeout_s=5)
        await caller.call("health", address, path="/well", timeout_s=5)

    run_scenario(scenario, peer.serve)
    assert [each[0] for each in peer.requests] == ["GET /kv-events?Since=118 HTTP/1.1", "GET /well HTTP/1.1"]
    assert peer.connections == 1


@pytest.mark.parametrize(
    "first",
    [
        answer(200, None, "Connection: close"),
        answer(200, None, "Keep-Alive: timeout=0"),
        answer() + b"HTTP/1.1 200 surplus\r\n\r\n",
    ],
)
def test_a_connection_that_may_not_be_reused_is_not(first: bytes) -> None:
    peer = Peer(first, answer(204))

    async def scenario(caller: Caller, address: Address) -> None:
        await caller.call("report", address, timeout_s=5)
        assert (await caller.call("report", address, timeout_s=5)).status == 204

    run_scenario(scenario, peer.serve)
    assert peer.connections == 2


def test_an_idle_connection_is_dropped_after_its_timeout_or_when_its_address_is_forgotten() -> None:
    peer = Peer(answer(200, None, "Keep-Alive: timeout=4"), answer(), answer())
    now = [100.0]

    async def scenario(_: Caller, address: Address) -> None:
        caller = Caller(lambda: now[0])
        await caller.call("report", address, timeout_s=5)
        now[0] += 3.5
        await caller.call("report", address, timeout_s=5)
        assert peer.connections == 2
        caller.forget(address)
        assert not caller.idle
        await caller.call("report", address, timeout_s=5)
        caller.close()

    run_scenario(scenario, peer.serve)
    assert peer.connections == 3


def test_idle_seconds() -> None:
    assert idle_seconds({"connection": "Close"}) == 0
    assert idle_seconds({"keep-alive": "timeout=4, max=9"}) == 3
    assert idle_seconds({"keep-alive": "timeout=x"}) == idle_seconds({}) == calls.MAX_IDLE_S


def test_a_refused_connection_is_a_failure_with_nothing_sent() -> None:
    async def scenario(caller: Caller, address: Address) -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        closed_address = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        with pytest.raises(CallFailedError) as caught:
            await caller.call("order", closed_address, body={}, timeout_s=5)
        assert not caught.value.sent

    run_scenario(scenario, Peer().serve)


def test_silence_is_a_timeout_and_the_request_may_have_been_executed() -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallTimeoutError) as caught:
            await caller.call("order", address, body={}, timeout_s=0.02)
        assert caught.value.sent
        assert not caller.idle

    run_scenario(scenario, silent)


@pytest.mark.parametrize("cancelled", [False, True])
def test_an_abandoned_call_can_not_arrive_later(cancelled: bool) -> None:
    """Guards against a regular close of the connection: bytes delayed by a partition would still be sent, and
    an order with an outdated fencing token would arrive when the partition heals."""
    ends: list[type[BaseException] | None] = []
    arrived = asyncio.Event()

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        arrived.set()
        try:
            await reader.read()
            ends.append(None)
        except ConnectionResetError as error:
            ends.append(type(error))
        writer.close()

    async def scenario(caller: Caller, address: Address) -> None:
        call = asyncio.ensure_future(
            caller.call("order", address, body={}, timeout_s=5 if cancelled else 0.1)
        )
        await arrived.wait()
        if cancelled:
            call.cancel()
        with pytest.raises((CallTimeoutError, asyncio.CancelledError)):
            await call
        while not ends:
            await asyncio.sleep(0)
        assert ends == [ConnectionResetError]

    run_scenario(scenario, silent)


def test_the_kernel_ends_a_call_while_the_process_is_suspended() -> None:
    async def scenario(caller: Caller, address: Address) -> None:
        await caller.call("report", address, timeout_s=1.5)
        sock = caller.idle[address].connection.sock
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1500

    run_scenario(scenario, Peer(answer(200, {})).serve)


@pytest.mark.parametrize(
    "response", [b"", b"nonsense\r\n\r\n", b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nshort"]
)
def test_an_invalid_response_fails(response: bytes) -> None:
    async def broken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(response)
        writer.close()

    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallFailedError) as caught:
            await caller.call("report", address, timeout_s=5)
        assert caught.value.sent
        assert not caller.idle

    run_scenario(scenario, broken)


def test_an_oversized_response_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(calls, "MAX_RESPONSE_BODY_BYTES", 10)

    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallFailedError, match="longer"):
            await caller.call("report", address, timeout_s=5)

    run_scenario(scenario, Peer(answer(200, "x" * 20)).serve)


def test_a_response_to_another_call_fails() -> None:
    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallFailedError, match="another call"):
            await caller.call("health", address, headers={calls.ATTEMPT_ID: "a"}, timeout_s=5)

    run_scenario(scenario, Peer(answer(200, None, "Attempt-Id: b")).serve)


def test_an_invalid_json_body_is_none() -> None:
    async def scenario(caller: Caller, address: Address) -> None:
        assert (await caller.call("report", address, timeout_s=5)).json is None

    run_scenario(scenario, Peer(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{x").serve)


def test_prepare_may_cancel_a_call_after_the_connection_is_up() -> None:
    peer = Peer(answer())

    def withdraw() -> None:
        raise CallWithdrawnError("no lease")

    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallWithdrawnError) as caught:
            await caller.call("order", address, prepare=withdraw, timeout_s=5)
        assert not caught.value.sent
        await caller.call("order", address, prepare=lambda: {"F": 1}, timeout_s=5)

    run_scenario(scenario, peer.serve)
    assert [json.loads(each[2]) for each in peer.requests] == [{"F": 1}]


def test_an_order_is_never_sent_on_a_reused_connection() -> None:
    """The response to an order doesn't identify its request: a late 200 to an earlier report would be taken
    as the confirmation of the order."""
    report = {"Models": [], "Busy": False}
    peer = Peer(answer(200, report), answer(202), answer(200, report))

    async def scenario(caller: Caller, address: Address) -> None:
        assert (await caller.call("report", address, timeout_s=5)).status == 200
        assert address in caller.idle
        assert (await caller.call("order", address, body={}, timeout_s=5)).status == 202
        assert peer.connections == 2
        assert (await caller.call("report", address, timeout_s=5)).json == report
        assert peer.connections == 2

    run_scenario(scenario, peer.serve)


def test_an_abandoned_call_ends_with_a_reset() -> None:
    """The reset drops delayed bytes, which must not arrive after the caller has given up the call."""
    ended: list[type] = []
    connection_ended = asyncio.Event()

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_request(reader)
            await reader.read()
            ended.append(type(None))
        except ConnectionError as error:
            ended.append(type(error))
        connection_ended.set()
        writer.close()

    async def scenario(caller: Caller, address: Address) -> None:
        with pytest.raises(CallTimeoutError):
            await caller.call("order", address, body={"Version": 2}, timeout_s=0.05)
        await connection_ended.wait()
        assert ended == [ConnectionResetError]

    run_scenario(scenario, silent)
