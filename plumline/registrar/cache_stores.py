"""A job of the `discovery` lease: knows within about a second which cache stores are up, and tells the fleet.

A fetch from a dead store costs each request some hundred ms. A store is in no list, and gives no sign of
life but its answers: so one `/kv-events` call is held at each, which a crash resets. What the events say is
not read here: a gap in them (`Lost`) concerns whoever keeps an index.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline.errors import PlumlineError
from plumline.registrar.wakeups import Wait, wait_for
from plumline.wire import calls
from plumline.wire.calls import Answer, Caller, CallFailedError, CallTimeoutError, CallWithdrawnError
from plumline.wire.http import Address

LONG_POLL_MS = 1000  # Wait-Ms, the most that the protocol allows
LONG_POLL_TIMEOUT_S = 1.6  # a held call that is silent for so long: the store is down
CALL_TIMEOUT_S = 0.8  # the same for a call that the store doesn't hold
CONNECT_TIMEOUT_S = 0.4
MIN_CALL_INTERVAL_S = 1.0  # from the begin of an answered call to that of the next: an early answer is priced
RETRY_INTERVAL_S = 0.3  # after a call without an answer, which has no price
STALE_CONNECTION_RESET_S = 0.2  # a reset by then met a connection that had been closed while it was idle
PROCESS_PAUSE_S = 0.3  # a time-out that is later than this is this process's own absence
MAX_INVALID_ANSWERS = 2  # unreadable answers in a row with which a store counts as down
REPUBLISH_INTERVAL_S = 5.0  # unchanged statuses are published again after this
LOOK_INTERVAL_S = 0.5  # between two looks at lease and configuration, unless woken
MAX_INTEGER = 2**63 - 1  # what frames carry

StoreStatuses = dict[str, dict[str, Any]]
BlockChange = list[Any]  # [\"+\" or \"-\", salt, part, tokens kept now]


class StoreAnswerInvalidError(PlumlineError):
    """The store's answer is none that `/kv-events` gives."""

    code, status = "store-answer-invalid", 502


class StoreBusyError(PlumlineError):
    """The store holds as many calls as its `ConcurrencyLimit` allows; it is alive."""

    code, status = "store-busy", 503


def parse_counter(value: Any, name: str) -> int:  # noqa: ANN401
    """A number from 0 to MAX_INTEGER. Raises StoreAnswerInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_INTEGER:
        raise StoreAnswerInvalidError(f"{name} is {value!r:.80}")
    return value


def parse_cursor(answer: Answer) -> tuple[int, int]:
    """`Epoch` and `NextToken` of an answer. Raises StoreBusyError, StoreAnswerInvalidError."""
    if answer.status == 429:
        raise StoreBusyError
    if answer.status != 200 or not isinstance(answer.json, dict):
        raise StoreAnswerInvalidError(f"{answer.status} with {type(answer.json).__name__}")
    body = answer.json
    return parse_counter(body.get(calls.EPOCH), calls.EPOCH), parse_counter(
        body.get(calls.NEXT_TOKEN), calls.NEXT_TOKEN
    )


def parse_changes(answer: Answer) -> tuple[bool, list[BlockChange]]:
    """Whether events were lost, and [sign, salt, part, tokens kept now] of each event of a good answer; what
    can't be read of them is left out."""
    found: list[BlockChange] = []
    body = answer.json if isinstance(answer.json, dict) else {}
    listed = body.get(calls.EVENTS)
    for each in listed if isinstance(listed, list) else ():
        match each:
            case [int(), "+" | "-" as sign, str(salt), str(part), int(tokens), *_]:
                found.append([sign, salt, part, tokens])
    return body.get(calls.LOST) is True, found


