"""Writers of a WriteAheadLog: with group commit in a thread, synchronous, or without storage.

The owner updates its state in memory before it submits the records, so that a snapshot of the state contains
everything submitted so far.
"""

import asyncio
import contextlib
import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from plumline.errors import StoreError
from plumline.process_signals import block_signals
from plumline.store.write_ahead_log import Record, WriteAheadLog

RETRY_INTERVAL_S = 0.3  # between attempts to compact a failed log
CLOSE_TIMEOUT_S = 1.0  # bounds how long a stalled disk delays the exit of the process

SyncedCallback = Callable[[], None]
TakeSnapshot = Callable[[], list[Record]]


class LogWriter(Protocol):
    """The interface of a writer for the owner of durable state."""

    failure: StoreError | None  # the current write failure; None while the disk works

    def submit(self, records: list[Record], on_synced: SyncedCallback) -> None:
        """Queue the records; `on_synced` is called once they are durable, in the order of submits."""

    def oldest_pending_age_s(self, now: float) -> float:
        """Seconds that the oldest submit not yet durable has waited by `now` (monotonic clock); 0 if none."""

    def close(self) -> None:
        """Write what is queued, if the disk works, and stop."""


class _Pending(NamedTuple):
    submitted_at: float  # monotonic seconds
    on_synced: SyncedCallback


class _PendingQueue:
    """The submits that are not durable yet, oldest first."""

    def __init__(self) -> None:
        self._queue: deque[_Pending] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def append(self, now: float, on_synced: SyncedCallback) -> None:
        """Add a submit made at `now`, in monotonic seconds."""
        self._queue.append(_Pending(now, on_synced))

    def take(self) -> SyncedCallback:
        """Remove the oldest submit and return its callback."""
        return self._queue.popleft().on_synced

    def oldest_age_s(self, now: float) -> float:
        """Seconds that the oldest has waited by `now`; 0 if none."""
        return max(0.0, now - self._queue[0].submitted_at) if self._queue else 0.0


class _Snapshot(NamedTuple):
    """The event loop thread's answer to a request for a snapshot."""

    records: list[Record] | StoreError
    covered_count: int  # number of pending submits whose records the snapshot contains


class GroupCommitWriter:
    """Group commit: all records that are submitted during a sync are written with the next one.

    One thread makes the blocking calls; everything else runs in the event loop's thread. After a failure
    compaction from a snapshot is retried until it succeeds; the snapshot contains what was submitted in the
    meantime.
    """

    def __init__(
        self, log: WriteAheadLog, loop: asyncio.AbstractEventLoop, take_snapshot: TakeSnapshot
    ) -> None:
        """`log` has to be open. `take_snapshot` is called in the loop's thread."""
        self.failure: StoreError | None = None
        self._log = log
        self._loop = loop
        self._take_snapshot = take_snapshot
        self._pending = _PendingQueue()  # used only in the loop's thread
        self._changed = threading.Condition()  # guards the attributes below
        self._batches: list[list[Record]] = []
        self._snapshot: _Snapshot | None = None
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def submit(self, records: list[Record], on_synced: SyncedCallback) -> None:
        """Queue the records; `on_synced` runs in the loop's thread after the sync, in the order of submits.

        Raises StoreError once the writer is closed.
        """
        with self._changed:
            if self._closing:
                raise StoreError("the writer is closed")
            self._pending.append(self._loop.time(), on_synced)
            self._batches.append(records)
            self._changed.notify()

    def oldest_pending_age_s(self, now: float) -> float:
        """Seconds that the oldest submit not yet durable has waited by `now` (loop time); 0 if none."""
        return self._pending.oldest_age_s(now)

    def close(self) -> None:
        """Sync what is queued and stop, within CLOSE_TIMEOUT_S even if the disk stalls."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            self._log.close()

    # Called in the loop's thread

    def _acknowledge(self, count: int) -> None:
        for _ in range(count):
            on_synced = self._pending.take()
            try:
                on_synced()
            except Exception as error:
                # A failing callback must not prevent the others from being called.
                self._loop.call_exception_handler(
                    {"message": "on_synced callback failed", "exception": error}
                )

    def _answer_with_snapshot(self) -> None:
        try:
            records: list[Record] | StoreError = self._take_snapshot()
        except Exception as error:
            records = StoreError(f"the snapshot can't be taken: {error!r}")
        with self._changed:
            self._batches.clear()
            self._snapshot = _Snapshot(records, len(self._pending))
            self._changed.notify()

    # Called in the writer's thread

    def _call_in_loop(self, call: Callable[..., None], *args: int) -> None:
        """Schedule a call in the loop's thread; does nothing if the loop is closed."""
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(call, *args)

    def _run(self) -> None:
        block_signals()  # they are for the main thread, even if this thread outlives its work
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._batches or self._closing)
                batches, self._batches = self._batches, []
            if not batches:
                return
            try:
                self._log.append([record for batch in batches for record in batch])
            except StoreError as error:
                self.failure = error
                if not self._compact_with_retries():
                    return
            else:
                self._call_in_loop(self._acknowledge, len(batches))
                if self._log.needs_compaction and not self._compact() and not self._compact_with_retries():
                    return

    def _compact_with_retries(self) -> bool:
        """True once a compaction has succeeded, False once the writer is closing."""
        while True:
            with self._changed:
                if self._changed.wait_for(lambda: self._closing, RETRY_INTERVAL_S):
                    return False
            if self._compact():
                return True

    def _compact(self) -> bool:
        """Compact with a snapshot taken in the loop's thread; acknowledges what was submitted before it."""
        with self._changed:
            self._snapshot = None
            self._call_in_loop(self._answer_with_snapshot)
            self._changed.wait_for(lambda: self._snapshot is not None or self._closing)
            if self._snapshot is None:
                return False
            records, covered_count = self._snapshot
        try:
            if isinstance(records, StoreError):
                raise records
            self._log.compact(records)
        except StoreError as error:
            self.failure = error
            return False
        self.failure = None
        self._call_in_loop(self._acknowledge, covered_count)
        return True


