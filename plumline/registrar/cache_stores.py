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
from plumline.registrar.discovery import Pause, pause
from plumline.wire import calls
from plumline.wire.calls import Answer, Caller, CallFailedError, CallTimeoutError, CallWithdrawnError
from plumline.wire.http import Address

HELD_MS = 1000  # Wait-Ms, the most that the protocol allows
HELD_S = 1.6  # a held call that is silent for so long: the store is down
SHORT_S = 0.8  # the same for a call that the store doesn't hold
CONNECT_S = 0.4
SPACING_S = 1.0  # from the begin of an answered call to that of the next: an early answer is priced
RETRY_S = 0.3  # after a call without an answer, which has no price
IDLE_RESET_S = 0.2  # a reset by then met a connection that had been closed while it was idle
AWAY_S = 0.3  # a time-out that is later than this is this process's own absence
MOST_BAD = 2  # unreadable answers in a row with which a store counts as down
REFRESH_S = 5.0  # unchanged states are told again after this
LOOK_S = 0.5  # between two looks at lease and configuration, unless woken
LARGEST = 2**63 - 1  # what frames carry

StoreStates = dict[str, dict[str, Any]]
Change = list[Any]  # [\"+\" or \"-\", salt, part, tokens kept now]


class StoreAnswerInvalidError(PlumlineError):
    """The store's answer is none that `/kv-events` gives."""

    code, status = "store-answer-invalid", 502


class StoreBusyError(PlumlineError):
    """The store holds as many calls as its `ConcurrencyLimit` allows; it is alive."""

    code, status = "store-busy", 503


def number_from(value: Any, name: str) -> int:  # noqa: ANN401
    """A number from 0 to LARGEST. Raises StoreAnswerInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= LARGEST:
        raise StoreAnswerInvalidError(f"{name} is {value!r:.80}")
    return value


def parse_events(answer: Answer) -> tuple[int, int]:
    """`Epoch` and `NextToken` of an answer. Raises StoreBusyError, StoreAnswerInvalidError."""
    if answer.status == 429:
        raise StoreBusyError
    if answer.status != 200 or not isinstance(answer.json, dict):
        raise StoreAnswerInvalidError(f"{answer.status} with {type(answer.json).__name__}")
    body = answer.json
    return number_from(body.get(calls.EPOCH), calls.EPOCH), number_from(
        body.get(calls.NEXT_TOKEN), calls.NEXT_TOKEN
    )


def changes_from(answer: Answer) -> tuple[bool, list[Change]]:
    """Whether events were lost, and [sign, salt, part, tokens kept now] of each event of a good answer; what
    can't be read of them is left out."""
    found: list[Change] = []
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
    since: int = 0
    bad: int = 0  # unreadable answers in a row

    def heard(self, epoch: int, token: int) -> None:
        """A readable answer came."""
        # The token is taken as it comes, also a lower one: a later `Since` than the store's own would get
        # no event until the store has caught up, and so hide a restart that kept its epoch.
        self.up, self.epoch, self.since, self.bad = True, epoch, token, 0

    def busy(self) -> None:
        """It answers that it holds too many calls: it is alive."""
        if not self.up:
            self.epoch = 0  # it may have come back as another
        self.up, self.bad = True, 0

    def garbled(self) -> None:
        """An unreadable answer came."""
        self.bad += 1
        if self.bad >= MOST_BAD:
            self.up = False

    def failed(self) -> None:
        """No answer came."""
        self.up, self.bad = False, 0


