"""The command line: one program; a role, a check or an operator's tool is a subcommand of it.

What a subcommand does not need is not imported: a router's start is paid for.
"""

import asyncio
import json
import os
import re
import sys
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING, Any, NoReturn

import click

from plumline import __version__, logs
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError

if TYPE_CHECKING:
    from plumline.lab.local import Result
    from plumline.wire.calls import Answer

EXIT_FAULTS = 1  # what was checked, sent or played is not in order
EXIT_UNAVAILABLE = 69  # as sysexits' EX_UNAVAILABLE: no registrar gave a clear answer
EXIT_FAILED = 70  # as EX_SOFTWARE: a role ended by a fault with a code, as a damaged store
EXIT_SETTINGS = 78  # as EX_CONFIG

Address = tuple[str, int]
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON value, for scripts.")
FILE = click.argument("path", metavar="FILE", type=click.Path(exists=True, dir_okay=False))


@click.group()
@click.version_option(__version__, prog_name="plumline")
@click.option("--log-level", default="INFO", show_default=True, help="DEBUG, INFO, WARNING or ERROR.")
def main(log_level: str) -> None:
    """A router fleet with an index of kept prompts, and the core that runs it."""
    logs.configure(log_level)


# Roles.


def run_role(role: str) -> None:
    from plumline import settings

    try:
        loaded = settings.from_environment()
    except PlumlineError as error:
        stop(error, EXIT_SETTINGS)
    if role == "router":
        from plumline.router.app import run
    else:
        from plumline.registrar.app import run
    try:
        asyncio.run(run(loaded, settings.SettingsFile(os.environ.get(settings.VARIABLE))))
    except PlumlineError as error:
        stop(error, EXIT_FAILED)


def stop(error: PlumlineError, status: int) -> NoReturn:
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


# Checks. Each finds every fault at once and names key, value and what is allowed.


@main.group()
def check() -> None:
    """Checks a file and names every fault; exit 0: none, 1: some, 2: no such file."""


@check.command("settings")
@FILE
@AS_JSON
def check_settings(path: str, as_json: bool) -> None:
    """A process's settings file (TOML)."""
    from plumline import settings

    report_faults(faults_by(settings.load, path), as_json)


@check.command("configuration")
@FILE
@AS_JSON
def check_configuration(path: str, as_json: bool) -> None:
    """A whole configuration (JSON), as `configuration replace` sends it."""
    report_faults(faults_by(whole_document, path), as_json)


@check.command("deploy")
@FILE
@AS_JSON
def check_deploy(path: str, as_json: bool) -> None:
    """The system's deploy file (TOML): its build, its roles and where they run."""
    report_faults(deploy_faults(read_file(path)), as_json)


def read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def whole_document(path: str) -> dict[str, Any]:
    """The valid configuration in the file; ConfigurationInvalidError names every fault."""
    from plumline.configuration import document

    found = document.parse(read_file(path))
    document.check(found)
    return found


def faults_by(test: Callable[[str], Any], path: str) -> list[str]:
    """The faults, a line each, that `test` raises for the file."""
    try:
        test(path)
    except PlumlineError as error:
        return error.text.split("\n")
    return []


def report_faults(faults: list[str], as_json: bool) -> None:
    """Prints the faults and ends with the exit code that belongs to them."""
    if as_json:
        click.echo(json.dumps({"valid": not faults, "faults": [fault_parts(each) for each in faults]}))
    else:
        click.echo("\n".join(faults) or "no fault")
    sys.exit(EXIT_FAULTS if faults else 0)


def fault_parts(line: str) -> dict[str, str]:
    """A fault's key, value and allowed values apart; one of another form as its text alone."""
    found = re.fullmatch(r"(?P<key>.*?): (?P<value>.*) is not allowed; allowed: (?P<allowed>.*)", line)
    return {"text": line, **(found.groupdict() if found else {})}