@dataclass(slots=True)
class CacheStoreHealth:
    """What is known of the store at one address. `up`: None until a call has told."""

    address: Address
    up: bool | None = None
    epoch: int = 0  # of its last answer, 0 where that isn't known
    next_token: int = 0  # of its last answer: the next call's `Since`
    invalid_answers: int = 0  # unreadable answers in a row

    def record_answer(self, epoch: int, token: int) -> None:
        """A readable answer came."""
        # The token is taken as it comes, also a lower one: a later `Since` than the store's own would get
        # no event until the store has caught up, and so hide a restart that kept its epoch.
        self.up, self.epoch, self.next_token, self.invalid_answers = True, epoch, token, 0

    def record_busy(self) -> None:
        """It answers that it holds too many calls: it is alive."""
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
    """Holds a call at each store while `may_act()`; `publish` gets {name: {"up": bool, "epoch": int}} of all
    on every change and every REPUBLISH_INTERVAL_S. A store that nothing is known of yet is not in it; an
    epoch is 0 while it isn't known.

    `addresses`: by name, from the configuration. `clock` is steady time in s. `wake()` when the lease is
    won or lost or the configuration changed.
    """

    def __init__(
        self,
        caller: Caller,
        addresses: Callable[[], dict[str, Address]],
        may_act: Callable[[], bool],
        publish: Callable[[StoreStatuses], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        wait: Wait = wait_for,
        on_events: Callable[[Address, int, bool, list[BlockChange]], None] | None = None,
    ) -> None:
        """`on_events(address, epoch, lost, changes)`: what a store's events told, as they come."""
        self.caller, self.addresses = caller, addresses
        self.may_act, self.publish = may_act, publish
        self.clock, self.wait = clock, wait
        self.on_events = on_events
        self.stores: dict[str, CacheStoreHealth] = {}
        self.published: StoreStatuses | None = None  # under this lease
        self.published_at = 0.0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._event = asyncio.Event()
        self._never = asyncio.Event()

    def wake(self) -> None:
        """The lease was won or lost, or the configuration changed."""
        self._event.set()

    async def run(self) -> None:
        """Until cancelled; raises what `publish` does."""
        try:
            while True:
                self._event.clear()
                await self.wait(self._event, self.reconcile())
        finally:
            self._unwatch_all()

    def reconcile(self) -> float:
        """One look at lease and configuration; returns the time (s) to the next."""
        if not self.may_act():
            self._unwatch_all()
            self.published = None
            return LOOK_INTERVAL_S
        configured = self.addresses()
        for name, store in list(self.stores.items()):
            if configured.get(name) != store.address:
                self._unwatch(name)
        for task in self._tasks.values():
            if task.done():
                task.result()  # a watch only ends by what it raises
        for name, address in configured.items():
            if name not in self.stores:
                self.stores[name] = store = CacheStoreHealth(address)
                self._tasks[name] = asyncio.ensure_future(self._watch(store))
        self._publish_if_due()
        if not self.published:
            return LOOK_INTERVAL_S
        return min(LOOK_INTERVAL_S, max(self.published_at + REPUBLISH_INTERVAL_S - self.clock(), 0.0))

    def statuses(self) -> StoreStatuses:
        """What is known of each store, as it is published."""
        return {
            name: {"up": store.up, "epoch": store.epoch}
            for name, store in self.stores.items()
            if store.up is not None
        }

    def _unwatch(self, name: str) -> None:
        self._tasks.pop(name).cancel()
        self.caller.forget(self.stores.pop(name).address)

    def _unwatch_all(self) -> None:
        for name in list(self.stores):
            self._unwatch(name)

    def _publish_if_due(self) -> None:
        if not self.may_act():
            return
        statuses, now = self.statuses(), self.clock()
        if self.published is None and self.stores and not statuses:
            return  # what the last holder of the lease told is better than nothing
        if statuses != self.published or now >= self.published_at + REPUBLISH_INTERVAL_S:
            self.published, self.published_at = statuses, now
            self.publish(statuses)

    async def _watch(self, store: CacheStoreHealth) -> None:
        while True:
            started_at = self.clock()
            answered = await self._check(store)
            self._publish_if_due()
            delay = started_at + MIN_CALL_INTERVAL_S - self.clock() if answered else RETRY_INTERVAL_S
            if delay > 0:
                await self.wait(self._never, delay)

    async def _check(self, store: CacheStoreHealth) -> bool:
        """One call, and another where the first tells nothing. Returns whether the store said anything."""
        answered = await self._call_once(store, store.up is True)
        if answered is None:
            answered = await self._call_once(store, False)
            if answered is None:
                store.record_failure()
        return bool(answered)

    async def _call_once(self, store: CacheStoreHealth, long_poll: bool) -> bool | None:
        """Whether the store said anything; None if the call's failure may not be the store's."""
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
            epoch, token = parse_cursor(answer)
            lost, changes = parse_changes(answer)
            if self.on_events and (changes or lost or epoch != store.epoch):
                self.on_events(store.address, epoch, lost, changes)
            store.record_answer(epoch, token)
        except StoreBusyError:
            store.record_busy()
        except StoreAnswerInvalidError:
            store.record_invalid()
        except CallWithdrawnError:
            return False
        except CallFailedError as error:
            elapsed = self.clock() - started_at
            if isinstance(error, CallTimeoutError):
                inconclusive = elapsed > timeout_s + PROCESS_PAUSE_S
            elif isinstance(error.__cause__, OSError):
                inconclusive = reused and elapsed < STALE_CONNECTION_RESET_S
            else:  # bytes came, but no answer
                store.record_invalid()
                return True
            if inconclusive:
                return None
            store.record_failure()
            return False
        return True

    def _require_lease(self) -> None:
        if not self.may_act():  # asked at the moment of sending: a process may have been frozen meanwhile
            raise CallWithdrawnError("the lease is over")
