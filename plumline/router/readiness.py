"""Readiness endpoint: tells the platform whether this process may receive new connections."""

from collections.abc import Callable

from plumline.wire.exchange import Exchange
from plumline.wire.server import FixedLimits, Server

LIMITS = FixedLimits(max_header_bytes=4096, max_body_bytes=0, header_timeout_ms=3000, idle_timeout_ms=15000)


class Readiness:
    """Answers `GET /readiness` with 200 while `ready()` is true, else with 503."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready
        self.server = Server(self.answer, lambda: LIMITS)

    async def listen(self, address: tuple[str, int]) -> None:
        """Opens the port. Raises OSError."""
        await self.server.listen(address)

    def answer(self, exchange: Exchange) -> None:
        """Answers one readiness request."""
        if exchange.path != "/readiness":
            exchange.respond(404)
        elif exchange.method not in ("GET", "HEAD"):
            exchange.respond(405, [(b"Allow", b"GET, HEAD")])
        else:
            exchange.respond(200 if self.ready() else 503)

    def end(self) -> None:
        """Closes the port and all connections."""
        self.server.end()
