"""Checks of files for the command line: each finds every fault at once."""

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
    """The valid configuration in the file. Raises OSError; ConfigurationInvalidError with every fault."""
    document = parse_document(read_file(path))
    validate(document)
    return document


def collect_faults(load: Callable[[str], object], path: str) -> list[str]:
    """The faults, a line each, for which `load` rejects the file; none if it loads."""
    try:
        load(path)
    except PlumlineError as error:
        return error.text.split("\n")
    return []


def split_fault_line(line: str) -> dict[str, str]:
    """A fault's text, and its key, value and allowed values; of a line of another form the text alone."""
    found = _FAULT_LINE.fullmatch(line)
    return {"text": line, **(found.groupdict() if found else {})}
