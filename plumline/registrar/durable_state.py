"""A registrar's durable state: the incarnation of its disk, and the records of the core.

The incarnation is a random name that is written to a new disk. A registrar that restarts without its disk has
another incarnation and is another member of the core, since what it had promised and stored is lost.
"""

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path

from plumline.coordination.environment import Record
from plumline.store.log_writers import GroupCommitWriter, LogWriter, VolatileWriter
from plumline.store.write_ahead_log import WriteAheadLog

STALLED_WRITE_S = 0.6  # s that a write may wait for the disk before the disk counts as unhealthy
INCARNATION_BYTES = 8
INCARNATION_KIND = "incarnation"  # record: [kind, incarnation]


class DurableState:
    """This process's write-ahead log. Without a folder nothing is stored, and each start is a new member."""

    def __init__(self, folder: Path | None, loop: asyncio.AbstractEventLoop) -> None:
        """Reads the records in the folder. Raises StoreError."""
        self._loop = loop
        self._writer: LogWriter = VolatileWriter()
        self._log = WriteAheadLog(folder) if folder is not None else None
        #: Set once the incarnation is on the disk; it must not be sent to others before.
        self.incarnation_synced = asyncio.Event()
        stored = self._log.open() if self._log is not None else []
        #: The core's records, as they were stored.
        self.records: list[Record] = [record for record in stored if record[0] != INCARNATION_KIND]
        incarnations = [record[1] for record in stored if record[0] == INCARNATION_KIND]
        self.incarnation: str = incarnations[-1] if incarnations else secrets.token_hex(INCARNATION_BYTES)

    def start_writing(self, core_records: Callable[[], list[Record]]) -> None:
        """Opens the log for appending. `core_records()`: the core's records that a compacted log needs."""
        if self._log is None:
            return

        def all_records() -> list[Record]:
            return [self._incarnation_record(), *core_records()]

        self._writer = GroupCommitWriter(self._log, self._loop, all_records)
        self.persist(self._incarnation_record(), self.incarnation_synced.set)

    def _incarnation_record(self) -> Record:
        return [INCARNATION_KIND, self.incarnation]

    async def wait_for_incarnation(self) -> None:
        """Returns once the incarnation may be sent to others."""
        if self._log is not None:
            await self.incarnation_synced.wait()

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Appends the record and calls `done` once it is synced, in the order of the calls."""
        self._writer.submit([record], done)

    def is_unhealthy(self, now: float) -> bool:
        """Whether the disk has failed or is stalled. `now`: s, steady."""
        return self._writer.failure is not None or self._writer.oldest_pending_age_s(now) > STALLED_WRITE_S

    def close(self) -> None:
        """Closes the writer after all submitted records are written."""
        self._writer.close()
