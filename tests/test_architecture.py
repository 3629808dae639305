"""The pages of docs/ name files, packages, classes, methods, constants and tests that exist."""

import re
from collections.abc import Iterator, Mapping
from functools import cache
from pathlib import Path

import pytest

from plumline import settings
from plumline.configuration import schema
from plumline.configuration.rules import ObjectSchema
from tests.code_names import CodeNames

ROOT = Path(__file__).parent.parent
PAGES = ("docs/architecture.md", "docs/glossary.md", "docs/contributing.md")
CONTROL_SAFETY_PAGES = tuple(
    str(path.relative_to(ROOT)) for path in sorted((ROOT / "docs/control-safety").glob("*.md"))
)
PAGES_WITH_CODE_NAMES = (
    *CONTROL_SAFETY_PAGES,
    "docs/operating.md",
    "docs/configuration.md",
    "docs/CAPACITY.md",
    "docs/reserved-share.md",
    "docs/architecture.md",
    "docs/glossary.md",
)
FENCED_BLOCK = re.compile(r"^```.*?^```$", re.M | re.S)
BACKTICKED = re.compile(r"`([^`\n]+)`")
TEST_NAME = re.compile(r"\btest_\w+(?:\.py)?")
SOURCE_FILE = re.compile(r"(?:\w+/)*\w+\.py")
CLASS = re.compile(r"[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*")
CLASS_ATTRIBUTE = re.compile(rf"({CLASS.pattern})\.(\w+)")
MODULE_NAME = re.compile(r"([a-z][a-z_]*)\.(\w+)")
MODULE_CONSTANT = re.compile(r"([a-z][a-z_]*)\.([A-Z][A-Z0-9_]+)")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+")
SNAKE_CASE = re.compile(r"_*[a-z][a-z0-9]*(?:_[a-z0-9]+)+|_[a-z][a-z0-9]*")

# Capitalised names of the operators' pages that are keys of no schema: fields of endpoints' reports, orders
# and of cache stores' event pages, the suffix of names in milliseconds, and a group of counters.
OPERATORS_NAMES = {"CallSequence", "ExpectedCount", "Epoch", "NextToken", "Ms", "clients.CODE"}
# Lower-case values and keys of the operators' pages and of the files of days.
OPERATORS_VALUES = {"non_idempotent", "idle_race"}
SYSTEM_CONSTANTS = {"TCP_NOTSENT_LOWAT"}  # of the socket module


@pytest.mark.parametrize("page", PAGES)
def test_every_file_that_a_page_names_exists(page: str) -> None:
    text = (ROOT / page).read_text()
    named = re.findall(r"`((?:plumline|message_sender|tests|docs)/[\w./-]*)`", text)
    assert named
    assert [path for path in named if not (ROOT / path).exists()] == []


def test_the_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs/architecture.md").read_text()
    packages = [path.parent.relative_to(ROOT) for path in (ROOT / "plumline").glob("*/__init__.py")]
    assert [str(package) for package in packages if f"`{package}`" not in text] == []


@cache
def code_trees() -> tuple[CodeNames, ...]:
    """The names of each tree; where two have a class of one name, the pages mean that of the first."""
    return tuple(CodeNames([ROOT / folder]) for folder in ("plumline", "message_sender", "tests"))


def schema_keys(fields: Mapping[object, object], prefix: str = "") -> Iterator[str]:
    for key, rule in fields.items():
        yield f"{prefix}{key}"
        if isinstance(rule, dict):
            yield from schema_keys(rule, f"{prefix}{key}.")


@cache
def operators_keys() -> frozenset[str]:
    """Keys of the settings, whole and without their section, and keys of the configuration."""
    schemas = [each for each in vars(schema).values() if isinstance(each, ObjectSchema)]
    keys = set(schema_keys(settings.SCHEMA.schema))
    for each in schemas:
        keys.update(schema_keys(each._schema.schema))
    return frozenset(keys | {key.rpartition(".")[2] for key in keys} | OPERATORS_NAMES)


def class_exists(name: str) -> bool:
    return any(tree.has_class(name) or name in tree.case_ids for tree in code_trees())


def class_attribute_exists(class_name: str, attribute: str) -> bool:
    tree = next((tree for tree in code_trees() if tree.has_class(class_name)), None)
    return tree is not None and tree.has_attribute(class_name, attribute)


