"""A keeper's files on disk: identity, vote, snapshot and log, each checksummed.

The log file is a base record and then one record for each sync, so that a crash can tear at most
the last record. Loading rewrites the log into a new, synced file: what an earlier process wrote but
never synced may be read back from the page cache, and must be durable before the keeper relies on
it.
"""

import secrets
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from google.protobuf.message import DecodeError

from persimmonusher_agreement.log_messages import Entry, KeeperId, Snapshot, Vote
from persimmonusher_agreement.log_storage import LogStorage, StorageError, StoredLog
from persimmonusher_model.errors import ErrorCode
from persimmonusher_model.identifiers import InstanceId
from persimmonusher_node.keeper_files import KeeperFiles, frame, scan_frames
from persimmonusher_node.keeper_wire import (
    decode_entry,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    encode_snapshot_parts,
)
from persimmonusher_protocol import keeper_pb2 as pb

IDENTITY: Final = "identity"
VOTE: Final = "vote"
SNAPSHOT: Final = "snapshot"
LOG: Final = "log"
PREPARED_SNAPSHOT: Final = "snapshot.prepared"
DISK_ID_BYTES: Final = 8


@dataclass(frozen=True)
class OpenReport:
    """What opening the disk found, for the log line about it."""

    new_identity: bool
    torn_bytes: int
    """Bytes of an unfinished last record that were cut off."""
    set_aside: Path | None
    """The folder to which the files of a damaged folder were moved."""
    damage: str


def make_disk_id() -> str:
    """Make the random id of a data folder."""
    return secrets.token_hex(DISK_ID_BYTES)


