"""The log and the vote of one keeper, with each change written through to its storage."""

from collections.abc import Sequence

from persimmonusher_agreement.log_messages import Entry, KeeperId, Members, Snapshot, Vote
from persimmonusher_agreement.log_storage import LogStorage, StorageError
from persimmonusher_agreement.log_view import LogView
from persimmonusher_model.errors import ErrorCode


class DurableLog(LogView):
    """A log whose changes are durable after `sync`; votes and snapshots are durable at once."""

    def __init__(self, storage: LogStorage) -> None:
        stored = storage.load()
        super().__init__(stored.snapshot, stored.entries)
        self._storage = storage
        self._unsynced = False
        self.vote = stored.vote
        self.members_index, self.members = self.find_members()

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last; members among them are in force at once."""
        self._storage.append(entries)
        self._unsynced = True
        super().append(entries)
        for entry in entries:
            if isinstance(entry.command, Members):
                self.members_index, self.members = entry.index, entry.command

    def truncate(self, index: int) -> None:
        """Remove the entries from this index on, and with them the members that they set."""
        self._storage.truncate(index)
        self._unsynced = True
        super().truncate(index)
        self.members_index, self.members = self.find_members()

    def sync(self) -> None:
        """Return once every entry is durable."""
        if self._unsynced:
            self._storage.sync()
            self._unsynced = False

    def save_vote(self, term: int, voted_for: KeeperId | None) -> None:
        """Replace the vote; durable on return."""
        vote = Vote(term, voted_for)
        self._storage.save_vote(vote)
        self.vote = vote

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to a snapshot's index by the snapshot; durable on return."""
        kept = self.replace_base(snapshot)
        self._storage.save_snapshot(snapshot, kept)
        self._unsynced = False
        self.members_index, self.members = self.find_members()

    def merge(self, entries: Sequence[Entry], commit: int) -> None:
        """Append the entries that are new, and remove own ones only from the first difference on.

        Guards against late and reordered requests: a request that ends before the log does must
        not remove later entries, which may be acknowledged already.
        """
        for position, entry in enumerate(entries):
            term = self.find_term(entry.index)
            if term == entry.term or entry.index <= self.base_index:
                continue
            if term is not None:
                self._check_uncommitted(entry.index, commit)
                self.truncate(entry.index)
            self.append(entries[position:])
            return

    def _check_uncommitted(self, index: int, commit: int) -> None:
        """Raise StorageError rather than remove a committed entry.

        A difference in a committed entry means that a disk lost what it reported as synced.
        """
        if index <= commit:
            message = f"entry {index} is committed here and differs from the leader's"
            raise StorageError(ErrorCode.DAMAGED_STORAGE, message)

    def find_conflict_hint(self, previous_index: int, commit: int) -> int:
        """Return the index from which the leader should try again after a difference.

        It skips the entries of the term just before `previous_index`, down to the commit index,
        which saves a round trip for each of them.
        """
        hint = min(previous_index - 1, self.last_index)
        term = self.find_term(hint)
        while hint > commit and self.find_term(hint) == term:
            hint -= 1
        return max(hint, commit)