def module_name_exists(module: str, name: str) -> bool:
    return any(tree.has_module_name(module, name) for tree in code_trees())


def source_file_exists(path: str) -> bool:
    """Whether the file is there, below the root or `plumline/`; a bare name may be in any folder."""
    if "/" in path:
        return (ROOT / path).exists() or (ROOT / "plumline" / path).exists()
    return any(path.removesuffix(".py") in tree.modules for tree in code_trees())


def is_test(name: str) -> bool:
    *_, tests = code_trees()
    return name in tests.functions or name.removesuffix(".py") in tests.modules


def code_name_exists(name: str) -> bool:
    """Whether what stands in backticks is there in the code; true for what has no form of a code name."""
    if name in operators_keys():
        return True
    if CLASS.fullmatch(name):
        return class_exists(name)
    if CONSTANT.fullmatch(name):
        if name.startswith("PLUMLINE_"):  # a variable of the environment
            return any(name in tree.texts for tree in code_trees())
        return name in SYSTEM_CONSTANTS or any(tree.has_constant(name) for tree in code_trees())
    if found := CLASS_ATTRIBUTE.fullmatch(name):
        return class_attribute_exists(found[1], found[2])
    if found := MODULE_CONSTANT.fullmatch(name):
        return module_name_exists(found[1], found[2])
    if SOURCE_FILE.fullmatch(name):
        return source_file_exists(name)
    return True


def lower_case_name_exists(name: str) -> bool:
    """The same for functions, methods and fields in lower case, which only the control-safety pages name."""
    if SOURCE_FILE.fullmatch(name) or name in OPERATORS_VALUES or TEST_NAME.fullmatch(name):
        return True
    if found := MODULE_NAME.fullmatch(name):
        return module_name_exists(found[1], found[2])
    if SNAKE_CASE.fullmatch(name):
        return any(tree.has_name(name) for tree in code_trees())
    return True


def backticked(page: str) -> list[str]:
    return BACKTICKED.findall(FENCED_BLOCK.sub("", (ROOT / page).read_text()))


@pytest.mark.parametrize("page", PAGES_WITH_CODE_NAMES)
def test_every_code_name_of_a_page_exists(page: str) -> None:
    assert [name for name in backticked(page) if not code_name_exists(name)] == []


@pytest.mark.parametrize("page", PAGES_WITH_CODE_NAMES)
def test_every_test_that_a_page_names_exists(page: str) -> None:
    named = TEST_NAME.findall((ROOT / page).read_text())
    assert [name for name in named if not is_test(name)] == []


@pytest.mark.parametrize("page", CONTROL_SAFETY_PAGES)
def test_every_function_that_a_control_safety_page_names_exists(page: str) -> None:
    assert [name for name in backticked(page) if not lower_case_name_exists(name)] == []


@pytest.mark.parametrize(
    "name",
    [
        "NoSuchClass",
        "NoSuchClass.submit",
        "ChainReplica.no_such_method",
        "Core.submit",  # a method of a test's stand-in of that name only
        "forwarding.NO_SUCH_CONSTANT",
        "NO_SUCH_CONSTANT",
        "coordination/no_such_module.py",
        "no_such_module.py",
    ],
)
def test_a_name_that_is_not_in_the_code_is_found(name: str) -> None:
    assert not code_name_exists(name)


@pytest.mark.parametrize("name", ["_no_such_function", "no_such_name", "forwarding.no_such_function"])
def test_a_lower_case_name_that_is_not_in_the_code_is_found(name: str) -> None:
    assert not lower_case_name_exists(name)


@pytest.mark.parametrize("name", ["test_no_such_case", "test_no_such_module.py"])
def test_a_test_that_is_not_there_is_found(name: str) -> None:
    assert not is_test(name)


@pytest.mark.parametrize(
    "name",
    [
        "FeedLag",
        "ChainReplica.submit",
        "ToleranceSchedule.crash",  # inherited
        "FailureDetector.peers",  # assigned in __init__
        "KnowsNoRepeat",  # the id of a case
        "failure_detector.SUSPECT_TIMEOUT_S",
    ],
)
def test_a_name_that_is_in_the_code_is_found(name: str) -> None:
    assert code_name_exists(name)
