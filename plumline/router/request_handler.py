"""Handles one request: admission, selections and attempts, waiting, and the router's own answers."""

import asyncio
import contextlib

from plumline import logs
from plumline.router.admission import Denial, Request, admit, remaining_ms
from plumline.router.attempt import run_attempt
from plumline.router.progress import RESPONSE_MARGIN_S, RETRY_AFTER_RANGE_S, Progress, Proof
from plumline.router.relay import Headers, value_of
from plumline.router.router_state import RouterState
from plumline.router.selection import EndpointChoice, Selection
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.reserved_quota import NOT_IN_SURGE
from plumline.wire.exchange import Exchange

#: Share of the latency target that a request may wait, in total, while other prompts with its shared part are
#: read. Sent at once, it would be read beside them and finish no earlier.
MAX_READING_WAIT_SHARE = 1 / 2
MAX_READING_WAIT_S = 1.0  # the same, whatever the latency target is
READING_POLL_S = 0.005  # between checks whether that reading is done
STARTUP_S = 3.0  # from a process's start; state that is still missing then may take long to arrive
MAX_START_WAIT_S = 1.0  # that a request waits for the initial state of a process that has just started
MAX_START_WAIT_SHARE = 1 / 2  # the same, as a share of its client's remaining time
MAX_READY_WAIT_SHARE = 1 / 8  # of the latency target; a request may wait once for an endpoint to be ready

log = logs.logger("dispatch")


