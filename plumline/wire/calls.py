"""Every HTTP call between the system and endpoints, stores, the platform and operators, in one table, the
names of headers and fields that they use, and the client that makes the outgoing ones.
"""

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Literal

import h11

from plumline.errors import PlumlineError
from plumline.wire.http import BROKEN, Address, Connection

# Headers.
ATTEMPT_ID = "Attempt-Id"
BASED_ON_VERSION = "Based-On-Version"
CACHE_SALT = "Cache-Salt"
CONNECTION = "Connection"
CONTENT_ENCODING = "Content-Encoding"
CONTENT_LENGTH = "Content-Length"
CONTENT_TYPE = "Content-Type"
EXPECT_VERSION = "Expect-Version"
EXPECTED_INSTANCE = "Expected-Instance"
HOST = "Host"
INSTANCE_ID = "Instance-Id"
KEEP_ALIVE = "Keep-Alive"
KV_FETCH = "Kv-Fetch"
KV_SAVE = "Kv-Save"
LAST_EVENT_ID = "Last-Event-Id"
LOCATION = "Location"
MODEL_NAME = "Model-Name"
NOT_EXECUTED = "Not-Executed"
PRIORITY = "Priority"
PROMPT_PREFIX = "Prompt-Prefix"
REMAINING_MILLISECONDS = "Remaining-Milliseconds"
RETRY_AFTER = "Retry-After"
SERVER_SEAL = "Server-Seal"
TENANT_NAME = "Tenant-Name"
TOKEN_COUNTS = "Token-Counts"
VERSIONS = "Versions"
WAIT_MS = "Wait-Ms"
X_API_KEY = "X-Api-Key"

# Parameters of a query.
PAGE_TOKEN = "PageToken"
SINCE = "Since"
ZONE = "Zone"

# Fields of bodies.
ADDRESS = "Address"
BUSY = "Busy"
CALL_SEQUENCE = "CallSequence"
CAPACITY_SLOTS = "CapacitySlots"
COLD_REMAINING_MS = "ColdRemainingMs"
EPOCH = "Epoch"
EVENTS = "Events"
EXPECTED_COUNT = "ExpectedCount"
FENCE_NUMBER = "FenceNumber"
HELD = "Held"
HOLDER = "Holder"
IDENTIFIER = "Identifier"
INSTANCES = "Instances"
LOST = "Lost"
METHOD = "Method"
MODEL = "Model"
MODELS = "Models"
NAME = "Name"
NEXT_TOKEN = "NextToken"
OPERATION = "Operation"
SERVICE = "Service"
STAGE = "Stage"
STATE = "State"
VERSION = "Version"

JSON = "application/json"
MOST_ANSWER = 4 * 1024 * 1024  # bytes of one answer's body
MOST_IDLE = 32  # idle connections kept, all addresses together
IDLE_S = 20.0  # a connection idle for longer is not used again
IDLE_SHARE = 0.75  # of the time that the other side gives: what is sent at the very end meets a close
CONNECT_S = 0.4  # a machine without power says nothing, and connecting to it hangs

Direction = Literal["out", "in"]
Price = Literal["none", "probe", "platform", "order", "probe-or-wait"]


@dataclass(frozen=True, slots=True)
class Call:
    """One row of the table: who calls whom with what, and which statuses the pages name for it.

    `matched`: its answer says what it answers, or is of no harm to another call. One that isn't goes out on a
    new connection, where no late answer to another call can stand in for its own.
    """

    name: str
    method: str
    path: str
    answers: tuple[int, ...]
    priced: Price
    direction: Direction = "out"
    matched: bool = True


CALLS: dict[str, Call] = {
    call.name: call
    for call in (
        Call("instances", "GET", "/instances", (200, 429), "platform"),
        Call("report", "GET", "/report", (200,), "probe"),
        Call("order", "POST", "/order", (200, 202, 400, 409, 412, 421), "order", matched=False),
        Call("health", "GET", "/health", (200, 503), "probe"),
        # Priced as a probe when it is over the limit or waits under 200 ms.
        Call("kv_events", "GET", "/kv-events", (200, 429), "probe-or-wait"),
        Call("kv_list", "GET", "/kv-list", (200, 429), "probe"),
        Call("configuration_replace", "POST", "/Configuration.Replace", (200, 400, 412, 503), "none", "in"),
        Call("configuration_amend", "POST", "/Configuration.Amend", (200, 400, 412, 503), "none", "in"),
        Call("configuration_read", "GET", "/Configuration.Read", (200, 503), "none", "in"),
        Call("version_put", "POST", "/version-put", (200, 400, 503), "none", "in"),
        Call("rollout_start", "POST", "/Rollouts.Start", (200, 400, 409, 503), "none", "in"),
        # The path goes on with the name of a service.
        Call("rollout_read", "GET", "/Rollouts.Read/", (200, 404, 503), "none", "in"),
        Call("readiness", "GET", "/readiness", (200, 503), "none", "in"),
    )
}

INCOMING: dict[tuple[str, str], Call] = {
    (call.method, call.path): call for call in CALLS.values() if call.direction == "in"
}


class CallFailedError(PlumlineError):
    """No whole answer came. `sent`: a byte of the request may have gone out, so it may be done."""

    code, status = "call-failed", 502

    def __init__(self, text: str = "", *, sent: bool = False) -> None:
        super().__init__(text)
        self.sent = sent


