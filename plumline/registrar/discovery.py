"""The job of the `discovery` lease: asks the platform for its list of endpoints and tells it to the fleet."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import urlencode

from plumline.errors import PlumlineError
from plumline.registrar.wakeups import Wait, wait_for
from plumline.wire import calls
from plumline.wire.calls import Answer, CallFailedError, CallWithdrawnError
from plumline.wire.http import Address, address_from, decimal

MIN_INTERVAL_S, MAX_INTERVAL_S = 0.4, 1.2  # from the begin of one read to that of the next
REPUBLISH_INTERVAL_S = 5.0  # an unchanged list is published again after this
MIN_REFRESH_INTERVAL_S = 1.0  # between two reads that `refresh_soon` brings forward
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.3, 3.0
RATE_SHARE = 0.7  # of the platform's rate: the rest is for a predecessor whose last calls are still out
STANDBY_INTERVAL_S = 0.5  # between two looks at a lease that another holds, unless woken
CALL_TIMEOUT_S = 1.0
MAX_PAGES = 1000  # a list that goes on for longer goes round in circles
MAX_RESTARTS = 2  # reads begun anew in one go because a page token was refused
TOKEN_REFUSED_STATUSES = frozenset({400, 404, 410})

#: What reading JSON of another shape than the pages' raises; int() of an infinite number among it.
MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

EndpointList = list[dict[str, Any]]


class ListInvalidError(PlumlineError):
    """The platform's answer is no page of a list of endpoints."""

    code, status = "list-invalid", 502


class ListRefusedError(PlumlineError):
    """The platform answered `status_code` in place of a page; `retry_after_s` is its Retry-After, else 0."""

    code, status = "list-refused", 503

    def __init__(self, status_code: int, retry_after_s: float = 0.0) -> None:
        super().__init__(f"the platform answered {status_code}")
        self.status_code, self.retry_after_s = status_code, retry_after_s


class TokenRefusedError(ListRefusedError):
    """A page token is not known any more: the read begins anew."""

    code = "page-token-refused"


class DiscoveryBounds(Protocol):
    """The bounds of the deployment that this job needs."""

    @property
    def drain_ms(self) -> float: ...


class DiscoverySettings(Protocol):
    """What this job needs of plumline.settings.Settings."""

    @property
    def cloud_api(self) -> Address | None: ...
    @property
    def cloud_rate_per_s(self) -> float: ...
    @property
    def bounds(self) -> DiscoveryBounds: ...


def parse_model_versions(items: Any) -> dict[str, int]:  # noqa: ANN401
    """The versions by model in `Models` of a list or a report. Raises MALFORMED_BODY_ERRORS."""
    return {str(item[calls.NAME]): int(item.get(calls.VERSION, 1)) for item in items or ()}


def parse_endpoint(item: Any) -> dict[str, Any]:  # noqa: ANN401
    """One dict of a roster (see plumline.routing.fleet_state) from an entry of the platform's list."""
    address = item[calls.ADDRESS]
    address_from(address)
    return {
        "id": str(item[calls.IDENTIFIER]),
        "service": str(item[calls.SERVICE]),
        "address": address,
        "zone": str(item.get(calls.ZONE) or ""),
        "slots": int(item.get(calls.CAPACITY_SLOTS) or 1),
        "draining": item.get(calls.STATE, "ready") == "draining",
        "cold_ms": float(item.get(calls.COLD_REMAINING_MS) or 0),
        "models": parse_model_versions(item.get(calls.MODELS)),
    }


def parse_page(page: Any) -> tuple[EndpointList, str | None]:  # noqa: ANN401
    """The endpoints of one page and the token of the next, None on the last. Raises ListInvalidError.

    One entry that can't be read refuses the page: a list without it would say that the endpoint is gone.
    """
    try:
        entries = [parse_endpoint(item) for item in page[calls.INSTANCES]]
        token = page.get(calls.NEXT_TOKEN)
    except MALFORMED_BODY_ERRORS as error:
        raise ListInvalidError(f"{type(error).__name__}: {error}") from None
    if token is not None and not isinstance(token, str):
        raise ListInvalidError(f"NextToken is {token!r}")
    return entries, token or None


def comparable(endpoints: EndpointList) -> dict[str, dict[str, Any]]:
    """What makes two lists differ: order doesn't, and a cold time only by whether it is over."""
    return {each["id"]: each | {"cold_ms": each["cold_ms"] > 0} for each in endpoints}


