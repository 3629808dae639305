"""Calls to receivers: a connection pool for each endpoint, and the mapping of responses to outcomes."""

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

IDLE_SHARE = 0.8  # of the receiver's idle limit, after which a pooled connection is closed
BODY_PATIENCE = 0.5  # s for the rest of a response after its head; the body is not used
# s; no deadline is as long, so a longer Retry-After would only keep its breaker in memory
LONGEST_WAIT = 3600.0

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    outcome: Outcome
    finished: bool = False
    wait: int = 0  # us


def answer_from(response: h11.Response) -> Answer:
    """Maps a response to an outcome by the protocol's table. After a status that is not in it the request may
    have run."""
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
    """The progress of one call."""

    endpoint: str
    deadline: float  # s, on the loop's clock
    connection: Connection | None = None
    idle: float | None = None  # s for which its connection was idle before; none for a new one
    written: bool = False  # the whole request is written
    heard: bool = False  # the head of the response has come
    wait: int = 0  # us; a Retry-After applies even if the rest of the response is lost
    kept: bool = False  # its connection stays open for the next call
    given_up: bool = False


class Client:
    """`dials`: endpoint addresses as listed by discovery; connections to an endpoint that is unlisted or has
    a new address are not kept. `most`: limit of open connections; at the limit, opening one closes the one
    idle for longest."""

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
        # By endpoint, not by address: a new receiver may get the address of a removed one.
        self.pool: dict[str, list[Connection]] = {}
        self.idle: dict[Connection, str] = {}  # the same connections, the one idle for longest first
        self.open: set[Connection] = set()
        self.flights: dict[str, Flight] = {}  # by message, which has one call in flight at most
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
        """Sends a message once. A call that breaks before its last byte is written has not run. One that may
        have run ends a message that must take effect `once` at most, so such a message avoids pooled
        connections that are likely to break."""
        flight = Flight(endpoint, asyncio.get_running_loop().time() + timeout)
        return await self.outcome(message.id, flight, lambda: self.depart(flight, message, may_go, once))

    async def resume(self, name: str, flight: Flight) -> Answer:
        """Waits for the response to a call that the previous process wrote."""
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
            # The request may have run; a status line of 200 still means success.
            if error.said == 200:
                return Answer(Outcome.OK, finished=True)
            return Answer(Outcome.SPOILT, wait=flight.wait)
        except BROKEN:
            return self.broken(flight)
        finally:
            if self.flights.get(name) is flight:
                del self.flights[name]
            # After a timeout or a cancel, only closing the connection tells the receiver.
            if flight.connection and not flight.kept:
                self.drop(flight.connection)
            if flight.given_up:  # the endpoint's idle connections may be dead too; a retry opens a new one
                self.close_idle(flight.endpoint)

    async def depart(self, flight: Flight, message: HandedIn, may_go: Callable[[], bool], once: bool) -> bool:
        """Writes the request, unless the endpoint has been removed or `may_go` forbids it by now."""
        loop, endpoint = asyncio.get_running_loop(), flight.endpoint
        if (address := self.dials().get(endpoint)) is None:
            return False  # removed from the list since the module chose it
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
        """Reads the response to the written request."""
        connection, endpoint = flight.connection, flight.endpoint
        assert connection is not None
        response = await connection.early_response()
        flight.heard = True
        self.reuse.count(flight.idle, broke=False)
        if asyncio.get_running_loop().time() >= flight.deadline:
            # the loop was late, so it is not known whether this response was still in time
            raise TimeoutError
        if response is None:
            flight.kept = self.finish(endpoint, connection)
            return Answer(Outcome.OK, finished=True)
        answer = answer_from(response)
        if answer.outcome is Outcome.FULL and not answer.wait and flight.idle is None and closes(response):
            # a new connection was refused at the endpoint's limit; open ones stay usable
            answer = Answer(Outcome.CROWDED)
        if answer.wait:
            flight.wait = answer.wait
            self.wait_told(endpoint, answer.wait)
        if int(header(response.headers, b"content-length") or 0) > BODY_LIMIT:
            raise ResponseMalformedError(response.status_code, "the answer is too long")
        if answer.outcome in NEVER_RAN:
            # A malformed response may mean that the request ran; only a complete one proves that it did not.
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
        # The receiver had closed the idle connection unnoticed, and may have closed the others as well.
        log.warning("a connection to %s broke after being idle for %.3f s", flight.endpoint, flight.idle)
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
        """Returns the connection to the pool once the response is complete. `later`: the body may be read in
        the background, as a delivery need not wait for it. A call with another outcome may be retried at
        once, so its connection is closed unless the response is already complete."""
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
            pass  # also TimeoutError; the outcome is already decided
        finally:
            if not kept:
                self.drop(connection)

    # Handover of open connections to a newer process.

    def hand_over_idle(self) -> Iterator[tuple[dict[str, Any], socket.socket]]:
        for connection, endpoint in list(self.idle.items()):
            told = {"endpoint": endpoint, "address": connection.address, "idle_since": connection.idle_since}
            yield told, connection.sock
            self.close_one(connection)

    def hand_over_call(self, name: str) -> tuple[dict[str, Any], socket.socket] | None:
        """None if the request is not completely written, or the response has begun."""
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
        """Releases a call that is handed over."""
        flight = self.flights[name]
        assert flight.connection is not None
        flight.kept = True
        self.open.discard(flight.connection)
        flight.connection.let_go()

    def break_off(self, name: str) -> Outcome:
        """Aborts a call before its message can be sent again."""
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

    # Connection pool.

    def take_idle(self, endpoint: str, once: bool = False) -> Connection | None:
        """The most recently used connection, or none. A message that must take effect `once` at most gets
        none if the receiver is likely to close it during the request; other messages take that risk, which is
        how it is measured."""
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
        """Closes idle connections that have expired or ended, to free their descriptors. Called
        periodically."""
        for connection in [each for each in self.idle if self.too_old(each) or each.ended()]:
            self.close_one(connection)

    def drop_gone(self) -> None:
        """Closes the idle connections of endpoints that discovery has removed or moved."""
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
