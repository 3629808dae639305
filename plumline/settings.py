"""The settings file of a process (TOML), read whole and checked at once; unknown fields are ignored."""

import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import voluptuous

from plumline.configuration.rules import (
    ADDRESS,
    BOOLEAN,
    NAME,
    POSITIVE,
    TEXT,
    Rule,
    integer,
    is_ipv4_address,
    join_faults,
    list_of,
    number_from,
    parse_address,
    required_field,
    schema_faults,
)
from plumline.errors import SettingsInvalidError

VARIABLE = "PLUMLINE_BOOT"
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the process may take of its machine."""

    processor_share: float = 1.0
    processor_cores: float = 1
    memory_mb: float = 300
    file_descriptors: int = 1024
    link_speed_mbps: float = 1000.0
    disk_mb: float = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The rules' figures; the last letters of a name say its unit (seconds or milliseconds)."""

    seed_lag_s: float = 3
    address_reuse_s: float = 2
    contact_ms: float = 3000
    acknowledge_ms: float = 4000
    catch_up_s: float = 4
    drain_ms: float = 3000
    grace_period_s: float = 8
    loss_slack_ms: float = 200
    configuration_apply_ms: float = 2000
    downgrade_slack_ms: float = 250
    outer_stretch_ms: float = 5000
    revocation_closed: bool = False
    revocation_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_budget_slack: float = 58
    recovery_s: float = 12
    transit_ms: float = 120
    again_s: float = 0
    fencing_checked: bool = True
    lease_duration_ms: float = 3000
    thaw_slack_ms: float = 300
    version_apply_ms: float = 8000
    version_everywhere_ms: float = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process."""

    node_name: str
    ip_address: str
    internal_ports: tuple[int, int]  # first and last, both free
    role: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    zone: str = ""
    region: str = ""
    seed_addresses: tuple[Address, ...] = ()
    first_start: bool = False
    loss_counted: bool = False
    data_directory: Path | None = None
    discovery_source: str = ""
    entry_kind: str = ""
    heartbeat_interval_ms: float = 1200
    contracts: frozenset[str] = frozenset()
    zones: dict[str, str] = field(default_factory=dict)  # zone -> region
    front_http: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None
    limits: MachineLimits = field(default_factory=MachineLimits)
    machine_losses: int = 0
    zone_losses: int = 0
    region_losses: int = 0
    bounds: Bounds = field(default_factory=Bounds)
    cloud_api: Address | None = None
    cloud_rate_per_s: float = 10.0
    cloud_lag_ms: float = 0
    cloud_duties: tuple[str, ...] = ()

    @property
    def seeds(self) -> list[str]:
        """The seeds' internal addresses, "ip:port": all machines have the same ports."""
        return [f"{ip}:{self.internal_ports[0]}" for ip, _ in self.seed_addresses]

    @property
    def internal_address(self) -> Address:
        """Where this process listens for others of the system."""
        return self.ip_address, self.internal_ports[0]


PORTS = Rule(
    "[first, last], two ports from 1 to 65535",
    lambda v: (
        isinstance(v, list)
        and len(v) == 2
        and all(type(port) is int and 0 < port < 65536 for port in v)
        and v[0] <= v[1]
    ),
)
REGIONS = Rule(
    "a table of texts, zone to region",
    lambda v: isinstance(v, dict) and all(isinstance(each, str) for each in v.values()),
)


