"""Calls to receivers: a pool of kept connections for each endpoint, and what came back as an Outcome."""

import asyncio
import logging
import math
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import h11

from message_sender.interface import NEVER_RAN, Outcome
from message_sender.net.message import HandedIn
from message_sender.net.reuse import Reuse
from plumline.wire.http import (
    BODY_LIMIT,
    BROKEN,
    Address,
    Connection,
    ResponseMalformedError,
    decimal,
    header,
)

IDLE_SHARE = 0.8  # of the receiver's idle limit: a kept connection is dropped that much earlier
BODY_PATIENCE = 0.5  # s for the rest of an answer whose head has come; the body means nothing
LONGEST_WAIT = 3600.0  # s: no message lives so long; a longer told wait would only keep its breaker for ever

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    outcome: Outcome
    finished: bool = False
    wait: int = 0  # us


def answer_from(response: h11.Response) -> Answer:
    """The protocol's table. A status that it does not name may have run."""
    match response.status_code:
        case 200:
            return Answer(Outcome.OK, finished=True)
        case 429:
            told = decimal(header(response.headers, b"retry-after") or "") or 0.0
            return Answer(Outcome.FULL, wait=math.ceil(min(told, LONGEST_WAIT) * 1e6))
        case 503 if header(response.headers, b"x-egress-full") == "1":
            return Answer(Outcome.NOT_SENT)
        case 503:
            return Answer(Outcome.FULL)
        case 504:
            return Answer(Outcome.NOT_SENT)
        case 410:
            return Answer(Outcome.NOT_SENT, finished=True)
        case _:
            return Answer(Outcome.ERROR)


def closes(response: h11.Response) -> bool:
    return (header(response.headers, b"connection") or "").lower() == "close"


@dataclass(slots=True)
class Flight:
    """How far a call is."""

    endpoint: str
    deadline: float  # s, on the loop's clock
    connection: Connection | None = None
    idle: float | None = None  # s for which its connection had stood idle; none for a new one
    written: bool = False  # to its last byte
    heard: bool = False  # the head of its answer
    wait: int = 0  # us; a told one binds, whatever becomes of the rest of its answer
    kept: bool = False  # its connection, for the next call
    given_up: bool = False


