"""Ownership of the state folder, and its handover from one process to its successor.

The owner holds a lock on the folder, which the operating system releases when the process ends, and listens
on an abstract socket, which leaves no file behind. The handover runs in one turn of the owner's loop as JSON
frames, many with a file descriptor; the last one marks the end.
"""

import asyncio
import fcntl
import json
import logging
import os
import socket
import struct
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from plumline.wire.http import readable

HANDOVER_REQUEST = b"hand over, please\n"
FRAME = struct.Struct("!I?")  # length of the text in bytes; whether a descriptor is attached
FRAME_LIMIT = 8 * 1024 * 1024  # bytes
CREDENTIALS = struct.Struct("3i")  # process, user, group
FRAME_TIMEOUT = 1.0  # s for the peer to read or write; clients are not served meanwhile
OWNER_TIMEOUT = 2.0  # s for the owner to begin the handover
LOCK_RETRY_DELAY = 0.05  # s between attempts to take the lock
MAX_CALLERS = 4  # connections whose request has not arrived yet
VERSION = 1  # of the frames' content; incremented if older processes can't read it, or theirs can't be read
DONE = "done"

log = logging.getLogger(__name__)


def address_of(folder: Path) -> bytes:
    status = os.stat(folder)
    return f"\0elmglade-{status.st_dev}-{status.st_ino}".encode()


def is_same_user(channel: socket.socket) -> bool:
    """Whether the peer runs as the same user. Other users must neither get nor give handed-over state."""
    credentials = channel.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return CREDENTIALS.unpack(credentials)[1] == os.getuid()


class Lock:
    """The lock on the state folder. Passing its descriptor to another process passes the lock."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    @classmethod
    def take(cls, folder: Path) -> "Lock | None":
        """Takes the lock; None if another process has it."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        # a file system without locks: the sender runs, but a second process must not be started
        except OSError as error:
            log.error("the state folder cannot be locked: %s", error)
        return cls(descriptor)

    def close(self) -> None:
        os.close(self.descriptor)


