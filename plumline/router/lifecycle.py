"""The life of a router towards its clients: when it is ready, and how it ends without losing a request."""

import asyncio
from collections.abc import Callable
from enum import Enum

from plumline.wire.server import Server

# The platform asks each second and needs two misses; then clients come to other routers.
NOTICED = 2.5  # s from the first 503 at which new connections have ceased
MARGIN = 0.7  # s before the end of the grace period by which the process is gone
CLOSING = 0.3  # s of the grace period in which what is still unanswered can go out


class Phase(Enum):
    """How far a router's life has come."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle:
    """Starting, until `equipped()` (a configuration and a list of endpoints are known); ready from then on,
    on what was known last if need be; draining from `begin_shutdown`; stopped once nobody is owed an answer,
    or shortly before `grace` s are over."""

    def __init__(self, server: Server, equipped: Callable[[], bool], grace: float) -> None:
        self.server, self.equipped, self.grace = server, equipped, grace
        self.loop = asyncio.get_running_loop()
        self.phase = Phase.STARTING
        self.ends = 0.0  # s on the loop's clock, once draining
        self.asked = asyncio.Event()
        self.unanswered = 0  # requests that are cut, once stopped

    def ready(self) -> bool:
        """Whether it may be given new connections; the first time it may, it is ready from then on."""
        if self.phase is Phase.STARTING and self.equipped():
            self.phase = Phase.READY
        return self.phase is Phase.READY

    def begin_shutdown(self) -> None:
        """From now on not ready, and each answer ends its connection. A second call changes nothing."""
        if self.phase in (Phase.DRAINING, Phase.STOPPED):
            return
        self.phase = Phase.DRAINING
        self.ends = self.loop.time() + self.grace - MARGIN
        self.server.begin_ending()
        self.asked.set()

    async def run_until_stopped(self) -> None:
        """Returns when the process may end. Nothing that was read is left unanswered while there is time."""
        await self.asked.wait()
        noticed = min(NOTICED, max(self.ends - CLOSING - self.loop.time(), 0.0))
        await asyncio.sleep(noticed)
        self.server.stop_accepting()
        while (left := self.ends - self.loop.time()) > 0:
            # One that was read as it was to be closed is answered, and closes by itself.
            self.server.close_idle()
            if await self.server.drained(min(left, CLOSING)):
                break
        self.unanswered = self.server.unanswered()
        self.server.end()
        self.phase = Phase.STOPPED

    def drain_summary(self) -> dict[str, float]:
        """For the log: what the shutdown took on and what it cut. Times in s from its start."""
        drain = self.server.drain
        if drain is None:
            return {}
        return {
            "seconds": round(self.loop.time() - drain.began_at, 3),
            "unanswered": self.unanswered,
            "requests_on_new": drain.on_new_connections,
            "requests_on_kept": drain.on_kept_connections,
            "latest_request_s": round(drain.latest_request_s, 3),
            "slowest_request_s": round(drain.slowest_request_s, 3),
        }
