"""Generates random configurations and changes of every form that the operators' interface accepts. No I/O.

Names, hosts, prefixes and keys come from small pools, so that changes interact: names move to other items,
prefixes overlap, sections disappear and return. Results may be invalid; the registrar's check decides.
"""

import random
from collections.abc import Callable
from typing import Any

from plumline.configuration.document import SECTIONS, Document
from plumline.coordination.log import Change

HOSTS = ("one.example", "ONE.example", "two.example", "two.example:8080", "three.example")
PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/")
ROUTE_NAMES = tuple(f"route-{number}" for number in range(8))
SERVICE_NAMES = tuple(f"service-{number}" for number in range(4))
STORE_NAMES = ("store-0", "store-1")
TENANT_NAMES = tuple(f"tenant-{number}" for number in range(4))
API_KEYS = tuple(f"key-{number}" for number in range(6))
MAX_VERSION_STEP = 5
BULK_ROUTES = 300  # in a large document: more than fit in one chunk of the feed
BULK_PROBABILITY = 0.005
SECTION_PROBABILITY = 0.9  # that a Replace keeps a section, and that a new document has it
REPLACE_PROBABILITY = 0.5  # that a change is a Replace; otherwise it is an Amend
NEW_DOCUMENT_PROBABILITY = 0.1  # that a Replace keeps nothing of the document before it
KEEP_PROBABILITY = 0.8  # that a Replace keeps an item, and that a kept item is unchanged

Item = dict[str, Any]


