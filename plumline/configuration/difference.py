"""A Replace turned into the Amend that makes the same document, for replicas that hold the one before it."""

from typing import Any

from plumline.configuration.amendment import merge_amendment
from plumline.configuration.document import Document

AMENDMENT_KEYS = ("Upserts", "Removals")  # keys that the body of an Amend reserves
Change = list[Any]  # as replicated_state has it


def replace_as_amend(current: Document | None, change: Change) -> Change:
    """A change that turns `current` into the same document as `change` does, shorter where that can be.

    Only a Replace can be shortened, and only if an Amend can do the same: it takes no field of the top level
    away, and leaves the items in their order. Any other change is returned as it is.
    """
    if change[0] != "replace" or current is None:
        return change
    _, based_on, new = change
    body = amendment_between(current, new)
    if body is None or merge_amendment(current, body) != new:
        return change
    return ["amend", based_on, body]


def amendment_between(current: Document, new: Document) -> Document | None:
    """The body of an Amend from `current` to `new`, up to the order of items; None if no Amend can do it.

    A list of items that `current` lacks counts as an empty one, so that its items come as upserts: the only
    form in which an operator may send them.
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
    """The items of a section by name; None if it is no list of items with a name of its own each."""
    if not isinstance(items, list):
        return None
    found = {
        item["Name"]: item for item in items if isinstance(item, dict) and isinstance(item.get("Name"), str)
    }
    return found if len(found) == len(items) else None
