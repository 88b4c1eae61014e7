"""The number of entry instances that share what a fleet is allowed."""

from math import inf
from typing import Final

ENTRIES_MEMORY_SECONDS: Final = 30.0
"""Time for which the largest number of entries seen is used. While keepers are lost or isolated,
the entries that follow them keep sending requests but aren't counted."""


class EntryCount:
    """The largest number of live entries of the last ENTRIES_MEMORY_SECONDS.

    >>> entries = EntryCount()
    >>> entries.record(93, 0.0)
    >>> entries.record(9, 10.0)
    >>> entries.value
    93
    """

    def __init__(self) -> None:
        self.value = 1
        self._recorded_at = -inf

    def record(self, live: int, now: float) -> None:
        """Record the number of live entries, this one included."""
        if live >= self.value or now - self._recorded_at > ENTRIES_MEMORY_SECONDS:
            self.value = live
            self._recorded_at = now
