"""A whole configuration told by what it changes, for those that hold the one before it."""

from typing import Any

from plumline.configuration.document import Document, merged

AMENDED_APART = ("Upserts", "Removals")  # keys that an Amend's body keeps for itself
Change = list[Any]


def as_amend(current: Document | None, change: Change) -> Change:
    """A change that turns `current` into the same document as `change` does, by what differs where it can.

    Only a Replace can be told shorter, and only if an Amend can do the same: it takes no field of the top
    away, and leaves the items in their order.
    """
    if change[0] != "replace" or current is None:
        return change
    _, based_on, new = change
    body = difference(current, new)
    if body is None or merged(current, body) != new:
        return change
    return ["amend", based_on, body]


def difference(current: Document, new: Document) -> Document | None:
    """The body of an Amend from `current` to `new`, up to the order of items; None where there is none."""
    if any(key not in new for key in current) or any(key in new for key in AMENDED_APART):
        return None
    upserts: dict[str, list[Document]] = {}
    removals: dict[str, list[str]] = {}
    body: Document = {"Version": new["Version"], "Upserts": upserts, "Removals": removals}
    for key, value in new.items():
        old = current.get(key)
        if key == "Version" or (key in current and old == value):
            continue
        before, after = named(old), named(value)
        if before is None or after is None:
            body[key] = value
            continue
        upserts[key] = [item for name, item in after.items() if before.get(name) != item]
        removals[key] = [name for name in before if name not in after]
    return body


def named(items: Any) -> dict[str, Document] | None:  # noqa: ANN401
    """The items of a section by name; None if it is no list of items with a name each."""
    if not isinstance(items, list):
        return None
    found = {
        item["Name"]: item for item in items if isinstance(item, dict) and isinstance(item.get("Name"), str)
    }
    return found if len(found) == len(items) else None
