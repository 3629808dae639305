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
from message_sender.net.reuse import ReuseRisk
from plumline.wire.http import (
    CONNECTION_ERRORS,
    MAX_BODY_BYTES,
    Address,
    Connection,
    ResponseMalformedError,
    header,
    parse_decimal,
)

IDLE_LIMIT_SHARE = 0.8  # of the receiver's idle limit, after which a pooled connection is closed
BODY_TIMEOUT = 0.5  # s for the rest of a response after its head; the body is not used
# s; no deadline is as long, so a longer Retry-After would only keep its breaker in memory
MAX_WAIT = 3600.0

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
            retry_after = parse_decimal(header(response.headers, b"retry-after") or "") or 0.0
            return Answer(Outcome.FULL, wait=math.ceil(min(retry_after, MAX_WAIT) * 1e6))
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


def closes_connection(response: h11.Response) -> bool:
    return (header(response.headers, b"connection") or "").lower() == "close"


@dataclass(slots=True)
class CallProgress:
    """The progress of one call."""

    endpoint: str
    deadline: float  # s, on the loop's clock
    connection: Connection | None = None
    idle_seconds: float | None = None  # s for which its connection was idle before; none for a new one
    written: bool = False  # the whole request is written
    head_received: bool = False  # the head of the response has come
    wait: int = 0  # us; a Retry-After applies even if the rest of the response is lost
    connection_kept: bool = False  # its connection stays open for the next call
    abandoned: bool = False


