"""Soft topics between two holders of a lease whose terms overlap."""

from plumline.coordination.soft_state import SoftState


def test_a_holder_whose_term_is_over_tells_nothing_more() -> None:
    earlier, later = SoftState(), SoftState()
    number = later.next_version("marks", 2)
    assert number == (2, 1) and later.update("marks", number, "new")
    assert earlier.next_version("marks", 1) == (1, 1)  # it has not heard of the later one yet
    assert earlier.update("marks", number, "new")
    assert earlier.next_version("marks", 1) is None
    assert earlier.get("marks") == "new"


def test_what_an_earlier_holder_tells_late_is_not_taken() -> None:
    topics = SoftState()
    assert topics.update("roster", (2, 1), "new")
    assert not topics.update("roster", (1, 40), "old")
    assert not topics.update("roster", (2, 1), "again")
    assert topics.messages() == [["topic", "roster", [2, 1], "new"]]
