"""Rules for single values and objects, which validate configurations, settings and deploy files.

A rule describes what it allows in a text for the operator; docs/configuration.md uses the same text. Each
violation is reported as one line: key, value, and what is allowed.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import voluptuous

MAX_INTEGER = 2**63 - 1  # largest integer that a frame can carry
MAX_PORT = 65535
MAX_SHOWN_VALUE_CHARS = 80  # characters of a value in the line of a violation
MAX_SHOWN_FAULTS = 50  # lines in one answer to the operator

Value = TypeVar("Value")


class Rule:
    """A check of one value for a voluptuous schema; raises voluptuous.Invalid with `allowed` as its text."""

    __slots__ = ("allowed", "test")

    def __init__(self, allowed: str, test: Callable[[Any], bool]) -> None:
        """`allowed` completes the sentence "is not allowed; allowed: ..."; `test` must not raise."""
        self.allowed = allowed
        self.test = test

    def __call__(self, value: Value) -> Value:
        """Return the value if the rule allows it."""
        if self.test(value):
            return value
        raise voluptuous.Invalid(self.allowed)


def is_number(value: object) -> bool:
    """Whether it is a finite int or float; a bool is neither."""
    return type(value) is int or (type(value) is float and math.isfinite(value))


def parse_address(text: object) -> tuple[str, int] | None:
    """(ip, port) of an "IP:PORT" text with an IPv4 address in digits; None for anything else."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not is_ipv4_address(host) or not _is_digits(port, 5) or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)


def is_ipv4_address(text: object) -> bool:
    """Whether it is an IPv4 address in digits."""
    if not isinstance(text, str):
        return False
    octets = text.split(".")
    return len(octets) == 4 and all(_is_digits(octet, 3) and int(octet) < 256 for octet in octets)


def _is_digits(text: str, max_length: int) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= max_length


def integer(low: int, high: int = MAX_INTEGER) -> Rule:
    """An integer from `low` to `high`, both allowed."""
    bounds = f"{low} or above" if high == MAX_INTEGER else f"{low} to {high}"
    return Rule(f"a whole number, {bounds}", lambda v: type(v) is int and low <= v <= high)


def number_from(low: float) -> Rule:
    """A finite number, `low` or above."""
    return Rule(f"a number, {low} or above", lambda v: is_number(v) and v >= low)


def nullable(rule: Rule) -> Rule:
    """What the rule allows, or null."""
    return Rule(f"{rule.allowed}, or null", lambda v: v is None or rule.test(v))


def list_of(rule: Rule) -> Rule:
    """A list of items that the rule allows."""
    return Rule(f"a list, each {rule.allowed}", lambda v: isinstance(v, list) and all(map(rule.test, v)))


POSITIVE = Rule("a number above 0", lambda v: is_number(v) and v > 0)
TEXT = Rule("a text", lambda v: isinstance(v, str))
NAME = Rule("a text that is not empty", lambda v: isinstance(v, str) and bool(v))
BOOLEAN = Rule("true or false", lambda v: isinstance(v, bool))
LIST = Rule("a list", lambda v: isinstance(v, list))
OBJECT = Rule("an object", lambda v: isinstance(v, dict))
ADDRESS = Rule("IP:PORT with an IPv4 address", lambda v: parse_address(v) is not None)


def required_field(key: str, rule: Rule) -> dict[voluptuous.Required, Rule]:
    """The schema entry of a required field; its absence is reported with the rule's text."""
    return {voluptuous.Required(key, msg=rule.allowed): rule}


class ObjectSchema:
    """The rules for one type of object; unknown fields are allowed.

    The same rules serve a fast test and the voluptuous schema, which is much slower but reports the faults.
    """

    __slots__ = ("_required", "_schema", "_tests")

    def __init__(self, required: dict[str, Rule], optional: dict[str, Rule]) -> None:
        """Required and optional fields, by key."""
        self._required = required
        self._tests = [(key, rule.test) for key, rule in {**required, **optional}.items()]
        fields: dict[str | voluptuous.Required, Rule] = dict(optional)
        for key, rule in required.items():
            fields.update(required_field(key, rule))
        self._schema = voluptuous.Schema(fields, extra=voluptuous.ALLOW_EXTRA)

    def accepts(self, item: object) -> bool:
        """Whether the item is a valid object of this type."""
        if type(item) is not dict or not item.keys() >= self._required.keys():
            return False
        return all(test(item[key]) for key, test in self._tests if key in item)

    def faults(self, item: object, prefix: str = "") -> list[str]:
        """A line for each violation, with its key under `prefix`; empty for a valid object."""
        return [] if self.accepts(item) else schema_faults(self._schema, item, prefix)


def fault_line(key: str, value: object, allowed: str) -> str:
    """One line for a value that is not allowed; a long value is truncated."""
    shown = repr(value)
    if len(shown) > MAX_SHOWN_VALUE_CHARS:
        shown = shown[: MAX_SHOWN_VALUE_CHARS - 3] + "..."
    return f"{key}: {shown} is not allowed; allowed: {allowed}"


def schema_faults(schema: voluptuous.Schema, value: object, prefix: str = "") -> list[str]:
    """A line for each violation that the schema finds in the value, with its key under `prefix`."""
    try:
        schema(value)
    except voluptuous.MultipleInvalid as error:
        return [_violation_line(violation, value, prefix) for violation in error.errors]
    return []


def _violation_line(error: voluptuous.Invalid, value: object, prefix: str) -> str:
    found = value
    for key_part in error.path:
        found = found.get(str(key_part)) if isinstance(found, Mapping) else None
    key = ".".join(filter(None, [prefix, *map(str, error.path)]))
    return fault_line(key, found, error.msg)


def join_faults(faults: Iterable[str]) -> str:
    """The faults as one text, a line each; those beyond MAX_SHOWN_FAULTS are only counted."""
    lines = list(faults)
    omitted_count = len(lines) - MAX_SHOWN_FAULTS
    if omitted_count > 0:
        return "\n".join([*lines[:MAX_SHOWN_FAULTS], f"... and {omitted_count} more"])
    return "\n".join(lines)
