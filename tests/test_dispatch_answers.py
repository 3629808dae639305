"""The router's request path against scripted endpoints: how answers, streams and connections end."""

import asyncio

from plumline.router.upstream import UpstreamConnection
from tests.dispatch_world import (
    Act,
    Peer,
    answer,
    document,
    made,
    parsed,
    stream,
    unchunked,
    within,
)


def test_an_answer_that_ends_early_never_looks_complete() -> None:
    async def work() -> None:
        short = answer(200, b"whole", Content_Length="9")

        async def cut(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await short(peer, head, writer)
            writer.close()

        router = await made(document(Kind="non_idempotent"), Peer("e1", cut))
        status, headers, body = await router.ask()
        assert status == 200 and len(body) < int(headers["content-length"])
        router = await made(document(Kind="streaming"), Peer("e2", stream(b"data: 1\n\n", ends=False)))
        status, _, rest = await router.ask()
        assert status == 200 and unchunked(rest) == (b"data: 1\n\n", False)

    within(work())


def test_bytes_behind_an_answer_end_its_connection() -> None:
    async def work() -> None:
        async def more(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await answer()(peer, head, writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        peer = Peer("e1", more)
        router = await made(document(Kind="non_idempotent"), peer)
        for _ in range(3):
            status, _, body = await router.ask()
            assert (status, body) == (200, b"whole")
        assert peer.connections == 3

    within(work())


def test_a_stream_goes_on_piece_by_piece() -> None:
    async def work() -> None:
        go = asyncio.Event()
        peer = Peer("e1", stream(b"id: 1\ndata", go, b": a\n\n"))
        router = await made(document(Kind="streaming"), peer)
        reader = await router.open()
        came = await reader.readuntil(b"data\r\n")  # before the endpoint goes on
        assert b"server-seal: seal-e1" in came.lower()
        go.set()
        assert unchunked(parsed(came + await reader.read())[2]) == (b"id: 1\ndata: a\n\n", True)

    within(work())


def test_a_resumable_stream_is_joined_inside_one_answer() -> None:
    async def work() -> None:
        def acts() -> list[Act]:
            return [stream(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", ends=False)]

        joined = stream(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n", b"id: 4\ndata: d\n\n")
        peers = [Peer(f"e{n}", *acts()) for n in range(2)]
        router = await made(document(Kind="streaming", Resumable=True), *peers)
        first_sent: list[Peer] = []

        async def act(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            first_sent.append(peer)
            await (acts()[0] if len(first_sent) == 1 else joined)(peer, head, writer)

        for each in peers:
            each.acts = [act]
        status, headers, rest = await router.ask()
        assert status == 200 and headers["server-seal"] == f"seal-{first_sent[0].id}"
        whole = b"".join(b"id: %d\ndata: %c\n\n" % (n, 96 + n) for n in range(1, 5))
        assert unchunked(rest) == (whole, True)
        assert first_sent[1].heads[0]["last-event-id"] == "2" and first_sent[0] is not first_sent[1]

    within(work())


def test_a_resumable_stream_that_finds_no_other_endpoint_is_cut() -> None:
    async def work() -> None:
        peer = Peer("e1", stream(b"id: 1\ndata: a\n\nid: 2", ends=False))
        router = await made(document(Kind="streaming", Resumable=True), peer)
        assert unchunked((await router.ask())[2]) == (b"id: 1\ndata: a\n\n", False)

    within(work())


def test_the_deadline_ends_silence_with_504_and_a_begun_answer_with_a_cut() -> None:
    async def work() -> None:
        never = asyncio.Event()

        async def silent(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await never.wait()

        router = await made(document(Kind="streaming"), Peer("e1", silent))
        assert (await router.ask(Remaining_Milliseconds="80"))[0] == 504
        router = await made(document(Kind="streaming"), Peer("e2", stream(b"data: 1\n\n", never)))
        status, _, rest = await router.ask(Remaining_Milliseconds="150")
        assert status == 200 and unchunked(rest) == (b"data: 1\n\n", False)

    within(work())


def test_a_client_that_goes_away_ends_the_call() -> None:
    async def work() -> None:
        never = asyncio.Event()
        peer = Peer("e1", stream(b"data: 1\n\n", never))
        router = await made(document(Kind="streaming"), peer)
        reader = await router.open()
        await reader.readuntil(b"data: 1")
        router.writers[0].close()
        await router.dispatcher.drained()
        never.set()
        await peer.closed.wait()
        health = router.dispatcher.outcomes.breakers["e1"]
        assert (health.failures, health.out) == (0, 0)
        assert not router.dispatcher.pool.open

    within(work())


def test_a_kept_connection_whose_peer_ends_is_noticed_and_no_request_goes_on_it() -> None:
    async def work() -> None:
        async def then_close(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await answer()(peer, head, writer)
            await writer.drain()
            peer.last = writer

        peer = Peer("e1", then_close)
        router = await made(document(Kind="non_idempotent"), peer)
        await router.ask()
        kept: UpstreamConnection = router.dispatcher.pool.idle["e1"][0]
        noticed = asyncio.Event()
        told = kept.on_idle_end
        kept.on_idle_end = lambda: (told(), noticed.set())
        peer.last.close()
        await noticed.wait()
        assert not router.dispatcher.pool.open
        assert (await router.ask())[0] == 200 and peer.connections == 2

    within(work())