class EndpointDiscovery:
    """Reads the whole list again and again while `may_act()`; `publish` gets whole lists only.

    `clock` is steady time in s. `wake()` when the lease is won or lost, `refresh_soon()` when an endpoint
    vanished.
    """

    def __init__(
        self,
        settings: DiscoverySettings,
        caller: calls.Caller,
        may_act: Callable[[], bool],
        publish: Callable[[EndpointList], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        wait: Wait = wait_for,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self.settings, self.caller = settings, caller
        self.may_act, self.publish = may_act, publish
        self.clock, self.wait, self.jitter = clock, wait, jitter
        self.interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, settings.bounds.drain_ms / 3000))
        self.spacing_s = 1 / (RATE_SHARE * max(settings.cloud_rate_per_s, 0.1))
        self.lease_held = False
        self.refresh_requested = False
        self.failures = 0  # in a row
        self.next_read_at = 0.0
        self.next_refresh_at = 0.0
        self.next_call_at = 0.0  # the platform's rate allows no call before
        self.published: dict[str, dict[str, Any]] | None = None  # comparable form of the list published last
        self.published_at = 0.0
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """The lease was won or lost."""
        self._event.set()

    def refresh_soon(self) -> None:
        """An endpoint is said to be gone: one extra read, at most one in MIN_REFRESH_INTERVAL_S."""
        self.refresh_requested = True
        self._event.set()

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            self._event.clear()
            await self.wait(self._event, await self.poll())

    async def poll(self) -> float:
        """One look, with a read if one is due; returns for how long (s) there is nothing to do."""
        if self.settings.cloud_api is None or not self.may_act():
            self.lease_held = False
            return STANDBY_INTERVAL_S
        now = self.clock()
        if not self.lease_held:
            self.lease_held, self.refresh_requested, self.failures = True, False, 0
            self.next_read_at, self.published = now, None
        if self.refresh_requested and not self.failures:
            self.next_read_at = min(self.next_read_at, max(now, self.next_refresh_at))
        if now < self.next_read_at:
            return self.next_read_at - now
        if self.refresh_requested:
            self.refresh_requested, self.next_refresh_at = False, now + MIN_REFRESH_INTERVAL_S
        try:
            endpoints = await self.fetch_endpoints()
        except CallWithdrawnError:
            return 0.0
        except (CallFailedError, ListInvalidError, ListRefusedError) as error:
            self.failures += 1
            delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(self.failures - 1, 8))
            delay = max(
                delay * (0.75 + self.jitter() / 2), min(getattr(error, "retry_after_s", 0.0), MAX_BACKOFF_S)
            )
            self.next_read_at = self.clock() + delay
            return delay
        self.failures = 0
        self._publish_if_due(endpoints)
        self.next_read_at = max(now + self.interval_s, self.clock() + self.spacing_s)
        return self.next_read_at - self.clock()

    def _publish_if_due(self, endpoints: EndpointList) -> None:
        if not self.may_act():
            return
        now, listed = self.clock(), comparable(endpoints)
        if listed != self.published or now >= self.published_at + REPUBLISH_INTERVAL_S:
            self.published, self.published_at = listed, now
            self.publish(endpoints)

    async def fetch_endpoints(self) -> EndpointList:
        """All pages. Raises what `_fetch_page` does; nothing of a read that fails is used."""
        for _ in range(MAX_RESTARTS):
            try:
                return await self._fetch_pages()
            except TokenRefusedError:
                continue
        return await self._fetch_pages()

    async def _fetch_pages(self) -> EndpointList:
        found: dict[str, dict[str, Any]] = {}
        token: str | None = None
        for _ in range(MAX_PAGES):
            entries, token = parse_page((await self._fetch_page(token)).json)
            found |= {each["id"]: each for each in entries}
            if token is None:
                return list(found.values())
        raise ListInvalidError("the list does not end")

    async def _fetch_page(self, token: str | None) -> Answer:
        if (delay := self.next_call_at - self.clock()) > 0:
            await self.wait(self._never, delay)
        self.next_call_at = self.clock() + self.spacing_s
        assert self.settings.cloud_api is not None
        answer = await self.caller.call(
            "instances",
            self.settings.cloud_api,
            query=urlencode({calls.PAGE_TOKEN: token}) if token else "",
            prepare=self._require_lease,
            timeout_s=CALL_TIMEOUT_S,
        )
        if answer.status == 200:
            return answer
        if token and answer.status in TOKEN_REFUSED_STATUSES:
            raise TokenRefusedError(answer.status)
        raise ListRefusedError(
            answer.status, parse_retry_after(answer.headers.get(calls.RETRY_AFTER.lower(), ""))
        )

    def _require_lease(self) -> None:
        if not self.may_act():  # asked at the moment of sending: a process may have been frozen meanwhile
            raise CallWithdrawnError("the lease is over")


def parse_retry_after(text: str) -> float:
    """`Retry-After` in s, fractions included; 0 if it says nothing."""
    return decimal(text) or 0.0
