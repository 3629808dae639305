"""The event loop, which knows for how long what it reads may have waited."""

import asyncio
import selectors
import time


class Polls(selectors.DefaultSelector):
    """What a poll finds at once may have come at any time since the poll before; what it had to wait for has
    just come."""

    def __init__(self) -> None:
        super().__init__()
        self.turn, self.ended = 0, time.monotonic()
        self.since = self.ended  # nothing that this turn reads came before

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.since, self.turn = self.ended, self.turn + 1
        if not (ready := super().select(0)) and timeout != 0:
            self.since = time.monotonic()
            ready = super().select(timeout)
        self.ended = time.monotonic()
        return ready


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.polls = Polls()
        super().__init__(self.polls)


def polls_of(loop: asyncio.AbstractEventLoop) -> Polls | None:
    """None of any other loop: nothing is known of it."""
    return loop.polls if isinstance(loop, Loop) else None
