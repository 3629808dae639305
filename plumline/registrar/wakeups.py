"""Waits for an event or a time-out, whichever comes first."""

import asyncio
from collections.abc import Awaitable, Callable

#: Waits for the event, at most for the given time (s, steady).
Wait = Callable[[asyncio.Event, float], Awaitable[None]]


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Waits until the event is set, at most for `timeout_s` (steady time)."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
