"""The codecs of the chain's messages and records: wire and stored forms, and rejection of other input."""

from typing import Any

import pytest

from plumline.coordination.chain_messages import (
    CatchUpTarget,
    ChainMessage,
    CommitNotice,
    CommittedEntries,
    EntriesRequest,
    LogTrimmed,
    ProgressReport,
    ReplicateEntry,
    SnapshotData,
    SnapshotRequest,
    decode_message,
)
from plumline.coordination.chain_records import (
    CaughtUpRecord,
    ChainRecord,
    DiscardPendingRecord,
    DiscardRecord,
    EntryRecord,
    SnapshotRecord,
    decode_record,
)
from plumline.coordination.read_barrier import ViewCheck, ViewConfirmed

MESSAGES = [
    (ReplicateEntry(3, 7, ["set", 6, "x"]), ["chain-entry", 3, 7, ["set", 6, "x"]]),
    (LogTrimmed(3), ["chain-behind", 3]),
    (CatchUpTarget(3, 7), ["chain-floor", 3, 7]),
    (ProgressReport(3, 7, 6, True), ["chain-report", 3, 7, 6, True]),
    (CommitNotice(3, 6), ["chain-commit", 3, 6]),
    (SnapshotRequest(3, 7, "d1", 65536), ["chain-pull", 3, 7, "d1", 65536]),
    (SnapshotData(3, [7, "d1", 3, 0, b"abc"]), ["chain-piece", 3, 7, "d1", 3, 0, b"abc"]),
    (EntriesRequest(3, 6), ["chain-learn", 3, 6]),
    (CommittedEntries(3, False, [[7, ["x"]]]), ["chain-lesson", 3, False, [[7, ["x"]]]]),
]

RECORDS = [
    (SnapshotRecord(7, ["state"]), ["base", 7, ["state"]]),
    (EntryRecord(8, ["x"], 7), ["entry", 8, ["x"], 7]),
    (CaughtUpRecord(True), ["caught-up", True]),
    (DiscardPendingRecord(), ["stale"]),
    (DiscardRecord(7), ["drop", 7]),
]


@pytest.mark.parametrize(("message", "wire"), MESSAGES)
def test_a_message_is_encoded_as_a_list_and_decoded(message: ChainMessage, wire: list[Any]) -> None:
    assert message.to_wire() == wire
    assert decode_message(wire) == message
    assert type(decode_message(wire)) is type(message)


@pytest.mark.parametrize(("record", "stored"), RECORDS)
def test_a_record_is_stored_as_a_list_and_restored(record: ChainRecord, stored: list[Any]) -> None:
    assert record.to_wire() == stored
    assert decode_record(stored) == record
    assert type(decode_record(stored)) is type(record)


@pytest.mark.parametrize(
    "wire",
    [
        ["ping", 1],
        ["chain-entry", 3, "7", []],
        ["chain-entry", 3, 7],
        ["chain-behind"],
        ["chain-floor", 3, None],
        ["chain-report", 3, 7, 6, 1],
        ["chain-commit", 3, 6, 7],
        ["chain-pull", 3, 7, b"d1", 0],
        ["chain-learn", 3, 1.5],
        ["chain-lesson", 3, False, {}],
    ],
)
def test_other_kinds_and_malformed_messages_are_rejected(wire: list[Any]) -> None:
    assert decode_message(wire) is None


@pytest.mark.parametrize("stored", [["view", []], ["entry", 8, ["x"]], ["drop", "7"], ["caught-up", 1]])
def test_other_kinds_and_malformed_records_are_rejected(stored: list[Any]) -> None:
    assert decode_record(stored) is None


def test_a_view_check_and_its_reply_carry_the_same_nonce_and_view() -> None:
    check = ViewCheck.from_wire(["view-check", 12, 3])
    assert check.to_wire() == ["view-check", 12, 3]
    assert check.confirmed().to_wire() == ["view-checked", 12, 3]
    assert ViewConfirmed.from_wire(["view-checked", 12, 3]) == check.confirmed()
    assert ViewConfirmed.from_wire(["view-checked", 12, "3"]) is None
