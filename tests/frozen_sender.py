"""The sender's process as its machine sees it: its journal, what it hands over and takes over, its calls.

The process runs on loopback sockets beside a receiver and a platform that the tests play. Its journal and the
frames of a handover are read and written here by the layout as it was when they were recorded.

Times in fixtures are written as {"us from now": N} where they are the wall clock's, and as {"s from now": N}
where they are the machine's steady clock's.
"""

import array
import asyncio
import fcntl
import json
import os
import re
import signal
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

from peers import Peer, Platform, Reply, Request, ask, config_json, host, message, soon

ROOT = Path(__file__).parent.parent
FRAME = struct.Struct("!I?")
HOUR, MINUTE = 3_600_000_000, 100  # us, s
DEADLINE = 60_000_000  # us: no test takes so long
LATENCY_TARGET = DEADLINE  # us: a call is overdue, and may be called off, after a quarter of it or more
PATIENT = {"connect_timeout": DEADLINE, "conn_idle": DEADLINE}  # us: limits that a busy machine would reach
ESTABLISHED, CLOSE_WAIT, LISTEN = "01", "08", "0A"  # states in /proc/net/tcp
RUNNING = re.compile(rb"ready on (\S+):(\d+)")


class Instant(NamedTuple):
    """One moment on both clocks: us of the wall clock, s of the steady one."""

    wall: int
    steady: float