class CallTimeoutError(CallFailedError):
    """The time given for the call ran out."""

    code, status = "call-timeout", 504


class CallWithdrawnError(CallFailedError):
    """The caller's own `prepare` held the call back at the moment of sending; no byte of it went."""

    code, status = "call-withdrawn", 503


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer. `headers`: the first of each, by lower-case name; `json`: None if it isn't JSON."""

    status: int
    headers: dict[str, str]
    json: Any


@dataclass(slots=True)
class Idle:
    """A kept connection and the steady time (s) after which it is not used again."""

    connection: Connection
    until: float


class Caller:
    """Makes the outgoing calls of the table and keeps few idle connections, one an address.

    It never sends a call twice by itself, and of one that it gives up nothing leaves any more.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.idle: dict[Address, Idle] = {}

    async def call(
        self,
        name: str,
        address: Address,
        *,
        query: str = "",
        headers: Mapping[str, str] | None = None,
        body: Any = None,  # noqa: ANN401
        prepare: Callable[[], Any] | None = None,
        path: str = "",
        timeout_s: float,
        connect_s: float = CONNECT_S,
    ) -> Answer:
        """One call; any status is an answer. `body` goes as JSON; `path` stands in for the table's.

        `prepare`, if given, is run when the connection is up, with nothing awaited between it and the first
        byte: it returns the body, or raises CallWithdrawnError. Raises CallFailedError, CallTimeoutError.

        Once a call has failed or was cancelled, no byte of it can arrive any more: its connection is reset.
        """
        row = CALLS[name]
        target = (path or row.path) + (f"?{query}" if query else "")
        sent = False
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s) as whole:
                connection = await self._connected(row, address, min(connect_s, timeout_s))
                connection.give_up_after(timeout_s)
                if prepare:
                    body = prepare()
                data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
                lines = dict(headers or {})
                if data:
                    lines |= {CONTENT_TYPE: JSON, CONTENT_LENGTH: str(len(data))}
                sent = True
                await connection.send(row.method, target, lines, data)
                answer = await self._answer(connection, lines.get(ATTEMPT_ID))
        except TimeoutError:
            late = f"no answer in {timeout_s} s" if whole.expired() else "the head does not end"
            raise CallTimeoutError(f"{name}: {late}", sent=sent) from None
        except BROKEN as error:
            raise CallFailedError(f"{name}: {error or type(error).__name__}", sent=sent) from error
        else:
            if not self._keep(connection, answer):
                connection.close()
            connection = None
            return answer
        finally:
            if connection and sent:
                connection.reset()  # what has not left yet never will
            elif connection:
                connection.close()

    async def _connected(self, row: Call, address: Address, connect_s: float) -> Connection:
        """A kept connection, or a new one."""
        kept = self._reused(address) if row.matched else None
        return kept or await self._opened(address, connect_s)

    async def _opened(self, address: Address, connect_s: float) -> Connection:
        try:
            async with asyncio.timeout(connect_s):
                return await Connection.open(address)
        except TimeoutError:
            raise CallTimeoutError(f"no connection in {connect_s} s") from None

    async def _answer(self, connection: Connection, attempt_id: str | None) -> Answer:
        """The whole answer. Guards against bodies without measure and against another call's answer."""
        response = await connection.response()
        headers: dict[str, str] = {}
        for key, value in response.headers:
            headers.setdefault(key.decode("latin-1"), value.decode("latin-1"))
        body = bytearray()
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_ANSWER:
                    raise CallFailedError(f"the answer is longer than {MOST_ANSWER} bytes", sent=True)
        told = headers.get(ATTEMPT_ID.lower())
        if attempt_id and told and told != attempt_id:
            raise CallFailedError("the answer belongs to another call", sent=True)
        return Answer(response.status_code, headers, decoded(bytes(body)))

    def _reused(self, address: Address) -> Connection | None:
        idle = self.idle.pop(address, None)
        if idle is None:
            return None
        if self.clock() < idle.until and not idle.connection.ended():
            return idle.connection
        idle.connection.close()
        return None

    def _keep(self, connection: Connection, answer: Answer) -> bool:
        """Whether the connection is kept for the next call: it is clean, and isn't said to end."""
        seconds = idle_seconds(answer.headers)
        if not seconds or not connection.next_cycle() or connection.address in self.idle:
            return False
        if len(self.idle) >= MOST_IDLE:
            self.idle.pop(next(iter(self.idle))).connection.close()
        self.idle[connection.address] = Idle(connection, self.clock() + seconds)
        return True

    def forget(self, address: Address) -> None:
        """The address is gone, or may soon be another's: its idle connection is closed."""
        if idle := self.idle.pop(address, None):
            idle.connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self.idle.values():
            idle.connection.close()
        self.idle.clear()


def idle_seconds(headers: Mapping[str, str]) -> float:
    """For how long (s) a connection may be kept after an answer with these headers; 0 if not at all."""
    if "close" in headers.get("connection", "").lower():
        return 0.0
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal() and value.isascii():
            return min(IDLE_S, int(value.strip()[:6]) * IDLE_SHARE)
    return IDLE_S


def decoded(body: bytes) -> Any:  # noqa: ANN401
    """The JSON value in a body; None if there is none."""
    try:
        return json.loads(body) if body else None
    except (ValueError, RecursionError):
        return None
