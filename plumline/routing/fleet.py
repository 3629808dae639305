"""What a router knows of the fleet: pure data, kept by the feed's follower, read by the decisions.

Endpoints and stores come from soft topics that travel as plain lists and dicts:

- `roster`: what the platform's list says, one dict an endpoint:
  {"id", "service", "address" ("ip:port"), "zone", "slots", "draining" (bool), "cold_ms", "models" ({name:
  version})}
- `stores`: the cache stores, by name: {"up": bool, "epoch": int}
- `marks`: what the holder of the `weights` lease knows better than the list, by endpoint id:
  {"moving": bool, "models": {name: version}}; `moving`: an order is under way or about to be sent, so a new
  request would be turned away with `Not-Executed`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]


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
    moving: bool = False


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """What the core tells of a store. `epoch`: changes when it has begun anew, with nothing."""

    up: bool
    epoch: int


def address_of(text: str) -> Address:
    """The address that "ip:port" is. Raises ValueError for another text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def endpoints_from(
    roster: Iterable[Mapping[str, Any]], marks: Mapping[str, Mapping[str, Any]]
) -> dict[str, Endpoint]:
    """The endpoints by id. A mark never takes a version back that the list already shows."""
    found: dict[str, Endpoint] = {}
    for each in roster:
        mark = marks.get(each["id"], {})
        models = dict(each["models"])
        for model, version in mark.get("models", {}).items():
            models[model] = max(version, models.get(model, 0))
        found[each["id"]] = Endpoint(
            id=each["id"],
            service=each["service"],
            address=address_of(each["address"]),
            zone=each["zone"],
            slots=each["slots"],
            draining=each["draining"],
            cold_ms=each["cold_ms"],
            models=models,
            moving=bool(mark.get("moving", False)),
        )
    return found


class Fleet:
    """The newest of everything that the feed has told. `state` is a ReplicatedConfiguration, `table` the
    RouteTable made from it; both None until the first snapshot has come."""

    def __init__(self) -> None:
        self.place = 0  # number of the newest chain entry applied
        self.state: Any = None
        self.table: Any = None
        self.roster: list[dict[str, Any]] = []
        self.marks: dict[str, dict[str, Any]] = {}
        self.stores: dict[str, StoreStatus] = {}  # by name
        self.endpoints: dict[str, Endpoint] = {}
        self.routers = 1  # alive in the fleet, this one included
        self.fresh_at = -1e9  # steady s at which `fresh` last held
        self.fresh = False  # a source that is itself in touch with the core's majority feeds us now
        #: Told "configuration", "endpoints", "stores" or "members".
        self.watchers: list[Callable[[str], None]] = []

    def named_version(self, model: str) -> int:
        """The newest version of the model's weights that was acknowledged to the operator; 1 if none was."""
        return self.state.weight_versions.get(model, 1) if self.state else 1

    def tell(self, topic: str) -> None:
        """Tells the watchers that this has changed."""
        for each in self.watchers:
            each(topic)

    def take_roster(self, roster: list[dict[str, Any]]) -> None:
        """The platform's list has come, as the module says."""
        self.roster = roster
        self.endpoints = endpoints_from(self.roster, self.marks)
        self.tell("endpoints")

    def take_stores(self, stores: Mapping[str, Mapping[str, Any]]) -> None:
        """What is known of the stores has come, as the module says. Raises KeyError for what is not so."""
        self.stores = {name: StoreStatus(each["up"], each["epoch"]) for name, each in stores.items()}
        self.tell("stores")

    def take_marks(self, marks: dict[str, dict[str, Any]]) -> None:
        """The marks have come, as the module says."""
        self.marks = marks
        self.endpoints = endpoints_from(self.roster, self.marks)
        self.tell("endpoints")
