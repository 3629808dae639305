"""Matching of answers to requests, proofs that a request has not run, and completeness of answers: single
cases against scripted endpoints on loopback.
"""

import asyncio
import socket
import struct

import h11
import pytest

from plumline.errors import PlumlineError
from plumline.router.relay import EventJoiner, EventUnplacedError
from plumline.router.upstream import ConnectionPool, UpstreamConnection, UpstreamError, UpstreamUnsentError
from tests.dispatch_world import (
    Act,
    ScriptedEndpoint,
    answer,
    decode_chunked,
    document,
    run_with_timeout,
    start_router,
    stream,
)

STREAM_HEADERS = b"Content-Type: text/event-stream\r\n"


def raw_answer(text: bytes, then: str = "") -> Act:
    """Sends these bytes, with the request's id for %ID, and then closes, resets or keeps the connection."""

    async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
        writer.write(text.replace(b"%ID", head.get("attempt-id", "").encode()))
        await writer.drain()
        if then == "close":
            writer.close()
        elif then == "reset":
            linger = socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(*linger)
            writer.transport.abort()

    return act


def unframed_answer(body: bytes, then: str, headers: bytes = b"") -> Act:
    """An answer without a length."""
    return raw_answer(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %ID\r\nServer-Seal: s\r\n" + headers + b"\r\n" + body, then
    )


