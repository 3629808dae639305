"""A singleton role of the `discovery` lease: health checks of the cache stores, and their events.

Each fetch from a failed store delays a request by some hundred ms. Stores are not listed by the platform and
send no heartbeats, so one long poll of `/kv-events` is kept open at each; a crash resets its connection. A
gap in the events (`Lost`) is published too, since it matters to all that keep an index.
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
from plumline.registrar.publication import REPUBLISH_INTERVAL_S, PublicationRecord
from plumline.registrar.wakeups import Wait, wait_for
from plumline.routing.fleet_state import StoreStatus
from plumline.wire import calls
from plumline.wire.calls import Caller, CallFailedError, CallTimeoutError, CallWithdrawnError
from plumline.wire.http import Address

LONG_POLL_MS = 1000  # Wait-Ms, the most that the protocol allows
LONG_POLL_TIMEOUT_S = 1.6  # after which a store that doesn't answer a long poll counts as down
CALL_TIMEOUT_S = 0.8  # the same for a call without Wait-Ms, which is answered at once
CONNECT_TIMEOUT_S = 0.4
MIN_CALL_INTERVAL_S = 1.0  # between the starts of two calls, the first answered: early answers are charged
RETRY_INTERVAL_S = 0.3  # after a call without an answer, which is not charged
STALE_CONNECTION_RESET_S = 0.2  # an earlier reset of a reused connection: it was closed while idle
PROCESS_PAUSE_S = 0.3  # a time-out that fires later by more than this: this process itself was paused
MAX_INVALID_ANSWERS = 2  # invalid answers in a row after which a store counts as down
RECONCILE_INTERVAL_S = 0.5  # between two checks of lease and configuration, unless woken

StoreStatuses = dict[str, StoreStatus]  # by the store's name


class CacheStoreEnvironment(Protocol):
    """What the monitor needs of the registrar that it runs in."""

    def term(self) -> int | None:
        """The term of the lease if it is held at this moment, else None."""

    def holds_lease(self) -> bool:
        """Whether the `discovery` lease is held at this moment."""

    def addresses(self) -> Mapping[str, Address]:
        """The addresses of the configured stores, by name."""

    def publish(self, statuses: StoreStatuses) -> bool:
        """Publishes the statuses of all stores whose status is known; returns whether it did."""

    def publish_events(self, address: Address, events: StoreEvents) -> None:
        """Publishes the events of the store at this address."""


class CallResult(Enum):
    """What a call shows of a store's health."""

    ANSWERED = auto()  # the store answered, validly or not
    FAILED = auto()  # no answer, or the call was withdrawn
    INCONCLUSIVE = auto()  # no answer, but the store may be up


@dataclass(slots=True)
class CacheStoreHealth:
    """The known health of the store at one address."""

    address: Address
    up: bool | None = None  # None until the first result of a call
    epoch: int = 0  # of its last answer, 0 if unknown
    next_token: int = 0  # of its last answer: the next call's `Since`
    invalid_answers: int = 0  # in a row

    def record_answer(self, cursor: EventCursor) -> None:
        """Records a valid answer."""
        # A lower token is accepted too: a `Since` above the store's own would return no events until the
        # store has caught up, and so hide a restart that kept its epoch.
        self.up, self.epoch, self.next_token, self.invalid_answers = True, cursor.epoch, cursor.next_token, 0

    def record_busy(self) -> None:
        """Records an answer that the concurrency limit is exceeded, so the store is up."""
        if not self.up:
            self.epoch = 0  # it may have restarted empty
        self.up, self.invalid_answers = True, 0

    def record_invalid(self) -> None:
        """Records an invalid answer."""
        self.invalid_answers += 1
        if self.invalid_answers >= MAX_INVALID_ANSWERS:
            self.up = False

    def record_failure(self) -> None:
        """Records a call without an answer."""
        self.up, self.invalid_answers = False, 0


