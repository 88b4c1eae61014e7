"""The port to a keeper's disk."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonusher_agreement.log_messages import Entry, Snapshot, Vote
from persimmonusher_model.errors import UsherError


class StorageError(UsherError):
    """The disk failed, is full or holds damaged data: the keeper must make no further promise."""


@dataclass(frozen=True)
class StoredLog:
    """The contents of a keeper's disk at its start."""

    vote: Vote
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    """Contiguous, starting at the index after the snapshot's."""


class LogStorage(ABC):
    """A keeper's disk. Every method raises StorageError when the disk fails.

    After an error it is unknown what reached the disk: the caller must make no further promise and
    start again from `load`.
    """

    @abstractmethod
    def load(self) -> StoredLog:
        """Read the stored log and make sure that all of it is durable."""

    @abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last; durable only after `sync`."""

    @abstractmethod
    def truncate(self, index: int) -> None:
        """Remove the entries from this index on; durable only after `sync`."""

    @abstractmethod
    def sync(self) -> None:
        """Return once all appends and truncations are durable."""

    @abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the vote; durable on return."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[Entry]) -> None:
        """Replace the snapshot and the log by the given ones; durable on return."""
