"""Checks of files: each finds every fault at once and names key, value and what is allowed."""

import re
import tomllib
from collections.abc import Callable
from typing import Any

from plumline.configuration import FLAG, NAME, TABLE, Rule, Shape, document, every, fault, whole
from plumline.errors import PlumlineError


def read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def whole_document(path: str) -> dict[str, Any]:
    """The valid configuration in the file; ConfigurationInvalidError names every fault."""
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


def fault_parts(line: str) -> dict[str, str]:
    """A fault's key, value and allowed values apart; one of another form as its text alone."""
    found = re.fullmatch(r"(?P<key>.*?): (?P<value>.*) is not allowed; allowed: (?P<allowed>.*)", line)
    return {"text": line, **(found.groupdict() if found else {})}


def deploy_faults(raw: bytes) -> list[str]:
    """Every fault of a deploy file: its keys, then what no class of machines can bear."""
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
        deploy = tomllib.loads(raw.decode("utf-8"))
    except ValueError as error:
        return [f"the file can't be read as TOML: {error}"]
    faults = top.faults(deploy)
    roles = deploy.get("roles")
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
