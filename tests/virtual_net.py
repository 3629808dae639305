"""A loop whose time jumps to the next timer, and byte streams in memory between two protocols on it.

Nothing waits and no socket is opened: a run of many simulated seconds takes milliseconds, and the same seed
gives the same run.
"""

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

LATENCY = 0.001  # s from one end of a stream to the other
WINDOW = 2048  # bytes that the systems below hold for a reader that doesn't read

Address = tuple[str, int]
Accept = Callable[[], asyncio.BaseProtocol]


class NothingLeftError(Exception):
    """The loop waits for something that no timer will bring."""


class JumpingSelector(selectors.SelectSelector):
    """Never waits: the time that it is asked to wait for has passed."""

    passed: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise NothingLeftError
        if timeout > 0:
            self.passed(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """`listeners`: who accepts connections at an address; None there refuses, no entry is silent."""

    def __init__(self) -> None:
        selector = JumpingSelector()
        selector.passed = self.pass_time
        self.now = 1000.0
        self.listeners: dict[Address, Accept | None] = {}
        super().__init__(selector)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # noqa: ANN401
        await asyncio.sleep(LATENCY)
        if (host, port) not in self.listeners:
            await self.create_future()
        accept = self.listeners[host, port]
        if accept is None:
            raise ConnectionRefusedError
        protocol = factory()
        return connect(self, protocol, accept()), protocol


class MemoryTransport(asyncio.Transport):
    """One end of a stream. What is written comes at the other end in order, LATENCY later."""

    def __init__(self, loop: VirtualLoop, protocol: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.loop, self.protocol = loop, protocol
        self.other: MemoryTransport
        self.coming: deque[bytes | BaseException | None] = deque()  # None: the other side's end
        self.arrived: deque[bytes | BaseException | None] = deque()  # while reading is paused
        self.paused = self.closing = self.lost = self.said_end = False

    # For the protocol at this end.

    def write(self, data: Any) -> None:  # noqa: ANN401
        if not self.closing and data:
            self.pass_on(bytes(data))

    def write_eof(self) -> None:
        if not self.said_end:
            self.said_end = True
            self.pass_on(None)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if not self.closing:
            self.write_eof()
            self.lose(None)

    def abort(self) -> None:
        if not self.closing:
            self.pass_on(ConnectionResetError())
            self.lose(None)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        if self.paused:
            self.paused = False
            self.loop.call_soon(self.take_arrived)

    def get_write_buffer_size(self) -> int:
        unread = [*self.other.coming, *self.other.arrived]
        return max(sum(len(each) for each in unread if isinstance(each, bytes)) - WINDOW, 0)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        return default

    # Between the ends.

    def pass_on(self, what: bytes | BaseException | None) -> None:
        self.other.coming.append(what)
        self.loop.call_later(LATENCY, self.other.arrive)

    def arrive(self) -> None:
        self.arrived.append(self.coming.popleft())
        self.take_arrived()

    def take_arrived(self) -> None:
        while self.arrived:
            if self.paused and not isinstance(self.arrived[0], BaseException):
                return
            self.take(self.arrived.popleft())

    def take(self, what: bytes | BaseException | None) -> None:
        if self.lost or self.closing:
            if isinstance(what, bytes) and not self.other.closing:
                self.other.loop.call_later(LATENCY, self.other.lose, ConnectionResetError())
        elif isinstance(what, BaseException):
            self.lose(what)
        elif what is None:
            if not self.protocol.eof_received():
                self.close()
        elif isinstance(self.protocol, asyncio.BufferedProtocol):
            while what:
                room = memoryview(self.protocol.get_buffer(len(what)))
                size = min(len(room), len(what))
                room[:size] = what[:size]
                self.protocol.buffer_updated(size)
                what = what[size:]
        else:
            self.protocol.data_received(what)

    def lose(self, error: BaseException | None) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, error)


def connect(loop: VirtualLoop, here: Any, there: Any) -> MemoryTransport:  # noqa: ANN401
    """Joins two protocols; returns the transport of `here`."""
    ours, theirs = MemoryTransport(loop, here), MemoryTransport(loop, there)
    ours.other, theirs.other = theirs, ours
    here.connection_made(ours)
    there.connection_made(theirs)
    return ours


def run(work: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:  # noqa: ANN401
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work(loop))
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
