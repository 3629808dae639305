"""Validation of a whole configuration: each object by its schema, then the references between objects.

All faults of a document are reported together, as one text with a line each.
"""

import math
from collections.abc import Iterable
from typing import Any

from plumline.configuration.document import SECTIONS, Document, normalized_host, section_items
from plumline.configuration.rules import MAX_INTEGER, OBJECT, ObjectSchema, fault_line, join_faults
from plumline.configuration.schema import (
    DOCUMENT_SCHEMA,
    ENGINE_SCHEMA,
    LIMITS_SCHEMA,
    SECTION_SCHEMAS,
    TRAFFIC_SPLIT_SCHEMA,
)
from plumline.errors import ConfigurationInvalidError

SHARE_SUM_TOLERANCE = 1e-9  # decimal fractions don't add up exactly in binary floating point


def validate(document: Document) -> None:
    """Raises ConfigurationInvalidError, whose text lists every fault, unless the document is valid."""
    raise_faults(document_faults(document))


def raise_faults(faults: list[str]) -> None:
    """Raises ConfigurationInvalidError if there are any faults."""
    if faults:
        raise ConfigurationInvalidError(join_faults(faults))


def document_faults(document: Document, changed: dict[str, list[Any]] | None = None) -> list[str]:
    """The faults of a document, a line each: first those of single objects, then those between valid ones.

    `changed`: the items by section to check by their schema, if all others are known to be valid; None for
    all items.
    """
    if changed is None:
        changed = {section: section_items(document, section) for section in SECTIONS}
    faults = DOCUMENT_SCHEMA.faults(document)
    if isinstance(document.get("Limits"), dict):
        faults += LIMITS_SCHEMA.faults(document["Limits"], "Limits")
    invalid: set[int] = set()  # ids of the items that violate their schema
    for section, schema in SECTION_SCHEMAS.items():
        for index, item in enumerate(changed.get(section, [])):
            item_faults = _item_faults(section, schema, item, index)
            if item_faults:
                invalid.add(id(item))
                faults += item_faults
    routes = [item for item in section_items(document, "Routes") if id(item) not in invalid]
    tenants = [item for item in section_items(document, "Tenants") if id(item) not in invalid]
    return (
        faults
        + _section_name_faults(document)
        + _route_faults(routes, _services_by_name(document))
        + _api_key_faults(tenants)
        + _reserved_share_faults(tenants)
    )


def repeated_name_faults(key: str, names: Iterable[str]) -> list[str]:
    """A line for each name that occurs more than once in the list under the key."""
    seen: set[str] = set()
    repeated: dict[str, None] = {}  # as an ordered set
    for name in names:
        if name in seen:
            repeated[name] = None
        seen.add(name)
    return [fault_line(f"{key}.Name", name, "each name once") for name in repeated]


def _item_faults(section: str, schema: ObjectSchema, item: object, index: int) -> list[str]:
    if not isinstance(item, dict):
        return [fault_line(f"{section}[{index}]", item, OBJECT.allowed)]
    engine, traffic_splits = item.get("Engine"), item.get("TrafficSplit")
    if not engine and not traffic_splits and schema.accepts(item):
        return []
    name = item.get("Name")
    key = f"{section}[{name if isinstance(name, str) and name else index}]"
    faults = schema.faults(item, key)
    if section == "Services" and isinstance(engine, dict):
        faults += ENGINE_SCHEMA.faults(engine, f"{key}.Engine")
    if section == "Routes" and isinstance(traffic_splits, list):
        for split_index, split in enumerate(traffic_splits):
            faults += TRAFFIC_SPLIT_SCHEMA.faults(split, f"{key}.TrafficSplit[{split_index}]")
    return faults


def _services_by_name(document: Document) -> dict[str, Document]:
    return {item["Name"]: item for item in section_items(document, "Services") if _has_name(item)}


def _has_name(item: object) -> bool:
    return isinstance(item, dict) and isinstance(item.get("Name"), str)


def _section_name_faults(document: Document) -> list[str]:
    faults: list[str] = []
    for section in SECTIONS:
        names = [item["Name"] for item in section_items(document, section) if _has_name(item)]
        faults += repeated_name_faults(section, names)
    return faults


def _route_faults(routes: list[Document], services: dict[str, Document]) -> list[str]:
    faults: list[str] = []
    route_names: dict[tuple[str, str], str] = {}  # by host and path prefix
    for route in routes:
        key = f"Routes[{route['Name']}]"
        location = (normalized_host(route["Host"]), route["PathPrefix"])
        if location in route_names:
            faults.append(
                fault_line(f"{key}.PathPrefix", location, f"other than of route {route_names[location]}")
            )
        route_names.setdefault(location, route["Name"])
        faults += _route_service_faults(key, route, services)
    return faults


def _route_service_faults(key: str, route: Document, services: dict[str, Document]) -> list[str]:
    """Faults of the services that a route refers to, and of their weights."""
    faults: list[str] = []
    traffic_splits = route.get("TrafficSplit") or ()
    names = [split["Service"] for split in traffic_splits]
    if route.get("Service") is not None:
        names.append(route["Service"])
    for name in dict.fromkeys(names):
        service = services.get(name)
        if service is None:
            faults.append(fault_line(f"{key}.Service", name, "the name of a service in Services"))
        elif service.get("CacheStoreAddress") is not None:
            faults.append(fault_line(f"{key}.Service", name, "a service that is no store"))
    weight = sum(split["Weight"] for split in traffic_splits)
    if traffic_splits and not 0 < weight <= MAX_INTEGER:
        faults.append(fault_line(f"{key}.TrafficSplit", weight, "weights that add up to more than 0"))
    elif not names:
        allowed = "a service, or a TrafficSplit with weights above 0"
        faults.append(fault_line(f"{key}.Service", None, allowed))
    return faults


def _api_key_faults(tenants: list[Document]) -> list[str]:
    """Faults of tenants that share an API key. The key is a secret, so the text doesn't contain it."""
    faults: list[str] = []
    tenant_by_key: dict[str, str] = {}  # tenant name by API key
    for tenant in tenants:
        for index, api_key in enumerate(tenant.get("ApiKeys") or ()):
            key_tenant = tenant_by_key.setdefault(api_key, tenant["Name"])
            if key_tenant != tenant["Name"]:
                where = f"Tenants[{tenant['Name']}].ApiKeys[{index}]"
                faults.append(fault_line(where, "(a key)", f"a key that tenant {key_tenant} has not"))
    return faults


def _reserved_share_faults(tenants: list[Document]) -> list[str]:
    """The fault that the reserved shares add up to more than 1."""
    total = math.fsum(tenant.get("ReservedShare") or 0 for tenant in tenants)
    if total <= 1 + SHARE_SUM_TOLERANCE:
        return []
    return [fault_line("Tenants.ReservedShare", round(total, 6), "shares that add up to 1 at the most")]