class ChangeGenerator:
    """Generates changes, each based on the document that is passed in."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._items: dict[str, Callable[[], list[Item]]] = {
            "Routes": self._routes,
            "Services": self._services,
            "Tenants": self._tenants,
        }

    def change(self, current: Document | None) -> Change:
        """A change based on `current`, which is None if there is no configuration yet."""
        version = current["Version"] if current else 0
        new_version = version + self.rng.randint(1, MAX_VERSION_STEP)
        if current is None or self._with_probability(REPLACE_PROBABILITY):
            return ["replace", version, self._replacement(current, new_version)]
        return ["amend", version, self._amendment(current, new_version)]

    def _with_probability(self, probability: float) -> bool:
        return self.rng.random() < probability

    # Replaces.

    def _replacement(self, current: Document | None, version: int) -> Document:
        if current is None or self._with_probability(NEW_DOCUMENT_PROBABILITY):
            return self._new_document(version)
        new: Document = {"Version": version}
        for key, value in current.items():
            if key != "Version" and self._with_probability(SECTION_PROBABILITY):
                new[key] = self._edited_items(key, value) if key in SECTIONS else value
        for section in SECTIONS:
            if section not in new and self._with_probability(0.5):
                new[section] = self._items[section]()
        return new | self._other_keys()

    def _new_document(self, version: int) -> Document:
        new: Document = {"Version": version}
        for section in SECTIONS:
            if self._with_probability(SECTION_PROBABILITY):
                new[section] = self._items[section]()
        if self._with_probability(BULK_PROBABILITY):
            new.setdefault("Routes", []).extend(self._bulk_routes())
        return new | self._other_keys()

    def _edited_items(self, section: str, items: list[Item]) -> list[Item]:
        """The items with some removed, some changed and some added; occasionally in another order."""
        generated = {item["Name"]: item for item in self._items[section]()}
        edited = [
            item if self._with_probability(KEEP_PROBABILITY) else generated.pop(item["Name"], item)
            for item in items
            if self._with_probability(KEEP_PROBABILITY)
        ]
        names = {item["Name"] for item in edited}
        edited += [item for item in generated.values() if item["Name"] not in names]
        if self._with_probability(0.1):
            self.rng.shuffle(edited)
        return edited

    def _other_keys(self) -> Document:
        other_keys: Document = {}
        if self._with_probability(0.5):
            other_keys["Limits"] = self._limits()
        if self._with_probability(0.2):
            other_keys["Other"] = self.rng.choice([1, "text", None, [], [1], [{"Name": "x"}], {"inner": []}])
        return other_keys

    def _limits(self) -> Item:
        return self._random_subset(
            {
                "HeaderLimitBytes": self.rng.choice([4096, 16384, None]),
                "BodyLimitBytes": self.rng.choice([1024, 1 << 20, None]),
                "HeaderTimeoutMs": self.rng.choice([500, 2000.5, None]),
                "IdleTimeoutMs": self.rng.choice([5000, None]),
            }
        )

    # Amends.

    def _amendment(self, current: Document, version: int) -> Document:
        body: Document = {"Version": version}
        upserts: dict[str, list[Item]] = {}
        removals: dict[str, list[str]] = {}
        for section in SECTIONS:
            if self._with_probability(0.5):
                upserts[section] = self._sample_up_to_three(self._items[section]())
            if self._with_probability(0.3):
                present = [item["Name"] for item in current.get(section, [])]
                upserted = {item["Name"] for item in upserts.get(section, [])}
                removals[section] = [
                    name for name in self._sample_up_to_three(present) if name not in upserted
                ]
        if upserts or self._with_probability(0.5):
            body["Upserts"] = upserts
        if removals or self._with_probability(0.5):
            body["Removals"] = removals
        return body | self._other_keys()

    def _sample_up_to_three(self, items: list[Any]) -> list[Any]:
        return self.rng.sample(items, min(len(items), self.rng.randint(0, 3)))

    # Items.

    def _sample_names(self, names: tuple[str, ...]) -> list[str]:
        return self.rng.sample(names, self.rng.randint(0, len(names)))

    def _random_subset(self, optional: Item) -> Item:
        """A random subset of the fields."""
        return {key: value for key, value in optional.items() if self._with_probability(0.5)}

    def _routes(self) -> list[Item]:
        return [self._route(name) for name in self._sample_names(ROUTE_NAMES)]

    def _route(self, name: str) -> Item:
        rng = self.rng
        services = SERVICE_NAMES[:2] if self._with_probability(KEEP_PROBABILITY) else SERVICE_NAMES
        route: Item = {
            "Name": name,
            "Host": rng.choice(HOSTS),
            "PathPrefix": rng.choice(PREFIXES),
            "TimeoutMs": rng.choice([500, 4000, 4000.5]),
        }
        if self._with_probability(0.7):
            route["Service"] = rng.choice(services)
        if "Service" not in route or self._with_probability(0.2):
            named_services = rng.sample(services, rng.randint(1, len(services)))
            route["TrafficSplit"] = [
                {"Service": service, "Weight": rng.choice([0, 1, 2.5])} for service in named_services
            ]
        return route | self._random_subset(
            {
                "Kind": rng.choice(["idempotent", "non_idempotent", "streaming", "later"]),
                "TargetLatencyMs": rng.choice([0, 300, 1000.5, None]),
                "Priority": rng.choice([0, 3, None]),
                "AttemptLimit": rng.choice([1, 3, None]),
                "PublicAccess": rng.choice([True, False, None]),
                "StickySessions": rng.choice([True, False, None]),
                "Resumable": rng.choice([True, False, None]),
                "gap_aim_ms": rng.choice([64, 120.5, None]),
                "Unknown": rng.choice([1, "x", []]),
            }
        )

    def _bulk_routes(self) -> list[Item]:
        service = self.rng.choice(SERVICE_NAMES[:2])
        return [
            {
                "Name": f"bulk-{number}",
                "Host": f"bulk-{number % 7}.example",
                "PathPrefix": f"/bulk/{number}/",
                "TimeoutMs": 1000,
                "Service": service,
            }
            for number in range(BULK_ROUTES)
        ]

    def _services(self) -> list[Item]:
        rng = self.rng
        names = (
            [*SERVICE_NAMES[:2], *self._sample_names(SERVICE_NAMES[2:])]
            if self._with_probability(KEEP_PROBABILITY)
            else []
        )
        services = [self._service(name) for name in names]
        for name in self._sample_names(STORE_NAMES):
            address = f"127.0.0.1:{rng.randint(8000, 8009)}"
            services.append({"Name": name, "CacheStoreAddress": address, "Zone": rng.choice(["z1", "z2"])})
        rng.shuffle(services)
        return services

    def _service(self, name: str) -> Item:
        rng = self.rng
        engine = self._random_subset(
            {
                "CapacitySlots": rng.choice([1, 24, None]),
                "CacheTokenCapacity": rng.choice([0, 149_454, None]),
                "LinkSpeedMbps": rng.choice([0, 1000.5, None]),
                "Models": rng.choice([[{"Name": "model"}], [], None]),
            }
        )
        return {"Name": name} | self._random_subset(
            {
                "HealthPath": rng.choice(["/health", "/well"]),
                "ConnectionLimit": rng.choice([1, 90, None]),
                "Engine": rng.choice([engine, None]),
            }
        )

    def _tenants(self) -> list[Item]:
        return [self._tenant(name) for name in self._sample_names(TENANT_NAMES)]

    def _tenant(self, name: str) -> Item:
        rng = self.rng
        keys = rng.sample(API_KEYS, rng.randint(0, 2))
        return {"Name": name} | self._random_subset(
            {
                "ApiKeys": rng.choice([keys, keys, keys, None]),
                "Priority": rng.choice([0, 4, None]),
                "Isolated": rng.choice([True, False, None]),
                "ReservedShare": rng.choice([0, 0.25, None]),
            }
        )
