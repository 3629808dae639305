"""One owner of the state folder at a time, and what it hands over to the process that is to be the next.

The owner holds a lock on the folder, which the system frees however the process ends, and listens for its
successor on an abstract socket, which leaves nothing behind. All that is handed over goes in one turn of the
owner's loop: frames of JSON, many with a descriptor. The last one says that it was all.
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

ASK = b"hand over, please\n"
FRAME = struct.Struct("!I?")  # bytes of its text; whether a descriptor comes with it
FRAME_LIMIT = 8 * 1024 * 1024  # bytes
CREDENTIALS = struct.Struct("3i")  # process, user, group
PATIENCE = 1.0  # s for the other side to read or write on: meanwhile nobody is served
ANSWER = 2.0  # s for the owner to begin
PAUSE = 0.05  # s between tries for the lock
CALLERS = 4  # that may be about to ask
VERSION = 1  # of what the frames hold; raised whenever an older process could not read it, or be read
DONE = "done"

log = logging.getLogger(__name__)


def address_of(folder: Path) -> bytes:
    found = os.stat(folder)
    return f"\0elmglade-{found.st_dev}-{found.st_ino}".encode()


def is_own(channel: socket.socket) -> bool:
    """Guards what is handed over, and the sender's place, from other users of the machine."""
    told = channel.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return CREDENTIALS.unpack(told)[1] == os.getuid()


class Lock:
    """The right to write in the folder. A descriptor that is passed on carries it along."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    @classmethod
    def take(cls, folder: Path) -> "Lock | None":
        """None if another process has it."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except OSError as error:  # a file system without locks: it serves, but no second process may start
            log.error("the state folder cannot be locked: %s", error)
        return cls(descriptor)

    def close(self) -> None:
        os.close(self.descriptor)