def now() -> Instant:
    return Instant(time.time_ns() // 1000, time.monotonic())


def relative(value: Any, base: Instant, names: dict[Any, str] | None = None) -> Any:  # noqa: ANN401
    """Times near `base` as distances from it, and `names` in place of what they name."""
    names = names or {}
    if isinstance(value, dict):
        return {key: relative(each, base, names) for key, each in value.items()}
    if isinstance(value, list):
        place = tuple(value) if all(isinstance(each, str | int) for each in value) else None
        return names[place] if place in names else [relative(each, base, names) for each in value]
    if type(value) in (int, float) and abs(value - base.wall) < HOUR:
        return {"us from now": value - base.wall}
    if type(value) is float and abs(value - base.steady) < MINUTE:
        return {"s from now": round(value - base.steady, 6)}
    return names.get(value, value) if isinstance(value, str) else value


def absolute(value: Any, base: Instant, names: dict[str, Any] | None = None) -> Any:  # noqa: ANN401
    """The other way round."""
    names = names or {}
    if isinstance(value, dict):
        if value.keys() == {"us from now"}:
            return base.wall + value["us from now"]
        if value.keys() == {"s from now"}:
            return base.steady + value["s from now"]
        return {key: absolute(each, base, names) for key, each in value.items()}
    if isinstance(value, list):
        return [absolute(each, base, names) for each in value]
    return names.get(value, value) if isinstance(value, str) else value


class Machine(AsyncExitStack):
    """A folder, a receiver, a platform, and the sender's process while it runs."""

    def __init__(self, program: str, folder: Path) -> None:
        super().__init__()
        self.program, self.folder = program, folder
        self.state = folder / "state"
        self.process: asyncio.subprocess.Process | None = None
        self.address: Any = None
        self.log = b""

    async def __aenter__(self) -> "Machine":
        await super().__aenter__()
        self.state.mkdir()
        self.receiver = await self.enter_async_context(Peer())
        self.platform = await self.enter_async_context(Platform())
        self.push_async_callback(self.kill)
        return self

    async def start(self) -> None:
        gone = host("127.0.0.1:9", "d", block=9, health="draining")
        kind = {"aim": LATENCY_TARGET, "deadline": DEADLINE, "serial_by_key": True}
        told = config_json(self.platform, host(self.receiver.dial), gone, **kind)
        told["settings"]["limits"] = told["settings"]["limits"] | PATIENT
        config = self.folder / "config.json"
        config.write_text(json.dumps(told))
        names = {"BALANCER_CONFIG": config, "BALANCER_STATE": self.state}
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", self.program),
            cwd=ROOT,
            env=os.environ | {name: str(path) for name, path in names.items()},
            stderr=asyncio.subprocess.PIPE,
        )

    async def ready(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while not (found := RUNNING.search(line := await soon(self.process.stderr.readline()))):
            self.log += line
            assert line, self.log.decode()
        self.address = found[1].decode(), int(found[2])

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def hand_in(self, name: str, body: bytes = b"x", **headers: str) -> Reply:
        return await ask(self.address, handed_in(name, body, **headers))

    async def next(self) -> Request:
        return await self.receiver.next()

    async def has_read_all(self, clients: int) -> None:
        """Waits until that many clients are connected and the process has read all that they sent."""
        settled = [(LISTEN, 0)] + [(ESTABLISHED, 0)] * clients
        while sorted(client_sockets(self.address), reverse=True) != settled:
            await asyncio.sleep(0.01)

    def journal(self, base: Instant | None = None) -> list[Any]:
        """The lines of the file as they are, with the fields in their order."""
        base = base or now()
        return [
            relative(json.loads(each), base) for each in (self.state / "journal").read_bytes().splitlines()
        ]

    def write_journal(self, lines: list[Any], base: Instant) -> None:
        text = [json.dumps(absolute(each, base), separators=(",", ":")) + "\n" for each in lines]
        (self.state / "journal").write_text("".join(text))

    def names(self) -> dict[Any, str]:
        """What stands for the addresses of this run."""
        receiver, platform = self.receiver.address, self.platform.address
        return {
            tuple(receiver): "<receiver>",
            tuple(platform): "<platform>",
            self.receiver.dial: "<receiver dial>",
        }

    # The two sides of a handover.

    def door(self) -> bytes:
        found = os.stat(self.state)
        return f"\0elmglade-{found.st_dev}-{found.st_ino}".encode()

    async def take_over(self) -> "Heard":
        """Asks the process as its successor would."""
        return await asyncio.to_thread(self.take_over_now)

    def take_over_now(self) -> "Heard":
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(10)
            sock.connect(self.door())
            sock.sendall(b"hand over, please\n")
            heard = Heard()
            while not any("done" in frame for frame in heard.frames):
                heard.take(*receive_frame(sock))
            return heard

    async def hand_over(self, frames: list[tuple[Any, int | None]]) -> None:
        """Is the process before, for one that has begun to ask."""
        lock = os.open(self.state, os.O_RDONLY | os.O_DIRECTORY)
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.bind(self.door())
        listener.listen(2)
        listener.settimeout(10)
        self.callback(listener.close)

        def serve() -> socket.socket:
            sock, _ = listener.accept()
            listener.close()  # the other one opens this door itself
            sock.settimeout(10)
            assert sock.recv(100) == b"hand over, please\n"
            for told, descriptor in [*frames, ({"lock": True}, lock), ({"done": True}, None)]:
                send_frame(sock, told, descriptor)
            os.close(lock)
            return sock  # its end would be this process's

        serving = asyncio.create_task(asyncio.to_thread(serve))
        await self.start()
        self.callback((await serving).close)
        await self.ready()


def handed_in(name: str, body: bytes = b"x", **headers: str) -> bytes:
    return message(name, body, **({"X_Time_Left": "60"} | headers))


def client_sockets(address: tuple[str, int]) -> list[tuple[str, int]]:
    """State and bytes not read of each open socket at a server's address; for a listener it is clients not
    accepted. Those that clients have ended are among them until the process closes them, and so are bytes
    that a client's system has not delivered."""
    host, port = address
    server = f"{int.from_bytes(socket.inet_aton(host), sys.byteorder):08X}:{port:04X}"
    found = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state, queues, *_ = line.split()
        undelivered, unread = (int(each, 16) for each in queues.split(":"))
        if local == server and state in (ESTABLISHED, CLOSE_WAIT, LISTEN):
            found.append((state, unread))
        elif remote == server and undelivered:
            found.append((state, undelivered))
    return found


def send_frame(sock: socket.socket, told: Any, descriptor: int | None) -> None:  # noqa: ANN401
    text = json.dumps(told).encode()
    head = FRAME.pack(len(text), descriptor is not None)
    if descriptor is not None:
        passed = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
        assert sock.sendmsg([head], passed) == len(head)
        head = b""
    sock.sendall(head + text)


def receive_frame(sock: socket.socket) -> tuple[Any, int | None]:
    head, descriptors, _, _ = socket.recv_fds(sock, FRAME.size, 1)
    while len(head) < FRAME.size:
        head += sock.recv(FRAME.size - len(head))
    size, has_descriptor = FRAME.unpack(head)
    text = b""
    while len(text) < size:
        text += sock.recv(size - len(text))
    assert has_descriptor == bool(descriptors)
    return json.loads(text), descriptors[0] if descriptors else None


class Heard:
    """What was handed over."""

    def __init__(self) -> None:
        self.frames: list[Any] = []

    def take(self, told: Any, descriptor: int | None) -> None:  # noqa: ANN401
        if descriptor is not None:
            os.close(descriptor)
        self.frames.append(told)


def typed(value: Any) -> Any:  # noqa: ANN401
    if isinstance(value, dict):
        return {key: typed(each) for key, each in value.items()}
    if isinstance(value, list):
        return [typed(each) for each in value]
    return "number" if type(value) in (int, float) else type(value).__name__


# What is played.


async def journal_of_a_life(machine: Machine) -> dict[str, Any]:
    """The journal of a process that was killed, and as the next one has made it anew."""
    await machine.start()
    await machine.ready()
    await machine.hand_in("m1", bytes(range(256)), X_Account="t", X_Session_Key="k", X_Repeat="1")
    (await machine.next()).answer(200)
    await machine.hand_in("m2", b"second")
    (await machine.next()).answer(503, "Retry-After: 30")
    while len(machine.journal()) < 7:
        await asyncio.sleep(0.02)
    await machine.kill()
    before = machine.journal()
    await machine.start()
    await machine.ready()
    return {"killed": before, "compacted": machine.journal()}


async def started_from_journal(machine: Machine, lines: list[Any]) -> dict[str, Any]:
    """A process that finds a recorded journal: what it makes of it, and the first request that it sends."""
    base = now()
    machine.write_journal(lines, base)
    await machine.start()
    await machine.ready()
    request = await machine.next()
    headers = {key: value for key, value in request.headers.items() if key != "host"}
    assert 20 < float(headers.pop("x-time-left")) < 50
    found = {"request": [request.method, request.target, headers, request.body.hex()]}
    request.answer(200)
    while machine.journal()[-1] != {"end": request.id}:
        await asyncio.sleep(0.02)
    journal = machine.journal(base)
    for each in journal:
        if each.get("sent") == request.id:
            del each["at"]
    return found | {"journal": journal, "dropped": machine.log.count(b"is dropped")}


async def handed_over_by(machine: Machine) -> list[Any]:
    """The frames of a sender with a call out, a held message, an idle connection and a client half read."""
    await machine.start()
    await machine.ready()
    await machine.hand_in("out")
    out = await machine.next()
    await machine.hand_in("done")
    (await machine.next()).answer(200)
    await machine.hand_in("full")
    (await machine.next()).answer(429, "Retry-After: 30")
    await machine.hand_in("held", X_Route_To="dest=9", X_Session_Key="k")
    while len(machine.journal()) < 10:
        await asyncio.sleep(0.02)
    await machine.has_read_all(clients=0)
    # Last, as a request that has not come in whole after 2.5 s is dropped with its connection.
    _, writer = await asyncio.open_connection(*machine.address)
    writer.write(handed_in("half", b"0123456789")[:-4])
    await machine.has_read_all(clients=1)
    heard = await machine.take_over()
    writer.close()
    out.break_off()
    base = now()
    return [relative(decoded(each), base, machine.names()) for each in heard.frames]


def steady_base() -> int:
    """ns, what the wall clock is ahead of the steady one."""
    return time.time_ns() - time.monotonic_ns()


def decoded(frame: Any) -> Any:  # noqa: ANN401
    """A frame with its journal's lines as their values, and without the clock's base."""
    if "state" in frame:
        assert abs(frame["state"]["clock"] - steady_base()) < 60e9
        return {"state": frame["state"] | {"clock": "<clock>"}}
    return {"lines": [json.loads(each) for each in frame["lines"]]} if "lines" in frame else frame


async def handed_over_to(machine: Machine, frames: list[Any]) -> dict[str, Any]:
    """A process that takes over what was recorded, with a call that is out and a client half read: how both
    go on, and what it hands over in its turn."""
    places = {
        name: list(place) if isinstance(place, tuple) else place for place, name in machine.names().items()
    }
    base, told = now(), list[tuple[Any, int | None]]()
    places["<clock>"] = steady_base()
    call = socket.create_connection(machine.receiver.address)
    call.sendall(handed_in("out"))
    request = await machine.next()
    clients = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(clients.getsockname())
    accepted, _ = clients.accept()
    idle = socket.create_connection(machine.receiver.address)
    descriptors = {"calls": call, "clients": accepted, "idle": idle, "listener": clients}
    for frame in frames:
        ((kind, what),) = frame.items()
        if kind == "lines":
            lines = [json.dumps(absolute(each, base, places), separators=(",", ":")) + "\n" for each in what]
            told.append(({"lines": lines}, None))
        elif kind in ("state", "calls", "clients", "idle", "listener"):
            sock = descriptors.get(kind)
            told.append((absolute(frame, base, places), sock.fileno() if sock else None))
    await machine.hand_over(told)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(client, b"6789")
    half = await soon(loop.sock_recv(client, 1000))
    heard = await machine.take_over()
    passed = [relative(decoded(each), base, machine.names()) for each in heard.frames]
    forget_new(passed)
    request.break_off()
    for each in (call, client, accepted, idle, clients):
        each.close()
    return {"half": half.decode(), "frames": passed}


def forget_new(frames: list[Any]) -> None:
    """Takes out what the client that went on has changed."""
    for frame in frames:
        if "state" in frame:
            for _, _, told in frame["state"]["module"]["breakers"]:
                for name in ("asked", "asked_span", "last_asked"):
                    assert told.pop(name)
        for line in frame.get("lines", ()):
            if "taken" in line and line["taken"]["id"] == "half":
                assert line["taken"].pop("until")
        if "clients" in frame:
            assert frame["clients"].pop("since")


def timeless(value: Any) -> Any:  # noqa: ANN401
    """Without the times themselves."""
    if isinstance(value, dict):
        if value.keys() in ({"us from now"}, {"s from now"}):
            return "a time"
        return {key: timeless(each) for key, each in value.items()}
    return [timeless(each) for each in value] if isinstance(value, list) else value


def run(scenario: Callable[[Machine], Awaitable[Any]], program: str, folder: Path) -> Any:  # noqa: ANN401
    """Plays a scenario on a machine of its own."""

    async def work() -> Any:  # noqa: ANN401
        async with Machine(program, folder) as machine:
            return await scenario(machine)

    return asyncio.run(asyncio.wait_for(work(), 60))
