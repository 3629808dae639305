"""Rendezvous (highest random weight) hashing.

What is chosen for a key changes only when the chosen candidate goes, or one with a higher weight comes.

Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

_HASH_PERSON = b"plumline-ring"  # another value would move every choice; all processes must agree on it


class Candidate(NamedTuple):
    """One that may be chosen."""

    name: str
    zone: str


def weight(key: str, name: str) -> int:
    """64 bits that depend on the key and the name alone, the same in every process."""
    # The length keeps ("ab", "c") and ("a", "bc") apart.
    text = f"{len(key)}:{key}{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=8, person=_HASH_PERSON).digest(), "big")


def choose(key: str, names: Iterable[str]) -> str | None:
    """The name with the highest weight; None if there are no names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def choose_across_zones(key: str, candidates: Iterable[Candidate], count: int = 2) -> list[str]:
    """The names of up to `count` candidates, best first, each once.

    After the one with the highest weight comes the best in a zone not used yet, and so on; a zone is used
    again only when no unused one is left.
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