class Client:
    """`addresses`: endpoint addresses as listed by discovery; connections to an endpoint that is unlisted or
    has a new address are not kept. `max_connections`: limit of open connections; at the limit, opening one
    closes the one idle for longest."""

    def __init__(
        self,
        conn_idle: float,
        connect_timeout: float,
        max_connections: int,
        addresses: Callable[[], Mapping[str, Address]],
        on_wait: Callable[[str, int], None] = lambda endpoint, wait: None,
        on_forwarded: Callable[[], None] = lambda: None,
    ) -> None:
        self.idle_limit = conn_idle * IDLE_LIMIT_SHARE
        self.connect_timeout, self.addresses = connect_timeout, addresses
        self.max_connections = max_connections
        self.on_wait, self.on_forwarded = on_wait, on_forwarded
        # By endpoint, not by address: a new receiver may get the address of a removed one.
        self.pool: dict[str, list[Connection]] = {}
        self.idle: dict[Connection, str] = {}  # the same connections, the one idle for longest first
        self.open: set[Connection] = set()
        self.in_flight: dict[str, CallProgress] = {}  # by message, which has one call in flight at most
        self.connecting = 0
        self.reuse = ReuseRisk()
        self.draining: set[asyncio.Task[None]] = set()

    async def call(
        self,
        endpoint: str,
        message: HandedIn,
        timeout: float,
        may_go: Callable[[], bool],
        at_most_once: bool = False,
    ) -> Answer:
        """Sends a message once. A call that breaks before its last byte is written has not run. One that may
        have run ends a message that must take effect `at_most_once`, so such a message avoids pooled
        connections that are likely to break."""
        progress = CallProgress(endpoint, asyncio.get_running_loop().time() + timeout)
        return await self.run_call(
            message.id, progress, lambda: self.send_request(progress, message, may_go, at_most_once)
        )

    async def resume(self, name: str, progress: CallProgress) -> Answer:
        """Waits for the response to a call that the previous process wrote."""
        return await self.run_call(name, progress)

    async def run_call(
        self, name: str, progress: CallProgress, send_request: Callable[[], Awaitable[bool]] | None = None
    ) -> Answer:
        self.in_flight[name] = progress
        try:
            async with asyncio.timeout_at(progress.deadline):
                if send_request and not await send_request():
                    return Answer(Outcome.NOT_SENT)
                return await self.read_response(progress)
        except asyncio.CancelledError:
            progress.abandoned = progress.written
            raise
        except TimeoutError:
            progress.abandoned = progress.written
            return Answer(Outcome.TIMEOUT if progress.written else Outcome.CONNECT_FAILED, wait=progress.wait)
        except ResponseMalformedError as error:
            # The request may have run; a status line of 200 still means success.
            if error.claimed_status == 200:
                return Answer(Outcome.OK, finished=True)
            return Answer(Outcome.SPOILT, wait=progress.wait)
        except CONNECTION_ERRORS:
            return self.answer_for_break(progress)
        finally:
            if self.in_flight.get(name) is progress:
                del self.in_flight[name]
            # After a timeout or a cancel, only closing the connection tells the receiver.
            if progress.connection and not progress.connection_kept:
                self.drop(progress.connection)
            if progress.abandoned:  # the endpoint's idle connections may be dead too; a retry opens a new one
                self.close_idle(progress.endpoint)

    async def send_request(
        self, progress: CallProgress, message: HandedIn, may_go: Callable[[], bool], at_most_once: bool
    ) -> bool:
        """Writes the request, unless the endpoint has been removed or `may_go` forbids it by now."""
        loop, endpoint = asyncio.get_running_loop(), progress.endpoint
        if (address := self.addresses().get(endpoint)) is None:
            return False  # removed from the list since the module chose it
        if connection := self.take_idle(endpoint, at_most_once):
            progress.idle_seconds = loop.time() - connection.idle_since
        progress.connection = connection = connection or await self.connect(address)
        if not may_go():
            progress.connection_kept = self.keep(endpoint, connection)
            return False
        headers = {
            "X-Correlation-Id": message.id,
            "Idempotency-Key": message.idempotency_key,
            "X-Time-Left": f"{max(progress.deadline - loop.time(), 0.0):.3f}",
            "Content-Length": str(len(message.body)),
        }
        await connection.send("POST", "/hook", headers, message.body)
        progress.written = True
        self.on_forwarded()
        return True

    async def read_response(self, progress: CallProgress) -> Answer:
        """Reads the response to the written request."""
        connection, endpoint = progress.connection, progress.endpoint
        assert connection is not None
        response = await connection.early_response()
        progress.head_received = True
        self.reuse.record(progress.idle_seconds, broke=False)
        if asyncio.get_running_loop().time() >= progress.deadline:
            # the loop was late, so it is not known whether this response was still in time
            raise TimeoutError
        if response is None:
            progress.connection_kept = self.finish_response(endpoint, connection)
            return Answer(Outcome.OK, finished=True)
        answer = answer_from(response)
        if (
            answer.outcome is Outcome.FULL
            and not answer.wait
            and progress.idle_seconds is None
            and closes_connection(response)
        ):
            # a new connection was refused at the endpoint's limit; open ones stay usable
            answer = Answer(Outcome.CROWDED)
        if answer.wait:
            progress.wait = answer.wait
            self.on_wait(endpoint, answer.wait)
        if int(header(response.headers, b"content-length") or 0) > MAX_BODY_BYTES:
            raise ResponseMalformedError(response.status_code, "the answer is too long")
        if answer.outcome in NEVER_RAN:
            # A malformed response may mean that the request ran; only a complete one proves that it did not.
            async with asyncio.timeout(BODY_TIMEOUT):
                await connection.skip_body()
            progress.connection_kept = connection.next_cycle() and self.keep(endpoint, connection)
        else:
            progress.connection_kept = self.finish_response(
                endpoint, connection, in_background=answer.finished
            )
        return answer

    def answer_for_break(self, progress: CallProgress) -> Answer:
        if progress.written:
            self.reuse.record(progress.idle_seconds, broke=True)
        if progress.idle_seconds is None:
            return Answer(Outcome.RESET if progress.written else Outcome.CONNECT_FAILED, wait=progress.wait)
        # The receiver had closed the idle connection unnoticed, and may have closed the others as well.
        log.warning(
            "a connection to %s broke after being idle for %.3f s", progress.endpoint, progress.idle_seconds
        )
        self.close_idle(progress.endpoint)
        return Answer(Outcome.STALE if progress.written else Outcome.NOT_SENT, wait=progress.wait)

    async def connect(self, address: Address) -> Connection:
        if len(self.open) + self.connecting >= self.max_connections and self.idle:
            self.close_idle_connection(next(iter(self.idle)))
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

    def finish_response(self, endpoint: str, connection: Connection, in_background: bool = True) -> bool:
        """Returns the connection to the pool once the response is complete. `in_background`: the body may be
        read in the background, as a delivery need not wait for it. A call with another outcome may be retried
        at once, so its connection is closed unless the response is already complete."""
        try:
            if connection.is_response_complete():
                return connection.next_cycle() and self.keep(endpoint, connection)
        except CONNECTION_ERRORS:
            return False
        if not in_background:
            return False
        task = asyncio.get_running_loop().create_task(self.drain_body(endpoint, connection))
        self.draining.add(task)
        task.add_done_callback(self.draining.discard)
        return True

    async def drain_body(self, endpoint: str, connection: Connection) -> None:
        kept = False
        try:
            async with asyncio.timeout(BODY_TIMEOUT):
                await connection.skip_body()
            kept = connection.next_cycle() and self.keep(endpoint, connection)
        except CONNECTION_ERRORS:
            pass  # also TimeoutError; the outcome is already decided
        finally:
            if not kept:
                self.drop(connection)

    # Handover of open connections to a newer process.

    def hand_over_idle(self) -> Iterator[tuple[dict[str, Any], socket.socket]]:
        for connection, endpoint in list(self.idle.items()):
            details = {
                "endpoint": endpoint,
                "address": connection.address,
                "idle_since": connection.idle_since,
            }
            yield details, connection.sock
            self.close_idle_connection(connection)

    def hand_over_call(self, name: str) -> tuple[dict[str, Any], socket.socket] | None:
        """None if the request is not completely written, or the response has begun."""
        progress = self.in_flight.get(name)
        if not progress or not progress.connection or not progress.written or progress.head_received:
            return None
        details = {
            "endpoint": progress.endpoint,
            "address": progress.connection.address,
            "deadline": progress.deadline,
            "idle": progress.idle_seconds,
            "unread": progress.connection.codec.trailing_data[0].decode("latin-1"),
        }
        return details, progress.connection.sock

    def release_call(self, name: str) -> None:
        """Releases a call that is handed over."""
        progress = self.in_flight[name]
        assert progress.connection is not None
        progress.connection_kept = True
        self.open.discard(progress.connection)
        progress.connection.close_after_handover()

    def abort_call(self, name: str) -> Outcome:
        """Aborts a call before its message can be sent again."""
        progress = self.in_flight.get(name)
        if progress and progress.connection:
            progress.connection.shut_down()
        return Outcome.CANCELLED if progress and progress.written else Outcome.NOT_SENT

    def adopt_idle(self, details: dict[str, Any], sock: socket.socket) -> None:
        connection = Connection.from_socket(sock, tuple(details["address"]))
        self.open.add(connection)
        if self.keep(details["endpoint"], connection):
            connection.idle_since = details["idle_since"]
        else:
            self.drop(connection)

    def adopt_call(self, details: dict[str, Any], sock: socket.socket) -> CallProgress:
        connection = Connection.from_socket(
            sock, tuple(details["address"]), details["unread"].encode("latin-1")
        )
        self.open.add(connection)
        return CallProgress(
            details["endpoint"], details["deadline"], connection, details["idle"], written=True
        )

    # Connection pool.

    def take_idle(self, endpoint: str, at_most_once: bool = False) -> Connection | None:
        """The most recently used connection, or none. A message that must take effect `at_most_once` gets
        none if the receiver is likely to close it during the request; other messages take that risk, which is
        how it is measured."""
        now = asyncio.get_running_loop().time()
        while kept := self.pool.get(endpoint):
            connection = kept[-1]
            if at_most_once and self.reuse.is_risky(now - connection.idle_since):
                return None
            self.remove_from_pool(connection)
            if not connection.is_unusable() and not self.is_expired(connection):
                return connection
            self.drop(connection)
        return None

    def remove_from_pool(self, connection: Connection) -> None:
        endpoint = self.idle.pop(connection)
        self.pool[endpoint].remove(connection)
        if not self.pool[endpoint]:
            del self.pool[endpoint]

    def keep(self, endpoint: str, connection: Connection) -> bool:
        if self.addresses().get(endpoint) != connection.address:
            return False
        connection.idle_since = asyncio.get_running_loop().time()
        self.pool.setdefault(endpoint, []).append(connection)
        self.idle[connection] = endpoint
        return True

    def is_expired(self, connection: Connection) -> bool:
        return asyncio.get_running_loop().time() - connection.idle_since >= self.idle_limit

    def close_expired(self) -> None:
        """Closes idle connections that have expired or ended, to free their descriptors. Called
        periodically."""
        for connection in [each for each in self.idle if self.is_expired(each) or each.is_unusable()]:
            self.close_idle_connection(connection)

    def close_unlisted(self) -> None:
        """Closes the idle connections of endpoints that discovery has removed or moved."""
        for connection, endpoint in list(self.idle.items()):
            if self.addresses().get(endpoint) != connection.address:
                self.close_idle_connection(connection)

    def close_idle_connection(self, connection: Connection) -> None:
        self.remove_from_pool(connection)
        self.drop(connection)

    def close_idle(self, endpoint: str) -> None:
        for connection in list(self.pool.get(endpoint, ())):
            self.close_idle_connection(connection)

    def close(self) -> None:
        for task in self.draining:
            task.cancel()
        for connection in list(self.idle):
            self.close_idle_connection(connection)
