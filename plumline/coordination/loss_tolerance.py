"""Loss tolerance of a set of registrars: of single machines, of entire zones, or of entire regions.

A deployment sets how many of each may be lost at once. The three are alternatives: when a zone is lost with
all its registrars, no further machine is assumed lost at the same time.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple


class FailureDomain(NamedTuple):
    """The zone and region in which a registrar runs."""

    zone: str
    region: str


#: Of a registrar that has not reported its domain. All of these count as one zone, as they may be in one.
UNKNOWN_DOMAIN = FailureDomain("", "")


@dataclass(frozen=True, slots=True)
class LossTolerance:
    """The numbers of machines, zones or regions that may be lost at once."""

    machines: int
    zones: int = 0
    regions: int = 0

    def worst_loss(self, domains: Sequence[FailureDomain]) -> int:
        """The largest number of registrars in these domains that a tolerated loss takes."""
        return max(
            min(self.machines, len(domains)),
            _count_of_most_common(self.zones, (domain.zone for domain in domains)),
            _count_of_most_common(self.regions, (domain.region for domain in domains)),
        )

    def leaves_a_replica(self, domains: Sequence[FailureDomain]) -> bool:
        """Whether every tolerated loss leaves at least one of these registrars."""
        return self.worst_loss(domains) < len(domains)

    def leaves_a_majority(self, domains: Sequence[FailureDomain]) -> bool:
        """Whether every tolerated loss leaves more than half of these registrars."""
        return 2 * (len(domains) - self.worst_loss(domains)) > len(domains)

    def attainable(self, domains: Iterable[FailureDomain]) -> "LossTolerance":
        """The part of this tolerance that registrars in these domains can provide at all.

        A majority can survive the loss of z zones only if there are at least 2 z + 1 zones; likewise with
        regions.
        """
        known = list(domains)
        zones = len({domain.zone for domain in known})
        regions = len({domain.region for domain in known})
        return replace(
            self,
            zones=self.zones if zones > 2 * self.zones else 0,
            regions=self.regions if regions > 2 * self.regions else 0,
        )


def _count_of_most_common(count: int, names: Iterable[str]) -> int:
    """How many of the names are among the `count` most frequent ones."""
    return sum(number for _, number in Counter(names).most_common(count))


def select_spread_domains(domains: Sequence[FailureDomain], count: int) -> list[FailureDomain]:
    """Selects `count` of these domains, spread evenly over regions and their zones."""
    remaining, selected = sorted(domains), list[FailureDomain]()
    while remaining and len(selected) < count:
        by_region = Counter(domain.region for domain in selected)
        by_zone = Counter(domain.zone for domain in selected)
        best = min(remaining, key=lambda domain: (by_region[domain.region], by_zone[domain.zone]))
        remaining.remove(best)
        selected.append(best)
    return selected
