"""One request's life: admission, the loop of choices and sends, holding, and the answers of our own."""

import asyncio

from plumline import logs
from plumline.router.admission import Denial, Request, admit
from plumline.router.attempt import attempt
from plumline.router.progress import COME_BACK, MARGIN, Progress, Proof
from plumline.router.relay import Headers, value_of
from plumline.router.router_state import RouterState
from plumline.router.selection import Selection
from plumline.routing.reserved_quota import CALM
from plumline.wire.exchange import Exchange

WAIT_SHARE = 1 / 8  # of the aim: how long a request may be held, once, for an endpoint to be ready

log = logs.logger("dispatch")


class RequestHandler:
    """One request."""

    def __init__(self, router: RouterState, exchange: Exchange) -> None:
        self.router, self.exchange = router, exchange
        self.id = value_of(exchange.headers, b"attempt-id")
        self.progress = Progress()
        self.standing = CALM
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False  # given up: the final answer, or none any more, has gone out

    async def run(self) -> None:
        """From admission to the one answer that the exchange is owed."""
        exchange, progress = self.exchange, self.progress
        try:
            admitted = admit(self.router, exchange, self.id)
            if isinstance(admitted, Denial):
                self.answer(admitted.status, admitted.name, admitted.come_back)
                return
            self.standing = admitted.standing
            exchange.on_gone = self.client_gone
            progress.gone = exchange.gone
            left = admitted.until - self.router.clock()
            self.timer = asyncio.get_running_loop().call_later(max(left, 0), self.expire)
            await self.work(admitted)
        except Exception:
            self.count("failed")
            log.exception("a request could not be handled")
            progress.ran = progress.ran or progress.sends > 0
            if not exchange.done:
                self.give_up()
        finally:
            if self.timer:
                self.timer.cancel()
            exchange.on_gone = None

    def count(self, name: str) -> None:
        """One more request that ended so."""
        self.router.counters.add(f"request-{name}")

    # The ends that come from outside.

    def expire(self) -> None:
        """Its time is up."""
        self.progress.expired = True
        if self.progress.connection:
            self.progress.connection.close()
        if self.progress.started and not self.exchange.done:
            self.exchange.abort()  # also wakes who waits for a client that doesn't read

    def client_gone(self) -> None:
        """Its client has left."""
        self.progress.gone = True
        if self.progress.connection:
            self.progress.connection.close()  # the endpoint drops the request

    def end(self) -> None:
        """The process is about to end: the final answer goes out now, or what has begun of one is cut."""
        progress = self.progress
        progress.expired = True
        if not (self.exchange.done or self.exchange.gone):
            progress.ran = progress.ran or progress.connection is not None
            self.give_up()
        if progress.connection:
            progress.connection.close()

    # Sends.

    async def work(self, request: Request) -> None:
        """Sends until one of them brought the answer, or none may follow."""
        router, progress, held = self.router, self.progress, False
        selection = Selection(router, request, progress)
        route = request.route
        while True:
            now = router.clock()
            if progress.gone:
                self.count("client-gone")
                return
            if progress.expired or request.until - now <= MARGIN or not progress.may_send(route):
                break
            picked, wait = selection.pick(now)
            if picked is None:
                if held or wait > min(
                    route.latency_target_ms / 1000 * WAIT_SHARE, request.until - now - MARGIN
                ):
                    progress.come_back = wait if wait < float("inf") else progress.come_back
                    break
                held = True
                await asyncio.sleep(wait)
                continue
            if progress.sends and not progress.granted:
                if not router.budget.try_spend(now, request.service, router.fleet.routers):
                    self.count("over-budget")
                    break
                progress.granted = True
            proof = await attempt(selection, picked)
            if proof is Proof.ANSWERED:
                return
            progress.ran |= proof is Proof.MAY_HAVE_RUN
        self.give_up()

    # Answers of our own.

    def give_up(self) -> None:
        """The final answer at once: a promise only where surely nothing has run."""
        progress = self.progress
        if self.ended:
            return
        self.ended = True
        if self.exchange.done or progress.gone:
            self.count("client-gone")
        elif progress.started:
            self.count("cut")
            self.exchange.abort()
        elif progress.over_share and not progress.ran:
            self.answer(429, "over-share", self.standing.wait)
        elif not progress.ran:
            least, most = COME_BACK
            self.answer(503, "refused", min(max(progress.come_back, least), most))
        else:
            self.answer(504 if progress.expired else 502, "late" if progress.expired else "unclear")

    def answer(self, status: int, name: str, come_back: float | None = None) -> None:
        """An answer of our own, with `Retry-After` where `come_back` (s) is told."""
        self.count(name)
        headers: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.id is not None:
            headers.append((b"attempt-id", self.id))
        if come_back is not None:
            headers.append((b"retry-after", b"%.2f" % come_back))
        self.exchange.respond(status, headers, name.encode() + b"\n")
