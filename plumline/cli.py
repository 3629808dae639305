"""The command line: roles, checks and operators' tools are subcommands of one program.

Each subcommand imports what it needs when it runs, to keep the start of a router short.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn

import click

from plumline import __version__, logs
from plumline.errors import ConfigurationInvalidError, PlumlineError

if TYPE_CHECKING:
    from plumline.lab.local import Result
    from plumline.wire.calls import Answer

EXIT_FAULTS = 1  # a check found faults, a diff is not empty, a call was refused, or a lab run failed
EXIT_UNAVAILABLE = 69  # EX_UNAVAILABLE of sysexits.h: no registrar gave a clear answer
EXIT_FAILED = 70  # EX_SOFTWARE: a role ended with a typed error, such as a damaged store
EXIT_SETTINGS = 78  # EX_CONFIG: the settings are invalid

Address = tuple[str, int]
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON value, for scripts.")
FILE_ARGUMENT = click.argument("path", metavar="FILE", type=click.Path(exists=True, dir_okay=False))


@click.group()
@click.version_option(__version__, prog_name="plumline")
@click.option("--log-level", default="INFO", show_default=True, help="DEBUG, INFO, WARNING or ERROR.")
def main(log_level: str) -> None:
    """A router fleet with a prefix-cache index, and the replicated core that coordinates it."""
    logs.configure(log_level)


# Roles.


def run_role(role: str) -> None:
    """Runs the role until it ends; exits with an error status if the settings or the role fail."""
    from plumline import settings
    from plumline.process_signals import run_and_block_signals

    try:
        loaded = settings.from_environment()
    except PlumlineError as error:
        exit_with_error(error, EXIT_SETTINGS)
    if role == "router":
        from plumline.router.process import run
    else:
        from plumline.registrar.process import run
    try:
        file = settings.SettingsFile(os.environ.get(settings.SETTINGS_VARIABLE))
        asyncio.run(run_and_block_signals(run(loaded, file)))
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAILED)


def exit_with_error(error: PlumlineError, status: int) -> NoReturn:
    """Prints the error and exits with the status."""
    click.echo(f"{error.code}: {error.text}", err=True)
    sys.exit(status)


@main.command()
def router() -> None:
    """Serves clients; settings are in the file that PLUMLINE_BOOT names."""
    run_role("router")


@main.command()
def registrar() -> None:
    """Keeps configuration, membership and leases; settings as for the router."""
    run_role("registrar")


# Checks. Each reports every fault, with the key, its value and the allowed values.


@main.group()
def check() -> None:
    """Checks a file and names every fault; exit 0: none, 1: some, 2: no such file."""


@check.command("settings")
@FILE_ARGUMENT
@JSON_OPTION
def check_settings(path: str, as_json: bool) -> None:
    """A process's settings file (TOML)."""
    from plumline import checks, settings

    report_faults(checks.collect_faults(settings.load, path), as_json)


@check.command("configuration")
@FILE_ARGUMENT
@JSON_OPTION
def check_configuration(path: str, as_json: bool) -> None:
    """A complete configuration (JSON), as `configuration replace` sends it."""
    from plumline import checks

    report_faults(checks.collect_faults(checks.load_configuration, path), as_json)


@check.command("deploy")
@FILE_ARGUMENT
@JSON_OPTION
def check_deploy(path: str, as_json: bool) -> None:
    """The system's deploy file (TOML): its build, its system packages, its roles and where they run."""
    from plumline import checks, deploy_file

    report_faults(deploy_file.deploy_faults(checks.read_file(path)), as_json)


def report_faults(faults: list[str], as_json: bool) -> None:
    """Prints the faults and exits with EXIT_FAULTS if there are any, else 0."""
    from plumline.checks import split_fault_line

    if as_json:
        click.echo(json.dumps({"valid": not faults, "faults": [split_fault_line(fault) for fault in faults]}))
    else:
        click.echo("\n".join(faults) or "no fault")
    sys.exit(EXIT_FAULTS if faults else 0)


