"""Makes a failing change smaller while it still fails. No I/O.

A plain greedy search: leaves out one key or one item at a time, of the document before and of the change.
"""

from collections.abc import Callable, Iterator
from typing import Any

from plumline.configuration.document import Document
from plumline.coordination.log import Change
from plumline.errors import PlumlineError

Fails = Callable[[Document | None, Change], bool]
MAX_TRIES = 5000


def smaller(value: Any) -> Iterator[Any]:  # noqa: ANN401
    """The value with one key or one item left out, at any depth; the largest parts first."""
    if isinstance(value, dict):
        for key in value:
            yield {other: inner for other, inner in value.items() if other != key}
        for key, inner in value.items():
            for less in smaller(inner):
                yield {**value, key: less}
    elif isinstance(value, list):
        for at in range(len(value)):
            yield value[:at] + value[at + 1 :]
        for at, inner in enumerate(value):
            for less in smaller(inner):
                yield [*value[:at], less, *value[at + 1 :]]


def still_fails(fails: Fails, before: Document | None, change: Change) -> bool:
    """Whether it fails as before; what is refused, or can't be read any more, does not."""
    try:
        return fails(before, change)
    except (PlumlineError, KeyError, TypeError, ValueError):
        return False


def shrink(before: Document | None, change: Change, fails: Fails) -> tuple[Document | None, Change]:
    """The smallest document and change found that still fail; as given if they do not fail by themselves."""
    if not still_fails(fails, before, change):
        return before, change
    tries = 0
    progress = True
    while progress and tries < MAX_TRIES:
        progress = False
        kind, based_on, body = change
        candidates = [*((before, [kind, based_on, less]) for less in smaller(body))]
        if before is not None:
            candidates += [(less, change) for less in smaller(before)]
        for candidate in candidates:
            tries += 1
            if still_fails(fails, *candidate):
                before, change = candidate
                progress = True
                break
    return before, change
