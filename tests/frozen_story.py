"""A day of a small system: the bytes that go over its wires, and what then lies on its disks.

Three registrars and two routers run in a virtual network (`frozen_cluster`) with stand-ins for the platform,
the endpoints and a cache store. The programs come from the adapter; nothing of their code is named here.
"""

import asyncio
import hashlib
import json
import struct
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import frozen_cluster
import ormsgpack
from frozen_cluster import Cluster, Stream, whole_message

Program = Callable[[], Coroutine[Any, Any, None]]
CORES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ROUTERS = ("10.0.1.1", "10.0.1.2")
OPERATOR, ANYBODY = "10.0.98.1", "10.0.99.99"
ZONES = {"10.0.0.1": "z1", "10.0.0.2": "z2", "10.0.0.3": "z1", "10.0.1.1": "z1", "10.0.1.2": "z2"}
ENDPOINTS = ("10.0.2.1", "10.0.2.2", "10.0.2.3")  # the last one is dead
BALLOTS = ("ask", "grant", "refuse", "release", "withdraw")
PLATFORM, STORE = ("10.0.9.1", 80), ("10.0.3.1", 9500)
INTERNAL, CONTROL, FRONT, READINESS, SERVING = 7000, 8000, 8001, 8002, 9000
BIG = 2500  # tenants of a configuration whose frames are sent in parts
SHORT = 1500  # bytes of an example that is kept whole
MANY = 600  # changes, more than a registrar keeps for those that follow


class Message(NamedTuple):
    """A message between two programs: its bytes as one frame's body, not compressed and in one part."""

    at: float  # s, virtual
    sender: str
    receiver: str
    body: bytes

    @property
    def value(self) -> list[Any]:
        return ormsgpack.unpackb(self.body)

    @property
    def kind(self) -> str:
        return kind_of(self.value)


def kind_of(value: list[Any]) -> str:
    """The kind of a message or record, with that of what it carries."""
    match value:
        case ["ballot", str(inner), str(), int(), int(), *_] if inner in BALLOTS:
            return f"{value[0]} {inner}"
        case ["topic", inner, *_] | ["ask", _, [inner, *_]] | ["news", _, [[inner, *_], *_]]:
            return f"{value[0]} {inner}"
        case ["entry", _, [inner, *_], *_] | ["chain-entry", _, _, [inner, *_]]:
            return f"{value[0]} {inner}"
        case ["answer", _, code, _, result]:
            inner = code or ("nothing" if result is None else "taken" if "taken" in result else "state")
            return f"{value[0]} {inner}"
    return value[0]


class Call(NamedTuple):
    """A call over HTTP. `at`: when its connection was first used."""

    at: float
    caller: str
    callee: str
    request: bytes
    answer: bytes


@dataclass
class Told:
    """What a run left."""

    messages: list[Message] = field(default_factory=list)
    frames: list[bytes] = field(default_factory=list)  # as they were on the wire, in parts and compressed
    calls: list[Call] = field(default_factory=list)
    disks: dict[str, bytes] = field(default_factory=dict)  # by machine and time


# What lies around the system.


