"""A table of all HTTP calls between the system and endpoints, stores, the platform and operators, the names
of their headers and fields, and the client for the outgoing calls.
"""

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Literal

import h11

from plumline.errors import PlumlineError
from plumline.wire.http import CONNECTION_ERRORS, Address, Connection

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

# Query parameters.
PAGE_TOKEN = "PageToken"
SINCE = "Since"
ZONE = "Zone"

# Body fields.
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
MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 32  # over all addresses
MAX_IDLE_S = 20.0  # a connection that was idle for longer is not reused
# Of the server's keep-alive timeout: a request sent at its very end would meet a closing connection.
KEEP_ALIVE_FRACTION = 0.75
CONNECT_TIMEOUT_S = 0.4  # a machine without power doesn't respond, so connecting to it hangs

Direction = Literal["out", "in"]
CostClass = Literal["none", "probe", "platform", "order", "probe-or-wait"]


@dataclass(frozen=True, slots=True)
class Call:
    """One row of the table: the direction of the call, its request line and its documented statuses.

    `response_matchable`: the response identifies its request, or does no harm if it is taken for that of
    another call. Otherwise the call uses a new connection, where no late response to an earlier call can
    be taken for its own.
    """

    name: str
    method: str
    path: str
    answers: tuple[int, ...]
    cost_class: CostClass
    direction: Direction = "out"
    response_matchable: bool = True


CALLS: dict[str, Call] = {
    call.name: call
    for call in (
        Call("instances", "GET", "/instances", (200, 429), "platform"),
        Call("report", "GET", "/report", (200,), "probe"),
        Call("order", "POST", "/order", (200, 202, 400, 409, 412, 421), "order", response_matchable=False),
        Call("health", "GET", "/health", (200, 503), "probe"),
        # Costs as much as a probe when it is over the limit or waits for less than 200 ms.
        Call("kv_events", "GET", "/kv-events", (200, 429), "probe-or-wait"),
        Call("kv_list", "GET", "/kv-list", (200, 429), "probe"),
        Call("configuration_replace", "POST", "/Configuration.Replace", (200, 400, 412, 503), "none", "in"),
        Call("configuration_amend", "POST", "/Configuration.Amend", (200, 400, 412, 503), "none", "in"),
        Call("configuration_read", "GET", "/Configuration.Read", (200, 503), "none", "in"),
        Call("version_put", "POST", "/version-put", (200, 400, 503), "none", "in"),
        Call("rollout_start", "POST", "/Rollouts.Start", (200, 400, 409, 503), "none", "in"),
        # The name of a service is appended to the path.
        Call("rollout_read", "GET", "/Rollouts.Read/", (200, 404, 503), "none", "in"),
        Call("readiness", "GET", "/readiness", (200, 503), "none", "in"),
    )
}

INCOMING: dict[tuple[str, str], Call] = {
    (call.method, call.path): call for call in CALLS.values() if call.direction == "in"
}


class CallFailedError(PlumlineError):
    """No complete response was received. `sent`: part of the request may have been sent, so the call may have
    been executed."""

    code, status = "call-failed", 502

    def __init__(self, text: str = "", *, sent: bool = False) -> None:
        super().__init__(text)
        self.sent = sent


class CallTimeoutError(CallFailedError):
    """The call's timeout has expired."""

    code, status = "call-timeout", 504


