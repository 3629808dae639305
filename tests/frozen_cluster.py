"""Whole programs on one virtual network, and every byte that they send there.

Nothing of the programs is imported here: each is a coroutine that listens, connects and waits on the loop
that it runs in. Time is virtual, chance is fixed, and two runs give the same bytes. A machine can be cut off,
killed and told to stop.
"""

import asyncio
import contextvars
import random
import secrets
import signal
import socket
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

import virtual_net

HOST: contextvars.ContextVar[str] = contextvars.ContextVar("HOST", default="10.0.99.99")
Address = tuple[str, int]


def number_of(host: str) -> int:
    return int(host.replace(".", "")[2:])


def delay(host: str, other: str) -> float:
    """s from one machine to another. No two are the same: hardly anything happens at once."""
    return 0.001 + number_of(host) * 1.31e-7 + number_of(other) * 1.73e-7


class Stream:
    """One connection and what went over it: (by the opening side, time, bytes), in order."""

    def __init__(self, opener: str, address: Address) -> None:
        self.opener, self.address = opener, address
        self.sent: list[tuple[bool, float, bytes]] = []

    def side(self, opener: bool) -> list[tuple[float, bytes]]:
        """What that side wrote, and when."""
        return [(at, data) for from_opener, at, data in self.sent if from_opener is opener]


class Transport(virtual_net.MemoryTransport):
    """Notes what is written; over a cut nothing passes."""

    def __init__(self, loop: "Loop", protocol: Any) -> None:  # noqa: ANN401
        super().__init__(loop, protocol)
        self.stream, self.host, self.opener = loop.next_ends.pop(0)
        loop.transports.append(self)
        self.context = contextvars.copy_context()
        self.context.run(HOST.set, self.host)

    def transmit(self, what: bytes | BaseException | None) -> None:
        if isinstance(what, bytes):
            self.stream.sent.append((self.opener, self.loop.now, what))
        if not self.loop.is_cut(self.host, self.other.host):
            self.other.in_flight.append(what)
            seconds, other = delay(self.host, self.other.host), self.other
            self.loop.call_later(seconds, other.receive_next, context=other.context)


class Loop(virtual_net.VirtualLoop):
    def __init__(self) -> None:
        super().__init__()
        self.streams: list[Stream] = []
        self.transports: list[Transport] = []
        self.next_ends: list[tuple[Stream, str, bool]] = []
        self.cut: set[str] = set()
        self.signals: dict[tuple[str, int], Callable[[], None]] = {}
        self.tasks: list[tuple[str, asyncio.Task[Any]]] = []
        self.set_task_factory(self.new_task)
        self.readers: dict[int, Callable[[], None]] = {}

    def is_cut(self, one: str, other: str) -> bool:
        return one != other and bool({one, other} & self.cut)

    def new_task(self, _: Any, work: Any, **how: Any) -> asyncio.Task[Any]:  # noqa: ANN401
        task = asyncio.Task(work, loop=self, **how)
        self.tasks.append((HOST.get(), task))
        return task

    def join(self, here: Any, address: Address) -> Any:  # noqa: ANN401
        """Opens a connection; ConnectionRefusedError where nobody listens."""
        accept = self.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError
        stream = Stream(HOST.get(), address)
        self.streams.append(stream)
        self.next_ends += [(stream, HOST.get(), True), (stream, address[0], False)]
        return virtual_net.connect(self, here, accept())

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # noqa: ANN401
        await asyncio.sleep(2 * delay(HOST.get(), host))
        if self.is_cut(HOST.get(), host):
            await self.create_future()
        protocol = factory()
        return self.join(protocol, (host, port)), protocol

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **other: Any) -> Any:  # noqa: ANN401
        address = other["sock"].getsockname() if "sock" in other else (host, port)
        context = contextvars.copy_context()
        self.listeners[address] = lambda: context.copy().run(factory)
        return Listening(self, address)

    def add_signal_handler(self, number: int, callback: Any, *args: Any) -> None:  # noqa: ANN401
        self.signals[HOST.get(), number] = lambda: callback(*args)

    # Plain sockets.

    async def sock_connect(self, sock: Any, address: Address) -> None:  # noqa: ANN401
        if not isinstance(sock, Socket):
            return await super().sock_connect(sock, address)
        await asyncio.sleep(2 * delay(HOST.get(), address[0]))
        if self.is_cut(HOST.get(), address[0]):
            await self.create_future()
        sock.transport = self.join(sock, address)

    def add_reader(self, descriptor: Any, callback: Any, *args: Any) -> None:  # noqa: ANN401
        if descriptor not in Socket.by_number:
            return super().add_reader(descriptor, callback, *args)
        context = contextvars.copy_context()
        self.readers[descriptor] = lambda: self.call_soon(callback, *args, context=context)
        Socket.by_number[descriptor].wake()

    def remove_reader(self, descriptor: Any) -> bool:  # noqa: ANN401
        if descriptor not in Socket.by_number:
            return super().remove_reader(descriptor)
        return self.readers.pop(descriptor, None) is not None


