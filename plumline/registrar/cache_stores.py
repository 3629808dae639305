"""A singleton job of the `discovery` lease: health checks of the cache stores, and their events.

A fetch from a dead store costs each request some hundred ms. A store is in no list, and gives no sign of life
but its answers: so one long poll of `/kv-events` is kept open at each, which a crash resets. A gap in the
events (`Lost`) concerns whoever keeps an index, and is passed on.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from plumline.registrar.cache_store_events import (
    EventCursor,
    StoreAnswerInvalidError,
    StoreBusyError,
    StoreEvents,
    parse_cursor,
    parse_events,
)
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet_state import StoreStatus
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallTimeoutError, CallWithdrawnError
from plumline.wire.http import Address

LONG_POLL_MS = 1000  # Wait-Ms, the most that the protocol allows
LONG_POLL_TIMEOUT_S = 1.6  # a long poll without an answer for so long: the store is down
CALL_TIMEOUT_S = 0.8  # the same for a call that the store answers at once
CONNECT_TIMEOUT_S = 0.4
MIN_CALL_INTERVAL_S = 1.0  # from the begin of an answered call to that of the next: an early answer is priced
RETRY_INTERVAL_S = 0.3  # after a call without an answer, which has no price
STALE_CONNECTION_RESET_S = 0.2  # a reset by then met a connection that had been closed while it was idle
PROCESS_PAUSE_S = 0.3  # a time-out that is later than this: this process itself was paused
MAX_INVALID_ANSWERS = 2  # unreadable answers in a row with which a store counts as down
REPUBLISH_INTERVAL_S = 5.0  # unchanged statuses are published again after this
LOOK_INTERVAL_S = 0.5  # between two looks at lease and configuration, unless woken

StoreStatuses = dict[str, StoreStatus]  # by the store's name


class CacheStoreEnvironment(Protocol):
    """What the monitor needs of the registrar that it runs in."""

    def holds_lease(self) -> bool:
        """Whether the `discovery` lease is held at this moment."""

    def addresses(self) -> Mapping[str, Address]:
        """The stores of the configuration by name."""

    def publish(self, statuses: StoreStatuses) -> None:
        """Publishes the statuses of all stores that anything is known of."""

    def publish_events(self, address: Address, events: StoreEvents) -> None:
        """Passes on what the events of the store at this address told."""


class CallResult(Enum):
    """What a call tells of a store's health."""

    ANSWERED = auto()  # the store said something, be it unreadable
    FAILED = auto()  # no answer; or the call was withdrawn, which tells nothing
    INCONCLUSIVE = auto()  # no answer, and that may not be the store's fault


@dataclass(slots=True)
class CacheStoreHealth:
    """What is known of the store at one address."""

    address: Address
    up: bool | None = None  # None until a call has told
    epoch: int = 0  # of its last answer, 0 where that isn't known
    next_token: int = 0  # of its last answer: the next call's `Since`
    invalid_answers: int = 0  # in a row

    def record_answer(self, cursor: EventCursor) -> None:
        """A readable answer came."""
        # The token is taken as it comes, also a lower one: a later `Since` than the store's own would get
        # no event until the store has caught up, and so hide a restart that kept its epoch.
        self.up, self.epoch, self.next_token, self.invalid_answers = True, cursor.epoch, cursor.next_token, 0

    def record_busy(self) -> None:
        """The store answered that it holds too many calls: it is alive."""
        if not self.up:
            self.epoch = 0  # it may have come back as another
        self.up, self.invalid_answers = True, 0

    def record_invalid(self) -> None:
        """An unreadable answer came."""
        self.invalid_answers += 1
        if self.invalid_answers >= MAX_INVALID_ANSWERS:
            self.up = False

    def record_failure(self) -> None:
        """No answer came."""
        self.up, self.invalid_answers = False, 0


