"""The write-ahead log with torn tails, corruption and failing disks; the writers' order and recovery."""

import asyncio
import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plumline.errors import StoreCorruptedError, StoreError, StoreFullError
from plumline.store import log_writers as writers_module
from plumline.store import write_ahead_log as log_module
from plumline.store.log_writers import GroupCommitWriter, SynchronousWriter, VolatileWriter
from plumline.store.write_ahead_log import WriteAheadLog

BATCHES: list[list[Any]] = [[["a", 1], {"k": [1.5, None]}], ["x" * 300], [b"\x00" * 50, "y", 7]]
ALL_RECORDS = [record for batch in BATCHES for record in batch]


def write_batches(folder: Path) -> tuple[Path, list[int]]:
    """A file with BATCHES appended: its path and the size before and after each batch."""
    file = WriteAheadLog(folder)
    assert file.open() == []
    sizes = [file.size]
    for batch in BATCHES:
        file.append(batch)
        sizes.append(file.size)
    file.close()
    path = folder / "state.log"
    assert path.stat().st_size == sizes[-1]
    return path, sizes


def read_records(folder: Path) -> list[Any]:
    file = WriteAheadLog(folder)
    try:
        return file.open()
    finally:
        file.close()


def test_replay_then_append(tmp_path: Path) -> None:
    write_batches(tmp_path)
    file = WriteAheadLog(tmp_path)
    assert file.open() == ALL_RECORDS
    file.append(["more"])
    file.append([])
    file.close()
    assert read_records(tmp_path) == [*ALL_RECORDS, "more"]


def test_every_truncation_drops_the_torn_batch_and_can_be_appended_to(tmp_path: Path) -> None:
    path, sizes = write_batches(tmp_path)
    data = path.read_bytes()
    for length in range(sizes[0], sizes[-1]):
        path.write_bytes(data[:length])
        complete = sum(size <= length for size in sizes[1:])
        left = [record for batch in BATCHES[:complete] for record in batch]
        file = WriteAheadLog(tmp_path)
        assert file.open() == left, length
        file.append(["after"])
        file.close()
        assert read_records(tmp_path) == [*left, "after"], length


def test_any_bad_byte_of_the_last_batch_is_a_torn_tail(tmp_path: Path) -> None:
    path, sizes = write_batches(tmp_path)
    data = bytearray(path.read_bytes())
    for offset in range(sizes[-2], sizes[-1]):
        bad = data.copy()
        bad[offset] ^= 0x40
        path.write_bytes(bad)
        assert read_records(tmp_path) == ALL_RECORDS[:3], offset


def test_any_bad_byte_before_the_last_batch_is_corruption(tmp_path: Path) -> None:
    path, sizes = write_batches(tmp_path)
    data = path.read_bytes()
    for offset in range(sizes[-2]):
        bad = bytearray(data)
        bad[offset] ^= 0x01
        path.write_bytes(bad)
        with pytest.raises(StoreCorruptedError):
            read_records(tmp_path)
        assert path.read_bytes() == bad


def test_corruption_of_a_compacted_file_is_never_a_torn_tail(tmp_path: Path) -> None:
    file = WriteAheadLog(tmp_path)
    file.open()
    file.compact(ALL_RECORDS)
    file.close()
    path = tmp_path / "state.log"
    data = path.read_bytes()
    for bad in (data[:-1], data[:40], data[:-1] + b"\xff", b""):
        path.write_bytes(bad)
        with pytest.raises(StoreCorruptedError):
            read_records(tmp_path)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.binary(max_size=200), st.integers(0, 2**32 - 1))
def test_garbage_after_the_last_record_is_dropped(tmp_path: Path, garbage: bytes, length: int) -> None:
    path = tmp_path / "state.log"
    path.unlink(missing_ok=True)
    write_batches(tmp_path)
    with path.open("ab") as stream:
        stream.write(length.to_bytes(4, "little") + b"\xa5Rc\x1e" + garbage)
    assert read_records(tmp_path) == ALL_RECORDS
    assert read_records(tmp_path) == ALL_RECORDS


def test_records_of_an_older_file_are_not_read_as_later_ones(tmp_path: Path) -> None:
    """Blocks of the file from before a compaction may appear after the end of the new file."""
    path, _ = write_batches(tmp_path)
    older = path.read_bytes()
    file = WriteAheadLog(tmp_path)
    file.open()
    file.compact(["new"])
    file.close()
    path.write_bytes(path.read_bytes() + older[-200:])
    assert read_records(tmp_path) == ["new"]


