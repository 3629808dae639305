"""Writers of a WriteAheadLog: in a thread beside the event loop, at once, or to nowhere.

All have the interface of LogWriter. The owner changes its memory first and submits after, so that an image
of the memory contains everything submitted so far.
"""

import asyncio
import contextlib
import threading
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from plumline.errors import StoreError
from plumline.store.write_ahead_log import WriteAheadLog

RETRY_INTERVAL_S = 0.3
CLOSE_TIMEOUT_S = 1.0

Done = Callable[[], None]
Image = Callable[[], list[Any]]


class LogWriter(Protocol):
    """What a state machine's owner needs of a writer."""

    failure: StoreError | None

    def submit(self, records: list[Any], done: Done) -> None:
        """Queue the records; `done` is called, in order, once they are synced."""

    def oldest_pending_age_s(self, now: float) -> float:
        """Seconds that the oldest submit not yet done has waited by `now` (steady clock); 0 if none."""

    def close(self) -> None:
        """Write what is queued, if the disk lets it, and stop."""


class GroupCommitWriter:
    """One thread does the blocking calls. Everything else belongs to the thread of `loop`."""

    def __init__(self, file: WriteAheadLog, loop: asyncio.AbstractEventLoop, image: Image) -> None:
        """`file` is open already. `image` is called in the loop's thread."""
        self.failure: StoreError | None = None
        self._file = file
        self._loop = loop
        self._image = image
        self._pending: deque[tuple[float, Done]] = deque()  # loop's thread only
        self._changed = threading.Condition()  # guards all below
        self._queue: list[list[Any]] = []
        self._answer: tuple[list[Any] | StoreError, int] | None = None
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def submit(self, records: list[Any], done: Done) -> None:
        """Queue the records; `done` runs in the loop's thread after the sync, in the order of submits."""
        with self._changed:
            if self._closing:
                raise StoreError("the writer is closed")
            self._pending.append((self._loop.time(), done))
            self._queue.append(records)
            self._changed.notify()

    def oldest_pending_age_s(self, now: float) -> float:
        """Seconds that the oldest submit not yet done has waited; 0 if none."""
        return max(0.0, now - self._pending[0][0]) if self._pending else 0.0

    def close(self) -> None:
        """Sync what is queued and stop, within CLOSE_TIMEOUT_S: a stalled disk doesn't hold up the end."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            self._file.close()

    def _finish(self, count: int) -> None:
        for _ in range(count):
            _, done = self._pending.popleft()
            try:
                done()
            except Exception as error:
                # One owner's fault may not keep the others from hearing of their own records.
                self._loop.call_exception_handler({"message": "done callback failed", "exception": error})

    def _take_image(self) -> None:
        try:
            image: list[Any] | StoreError = self._image()
        except Exception as error:
            image = StoreError(f"the image can't be taken: {error!r}")
        with self._changed:
            self._queue.clear()
            self._answer = (image, len(self._pending))
            self._changed.notify()

    def _call(self, call: Callable[..., None], *args: int) -> None:
        """In the loop's thread; nothing if the loop has ended."""
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(call, *args)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._queue or self._closing)
                batches, self._queue = self._queue, []
            if not batches:
                return
            try:
                self._file.append([record for batch in batches for record in batch])
            except StoreError as error:
                self.failure = error
                if not self._heal():
                    return
            else:
                self._call(self._finish, len(batches))
                if self._file.needs_compaction and not self._compact() and not self._heal():
                    return

    def _heal(self) -> bool:
        """Rewrite until it works; False once the writer is closing."""
        while True:
            with self._changed:
                if self._changed.wait_for(lambda: self._closing, RETRY_INTERVAL_S):
                    return False
            if self._compact():
                return True

    def _compact(self) -> bool:
        """Rewrite from an image taken in the loop's thread; what was submitted before it is done by that."""
        with self._changed:
            self._answer = None
            self._call(self._take_image)
            self._changed.wait_for(lambda: self._answer is not None or self._closing)
            if self._answer is None:
                return False
            image, covered = self._answer
        try:
            if isinstance(image, StoreError):
                raise image
            self._file.compact(image)
        except StoreError as error:
            self.failure = error
            return False
        self.failure = None
        self._call(self._finish, covered)
        return True


class _InTurn:
    """Calls each `done` in order, also when one of them submits again."""

    def __init__(self) -> None:
        self._ready: deque[Done] = deque()
        self._calling = False

    def call(self, done: Done) -> None:
        self._ready.append(done)
        if self._calling:
            return
        self._calling = True
        try:
            while self._ready:
                self._ready.popleft()()
        finally:
            self._calling = False


class SynchronousWriter:
    """Writes within `submit`. After a failure each submit, or `retry`, tries to rewrite."""

    def __init__(self, file: WriteAheadLog, image: Image, clock: Callable[[], float] = lambda: 0.0) -> None:
        self.failure: StoreError | None = None
        self._file = file
        self._image = image
        self._clock = clock
        self._pending: deque[tuple[float, Done]] = deque()
        self._in_turn = _InTurn()

    def submit(self, records: list[Any], done: Done) -> None:
        self._pending.append((self._clock(), done))
        if self.failure:
            self.retry()
            return
        try:
            self._file.append(records)
        except StoreError as error:
            self.failure = error
            return
        self._finish()
        if self._file.needs_compaction:
            self.retry()

    def retry(self) -> None:
        """Rewrite from the image; on success everything pending is done."""
        try:
            self._file.compact(self._image())
        except StoreError as error:
            self.failure = error
            return
        self.failure = None
        self._finish()

    def oldest_pending_age_s(self, now: float) -> float:
        return max(0.0, now - self._pending[0][0]) if self._pending else 0.0

    def close(self) -> None:
        self._file.close()

    def _finish(self) -> None:
        ready = [done for _, done in self._pending]
        self._pending.clear()
        for done in ready:
            self._in_turn.call(done)


class VolatileWriter:
    """Keeps nothing: for a process without a folder. Everything is done at once."""

    def __init__(self) -> None:
        self.failure: StoreError | None = None
        self._in_turn = _InTurn()

    def submit(self, records: list[Any], done: Done) -> None:
        self._in_turn.call(done)

    def oldest_pending_age_s(self, now: float) -> float:
        return 0.0

    def close(self) -> None:
        """Nothing to end."""