class Listening:
    """What listens at an address."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop, self.address = loop, address

    def close(self) -> None:
        self.loop.listeners[self.address] = None


class PlainListener:
    """In place of a listening socket."""

    def __init__(self, address: Address, **_: object) -> None:
        self.address = address

    def getsockname(self) -> Address:
        return self.address

    def setblocking(self, blocking: bool) -> None:
        pass

    def accept(self) -> Any:  # noqa: ANN401
        raise BlockingIOError

    def close(self) -> None:
        pass


class Socket(asyncio.Protocol):
    """In place of a connecting socket: non-blocking reads and writes over a stream."""

    by_number: dict[int, "Socket"] = {}  # noqa: RUF012

    def __init__(self, *_: object, **__: object) -> None:
        self.number = 1_000_000 + len(self.by_number)
        self.by_number[self.number] = self
        self.loop: Any = asyncio.get_running_loop()
        self.data, self.ended = bytearray(), False
        self.transport: Any = None

    def fileno(self) -> int:
        return self.number

    def setblocking(self, blocking: bool) -> None:
        pass

    def setsockopt(self, *_: object) -> None:
        pass

    def send(self, data: Any) -> int:  # noqa: ANN401
        self.transport.write(data)
        return len(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self.data and not self.ended:
            raise BlockingIOError
        found = bytes(self.data[:size])
        if not flags:
            del self.data[:size]
        return found

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def wake(self) -> None:
        if (self.data or self.ended) and (callback := self.loop.readers.get(self.number)):
            callback()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.wake()

    def eof_received(self) -> bool:
        self.ended = True
        self.wake()
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        self.eof_received()


class Answering(asyncio.Protocol):
    """A stand-in's side of a connection: each whole request is answered at once by `answer(head, body)`."""

    def __init__(self, answer: Callable[[bytes, bytes], bytes | None]) -> None:
        self.answer, self.data = answer, bytearray()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (found := whole_message(bytes(self.data))) is not None:
            head, body = found
            del self.data[: len(head) + len(body)]
            if (answer := self.answer(head, body)) is not None:
                self.transport.write(answer)

    def eof_received(self) -> bool:
        return False


class Asking(asyncio.Protocol):
    """A client: what came of its request."""

    def __init__(self) -> None:
        self.data, self.whole = b"", asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        self.data += data
        if whole_message(self.data) is not None and not self.whole.done():
            self.whole.set_result(self.data)

    def connection_lost(self, error: BaseException | None) -> None:
        if not self.whole.done():
            self.whole.set_result(self.data)


