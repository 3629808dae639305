"""Starts a handler task for each request of a router, over the state that all requests share.

Every attempt carries `Expected-Instance` (`attempt.py`). A retry requires proof that the request has not run
or an idempotent route, and is charged to the retry budget. A 503 is answered only if the request has
certainly not run, 502 or 504 if it may have run (`request_handler.py`).
"""

import asyncio
import random
import time
from collections.abc import Callable

from plumline.counters import Counters
from plumline.router.drain import DrainDeadlines
from plumline.router.request_handler import RequestHandler
from plumline.router.router_state import Budget, RouterState
from plumline.routing.fleet import Fleet
from plumline.settings import Settings
from plumline.wire.exchange import Exchange


class Dispatcher(RouterState):
    """Starts requests and tracks those in flight. `clock`: the monotonic clock in s."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        *,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(settings, fleet, counters, clock, rng, budget=budget)
        self.tasks: dict[asyncio.Task[None], RequestHandler] = {}

    def handle(self, exchange: Exchange) -> None:
        """Starts a task that answers the request."""
        handler = RequestHandler(self, exchange)
        task = asyncio.get_running_loop().create_task(handler.run())
        self.tasks[task] = handler
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    def begin_draining(self, deadlines: DrainDeadlines) -> None:
        """Starts to apply the deadlines of the process's shutdown at admission."""
        self.drain = deadlines

    def end_requests(self) -> None:
        """Ends every request in flight at once: sends its final response, or aborts one that has begun."""
        for handler in list(self.tasks.values()):
            handler.abort()

    async def drained(self) -> None:
        """Waits until every started request has its answer."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()
