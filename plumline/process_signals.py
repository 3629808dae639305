"""The platform's signals to a process: SIGTERM to end, SIGHUP to read the settings again."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def handle_signals(
    loop: asyncio.AbstractEventLoop, on_terminate: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Installs the handlers. Called before the process takes anything on: without a handler, a signal ends it
    at once."""
    loop.add_signal_handler(signal.SIGTERM, on_terminate)
    loop.add_signal_handler(signal.SIGHUP, on_reload)


def block_signals() -> None:
    """For a process that has done its last work, and for a thread beside its main one: signals stay pending
    there from now on, in child processes too.

    The event loop takes the handlers away as it closes, and the default action would then end the process
    with the signal's status in place of 0.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def run_to_end(work: Coroutine[Any, Any, None]) -> None:
    """Does the last work of this process, and blocks its signals before the event loop closes."""
    await work
    block_signals()


async def finish_unless(
    event: asyncio.Event, work: Coroutine[Any, Any, Result]
) -> asyncio.Task[Result] | None:
    """The finished task of the work; None, and the work is cancelled, if the event is set before it ends."""
    working = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(event.wait())
    await asyncio.wait([working, waiting], return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if working.done():
        return working
    working.cancel()
    return None
