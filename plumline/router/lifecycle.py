"""The life of a router towards its clients: when it is ready, and how it ends without losing a request."""

import asyncio
from collections.abc import Callable
from enum import Enum

from plumline.router.drain import DrainDeadlines
from plumline.wire.server import Server

IDLE_CHECK_S = 0.3  # between two looks for kept connections that have become idle


class Phase(Enum):
    """How far a router's life has come."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle:
    """Starting, until `is_equipped()` (a configuration and a list of endpoints are known); ready from then
    on, on what was known last if need be; draining from `begin_shutdown`; stopped once nobody is owed an
    answer, or shortly before `grace_s` are over."""

    def __init__(
        self,
        server: Server,
        is_equipped: Callable[[], bool],
        grace_s: float,
        *,
        on_drain: Callable[[DrainDeadlines], None] = lambda _: None,
        end_requests: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_drain` is told the deadlines as the shutdown begins; `end_requests` gives every request that is
        still unanswered its final response, or cuts one whose response has begun."""
        self.server, self.is_equipped, self.grace_s = server, is_equipped, grace_s
        self.on_drain, self.end_requests = on_drain, end_requests
        self.loop = asyncio.get_running_loop()
        self.phase = Phase.STARTING
        self.deadlines: DrainDeadlines | None = None  # once draining
        self._shutdown_requested = asyncio.Event()
        self.unanswered = 0  # requests that had no complete response when the responses were due

    def ready(self) -> bool:
        """Whether it may be given new connections; the first time it may, it is ready from then on."""
        if self.phase is Phase.STARTING and self.is_equipped():
            self.phase = Phase.READY
        return self.phase is Phase.READY

    def begin_shutdown(self) -> None:
        """From now on not ready, and each answer ends its connection. A second call changes nothing."""
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return
        self.phase = Phase.DRAINING
        self.deadlines = DrainDeadlines.from_grace_period(self.loop.time(), self.grace_s)
        self.on_drain(self.deadlines)
        self.server.begin_ending()
        self._shutdown_requested.set()

    async def run_until_stopped(self) -> None:
        """Returns when the process may end. Nothing that was read is left unanswered while there is time."""
        await self._shutdown_requested.wait()
        assert self.deadlines is not None
        await asyncio.sleep(max(self.deadlines.notice_ends_at - self.loop.time(), 0.0))
        self.server.stop_accepting()
        if not await self._drain_until(self.deadlines.responses_due_at):
            self.unanswered = self.server.unanswered()
            self.end_requests()
            await self._drain_until(self.deadlines.ends_at)
        self.server.end()
        self.phase = Phase.STOPPED

    async def _drain_until(self, deadline: float) -> bool:
        """Whether all connections have ended by then. Those that owe nobody an answer are closed."""
        while (left := deadline - self.loop.time()) > 0:
            # One that was read as it was to be closed is answered, and closes by itself.
            self.server.close_idle()
            if await self.server.drained(min(left, IDLE_CHECK_S)):
                return True
        return not self.server.busy()

    def drain_summary(self) -> dict[str, float]:
        """For the log: what the shutdown took on and what it cut. Times in s from its start."""
        drain = self.server.drain
        if drain is None:
            return {}
        return {
            "seconds": round(self.loop.time() - drain.began_at, 3),
            "unanswered": self.unanswered,
            "requests_on_new": drain.on_new_connections,
            "requests_on_earlier": drain.on_earlier_connections,
            "latest_request_s": round(drain.latest_request_s, 3),
            "slowest_request_s": round(drain.slowest_request_s, 3),
        }
