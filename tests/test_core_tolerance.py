"""Random schedules within a deployment's loss tolerance, also with a guard removed, which they must detect.

PLUMLINE_SCHEDULES multiplies the numbers of schedules; the event counts are printed.
"""

import os

import pytest

from tests.core_mutations import mutation
from tests.core_register import ViolationError
from tests.core_tolerance import explore_tolerance

SCHEDULE_FACTOR = float(os.environ.get("PLUMLINE_SCHEDULES", "1"))


@pytest.mark.parametrize(
    ("size", "losses", "schedules", "exceed_tolerance"),
    [(3, 1, 100, False), (5, 2, 30, False), (4, 1, 15, False), (3, 1, 40, True), (5, 2, 10, True)],
)
def test_the_core_serves_within_its_loss_tolerance(
    size: int, losses: int, schedules: int, exceed_tolerance: bool
) -> None:
    count = max(1, int(schedules * SCHEDULE_FACTOR))
    counts = explore_tolerance(range(count), size, losses=losses, exceed_tolerance=exceed_tolerance)
    print(size, losses, exceed_tolerance, dict(counts))
    assert counts["schedules"] == count
    assert counts["acknowledged"] > 5 * count  # otherwise the schedules exercise too little
    assert counts["reads"] > 2 * count
    assert counts["views"] > 2 * count
    assert counts["turns"] > count / 2


@pytest.mark.parametrize(
    ("guard", "size", "losses", "first"),
    [
        ("AddsBeforeItRemoves", 3, 1, 37),
        ("EndsWithoutHandover", 3, 1, 405),
    ],
)
def test_schedules_detect_a_removed_guard(guard: str, size: int, losses: int, first: int) -> None:
    """`first`: the first seed; starting from 0 would take long."""
    with pytest.raises(ViolationError) as caught:
        explore_tolerance(range(first, first + 100), size, losses=losses, **mutation(guard))
    print(caught.value)
