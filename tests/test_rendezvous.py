"""Rendezvous hashing: the same in every process, evenly spread, and stable when candidates change."""

import os
import subprocess
import sys
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from plumline.coordination.rendezvous import Candidate, choose, choose_across_zones, weight

NAMES = st.lists(st.text("abcdef0123", min_size=1, max_size=4), min_size=1, max_size=8, unique=True)


def test_weight_does_not_depend_on_the_process() -> None:
    code = "from plumline.coordination.rendezvous import weight; print(weight('key', 'name'))"
    seen = {
        subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        for seed in ("1", "2")
    }
    assert seen == {str(weight("key", "name"))}


def test_key_and_name_are_hashed_separately() -> None:
    assert weight("ab", "c") != weight("a", "bc")


def test_choose_from_nothing() -> None:
    assert choose("key", []) is None


@given(st.text(max_size=5), NAMES, st.data())
def test_the_choice_stays_when_another_candidate_is_removed(
    key: str, names: list[str], data: st.DataObject
) -> None:
    best = choose(key, names)
    removed = data.draw(st.sampled_from(names))
    remaining = [name for name in names if name != removed]
    if removed != best:
        assert choose(key, remaining) == best
    assert choose(key, reversed(names)) == best


@given(st.text(max_size=5), NAMES, st.data())
def test_choices_differ_in_zone_where_they_can(node: str, names: list[str], data: st.DataObject) -> None:
    candidates = [Candidate(name, data.draw(st.sampled_from("xyz"))) for name in names]
    zones = dict(candidates)
    found = choose_across_zones(node, candidates)
    assert len(found) == len(set(found)) == min(2, len(names))
    assert found[0] == choose(node, names)
    if len(set(zones.values())) > 1:
        assert zones[found[0]] != zones[found[1]]
    for removed in set(names) - set(found):
        assert choose_across_zones(node, [each for each in candidates if each.name != removed]) == found


def test_three_choices_in_two_zones() -> None:
    candidates = [Candidate("a", "x"), Candidate("b", "x"), Candidate("c", "y")]
    found = choose_across_zones("node", candidates, 3)
    assert sorted(found) == ["a", "b", "c"]
    assert "c" in found[:2]
    assert choose_across_zones("node", [], 2) == []


def test_load_is_spread() -> None:
    names = [f"10.0.0.{i}:70" for i in range(5)]
    counts = Counter(choose(f"key{i}", names) for i in range(5000))
    assert all(850 < counts[name] < 1150 for name in names)