def test_a_421_without_an_id_proves_nothing_on_a_reused_connection() -> None:
    """It may be a late answer to the earlier request, while this request still runs."""

    async def work() -> None:
        without_id = raw_answer(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
        first = ScriptedEndpoint("e1", answer(), without_id, answer())
        router = await start_router(document(Kind="non_idempotent"), first)
        assert (await router.ask())[0] == 200
        router.dispatcher.loads.clear()  # a slow first answer, as on a busy machine, would favour e2
        second = await ScriptedEndpoint("e2", answer()).start()
        router.fleet.set_roster([first.entry(), second.entry(zone="far")])
        assert (await router.ask())[0] == 502
        assert (first.connections, len(second.heads)) == (1, 0)
        # On a new connection it can only be the answer to this request.
        alone = ScriptedEndpoint("e3", without_id)
        router = await start_router(document(Kind="non_idempotent"), alone)
        assert (await router.ask())[0] == 503

    run_with_timeout(work())


def test_an_answer_with_two_ids_is_rejected() -> None:
    async def work() -> None:
        both = raw_answer(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %ID\r\nAttempt-Id: another\r\nServer-Seal: s\r\n"
            b"Content-Length: 1\r\n\r\nx"
        )
        router = await start_router(document(Kind="non_idempotent"), ScriptedEndpoint("e1", both))
        assert (await router.ask())[0] == 502

    run_with_timeout(work())


def test_a_request_without_an_id_gets_a_new_connection() -> None:
    async def work() -> None:
        plain = raw_answer(b"HTTP/1.1 400 No\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nid")
        peer = ScriptedEndpoint("e1", answer(), plain)
        router = await start_router(document(), peer)
        assert (await router.ask())[0] == 200
        reader, writer = await asyncio.open_connection(*router.server.address())
        writer.write(b"GET /a/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
        assert peer.connections == 2
        writer.close()

    run_with_timeout(work())


def test_a_408_of_one_endpoint_proves_nothing_about_another() -> None:
    async def work() -> None:
        refused = answer(408, b"", seal=False, Not_Executed="1")
        sent: list[str] = []

        async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            sent.append(peer.id)
            if len(sent) == 1:
                writer.transport.abort()  # it may have run here
            else:
                await refused(peer, head, writer)

        router = await start_router(
            document(AttemptLimit=2), ScriptedEndpoint("e1", act), ScriptedEndpoint("e2", act)
        )
        assert (await router.ask())[0] == 502
        assert len(set(sent)) == 2

    run_with_timeout(work())


@pytest.mark.parametrize(
    ("act", "body", "whole"),
    [
        (unframed_answer(b"some text", "close"), b"some text", True),
        (unframed_answer(b"some text", "reset"), b"some text", False),
        (unframed_answer(b"data: 1\n\n", "close", STREAM_HEADERS), b"data: 1\n\n", True),
        (unframed_answer(b"data: 1\n\ndata: 2\n", "close", STREAM_HEADERS), b"data: 1\n\ndata: 2\n", False),
    ],
)
def test_an_answer_without_a_length_ends_with_a_close_and_not_with_a_reset(
    act: Act, body: bytes, whole: bool
) -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", act)
        router = await start_router(document(Kind="streaming"), peer)
        status, _, rest = await router.ask()
        if status == 200:
            got, ended = decode_chunked(rest)
            assert ended is whole and (got == body if whole else body.startswith(got))
        else:
            assert status == 502 and not whole  # the reset came before a byte was relayed
        await router.ask()
        assert peer.connections == 2  # its connection is never used again

    run_with_timeout(work())


def test_a_stream_is_resumed_only_with_an_event_stream() -> None:
    async def work() -> None:
        sent: list[str] = []
        page = answer(200, b"<p>sorry</p>\n\n", Content_Type="text/html")
        broken = stream(b"id: 1\ndata: a\n\n", ends=False)

        async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            sent.append(peer.id)
            await (broken if len(sent) == 1 else page)(peer, head, writer)

        configuration = document(Kind="streaming", Resumable=True, AttemptLimit=2)
        router = await start_router(configuration, ScriptedEndpoint("e1", act), ScriptedEndpoint("e2", act))
        assert decode_chunked((await router.ask())[2]) == (b"id: 1\ndata: a\n\n", False)
        assert len(sent) == 2

    run_with_timeout(work())


# Idle connections.


async def connected_pair() -> tuple[UpstreamConnection, socket.socket]:
    """A connection and the endpoint's socket of it."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(UpstreamConnection, sock=ours)
    return connection, theirs


@pytest.mark.parametrize("received", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_an_idle_connection_with_unread_bytes_or_end_is_not_used(
    received: bytes,
) -> None:
    async def work() -> None:
        pool = ConnectionPool()
        for _ in range(2):
            connection, theirs = await connected_pair()
            connection.idle_until = 10.0
            pool.open["e1"] = pool.open.get("e1", 0) + 1
            pool.idle.setdefault("e1", []).append(connection)
            theirs.sendall(received) if received else theirs.close()
        # The event loop has not run since, so it has not read any of this.
        assert pool.take_idle("e1", 1.0) is None
        assert not pool.open

    run_with_timeout(work())


def test_unsolicited_bytes_end_an_idle_connection() -> None:
    async def work() -> None:
        pool = ConnectionPool()
        connection, theirs = await connected_pair()
        connection.idle_until = 10.0
        connection.on_idle_end = lambda: pool.on_idle_end("e1", connection)
        pool.open["e1"] = 1
        pool.idle["e1"] = [connection]
        connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert not pool.open and not pool.has_idle("e1", 1.0)
        with pytest.raises(UpstreamUnsentError):
            connection.send(b"POST", b"/a", [(b"host", b"h")], b"")
        theirs.close()

    run_with_timeout(work())


class FullTransport(asyncio.Transport):
    """A transport whose peer reads nothing: `left` bytes are unsent."""

    left = 0

    def write(self, data: bytes) -> None:
        self.left += len(data)

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return self.left


def test_a_connection_with_unsent_request_bytes_is_not_used_again() -> None:
    """The endpoint has answered before it read the whole request; the rest would precede the next request."""
    connection, transport = UpstreamConnection(), FullTransport()
    connection.connection_made(transport)
    connection.send(b"POST", b"/a", [(b"host", b"h"), (b"content-length", b"4")], b"body")
    connection.data_received(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    assert isinstance(connection.codec.next_event(), h11.Response) and connection.discard_rest()
    assert not connection.next_cycle()
    transport.left = 0
    assert connection.next_cycle()


class ClosingTransport(asyncio.Transport):
    """A transport whose first write fails, as on a socket that was reset."""

    closing = False

    def write(self, data: object) -> None:
        self.closing = True

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.closing = True


def test_a_failed_first_write_has_sent_nothing() -> None:
    connection = UpstreamConnection()
    connection.connection_made(ClosingTransport())
    with pytest.raises(UpstreamUnsentError):
        connection.send(b"POST", b"/a", [(b"host", b"h")], b"")


def test_a_request_uses_a_new_connection_if_idle_ones_have_ended() -> None:
    """The ended connections accepted no byte of it, so it may be sent again even if it is not idempotent."""

    async def work() -> None:
        peer = ScriptedEndpoint("e1", answer())
        router = await start_router(document(Kind="non_idempotent", AttemptLimit=1), peer)
        assert (await router.ask())[0] == 200
        kept = router.dispatcher.pool.idle["e1"][0]
        closed = kept.transport
        kept.transport = ClosingTransport()
        assert (await router.ask())[0] == 200
        assert (len(peer.heads), peer.connections) == (2, 2)
        assert router.counters.get("send-unsent") == 1
        closed.abort()

    run_with_timeout(work())


def test_an_abandoned_request_ends_with_a_reset() -> None:
    """A reset drops its unsent bytes. A connection that was answered or is idle is closed normally."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        server = socket.create_server(("127.0.0.1", 0))
        for sent, answered in ((True, False), (True, True), (False, False)):
            _, connection = await loop.create_connection(UpstreamConnection, *server.getsockname())
            theirs = server.accept()[0]
            theirs.setblocking(False)
            if sent:
                connection.send(b"POST", b"/a", [(b"host", b"h")], b"")
                assert (await loop.sock_recv(theirs, 100)).startswith(b"POST /a ")
            if answered:
                await loop.sock_sendall(theirs, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                assert isinstance(await connection.event(), h11.Response)
                assert isinstance(await connection.event(), h11.EndOfMessage)
            connection.close()
            if sent and not answered:
                with pytest.raises(ConnectionResetError):
                    await loop.sock_recv(theirs, 100)
            else:
                assert await loop.sock_recv(theirs, 100) == b""
            theirs.close()
        server.close()

    run_with_timeout(work())


def read_events(connection: UpstreamConnection, data: bytes, how: str) -> list[str]:
    """The events that a connection with an outstanding request reads from these bytes and its end."""

    async def read() -> list[str]:
        found = []
        try:
            while not isinstance(event := await connection.event(), h11.EndOfMessage):
                found.append(type(event).__name__)
        except UpstreamError:
            return [*found, "broken"]
        return [*found, "whole"]

    connection.connection_made(ClosingTransport())
    connection.busy = True
    connection.codec.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    connection.codec.send(h11.EndOfMessage())
    connection.data_received(data)
    if how == "close":
        connection.eof_received()
    connection.connection_lost(None if how == "close" else ConnectionResetError())
    return asyncio.run(read())


@pytest.mark.parametrize(
    ("data", "how", "end"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", "close", "whole"),
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", "reset", "broken"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "close", "broken"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", "reset", "whole"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "close", "broken"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", "close", "broken"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "reset", "whole"),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", "close", "broken"),
        (b"HTTP/1.1 103 Early\r\n\r\n", "close", "broken"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", "close", "broken"),
    ],
)
def test_where_an_answer_ends(data: bytes, how: str, end: str) -> None:
    assert read_events(UpstreamConnection(), data, how)[-1] == end


# Streams of several attempts.


def join_streams(*runs: list[bytes]) -> bytes:
    joiner, out = EventJoiner(), b""
    for run in runs:
        joiner.begin()
        out += b"".join(joiner.feed(piece) for piece in run)
    return out + joiner.flush()


A, B, C = (b"id: %d\ndata: %c\n\n" % (n, 96 + n) for n in (1, 2, 3))


def test_events_without_ids_are_ordered_by_the_id_before_them() -> None:
    plain = b"data: between\n\n"
    assert join_streams([A], [plain.replace(b"data", b": no"), B]) == A + b": no: between\n\n" + B
    assert join_streams([A, B], [A, plain, B, plain, C]) == A + B + plain + C
    with pytest.raises(EventUnplacedError):
        join_streams([A], [plain, B])
    assert issubclass(EventUnplacedError, PlumlineError)


def test_a_stream_is_not_continued_after_an_event_without_an_id() -> None:
    for text, may in ((A, True), (A + b": comment\n\n", True), (A + b"data: x\n\n: comment\n\n", False)):
        joiner = EventJoiner()
        joiner.begin()
        joiner.feed(text)
        assert joiner.may_join() is may
        joiner.feed(B)  # from here on the position is known again
        assert joiner.may_join()


def test_the_rest_of_a_resumed_stream_is_relayed_once_only() -> None:
    assert join_streams([A, B], [A, B.rstrip(b"\n")]) == A + B
    assert join_streams([A], [B.rstrip(b"\n")]) == A + B.rstrip(b"\n")
    assert join_streams([A, b"half"]) == A + b"half"
