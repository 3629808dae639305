"""Lanes: which endpoints of a service long prompts go to, and which are kept for short ones.

A short request that comes behind a long prompt waits for its reading, and a router sees only what it sent
itself. So all routers order a service's endpoints alike (rendezvous hash) and send long prompts to the first
of them, as many as their share of the work needs; short ones go to the others. Neither is forced: it is a
cost in ms. Within the long lane a prompt has a home by its last shared part, so that one endpoint reads that
part for all routers.

Pure; times are steady seconds, work is ms of an endpoint's time.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from plumline.coordination.ring import weight
from plumline.routing.loads import Part

LONG_SHARE = 1 / 8  # of the service's shortest aim: a prompt that takes longer to read is a long one
TOKEN_MS = 0.5  # of an endpoint's time that one token put out takes in a batch
MEMORY_S = 10.0  # s over which the work is remembered
SHORT_ASTRAY_MS = 60.0  # what a short request may expect to wait in the long lane, seen by nobody here
LONG_ASTRAY_MS = 250.0  # what a long prompt costs the short requests of their lane
AWAY_MS = 20.0  # what reading away from home costs: the part is moved there, or read twice


@dataclass(slots=True)
class Work:
    """Work of late by length, fading over MEMORY_S."""

    long: float = 0.0
    short: float = 0.0
    at: float = 0.0

    def add(self, now: float, ms: float, long: bool) -> None:
        fade = math.exp(-max(now - self.at, 0.0) / MEMORY_S)
        self.long, self.short, self.at = self.long * fade, self.short * fade, now
        if long:
            self.long += ms
        else:
            self.short += ms

    def long_share(self) -> float:
        total = self.long + self.short
        return self.long / total if total else 0.0


@dataclass(slots=True)
class Lanes:
    """The lanes of one service as this router sees them."""

    work: Work = field(default_factory=Work)
    order: list[str] = field(default_factory=list)

    def set_endpoints(self, service: str, ids: Iterable[str]) -> None:
        self.order = sorted(ids, key=lambda each: weight(service, each))

    def split(self) -> int:
        """How many of `order` make the long lane: at least one for each length that is asked for."""
        count, share = len(self.order), self.work.long_share()
        if share in (0.0, 1.0) or count < 2:
            return count
        return min(max(round(count * share), 1), count - 1)

    def astray_ms(self, endpoint: str, long: bool) -> float:
        """The cost of sending a request of this length to `endpoint`."""
        if self.work.long_share() in (0.0, 1.0) or endpoint not in self.order:
            return 0.0
        in_long_lane = self.order.index(endpoint) < self.split()
        if in_long_lane is long:
            return 0.0
        return LONG_ASTRAY_MS if long else SHORT_ASTRAY_MS

    def home(self, parts: Sequence[Part]) -> str | None:
        """The endpoint of the long lane at which the last shared part is read first; None where none is
        shared."""
        lane = self.order[: self.split()]
        if len(parts) < 2 or not lane:
            return None
        key = parts[-2][0]
        return max(lane, key=lambda each: weight(key, each))


def is_long(read_ms: float, shortest_aim_ms: float) -> bool:
    return read_ms > shortest_aim_ms * LONG_SHARE
