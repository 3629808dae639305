"""The platform's signals to a process: SIGTERM to end, SIGHUP to read the settings again."""

import asyncio
import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def handle_signals(
    loop: asyncio.AbstractEventLoop, on_terminate: Callable[[], None], on_reload: Callable[[], None]
) -> None:
    """Installs the handlers. Called before the process takes anything on: without a handler, a signal ends it
    at once."""
    loop.add_signal_handler(signal.SIGTERM, on_terminate)
    loop.add_signal_handler(signal.SIGHUP, on_reload)


def hold_signals() -> None:
    """Called when the process has done all its work: a signal that comes from now on stays pending.

    The event loop takes the handlers away as it closes, and the default action would then end the process
    with the signal's status in place of 0.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
