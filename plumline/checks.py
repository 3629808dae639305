"""File checks of the command line; each reports every fault."""

import re
from collections.abc import Callable
from pathlib import Path

from plumline.configuration.document import Document, parse_document
from plumline.configuration.validation import validate
from plumline.errors import PlumlineError

_FAULT_LINE = re.compile(r"(?P<key>.*?): (?P<value>.*) is not allowed; allowed: (?P<allowed>.*)")


def read_file(path: str) -> bytes:
    """The contents of the file. Raises OSError."""
    return Path(path).read_bytes()


def load_configuration(path: str) -> Document:
    """Loads and validates a configuration. Raises OSError, or ConfigurationInvalidError with every fault."""
    document = parse_document(read_file(path))
    validate(document)
    return document


def collect_faults(load: Callable[[str], object], path: str) -> list[str]:
    """The faults for which `load` rejects the file, one line each; empty if it loads."""
    try:
        load(path)
    except PlumlineError as error:
        return error.text.split("\n")
    return []


def split_fault_line(line: str) -> dict[str, str]:
    """Splits a fault line into key, value and allowed values; a line of another form has its text alone."""
    match = _FAULT_LINE.fullmatch(line)
    return {"text": line, **(match.groupdict() if match else {})}
