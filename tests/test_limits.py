"""The module's size, and its answers to bad input."""

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
    """All of them together: decisions that move to another file count on."""
    assert {"message_sender/rules.py", "plumline/breaker/breaker.py"} <= set(DEPLOYED["policy"])
    lines = [line for name in DEPLOYED["policy"] for line in (ROOT / name).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110


def test_what_the_deployment_names_is_here() -> None:
    assert [name for name in DEPLOYED["policy"] + DEPLOYED["node"] if not (ROOT / name).exists()] == []


def test_the_package_depends_on_what_is_pinned() -> None:
    assert PROJECT["dependencies"] == (ROOT / "requirements.txt").read_text().split()


@pytest.mark.parametrize("name", ["slots", "max_open", "max_attempts", "tick", "cold_from", "key_quiet"])
def test_contradictory_settings_are_named(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**{name: -1})


def test_unknown_class_reused_id_and_a_clock_that_goes_back_are_refused() -> None:
    world = World()
    with pytest.raises(ValueError, match="unknown class"):
        world.take("nothing")
    world.take(message="twice")
    with pytest.raises(ValueError, match="taken before"):
        world.take(message="twice")
    with pytest.raises(ValueError, match="clock"):
        world.step(face.WakeUp(), after=-SECOND)


def test_events_of_ids_no_longer_held_are_passed_over() -> None:
    world = World()
    assert world.step(face.AttemptEnded("never", 0, face.Outcome.OK), face.MessageWithdrawn("never")) == []


def test_what_the_settings_may_leave_out_keeps_its_default() -> None:
    """Sites without tenants, batches, weights or told waits for clients."""
    told = copy.deepcopy(ENV)
    del told["customers"], told["weight_kind"], told["safety"]["ask_within"]
    del told["specifics"]["batch_by_kind"], told["specifics"]["own_limits"], told["limits"]["max_retry_after"]
    assert settings_from(told) == replace(settings_from(ENV), max_retry_after=0)
