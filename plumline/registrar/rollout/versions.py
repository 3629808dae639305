"""The desired and the known versions of each model's weights on the endpoints."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plumline.routing.fleet_state import ListedEndpoint


class VersionUpdate(NamedTuple):
    """A model and the version of its weights that an endpoint should have."""

    model: str
    version: int


class FleetVersions:
    """Desired versions from the configuration, listed ones from the platform and confirmed ones from reports.

    The platform lists a changed version some time after the endpoint reports it. Until then the reported one
    is stored here as confirmed.
    """

    def __init__(self, initial_age_s: float) -> None:
        """`initial_age_s`: the assumed age of the versions in the first update."""
        self.initial_age_s = initial_age_s
        self.desired: dict[str, int] = {}  # by model
        self.desired_at: dict[str, float] = {}  # steady s when this process first saw each model's version
        self.endpoints: dict[str, ListedEndpoint] = {}  # by id
        self.confirmed: dict[str, dict[str, int]] = {}  # by id and model; reported but not listed yet
        self._initialized = False

    def update_desired(self, desired: Mapping[str, int], now: float) -> None:
        """Updates the desired versions by model; ignores older ones. `now`: steady s."""
        # In the first update the age of a desired version is unknown: the update may be overdue.
        seen_at = now if self._initialized else now - self.initial_age_s
        self._initialized = True
        for model, version in desired.items():
            if version > self.desired.get(model, 0):
                self.desired[model] = version
                self.desired_at[model] = seen_at

    def update_endpoints(self, endpoints: Iterable[ListedEndpoint]) -> bool:
        """Replaces the list of endpoints. Ignores an empty one, as none has arrived yet: returns False."""
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
        """Records a version that the endpoint has reported."""
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
        """The first update that a listed endpoint needs, None if it has all desired versions."""
        confirmed = self.confirmed.get(endpoint_id, {})
        for model, listed in self.endpoints[endpoint_id].models.items():
            desired = self.desired.get(model, 0)
            if desired > max(listed, confirmed.get(model, 0)):
                return VersionUpdate(model, desired)
        return None

    def _unlisted(self, endpoint_id: str, confirmed: Mapping[str, int]) -> dict[str, int]:
        """The confirmed versions that the platform's list doesn't show yet; none if not listed."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return {}
        listed = endpoint.models
        return {model: version for model, version in confirmed.items() if version > listed.get(model, 0)}
