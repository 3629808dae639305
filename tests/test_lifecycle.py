"""The router's serving side on loopback connections: answers, connections that stand or end, shutdown."""

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

PATIENCE = 10.0  # s until a test that hangs fails
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
        """Head and body, of the told length."""
        head = await self.head()
        size = next(int(line[16:]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length: "))
        return head, await self.reader.readexactly(size)

    async def rest(self) -> bytes:
        return await self.reader.read()


class Scene:
    """A server whose handler puts each exchange in `seen`."""

    def __init__(self, limits: FixedLimits) -> None:
        self.seen: asyncio.Queue[Exchange] = asyncio.Queue()
        self.server = Server(self.seen.put_nowait, lambda: limits)


def play(scene: Callable[[Scene], Awaitable[None]], limits: FixedLimits | None = None) -> None:
    async def run() -> None:
        stage = Scene(limits or FixedLimits())
        await stage.server.listen(("127.0.0.1", 0))
        try:
            async with asyncio.timeout(PATIENCE):
                await scene(stage)
        finally:
            stage.server.end()
            await Client.close_all()

    asyncio.run(run())


def gone_event(exchange: Exchange) -> asyncio.Event:
    event = asyncio.Event()
    exchange.on_gone = event.set
    return event


def test_a_request_as_the_handler_sees_it() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        before = asyncio.get_running_loop().time()
        client.send(b"POST /a/b?c=d HTTP/1.1\r\nHost: X.example:80\r\n")
        client.send(b"X-One:  a b \r\nContent-Length: 3\r\n\r\nabc")
        got = await stage.seen.get()
        assert (got.method, got.target, got.path, got.host) == ("POST", "/a/b?c=d", "/a/b", "x.example")
        assert (b"x-one", b"a b") in got.headers and got.body == b"abc"
        assert before <= got.began <= asyncio.get_running_loop().time()
        got.respond(201, [(b"Server-Seal", b"s"), (b"connection", b"x"), (b"content-length", b"99")], b"done")
        head, body = await client.answer()
        assert head == (
            b"HTTP/1.1 201 Created\r\nServer-Seal: s\r\nContent-Length: 4\r\nKeep-Alive: timeout=14\r\n\r\n"
        )
        assert body == b"done"

    play(scene)


def test_the_absolute_form_of_the_same_host_is_read_as_its_path() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(b"\r\nGET http://x.example/a?b HTTP/1.1\r\nHost: x.example\r\n\r\n")
        got = await stage.seen.get()
        assert (got.target, got.path) == ("/a?b", "/a")

    play(scene)


def test_requests_in_one_write_are_answered_one_after_the_other() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET * 3)
        for number in range(3):
            got = await stage.seen.get()
            assert stage.seen.empty()
            got.respond(200, body=b"%d" % number)
            assert (await client.answer())[1] == b"%d" % number

    play(scene)


def test_requests_far_ahead_wait_in_the_client() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET * 5000)
        for _ in range(5000):
            (await stage.seen.get()).respond(204)
            (connection,) = stage.server.connections
            assert len(connection.buffer) <= 2 * 64 * 1024
        for _ in range(5000):
            assert (await client.head()).startswith(b"HTTP/1.1 204 ")

    play(scene)


def test_a_chunked_body_comes_whole() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n")
        client.send(b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: u\r\n\r\n")
        got = await stage.seen.get()
        assert got.body == b"abc0123456789"

    play(scene)


def test_100_continue_is_sent_before_the_body() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n")
        assert await client.head() == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(b"abc")
        (await stage.seen.get()).respond(200)
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")

    play(scene)


@pytest.mark.parametrize(
    "line", [b"HTTP/1.0\r\nConnection: keep-alive", b"HTTP/1.1\r\nHost: x\r\nConnection: Close"]
)
def test_a_client_that_does_not_stay_gets_the_close(line: bytes) -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(b"GET / " + line + b"\r\n\r\n")
        (await stage.seen.get()).respond(200, body=b"abc")
        rest = await client.rest()
        assert b"\r\nConnection: close\r\n" in rest and rest.endswith(b"\r\n\r\nabc")

    play(scene)


def test_a_stream_goes_out_piece_by_piece() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        got.start(200, [(b"Content-Type", b"text/event-stream")])
        assert b"\r\nTransfer-Encoding: chunked\r\n" in await client.head()
        for piece in (b"one", b"two" * 10):
            got.write(piece)
            frame = b"%x\r\n%b\r\n" % (len(piece), piece)
            assert await client.reader.readexactly(len(frame)) == frame
        got.finish()
        assert await client.reader.readexactly(5) == b"0\r\n\r\n"
        client.send(GET)  # the connection stands
        (await stage.seen.get()).respond(200)
        await client.head()

    play(scene)


def test_an_answer_written_in_one_turn_goes_out_in_one_write() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        writes: list[bytes] = []
        (connection,) = stage.server.connections
        write = connection.transport.write
        connection.transport.write = lambda data: (writes.append(data), write(data))[1]  # type: ignore
        got.start(200)
        got.write(b"abc")
        got.finish()
        assert len(writes) == 2  # head and first piece, then the end
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")
        assert await client.reader.readexactly(13) == b"3\r\nabc\r\n0\r\n\r\n"

    play(scene)


def test_a_body_of_told_length_is_plain() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        got.start(200, [(b"content-length", b"6")])
        got.write(b"abc")
        got.write(b"def")
        with pytest.raises(AnswerInvalidError):
            got.write(b"g")
        got.finish()
        assert (await client.answer())[1] == b"abcdef"

    play(scene)


LENGTH_10 = (b"Content-Length", b"10")


@pytest.mark.parametrize(
    ("headers", "ended"), [([], "abort"), ([LENGTH_10], "abort"), ([LENGTH_10], "finish")]
)
def test_an_early_end_never_looks_complete(headers: list[tuple[bytes, bytes]], ended: str) -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET + GET)
        got = await stage.seen.get()
        got.start(200, headers)
        got.write(b"abc")
        getattr(got, ended)()
        rest = await client.rest()
        assert b"abc" in rest and not rest.endswith(b"0\r\n\r\n")
        assert stage.seen.empty()  # the request behind it was not read

    play(scene)


