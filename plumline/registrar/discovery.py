"""A singleton role of the `discovery` lease: reads the platform's list of endpoints and publishes it."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol
from urllib.parse import urlencode

from plumline import logs
from plumline.errors import PlumlineError
from plumline.registrar.publication import PublicationRecord
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet_state import Departures, ListedEndpoint
from plumline.wire import calls
from plumline.wire.calls import Answer, CallFailedError, CallWithdrawnError
from plumline.wire.http import Address, address_from, parse_decimal

MIN_INTERVAL_S, MAX_INTERVAL_S = 0.4, 1.2  # between the starts of two reads
READS_PER_DRAIN = 3  # within the time that an endpoint takes to drain
MIN_REFRESH_INTERVAL_S = 1.0  # between two early reads requested by `refresh_soon`
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_SHARE = 1 / 2  # of the interval; a longer pause could hide an endpoint's whole drain
MAX_RETRY_AFTER_S = 3.0
RATE_SHARE = 0.7  # of the platform's rate; the rest is for calls in flight of the previous lease holder
MIN_RATE_PER_S = 0.1
STANDBY_INTERVAL_S = 0.5  # between two checks of a lease that another registrar holds, unless woken
MAX_CALL_TIMEOUT_S = 1.0
MAX_PAGES = 1000  # a longer list is taken for a cycle of page tokens
MAX_RESTARTS = 2  # of one read, because a page token was refused
TOKEN_REFUSED_STATUSES = frozenset({400, 404, 410})

#: What parsing JSON of an unexpected shape raises, including int() of an infinite number.
MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


log = logs.logger("registrar")


class ListInvalidError(PlumlineError):
    """The platform's response is not a valid page of a list of endpoints."""

    code, status = "list-invalid", 502


class ListRefusedError(PlumlineError):
    """The platform responded with `status_code`, without a page; `retry_after_s`: its Retry-After, else 0."""

    code, status = "list-refused", 503

    def __init__(self, status_code: int, retry_after_s: float = 0.0) -> None:
        super().__init__(f"the platform answered {status_code}")
        self.status_code, self.retry_after_s = status_code, retry_after_s


class TokenRefusedError(ListRefusedError):
    """The platform no longer accepts a page token: the read has to be restarted."""

    code = "page-token-refused"


class DiscoveryBounds(Protocol):
    """The bounds of the deployment that discovery needs."""

    @property
    def drain_ms(self) -> float:
        """Time for which a draining endpoint stays listed, in ms."""


class DiscoverySettings(Protocol):
    """The part of plumline.settings.Settings that discovery needs."""

    @property
    def cloud_api(self) -> Address | None:
        """The platform's API; None: there is none, and no list is read."""

    @property
    def cloud_rate_per_s(self) -> float:
        """Calls a second that the platform allows."""

    @property
    def bounds(self) -> DiscoveryBounds:
        """The bounds of the deployment."""


class DiscoveryEnvironment(Protocol):
    """What discovery needs of the registrar that it runs in."""

    def may_read(self) -> bool:
        """Whether this registrar may read the list at this moment."""

    def term(self) -> int | None:
        """The term of the lease if it is held at this moment, else None."""

    def publish(self, endpoints: Sequence[ListedEndpoint]) -> bool:
        """Publishes a complete list under the present term; returns whether it was published."""


class ListPage(NamedTuple):
    """One page of the platform's list."""

    endpoints: list[ListedEndpoint]
    next_token: str | None  # None on the last page


def parse_model_versions(items: Any) -> dict[str, int]:  # noqa: ANN401 (any JSON)
    """Parses `Models` of a list or a report: versions by model. Raises MALFORMED_BODY_ERRORS."""
    return {str(item[calls.NAME]): int(item.get(calls.VERSION, 1)) for item in items or ()}


def parse_endpoint(item: Any) -> ListedEndpoint:  # noqa: ANN401 (any JSON)
    """Parses an entry of the platform's list. Raises MALFORMED_BODY_ERRORS."""
    address = item[calls.ADDRESS]
    address_from(address)
    return ListedEndpoint(
        id=str(item[calls.IDENTIFIER]),
        service=str(item[calls.SERVICE]),
        address=address,
        zone=str(item.get(calls.ZONE) or ""),
        slots=int(item.get(calls.CAPACITY_SLOTS) or 1),
        draining=item.get(calls.STATE, "ready") == "draining",
        cold_ms=float(item.get(calls.COLD_REMAINING_MS) or 0),
        models=parse_model_versions(item.get(calls.MODELS)),
        version=str(item.get(calls.VERSION) or ""),
    )