class Client:
    """`dials` is discovery's: an endpoint that is no longer in it, or at another address, keeps nothing.
    `most` bounds the connections open at once; to open one more, the one idle for longest is closed."""

    def __init__(
        self,
        conn_idle: float,
        connect_timeout: float,
        most: int,
        dials: Callable[[], Mapping[str, Address]],
        wait_told: Callable[[str, int], None] = lambda endpoint, wait: None,
        forwarded: Callable[[], None] = lambda: None,
    ) -> None:
        self.idle_limit = conn_idle * IDLE_SHARE
        self.connect_timeout, self.most, self.dials = connect_timeout, most, dials
        self.wait_told, self.forwarded = wait_told, forwarded
        # By endpoint, not by address: a new receiver may stand where another one has gone.
        self.pool: dict[str, list[Connection]] = {}
        self.idle: dict[Connection, str] = {}  # the same, the one idle for longest first
        self.open: set[Connection] = set()
        self.flights: dict[str, Flight] = {}  # by message: one call of it is out at a time
        self.connecting = 0
        self.reuse = Reuse()
        self.draining: set[asyncio.Task[None]] = set()

    async def call(
        self,
        endpoint: str,
        message: HandedIn,
        timeout: float,
        may_go: Callable[[], bool],
        once: bool = False,
    ) -> Answer:
        """One call, with a fate known for sure: broken before its last byte is written it never ran. One
        that may have run is the end of a message that may take effect only `once`: it goes on no connection
        that is likely to break."""
        flight = Flight(endpoint, asyncio.get_running_loop().time() + timeout)
        return await self.outcome(message.id, flight, lambda: self.depart(flight, message, may_go, once))

    async def resume(self, name: str, flight: Flight) -> Answer:
        """The rest of a call that another process of this sender wrote."""
        return await self.outcome(name, flight)

    async def outcome(
        self, name: str, flight: Flight, depart: Callable[[], Awaitable[bool]] | None = None
    ) -> Answer:
        self.flights[name] = flight
        try:
            async with asyncio.timeout_at(flight.deadline):
                if depart and not await depart():
                    return Answer(Outcome.NOT_SENT)
                return await self.hear(flight)
        except asyncio.CancelledError:
            flight.given_up = flight.written
            raise
        except TimeoutError:
            flight.given_up = flight.written
            return Answer(Outcome.TIMEOUT if flight.written else Outcome.CONNECT_FAILED, wait=flight.wait)
        except ResponseMalformedError as error:
            # It may have run; a first line of 200 is true all the same.
            if error.said == 200:
                return Answer(Outcome.OK, finished=True)
            return Answer(Outcome.SPOILT, wait=flight.wait)
        except BROKEN:
            return self.broken(flight)
        finally:
            if self.flights.get(name) is flight:
                del self.flights[name]
            # A time-out or a cancel gives the call up: only closing the connection tells the receiver.
            if flight.connection and not flight.kept:
                self.drop(flight.connection)
            if flight.given_up:  # they may have fallen silent with it; a repeat goes on a new one
                self.close_idle(flight.endpoint)

    async def depart(self, flight: Flight, message: HandedIn, may_go: Callable[[], bool], once: bool) -> bool:
        """Writes the call, if it may still go."""
        loop, endpoint = asyncio.get_running_loop(), flight.endpoint
        if (address := self.dials().get(endpoint)) is None:
            return False  # gone since the module chose it
        if connection := self.take_idle(endpoint, once):
            flight.idle = loop.time() - connection.idle_since
        flight.connection = connection = connection or await self.connect(address)
        if not may_go():
            flight.kept = self.keep(endpoint, connection)
            return False
        headers = {
            "X-Correlation-Id": message.id,
            "Idempotency-Key": message.idempotency_key,
            "X-Time-Left": f"{max(flight.deadline - loop.time(), 0.0):.3f}",
            "Content-Length": str(len(message.body)),
        }
        await connection.send("POST", "/hook", headers, message.body)
        flight.written = True
        self.forwarded()
        return True

    async def hear(self, flight: Flight) -> Answer:
        """The answer to what is written."""
        connection, endpoint = flight.connection, flight.endpoint
        assert connection is not None
        response = await connection.early_response()
        flight.heard = True
        self.reuse.count(flight.idle, broke=False)
        if asyncio.get_running_loop().time() >= flight.deadline:
            raise TimeoutError  # the loop was late: whether this still was a delivery is not known
        if response is None:
            flight.kept = self.finish(endpoint, connection)
            return Answer(Outcome.OK, finished=True)
        answer = answer_from(response)
        if answer.outcome is Outcome.FULL and not answer.wait and flight.idle is None and closes(response):
            answer = Answer(Outcome.CROWDED)  # it wants no more connections; limits keep the one they use
        if answer.wait:
            flight.wait = answer.wait
            self.wait_told(endpoint, answer.wait)
        if int(header(response.headers, b"content-length") or 0) > BODY_LIMIT:
            raise ResponseMalformedError(response.status_code, "the answer is too long")
        if answer.outcome in NEVER_RAN:
            # A spoilt answer has run, whatever it says: only a whole one proves that it has not.
            async with asyncio.timeout(BODY_PATIENCE):
                await connection.skip_body()
            flight.kept = connection.next_cycle() and self.keep(endpoint, connection)
        else:
            flight.kept = self.finish(endpoint, connection, later=answer.finished)
        return answer

    def broken(self, flight: Flight) -> Answer:
        if flight.written:
            self.reuse.count(flight.idle, broke=True)
        if flight.idle is None:
            return Answer(Outcome.RESET if flight.written else Outcome.CONNECT_FAILED, wait=flight.wait)
        # It had been given up over there, unseen here, and so may have been the others.
        log.warning("a connection to %s broke after standing idle for %.3f s", flight.endpoint, flight.idle)
        self.close_idle(flight.endpoint)
        return Answer(Outcome.STALE if flight.written else Outcome.NOT_SENT, wait=flight.wait)

    async def connect(self, address: Address) -> Connection:
        if len(self.open) + self.connecting >= self.most and self.idle:
            self.close_one(next(iter(self.idle)))
        self.connecting += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                connection = await Connection.open(address)
        finally:
            self.connecting -= 1
        self.open.add(connection)
        return connection

    def drop(self, connection: Connection) -> None:
        self.open.discard(connection)
        connection.close()

    def finish(self, endpoint: str, connection: Connection, later: bool = True) -> bool:
        """Keeps the connection once the answer is here to its end; `later`: a delivery need not wait.
        Any other call is out until its answer is written or its connection ends, and its message may go
        again at once: what is not whole yet ends with its connection."""
        try:
            if connection.whole():
                return connection.next_cycle() and self.keep(endpoint, connection)
        except BROKEN:
            return False
        if not later:
            return False
        task = asyncio.get_running_loop().create_task(self.drain(endpoint, connection))
        self.draining.add(task)
        task.add_done_callback(self.draining.discard)
        return True

    async def drain(self, endpoint: str, connection: Connection) -> None:
        kept = False
        try:
            async with asyncio.timeout(BODY_PATIENCE):
                await connection.skip_body()
            kept = connection.next_cycle() and self.keep(endpoint, connection)
        except BROKEN:
            pass  # TimeoutError too; whatever becomes of the rest, the outcome stands
        finally:
            if not kept:
                self.drop(connection)

    # Another process of this sender goes on with what is open.

    def hand_over_idle(self) -> Iterator[tuple[dict[str, Any], socket.socket]]:
        for connection, endpoint in list(self.idle.items()):
            told = {"endpoint": endpoint, "address": connection.address, "idle_since": connection.idle_since}
            yield told, connection.sock
            self.close_one(connection)

    def hand_over_call(self, name: str) -> tuple[dict[str, Any], socket.socket] | None:
        """None of what is not written whole, or half answered."""
        flight = self.flights.get(name)
        if not flight or not flight.connection or not flight.written or flight.heard:
            return None
        told = {
            "endpoint": flight.endpoint,
            "address": flight.connection.address,
            "deadline": flight.deadline,
            "idle": flight.idle,
            "unread": flight.connection.codec.trailing_data[0].decode("latin-1"),
        }
        return told, flight.connection.sock

    def let_go(self, name: str) -> None:
        """The call is handed over."""
        flight = self.flights[name]
        assert flight.connection is not None
        flight.kept = True
        self.open.discard(flight.connection)
        flight.connection.let_go()

    def break_off(self, name: str) -> Outcome:
        """Gives a call up before anybody can send its message again."""
        flight = self.flights.get(name)
        if flight and flight.connection:
            flight.connection.break_off()
        return Outcome.CANCELLED if flight and flight.written else Outcome.NOT_SENT

    def adopt_idle(self, told: dict[str, Any], sock: socket.socket) -> None:
        connection = Connection.adopt(sock, tuple(told["address"]))
        self.open.add(connection)
        if self.keep(told["endpoint"], connection):
            connection.idle_since = told["idle_since"]
        else:
            self.drop(connection)

    def adopt_call(self, told: dict[str, Any], sock: socket.socket) -> Flight:
        connection = Connection.adopt(sock, tuple(told["address"]), told["unread"].encode("latin-1"))
        self.open.add(connection)
        return Flight(told["endpoint"], told["deadline"], connection, told["idle"], written=True)

    # The pool.

    def take_idle(self, endpoint: str, once: bool = False) -> Connection | None:
        """The connection used last. Guards against one that the receiver closes as the request goes; what
        may go again takes that risk and shows how large it is."""
        now = asyncio.get_running_loop().time()
        while kept := self.pool.get(endpoint):
            connection = kept[-1]
            if once and self.reuse.risky(now - connection.idle_since):
                return None
            self.leave_pool(connection)
            if not connection.ended() and not self.too_old(connection):
                return connection
            self.drop(connection)
        return None

    def leave_pool(self, connection: Connection) -> None:
        endpoint = self.idle.pop(connection)
        self.pool[endpoint].remove(connection)
        if not self.pool[endpoint]:
            del self.pool[endpoint]

    def keep(self, endpoint: str, connection: Connection) -> bool:
        if self.dials().get(endpoint) != connection.address:
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self.pool.setdefault(endpoint, []).append(connection)
        self.idle[connection] = endpoint
        return True

    def too_old(self, connection: Connection) -> bool:
        return asyncio.get_running_loop().time() - connection.idle_since >= self.idle_limit

    def drop_old(self) -> None:
        """Called now and then, so that what nobody uses holds no descriptor."""
        for connection in [each for each in self.idle if self.too_old(each) or each.ended()]:
            self.close_one(connection)

    def drop_gone(self) -> None:
        """After each line of discovery: what is kept for an endpoint closes with it."""
        for connection, endpoint in list(self.idle.items()):
            if self.dials().get(endpoint) != connection.address:
                self.close_one(connection)

    def close_one(self, connection: Connection) -> None:
        self.leave_pool(connection)
        self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        for connection in list(self.pool.get(endpoint, ())):
            self.close_one(connection)

    def close(self) -> None:
        for task in self.draining:
            task.cancel()
        for connection in list(self.idle):
            self.close_one(connection)
