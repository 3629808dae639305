"""PrefixHomes: the endpoint of a service at which a shared part of prompts is best read first.

All routers choose the same one (rendezvous hash), so that one endpoint reads a part first and the others find
it there. Nothing is forced: to be sent elsewhere costs some ms. Beside it stands `Work`, a router's work of
late by length of prompts. Its heartbeats report that, as their form needs it and routers of earlier releases
share endpoints out by it; this release does not.

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
# Costs, as shares of the time in which a usual long prompt of the service is read:
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
class PrefixHomes:
    """The homes of one service's prompts, and this router's work there."""

    work: Work = field(default_factory=Work)
    endpoints: list[str] = field(default_factory=list)  # ids of those that take requests

    def set_endpoints(self, ids: Iterable[str]) -> None:
        """Those that take requests, by id."""
        self.endpoints = list(ids)

    def home(self, parts: Sequence[PrefixBlock]) -> str | None:
        """The endpoint at which the last shared part of a prompt is read; None if none is shared."""
        if len(parts) < 2 or not self.endpoints or not MECHANISMS.prefix_homes:
            return None
        key = parts[-2][0]
        return max(self.endpoints, key=lambda each: weight(key, each))


def is_long(read_ms: float, shortest_aim_ms: float) -> bool:
    """Whether a prompt that takes so long to read is a long one, by the shortest aim of its service."""
    return read_ms > shortest_aim_ms * LONG_SHARE
