"""Health by the outcomes of this router's own calls: one breaker per destination, keyed by `Identifier`.

A store has one too, under `store_key`. The breaker counts in whole microseconds; this module's times are
steady seconds.
"""

import math
import random
from collections.abc import Callable, Iterable

from plumline.breaker.breaker import ERROR_WEIGHT, FAILURE_THRESHOLD, Breaker
from plumline.breaker.plain import PlainSettings
from plumline.routing.mechanisms import MECHANISMS

IDLE_AGE = 60.0  # s after which what nobody lists or uses is forgotten
LEAST_AIM = 300_000  # us: the first guess of how long a call may take


def micros(seconds: float) -> int:
    """Seconds as whole microseconds, the breaker's unit."""
    return int(seconds * 1_000_000)


def store_key(address: tuple[str, int]) -> str:
    """The key of the store at the address, among the endpoints' ids."""
    return f"store:{address[0]}:{address[1]}"


class Call:
    """One call at a destination; `sent` in microseconds."""

    __slots__ = ("breaker", "key", "sent", "settled")

    def __init__(self, key: str, breaker: Breaker, sent: int) -> None:
        self.key, self.breaker, self.sent, self.settled = key, breaker, sent, False


class Outcomes:
    """Each call that was begun is settled once; later evidence about it is not counted."""

    def __init__(
        self,
        routers: Callable[[], int],
        chance: random.Random,
        least_aim: Callable[[], int] = lambda: LEAST_AIM,
    ) -> None:
        """`least_aim` in microseconds; both are asked when a destination's first call is made."""
        self.routers, self.chance, self.least_aim = routers, chance, least_aim
        self.breakers: dict[str, Breaker] = {}
        self.used: dict[str, float] = {}

    def breaker(self, key: str, now: float) -> Breaker:
        """The destination's breaker, made at its first use."""
        breaker = self.breakers.get(key)
        if breaker is None:
            settings = PlainSettings(max(self.least_aim(), 1), fleet_size=max(self.routers(), 1))
            breaker = self.breakers[key] = Breaker(settings, self.chance, key)
        self.used[key] = now
        return breaker

    def ready_in(self, key: str, now: float) -> float:
        """Seconds until the next call may go; infinite while a trial's result decides it."""
        breaker = self.breakers.get(key)
        if breaker is None or not MECHANISMS.breaker:
            return 0.0
        at = breaker.ready_at(micros(now))
        return at if math.isinf(at) else max(at / 1e6 - now, 0.0)

    def is_open(self, key: str) -> bool:
        """Whether so many calls failed in a row that only a trial may go."""
        breaker = self.breakers.get(key)
        return breaker is not None and breaker.failures >= FAILURE_THRESHOLD

    def asked(self, keys: Iterable[str], routes: int, now: float) -> None:
        """A request came that could go to any of these `routes` endpoints."""
        at = micros(now)
        for key in keys:
            self.breaker(key, now).asked_for(at, routes)

    def begin(self, key: str, now: float) -> Call:
        """The one trial of a destination that is half-open, else an ordinary call."""
        breaker = self.breaker(key, now)
        call = Call(key, breaker, micros(now))
        if breaker.failures >= FAILURE_THRESHOLD:
            breaker.trial = call
        breaker.last_sent = call.sent
        breaker.out += 1
        return call

    def settle(self, call: Call) -> bool:
        """True the first time; what is told of a call after that says nothing new."""
        if call.settled:
            return False
        call.settled = True
        call.breaker.out -= 1
        return True

    def served(self, call: Call, now: float) -> None:
        """The call was answered well."""
        if self.settle(call):
            call.breaker.served(micros(now), call)

    def failed(self, call: Call, now: float, error: bool = False) -> None:
        """`error`: it answered, though wrongly. Else silence, a reset or a failed connection."""
        if self.settle(call):
            run = max(FAILURE_THRESHOLD / call.breaker.crowd, 2)
            call.breaker.failed(micros(now), ERROR_WEIGHT if error else 1, run, error=error)

    def refused(self, call: Call, now: float, wait: float) -> None:
        """Full, with proof that nothing ran; `wait` seconds were told, or 0."""
        if self.settle(call):
            at = micros(now)
            if wait > 0:
                call.breaker.told_wait(at + micros(wait))
            call.breaker.refused(at, call, micros(wait))

    def nothing(self, call: Call) -> None:
        """The call's end says nothing of the destination; a trial is then still to be made."""
        if self.settle(call) and call.breaker.trial is call:
            call.breaker.trial = None

    def age(self, listed: Iterable[str], now: float) -> None:
        """Forgets what isn't listed, has no call out and wasn't used for a while."""
        present = set(listed)
        for key, at in list(self.used.items()):
            if key not in present and now - at > IDLE_AGE and not self.breakers[key].out:
                del self.breakers[key], self.used[key]
