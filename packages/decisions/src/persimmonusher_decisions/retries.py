"""The budget from which retries, hedges and second placements are paid."""

from collections import deque
from typing import Final

WINDOW_SECONDS: Final = 10.0
"""Time over which further attempts are held against first ones: some times the length of the
faults that make single requests fail, and short against an overload that lasts."""
SLICE_SECONDS: Final = 0.5
"""First attempts are counted in slices of this length: twenty numbers, whatever the rate."""
SLACK_USED: Final = 0.9
"""Part of the fleet's slack that is shared out: for a moment after a start or a loss, instances
count different numbers of each other."""
LARGEST_SHARE: Final = 10.0
"""Slack that one instance uses at most: enough for the requests in flight on a server that breaks,
however few instances share the fleet's."""


class FirstAttempts:
    """The first attempts of one slice of time."""

    __slots__ = ("begin", "count")

    def __init__(self, begin: float) -> None:
        self.begin = begin
        self.count = 0


class RetryBudget:
    """Bounds further attempts by the first attempts of the last seconds, and a slack.

    The load it is for: a fault or overload in which most attempts fail. The harm: each failure
    brings further attempts, which keep the servers overloaded after the cause is gone. In any
    window, this instance sends at most the profile's percentage of its first attempts and its
    part of the fleet's slack again, however long the fault lasts.

    The slack comes anew with each window. Dozens of instances see a request or two a second of one
    service each: the percentage of that is less than one attempt in a window, while the fleet as a
    whole has room for dozens. What a busy instance has earned in the window it may spend at once:
    failures come in clusters, when a server breaks or begins to refuse.
    """

    def __init__(self, percent: int) -> None:
        self._share = percent / 100.0
        self._slack = LARGEST_SHARE
        self._firsts: deque[FirstAttempts] = deque()
        self._further: deque[float] = deque()

    def share_slack(self, slack: float, instances: int) -> None:
        """Take the fleet's slack for each window, and the number of instances that share it.

        An instance always keeps one attempt, or it could never retry: with more instances than
        slack, few of them meet a fault at the same moment.
        """
        self._slack = min(LARGEST_SHARE, max(1.0, SLACK_USED * slack / instances))

    def replace_percent(self, percent: int) -> None:
        """Take a new percentage; 0 turns retries off, slack and all."""
        self._share = percent / 100.0

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._forget(now)
        if not self._firsts or now >= self._firsts[-1].begin + SLICE_SECONDS:
            self._firsts.append(FirstAttempts(now))
        self._firsts[-1].count += 1

    def spend(self, now: float, share: float = 1.0) -> bool:
        """Count one further attempt, where this share of the budget has room; tell whether."""
        self._forget(now)
        firsts = sum(item.count for item in self._firsts)
        allowed = self._slack + self._share * firsts if self._share else 0.0
        if len(self._further) + 1 > share * allowed:
            return False
        self._further.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - WINDOW_SECONDS
        while self._firsts and self._firsts[0].begin <= oldest:
            self._firsts.popleft()
        while self._further and self._further[0] <= oldest:
            self._further.popleft()
