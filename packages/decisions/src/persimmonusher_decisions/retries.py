"""The retry budget, which bounds retries and hedged requests."""

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf, sqrt
from typing import Final

from persimmonusher_decisions.entry_count import EntryCount

WINDOW_SECONDS: Final = 10.0
"""Sliding window over which further attempts are compared with first ones: several times as long as
the faults that make single requests fail, and short compared with a lasting overload."""
SLICE_SECONDS: Final = 0.5
"""First attempts are counted in slices of this length: forty counters, whatever the rate."""
SHARED_SLACK_PART: Final = 0.85
"""Part of the fleet's slack that is shared out; the rest is for processes that start."""
MAX_SLACK_PER_INSTANCE: Final = 10.0
"""Largest slack of one instance, however few instances share the fleet's: enough for the requests
in flight on a server that breaks."""
MAX_GROWTH_FACTOR: Final = 1.25
"""Factor by which an instance's first attempts may grow from one window to the next and still
count towards its budget."""
CHANCE_DEVIATIONS: Final = 2.0
"""Standard deviations by which a small number of first attempts may exceed the one before it."""
MIN_COMPARED_SECONDS: Final = 2.0
"""A service has to be in use for this long before the current window for a comparison."""
STARTING_SHARE: Final = 0.2
"""Part of its budget that an instance may use within WINDOW_SECONDS of its start."""


@dataclass(frozen=True)
class RetryStatus:
    """What one instance may spend on further attempts of one service, and has spent."""

    entries: int
    """Entries among which the fleet's slack is divided."""
    slack: float
    """Its part of the slack, in attempts per window; 0 while `entries` isn't reliable."""
    first_attempts: int
    """Its first attempts of the last window."""
    allowed: float
    """The further attempts that it may send in a window, from both."""
    spent: int
    """Those that it has sent in the last window."""
    starting_seconds: float
    """Time left until it may use the whole budget, 0 unless it has just started."""
    tally: Mapping[tuple[str, str], int]
    """All of them since it started, by cause and result: `sent` or `denied`."""


class Slice:
    """The first attempts of a short time from its begin on."""

    __slots__ = ("begin", "count")

    def __init__(self, begin: float) -> None:
        self.begin = begin
        self.count = 0


class FirstAttempts:
    """The first attempts of this window and of the one before it, by slices of time."""

    def __init__(self) -> None:
        self._slices: deque[Slice] = deque()
        self._since = inf
        """When the service came into use: its first attempt after two windows without any."""

    def add(self, now: float) -> None:
        """Count a first attempt."""
        self._forget(now)
        if not self._slices:
            self._since = now
        if not self._slices or now >= self._slices[-1].begin + SLICE_SECONDS:
            self._slices.append(Slice(now))
        self._slices[-1].count += 1

    def count(self, now: float) -> int:
        """Return the first attempts of the last window."""
        self._forget(now)
        return sum(one.count for one in self._slices if one.begin > now - WINDOW_SECONDS)

    def count_budgeted(self, now: float) -> float:
        """Return those of the last window that count towards the budget.

        Callers of an instance that fails reconnect to the others. The failed instance may have sent
        the further attempts that these callers' requests allow, so they don't count again at once.
        """
        recent = self.count(now)
        seconds_before = min(WINDOW_SECONDS, now - WINDOW_SECONDS - self._since)
        if seconds_before < MIN_COMPARED_SECONDS:
            return recent
        before = sum(one.count for one in self._slices) - recent
        by_chance = before + CHANCE_DEVIATIONS * (sqrt(before) + 1.0)
        most = max(MAX_GROWTH_FACTOR * before, by_chance) * WINDOW_SECONDS / seconds_before
        return min(recent, most)

    def _forget(self, now: float) -> None:
        while self._slices and self._slices[0].begin <= now - 2.0 * WINDOW_SECONDS:
            self._slices.popleft()


