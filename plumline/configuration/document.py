"""Configurations as the operator sends them: reading, checking, and the new one that a change makes.

A document is the dict of its JSON, kept as sent: fields that are not known here stay in it. Nothing here
changes what it is given; a new document shares every item that a change leaves alone.
"""

import hashlib
import json
import math
from collections.abc import Iterable
from typing import Any

import ormsgpack

from plumline.configuration import (
    ADDRESS,
    FLAG,
    LARGEST,
    LIST,
    NAME,
    POSITIVE,
    TABLE,
    TEXT,
    Rule,
    Shape,
    every,
    fault,
    is_number,
    joined,
    number,
    optional,
    whole,
)
from plumline.errors import ConfigurationInvalidError, VersionConflictError

Document = dict[str, Any]

SECTIONS = ("Routes", "Services", "Tenants")
DEEPEST = 64  # levels of nesting; far above any configuration, far below what the frames can carry


def _is_lists(value: Any, rule: Rule) -> bool:  # noqa: ANN401
    return isinstance(value, dict) and all(map(every(rule).test, value.values()))


PREFIX = Rule(
    "a text that begins and ends with '/'",
    lambda v: isinstance(v, str) and v.startswith("/") and v.endswith("/"),
)
ROUTE = Shape(
    {"Name": NAME, "Host": NAME, "PathPrefix": PREFIX, "TimeoutMs": POSITIVE},
    {
        "Kind": TEXT,
        "Service": optional(NAME),
        "TrafficSplit": optional(LIST),
        "TargetLatencyMs": optional(number(0)),
        "Priority": optional(whole(0)),
        "AttemptLimit": optional(whole(1)),
        "PublicAccess": optional(FLAG),
        "StickySessions": optional(FLAG),
        "Resumable": optional(FLAG),
        "gap_aim_ms": optional(number(0)),
    },
)
SPLIT = Shape({"Service": NAME, "Weight": number(0)}, {})
SERVICE = Shape(
    {"Name": NAME},
    {
        "HealthPath": Rule("a path", lambda v: isinstance(v, str) and v.startswith("/")),
        "ConnectionLimit": optional(whole(1)),
        "CacheStoreAddress": optional(ADDRESS),
        "Zone": optional(TEXT),
        "CacheTokenCapacity": optional(number(0)),
        "LinkSpeedMbps": optional(number(0)),
        "ConcurrencyLimit": optional(whole(0)),
        "Engine": optional(TABLE),
    },
)
ENGINE = Shape(
    {},
    {
        "CapacitySlots": optional(whole(1)),
        "CacheTokenCapacity": optional(number(0)),
        "CacheTokenBytes": optional(number(0)),
        "LinkSpeedMbps": optional(number(0)),
        "ConcurrencyLimit": optional(whole(0)),
        "Models": optional(
            every(Rule("an object with Name", lambda v: isinstance(v, dict) and NAME.test(v.get("Name"))))
        ),
    },
)
SHARE = Rule("a number from 0 to 1", lambda v: is_number(v) and 0 <= v <= 1)
TENANT = Shape(
    {"Name": NAME},
    {
        "ApiKeys": optional(every(NAME)),
        "Priority": optional(whole(0)),
        "Isolated": optional(FLAG),
        "ReservedShare": optional(SHARE),
    },
)
LIMITS = Shape(
    {},
    {
        "HeaderLimitBytes": optional(whole(1)),
        "BodyLimitBytes": optional(whole(1)),
        "HeaderTimeoutMs": optional(POSITIVE),
        "IdleTimeoutMs": optional(POSITIVE),
    },
)
TOP = Shape({"Version": whole(1)}, {**dict.fromkeys(SECTIONS, LIST), "Limits": TABLE})
AMENDMENT = Shape(
    {"Version": whole(1)},
    {
        "Upserts": Rule("an object of lists of objects", lambda v: _is_lists(v, TABLE)),
        "Removals": Rule("an object of lists of names", lambda v: _is_lists(v, NAME)),
        "Limits": TABLE,
    },
)
ITEMS = {"Routes": ROUTE, "Services": SERVICE, "Tenants": TENANT}


