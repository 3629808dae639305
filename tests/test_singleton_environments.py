"""What the singleton roles publish, as plain values on the wire, and when they may publish it."""

from dataclasses import dataclass, field
from typing import Any

import pytest

from plumline.counters import Counters
from plumline.registrar.cache_store_events import BlockChange, StoreEvents
from plumline.registrar.singleton_environments import (
    MAX_EVENTS_PER_MESSAGE,
    RegistrarCacheStoreEnvironment,
    RegistrarDiscoveryEnvironment,
    RegistrarRolloutEnvironment,
    rollout_states_from_wire,
)
from plumline.routing.fleet_state import ListedEndpoint, RolloutState, StoreStatus

ENDPOINT = ListedEndpoint("i-1", "s", "10.0.0.1:80", "z", 4, False, 7.0, {"m": 2})
ENDPOINT_ON_WIRE = {
    "id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "draining": False,
    "cold_ms": 7.0, "models": {"m": 2},
}  # fmt: skip
STORE = ("10.0.0.9", 80)


@dataclass
class Configuration:
    model_versions: dict[str, int] = field(default_factory=dict)
    configuration: Any = None


class FakeRegistrar:
    """A fake of lease, soft state and links that records what is published and sent."""

    def __init__(self) -> None:
        self.token: int | None = 5
        self.values: dict[str, Any] = {}
        self.published: list[tuple[str, int | None, Any]] = []
        self.to_routers: list[list[Any]] = []
        self.to_registrars: list[list[Any]] = []
        self.lists_published = 0
        self.configuration = Configuration({"m": 3})
        self.counters = Counters()

    @property
    def soft_state(self) -> "FakeRegistrar":
        return self

    def get(self, topic: str) -> Any:  # noqa: ANN401
        return self.values.get(topic)

    def publish(self, topic: str, term: int, value: Any) -> None:  # noqa: ANN401
        self.published.append((topic, term, value))

    def publish_without_lease(self, topic: str, value: Any) -> None:  # noqa: ANN401
        self.published.append((topic, None, value))

    def forward_prompt_events(self, message: list[Any]) -> None:
        self.to_routers.append(message)

    def send_all(self, message: list[Any]) -> None:
        self.to_registrars.append(message)

    def count_list(self) -> None:
        self.lists_published += 1

    def discovery(self) -> RegistrarDiscoveryEnvironment:
        return RegistrarDiscoveryEnvironment(lambda: self.token, self, self.count_list)  # type: ignore[arg-type]

    def cache_stores(self) -> RegistrarCacheStoreEnvironment:
        return RegistrarCacheStoreEnvironment(
            lambda: self.token,
            lambda: self.configuration,  # type: ignore[arg-type,return-value]
            self,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            self.counters,
        )

    def rollout(self) -> RegistrarRolloutEnvironment:
        return RegistrarRolloutEnvironment(
            lambda: self.token,
            lambda: self.configuration,  # type: ignore[arg-type,return-value]
            self,  # type: ignore[arg-type]
        )


def test_the_lease_holder_publishes_the_list_under_its_token() -> None:
    registrar = FakeRegistrar()
    assert registrar.discovery().may_read()
    registrar.discovery().publish([ENDPOINT])
    assert registrar.published == [("roster", 5, [ENDPOINT_ON_WIRE])]
    assert registrar.lists_published == 1


def test_without_the_lease_a_list_is_read_and_published_only_where_none_is_known() -> None:
    registrar = FakeRegistrar()
    registrar.token = None
    assert registrar.discovery().may_read()
    registrar.discovery().publish([])
    assert registrar.published == []
    registrar.discovery().publish([ENDPOINT])
    assert registrar.published == [("roster", None, [ENDPOINT_ON_WIRE])]
    registrar.values["roster"] = []
    assert not registrar.discovery().may_read()
    registrar.discovery().publish([ENDPOINT])
    assert len(registrar.published) == 1
    assert registrar.lists_published == 3