def test_an_unframed_answer_that_ends_early_is_a_reset() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(b"GET / HTTP/1.0\r\n\r\n")
        got = await stage.seen.get()
        got.start(200)
        got.write(b"abc")
        got.abort()
        with pytest.raises(ConnectionResetError):
            await client.rest()

    play(scene)


def test_an_exchange_aborted_before_its_answer_ends_the_connection() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        (await stage.seen.get()).abort()
        assert await client.rest() == b""

    play(scene)


def test_each_exchange_has_one_answer() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        with pytest.raises(AnswerInvalidError):
            got.respond(200, [(b"X", b"a\r\nSet-Cookie: b")])
        got.respond(200)
        for again in (lambda: got.respond(200), lambda: got.start(200), got.abort):
            with pytest.raises(AssertionError):
                again()
        await client.head()

    play(scene)


@pytest.mark.parametrize(("method", "status"), [(b"HEAD", 200), (b"GET", 204), (b"GET", 304)])
@pytest.mark.parametrize("whole", [True, False])
def test_answers_without_a_body_have_none(method: bytes, status: int, whole: bool) -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        for _ in range(2):  # the second shows that nothing was left behind the first
            client.send(method + b" / HTTP/1.1\r\nHost: x\r\n\r\n")
            got = await stage.seen.get()
            if whole:
                got.respond(status, body=b"abc")
            else:
                got.start(status)
                got.write(b"abc")
                got.finish()
            assert (await client.head()).startswith(b"HTTP/1.1 %d " % status)

    play(scene)


def test_a_handler_that_fails_is_answered_for() -> None:
    async def scene(stage: Scene) -> None:
        def fail(exchange: Exchange) -> None:
            raise RuntimeError("on purpose")

        stage.server.handler = fail
        client = await Client.to(stage.server)
        client.send(GET)
        assert (await client.head()).startswith(b"HTTP/1.1 500 ")
        assert stage.server.counters == {"handler-failed": 1}

    play(scene)


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_a_client_that_ends_is_told_of(how: str) -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        event = gone_event(got)
        if how == "half-close":
            client.writer.write_eof()
        elif how == "reset":
            client.writer.transport.abort()
        else:
            client.writer.close()
        await event.wait()
        assert got.gone
        got.start(200)
        got.write(b"abc")  # all of it harmless now
        await got.drain()
        got.finish()

    play(scene)


def test_a_client_that_ends_in_the_midst_of_a_stream_is_told_of() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        event = gone_event(got)
        got.start(200)
        await client.head()
        client.writer.transport.abort()
        await event.wait()
        got.write(b"abc")
        got.abort()

    play(scene)


async def stalled(stage: Scene) -> tuple[socket.socket, Exchange]:
    """A client that asks and does not read, and its exchange with more written than goes out."""
    sock = socket.create_connection(stage.server.address())
    sock.setblocking(False)
    sock.send(GET)
    got = await stage.seen.get()
    got.start(200)
    (connection,) = stage.server.connections
    while connection.transport.get_write_buffer_size() <= MAX_UNREAD_RESPONSE_BYTES:
        got.write(b"x" * MAX_UNREAD_RESPONSE_BYTES)
    return sock, got


def test_a_client_that_stops_reading_holds_only_its_own_connection() -> None:
    async def scene(stage: Scene) -> None:
        sock, got = await stalled(stage)
        waits = asyncio.ensure_future(got.drain())
        other = await Client.to(stage.server)
        other.send(GET)
        (await stage.seen.get()).respond(200, body=b"abc")
        assert (await other.answer())[1] == b"abc"
        assert not waits.done()
        loop = asyncio.get_running_loop()
        while not waits.done():
            await loop.sock_recv(sock, 1 << 20)
        sock.close()

    play(scene)


def test_a_stalled_client_that_ends_frees_who_waits_for_it() -> None:
    async def scene(stage: Scene) -> None:
        sock, got = await stalled(stage)
        event = gone_event(got)
        waits = asyncio.ensure_future(got.drain())
        sock.close()
        await waits
        await event.wait()
        assert got.gone

    play(scene)


