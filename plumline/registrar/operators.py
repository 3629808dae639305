"""The operators' interface: the same answer from any registrar, whoever is head or tail of the chain.

A change goes to the head, a read to the tail; each answers over frames with the code of a typed error, or
none.
"""

import asyncio
import json
import secrets
from collections.abc import Callable
from typing import Any

from plumline.configuration.document import parse
from plumline.coordination.core import Core
from plumline.counters import Counters
from plumline.errors import (
    ConfigurationInvalidError,
    PlumlineError,
    UnavailableError,
    VersionConflictError,
)
from plumline.wire.calls import BASED_ON_VERSION, CALLS
from plumline.wire.exchange import Exchange

PATIENCE = 3.0  # s for the head or the tail; callers have moved on long before
RETRY_AFTER = b"0.3"  # s, told with 503
BY_CODE = {each.code: each for each in (ConfigurationInvalidError, VersionConflictError, UnavailableError)}
INCOMING = {
    (CALLS[name].method, CALLS[name].path): name
    for name in ("configuration_replace", "configuration_amend", "configuration_read", "version_put")
}


class NotFoundError(PlumlineError):
    """No such call, or nothing to read yet."""

    code, status = "not-found", 404


class Operators:
    def __init__(self, core: Core, send: Callable[[str, list[Any]], None], counters: Counters) -> None:
        self.core, self.send, self.counters = core, send, counters
        self.loop = asyncio.get_running_loop()
        self.asked: dict[str, asyncio.Future[Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    # Requests.

    def handle(self, exchange: Exchange) -> None:
        task = self.loop.create_task(self.serve(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, exchange: Exchange) -> None:
        name = INCOMING.get((exchange.method, exchange.path))
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
        if not exchange.gone:
            exchange.respond(status, headers, body)

    async def answer(self, name: str, exchange: Exchange) -> Any:  # noqa: ANN401
        if name == "configuration_read":
            document = await self.ask(self.core.tail(), ["read"])
            if document is None:
                raise NotFoundError("there is no configuration yet")
            return document
        body = parse(exchange.body)
        if name == "version_put":
            return await self.ask(self.core.head(), ["submit", ["weights", body]])
        based_on = self.based_on(exchange)
        kind = "replace" if name == "configuration_replace" else "amend"
        return await self.ask(self.core.head(), ["submit", [kind, based_on, body]])

    @staticmethod
    def based_on(exchange: Exchange) -> int:
        wanted = BASED_ON_VERSION.lower().encode()
        found = [value for key, value in exchange.headers if key == wanted]
        if len(found) != 1 or not found[0].isdigit() or len(found[0]) > 18:
            raise ConfigurationInvalidError(f"{BASED_ON_VERSION}: one whole number is needed")
        return int(found[0])

    # Between registrars.

    async def ask(self, who: str | None, question: list[Any]) -> Any:  # noqa: ANN401
        """Raises the typed error that `who` answers, UnavailableError where nobody does."""
        if who is None:
            raise UnavailableError("no view of the core is known yet")
        key = secrets.token_hex(6)
        future = self.asked[key] = self.loop.create_future()
        self.send(who, ["ask", key, question])
        try:
            async with asyncio.timeout(PATIENCE):
                code, text, result = await future
        except TimeoutError:
            raise UnavailableError("no answer within the core; whether it was taken is not known") from None
        finally:
            del self.asked[key]
        if code is None:
            return result
        raise BY_CODE.get(code, UnavailableError)(text)

    def on_message(self, sender: str, message: list[Any]) -> bool:
        match message:
            case ["ask", str(key), ["submit", list(change)]]:

                def submitted(error: PlumlineError | None) -> None:
                    self.tell(sender, key, error, {"taken": True})

                self.core.chain.submit(change, submitted)
            case ["ask", str(key), ["read"]]:

                def found(state: Any) -> None:  # noqa: ANN401
                    error = UnavailableError("not a tail that may answer") if state is None else None
                    self.tell(sender, key, error, state.configuration if state else None)

                self.core.chain.read(found)
            case ["answer", str(key), code, str(text), result]:
                future = self.asked.get(key)
                if future is not None and not future.done():
                    future.set_result((code, text, result))
            case _:
                return False
        return True

    def tell(self, to: str, key: str, error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        if error is None:
            self.send(to, ["answer", key, None, "", result])
        else:
            self.send(to, ["answer", key, error.code, error.text, None])
