"""The job of the `discovery` lease: asks the platform for its list of endpoints and tells it to the fleet."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol
from urllib.parse import urlencode

from plumline.errors import PlumlineError
from plumline.wire import calls
from plumline.wire.calls import Answer, CallFailedError, CallWithdrawnError
from plumline.wire.http import Address, address_from, decimal

LEAST_INTERVAL_S, MOST_INTERVAL_S = 0.4, 1.2  # from the begin of one read to that of the next
REFRESH_S = 5.0  # an unchanged list is told again after this
EXTRA_S = 1.0  # at most one hurried read in this time
FIRST_BACKOFF_S, MOST_BACKOFF_S = 0.3, 3.0
RATE_SHARE = 0.7  # of the platform's rate: the rest is for a predecessor whose last calls are still out
STANDBY_S = 0.5  # between two looks at a lease that another holds, unless woken
CALL_S = 1.0
MOST_PAGES = 1000  # a list that goes on for longer goes round in circles
MOST_RESTARTS = 2  # reads begun anew in one go because a page token was refused
UNKNOWN_TOKEN = frozenset({400, 404, 410})

#: What reading JSON of another shape than the pages' raises; int() of an infinite number among it.
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

EndpointList = list[dict[str, Any]]


class ListInvalidError(PlumlineError):
    """The platform's answer is no page of a list of endpoints."""

    code, status = "list-invalid", 502


class ListRefusedError(PlumlineError):
    """The platform did not answer with a page. `status_code`: what it said; `after_s`: its Retry-After."""

    code, status = "list-refused", 503

    def __init__(self, status_code: int, after_s: float = 0.0) -> None:
        super().__init__(f"the platform answered {status_code}")
        self.status_code, self.after_s = status_code, after_s


class TokenRefusedError(ListRefusedError):
    """A page token is not known any more: the read begins anew."""

    code = "page-token-refused"


class BoundsLike(Protocol):
    """The bounds of the deployment that this job needs."""

    @property
    def drain_ms(self) -> float: ...


class SettingsLike(Protocol):
    """What this job needs of plumline.settings.Settings."""

    @property
    def cloud_api(self) -> Address | None: ...
    @property
    def cloud_rate_per_s(self) -> float: ...
    @property
    def bounds(self) -> BoundsLike: ...


async def pause(event: asyncio.Event, seconds: float) -> None:
    """Until the event is set, at most so long (s, steady time)."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass


Pause = Callable[[asyncio.Event, float], Awaitable[None]]


def models_from(items: Any) -> dict[str, int]:  # noqa: ANN401
    """The versions by model in `Models` of a list or a report. Raises UNREADABLE."""
    return {str(item[calls.NAME]): int(item.get(calls.VERSION, 1)) for item in items or ()}


def entry_from(item: Any) -> dict[str, Any]:  # noqa: ANN401
    """One dict of a roster (see plumline.routing.fleet) from an entry of the platform's list."""
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
        "models": models_from(item.get(calls.MODELS)),
    }


def parse_page(page: Any) -> tuple[EndpointList, str | None]:  # noqa: ANN401
    """The roster dicts of one page and the token of the next, None on the last. Raises ListInvalidError.

    One entry that can't be read refuses the page: a list without it would say that the endpoint is gone.
    """
    try:
        entries = [entry_from(item) for item in page[calls.INSTANCES]]
        token = page.get(calls.NEXT_TOKEN)
    except UNREADABLE as error:
        raise ListInvalidError(f"{type(error).__name__}: {error}") from None
    if token is not None and not isinstance(token, str):
        raise ListInvalidError(f"NextToken is {token!r}")
    return entries, token or None


def essence(roster: EndpointList) -> dict[str, dict[str, Any]]:
    """What makes two lists differ: order doesn't, and a cold time only by whether it is over."""
    return {each["id"]: each | {"cold_ms": each["cold_ms"] > 0} for each in roster}


