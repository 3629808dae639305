"""The journal of accepted messages: an append-only file that is replayed at start and compacted.

One JSON object a line. `os.write` passes each record to the operating system at once, which survives SIGKILL
without a sync. Surviving a machine failure is not required.
"""

import base64
import json
import logging
import os
from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from message_sender.interface import NEVER_RAN, Outcome
from message_sender.net.message import HandedIn

JOURNAL_FILE, COMPACTED_FILE = "journal", "journal.new"
BLOCK = 512  # bytes; a file's size counts in whole blocks
MESSAGE_FIELDS = tuple(each.name for each in fields(HandedIn))
MAX_MESSAGE_RECORD = 96 * 1024  # bytes of the largest record of a message, with its body in base64
# Divisor of the limit: this part is reserved for records of attempts and ends of accepted messages.
SPARE_DIVISOR = 8

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Attempt:
    at: int  # us, wall clock
    endpoint: str
    zone: str
    # none while in flight; after a restart, the process ended before it was known
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Entry:
    message: HandedIn
    attempts: dict[int, Attempt] = field(default_factory=dict)
    size: int = 0  # bytes of its records

    def first_risky_attempt(self, in_flight: Container[int] = ()) -> Attempt | None:
        """The first attempt that may have run. `in_flight`: numbers of attempts still in flight, which are
        left out."""
        settled = (each for number, each in self.attempts.items() if number not in in_flight)
        return next((each for each in settled if each.may_have_run()), None)


def line(record: dict[str, Any]) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode() + b"\n"


def taken_line(message: HandedIn) -> bytes:
    values = {name: getattr(message, name) for name in MESSAGE_FIELDS}
    return line({"taken": values | {"body": base64.b64encode(message.body).decode()}})


def attempt_line(message: str, number: int, attempt: Attempt) -> bytes:
    values = {"at": attempt.at, "endpoint": attempt.endpoint, "zone": attempt.zone}
    return line({"sent": message, "number": number} | values)


def outcome_line(message: str, number: int, outcome: Outcome) -> bytes:
    return line({"outcome": outcome.value, "of": message, "number": number})


def served_line(destination: int, at: int) -> bytes:
    return line({"served": destination, "at": at})


def lines_of(entry: Entry) -> Iterator[bytes]:
    yield taken_line(entry.message)
    for number, attempt in entry.attempts.items():
        yield attempt_line(entry.message.id, number, attempt)
        if attempt.outcome:
            yield outcome_line(entry.message.id, number, attempt.outcome)


