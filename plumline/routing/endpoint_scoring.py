"""Which endpoint gets a request: the least expected time until its first piece. Pure; all costs are in ms."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from plumline.routing.fleet import Address
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.read_rates import START_READING_MS, START_TOKENS_PER_MS

RUNNING_TOKENS = 200  # each running request delays another's first piece by about the reading of so many
FULL_SHARE = 0.65  # of a usual long prompt's reading: the wait for each request ahead beyond the slots
ANOTHER_ZONE_MS = 0.5  # tie-breaks: below what one running request costs
NEW_CONNECTION_MS = 2.0
AGAIN_MS = 0.1  # by which reading a token again, that somebody has read, is worse than its time alone
CLOSE_MS = 4.0  # costs nearer than this are alike; chance decides, or all routers would take the same one


@dataclass(slots=True)
class Candidate:
    """One endpoint as a request sees it.

    `unread`: prompt tokens that this router sent there and that haven't been read; `running`: this router's
    requests there; `slots`: places; `missing`: tokens of this prompt that it doesn't keep; `movable`: those
    of them that `source` holds, `moved_ms` the time to move them; `excess_ms`: lately seen beyond that;
    `away_ms`: what it costs that this is not the home of its shared parts;
    `read_rate`: tokens a ms that it reads; `reading_ms`: what a usual long prompt of its service takes.
    """

    id: str
    unread: float = 0.0
    running: int = 0
    slots: int = 1
    missing: float = 0.0
    movable: float = 0.0
    moved_ms: float = 0.0
    excess_ms: float = 0.0
    same_zone: bool = True
    connected: bool = True
    away_ms: float = 0.0
    again: float = 0.0  # tokens of shared parts that would be read again
    read_rate: float = START_TOKENS_PER_MS
    reading_ms: float = START_READING_MS
    source: Address | None = None  # where the movable tokens are fetched from


def expected_ms(candidate: Candidate) -> float:
    """The expected time in ms until the first piece, without tie-breaks."""
    each = candidate
    moved = min(each.moved_ms, each.movable / each.read_rate)
    read = (each.missing - each.movable) / each.read_rate + moved
    beyond_slots = max(each.running + 1 - each.slots, 0)
    ahead_ms = (each.unread + each.running * RUNNING_TOKENS) / each.read_rate
    wait = ahead_ms + beyond_slots * each.reading_ms * FULL_SHARE
    return read + wait + each.excess_ms


def cost(candidate: Candidate) -> float:
    """In ms, with the small costs that only decide between like ones."""
    away = ANOTHER_ZONE_MS * (not candidate.same_zone)
    new = NEW_CONNECTION_MS * (not candidate.connected)
    again = candidate.again * AGAIN_MS * MECHANISMS.reread_cost
    return expected_ms(candidate) + candidate.away_ms + again + away + new


def choose(candidates: Sequence[Candidate], chance: random.Random) -> Candidate | None:
    """The one of least cost; among those within CLOSE_MS of it, the better of two taken by chance."""
    if not candidates:
        return None
    costs = [cost(each) for each in candidates]
    least = min(costs)
    near = [index for index, each in enumerate(costs) if each <= least + CLOSE_MS]
    if not MECHANISMS.choice_of_two:
        near = [costs.index(least)]
    if len(near) > 2:
        near = chance.sample(near, 2)
    return candidates[min(near, key=lambda index: (costs[index], chance.random()))]
