"""An append-only file of checksummed records.

Layout, all numbers little-endian. Header: magic, format, salt, synced length, CRC32 of these. Then records:
length of the value (u32), marker, CRC32 (u32, started from the salt, over what follows), sequence (u64,
from 0 and without gaps), index and count within the batch (u32 each), the value in ormsgpack.

The rule by which a torn tail is told from damage: each append is one batch, written only after the batch
before it was synced, and never after a failure. So only the last batch can be torn by a loss of power, and
any part of it may be missing. Reading stops at the first bad record; the batch that it belongs to is
dropped whole (a batch is there wholly or not at all). It is damage, and StoreCorruptedError, if
- the bad record lies within the synced length of the header (what the last rewrite wrote), or
- after it a valid record of a later batch is found, which proves that the bad one had been synced.
Damage in the very last batch can't be told from a torn one and counts as torn.
"""

import contextlib
import errno
import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import ormsgpack

from plumline.errors import StoreCorruptedError, StoreError, StoreFullError

MAX_RECORD_BYTES = 16 * 1024 * 1024
COMPACTION_MIN_BYTES = 1024 * 1024
COMPACTION_GROWTH_FACTOR = 4

_MAGIC = b"PLSTOR"
_FORMAT = 1
_HEADER = struct.Struct("<6sHIQ")
_CHECK = struct.Struct("<I")
_HEADER_SIZE = _HEADER.size + _CHECK.size
_MARKER = b"\xa5Rc\x1e"
_RECORD = struct.Struct("<I4sI")
_PLACE = struct.Struct("<QII")
_PREFIX_SIZE = _RECORD.size + _PLACE.size
_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


def _store_error(error: OSError, doing: str) -> StoreError:
    kind = StoreFullError if error.errno in _FULL else StoreError
    return kind(f"{doing}: {error.strerror or error}")


def _header(salt: int, synced: int) -> bytes:
    head = _HEADER.pack(_MAGIC, _FORMAT, salt, synced)
    return head + _CHECK.pack(zlib.crc32(head))


def _encode(records: list[Any], salt: int, sequence: int) -> bytes:
    """One batch as bytes; StoreError for a value that can't be encoded or is too long."""
    parts: list[bytes] = []
    for index, record in enumerate(records):
        try:
            value = ormsgpack.packb(record)
        except (TypeError, ValueError) as error:
            raise StoreError(f"a record can't be encoded: {error}") from error
        if len(value) > MAX_RECORD_BYTES:
            raise StoreError(f"a record of {len(value)} bytes is too long")
        body = _PLACE.pack(sequence + index, index, len(records)) + value
        parts += (_RECORD.pack(len(value), _MARKER, zlib.crc32(body, salt)), body)
    return b"".join(parts)


def _record_at(data: bytes, at: int, salt: int) -> tuple[int, int, int, int] | None:
    """(sequence, index, count, end) of the valid record that begins at byte `at`; None if there is none."""
    if at < 0 or at + _PREFIX_SIZE > len(data):
        return None
    length, marker, check = _RECORD.unpack_from(data, at)
    end = at + _PREFIX_SIZE + length
    if marker != _MARKER or length > MAX_RECORD_BYTES or end > len(data):
        return None
    if zlib.crc32(memoryview(data)[at + _RECORD.size : end], salt) != check:
        return None
    return *_PLACE.unpack_from(data, at + _RECORD.size), end


def _valid_after(data: bytes, start: int, salt: int) -> Iterator[tuple[int, int]]:
    """(sequence, index) of each valid record that begins at `start` or later, wherever it begins."""
    found = data.find(_MARKER, start)
    while found >= 0:
        record = _record_at(data, found - 4, salt)
        if record:
            yield record[0], record[1]
        found = data.find(_MARKER, found + 1)