class Journal:
    def __init__(self, folder: Path, limit: int, records: Iterable[bytes] | None = None) -> None:
        """Opens the file and replays it, or applies the records that the previous process handed over in
        `records`: it was the only writer, and may know records that a full or damaged folder lacks. `entries`
        then has the unfinished messages in the order of acceptance."""
        self.folder, self.limit, self.reserved_bytes = folder, limit, limit // SPARE_DIVISOR
        self.entries: dict[str, Entry] = {}
        #: By destination, the start of the newest delivered call: failures before it no longer count. Needed
        #: since delivered messages leave the file and only failed ones stay.
        self.served: dict[int, int] = {}
        self.size = self.live_bytes = 0  # bytes of the file, and of the records of unfinished messages
        self.served_bytes = 0  # bytes of the other records that the last compaction wrote
        (folder / COMPACTED_FILE).unlink(missing_ok=True)  # left by a process that ended during compaction
        self.file = os.open(folder / JOURNAL_FILE, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        if records is None:
            self.replay()
        else:
            for each in records:
                self.apply(json.loads(each), len(each))
            self.size = os.fstat(self.file).st_size
        if self.size > self.live_bytes or records is not None:
            self.compact(force=records is not None)

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1

    # Replay.

    def replay(self) -> None:
        """Applies the file's records. A record cut short by SIGKILL is the last one and is truncated: nothing
        had been done in reliance on it."""
        with open(self.folder / JOURNAL_FILE, "rb") as file:
            for text in file:
                try:
                    if not text.endswith(b"\n"):
                        raise ValueError("no end of line")
                    self.apply(json.loads(text), len(text))
                except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
                    log.warning("journal: a record at byte %d is dropped: %s", self.size, error)
                    if not text.endswith(b"\n"):
                        break
                self.size += len(text)
        os.ftruncate(self.file, self.size)

    def apply(self, record: dict[str, Any], size: int) -> None:
        if values := record.get("taken"):
            message = HandedIn(**values | {"body": base64.b64decode(values["body"])})
            self.entries[message.id] = Entry(message)
            self.add_size(message.id, size)
        elif name := record.get("sent"):
            attempt = Attempt(record["at"], record["endpoint"], record["zone"])
            self.entries[name].attempts[record["number"]] = attempt
            self.add_size(name, size)
        elif "outcome" in record:
            # An outcome may follow the end of its message, from an attempt that was still in flight.
            if entry := self.entries.get(record["of"]):
                entry.attempts[record["number"]].outcome = Outcome(record["outcome"])
                self.update_served(entry, record["number"])
                self.add_size(record["of"], size)
        elif "served" in record:
            self.served[int(record["served"])] = int(record["at"])
        elif entry := self.entries.pop(record["end"], None):
            self.live_bytes -= entry.size

    def update_served(self, entry: Entry, number: int) -> None:
        attempt, destination = entry.attempts[number], entry.message.destination
        if attempt.outcome is Outcome.OK:
            self.served[destination] = max(attempt.at, self.served.get(destination, 0))

    def add_size(self, name: str, size: int) -> None:
        self.entries[name].size += size
        self.live_bytes += size

    # Appending. A record that could not be written returns False: its action must then not be taken.

    def record_taken(self, message: HandedIn) -> bool:
        record = taken_line(message)
        if not self.fits(len(record)) or not self.append(record):
            return False
        self.entries[message.id] = Entry(message)
        self.add_size(message.id, len(record))
        return True

    def record_sent(self, name: str, number: int, attempt: Attempt) -> bool:
        record = attempt_line(name, number, attempt)
        if not self.append(record):
            return False
        self.entries[name].attempts[number] = attempt
        self.add_size(name, len(record))
        return True

    def record_outcome(self, name: str, number: int, outcome: Outcome) -> None:
        """If the record is lost, the attempt counts as reset after a restart, which is the cautious
        reading."""
        record = outcome_line(name, number, outcome)
        if attempt := self.entries[name].attempts.get(number):
            attempt.outcome = outcome
            self.update_served(self.entries[name], number)
        if attempt and self.append(record):
            self.add_size(name, len(record))

    def record_ended(self, name: str) -> None:
        """If the record is lost, the message is sent or its notice posted again after a restart, which is
        harmless."""
        self.live_bytes -= self.entries.pop(name).size
        self.append(line({"end": name}))
        if self.size > 2 * (self.live_bytes + self.served_bytes) + self.reserved_bytes:
            self.compact()

    def append(self, record: bytes) -> bool:
        if self.exceeds_limit(self.size + len(record)) and not self.compact():
            log.error("journal: no space for %d bytes", len(record))
            return False
        try:
            written = os.write(self.file, record)
            if written < len(record):
                os.ftruncate(self.file, self.size)
                raise OSError("a short write")
        except OSError as error:
            log.error("journal: write failed: %s", error)
            return False
        self.size += len(record)
        return True

    # File size.

    def exceeds_limit(self, size: int, other_size: int = 0) -> bool:
        return sum(-(-each // BLOCK) * BLOCK for each in (size, other_size)) > self.limit

    def fits(self, size: int) -> bool:
        """Whether a new message fits so that there is still space for a compacted copy of the file."""
        if not self.exceeds_limit(self.size + size, self.live_bytes + size + self.reserved_bytes):
            return True
        return self.compact() and not self.exceeds_limit(
            self.size + size, self.live_bytes + size + self.reserved_bytes
        )

    def has_room(self) -> bool:
        """Whether the next message would be accepted, even one with the largest body."""
        size = min(self.size, self.live_bytes + self.served_bytes)  # the size after compaction
        return not self.exceeds_limit(
            size + MAX_MESSAGE_RECORD, self.live_bytes + MAX_MESSAGE_RECORD + self.reserved_bytes
        )

    def served_lines(self) -> list[bytes]:
        return [served_line(*each) for each in self.served.items()]

    def lines(self) -> Iterator[bytes]:
        """All records that another process needs to continue."""
        yield from self.served_lines()
        for entry in self.entries.values():
            yield from lines_of(entry)

    def compact(self, force: bool = False) -> bool:
        """Writes the records of unfinished messages to a second file and atomically replaces the first with
        it. `force`: even if it is no smaller."""
        served_bytes = sum(map(len, self.served_lines()))
        kept_bytes = self.live_bytes + served_bytes
        if (self.size <= kept_bytes and not force) or self.exceeds_limit(self.size, kept_bytes):
            return False
        path = self.folder / COMPACTED_FILE
        try:
            with open(path, "wb") as file:
                file.writelines(self.lines())
            os.replace(path, self.folder / JOURNAL_FILE)
            descriptor = os.open(self.folder / JOURNAL_FILE, os.O_RDWR | os.O_APPEND)
        except OSError as error:
            log.error("journal: compaction failed: %s", error)
            path.unlink(missing_ok=True)
            return False
        os.close(self.file)
        self.file, self.size = descriptor, os.fstat(descriptor).st_size
        self.served_bytes = served_bytes
        return True
