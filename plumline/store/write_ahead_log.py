"""A write-ahead log: an append-only file of checksummed records, with compaction.

Layout, all numbers little-endian:

- Header: magic, format, salt, synced length, CRC32 of these.
- Records: length of the value (u32), marker, CRC32 (u32, seeded with the salt, over what follows), sequence
  (u64, from 0 without gaps), index and count within the batch (u32 each), the value in ormsgpack.

Each append is one batch. It is written only after the previous batch was synced, and never after a failure.
So only the last batch can be torn by a power loss, and any part of it may be missing.

Replay stops at the first invalid record and drops its whole batch, so that a batch is either complete or
absent. It is corruption (StoreCorruptedError) and not a torn tail if

- the invalid record lies within the header's synced length (what the last compaction wrote), or
- a valid record of a later batch follows, which proves that the invalid one had been synced.

Corruption in the last batch can't be distinguished from a torn tail and is treated as one.

After a failed fsync, pages may be marked as written without being on the disk (Rebello et al., "Can
Applications Recover from fsync Failures?", USENIX ATC 2020). So after a failure only a compaction, which
writes a new file, makes the log usable again.
"""

import contextlib
import errno
import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import ormsgpack

from plumline.errors import StoreCorruptedError, StoreError, StoreFullError

Record = Any  # any value that MessagePack can encode

MAX_RECORD_BYTES = 16 * 1024 * 1024
COMPACTION_MIN_BYTES = 1024 * 1024  # a shorter file isn't compacted
COMPACTION_GROWTH_FACTOR = 4  # ratio of the file's length to its length after the last compaction

_MAGIC = b"PLSTOR"
_FORMAT_VERSION = 1
_FILE_HEADER = struct.Struct("<6sHIQ")  # magic, format, salt, synced length
_CHECKSUM = struct.Struct("<I")
_FILE_HEADER_BYTES = _FILE_HEADER.size + _CHECKSUM.size
_MARKER = b"\xa5Rc\x1e"
_MARKER_OFFSET = 4  # offset of the marker in a record, after the length
_RECORD_HEADER = struct.Struct("<I4sI")  # length, marker, checksum
_BATCH_POSITION = struct.Struct("<QII")  # sequence, index, count
_PREFIX_BYTES = _RECORD_HEADER.size + _BATCH_POSITION.size
_DISK_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})
_FILE_MODE = 0o600


class _ValidRecord(NamedTuple):
    """The fields in the prefix of a valid record, and the offset of its end."""

    sequence: int
    index: int  # position in its batch
    count: int  # number of records in the batch
    end: int


class _Replayed(NamedTuple):
    """The records of all complete batches of a file, and the offset at which the last batch ends."""

    records: list[Record]
    end: int


def _store_error(error: OSError, operation: str) -> StoreError:
    kind = StoreFullError if error.errno in _DISK_FULL else StoreError
    return kind(f"{operation}: {error.strerror or error}")


def _file_header(salt: int, synced: int) -> bytes:
    header = _FILE_HEADER.pack(_MAGIC, _FORMAT_VERSION, salt, synced)
    return header + _CHECKSUM.pack(zlib.crc32(header))


def _encode_batch(records: list[Record], salt: int, sequence: int) -> bytes:
    """Encode one batch. Raises StoreError for a value that can't be encoded or is too long."""
    chunks: list[bytes] = []
    for index, record in enumerate(records):
        try:
            value = ormsgpack.packb(record)
        except (TypeError, ValueError) as error:
            raise StoreError(f"a record can't be encoded: {error}") from error
        if len(value) > MAX_RECORD_BYTES:
            raise StoreError(f"a record of {len(value)} bytes is too long")
        body = _BATCH_POSITION.pack(sequence + index, index, len(records)) + value
        chunks += (_RECORD_HEADER.pack(len(value), _MARKER, zlib.crc32(body, salt)), body)
    return b"".join(chunks)


def _valid_record_at(data: bytes, offset: int, salt: int) -> _ValidRecord | None:
    """The valid record that starts at this offset; None if there is none."""
    if offset < 0 or offset + _PREFIX_BYTES > len(data):
        return None
    length, marker, checksum = _RECORD_HEADER.unpack_from(data, offset)
    end = offset + _PREFIX_BYTES + length
    if marker != _MARKER or length > MAX_RECORD_BYTES or end > len(data):
        return None
    body_offset = offset + _RECORD_HEADER.size
    if zlib.crc32(memoryview(data)[body_offset:end], salt) != checksum:
        return None
    return _ValidRecord(*_BATCH_POSITION.unpack_from(data, body_offset), end)


def _valid_records_from(data: bytes, start: int, salt: int) -> Iterator[_ValidRecord]:
    """Each valid record that starts at offset `start` or at any later one."""
    marker = data.find(_MARKER, start)
    while marker >= 0:
        record = _valid_record_at(data, marker - _MARKER_OFFSET, salt)
        if record is not None:
            yield record
        marker = data.find(_MARKER, marker + 1)


