import errno
import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Change,
    ConfigurationState,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
    Record,
    StoredVerdict,
)
from persimmonusher_agreement.log_messages import (
    AppendReply,
    AppendRequest,
    Entry,
    KeeperId,
    LogMessage,
    MajorityContact,
    Member,
    MemberRole,
    Members,
    Noop,
    PreVoteReply,
    PreVoteRequest,
    Snapshot,
    SnapshotRequest,
    Vote,
    VoteReply,
    VoteRequest,
)
from persimmonusher_agreement.log_storage import StorageError
from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import InstanceId, Revision
from persimmonusher_node import keeper_files
from persimmonusher_node.keeper_files import KeeperFiles, frame
from persimmonusher_node.keeper_message_wire import decode_message, encode_message
from persimmonusher_node.keeper_storage import KeeperStorage
from persimmonusher_protocol import keeper_pb2 as pb

KEY = ObjectKey(ObjectKind.PROFILE, "p")
MEMBERS = Members("fleet", (Member(KeeperId("k1#a"), "127.0.0.1:1", MemberRole.VOTER, False),))


def make_entry(index: int, term: int = 1, body: str | None = "{}") -> Entry:
    return Entry(index, term, Change(f"c{index}", "clerk", KEY, Revision(0), body))


def make_snapshot(index: int, term: int = 1) -> Snapshot:
    records = tuple(
        Record(ObjectKey(kind, "x"), Revision(n), body, f"c{n}", "clerk")
        for n, (kind, body) in enumerate([(ObjectKind.ROUTE, "{}"), (ObjectKind.SERVICE, None)], 1)
    )
    finding = Finding(ErrorCode.IN_USE, "name", "used")
    verdicts = tuple(
        StoredVerdict(f"c{n}", "digest", verdict)
        for n, verdict in enumerate(
            [Accepted(Revision(3)), Conflict(records[0]), Invalid((finding,))]
        )
    )
    state = ConfigurationState("fleet", Revision(2), Revision(0), records, records[:1], verdicts)
    return Snapshot(index, term, MEMBERS, state)


class KeeperStorageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self.temporary.cleanup)
        self.folder = Path(self.temporary.name) / "keeper"
        self.disk_ids = iter("abcdef")
        self.files: list[KeeperFiles] = []
        self.addCleanup(self.close)

    def open(self) -> KeeperStorage:
        self.close()
        self.files.append(KeeperFiles(self.folder).__enter__())
        return KeeperStorage(self.files[-1], InstanceId("k1"), lambda: next(self.disk_ids))

    def close(self) -> None:
        for files in self.files:
            files.close()

    def fill(self) -> KeeperStorage:
        storage = self.open()
        storage.load()
        storage.save_vote(Vote(3, KeeperId("k2#b")))
        for index in (1, 2, 3):
            storage.append([make_entry(index)])
            storage.sync()
        return storage

    def test_all_comes_back_after_a_restart(self) -> None:
        storage = self.fill()
        storage.truncate(3)
        storage.append([make_entry(3, term=2, body=None), Entry(4, 2, Noop())])
        storage.append([Entry(5, 2, MEMBERS)])
        storage.sync()
        for _ in range(2):
            stored = self.open().load()
            self.assertEqual(stored.vote, Vote(3, KeeperId("k2#b")))
            self.assertEqual([entry.term for entry in stored.entries], [1, 1, 2, 2, 2])
            self.assertEqual(stored.entries[4].command, MEMBERS)
        self.assertFalse(self.open().report.new_identity)

    def test_a_snapshot_replaces_the_log_before_it(self) -> None:
        storage = self.fill()
        storage.save_snapshot(make_snapshot(2), [make_entry(3)])
        storage.append([make_entry(4)])
        storage.sync()
        stored = self.open().load()
        self.assertEqual(stored.snapshot, make_snapshot(2))
        self.assertEqual([entry.index for entry in stored.entries], [3, 4])

    def test_a_snapshot_written_in_slices_counts_only_once_it_is_saved(self) -> None:
        storage = self.fill()
        with mock.patch.object(keeper_files, "SLICE_BYTES", 16):
            slices = list(storage.prepare_snapshot(make_snapshot(2)))
        self.assertGreater(len(slices), 10)
        self.assertIsNone(self.open().load().snapshot)
        storage = self.open()
        storage.load()
        snapshot = make_snapshot(2)
        for _ in storage.prepare_snapshot(snapshot):
            pass
        storage.save_snapshot(snapshot, [make_entry(3)])
        stored = self.open().load()
        self.assertEqual((stored.snapshot, len(stored.entries)), (snapshot, 1))

    def test_a_crash_between_snapshot_and_log_is_mended(self) -> None:
        """The keeper saves a snapshot and crashes before its log is rewritten.

        The old log's later entries stay valid if it holds the snapshot's last entry. If it holds
        another entry there, the snapshot overrides it and the log must be dropped.
        """
        for term, expected in ((1, [3]), (9, [])):
            with self.subTest(term=term):
                self.folder = Path(self.temporary.name) / f"keeper{term}"
                storage = self.fill()
                die = mock.patch.object(storage, "_rewrite_log", side_effect=KeyboardInterrupt)
                with die, self.assertRaises(KeyboardInterrupt):
                    storage.save_snapshot(make_snapshot(2, term), [])
                stored = self.open().load()
                self.assertEqual([entry.index for entry in stored.entries], expected)

    def test_a_torn_last_record_is_cut_off_and_reported(self) -> None:
        """The machine loses power during the write of a record, and only a part is on disk."""
        self.fill()
        log = self.folder / "log"
        whole = log.read_bytes()
        for cut in (1, 10, 30):
            with self.subTest(cut=cut):
                log.write_bytes(whole[:-cut])
                storage = self.open()
                self.assertGreater(storage.report.torn_bytes, 0)
                self.assertEqual([entry.index for entry in storage.load().entries], [1, 2])
                self.assertEqual(self.open().report.torn_bytes, 0)
                self.assertEqual(storage.keeper, "k1#a")

    def test_damage_makes_the_keeper_another_one(self) -> None:
        """A bit of a durable file flips, or a file is missing.

        The keeper has made promises based on that file, so it must not go on without it. It sets
        the files aside and comes back empty with a new identity.
        """

        def flip(name: str, position: int = 17) -> Callable[[], None]:
            def do() -> None:
                content = bytearray((self.folder / name).read_bytes())
                content[position] ^= 1
                (self.folder / name).write_bytes(content)

            return do

        cases: dict[str, Callable[[], None]] = {
            "log": flip("log"),
            "log in the middle": flip("log", 60),
            "vote": flip("vote"),
            "snapshot": flip("snapshot"),
            "identity": flip("identity"),
            "no log": lambda: (self.folder / "log").unlink(),
            "no vote": lambda: (self.folder / "vote").unlink(),
            "no identity": lambda: (self.folder / "identity").unlink(),
            "no snapshot": lambda: (self.folder / "snapshot").unlink(),
        }
        for name, damage in cases.items():
            with self.subTest(name):
                self.disk_ids = iter("ab")
                self.folder = Path(self.temporary.name) / name.replace(" ", "-")
                storage = self.fill()
                storage.save_snapshot(make_snapshot(1), [make_entry(2), make_entry(3)])
                storage.append([make_entry(4)])
                storage.sync()
                damage()
                storage = self.open()
                self.assertEqual(storage.keeper, "k1#b")
                self.assertTrue(storage.report.new_identity)
                stored = storage.load()
                self.assertEqual((stored.vote.term, stored.snapshot, stored.entries), (0, None, ()))
                aside = [path for path in self.folder.parent.iterdir() if "." in path.name]
                self.assertTrue(any(path.name.startswith(self.folder.name) for path in aside))

    def test_nothing_is_durable_before_it_is_synced(self) -> None:
        """The disk is synced before each promise, and again for what is read back at a start.

        A process that was killed may have written data that it never synced. Read back from the
        page cache the data looks durable, but the next power cut would lose it.
        """
        storage = self.fill()
        with mock.patch.object(os, "fsync", wraps=os.fsync) as fsync:
            storage.append([make_entry(4)])
            self.assertEqual(fsync.call_count, 0)
            storage.sync()
            self.assertEqual(fsync.call_count, 1)
            storage.sync()
            self.assertEqual(fsync.call_count, 1)
            storage.save_vote(Vote(4, None))
            self.assertEqual(fsync.call_count, 3)
        storage = self.open()
        with mock.patch.object(os, "fsync", wraps=os.fsync) as fsync:
            storage.load()
            self.assertGreaterEqual(fsync.call_count, 2)

    def test_errors_of_the_disk_are_told_apart(self) -> None:
        cases = [
            ("fsync", errno.EIO, ErrorCode.UNAVAILABLE),
            ("write", errno.ENOSPC, ErrorCode.STORAGE_FULL),
            ("write", errno.EDQUOT, ErrorCode.STORAGE_FULL),
        ]
        for call, number, code in cases:
            with self.subTest(call=call, code=code):
                storage = self.fill() if not self.folder.exists() else self.open()
                count = len(storage.load().entries)
                storage.append([make_entry(count + 1)])
                error = OSError(number, os.strerror(number))
                fail = mock.patch.object(os, call, side_effect=error)
                with fail, self.assertRaises(StorageError) as caught:
                    storage.sync()
                self.assertIs(caught.exception.code, code)
                self.assertIn("keeper", caught.exception.message)

    def test_a_folder_is_held_by_one_process_and_belongs_to_one_instance(self) -> None:
        self.open()
        second = KeeperFiles(self.folder)
        self.addCleanup(second.close)
        with self.assertRaises(StorageError) as caught:
            second.__enter__()
        self.assertIn("another process", caught.exception.message)
        with self.assertRaises(StorageError) as caught:
            KeeperStorage(self.files[-1], InstanceId("k2"))
        self.assertIn("belongs to k1#a", caught.exception.message)

    def test_a_record_inside_a_body_is_not_taken_for_one(self) -> None:
        storage = self.open()
        storage.load()
        inner = frame(pb.LogBatch(truncate_from=1).SerializeToString()).decode("latin-1")
        storage.append([make_entry(1, body=inner)])
        storage.sync()
        self.assertEqual(len(self.open().load().entries), 1)


class KeeperWireTest(unittest.TestCase):
    def test_every_message_comes_back_as_it_was(self) -> None:
        head = (KeeperId("k1#a"), KeeperId("k2#b"), 7)
        entries = (make_entry(3), make_entry(4, body=None), Entry(5, 7, Noop()))
        messages: list[LogMessage] = [
            PreVoteRequest(*head, 3, 2),
            PreVoteReply(*head, True),
            VoteRequest(*head, 3, 2),
            VoteReply(*head, False),
            AppendRequest(*head, 2, 1, (*entries, Entry(6, 7, MEMBERS)), 2, 9),
            AppendRequest(*head, 2, 1, (), 2, 9, MajorityContact(2**50, -0.25)),
            AppendReply(*head, False, 3, 9, 2**50),
            SnapshotRequest(*head, make_snapshot(5), 9),
        ]
        for message in messages:
            with self.subTest(type(message).__name__):
                wire = encode_message(message).SerializeToString()
                self.assertEqual(decode_message(pb.LogMessage.FromString(wire)), message)


if __name__ == "__main__":
    unittest.main()