def parse_page(body: Any) -> ListPage:  # noqa: ANN401 (any JSON)
    """Parses the body of a page. Raises ListInvalidError.

    One invalid entry makes the page invalid: a list without it would mean that the endpoint no longer exists.
    """
    try:
        endpoints = [parse_endpoint(item) for item in body[calls.INSTANCES]]
        next_token = body.get(calls.NEXT_TOKEN)
    except MALFORMED_BODY_ERRORS as error:
        raise ListInvalidError(f"{type(error).__name__}: {error}") from None
    if next_token is not None and not isinstance(next_token, str):
        raise ListInvalidError(f"NextToken is {next_token!r}")
    return ListPage(endpoints, next_token or None)


def parse_retry_after(text: str) -> float:
    """Parses `Retry-After` in s, fractions included; 0 if it is missing or malformed."""
    return parse_decimal(text) or 0.0


def comparison_key(endpoints: Sequence[ListedEndpoint]) -> dict[str, ListedEndpoint]:
    """A value that is equal for equivalent lists: it ignores order, and how long a warm-up still takes."""
    return {endpoint.id: endpoint._replace(cold_ms=float(endpoint.cold_ms > 0)) for endpoint in endpoints}


def versions_by_service(endpoints: Sequence[ListedEndpoint]) -> dict[str, str]:
    """The software versions of the listed endpoints, by service, as in "v1,v2"."""
    found: dict[str, set[str]] = {}
    for endpoint in endpoints:
        if endpoint.version:
            found.setdefault(endpoint.service, set()).add(endpoint.version)
    return {service: ",".join(sorted(versions)) for service, versions in sorted(found.items())}


