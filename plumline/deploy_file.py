"""Validates the deploy file: its keys, the packages that its build needs, and its roles.

A role is a program that runs on one class of machines, either on a share of them or on a fixed number.
"""

import re
import shlex
import tomllib
from collections.abc import Iterator, Mapping
from typing import Any

from plumline.configuration.rules import (
    BOOLEAN,
    NAME,
    OBJECT,
    ObjectSchema,
    Rule,
    fault_line,
    integer,
    list_of,
)

MACHINE_CLASSES = ("edge", "core")
CALLERS = ("edge", "control_plane")
MAX_ROLES_ON_A_MACHINE = 2

# Debian packages that provide each program a build may call. `python3 -m pip` downloads over HTTPS and
# therefore needs ca-certificates.
PROGRAM_PACKAGES: Mapping[str, tuple[str, ...]] = {
    "python3": ("python3",),
    "python3 -m pip": ("python3", "python3-pip", "ca-certificates"),
}
# Keywords and builtins of the shell, which is one of Debian's essential packages and always installed.
SHELL_BUILTINS = frozenset(
    "[ : ! cd do done echo elif else exit export fi for if set test then true false while".split()
)
REDIRECTIONS = "<>"
SEPARATORS = "();|&\n" + REDIRECTIONS

PACKAGE_NAME = Rule(
    "the name of a Debian package",
    lambda value: isinstance(value, str) and re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", value) is not None,
)
DEPLOY_FILE_SCHEMA = ObjectSchema({"build": NAME, "packages": list_of(PACKAGE_NAME), "roles": OBJECT}, {})
ROLE_SCHEMA = ObjectSchema(
    {
        "run": Rule(
            "a program and its arguments", lambda value: isinstance(value, str) and bool(value.split())
        ),
        "on": Rule("'edge' or 'core'", lambda value: value in MACHINE_CLASSES),
    },
    {
        "share": Rule(
            "a number above 0, at most 1", lambda value: type(value) in (int, float) and 0 < value <= 1
        ),
        "count": integer(1),
        "apart": BOOLEAN,
        "serves": list_of(Rule("'edge' or 'control_plane'", lambda value: value in CALLERS)),
    },
)

Role = dict[str, Any]  # the table of one role in the deploy file


def deploy_faults(raw: bytes) -> list[str]:
    """Every fault of a deploy file: in its keys and packages first, then conflicts between its roles."""
    try:
        deploy = tomllib.loads(raw.decode("utf-8"))
    except ValueError as error:
        return [f"the file can't be read as TOML: {error}"]
    faults = DEPLOY_FILE_SCHEMA.faults(deploy)
    if not faults:
        faults += package_faults(deploy["build"], deploy["packages"])
    roles = deploy.get("roles")
    valid_roles: dict[str, Role] = {}
    for name, role in roles.items() if isinstance(roles, dict) else ():
        role_faults = _role_faults(f"roles.{name}", role)
        if not role_faults:
            valid_roles[name] = role
        faults += role_faults
    for machine_class in MACHINE_CLASSES:
        roles_of_class = {name: role for name, role in valid_roles.items() if role["on"] == machine_class}
        faults += _machine_class_faults(machine_class, roles_of_class)
    return faults


def package_faults(build: str, packages: list[str]) -> list[str]:
    """Faults for programs of the build line that no listed package provides, and for repeated packages."""
    faults: list[str] = []
    if len(set(packages)) < len(packages):
        faults.append(fault_line("packages", packages, "a list that names each package once"))
    try:
        programs = dict.fromkeys(programs_called(build))
    except ValueError as error:
        return [*faults, fault_line("build", build, f"a line that a shell can read ({error})")]
    for program in programs:
        if program not in PROGRAM_PACKAGES:
            known = ", ".join(PROGRAM_PACKAGES)
            faults.append(fault_line("build", program, f"a program whose package is declared: {known}"))
            continue
        for package in PROGRAM_PACKAGES[program]:
            if package not in packages:
                faults.append(
                    fault_line("packages", packages, f"a list with {package!r}, for {program!r} of build")
                )
    return faults


def programs_called(build: str) -> Iterator[str]:
    """The programs that the shell text calls; a Python module includes its interpreter, as `python3 -m pip`.

    Quoted text is not searched. Raises ValueError if a quotation is not closed.
    """
    tokens = shlex.shlex(build, posix=True, punctuation_chars=SEPARATORS)
    tokens.whitespace = " \t\r"
    tokens.whitespace_split = True
    command: list[str] = []
    is_redirection_target = False  # whether the next token is the file name of a redirection
    for token in [*tokens, ";"]:
        if set(token) <= set(SEPARATORS):
            is_redirection_target = bool(set(token) & set(REDIRECTIONS))
            if not is_redirection_target:
                yield from _program_of(command)
                command = []
        elif is_redirection_target:
            is_redirection_target = False
        else:
            command.append(token)


def _program_of(command: list[str]) -> Iterator[str]:
    """The program that one command calls; none for shell builtins and assignments."""
    while command and (re.match(r"\w+=", command[0]) or command[0] in ("if", "then", "else", "do", "!")):
        command = command[1:]
    if not command or command[0] in SHELL_BUILTINS:
        return
    if command[0] == "python3" and command[1:2] == ["-m"] and len(command) > 2:
        yield " ".join(command[:3])
    else:
        yield command[0]


def _role_faults(key: str, role: object) -> list[str]:
    """The faults of one role's table; `key` is its path in the file."""
    if not isinstance(role, dict):
        return [fault_line(key, role, OBJECT.allowed)]
    faults = ROLE_SCHEMA.faults(role, key)
    if not faults and ("share" in role) == ("count" in role):
        faults.append(fault_line(f"{key}.share", role.get("share"), "one of share and count"))
    return faults


def _machine_class_faults(machine_class: str, roles: dict[str, Role]) -> list[str]:
    """Conflicts between the roles on one class of machines."""
    key = f"roles on {machine_class}"
    faults: list[str] = []
    for caller in CALLERS:
        serving = [name for name, role in roles.items() if caller in role.get("serves", ())]
        if len(serving) > 1:
            faults.append(fault_line(key, serving, f"one role that serves {caller!r}"))
    for apart in (False, True):  # False: the first machine of a zone; True: the last
        on_same_machine = [
            name
            for name, role in roles.items()
            if role.get("apart", False) is apart or role.get("share") == 1
        ]
        if len(on_same_machine) > MAX_ROLES_ON_A_MACHINE:
            faults.append(fault_line(key, on_same_machine, "up to two roles on a machine"))
            break
    return faults
