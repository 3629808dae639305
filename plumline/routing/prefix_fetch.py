"""The best source for the parts of a prompt that an endpoint lacks. Pure; ms and tokens."""

from collections.abc import Sequence
from dataclasses import dataclass

from plumline.routing.fleet import Address

SETUP_MS = 2.0  # of a fetch of any size
OTHER_ZONE_FACTOR = 2  # times the duration of a fetch within a zone
OTHER_REGION_FACTOR = 10  # times the duration of a fetch within a zone


@dataclass(frozen=True, slots=True)
class PrefixHolder:
    """An endpoint or store that holds the first `held_tokens` tokens of a prompt."""

    address: Address
    zone: str
    held_tokens: int
    link_mbps: float  # speed of its own link; 0: not known


@dataclass(frozen=True, slots=True)
class Fetch:
    """A fetch of the first tokens that an endpoint lacks, and its duration."""

    source: Address
    tokens: int
    ms: float


def distance(zone: str, other: str, regions: dict[str, str]) -> int:
    """The duration of a fetch between the two zones, as a multiple of that within one."""
    if zone == other:
        return 1
    return OTHER_ZONE_FACTOR if regions.get(zone) == regions.get(other) else OTHER_REGION_FACTOR


def can_save_time(tokens: float, read_rate: float) -> bool:
    """Whether fetching so many tokens over any link can be faster than reading them."""
    return tokens / read_rate > SETUP_MS


def best_fetch(
    holders: Sequence[PrefixHolder],
    address: Address,
    zone: str,
    cached_tokens: int,
    token_bytes: float,
    link_mbps: float,
    read_rate: float,
    regions: dict[str, str],
) -> Fetch | None:
    """The fetch to the endpoint at `address` that saves the most time; None if none saves any.

    `cached_tokens`: tokens at the prompt's start that the endpoint caches itself; `read_rate`: tokens a
    ms that it reads.
    """
    best: Fetch | None = None
    largest_gain = 0.0
    for each in holders:
        tokens = each.held_tokens - cached_tokens
        if tokens <= 0 or each.address == address:
            continue
        link = min(each.link_mbps or link_mbps, link_mbps or each.link_mbps)
        if not link:
            continue
        transfer_ms = tokens * token_bytes * 8 / (link * 1000)
        ms = SETUP_MS + transfer_ms * distance(zone, each.zone, regions)
        if (gain := tokens / read_rate - ms) > largest_gain:
            best, largest_gain = Fetch(each.address, tokens, ms), gain
    return best