class EndpointDiscovery:
    """Reads the whole list again and again while `may_act()`; `publish` gets whole lists only.

    `clock` is steady time in s. `wake()` when the lease is won or lost, `refresh_soon()` when an endpoint
    vanished.
    """

    def __init__(
        self,
        settings: SettingsLike,
        caller: calls.Caller,
        may_act: Callable[[], bool],
        publish: Callable[[EndpointList], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        pause: Pause = pause,
        chance: Callable[[], float] = random.random,
    ) -> None:
        self.settings, self.caller = settings, caller
        self.may_act, self.publish = may_act, publish
        self.clock, self.pause, self.chance = clock, pause, chance
        self.interval_s = min(MOST_INTERVAL_S, max(LEAST_INTERVAL_S, settings.bounds.drain_ms / 3000))
        self.spacing_s = 1 / (RATE_SHARE * max(settings.cloud_rate_per_s, 0.1))
        self.holding = False
        self.hurried = False
        self.failures = 0  # in a row
        self.due = 0.0
        self.next_extra = 0.0
        self.next_call = 0.0  # the platform's rate allows no call before
        self.told: dict[str, dict[str, Any]] | None = None  # essence of the list published last
        self.told_at = 0.0
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """The lease was won or lost."""
        self._event.set()

    def refresh_soon(self) -> None:
        """An endpoint is said to be gone: one extra read, at most one in EXTRA_S."""
        self.hurried = True
        self._event.set()

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            self._event.clear()
            await self.pause(self._event, await self.turn())

    async def turn(self) -> float:
        """One look, with a read if one is due; returns for how long (s) there is nothing to do."""
        if self.settings.cloud_api is None or not self.may_act():
            self.holding = False
            return STANDBY_S
        now = self.clock()
        if not self.holding:
            self.holding, self.hurried, self.failures = True, False, 0
            self.due, self.told = now, None
        if self.hurried and not self.failures:
            self.due = min(self.due, max(now, self.next_extra))
        if now < self.due:
            return self.due - now
        if self.hurried:
            self.hurried, self.next_extra = False, now + EXTRA_S
        try:
            roster = await self.read()
        except CallWithdrawnError:
            return 0.0
        except (CallFailedError, ListInvalidError, ListRefusedError) as error:
            self.failures += 1
            wait = min(MOST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 8))
            wait = max(wait * (0.75 + self.chance() / 2), min(getattr(error, "after_s", 0.0), MOST_BACKOFF_S))
            self.due = self.clock() + wait
            return wait
        self.failures = 0
        self._tell(roster)
        self.due = max(now + self.interval_s, self.clock() + self.spacing_s)
        return self.due - self.clock()

    def _tell(self, roster: EndpointList) -> None:
        if not self.may_act():
            return
        now, told = self.clock(), essence(roster)
        if told != self.told or now >= self.told_at + REFRESH_S:
            self.told, self.told_at = told, now
            self.publish(roster)

    async def read(self) -> EndpointList:
        """All pages. Raises what `_page` does; nothing of a read that fails is used."""
        for _ in range(MOST_RESTARTS):
            try:
                return await self._pages()
            except TokenRefusedError:
                continue
        return await self._pages()

    async def _pages(self) -> EndpointList:
        found: dict[str, dict[str, Any]] = {}
        token: str | None = None
        for _ in range(MOST_PAGES):
            entries, token = parse_page((await self._page(token)).json)
            found |= {each["id"]: each for each in entries}
            if token is None:
                return list(found.values())
        raise ListInvalidError("the list does not end")

    async def _page(self, token: str | None) -> Answer:
        if (ahead := self.next_call - self.clock()) > 0:
            await self.pause(self._never, ahead)
        self.next_call = self.clock() + self.spacing_s
        assert self.settings.cloud_api is not None
        answer = await self.caller.call(
            "instances",
            self.settings.cloud_api,
            query=urlencode({calls.PAGE_TOKEN: token}) if token else "",
            prepare=self._allowed,
            timeout_s=CALL_S,
        )
        if answer.status == 200:
            return answer
        if token and answer.status in UNKNOWN_TOKEN:
            raise TokenRefusedError(answer.status)
        raise ListRefusedError(answer.status, seconds_from(answer.headers.get(calls.RETRY_AFTER.lower(), "")))

    def _allowed(self) -> None:
        if not self.may_act():  # asked at the moment of sending: a process may have been frozen meanwhile
            raise CallWithdrawnError("the lease is over")


def seconds_from(text: str) -> float:
    """`Retry-After` in s, fractions included; 0 if it says nothing."""
    return decimal(text) or 0.0
