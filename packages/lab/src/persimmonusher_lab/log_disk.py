"""A keeper's disk in memory: what was not synced is lost in a crash, and it can fail on demand."""

from collections.abc import Sequence
from enum import Enum

from persimmonusher_agreement.log_messages import Entry, Snapshot, Vote
from persimmonusher_agreement.log_storage import LogStorage, StorageError, StoredLog
from persimmonusher_model.errors import ErrorCode

EMPTY = StoredLog(Vote(0, None), None, ())


class DiskFault(Enum):
    """How the next write to a disk fails."""

    LOST = "error, nothing written"
    WRITTEN = "error, although all was written"
    FULL = "no space left"


class MemoryDisk(LogStorage):
    """A disk that holds durable state, and entries that wait for a sync."""

    def __init__(self) -> None:
        self.durable = EMPTY
        self.fault: DiskFault | None = None
        self._entries: list[Entry] = []

    def load(self) -> StoredLog:
        """Discard what was not synced and return the durable state."""
        self._entries = list(self.durable.entries)
        return self.durable

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last; lost in a crash before `sync`."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entries from this index on; undone by a crash before `sync`."""
        self._entries = [entry for entry in self._entries if entry.index < index]

    def sync(self) -> None:
        """Make the entries durable; raise StorageError if a fault is set."""
        stored = self.durable
        self._replace(StoredLog(stored.vote, stored.snapshot, tuple(self._entries)))

    def save_vote(self, vote: Vote) -> None:
        """Make the vote durable, and the vote alone."""
        stored = self.durable
        self._replace(StoredLog(vote, stored.snapshot, stored.entries))

    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[Entry]) -> None:
        """Make a snapshot and the log after it durable."""
        self._entries = list(kept)
        self._replace(StoredLog(self.durable.vote, snapshot, tuple(kept)))

    def _replace(self, stored: StoredLog) -> None:
        fault, self.fault = self.fault, None
        if fault in (None, DiskFault.WRITTEN):
            self.durable = stored
        if fault is DiskFault.FULL:
            raise StorageError(ErrorCode.STORAGE_FULL, "no space left")
        if fault is not None:
            raise StorageError(ErrorCode.UNAVAILABLE, fault.value)