class WriteAheadLog:
    """The file `name`.log in `folder`. All calls block; one thread at a time may use it."""

    def __init__(self, folder: Path, name: str = "state") -> None:
        self._folder = folder
        self._path = folder / f"{name}.log"
        self._rewrite_path = folder / f"{name}.log.rewrite"
        self._fd = -1
        self._salt = 0
        self._sequence = 0
        self._rewritten = 0
        self.size = 0
        self.failed = False

    def open(self) -> list[Any]:
        """Create the file, or replay it: the values in order, all of them durable when this returns.

        StoreCorruptedError: see above. StoreError: the disk doesn't let it be read or made.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._rewrite_path.unlink(missing_ok=True)
            exists = self._path.exists()
        except OSError as error:
            raise _store_error(error, "open") from error
        if not exists:
            self.compact([])
            return []
        try:
            data = self._path.read_bytes()
            values, end = self._replay(data)
            if end > self._rewritten:
                # A sync of an earlier life may have failed: then what is read here may be in the page cache
                # only, and no later sync of this file would write it.
                with contextlib.suppress(StoreError):
                    self.compact(values)
                    return values
                data = self._path.read_bytes()
                values, end = self._replay(data)
            self.close()
            self._fd = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            if end < len(data):
                os.ftruncate(self._fd, end)
            # What a killed process had written but not synced is about to be relied upon.
            os.fsync(self._fd)
            self._sync_folder()
        except OSError as error:
            self.failed = True
            raise _store_error(error, "open") from error
        self.size, self.failed = end, False
        return values

    def append(self, records: list[Any]) -> None:
        """Write and sync one batch. StoreFullError, StoreError: it may be there; broken until a rewrite."""
        if self.failed or self._fd < 0:
            raise StoreError("the file is broken until it is rewritten")
        if not records:
            return
        data = _encode(records, self._salt, self._sequence)
        self.failed = True
        try:
            written = os.write(self._fd, data)
            if written != len(data):
                raise StoreFullError(f"append: {written} of {len(data)} bytes written")
            os.fdatasync(self._fd)
        except OSError as error:
            raise _store_error(error, "append") from error
        self.failed = False
        self._sequence += len(records)
        self.size += len(data)

    def compact(self, records: list[Any]) -> None:
        """Put exactly these values in place of the whole contents, all or nothing; heals a broken file."""
        salt = int.from_bytes(os.urandom(4), "little")
        body = _encode(records, salt, 0)
        size = _HEADER_SIZE + len(body)
        fd = -1
        try:
            fd = os.open(
                self._rewrite_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
            )
            written = os.write(fd, _header(salt, size) + body)
            if written != size:
                raise StoreFullError(f"rewrite: {written} of {size} bytes written")
            os.fsync(fd)
            # From here on the old descriptor may be that of a file without a name.
            self.failed = True
            os.rename(self._rewrite_path, self._path)
            self._sync_folder()
        except (OSError, StoreError) as error:
            if fd >= 0:
                os.close(fd)
            with contextlib.suppress(OSError):
                self._rewrite_path.unlink(missing_ok=True)
            if isinstance(error, StoreError):
                raise
            raise _store_error(error, "rewrite") from error
        self.close()
        self._fd, self._salt, self._sequence = fd, salt, len(records)
        self.size = self._rewritten = size
        self.failed = False

    @property
    def needs_compaction(self) -> bool:
        """The file is long beside what the last rewrite left."""
        return self.size > max(COMPACTION_MIN_BYTES, COMPACTION_GROWTH_FACTOR * self._rewritten)

    def close(self) -> None:
        """Close the descriptor; appends are refused from then on."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _replay(self, data: bytes) -> tuple[list[Any], int]:
        """The values of all whole batches and where the last of these ends."""
        if len(data) < _HEADER_SIZE:
            raise StoreCorruptedError("the header is cut short")
        magic, version, salt, synced = _HEADER.unpack_from(data)
        if data[:_HEADER_SIZE] != _header(salt, synced) or magic != _MAGIC or version != _FORMAT:
            raise StoreCorruptedError("the header is not one of this format")
        values: list[Any] = []
        batch: list[Any] = []
        at = end = _HEADER_SIZE
        sequence = 0
        while (record := _record_at(data, at, salt)) is not None:
            number, index, count, following = record
            if number != sequence or index != len(batch) or index >= count:
                break
            batch.append(ormsgpack.unpackb(memoryview(data)[at + _PREFIX_SIZE : following]))
            at, sequence = following, sequence + 1
            if index + 1 == count:
                values += batch
                batch, end = [], at
        if at < len(data):
            for number, index in _valid_after(data, at, salt):
                if number - index > sequence:
                    raise StoreCorruptedError(
                        f"record {sequence} at byte {at} is bad, record {number} is not"
                    )
        if end < synced:
            raise StoreCorruptedError(f"record {sequence} at byte {at} is bad and had been synced")
        self._salt, self._sequence, self._rewritten = salt, sequence - len(batch), synced
        return values, end
