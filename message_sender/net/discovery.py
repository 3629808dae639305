"""The discovery service: watches the list of receivers and posts the notices that end messages."""

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

# A change at discovery counts as known to the sender 6 s later, and 4 s after SIGHUP, received or not.
SILENCE = 3.0  # s without a line after which a watch is dead, as empty lines come every 2 s
# s for the head of a response, or for a whole list; discovery answers at once or not at all
ANSWER_TIMEOUT = 1.0
# s for the head of a watch after one that timed out; longer, to send fewer requests to a busy discovery.
WATCH_PATIENCE = 2.0
MOST_PATIENCE = 10.0  # s; limit of both timeouts, which grow with the fleet
BESIDE = 2.0  # s without a response until a second watch is requested; with SILENCE less than 6 s
CHECK = 2.0  # s between reads of the full list, which find a watch that is open but reports nothing
FEW = 4  # senders up to which these times apply; a larger fleet has them longer, at the same joint rate
CHECK_DOUBLINGS = 3  # doublings of CHECK while discovery does not answer, as it may lack room for watches
CHECK_JITTER = 0.25  # share of CHECK, either way; spreads out senders that start together
CONNECT_TIMEOUT = 1.0  # s
LINE_LIMIT = 4 * 1024 * 1024  # bytes of a list or of one of its changes
NOTICE_TIMEOUT = 0.1  # s for the first attempt, so that a dead connection leaves time to try again
# doublings of NOTICE_TIMEOUT: the next attempt fits the 300 ms of a notice, and new notices get more behind a
# late one
NOTICE_DOUBLINGS = 2
NOTICE_PAUSE = 0.05  # s between attempts
NOTICES_AT_ONCE = 100  # notices in a request
# s between attempts at most, for the first list of a new address, which counts as known 4 s after SIGHUP, and
# while connections are refused, as a list counts at once when discovery is back.
MOVE_PAUSE = 0.2
LOGGED = 32  # endpoints named in the log line of a list, whose size only LINE_LIMIT bounds
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


async def expect_ok(connection: Connection) -> None:
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