def deploy_faults(raw: bytes) -> list[str]:
    """Every fault of a deploy file: its keys, then what no class of machines can bear."""
    import tomllib

    from plumline.configuration import FLAG, NAME, TABLE, Rule, Shape, every, fault, whole

    sides = Rule("'edge' or 'core'", lambda v: v in ("edge", "core"))
    called = Rule("'edge' or 'control_plane'", lambda v: v in ("edge", "control_plane"))
    share = Rule("a number above 0, at most 1", lambda v: type(v) in (int, float) and 0 < v <= 1)
    command = Rule("a program and its arguments", lambda v: isinstance(v, str) and bool(v.split()))
    top = Shape({"build": NAME, "roles": TABLE}, {})
    role = Shape(
        {"run": command, "on": sides},
        {"share": share, "count": whole(1), "apart": FLAG, "serves": every(called)},
    )
    try:
        document = tomllib.loads(raw.decode("utf-8"))
    except ValueError as error:
        return [f"the file can't be read as TOML: {error}"]
    faults = top.faults(document)
    roles = document.get("roles")
    sound: dict[str, dict[str, Any]] = {}
    for name, each in roles.items() if isinstance(roles, dict) else ():
        key = f"roles.{name}"
        found = role.faults(each, key) if isinstance(each, dict) else [fault(key, each, TABLE.allowed)]
        if not found and ("share" in each) == ("count" in each):
            found.append(fault(f"{key}.share", each.get("share"), "one of share and count"))
        if not found:
            sound[name] = each
        faults += found
    for side in ("edge", "core"):
        here = {name: each for name, each in sound.items() if each["on"] == side}
        for what in ("edge", "control_plane"):
            serving = [name for name, each in here.items() if what in each.get("serves", ())]
            if len(serving) > 1:
                faults.append(fault(f"roles on {side}", serving, f"one role that serves {what!r}"))
        for apart in (False, True):  # the first and the last machine of a zone
            crowd = [
                name
                for name, each in here.items()
                if each.get("apart", False) is apart or each.get("share") == 1
            ]
            if len(crowd) > 2:
                faults.append(fault(f"roles on {side}", crowd, "up to two roles on a machine"))
                break
    return faults


# The operators' interface.

FINAL = {400, 409, 412, 413, 422}
PASSING = {408, 429}
REDIRECTS = 2
REFUSALS = 3  # a 4xx that is neither final nor passing stops the call at this one
SILENCE_S = 1.0  # s to wait for an answer, and one more for each MB that goes out
PAUSE_S, LONGEST_PAUSE_S = 0.05, 1.0


class NoClearAnswerError(UnavailableError):
    """No registrar has said yes or no; the call may be repeated unchanged."""

    code = "no-clear-answer"


