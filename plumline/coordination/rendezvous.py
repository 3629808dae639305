"""Rendezvous (highest random weight) hashing.

The choice for a key changes only when the chosen candidate is removed, or one with a higher weight is added.

Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

_HASH_PERSON = b"plumline-ring"  # a change would move every choice; the same in all processes


class Candidate(NamedTuple):
    """A candidate for a key, with its zone."""

    name: str
    zone: str


def weight(key: str, name: str) -> int:
    """A 64-bit weight that depends only on the key and the name, so it is the same in every process."""
    # The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
    text = f"{len(key)}:{key}{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=8, person=_HASH_PERSON).digest(), "big")


def choose(key: str, names: Iterable[str]) -> str | None:
    """The name with the highest weight; None if there are no names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def choose_across_zones(key: str, candidates: Iterable[Candidate], count: int = 2) -> list[str]:
    """The names of up to `count` distinct candidates, best first.

    The first has the highest weight; each further one is the best in a zone not used yet. A zone is used
    again only when no unused zone is left.
    """
    zones = {candidate.name: candidate.zone for candidate in candidates}
    remaining = sorted(zones, key=lambda name: (weight(key, name), name), reverse=True)
    chosen: list[str] = []
    used_zones: set[str] = set()
    while remaining and len(chosen) < count:
        best = next((name for name in remaining if zones[name] not in used_zones), remaining[0])
        remaining.remove(best)
        chosen.append(best)
        used_zones.add(zones[best])
    return chosen
