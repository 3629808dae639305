"""An event loop with virtual time that advances to the next timer, and in-memory streams between protocols.

Nothing waits in real time and no socket is opened: many simulated seconds take milliseconds, and the same
seed gives the same run.
"""

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

LATENCY_S = 0.001  # one-way delay of a stream
KERNEL_BUFFER_BYTES = 2048  # simulated kernel buffers, filled while the reader doesn't read

Address = tuple[str, int]
Accept = Callable[[], asyncio.BaseProtocol]


class DeadlockError(Exception):
    """The loop would wait forever: no callback and no timer is left."""


class VirtualTimeSelector(selectors.SelectSelector):
    """Never waits; instead it advances the virtual time by the requested timeout."""

    on_wait: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise DeadlockError
        if timeout > 0:
            self.on_wait(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """`listeners` maps addresses to protocol factories; None refuses connections, no entry lets them hang."""

    def __init__(self) -> None:
        selector = VirtualTimeSelector()
        selector.on_wait = self.advance_time
        self.now = 1000.0
        self.listeners: dict[Address, Accept | None] = {}
        super().__init__(selector)

    def advance_time(self, seconds: float) -> None:
        self.now += seconds

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # noqa: ANN401
        await asyncio.sleep(LATENCY_S)
        if (host, port) not in self.listeners:
            await self.create_future()
        accept = self.listeners[host, port]
        if accept is None:
            raise ConnectionRefusedError
        protocol = factory()
        return connect(self, protocol, accept()), protocol


class MemoryTransport(asyncio.Transport):
    """One end of a stream. Written data arrives at the other end in order, after LATENCY_S."""

    def __init__(self, loop: VirtualLoop, protocol: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.loop, self.protocol = loop, protocol
        self.other: MemoryTransport
        self.in_flight: deque[bytes | BaseException | None] = deque()  # None: end of stream
        self.received: deque[bytes | BaseException | None] = deque()  # queued while reading is paused
        self.paused = self.closing = self.lost = self.eof_sent = False

    # The transport interface for the protocol at this end.

    def write(self, data: Any) -> None:  # noqa: ANN401
        if not self.closing and data:
            self.transmit(bytes(data))

    def write_eof(self) -> None:
        if not self.eof_sent:
            self.eof_sent = True
            self.transmit(None)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if not self.closing:
            self.write_eof()
            self.disconnect(None)

    def abort(self) -> None:
        if not self.closing:
            self.transmit(ConnectionResetError())
            self.disconnect(None)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        if self.paused:
            self.paused = False
            self.loop.call_soon(self.deliver_received)

    def get_write_buffer_size(self) -> int:
        unread = [*self.other.in_flight, *self.other.received]
        return max(sum(len(each) for each in unread if isinstance(each, bytes)) - KERNEL_BUFFER_BYTES, 0)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        return default

    # Transfer between the two ends.

    def transmit(self, item: bytes | BaseException | None) -> None:
        self.other.in_flight.append(item)
        self.loop.call_later(LATENCY_S, self.other.receive_next)

    def receive_next(self) -> None:
        self.received.append(self.in_flight.popleft())
        self.deliver_received()

    def deliver_received(self) -> None:
        while self.received:
            if self.paused and not isinstance(self.received[0], BaseException):
                return
            self.deliver(self.received.popleft())

    def deliver(self, item: bytes | BaseException | None) -> None:
        if self.lost or self.closing:
            if isinstance(item, bytes) and not self.other.closing:
                self.other.loop.call_later(LATENCY_S, self.other.disconnect, ConnectionResetError())
        elif isinstance(item, BaseException):
            self.disconnect(item)
        elif item is None:
            if not self.protocol.eof_received():
                self.close()
        elif isinstance(self.protocol, asyncio.BufferedProtocol):
            while item:
                target = memoryview(self.protocol.get_buffer(len(item)))
                size = min(len(target), len(item))
                target[:size] = item[:size]
                self.protocol.buffer_updated(size)
                item = item[size:]
        else:
            self.protocol.data_received(item)

    def disconnect(self, error: BaseException | None) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, error)


def connect(loop: VirtualLoop, here: Any, there: Any) -> MemoryTransport:  # noqa: ANN401
    """Connects two protocols; returns the transport of `here`."""
    transport, peer_transport = MemoryTransport(loop, here), MemoryTransport(loop, there)
    transport.other, peer_transport.other = peer_transport, transport
    here.connection_made(transport)
    there.connection_made(peer_transport)
    return transport


def run(work: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:  # noqa: ANN401
    """Runs a coroutine to completion in virtual time."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work(loop))
    finally:
        remaining = asyncio.all_tasks(loop)
        for task in remaining:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