def close_unused(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and not task.exception():
        task.result().close()


class Listed:
    """A list, or changes to one, as discovery sends it: a version and endpoints."""

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
    """Parser of a watch: JSON objects, each on one line or indented over several, with empty lines
    between."""

    def __init__(self) -> None:
        self.begun = self.line = b""  # bytes of the current object in complete lines, and of the current line
        self.lives = False  # whether the newest bytes had an empty line between objects, a keepalive

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Returns the objects that these bytes complete. Raises if they cannot be the start of one."""
        *lines, self.line = (self.line + data).split(b"\n")
        self.lives, objects = False, []
        for line in lines:
            first, blank = not self.begun, not line.strip()
            if first and blank:
                self.lives = True
                continue
            self.begun += line + b"\n"
            # Parse only after a closing brace: parsing a long object again at each line would be quadratic.
            if (first or line.rstrip().endswith(b"}")) and (told := self.whole()) is not None:
                objects.append(told)
                self.begun = b""
        if len(self.begun) + len(self.line) > LINE_LIMIT:
            raise ValueError("an object of the watch is too long")
        return objects

    def whole(self) -> dict[str, Any] | None:
        text = self.begun.decode().rstrip()
        try:
            return json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text):
                raise
            return None  # incomplete: the error is at the end of the text


class Discovery:
    def __init__(
        self,
        address: Address,
        known: Listed,
        listed: Callable[[face.EndpointsListed], None],
        answered: Callable[[str, str], None],
        senders: int = 1,  # sharing this discovery service
    ) -> None:
        self.address, self.listed, self.answered = address, listed, answered
        many = max(senders / FEW, 1)
        self.check_every = CHECK * many
        # After a restart or an outage many senders send requests at once. One that gives up early has wasted
        # its place in the queue, is queued last again, and may never get a response.
        self.first_patience = min(ANSWER_TIMEOUT * many, MOST_PATIENCE)
        self.next_patience = min(WATCH_PATIENCE * many, MOST_PATIENCE)
        #: Version of the list; none if it came from another service, whose versions are not comparable.
        self.seq: int | None = known.seq
        self.unheard = False  # whether the list is an old one that the current discovery has not confirmed
        self.dials, self.hosts = dict(known.dials), dict(known.hosts)
        # every destination that a list has ever named
        self.destinations = {each.destination for each in known.endpoints}
        self.patience = self.first_patience  # s; timeout for the head of the next watch
        self.notices: dict[str, dict[str, Any]] = {}
        self.has_notices = asyncio.Event()

    def move(self, address: Address) -> None:
        """Changes the address. The caller starts a new watch; the old one continues until the new one has its
        first list. Notices in flight are answered at the old address or sent again to the new one."""
        self.address, self.seq, self.patience = address, None, self.first_patience

    async def watch(self) -> None:
        """Watches the list. Reconnects at once if the watch falls silent, the connection is refused, or the
        watch had lasted a while, as its changes count as known. After any other end the module decides when
        to watch again. The first list of a new address is requested until it comes, as no other source
        reports a drain meanwhile."""
        address, loop = self.address, asyncio.get_running_loop()
        log.info("watching %s:%d from version %s", *address, self.seq)
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
                return  # the new address has sent its list
            if address != self.address:
                return
            if self.seq is None or refused:
                await asyncio.sleep(MOVE_PAUSE * random.uniform(0.5, 1))
            elif not silent and lived < SILENCE:
                break
        self.listed(face.EndpointsListed(face.Listing.FAILED))

    async def opened(self, address: Address) -> Connection:
        """Opens a watch and waits for its head. At a busy discovery, giving up early loses the place in the
        queue; but the request may be lost with a broken connection, so a second one is sent in parallel."""
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
            # A watch from the newest version sends nothing, just like one that is dead; so read the list
            # first.
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
            # for a complete object or an empty line, not for single bytes
            async with asyncio.timeout(SILENCE):
                while not (objects := told.feed(await self.next_data(connection))) and not told.lives:
                    pass
            for each in objects:
                if address != self.address and self.seq is not None:
                    return
                self.read_change(Listed(each), address)

    async def next_data(self, connection: Connection) -> bytes:
        while not isinstance(event := await connection.next_event(), h11.Data):
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended the watch")
        return bytes(event.data)

    def read_change(self, told: Listed, address: Address) -> None:
        if told.whole or address != self.address or self.seq is None or told.seq > self.seq:
            self.read(told, address)  # otherwise a check has read it before the watch

    async def check(self, at_once: bool = False) -> None:
        """Compares the full list with the known one, forever: an open watch may still report nothing."""
        failed = 0  # in a row
        if at_once:
            await self.check_once()
        while True:
            pause = self.check_every * 2 ** min(failed, CHECK_DOUBLINGS)
            await asyncio.sleep(pause * random.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER))
            failed = 0 if await self.check_once() else failed + 1

    async def check_once(self) -> bool:
        """Whether discovery could be read."""
        address, held = self.address, self.seq
        if held is None:
            return True  # the watch requests the first list of a new address
        try:
            told = await self.fetch(address)
        except (*BROKEN, *UNREADABLE) as error:
            log.info("the list could not be read: %s", str(error) or type(error).__name__)
            return False
        if (address, held) == (self.address, self.seq) and told.seq != held:
            log.warning(
                "the watch has reported up to version %d, but the list is at version %d", held, told.seq
            )
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
        """Applies a list or its changes. Unreadable ones have raised before, so nothing is applied in
        part."""
        dials = told.dials if told.whole else self.dials | told.dials
        gone = {each.id for each in told.endpoints if each.state is face.EndpointState.GONE}
        self.dials = {name: dial for name, dial in dials.items() if name not in gone}
        self.hosts = {name: each for name, each in (self.hosts | told.hosts).items() if name in self.dials}
        self.destinations |= {each.destination for each in told.endpoints}
        if address in (None, self.address):  # otherwise it came from the previous address
            self.seq, self.unheard = told.seq, False
        named = (f"{each.id} {each.state.value} at {each.destination}" for each in told.endpoints[:LOGGED])
        log.info("list version %d, %s: %s", told.seq, "full" if told.whole else "changes", ", ".join(named))
        listing = face.Listing.FULL if told.whole else face.Listing.CHANGES
        self.listed(face.EndpointsListed(listing, told.endpoints))

    def endpoints(self) -> tuple[face.Endpoint, ...]:
        return Listed({"seq": 0, "whole": True, "hosts": self.hosts.values()}).endpoints

    # Handover of the list and of unanswered notices to a newer process.

    def told(self) -> dict[str, Any]:
        return {
            "address": self.address,
            "seq": self.seq,
            "hosts": list(self.hosts.values()),
            "destinations": sorted(self.destinations),
            "notices": self.notices,
        }

    def recall(self, told: dict[str, Any]) -> None:
        """Restores handed-over state. The list's version is dropped if the address differs."""
        known = Listed({"seq": 0, "whole": True, "hosts": told["hosts"]})
        self.dials, self.hosts = known.dials, known.hosts
        self.seq = told["seq"] if tuple(told["address"]) == self.address else None
        self.destinations |= set(told["destinations"])
        self.notices = dict(told["notices"])
        if self.notices:
            self.has_notices.set()

    def notify(self, message: str, state: str, after: int = 0) -> None:
        """Queues a notice of a message's end, which is sent until it is answered."""
        notice: dict[str, Any] = {"id": message, "state": state}
        if after:
            notice["after_ms"] = -(-after // 1000)
        self.notices[message] = notice
        self.has_notices.set()

    async def tell(self) -> None:
        """Posts queued notices, forever; a connection that failed is not used again."""
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
                most = 1  # send them singly, so that one malformed notice does not block the others
                continue
            if 200 <= status < 300 or status == 400:
                if status == 400:
                    log.error("discovery rejected a notice as malformed: %s", *sent.values())
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
