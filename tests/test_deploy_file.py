"""The packages of the deploy file cover the programs of its build and the libraries of its requirements."""

import importlib.metadata
import re
import tomllib
from pathlib import Path

import pytest

from plumline.deploy_file import PROGRAM_PACKAGES, deploy_faults, package_faults, programs_called

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
# The Debian package that provides each shared library; None: one of the essential packages.
LIBRARY_PACKAGES = {
    "ld-linux-x86-64.so.2": None,
    "libc.so.6": None,
    "libm.so.6": None,
    "libpthread.so.0": None,
    "libgcc_s.so.1": "libstdc++6",  # libgcc-s1, which it depends on
    "libstdc++.so.6": "libstdc++6",
}
PIP = "python3 -m pip install -r requirements.txt"


def test_the_packages_provide_every_program_of_the_build() -> None:
    programs = set(programs_called(DEPLOY["build"]))
    assert programs == {"python3 -m pip"}
    assert {package for each in programs for package in PROGRAM_PACKAGES[each]} <= set(DEPLOY["packages"])


def test_the_packages_provide_every_library_that_the_pinned_requirements_link() -> None:
    needed = set()
    for line in (ROOT / "requirements.txt").read_text().splitlines():
        name = line.partition("==")[0]
        for file in importlib.metadata.files(name) or ():
            if file.suffix == ".so":
                needed |= set(
                    re.findall(rb"\0((?:lib|ld-)[\w+.-]+\.so\.[\d.]+)(?=\0)", file.locate().read_bytes())
                )
    packages = {LIBRARY_PACKAGES[each.decode()] for each in needed}
    assert "libstdc++6" in packages  # otherwise the search found nothing, and the package is not needed
    assert packages - {None} <= set(DEPLOY["packages"])


@pytest.mark.parametrize(
    ("build", "programs"),
    [
        ("true", []),
        ("[ a -nt b ] || python3 -m pip install x", ["python3 -m pip"]),
        ("X=1 python3 setup.py && make -j2; (cargo build)\nnpm ci", ["python3", "make", "cargo", "npm"]),
        ("if test -e a; then tar x <a 2>&1 >b; fi", ["tar"]),
        ("echo 'make; gcc' | sed s/a/b/", ["sed"]),
        ("python3 -m", ["python3"]),
    ],
)
def test_the_programs_of_a_build_are_found(build: str, programs: list[str]) -> None:
    assert list(programs_called(build)) == programs


@pytest.mark.parametrize(
    ("build", "packages", "faults"),
    [
        (PIP, ["python3", "python3-pip", "ca-certificates"], []),
        ("true", [], []),
        (
            PIP,
            ["python3", "ca-certificates"],
            [
                "packages: ['python3', 'ca-certificates'] is not allowed; "
                "allowed: a list with 'python3-pip', for 'python3 -m pip' of build"
            ],
        ),
        (
            "make",
            ["make"],
            [
                "build: 'make' is not allowed; "
                "allowed: a program whose package is declared: python3, python3 -m pip"
            ],
        ),
        (
            "true",
            ["python3", "python3"],
            ["packages: ['python3', 'python3'] is not allowed; allowed: a list that names each package once"],
        ),
        (
            "echo 'a",
            [],
            [
                'build: "echo \'a" is not allowed; '
                "allowed: a line that a shell can read (No closing quotation)"
            ],
        ),
    ],
)
def test_packages_are_checked_against_the_build(build: str, packages: list[str], faults: list[str]) -> None:
    assert package_faults(build, packages) == faults


@pytest.mark.parametrize("packages", ['"python3"', "[1]", '["Python3"]', '["python3=3.11"]', '[""]'])
def test_malformed_package_lists_are_faults(packages: str) -> None:
    found = deploy_faults(f'build = "true"\npackages = {packages}\n[roles]\n'.encode())
    assert found == [
        f"packages: {tomllib.loads('x = ' + packages)['x']!r} is not allowed; "
        "allowed: a list, each the name of a Debian package"
    ]
