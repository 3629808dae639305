"""Health by the outcomes of this router's own calls: one breaker per destination, keyed by `Identifier`.

A store has a breaker too, under `store_key`. Breakers use whole microseconds; this module uses steady
seconds.
"""

import math
import random
from collections.abc import Callable, Iterable

from plumline.breaker.breaker import ERROR_WEIGHT, FAILURE_THRESHOLD, Breaker
from plumline.breaker.plain import PlainSettings
from plumline.routing.mechanisms import MECHANISMS

IDLE_TIMEOUT_S = 60.0  # after which an unused and unlisted destination is dropped
INITIAL_CALL_TIME_US = 300_000  # the initial estimate of how long a call may take


def microseconds(seconds: float) -> int:
    """Seconds as whole microseconds, the breaker's unit."""
    return int(seconds * 1_000_000)


def store_key(address: tuple[str, int]) -> str:
    """The key of the store at the address; endpoints have their ids as keys."""
    return f"store:{address[0]}:{address[1]}"


class Call:
    """One call to a destination; `sent` in microseconds."""

    __slots__ = ("breaker", "key", "sent", "settled")

    def __init__(self, key: str, breaker: Breaker, sent: int) -> None:
        self.key, self.breaker, self.sent, self.settled = key, breaker, sent, False


class Outcomes:
    """The breakers of all destinations. Each call is settled once; later evidence about it is ignored."""

    def __init__(
        self,
        routers: Callable[[], int],
        rng: random.Random,
        initial_call_time_us: Callable[[], int] = lambda: INITIAL_CALL_TIME_US,
    ) -> None:
        """`routers()`: routers in the fleet. `initial_call_time_us()`: the first estimate.

        Both are called when a destination's breaker is made.
        """
        self.routers, self.rng, self.initial_call_time_us = routers, rng, initial_call_time_us
        self.breakers: dict[str, Breaker] = {}
        self.last_used: dict[str, float] = {}

    def breaker(self, key: str, now: float) -> Breaker:
        """The destination's breaker, made at its first use."""
        breaker = self.breakers.get(key)
        if breaker is None:
            settings = PlainSettings(max(self.initial_call_time_us(), 1), fleet_size=max(self.routers(), 1))
            breaker = self.breakers[key] = Breaker(settings, self.rng, key)
        self.last_used[key] = now
        return breaker

    def ready_in_s(self, key: str, now: float) -> float:
        """Seconds until the next call may be sent; infinite while a trial call is in progress."""
        breaker = self.breakers.get(key)
        if breaker is None or not MECHANISMS.breaker:
            return 0.0
        at = breaker.ready_at(microseconds(now))
        return at if math.isinf(at) else max(at / 1e6 - now, 0.0)

    def is_open(self, key: str) -> bool:
        """Whether so many consecutive calls failed that only a trial call may be sent."""
        breaker = self.breakers.get(key)
        return breaker is not None and breaker.failures >= FAILURE_THRESHOLD

    def record_request(self, keys: Iterable[str], routes: int, now: float) -> None:
        """Records a request that could be sent to any of these `routes` endpoints."""
        at = microseconds(now)
        for key in keys:
            self.breaker(key, now).count_message(at, routes)

    def begin(self, key: str, now: float) -> Call:
        """Begins a call: the single trial if the breaker is half-open, else an ordinary call."""
        breaker = self.breaker(key, now)
        call = Call(key, breaker, microseconds(now))
        if breaker.failures >= FAILURE_THRESHOLD:
            breaker.trial = call
        breaker.last_sent = call.sent
        breaker.out += 1
        return call

    def settle(self, call: Call) -> bool:
        """Settles the call; returns whether it was not settled before."""
        if call.settled:
            return False
        call.settled = True
        call.breaker.out -= 1
        return True

    def served(self, call: Call, now: float) -> None:
        """Settles a call that was answered successfully."""
        if self.settle(call):
            call.breaker.served(microseconds(now), call)

    def failed(self, call: Call, now: float, error: bool = False) -> None:
        """Settles a failed call.

        `error`: an error response; else no response, a reset or a failed connection.
        """
        if self.settle(call):
            run = max(FAILURE_THRESHOLD / call.breaker.crowd, 2)
            call.breaker.failed(microseconds(now), ERROR_WEIGHT if error else 1, run, error=error)

    def refused(self, call: Call, now: float, wait: float) -> None:
        """Settles a call refused as full, with proof that nothing ran. `wait`: seconds it asked for, or 0."""
        if self.settle(call):
            at = microseconds(now)
            if wait > 0:
                call.breaker.set_wait(at + microseconds(wait))
            call.breaker.refused(at, call, microseconds(wait))

    def inconclusive(self, call: Call) -> None:
        """Settles a call that shows nothing about the destination; a trial is then still to be made."""
        if self.settle(call) and call.breaker.trial is call:
            call.breaker.trial = None

    def expire(self, listed: Iterable[str], now: float) -> None:
        """Drops unlisted destinations without a call in progress that were idle for IDLE_TIMEOUT_S."""
        present = set(listed)
        for key, at in list(self.last_used.items()):
            if key not in present and now - at > IDLE_TIMEOUT_S and not self.breakers[key].out:
                del self.breakers[key], self.last_used[key]