class RetryBudget:
    """Bounds further attempts by a percentage of recent first attempts, plus a slack.

    In a fault or overload in which most attempts fail, each failure causes further attempts, which
    keep the servers overloaded after the cause is gone. So in any window, this instance sends at
    most the profile's percentage of its first attempts, plus its part of the fleet's slack, as
    further attempts, however long the fault lasts.

    The slack is available in each window. Dozens of instances may see only one or two requests per
    second of a service each: the percentage of that is less than one attempt in a window, while the
    fleet as a whole has room for dozens. A busy instance may spend the budget of its window at
    once: failures come in clusters, when a server breaks or begins to refuse.

    The counts are in memory only, so that a restarted process doesn't know what it sent in the
    current window. For the length of a window after its start it uses STARTING_SHARE of its budget,
    for which SHARED_SLACK_PART and the percentage leave room.
    """

    def __init__(self, percent: int, started: float = -inf, rank: float = 0.0) -> None:
        """Make the budget of a process that started at a moment, by default long ago.

        `rank` from 0 to 1 orders the instances of the fleet; with more instances than slack, those
        with the lowest ranks get one attempt each.
        """
        self._share = percent / 100.0
        self._whole_at = started + WINDOW_SECONDS
        self._rank = rank
        self._fleet_slack = MAX_SLACK_PER_INSTANCE
        self._slack = MAX_SLACK_PER_INSTANCE
        self._count = EntryCount()
        self._is_count_reliable = True
        self._tally: Counter[tuple[str, str]] = Counter()
        self._firsts = FirstAttempts()
        self._further: deque[float] = deque()

    def replace_slack(self, slack: float) -> None:
        """Set the fleet's slack for each window, which its instances share."""
        self._fleet_slack = slack
        self._share_slack()

    def count_entries(self, live: int, is_reliable: bool, now: float) -> None:
        """Set the number of live instances, this one included.

        While it isn't reliable, there is no slack. A lower number is used only after
        `entry_count.ENTRIES_MEMORY_SECONDS`: instances that aren't counted any more may still use
        their parts.
        """
        self._is_count_reliable = is_reliable
        self._count.record(live, now)
        self._share_slack()

    def _share_slack(self) -> None:
        part = SHARED_SLACK_PART * self._fleet_slack / self._count.value
        if part < 1.0:
            part = float(self._rank < part)
        self._slack = min(MAX_SLACK_PER_INSTANCE, part) if self._is_count_reliable else 0.0

    def replace_percent(self, percent: int) -> None:
        """Set the percentage; 0 turns further attempts off, the slack included."""
        self._share = percent / 100.0

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._firsts.add(now)

    def spend(self, now: float, cause: str, share: float = 1.0) -> bool:
        """Count a further attempt if this share of the budget has room; return whether it has.

        `cause` says why it is wanted, for operators.
        """
        self._forget(now)
        has_room = len(self._further) + 1 <= share * self._find_allowed(now)
        self._tally[cause, "sent" if has_room else "denied"] += 1
        if has_room:
            self._further.append(now)
        return has_room

    def describe(self, now: float) -> RetryStatus:
        """Return what may be spent and has been spent, for operators."""
        self._forget(now)
        return RetryStatus(
            self._count.value,
            self._find_slack(now),
            self._firsts.count(now),
            self._find_allowed(now),
            len(self._further),
            max(0.0, self._whole_at - now),
            dict(self._tally),
        )

    def _find_allowed(self, now: float) -> float:
        if not self._share:
            return 0.0
        proportional = self._find_used_share(now) * self._share * self._firsts.count_budgeted(now)
        return self._find_slack(now) + proportional

    def _find_slack(self, now: float) -> float:
        return self._find_used_share(now) * self._slack

    def _find_used_share(self, now: float) -> float:
        return STARTING_SHARE if now < self._whole_at else 1.0

    def _forget(self, now: float) -> None:
        oldest = now - WINDOW_SECONDS
        while self._further and self._further[0] <= oldest:
            self._further.popleft()