# The operators' interface.


class AddressType(click.ParamType):
    """An IP:PORT option or argument."""

    name = "IP:PORT"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """The address as a (host, port) pair; fails with a usage error for other text."""
        from plumline.configuration.rules import ADDRESS, parse_address

        address = value if isinstance(value, tuple) else parse_address(value)
        return address or self.fail(f"{value!r} is not allowed; allowed: {ADDRESS.allowed}", param, ctx)


ADDRESS_OPTION = click.option(
    "--address",
    "addresses",
    type=AddressType(),
    multiple=True,
    required=True,
    help="A registrar's; may be given more than once.",
)
PATIENCE_OPTION = click.option(
    "--patience", type=click.FloatRange(min=0), default=20.0, show_default=True, help="Seconds to ask."
)
BASED_ON_OPTION = click.option(
    "--based-on",
    type=click.IntRange(min=0),
    required=True,
    help="The version that this change was made from; 0 for the first.",
)


@main.group()
def configuration() -> None:
    """Reads and changes the configuration; exit 0: done, 1: refused, 69: no clear answer."""


@configuration.command("read")
@ADDRESS_OPTION
@PATIENCE_OPTION
@JSON_OPTION
def configuration_read(addresses: tuple[Address, ...], patience: float, as_json: bool) -> None:
    """Shows the current configuration: a summary, or all of it with --json (API keys of tenants included)."""
    from plumline.operator_calls import listed_sections

    document = fetch_configuration(addresses, patience)
    if as_json:
        click.echo(json.dumps(document))
        return
    click.echo(f"version {document['Version']}")
    for section in listed_sections(document):
        names = [str(item.get("Name")) for item in document[section]]
        click.echo(f"{section} ({len(names)}): {', '.join(names)}")


@configuration.command("replace")
@FILE_ARGUMENT
@ADDRESS_OPTION
@BASED_ON_OPTION
@PATIENCE_OPTION
@JSON_OPTION
def configuration_replace(
    path: str, addresses: tuple[Address, ...], based_on: int, patience: float, as_json: bool
) -> None:
    """Replaces the whole configuration. The file is validated here before it is sent."""
    from plumline.checks import load_configuration

    submit_change("configuration_replace", load_configuration, path, addresses, based_on, patience, as_json)


@configuration.command("amend")
@FILE_ARGUMENT
@ADDRESS_OPTION
@BASED_ON_OPTION
@PATIENCE_OPTION
@JSON_OPTION
def configuration_amend(
    path: str, addresses: tuple[Address, ...], based_on: int, patience: float, as_json: bool
) -> None:
    """Changes items by name: Version, Upserts and Removals. The core validates the result."""
    from plumline import checks
    from plumline.configuration.document import parse_document

    def load_amendment(path: str) -> dict[str, Any]:
        return parse_document(checks.read_file(path))

    submit_change("configuration_amend", load_amendment, path, addresses, based_on, patience, as_json)


@configuration.command("diff")
@FILE_ARGUMENT
@ADDRESS_OPTION
@PATIENCE_OPTION
@JSON_OPTION
def configuration_diff(path: str, addresses: tuple[Address, ...], patience: float, as_json: bool) -> None:
    """Shows what `replace` with FILE would change; exit 0: nothing, 1: something. API keys stay hidden."""
    import dataclasses

    from plumline.checks import load_configuration
    from plumline.operator_calls import differences, format_value

    try:
        proposed = load_configuration(path)
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAULTS)
    changed_fields = list(differences(fetch_configuration(addresses, patience), proposed))
    if as_json:
        changes = [dataclasses.asdict(difference) for difference in changed_fields]
        click.echo(json.dumps({"same": not changed_fields, "changes": changes}))
    else:
        for difference in changed_fields:
            click.echo(
                f"{difference.key}: {format_value(difference.before)} -> {format_value(difference.after)}"
            )
    sys.exit(EXIT_FAULTS if changed_fields else 0)


