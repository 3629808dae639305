"""Checks of files: each finds every fault at once and names key, value and what is allowed."""

import re
from collections.abc import Callable
from typing import Any

from plumline.configuration.document import parse_document
from plumline.configuration.validation import validate
from plumline.errors import PlumlineError


def read_file(path: str) -> bytes:
    """The whole content of the file."""
    with open(path, "rb") as file:
        return file.read()


def whole_document(path: str) -> dict[str, Any]:
    """The valid configuration in the file; ConfigurationInvalidError names every fault."""
    found = parse_document(read_file(path))
    validate(found)
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
