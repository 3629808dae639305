"""An event loop that records how long the input it reads may have waited."""

import asyncio
import selectors
import time


class TimedSelector(selectors.DefaultSelector):
    """A selector that records when input may have arrived. Input that is ready at once may have arrived at
    any time since the previous poll; input that the poll had to wait for has just arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.turn, self.last_ended = 0, time.monotonic()
        self.earliest_arrival = self.last_ended  # input read in this turn arrived no earlier

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.earliest_arrival, self.turn = self.last_ended, self.turn + 1
        if not (ready := super().select(0)) and timeout != 0:
            self.earliest_arrival = time.monotonic()
            ready = super().select(timeout)
        self.last_ended = time.monotonic()
        return ready


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.polls = TimedSelector()
        super().__init__(self.polls)


def selector_of(loop: asyncio.AbstractEventLoop) -> TimedSelector | None:
    """None for any other event loop, which does not record it."""
    return loop.polls if isinstance(loop, Loop) else None
