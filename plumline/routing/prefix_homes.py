"""Prefix homes: the endpoint of a service that should be the first to read a shared part of prompts.

All routers choose the same one by rendezvous hashing, so that one endpoint reads a part first and the others
can fetch it from there. A home is only preferred: another endpoint costs some ms more.

The module also measures a router's recent work by prompt length (`RecentWork`). Heartbeats report it, since
their format requires it and routers of earlier releases allocate endpoints by it; this release does not.

Pure; times are steady seconds, work is ms of endpoint time.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from plumline.coordination.rendezvous import weight
from plumline.prefix_cache.blocks import PrefixBlock
from plumline.routing.mechanisms import MECHANISMS

LONG_PROMPT_SHARE = 1 / 8  # of the service's shortest latency target; a longer reading time is long
OUTPUT_WEIGHT = 10  # tokens that are read in the time that one output token takes of a batch
WORK_TIME_CONSTANT_S = 10.0  # of the exponential decay of measured work
MIN_RATE_SPAN_S = 0.5  # a burst right after the first request is not yet a rate
# Costs, as shares of the reading time of a typical long prompt of the service:
OFF_HOME_COST_SHARE = 0.1  # of reading away from home: the part is fetched, or read twice
SHORT_OFF_HOME_COST_SHARE = 0.025  # the same for a short request

Rates = tuple[float, float]  # ms of endpoints' time a second: for short requests, for long ones


@dataclass(slots=True)
class RecentWork:
    """This router's recent work by prompt length, decaying with WORK_TIME_CONSTANT_S."""

    short: float = 0.0
    long: float = 0.0
    at: float = 0.0
    since: float | None = None  # time of the first request

    def add(self, now: float, ms: float, long: bool) -> None:
        """Adds the work of a request that was sent, in ms of endpoint time."""
        if self.since is None:
            self.since = now
        self.decay(now)
        if long:
            self.long += ms
        else:
            self.short += ms

    def decay(self, now: float) -> None:
        """Applies the decay until now."""
        factor = math.exp(-max(now - self.at, 0.0) / WORK_TIME_CONSTANT_S)
        self.short, self.long, self.at = self.short * factor, self.long * factor, now

    def rates(self, now: float) -> Rates:
        """The rates over the decay's time span, or since the first request if that is shorter."""
        if self.since is None:
            return 0.0, 0.0
        self.decay(now)
        known = max(now - self.since, MIN_RATE_SPAN_S)
        span = WORK_TIME_CONSTANT_S * (1 - math.exp(-known / WORK_TIME_CONSTANT_S))
        return self.short / span, self.long / span


@dataclass(slots=True)
class PrefixHomes:
    """The homes of one service's shared prompt parts, and this router's work at the service."""

    work: RecentWork = field(default_factory=RecentWork)
    endpoints: list[str] = field(default_factory=list)  # ids of those that take requests

    def set_endpoints(self, ids: Iterable[str]) -> None:
        """Sets the ids of the endpoints that take requests."""
        self.endpoints = list(ids)

    def home(self, parts: Sequence[PrefixBlock]) -> str | None:
        """The home of a prompt's last shared part; None if no part is shared."""
        if len(parts) < 2 or not self.endpoints or not MECHANISMS.prefix_homes:
            return None
        key = parts[-2][0]
        return max(self.endpoints, key=lambda each: weight(key, each))


def is_long(read_ms: float, shortest_target_ms: float) -> bool:
    """Whether a prompt with this reading time is long, by the shortest latency target of its service."""
    return read_ms > shortest_target_ms * LONG_PROMPT_SHARE
