"""One request's life: admission, the loop of choices and sends, holding, and the answers of our own."""

import asyncio
import contextlib

from plumline import logs
from plumline.router.admission import Denial, Request, admit, remaining_ms
from plumline.router.attempt import attempt
from plumline.router.progress import RESPONSE_MARGIN_S, RETRY_AFTER_RANGE_S, Progress, Proof
from plumline.router.relay import Headers, value_of
from plumline.router.router_state import RouterState
from plumline.router.selection import EndpointChoice, Selection
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.reserved_quota import CALM
from plumline.wire.exchange import Exchange

#: Of the aim: how long a request may wait, in all, while others' prompts with its shared part are read. Sent
#: at once it would be read beside them, and be no earlier.
MAX_READING_WAIT_SHARE = 1 / 2
MAX_READING_WAIT_S = 1.0  # the same, whatever the aim is
READING_POLL_S = 0.005  # between two looks whether that is over
STARTING_S = 3.0  # from a process's start: what it does not know by then may be long in coming
MAX_START_WAIT_S = 1.0  # that a request waits for what a process that has just started lacks
MAX_START_WAIT_SHARE = 1 / 2  # the same, of what its client has left
MAX_HOLD_SHARE = 1 / 8  # of the aim: how long a request may be held, once, for an endpoint to be ready

log = logs.logger("dispatch")


class RequestHandler:
    """One request."""

    def __init__(self, router: RouterState, exchange: Exchange) -> None:
        self.router, self.exchange = router, exchange
        self.id = value_of(exchange.headers, b"attempt-id")
        self.progress = Progress()
        self.standing = CALM
        self.timer: asyncio.TimerHandle | None = None
        self.reading_wait_began: float | None = None  # steady s
        self.ended = False  # given up: the final answer, or none any more, has gone out

    async def run(self) -> None:
        """From admission to the one answer that the exchange is owed."""
        exchange, progress = self.exchange, self.progress
        if self.ended:  # before its first step
            return
        try:
            if not self.router.equipped.is_set():
                await self.wait_until_equipped()
                if self.ended or exchange.gone:
                    return
            admitted = admit(self.router, exchange, self.id)
            if isinstance(admitted, Denial):
                self.answer(admitted.status, admitted.name, admitted.retry_after_s)
                return
            self.standing = admitted.standing
            exchange.on_gone = self.client_gone
            progress.client_left = exchange.gone
            left = admitted.until - self.router.clock()
            self.timer = asyncio.get_running_loop().call_later(max(left, 0), self.expire)
            await self.work(admitted)
        except Exception:
            self.count("failed")
            log.exception("a request could not be handled")
            progress.may_have_run = progress.may_have_run or progress.attempts > 0
            if not exchange.done:
                self.give_up()
        finally:
            if self.timer:
                self.timer.cancel()
            exchange.on_gone = None

    async def wait_until_equipped(self) -> None:
        """Waits for the configuration and the endpoints of a process that has just started: they are a few
        tenths of a second away, and a client that is refused until then may have no other try."""
        router = self.router
        client_s = remaining_ms(self.exchange.headers) / 1000 * MAX_START_WAIT_SHARE
        start_s = router.started_at + STARTING_S - router.clock()
        wait_s = min(MAX_START_WAIT_S, client_s, start_s)
        if wait_s <= 0:
            return
        self.count("waited-for-start")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(router.equipped.wait(), wait_s)

    def count(self, name: str) -> None:
        """One more request that ended so."""
        self.router.counters.add(f"request-{name}")

    # The ends that come from outside.

    def expire(self) -> None:
        """Its time is up."""
        self.progress.expired = True
        if self.progress.connection:
            self.progress.connection.close()
        if self.progress.response_started and not self.exchange.done:
            self.exchange.abort()  # also wakes who waits for a client that doesn't read

    def client_gone(self) -> None:
        """Its client has left."""
        self.progress.client_left = True
        if self.progress.connection:
            self.progress.connection.close()  # the endpoint drops the request

    def end(self) -> None:
        """The process is about to end: the final answer goes out now, or what has begun of one is cut."""
        progress = self.progress
        progress.expired = True
        if not (self.exchange.done or self.exchange.gone):
            progress.may_have_run = progress.may_have_run or progress.connection is not None
            self.give_up()
        if progress.connection:
            progress.connection.close()

    # Sends.

    async def work(self, request: Request) -> None:
        """Sends until one of them brought the answer, or none may follow."""
        router, progress, held = self.router, self.progress, False
        selection = Selection(router, request, progress)
        selection.count_request(router.clock())
        route = request.route
        while True:
            now = router.clock()
            if progress.client_left:
                self.count("client-gone")
                return
            if progress.expired or request.until - now <= RESPONSE_MARGIN_S or not progress.may_send(route):
                break
            picked, wait = selection.pick(now)
            if picked is None:
                if held or wait > self.longest_hold_s(request, now):
                    progress.retry_after_s = wait if wait < float("inf") else progress.retry_after_s
                    break
                held = True
                await asyncio.sleep(wait)
                continue
            if self.pauses_for_reading(selection, picked, now):
                await asyncio.sleep(READING_POLL_S)
                continue
            if progress.attempts and not progress.retry_granted:
                if not router.budget.try_spend(now, request.service, router.fleet.routers):
                    self.count("over-budget")
                    break
                progress.retry_granted = True
            proof = await attempt(selection, picked)
            if proof is Proof.ANSWERED:
                return
            progress.may_have_run |= proof is Proof.MAY_HAVE_RUN
        self.give_up()

    def longest_hold_s(self, request: Request, now: float) -> float:
        """How long the request may be held for an endpoint to be ready."""
        if not MECHANISMS.holding:
            return 0.0
        share_s = request.route.latency_target_ms / 1000 * MAX_HOLD_SHARE
        return min(share_s, request.until - now - RESPONSE_MARGIN_S)

    def pauses_for_reading(self, selection: Selection, picked: EndpointChoice, now: float) -> bool:
        """Whether the request waits on while another prompt's reading of its shared part goes on."""
        if not selection.awaits_reading(picked):
            return False
        if self.reading_wait_began is None:
            self.count("waited-for-reading")
            self.reading_wait_began = now
        share_s = selection.request.route.latency_target_ms / 1000 * MAX_READING_WAIT_SHARE
        return now - self.reading_wait_began < min(share_s, MAX_READING_WAIT_S)

    # Answers of our own.

    def give_up(self) -> None:
        """The final answer at once: a promise only where surely nothing has run."""
        progress = self.progress
        if self.ended:
            return
        self.ended = True
        if self.exchange.done or progress.client_left:
            self.count("client-gone")
        elif progress.response_started:
            self.count("cut")
            self.exchange.abort()
        elif progress.quota_exceeded and not progress.may_have_run:
            self.answer(429, "over-share", self.standing.wait)
        elif not progress.may_have_run:
            least, most = RETRY_AFTER_RANGE_S
            self.answer(503, "refused", min(max(progress.retry_after_s, least), most))
        else:
            self.answer(504 if progress.expired else 502, "late" if progress.expired else "unclear")

    def answer(self, status: int, name: str, retry_after_s: float | None = None) -> None:
        """An answer of our own, with `Retry-After` where `retry_after_s` is given."""
        self.count(name)
        headers: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.id is not None:
            headers.append((b"attempt-id", self.id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        self.exchange.respond(status, headers, name.encode() + b"\n")
