"""The order of the parts of the program, as the table at the top of docs/system.md has it."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / "plumline"


def places() -> dict[str, int]:
    """The line of the table that each module or package stands in."""
    table = (ROOT / "docs/system.md").read_text().partition("\n\nOne program")[0]
    lines = [line for line in table.splitlines() if line.startswith("| `")]
    return {
        name.removesuffix("/").removesuffix(".py"): number
        for number, line in enumerate(lines)
        for name in re.findall(r"`([\w./]+)`", line.split("|")[1])
    }


def imports_of(path: Path) -> Iterator[str]:
    """The parts of the program that a module imports, also within its functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("plumline"):
            _, _, part = (node.module or "").partition(".")
            yield from [part.split(".")[0]] if part else (alias.name for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (each.name.split(".")[1] for each in node.names if each.name.startswith("plumline."))


def test_the_table_names_every_part_of_the_program() -> None:
    parts = {path.name.removesuffix(".py") for path in PROGRAM.iterdir() if not path.name.startswith("__")}
    assert set(places()) == parts


def test_a_part_imports_only_from_its_own_line_and_those_above() -> None:
    lines = places()
    wrong = [
        f"{path.relative_to(ROOT)} imports {imported}"
        for path in sorted(PROGRAM.rglob("*.py"))
        if (part := path.relative_to(PROGRAM).parts[0].removesuffix(".py")) in lines
        for imported in imports_of(path)
        if imported != "__version__" and lines[imported] > lines[part]
    ]
    assert wrong == []
