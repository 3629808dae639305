"""Versioned soft state, also with two lease holders whose terms overlap."""

from plumline.coordination.soft_state import SoftState


def test_a_holder_whose_term_has_ended_can_not_publish() -> None:
    earlier, later = SoftState(), SoftState()
    version = later.next_version("marks", 2)
    assert version == (2, 1) and later.update("marks", version, "new")
    assert earlier.next_version("marks", 1) == (1, 1)  # it does not know the later term yet
    assert earlier.update("marks", version, "new")
    assert earlier.next_version("marks", 1) is None
    assert earlier.get("marks") == "new"


def test_a_late_value_of_an_earlier_term_is_ignored() -> None:
    state = SoftState()
    assert state.update("roster", (2, 1), "new")
    assert not state.update("roster", (1, 40), "old")
    assert not state.update("roster", (2, 1), "again")
    assert state.messages() == [["topic", "roster", [2, 1], "new"]]


def test_the_newest_version_of_a_topic_wins() -> None:
    state = SoftState()
    assert state.update("roster", (1, 2), ["x"])
    assert not state.update("roster", (1, 2), ["y"])
    assert not state.update("roster", (1, 1), ["y"])
    assert state.next_version("roster", 1) == (1, 3)
    assert state.next_version("roster", 2) == (2, 1)
    assert state.update("roster", (2, 1), ["y"])
    assert state.get("roster") == ["y"]
    assert state.get("marks") is None
    assert state.messages() == [["topic", "roster", [2, 1], ["y"]]]
