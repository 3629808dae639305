"""Schedules within a deployment's tolerance, and for guards that are taken out a schedule that shows it.

PLUMLINE_SCHEDULES multiplies the counts, which are printed.
"""

import os

import pytest

from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_tolerance import explore_tolerance

TIMES = float(os.environ.get("PLUMLINE_SCHEDULES", "1"))


@pytest.mark.parametrize(
    ("size", "losses", "schedules", "overrun"),
    [(3, 1, 100, False), (5, 2, 30, False), (4, 1, 15, False), (3, 1, 40, True), (5, 2, 10, True)],
)
def test_what_is_lost_within_the_tolerance_stops_nothing(
    size: int, losses: int, schedules: int, overrun: bool
) -> None:
    count = max(1, int(schedules * TIMES))
    counts = explore_tolerance(range(count), size, losses=losses, overrun=overrun)
    print(size, losses, overrun, dict(counts))
    assert counts["schedules"] == count
    assert counts["acknowledged"] > 5 * count  # else it explored nothing
    assert counts["reads"] > 2 * count
    assert counts["views"] > 2 * count
    assert counts["turns"] > count / 2


@pytest.mark.parametrize(
    ("guard", "size", "losses", "first"),
    [
        ("AddsBeforeItRemoves", 3, 1, 37),
        ("LeavesAtOnce", 3, 1, 405),
    ],
)
def test_schedules_find_what_a_guard_is_for(guard: str, size: int, losses: int, first: int) -> None:
    """`first`: the seed to begin with, as it would take long from 0."""
    with pytest.raises(ViolationError) as caught:
        explore_tolerance(range(first, first + 100), size, losses=losses, **mutation(guard))
    print(caught.value)
