"""The requests of one router: each is taken on as a job of its own, over the state that all share.

What keeps the rules: every attempt carries `Expected-Instance` (`attempt.py`); a second one is made only
where the first surely has not run or the route is idempotent, and only out of the retry budget; 503 is
answered only where surely nothing ran, 502 or 504 where something may have (`request_handler.py`).
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
    """Takes requests on and knows which are under way. `clock`: the steady clock in s."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        chance: random.Random | None = None,
        *,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(settings, fleet, counters, clock, chance, budget=budget)
        self.tasks: dict[asyncio.Task[None], RequestHandler] = {}

    def handle(self, exchange: Exchange) -> None:
        """Takes the request on; its answer comes by a task of its own."""
        handler = RequestHandler(self, exchange)
        task = asyncio.get_running_loop().create_task(handler.run())
        self.tasks[task] = handler
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    def begin_draining(self, deadlines: DrainDeadlines) -> None:
        """The process is about to end: from now on its deadlines count at admission."""
        self.drain = deadlines

    def end_requests(self) -> None:
        """Ends every request under way at once: by its final response, or by a cut if one has begun."""
        for handler in list(self.tasks.values()):
            handler.end()

    async def drained(self) -> None:
        """Returns once every request taken on has its answer."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()
