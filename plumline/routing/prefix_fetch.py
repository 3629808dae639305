"""Where the parts of a prompt that an endpoint lacks are best fetched from. Pure; ms and tokens."""

from collections.abc import Sequence
from dataclasses import dataclass

from plumline.routing.fleet import Address

SETUP_MS = 2.0  # of a move, however small
OTHER_ZONE = 2  # times as long a move takes to another zone
OTHER_REGION = 10


@dataclass(frozen=True, slots=True)
class Holder:
    """A place that holds the first `held` tokens of a prompt."""

    address: Address
    zone: str
    held: int
    link_mbps: float  # of its own link; 0: not known


@dataclass(frozen=True, slots=True)
class Fetch:
    """A move of the first tokens that an endpoint lacks, and how long it takes."""

    source: Address
    tokens: int
    ms: float


def distance(zone: str, other: str, regions: dict[str, str]) -> int:
    """How many times as long a move between the two zones takes as within one."""
    if zone == other:
        return 1
    return OTHER_ZONE if regions.get(zone) == regions.get(other) else OTHER_REGION


def may_gain(tokens: float, read_rate: float) -> bool:
    """Whether a move of so many tokens can be faster than to read them, however good the link is."""
    return tokens / read_rate > SETUP_MS


def best_fetch(
    holders: Sequence[Holder],
    address: Address,
    zone: str,
    kept: int,
    token_bytes: float,
    link_mbps: float,
    read_rate: float,
    regions: dict[str, str],
) -> Fetch | None:
    """The move to the endpoint at `address` that saves the most reading; None where none saves any. `kept`:
    tokens at the prompt's start that it keeps itself; `read_rate`: tokens a ms that it reads."""
    best: Fetch | None = None
    most = 0.0
    for each in holders:
        tokens = each.held - kept
        if tokens <= 0 or each.address == address:
            continue
        link = min(each.link_mbps or link_mbps, link_mbps or each.link_mbps)
        if not link:
            continue
        moving = tokens * token_bytes * 8 / (link * 1000)
        ms = SETUP_MS + moving * distance(zone, each.zone, regions)
        if (gain := tokens / read_rate - ms) > most:
            best, most = Fetch(each.address, tokens, ms), gain
    return best
