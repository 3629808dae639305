"""The platform: the list of receivers by a watch, and the notices that end messages."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from typing import Any

import h11

from message_sender import interface as face
from plumline.wire.http import BROKEN, Address, Connection, address_from

# What discovery holds counts as told 6 s later, and 4 s after SIGHUP, whether it has arrived or not:
SILENCE = 3.0  # s with no line, empty ones come every 2 s: the watch is dead, though TCP says nothing
ANSWER_TIMEOUT = 1.0  # s for the head of an answer, or a whole list; it answers at once or not at all
WATCH_PATIENCE = (
    2.0  # s for the head of a watch after one that did not answer: one asked late is asked of less
)
MOST_PATIENCE = 10.0  # s for either in a large fleet, see below
BESIDE = 2.0  # s for the head of a watch until another is asked for beside it: with SILENCE less than 6
CHECK = 2.0  # s between looks at the whole list, which show a watch that lives but tells nothing
FEW = 4  # senders up to which these hold; more look as often jointly, each more rarely, and wait longer
CHECK_DOUBLINGS = 3  # of that time while discovery doesn't answer: it may be short of room for watches
CHECK_JITTER = 0.25  # of that time, more or less: senders that start together drift apart
CONNECT_TIMEOUT = 1.0
LINE_LIMIT = 4 * 1024 * 1024
NOTICE_TIMEOUT = 0.1  # s for a first try, answers took 4 ms at most: a hung kept connection must leave time
NOTICE_DOUBLINGS = 2  # for another within the 300 ms that a notice has; and for new ones behind a late one
NOTICE_PAUSE = 0.05  # s between tries
NOTICES_AT_ONCE = 100
# s, at the most, between tries to hear a new address's list, which counts as told 4 s after SIGHUP, and where
# nobody listens: what discovery has at its return counts at once.
MOVE_PAUSE = 0.2
LOGGED = 32  # endpoints of a list that its log line names; lists are bounded by LINE_LIMIT alone
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


async def expect_ok(connection: Connection) -> None:
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


def close_unused(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and not task.exception():
        task.result().close()


class Listed:
    """One line of discovery: a version and the endpoints in it."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.seq, self.whole = int(told["seq"]), bool(told["whole"])
        self.hosts: dict[str, dict[str, Any]] = {each["host"]: each for each in told["hosts"]}
        self.dials: dict[str, Address] = {
            name: address_from(each["dial"]) for name, each in self.hosts.items()
        }
        self.endpoints = tuple(
            face.Endpoint(
                id=each["host"],
                destination=int(each["block"]),
                state=face.EndpointState(each["health"]),
                kind=each.get("class", ""),
                zone=each.get("site", ""),
                scale=float(each.get("share", 1)),
            )
            for each in told["hosts"]
        )


