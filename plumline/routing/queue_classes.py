"""QueueClasses: which endpoints of a service long prompts go to, and which are kept for short ones.

A short request that comes behind a long prompt waits for its reading, and a router sees only a part of what
is on its way. So all routers order a service's endpoints alike (rendezvous hash) and keep as many as the
short requests of the whole fleet need for those; long prompts go to the others. Neither is forced: it is a
cost in ms. Within the long lane a prompt has a home by its last shared part, so that one endpoint reads that
part first.

Pure; times are steady seconds, work is ms of an endpoint's time.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from plumline.coordination.rendezvous import weight
from plumline.prefix_cache.blocks import PrefixBlock
from plumline.routing.mechanisms import MECHANISMS

LONG_SHARE = 1 / 8  # of the service's shortest aim: a prompt that takes longer to read is a long one
OUTPUT_WEIGHT = 10  # tokens that are read in the time that one token put out takes of a batch
MEMORY_S = 10.0  # s over which the work is remembered
LEAST_S = 0.5  # s: a clump at the beginning is no rate yet
SHORT_USE = 0.45  # of its time that an endpoint of the short lane may be busy: the rest is for clumps
# Costs, as shares of the time in which a usual long prompt of the service is read:
SHORT_ASTRAY_SHARE = 0.25  # what a short request may expect to wait in the long lane, seen by nobody here
LONG_ASTRAY_SHARE = 0.65  # what a long prompt costs the short requests of their lane
AWAY_SHARE = 0.1  # what reading away from home costs: the part is moved there, or read twice
SHORT_AWAY_SHARE = 0.025  # the same of a short request

Rates = tuple[float, float]  # ms of endpoints' time a second: for short requests, for long ones


@dataclass(slots=True)
class Work:
    """This router's work of late by length, fading over MEMORY_S."""

    short: float = 0.0
    long: float = 0.0
    at: float = 0.0
    since: float | None = None  # the first request

    def add(self, now: float, ms: float, long: bool) -> None:
        """A request was sent that takes so many ms of an endpoint's time."""
        if self.since is None:
            self.since = now
        self.fade(now)
        if long:
            self.long += ms
        else:
            self.short += ms

    def fade(self, now: float) -> None:
        """Forgets of the work what is due by now."""
        share = math.exp(-max(now - self.at, 0.0) / MEMORY_S)
        self.short, self.long, self.at = self.short * share, self.long * share, now

    def rates(self, now: float) -> Rates:
        """Over the time that is remembered, or since the first request if that is shorter."""
        if self.since is None:
            return 0.0, 0.0
        self.fade(now)
        known = max(now - self.since, LEAST_S)
        span = MEMORY_S * (1 - math.exp(-known / MEMORY_S))
        return self.short / span, self.long / span


@dataclass(slots=True)
class QueueClasses:
    """The queue classes of one service. `fleet`: the rates of all routers together, the same for each."""

    work: Work = field(default_factory=Work)
    fleet: Rates = (0.0, 0.0)
    order: list[str] = field(default_factory=list)

    def set_endpoints(self, service: str, ids: Iterable[str]) -> None:
        """Those that take requests, by id; all routers order them alike."""
        self.order = sorted(ids, key=lambda each: weight(service, each))

    def split(self) -> int:
        """How many of `order` make the long lane: what the short requests leave, at least one for each."""
        count, (short, long) = len(self.order), self.fleet
        if not short or not long or count < 2 or not MECHANISMS.queue_classes:
            return count
        needed = math.ceil(short / 1000 / SHORT_USE)
        return count - min(max(needed, 1), count - 1)

    def astray_ms(self, endpoint: str, long: bool, reading_ms: float) -> float:
        """The cost of sending a request of this length to `endpoint`.

        `reading_ms`: how long a usual long prompt of the service is read.
        """
        split = self.split()
        if split == len(self.order) or endpoint not in self.order:
            return 0.0
        in_long_lane = self.order.index(endpoint) < split
        if in_long_lane is long:
            return 0.0
        return reading_ms * (LONG_ASTRAY_SHARE if long else SHORT_ASTRAY_SHARE)

    def home(self, parts: Sequence[PrefixBlock], long: bool) -> str | None:
        """The endpoint of the request's lane at which its last shared part is read; None if none is
        shared."""
        split = self.split()
        lane = self.order[:split] if long or split == len(self.order) else self.order[split:]
        if len(parts) < 2 or not lane or not MECHANISMS.prefix_homes:
            return None
        key = parts[-2][0]
        return max(lane, key=lambda each: weight(key, each))


def is_long(read_ms: float, shortest_aim_ms: float) -> bool:
    """Whether a prompt that takes so long to read is a long one, by the shortest aim of its service."""
    return read_ms > shortest_aim_ms * LONG_SHARE
