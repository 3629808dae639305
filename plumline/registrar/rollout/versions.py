"""Which version of each model's weights the endpoints should have, and which they are known to have."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plumline.routing.fleet_state import ListedEndpoint


class VersionUpdate(NamedTuple):
    """A model and the version of its weights that an endpoint is to be brought to."""

    model: str
    version: int


class FleetVersions:
    """Desired versions from the configuration, listed ones from the platform and confirmed ones from reports.

    The platform lists a changed version only some time after the endpoint reports it; until then the reported
    one is kept here as confirmed.
    """

    def __init__(self, initial_age_s: float) -> None:
        """`initial_age_s`: the assumed age of the versions that are found at the first look."""
        self.initial_age_s = initial_age_s
        self.desired: dict[str, int] = {}  # by model
        self.desired_at: dict[str, float] = {}  # steady s at which each model's version was first seen here
        self.endpoints: dict[str, ListedEndpoint] = {}  # by id
        self.confirmed: dict[str, dict[str, int]] = {}  # by id and model; reported, not listed yet
        self._initialized = False

    def update_desired(self, desired: Mapping[str, int], now: float) -> None:
        """Takes the desired versions by model; an older one than known is ignored. `now`: steady s."""
        # At a process's first look it is unknown how long a version has been desired: it may be overdue.
        seen_at = now if self._initialized else now - self.initial_age_s
        self._initialized = True
        for model, version in desired.items():
            if version > self.desired.get(model, 0):
                self.desired[model] = version
                self.desired_at[model] = seen_at

    def update_endpoints(self, endpoints: Iterable[ListedEndpoint]) -> bool:
        """Takes the newest list. Returns False for an empty one, which is no list yet and changes nothing."""
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        if not listed:
            return False
        self.endpoints = listed
        for endpoint_id, confirmed in list(self.confirmed.items()):
            unlisted = self._unlisted(endpoint_id, confirmed)
            if unlisted:
                self.confirmed[endpoint_id] = unlisted
            else:
                del self.confirmed[endpoint_id]
        return True

    def confirm(self, endpoint_id: str, model: str, version: int) -> None:
        """Takes a version that the endpoint has reported."""
        endpoint = self.endpoints.get(endpoint_id)
        listed = endpoint.models.get(model, 0) if endpoint is not None else 0
        if version <= listed:
            return
        models = self.confirmed.setdefault(endpoint_id, {})
        models[model] = max(version, models.get(model, 0))

    def is_serving(self, endpoint_id: str) -> bool:
        """Whether the endpoint is listed and isn't draining."""
        endpoint = self.endpoints.get(endpoint_id)
        return endpoint is not None and not endpoint.draining

    def pending_update(self, endpoint_id: str) -> VersionUpdate | None:
        """The first update that a listed endpoint still needs, None if it has all desired versions."""
        confirmed = self.confirmed.get(endpoint_id, {})
        for model, listed in self.endpoints[endpoint_id].models.items():
            desired = self.desired.get(model, 0)
            if desired > max(listed, confirmed.get(model, 0)):
                return VersionUpdate(model, desired)
        return None

    def _unlisted(self, endpoint_id: str, confirmed: Mapping[str, int]) -> dict[str, int]:
        """The confirmed versions that a listed endpoint's entry doesn't show yet."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return {}
        listed = endpoint.models
        return {model: version for model, version in confirmed.items() if version > listed.get(model, 0)}
