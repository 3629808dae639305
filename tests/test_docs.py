"""The README and the docs say what is so: their commands and examples run, their tables are the program's."""

import doctest
import importlib
import json
import os
import re
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any

import pytest
import voluptuous

from plumline import settings
from plumline.cli import main
from plumline.configuration import schema

ROOT = Path(__file__).parent.parent
OPERATING, CONFIGURATION, README = (
    ROOT / "docs/operating.md",
    ROOT / "docs/configuration.md",
    ROOT / "README.md",
)
PAGES = [README, OPERATING, CONFIGURATION]
BLOCK = re.compile(r"^```(\w+) ?(\S*)\n(.*?)^```$", re.M | re.S)
SCHEMAS = {
    "Document": schema.DOCUMENT_SCHEMA,
    "Route": schema.ROUTE_SCHEMA,
    "Split": schema.TRAFFIC_SPLIT_SCHEMA,
    "Service": schema.SERVICE_SCHEMA,
    "Engine": schema.ENGINE_SCHEMA,
    "Tenant": schema.TENANT_SCHEMA,
    "Limits": schema.LIMITS_SCHEMA,
    "Amendment": schema.AMENDMENT_SCHEMA,
}


def run(command: list[str], folder: Path, **variables: str) -> subprocess.CompletedProcess[str]:
    environment = os.environ | {"PYTHONPATH": str(ROOT)} | variables
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60, check=False
    )


