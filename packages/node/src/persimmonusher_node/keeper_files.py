"""Checksummed files in a keeper's folder, durable where a method says so.

Every disk error is raised as a StorageError: STORAGE_FULL when space ran out, DAMAGED_STORAGE when
a checksum doesn't match, UNAVAILABLE for the rest.
"""

import errno
import fcntl
import os
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import xxhash

from persimmonusher_agreement.log_storage import StorageError
from persimmonusher_model.errors import ErrorCode

MAGIC: Final = b"pUsh"
HEADER: Final = struct.Struct(">4sIQ")
"""Magic, length of the payload, and the checksum of length and payload."""

DISK_FULL_ERRNOS: Final = frozenset({errno.ENOSPC, errno.EDQUOT})
LOCK_FILE: Final = "lock"

SLICE_BYTES: Final = 1_048_576
"""Bytes that are written and synced at a time: about ten milliseconds of disk time."""


def frame(payload: bytes) -> bytes:
    """Return the payload with its header."""
    return HEADER.pack(MAGIC, len(payload), _compute_checksum(payload)) + payload


def _compute_checksum(payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=len(payload))


@dataclass(frozen=True)
class FrameScan:
    """The payloads of a file, and the number of bytes at its end that form no whole frame."""

    payloads: tuple[bytes, ...]
    valid_bytes: int
    torn_bytes: int


def scan_frames(content: bytes, name: str) -> FrameScan:
    """Read frames up to a torn end; raise DAMAGED_STORAGE when a whole frame follows a bad one.

    Guards against mistaking damage for a torn write. A crash can only tear the frame that was being
    written, which is the last. A bad frame before a good one was durable once, and the keeper has
    made promises based on it, so it must not go on without it.
    """
    payloads: list[bytes] = []
    offset = 0
    while (payload := _read_frame(content, offset)) is not None:
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    later = content.find(MAGIC, offset + 1)
    while later >= 0:
        if _read_frame(content, later) is not None:
            message = f"{name}: bad record at byte {offset}, a good one at byte {later}"
            raise StorageError(ErrorCode.DAMAGED_STORAGE, message)
        later = content.find(MAGIC, later + 1)
    return FrameScan(tuple(payloads), offset, len(content) - offset)


def _read_frame(content: bytes, offset: int) -> bytes | None:
    if len(content) - offset < HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack_from(content, offset)
    start = offset + HEADER.size
    payload = content[start : start + length]
    if magic != MAGIC or len(payload) < length or _compute_checksum(payload) != checksum:
        return None
    return payload


class KeeperFiles:
    """The files of one folder, held by one process at a time.

    >>> with KeeperFiles(Path("data/keeper")) as files:  # doctest: +SKIP
    ...     files.replace("vote", b"payload")
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock: int | None = None
        self._appending: int | None = None

    def __enter__(self) -> Self:
        with self._translate_errors("folder"):
            self.folder.mkdir(parents=True, exist_ok=True)
            self._sync_folder(self.folder.parent)
            self._lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT)
            self._hold_lock(self._lock)
        return self

    def _hold_lock(self, descriptor: int) -> None:
        """Lock the folder against a second process.

        Two writers could each make promises for the same keeper that contradict each other.
        """
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            message = f"{self.folder}: another process holds this folder"
            raise StorageError(ErrorCode.UNAVAILABLE, message) from error

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Release the files and the lock; safe to call twice."""
        for descriptor in (self._appending, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._appending = self._lock = None

    def exists(self, name: str) -> bool:
        """Return whether a file of this name exists."""
        return (self.folder / name).exists()

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        with self._translate_errors(name):
            return (self.folder / name).read_bytes()

    def read_record(self, name: str) -> bytes:
        """Return the payload of a file of one record; raise DAMAGED_STORAGE for any other."""
        scan = scan_frames(self.read(name), name)
        if len(scan.payloads) != 1 or scan.torn_bytes:
            raise StorageError(ErrorCode.DAMAGED_STORAGE, f"{name}: the checksum doesn't fit")
        return scan.payloads[0]

    def replace(self, name: str, content: bytes) -> None:
        """Replace a file: the new content is durable on return; after a crash one of the two is.

        This rests on the order: the new file is synced before it is renamed, and the folder is
        synced before the method returns.
        """
        temporary = self.folder / f"{name}.new"
        with self._translate_errors(name):
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
            try:
                self._write(descriptor, content)
                self._sync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(temporary, self.folder / name)
            self._sync_folder(self.folder)

    def write_in_slices(self, name: str, content: bytes) -> Iterator[None]:
        """Write and sync a new file slice by slice; the event loop can run between them.

        Guards against blocking the loop while tens of megabytes are written to the disk: a leader
        would miss its heartbeats and be replaced.
        """
        with self._translate_errors(name):
            descriptor = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
            try:
                for start in range(0, len(content), SLICE_BYTES):
                    self._write(descriptor, content[start : start + SLICE_BYTES])
                    self._sync(descriptor)
                    yield
            finally:
                os.close(descriptor)

    def rename(self, written: str, name: str) -> None:
        """Rename a written and synced file; durable on return."""
        with self._translate_errors(name):
            os.replace(self.folder / written, self.folder / name)
            self._sync_folder(self.folder)

    def open_append(self, name: str) -> None:
        """Open a file for `append`, in place of the one opened before."""
        with self._translate_errors(name):
            if self._appending is not None:
                os.close(self._appending)
            self._appending = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)

    def append(self, content: bytes) -> None:
        """Append to the file opened last; durable on return."""
        assert self._appending is not None
        with self._translate_errors("log"):
            self._write(self._appending, content)
            self._sync(self._appending)

    def set_aside(self, label: str) -> Path:
        """Move everything but the lock to a folder beside this one, and return its path."""
        with self._translate_errors("folder"):
            number = 1
            while (aside := self.folder.with_name(f"{self.folder.name}.{label}-{number}")).exists():
                number += 1
            aside.mkdir()
            for path in self.folder.iterdir():
                if path.name != LOCK_FILE:
                    path.rename(aside / path.name)
            self._sync_folder(self.folder)
            self._sync_folder(self.folder.parent)
            return aside

    def _name_aside(self, label: str, number: int) -> Path:
        return self.folder.with_name(f"{self.folder.name}.{label}-{number}")

    def _write(self, descriptor: int, content: bytes) -> None:
        view = memoryview(content)
        while view:
            view = view[os.write(descriptor, view) :]

    def _sync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def _sync_folder(self, folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    @contextmanager
    def _translate_errors(self, name: str) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            code = (
                ErrorCode.STORAGE_FULL if error.errno in DISK_FULL_ERRNOS else ErrorCode.UNAVAILABLE
            )
            raise StorageError(code, f"{self.folder / name}: {error.strerror}") from error
