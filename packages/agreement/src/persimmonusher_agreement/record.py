"""The common base of replicated records: a key, a version that orders them, and a fingerprint."""

from abc import ABC, abstractmethod
from functools import cached_property
from typing import Final

import xxhash

FIELD_OVERHEAD_BYTES: Final = 3
"""Tag and length of one field as encoded, with room for lengths over 127."""


class Record(ABC):
    """A replicated record. Of two records with one key, the one with the higher version is kept.

    Replicas that merge the same records in any order, any number of times, end up equal. That makes
    loss, duplicates and reordering of gossip harmless.
    """

    @property
    @abstractmethod
    def key(self) -> str:
        """Return the key of the record's subject, unique over all kinds of records."""

    @property
    @abstractmethod
    def version(self) -> tuple[int, int, int, int]:
        """Return the version, which orders the records of one key."""

    @property
    @abstractmethod
    def is_tombstone(self) -> bool:
        """Return whether the subject is gone; tombstones expire and are left out of digests."""

    @property
    @abstractmethod
    def is_urgent(self) -> bool:
        """Return whether the record is sent before others when the byte budget is short."""

    @abstractmethod
    def describe(self) -> str:
        """Return all that replicas must agree on, as one string."""

    @abstractmethod
    def count_bytes(self) -> int:
        """Return an upper bound of the record's bytes as encoded."""

    @cached_property
    def size(self) -> int:
        """Return the cached result of `count_bytes`."""
        return self.count_bytes()

    def supersedes(self, other: "Record | None") -> bool:
        """Return whether this record is newer than another of the same key; None is oldest."""
        return other is None or self.version > other.version

    @cached_property
    def key_hash(self) -> int:
        """Return the 64-bit hash that replaces the key in stores and summaries.

        Among 112,500 keys, two share a hash with a probability of 3 in 10^10.
        """
        return hash_key(self.key)

    @cached_property
    def fingerprint(self) -> int:
        """Return a 64-bit hash of what replicas must agree on."""
        return xxhash.xxh3_64_intdigest(self.describe().encode())


def hash_key(key: str) -> int:
    """Return the 64-bit hash of a record's key."""
    return xxhash.xxh3_64_intdigest(key.encode())