def test_store_statuses_are_published_under_the_lease_only() -> None:
    registrar = FakeRegistrar()
    registrar.cache_stores().publish({"a": StoreStatus(up=True, epoch=7)})
    assert registrar.published == [("stores", 5, {"a": {"up": True, "epoch": 7}})]
    registrar.token = None
    registrar.cache_stores().publish({})
    assert len(registrar.published) == 1
    assert not registrar.cache_stores().holds_lease()


def test_the_addresses_of_the_stores_follow_the_configuration() -> None:
    registrar = FakeRegistrar()
    environment = registrar.cache_stores()
    assert environment.addresses() == {}
    store = {"Name": "a", "CacheStoreAddress": "10.0.0.9:80", "Zone": "z", "LinkSpeedMbps": 1000.0}
    registrar.configuration.configuration = {"Version": 1, "Services": [{"Name": "s"}, store]}
    assert environment.addresses() == {"a": STORE}
    assert environment.addresses() is environment.addresses()


def test_evictions_and_long_prefixes_go_to_all_routers() -> None:
    registrar = FakeRegistrar()
    changes = [
        BlockChange("+", "s", "p1", 512),
        BlockChange("+", "s", "p2", 511),
        BlockChange("-", "s", "p3", 0),
    ]
    registrar.cache_stores().publish_events(STORE, StoreEvents(epoch=7, lost=True, changes=changes))
    sent = ["news", "10.0.0.9:80", [["stored", 7, [["+", "s", "p1", 512], ["-", "s", "p3", 0]]]]]
    assert registrar.to_routers == registrar.to_registrars == [sent]
    assert registrar.counters.get("stores.events-lost") == 1


def test_many_events_go_in_several_messages_and_an_epoch_without_events_in_one() -> None:
    registrar = FakeRegistrar()
    changes = [BlockChange("-", "s", str(number), 0) for number in range(MAX_EVENTS_PER_MESSAGE + 1)]
    registrar.cache_stores().publish_events(STORE, StoreEvents(7, False, changes))
    assert [len(message[2][0][2]) for message in registrar.to_routers] == [MAX_EVENTS_PER_MESSAGE, 1]
    registrar.cache_stores().publish_events(STORE, StoreEvents(8, False, []))
    assert registrar.to_routers[-1] == ["news", "10.0.0.9:80", [["stored", 8, []]]]


def test_rollout_states_are_published_under_the_lease_only() -> None:
    registrar = FakeRegistrar()
    registrar.rollout().publish({"i-1": RolloutState(updating=True, models={"m": 2})})
    assert registrar.published == [("marks", 5, {"i-1": {"moving": True, "models": {"m": 2}}})]
    registrar.token = None
    registrar.rollout().publish({})
    assert len(registrar.published) == 1
    assert registrar.rollout().fencing_token() is None


def test_the_rollout_reads_the_newest_list_and_the_committed_versions() -> None:
    registrar = FakeRegistrar()
    environment = registrar.rollout()
    assert list(environment.endpoints()) == []
    registrar.values["roster"] = [ENDPOINT_ON_WIRE]
    assert list(environment.endpoints()) == [ENDPOINT]
    assert environment.endpoints() is environment.endpoints()
    registrar.values["roster"] = [ENDPOINT_ON_WIRE | {"id": "i-2"}]
    assert [endpoint.id for endpoint in environment.endpoints()] == ["i-2"]
    assert environment.desired_versions() == {"m": 3}


def test_rollout_states_are_read_as_they_are_published() -> None:
    value = {"i-1": {"moving": True, "models": {"m": 2}}, "i-2": {}}
    states = rollout_states_from_wire(value)
    assert states == {"i-1": RolloutState(True, {"m": 2}), "i-2": RolloutState(False, {})}
    assert states["i-1"].to_wire() == value["i-1"]


@pytest.mark.parametrize("value", [None, [], 3, {"i-1": None}, {"i-1": [True]}])
def test_another_value_is_no_rollout(value: object) -> None:
    with pytest.raises(ValueError, match="no states"):
        rollout_states_from_wire(value)
