"""Cache salts: the text under which an endpoint caches a prompt's parts, with its weights' version.

The properties STALE and WALL hold by construction. The salt names the version and, if the tenant has a cache
of its own, the tenant, else the generation of the shared prefix cache. It leaves this module only together
with the same version for `Expect-Version`.

The generation in force and the tenants that share it are taken from the same configuration: a generation
begins without the tenants that are isolated then, even if an older configuration let them share.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from plumline.configuration.entities import Tenant
from plumline.configuration.route_table import RouteTable

OLDER_VERSION_SHARE = 0.6  # of VersionApplyMs, during which endpoints of an older version may still be used


@dataclass(frozen=True, slots=True)
class Salt:
    """A text for `Cache-Salt` and the version of the weights that it is for."""

    text: str
    version: int


def salt_for(version: int, shared_generation: int, cache_owner: str | None) -> Salt:
    """The salt for a version. `cache_owner`: from `cache_owner_of`, by the generation's configuration."""
    if cache_owner is not None:
        return Salt(f"v{version}t:{cache_owner}", version)
    return Salt(f"v{version}w{shared_generation}", version)


def cache_owner_of(tenant: Tenant | None, table: RouteTable) -> str | None:
    """The tenant that alone may use what its request leaves in a cache, by this table; None if it is shared.

    A request without a tenant uses the shared cache. A request of a tenant that is no longer listed does not,
    since the tenant may return as an isolated one.
    """
    if tenant is None or table.shares_cache(tenant.name):
        return None
    return tenant.name


class AcknowledgedVersions:
    """When the versions of each model were acknowledged to the operator, as seen by this router.

    The versions in the first snapshot may be long acknowledged: they count as acknowledged long ago.
    Times are steady seconds.
    """

    def __init__(self, versions: Callable[[], dict[str, int] | None], version_apply_s: float) -> None:
        """`versions()`: the newest acknowledged version by model; None while no configuration is known."""
        self.versions, self.grace_s = versions, version_apply_s * OLDER_VERSION_SHARE
        #: Model -> (version, since), ascending.
        self.acknowledged_since: dict[str, list[tuple[int, float]]] = {}
        self.initialized = False

    def update(self, now: float) -> None:
        """Records the versions that are new in the current configuration."""
        current = self.versions()
        if current is None:
            return
        for model, version in current.items():
            known = self.acknowledged_since.setdefault(model, [])
            if version > (known[-1][0] if known else 1):
                known.append((version, now if self.initialized else -math.inf))
                # Of the versions whose grace time is over, only the newest is needed.
                while len(known) > 1 and now - known[1][1] >= self.grace_s:
                    del known[0]
        self.initialized = True

    def is_usable(self, model: str, version: int, now: float) -> bool:
        """Whether an endpoint with this version of the weights may still get requests for the model."""
        for newer, since in self.acknowledged_since.get(model, ()):
            if newer > version:
                return now - since < self.grace_s
        return True
