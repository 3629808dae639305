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
from plumline.wire.http import CONNECTION_ERRORS, Address, Connection, address_from

# A change at discovery counts as known to the sender 6 s later, and 4 s after SIGHUP, received or not.
SILENCE_TIMEOUT = 3.0  # s without a line after which a watch is dead, as empty lines come every 2 s
# s for the head of a response, or for a whole list; discovery answers at once or not at all
ANSWER_TIMEOUT = 1.0
# s for the head of a watch after one that timed out; longer, to send fewer requests to a busy discovery.
WATCH_TIMEOUT = 2.0
MAX_TIMEOUT = 10.0  # s; limit of both timeouts, which grow with the fleet
# s without a response until a second watch is requested; with SILENCE_TIMEOUT less than 6 s
HEDGE_DELAY = 2.0
CHECK_INTERVAL = 2.0  # s between reads of the full list, which find a watch that is open but reports nothing
# senders up to which these times apply; a larger fleet has them longer, at the same joint rate.
SMALL_FLEET = 4
# doublings of CHECK_INTERVAL while discovery does not answer, as it may lack room for watches
CHECK_DOUBLINGS = 3
CHECK_JITTER = 0.25  # share of CHECK_INTERVAL, either way; spreads out senders that start together
CONNECT_TIMEOUT = 1.0  # s
LINE_LIMIT = 4 * 1024 * 1024  # bytes of a list or of one of its changes
NOTICE_TIMEOUT = 0.1  # s for the first attempt, so that a dead connection leaves time to try again
# doublings of NOTICE_TIMEOUT: the next attempt fits the 300 ms of a notice, and new notices get more behind a
# late one
NOTICE_DOUBLINGS = 2
NOTICE_RETRY_DELAY = 0.05  # s between attempts
NOTICE_BATCH_SIZE = 100  # notices in a request
# s between attempts at most, for the first list of a new address, which counts as known 4 s after SIGHUP, and
# while connections are refused, as a list counts at once when discovery is back.
RECONNECT_DELAY = 0.2
LOGGED_ENDPOINTS = 32  # endpoints named in the log line of a list, whose size only LINE_LIMIT bounds
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError)

log = logging.getLogger(__name__)


async def expect_ok(connection: Connection) -> None:
    if (status := (await connection.response()).status_code) != 200:
        raise ConnectionError(f"discovery answered {status}")