def whole_message(data: bytes) -> tuple[bytes, bytes] | None:
    """Head and body of the first message in the data; None if it isn't all there."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None
    head += found
    lines = head.lower().split(b"\r\n")
    length = next((int(each[15:]) for each in lines if each.startswith(b"content-length:")), None)
    if length is None and b"transfer-encoding: chunked" in lines:
        end = rest.find(b"0\r\n\r\n")
        return (head, rest[: end + 5]) if end >= 0 else None
    return (head, rest[: length or 0]) if len(rest) >= (length or 0) else None


class Cluster:
    """Machines by address, each a program; and stand-ins for what surrounds them."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.programs: dict[str, asyncio.Task[None]] = {}

    def start(self, host: str, program: Callable[[], Coroutine[Any, Any, None]]) -> None:
        def begin() -> asyncio.Task[None]:
            HOST.set(host)
            return self.loop.create_task(program())

        self.programs[host] = contextvars.copy_context().run(begin)

    def kill(self, host: str) -> None:
        """The power of that machine fails."""
        del self.programs[host]
        for address in self.loop.listeners:
            if address[0] == host:
                self.loop.listeners[address] = None
        for each, task in self.loop.tasks:
            if each == host:
                task.cancel()
        self.loop.tasks = [each for each in self.loop.tasks if each[0] != host and not each[1].done()]
        self.break_off(host)

    def break_off(self, host: str) -> None:
        for each in self.loop.transports:
            if host in (each.host, each.other.host):
                each.abort()

    async def terminate(self, host: str) -> None:
        """SIGTERM, and the program's end."""
        self.loop.signals[host, signal.SIGTERM]()
        await self.programs[host]
        self.kill(host)  # what would end with the process

    def cut_off(self, host: str) -> None:
        self.loop.cut.add(host)

    def heal(self, host: str) -> None:
        """What was on its way is lost with its connections."""
        self.loop.cut.discard(host)
        self.break_off(host)

    def stand_in(self, address: Address, answer: Callable[[bytes, bytes], bytes | None] | None) -> None:
        """Answers each request at an address; None refuses connections."""
        self.loop.listeners[address] = (lambda: Answering(answer)) if answer else None

    async def ask(self, address: Address, request: bytes) -> bytes:
        """One request on a connection of its own; what came back."""
        asking = Asking()
        await self.loop.create_connection(lambda: asking, *address)
        transport = self.loop.transports[-2]
        transport.write(request)
        async with asyncio.timeout(20):
            answer = await asking.whole
        transport.close()
        return answer


@contextmanager
def fixed_chance() -> Iterator[None]:
    """What is drawn at random has a fixed value, or counts up where it must differ."""
    counts: Counter[tuple[str, int]] = Counter()

    def token_hex(size: int) -> str:
        key = (HOST.get(), size)
        counts[key] += 1
        host = int(HOST.get().rpartition(".")[2])
        return f"{host << 8 | counts[key]:0{2 * size}x}"[-2 * size :]

    class Seeded(random.Random):
        def __init__(self, seed: Any = 5) -> None:  # noqa: ANN401
            super().__init__(seed)

    with ExitStack() as stack:
        for owner, name, value in [
            (random, "Random", Seeded),
            (random, "random", lambda: 0.5),
            (random, "uniform", lambda low, high: (low + high) / 2),
            (random, "shuffle", lambda items: None),
            (secrets, "randbits", lambda bits: 1 << bits - 2),
            (secrets, "token_hex", token_hex),
            (socket, "socket", Socket),
            (socket, "create_server", PlainListener),
            (virtual_net, "MemoryTransport", Transport),
            (virtual_net, "VirtualLoop", Loop),
        ]:
            stack.enter_context(patch.object(owner, name, value))
        yield


def play(scenario: Callable[[Cluster], Coroutine[Any, Any, Any]]) -> Any:  # noqa: ANN401
    """Runs a scenario in virtual time."""
    # The loop's own sockets are real ones: it is made before they are replaced.
    loop = Loop()

    async def work(_: Any) -> Any:  # noqa: ANN401
        return await scenario(Cluster(loop))

    with fixed_chance(), patch.object(virtual_net, "VirtualLoop", lambda: loop):
        return virtual_net.run(work)
