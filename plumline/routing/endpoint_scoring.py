"""The choice of an endpoint by the least expected time until the first piece. Pure; costs are in ms."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from plumline.routing.fleet import Address
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.read_rates import START_READING_MS, START_TOKENS_PER_MS

RUNNING_REQUEST_TOKENS = 200  # whose reading takes about as long as a running request delays a first piece
SLOT_WAIT_SHARE = 0.65  # of a typical long prompt's reading time: the wait for each request beyond the slots
OTHER_ZONE_MS = 0.5  # tie-breaker, below the cost of one running request
NEW_CONNECTION_MS = 2.0  # tie-breaker
REREAD_MS_PER_TOKEN = 0.1  # extra cost of reading again what an endpoint has read, beyond the reading time
COST_TOLERANCE_MS = 4.0  # closer costs count as equal: a random choice keeps routers from all taking one


@dataclass(slots=True)
class Candidate:
    """One endpoint with the figures that its cost for a request is computed from."""

    id: str
    unread_tokens: float = 0.0  # prompt tokens that were sent there and haven't been read
    running: int = 0  # this router's requests there
    slots: int = 1  # concurrent requests
    uncached_tokens: float = 0.0  # tokens of this prompt that it doesn't cache
    fetchable_tokens: float = 0.0  # those of them that `source` holds
    fetch_ms: float = 0.0  # time to move those
    excess_ms: float = 0.0  # recently observed beyond the expected time
    same_zone: bool = True
    connected: bool = True
    off_home_ms: float = 0.0  # cost where this is not the home of the shared parts
    reread_tokens: float = 0.0  # tokens of shared parts that it would read though an endpoint has read them
    read_rate: float = START_TOKENS_PER_MS  # tokens a ms that it reads
    reading_ms: float = START_READING_MS  # of a typical long prompt of its service
    source: Address | None = None  # where the fetchable tokens are fetched from


def expected_ms(candidate: Candidate) -> float:
    """The expected time in ms until the first piece, without tie-breaks."""
    each = candidate
    moved = min(each.fetch_ms, each.fetchable_tokens / each.read_rate)
    read = (each.uncached_tokens - each.fetchable_tokens) / each.read_rate + moved
    beyond_slots = max(each.running + 1 - each.slots, 0)
    ahead_ms = (each.unread_tokens + each.running * RUNNING_REQUEST_TOKENS) / each.read_rate
    wait = ahead_ms + beyond_slots * each.reading_ms * SLOT_WAIT_SHARE
    return read + wait + each.excess_ms


def cost(candidate: Candidate) -> float:
    """The expected time with the costs of reading again and away from home, and the tie-breakers; in ms."""
    away = OTHER_ZONE_MS * (not candidate.same_zone)
    new = NEW_CONNECTION_MS * (not candidate.connected)
    again = candidate.reread_tokens * REREAD_MS_PER_TOKEN * MECHANISMS.reread_cost
    return expected_ms(candidate) + candidate.off_home_ms + again + away + new


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Candidate | None:
    """The candidate of least cost; of those within COST_TOLERANCE_MS of it, the better of two random ones."""
    if not candidates:
        return None
    costs = [cost(each) for each in candidates]
    least = min(costs)
    near = [index for index, each in enumerate(costs) if each <= least + COST_TOLERANCE_MS]
    if not MECHANISMS.choice_of_two:
        near = [costs.index(least)]
    if len(near) > 2:
        near = rng.sample(near, 2)
    return candidates[min(near, key=lambda index: (costs[index], rng.random()))]
