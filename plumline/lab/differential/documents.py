"""Random configurations and changes, of every shape that the operators' interface takes. No I/O.

Names, hosts, prefixes and keys come from small pools, so that changes meet: names move to other items,
prefixes overlap, sections go and come back. What is made need not be valid: the registrar's check decides.
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
BULK_ROUTES = 300  # of a large document: more than a chunk of the feed's frames
BULK_CHANCE = 0.005
SECTION_CHANCE = 0.9  # that a new document has a section
REPLACE_CHANCE = 0.5  # of all changes; the others are Amends
NEW_DOCUMENT_CHANCE = 0.1  # of a Replace: nothing is taken over from the document before
KEEP_CHANCE = 0.8  # that a Replace takes over an item as it was

Item = dict[str, Any]


class ChangeGenerator:
    """Makes one change after the other, each on top of the document that is given with it."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self._items: dict[str, Callable[[], list[Item]]] = {
            "Routes": self._routes,
            "Services": self._services,
            "Tenants": self._tenants,
        }

    def change(self, current: Document | None) -> Change:
        """A change on top of `current`; None: there is no configuration yet."""
        version = current["Version"] if current else 0
        new_version = version + self.chance.randint(1, MAX_VERSION_STEP)
        if current is None or self._happens(REPLACE_CHANCE):
            return ["replace", version, self._replacement(current, new_version)]
        return ["amend", version, self._amendment(current, new_version)]

    def _happens(self, share: float) -> bool:
        return self.chance.random() < share

    # Whole documents.

    def _replacement(self, current: Document | None, version: int) -> Document:
        if current is None or self._happens(NEW_DOCUMENT_CHANCE):
            return self._new_document(version)
        new: Document = {"Version": version}
        for key, value in current.items():
            if key != "Version" and self._happens(SECTION_CHANCE):
                new[key] = self._edited(key, value) if key in SECTIONS else value
        for section in SECTIONS:
            if section not in new and self._happens(0.5):
                new[section] = self._items[section]()
        return new | self._other_keys()

    def _new_document(self, version: int) -> Document:
        new: Document = {"Version": version}
        for section in SECTIONS:
            if self._happens(SECTION_CHANCE):
                new[section] = self._items[section]()
        if self._happens(BULK_CHANCE):
            new.setdefault("Routes", []).extend(self._bulk_routes())
        return new | self._other_keys()

    def _edited(self, section: str, items: list[Item]) -> list[Item]:
        """The items with some left out, some changed, some new, and now and then in another order."""
        fresh = {item["Name"]: item for item in self._items[section]()}
        edited = [
            item if self._happens(KEEP_CHANCE) else fresh.pop(item["Name"], item)
            for item in items
            if self._happens(KEEP_CHANCE)
        ]
        names = {item["Name"] for item in edited}
        edited += [item for item in fresh.values() if item["Name"] not in names]
        if self._happens(0.1):
            self.chance.shuffle(edited)
        return edited

    def _other_keys(self) -> Document:
        found: Document = {}
        if self._happens(0.5):
            found["Limits"] = self._limits()
        if self._happens(0.2):
            found["Other"] = self.chance.choice([1, "text", None, [], [1], [{"Name": "x"}], {"inner": []}])
        return found

    def _limits(self) -> Item:
        return self._some(
            {
                "HeaderLimitBytes": self.chance.choice([4096, 16384, None]),
                "BodyLimitBytes": self.chance.choice([1024, 1 << 20, None]),
                "HeaderTimeoutMs": self.chance.choice([500, 2000.5, None]),
                "IdleTimeoutMs": self.chance.choice([5000, None]),
            }
        )

    # Amends.

    def _amendment(self, current: Document, version: int) -> Document:
        body: Document = {"Version": version}
        upserts: dict[str, list[Item]] = {}
        removals: dict[str, list[str]] = {}
        for section in SECTIONS:
            if self._happens(0.5):
                upserts[section] = self._few(self._items[section]())
            if self._happens(0.3):
                present = [item["Name"] for item in current.get(section, [])]
                upserted = {item["Name"] for item in upserts.get(section, [])}
                removals[section] = [name for name in self._few(present) if name not in upserted]
        if upserts or self._happens(0.5):
            body["Upserts"] = upserts
        if removals or self._happens(0.5):
            body["Removals"] = removals
        return body | self._other_keys()

    def _few(self, items: list[Any]) -> list[Any]:
        return self.chance.sample(items, min(len(items), self.chance.randint(0, 3)))

    # Items.

    def _names(self, names: tuple[str, ...]) -> list[str]:
        return self.chance.sample(names, self.chance.randint(0, len(names)))

    def _some(self, optional: Item) -> Item:
        """Each field or not."""
        return {key: value for key, value in optional.items() if self._happens(0.5)}

    def _routes(self) -> list[Item]:
        return [self._route(name) for name in self._names(ROUTE_NAMES)]

    def _route(self, name: str) -> Item:
        chance = self.chance
        services = SERVICE_NAMES[:2] if self._happens(KEEP_CHANCE) else SERVICE_NAMES
        route: Item = {
            "Name": name,
            "Host": chance.choice(HOSTS),
            "PathPrefix": chance.choice(PREFIXES),
            "TimeoutMs": chance.choice([500, 4000, 4000.5]),
        }
        if self._happens(0.7):
            route["Service"] = chance.choice(services)
        if "Service" not in route or self._happens(0.2):
            named = chance.sample(services, chance.randint(1, len(services)))
            route["TrafficSplit"] = [
                {"Service": each, "Weight": chance.choice([0, 1, 2.5])} for each in named
            ]
        return route | self._some(
            {
                "Kind": chance.choice(["idempotent", "non_idempotent", "streaming", "later"]),
                "TargetLatencyMs": chance.choice([0, 300, 1000.5, None]),
                "Priority": chance.choice([0, 3, None]),
                "AttemptLimit": chance.choice([1, 3, None]),
                "PublicAccess": chance.choice([True, False, None]),
                "StickySessions": chance.choice([True, False, None]),
                "Resumable": chance.choice([True, False, None]),
                "gap_aim_ms": chance.choice([64, 120.5, None]),
                "Unknown": chance.choice([1, "x", []]),
            }
        )

    def _bulk_routes(self) -> list[Item]:
        service = self.chance.choice(SERVICE_NAMES[:2])
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
        chance = self.chance
        names = [*SERVICE_NAMES[:2], *self._names(SERVICE_NAMES[2:])] if self._happens(KEEP_CHANCE) else []
        found = [self._service(name) for name in names]
        for name in self._names(STORE_NAMES):
            address = f"127.0.0.1:{chance.randint(8000, 8009)}"
            found.append({"Name": name, "CacheStoreAddress": address, "Zone": chance.choice(["z1", "z2"])})
        chance.shuffle(found)
        return found

    def _service(self, name: str) -> Item:
        chance = self.chance
        engine = self._some(
            {
                "CapacitySlots": chance.choice([1, 24, None]),
                "CacheTokenCapacity": chance.choice([0, 149_454, None]),
                "LinkSpeedMbps": chance.choice([0, 1000.5, None]),
                "Models": chance.choice([[{"Name": "model"}], [], None]),
            }
        )
        return {"Name": name} | self._some(
            {
                "HealthPath": chance.choice(["/health", "/well"]),
                "ConnectionLimit": chance.choice([1, 90, None]),
                "Engine": chance.choice([engine, None]),
            }
        )

    def _tenants(self) -> list[Item]:
        return [self._tenant(name) for name in self._names(TENANT_NAMES)]

    def _tenant(self, name: str) -> Item:
        chance = self.chance
        keys = chance.sample(API_KEYS, chance.randint(0, 2))
        return {"Name": name} | self._some(
            {
                "ApiKeys": chance.choice([keys, keys, keys, None]),
                "Priority": chance.choice([0, 4, None]),
                "Isolated": chance.choice([True, False, None]),
                "ReservedShare": chance.choice([0, 0.25, None]),
            }
        )
