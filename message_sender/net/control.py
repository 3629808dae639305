"""The operators' address: one call a line, one line a connection."""

import asyncio
import logging
import socket
from collections.abc import Callable

from plumline.wire.http import Address

BACKLOG = 128
LINE_LIMIT = 256  # bytes of a call
PATIENCE = 2.0  # s for a call to come in whole
LINGER = 0.5  # s for the caller to read its reply
RETRY = 0.2  # s between tries to listen

log = logging.getLogger(__name__)


class Caller(asyncio.Protocol):
    """One connection: reads a line, answers it, and leaves."""

    transport: asyncio.Transport = None  # type: ignore[assignment]  # until it is up

    def __init__(self, control: "Control", sock: socket.socket) -> None:
        self.control, self.sock = control, sock
        self.line = b""
        self.answered = False
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(PATIENCE, self.answer, "fail no call came")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self not in self.control.callers:
            transport.abort()  # pushed out before it was up

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # read and dropped: closing over unread bytes would reset the reply on its way
        self.line += data
        line, found, _ = self.line.partition(b"\n")
        if len(line) > LINE_LIMIT:
            self.answer("fail the call is too long")
        elif found:
            self.answer(self.control.reply(line.decode("latin-1").strip()))

    def eof_received(self) -> bool:
        if not self.answered:
            self.answer("fail half a call")
        return not self.transport.is_closing()

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.control.callers.pop(self, None)

    def answer(self, reply: str) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        self.line = b""
        self.transport.write(reply.encode() + b"\n")
        self.transport.write_eof()
        self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER, self.transport.abort)

    def close(self) -> None:
        """At once: its descriptor is wanted."""
        self.timer.cancel()
        self.control.callers.pop(self, None)
        if self.transport:
            self.transport.abort()
        self.sock.close()  # the transport, which looks at it no more, would only do so in the next turn


class Control:
    """Answers `calls`, by name; what they raise is a `fail` line. The descriptors of its `most` callers are
    kept back for it, whatever clients and endpoints do; one more pushes out the one that came first."""

    def __init__(self, calls: dict[str, Callable[[], str]] | None = None, most: int = 4) -> None:
        self.calls, self.most = calls or {}, most
        self.loop = asyncio.get_running_loop()
        self.callers: dict[Caller, None] = {}  # the one that came first is first
        self.listener: socket.socket | None = None

    async def serve(self, address: Address) -> None:
        """Listens as soon as the address is free; senders do their work without it meanwhile."""
        while self.listener is None:
            try:
                self.listener = socket.create_server(address, backlog=BACKLOG)
            except OSError as error:
                log.error("operators cannot call at %s:%d: %s", *address, error)
                await asyncio.sleep(RETRY)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        log.info("operators call at %s:%d", *self.listener.getsockname())

    def accept(self) -> None:
        """One a turn of the loop, so that no more than one above `most` is open, and for a moment only."""
        assert self.listener is not None
        try:
            sock = self.listener.accept()[0]
        except OSError:
            return  # it broke before it was taken; or the system has no descriptor left, which passes
        while len(self.callers) >= self.most:
            next(iter(self.callers)).close()
        sock.setblocking(False)
        caller = Caller(self, sock)
        self.callers[caller] = None
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: caller, sock))
        task.add_done_callback(lambda task: self.taken_in(task, caller))

    def taken_in(self, task: asyncio.Task, caller: Caller) -> None:
        if task.cancelled() or task.exception():
            caller.close()

    def reply(self, call: str) -> str:
        if (answer := self.calls.get(call)) is None:
            return f"fail no such call; there are {', '.join(self.calls)}"
        try:
            return answer()
        except Exception as error:
            log.exception("the call %s could not be answered", call)
            return f"fail {type(error).__name__}"

    def close(self) -> None:
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            caller.close()
