"""The schemas of the objects in a configuration; docs/configuration.md lists their keys."""

from plumline.configuration.document import SECTIONS
from plumline.configuration.rules import (
    ADDRESS,
    BOOLEAN,
    LIST,
    NAME,
    OBJECT,
    POSITIVE,
    TEXT,
    ObjectSchema,
    Rule,
    integer,
    is_number,
    list_of,
    nullable,
    number_from,
)


def _is_object_of_lists(value: object, rule: Rule) -> bool:
    return isinstance(value, dict) and all(map(list_of(rule).test, value.values()))


PATH = Rule("a path", lambda v: isinstance(v, str) and v.startswith("/"))
PATH_PREFIX = Rule(
    "a text that begins and ends with '/'",
    lambda v: isinstance(v, str) and v.startswith("/") and v.endswith("/"),
)
FRACTION = Rule("a number from 0 to 1", lambda v: is_number(v) and 0 <= v <= 1)
MODEL = Rule("an object with Name", lambda v: isinstance(v, dict) and NAME.test(v.get("Name")))

ROUTE_SCHEMA = ObjectSchema(
    {"Name": NAME, "Host": NAME, "PathPrefix": PATH_PREFIX, "TimeoutMs": POSITIVE},
    {
        "Kind": TEXT,
        "Service": nullable(NAME),
        "TrafficSplit": nullable(LIST),
        "TargetLatencyMs": nullable(number_from(0)),
        "Priority": nullable(integer(0)),
        "AttemptLimit": nullable(integer(1)),
        "PublicAccess": nullable(BOOLEAN),
        "StickySessions": nullable(BOOLEAN),
        "Resumable": nullable(BOOLEAN),
        "gap_aim_ms": nullable(number_from(0)),
    },
)
TRAFFIC_SPLIT_SCHEMA = ObjectSchema({"Service": NAME, "Weight": number_from(0)}, {})
SERVICE_SCHEMA = ObjectSchema(
    {"Name": NAME},
    {
        "HealthPath": PATH,
        "ConnectionLimit": nullable(integer(1)),
        "CacheStoreAddress": nullable(ADDRESS),
        "Zone": nullable(TEXT),
        "CacheTokenCapacity": nullable(number_from(0)),
        "LinkSpeedMbps": nullable(number_from(0)),
        "ConcurrencyLimit": nullable(integer(0)),
        "Engine": nullable(OBJECT),
    },
)
ENGINE_SCHEMA = ObjectSchema(
    {},
    {
        "CapacitySlots": nullable(integer(1)),
        "CacheTokenCapacity": nullable(number_from(0)),
        "CacheTokenBytes": nullable(number_from(0)),
        "LinkSpeedMbps": nullable(number_from(0)),
        "ConcurrencyLimit": nullable(integer(0)),
        "Models": nullable(list_of(MODEL)),
    },
)
TENANT_SCHEMA = ObjectSchema(
    {"Name": NAME},
    {
        "ApiKeys": nullable(list_of(NAME)),
        "Priority": nullable(integer(0)),
        "Isolated": nullable(BOOLEAN),
        "ReservedShare": nullable(FRACTION),
    },
)
LIMITS_SCHEMA = ObjectSchema(
    {},
    {
        "HeaderLimitBytes": nullable(integer(1)),
        "BodyLimitBytes": nullable(integer(1)),
        "HeaderTimeoutMs": nullable(POSITIVE),
        "IdleTimeoutMs": nullable(POSITIVE),
    },
)
DOCUMENT_SCHEMA = ObjectSchema({"Version": integer(1)}, {**dict.fromkeys(SECTIONS, LIST), "Limits": OBJECT})
AMENDMENT_SCHEMA = ObjectSchema(
    {"Version": integer(1)},
    {
        "Upserts": Rule("an object of lists of objects", lambda v: _is_object_of_lists(v, OBJECT)),
        "Removals": Rule("an object of lists of names", lambda v: _is_object_of_lists(v, NAME)),
        "Limits": OBJECT,
    },
)
SECTION_SCHEMAS = {"Routes": ROUTE_SCHEMA, "Services": SERVICE_SCHEMA, "Tenants": TENANT_SCHEMA}