class _OrderedCalls:
    """Makes calls one after the other; a call requested by a callback waits until that has returned."""

    def __init__(self) -> None:
        self._ready: deque[SyncedCallback] = deque()
        self._calling = False

    def call(self, callback: SyncedCallback) -> None:
        """Call it now, or after the calls before it have returned."""
        self._ready.append(callback)
        if self._calling:
            return
        self._calling = True
        try:
            while self._ready:
                self._ready.popleft()()
        finally:
            self._calling = False


class SynchronousWriter:
    """Writes within `submit`. After a failure each `submit` or `retry` tries to compact the log."""

    def __init__(
        self, log: WriteAheadLog, take_snapshot: TakeSnapshot, clock: Callable[[], float] = lambda: 0.0
    ) -> None:
        """`log` has to be open; `clock` returns monotonic seconds."""
        self.failure: StoreError | None = None
        self._log = log
        self._take_snapshot = take_snapshot
        self._clock = clock
        self._pending = _PendingQueue()
        self._calls = _OrderedCalls()

    def submit(self, records: list[Record], on_synced: SyncedCallback) -> None:
        """Write and sync the records; `on_synced` is called before this returns, unless the disk fails."""
        self._pending.append(self._clock(), on_synced)
        if self.failure:
            self.retry()
            return
        try:
            self._log.append(records)
        except StoreError as error:
            self.failure = error
            return
        self._acknowledge_all()
        if self._log.needs_compaction:
            self.retry()

    def retry(self) -> None:
        """Compact with a snapshot; after a success everything pending is durable."""
        try:
            self._log.compact(self._take_snapshot())
        except StoreError as error:
            self.failure = error
            return
        self.failure = None
        self._acknowledge_all()

    def oldest_pending_age_s(self, now: float) -> float:
        """Seconds that the oldest submit not yet durable has waited by `now` (the clock); 0 if none."""
        return self._pending.oldest_age_s(now)

    def close(self) -> None:
        """Close the log; only submits that failed on the disk are still pending."""
        self._log.close()

    def _acknowledge_all(self) -> None:
        callbacks = [self._pending.take() for _ in range(len(self._pending))]
        for callback in callbacks:
            self._calls.call(callback)


class VolatileWriter:
    """Stores nothing, for a process without a data directory. Records count as durable at once."""

    def __init__(self) -> None:
        """Takes neither a log nor an event loop."""
        self.failure: StoreError | None = None
        self._calls = _OrderedCalls()

    def submit(self, records: list[Record], on_synced: SyncedCallback) -> None:
        """Call `on_synced`, after those of earlier submits."""
        self._calls.call(on_synced)

    def oldest_pending_age_s(self, now: float) -> float:
        """0: nothing is ever pending."""
        return 0.0

    def close(self) -> None:
        """Do nothing: there is no file."""