class KeeperStorage(LogStorage):
    """The storage port on real files.

    `files` must already be entered as a context. A folder without an identity is initialised; the
    files of a damaged one are set aside and it is initialised too, so that the keeper comes back
    with another identity that never voted.
    """

    def __init__(
        self,
        files: KeeperFiles,
        instance: InstanceId,
        make_id: Callable[[], str] = make_disk_id,
    ) -> None:
        self._files = files
        self._truncate_from = 0
        self._pending: list[Entry] = []
        self._torn_bytes = 0
        self._prepared: Snapshot | None = None
        set_aside, damage = None, ""
        try:
            is_new = not files.exists(IDENTITY)
            stored = None if is_new else self._read()
        except StorageError as error:
            if error.code is not ErrorCode.DAMAGED_STORAGE:
                raise
            is_new, stored, damage = True, None, error.message
            set_aside = files.set_aside("damaged")
        if stored is None:
            stored = self._create(instance, make_id())
        self.keeper = KeeperId(files.read_record(IDENTITY).decode())
        if self.keeper.rpartition("#")[0] != instance:
            message = f"the data folder belongs to {self.keeper}, not to {instance}"
            raise StorageError(ErrorCode.BAD_VALUE, message)
        self._stored = stored
        self.report = OpenReport(is_new, self._torn_bytes, set_aside, damage)

    def _create(self, instance: InstanceId, disk_id: str) -> StoredLog:
        """Initialise the folder; the identity is written last, as no promise is made without it."""
        stored = StoredLog(Vote(0, None), None, ())
        if self._files.exists(SNAPSHOT) or self._files.exists(LOG):
            self._files.set_aside("without-identity")
        self.save_vote(stored.vote)
        self._rewrite_log(0, 0, ())
        self._files.replace(IDENTITY, frame(f"{instance}#{disk_id}".encode()))
        return stored

    def _read(self) -> StoredLog:
        for name in (IDENTITY, VOTE, LOG):
            if not self._files.exists(name):
                raise StorageError(ErrorCode.DAMAGED_STORAGE, f"{name}: the file is missing")
        self._files.read_record(IDENTITY)
        try:
            vote = pb.Vote.FromString(self._files.read_record(VOTE))
            snapshot = None
            if self._files.exists(SNAPSHOT):
                wire = pb.Snapshot.FromString(self._files.read_record(SNAPSHOT))
                snapshot = decode_snapshot(wire)
            entries = self._read_log(snapshot)
        except (DecodeError, KeyError, ValueError) as error:
            raise StorageError(ErrorCode.DAMAGED_STORAGE, f"unreadable record: {error}") from error
        voted_for = KeeperId(vote.voted_for) if vote.HasField("voted_for") else None
        return StoredLog(Vote(vote.term, voted_for), snapshot, entries)

    def _read_log(self, snapshot: Snapshot | None) -> tuple[Entry, ...]:
        scan = scan_frames(self._files.read(LOG), LOG)
        if not scan.payloads:
            raise StorageError(ErrorCode.DAMAGED_STORAGE, "log: the first record is missing")
        self._torn_bytes = scan.torn_bytes
        base = pb.LogBase.FromString(scan.payloads[0])
        entries: list[Entry] = []
        for payload in scan.payloads[1:]:
            _replay(pb.LogBatch.FromString(payload), base.index, entries)
        return match_snapshot(base.index, base.term, entries, snapshot)

    def load(self) -> StoredLog:
        """Return what is stored, after making all of it durable."""
        stored = self._stored
        index = stored.snapshot.index if stored.snapshot else 0
        term = stored.snapshot.term if stored.snapshot else 0
        self._rewrite_log(index, term, stored.entries)
        return stored

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries after the last one; written and durable only after `sync`."""
        self._pending.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entries from this index on; durable only after `sync`."""
        self._pending = [entry for entry in self._pending if entry.index < index]
        self._truncate_from = min(self._truncate_from or index, index)

    def sync(self) -> None:
        """Write the pending changes as one record and return once it is durable."""
        if not self._pending and not self._truncate_from:
            return
        batch = pb.LogBatch(
            truncate_from=self._truncate_from, entries=map(encode_entry, self._pending)
        )
        self._files.append(frame(batch.SerializeToString()))
        self._pending.clear()
        self._truncate_from = 0

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote; durable on return."""
        wire = pb.Vote(term=vote.term, voted_for=vote.voted_for)
        self._files.replace(VOTE, frame(wire.SerializeToString()))

    def prepare_snapshot(self, snapshot: Snapshot) -> Iterator[None]:
        """Encode and write a snapshot in slices, so that `save_snapshot` of it is quick.

        The file isn't used until then, so a crash in between leaves the previous snapshot in use.
        """
        parts = []
        for part in encode_snapshot_parts(snapshot):
            parts.append(part.SerializeToString())
            yield
        yield from self._files.write_in_slices(PREPARED_SNAPSHOT, frame(b"".join(parts)))
        self._prepared = snapshot

    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[Entry]) -> None:
        """Replace the snapshot and then the log; `match_snapshot` handles a crash in between."""
        if self._prepared is snapshot:
            self._files.rename(PREPARED_SNAPSHOT, SNAPSHOT)
        else:
            content = frame(encode_snapshot(snapshot).SerializeToString())
            self._files.replace(SNAPSHOT, content)
        self._prepared = None
        self._rewrite_log(snapshot.index, snapshot.term, kept)
        self._pending.clear()
        self._truncate_from = 0

    def _rewrite_log(self, index: int, term: int, entries: Sequence[Entry]) -> None:
        base = pb.LogBase(index=index, term=term)
        content = frame(base.SerializeToString())
        if entries:
            batch = pb.LogBatch(entries=map(encode_entry, entries))
            content += frame(batch.SerializeToString())
        self._files.replace(LOG, content)
        self._files.open_append(LOG)


def _replay(batch: pb.LogBatch, base_index: int, entries: list[Entry]) -> None:
    if batch.truncate_from:
        del entries[max(0, batch.truncate_from - base_index - 1) :]
    for wire in batch.entries:
        if wire.index != base_index + len(entries) + 1:
            message = f"log: entry {wire.index} follows {base_index + len(entries)}"
            raise StorageError(ErrorCode.DAMAGED_STORAGE, message)
        entries.append(decode_entry(wire))


def match_snapshot(
    base_index: int, base_term: int, entries: Sequence[Entry], snapshot: Snapshot | None
) -> tuple[Entry, ...]:
    """Return the entries that follow the snapshot, also after a crash between the two writes.

    The snapshot is replaced first. If the log holds the snapshot's last entry, the entries after it
    are valid; if it holds another entry or none there, the snapshot overrides the log. If the log
    begins after the snapshot's end, entries are missing, and DAMAGED_STORAGE is raised.
    """
    index = snapshot.index if snapshot else 0
    term = snapshot.term if snapshot else 0
    if base_index > index:
        message = f"log: begins after entry {base_index}, the snapshot ends at {index}"
        raise StorageError(ErrorCode.DAMAGED_STORAGE, message)
    if base_index == index:
        return tuple(entries) if base_term == term else ()
    position = index - base_index
    if position <= len(entries) and entries[position - 1].term == term:
        return tuple(entries[position:])
    return ()
