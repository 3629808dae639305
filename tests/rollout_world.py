"""Helpers of the roll-out tests: a listed endpoint, and the wire form of published states."""

from typing import Any

from plumline.registrar.rollout.plan import RolloutStates
from plumline.routing.fleet_state import ListedEndpoint, RolloutState


def endpoint(id_: str, version: int = 1, zone: str = "z1", **more: Any) -> ListedEndpoint:  # noqa: ANN401
    return ListedEndpoint(
        id=id_, service="s", address="10.0.0.1:80", zone=zone, slots=4, draining=False,
        cold_ms=0.0, models={"m": version},
    )._replace(**more)  # fmt: skip


def to_wire(states: RolloutStates) -> dict[str, Any]:
    return {endpoint_id: state.to_wire() for endpoint_id, state in states.items()}


def from_wire(states: dict[str, Any]) -> RolloutStates:
    return {endpoint_id: RolloutState.from_wire(state) for endpoint_id, state in states.items()}
