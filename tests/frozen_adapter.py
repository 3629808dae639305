"""The only way from `test_frozen_forms.py` to the code: runs it, and gives back bytes and plain values.

Imports and names in here may follow renames of the code; what the functions return may not change. Wherever
it can be done a function drives whole programs from the outside (the command line, sockets, files), so that
few names of the code stand here at all.
"""

import ast
import importlib
import json
import pkgutil
from dataclasses import fields
from pathlib import Path
from typing import Any

import click
from click.testing import CliRunner

import plumline
from plumline.cli import main
from plumline.errors import PlumlineError
from plumline.settings import from_environment

ROOT = Path(__file__).parent.parent
PROGRAMS = ("plumline", "elmglade")


# The command line.


def run_command(words: list[str], environment: dict[str, str] | None = None) -> tuple[int, str, str]:
    """Exit code, standard output and standard error of `plumline WORDS`."""
    result = CliRunner().invoke(main, words, env={"PLUMLINE_BOOT": None, **(environment or {})})
    return result.exit_code, result.stdout, result.stderr


def command_words() -> dict[str, list[str]]:
    """The options and arguments of each command, by the words that call it."""
    found: dict[str, list[str]] = {}

    def walk(command: click.Command, words: str) -> None:
        found[words] = sorted(
            f"{'/'.join(each.opts)} {'flag' if getattr(each, 'is_flag', False) else each.default}"
            if isinstance(each, click.Option) and not each.required
            else f"{each.opts[0] if isinstance(each, click.Option) else each.human_readable_name} needed"
            for each in command.params
            if each.name != "version"
        )
        for name, inner in getattr(command, "commands", {}).items():
            walk(inner, f"{words} {name}".strip())

    walk(main, "")
    return found


def faulty_keys(kind: str, path: Path) -> list[str]:
    """The keys that `plumline check KIND` finds at fault in a file."""
    code, output, _ = run_command(["check", kind, str(path), "--json"])
    assert code == 1, output
    return sorted(each.get("key", each["text"]) for each in json.loads(output)["faults"])


# The settings file.


def settings_read(path: Path) -> dict[str, Any]:
    """What a process makes of a settings file, by the file's names; sections and units as in the file."""
    found = from_environment({"PLUMLINE_BOOT": str(path)})
    return {
        "NodeName": found.node_name,
        "IpAddress": found.ip_address,
        "InternalPortRange": list(found.internal_ports),
        "Role": found.role,
        "MachineClass": found.machine_class,
        "Serves": list(found.serves),
        "Zone": found.zone,
        "Region": found.region,
        "SeedAddresses": [list(each) for each in found.seed_addresses],
        "FirstStart": found.first_start,
        "LossCounted": found.loss_counted,
        "DataDirectory": str(found.data_directory),
        "DiscoverySource": found.discovery_source,
        "EntryKind": found.entry_kind,
        "HeartbeatIntervalMs": found.heartbeat_interval_ms,
        "Contracts": sorted(found.contracts),
        "Zones": found.zones,
        "ListenAddresses": [
            list(each or ()) for each in (found.front_http, found.readiness, found.control_plane)
        ],
        "Limits": figures(found.limits),
        "FaultTolerance": [found.machine_losses, found.zone_losses, found.region_losses],
        "Bounds": figures(found.bounds),
        "CloudApi": [
            *(list(found.cloud_api or ()), found.cloud_rate_per_s, found.cloud_lag_ms),
            list(found.cloud_duties),
        ],
    }


def figures(section: Any) -> dict[str, Any]:  # noqa: ANN401
    """A section of figures, each under its name in the file."""
    names = {
        each.name: "".join(part.capitalize() for part in each.name.split("_")) for each in fields(section)
    }
    return {shown: getattr(section, name) for name, shown in names.items()}


# Errors, and names in the source.


def error_codes() -> list[str]:
    """Code and HTTP status of each typed error of the program."""
    for each in pkgutil.walk_packages(plumline.__path__, "plumline."):
        if not each.name.endswith("__main__"):
            importlib.import_module(each.name)
    found, left = set(), [PlumlineError]
    while left:
        kind = left.pop()
        found.add(f"{kind.code} {kind.status}")
        left += kind.__subclasses__()
    return sorted(found)


def string_literals() -> set[str]:
    """All string and bytes constants in the programs' source, and the constant parts of formatted strings."""
    found: set[str] = set()
    for program in PROGRAMS:
        for path in sorted((ROOT / program).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
                    value: Any = node.value
                    found.add(value.decode("latin-1") if isinstance(value, bytes) else value)
    return found


def missing_in_source(names: list[str]) -> list[str]:
    """Those that the source can't make: neither a constant, nor put together of constants and digits."""
    literals = string_literals()

    def made(name: str) -> bool:
        if not name or name in literals:
            return True
        heads = (name[:at] for at in range(1, len(name)))
        return any((head.isdigit() or head in literals) and made(name[len(head) :]) for head in heads)

    return [name for name in names if not made(name)]
