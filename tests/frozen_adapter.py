"""The only way from `test_frozen_forms.py` to the code: runs it, and gives back bytes and plain values.

Imports and names in here may follow renames of the code; what the functions return may not change. Wherever
it can be done a function drives whole programs from the outside (the command line, sockets, files), so that
few names of the code stand here at all.
"""

import ast
import asyncio
import functools
import importlib
import io
import json
import os
import pkgutil
import re
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import fields
from pathlib import Path
from typing import Any
from unittest.mock import patch

import click
import frozen_cluster
import frozen_sender
import frozen_story
import ormsgpack
from click.testing import CliRunner
from frozen_story import Day, Program, Told

import plumline
from plumline import logs, settings
from plumline.cli import main
from plumline.errors import PlumlineError
from plumline.operator_calls import call_until_answered
from plumline.registrar import durable_state
from plumline.registrar import process as registrar
from plumline.router import process as router
from plumline.settings import from_environment
from plumline.store.log_writers import SynchronousWriter
from plumline.wire import frames

ROOT = Path(__file__).parent.parent
PROGRAMS = ("plumline", "message_sender")
SENDER = "message_sender"  # the package that is run as the sender's program


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


# Whole programs on a virtual network.


def registrar_program(path: Path) -> Program:
    """A registrar with this settings file."""
    return lambda: registrar.run(settings.load(path))


def router_program(path: Path) -> Program:
    """A router with this settings file."""
    return lambda: router.run(settings.load(path))


async def operate(addresses: list[tuple[str, int]], document: dict[str, Any]) -> None:
    """The operator's client reads the configuration, and puts another one on top of version 2."""
    await call_until_answered(addresses, "configuration_read")
    await call_until_answered(addresses, "configuration_replace", {"Based-On-Version": "2"}, document)


def writer_at_once(file: Any, loop: asyncio.AbstractEventLoop, image: Callable[[], Any]) -> SynchronousWriter:  # noqa: ANN401
    """In place of the writer with a thread, which knows no virtual time."""
    return SynchronousWriter(file, image, loop.time)


@contextmanager
def log_lines() -> Iterator[io.StringIO]:
    """What the programs log, as they write it to standard error."""
    lines, root = io.StringIO(), logs.logging.getLogger()
    with patch.object(sys, "stderr", lines):
        logs.configure("INFO")
    try:
        yield lines
    finally:
        for handler in list(root.handlers):
            root.removeHandler(handler)


def play(story: Callable[..., Any], *arguments: object) -> tuple[Told, str]:
    """What a story of `frozen_story` leaves, and the log."""
    with (
        tempfile.TemporaryDirectory() as folder,
        patch.object(durable_state, "GroupCommitWriter", writer_at_once),
        log_lines() as lines,
    ):
        told = frozen_cluster.play(
            lambda cluster: story(
                Day(cluster, Path(folder), registrar_program, router_program, operate), *arguments
            )
        )
        return told, lines.getvalue()


@functools.cache
def day() -> tuple[Told, str]:
    """The whole day, and what is seldom said beside it."""
    told, text = play(frozen_story.whole_day)
    odd, more = play(frozen_story.odd_hours)
    told.messages += odd.messages
    told.frames += odd.frames
    told.calls += odd.calls
    told.disks |= odd.disks
    return told, text + more


def messages_sent() -> dict[str, Any]:
    """By sender, receiver and kind: the forms of all messages between the programs."""
    found: dict[str, list[bytes]] = {}
    for each in day()[0].messages:
        found.setdefault(f"{each.sender} > {each.receiver}: {each.kind}", []).append(each.body)
    return {key: frozen_story.forms(bodies) for key, bodies in sorted(found.items())}