class CacheStoreMonitor:
    """Keeps a long poll open at each store while the lease is held.

    The statuses of all stores are published together, on every change and every REPUBLISH_INTERVAL_S. A store
    that nothing is known of yet is not among them.
    """

    def __init__(
        self,
        caller: Caller,
        environment: CacheStoreEnvironment,
        clock: Callable[[], float] = time.monotonic,
        *,
        wait: Wait = wait_for,
    ) -> None:
        """`clock` is steady time in s."""
        self.caller, self.environment = caller, environment
        self.clock, self.wait = clock, wait
        self.stores: dict[str, CacheStoreHealth] = {}  # by name
        self.published: StoreStatuses | None = None  # under this lease
        self.published_at = 0.0
        self._watches: dict[str, asyncio.Task[None]] = {}  # by the store's name
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """Brings the next look: the lease was won or lost, or the configuration changed."""
        self._event.set()

    async def run(self) -> None:
        """Reconciles until cancelled; raises what the environment's methods do."""
        try:
            while True:
                self._event.clear()
                await self.wait(self._event, self.reconcile())
        finally:
            self._unwatch_all()

    def reconcile(self) -> float:
        """Watches the configured stores while the lease is held. Returns the time (s) to the next look."""
        if not self.environment.holds_lease():
            self._unwatch_all()
            self.published = None
            return LOOK_INTERVAL_S
        configured = self.environment.addresses()
        for name, store in list(self.stores.items()):
            if configured.get(name) != store.address:
                self._unwatch(name)
        for watch in self._watches.values():
            if watch.done():
                watch.result()  # a watch only ends by what it raises
        for name, address in configured.items():
            if name not in self.stores:
                self.stores[name] = store = CacheStoreHealth(address)
                self._watches[name] = asyncio.ensure_future(self._watch(store))
        self._publish_if_due()
        if not self.published:
            return LOOK_INTERVAL_S
        return min(LOOK_INTERVAL_S, max(self.published_at + REPUBLISH_INTERVAL_S - self.clock(), 0.0))

    def statuses(self) -> StoreStatuses:
        """What is known of each store."""
        return {
            name: StoreStatus(store.up, store.epoch)
            for name, store in self.stores.items()
            if store.up is not None
        }

    def _unwatch(self, name: str) -> None:
        self._watches.pop(name).cancel()
        self.caller.forget(self.stores.pop(name).address)

    def _unwatch_all(self) -> None:
        for name in list(self.stores):
            self._unwatch(name)

    def _publish_if_due(self) -> None:
        if not self.environment.holds_lease():
            return
        statuses, now = self.statuses(), self.clock()
        if self.published is None and self.stores and not statuses:
            return  # what the last lease holder published is better than nothing
        if statuses != self.published or now >= self.published_at + REPUBLISH_INTERVAL_S:
            self.published, self.published_at = statuses, now
            self.environment.publish(statuses)

    async def _watch(self, store: CacheStoreHealth) -> None:
        """Calls the store again and again, until cancelled."""
        while True:
            started_at = self.clock()
            answered = await self._check(store)
            self._publish_if_due()
            delay_s = started_at + MIN_CALL_INTERVAL_S - self.clock() if answered else RETRY_INTERVAL_S
            if delay_s > 0:
                await self.wait(self._never, delay_s)

    async def _check(self, store: CacheStoreHealth) -> bool:
        """One call, and another where the first is inconclusive. Returns whether the store said anything."""
        result = await self._call(store, long_poll=store.up is True)
        if result is CallResult.INCONCLUSIVE:
            result = await self._call(store, long_poll=False)
            if result is CallResult.INCONCLUSIVE:
                store.record_failure()
        return result is CallResult.ANSWERED

    async def _call(self, store: CacheStoreHealth, *, long_poll: bool) -> CallResult:
        """One call, with its result recorded unless that is inconclusive."""
        timeout_s = LONG_POLL_TIMEOUT_S if long_poll else CALL_TIMEOUT_S
        reused, started_at = store.address in self.caller.idle, self.clock()
        try:
            answer = await self.caller.call(
                "kv_events",
                store.address,
                query=f"{calls.SINCE}={store.next_token}",
                headers={calls.WAIT_MS: str(LONG_POLL_MS)} if long_poll else None,
                prepare=self._require_lease,
                timeout_s=timeout_s,
                connect_s=CONNECT_TIMEOUT_S,
            )
            cursor = parse_cursor(answer)
            self._pass_on(store, parse_events(answer, cursor.epoch))
            store.record_answer(cursor)
        except StoreBusyError:
            store.record_busy()
        except StoreAnswerInvalidError:
            store.record_invalid()
        except CallWithdrawnError:
            return CallResult.FAILED
        except CallFailedError as error:
            elapsed_s = self.clock() - started_at
            return self._record_call_error(
                store, error, reused=reused, elapsed_s=elapsed_s, timeout_s=timeout_s
            )
        return CallResult.ANSWERED

    def _pass_on(self, store: CacheStoreHealth, events: StoreEvents) -> None:
        if events.changes or events.lost or events.epoch != store.epoch:
            self.environment.publish_events(store.address, events)

    def _record_call_error(
        self,
        store: CacheStoreHealth,
        error: CallFailedError,
        *,
        reused: bool,
        elapsed_s: float,
        timeout_s: float,
    ) -> CallResult:
        """Tells a store's failure from one of this process or of a connection that was `reused`."""
        if isinstance(error, CallTimeoutError):
            inconclusive = elapsed_s > timeout_s + PROCESS_PAUSE_S
        elif isinstance(error.__cause__, OSError):
            inconclusive = reused and elapsed_s < STALE_CONNECTION_RESET_S
        else:  # bytes came, but no answer
            store.record_invalid()
            return CallResult.ANSWERED
        if inconclusive:
            return CallResult.INCONCLUSIVE
        store.record_failure()
        return CallResult.FAILED

    def _require_lease(self) -> None:
        """Asked at the moment of sending: the process may have been frozen since the last look."""
        if not self.environment.holds_lease():
            raise CallWithdrawnError("the lease is over")