def rows(text: str) -> list[list[str]]:
    """The cells of all rows of a text's tables, heads left out."""
    lines = [line for line in text.split("\n") if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    rules = [at for at, row in enumerate(cells) if set(row[0]) == {"-"}]
    return [row for at, row in enumerate(cells) if at not in rules and at + 1 not in rules]


def section(page: Path, head: str) -> str:
    """What stands under a heading, up to the next one."""
    found = re.search(rf"^#+ {re.escape(head)}\n(.*?)(?=^#|\Z)", page.read_text(), re.M | re.S)
    assert found, f"{page.name} has no heading {head}"
    return found[1]


def code(cell: str) -> list[str]:
    return re.findall(r"`([^`]+)`", cell)


# --- examples


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_the_python_examples_of_a_page_give_what_it_says(page: Path) -> None:
    assert doctest.testfile(str(page), module_relative=False, encoding="utf-8").failed == 0


@pytest.mark.parametrize("page", [OPERATING, CONFIGURATION], ids=lambda page: page.name)
def test_the_commands_of_a_page_print_what_it_says(page: Path, tmp_path: Path) -> None:
    played = 0
    for kind, name, body in BLOCK.findall(page.read_text()):
        if name:
            (tmp_path / name).write_text(body)
        if kind != "console":
            continue
        command, _, expected = body.partition("\n")
        assert command.startswith("$ plumline ")
        got = run([sys.executable, "-m", "plumline", *shlex.split(command)[2:]], tmp_path)
        ended = f"[exit {got.returncode}]\n" if got.returncode else ""
        assert got.stdout + got.stderr + ended == expected
        played += 1
    assert played


def test_the_commands_that_the_pages_name_are_there() -> None:
    named = [line.strip() for page in PAGES for line in page.read_text().split("\n")]
    lines = [line.removeprefix("$ ") for line in named if line.removeprefix("$ ").startswith("plumline ")]
    assert len(lines) > 6
    for line in lines:
        group: Any = main
        for word in shlex.split(line.partition(">")[0])[1:]:
            if not hasattr(group, "commands"):
                if word.startswith("--"):
                    assert word in {name for each in group.params for name in each.opts}, line
                continue
            assert word in group.commands, line
            group = group.commands[word]
    for cell in [cell for row in rows(section(README, "Commands")) for cell in code(row[0])]:
        words = cell.removeprefix("plumline ").split()
        known = [
            *main.commands,
            *(name for each in main.commands.values() for name in vars(each).get("commands", ())),
        ]
        assert set(words) <= set(known), cell


def test_the_readme_sets_up_with_two_commands_that_ci_uses_too() -> None:
    commands = re.findall(r"^    (python3 -m venv .*|\.venv/bin/pip .*)$", README.read_text(), re.M)
    assert commands == ["python3 -m venv .venv", ".venv/bin/pip install -q -r requirements-dev.txt"]
    script = (ROOT / ".ci/run").read_text()
    tests = re.findall(r"^    (\.venv/bin/python -m pytest.*)$", README.read_text(), re.M)
    assert len(tests) == 1
    for each in [*commands, *tests]:
        assert each in script


def test_the_readmes_command_runs_the_system_on_this_machine() -> None:
    (command,) = re.findall(r"^    \.venv/bin/python (-m plumline lab run)$", README.read_text(), re.M)
    got = run([sys.executable, *command.split(), "--seconds", "1", "--json"], ROOT)
    assert got.returncode == 0, got.stdout + got.stderr
    result = json.loads(got.stdout)
    assert result["good"] and result["read_back"] and result["breaches"] == []
    assert result["exits"] == {"core-1": 0, "edge-1": 0}


# --- tables


def documented(text: str) -> dict[str, tuple[str, bool, list[str]]]:
    """By key: what is allowed, whether it is needed, the cells that follow."""
    found = {code(row[0])[0]: (row[1], "(needed)" in row[0], row[2:]) for row in rows(text)}
    assert len(found) == len(rows(text))
    return found


def keys_of(schema: dict[Any, Any], prefix: str = "") -> Iterator[tuple[str, str, bool]]:
    """Key, allowed and needed of a schema's fields; of one's two ways of writing the first."""
    for key, rule in schema.items():
        if isinstance(rule, dict):
            yield from keys_of(rule, f"{key}.")
        elif not prefix or str(key)[0].isupper():
            yield f"{prefix}{key}", rule.allowed, isinstance(key, voluptuous.Required)


def test_every_setting_is_documented_as_it_is_checked() -> None:
    found = documented(section(CONFIGURATION, "Settings"))
    assert {key: (each[0], each[1]) for key, each in found.items()} == {
        key: (allowed, needed) for key, allowed, needed in keys_of(settings.SCHEMA.schema)
    }


@pytest.mark.parametrize(
    ("prefix", "kind"),
    [("", settings.Settings), ("Limits.", settings.MachineLimits), ("Bounds.", settings.Bounds)],
)
def test_the_defaults_of_settings_are_documented(prefix: str, kind: type) -> None:
    found = documented(section(CONFIGURATION, "Settings"))
    names = {
        f"{prefix}{''.join(part.capitalize() for part in each.name.split('_'))}": each
        for each in fields(kind)
    }
    compared = 0
    for key, field in names.items():
        if key not in found:
            assert kind is settings.Settings, key
            continue
        default = "" if field.default in (MISSING, None, "", ()) else str(field.default)
        assert found[key][2][0] == (default.lower() if isinstance(field.default, bool) else default), key
        compared += 1
    assert compared > 5


@pytest.mark.parametrize("name", SCHEMAS)
def test_every_key_of_a_configuration_is_documented_as_it_is_checked(name: str) -> None:
    found = documented(section(CONFIGURATION, name))
    assert {key: (each[0], each[1]) for key, each in found.items()} == {
        key: (allowed, needed) for key, allowed, needed in keys_of(SCHEMAS[name]._schema.schema)
    }


def sources() -> str:
    parts = [path for path in (ROOT / "plumline").rglob("*.py") if "lab" not in path.parts]
    return "\n".join(path.read_text() for path in parts)


def test_the_log_events_are_those_of_the_program() -> None:
    events = {code(row[0])[0] for row in rows(section(OPERATING, "Log lines"))}
    assert events == set(re.findall(r'logs\.event\(\s*"([a-z-]+)"', sources()))


def test_the_documented_counters_are_counted() -> None:
    text = sources()
    for name in [name for row in rows(section(OPERATING, "Counters")) for name in code(row[0])]:
        plain = re.sub(r"^(request-answered-).xx$", r"\1", name).removesuffix(".CODE")
        part = re.sub(r"^(request-|send-|feed\.left\.|operators\.)", "", plain)
        assert re.search(rf'["-]{re.escape(part)}["{{-]|"{re.escape(plain)}[."]', text), name


def test_the_exit_codes_are_those_of_the_program() -> None:
    cli = importlib.import_module("plumline.cli")
    codes = {int(row[0]) for row in rows(section(OPERATING, "Exit codes"))}
    assert codes == {0, 2} | {value for name, value in vars(cli).items() if name.startswith("EXIT_")}


# --- package and checks


def test_the_package_holds_all_parts_and_the_command() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    module, _, name = project["scripts"]["plumline"].partition(":")
    assert getattr(importlib.import_module(module), name) is main
    pinned = [line for line in (ROOT / "requirements.txt").read_text().split("\n") if line]
    assert sorted(project["dependencies"]) == sorted(pinned)
    for package in ("plumline", "message_sender"):
        folders = {path.parent for path in (ROOT / package).rglob("*.py")}
        assert [str(each) for each in folders if not (each / "__init__.py").exists()] == []


def checkout(folder: Path, known_red: str) -> None:
    """A small checkout with .ci/run, a ready environment and three tests, of which one fails."""
    (folder / ".ci").mkdir()
    (folder / ".ci/run").write_bytes((ROOT / ".ci/run").read_bytes())
    (folder / ".ci/run").chmod(0o755)
    (folder / ".venv/bin").mkdir(parents=True)
    for name in ("requirements.txt", "requirements-dev.txt"):
        (folder / name).write_text("")
    (folder / ".venv/installed").write_text("")
    (folder / ".venv/installed-dev").write_text("")
    (folder / "bin").mkdir()
    for name, body in (
        (".venv/bin/python", f'exec {sys.executable} "$@"'),
        (".venv/bin/ruff", "exit 0"),
        ("bin/nproc", "echo 1"),  # one worker for three tests: six took half a minute on a busy machine
    ):
        (folder / name).write_text(f"#!/bin/sh\n{body}\n")
        (folder / name).chmod(0o755)
    (folder / "tests").mkdir()
    (folder / "tests/test_it.py").write_text(
        "def test_well():\n    pass\n\ndef test_ill():\n    assert False\n\ndef test_well_too():\n    pass\n"
    )
    if known_red:
        (folder / "KNOWN-RED.txt").write_text(known_red)


@pytest.mark.parametrize(
    ("known_red", "status", "said"),
    [
        ("", 1, "1 failed, 2 passed"),
        ("tests/test_it.py::test_ill: it is ill, 12\n", 0, "\n2 passed in "),
        (
            "tests/test_it.py::test_ill: it is ill, 12",
            0,
            "known red, passed over: tests/test_it.py::test_ill: it",
        ),
        ("tests/test_it.py::test_ill\n", 1, "not a line of"),
        ("tests/test_it.py::test_gone: it was, 12\n", 1, "there is no test tests/test_it.py::test_gone"),
        (
            "tests/test_it.py::test_well: it is ill, 12\n",
            1,
            "would pass over tests/test_it.py::test_well_too",
        ),
    ],
    ids=["none", "named", "printed", "malformed", "gone", "more-than-one"],
)
def test_ci_passes_over_just_the_tests_that_known_red_names(
    tmp_path: Path, known_red: str, status: int, said: str
) -> None:
    checkout(tmp_path, known_red)
    path = f"{tmp_path / 'bin'}:{os.environ['PATH']}"
    got = run([str(tmp_path / ".ci/run")], tmp_path, PATH=path, PYTEST_ADDOPTS="-p no:cacheprovider")
    assert (got.returncode, said in got.stdout + got.stderr) == (status, True), got.stdout + got.stderr
