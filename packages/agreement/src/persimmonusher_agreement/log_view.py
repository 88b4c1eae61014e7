"""The log in memory: the entries after a base, which is the last index of a snapshot."""

from collections.abc import Sequence

from persimmonusher_agreement.log_messages import NO_MEMBERS, Entry, Members, Snapshot


class LogView:
    """Entries by index, and the members that are in force at each index."""

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def find_term(self, index: int) -> int | None:
        """Return the term at an index, or None if the log doesn't hold that index."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def list_from(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """List the entries from an index on, which must be after the base; at most `limit`."""
        start = index - self.base_index - 1
        stop = None if limit is None else start + limit
        return tuple(self._entries[start:stop])

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Remove the entries from this index on."""
        del self._entries[index - self.base_index - 1 :]

    def replace_base(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Replace the log up to a snapshot's index by the snapshot; return the entries kept.

        Entries after the snapshot stay if the log holds the snapshot's last entry: some may be
        acknowledged already, and removing those would break the promise to the leader.
        """
        kept: tuple[Entry, ...] = ()
        if self.find_term(snapshot.index) == snapshot.term:
            kept = self.list_from(snapshot.index + 1)
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = list(kept)
        return kept

    def find_members(self) -> tuple[int, Members]:
        """Return the index of the entry that set the members in force, and those members."""
        for entry in reversed(self._entries):
            if isinstance(entry.command, Members):
                return entry.index, entry.command
        if self.snapshot is None:
            return 0, NO_MEMBERS
        return self.snapshot.index, self.snapshot.members

    def find_members_at(self, index: int) -> Members:
        """Return the members in force at an index, which must not be before the base."""
        for entry in reversed(self._entries):
            if entry.index <= index and isinstance(entry.command, Members):
                return entry.command
        return NO_MEMBERS if self.snapshot is None else self.snapshot.members

    def is_newer_or_equal(self, last_term: int, last_index: int) -> bool:
        """Return whether a candidate's log is at least as up to date as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)