class RequestHandler:
    """Handles one request."""

    def __init__(self, router: RouterState, exchange: Exchange) -> None:
        self.router, self.exchange = router, exchange
        self.id = value_of(exchange.headers, b"attempt-id")
        self.progress = Progress()
        self.quota_status = NOT_IN_SURGE
        self.timer: asyncio.TimerHandle | None = None
        self.reading_wait_began_at: float | None = None  # monotonic s
        self.finished = False  # the final answer was sent, or none will be

    async def run(self) -> None:
        """Runs from admission to the final answer."""
        exchange, progress = self.exchange, self.progress
        if self.finished:  # aborted before the task's first step
            return
        try:
            if not self.router.initialized.is_set():
                await self.wait_until_initialized()
                if self.finished or exchange.client_disconnected:
                    return
            admitted = admit(self.router, exchange, self.id)
            if isinstance(admitted, Denial):
                self.answer(admitted.status, admitted.name, admitted.retry_after_s)
                return
            self.quota_status = admitted.quota_status
            exchange.on_client_disconnect = self.on_client_disconnect
            progress.client_left = exchange.client_disconnected
            left = admitted.deadline - self.router.clock()
            self.timer = asyncio.get_running_loop().call_later(max(left, 0), self.on_deadline)
            await self.run_attempts(admitted)
        except Exception:
            self.count("failed")
            log.exception("a request could not be handled")
            progress.may_have_run = progress.may_have_run or progress.attempts > 0
            if not exchange.done:
                self.send_final_answer()
        finally:
            if self.timer:
                self.timer.cancel()
            exchange.on_client_disconnect = None

    async def wait_until_initialized(self) -> None:
        """Waits for the configuration and the endpoints in a process that has just started. They arrive in a
        few tenths of a second, and a client that is refused before may have no other attempt."""
        router = self.router
        client_s = remaining_ms(self.exchange.headers) / 1000 * MAX_START_WAIT_SHARE
        start_s = router.started_at + STARTUP_S - router.clock()
        wait_s = min(MAX_START_WAIT_S, client_s, start_s)
        if wait_s <= 0:
            return
        self.count("waited-for-start")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(router.initialized.wait(), wait_s)

    def count(self, name: str) -> None:
        """Counts a request under `request-{name}`."""
        self.router.counters.add(f"request-{name}")

    # Ends from outside: deadline, client, shutdown.

    def on_deadline(self) -> None:
        """The deadline has passed."""
        self.progress.expired = True
        if self.progress.connection:
            self.progress.connection.close()
        if self.progress.response_started and not self.exchange.done:
            self.exchange.abort()  # also wakes a task that waits for a client to read

    def on_client_disconnect(self) -> None:
        """The client has disconnected."""
        self.progress.client_left = True
        if self.progress.connection:
            self.progress.connection.close()  # the endpoint drops the request

    def abort(self) -> None:
        """Ends the request as the process stops: sends the final answer, or aborts one that has begun."""
        progress = self.progress
        progress.expired = True
        if not (self.exchange.done or self.exchange.client_disconnected):
            progress.may_have_run = progress.may_have_run or progress.connection is not None
            self.send_final_answer()
        if progress.connection:
            progress.connection.close()

    # Attempts.

    async def run_attempts(self, request: Request) -> None:
        """Makes attempts until one brings the answer, or no other may follow."""
        router, progress, has_waited = self.router, self.progress, False
        selection = Selection(router, request, progress)
        selection.count_request(router.clock())
        route = request.route
        while True:
            now = router.clock()
            if progress.client_left:
                self.count("client-gone")
                return
            if (
                progress.expired
                or request.deadline - now <= RESPONSE_MARGIN_S
                or not progress.may_send(route)
            ):
                break
            picked, wait = selection.select_endpoint(now)
            if picked is None:
                if has_waited or wait > self.max_ready_wait_s(request, now):
                    progress.retry_after_s = wait if wait < float("inf") else progress.retry_after_s
                    break
                has_waited = True
                await asyncio.sleep(wait)
                continue
            if self.must_wait_for_reading(selection, picked, now):
                await asyncio.sleep(READING_POLL_S)
                continue
            if progress.attempts and not progress.retry_granted:
                if not router.budget.try_spend(now, request.service, router.fleet.routers):
                    self.count("over-budget")
                    break
                progress.retry_granted = True
            proof = await run_attempt(selection, picked)
            if proof is Proof.ANSWERED:
                return
            progress.may_have_run |= proof is Proof.MAY_HAVE_RUN
        self.send_final_answer()

    def max_ready_wait_s(self, request: Request, now: float) -> float:
        """How long the request may wait for an endpoint to be ready."""
        if not MECHANISMS.holding:
            return 0.0
        share_s = request.route.latency_target_ms / 1000 * MAX_READY_WAIT_SHARE
        return min(share_s, request.deadline - now - RESPONSE_MARGIN_S)

    def must_wait_for_reading(self, selection: Selection, picked: EndpointChoice, now: float) -> bool:
        """Whether the request must wait for another prompt with its shared part to be read."""
        if not selection.should_wait_for_reading(picked):
            return False
        if self.reading_wait_began_at is None:
            self.count("waited-for-reading")
            self.reading_wait_began_at = now
        share_s = selection.request.route.latency_target_ms / 1000 * MAX_READING_WAIT_SHARE
        return now - self.reading_wait_began_at < min(share_s, MAX_READING_WAIT_S)

    # The router's own answers.

    def send_final_answer(self) -> None:
        """Ends the request with the router's own answer; it promises that the request has not run only if
        that is certain."""
        progress = self.progress
        if self.finished:
            return
        self.finished = True
        if self.exchange.done or progress.client_left:
            self.count("client-gone")
        elif progress.response_started:
            self.count("cut")
            self.exchange.abort()
        elif progress.quota_exceeded and not progress.may_have_run:
            self.answer(429, "over-share", self.quota_status.retry_after_s)
        elif not progress.may_have_run:
            least, most = RETRY_AFTER_RANGE_S
            self.answer(503, "refused", min(max(progress.retry_after_s, least), most))
        else:
            self.answer(504 if progress.expired else 502, "late" if progress.expired else "unclear")

    def answer(self, status: int, name: str, retry_after_s: float | None = None) -> None:
        """Sends an answer of the router's own, with `Retry-After` if `retry_after_s` is given."""
        self.count(name)
        headers: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.id is not None:
            headers.append((b"attempt-id", self.id))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        self.exchange.respond(status, headers, name.encode() + b"\n")
