"""Repair of what rumours missed: two instances compare digests and exchange what differs.

Every step is one or a few datagrams of bounded size, and no state is kept between steps. So a lost
step costs one exchange, and the next probe starts another.

A tombstone is sent only as an answer to a live record that it supersedes. If tombstones were
compared like live records, an instance that had already removed one would learn it again from one
that had not, and the two would keep it for ever.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    BucketDigests,
    GroupDigests,
    Summary,
)
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.record_store import BUCKETS, BUCKETS_PER_GROUP, GROUPS, RecordStore

SUMMARY_ENTRY_BYTES: Final = 16
"""Key hash and fingerprint of one record in a summary."""
SUMMARY_BUCKET_BYTES: Final = 2
MAX_GROUPS: Final = 8
MAX_SUMMARIES: Final = 4
MAX_REPAIR_BYTES: Final = 1100
MAX_REPAIRS: Final = 8
"""Datagrams of records in one answer: 9 KB, some 80 records. An instance that lacks more starts
another exchange, with another peer, when these have arrived."""
MAX_WANTED: Final = 100


@dataclass(frozen=True)
class Difference:
    """What a summary showed: records that its sender lacks, and key hashes of those we lack."""

    records: tuple[Record, ...]
    wanted: tuple[int, ...]


class AntiEntropy:
    """The steps of an exchange over one store."""

    def __init__(self, store: RecordStore, limits: MembershipLimits, random: Random) -> None:
        self._store = store
        self._summary_bytes = limits.summary_bytes
        self._random = random

    @property
    def is_small(self) -> bool:
        """Return whether all live records fit one summary, so that no digests are needed."""
        return self._store.live_count * SUMMARY_ENTRY_BYTES <= self._summary_bytes

    def start(self) -> Summary | GroupDigests:
        """Return the first message of an exchange."""
        if self.is_small:
            return _summarize((), self._store.list_live(()))
        return GroupDigests(self._store.list_groups())

    def answer_groups(self, message: GroupDigests) -> tuple[BucketDigests, ...]:
        """Return the digests of all buckets of some groups that differ, chosen at random."""
        pairs = zip(range(GROUPS), message.digests, self._store.list_groups(), strict=False)
        differing = [group for group, theirs, ours in pairs if theirs != ours]
        chosen = self._random.sample(differing, min(MAX_GROUPS, len(differing)))
        return tuple(BucketDigests(group, self._store.list_buckets(group)) for group in chosen)

    def answer_buckets(self, message: BucketDigests) -> tuple[Summary, ...]:
        """Return summaries of buckets that differ, at most `MAX_SUMMARIES`."""
        if not 0 <= message.group < GROUPS:
            return ()
        start = message.group * BUCKETS_PER_GROUP
        ours = self._store.list_buckets(message.group)
        pairs = zip(range(BUCKETS_PER_GROUP), message.digests, ours, strict=False)
        differing = [start + place for place, theirs, mine in pairs if theirs != mine]
        self._random.shuffle(differing)
        return self._pack(differing)[:MAX_SUMMARIES]

    def answer_summary(self, message: Summary) -> Difference:
        """Compare a summary with our records of the same buckets."""
        buckets = [bucket for bucket in message.buckets if 0 <= bucket < BUCKETS]
        ours = {record.key_hash: record for record in self._store.list_live(buckets)}
        theirs = dict(zip(message.keys, message.fingerprints, strict=False))
        differing = [
            record for key, record in ours.items() if theirs.get(key) != record.fingerprint
        ]
        lacking = [key for key in theirs if key not in ours]
        held_tombstones = [held for key in lacking if (held := self._store.get(key)) is not None]
        wanted = [key for key in lacking if self._store.get(key) is None]
        return Difference((*held_tombstones, *differing), tuple(wanted[:MAX_WANTED]))

    def answer_wanted(self, keys: Iterable[int]) -> tuple[Record, ...]:
        """Return the records with these key hashes, as far as they are held."""
        held = (self._store.get(key) for key in keys)
        return tuple(record for record in held if record is not None)

    def _pack(self, buckets: Iterable[int]) -> tuple[Summary, ...]:
        """Pack the buckets, in their order, into summaries of at most `summary_bytes`.

        A single bucket that is larger has a summary of its own.
        """
        summaries: list[Summary] = []
        chosen: list[int] = []
        records: list[Record] = []
        for bucket in buckets:
            more = self._store.list_live((bucket,))
            size = (len(records) + len(more)) * SUMMARY_ENTRY_BYTES + (
                len(chosen) + 1
            ) * SUMMARY_BUCKET_BYTES
            if chosen and size > self._summary_bytes:
                summaries.append(_summarize(chosen, records))
                chosen, records = [], []
            chosen.append(bucket)
            records.extend(more)
        if chosen:
            summaries.append(_summarize(chosen, records))
        return tuple(summaries)


def split_records(records: Iterable[Record], limit_bytes: int) -> list[tuple[Record, ...]]:
    """Split records into pieces of at most `limit_bytes`; a larger record is a piece of its own."""
    pieces: list[tuple[Record, ...]] = []
    piece: list[Record] = []
    room = limit_bytes
    for record in records:
        if piece and record.size > room:
            pieces.append(tuple(piece))
            piece, room = [], limit_bytes
        piece.append(record)
        room -= record.size
    if piece:
        pieces.append(tuple(piece))
    return pieces


def _summarize(buckets: Iterable[int], records: Iterable[Record]) -> Summary:
    listed = list(records)
    return Summary(
        tuple(buckets),
        tuple(record.key_hash for record in listed),
        tuple(record.fingerprint for record in listed),
    )