async def settle(
    addresses: list[Address],
    call: str,
    headers: dict[str, str] | None = None,
    body: Any = None,  # noqa: ANN401
    patience_s: float = 20.0,
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> "Answer":
    """Sends a call of the table, unchanged, to one address after the other until it is clearly answered.

    NoClearAnswerError once `patience_s` seconds are over.
    """
    from plumline.wire.calls import Caller, CallFailedError

    loop, caller = asyncio.get_running_loop(), Caller()
    ends, refusals, tries, last = loop.time() + patience_s, 0, 0, "none"
    silence_s = SILENCE_S + (len(json.dumps(body)) / 1e6 if body is not None else 0.0)
    try:
        while True:
            address, path = addresses[tries % len(addresses)], ""
            try:
                for _ in range(REDIRECTS + 1):
                    answer = await caller.call(
                        call, address, headers=headers, body=body, path=path, timeout_s=silence_s
                    )
                    place = redirected(answer)
                    if place is None:
                        break
                    address, path = place
            except CallFailedError as error:
                last = error.text
            else:
                status, last = answer.status, str(answer.status)
                passing = status in PASSING or status >= 500 or 300 <= status < 400
                refusals += not passing and status >= 400
                if not passing and (status < 300 or status in FINAL or refusals >= REFUSALS):
                    return answer
            if loop.time() >= ends:
                raise NoClearAnswerError(f"no clear answer in {patience_s:g} s; the last: {last}")
            await pause(min(LONGEST_PAUSE_S, PAUSE_S * 2 ** min(tries, 10)))
            tries += 1
    finally:
        caller.close()


def redirected(answer: "Answer") -> tuple[Address, str] | None:
    """Address and path that a 307 names."""
    from plumline.configuration import address

    found = re.fullmatch(r"http://([^/]+)(/.*)", answer.headers.get("location", ""))
    place = address(found[1]) if found and answer.status == 307 else None
    return (place, found[2]) if found and place else None


class AddressType(click.ParamType):
    name = "IP:PORT"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        from plumline.configuration import ADDRESS, address

        found = value if isinstance(value, tuple) else address(value)
        return found or self.fail(f"{value!r} is not allowed; allowed: {ADDRESS.allowed}", param, ctx)


ADDRESSES = click.option(
    "--address",
    "addresses",
    type=AddressType(),
    multiple=True,
    required=True,
    help="A registrar's; may be given more than once.",
)
PATIENCE = click.option(
    "--patience", type=click.FloatRange(min=0), default=20.0, show_default=True, help="Seconds to ask."
)
BASED_ON = click.option(
    "--based-on",
    type=click.IntRange(min=0),
    required=True,
    help="The version that this change was made from; 0 for the first.",
)


@main.group()
def configuration() -> None:
    """Reads and changes the configuration; exit 0: done, 1: refused, 69: no clear answer."""


@configuration.command("read")
@ADDRESSES
@PATIENCE
@AS_JSON
def configuration_read(addresses: tuple[Address, ...], patience: float, as_json: bool) -> None:
    """The configuration in place: a summary, or all of it with --json (keys of tenants included)."""
    document = present(addresses, patience)
    if as_json:
        click.echo(json.dumps(document))
        return
    click.echo(f"version {document['Version']}")
    for section in listed_sections(document):
        names = [str(each.get("Name")) for each in document[section]]
        click.echo(f"{section} ({len(names)}): {', '.join(names)}")


@configuration.command("replace")
@FILE
@ADDRESSES
@BASED_ON
@PATIENCE
@AS_JSON
def configuration_replace(
    path: str, addresses: tuple[Address, ...], based_on: int, patience: float, as_json: bool
) -> None:
    """Puts a whole configuration in place. It is checked here before it is sent."""
    change("configuration_replace", whole_document, path, addresses, based_on, patience, as_json)


@configuration.command("amend")
@FILE
@ADDRESSES
@BASED_ON
@PATIENCE
@AS_JSON
def configuration_amend(
    path: str, addresses: tuple[Address, ...], based_on: int, patience: float, as_json: bool
) -> None:
    """Changes items by name: Version, Upserts and Removals. The core checks what comes of it."""
    from plumline.configuration import document

    def parsed(path: str) -> dict[str, Any]:
        return document.parse(read_file(path))

    change("configuration_amend", parsed, path, addresses, based_on, patience, as_json)


@configuration.command("diff")
@FILE
@ADDRESSES
@PATIENCE
@AS_JSON
def configuration_diff(path: str, addresses: tuple[Address, ...], patience: float, as_json: bool) -> None:
    """What a `replace` by FILE would change; exit 0: nothing, 1: something. Keys of tenants stay hidden."""
    try:
        wanted = whole_document(path)
    except PlumlineError as error:
        stop(error, EXIT_FAULTS)
    found = list(differences(present(addresses, patience), wanted))
    if as_json:
        click.echo(json.dumps({"same": not found, "changes": found}))
    else:
        for each in found:
            click.echo(f"{each['key']}: {shown(each['before'])} -> {shown(each['after'])}")
    sys.exit(EXIT_FAULTS if found else 0)


def present(addresses: tuple[Address, ...], patience: float) -> dict[str, Any]:
    """The configuration in place; ends the program if there is none or nobody tells."""
    answer = ask(addresses, "configuration_read", None, None, patience)
    if answer.status != 200 or not isinstance(answer.json, dict):
        click.echo(f"answered {answer.status} {told(answer)}", err=True)
        sys.exit(EXIT_FAULTS)
    return answer.json


def change(
    call: str,
    load: Callable[[str], dict[str, Any]],
    path: str,
    addresses: tuple[Address, ...],
    based_on: int,
    patience: float,
    as_json: bool,
) -> None:
    from plumline.wire.calls import BASED_ON_VERSION

    try:
        body = load(path)
    except ConfigurationInvalidError as error:
        stop(error, EXIT_FAULTS)
    answer = ask(addresses, call, {BASED_ON_VERSION: str(based_on)}, body, patience)
    taken = answer.status == 200
    if as_json:
        click.echo(json.dumps({"taken": taken, "status": answer.status, "answer": answer.json}))
    elif taken:
        click.echo(f"version {body['Version']} is in place")
    else:
        click.echo(f"refused with {answer.status} {told(answer)}", err=True)
    sys.exit(0 if taken else EXIT_FAULTS)


def ask(
    addresses: tuple[Address, ...],
    call: str,
    headers: dict[str, str] | None,
    body: Any,  # noqa: ANN401
    patience: float,
) -> "Answer":
    try:
        return asyncio.run(settle(list(addresses), call, headers, body, patience))
    except PlumlineError as error:
        stop(error, EXIT_UNAVAILABLE)


def told(answer: "Answer") -> str:
    """Code and text of an error's answer."""
    body = answer.json if isinstance(answer.json, dict) else {}
    return f"{body.get('error', '')}: {body.get('text', '')}"


def listed_sections(document: dict[str, Any]) -> list[str]:
    """The sections that are lists of objects with names."""
    return [
        key
        for key, items in document.items()
        if isinstance(items, list) and all(isinstance(each, dict) and "Name" in each for each in items)
    ]


def differences(before: dict[str, Any], after: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Changed fields as {"key", "before", "after"}; null stands for what is not there."""
    named = set(listed_sections(before)) & set(listed_sections(after))
    for key in dict.fromkeys([*before, *after]):
        old, new = before.get(key), after.get(key)
        if key in named:
            old_items, new_items = ({each["Name"]: each for each in items} for items in (old, new))
            for name in dict.fromkeys([*old_items, *new_items]):
                yield from item_differences(f"{key}[{name}]", old_items.get(name), new_items.get(name))
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from item_differences(key, old, new)
        elif old != new:
            yield {"key": key, "before": hidden(old), "after": hidden(new)}


def item_differences(key: str, old: Any, new: Any) -> Iterator[dict[str, Any]]:  # noqa: ANN401
    if old is None or new is None:
        yield {"key": key, "before": hidden(old), "after": hidden(new)}
        return
    for field in dict.fromkeys([*old, *new]):
        if old.get(field) != new.get(field):
            before, after = (hidden({field: each.get(field)})[field] for each in (old, new))
            if field == "ApiKeys" and old.get(field) and new.get(field):
                after += f", {len(set(new[field]) - set(old[field]))} of them new"
            yield {"key": f"{key}.{field}", "before": before, "after": after}


def hidden(value: Any) -> Any:  # noqa: ANN401
    """The value with the number of keys in place of the keys, which are secrets."""
    if isinstance(value, list):
        return [hidden(each) for each in value]
    if isinstance(value, dict):
        return {
            key: f"{len(each)} keys" if key == "ApiKeys" and isinstance(each, list) else hidden(each)
            for key, each in value.items()
        }
    return value


def shown(value: Any) -> str:  # noqa: ANN401
    return "nothing" if value is None else json.dumps(value)


# The lab.


@main.group()
def lab() -> None:
    """The whole system on one machine, with stand-ins for what surrounds it."""


@lab.command("run")
@click.option("--routers", type=click.IntRange(1, 50), default=1, show_default=True)
@click.option("--registrars", type=click.IntRange(1, 50), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=0.1), default=5.0, show_default=True, help="Of traffic.")
@click.option("--rate", type=click.FloatRange(min=0.1), default=12.0, show_default=True, help="A second.")
@click.option("--engines", type=click.IntRange(1, 100), default=3, show_default=True, help="Endpoints.")
@click.option("--speed", type=click.FloatRange(min=0.1), default=1.0, show_default=True, help="Of endpoints.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the requests.")
@AS_JSON
def lab_run(as_json: bool, **how: Any) -> None:  # noqa: ANN401
    """Starts real registrars and routers on loopback and sends requests; exit 0: all well, 1: not."""
    from plumline.lab import local

    try:
        result = asyncio.run(local.run(**how))
    except PlumlineError as error:
        stop(error, EXIT_FAULTS)
    click.echo(json.dumps(result_parts(result)) if as_json else local.table(result))
    sys.exit(0 if result.good else EXIT_FAULTS)


@lab.command("flood")
@click.option("--routers", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=1), default=12.0, show_default=True, help="Of traffic.")
@click.option("--times", type=click.FloatRange(min=1), default=8.0, show_default=True, help="The usual rate.")
@click.option("--bound", type=click.FloatRange(0, 1), default=0.9, show_default=True, help="Victims in time.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the requests.")
@AS_JSON
def lab_flood(as_json: bool, **how: Any) -> None:  # noqa: ANN401
    """One tenant floods all routers; how many of the others' answers are in time without and with a reserved
    share. Exit 0: with it, at least --bound of them and no rule broken; 1: not."""
    from plumline.lab import flood

    try:
        found = asyncio.run(flood.compare(**how))
    except PlumlineError as error:
        stop(error, EXIT_FAULTS)
    click.echo(json.dumps(found.parts()) if as_json else found.text())
    sys.exit(0 if found.good else EXIT_FAULTS)


def result_parts(result: "Result") -> dict[str, Any]:
    """The result as plain values; a time that was not measured is null."""
    from plumline.lab.clients import summary

    rows = summary(result.tallies)
    classes = [{key: None if each != each else each for key, each in row.items()} for row in rows]
    return {
        "good": result.good,
        "ready_s": result.ready_s,
        "acknowledged_s": result.acknowledged_s,
        "read_back": result.read_back,
        "exits": result.exits,
        "calls": result.calls,
        "classes": classes,
        "breaches": [{"rule": each.rule, "id": each.id, "text": each.text} for each in result.breaches],
    }
