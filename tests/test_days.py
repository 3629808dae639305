"""The deployments' own days, and the script that plays them, with a stand-in for the bench."""

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parent.parent / "deploy/sites/days"
POINTS = ("cut-off", "repeats", "second-loss", "catch-up", "answers")  # of the operators' letter
INCIDENTS = ("restarts", "drain")  # of docs/incidents
RULES = ("rules",)  # that the news pages added
SITE = """
zones = [{ name = "hall" }]
services = [{ name = "desk" }]
classes = [{ name = "ask" }]
"""
LONG_SITE = f"length_s = 34.0{SITE}"
REPORT = {
    "G": 0.91,
    "served": 0.99,
    "configs": 3,
    "config_ack_ms": 40,
    "breaks": {},
    "first": [],
    "fault": None,
}


@pytest.mark.parametrize("path", sorted(DAYS.glob("*.toml")), ids=lambda path: path.stem)
def test_a_day_says_its_size_and_its_point_and_brings_trouble(path: Path) -> None:
    day = tomllib.loads(path.read_text())
    size, _, point = path.stem.partition("-")
    assert day["name"] == path.stem
    assert size in ("small", "large", "long")
    assert point.startswith(POINTS + INCIDENTS + RULES)
    has_trouble = bool(day["plan"] or day["faults"])
    assert has_trouble is not path.stem.endswith("-none")  # one that the others of its point are held against


def played(
    folder: Path, *words: str, report: dict[str, object] | None = None, site: str = SITE
) -> tuple[int, list[str]]:
    """Exit code and lines of a play of the days in the folder; the stand-in bench leaves the report, and the
    deployment that it played as `kit/played.toml`."""
    kit = folder / "kit"
    for name in ("pslc-lend", "rhta-guides"):
        for side in (f"sites/{name}", f"grown/{name}-grown"):
            path = kit / f"{side}.toml"
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(site if name == "pslc-lend" else site.replace("hall", "annex"))
    bench = folder / "bench"
    write = f"open(sys.argv[-1], 'w').write({json.dumps(report)!r})" if report else "sys.exit('no such day')"
    keep = f"shutil.copy(sys.argv[2], {str(kit / 'played.toml')!r})"
    bench.write_text(f"#!{sys.executable}\nimport shutil, sys\n{keep}\n{write}\n")
    bench.chmod(0o755)
    script = folder / "play"
    script.write_text((DAYS / "play").read_text())
    ended = subprocess.run(
        [sys.executable, script, "why", *words],
        capture_output=True,
        text=True,
        env={**os.environ, "PLUMLINE_KIT": str(kit), "PLUMLINE_BENCH": str(bench)},
    )
    assert not ended.stderr
    return ended.returncode, ended.stdout.splitlines()


def test_a_day_is_played_on_each_deployment_of_its_size_that_it_fits(tmp_path: Path) -> None:
    (tmp_path / "small-any.toml").write_text('name = "small-any"\n')
    (tmp_path / "small-one.toml").write_text('faults = [{ kind = "node_cut", zone = "hall" }]\n')
    (tmp_path / "large-one.toml").write_text('traffic = [{ zone = "annex", mix = { ask = 1 } }]\n')
    (tmp_path / "large-none.toml").write_text('faults = [{ kind = "srv_crash", service = "other" }]\n')
    line = "worth 0.910, served 0.990, 3 changes, acknowledged within 40 ms"
    large = [f"large-one on rhta-guides-grown: {line}"]
    small = [f"small-any on {site}: {line}" for site in ("pslc-lend", "rhta-guides")]
    small.append(f"small-one on pslc-lend: {line}")
    assert played(tmp_path, report=REPORT) == (0, large + small)
    assert played(tmp_path, "small", report=REPORT) == (0, small)
    assert played(tmp_path, "--day", "large-one", report=REPORT) == (0, large)


def test_a_broken_rule_a_fault_or_no_play_is_told_and_ends_with_1(tmp_path: Path) -> None:
    (tmp_path / "small-any.toml").write_text('faults = [{ kind = "node_cut", zone = "hall" }]\n')
    code, (line,) = played(tmp_path, report={**REPORT, "breaks": {"LOST": 2}, "first": ["lost"]})
    assert code == 1 and line.endswith("; LOST broken 2x; first: lost")
    code, (line,) = played(tmp_path, report={**REPORT, "fault": "did not start"})
    assert code == 1 and line.endswith("; fault: did not start")
    assert played(tmp_path) == (1, ["small-any on pslc-lend: not played: exit code 1 no such day"])
    assert played(tmp_path, "large", report=REPORT) == (1, [])


def test_a_long_day_is_played_on_a_copy_of_the_deployment_with_a_longer_day(tmp_path: Path) -> None:
    (tmp_path / "long-any.toml").write_text('name = "long-any"\n')
    code, lines = played(
        tmp_path, "long", report={**REPORT, "times": {"leaving in force": [400, 1600]}}, site=LONG_SITE
    )
    line = "worth 0.910, served 0.990, 3 changes, acknowledged within 40 ms"
    line += ", leaving endpoints left alone within 1600 ms"
    assert (code, lines) == (0, [f"long-any on {site}: {line}" for site in ("pslc-lend", "rhta-guides")])
    assert "length_s = 240.0" in (tmp_path / "kit/played.toml").read_text()
    assert "length_s = 34.0" in (tmp_path / "kit/sites/pslc-lend.toml").read_text()
