"""Rendezvous hashing: who is chosen for a key changes only when the chosen one goes or a better one comes."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple


class Candidate(NamedTuple):
    """One that may be chosen."""

    name: str
    zone: str


def weight(key: str, name: str) -> int:
    """64 bits that depend on both words alone, in every process the same."""
    # The length keeps ("ab", "c") and ("a", "bc") apart.
    text = f"{len(key)}:{key}{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=8, person=b"plumline-ring").digest(), "big")


def choose(key: str, names: Iterable[str]) -> str | None:
    """The name with the highest weight; None if there are no names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def watchers(node: str, candidates: Iterable[Candidate], count: int = 2) -> list[str]:
    """The names of up to `count` candidates: the best one, then the best in a zone not yet taken, and so on;
    zones are used again only when there are no more. Best first, each name once."""
    zones = {candidate.name: candidate.zone for candidate in candidates}
    left = sorted(zones, key=lambda name: (weight(node, name), name), reverse=True)
    chosen: list[str] = []
    taken: set[str] = set()
    while left and len(chosen) < count:
        best = next((name for name in left if zones[name] not in taken), left[0])
        left.remove(best)
        chosen.append(best)
        taken.add(zones[best])
    return chosen
