"""docs/architecture.md and docs/glossary.md name files and packages that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/architecture.md", "docs/glossary.md", "docs/contributing.md")


@pytest.mark.parametrize("page", PAGES)
def test_every_file_that_a_page_names_exists(page: str) -> None:
    text = (ROOT / page).read_text()
    named = re.findall(r"`((?:plumline|elmglade|tests|docs)/[\w./-]*)`", text)
    assert named
    assert [path for path in named if not (ROOT / path).exists()] == []


def test_the_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs/architecture.md").read_text()
    packages = [path.parent.relative_to(ROOT) for path in (ROOT / "plumline").glob("*/__init__.py")]
    assert [str(package) for package in packages if f"`{package}`" not in text] == []
