"""The number of entry instances that share what a fleet is allowed."""

from math import inf
from typing import Final

ENTRIES_MEMORY_SECONDS: Final = 30.0
"""Time for which the largest number of entries seen is used. While keepers are lost or isolated,
the entries that follow them keep sending requests but aren't counted."""


class EntryCount:
    """The number of live entries, or the largest one of the last ENTRIES_MEMORY_SECONDS.

    A number from `used_share` of the largest on is used as it is. A lower one is taken for entries
    that aren't counted any more: the largest is used instead.

    >>> entries = EntryCount(used_share=0.5)
    >>> entries.record(93, 0.0)
    >>> entries.record(80, 10.0)
    >>> entries.value
    80
    >>> entries.record(9, 11.0)
    >>> entries.value
    93
    """

    def __init__(self, used_share: float = 1.0) -> None:
        self._used_share = used_share
        self._largest = 1
        self._largest_at = -inf
        self.value = 1

    def record(self, live: int, now: float) -> None:
        """Record the number of live entries, this one included."""
        if live >= self._largest or now - self._largest_at > ENTRIES_MEMORY_SECONDS:
            self._largest = live
            self._largest_at = now
        self.value = live if live >= self._used_share * self._largest else self._largest
