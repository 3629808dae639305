"""A router's view of the fleet: plain data, written by the feed's subscriber and read by routing decisions.

Endpoints and stores come from soft state, whose wire form plumline.routing.fleet_state describes.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from plumline.routing.configuration_age import ConfigurationAge
from plumline.routing.fleet_state import ListedEndpoint, RolloutGrant, RolloutState, StoreStatus

Address = tuple[str, int]

NO_ROLLOUT = RolloutState(updating=False, models={})  # of an endpoint without a published state


@dataclass(slots=True)
class Endpoint:
    """One incarnation of an endpoint, known by its `Identifier` (`id`)."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int = 1
    draining: bool = False
    cold_ms: float = 0.0
    models: dict[str, int] = field(default_factory=dict)  # model -> version of its weights
    updating: bool = False
    version: str = ""  # of its software


def address_of(text: str) -> Address:
    """The address that "ip:port" is. Raises ValueError for another text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def endpoints_from(
    roster: Iterable[Mapping[str, Any]], marks: Mapping[str, Mapping[str, Any]]
) -> dict[str, Endpoint]:
    """The endpoints by id. A mark never lowers a version that the list already shows."""
    found: dict[str, Endpoint] = {}
    for each in roster:
        listed = ListedEndpoint.from_wire(each)
        state = RolloutState.from_wire(marks[listed.id]) if listed.id in marks else NO_ROLLOUT
        models = dict(listed.models)
        for model, version in state.models.items():
            models[model] = max(version, models.get(model, 0))
        found[listed.id] = Endpoint(
            id=listed.id,
            service=listed.service,
            address=address_of(listed.address),
            zone=listed.zone,
            slots=listed.slots,
            draining=listed.draining,
            cold_ms=listed.cold_ms,
            models=models,
            updating=state.updating,
            version=listed.version,
        )
    return found


class Fleet:
    """The newest state received from the feed.

    `state` is a ReplicatedConfiguration, `table` the RouteTable made from it; both are None until the first
    snapshot has come.
    """

    def __init__(self) -> None:
        self.applied_index = 0  # number of the newest chain entry applied
        self.state: Any = None
        self.table: Any = None
        self.roster: list[dict[str, Any]] = []
        self.marks: dict[str, dict[str, Any]] = {}
        self.stores: dict[str, StoreStatus] = {}  # by name
        self.grants: dict[str, RolloutGrant] = {}  # by service
        self.endpoints: dict[str, Endpoint] = {}
        self.routers = 1  # alive in the fleet, this one included
        self.configuration_age = ConfigurationAge()
        self.fresh = False  # the feed's source is currently in contact with the core's majority
        #: Called with "configuration", "endpoints", "stores", "grants", "members" or, once, "confirmed".
        self.watchers: list[Callable[[str], None]] = []

    def acknowledged_version(self, model: str) -> int:
        """The newest version of the model's weights that was acknowledged to the operator; 1 if none was."""
        return self.state.model_versions.get(model, 1) if self.state else 1

    def notify(self, topic: str) -> None:
        """Notifies the watchers that this topic has changed."""
        for each in self.watchers:
            each(topic)

    def set_roster(self, roster: list[dict[str, Any]]) -> None:
        """Replaces the platform's list of endpoints (see plumline.routing.fleet_state)."""
        self.roster = roster
        self.endpoints = endpoints_from(self.roster, self.marks)
        self.notify("endpoints")

    def set_stores(self, stores: Mapping[str, Mapping[str, Any]]) -> None:
        """Replaces the status of the stores (see plumline.routing.fleet_state). Raises KeyError."""
        self.stores = {name: StoreStatus.from_wire(each) for name, each in stores.items()}
        self.notify("stores")

    def set_grants(self, grants: Mapping[str, list[Any]]) -> None:
        """Replaces the grants of the roll-outs in progress. Raises ValueError, TypeError."""
        self.grants = {service: RolloutGrant.from_wire(each) for service, each in grants.items()}
        self.notify("grants")

    def set_marks(self, marks: dict[str, dict[str, Any]]) -> None:
        """Replaces the marks (see plumline.routing.fleet_state)."""
        self.marks = marks
        self.endpoints = endpoints_from(self.roster, self.marks)
        self.notify("endpoints")
