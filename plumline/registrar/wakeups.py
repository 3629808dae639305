"""Waiting for an event or for the time of the next look, whichever comes first."""

import asyncio
from collections.abc import Awaitable, Callable

#: Waits for the event, at most so long (s, steady time).
Wait = Callable[[asyncio.Event, float], Awaitable[None]]


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Waits until the event is set, at most `timeout_s` (steady time)."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
