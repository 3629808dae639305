"""The operators' interface: one command line and one reply per connection."""

import asyncio
import logging
import socket
from collections.abc import Callable

from plumline.wire.http import Address

BACKLOG = 128
LINE_LIMIT = 256  # bytes of a command
COMMAND_TIMEOUT = 2.0  # s for a command to be complete
LINGER = 0.5  # s for the caller to read its reply
LISTEN_RETRY_DELAY = 0.2  # s between attempts to listen

log = logging.getLogger(__name__)


class Caller(asyncio.Protocol):
    """A connection: reads a command, replies and closes."""

    transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made

    def __init__(self, control: "Control", sock: socket.socket) -> None:
        self.control, self.sock = control, sock
        self.line = b""
        self.answered = False
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(COMMAND_TIMEOUT, self.answer, "fail no call came")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self not in self.control.callers:
            transport.abort()  # closed for a newer caller before the transport was ready

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # discarded: closing with unread bytes would reset the connection before the reply is read
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
        """Closes at once, as its descriptor is needed."""
        self.timer.cancel()
        self.control.callers.pop(self, None)
        if self.transport:
            self.transport.abort()
        self.sock.close()  # the aborted transport would close it only in the next turn


class Control:
    """Runs the commands in `commands`, by name; an exception becomes a `fail` line. The descriptors of
    `max_callers` callers are reserved, whatever clients and endpoints use; a further caller closes the
    oldest."""

    def __init__(self, commands: dict[str, Callable[[], str]] | None = None, max_callers: int = 4) -> None:
        self.commands, self.max_callers = commands or {}, max_callers
        self.loop = asyncio.get_running_loop()
        self.callers: dict[Caller, None] = {}  # oldest first
        self.listener: socket.socket | None = None

    async def serve(self, address: Address) -> None:
        """Listens as soon as the address is free; the sender works without it until then."""
        while self.listener is None:
            try:
                self.listener = socket.create_server(address, backlog=BACKLOG)
            except OSError as error:
                log.error("cannot listen for operators at %s:%d: %s", *address, error)
                await asyncio.sleep(LISTEN_RETRY_DELAY)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        log.info("listening for operators at %s:%d", *self.listener.getsockname())

    def accept(self) -> None:
        """Accepts one caller per turn of the loop, so that only one above `max_callers` is open, and only
        briefly."""
        assert self.listener is not None
        try:
            sock = self.listener.accept()[0]
        except OSError:
            # the connection broke before it was accepted, or the system has no descriptor left at the moment
            return
        while len(self.callers) >= self.max_callers:
            next(iter(self.callers)).close()
        sock.setblocking(False)
        caller = Caller(self, sock)
        self.callers[caller] = None
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: caller, sock))
        task.add_done_callback(lambda task: self.on_connection_started(task, caller))

    def on_connection_started(self, task: asyncio.Task, caller: Caller) -> None:
        if task.cancelled() or task.exception():
            caller.close()

    def reply(self, command: str) -> str:
        if (answer := self.commands.get(command)) is None:
            return f"fail no such call; there are {', '.join(self.commands)}"
        try:
            return answer()
        except Exception as error:
            log.exception("operator command %s failed", command)
            return f"fail {type(error).__name__}"

    def close(self) -> None:
        if self.listener:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            caller.close()
