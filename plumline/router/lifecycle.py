"""A router's lifecycle: when it is ready for clients, and how it shuts down without losing a request."""

import asyncio
from collections.abc import Callable
from enum import Enum

from plumline.router.drain import DrainDeadlines
from plumline.wire.server import Server

IDLE_CHECK_INTERVAL_S = 0.3  # between checks for connections that have become idle


class Phase(Enum):
    """Phases of a router's lifecycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle:
    """Starting until `is_initialized()`: a configuration and a list of endpoints are known. Ready from then
    on, if necessary with outdated state. Draining from `begin_shutdown`. Stopped once all requests are
    answered, or shortly before `grace_s` has passed."""

    def __init__(
        self,
        server: Server,
        is_initialized: Callable[[], bool],
        grace_s: float,
        *,
        on_drain: Callable[[DrainDeadlines], None] = lambda _: None,
        end_requests: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_drain` receives the deadlines when the shutdown begins; `end_requests` sends every unanswered
        request its final response, or aborts a response that has begun."""
        self.server, self.is_initialized, self.grace_s = server, is_initialized, grace_s
        self.on_drain, self.end_requests = on_drain, end_requests
        self.loop = asyncio.get_running_loop()
        self.phase = Phase.STARTING
        self.deadlines: DrainDeadlines | None = None  # once draining
        self._shutdown_requested = asyncio.Event()
        self.unanswered = 0  # requests that had no complete response when the responses were due

    def ready(self) -> bool:
        """Whether the router may receive new connections. Once ready, it stays so until the shutdown."""
        if self.phase is Phase.STARTING and self.is_initialized():
            self.phase = Phase.READY
        return self.phase is Phase.READY

    def begin_shutdown(self) -> None:
        """Starts the shutdown: not ready any more, and each answer closes its connection. Idempotent."""
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return
        self.phase = Phase.DRAINING
        self.deadlines = DrainDeadlines.from_grace_period(self.loop.time(), self.grace_s)
        self.on_drain(self.deadlines)
        self.server.begin_drain()
        self._shutdown_requested.set()

    async def run_until_stopped(self) -> None:
        """Returns when the process may end. Every request that was read is answered, if time permits."""
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
        """Closes idle connections. Returns whether all connections have ended by the deadline."""
        while (left := deadline - self.loop.time()) > 0:
            # A connection on which a request arrives meanwhile is closed after its answer.
            self.server.close_idle()
            if await self.server.drained(min(left, IDLE_CHECK_INTERVAL_S)):
                return True
        return not self.server.busy()

    def drain_summary(self) -> dict[str, float]:
        """Log fields: the requests during the shutdown and those it cut. Times in s from its start."""
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
