"""The replicated records of one instance, with digests that show where two instances differ.

Live records are in 64 groups of 64 buckets by the hash of their key; a digest is the exclusive or
of its records' fingerprints, so it is updated in constant time. At the target size
(110,000 servers, 2,500 instances) a bucket holds 27 records: 64 digests of groups, 64 of buckets
and one bucket's summary of 430 bytes find a single difference in about 1.5 KB.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from persimmonusher_agreement.record import Record

GROUPS: Final = 64
BUCKETS_PER_GROUP: Final = 64
BUCKETS: Final = GROUPS * BUCKETS_PER_GROUP


class RecordStore:
    """Records by the hash of their key; a record is replaced only by one of a higher version."""

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}
        self._live: dict[int, tuple[Record, ...]] = {}
        self._bucket_digests = [0] * BUCKETS
        self._group_digests = [0] * GROUPS
        self._live_count = 0
        self.digest = 0
        """Digest of all live records: 64 bits, equal in stores with the same live records."""

    def __len__(self) -> int:
        return len(self._records)

    @property
    def live_count(self) -> int:
        """Return the number of records that aren't tombstones."""
        return self._live_count

    def get(self, key_hash: int) -> Record | None:
        """Return the record whose key has this hash, which may be a tombstone."""
        return self._records.get(key_hash)

    def values(self) -> Iterator[Record]:
        """Iterate over all records, tombstones included, as of the call."""
        return iter(list(self._records.values()))

    def put(self, record: Record) -> bool:
        """Store the record if it supersedes the one held; return whether it did."""
        held = self._records.get(record.key_hash)
        if not record.supersedes(held):
            return False
        if held is not None:
            self._unindex_record(held)
        self._records[record.key_hash] = record
        self._index_record(record)
        return True

    def remove(self, record: Record) -> None:
        """Remove the record with this record's key, whatever its version."""
        held = self._records.pop(record.key_hash, None)
        if held is not None:
            self._unindex_record(held)

    def list_groups(self) -> tuple[int, ...]:
        """Return the digest of each group."""
        return tuple(self._group_digests)

    def list_buckets(self, group: int) -> tuple[int, ...]:
        """Return the digest of each bucket of a group."""
        start = group * BUCKETS_PER_GROUP
        return tuple(self._bucket_digests[start : start + BUCKETS_PER_GROUP])

    def list_live(self, buckets: Iterable[int]) -> list[Record]:
        """List the live records in some buckets; no bucket means all."""
        chosen = tuple(buckets)
        if not chosen:
            return [record for records in self._live.values() for record in records]
        return [record for bucket in chosen for record in self._live.get(bucket, ())]

    def _index_record(self, record: Record) -> None:
        if record.is_tombstone:
            return
        bucket = record.key_hash % BUCKETS
        self._live[bucket] = (*self._live.get(bucket, ()), record)
        self._live_count += 1
        self._toggle_digest(bucket, record.fingerprint)

    def _unindex_record(self, record: Record) -> None:
        if record.is_tombstone:
            return
        bucket = record.key_hash % BUCKETS
        left = tuple(other for other in self._live[bucket] if other is not record)
        if left:
            self._live[bucket] = left
        else:
            del self._live[bucket]
        self._live_count -= 1
        self._toggle_digest(bucket, record.fingerprint)

    def _toggle_digest(self, bucket: int, fingerprint: int) -> None:
        self._bucket_digests[bucket] ^= fingerprint
        self._group_digests[bucket // BUCKETS_PER_GROUP] ^= fingerprint
        self.digest ^= fingerprint
