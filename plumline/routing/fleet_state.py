"""State of the fleet that registrars publish to routers: a type for each kind, with its codec.

The four kinds travel complete, in plain lists and dicts, as soft state (plumline.coordination.soft_state):

- `roster`: a list of `ListedEndpoint`, what the platform's API lists
- `marks`: `RolloutState` by endpoint id, newer state of the weights, from the holder of the `weights` lease
- `stores`: `StoreStatus` by the store's name
- `grants`: `RolloutGrant` by service, from the controller of its roll-out; valid for GRANT_DURATION_S
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from plumline.configuration.service_rollouts import RolloutStage

GRANT_DURATION_S = 2.0  # s from its arrival at a router; four refreshes by the controller


class ListedEndpoint(NamedTuple):
    """One incarnation of an endpoint as the platform lists it."""

    id: str  # the platform's `Identifier`, a new one after each restart
    service: str
    address: str  # "host:port", as listed
    zone: str
    slots: int  # concurrent requests
    draining: bool
    cold_ms: float  # remaining warm-up time when the list was read
    models: dict[str, int]  # version of the weights by model
    version: str = ""  # of its software; empty where the platform lists none

    def to_wire(self) -> dict[str, Any]:
        """The endpoint as an item of `roster`."""
        item = {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.slots,
            "draining": self.draining,
            "cold_ms": self.cold_ms,
            "models": self.models,
        }
        if self.version:
            item["version"] = self.version
        return item

    @classmethod
    def from_wire(cls, item: Mapping[str, Any]) -> "ListedEndpoint":
        """The endpoint of an item of `roster`. Raises KeyError if a field is missing."""
        return cls(
            item["id"],
            item["service"],
            item["address"],
            item["zone"],
            item["slots"],
            item["draining"],
            item["cold_ms"],
            item["models"],
            item.get("version", ""),
        )


class DrainableEndpoint(Protocol):
    """An endpoint in any of its representations."""

    @property
    def draining(self) -> bool:
        """Whether the platform lists it as draining."""


class Departures(NamedTuple):
    """The endpoints that one list shows as leaving and an earlier one does not; ids in order."""

    draining: tuple[str, ...]
    gone: tuple[str, ...]  # no longer listed

    @classmethod
    def between(
        cls, earlier: Mapping[str, DrainableEndpoint], later: Mapping[str, DrainableEndpoint]
    ) -> "Departures":
        """Compares two lists of endpoints by id."""
        draining = [
            key
            for key, endpoint in later.items()
            if endpoint.draining and not (key in earlier and earlier[key].draining)
        ]
        gone = [key for key in earlier if key not in later]
        return cls(tuple(sorted(draining)), tuple(sorted(gone)))

    def log_fields(self) -> dict[str, str]:
        """The fields of a log event: ids separated by commas, "-" for none."""
        return {name: ",".join(ids) or "-" for name, ids in self._asdict().items()}


class RolloutState(NamedTuple):
    """An endpoint's state in a roll-out of versions, beyond what the platform lists."""

    #: An order to change the version is in flight or about to be sent: a new request would be rejected with
    #: `Not-Executed`.
    updating: bool
    models: Mapping[str, int]  # versions that the endpoint has reported and the platform doesn't list yet

    def to_wire(self) -> dict[str, Any]:
        """The state as a value of `marks`."""
        return {"moving": self.updating, "models": dict(self.models)}

    @classmethod
    def from_wire(cls, value: Mapping[str, Any]) -> "RolloutState":
        """The state of a value of `marks`; a missing field has its default."""
        return cls(bool(value.get("moving", False)), value.get("models", {}))


class StoreStatus(NamedTuple):
    """What the holder of the `discovery` lease knows of a cache store."""

    up: bool
    epoch: int  # a new one once the store has restarted empty; 0 if it isn't known

    def to_wire(self) -> dict[str, Any]:
        """The status as a value of `stores`."""
        return {"up": self.up, "epoch": self.epoch}

    @classmethod
    def from_wire(cls, value: Mapping[str, Any]) -> "StoreStatus":
        """The status of a value of `stores`. Raises KeyError if a field is missing."""
        return cls(value["up"], value["epoch"])


class RolloutGrant(NamedTuple):
    """The requests that routers may send to the target version of a roll-out in progress."""

    target: str
    stage: RolloutStage
    share: float  # of the service's requests, 0 to 1
    endpoints: tuple[str, ...] | None  # ids of the usable ones; None: all of the target version

    def to_wire(self) -> list[Any]:
        """The grant as a value of `grants`."""
        endpoints = None if self.endpoints is None else list(self.endpoints)
        return [self.target, self.stage.value, self.share, endpoints]

    @classmethod
    def from_wire(cls, value: list[Any]) -> "RolloutGrant":
        """The grant of a value of `grants`. Raises ValueError, TypeError."""
        target, stage, share, endpoints = value
        chosen = None if endpoints is None else tuple(endpoints)
        return cls(str(target), RolloutStage(stage), float(share), chosen)