def test_the_file_of_an_interrupted_compaction_is_removed(tmp_path: Path) -> None:
    write_batches(tmp_path)
    (tmp_path / "state.log.rewrite").write_bytes(b"half")
    assert read_records(tmp_path) == ALL_RECORDS
    assert [path.name for path in tmp_path.iterdir()] == ["state.log"]


def test_values_that_can_not_be_stored_leave_the_log_usable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_module, "MAX_RECORD_BYTES", 100)
    file = WriteAheadLog(tmp_path)
    file.open()
    for bad in ("x" * 101, object()):
        with pytest.raises(StoreError):
            file.append([bad])
    file.append(["good"])
    file.close()
    assert read_records(tmp_path) == ["good"]


def test_needs_compaction(tmp_path: Path) -> None:
    file = WriteAheadLog(tmp_path)
    file.open()
    block = "x" * 300_000
    file.append([block] * 3)
    assert not file.needs_compaction
    file.append([block])
    assert file.needs_compaction
    file.compact([block])
    assert not file.needs_compaction
    file.append([block] * 2)
    assert not file.needs_compaction
    file.append([block] * 2)
    assert file.needs_compaction
    file.close()


class Disk:
    """Replaces the os calls of plumline.store.write_ahead_log and lets tests make them fail or stall."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.fail: dict[str, int] = {}
        self.short = False
        self.stalled = threading.Event()  # a call was made while `resumed` is unset
        self.resumed = threading.Event()
        self.resumed.set()
        self.calls: list[str] = []
        for name in ("write", "fdatasync", "fsync", "rename"):
            monkeypatch.setattr(log_module.os, name, self._wrapped(name, getattr(os, name)))

    def _wrapped(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:  # noqa: ANN401
            self.calls.append(name)
            if not self.resumed.is_set():
                self.stalled.set()
                assert self.resumed.wait(10)
            if name in self.fail:
                raise OSError(self.fail[name], os.strerror(self.fail[name]))
            if name == "write" and self.short:
                return real(args[0], args[1][: len(args[1]) // 2])
            return real(*args)

        return call


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> Disk:
    return Disk(monkeypatch)


@pytest.mark.parametrize(
    ("call", "number", "kind"),
    [
        ("write", errno.ENOSPC, StoreFullError),
        ("write", errno.EIO, StoreError),
        ("fdatasync", errno.EIO, StoreError),
        ("fdatasync", errno.ENOSPC, StoreFullError),
        ("short", 0, StoreFullError),
    ],
)
def test_after_a_failure_only_a_compaction_makes_the_log_usable(
    tmp_path: Path, disk: Disk, call: str, number: int, kind: type[StoreError]
) -> None:
    file = WriteAheadLog(tmp_path)
    file.open()
    file.append(["kept"])
    disk.short = call == "short"
    if number:
        disk.fail[call] = number
    with pytest.raises(StoreError) as caught:
        file.append(["lost", "x" * 100])
    assert type(caught.value) is kind
    disk.fail.clear()
    disk.short = False
    with pytest.raises(StoreError):
        file.append(["again"])
    disk.fail["fsync"] = errno.EIO
    with pytest.raises(StoreError):
        file.compact(["no"])
    disk.fail.clear()
    with pytest.raises(StoreError):
        file.append(["again"])
    file.compact(["kept", "healed"])
    file.append(["again"])
    file.close()
    assert read_records(tmp_path) == ["kept", "healed", "again"]


@pytest.mark.parametrize("call", ["write", "fsync", "rename"])
def test_a_failed_compaction_leaves_the_old_contents(tmp_path: Path, disk: Disk, call: str) -> None:
    write_batches(tmp_path)
    file = WriteAheadLog(tmp_path)
    file.open()
    disk.fail[call] = errno.EIO
    with pytest.raises(StoreError):
        file.compact(["new"])
    disk.fail.clear()
    file.close()
    assert read_records(tmp_path) == ALL_RECORDS


class PageCache:
    """Simulates a failed sync and a power loss: after the failure the pages count as written, also for later
    syncs, but are not on the disk."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failing = False
        self.durable: dict[int, bytes] = {}  # by inode; the contents at the last successful sync
        self.lost: set[int] = set()  # inodes with a failed sync
        for name in ("fdatasync", "fsync"):
            monkeypatch.setattr(log_module.os, name, self._sync)

    def _sync(self, descriptor: int) -> None:
        inode = os.fstat(descriptor).st_ino
        if self.failing:
            self.lost.add(inode)
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_file() and inode not in self.lost:
            self.durable[inode] = path.read_bytes()

    def lose_power(self, path: Path) -> None:
        path.write_bytes(self.durable[path.stat().st_ino])