class Channel:
    """The framed connection of the two processes. It blocks: the process handing over does nothing else
    meanwhile."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(FRAME_TIMEOUT)

    def send(self, frame: dict[str, Any], descriptor: int | None = None) -> None:
        text = json.dumps(frame).encode()
        head = FRAME.pack(len(text), descriptor is not None)
        if descriptor is None:
            self.sock.sendall(head + text)
            return
        sent = socket.send_fds(self.sock, [head], [descriptor])
        self.sock.sendall(head[sent:] + text)

    def send_state(
        self, state: dict[str, Any], lines: Iterable[bytes], listener: socket.socket | None
    ) -> None:
        """Sends the process's state, its journal's records, and the listening socket if there is one."""
        self.send({"state": state | {"version": VERSION}})
        for line in lines:
            self.send({"lines": [line.decode()]})
        if listener:
            self.send({"listener": True}, listener.fileno())

    def send_all(self, kind: str, connections: Iterable[tuple[dict[str, Any], socket.socket]]) -> None:
        for details, sock in connections:
            self.send({kind: details}, sock.fileno())

    def send_lock(self, lock: Lock) -> None:
        self.send({"lock": True}, lock.descriptor)

    def send_done(self) -> None:
        self.send({DONE: True})

    def receive(self) -> tuple[dict[str, Any], int | None]:
        head, descriptors, _, _ = socket.recv_fds(self.sock, FRAME.size, 1)
        try:
            size, has_descriptor = FRAME.unpack(head + self.read(FRAME.size - len(head)))
            if size > FRAME_LIMIT or has_descriptor != bool(descriptors):
                raise ValueError("malformed frame")
            frame = json.loads(self.read(size))
            if not isinstance(frame, dict):
                raise ValueError("malformed frame")
        except BaseException:
            for each in descriptors:
                os.close(each)
            raise
        return frame, descriptors[0] if descriptors else None

    def read(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            if not (chunk := self.sock.recv(size - len(data))):
                raise ConnectionError("the other process closed the connection")
            data += chunk
        return bytes(data)

    def close(self) -> None:
        self.sock.close()


class HandoverState:
    """What a process starts with: the lock, and the state that the previous owner handed over, if any."""

    def __init__(self, lock: Lock | None = None, channel: Channel | None = None) -> None:
        self.lock, self.channel = lock, channel
        self.state: dict[str, Any] | None = None  # none: only the journal is available
        self.lines: list[bytes] = []
        self.listener: socket.socket | None = None
        self.clients: list[tuple[dict[str, Any], socket.socket]] = []
        self.calls: list[tuple[dict[str, Any], socket.socket]] = []
        self.idle: list[tuple[dict[str, Any], socket.socket]] = []

    def receive(self) -> None:
        """Receives all frames. If the connection ends before the last one, everything is dropped: the journal
        is as complete as after a SIGKILL, and the lock is free once both processes have released it."""
        assert self.channel is not None
        try:
            while True:
                frame, descriptor = self.channel.receive()
                if DONE in frame:
                    break
                self.apply_frame(frame, descriptor)
        except BaseException:
            self.drop()
            raise
        if not self.lock:
            self.drop()
            raise ConnectionError("the owner did not hand over its lock")
        if self.state and self.state.get("version") != VERSION:
            log.warning("state of an incompatible version: recovering from the journal instead")
            self.discard_state()

    def apply_frame(self, frame: dict[str, Any], descriptor: int | None) -> None:
        (kind, value), *_ = frame.items()
        if kind == "state":
            self.state = value
        elif kind == "lines":
            self.lines += [each.encode() for each in value]
        elif kind == "lock" and descriptor is not None:
            self.lock = Lock(descriptor)
        elif descriptor is not None:
            sock = socket.socket(fileno=descriptor)
            sock.setblocking(False)
            if kind == "listener":
                self.listener = sock
            elif kind in ("clients", "calls", "idle"):
                getattr(self, kind).append((value, sock))
            else:
                sock.close()  # a kind that this version does not know

    def discard_state(self) -> None:
        """Drops the state and connections of an incompatible version. The lock and the listening socket
        remain."""
        for _, sock in [*self.clients, *self.calls, *self.idle]:
            sock.close()
        self.state, self.lines, self.clients, self.calls, self.idle = None, [], [], [], []

    def drop(self) -> None:
        self.discard_state()
        if self.listener:
            self.listener.close()
        self.close()

    def close(self) -> None:
        """Closes the channel and releases the lock: the process ends, or is no longer the owner."""
        if self.channel:
            self.channel.close()
        if self.lock:
            self.lock.close()
        self.channel = self.lock = None


async def acquire_state_folder(folder: Path) -> HandoverState:
    """Waits until this process owns the folder: by taking the free lock, or by a handover from the owner."""
    reason = ""
    while (lock := Lock.take(folder)) is None:
        try:
            return await request_handover(folder)
        except Exception as error:  # another version may send anything; only the lock decides ownership
            if reason != (reason := str(error) or type(error).__name__):
                log.info("another process owns the state folder and does not hand over: %s", reason)
        await asyncio.sleep(LOCK_RETRY_DELAY)
    return HandoverState(lock)


async def request_handover(folder: Path) -> HandoverState:
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        async with asyncio.timeout(OWNER_TIMEOUT):
            await loop.sock_connect(sock, address_of(folder))
            if not is_same_user(sock):
                raise ConnectionError("the owner is another user's process")
            await loop.sock_sendall(sock, HANDOVER_REQUEST)
            await readable(sock)
    except BaseException:
        sock.close()
        raise
    handover = HandoverState(channel=Channel(sock))
    handover.receive()
    return handover


class SuccessorListener:
    """Listens for a successor, and hands over to one only."""

    def __init__(
        self, folder: Path, hand_over: Callable[[Channel], None], on_lost: Callable[[], None]
    ) -> None:
        self.folder, self.hand_over, self.on_lost = folder, hand_over, on_lost
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.callers: set[socket.socket] = set()
        self.channel: Channel | None = None

    def open(self) -> None:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            listener.bind(address_of(self.folder))
            listener.listen(2)
        except OSError as error:  # a new version then recovers from the journal, as after a restart
            log.error("cannot listen for a successor: %s", error)
            listener.close()
            return
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def accept(self) -> None:
        assert self.listener is not None
        try:
            sock = self.listener.accept()[0]
        except OSError:
            return
        if len(self.callers) >= MAX_CALLERS or not is_same_user(sock):
            sock.close()
            return
        sock.setblocking(False)
        self.callers.add(sock)
        self.loop.add_reader(sock, self.read_request, sock)

    def read_request(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock)
        self.callers.discard(sock)
        try:
            is_request = sock.recv(len(HANDOVER_REQUEST)) == HANDOVER_REQUEST
        except OSError:
            is_request = False
        if not is_request:
            sock.close()
            return
        self.close()
        self.channel = Channel(sock)
        try:
            self.hand_over(self.channel)
            self.channel.send_done()
        except Exception as error:  # after any error this process must start again from the journal
            log.error("the handover failed: %s", error, exc_info=not isinstance(error, OSError))
            self.channel.close()
            self.on_lost()
            return
        sock.setblocking(False)
        self.loop.add_reader(sock, self.watch, sock)

    def watch(self, sock: socket.socket) -> None:
        """Called when the successor's process ends, as it sends nothing."""
        self.loop.remove_reader(sock)
        self.on_lost()

    def close(self) -> None:
        """Stops listening; the successor opens its own listener."""
        for each in [*self.callers, *([self.listener] if self.listener else [])]:
            self.loop.remove_reader(each)
            each.close()
        self.callers.clear()
        self.listener = None

    def shut_down(self) -> None:
        """Stops listening and closes the connection to the successor. Called at the end of the process."""
        self.close()
        if self.channel:
            self.loop.remove_reader(self.channel.sock)
            self.channel.close()
