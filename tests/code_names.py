"""Names of the code, collected by ast: what the pages of docs/ may name in backticks."""

import ast
from collections.abc import Iterator
from pathlib import Path

FunctionDefinition = ast.FunctionDef | ast.AsyncFunctionDef


class CodeNames:
    """What the modules below some folders define.

    Classes of one name are taken together, as a page says no module with a class. A class has the attributes
    that it or one of its bases defines or assigns to `self`.
    """

    def __init__(self, folders: list[Path]) -> None:
        self.modules: dict[str, set[str]] = {}
        self.class_attributes: dict[str, set[str]] = {}
        self.class_bases: dict[str, set[str]] = {}
        self.functions: set[str] = set()
        self.case_ids: set[str] = set()  # of parametrized tests, where they are literals
        self.texts: set[str] = set()  # string literals
        for folder in folders:
            for path in sorted(folder.rglob("*.py")):
                self._add_module(path)

    def _add_module(self, path: Path) -> None:
        tree = ast.parse(path.read_text())
        top_level = self.modules.setdefault(path.stem, set())
        for statement in tree.body:
            top_level.update(_defined_names(statement))
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                self._add_class(node)
            elif isinstance(node, FunctionDefinition):
                self.functions.add(node.name)
            elif isinstance(node, ast.keyword) and node.arg == "id" and isinstance(node.value, ast.Constant):
                self.case_ids.add(str(node.value.value))
            elif isinstance(node, ast.Constant) and isinstance(node.value, str):
                self.texts.add(node.value)

    def _add_class(self, node: ast.ClassDef) -> None:
        attributes = self.class_attributes.setdefault(node.name, set())
        for statement in node.body:
            attributes.update(_defined_names(statement))
        attributes.update(_names_assigned_to_self(node))
        self.class_bases.setdefault(node.name, set()).update(map(_base_name, node.bases))

    def has_class(self, name: str) -> bool:
        return name in self.class_attributes

    def has_attribute(self, class_name: str, attribute: str) -> bool:
        """Whether the class or one of its bases, as far as they are in these folders, has the attribute."""
        pending, seen = [class_name], set()
        while pending:
            current = pending.pop()
            if attribute in self.class_attributes.get(current, ()):
                return True
            seen.add(current)
            pending.extend(self.class_bases.get(current, set()) - seen)
        return False

    def has_module_name(self, module: str, name: str) -> bool:
        """Whether a module of that name defines the name at its top level; what it imports does not count."""
        return name in self.modules.get(module, ())

    def has_constant(self, name: str) -> bool:
        return any(name in names for names in self.modules.values())

    def has_name(self, name: str) -> bool:
        """Whether a function, a method, an attribute of a class or a module's constant has the name."""
        attributes = self.class_attributes.values()
        return name in self.functions or self.has_constant(name) or any(name in names for names in attributes)


def _defined_names(statement: ast.stmt) -> Iterator[str]:
    match statement:
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
            yield name
        case ast.Assign(targets=targets):
            for target in targets:
                yield from (node.id for node in ast.walk(target) if isinstance(node, ast.Name))
        case ast.AnnAssign(target=ast.Name(id=name)):
            yield name


def _names_assigned_to_self(node: ast.ClassDef) -> Iterator[str]:
    for part in ast.walk(node):
        match part:
            case ast.Attribute(value=ast.Name(id="self"), attr=name, ctx=ast.Store()):
                yield name


def _base_name(base: ast.expr) -> str:
    """The name of a base class, without its module and its type arguments."""
    match base:
        case ast.Subscript(value=value):
            return _base_name(value)
        case ast.Attribute(attr=name):
            return name
        case ast.Name(id=name):
            return name
    return ""