class CacheStoreMonitor:
    """Holds a call at each store while `may_act()`; `publish` gets {name: {"up": bool, "epoch": int}}, whole,
    on every change and every REFRESH_S. A store that nothing is known of yet is not in it; an epoch is 0
    while it isn't known.

    `stores`: addresses by name, from the configuration. `clock` is steady time in s. `wake()` when the lease
    is won or lost or the configuration changed.
    """

    def __init__(
        self,
        caller: Caller,
        stores: Callable[[], dict[str, Address]],
        may_act: Callable[[], bool],
        publish: Callable[[StoreStates], None],
        clock: Callable[[], float] = time.monotonic,
        *,
        pause: Pause = pause,
        on_changes: Callable[[Address, int, bool, list[Change]], None] | None = None,
    ) -> None:
        """`on_changes(address, epoch, lost, changes)`: what a store's events told, as they come."""
        self.caller, self.stores = caller, stores
        self.may_act, self.publish = may_act, publish
        self.clock, self.pause = clock, pause
        self.on_changes = on_changes
        self.known: dict[str, CacheStoreHealth] = {}
        self.told: StoreStates | None = None  # under this lease
        self.told_at = 0.0
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
                await self.pause(self._event, self.turn())
        finally:
            self._drop_all()

    def turn(self) -> float:
        """One look at lease and configuration; returns the time (s) to the next."""
        if not self.may_act():
            self._drop_all()
            self.told = None
            return LOOK_S
        wanted = self.stores()
        for name, store in list(self.known.items()):
            if wanted.get(name) != store.address:
                self._drop(name)
        for task in self._tasks.values():
            if task.done():
                task.result()  # a watch only ends by what it raises
        for name, address in wanted.items():
            if name not in self.known:
                self.known[name] = store = CacheStoreHealth(address)
                self._tasks[name] = asyncio.ensure_future(self._watch(store))
        self._tell()
        return min(LOOK_S, max(self.told_at + REFRESH_S - self.clock(), 0.0)) if self.told else LOOK_S

    def states(self) -> StoreStates:
        """What is known of each store, as it is published."""
        return {
            name: {"up": store.up, "epoch": store.epoch}
            for name, store in self.known.items()
            if store.up is not None
        }

    def _drop(self, name: str) -> None:
        self._tasks.pop(name).cancel()
        self.caller.forget(self.known.pop(name).address)

    def _drop_all(self) -> None:
        for name in list(self.known):
            self._drop(name)

    def _tell(self) -> None:
        if not self.may_act():
            return
        states, now = self.states(), self.clock()
        if self.told is None and self.known and not states:
            return  # what the last holder of the lease told is better than nothing
        if states != self.told or now >= self.told_at + REFRESH_S:
            self.told, self.told_at = states, now
            self.publish(states)

    async def _watch(self, store: CacheStoreHealth) -> None:
        while True:
            began = self.clock()
            answered = await self._ask(store)
            self._tell()
            wait = began + SPACING_S - self.clock() if answered else RETRY_S
            if wait > 0:
                await self.pause(self._never, wait)

    async def _ask(self, store: CacheStoreHealth) -> bool:
        """One call, and another where the first tells nothing. Returns whether the store said anything."""
        answered = await self._call(store, store.up is True)
        if answered is None:
            answered = await self._call(store, False)
            if answered is None:
                store.failed()
        return bool(answered)

    async def _call(self, store: CacheStoreHealth, held: bool) -> bool | None:
        """Whether the store said anything; None if the call's failure may not be the store's."""
        timeout_s = HELD_S if held else SHORT_S
        reused, began = store.address in self.caller.idle, self.clock()
        try:
            answer = await self.caller.call(
                "kv_events",
                store.address,
                query=f"{calls.SINCE}={store.since}",
                headers={calls.WAIT_MS: str(HELD_MS)} if held else None,
                prepare=self._allowed,
                timeout_s=timeout_s,
                connect_s=CONNECT_S,
            )
            epoch, token = parse_events(answer)
            lost, changes = changes_from(answer)
            if self.on_changes and (changes or lost or epoch != store.epoch):
                self.on_changes(store.address, epoch, lost, changes)
            store.heard(epoch, token)
        except StoreBusyError:
            store.busy()
        except StoreAnswerInvalidError:
            store.garbled()
        except CallWithdrawnError:
            return False
        except CallFailedError as error:
            took = self.clock() - began
            if isinstance(error, CallTimeoutError):
                unclear = took > timeout_s + AWAY_S
            elif isinstance(error.__cause__, OSError):
                unclear = reused and took < IDLE_RESET_S
            else:  # bytes came, but no answer
                store.garbled()
                return True
            if unclear:
                return None
            store.failed()
            return False
        return True

    def _allowed(self) -> None:
        if not self.may_act():  # asked at the moment of sending: a process may have been frozen meanwhile
            raise CallWithdrawnError("the lease is over")
