"""The operator's configuration, and the rules for single values that the settings share with it."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import voluptuous

LARGEST = 2**63 - 1  # the largest whole number that every frame can carry


class Rule:
    """A check of one value for a voluptuous schema: raises voluptuous.Invalid with `allowed` as its text."""

    __slots__ = ("allowed", "test")

    def __init__(self, allowed: str, test: Callable[[Any], bool]) -> None:
        self.allowed = allowed
        self.test = test

    def __call__(self, value: Any) -> Any:  # noqa: ANN401
        if self.test(value):
            return value
        raise voluptuous.Invalid(self.allowed)


def is_number(value: Any) -> bool:  # noqa: ANN401
    """A finite int or float; a bool is neither."""
    return type(value) is int or (type(value) is float and math.isfinite(value))


def address(text: Any) -> tuple[str, int] | None:  # noqa: ANN401
    """(ip, port) of an "IP:PORT" text with an IPv4 address in digits; None if it is none."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not is_ip(host) or not _is_digits(port, 5) or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def is_ip(text: Any) -> bool:  # noqa: ANN401
    """An IPv4 address in digits."""
    if not isinstance(text, str):
        return False
    parts = text.split(".")
    return len(parts) == 4 and all(_is_digits(part, 3) and int(part) < 256 for part in parts)


def _is_digits(text: str, most: int) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= most


def whole(low: int, high: int = LARGEST) -> Rule:
    bounds = f"{low} or above" if high == LARGEST else f"{low} to {high}"
    return Rule(f"a whole number, {bounds}", lambda v: type(v) is int and low <= v <= high)


def number(low: float) -> Rule:
    return Rule(f"a number, {low} or above", lambda v: is_number(v) and v >= low)


def optional(rule: Rule) -> Rule:
    """The rule, or null."""
    return Rule(f"{rule.allowed}, or null", lambda v: v is None or rule.test(v))


def every(rule: Rule) -> Rule:
    """A list of which every item keeps the rule."""
    return Rule(f"a list, each {rule.allowed}", lambda v: isinstance(v, list) and all(map(rule.test, v)))


POSITIVE = Rule("a number above 0", lambda v: is_number(v) and v > 0)
TEXT = Rule("a text", lambda v: isinstance(v, str))
NAME = Rule("a text that is not empty", lambda v: isinstance(v, str) and bool(v))
FLAG = Rule("true or false", lambda v: isinstance(v, bool))
LIST = Rule("a list", lambda v: isinstance(v, list))
TABLE = Rule("an object", lambda v: isinstance(v, dict))
ADDRESS = Rule("IP:PORT with an IPv4 address", lambda v: address(v) is not None)


def required(key: str, rule: Rule) -> dict[voluptuous.Required, Rule]:
    """A schema's part for a field that must be there, whose text says the same if it is missing."""
    return {voluptuous.Required(key, msg=rule.allowed): rule}


class Shape:
    """The rules for one kind of object; fields not named in them are free.

    One table serves both a quick test and the schema that names the faults, which is much slower.
    """

    __slots__ = ("_needed", "_rules", "_schema")

    def __init__(self, needed: dict[str, Rule], free: dict[str, Rule]) -> None:
        self._needed = needed
        self._rules = [(key, rule.test) for key, rule in {**needed, **free}.items()]
        fields: dict[Any, Any] = dict(free)
        for key, rule in needed.items():
            fields.update(required(key, rule))
        self._schema = voluptuous.Schema(fields, extra=voluptuous.ALLOW_EXTRA)

    def fits(self, item: Any) -> bool:  # noqa: ANN401
        if type(item) is not dict or not item.keys() >= self._needed.keys():
            return False
        return all(test(item[key]) for key, test in self._rules if key in item)

    def faults(self, item: Any, prefix: str = "") -> list[str]:  # noqa: ANN401
        return [] if self.fits(item) else faults_of(self._schema, item, prefix)


def fault(key: str, value: Any, allowed: str) -> str:  # noqa: ANN401
    """One line for a value that is not allowed; a long value is cut."""
    shown = repr(value)
    return f"{key}: {shown if len(shown) <= 80 else shown[:77] + '...'} is not allowed; allowed: {allowed}"


def faults_of(schema: voluptuous.Schema, value: Any, prefix: str = "") -> list[str]:  # noqa: ANN401
    """Every fault that the schema finds in the value, each with key, value and what is allowed."""
    try:
        schema(value)
    except voluptuous.MultipleInvalid as error:
        return [_line(each, value, prefix) for each in error.errors]
    return []


def _line(error: voluptuous.Invalid, value: Any, prefix: str) -> str:  # noqa: ANN401
    found: Any = value
    for step in error.path:
        found = found.get(str(step)) if isinstance(found, Mapping) else None
    return fault(".".join(filter(None, [prefix, *map(str, error.path)])), found, error.msg)


def joined(faults: Iterable[str], most: int = 50) -> str:
    """The faults as one text, a line each; beyond `most` only their number is told."""
    lines = list(faults)
    more = [f"... and {len(lines) - most} more"] if len(lines) > most else []
    return "\n".join(lines[:most] + more)
