"""Converts a Replace to an equivalent Amend, for replicas that have the previous document."""

from typing import Any

from plumline.configuration.amendment import merge_amendment
from plumline.configuration.document import Document

AMENDMENT_KEYS = ("Upserts", "Removals")  # keys with a special meaning in the body of an Amend
Change = list[Any]  # in the form that replicated_state defines


def replace_as_amend(current: Document | None, change: Change) -> Change:
    """A change that leads from `current` to the same document as `change`, shorter if possible.

    Only a Replace can be shortened, and only if an Amend can express it: an Amend can neither remove a
    top-level field nor reorder items. Any other change is returned unmodified.
    """
    if change[0] != "replace" or current is None:
        return change
    _, based_on, new = change
    body = amendment_between(current, new)
    if body is None or merge_amendment(current, body) != new:
        return change
    return ["amend", based_on, body]


def amendment_between(current: Document, new: Document) -> Document | None:
    """The body of an Amend from `current` to `new`, ignoring the order of items; None if there is none.

    A list of items that is missing in `current` is treated as empty, so that its items become upserts: the
    only form in which an operator may send them.
    """
    if any(key not in new for key in current) or any(key in new for key in AMENDMENT_KEYS):
        return None
    upserts: dict[str, list[Document]] = {}
    removals: dict[str, list[str]] = {}
    body: Document = {"Version": new["Version"], "Upserts": upserts, "Removals": removals}
    for key, value in new.items():
        if key == "Version" or (key in current and current[key] == value):
            continue
        before, after = items_by_name(current.get(key, [])), items_by_name(value)
        if before is None or after is None:
            body[key] = value
            continue
        upserts[key] = [item for name, item in after.items() if before.get(name) != item]
        removals[key] = [name for name in before if name not in after]
    return body


def items_by_name(items: object) -> dict[str, Document] | None:
    """The items of a section by name; None unless it is a list of items with distinct names."""
    if not isinstance(items, list):
        return None
    by_name = {
        item["Name"]: item for item in items if isinstance(item, dict) and isinstance(item.get("Name"), str)
    }
    return by_name if len(by_name) == len(items) else None