def test_an_answer_aborted_for_a_stalled_client_frees_who_waits_for_it() -> None:
    async def scene(stage: Scene) -> None:
        sock, got = await stalled(stage)
        waits = asyncio.ensure_future(got.drain())
        await asyncio.sleep(0)  # it has begun to wait
        assert not waits.done()
        got.abort()
        await waits
        sock.close()

    play(scene)


def test_a_client_that_never_reads_its_whole_answer_is_cut_off() -> None:
    async def scene(stage: Scene) -> None:
        sock, got = await stalled(stage)
        got.finish()
        assert await stage.server.drained(PATIENCE)
        assert stage.server.counters == {"client-stalled": 1}
        sock.close()

    play(scene, FixedLimits(idle_ms=50))


def test_an_idle_connection_ends() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        (await stage.seen.get()).respond(200)
        rest = await client.rest()
        assert rest.startswith(b"HTTP/1.1 200 ") and b"Keep-Alive" not in rest

    play(scene, FixedLimits(idle_ms=50))


def test_the_time_of_the_handler_is_not_limited_here() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        (connection,) = stage.server.connections
        connection.deadline = 0.0
        connection.expire()
        got.respond(200)
        assert (await client.head()).startswith(b"HTTP/1.1 200 ")

    play(scene, FixedLimits(idle_ms=50, header_ms=50))


def test_readiness_follows_what_it_is_told() -> None:
    async def run() -> None:
        ready = False
        readiness = Readiness(lambda: ready)
        await readiness.listen(("127.0.0.1", 0))
        async with asyncio.timeout(PATIENCE):
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


def test_ready_once_equipped_and_from_then_on() -> None:
    async def scene(stage: Scene) -> None:
        known = False
        life = Lifecycle(stage.server, lambda: known, grace_s=8.0)
        assert not life.ready() and life.phase is Phase.STARTING
        known = True
        assert life.ready() and life.phase is Phase.READY
        known = False
        assert life.ready()
        life.begin_shutdown()
        assert not life.ready() and life.phase is Phase.DRAINING

    play(scene)


def test_shutdown_answers_all_that_came() -> None:
    async def scene(stage: Scene) -> None:
        server, address = stage.server, stage.server.address()
        running, idle = await Client.to(server), await Client.to(server)
        running.send(GET)
        first = await stage.seen.get()
        idle.send(GET)
        (await stage.seen.get()).respond(200)
        await idle.head()
        life = Lifecycle(server, lambda: True, grace_s=3.0)
        stopped = asyncio.ensure_future(life.run_until_stopped())
        life.begin_shutdown()
        late = await Client.to(server)  # new connections are still taken
        late.send(GET)
        (await stage.seen.get()).respond(200, body=b"abc")
        assert b"\r\nConnection: close\r\n" in await late.rest()
        assert await idle.rest() == b""  # once the platform has had the time to notice
        assert not stopped.done()
        first.respond(200, body=b"abc")
        rest = await running.rest()
        assert b"\r\nConnection: close\r\n" in rest and rest.endswith(b"abc")
        running.writer.close()
        await stopped
        assert life.phase is Phase.STOPPED
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)

    play(scene)


def test_shutdown_ends_in_time_whatever_runs() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        got = await stage.seen.get()
        event = gone_event(got)
        life = Lifecycle(stage.server, lambda: True, grace_s=1.5)
        loop = asyncio.get_running_loop()
        began = loop.time()
        life.begin_shutdown()
        life.begin_shutdown()
        await life.run_until_stopped()
        assert 0.7 < loop.time() - began < 1.5
        await event.wait()

    play(scene)


def test_a_request_that_came_as_its_connection_was_to_be_closed_is_answered() -> None:
    async def scene(stage: Scene) -> None:
        client = await Client.to(stage.server)
        client.send(GET)
        (await stage.seen.get()).respond(200)
        await client.head()
        client.writer.write(GET)  # it lies in the server's socket, not yet read
        stage.server.stop_accepting()
        stage.server.close_idle()
        (await stage.seen.get()).respond(200, body=b"abc")
        rest = await client.rest()
        assert rest.startswith(b"HTTP/1.1 200 ") and rest.endswith(b"abc")
        client.writer.close()
        assert await stage.server.drained(PATIENCE)

    play(scene)


def test_clients_that_wait_to_be_taken_are_served_when_accepting_stops() -> None:
    async def scene(stage: Scene) -> None:
        socks = [socket.create_connection(stage.server.address()) for _ in range(5)]  # the loop has no turn
        for sock in socks:
            sock.setblocking(False)
            sock.send(GET)
        stage.server.stop_accepting()
        loop = asyncio.get_running_loop()
        for _ in socks:
            (await stage.seen.get()).respond(200)
        for sock in socks:
            assert (await loop.sock_recv(sock, 1000)).startswith(b"HTTP/1.1 200 ")
            sock.close()
        assert await stage.server.drained(PATIENCE)

    play(scene)