class EndpointDiscovery:
    """Reads the list periodically while the environment allows it, and publishes complete lists only."""

    def __init__(
        self,
        settings: DiscoverySettings,
        caller: calls.Caller,
        environment: DiscoveryEnvironment,
        clock: Callable[[], float] = time.monotonic,
        *,
        wait: Wait = wait_for,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """`clock` is steady time in s; `jitter` returns a number from 0 to 1 for each backoff."""
        self.settings, self.caller, self.environment = settings, caller, environment
        self.clock, self.wait, self.jitter = clock, wait, jitter
        self.interval_s = min(
            MAX_INTERVAL_S, max(MIN_INTERVAL_S, settings.bounds.drain_ms / (READS_PER_DRAIN * 1000))
        )
        self.call_timeout_s = min(MAX_CALL_TIMEOUT_S, self.interval_s)
        self.max_backoff_s = self.interval_s * MAX_BACKOFF_SHARE
        self.spacing_s = 1 / (RATE_SHARE * max(settings.cloud_rate_per_s, MIN_RATE_PER_S))
        self.active = False  # whether reading was allowed at the last poll
        self.term: int | None = None  # of the lease at the last poll
        self.refresh_requested = False
        self.failures = 0  # in a row
        self.next_read_at = 0.0
        self.next_refresh_at = 0.0  # earliest next read for `refresh_soon`
        self.next_call_at = 0.0  # earliest next call that the platform's rate allows
        self.published = PublicationRecord[dict[str, ListedEndpoint]]()  # of `comparison_key`
        self.last_read_at: float | None = None  # when the newest complete read under this lease began
        self.versions: dict[str, str] = {}  # of the last list, for the log
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """Polls at once: the lease was acquired or lost."""
        self._event.set()

    def refresh_soon(self) -> None:
        """Requests an early read, as an endpoint seems to be gone; at most one per MIN_REFRESH_INTERVAL_S."""
        self.refresh_requested = True
        self._event.set()

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            self._event.clear()
            await self.wait(self._event, await self.poll())

    async def poll(self) -> float:
        """Reads and publishes the list if that is due. Returns the time (s) until the next poll."""
        if self.settings.cloud_api is None or not self.environment.may_read():
            self.active = False
            return STANDBY_INTERVAL_S
        now, term = self.clock(), self.environment.term()
        if not self.active or term != self.term:
            self._begin_term(now, term)
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
            return self._back_off(error)
        if self.environment.term() != term:
            return 0.0  # another holder may have read and published a newer list in the meantime
        self._log_read(now, endpoints)
        self.failures = 0
        self._publish_if_due(endpoints)
        self.next_read_at = max(now + self.interval_s, self.clock() + self.spacing_s)
        return self.next_read_at - self.clock()

    def _begin_term(self, now: float, term: int | None) -> None:
        """Starts anew under a lease that has just been won, or without one: the list is read at once."""
        self.active, self.term = True, term
        self.refresh_requested, self.failures = False, 0
        self.next_read_at, self.last_read_at = now, None
        self.published.forget()

    def _back_off(self, error: PlumlineError) -> float:
        """Delays the next read after a failed one. Returns the time (s) until then."""
        if not self.failures:
            log.warning(logs.event("list-unread", code=error.code, text=error.text))
        retry_after_s = error.retry_after_s if isinstance(error, ListRefusedError) else 0.0
        self.failures += 1
        backoff_s = min(self.max_backoff_s, INITIAL_BACKOFF_S * 2 ** min(self.failures - 1, 8))
        jittered_s = backoff_s * (0.75 + self.jitter() / 2)
        delay_s = max(jittered_s, min(retry_after_s, MAX_RETRY_AFTER_S))
        self.next_read_at = self.clock() + delay_s
        return delay_s

    def _publish_if_due(self, endpoints: Sequence[ListedEndpoint]) -> None:
        if not self.environment.may_read():
            return
        now, key = self.clock(), comparison_key(endpoints)
        if self.published.is_due(now, self.term, key) and self.environment.publish(endpoints):
            self.published.record(now, self.term, key)
            self._log_versions(versions_by_service(endpoints))

    def _log_read(self, began_at: float, endpoints: Sequence[ListedEndpoint]) -> None:
        """Logs the first complete read after failed ones, and one that shows endpoints leaving.

        `gap_ms`: from the start of the previous complete read under this lease to the end of this one; an
        endpoint was listed as leaving at most this long ago. "-" for the first read under a lease.
        """
        previous, self.last_read_at = self.last_read_at, began_at
        gap_ms = "-" if previous is None else round((self.clock() - previous) * 1000)
        if self.failures:
            log.info(logs.event("list-read", failures=self.failures, gap_ms=gap_ms))
        earlier = self.published.value or {}
        departures = Departures.between(earlier, {endpoint.id: endpoint for endpoint in endpoints})
        if departures.draining or departures.gone:
            log.info(logs.event("endpoints-leaving", gap_ms=gap_ms, **departures.log_fields()))

    def _log_versions(self, versions: dict[str, str]) -> None:
        for service, listed in versions.items():
            if listed != self.versions.get(service):
                log.info(logs.event("versions", service=service, listed=listed))
        self.versions = versions

    async def fetch_endpoints(self) -> list[ListedEndpoint]:
        """Reads the complete list. Nothing of a failed read is used.

        Raises CallFailedError, CallWithdrawnError, ListInvalidError, ListRefusedError.
        """
        for _ in range(MAX_RESTARTS):
            try:
                return await self._fetch_pages()
            except TokenRefusedError:
                continue
        return await self._fetch_pages()

    async def _fetch_pages(self) -> list[ListedEndpoint]:
        endpoints: dict[str, ListedEndpoint] = {}
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = parse_page((await self._fetch_page(token)).json)
            endpoints |= {endpoint.id: endpoint for endpoint in page.endpoints}
            token = page.next_token
            if token is None:
                return list(endpoints.values())
        raise ListInvalidError("the list does not end")

    async def _fetch_page(self, token: str | None) -> Answer:
        if (delay_s := self.next_call_at - self.clock()) > 0:
            await self.wait(self._never, delay_s)
        self.next_call_at = self.clock() + self.spacing_s
        assert self.settings.cloud_api is not None
        answer = await self.caller.call(
            "instances",
            self.settings.cloud_api,
            query=urlencode({calls.PAGE_TOKEN: token}) if token else "",
            prepare=self._require_lease,
            timeout_s=self.call_timeout_s,
        )
        if answer.status == 200:
            return answer
        if token and answer.status in TOKEN_REFUSED_STATUSES:
            raise TokenRefusedError(answer.status)
        retry_after = answer.headers.get(calls.RETRY_AFTER.lower(), "")
        raise ListRefusedError(answer.status, parse_retry_after(retry_after))

    def _require_lease(self) -> None:
        """Called right before sending, as the process may have been paused since the lease was checked."""
        if not self.environment.may_read():
            raise CallWithdrawnError("the lease is no longer held")
