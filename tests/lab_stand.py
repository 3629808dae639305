"""Helpers for tests of the lab's simulated services."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

from plumline.lab import Server, fetch
from plumline.lab.clients import SentRequest
from plumline.lab.engine import Engine, body_hash

TIMEOUT_S = 20.0  # s; only a failing test takes that long
SPEED = 1000.0
BODY = b"prompt"
PARTS = "aa:100,bb:50"


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    def run() -> None:
        asyncio.run(asyncio.wait_for(test(), TIMEOUT_S))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@asynccontextmanager
async def serving(*servers: Engine | Server) -> AsyncIterator[None]:
    async with AsyncExitStack() as stack:
        for each in servers:
            await each.start()
            stack.push_async_callback(each.stop)
        yield
    for each in servers:
        server = each.server if isinstance(each, Engine) else each
        assert server.failures == []


async def ask(engine: Engine, name: str = "a1", **extra: str) -> tuple[int, dict[str, str], bytes]:
    """Sends a request; `extra`: headers, with _ in place of -."""
    given = {"Attempt-Id": name, "Token-Counts": "150,16", "Prompt-Prefix": PARTS}
    given |= {key.replace("_", "-"): value for key, value in extra.items()}
    return await fetch(engine.server.address, "POST", "/chat/1?x=2", list(given.items()), BODY, TIMEOUT_S)


async def order(engine: Engine, **fields: Any) -> int:  # noqa: ANN401
    body = {"Operation": "Version", "Model": "model", "Version": 2, "Method": "waiting"}
    body |= {"Holder": "n1", "FenceNumber": 5} | fields
    data = json.dumps({key: value for key, value in body.items() if value is not None}).encode()
    return (await fetch(engine.server.address, "POST", "/order", body=data))[0]


def sent(name: str = "a1", tenant: str = "", idempotent: bool = False) -> SentRequest:
    return SentRequest(name, "POST", "/chat/1?x=2", body_hash(BODY), tenant, idempotent, "model")