class Channel:
    """Frames between the two processes. Blocking: the one that hands over does nothing else meanwhile."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(PATIENCE)

    def send(self, told: dict[str, Any], descriptor: int | None = None) -> None:
        text = json.dumps(told).encode()
        head = FRAME.pack(len(text), descriptor is not None)
        if descriptor is None:
            self.sock.sendall(head + text)
            return
        sent = socket.send_fds(self.sock, [head], [descriptor])
        self.sock.sendall(head[sent:] + text)

    def send_state(
        self, state: dict[str, Any], lines: Iterable[bytes], listener: socket.socket | None
    ) -> None:
        """What the process knows, its journal's lines, and where clients connect while it still listens."""
        self.send({"state": state | {"version": VERSION}})
        for line in lines:
            self.send({"lines": [line.decode()]})
        if listener:
            self.send({"listener": True}, listener.fileno())

    def send_all(self, kind: str, connections: Iterable[tuple[dict[str, Any], socket.socket]]) -> None:
        for told, sock in connections:
            self.send({kind: told}, sock.fileno())

    def send_lock(self, lock: Lock) -> None:
        self.send({"lock": True}, lock.descriptor)

    def send_done(self) -> None:
        self.send({DONE: True})

    def receive(self) -> tuple[dict[str, Any], int | None]:
        head, descriptors, _, _ = socket.recv_fds(self.sock, FRAME.size, 1)
        try:
            size, has_descriptor = FRAME.unpack(head + self.read(FRAME.size - len(head)))
            if size > FRAME_LIMIT or has_descriptor != bool(descriptors):
                raise ValueError("an odd frame")
            told = json.loads(self.read(size))
            if not isinstance(told, dict):
                raise ValueError("an odd frame")
        except BaseException:
            for each in descriptors:
                os.close(each)
            raise
        return told, descriptors[0] if descriptors else None

    def read(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            if not (part := self.sock.recv(size - len(data))):
                raise ConnectionError("the other process is gone")
            data += part
        return bytes(data)

    def close(self) -> None:
        self.sock.close()


class Estate:
    """What a process begins with: the lock, and what the owner before has handed over, if there was one."""

    def __init__(self, lock: Lock | None = None, channel: Channel | None = None) -> None:
        self.lock, self.channel = lock, channel
        self.state: dict[str, Any] | None = None  # none: the journal is all there is to go on from
        self.lines: list[bytes] = []
        self.listener: socket.socket | None = None
        self.clients: list[tuple[dict[str, Any], socket.socket]] = []
        self.calls: list[tuple[dict[str, Any], socket.socket]] = []
        self.idle: list[tuple[dict[str, Any], socket.socket]] = []

    def receive(self) -> None:
        """Frames up to the last one. An end before it leaves nothing: the journal knows as much as after a
        SIGKILL, and the lock is free once neither process holds it."""
        assert self.channel is not None
        try:
            while True:
                told, descriptor = self.channel.receive()
                if DONE in told:
                    break
                self.accept(told, descriptor)
        except BaseException:
            self.drop()
            raise
        if not self.lock:
            self.drop()
            raise ConnectionError("the owner handed over too little")
        if self.state and self.state.get("version") != VERSION:
            log.warning("what the other version knows cannot be read here: the journal has to do")
            self.forget()

    def accept(self, told: dict[str, Any], descriptor: int | None) -> None:
        (kind, what), *_ = told.items()
        if kind == "state":
            self.state = what
        elif kind == "lines":
            self.lines += [each.encode() for each in what]
        elif kind == "lock" and descriptor is not None:
            self.lock = Lock(descriptor)
        elif descriptor is not None:
            sock = socket.socket(fileno=descriptor)
            sock.setblocking(False)
            if kind == "listener":
                self.listener = sock
            elif kind in ("clients", "calls", "idle"):
                getattr(self, kind).append((what, sock))
            else:
                sock.close()  # of a kind that this version does not know

    def forget(self) -> None:
        """All but what any version can go on with: the right to write, and the clients that come now."""
        for _, sock in [*self.clients, *self.calls, *self.idle]:
            sock.close()
        self.state, self.lines, self.clients, self.calls, self.idle = None, [], [], [], []

    def drop(self) -> None:
        self.forget()
        if self.listener:
            self.listener.close()
        self.close()

    def close(self) -> None:
        """At the end of the process, or when it is the owner no longer."""
        if self.channel:
            self.channel.close()
        if self.lock:
            self.lock.close()
        self.channel = self.lock = None


async def come_into(folder: Path) -> Estate:
    """Waits until this process is the folder's owner: nobody is, or the one that is hands over."""
    why = ""
    while (lock := Lock.take(folder)) is None:
        try:
            return await ask(folder)
        except Exception as error:  # another version may say anything; the lock decides who owns
            if why != (why := str(error) or type(error).__name__):
                log.info("another process has the state folder, and hands nothing over: %s", why)
        await asyncio.sleep(PAUSE)
    return Estate(lock)


async def ask(folder: Path) -> Estate:
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        async with asyncio.timeout(ANSWER):
            await loop.sock_connect(sock, address_of(folder))
            if not is_own(sock):
                raise ConnectionError("the owner is another user's process")
            await loop.sock_sendall(sock, ASK)
            await readable(sock)
    except BaseException:
        sock.close()
        raise
    estate = Estate(channel=Channel(sock))
    estate.receive()
    return estate


class Door:
    """Where the owner waits for its successor, of whom there is one at a time."""

    def __init__(self, folder: Path, hand_over: Callable[[Channel], None], lost: Callable[[], None]) -> None:
        self.folder, self.hand_over, self.lost = folder, hand_over, lost
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
        except OSError as error:  # a new version then starts as after a plain restart
            log.error("nothing can be handed over: %s", error)
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
        if len(self.callers) >= CALLERS or not is_own(sock):
            sock.close()
            return
        sock.setblocking(False)
        self.callers.add(sock)
        self.loop.add_reader(sock, self.hear, sock)

    def hear(self, sock: socket.socket) -> None:
        self.loop.remove_reader(sock)
        self.callers.discard(sock)
        try:
            asked = sock.recv(len(ASK)) == ASK
        except OSError:
            asked = False
        if not asked:
            sock.close()
            return
        self.close()
        self.channel = Channel(sock)
        try:
            self.hand_over(self.channel)
            self.channel.send_done()
        except Exception as error:  # whatever it is, this process must start again from the journal
            log.error("the handover broke off: %s", error, exc_info=not isinstance(error, OSError))
            self.channel.close()
            self.lost()
            return
        sock.setblocking(False)
        self.loop.add_reader(sock, self.watch, sock)

    def watch(self, sock: socket.socket) -> None:
        """The successor has nothing to say: what can be read is its end."""
        self.loop.remove_reader(sock)
        self.lost()

    def close(self) -> None:
        """Nobody else can ask; the successor opens a door of its own."""
        for each in [*self.callers, *([self.listener] if self.listener else [])]:
            self.loop.remove_reader(each)
            each.close()
        self.callers.clear()
        self.listener = None

    def end(self) -> None:
        """At the end of the process."""
        self.close()
        if self.channel:
            self.loop.remove_reader(self.channel.sock)
            self.channel.close()
