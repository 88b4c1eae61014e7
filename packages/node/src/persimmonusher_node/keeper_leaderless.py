"""The times in which a keeper knows no leader."""

from typing import Final

from aioprometheus.histogram import Histogram as Buckets

LEADERLESS_BUCKETS: Final = (0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0, 30.0)
"""Seconds. Dense around the time that an election takes."""


class LeaderlessSpells:
    """The times in which this keeper knew no leader.

    >>> spells = LeaderlessSpells(now=5.0)
    >>> spells.record_leader(True, now=6.5)
    1.5
    """

    def __init__(self, now: float) -> None:
        self._since: float | None = now
        self.buckets = Buckets(*LEADERLESS_BUCKETS)

    def record_leader(self, is_known: bool, now: float) -> float:
        """Record whether there is a leader now; return the seconds of the spell that ends here."""
        since, self._since = self._since, None if is_known else now
        if since is None or not is_known:
            return 0.0
        self.buckets.observe(now - since)
        return now - since
