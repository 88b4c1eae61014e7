"""The port to a keeper's disk."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonusher_agreement.log_messages import Entry, Snapshot, Vote
from persimmonusher_model.errors import UsherError


class StorageError(UsherError):
    """The disk failed, is full or holds damage: the keeper must make no promise any more."""


@dataclass(frozen=True)
class StoredLog:
    """What a keeper finds on its disk when it starts."""

    vote: Vote
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    """Contiguous from the index after the snapshot's."""


class LogStorage(ABC):
    """A keeper's disk. Every method raises StorageError when the disk fails.

    After an error nothing is known of what reached the disk: the caller makes no promise any more
    and starts again from `load`.
    """

    @abstractmethod
    def load(self) -> StoredLog:
        """Read what is stored and make sure that all of it is durable."""

    @abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last; durable only after `sync`."""

    @abstractmethod
    def truncate(self, index: int) -> None:
        """Drop the entries from this index on; durable only after `sync`."""

    @abstractmethod
    def sync(self) -> None:
        """Return once all appends and truncations are durable."""

    @abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the vote; durable on return."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[Entry]) -> None:
        """Replace the snapshot and the log by these; durable on return."""