class CacheStoreMonitor:
    """Keeps a long poll open at each store while the lease is held.

    The statuses of all stores are published together, on every change and every REPUBLISH_INTERVAL_S, without
    the stores whose status is not known yet.
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
        self.published = PublicationRecord[StoreStatuses]()
        self._watches: dict[str, asyncio.Task[None]] = {}  # by the store's name
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """Reconciles at once: the lease was acquired or lost, or the configuration changed."""
        self._event.set()

    async def run(self) -> None:
        """Reconciles until cancelled; raises what the environment's methods raise."""
        try:
            while True:
                self._event.clear()
                await self.wait(self._event, self.reconcile())
        finally:
            self._unwatch_all()

    def reconcile(self) -> float:
        """Watches the configured stores while the lease is held. Returns the time (s) to the next check."""
        if not self.environment.holds_lease():
            self._unwatch_all()
            self.published.forget()
            return RECONCILE_INTERVAL_S
        configured = self.environment.addresses()
        for name, store in list(self.stores.items()):
            if configured.get(name) != store.address:
                self._unwatch(name)
        for watch in self._watches.values():
            if watch.done():
                watch.result()  # raises: a watch ends only with an exception
        for name, address in configured.items():
            if name not in self.stores:
                self.stores[name] = store = CacheStoreHealth(address)
                self._watches[name] = asyncio.ensure_future(self._watch(store))
        self._publish_if_due()
        if not self.published.value:
            return RECONCILE_INTERVAL_S
        due_at = self.published.published_at + REPUBLISH_INTERVAL_S
        return min(RECONCILE_INTERVAL_S, max(due_at - self.clock(), 0.0))

    def statuses(self) -> StoreStatuses:
        """The statuses of the stores whose status is known."""
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
        term = self.environment.term()
        if term is None:
            return
        statuses, now = self.statuses(), self.clock()
        if self.published.value is None and self.stores and not statuses:
            return  # keeps the previous lease holder's statuses until one is known here
        if self.published.is_due(now, term, statuses) and self.environment.publish(statuses):
            self.published.record(now, term, statuses)

    async def _watch(self, store: CacheStoreHealth) -> None:
        """Calls the store repeatedly, until cancelled."""
        while True:
            started_at = self.clock()
            answered = await self._check(store)
            self._publish_if_due()
            delay_s = started_at + MIN_CALL_INTERVAL_S - self.clock() if answered else RETRY_INTERVAL_S
            if delay_s > 0:
                await self.wait(self._never, delay_s)

    async def _check(self, store: CacheStoreHealth) -> bool:
        """Calls the store, twice if the first call is inconclusive. Returns whether it answered at all."""
        result = await self._call(store, long_poll=store.up is True)
        if result is CallResult.INCONCLUSIVE:
            result = await self._call(store, long_poll=False)
            if result is CallResult.INCONCLUSIVE:
                store.record_failure()
        return result is CallResult.ANSWERED

    async def _call(self, store: CacheStoreHealth, *, long_poll: bool) -> CallResult:
        """Calls the store once and records the result, unless that is inconclusive."""
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
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            cursor = parse_cursor(answer)
            self._publish_events(store, parse_events(answer, cursor.epoch))
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

    def _publish_events(self, store: CacheStoreHealth, events: StoreEvents) -> None:
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
        """Tells a failed store from a pause of this process and from a stale connection that was `reused`."""
        if isinstance(error, CallTimeoutError):
            inconclusive = elapsed_s > timeout_s + PROCESS_PAUSE_S
        elif isinstance(error.__cause__, OSError):
            inconclusive = reused and elapsed_s < STALE_CONNECTION_RESET_S
        else:  # bytes were received, but no valid response
            store.record_invalid()
            return CallResult.ANSWERED
        if inconclusive:
            return CallResult.INCONCLUSIVE
        store.record_failure()
        return CallResult.FAILED

    def _require_lease(self) -> None:
        """Called right before sending, as the process may have been paused since the lease was checked."""
        if not self.environment.holds_lease():
            raise CallWithdrawnError("the lease is no longer held")
