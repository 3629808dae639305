"""Rules for single values and objects, by which configurations, settings and deploy files are checked.

A rule says what it allows in words that reach the operator; docs/configuration.md shows the same words. Every
violation is reported as one line: key, value, and what is allowed.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import voluptuous

MAX_INTEGER = 2**63 - 1  # the largest integer that every frame can carry
MAX_PORT = 65535
MAX_SHOWN_VALUE = 80  # characters of a value in a violation's line
MAX_SHOWN_FAULTS = 50  # lines of one answer to the operator

Value = TypeVar("Value")


class Rule:
    """A check of one value for a voluptuous schema; raises voluptuous.Invalid with `allowed` as its text."""

    __slots__ = ("allowed", "test")

    def __init__(self, allowed: str, test: Callable[[Any], bool]) -> None:
        """`allowed` completes the sentence "is not allowed; allowed: ..."; `test` must not raise."""
        self.allowed = allowed
        self.test = test

    def __call__(self, value: Value) -> Value:
        """The value itself, if the rule allows it."""
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
    """The part of a schema for a field that must be there; its absence is reported with the rule's text."""
    return {voluptuous.Required(key, msg=rule.allowed): rule}


class ObjectSchema:
    """The rules for one kind of object; fields that they don't name are allowed.

    One table serves both a quick test and the voluptuous schema that names the faults, which is much slower.
    """

    __slots__ = ("_required", "_schema", "_tests")

    def __init__(self, required: dict[str, Rule], optional: dict[str, Rule]) -> None:
        """Fields that must be there and those that may be, by key."""
        self._required = required
        self._tests = [(key, rule.test) for key, rule in {**required, **optional}.items()]
        fields: dict[str | voluptuous.Required, Rule] = dict(optional)
        for key, rule in required.items():
            fields.update(required_field(key, rule))
        self._schema = voluptuous.Schema(fields, extra=voluptuous.ALLOW_EXTRA)

    def accepts(self, item: object) -> bool:
        """Whether the item is a valid object of this kind."""
        if type(item) is not dict or not item.keys() >= self._required.keys():
            return False
        return all(test(item[key]) for key, test in self._tests if key in item)

    def faults(self, item: object, prefix: str = "") -> list[str]:
        """A line for each violation, its key under `prefix`; none for a valid object."""
        return [] if self.accepts(item) else schema_faults(self._schema, item, prefix)


def fault_line(key: str, value: object, allowed: str) -> str:
    """One line for a value that is not allowed; a long value is cut."""
    shown = repr(value)
    if len(shown) > MAX_SHOWN_VALUE:
        shown = shown[: MAX_SHOWN_VALUE - 3] + "..."
    return f"{key}: {shown} is not allowed; allowed: {allowed}"


def schema_faults(schema: voluptuous.Schema, value: object, prefix: str = "") -> list[str]:
    """A line for each violation that the schema finds in the value, its key under `prefix`."""
    try:
        schema(value)
    except voluptuous.MultipleInvalid as error:
        return [_line(violation, value, prefix) for violation in error.errors]
    return []


def _line(error: voluptuous.Invalid, value: object, prefix: str) -> str:
    found = value
    for step in error.path:
        found = found.get(str(step)) if isinstance(found, Mapping) else None
    key = ".".join(filter(None, [prefix, *map(str, error.path)]))
    return fault_line(key, found, error.msg)


def join_faults(faults: Iterable[str]) -> str:
    """The faults as one text, a line each; beyond MAX_SHOWN_FAULTS only their number is given."""
    lines = list(faults)
    omitted = len(lines) - MAX_SHOWN_FAULTS
    if omitted > 0:
        return "\n".join([*lines[:MAX_SHOWN_FAULTS], f"... and {omitted} more"])
    return "\n".join(lines)
