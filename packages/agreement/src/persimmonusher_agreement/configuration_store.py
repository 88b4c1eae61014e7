"""The latest record of each object, and the changes since a revision.

Keepers and entries hold the same store, so that any instance can serve any other.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

from persimmonusher_agreement.configuration_objects import Batch, ObjectKey, ObjectKind, Record
from persimmonusher_model.identifiers import Revision

MAX_TOMBSTONES: Final = 50_000
"""About a day's changes at the target's 47,000 a day, if all were retirements. A replica that was
away longer gets a whole batch instead, so the bound costs bytes but never correctness."""


class ConfigurationStore:
    """Latest records by key and by revision; the revision never falls."""

    def __init__(self, lineage: str = "", tombstones_kept: int = MAX_TOMBSTONES) -> None:
        self.lineage = lineage
        self.revision = Revision(0)
        self.tombstone_floor = Revision(0)
        """Tombstones up to this revision may have been removed."""
        self._tombstones_kept = tombstones_kept
        self._records: dict[ObjectKey, Record] = {}
        self._by_revision: dict[Revision, ObjectKey] = {}
        self._tombstones: OrderedDict[Revision, ObjectKey] = OrderedDict()

    def find(self, key: ObjectKey) -> Record | None:
        """Return the object's latest record, which may be a tombstone."""
        return self._records.get(key)

    def find_live(self, key: ObjectKey) -> Record | None:
        """Return the object's record, or None if it was retired or never created."""
        record = self._records.get(key)
        return record if record is not None and record.body is not None else None

    def list_live(self, kind: ObjectKind) -> Iterator[Record]:
        """Iterate over the live objects of a kind, in no particular order."""
        for record in self._records.values():
            if record.key.kind is kind and record.body is not None:
                yield record

    def list_all(self) -> tuple[Record, ...]:
        """List all latest records, tombstones included, in the order of their revisions."""
        return tuple(self._records[key] for key in self._by_revision.values())

    def put(self, record: Record) -> tuple[ObjectKey, ...]:
        """Store a record and return the keys of the old tombstones that were removed for it.

        Raises ValueError unless the record's revision is above the current one.
        """
        if record.revision <= self.revision:
            raise ValueError(f"revision {record.revision} is not above {self.revision}")
        former = self._records.get(record.key)
        if former is not None:
            del self._by_revision[former.revision]
            self._tombstones.pop(former.revision, None)
        self._records[record.key] = record
        self._by_revision[record.revision] = record.key
        self.revision = record.revision
        if record.body is None:
            self._tombstones[record.revision] = record.key
        return self._drop_old_tombstones()

    def _drop_old_tombstones(self) -> tuple[ObjectKey, ...]:
        forgotten = []
        while len(self._tombstones) > self._tombstones_kept:
            revision, key = self._tombstones.popitem(last=False)
            del self._records[key]
            del self._by_revision[revision]
            self.tombstone_floor = revision
            forgotten.append(key)
        return tuple(forgotten)

    def collect_since(self, since: Revision) -> Batch:
        """Collect the records that a replica at `since` lacks, as one consistent batch."""
        whole = since < self.tombstone_floor
        start = Revision(0) if whole else since
        records = []
        for revision in reversed(self._by_revision):
            if revision <= start:
                break
            records.append(self._records[self._by_revision[revision]])
        records.reverse()
        return Batch(self.lineage, since, self.revision, tuple(records), whole)

    def apply_batch(self, batch: Batch) -> tuple[ObjectKey, ...]:
        """Apply a batch as a whole and return the changed keys; ignore an old batch.

        Guards against a replica that goes back: a late answer of a slow peer has a lower revision,
        and a fleet whose keepers were all wiped has another lineage. Neither is applied, so the
        configuration in force here stays in force.
        """
        if self.lineage and batch.lineage != self.lineage:
            return ()
        if batch.revision <= self.revision or batch.since > self.revision:
            return ()
        touched = self._drop_missing(batch) if batch.whole else []
        for record in batch.records:
            if record.revision > self.revision:
                self.put(record)
                touched.append(record.key)
        self.lineage = batch.lineage
        self.revision = batch.revision
        return tuple(touched)

    def _drop_missing(self, batch: Batch) -> list[ObjectKey]:
        named = {record.key for record in batch.records}
        missing = [key for key in self._records if key not in named]
        for key in missing:
            record = self._records.pop(key)
            del self._by_revision[record.revision]
            self._tombstones.pop(record.revision, None)
        self.tombstone_floor = batch.revision
        return missing
