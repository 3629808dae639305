"""The size limit of the decision modules, and their handling of invalid input."""

import copy
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import ENV, SECOND, World, settings

from message_sender import interface as face
from message_sender.settings import settings_from

ROOT = Path(__file__).parent.parent
DEPLOYED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]


def test_the_decision_files_keep_to_their_size() -> None:
    """Counted together, so that decisions moved to another of these files still count."""
    assert {"message_sender/rules.py", "plumline/breaker/breaker.py"} <= set(DEPLOYED["policy"])
    lines = [line for name in DEPLOYED["policy"] for line in (ROOT / name).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110


def test_what_the_deployment_names_is_here() -> None:
    assert [name for name in DEPLOYED["policy"] + DEPLOYED["node"] if not (ROOT / name).exists()] == []


def test_the_package_dependencies_match_the_pinned_requirements() -> None:
    assert PROJECT["dependencies"] == (ROOT / "requirements.txt").read_text().split()


@pytest.mark.parametrize("name", ["slots", "max_open", "max_attempts", "tick", "cold_from", "key_quiet"])
def test_contradictory_settings_are_named(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**{name: -1})


def test_unknown_class_reused_id_and_a_clock_that_goes_back_are_rejected() -> None:
    world = World()
    with pytest.raises(ValueError, match="unknown class"):
        world.take("nothing")
    world.take(message="twice")
    with pytest.raises(ValueError, match="taken before"):
        world.take(message="twice")
    with pytest.raises(ValueError, match="clock"):
        world.step(face.WakeUp(), after=-SECOND)


def test_events_for_unknown_ids_are_ignored() -> None:
    world = World()
    assert world.step(face.AttemptEnded("never", 0, face.Outcome.OK), face.MessageWithdrawn("never")) == []


def test_optional_settings_have_defaults() -> None:
    """Sites without tenants, batches, weights or requested waits for clients."""
    info = copy.deepcopy(ENV)
    del info["customers"], info["weight_kind"], info["safety"]["ask_within"]
    del info["specifics"]["batch_by_kind"], info["specifics"]["own_limits"], info["limits"]["max_retry_after"]
    assert settings_from(info) == replace(settings_from(ENV), max_retry_after=0)
