"""Handling of the platform's signals: SIGTERM ends the process, SIGHUP reloads the settings."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def handle_signals(
    loop: asyncio.AbstractEventLoop, on_terminate: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Installs the handlers. Call it before any other work: without a handler, a signal kills the process.

    Signals that were blocked by `block_signals` and arrived meanwhile are handled now.
    """
    loop.add_signal_handler(signal.SIGTERM, on_terminate)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def block_signals() -> None:
    """Blocks the handled signals in the calling thread and in child processes; they stay pending.

    Called in threads other than the main one, and by a process that has finished its work or starts it anew
    with another event loop: a loop removes its handlers when it closes, and the default action would then end
    the process with the signal's status instead of 0.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def run_and_block_signals(work: Coroutine[Any, Any, None]) -> None:
    """Awaits the work of the process, then blocks its signals before the event loop closes."""
    await work
    block_signals()


async def cancel_on_event(
    event: asyncio.Event, work: Coroutine[Any, Any, Result]
) -> asyncio.Task[Result] | None:
    """Runs the work and returns its finished task; cancels it and returns None if the event is set first."""
    work_task = asyncio.ensure_future(work)
    event_task = asyncio.ensure_future(event.wait())
    await asyncio.wait([work_task, event_task], return_when=asyncio.FIRST_COMPLETED)
    event_task.cancel()
    if work_task.done():
        return work_task
    work_task.cancel()
    return None