class WriteAheadLog:
    """The file `name`.log in `folder`. All calls block; only one thread at a time may use it.

    `size` is the length of the file in bytes. `failed` is set from a failure until a compaction succeeds;
    nothing can be appended meanwhile.
    """

    def __init__(self, folder: Path, name: str = "state") -> None:
        """Doesn't access the disk; `open` does."""
        self._directory = folder
        self._path = folder / f"{name}.log"
        self._replacement_path = folder / f"{name}.log.rewrite"
        self._fd = -1
        self._salt = 0
        self._next_sequence = 0
        self._compacted_size = 0  # length in bytes after the last compaction
        self.size = 0
        self.failed = False

    def open(self) -> list[Record]:
        """Create the file, or replay it: the records in order, all durable when this returns.

        Raises StoreCorruptedError for a corrupted file (see the module), StoreError if the file can't be read
        or created.
        """
        try:
            self._directory.mkdir(parents=True, exist_ok=True)
            self._replacement_path.unlink(missing_ok=True)
            exists = self._path.exists()
        except OSError as error:
            raise _store_error(error, "open") from error
        if not exists:
            self.compact([])
            return []
        try:
            return self._open_existing()
        except OSError as error:
            self.failed = True
            raise _store_error(error, "open") from error

    def _open_existing(self) -> list[Record]:
        data = self._path.read_bytes()
        records, end = self._replay(data)
        if end > self._compacted_size:
            # A sync of an earlier process may have failed: then the data read here may be only in the page
            # cache, and no later sync of this file would write it.
            with contextlib.suppress(StoreError):
                self.compact(records)
                return records
            data = self._path.read_bytes()
            records, end = self._replay(data)
        self.close()
        self._fd = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if end < len(data):
            os.ftruncate(self._fd, end)
        # Makes durable what a killed process had written but not synced, before the owner relies on it.
        os.fsync(self._fd)
        self._sync_directory()
        self.size, self.failed = end, False
        return records

    def append(self, records: list[Record]) -> None:
        """Write and sync one batch.

        Raises StoreFullError, StoreError: the batch may or may not be on the disk, and the log has failed.
        A record that can't be encoded or is too long (StoreError) leaves the log unchanged.
        """
        if self.failed or self._fd < 0:
            raise StoreError("the log has failed; it takes no records until it is compacted")
        if not records:
            return
        data = _encode_batch(records, self._salt, self._next_sequence)
        self.failed = True
        try:
            written = os.write(self._fd, data)
            if written != len(data):
                raise StoreFullError(f"append: {written} of {len(data)} bytes written")
            os.fdatasync(self._fd)
        except OSError as error:
            raise _store_error(error, "append") from error
        self.failed = False
        self._next_sequence += len(records)
        self.size += len(data)

    def compact(self, snapshot: list[Record]) -> None:
        """Atomically replace the whole contents by these records; repairs a failed log.

        Raises StoreFullError, StoreError: the disk has either the old contents or all of the new ones.
        """
        salt = int.from_bytes(os.urandom(4), "little")
        body = _encode_batch(snapshot, salt, 0)
        size = _FILE_HEADER_BYTES + len(body)
        with contextlib.ExitStack() as on_failure:
            on_failure.callback(self._remove_replacement)
            try:
                fd = os.open(
                    self._replacement_path,
                    os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC,
                    _FILE_MODE,
                )
                on_failure.callback(os.close, fd)
                written = os.write(fd, _file_header(salt, size) + body)
                if written != size:
                    raise StoreFullError(f"compact: {written} of {size} bytes written")
                os.fsync(fd)
                # After the rename the old descriptor refers to an unlinked file.
                self.failed = True
                os.rename(self._replacement_path, self._path)
                self._sync_directory()
            except OSError as error:
                raise _store_error(error, "compact") from error
            on_failure.pop_all()
        self.close()
        self._fd, self._salt, self._next_sequence = fd, salt, len(snapshot)
        self.size = self._compacted_size = size
        self.failed = False

    @property
    def needs_compaction(self) -> bool:
        """Whether the file has grown much since the last compaction."""
        return self.size > max(COMPACTION_MIN_BYTES, COMPACTION_GROWTH_FACTOR * self._compacted_size)

    def close(self) -> None:
        """Close the descriptor; later appends are refused."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _remove_replacement(self) -> None:
        with contextlib.suppress(OSError):
            self._replacement_path.unlink(missing_ok=True)

    def _sync_directory(self) -> None:
        """Make the file's directory entry durable."""
        fd = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _replay(self, data: bytes) -> _Replayed:
        """Replay the complete batches of a file; adopt its salt, sequence and compacted size."""
        salt, synced = _read_file_header(data)
        records: list[Record] = []
        batch: list[Record] = []
        offset = end = _FILE_HEADER_BYTES
        sequence = 0
        while (record := _valid_record_at(data, offset, salt)) is not None:
            if record.sequence != sequence or record.index != len(batch) or record.index >= record.count:
                break
            batch.append(ormsgpack.unpackb(memoryview(data)[offset + _PREFIX_BYTES : record.end]))
            offset, sequence = record.end, sequence + 1
            if record.index + 1 == record.count:
                records += batch
                batch, end = [], offset
        _raise_if_not_torn_tail(data, offset, salt, sequence)
        if end < synced:
            raise StoreCorruptedError(f"record {sequence} at byte {offset} is bad and had been synced")
        self._salt, self._next_sequence, self._compacted_size = salt, sequence - len(batch), synced
        return _Replayed(records, end)


def _read_file_header(data: bytes) -> tuple[int, int]:
    """Return the salt and the synced length. Raises StoreCorruptedError."""
    if len(data) < _FILE_HEADER_BYTES:
        raise StoreCorruptedError("the header is cut short")
    magic, version, salt, synced = _FILE_HEADER.unpack_from(data)
    if (
        data[:_FILE_HEADER_BYTES] != _file_header(salt, synced)
        or magic != _MAGIC
        or version != _FORMAT_VERSION
    ):
        raise StoreCorruptedError("the header is not one of this format")
    return salt, synced


def _raise_if_not_torn_tail(data: bytes, offset: int, salt: int, sequence: int) -> None:
    """Raises StoreCorruptedError if a batch after that of the invalid record at `offset` is in the file."""
    for later in _valid_records_from(data, offset, salt):
        if later.sequence - later.index > sequence:
            raise StoreCorruptedError(
                f"record {sequence} at byte {offset} is bad, record {later.sequence} is not"
            )
