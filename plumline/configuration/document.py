"""The operator's configuration as a document: parsing the JSON, and the digest of a change.

A document is the dict of its JSON, stored as sent: unknown fields are preserved.
"""

import hashlib
import json
import math
from typing import Any

import ormsgpack

from plumline.errors import ConfigurationInvalidError

Document = dict[str, Any]

SECTIONS = ("Routes", "Services", "Tenants")
MAX_NESTING = 64  # levels; far more than any configuration has, far fewer than frames can carry


def parse_document(raw: bytes) -> Document:
    """The JSON object in `raw` (UTF-8).

    Raises ConfigurationInvalidError unless all of it can be parsed and stored: strict JSON without
    duplicate keys, finite numbers, integers of 64 bits, at most MAX_NESTING levels.
    """
    try:
        document = json.loads(
            raw.decode("utf-8"),
            object_pairs_hook=_object_without_repeated_keys,
            parse_float=_finite_number,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise ConfigurationInvalidError(f"the body can't be read as JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigurationInvalidError("the body: not allowed; allowed: a JSON object")
    if _is_nested_deeper_than(document, MAX_NESTING):
        raise ConfigurationInvalidError(f"the body: nested too deep; allowed: up to {MAX_NESTING} levels")
    try:
        ormsgpack.packb(document)
    except ormsgpack.MsgpackEncodeError as error:  # integers over 64 bits, unpaired surrogates
        raise ConfigurationInvalidError(f"the body holds what can't be kept: {error}") from error
    return document


def _object_without_repeated_keys(pairs: list[tuple[str, Any]]) -> Document:
    result = dict(pairs)
    if len(result) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"an object names a key twice: {repeated}")
    return result


def _finite_number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {text[:40]} is too large")
    return value


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is no number of JSON")


def _is_nested_deeper_than(document: Document, max_levels: int) -> bool:
    containers: list[Any] = [document]
    for _ in range(max_levels):
        inner_containers: list[Any] = []
        for container in containers:
            values = container.values() if type(container) is dict else container
            inner_containers += [value for value in values if type(value) is dict or type(value) is list]
        if not inner_containers:
            return False
        containers = inner_containers
    return True


def change_digest(kind: str, based_on: int, body: Document) -> str:
    """SHA-256 in hex of a change in canonical form (sorted keys), which identifies an exact repeat.

    Raises ConfigurationInvalidError for a body that can't be encoded.
    """
    # MessagePack distinguishes 1 from 1.0 and true as JSON does, and takes a sixth of the time.
    try:
        packed = ormsgpack.packb([kind, based_on, body], option=ormsgpack.OPT_SORT_KEYS)
    except ormsgpack.MsgpackEncodeError as error:
        raise ConfigurationInvalidError(f"the change holds what can't be kept: {error}") from error
    return hashlib.sha256(packed).hexdigest()


def normalized_host(host: str) -> str:
    """A host name in the form used for comparison: without port, in lower case."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()


def section_items(document: Document, section: str) -> list[Any]:
    """The items of a section of an unvalidated document; empty if the section is not a list."""
    items = document.get(section)
    return items if isinstance(items, list) else []
