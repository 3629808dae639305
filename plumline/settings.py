"""Loads and validates the TOML settings file of a process; unknown keys are ignored.

The keys are documented in docs/configuration.md; each field here is the snake-case form of its key.
"""

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

SETTINGS_VARIABLE = "PLUMLINE_BOOT"
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """The share of its machine's resources that the process may use."""

    processor_share: float = 1.0
    processor_cores: float = 1
    memory_mb: float = 300
    file_descriptors: int = 1024
    link_speed_mbps: float = 1000.0
    disk_mb: float = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that the system must meet; the suffix of a name is its unit (seconds or milliseconds)."""

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
    exposure_share: float = 0.1
    exposure_slack: float = 50


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process.

    The suffix of a name is its unit (`_ms`, `_s`, `_per_s`); docs/configuration.md describes each field.
    """

    node_name: str
    ip_address: str
    internal_ports: tuple[int, int]  # first and last port of a range that is free for use
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
        """The seeds' internal addresses as "ip:port"; every machine uses the same internal ports."""
        return [f"{ip}:{self.internal_ports[0]}" for ip, _ in self.seed_addresses]

    @property
    def internal_address(self) -> Address:
        """The address on which this process accepts connections from other processes of the system."""
        return self.ip_address, self.internal_ports[0]


PORT_RANGE = Rule(
    "[first, last], two ports from 1 to 65535",
    lambda v: (
        isinstance(v, list)
        and len(v) == 2
        and all(type(port) is int and 0 < port < 65536 for port in v)
        and v[0] <= v[1]
    ),
)
REGION_BY_ZONE = Rule(
    "a table of texts, zone to region",
    lambda v: isinstance(v, dict) and all(isinstance(region, str) for region in v.values()),
)


def _snake_case(key: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", key).lower()


def _camel_case(name: str) -> str:
    return "".join(part.capitalize() for part in name.split("_"))


def _section_rules(section_type: type) -> dict[str, Rule]:
    """Validation rules of a section by key; fields of its dataclass may be in camel or snake case."""
    rules: dict[str, Rule] = {}
    for option in fields(section_type):
        if isinstance(option.default, bool):
            rule = BOOLEAN
        else:
            rule = integer(0) if option.type is int else number_from(0)
        rules[_camel_case(option.name)] = rules[option.name] = rule
    return rules


COPIED_KEYS = (  # keys whose values are copied without conversion
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
        **required_field("InternalPortRange", PORT_RANGE),
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
        "Zones": REGION_BY_ZONE,
        "ListenAddresses": {"FrontHttp": ADDRESS, "Readiness": ADDRESS, "ControlPlane": ADDRESS},
        "Limits": _section_rules(MachineLimits),
        "FaultTolerance": {"MachineLosses": integer(0), "Zones": integer(0), "RegionLosses": integer(0)},
        "Bounds": _section_rules(Bounds),
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
    """Loads the settings file. Raises SettingsInvalidError, which lists every fault."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsInvalidError(f"{path}: can't be read as TOML: {error}") from error
    faults = schema_faults(SCHEMA, raw)
    if faults:
        raise SettingsInvalidError(join_faults(faults))
    return _settings(raw)


def from_environment(variables: Mapping[str, str] = os.environ) -> Settings:
    """Loads the file that PLUMLINE_BOOT names. Raises SettingsInvalidError, also if the variable is unset."""
    path = variables.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsInvalidError(f"{SETTINGS_VARIABLE}: not set; allowed: the path of the settings file")
    return load(path)


def _known_fields(section_type: type, section: Mapping[str, Any]) -> dict[str, Any]:
    names = {option.name for option in fields(section_type)}
    return {_snake_case(key): value for key, value in section.items() if _snake_case(key) in names}


def _settings(raw: dict[str, Any]) -> Settings:
    """Builds the settings from a table that has passed SCHEMA. Missing keys get their defaults."""
    copied = {_snake_case(key): raw[key] for key in COPIED_KEYS if key in raw}
    listen, losses, cloud = (raw.get(key, {}) for key in ("ListenAddresses", "FaultTolerance", "CloudApi"))
    zones = raw.get("Zones", {})
    copied.setdefault("region", zones.get(raw.get("Zone"), ""))
    copied["data_directory"] = Path(raw["DataDirectory"]) if raw.get("DataDirectory") else None
    return Settings(
        **copied,
        internal_ports=(raw["InternalPortRange"][0], raw["InternalPortRange"][1]),
        serves=tuple(raw.get("Serves", ())),
        seed_addresses=tuple(seed for text in raw.get("SeedAddresses", ()) if (seed := parse_address(text))),
        contracts=frozenset(raw.get("Contracts", ())),
        zones=zones,
        front_http=parse_address(listen.get("FrontHttp")),
        readiness=parse_address(listen.get("Readiness")),
        control_plane=parse_address(listen.get("ControlPlane")),
        limits=MachineLimits(**_known_fields(MachineLimits, raw.get("Limits", {}))),
        machine_losses=losses.get("MachineLosses", 0),
        zone_losses=losses.get("Zones", 0),
        region_losses=losses.get("RegionLosses", 0),
        bounds=Bounds(**_known_fields(Bounds, raw.get("Bounds", {}))),
        cloud_api=parse_address(cloud.get("Address")),
        cloud_rate_per_s=cloud.get("RatePerS", 10.0),
        cloud_lag_ms=cloud.get("LagMs", 0),
        cloud_duties=tuple(cloud.get("Duties", ())),
    )


class SettingsFile:
    """The settings file on disk, polled for changes: it may be rewritten with or without a SIGHUP."""

    CHECK_INTERVAL_S = 2.0

    def __init__(self, path: str | os.PathLike[str] | None) -> None:
        """A `path` of None means that there is no file and `poll` never returns settings."""
        self._path = path
        self._fingerprint = self._current_fingerprint()
        self._next_check_at = 0.0  # in seconds of the monotonic clock

    def _current_fingerprint(self) -> tuple[int, int] | None:
        """Modification time in ns and size in bytes; None if the file can't be found."""
        if self._path is None:
            return None
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def request_reload(self) -> None:
        """Makes the next poll read the file even if it looks unchanged. Called on SIGHUP."""
        self._fingerprint, self._next_check_at = None, 0.0

    def poll(self, now: float) -> Settings | None:
        """Returns new settings if the file has changed since it was last read, else None.

        `now` is in seconds of the monotonic clock. The file is checked at most every CHECK_INTERVAL_S. If it
        can't be read or is invalid, the current settings stay in force and the next check reads it again.
        """
        if self._path is None or now < self._next_check_at:
            return None
        self._next_check_at = now + self.CHECK_INTERVAL_S
        fingerprint = self._current_fingerprint()
        if fingerprint is None or fingerprint == self._fingerprint:
            return None
        try:
            settings = load(self._path)
        except SettingsInvalidError:
            return None
        self._fingerprint = fingerprint
        return settings