def fetch_configuration(addresses: tuple[Address, ...], patience: float) -> dict[str, Any]:
    """The current configuration; exits if there is none or no registrar answers."""
    from plumline.operator_calls import error_summary

    answer = call_registrars(addresses, "configuration_read", None, None, patience)
    if answer.status != 200 or not isinstance(answer.json, dict):
        click.echo(f"answered {answer.status} {error_summary(answer)}", err=True)
        sys.exit(EXIT_FAULTS)
    return answer.json


def submit_change(
    call: str,
    load: Callable[[str], dict[str, Any]],
    path: str,
    addresses: tuple[Address, ...],
    based_on: int,
    patience: float,
    as_json: bool,
) -> None:
    """Checks a file, sends it as a change, prints the result and exits."""
    from plumline.operator_calls import error_summary
    from plumline.wire.calls import BASED_ON_VERSION

    try:
        body = load(path)
    except ConfigurationInvalidError as error:
        exit_with_error(error, EXIT_FAULTS)
    answer = call_registrars(addresses, call, {BASED_ON_VERSION: str(based_on)}, body, patience)
    accepted = answer.status == 200
    if as_json:
        click.echo(json.dumps({"taken": accepted, "status": answer.status, "answer": answer.json}))
    elif accepted:
        click.echo(f"version {body['Version']} is in place")
    else:
        click.echo(f"refused with {answer.status} {error_summary(answer)}", err=True)
    sys.exit(0 if accepted else EXIT_FAULTS)


def call_registrars(
    addresses: tuple[Address, ...],
    call: str,
    headers: dict[str, str] | None,
    body: Any,  # noqa: ANN401
    patience: float,
) -> "Answer":
    """Calls the registrars in turn until one gives a final answer; exits if none does."""
    from plumline.operator_calls import call_until_answered

    try:
        return asyncio.run(call_until_answered(list(addresses), call, headers, body, patience))
    except PlumlineError as error:
        exit_with_error(error, EXIT_UNAVAILABLE)


# The lab.


@main.group()
def lab() -> None:
    """Runs the whole system on one machine, with simulated clients, engines and platform."""


@lab.command("run")
@click.option("--routers", type=click.IntRange(1, 50), default=1, show_default=True)
@click.option("--registrars", type=click.IntRange(1, 50), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=0.1), default=5.0, show_default=True, help="Of traffic.")
@click.option("--rate", type=click.FloatRange(min=0.1), default=12.0, show_default=True, help="A second.")
@click.option("--engines", type=click.IntRange(1, 100), default=3, show_default=True, help="Endpoints.")
@click.option("--speed", type=click.FloatRange(min=0.1), default=1.0, show_default=True, help="Of endpoints.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the requests.")
@JSON_OPTION
def lab_run(as_json: bool, **options: Any) -> None:  # noqa: ANN401
    """Starts real registrars and routers on loopback and sends requests; exit 0: no check failed, 1: some."""
    from plumline.lab import local

    try:
        result = asyncio.run(local.run(**options))
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAULTS)
    click.echo(json.dumps(result_as_json(result)) if as_json else local.table(result))
    sys.exit(0 if result.good else EXIT_FAULTS)


@lab.command("flood")
@click.option("--routers", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=1), default=12.0, show_default=True, help="Of traffic.")
@click.option("--times", type=click.FloatRange(min=1), default=8.0, show_default=True, help="The usual rate.")
@click.option("--bound", type=click.FloatRange(0, 1), default=0.9, show_default=True, help="Victims in time.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the requests.")
@JSON_OPTION
def lab_flood(as_json: bool, **options: Any) -> None:  # noqa: ANN401
    """One tenant floods all routers; how many of the others' answers are in time without and with a reserved
    share. Exit 0: with it, at least --bound of them and no rule broken; 1: not."""
    from plumline.lab import flood

    try:
        report = asyncio.run(flood.compare(**options))
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAULTS)
    click.echo(json.dumps(report.parts()) if as_json else report.text())
    sys.exit(0 if report.good else EXIT_FAULTS)


