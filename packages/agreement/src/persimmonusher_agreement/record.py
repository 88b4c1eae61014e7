"""What every replicated record has in common: a key, a version that orders, and a fingerprint."""

from abc import ABC, abstractmethod
from functools import cached_property
from typing import Final

import xxhash

FIELD_OVERHEAD_BYTES: Final = 3
"""Tag and length of one field as encoded, with room for lengths over 127."""


class Record(ABC):
    """One replicated fact. Of two records with one key, the one with the higher version stays.

    Replicas that merge the same records in any order, any number of times, end up equal, which is
    what makes loss, duplicates and reordering of gossip harmless.
    """

    @property
    @abstractmethod
    def key(self) -> str:
        """Return what the record is about, unique over all kinds of records."""

    @property
    @abstractmethod
    def version(self) -> tuple[int, int, int, int]:
        """Return what orders the records of one key."""

    @property
    @abstractmethod
    def is_tombstone(self) -> bool:
        """Tell whether the subject is gone; tombstones expire and are left out of digests."""

    @property
    @abstractmethod
    def is_urgent(self) -> bool:
        """Tell whether the record goes before others when the byte budget is short."""

    @abstractmethod
    def describe(self) -> str:
        """Return all that replicas must agree on, as one string."""

    @abstractmethod
    def count_bytes(self) -> int:
        """Return an upper bound of the record's bytes as encoded."""

    @cached_property
    def size(self) -> int:
        """Return what `count_bytes` does, counted once."""
        return self.count_bytes()

    def supersedes(self, other: "Record | None") -> bool:
        """Tell whether this record is newer than another of the same key."""
        return other is None or self.version > other.version

    @cached_property
    def key_hash(self) -> int:
        """Return the 64-bit hash that stands for the key in stores and summaries.

        Two keys in 112,500 share a hash with a probability of 3 in 10^10.
        """
        return hash_key(self.key)

    @cached_property
    def fingerprint(self) -> int:
        """Return a 64-bit hash of what replicas must agree on."""
        return xxhash.xxh3_64_intdigest(self.describe().encode())


def hash_key(key: str) -> int:
    """Return the 64-bit hash of a record's key."""
    return xxhash.xxh3_64_intdigest(key.encode())
