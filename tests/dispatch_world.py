"""Scripted endpoints on loopback and a router's request path in front of them, for tests."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.counters import Counters
from plumline.router.dispatch import Dispatcher
from plumline.routing.fleet import Fleet
from plumline.settings import Bounds, Settings
from plumline.wire.server import Server

Act = Callable[["ScriptedEndpoint", dict[str, str], asyncio.StreamWriter], Awaitable[None]]
LOCAL = "127.0.0.1"
MODEL = {"Model-Name": "m", "Token-Counts": "1000,20", "Prompt-Prefix": "aa:800,bb:150"}
LONG = MODEL | {"Token-Counts": "17000,20", "Prompt-Prefix": "aa:13300,bb:3700"}


def run_with_timeout(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await work

    asyncio.run(bounded())


class ScriptedEndpoint:
    """An endpoint that handles each request with the next act of its script; the last act is repeated."""

    def __init__(self, id: str, *acts: Act) -> None:
        self.id, self.acts = id, list(acts)
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()  # a router has closed a connection

    async def start(self) -> "ScriptedEndpoint":
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
    async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
        lines = {"Attempt-Id": head.get("attempt-id", ""), "Content-Length": str(len(body))}
        lines |= {"Server-Seal": f"seal-{peer.id}"} if seal else {}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)

    return act


REFUSAL = answer(503, b"", seal=False, Not_Executed="1")


async def reset(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def stream(*pieces: bytes | asyncio.Event, ends: bool = True) -> Act:
    """An event stream of these chunks, with waits for events in between; then its end or a close."""

    async def act(peer: ScriptedEndpoint, head: dict[str, str], writer: asyncio.StreamWriter) -> None:
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


class FixedBudget:
    """A retry budget of a fixed number of retries."""

    def __init__(self, retries: int = 99) -> None:
        self.retries, self.requests = retries, 0

    def record_request(self, now: float, service: str) -> None:
        self.requests += 1

    def try_spend(self, now: float, service: str, routers: int) -> bool:
        self.retries -= 1
        return self.retries >= 0


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
    """A dispatcher behind an HTTP server on loopback."""

    def __init__(
        self,
        configuration: dict[str, Any] | None,
        *peers: ScriptedEndpoint,
        budget: FixedBudget | None = None,
    ) -> None:
        self.fleet, self.counters = Fleet(), Counters()
        self.writers: list[asyncio.StreamWriter] = []  # kept, as a collected writer closes its connection
        self.fleet.fresh, self.fleet.configuration_age.confirmed_at = True, math.inf
        if configuration is not None:
            self.fleet.state = ReplicatedConfiguration()
            self.fleet.table = RouteTable(configuration)
        settings = Settings(
            "n", LOCAL, (1, 1), zone="z", bounds=Bounds(version_apply_ms=8000), first_start=True
        )
        self.fleet.set_roster([each.entry() for each in peers])
        self.dispatcher = Dispatcher(
            settings, self.fleet, self.counters, rng=random.Random(4), budget=budget or FixedBudget()
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
        return parse_answer(raw)


def parse_answer(raw: bytes) -> tuple[int, dict[str, str], bytes]:
    """Status (0: no answer), headers and the bytes after the head."""
    top, _, rest = raw.partition(b"\r\n\r\n")
    if not top:
        return 0, {}, b""
    first, *lines = top.decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return int(first.split()[1]), headers, rest


def decode_chunked(raw: bytes) -> tuple[bytes, bool]:
    """The body, and whether its last chunk arrived."""
    body = b""
    while raw:
        size, _, raw = raw.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body, raw = body + raw[: int(size, 16)], raw[int(size, 16) + 2 :]
    return body, False


async def start_router(
    configuration: dict[str, Any] | None, *peers: ScriptedEndpoint, budget: FixedBudget | None = None
) -> Router:
    for each in peers:
        await each.start()
    return await Router(configuration, *peers, budget=budget).start()
