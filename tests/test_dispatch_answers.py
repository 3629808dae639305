"""The router's request path against scripted endpoints: how answers, streams and connections end."""

import asyncio

from plumline.router.upstream import UpstreamConnection
from tests.dispatch_world import (
    Act,
    ScriptedEndpoint,
    answer,
    decode_chunked,
    document,
    parse_answer,
    run_with_timeout,
    start_router,
    stream,
)


def test_an_answer_that_ends_early_never_looks_complete() -> None:
    async def work() -> None:
        short = answer(200, b"whole", Content_Length="9")

        async def cut(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await short(peer, head, writer)
            writer.close()

        router = await start_router(document(Kind="non_idempotent"), ScriptedEndpoint("e1", cut))
        status, headers, body = await router.ask()
        assert status == 200 and len(body) < int(headers["content-length"])
        router = await start_router(
            document(Kind="streaming"), ScriptedEndpoint("e2", stream(b"data: 1\n\n", ends=False))
        )
        status, _, rest = await router.ask()
        assert status == 200 and decode_chunked(rest) == (b"data: 1\n\n", False)

    run_with_timeout(work())


def test_bytes_behind_an_answer_end_its_connection() -> None:
    async def work() -> None:
        async def more(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await answer()(peer, head, writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        peer = ScriptedEndpoint("e1", more)
        router = await start_router(document(Kind="non_idempotent"), peer)
        for _ in range(3):
            status, _, body = await router.ask()
            assert (status, body) == (200, b"whole")
        assert peer.connections == 3

    run_with_timeout(work())


def test_a_stream_is_relayed_chunk_by_chunk() -> None:
    async def work() -> None:
        go = asyncio.Event()
        peer = ScriptedEndpoint("e1", stream(b"id: 1\ndata", go, b": a\n\n"))
        router = await start_router(document(Kind="streaming"), peer)
        reader = await router.open()
        came = await reader.readuntil(b"data\r\n")  # before the endpoint goes on
        assert b"server-seal: seal-e1" in came.lower()
        go.set()
        assert decode_chunked(parse_answer(came + await reader.read())[2]) == (b"id: 1\ndata: a\n\n", True)

    run_with_timeout(work())


def test_a_resumable_stream_is_continued_inside_one_answer() -> None:
    async def work() -> None:
        def acts() -> list[Act]:
            return [stream(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", ends=False)]

        joined = stream(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n", b"id: 4\ndata: d\n\n")
        peers = [ScriptedEndpoint(f"e{n}", *acts()) for n in range(2)]
        router = await start_router(document(Kind="streaming", Resumable=True), *peers)
        first_sent: list[ScriptedEndpoint] = []

        async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            first_sent.append(peer)
            await (acts()[0] if len(first_sent) == 1 else joined)(peer, head, writer)

        for each in peers:
            each.acts = [act]
        status, headers, rest = await router.ask()
        assert status == 200 and headers["server-seal"] == f"seal-{first_sent[0].id}"
        whole = b"".join(b"id: %d\ndata: %c\n\n" % (n, 96 + n) for n in range(1, 5))
        assert decode_chunked(rest) == (whole, True)
        assert first_sent[1].heads[0]["last-event-id"] == "2" and first_sent[0] is not first_sent[1]

    run_with_timeout(work())


def test_a_resumable_stream_that_finds_no_other_endpoint_is_cut() -> None:
    async def work() -> None:
        peer = ScriptedEndpoint("e1", stream(b"id: 1\ndata: a\n\nid: 2", ends=False))
        router = await start_router(document(Kind="streaming", Resumable=True), peer)
        assert decode_chunked((await router.ask())[2]) == (b"id: 1\ndata: a\n\n", False)

    run_with_timeout(work())


def test_at_the_deadline_silence_ends_with_504_and_a_started_answer_is_aborted() -> None:
    async def work() -> None:
        never = asyncio.Event()

        async def silent(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
            await never.wait()

        router = await start_router(document(Kind="streaming"), ScriptedEndpoint("e1", silent))
        assert (await router.ask(Remaining_Milliseconds="80"))[0] == 504
        router = await start_router(
            document(Kind="streaming"), ScriptedEndpoint("e2", stream(b"data: 1\n\n", never))
        )
        status, _, rest = await router.ask(Remaining_Milliseconds="150")
        assert status == 200 and decode_chunked(rest) == (b"data: 1\n\n", False)

    run_with_timeout(work())


def test_a_client_that_disconnects_ends_the_attempt() -> None:
    async def work() -> None:
        never = asyncio.Event()
        peer = ScriptedEndpoint("e1", stream(b"data: 1\n\n", never))
        router = await start_router(document(Kind="streaming"), peer)
        reader = await router.open()
        await reader.readuntil(b"data: 1")
        router.writers[0].close()
        await router.dispatcher.drained()
        never.set()
        await peer.closed.wait()
        health = router.dispatcher.outcomes.breakers["e1"]
        assert (health.failures, health.out) == (0, 0)
        assert not router.dispatcher.pool.open

    run_with_timeout(work())


def test_an_idle_connection_that_the_peer_closes_is_noticed_and_not_used() -> None:
    async def work() -> None:
        async def answer_and_keep_writer(
            peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter
        ) -> None:
            await answer()(peer, head, writer)
            await writer.drain()
            peer.last = writer

        peer = ScriptedEndpoint("e1", answer_and_keep_writer)
        router = await start_router(document(Kind="non_idempotent"), peer)
        await router.ask()
        idle: UpstreamConnection = router.dispatcher.pool.idle["e1"][0]
        noticed = asyncio.Event()
        pool_callback = idle.on_idle_end
        idle.on_idle_end = lambda: (pool_callback(), noticed.set())
        peer.last.close()
        await noticed.wait()
        assert not router.dispatcher.pool.open
        assert (await router.ask())[0] == 200 and peer.connections == 2

    run_with_timeout(work())