def test_records_replayed_after_a_failed_sync_survive_a_power_loss(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cache = PageCache(monkeypatch)
    file = WriteAheadLog(tmp_path)
    file.open()
    file.append(["kept"])
    cache.failing = True
    with pytest.raises(StoreError):
        file.append(["in the page cache only"])
    file.close()
    cache.failing = False
    replayed = read_records(tmp_path)
    assert replayed[0] == "kept"
    cache.lose_power(tmp_path / "state.log")
    assert read_records(tmp_path) == replayed


@pytest.mark.parametrize("call", ["write", "rename"])
def test_a_file_that_can_not_be_compacted_on_opening_is_replayed(
    tmp_path: Path, disk: Disk, call: str
) -> None:
    write_batches(tmp_path)
    disk.fail[call] = errno.ENOSPC
    file = WriteAheadLog(tmp_path)
    assert file.open() == ALL_RECORDS
    disk.fail.clear()
    file.append(["more"])
    file.close()
    assert read_records(tmp_path) == [*ALL_RECORDS, "more"]


def test_a_batch_is_one_write_and_one_sync(tmp_path: Path, disk: Disk) -> None:
    file = WriteAheadLog(tmp_path)
    file.open()
    disk.calls.clear()
    file.append(ALL_RECORDS)
    assert disk.calls == ["write", "fdatasync"]
    file.close()


class Owner:
    """Adds values to its memory, submits them, and records which are synced."""

    def __init__(self) -> None:
        self.memory: list[Any] = []
        self.synced: list[Any] = []
        self.waiting: dict[int, asyncio.Event] = {}
        self.writer: Any = None

    def snapshot(self) -> list[Any]:
        return list(self.memory)

    def add(self, value: Any) -> None:  # noqa: ANN401
        self.memory.append(value)
        self.writer.submit([value], lambda: self._on_synced(value))

    def _on_synced(self, value: Any) -> None:  # noqa: ANN401
        self.synced.append(value)
        for count, event in self.waiting.items():
            if len(self.synced) >= count:
                event.set()

    async def wait_for_synced(self, count: int) -> None:
        """Wait until `count` values are synced."""
        event = self.waiting[count] = asyncio.Event()
        if len(self.synced) >= count:
            event.set()
        await asyncio.wait_for(event.wait(), 10)


async def start(folder: Path) -> tuple[Owner, WriteAheadLog]:
    file = WriteAheadLog(folder)
    file.open()
    owner = Owner()
    owner.writer = GroupCommitWriter(file, asyncio.get_running_loop(), owner.snapshot)
    return owner, file


def test_a_stalled_disk_neither_blocks_the_loop_nor_changes_the_order(tmp_path: Path, disk: Disk) -> None:
    async def main() -> None:
        owner, _ = await start(tmp_path)
        loop = asyncio.get_running_loop()
        assert owner.writer.oldest_pending_age_s(loop.time()) == 0.0
        disk.resumed.clear()
        owner.add(0)
        assert await asyncio.to_thread(disk.stalled.wait, 10)
        disk.calls.clear()
        for value in range(1, 50):
            owner.add(value)
        assert owner.synced == []
        assert owner.writer.oldest_pending_age_s(loop.time() + 5.0) >= 5.0
        disk.resumed.set()
        await owner.wait_for_synced(50)
        assert owner.synced == list(range(50))
        assert disk.calls.count("fdatasync") == 2  # the stalled submit, then all others in one batch
        assert owner.writer.oldest_pending_age_s(loop.time() + 5.0) == 0.0
        owner.writer.close()

    asyncio.run(main())
    disk.resumed.set()
    assert read_records(tmp_path) == list(range(50))


def test_nothing_is_acknowledged_before_the_sync(tmp_path: Path, disk: Disk) -> None:
    async def main() -> None:
        owner, _ = await start(tmp_path)
        at_sync: list[list[Any]] = []
        real = log_module.os.fdatasync

        def sync(fd: int) -> None:
            at_sync.append(list(owner.synced))
            real(fd)

        log_module.os.fdatasync = sync
        try:
            owner.add("one")
            await owner.wait_for_synced(1)
            owner.add("two")
            await owner.wait_for_synced(2)
        finally:
            log_module.os.fdatasync = real
        assert at_sync == [[], ["one"]]
        owner.writer.close()

    asyncio.run(main())


def test_a_failed_log_is_repaired_by_compaction(
    tmp_path: Path, disk: Disk, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(writers_module, "RETRY_INTERVAL_S", 0.01)

    async def main() -> None:
        owner, file = await start(tmp_path)
        owner.add("before")
        await owner.wait_for_synced(1)
        snapshots = 0
        tried = asyncio.Event()
        real = owner.snapshot

        def snapshot() -> list[Any]:
            nonlocal snapshots
            snapshots += 1
            if snapshots == 3:
                owner.add("during")
                tried.set()
            return real()

        owner.writer._take_snapshot = snapshot
        disk.fail = {"fdatasync": errno.ENOSPC, "fsync": errno.ENOSPC}
        owner.add("failed")
        owner.add("queued")
        await asyncio.wait_for(tried.wait(), 10)
        assert owner.synced == ["before"]
        assert isinstance(owner.writer.failure, StoreFullError)
        disk.fail = {}
        await owner.wait_for_synced(4)
        assert owner.writer.failure is None
        owner.add("after")
        await owner.wait_for_synced(5)
        assert owner.synced == ["before", "failed", "queued", "during", "after"]
        assert not file.failed
        owner.writer.close()

    asyncio.run(main())
    assert read_records(tmp_path) == ["before", "failed", "queued", "during", "after"]


def test_compaction(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_module, "COMPACTION_MIN_BYTES", 2000)

    async def main() -> None:
        owner, file = await start(tmp_path)
        for value in range(200):
            owner.memory = [value]
            owner.writer.submit(["x" * 100, value], lambda value=value: owner._on_synced(value))
            await owner.wait_for_synced(value + 1)
        assert owner.synced == list(range(200))
        owner.writer.close()
        assert file.size < 5000

    asyncio.run(main())
    assert read_records(tmp_path)[-1] == 199


def test_close_syncs_what_is_queued(tmp_path: Path) -> None:
    async def main() -> None:
        owner, _ = await start(tmp_path)
        for value in range(5):
            owner.add(value)
        owner.writer.close()
        with pytest.raises(StoreError):
            owner.add("late")
        await owner.wait_for_synced(5)

    asyncio.run(main())
    assert read_records(tmp_path) == list(range(5))


def test_close_does_not_wait_for_a_stalled_disk(
    tmp_path: Path, disk: Disk, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(writers_module, "CLOSE_TIMEOUT_S", 0.01)

    async def main() -> None:
        owner, _ = await start(tmp_path)
        disk.resumed.clear()
        owner.add(1)
        assert await asyncio.to_thread(disk.stalled.wait, 10)
        owner.writer.close()
        assert owner.synced == []

    try:
        asyncio.run(main())
    finally:
        disk.resumed.set()


def test_a_failing_callback_does_not_prevent_later_callbacks(tmp_path: Path) -> None:
    async def main() -> None:
        owner, _ = await start(tmp_path)
        faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        owner.writer.submit(["bad"], lambda: [][0])
        owner.add("good")
        await owner.wait_for_synced(1)
        assert len(faults) == 1
        owner.writer.close()

    asyncio.run(main())


def test_synchronous_writer(tmp_path: Path, disk: Disk) -> None:
    file = WriteAheadLog(tmp_path)
    file.open()
    owner = Owner()
    owner.writer = SynchronousWriter(file, owner.snapshot, lambda: 5.0)
    owner.add("one")
    assert owner.synced == ["one"]
    disk.fail = {"fdatasync": errno.EIO, "fsync": errno.EIO}
    owner.add("two")
    owner.add("three")
    assert owner.synced == ["one"]
    assert isinstance(owner.writer.failure, StoreError)
    assert owner.writer.oldest_pending_age_s(7.0) == 2.0
    disk.fail = {}
    owner.writer.retry()
    assert owner.synced == ["one", "two", "three"]
    assert owner.writer.failure is None
    owner.writer.close()
    assert read_records(tmp_path) == ["one", "two", "three"]


def test_volatile_writer_calls_nested_submits_in_order() -> None:
    writer = VolatileWriter()
    calls: list[str] = []

    def first() -> None:
        writer.submit([], lambda: calls.append("second"))
        calls.append("first")

    writer.submit([], first)
    assert calls == ["first", "second"]
    assert writer.oldest_pending_age_s(1.0) == 0.0
