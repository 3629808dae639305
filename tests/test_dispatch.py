"""The router's request path against scripted endpoints on loopback, clients on real sockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest

from plumline.configuration.routes import RouteTable
from plumline.configuration.state import State
from plumline.counters import Counters
from plumline.router.dispatch import Dispatcher
from plumline.router.upstream import UpstreamConnection
from plumline.routing.fleet import Fleet
from plumline.settings import Bounds, Settings
from plumline.wire.exchange import Exchange
from plumline.wire.server import Server

Act = Callable[["Peer", dict[str, str], asyncio.StreamWriter], Awaitable[None]]
LOCAL = "127.0.0.1"
MODEL = {"Model-Name": "m", "Token-Counts": "1000,20", "Prompt-Prefix": "aa:800,bb:150"}
LONG = MODEL | {"Token-Counts": "17000,20", "Prompt-Prefix": "aa:13300,bb:3700"}


def within(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await work

    asyncio.run(bounded())


class Peer:
    """An endpoint that does for each request what its script says next; the last act goes on."""

    def __init__(self, id: str, *acts: Act) -> None:
        self.id, self.acts = id, list(acts)
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()  # a caller has ended a connection

    async def start(self) -> "Peer":
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while not writer.is_closing():
                first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                head = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)}
                head[":first"] = first
                self.heads.append(head)
                self.bodies.append(await reader.readexactly(int(head.get("content-length", "0"))))
                act = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
                await act(self, head, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()

    def entry(self, **changes: object) -> dict[str, Any]:
        entry = {
            "id": self.id,
            "service": "s",
            "address": f"{LOCAL}:{self.port}",
            "zone": "z",
            "slots": 8,
            "draining": False,
            "cold_ms": 0,
            "models": {"m": 1},
        }
        return entry | changes


def answer(status: int = 200, body: bytes = b"whole", seal: bool = True, **headers: str) -> Act:
    async def act(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
        lines = {"Attempt-Id": head.get("attempt-id", ""), "Content-Length": str(len(body))}
        lines |= {"Server-Seal": f"seal-{peer.id}"} if seal else {}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)

    return act


FULL = answer(503, b"", seal=False, Not_Executed="1")


async def reset(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def stream(*pieces: bytes | asyncio.Event, ends: bool = True) -> Act:
    """Chunks as given, with waits for events between; then the end, or a cut."""

    async def act(peer: Peer, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {head['attempt-id']}\r\nServer-Seal: seal-{peer.id}\r\n\r\n".encode()
        )
        for piece in pieces:
            if isinstance(piece, asyncio.Event):
                await piece.wait()
            else:
                writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                await writer.drain()
        if ends:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    return act


class Allowing:
    def __init__(self, repeats: int = 99) -> None:
        self.repeats, self.requests = repeats, 0

    def request(self, now: float, service: str) -> None:
        self.requests += 1

    def may_repeat(self, now: float, service: str, routers: int) -> bool:
        self.repeats -= 1
        return self.repeats >= 0


def document(**route: object) -> dict[str, Any]:
    item = {
        "Name": "r",
        "Host": "h.example",
        "PathPrefix": "/a/",
        "Kind": "idempotent",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 300,
        "Priority": 3,
        "Service": "s",
        "AttemptLimit": 3,
    }
    return {"Version": 1, "Routes": [item | route], "Services": [{"Name": "s", "ConnectionLimit": 90}]}


STORE = {"Name": "st", "CacheStoreAddress": "172.20.0.2:8080", "Zone": "z", "LinkSpeedMbps": 1000.0}
TENANTS = [
    {"Name": "walled", "ApiKeys": ["key-w"], "Priority": 0, "Isolated": True},
    {"Name": "plain", "ApiKeys": ["key-p"]},
]


class Router:
    """A dispatcher behind a server on loopback."""

    def __init__(
        self, configuration: dict[str, Any] | None, *peers: Peer, budget: Allowing | None = None
    ) -> None:
        self.fleet, self.counters = Fleet(), Counters()
        self.writers: list[asyncio.StreamWriter] = []  # one that is let go closes its connection
        self.fleet.fresh = True
        if configuration is not None:
            self.fleet.state = State()
            self.fleet.table = RouteTable(configuration)
        settings = Settings(
            "n", LOCAL, (1, 1), zone="z", bounds=Bounds(version_apply_ms=8000), first_start=True
        )
        self.fleet.take_roster([each.entry() for each in peers])
        self.dispatcher = Dispatcher(
            settings, self.fleet, self.counters, chance=random.Random(4), budget=budget or Allowing()
        )

    async def start(self) -> "Router":
        self.server = Server(self.dispatcher.handle)
        await self.server.listen((LOCAL, 0))
        return self

    async def open(
        self, path: str = "/a/b?c=1", body: bytes = b"", method: str = "POST", **headers: str
    ) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(*self.server.address())
        self.writers.append(writer)
        lines = {"Host": "h.example", "Attempt-Id": "id-1", "Connection": "close"}
        lines |= {"Content-Length": str(len(body))} if body else {}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
        return reader

    async def ask(self, path: str = "/a/b?c=1", **given: Any) -> tuple[int, dict[str, str], bytes]:  # noqa: ANN401
        reader = await self.open(path, **given)
        raw = await reader.read()
        await self.dispatcher.drained()
        return parsed(raw)


def parsed(raw: bytes) -> tuple[int, dict[str, str], bytes]:
    """Status (0: nothing came), headers and what follows the head."""
    top, _, rest = raw.partition(b"\r\n\r\n")
    if not top:
        return 0, {}, b""
    first, *lines = top.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return int(first.split()[1]), headers, rest


def unchunked(raw: bytes) -> tuple[bytes, bool]:
    """The body, and whether its end came."""
    body = b""
    while raw:
        size, _, raw = raw.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body, raw = body + raw[: int(size, 16)], raw[int(size, 16) + 2 :]
    return body, False


async def made(configuration: dict[str, Any] | None, *peers: Peer, budget: Allowing | None = None) -> Router:
    for each in peers:
        await each.start()
    return await Router(configuration, *peers, budget=budget).start()


def test_where_revocation_is_closed_a_router_out_of_touch_takes_no_key() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document(), peer)
        dispatcher = router.dispatcher
        router.fleet.fresh_at = dispatcher.clock() - 60.0
        assert (await router.ask())[0] == 200  # not closed: it serves on what it knows
        dispatcher.bounds = replace(dispatcher.bounds, revocation_closed=True, revocation_ms=5000)
        assert (await router.ask())[0] == 503
        router.fleet.fresh_at = dispatcher.clock() - 3.0
        assert (await router.ask())[0] == 200
        assert len(peer.heads) == 2

    within(work())


def test_request_and_answer_go_through_unchanged_and_the_connection_is_kept() -> None:
    async def work() -> None:
        peer = Peer("e1", answer(201, b"body", X_More="1"))
        router = await made(document(), peer)
        for _ in range(2):
            status, headers, body = await router.ask(body=b"asked", X_Own="2", Remaining_Milliseconds="900")
            assert (status, body) == (201, b"body")
            assert headers["server-seal"] == "seal-e1" and headers["x-more"] == "1"
            assert headers["attempt-id"] == "id-1"
        head = peer.heads[1]
        assert head[":first"] == "POST /a/b?c=1 HTTP/1.1" and peer.bodies == [b"asked"] * 2
        assert head["host"] == "h.example" and head["x-own"] == "2" and head["expected-instance"] == "e1"
        assert 0 < int(head["remaining-milliseconds"]) < 900  # what was held and the margin are off
        assert peer.connections == 1

    within(work())


def test_the_route_bounds_the_time_where_the_client_tells_none() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document(TimeoutMs=700), peer)
        await router.ask()
        await router.ask(Remaining_Milliseconds="90000")
        assert all(600 < int(head["remaining-milliseconds"]) < 700 for head in peer.heads)

    within(work())


def test_nothing_known_no_route_no_key() -> None:
    async def work() -> None:
        status, headers, _ = await (await made(None)).ask()
        assert status == 503 and 0 < float(headers["retry-after"]) < 1
        peer = Peer("e1", answer())
        router = await made(document() | {"Tenants": TENANTS}, peer)
        assert (await router.ask("/other/"))[0] == 404
        assert (await router.ask())[0] == 401
        assert (await router.ask(X_Api_Key="wrong", Tenant_Name="plain"))[0] == 401
        assert not peer.heads
        router.fleet.fresh = False  # it may be the router that is behind
        assert (await router.ask())[0] == 503

    within(work())


def test_the_tenant_is_set_by_us_alone() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document() | {"Tenants": TENANTS}, peer)
        smuggled = {"Tenant_Name": "walled", "Cache_Salt": "x", "Kv_Fetch": "1.1.1.1:1", "Priority": "9"}
        assert (await router.ask(X_Api_Key="key-p", **smuggled))[0] == 200
        head = peer.heads[0]
        assert head["tenant-name"] == "plain"
        assert not {"x-api-key", "cache-salt", "kv-fetch", "priority"} & head.keys()
        router.fleet.table = RouteTable(document(PublicAccess=True) | {"Tenants": TENANTS})
        assert (await router.ask(**smuggled))[0] == 200
        assert "tenant-name" not in peer.heads[1]

    within(work())


def test_what_surely_has_not_run_is_sent_to_another_endpoint_even_if_it_may_run_once() -> None:
    async def work() -> None:
        peers = [Peer(f"e{n}", FULL, answer()) for n in range(2)]
        peers[0].acts, peers[1].acts = [FULL], [FULL]
        router = await made(document(Kind="non_idempotent"), *peers)
        status, headers, _ = await router.ask()
        assert status == 503 and 0.2 <= float(headers["retry-after"]) <= 1
        assert [len(each.heads) for each in peers] == [1, 1]  # each one endpoint once
        good = await Peer("good", answer()).start()
        router = await made(document(Kind="non_idempotent"), await Peer("bad", FULL).start())
        router.fleet.take_roster([*router.fleet.roster, good.entry(zone="far")])
        assert (await router.ask())[0] == 200
        assert len(good.heads) == 1

    within(work())


@pytest.mark.parametrize(
    "act",
    [
        reset,
        answer(seal=False),
        answer(Attempt_Id="another"),
        answer(Content_Encoding="gzip"),
        answer(503),
        answer(429, seal=False),
        answer(421, Attempt_Id="another"),
        answer(408),
        stream(ends=False),
    ],
)
def test_what_may_have_run_is_neither_repeated_nor_promised(act: Act) -> None:
    async def work() -> None:
        peers = [Peer(f"e{n}", act) for n in range(2)]
        router = await made(document(Kind="non_idempotent"), *peers)
        status, headers, _ = await router.ask()
        assert status == 502 and "retry-after" not in headers
        assert sum(len(each.heads) for each in peers) == 1

    within(work())


def test_an_idempotent_request_is_repeated_and_a_surplus_answer_ends_its_connection() -> None:
    async def work() -> None:
        peers = [Peer(f"e{n}", answer(Attempt_Id="another"), answer()) for n in range(2)]
        router = await made(document(), *peers)
        assert (await router.ask())[0] == 502  # both spoilt
        assert (await router.ask())[0] == 200
        assert sum(each.connections for each in peers) == 3
        router = await made(document(), *(Peer(f"f{n}", reset) for n in range(3)))
        assert (await router.ask())[0] == 502
        assert router.counters.get("send-broken") == 3

    within(work())


def test_attempt_limit_and_budget_bound_the_sends() -> None:
    async def work() -> None:
        peers = [Peer(f"e{n}", FULL) for n in range(4)]
        router = await made(document(AttemptLimit=2), *peers)
        assert (await router.ask())[0] == 503
        assert sum(len(each.heads) for each in peers) == 2
        peers = [Peer(f"f{n}", FULL) for n in range(4)]
        router = await made(document(), *peers, budget=Allowing(0))
        assert (await router.ask())[0] == 503
        assert sum(len(each.heads) for each in peers) == 1
        assert router.counters.get("request-over-budget") == 1
        peers = [Peer(f"g{n}", reset) for n in range(4)]
        router = await made(document(), *peers, budget=Allowing(0))
        assert (await router.ask())[0] == 502

    within(work())


def test_a_failed_connection_is_no_send() -> None:
    async def work() -> None:
        peers = [await Peer(f"e{n}", answer()).start() for n in range(2)]
        peers[0].server.close()
        await peers[0].server.wait_closed()
        router = await Router(document(AttemptLimit=1), *peers, budget=Allowing(0)).start()
        for _ in range(4):
            assert (await router.ask())[0] == 200
        assert len(peers[1].heads) == 4

    within(work())


def test_another_incarnation_is_not_asked_again() -> None:
    async def work() -> None:
        stale = Peer("old", answer(421, b"", seal=False, Instance_Id="new"))
        router = await made(document(Kind="non_idempotent"), stale)
        assert [(await router.ask())[0] for _ in range(3)] == [503] * 3
        assert len(stale.heads) == 1 and router.counters.get("stale-endpoint") == 1
        assert router.dispatcher.outcomes.breakers["old"].failures == 0
        router.fleet.take_roster([stale.entry(id="new")])
        stale.acts = [answer()]
        assert (await router.ask())[0] == 200

    within(work())


def test_draining_and_moving_endpoints_get_nothing_new() -> None:
    async def work() -> None:
        peers = [Peer(f"e{n}", answer()) for n in range(3)]
        router = await made(document(), *peers)
        for _ in range(3):
            await router.ask()
        before = [len(each.heads) for each in peers]
        router.fleet.take_marks({"e1": {"moving": True}})
        router.fleet.take_roster([peers[0].entry(draining=True), peers[1].entry(), peers[2].entry()])
        assert [(await router.ask())[0] for _ in range(4)] == [200] * 4
        assert [len(each.heads) for each in peers] == [before[0], before[1], before[2] + 4]

    within(work())


def test_salt_version_store_and_priority_go_together() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document() | {"Tenants": TENANTS}, peer)
        router.fleet.table.services["st"] = RouteTable({"Version": 1, "Services": [STORE]}).services["st"]
        router.fleet.state = State(versions={"m": 4}, wall=7)
        router.fleet.take_roster([peer.entry(models={"m": 4})])
        await router.ask(X_Api_Key="key-p", **MODEL)
        await router.ask(X_Api_Key="key-w", **MODEL)
        router.fleet.take_roster([peer.entry(models={"m": 5})])
        await router.ask(X_Api_Key="key-p", **MODEL)
        told = [(h["cache-salt"], h["expect-version"], h["priority"]) for h in peer.heads]
        assert told == [("v4w7", "4", "3"), ("v4t:walled", "4", "0"), ("v5w7", "5", "3")]
        # Parts that are read faster than moved are neither fetched nor saved.
        assert not any({"kv-fetch", "kv-save"} & head.keys() for head in peer.heads)
        await router.ask(X_Api_Key="key-p", **LONG)
        assert peer.heads[-1]["kv-fetch"] == peer.heads[-1]["kv-save"] == "172.20.0.2:8080"
        # On its way to the store already: not sent there twice.
        await router.ask(X_Api_Key="key-p", **LONG)
        assert "kv-save" not in peer.heads[-1]
        router.fleet.take_roster([peer.entry(models={})])
        router.fleet.state = State()
        await router.ask(X_Api_Key="key-p", **LONG)
        await router.ask(X_Api_Key="key-p", **LONG)
        unknown = peer.heads[-2:]
        assert unknown[0]["cache-salt"] != unknown[1]["cache-salt"]
        assert not any({"expect-version", "kv-fetch", "kv-save"} & head.keys() for head in unknown)

    within(work())


def test_older_weights_are_as_good_as_newer_ones_but_only_for_a_while() -> None:
    """While endpoints are being moved, those not yet moved have all their parts: they carry their share."""

    async def work() -> None:
        old, new = Peer("old", answer()), Peer("new", answer())
        router = await made(document(), old, new)
        now = 100.0
        router.dispatcher.clock = lambda: now + asyncio.get_running_loop().time()
        router.dispatcher.versions.look(0.0)
        router.fleet.state = State(versions={"m": 2})
        router.fleet.tell("configuration")
        router.fleet.take_roster([old.entry(), new.entry(models={"m": 2})])
        late = {"Remaining_Milliseconds": "900000"}
        router.fleet.table = RouteTable(document(TimeoutMs=900_000))
        router.fleet.take_roster([old.entry()])
        assert (await router.ask(**MODEL, **late))[0] == 200
        router.fleet.take_roster([old.entry(), new.entry(models={"m": 2})])
        for _ in range(3):  # to where a connection is kept: newer weights don't go before that
            assert (await router.ask(**MODEL, **late))[0] == 200
        assert (len(old.heads), len(new.heads)) == (4, 0)
        assert {head["expect-version"] for head in old.heads} == {"1"}
        assert all(head["cache-salt"].startswith("v1w") for head in old.heads)
        before = len(old.heads), len(new.heads)
        now += 8.0
        for _ in range(10):
            assert (await router.ask(**MODEL, **late))[0] == 200
        assert (len(old.heads), len(new.heads)) == (before[0], before[1] + 10)
        assert {head["expect-version"] for head in new.heads} == {"2"}
        router.fleet.take_roster([old.entry()])
        assert (await router.ask(**MODEL, **late))[0] == 503
        assert len(old.heads) == before[0]

    within(work())


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


def test_connections_to_an_endpoint_are_bounded_by_the_share_of_its_limit() -> None:
    async def work() -> None:
        never = asyncio.Event()
        peer = Peer("e1", stream(b"data: 1\n\n", never))
        router = await made(document(Kind="streaming"), peer)
        router.fleet.routers = 45  # 90 / 45 = 2
        readers = [await router.open() for _ in range(2)]
        begun = [await each.readuntil(b"data: 1") for each in readers]
        third = await router.open()
        assert parsed(await third.read())[0] == 503
        never.set()
        for came, each in zip(begun, readers, strict=True):
            assert unchunked(parsed(came + await each.read())[2]) == (b"data: 1\n\n", True)
        assert peer.connections == 2

    within(work())


def test_an_open_breaker_refuses_at_once_with_a_time_to_come_back() -> None:
    async def work() -> None:
        peer = Peer("e1", reset)
        router = await made(document(Kind="non_idempotent", AttemptLimit=1), peer)
        assert [(await router.ask())[0] for _ in range(3)] == [502] * 3
        status, headers, _ = await router.ask()
        assert status == 503 and float(headers["retry-after"]) == 1.0 and len(peer.heads) == 3

    within(work())


def test_an_exchange_whose_client_has_gone_already_is_not_sent() -> None:
    async def work() -> None:
        peer = Peer("e1", answer())
        router = await made(document(), peer)
        seen = asyncio.Event()

        def gone_at_once(exchange: Exchange) -> None:
            exchange.client_gone()
            router.dispatcher.handle(exchange)
            seen.set()

        router.server.handler = gone_at_once
        await router.open()
        await seen.wait()
        await router.dispatcher.drained()
        assert not peer.heads

    within(work())