class CallWithdrawnError(CallFailedError):
    """The caller's `prepare` cancelled the call just before sending; nothing was sent."""

    code, status = "call-withdrawn", 503


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response. `headers` has the first value of each header by lower-case name; `json` is None if
    the body is not valid JSON."""

    status: int
    headers: dict[str, str]
    json: Any


@dataclass(slots=True)
class IdleConnection:
    """An idle connection and the monotonic time in s after which it is not reused."""

    connection: Connection
    expires_at: float


class Caller:
    """Makes the outgoing calls of the table and keeps a limited number of idle connections, one per address.

    It never retries a call by itself, and sends no more bytes of a call that has failed.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.idle: dict[Address, IdleConnection] = {}

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
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Answer:
        """Makes one call; any status is a response. `body` is sent as JSON; `path` overrides the table.

        `prepare`, if given, is called when the connection is established, with no await before the first
        byte is sent. It returns the body or raises CallWithdrawnError.

        After a failure or cancellation the connection is reset, so no more bytes of the call can arrive.
        Raises CallFailedError, CallTimeoutError.
        """
        row = CALLS[name]
        target = (path or row.path) + (f"?{query}" if query else "")
        sent = False
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s) as call_timeout:
                connection = await self._connection_for(row, address, min(connect_timeout_s, timeout_s))
                connection.set_user_timeout(timeout_s)
                if prepare:
                    body = prepare()
                data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
                lines = dict(headers or {})
                if data:
                    lines |= {CONTENT_TYPE: JSON, CONTENT_LENGTH: str(len(data))}
                sent = True
                await connection.send(row.method, target, lines, data)
                answer = await self._read_answer(connection, lines.get(ATTEMPT_ID))
        except TimeoutError:
            reason = f"no answer in {timeout_s} s" if call_timeout.expired() else "the head does not end"
            raise CallTimeoutError(f"{name}: {reason}", sent=sent) from None
        except CONNECTION_ERRORS as error:
            raise CallFailedError(f"{name}: {error or type(error).__name__}", sent=sent) from error
        else:
            if not self._keep_if_reusable(connection, answer):
                connection.close()
            connection = None
            return answer
        finally:
            if connection and sent:
                connection.reset()  # drops bytes that are still in the send buffer
            elif connection:
                connection.close()

    async def _connection_for(self, row: Call, address: Address, connect_timeout_s: float) -> Connection:
        """An idle connection if the call allows it, otherwise a new one."""
        idle = self._pop_idle(address) if row.response_matchable else None
        return idle or await self._open_connection(address, connect_timeout_s)

    async def _open_connection(self, address: Address, connect_timeout_s: float) -> Connection:
        try:
            async with asyncio.timeout(connect_timeout_s):
                return await Connection.open(address)
        except TimeoutError:
            raise CallTimeoutError(f"no connection in {connect_timeout_s} s") from None

    async def _read_answer(self, connection: Connection, attempt_id: str | None) -> Answer:
        """Reads the complete response. Rejects bodies that are too long and responses to other calls."""
        response = await connection.response()
        headers: dict[str, str] = {}
        for key, value in response.headers:
            headers.setdefault(key.decode("latin-1"), value.decode("latin-1"))
        body = bytearray()
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BODY_BYTES:
                    raise CallFailedError(
                        f"the answer is longer than {MAX_RESPONSE_BODY_BYTES} bytes", sent=True
                    )
        response_id = headers.get(ATTEMPT_ID.lower())
        if attempt_id and response_id and response_id != attempt_id:
            raise CallFailedError("the answer belongs to another call", sent=True)
        return Answer(response.status_code, headers, parse_json(bytes(body)))

    def _pop_idle(self, address: Address) -> Connection | None:
        idle = self.idle.pop(address, None)
        if idle is None:
            return None
        if self.clock() < idle.expires_at and not idle.connection.is_unusable():
            return idle.connection
        idle.connection.close()
        return None

    def _keep_if_reusable(self, connection: Connection, answer: Answer) -> bool:
        """Keeps the connection for the next call if it can be reused, and returns whether it does."""
        seconds = idle_seconds(answer.headers)
        if not seconds or not connection.next_cycle() or connection.address in self.idle:
            return False
        if len(self.idle) >= MAX_IDLE_CONNECTIONS:
            self.idle.pop(next(iter(self.idle))).connection.close()
        self.idle[connection.address] = IdleConnection(connection, self.clock() + seconds)
        return True

    def forget(self, address: Address) -> None:
        """Closes the idle connection to an address that is no longer used or may be reassigned."""
        if idle := self.idle.pop(address, None):
            idle.connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self.idle.values():
            idle.connection.close()
        self.idle.clear()


def idle_seconds(headers: Mapping[str, str]) -> float:
    """How long (s) a connection may idle after a response with these headers; 0 if it can't be reused."""
    if "close" in headers.get("connection", "").lower():
        return 0.0
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, value = parameter.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdecimal() and value.isascii():
            return min(MAX_IDLE_S, int(value.strip()[:6]) * KEEP_ALIVE_FRACTION)
    return MAX_IDLE_S


def parse_json(body: bytes) -> Any:  # noqa: ANN401
    """The JSON value of a body, or None if it is empty or invalid."""
    try:
        return json.loads(body) if body else None
    except (ValueError, RecursionError):
        return None
