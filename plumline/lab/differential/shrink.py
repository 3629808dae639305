"""Shrinks a failing change to a smaller one that still fails. No I/O.

A greedy search that removes one key or one item at a time, from the document before or from the change.
"""

from collections.abc import Callable, Iterator
from typing import Any

from plumline.configuration.document import Document
from plumline.coordination.log import Change
from plumline.errors import PlumlineError

Fails = Callable[[Document | None, Change], bool]
MAX_ATTEMPTS = 5000


def reductions(value: Any) -> Iterator[Any]:  # noqa: ANN401
    """Copies of the value with one key or item removed, at any depth; outer levels first."""
    if isinstance(value, dict):
        for key in value:
            yield {other: inner for other, inner in value.items() if other != key}
        for key, inner in value.items():
            for reduced in reductions(inner):
                yield {**value, key: reduced}
    elif isinstance(value, list):
        for position in range(len(value)):
            yield value[:position] + value[position + 1 :]
        for position, inner in enumerate(value):
            for reduced in reductions(inner):
                yield [*value[:position], reduced, *value[position + 1 :]]


def still_fails(fails: Fails, before: Document | None, change: Change) -> bool:
    """Whether the case fails; one that is refused or malformed does not count as failing."""
    try:
        return fails(before, change)
    except (PlumlineError, KeyError, TypeError, ValueError):
        return False


def shrink(before: Document | None, change: Change, fails: Fails) -> tuple[Document | None, Change]:
    """The smallest failing document and change found; unchanged if the given ones do not fail."""
    if not still_fails(fails, before, change):
        return before, change
    attempts = 0
    progress = True
    while progress and attempts < MAX_ATTEMPTS:
        progress = False
        kind, based_on, body = change
        candidates = [*((before, [kind, based_on, reduced]) for reduced in reductions(body))]
        if before is not None:
            candidates += [(reduced, change) for reduced in reductions(before)]
        for candidate in candidates:
            attempts += 1
            if still_fails(fails, *candidate):
                before, change = candidate
                progress = True
                break
    return before, change