def _snake(key: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", key).lower()


def _camel(name: str) -> str:
    return "".join(part.capitalize() for part in name.split("_"))


def _figures(kind: type) -> dict[str, Rule]:
    """The fields of a dataclass of figures as keys of a section, by either way of writing them."""
    rules: dict[str, Rule] = {}
    for each in fields(kind):
        rule = (
            BOOLEAN if isinstance(each.default, bool) else integer(0) if each.type is int else number_from(0)
        )
        rules[_camel(each.name)] = rules[each.name] = rule
    return rules


PLAIN = (  # fields of the file that are taken as they are
    "NodeName",
    "IpAddress",
    "Role",
    "MachineClass",
    "Zone",
    "Region",
    "FirstStart",
    "LossCounted",
    "DiscoverySource",
    "EntryKind",
    "HeartbeatIntervalMs",
)
SCHEMA = voluptuous.Schema(
    {
        **required_field("NodeName", NAME),
        **required_field("IpAddress", Rule("an IPv4 address", is_ipv4_address)),
        **required_field("InternalPortRange", PORTS),
        "Role": TEXT,
        "MachineClass": TEXT,
        "Serves": list_of(TEXT),
        "Zone": TEXT,
        "Region": TEXT,
        "SeedAddresses": list_of(ADDRESS),
        "FirstStart": BOOLEAN,
        "LossCounted": BOOLEAN,
        "DataDirectory": TEXT,
        "DiscoverySource": TEXT,
        "EntryKind": TEXT,
        "HeartbeatIntervalMs": POSITIVE,
        "Contracts": list_of(TEXT),
        "Zones": REGIONS,
        "ListenAddresses": {"FrontHttp": ADDRESS, "Readiness": ADDRESS, "ControlPlane": ADDRESS},
        "Limits": _figures(MachineLimits),
        "FaultTolerance": {"MachineLosses": integer(0), "Zones": integer(0), "RegionLosses": integer(0)},
        "Bounds": _figures(Bounds),
        "CloudApi": {
            "Address": ADDRESS,
            "RatePerS": POSITIVE,
            "LagMs": number_from(0),
            "Duties": list_of(TEXT),
        },
    },
    extra=voluptuous.ALLOW_EXTRA,
)


def load(path: str | os.PathLike[str]) -> Settings:
    """The settings in the file; SettingsInvalidError names every fault at once."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(f"{path}: can't be read as TOML: {error}") from error
    faults = schema_faults(SCHEMA, raw)
    if faults:
        raise SettingsInvalidError(join_faults(faults))
    return _settings(raw)


def from_environment(variables: Mapping[str, str] = os.environ) -> Settings:
    """The settings in the file that PLUMLINE_BOOT names; SettingsInvalidError if it is unset."""
    path = variables.get(VARIABLE)
    if not path:
        raise SettingsInvalidError(f"{VARIABLE}: not set; allowed: the path of the settings file")
    return load(path)


def _known(kind: type, section: Mapping[str, Any]) -> dict[str, Any]:
    names = {each.name for each in fields(kind)}
    return {_snake(key): value for key, value in section.items() if _snake(key) in names}


def _settings(raw: dict[str, Any]) -> Settings:
    """The settings of a table that has passed SCHEMA. What the file leaves out keeps its default."""
    plain = {_snake(key): raw[key] for key in PLAIN if key in raw}
    listen, losses, cloud = (raw.get(key, {}) for key in ("ListenAddresses", "FaultTolerance", "CloudApi"))
    zones = raw.get("Zones", {})
    plain.setdefault("region", zones.get(raw.get("Zone"), ""))
    plain["data_directory"] = Path(raw["DataDirectory"]) if raw.get("DataDirectory") else None
    return Settings(
        **plain,
        internal_ports=(raw["InternalPortRange"][0], raw["InternalPortRange"][1]),
        serves=tuple(raw.get("Serves", ())),
        seed_addresses=tuple(
            found for text in raw.get("SeedAddresses", ()) if (found := parse_address(text))
        ),
        contracts=frozenset(raw.get("Contracts", ())),
        zones=zones,
        front_http=parse_address(listen.get("FrontHttp")),
        readiness=parse_address(listen.get("Readiness")),
        control_plane=parse_address(listen.get("ControlPlane")),
        limits=MachineLimits(**_known(MachineLimits, raw.get("Limits", {}))),
        machine_losses=losses.get("MachineLosses", 0),
        zone_losses=losses.get("Zones", 0),
        region_losses=losses.get("RegionLosses", 0),
        bounds=Bounds(**_known(Bounds, raw.get("Bounds", {}))),
        cloud_api=parse_address(cloud.get("Address")),
        cloud_rate_per_s=cloud.get("RatePerS", 10.0),
        cloud_lag_ms=cloud.get("LagMs", 0),
        cloud_duties=tuple(cloud.get("Duties", ())),
    )


class SettingsFile:
    """The file on disk, looked at again now and then: it may change with SIGHUP or without a signal."""

    LOOK = 2.0  # s between looks

    def __init__(self, path: str | os.PathLike[str] | None) -> None:
        """None: there is no file, and nothing ever changes."""
        self.path = path
        self.mark = self._mark()
        self.look_at = 0.0

    def _mark(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path) if self.path is not None else None
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size) if found else None

    def hurry(self) -> None:
        """SIGHUP: the next look reads it, changed by its mark or not."""
        self.mark, self.look_at = None, 0.0

    def changed(self, now: float) -> Settings | None:
        """New settings if the file was written since the last look and can be read; else None. One that can't
        be read now is read again at the next look: what is in force stays so."""
        if self.path is None or now < self.look_at:
            return None
        self.look_at = now + self.LOOK
        mark = self._mark()
        if mark is None or mark == self.mark:
            return None
        try:
            settings = load(self.path)
        except SettingsInvalidError:
            return None
        self.mark = mark
        return settings