def close_unused(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and not task.exception():
        task.result().close()


class EndpointList:
    """A list, or changes to one, as discovery sends it: a version and endpoints."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.seq, self.is_full = int(document["seq"]), bool(document["whole"])
        self.hosts: dict[str, dict[str, Any]] = {each["host"]: each for each in document["hosts"]}
        self.addresses: dict[str, Address] = {
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
            for each in document["hosts"]
        )


class WatchParser:
    """Parser of a watch: JSON objects, each on one line or indented over several, with empty lines
    between."""

    def __init__(self) -> None:
        # Of the current object in complete lines, and of the current line.
        self.object_bytes = self.line_bytes = b""
        # Whether the newest bytes had an empty line between objects, a keepalive.
        self.keepalive_received = False

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Returns the objects that these bytes complete. Raises if they cannot be the start of one."""
        *lines, self.line_bytes = (self.line_bytes + data).split(b"\n")
        self.keepalive_received, objects = False, []
        for line in lines:
            first, blank = not self.object_bytes, not line.strip()
            if first and blank:
                self.keepalive_received = True
                continue
            self.object_bytes += line + b"\n"
            # Parse only after a closing brace: parsing a long object again at each line would be quadratic.
            if (first or line.rstrip().endswith(b"}")) and (parsed := self.parse_object()) is not None:
                objects.append(parsed)
                self.object_bytes = b""
        if len(self.object_bytes) + len(self.line_bytes) > LINE_LIMIT:
            raise ValueError("an object of the watch is too long")
        return objects

    def parse_object(self) -> dict[str, Any] | None:
        text = self.object_bytes.decode().rstrip()
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
        known: EndpointList,
        on_list: Callable[[face.EndpointsListed], None],
        on_notice_answered: Callable[[str, str], None],
        senders: int = 1,  # sharing this discovery service
    ) -> None:
        self.address, self.on_list, self.on_notice_answered = address, on_list, on_notice_answered
        fleet_factor = max(senders / SMALL_FLEET, 1)
        self.check_every = CHECK_INTERVAL * fleet_factor
        # After a restart or an outage many senders send requests at once. One that gives up early has wasted
        # its place in the queue, is queued last again, and may never get a response.
        self.first_timeout = min(ANSWER_TIMEOUT * fleet_factor, MAX_TIMEOUT)
        self.next_timeout = min(WATCH_TIMEOUT * fleet_factor, MAX_TIMEOUT)
        #: Version of the list; none if it came from another service, whose versions are not comparable.
        self.seq: int | None = known.seq
        # Whether the list is an old one that the current discovery has not confirmed.
        self.is_unconfirmed = False
        self.addresses, self.hosts = dict(known.addresses), dict(known.hosts)
        # every destination that a list has ever named
        self.destinations = {each.destination for each in known.endpoints}
        self.watch_timeout = self.first_timeout  # s; timeout for the head of the next watch
        self.notices: dict[str, dict[str, Any]] = {}
        self.has_notices = asyncio.Event()

    def move(self, address: Address) -> None:
        """Changes the address. The caller starts a new watch; the old one continues until the new one has its
        first list. Notices in flight are answered at the old address or sent again to the new one."""
        self.address, self.seq, self.watch_timeout = address, None, self.first_timeout

    async def watch(self) -> None:
        """Watches the list. Reconnects at once if the watch falls silent, the connection is refused, or the
        watch had lasted a while, as its changes count as known. After any other end the module decides when
        to watch again. The first list of a new address is requested until it comes, as no other source
        reports a drain meanwhile."""
        address, loop = self.address, asyncio.get_running_loop()
        log.info("watching %s:%d from version %s", *address, self.seq)
        while True:
            duration = 0.0
            try:
                connection = await self.open_hedged(address)
                began = loop.time()
                try:
                    await self.read_lines(connection, address)
                finally:
                    connection.close()
                    duration = loop.time() - began
            except (*CONNECTION_ERRORS, *PARSE_ERRORS) as error:
                log.warning("the watch ended: %r", error)
                silent, refused = (isinstance(error, each) for each in (TimeoutError, ConnectionRefusedError))
            else:
                return  # the new address has sent its list
            if address != self.address:
                return
            if self.seq is None or refused:
                await asyncio.sleep(RECONNECT_DELAY * random.uniform(0.5, 1))
            elif not silent and duration < SILENCE_TIMEOUT:
                break
        self.on_list(face.EndpointsListed(face.Listing.FAILED))

    async def open_hedged(self, address: Address) -> Connection:
        """Opens a watch and waits for its head. At a busy discovery, giving up early loses the place in the
        queue; but the request may be lost with a broken connection, so a second one is sent in parallel."""
        requests = pending = {asyncio.create_task(self.open_watch(address))}
        try:
            await asyncio.wait(requests, timeout=HEDGE_DELAY)
            if not any(task.done() for task in requests):
                requests = pending = requests | {asyncio.create_task(self.open_watch(address))}
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if not (error := task.exception()):
                        requests = requests - {task}
                        return task.result()
            raise error
        finally:
            for task in requests:
                task.cancel()
                task.add_done_callback(close_unused)

    async def open_watch(self, address: Address) -> Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            connection = await Connection.open(address)
        try:
            # A watch from the newest version sends nothing, just like one that is dead; so read the list
            # first.
            if self.seq is None or self.is_unconfirmed:
                body = await self.fetch_body(connection, "/registry/instances")
                if address != self.address:
                    raise ConnectionError("discovery has moved")
                self.apply_list(EndpointList(json.loads(body)))
                if not connection.next_cycle():
                    connection.close()
                    async with asyncio.timeout(CONNECT_TIMEOUT):
                        connection = await Connection.open(address)
            await connection.send("GET", f"/registry/instances?watch=1&after={self.seq}", {})
            watch_timeout, self.watch_timeout = self.watch_timeout, self.next_timeout
            async with asyncio.timeout(watch_timeout):
                await expect_ok(connection)
            self.watch_timeout = self.first_timeout
        except BaseException:
            connection.close()
            raise
        return connection

    async def fetch_body(self, connection: Connection, target: str) -> bytes:
        await connection.send("GET", target, {})
        body = bytearray()
        async with asyncio.timeout(self.first_timeout):
            await expect_ok(connection)
            while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
                body += event.data if isinstance(event, h11.Data) else b""
                if len(body) > LINE_LIMIT:
                    raise ValueError("the list is too long")
        return bytes(body)

    async def read_lines(self, connection: Connection, address: Address) -> None:
        parser = WatchParser()
        while True:
            # for a complete object or an empty line, not for single bytes
            async with asyncio.timeout(SILENCE_TIMEOUT):
                while (
                    not (objects := parser.feed(await self.next_data(connection)))
                    and not parser.keepalive_received
                ):
                    pass
            for each in objects:
                if address != self.address and self.seq is not None:
                    return
                self.apply_change(EndpointList(each), address)

    async def next_data(self, connection: Connection) -> bytes:
        while not isinstance(event := await connection.next_event(), h11.Data):
            if isinstance(event, h11.EndOfMessage):
                raise ConnectionError("discovery ended the watch")
        return bytes(event.data)

    def apply_change(self, update: EndpointList, address: Address) -> None:
        if update.is_full or address != self.address or self.seq is None or update.seq > self.seq:
            self.apply_list(update, address)  # otherwise a check has read it before the watch

    async def check_periodically(self, at_once: bool = False) -> None:
        """Compares the full list with the known one, forever: an open watch may still report nothing."""
        failures = 0  # in a row
        if at_once:
            await self.check_once()
        while True:
            pause = self.check_every * 2 ** min(failures, CHECK_DOUBLINGS)
            await asyncio.sleep(pause * random.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER))
            failures = 0 if await self.check_once() else failures + 1

    async def check_once(self) -> bool:
        """Whether discovery could be read."""
        address, version = self.address, self.seq
        if version is None:
            return True  # the watch requests the first list of a new address
        try:
            update = await self.fetch(address)
        except (*CONNECTION_ERRORS, *PARSE_ERRORS) as error:
            log.info("the list could not be read: %s", str(error) or type(error).__name__)
            return False
        if (address, version) == (self.address, self.seq) and update.seq != version:
            log.warning(
                "the watch has reported up to version %d, but the list is at version %d", version, update.seq
            )
            self.apply_list(update, address)
        return True

    async def fetch(self, address: Address) -> EndpointList:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            connection = await Connection.open(address)
        try:
            return EndpointList(json.loads(await self.fetch_body(connection, "/registry/instances")))
        finally:
            connection.close()

    def apply_list(self, update: EndpointList, address: Address | None = None) -> None:
        """Applies a list or its changes. Unreadable ones have raised before, so nothing is applied in
        part."""
        addresses = update.addresses if update.is_full else self.addresses | update.addresses
        removed = {each.id for each in update.endpoints if each.state is face.EndpointState.GONE}
        self.addresses = {
            name: endpoint_address for name, endpoint_address in addresses.items() if name not in removed
        }
        self.hosts = {
            name: each for name, each in (self.hosts | update.hosts).items() if name in self.addresses
        }
        self.destinations |= {each.destination for each in update.endpoints}
        if address in (None, self.address):  # otherwise it came from the previous address
            self.seq, self.is_unconfirmed = update.seq, False
        endpoint_texts = (
            f"{each.id} {each.state.value} at {each.destination}"
            for each in update.endpoints[:LOGGED_ENDPOINTS]
        )
        log.info(
            "list version %d, %s: %s",
            update.seq,
            "full" if update.is_full else "changes",
            ", ".join(endpoint_texts),
        )
        listing = face.Listing.FULL if update.is_full else face.Listing.CHANGES
        self.on_list(face.EndpointsListed(listing, update.endpoints))

    def endpoints(self) -> tuple[face.Endpoint, ...]:
        return EndpointList({"seq": 0, "whole": True, "hosts": self.hosts.values()}).endpoints

    # Handover of the list and of unanswered notices to a newer process.

    def handover_state(self) -> dict[str, Any]:
        return {
            "address": self.address,
            "seq": self.seq,
            "hosts": list(self.hosts.values()),
            "destinations": sorted(self.destinations),
            "notices": self.notices,
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Restores handed-over state. The list's version is dropped if the address differs."""
        known = EndpointList({"seq": 0, "whole": True, "hosts": state["hosts"]})
        self.addresses, self.hosts = known.addresses, known.hosts
        self.seq = state["seq"] if tuple(state["address"]) == self.address else None
        self.destinations |= set(state["destinations"])
        self.notices = dict(state["notices"])
        if self.notices:
            self.has_notices.set()

    def notify(self, message: str, state: str, after: int = 0) -> None:
        """Queues a notice of a message's end, which is sent until it is answered."""
        notice: dict[str, Any] = {"id": message, "state": state}
        if after:
            notice["after_ms"] = -(-after // 1000)
        self.notices[message] = notice
        self.has_notices.set()

    async def send_notices(self) -> None:
        """Posts queued notices, forever; a connection that failed is not used again."""
        connection, attempts, batch_size = None, 0, NOTICE_BATCH_SIZE
        while True:
            await self.has_notices.wait()
            sent, began = dict(list(self.notices.items())[:batch_size]), time.monotonic()
            try:
                async with asyncio.timeout(NOTICE_TIMEOUT * 2 ** min(attempts, NOTICE_DOUBLINGS)):
                    if connection and (connection.address != self.address or connection.is_unusable()):
                        connection.close()
                        connection = None
                    connection = connection or await Connection.open(self.address)
                    lines = [json.dumps(each) + "\n" for each in sent.values()]
                    status = await self.post(connection, "".join(lines))
                if not connection.next_cycle():
                    connection.close()
                    connection = None
            except CONNECTION_ERRORS as error:
                log.warning("notices not answered: %s", str(error) or type(error).__name__)
                status = 0
                if connection:
                    connection.close()
                    connection = None
            if status == 400 and len(sent) > 1:
                batch_size = 1  # send them singly, so that one malformed notice does not block the others
                continue
            if 200 <= status < 300 or status == 400:
                if status == 400:
                    log.error("discovery rejected a notice as malformed: %s", *sent.values())
                attempts = 0
                if (took := time.monotonic() - began) > NOTICE_TIMEOUT / 2:
                    log.info("%d notices answered in %.0f ms", len(sent), took * 1e3)
                for message, notice in sent.items():
                    del self.notices[message]
                    self.on_notice_answered(message, notice["state"])
                if not self.notices:
                    batch_size = NOTICE_BATCH_SIZE
                    self.has_notices.clear()
                continue
            attempts += 1
            await asyncio.sleep(NOTICE_RETRY_DELAY)

    async def post(self, connection: Connection, body: str) -> int:
        data = body.encode()
        await connection.send("POST", "/v1/notices", {"Content-Length": str(len(data))}, data)
        status = (await connection.response()).status_code
        await connection.skip_body()
        return status
