"""The operators' HTTP interface: the same answer from any registrar, whoever is head or tail of the chain."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from plumline.configuration.document import Document, parse_document
from plumline.coordination.core import Core
from plumline.counters import Counters
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError
from plumline.registrar.forwarding import Change, RequestForwarder, ResultCallback
from plumline.wire.calls import BASED_ON_VERSION, CALLS
from plumline.wire.exchange import Exchange

RETRY_AFTER = b"0.3"  # s, told with 503
MAX_VERSION_DIGITS = 18  # digits
CALL_NAMES = {
    (CALLS[name].method, CALLS[name].path): name
    for name in ("configuration_replace", "configuration_amend", "configuration_read", "version_put")
}


class NotFoundError(PlumlineError):
    """No such call."""

    code, status = "not-found", 404


class OperatorApi:
    """Reads requests, hands them to the request forwarder and writes its answers."""

    def __init__(self, core: Core, send: Callable[[str, list[Any]], None], counters: Counters) -> None:
        self.counters = counters
        self.forwarder = RequestForwarder(core, send)
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def handle(self, exchange: Exchange) -> None:
        """Serves a request that has been read whole."""
        task = self.loop.create_task(self.serve(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, exchange: Exchange) -> None:
        """Answers a request, by the type of the error if there is one."""
        name = CALL_NAMES.get((exchange.method, exchange.path))
        try:
            if name is None:
                raise NotFoundError("no such call")
            self.counters.add(f"operators.{name}")
            document = await self.answer(name, exchange)
        except PlumlineError as error:
            self.counters.add(f"operators.error.{error.code}")
            body = json.dumps({"error": error.code, "text": error.text}).encode()
            headers = [(b"Content-Type", b"application/json")]
            if error.status == 503:
                headers.append((b"Retry-After", RETRY_AFTER))
            self.respond(exchange, error.status, headers, body)
            return
        body = json.dumps(document, separators=(",", ":")).encode()
        self.respond(exchange, 200, [(b"Content-Type", b"application/json")], body)

    def respond(
        self, exchange: Exchange, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes the answer, unless the caller has left."""
        if not exchange.gone:
            exchange.respond(status, headers, body)

    async def answer(self, name: str, exchange: Exchange) -> Document:
        """The document of a 200; raises the typed error of any other answer."""
        if name == "configuration_read":
            return await self.read()
        body = parse_document(exchange.body)
        if name == "version_put":
            change: Change = ["weights", body]
        else:
            kind = "replace" if name == "configuration_replace" else "amend"
            change = [kind, self.based_on(exchange), body]
        now, size = self.loop.time(), len(exchange.body)
        return await self.result(lambda outcome: self.forwarder.submit(now, change, size, outcome))

    async def read(self) -> Document:
        """The configuration; UnavailableError where there is none yet."""
        now = self.loop.time()
        document = await self.result(lambda outcome: self.forwarder.read(now, outcome))
        if document is None:
            raise UnavailableError("there is no configuration yet")
        return document

    async def result(self, ask: Callable[[ResultCallback], None]) -> Any:  # noqa: ANN401
        """What `ask` brings, by its outcome: the result, or its error raised."""
        future: asyncio.Future[Any] = self.loop.create_future()

        def outcome(error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
            if future.done():  # the request was given up meanwhile
                return
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(result)

        ask(outcome)
        return await future

    @staticmethod
    def based_on(exchange: Exchange) -> int:
        """The version that a change builds on; ConfigurationInvalidError unless the header names one."""
        wanted = BASED_ON_VERSION.lower().encode()
        found = [value for key, value in exchange.headers if key == wanted]
        if len(found) != 1 or not found[0].isdigit() or len(found[0]) > MAX_VERSION_DIGITS:
            raise ConfigurationInvalidError(f"{BASED_ON_VERSION}: one whole number is needed")
        return int(found[0])
