"""The operators' HTTP API: any registrar gives the same response, whichever is the chain's head or tail."""

import asyncio
import json
from collections.abc import Callable
from urllib.parse import unquote

from plumline.configuration.document import Document, parse_document
from plumline.configuration.service_rollouts import ROLLOUT_KEY, StartRollout, is_rollout_change
from plumline.coordination.core import Core
from plumline.coordination.environment import Message
from plumline.coordination.log import Change
from plumline.counters import Counters
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError
from plumline.registrar.forwarding import RequestForwarder, ResultCallback
from plumline.wire.calls import BASED_ON_VERSION, CALLS
from plumline.wire.exchange import Exchange

RETRY_AFTER = b"0.3"  # s, value of the Retry-After header of a 503
MAX_VERSION_DIGITS = 18
JSON_HEADER = (b"Content-Type", b"application/json")
#: The calls that operators make, by method and path.
CALL_NAMES = {
    (CALLS[name].method, CALLS[name].path): name
    for name in (
        "configuration_replace",
        "configuration_amend",
        "configuration_read",
        "version_put",
        "rollout_start",
    )
}
ROLLOUT_READ = CALLS["rollout_read"]  # its path ends with the name of a service


class NotFoundError(PlumlineError):
    """No call has this method and path."""

    code, status = "not-found", 404


class OperatorApi:
    """Parses operators' requests, forwards them and writes the responses."""

    def __init__(self, core: Core, send: Callable[[str, Message], None], counters: Counters) -> None:
        """`send(address, message)` sends to a registrar, which may be this one."""
        self.counters = counters
        self.forwarder = RequestForwarder(core, send)
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()  # referenced here, so that they aren't garbage-collected

    def handle(self, exchange: Exchange) -> None:
        """Starts serving a request whose body is complete."""
        task = self.loop.create_task(self.serve(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, exchange: Exchange) -> None:
        """Responds with the result, or with the code, status and text of the typed error."""
        name = _call_name(exchange)
        try:
            if name is None:
                raise NotFoundError("no such call")
            self.counters.add(f"operators.{name}")
            document = await self._call(name, exchange)
        except PlumlineError as error:
            self._respond_with_error(exchange, error)
            return
        body = json.dumps(document, separators=(",", ":")).encode()
        _respond(exchange, 200, [JSON_HEADER], body)

    def _respond_with_error(self, exchange: Exchange, error: PlumlineError) -> None:
        self.counters.add(f"operators.error.{error.code}")
        body = json.dumps({"error": error.code, "text": error.text}).encode()
        headers = [JSON_HEADER]
        if error.status == UnavailableError.status:
            headers.append((b"Retry-After", RETRY_AFTER))
        _respond(exchange, error.status, headers, body)

    async def _call(self, name: str, exchange: Exchange) -> Document | None:
        """Returns the document of a 200; raises the typed error of any other response."""
        if name == "configuration_read":
            return await self._read()
        if name == ROLLOUT_READ.name:
            return await self._read_rollout(_service_of(exchange))
        change = _change_of(name, exchange)
        now, body_bytes = self.loop.time(), len(exchange.body)
        return await self._result_of(
            lambda on_result: self.forwarder.submit(now, change, body_bytes, on_result)
        )

    async def _read(self) -> Document:
        """Reads the configuration; raises UnavailableError if there is none yet."""
        now = self.loop.time()
        document = await self._result_of(lambda on_result: self.forwarder.read(now, on_result))
        if document is None:
            raise UnavailableError("there is no configuration yet")
        return document

    async def _read_rollout(self, service: str) -> Document | None:
        """Reads state and target of the service's newest roll-out. Raises RolloutNotFoundError if none."""
        now = self.loop.time()
        return await self._result_of(lambda on_result: self.forwarder.read(now, on_result, service))

    async def _result_of(self, forward: Callable[[ResultCallback], None]) -> Document | None:
        """Waits for what `forward` passes to its callback: returns the result, or raises the error."""
        future: asyncio.Future[Document | None] = self.loop.create_future()

        def on_result(error: PlumlineError | None, result: Document | None) -> None:
            if future.done():  # the waiting task was cancelled
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)

        forward(on_result)
        return await future


def _call_name(exchange: Exchange) -> str | None:
    """The name of the call that the request makes; None if there is no such call."""
    if exchange.method == ROLLOUT_READ.method and exchange.path.startswith(ROLLOUT_READ.path):
        return ROLLOUT_READ.name
    return CALL_NAMES.get((exchange.method, exchange.path))


def _service_of(exchange: Exchange) -> str:
    """The service that is named in the path of a read of a roll-out."""
    return unquote(exchange.path.removeprefix(ROLLOUT_READ.path))


def _change_of(name: str, exchange: Exchange) -> Change:
    """The change that a request asks for, in the form of a log entry.

    Raises ConfigurationInvalidError, RolloutInvalidError.
    """
    body = parse_document(exchange.body)
    if name == "rollout_start":
        return StartRollout.from_body(body).to_change()
    if name == "version_put":
        if is_rollout_change(["weights", body]):
            raise ConfigurationInvalidError(f"{ROLLOUT_KEY}: not allowed here")
        return ["weights", body]
    kind = "replace" if name == "configuration_replace" else "amend"
    return [kind, _base_version(exchange), body]


def _base_version(exchange: Exchange) -> int:
    """The version that a change builds on; raises ConfigurationInvalidError unless one header names it."""
    header_name = BASED_ON_VERSION.lower().encode()
    values = [value for name, value in exchange.headers if name == header_name]
    if len(values) != 1 or not values[0].isdigit() or len(values[0]) > MAX_VERSION_DIGITS:
        raise ConfigurationInvalidError(f"{BASED_ON_VERSION}: one whole number is needed")
    return int(values[0])


def _respond(exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
    """Writes the response, unless the caller has disconnected."""
    if not exchange.client_disconnected:
        exchange.respond(status, headers, body)
