"""Applies a change of the configuration, a Replace or an Amend, on top of a version.

Arguments are never modified; a new document shares every item that the change doesn't affect.
"""

from typing import Any

from plumline.configuration.document import SECTIONS, Document
from plumline.configuration.rules import NAME, fault_line
from plumline.configuration.schema import AMENDMENT_SCHEMA
from plumline.configuration.validation import document_faults, raise_faults, repeated_name_faults
from plumline.errors import VersionConflictError


def replace_document(current: Document | None, based_on: int, body: Document) -> Document:
    """The document that results from a Replace: the body itself.

    Raises VersionConflictError if `based_on` is not the version of `current`, and ConfigurationInvalidError
    for a body that is not valid or whose version is not above the current one.
    """
    require_base_version(current, based_on)
    raise_faults(_version_faults(current, body) + document_faults(body))
    return body


def amend_document(current: Document | None, based_on: int, body: Document) -> Document:
    """The document that results from an Amend of `current`.

    Raises VersionConflictError if `based_on` is not the version of `current` or there is none, and
    ConfigurationInvalidError for a body, or a result, that is not valid.
    """
    require_base_version(current, based_on)
    if current is None:
        raise VersionConflictError("there is no configuration to amend; the first one is sent whole")
    faults = AMENDMENT_SCHEMA.faults(body)
    if not faults:
        faults = _version_faults(current, body) + _amendment_faults(current, body)
    raise_faults(faults)
    document = merge_amendment(current, body)
    raise_faults(document_faults(document, changed=body.get("Upserts", {})))
    return document


def require_base_version(current: Document | None, based_on: int) -> None:
    """Raises VersionConflictError unless `based_on` is the version of `current` (0 if there is none)."""
    version = current["Version"] if current else 0
    if type(based_on) is not int or based_on != version:
        raise VersionConflictError(f"Based-On-Version: {based_on!r}, but version {version} is in place")


def merge_amendment(current: Document, body: Document) -> Document:
    """`current` with a valid Amend applied, without any check."""
    upserts, removals = body.get("Upserts", {}), body.get("Removals", {})
    document = dict(current)
    document.update((key, value) for key, value in body.items() if key not in ("Upserts", "Removals"))
    for section in dict.fromkeys([*upserts, *removals]):
        if section in upserts or section in current:
            document[section] = _merge_items(
                current.get(section, []), upserts.get(section, []), removals.get(section, [])
            )
    return document


def _merge_items(items: list[Any], upserts: list[Document], removals: list[str]) -> list[Any]:
    """The items, with upserts replacing items of the same name in place and new items at the end."""
    replacements = {item["Name"]: item for item in upserts}
    removed_names = set(removals)
    merged = []
    for item in items:
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            merged.append(item)
        elif name not in removed_names:
            merged.append(replacements.pop(name, item))
    merged.extend(replacements.values())
    return merged


def _version_faults(current: Document | None, body: Document) -> list[str]:
    current_version = current["Version"] if current else 0
    version = body.get("Version")
    if type(version) is int and version <= current_version:
        allowed = f"a whole number above {current_version}, the version in place"
        return [fault_line("Version", version, allowed)]
    return []


def _amendment_faults(current: Document, body: Document) -> list[str]:
    """Faults of an Amend that its schema can't detect."""
    faults = [
        fault_line(section, "a list beside Upserts", "lists of items only in Upserts and Removals")
        for section in SECTIONS
        if section in body
    ]
    upserts, removals = body.get("Upserts", {}), body.get("Removals", {})
    for section in dict.fromkeys([*upserts, *removals]):
        if not isinstance(current.get(section, []), list) or section in ("Version", "Limits"):
            faults.append(fault_line(section, "Upserts or Removals of it", "the name of a list of items"))
        elif section in body and section not in SECTIONS:
            faults.append(fault_line(section, "given whole and amended at once", "one of the two"))
        faults += _amended_section_faults(section, upserts.get(section, []), removals.get(section, []))
    return faults


def _amended_section_faults(section: str, upserts: list[Document], removals: list[str]) -> list[str]:
    names = [item.get("Name") for item in upserts]
    faults = [
        fault_line(f"Upserts.{section}[{index}].Name", name, NAME.allowed)
        for index, name in enumerate(names)
        if not NAME.test(name)
    ]
    valid_names = [name for name in names if NAME.test(name)]
    faults += repeated_name_faults(f"Upserts.{section}", valid_names)
    for name in sorted(set(valid_names) & set(removals)):
        faults.append(fault_line(f"Removals.{section}", name, "a name that is not in Upserts as well"))
    return faults