class Told:
    """What a watch tells: JSON objects, each on a line or indented over several, with empty lines between."""

    def __init__(self) -> None:
        self.begun = self.line = b""  # of an object, in whole lines; of the line at hand
        self.lives = False  # whether the newest bytes held an empty line between objects

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that are whole with these bytes. What can be the beginning of none raises."""
        *lines, self.line = (self.line + data).split(b"\n")
        self.lives, objects = False, []
        for line in lines:
            first, blank = not self.begun, not line.strip()
            if first and blank:
                self.lives = True
                continue
            self.begun += line + b"\n"
            # Every object ends with a brace; tried at each line, a long one would be read again and again.
            if (first or line.rstrip().endswith(b"}")) and (told := self.whole()) is not None:
                objects.append(told)
                self.begun = b""
        if len(self.begun) + len(self.line) > LINE_LIMIT:
            raise ValueError("a list is too long")
        return objects

    def whole(self) -> dict[str, Any] | None:
        text = self.begun.decode().rstrip()
        try:
            return json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text):
                raise
            return None  # all that is wrong with it is that it ends


class Discovery:
    def __init__(
        self,
        address: Address,
        known: Listed,
        listed: Callable[[face.EndpointsListed], None],
        answered: Callable[[str, str], None],
        senders: int = 1,  # that share this discovery
    ) -> None:
        self.address, self.listed, self.answered = address, listed, answered
        many = max(senders / FEW, 1)
        self.check_every = CHECK * many
        # Many senders ask at once after a restart or an outage. Whoever gives up early has used its place in
        # the queue, asks again behind the others, and may never hear at all.
        self.first_patience = min(ANSWER_TIMEOUT * many, MOST_PATIENCE)
        self.next_patience = min(WATCH_PATIENCE * many, MOST_PATIENCE)
        #: The version held; none when it is another service's, whose versions mean nothing to this one.
        self.seq: int | None = known.seq
        self.unheard = False  # whether this process goes by a list that it has from elsewhere
        self.dials, self.hosts = dict(known.dials), dict(known.hosts)
        self.destinations = {each.destination for each in known.endpoints}  # all that a list ever named
        self.patience = self.first_patience  # s for the head of the next watch
        self.notices: dict[str, dict[str, Any]] = {}
        self.has_notices = asyncio.Event()

    def move(self, address: Address) -> None:
        """From now on discovery is there. The caller starts a watch; the one before goes on until that one
        has its first list, and notices under way are answered where they are or told again over there."""
        self.address, self.seq, self.patience = address, None, self.first_patience

    async def watch(self) -> None:
        """A watch, opened anew at once where it falls silent, nobody listens, or it had lived for a while:
        what it misses counts as told. Any other end is an answer: the module is told of it and decides when
        to ask again. But the first list of a new address is asked for until it comes: nobody else tells of
        a drain meanwhile."""
        address, loop = self.address, asyncio.get_running_loop()
        log.info("a watch begins at %s:%d after %s", *address, self.seq)
        while True:
            lived = 0.0
            try:
                connection = await self.opened(address)
                began = loop.time()
                try:
                    await self.read_lines(connection, address)
                finally:
                    connection.close()
                    lived = loop.time() - began
            except (*BROKEN, *UNREADABLE) as error:
                log.warning("the watch ended: %r", error)
                silent, refused = (isinstance(error, each) for each in (TimeoutError, ConnectionRefusedError))
            else:
                return  # another address has told its list
            if address != self.address:
                return
            if self.seq is None or refused:
                await asyncio.sleep(MOVE_PAUSE * random.uniform(0.5, 1))
            elif not silent and lived < SILENCE:
                break
        self.listed(face.EndpointsListed(face.Listing.FAILED))

    async def opened(self, address: Address) -> Connection:
        """A watch whose head has come. Where discovery is busy, whoever gives up early goes to the end of the
        queue; but a request may also have died with its connection, unseen: a second one goes beside it."""
        asked = left = {asyncio.create_task(self.open_watch(address))}
        try:
            await asyncio.wait(asked, timeout=BESIDE)
            if not any(task.done() for task in asked):
                asked = left = asked | {asyncio.create_task(self.open_watch(address))}
            while left:
                done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if not (failed := task.exception()):
                        asked = asked - {task}
                        return task.result()
            raise failed
        finally:
            for task in asked:
                task.cancel()
                task.add_done_callback(close_unused)

    async def open_watch(self, address: Address) -> Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            connection = await Connection.open(address)
        try:
            # A watch from a version that is still the newest says nothing, as does one that will never speak.
            if self.seq is None or self.unheard:
                whole = await self.ask(connection, "/registry/instances")
                if address != self.address:
                    raise ConnectionError("discovery has moved")
                self.read(Listed(json.loads(whole)))
                if not connection.next_cycle():
                    connection.close()
                    async with asyncio.timeout(CONNECT_TIMEOUT):
                        connection = await Connection.open(address)
            await connection.send("GET", f"/registry/instances?watch=1&after={self.seq}", {})
            patience, self.patience = self.patience, self.next_patience
            async with asyncio.timeout(patience):
                await expect_ok(connection)
            self.patience = self.first_patience
        except BaseException:
            connection.close()
            raise
        return connection

    async def ask(self, connection: Connection, target: str) -> bytes:
        await connection.send("GET", target, {})
        body = bytearray()
        async with asyncio.timeout(self.first_patience):
            await expect_ok(connection)
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                body += event.data if isinstance(event, h11.Data) else b""
                if len(body) > LINE_LIMIT:
                    raise ValueError("the list is too long")
        return bytes(body)

    async def read_lines(self, connection: Connection, address: Address) -> None:
        told = Told()
        while True:
            async with asyncio.timeout(SILENCE):  # for what is whole, not for bytes
                while not (objects := told.feed(await self.next_data(connection))) and not told.lives:
                    pass
            for each in objects:
                if address != self.address and self.seq is not None:
                    return
                self.read_change(Listed(each), address)

    async def next_data(self, connection: Connection) -> bytes:
        while not isinstance(event := await connection.next_event(), h11.Data):
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended it")
        return bytes(event.data)

    def read_change(self, told: Listed, address: Address) -> None:
        if told.whole or address != self.address or self.seq is None or told.seq > self.seq:
            self.read(told, address)  # else a check was faster than the watch

    async def check(self, at_once: bool = False) -> None:
        """Compares the whole list with the one held, forever: a watch may live and still tell nothing."""
        failed = 0  # in a row
        if at_once:
            await self.check_once()
        while True:
            pause = self.check_every * 2 ** min(failed, CHECK_DOUBLINGS)
            await asyncio.sleep(pause * random.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER))
            failed = 0 if await self.check_once() else failed + 1

    async def check_once(self) -> bool:
        """Whether discovery had a list to tell."""
        address, held = self.address, self.seq
        if held is None:
            return True  # a watch asks for the first list of a new address
        try:
            told = await self.fetch(address)
        except (*BROKEN, *UNREADABLE) as error:
            log.info("the list could not be checked: %s", str(error) or type(error).__name__)
            return False
        if (address, held) == (self.address, self.seq) and told.seq != held:
            log.warning("the watch has told up to %d, the list is at %d", held, told.seq)
            self.read(told, address)
        return True

    async def fetch(self, address: Address) -> Listed:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            connection = await Connection.open(address)
        try:
            return Listed(json.loads(await self.ask(connection, "/registry/instances")))
        finally:
            connection.close()

    def read(self, told: Listed, address: Address | None = None) -> None:
        """One line, whole or not at all: what cannot be read has raised before anything is changed."""
        dials = told.dials if told.whole else self.dials | told.dials
        gone = {each.id for each in told.endpoints if each.state is face.EndpointState.GONE}
        self.dials = {name: dial for name, dial in dials.items() if name not in gone}
        self.hosts = {name: each for name, each in (self.hosts | told.hosts).items() if name in self.dials}
        self.destinations |= {each.destination for each in told.endpoints}
        if address in (None, self.address):  # else it is a line of the address before
            self.seq, self.unheard = told.seq, False
        named = (f"{each.id} {each.state.value} at {each.destination}" for each in told.endpoints[:LOGGED])
        log.info("list %d, %s: %s", told.seq, "whole" if told.whole else "changes", ", ".join(named))
        listing = face.Listing.FULL if told.whole else face.Listing.CHANGES
        self.listed(face.EndpointsListed(listing, told.endpoints))

    def endpoints(self) -> tuple[face.Endpoint, ...]:
        return Listed({"seq": 0, "whole": True, "hosts": self.hosts.values()}).endpoints

    # Another process of this sender goes on from what this one has heard, and has not been answered.

    def told(self) -> dict[str, Any]:
        return {
            "address": self.address,
            "seq": self.seq,
            "hosts": list(self.hosts.values()),
            "destinations": sorted(self.destinations),
            "notices": self.notices,
        }

    def recall(self, told: dict[str, Any]) -> None:
        """A list's version means nothing at another address."""
        known = Listed({"seq": 0, "whole": True, "hosts": told["hosts"]})
        self.dials, self.hosts = known.dials, known.hosts
        self.seq = told["seq"] if tuple(told["address"]) == self.address else None
        self.destinations |= set(told["destinations"])
        self.notices = dict(told["notices"])
        if self.notices:
            self.has_notices.set()

    def notify(self, message: str, state: str, after: int = 0) -> None:
        """The end of a message; told again and again until it is answered."""
        notice: dict[str, Any] = {"id": message, "state": state}
        if after:
            notice["after_ms"] = -(-after // 1000)
        self.notices[message] = notice
        self.has_notices.set()

    async def tell(self) -> None:
        """Posts what notices there are, forever; a connection that failed is not used again."""
        connection, tries, most = None, 0, NOTICES_AT_ONCE
        while True:
            await self.has_notices.wait()
            sent, began = dict(list(self.notices.items())[:most]), time.monotonic()
            try:
                async with asyncio.timeout(NOTICE_TIMEOUT * 2 ** min(tries, NOTICE_DOUBLINGS)):
                    if connection and (connection.address != self.address or connection.ended()):
                        connection.close()
                        connection = None
                    connection = connection or await Connection.open(self.address)
                    lines = [json.dumps(each) + "\n" for each in sent.values()]
                    status = await self.post(connection, "".join(lines))
                if not connection.next_cycle():
                    connection.close()
                    connection = None
            except BROKEN as error:
                log.warning("notices not answered: %s", str(error) or type(error).__name__)
                status = 0
                if connection:
                    connection.close()
                    connection = None
            if status == 400 and len(sent) > 1:
                most = 1  # guards the others against one that cannot be read
                continue
            if 200 <= status < 300 or status == 400:
                if status == 400:
                    log.error("a notice was not understood: %s", *sent.values())
                tries = 0
                if (took := time.monotonic() - began) > NOTICE_TIMEOUT / 2:
                    log.info("%d notices answered in %.0f ms", len(sent), took * 1e3)
                for message, notice in sent.items():
                    del self.notices[message]
                    self.answered(message, notice["state"])
                if not self.notices:
                    most = NOTICES_AT_ONCE
                    self.has_notices.clear()
                continue
            tries += 1
            await asyncio.sleep(NOTICE_PAUSE)

    async def post(self, connection: Connection, body: str) -> int:
        data = body.encode()
        await connection.send("POST", "/v1/notices", {"Content-Length": str(len(data))}, data)
        status = (await connection.response()).status_code
        await connection.skip_body()
        return status