@lab.command("soak")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True, help="How many.")
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option("--routers", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option("--registrars", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--clients", type=click.IntRange(1, 500), default=24, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=5), default=20.0, show_default=True, help="Of traffic.")
@click.option("--faults", is_flag=True, help="Also kills, freezes and a lost disk.")
@click.option(
    "--logs", type=click.Path(file_okay=False), help="Keeps the output of processes of broken seeds."
)
def lab_soak(seeds: int, first_seed: int, logs: str | None, **size: Any) -> None:  # noqa: ANN401
    """Stops, restarts and changes real processes while clients keep using their connections; exit 0: no
    request was lost and no other rule broken, 1: not."""
    from pathlib import Path

    from plumline.lab.soak.runner import SoakSize, run_seeds

    log_directory = Path(logs) if logs else None
    try:
        results = asyncio.run(
            run_seeds(range(first_seed, first_seed + seeds), SoakSize(**size), log_directory)
        )
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAULTS)
    broken = [result.seed for result in results if not result.good]
    click.echo(f"{len(results)} seeds, {len(broken)} broken{': ' if broken else ''}{broken or ''}")
    sys.exit(EXIT_FAULTS if broken else 0)


@lab.command("configure")
@click.option("--changes", type=click.IntRange(1, 10_000_000), default=1000, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of the changes.")
@click.option("--report", type=click.Path(dir_okay=False, writable=True), help="Also writes JSON there.")
@JSON_OPTION
def lab_configure(changes: int, seed: int, report: str | None, as_json: bool) -> None:
    """Compares routers after random configuration changes with an independent evaluation of the document.

    Exit 0: equal, 1: not. An interrupted run reports its results so far.
    """
    from pathlib import Path

    from plumline.lab.differential.check import run_check

    logs.configure("WARNING")  # routers log each new configuration
    result = run_check(seed, changes)
    if report is not None:
        Path(report).write_text(json.dumps(result.parts(), indent=1) + "\n")
    click.echo(json.dumps(result.parts()) if as_json else result.text())
    sys.exit(0 if result.good else EXIT_FAULTS)


@lab.command("upgrade")
@click.argument("old", type=click.Path(exists=True, file_okay=False))
@click.argument("new", type=click.Path(exists=True, file_okay=False))
@click.option("--routers", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option("--registrars", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--clients", type=click.IntRange(1, 500), default=24, show_default=True)
@click.option("--logs", type=click.Path(file_okay=False), help="Keeps the output if a rule is broken.")
def lab_upgrade(old: str, new: str, logs: str | None, **size: int) -> None:
    """Rolls the registrars and a third of the routers from the checkout OLD to NEW and back, under load; exit
    0: nothing was lost, 1: something was."""
    from dataclasses import replace
    from pathlib import Path

    from plumline.lab.soak.runner import SoakSize
    from plumline.lab.soak.upgrade import run_upgrade, upgrade_seconds

    requested = SoakSize(**size)
    planned = replace(requested, seconds=upgrade_seconds(requested))
    try:
        result = asyncio.run(run_upgrade(Path(old), Path(new), planned, Path(logs) if logs else None))
    except PlumlineError as error:
        exit_with_error(error, EXIT_FAULTS)
    click.echo(result.text())
    sys.exit(0 if result.good else EXIT_FAULTS)


def result_as_json(result: "Result") -> dict[str, Any]:
    """The result as JSON values; a time that was not measured is null."""
    from plumline.lab.clients import summary

    rows = summary(result.tallies)
    classes = [{key: None if value != value else value for key, value in row.items()} for row in rows]
    return {
        "good": result.good,
        "ready_s": result.ready_s,
        "acknowledged_s": result.acknowledged_s,
        "read_back": result.read_back,
        "exits": result.exits,
        "calls": result.calls,
        "classes": classes,
        "breaches": [
            {"rule": breach.rule, "id": breach.id, "text": breach.text} for breach in result.breaches
        ],
    }
