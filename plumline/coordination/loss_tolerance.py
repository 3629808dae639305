"""Which losses a set of registrars bears: of single machines, of whole zones, or of whole regions.

A deployment names how many of each may be lost at once. The three are alternatives: a zone is lost with all
registrars in it, and no further machine at the same time.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple


class FailureDomain(NamedTuple):
    """Where a registrar runs."""

    zone: str
    region: str


#: Of a registrar that has not told where it runs. All such count as one zone, as they may be.
UNKNOWN_DOMAIN = FailureDomain("", "")


@dataclass(frozen=True, slots=True)
class LossTolerance:
    """How much may be lost at once."""

    machines: int
    zones: int = 0
    regions: int = 0

    def worst_loss(self, domains: Sequence[FailureDomain]) -> int:
        """How many of the registrars in these domains the worst loss takes."""
        return max(
            min(self.machines, len(domains)),
            _largest(self.zones, (domain.zone for domain in domains)),
            _largest(self.regions, (domain.region for domain in domains)),
        )

    def leaves_a_replica(self, domains: Sequence[FailureDomain]) -> bool:
        """Whether one of these registrars is left after every loss."""
        return self.worst_loss(domains) < len(domains)

    def leaves_a_majority(self, domains: Sequence[FailureDomain]) -> bool:
        """Whether more than half of these registrars are left after every loss."""
        return 2 * (len(domains) - self.worst_loss(domains)) > len(domains)

    def attainable(self, domains: Iterable[FailureDomain]) -> "LossTolerance":
        """The part of it that registrars in these domains can bear, however they are placed.

        A majority outlives the loss of z zones only if there are 2 z + 1 of them; likewise with regions.
        """
        known = list(domains)
        zones = len({domain.zone for domain in known})
        regions = len({domain.region for domain in known})
        return replace(
            self,
            zones=self.zones if zones > 2 * self.zones else 0,
            regions=self.regions if regions > 2 * self.regions else 0,
        )


def _largest(count: int, names: Iterable[str]) -> int:
    """How many names the `count` most frequent ones are in all."""
    return sum(number for _, number in Counter(names).most_common(count))


def spread(domains: Sequence[FailureDomain], count: int) -> list[FailureDomain]:
    """`count` of these domains, taken from regions and their zones in turn."""
    left, taken = sorted(domains), list[FailureDomain]()
    while left and len(taken) < count:
        by_region = Counter(domain.region for domain in taken)
        by_zone = Counter(domain.zone for domain in taken)
        best = min(left, key=lambda domain: (by_region[domain.region], by_zone[domain.zone]))
        left.remove(best)
        taken.append(best)
    return taken