def parse(raw: bytes) -> Document:
    """The JSON object in `raw` (UTF-8); ConfigurationInvalidError unless it can be read whole and kept."""
    try:
        document = json.loads(
            raw.decode("utf-8"),
            object_pairs_hook=_pairs,
            parse_float=_finite,
            parse_constant=_constant,
        )
    except (ValueError, RecursionError) as error:
        raise ConfigurationInvalidError(f"the body can't be read as JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigurationInvalidError("the body: not allowed; allowed: a JSON object")
    if _deeper_than(document, DEEPEST):
        raise ConfigurationInvalidError(f"the body: nested too deep; allowed: up to {DEEPEST} levels")
    try:
        ormsgpack.packb(document)
    except ormsgpack.MsgpackEncodeError as error:  # integers over 64 bits, halves of surrogate pairs
        raise ConfigurationInvalidError(f"the body holds what can't be kept: {error}") from error
    return document


def _pairs(pairs: list[tuple[str, Any]]) -> Document:
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        raise ValueError(f"an object names a key twice: {sorted({n for n in names if names.count(n) > 1})}")
    return found


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {text[:40]} is too large")
    return value


def _constant(text: str) -> float:
    raise ValueError(f"{text} is no number of JSON")


def _deeper_than(document: Document, most: int) -> bool:
    level: list[Any] = [document]
    for _ in range(most):
        inner: list[Any] = []
        for each in level:
            values = each.values() if type(each) is dict else each
            inner += [value for value in values if type(value) is dict or type(value) is list]
        if not inner:
            return False
        level = inner
    return True


def digest(kind: str, based_on: int, body: Any) -> str:  # noqa: ANN401
    """SHA-256 in hex of a change in a canonical form (keys in order), by which an exact repeat is known."""
    # MessagePack tells 1 from 1.0 and true as JSON does, at a sixth of the time.
    try:
        packed = ormsgpack.packb([kind, based_on, body], option=ormsgpack.OPT_SORT_KEYS)
    except ormsgpack.MsgpackEncodeError as error:
        raise ConfigurationInvalidError(f"the change holds what can't be kept: {error}") from error
    return hashlib.sha256(packed).hexdigest()


def host_key(host: str) -> str:
    """A host as it is compared: without port, in lower case."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()


def check(document: Document) -> None:
    """ConfigurationInvalidError, with every fault in its text, unless the whole document is valid."""
    _refuse(_faults(document, {section: _items(document, section) for section in SECTIONS}))


def replaced(current: Document | None, based_on: int, body: Document) -> Document:
    """The document that a Replace makes: the body itself. VersionConflictError, ConfigurationInvalidError."""
    conflict(current, based_on)
    _refuse(_older(current, body) + _faults(body, {section: _items(body, section) for section in SECTIONS}))
    return body


def amended(current: Document | None, based_on: int, body: Document) -> Document:
    """The document that an Amend makes. VersionConflictError, ConfigurationInvalidError."""
    conflict(current, based_on)
    if current is None:
        raise VersionConflictError("there is no configuration to amend; the first one is sent whole")
    faults = AMENDMENT.faults(body)
    if not faults:
        faults = _older(current, body) + _amendment_faults(current, body)
    _refuse(faults)
    document = merged(current, body)
    _refuse(_faults(document, body.get("Upserts", {})))  # items that are not touched keep their shape
    return document


def conflict(current: Document | None, based_on: int) -> None:
    """VersionConflictError unless `based_on` is the version of `current` (0 if there is none)."""
    present = current["Version"] if current else 0
    if type(based_on) is not int or based_on != present:
        raise VersionConflictError(f"Based-On-Version: {based_on!r}, but version {present} is in place")


def merged(current: Document, body: Document) -> Document:
    """`current` with a valid Amend applied, without any check."""
    upserts, removals = body.get("Upserts", {}), body.get("Removals", {})
    document = dict(current)
    document.update((key, value) for key, value in body.items() if key not in ("Upserts", "Removals"))
    for section in dict.fromkeys([*upserts, *removals]):
        if section in upserts or section in current:
            document[section] = _merged_items(
                current.get(section, []), upserts.get(section, []), removals.get(section, [])
            )
    return document


def _merged_items(items: list[Any], upserts: list[Document], removals: list[str]) -> list[Any]:
    new = {item["Name"]: item for item in upserts}
    gone = set(removals)
    found = []
    for item in items:
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            found.append(item)
        elif name not in gone:
            found.append(new.pop(name, item))
    found.extend(new.values())
    return found


def _items(document: Document, section: str) -> list[Any]:
    found = document.get(section)
    return found if isinstance(found, list) else []


def _refuse(faults: list[str]) -> None:
    if faults:
        raise ConfigurationInvalidError(joined(faults))


def _older(current: Document | None, body: Document) -> list[str]:
    present, version = (current["Version"] if current else 0), body.get("Version")
    if type(version) is int and version <= present:
        return [fault("Version", version, f"a whole number above {present}, the version in place")]
    return []


def _amendment_faults(current: Document, body: Document) -> list[str]:
    """Faults in how an Amend of the right shape is put together."""
    faults = [
        fault(section, "a list beside Upserts", "lists of items only in Upserts and Removals")
        for section in SECTIONS
        if section in body
    ]
    upserts, removals = body.get("Upserts", {}), body.get("Removals", {})
    for section in dict.fromkeys([*upserts, *removals]):
        if not isinstance(current.get(section, []), list) or section in ("Version", "Limits"):
            faults.append(fault(section, "Upserts or Removals of it", "the name of a list of items"))
        elif section in body and section not in SECTIONS:
            faults.append(fault(section, "given whole and amended at once", "one of the two"))
        names = [item.get("Name") for item in upserts.get(section, [])]
        for place, name in enumerate(names):
            if not NAME.test(name):
                faults.append(fault(f"Upserts.{section}[{place}].Name", name, NAME.allowed))
        known = [name for name in names if NAME.test(name)]
        faults += _twice(f"Upserts.{section}", known)
        for name in sorted(set(known) & set(removals.get(section, []))):
            faults.append(fault(f"Removals.{section}", name, "a name that is not in Upserts as well"))
    return faults


def _faults(document: Document, touched: dict[str, list[Any]]) -> list[str]:
    """Faults in the shape of the top and of the items in `touched`, then between all items that are sound."""
    faults = TOP.faults(document)
    if isinstance(document.get("Limits"), dict):
        faults += LIMITS.faults(document["Limits"], "Limits")
    unsound: set[int] = set()
    for section, shape in ITEMS.items():
        for place, item in enumerate(touched.get(section, [])):
            found = _item_faults(section, shape, item, place)
            if found:
                unsound.add(id(item))
                faults += found
    services = {
        item["Name"]: item
        for item in _items(document, "Services")
        if isinstance(item, dict) and isinstance(item.get("Name"), str)
    }
    return (
        faults
        + _names_twice(document)
        + _route_faults([r for r in _items(document, "Routes") if id(r) not in unsound], services)
        + _key_faults([t for t in _items(document, "Tenants") if id(t) not in unsound])
        + _share_faults([t for t in _items(document, "Tenants") if id(t) not in unsound])
    )


def _item_faults(section: str, shape: Shape, item: Any, place: int) -> list[str]:  # noqa: ANN401
    if not isinstance(item, dict):
        return [fault(f"{section}[{place}]", item, TABLE.allowed)]
    engine, splits = item.get("Engine"), item.get("TrafficSplit")
    if not engine and not splits and shape.fits(item):
        return []
    name = item.get("Name")
    key = f"{section}[{name if isinstance(name, str) and name else place}]"
    faults = shape.faults(item, key)
    if section == "Services" and isinstance(engine, dict):
        faults += ENGINE.faults(engine, f"{key}.Engine")
    if section == "Routes" and isinstance(splits, list):
        for at, split in enumerate(splits):
            faults += SPLIT.faults(split, f"{key}.TrafficSplit[{at}]")
    return faults


def _twice(key: str, names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    again = dict.fromkeys(name for name in names if name in seen or seen.add(name))
    return [fault(f"{key}.Name", name, "each name once") for name in again]


def _names_twice(document: Document) -> list[str]:
    faults: list[str] = []
    for section in SECTIONS:
        items = _items(document, section)
        faults += _twice(
            section, [i["Name"] for i in items if isinstance(i, dict) and isinstance(i.get("Name"), str)]
        )
    return faults


def _route_faults(routes: list[Document], services: dict[str, Document]) -> list[str]:
    faults: list[str] = []
    taken: dict[tuple[str, str], str] = {}
    for route in routes:
        key = f"Routes[{route['Name']}]"
        place = (host_key(route["Host"]), route["PathPrefix"])
        if place in taken:
            faults.append(fault(f"{key}.PathPrefix", place, f"other than of route {taken[place]}"))
        taken.setdefault(place, route["Name"])
        splits = route.get("TrafficSplit")
        named = [each["Service"] for each in splits] if splits else []
        if route.get("Service") is not None:
            named.append(route["Service"])
        for name in dict.fromkeys(named):
            service = services.get(name)
            if service is None:
                faults.append(fault(f"{key}.Service", name, "the name of a service in Services"))
            elif service.get("CacheStoreAddress") is not None:
                faults.append(fault(f"{key}.Service", name, "a service that is no store"))
        weight = sum(each["Weight"] for each in splits) if splits else 0
        if splits and not 0 < weight <= LARGEST:
            faults.append(fault(f"{key}.TrafficSplit", weight, "weights that add up to more than 0"))
        elif not named:
            faults.append(fault(f"{key}.Service", None, "a service, or a TrafficSplit with weights above 0"))
    return faults


def _key_faults(tenants: list[Document]) -> list[str]:
    """Two tenants with one key. The key itself is a secret and stays out of the text."""
    faults: list[str] = []
    holders: dict[str, str] = {}
    for tenant in tenants:
        for place, key in enumerate(tenant.get("ApiKeys") or ()):
            holder = holders.setdefault(key, tenant["Name"])
            if holder != tenant["Name"]:
                where = f"Tenants[{tenant['Name']}].ApiKeys[{place}]"
                faults.append(fault(where, "(a key)", f"a key that tenant {holder} has not"))
    return faults


def _share_faults(tenants: list[Document]) -> list[str]:
    """More than the whole is reserved."""
    total = math.fsum(each.get("ReservedShare") or 0 for each in tenants)
    if total <= 1 + 1e-9:  # tenths don't add up exactly
        return []
    return [fault("Tenants.ReservedShare", round(total, 6), "shares that add up to 1 at the most")]
