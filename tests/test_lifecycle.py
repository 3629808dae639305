"""The router's HTTP server on loopback connections: answers, keep-alive and closing, shutdown."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import ClassVar

import pytest

from plumline.router.lifecycle import Lifecycle, Phase
from plumline.router.readiness import Readiness
from plumline.wire.exchange import MAX_UNREAD_RESPONSE_BYTES, AnswerInvalidError, Exchange
from plumline.wire.server import FixedLimits, Server

TEST_TIMEOUT_S = 10.0  # after which a hanging test fails
GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: X.example:80\r\n\r\n"


class Client:
    opened: ClassVar[list["Client"]] = []

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.opened.append(self)

    @classmethod
    async def close_all(cls) -> None:
        while cls.opened:
            writer = cls.opened.pop().writer
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    @classmethod
    async def to(cls, server: Server) -> "Client":
        return cls(*await asyncio.open_connection(*server.address()))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def head(self) -> bytes:
        return await self.reader.readuntil(b"\r\n\r\n")

    async def answer(self) -> tuple[bytes, bytes]:
        """Head, and body of the announced length."""
        head = await self.head()
        size = next(int(line[16:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length: "))
        return head, await self.reader.readexactly(size)

    async def rest(self) -> bytes:
        return await self.reader.read()


class ServerHarness:
    """A server whose handler puts each exchange into the queue `seen`."""

    def __init__(self, limits: FixedLimits) -> None:
        self.seen: asyncio.Queue[Exchange] = asyncio.Queue()
        self.server = Server(self.seen.put_nowait, lambda: limits)


def run_scenario(
    scenario: Callable[[ServerHarness], Awaitable[None]], limits: FixedLimits | None = None
) -> None:
    async def run() -> None:
        harness = ServerHarness(limits or FixedLimits())
        await harness.server.listen(("127.0.0.1", 0))
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(harness)
        finally:
            harness.server.end()
            await Client.close_all()

    asyncio.run(run())


def client_gone_event(exchange: Exchange) -> asyncio.Event:
    event = asyncio.Event()
    exchange.on_client_disconnect = event.set
    return event


def test_a_request_as_the_handler_sees_it() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        before = asyncio.get_running_loop().time()
        client.send(b"POST /a/b?c=d HTTP/1.1\r\nHost: X.example:80\r\n")
        client.send(b"X-One:  a b \r\nContent-Length: 3\r\n\r\nabc")
        exchange = await harness.seen.get()
        assert (exchange.method, exchange.target, exchange.path, exchange.host) == (
            "POST",
            "/a/b?c=d",
            "/a/b",
            "x.example",
        )
        assert (b"x-one", b"a b") in exchange.headers and exchange.body == b"abc"
        assert before <= exchange.began <= asyncio.get_running_loop().time()
        exchange.respond(
            201, [(b"Server-Seal", b"s"), (b"connection", b"x"), (b"content-length", b"99")], b"done"
        )
        head, body = await client.answer()
        assert head == (
            b"HTTP/1.1 201 Created\r\nServer-Seal: s\r\nContent-Length: 4\r\nKeep-Alive: timeout=14\r\n\r\n"
        )
        assert body == b"done"

    run_scenario(scenario)


def test_the_absolute_form_of_the_same_host_is_read_as_its_path() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(b"\r\nGET http://x.example/a?b HTTP/1.1\r\nHost: x.example\r\n\r\n")
        exchange = await harness.seen.get()
        assert (exchange.target, exchange.path) == ("/a?b", "/a")

    run_scenario(scenario)


def test_requests_in_one_write_are_answered_one_after_the_other() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET * 3)
        for number in range(3):
            exchange = await harness.seen.get()
            assert harness.seen.empty()
            exchange.respond(200, body=b"%d" % number)
            assert (await client.answer())[1] == b"%d" % number

    run_scenario(scenario)


def test_reading_of_pipelined_requests_is_bounded() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET * 5000)
        for _ in range(5000):
            (await harness.seen.get()).respond(204)
            (connection,) = harness.server.connections
            assert len(connection.buffer) <= 2 * 64 * 1024
        for _ in range(5000):
            assert (await client.head()).startswith(b"HTTP/1.1 204 ")

    run_scenario(scenario)


def test_a_chunked_body_is_read_completely() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n")
        client.send(b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: u\r\n\r\n")
        exchange = await harness.seen.get()
        assert exchange.body == b"abc0123456789"

    run_scenario(scenario)


def test_100_continue_is_sent_before_the_body() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n")
        assert await client.head() == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(b"abc")
        (await harness.seen.get()).respond(200)
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "line", [b"HTTP/1.0\r\nConnection: keep-alive", b"HTTP/1.1\r\nHost: x\r\nConnection: Close"]
)
def test_a_client_without_keep_alive_gets_connection_close(line: bytes) -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(b"GET / " + line + b"\r\n\r\n")
        (await harness.seen.get()).respond(200, body=b"abc")
        rest = await client.rest()
        assert b"\r\nConnection: close\r\n" in rest and rest.endswith(b"\r\n\r\nabc")

    run_scenario(scenario)


def test_a_stream_is_sent_chunk_by_chunk() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        exchange.start(200, [(b"Content-Type", b"text/event-stream")])
        assert b"\r\nTransfer-Encoding: chunked\r\n" in await client.head()
        for piece in (b"one", b"two" * 10):
            exchange.write(piece)
            frame = b"%x\r\n%b\r\n" % (len(piece), piece)
            assert await client.reader.readexactly(len(frame)) == frame
        exchange.finish()
        assert await client.reader.readexactly(5) == b"0\r\n\r\n"
        client.send(GET)  # the connection is still open
        (await harness.seen.get()).respond(200)
        await client.head()

    run_scenario(scenario)


def test_an_answer_written_at_once_is_sent_in_two_writes() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        writes: list[bytes] = []
        (connection,) = harness.server.connections
        write = connection.transport.write
        connection.transport.write = lambda data: (writes.append(data), write(data))[1]  # type: ignore
        exchange.start(200)
        exchange.write(b"abc")
        exchange.finish()
        assert len(writes) == 2  # head and first chunk, then the end
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")
        assert await client.reader.readexactly(13) == b"3\r\nabc\r\n0\r\n\r\n"

    run_scenario(scenario)


def test_a_body_with_a_content_length_is_not_chunked() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        exchange.start(200, [(b"content-length", b"6")])
        exchange.write(b"abc")
        exchange.write(b"def")
        with pytest.raises(AnswerInvalidError):
            exchange.write(b"g")
        exchange.finish()
        assert (await client.answer())[1] == b"abcdef"

    run_scenario(scenario)


LENGTH_10 = (b"Content-Length", b"10")


@pytest.mark.parametrize(
    ("headers", "ended"), [([], "abort"), ([LENGTH_10], "abort"), ([LENGTH_10], "finish")]
)
def test_an_early_end_never_looks_complete(headers: list[tuple[bytes, bytes]], ended: str) -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET + GET)
        exchange = await harness.seen.get()
        exchange.start(200, headers)
        exchange.write(b"abc")
        getattr(exchange, ended)()
        rest = await client.rest()
        assert b"abc" in rest and not rest.endswith(b"0\r\n\r\n")
        assert harness.seen.empty()  # the request behind it was not read

    run_scenario(scenario)


def test_an_unframed_answer_that_ends_early_is_a_reset() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(b"GET / HTTP/1.0\r\n\r\n")
        exchange = await harness.seen.get()
        exchange.start(200)
        exchange.write(b"abc")
        exchange.abort()
        with pytest.raises(ConnectionResetError):
            await client.rest()

    run_scenario(scenario)


def test_an_exchange_aborted_before_its_answer_ends_the_connection() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        (await harness.seen.get()).abort()
        assert await client.rest() == b""

    run_scenario(scenario)


def test_each_exchange_has_one_answer() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        with pytest.raises(AnswerInvalidError):
            exchange.respond(200, [(b"X", b"a\r\nSet-Cookie: b")])
        exchange.respond(200)
        for again in (lambda: exchange.respond(200), lambda: exchange.start(200), exchange.abort):
            with pytest.raises(AssertionError):
                again()
        await client.head()

    run_scenario(scenario)


@pytest.mark.parametrize(("method", "status"), [(b"HEAD", 200), (b"GET", 204), (b"GET", 304)])
@pytest.mark.parametrize("at_once", [True, False])
def test_answers_without_a_body_have_none(method: bytes, status: int, at_once: bool) -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        for _ in range(2):  # the second one shows that no bytes followed the first answer
            client.send(method + b" / HTTP/1.1\r\nHost: x\r\n\r\n")
            exchange = await harness.seen.get()
            if at_once:
                exchange.respond(status, body=b"abc")
            else:
                exchange.start(status)
                exchange.write(b"abc")
                exchange.finish()
            assert (await client.head()).startswith(b"HTTP/1.1 %d " % status)

    run_scenario(scenario)


def test_a_failing_handler_is_answered_with_500() -> None:
    async def scenario(harness: ServerHarness) -> None:
        def fail(exchange: Exchange) -> None:
            raise RuntimeError("on purpose")

        harness.server.handler = fail
        client = await Client.to(harness.server)
        client.send(GET)
        assert (await client.head()).startswith(b"HTTP/1.1 500 ")
        assert harness.server.counters == {"handler-failed": 1}

    run_scenario(scenario)


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_the_exchange_is_notified_of_a_disconnecting_client(how: str) -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        event = client_gone_event(exchange)
        if how == "half-close":
            client.writer.write_eof()
        elif how == "reset":
            client.writer.transport.abort()
        else:
            client.writer.close()
        await event.wait()
        assert exchange.client_disconnected
        exchange.start(200)
        exchange.write(b"abc")  # has no effect any more
        await exchange.drain()
        exchange.finish()

    run_scenario(scenario)


def test_the_exchange_is_notified_of_a_client_that_disconnects_during_a_stream() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        event = client_gone_event(exchange)
        exchange.start(200)
        await client.head()
        client.writer.transport.abort()
        await event.wait()
        exchange.write(b"abc")
        exchange.abort()

    run_scenario(scenario)


async def stalled_client(harness: ServerHarness) -> tuple[socket.socket, Exchange]:
    """A client that sends a request and does not read, and its exchange with more written than is sent."""
    sock = socket.create_connection(harness.server.address())
    sock.setblocking(False)
    sock.send(GET)
    exchange = await harness.seen.get()
    exchange.start(200)
    (connection,) = harness.server.connections
    while connection.transport.get_write_buffer_size() <= MAX_UNREAD_RESPONSE_BYTES:
        exchange.write(b"x" * MAX_UNREAD_RESPONSE_BYTES)
    return sock, exchange


def test_a_client_that_stops_reading_blocks_only_its_own_connection() -> None:
    async def scenario(harness: ServerHarness) -> None:
        sock, exchange = await stalled_client(harness)
        drain_task = asyncio.ensure_future(exchange.drain())
        other = await Client.to(harness.server)
        other.send(GET)
        (await harness.seen.get()).respond(200, body=b"abc")
        assert (await other.answer())[1] == b"abc"
        assert not drain_task.done()
        loop = asyncio.get_running_loop()
        while not drain_task.done():
            await loop.sock_recv(sock, 1 << 20)
        sock.close()

    run_scenario(scenario)


def test_a_stalled_client_that_disconnects_wakes_the_writer() -> None:
    async def scenario(harness: ServerHarness) -> None:
        sock, exchange = await stalled_client(harness)
        event = client_gone_event(exchange)
        drain_task = asyncio.ensure_future(exchange.drain())
        sock.close()
        await drain_task
        await event.wait()
        assert exchange.client_disconnected

    run_scenario(scenario)


def test_aborting_the_answer_of_a_stalled_client_wakes_the_writer() -> None:
    async def scenario(harness: ServerHarness) -> None:
        sock, exchange = await stalled_client(harness)
        drain_task = asyncio.ensure_future(exchange.drain())
        await asyncio.sleep(0)  # the task has begun to wait
        assert not drain_task.done()
        exchange.abort()
        await drain_task
        sock.close()

    run_scenario(scenario)


def test_a_client_that_never_reads_its_complete_answer_is_disconnected() -> None:
    async def scenario(harness: ServerHarness) -> None:
        sock, exchange = await stalled_client(harness)
        exchange.finish()
        assert await harness.server.drained(TEST_TIMEOUT_S)
        assert harness.server.counters == {"client-stalled": 1}
        sock.close()

    run_scenario(scenario, FixedLimits(idle_timeout_ms=50))


def test_an_idle_connection_ends() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        (await harness.seen.get()).respond(200)
        rest = await client.rest()
        assert rest.startswith(b"HTTP/1.1 200 ") and b"Keep-Alive" not in rest

    run_scenario(scenario, FixedLimits(idle_timeout_ms=50))


def test_the_server_does_not_limit_the_handlers_time() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        (connection,) = harness.server.connections
        connection.deadline = 0.0
        connection.expire()
        exchange.respond(200)
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, FixedLimits(idle_timeout_ms=50, header_timeout_ms=50))


def test_the_readiness_status_follows_the_callback() -> None:
    async def run() -> None:
        ready = False
        readiness = Readiness(lambda: ready)
        await readiness.listen(("127.0.0.1", 0))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            client = await Client.to(readiness.server)
            for ready, status in ((False, 503), (True, 200), (False, 503)):  # noqa: B007  # the closure reads it
                client.send(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await client.answer())[0].startswith(b"HTTP/1.1 %d " % status)
            client.send(b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer())[0].startswith(b"HTTP/1.1 404 ")
            client.send(b"POST /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer())[0].startswith(b"HTTP/1.1 405 ")
        readiness.end()
        await Client.close_all()

    asyncio.run(run())


def test_ready_once_initialized_and_from_then_on() -> None:
    async def scenario(harness: ServerHarness) -> None:
        known = False
        lifecycle = Lifecycle(harness.server, lambda: known, grace_s=8.0)
        assert not lifecycle.ready() and lifecycle.phase is Phase.STARTING
        known = True
        assert lifecycle.ready() and lifecycle.phase is Phase.READY
        known = False
        assert lifecycle.ready()
        lifecycle.begin_shutdown()
        assert not lifecycle.ready() and lifecycle.phase is Phase.DRAINING

    run_scenario(scenario)


def test_shutdown_answers_all_received_requests() -> None:
    async def scenario(harness: ServerHarness) -> None:
        server, address = harness.server, harness.server.address()
        running, idle = await Client.to(server), await Client.to(server)
        running.send(GET)
        first = await harness.seen.get()
        idle.send(GET)
        (await harness.seen.get()).respond(200)
        await idle.head()
        lifecycle = Lifecycle(server, lambda: True, grace_s=3.0)
        stopped = asyncio.ensure_future(lifecycle.run_until_stopped())
        lifecycle.begin_shutdown()
        late = await Client.to(server)  # new connections are still accepted
        late.send(GET)
        (await harness.seen.get()).respond(200, body=b"abc")
        assert b"\r\nConnection: close\r\n" in await late.rest()
        assert await idle.rest() == b""  # after the notice period
        assert not stopped.done()
        first.respond(200, body=b"abc")
        rest = await running.rest()
        assert b"\r\nConnection: close\r\n" in rest and rest.endswith(b"abc")
        running.writer.close()
        await stopped
        assert lifecycle.phase is Phase.STOPPED
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)

    run_scenario(scenario)


def test_shutdown_ends_in_time_with_a_request_in_flight() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        exchange = await harness.seen.get()
        event = client_gone_event(exchange)
        lifecycle = Lifecycle(harness.server, lambda: True, grace_s=1.5)
        loop = asyncio.get_running_loop()
        began = loop.time()
        lifecycle.begin_shutdown()
        lifecycle.begin_shutdown()
        await lifecycle.run_until_stopped()
        assert 0.7 < loop.time() - began < 1.5
        await event.wait()

    run_scenario(scenario)


def test_a_request_that_arrives_as_its_connection_is_closed_is_answered() -> None:
    async def scenario(harness: ServerHarness) -> None:
        client = await Client.to(harness.server)
        client.send(GET)
        (await harness.seen.get()).respond(200)
        await client.head()
        client.writer.write(GET)  # in the server's socket, not read yet
        harness.server.stop_accepting()
        harness.server.close_idle()
        (await harness.seen.get()).respond(200, body=b"abc")
        rest = await client.rest()
        assert rest.startswith(b"HTTP/1.1 200 ") and rest.endswith(b"abc")
        client.writer.close()
        assert await harness.server.drained(TEST_TIMEOUT_S)

    run_scenario(scenario)


def test_clients_in_the_accept_queue_are_served_when_accepting_stops() -> None:
    async def scenario(harness: ServerHarness) -> None:
        socks = [
            socket.create_connection(harness.server.address()) for _ in range(5)
        ]  # the event loop does not run meanwhile
        for sock in socks:
            sock.setblocking(False)
            sock.send(GET)
        harness.server.stop_accepting()
        loop = asyncio.get_running_loop()
        for _ in socks:
            (await harness.seen.get()).respond(200)
        for sock in socks:
            assert (await loop.sock_recv(sock, 1000)).startswith(b"HTTP/1.1 200 ")
            sock.close()
        assert await harness.server.drained(TEST_TIMEOUT_S)

    run_scenario(scenario)