def frame_kinds() -> dict[str, Any]:
    """The forms of frames that carry others, compressed or in parts; and the size of the largest frame."""
    found: dict[str, set[str]] = {"packed": set(), "piece": set()}
    largest = 0
    for frame in day()[0].frames:
        largest = max(largest, len(frame))
        value = ormsgpack.unpackb(frame[4:])
        if value[0] in found:
            found[value[0]].add(" ".join(type(each).__name__ for each in value))
    return {"largest": largest} | {kind: sorted(types) for kind, types in found.items()}


def records_written() -> dict[str, Any]:
    """By kind: the forms of all records in the registrars' files."""
    found: dict[str, list[bytes]] = {}
    for data in day()[0].disks.values():
        for each in frozen_story.records_in(data):
            found.setdefault(frozen_story.kind_of(ormsgpack.unpackb(each)), []).append(each)
    return {kind: frozen_story.forms(bodies) for kind, bodies in sorted(found.items())}


def calls_made() -> dict[str, list[str]]:
    """By caller, callee, first line and status: the first call over HTTP, and its answer."""
    found: dict[str, list[str]] = {}
    for _, caller, callee, call, answer in day()[0].calls:
        line, status = call.split(b"\r\n")[0].partition(b" HTTP/")[0].decode(), answer[9:12].decode()
        if answer:
            shown = [call.decode("latin-1")[:2000], answer.decode("latin-1")]
            found.setdefault(f"{caller} > {callee}: {line} -> {status}", shown)
    return dict(sorted(found.items()))


def names_logged() -> dict[str, list[str]]:
    """The names of events and counters in a day's log."""
    text = day()[1]
    return {name: sorted(set(re.findall(rf" {name}=([^ \n]+)", text))) for name in ("event", "counter")}


def started_from(disks: dict[str, bytes]) -> dict[str, Any]:
    """What three registrars with these disks tell one another and an operator."""
    told, text = play(frozen_story.power_is_back, disks)
    incarnations = {each.value[2] for each in told.messages if each.kind == "ping"}
    answers = [each.answer for each in told.calls if each.request.startswith(b"GET /Configuration.Read")]
    return {
        "incarnations": sorted(incarnations),
        "first view": min(int(each) for each in re.findall(r"event=view number=(\d+)", text)),
        "founded": any(each.kind.startswith("found") for each in told.messages),
        "terms above": min(each.value[4] for each in told.messages if each.kind == "ballot ask"),
        "read": answers[0].decode(),
    }


# The sender's process.


def sender_journal(folder: Path) -> dict[str, Any]:
    """The lines of a journal after SIGKILL, and as the next process makes it anew; without times."""
    found = frozen_sender.run(frozen_sender.journal_of_a_life, SENDER, folder)
    return frozen_sender.timeless(found)


def sender_started_from(journal: list[Any], folder: Path) -> dict[str, Any]:
    """What a sender makes of a recorded journal: its own, and the first request that it sends."""
    return frozen_sender.run(
        lambda machine: frozen_sender.started_from_journal(machine, journal), SENDER, folder
    )


def sender_hands_over(folder: Path) -> list[Any]:
    """The frames that a sender hands over, with the types of their values."""
    return [*map(frozen_sender.typed, frozen_sender.run(frozen_sender.handed_over_by, SENDER, folder))]


def sender_takes_over(frames: list[Any], folder: Path) -> dict[str, Any]:
    """What a sender that was given recorded frames hands over in its turn, and what its client hears."""
    return frozen_sender.run(lambda machine: frozen_sender.handed_over_to(machine, frames), SENDER, folder)


def sender_without_configuration() -> tuple[int, int]:
    """Exit code, and lines on standard error, where the environment names no configuration."""
    variables = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    words = [sys.executable, "-m", SENDER]
    ended = subprocess.run(words, cwd=ROOT, env=variables, capture_output=True, timeout=60, check=False)
    return ended.returncode, ended.stderr.count(b"\n")


def unpacked(body: bytes) -> list[Any]:
    """The message that a frame's body is."""
    return frames.unpack(body)


def packed(message: list[Any]) -> bytes:
    """The body of a message's frame."""
    return frames.pack(message)[frames.LENGTH_BYTES :]
