"""The journal: replay after a process ended, incomplete records, and the size limit."""

from pathlib import Path

import pytest
from peers import handed_in

from message_sender.interface import Outcome
from message_sender.net import journal as module
from message_sender.net.journal import Attempt, Journal

LIMIT = 3_000_000


def used(folder: Path) -> int:
    return sum(-(-each.stat().st_size // 512) * 512 for each in folder.iterdir())


def test_unfinished_messages_are_replayed_in_order(tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT)
    for name in ("a", "b", "c"):
        assert first.record_taken(handed_in(name, body=bytes(range(256)), until=7))
    first.record_sent("a", 0, Attempt(5, "r", "z"))
    first.record_outcome("a", 0, Outcome.FULL)
    first.record_sent("a", 1, Attempt(6, "s", "y"))
    first.record_sent("c", 0, Attempt(7, "r", "z"))
    first.record_ended("b")
    # Not closed, as a killed process would not close it either.
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a", "c"]
    assert second.entries["a"].message == handed_in("a", body=bytes(range(256)), until=7)
    risk = second.entries["a"].first_risky_attempt()
    assert risk is not None and (risk.at, risk.endpoint, risk.zone) == (6, "s", "y")


@pytest.mark.parametrize("cut", [1, 10, 60])
def test_an_incomplete_last_record_is_dropped_with_a_log_line(
    tmp_path: Path, cut: int, caplog: pytest.LogCaptureFixture
) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_taken(handed_in("a"))
    first.record_taken(handed_in("b"))
    file = tmp_path / module.JOURNAL_FILE
    file.write_bytes(file.read_bytes()[:-cut])
    second = Journal(tmp_path, LIMIT)
    assert list(second.entries) == ["a"] and "dropped" in caplog.text
    # The next record starts on a line of its own.
    second.record_taken(handed_in("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]


@pytest.mark.parametrize(
    "text",
    [
        b"[]\n",
        b"{}\n",
        b'{"sent":"nobody","at":1,"endpoint":"r","zone":"z","number":0}\n',
        b"[" * 100_000 + b"\n",
    ],
)
def test_a_malformed_record_does_not_affect_the_others(tmp_path: Path, text: bytes) -> None:
    first = Journal(tmp_path, LIMIT)
    first.record_taken(handed_in("a"))
    with open(tmp_path / module.JOURNAL_FILE, "ab") as file:
        file.write(text)
    first.record_taken(handed_in("b"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "b"]


def test_compaction_drops_finished_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 400_000)
    journal.record_taken(handed_in("kept", body=b"k" * 100))
    journal.record_sent("kept", 0, Attempt(5, "r", "z"))
    journal.record_outcome("kept", 0, Outcome.FULL)
    for number in range(2000):
        assert journal.record_taken(handed_in(f"m{number}"))
        journal.record_ended(f"m{number}")
        assert used(tmp_path) <= 400_000
    replayed = Journal(tmp_path, 400_000).entries
    assert list(replayed) == ["kept"] and replayed["kept"] == journal.entries["kept"]
    assert replayed["kept"].attempts[0].outcome is Outcome.FULL


def test_the_last_delivery_of_a_destination_survives_compaction(tmp_path: Path) -> None:
    first = Journal(tmp_path, LIMIT)
    for name, at, outcome in (("a", 7, Outcome.OK), ("b", 5, Outcome.OK), ("c", 9, Outcome.RESET)):
        first.record_taken(handed_in(name))
        first.record_sent(name, 0, Attempt(at, "r", "z"))
        first.record_outcome(name, 0, outcome)
        first.record_ended(name)
    for _ in range(2):  # the second start reads what the first one compacted
        assert Journal(tmp_path, LIMIT).served == {3: 7}


def test_both_files_stay_under_the_limit_and_further_messages_are_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit, most = 200_000, 0
    replace = module.os.replace

    def seen(source: Path, target: Path) -> None:
        nonlocal most
        most = max(most, used(tmp_path))
        replace(source, target)

    monkeypatch.setattr(module.os, "replace", seen)
    journal = Journal(tmp_path, limit)
    taken = [each for each in range(100) if journal.record_taken(handed_in(f"m{each}", body=b"x" * 5000))]
    assert 5 < len(taken) < 100
    for each in taken:
        for number in range(6):
            assert journal.record_sent(f"m{each}", number, Attempt(1, "r", "z"))
    assert not journal.compact()  # nothing has ended, so a refused message costs no compaction
    for each in taken[:-1]:
        journal.record_ended(f"m{each}")
    assert journal.record_taken(handed_in("later", body=b"x" * 5000))
    assert journal.compact()
    assert 0 < most <= limit and used(tmp_path) <= limit


def test_the_file_of_an_interrupted_compaction_is_removed(tmp_path: Path) -> None:
    Journal(tmp_path, LIMIT).record_taken(handed_in("a"))
    (tmp_path / module.COMPACTED_FILE).write_bytes(b"half")
    assert list(Journal(tmp_path, LIMIT).entries) == ["a"]
    assert not (tmp_path / module.COMPACTED_FILE).exists()


def test_a_failed_or_short_write_is_refused_and_leaves_the_file_intact(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, write = Journal(tmp_path, LIMIT), module.os.write
    journal.record_taken(handed_in("a"))
    monkeypatch.setattr(module.os, "write", lambda file, data: write(file, data[:20]))
    assert not journal.record_taken(handed_in("b"))

    def full(file: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(module.os, "write", full)
    assert not journal.record_sent("a", 0, Attempt(1, "r", "z"))
    monkeypatch.setattr(module.os, "write", write)
    journal.record_taken(handed_in("c"))
    assert list(Journal(tmp_path, LIMIT).entries) == ["a", "c"]
