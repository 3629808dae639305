"""Under which text an endpoint keeps a prompt's parts, and which version of the weights goes with it.

STALE and WALL hold by construction: the salt names the version, the tenant where it uses a cache of its own,
else the generation of the shared prefix cache, and it leaves this module only together with the same version
for `Expect-Version`. Which generation is in force, and who shares it, are taken from the same configuration:
a generation begins without the tenants that are isolated then, though an older configuration let them share.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from plumline.configuration.entities import Tenant
from plumline.configuration.route_table import RouteTable

NAMED_SHARE = 0.6  # of VersionApplyMs, in which endpoints of the older version may still be used


@dataclass(frozen=True, slots=True)
class Salt:
    """A text for `Cache-Salt` and the version of the weights that it is for."""

    text: str
    version: int


def salt_for(version: int, shared_generation: int, cache_owner: str | None) -> Salt:
    """`cache_owner`: see `cache_owner_of`; by the same configuration as the generation."""
    if cache_owner is not None:
        return Salt(f"v{version}t:{cache_owner}", version)
    return Salt(f"v{version}w{shared_generation}", version)


def cache_owner_of(tenant: Tenant | None, table: RouteTable) -> str | None:
    """The name of the tenant that alone may use what its request leaves, by this table; None: it is shared.

    A request without a tenant shares. One of a tenant that is no longer listed does not: the tenant may come
    back isolated.
    """
    if tenant is None or table.shares_cache(tenant.name):
        return None
    return tenant.name


class NamedVersions:
    """When each model's versions were named, as far as is known here. Times are steady seconds.

    What the first snapshot holds may have been named long ago: it counts as if it had been.
    """

    def __init__(self, versions: Callable[[], dict[str, int] | None], apply: float) -> None:
        self.versions, self.patience = versions, apply * NAMED_SHARE
        self.named: dict[str, list[tuple[int, float]]] = {}  # model -> (version, since), rising
        self.began = False

    def look(self, now: float) -> None:
        """Called when a configuration entry has come."""
        told = self.versions()
        if told is None:
            return
        for model, version in told.items():
            known = self.named.setdefault(model, [])
            if version > (known[-1][0] if known else 1):
                known.append((version, now if self.began else -math.inf))
                # All that is over by now counts alike: only the newest of it is needed.
                while len(known) > 1 and now - known[1][1] >= self.patience:
                    del known[0]
        self.began = True

    def usable(self, model: str, version: int, now: float) -> bool:
        """Whether an endpoint with this version may still run the model's requests."""
        for newer, since in self.named.get(model, ()):
            if newer > version:
                return now - since < self.patience
        return True