def answered(status: str, body: bytes = b"", *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 " + status.encode(), *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def as_json(value: Any) -> bytes:  # noqa: ANN401
    return answered("200 OK", json.dumps(value).encode(), b"Content-Type: application/json")


def platform(head: bytes, _: bytes) -> bytes:
    """The list in two pages."""
    entries = [
        {
            "Identifier": f"e{number}",
            "Service": "s",
            "Address": f"{host}:{SERVING}",
            "Zone": f"z{number % 2 + 1}",
            "CapacitySlots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Models": [{"Name": "m", "Version": 1}],
        }
        for number, host in enumerate(ENDPOINTS, 1)
    ]
    if b"PageToken" in head:
        return as_json({"Instances": entries[2:]})
    return as_json({"Instances": entries[:2], "NextToken": "p/2"})


class Endpoint:
    """Serves requests and moves to the version that it is ordered to."""

    def __init__(self, name: str) -> None:
        self.name, self.version, self.sequence = name, 1, 0

    def answer(self, head: bytes, body: bytes) -> bytes | None:
        if head.startswith(b"GET /report "):
            models = [{"Name": "m", "Version": self.version}]
            return as_json({"Models": models, "Busy": False, "CallSequence": self.sequence})
        if head.startswith(b"POST /order "):
            self.version, self.sequence = json.loads(body)["Version"], self.sequence + 1
            return answered("202 Accepted")
        if b"/silent " in head:
            return None
        asked = next(each for each in head.split(b"\r\n") if each.lower().startswith(b"attempt-id:"))
        if b"/full " in head:
            lines = [b"Attempt-Id:" + asked.partition(b":")[2], b"Not-Executed: 1", b"Retry-After: 0.2"]
            return answered("503 Service Unavailable", b"", *lines)
        seal = b"Server-Seal: " + self.name.encode()
        return answered("200 OK", b"done", b"Attempt-Id:" + asked.partition(b":")[2], seal)


class Store:
    """Tells of a part that it keeps, once."""

    def answer(self, head: bytes, _: bytes) -> bytes:
        events = [[1, "+", "v1w0", "part", 5000, "m"]] if b"Since=0" in head else []
        return as_json({"Epoch": 7, "NextToken": 1, "Lost": False, "Events": events})


def settings_text(host: str, folder: Path) -> str:
    role = "core" if host in CORES else "edge"
    listen = (
        f'ControlPlane = "{host}:{CONTROL}"'
        if role == "core"
        else f'FrontHttp = "{host}:{FRONT}"\nReadiness = "{host}:{READINESS}"'
    )
    disk = f'DataDirectory = "{folder / host}"\n' if role == "core" else ""
    seeds = ", ".join(f'"{each}:{CONTROL}"' for each in CORES)
    return f"""NodeName = "{role}-{host[-1]}"
IpAddress = "{host}"
InternalPortRange = [{INTERNAL}, {INTERNAL + 15}]
Zone = "{ZONES[host]}"
FirstStart = true
HeartbeatIntervalMs = 1200
SeedAddresses = [{seeds}]
{disk}[ListenAddresses]
{listen}
[FaultTolerance]
MachineLosses = 1
[Bounds]
GracePeriodS = 8
[CloudApi]
Address = "{PLATFORM[0]}:{PLATFORM[1]}"
RatePerS = 50
"""


def document(version: int, tenants: int = 1) -> dict[str, Any]:
    names = [hashlib.sha256(str(number).encode()).hexdigest() for number in range(tenants)]
    route = {"Host": "h.example", "TimeoutMs": 5000, "TargetLatencyMs": 400, "Service": "s"}
    return {
        "Version": version,
        "Routes": [
            {"Name": "chat", "PathPrefix": "/chat/", "Kind": "idempotent", "AttemptLimit": 3, **route},
            {"Name": "free", "PathPrefix": "/free/", "Kind": "non_idempotent", "PublicAccess": True, **route},
        ],
        "Services": [
            {"Name": "s", "ConnectionLimit": 100, "Engine": {"CapacitySlots": 8, "Models": [{"Name": "m"}]}},
            {"Name": "store", "CacheStoreAddress": f"{STORE[0]}:{STORE[1]}", "Zone": "z1"},
        ],
        "Tenants": [
            {"Name": f"t-{name[:12]}", "ApiKeys": [name], "ReservedShare": 1 / 2 / tenants} for name in names
        ],
    }


KEY = hashlib.sha256(b"0").hexdigest()


def request(line: str, body: bytes = b"", **headers: object) -> bytes:
    lines = [f"{line} HTTP/1.1", "Host: h.example"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if body else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# The day.


class Day:
    def __init__(
        self,
        cluster: Cluster,
        folder: Path,
        registrar: Callable[[Path], Program],
        router: Callable[[Path], Program],
        operator: Callable[[list[tuple[str, int]], dict[str, Any]], Coroutine[Any, Any, None]],
    ) -> None:
        """`operator`: the program's own client reads, and puts a document on top of version 2."""
        self.cluster, self.folder = cluster, folder
        self.registrar, self.router, self.operator = registrar, router, operator
        self.told = Told()
        self.asked = 0
        self.scripted: set[str] = set()  # machines whose words are the story's own

    def begin(self, host: str) -> None:
        path = self.folder / f"{host}.toml"
        path.write_text(settings_text(host, self.folder))
        role = self.registrar if host in CORES else self.router
        self.cluster.start(host, role(path))

    def surround(self) -> None:
        self.cluster.stand_in(PLATFORM, platform)
        for number, host in enumerate(ENDPOINTS, 1):
            dead = host == ENDPOINTS[-1]
            self.cluster.stand_in((host, SERVING), None if dead else Endpoint(f"e{number}").answer)
        self.cluster.stand_in(STORE, Store().answer)

    def copy_disk(self, host: str, when: str) -> None:
        self.told.disks[f"{host} {when}"] = (self.folder / host / "state.log").read_bytes()

    def copy_disks(self, when: str) -> None:
        for host in CORES:
            self.copy_disk(host, when)

    async def operate(self, host: str, line: str, value: Any = None, **headers: object) -> bytes:  # noqa: ANN401
        """An operator's call at a registrar."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode() if value is not None else b""
        return await self.cluster.ask((host, CONTROL), request(line, body, **headers))

    async def replace(self, host: str, version: int, tenants: int = 1) -> None:
        line, based_on = "POST /Configuration.Replace", version - 1
        answer = await self.operate(host, line, document(version, tenants), Based_On_Version=based_on)
        assert b" 200 " in answer, answer

    async def use(self, host: str, path: str, **headers: object) -> bytes:
        """A client's request at a router."""
        self.asked += 1
        headers = {"Attempt_Id": f"{self.asked:016x}", "Remaining_Milliseconds": 4000} | headers
        return await self.cluster.ask((host, FRONT), request(f"POST {path}", b"a question", **headers))

    async def first_start(self) -> None:
        """A view is formed, leases are won, routers come."""
        self.surround()
        for host in (*CORES, *ROUTERS):
            self.begin(host)
            await asyncio.sleep(0.0137)
        await asyncio.sleep(4)

    async def operators(self) -> None:
        """Good calls, and one of each that is refused."""
        second, third = CORES[1:]
        amend = {"Version": 2, "Upserts": {"Tenants": [{"Name": "new"}]}, "Removals": {"Routes": ["gone"]}}
        await self.operate(second, "GET /Configuration.Read")
        await self.replace(second, 1)
        await self.operate(third, "POST /Configuration.Amend", amend, Based_On_Version=1)
        await self.operate(third, "POST /Configuration.Amend", amend, Based_On_Version=1)  # once more
        await self.operate(second, "GET /Configuration.Read")
        await self.operate(second, "POST /Configuration.Replace", document(9), Based_On_Version=0)
        await self.operate(second, "POST /Configuration.Replace", b"[]", Based_On_Version=2)
        await self.operate(second, "POST /Configuration.Replace", {"Version": 0}, Based_On_Version=2)
        await self.operate(second, "POST /Configuration.Amend", {"Version": 3, "Upserts": 5, "Removals": 5})
        wrong = {"Version": 3, "Upserts": 5, "Removals": 5, "Limits": 5}
        await self.operate(second, "POST /Configuration.Amend", wrong, Based_On_Version=2)
        await self.operate(second, "GET /nothing")
        await self.cluster.ask((second, CONTROL), b"no request\r\n\r\n")
        await self.operate(second, "GET /Configuration.Read", Long="x" * 100_000)
        frozen_cluster.HOST.set(OPERATOR)
        await self.operator([(third, CONTROL)], document(3))
        frozen_cluster.HOST.set(ANYBODY)
        await asyncio.sleep(2)

    async def clients(self) -> None:
        """Long and short prompts, and what is not admitted."""
        first, second = ROUTERS
        long = {"Model_Name": "m", "Prompt_Prefix": "p1:6000,p2:6000", "Token_Counts": "12000,80"}
        for _ in range(4):
            await self.use(first, "/chat/a", X_Api_Key=KEY, **long)
            await self.use(second, "/free/b", Model_Name="m", Token_Counts="20,10")
        await self.use(first, "/chat/silent", X_Api_Key=KEY, **long)
        await self.use(second, "/free/full", Model_Name="m", Token_Counts="20,10")
        await self.use(first, "/chat/a")  # without a key
        await self.use(second, "/elsewhere", X_Api_Key=KEY)
        await self.cluster.ask((first, READINESS), request("GET /readiness"))
        await self.operate(CORES[0], "POST /version-put", {"Model": "m", "Version": 2})
        await asyncio.sleep(6)

    async def cut_off_head(self) -> None:
        """The head takes a change that nobody else hears of; what it took is dropped when it is back."""
        self.cluster.cut_off(CORES[0])
        await asyncio.sleep(0)
        task = asyncio.ensure_future(self.change_on(CORES[0]))
        await asyncio.sleep(3)
        await self.replace(CORES[1], 4)
        self.cluster.heal(CORES[0])
        task.cancel()
        await asyncio.sleep(6)
        self.copy_disks("after the cut")
        self.cluster.kill(ROUTERS[1])

    async def change_on(self, host: str) -> None:
        frozen_cluster.HOST.set(host)
        await self.operate(host, "POST /Configuration.Replace", document(4, 2), Based_On_Version=3)

    async def lost_disk(self) -> None:
        """A registrar comes back with nothing, once others lack what it would need."""
        self.cluster.kill(CORES[2])
        (self.folder / CORES[2] / "state.log").unlink()
        await asyncio.sleep(5)
        for version in range(3, MANY + 3):
            await self.operate(CORES[0], "POST /version-put", {"Model": "m", "Version": version})
        await self.replace(CORES[0], 5, BIG)
        self.begin(CORES[2])
        self.begin(ROUTERS[1])
        await asyncio.sleep(8)

    async def rewritten_disk(self) -> None:
        """So many bytes were written that the file is made anew."""
        for version in range(6, 10):
            await self.replace(CORES[0], version, BIG)
        await self.replace(CORES[0], 10, 20)
        await asyncio.sleep(1)
        self.copy_disks("rewritten")

    async def good_end(self) -> None:
        """Each holder gives its leases back as it ends."""
        for host in (*CORES, ROUTERS[0]):
            await self.cluster.terminate(host)
            if host in CORES:
                self.begin(host)
                await asyncio.sleep(4)

    def tell(self) -> Told:
        for each in self.cluster.loop.streams:
            if each.address[1] == INTERNAL:
                note_frames(self.told, each, self.scripted)
            else:
                note_calls(self.told, each)
        self.told.messages.sort()
        self.told.calls.sort()
        return self.told


class Peer(asyncio.Protocol):
    """A registrar or router that says what the story has it say, in bytes as they were when it was written.

    `heard`: the bodies of the frames that came, hellos left out.
    """

    def __init__(self, cluster: Cluster, host: str, role: str) -> None:
        self.cluster, self.host = cluster, host
        fields = {"node": host, "role": role, "address": f"{host}:{INTERNAL}", "zone": "z"}
        self.hello = ["hello", "plumline", 2, fields]
        self.data, self.heard = bytearray(), list[list[Any]]()
        self.transport: Any = None
        cluster.loop.listeners[host, INTERNAL] = lambda: Ear(self)

    async def connect(self, host: str) -> None:
        frozen_cluster.HOST.set(self.host)
        self.transport, _ = await self.cluster.loop.create_connection(lambda: Ear(self), host, INTERNAL)

    def say(self, *message: Any) -> None:  # noqa: ANN401
        self.transport.write(framed(list(message)))

    async def hears(self, kind: str) -> list[Any]:
        """The newest message of that kind, waited for."""
        async with asyncio.timeout(5):
            while not (found := [each for each in self.heard if each[0] == kind]):
                await asyncio.sleep(0.01)
        self.heard.clear()
        return found[-1]


class Ear(asyncio.Protocol):
    """One connection of a peer, opened by either side."""

    def __init__(self, peer: Peer) -> None:
        self.peer, self.data = peer, b""

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        transport.write(framed(self.peer.hello))

    def data_received(self, data: bytes) -> None:
        self.data += data
        while len(self.data) >= 4 and len(self.data) >= 4 + (size := int.from_bytes(self.data[:4], "big")):
            message, self.data = ormsgpack.unpackb(self.data[4 : 4 + size]), self.data[4 + size :]
            if message[0] != "hello":
                self.peer.heard.append(message)

    def eof_received(self) -> bool:
        return False


def framed(message: list[Any]) -> bytes:
    body = ormsgpack.packb(message)
    return len(body).to_bytes(4, "big") + body


async def odd_hours(day: Day) -> Told:
    """What is seldom said, drawn out of one registrar by peers that follow a script.

    Its disk is written here by hand, by the layout as it was: the program has to open it.
    """
    one, other = CORES[:2]
    address, peer_address = f"{one}:{INTERNAL}", f"{other}:{INTERNAL}"
    head, tail = [address, "0123456789abcdef"], [peer_address, "fedcba9876543210"]
    state = {
        "configuration": document(3),
        "versions": {"m": 2},
        "wall": 1,
        "history": [2, [2], b"0123456789abcdef"],
        "departed": ["gone"],
    }
    day.surround()
    day.scripted = {other, ROUTERS[0]}
    for order in ([head, tail], [tail, head]):
        records = [["incarnation", head[1]], ["view", [4, order, order]], ["base", 9, state]]
        write_records(day.folder / one, [*records, ["caught-up", order[0] is head]])
        day.begin(one)
        peer = Peer(day.cluster, other, "registrar")
        await asyncio.sleep(0.1)
        await peer.connect(one)
        await peer.hears("ping")
        if order[0] is head:
            peer.say("chain-report", 4, 0, 0, False)
            await peer.hears("chain-floor")
            peer.say("chain-report", 4, 0, 0, False)
            await peer.hears("chain-behind")
            peer.say("chain-pull", 4, 0, "", 0)
            await peer.hears("chain-piece")
            peer.say("view-prepare", 5, [9, "x"])
            await peer.hears("view-promise")
            peer.say("view-prepare", 5, [8, "x"])
            await peer.hears("view-refused")
            successor = [5, [tail, head], [tail]]
            peer.say("view-accept", 5, [9, "x"], successor)
            await peer.hears("view-accepted")
            peer.say("view-prepare", 5, [10, "y"])
            await peer.hears("view-promise")
            peer.say("ask", "0011", ["read"])
            await peer.hears("answer")
            peer.say("view-ask")
            await peer.hears("view-decided")
            follower = Peer(day.cluster, ROUTERS[0], "router")
            await follower.connect(one)
            follower.say("hurry")
            await peer.hears("hurry")
        else:
            peer.say("chain-behind", 4)
            await peer.hears("chain-pull")
        day.copy_disk(one, f"with {order[0][0]} as head")
        day.cluster.kill(one)
    return day.tell()


async def whole_day(day: Day) -> Told:
    await day.first_start()
    day.copy_disks("formed")
    await day.operators()
    await day.clients()
    day.copy_disks("with a configuration")
    await day.cut_off_head()
    await day.lost_disk()
    await day.rewritten_disk()
    await day.good_end()
    return day.tell()


async def power_is_back(day: Day, disks: dict[str, bytes]) -> Told:
    """All registrars start from these disks, by machine, and an operator reads the configuration."""
    day.surround()
    for host, data in disks.items():
        (day.folder / host).mkdir()
        (day.folder / host / "state.log").write_bytes(data)
    for host in (*disks, ROUTERS[0]):
        day.begin(host)
        await asyncio.sleep(0.0137)
    await asyncio.sleep(6)
    await day.operate(CORES[1], "GET /Configuration.Read")
    await day.replace(CORES[0], 5)
    return day.tell()


# What the bytes are.


def role_of(host: str) -> str:
    return "registrar" if host in CORES else "router"


def note_frames(told: Told, stream: Stream, scripted: set[str]) -> None:
    callee, caller = stream.address[0], stream.opener
    for opener, sender, receiver in ((True, caller, callee), (False, callee, caller)):
        if sender in scripted:
            continue
        data, parts = b"", b""
        for at, written in stream.side(opener):
            data += written
            while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                frame, body, data = data[: 4 + size], data[4 : 4 + size], data[4 + size :]
                told.frames.append(frame)
                if ormsgpack.unpackb(body)[0] == "piece":
                    _, more, part = ormsgpack.unpackb(body)
                    parts += part
                    if more:
                        continue
                    body, parts = parts, b""
                if ormsgpack.unpackb(body)[0] == "packed":
                    body = zlib.decompress(ormsgpack.unpackb(body)[2])
                told.messages.append(Message(at, role_of(sender), role_of(receiver), body))


def note_calls(told: Told, stream: Stream) -> None:
    asked, answers = (b"".join(data for _, data in stream.side(opener)) for opener in (True, False))
    begun = stream.sent[0][1] if stream.sent else 0.0
    while (call := whole_message(asked)) is not None:
        answer = whole_message(answers) or (b"", b"")
        asked, answers = asked[sum(map(len, call)) :], answers[sum(map(len, answer)) :]
        caller, callee = caller_of(stream.opener), callee_of(stream.address)
        told.calls.append(Call(begun, caller, callee, b"".join(call), b"".join(answer)))


def caller_of(host: str) -> str:
    return {OPERATOR: "operator", ANYBODY: "anybody"}.get(host) or role_of(host)


def callee_of(address: tuple[str, int]) -> str:
    named = {PLATFORM: "platform", STORE: "store"}
    ports = {CONTROL: "registrar", FRONT: "router", READINESS: "router", SERVING: "endpoint"}
    return named.get(address) or ports[address[1]]


def shown(value: Any) -> Any:  # noqa: ANN401
    """A value for readers, in JSON."""
    if isinstance(value, bytes):
        return f"bytes {value.hex()}"
    if isinstance(value, dict):
        return {key: shown(each) for key, each in value.items()}
    return [shown(each) for each in value] if isinstance(value, list | tuple) else value


def forms(bodies: list[bytes]) -> dict[str, Any]:
    """Of messages or records of one kind: the types of their fields, and the bytes of a few of them.

    They are the first one, the first of each set of flags, the longest, and the one whose fields differ most:
    between them no two fields of a type can change places unseen.
    """
    types = {" ".join(type(each).__name__ for each in ormsgpack.unpackb(body)) for body in bodies}
    short = [each for each in bodies if len(each) <= SHORT] or bodies[:1]
    by_flags = {flags(each): each for each in reversed(short)}
    chosen = [bodies[0], max(short, key=len), max(short, key=differences), *reversed(by_flags.values())]
    return {"types": sorted(types), "examples": [example(each) for each in dict.fromkeys(chosen)]}


def flags(body: bytes) -> tuple[bool, ...]:
    return tuple(each for each in ormsgpack.unpackb(body) if isinstance(each, bool))


def differences(body: bytes) -> int:
    return len({repr(each) for each in ormsgpack.unpackb(body)})


def example(body: bytes) -> dict[str, Any]:
    value = ormsgpack.unpackb(body)
    if value[0] == "chain-piece":
        # What zlib makes of a state is its own matter: the state and its name are told instead.
        kind, view, number, digest, size, offset, data = value
        whole = (digest, size) == (hashlib.sha256(data).hexdigest(), len(data))
        state = ormsgpack.unpackb(zlib.decompress(data)) if whole else "a part"
        return {
            "value": [kind, view, number, whole or [type(digest).__name__, size > 0], offset, shown(state)]
        }
    if len(body) > SHORT:
        return {"bytes": len(body), "sha256": hashlib.sha256(body).hexdigest()}
    return {"value": shown(value), "hex": body.hex()}


HEADER, RECORD, MARKER = struct.Struct("<6sHIQI"), struct.Struct("<I4sIQII"), b"\xa5Rc\x1e"


def records_in(data: bytes) -> list[bytes]:
    """The packed records of a registrar's file, read by the layout as it was when this was written."""
    magic, version, salt, synced, check = HEADER.unpack_from(data)
    assert (magic, version, check) == (b"PLSTOR", 1, zlib.crc32(data[: HEADER.size - 4]))
    assert HEADER.size <= synced <= len(data)
    at, found = HEADER.size, []
    while at < len(data):
        size, marker, check, sequence, index, count = RECORD.unpack_from(data, at)
        end = at + RECORD.size + size
        assert (marker, sequence) == (MARKER, len(found)) and index < count
        assert check == zlib.crc32(data[at + 12 : end], salt)
        found.append(data[at + RECORD.size : end])
        at = end
    return found


def write_records(folder: Path, records: list[list[Any]]) -> None:
    """The same layout, written."""
    salt, data = 0x1234ABCD, b""
    for sequence, record in enumerate(records):
        value = ormsgpack.packb(record)
        place = struct.pack("<QII", sequence, 0, 1)
        data += struct.pack("<I4sI", len(value), MARKER, zlib.crc32(place + value, salt)) + place + value
    head = struct.pack("<6sHIQ", b"PLSTOR", 1, salt, HEADER.size + len(data))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "state.log").write_bytes(head + struct.pack("<I", zlib.crc32(head)) + data)
