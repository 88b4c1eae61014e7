"""The work in progress at the servers, summed over the entries of the fleet.

Each entry reports to the keeper that it follows, and keepers send each other the sums of their
followers. Times are readings of the own monotonic clock in seconds.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final
from zlib import crc32

from persimmonusher_decisions.server_work import WorkInProgress

MAX_REPORT_AGE_SECONDS: Final = 0.9
"""Age up to which an entry's report counts: two of its reporting intervals. With the 0.5 s between
two messages of a keeper this stays below `MAX_PART_AGE_SECONDS`, so that an entry that ends doesn't
make the sums of its keeper too old for the others."""
MAX_PART_AGE_SECONDS: Final = 1.5
"""Age of the oldest report up to which a keeper's sums count. With the 0.5 s until the next update
to the entries it makes the 2 s after which they ignore the work."""
SUM_REUSE_SECONDS: Final = 0.1
"""Time for which the same sums are used again, as they go into several messages."""


@dataclass(frozen=True)
class EntryReport:
    """What one entry has in progress by server; the work is missing where it isn't known."""

    requests: Mapping[str, int]
    work: Mapping[str, float]
    """Expected seconds of work by server."""
    taken_at: float


@dataclass(frozen=True)
class WorkSums:
    """The work in progress of several entries."""

    work: Mapping[str, WorkInProgress]
    """By server; servers without work are left out."""
    taken_at: float
    """When the oldest report in the sums was taken."""
    entries: Mapping[int, float]
    """When the report of each entry was taken, by the hash of its name."""
    left_out: float = 0.0
    """The most seconds of work of a server that is missing; 0 if all with work are included."""


def hash_entry(instance: str) -> int:
    """Return the hash by which keepers tell each other of an entry."""
    return crc32(instance.encode())


class WorkBook:
    """The latest report of each follower and the latest sums of each other keeper.

    An entry that changed its keeper is counted once. The new keeper leaves its report out until the
    former one has dropped its own, which it does when it hears of the newer one, or by expiry.
    """

    def __init__(self) -> None:
        self._reports: dict[str, EntryReport] = {}
        self._sums: dict[str, tuple[float, WorkSums]] = {}
        """When each other keeper sent its latest sums, and the sums."""
        self._worked_at = float("-inf")
        """When the last report with work was taken."""
        self._own: WorkSums | None = None
        self._own_at = float("-inf")
        self._fleet: WorkSums | None = None
        self._fleet_at = float("-inf")

    def record_report(self, instance: str, report: EntryReport) -> None:
        """Replace an entry's report, unless the one held is newer."""
        held = self._reports.get(instance)
        if held is not None and held.taken_at > report.taken_at:
            return
        self._reports[instance] = report
        if report.work:
            self._worked_at = max(self._worked_at, report.taken_at)

    def record_sums(self, keeper: str, sums: WorkSums, sent_at: float) -> None:
        """Replace another keeper's sums, unless those held were sent later.

        Reports of entries that have reported to that keeper since are dropped.
        """
        if keeper in self._sums and self._sums[keeper][0] > sent_at:
            return
        self._sums[keeper] = (sent_at, sums)
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if sums.entries.get(hash_entry(name), report.taken_at) <= report.taken_at
        }

    def sum_followers(self, now: float) -> WorkSums | None:
        """Return the sums of this keeper's followers; None while none of them reports work.

        After the end of the work empty sums are returned for some time, so that the other keepers
        learn of it.
        """
        if now - self._own_at > SUM_REUSE_SECONDS:
            self._drop_expired(now)
            self._own, self._own_at = self._sum_own(now), now
        return self._own

    def sum_fleet(self, now: float) -> WorkSums | None:
        """Return the sums of all keepers heard of lately; None while nobody reports work."""
        if now - self._fleet_at > SUM_REUSE_SECONDS:
            self._fleet, self._fleet_at = self._sum_all(now), now
        return self._fleet

    def _sum_own(self, now: float) -> WorkSums | None:
        if now - self._worked_at > MAX_PART_AGE_SECONDS:
            return None
        elsewhere = {entry for _, sums in self._sums.values() for entry in sums.entries}
        counted = [
            report for name, report in self._reports.items() if hash_entry(name) not in elsewhere
        ]
        entries = {hash_entry(name): report.taken_at for name, report in self._reports.items()}
        taken_at = min((report.taken_at for report in counted), default=now)
        return WorkSums(sum_reports(counted), taken_at, entries)

    def _sum_all(self, now: float) -> WorkSums | None:
        own = self.sum_followers(now)
        self._drop_expired(now)
        parts = [sums for _, sums in self._sums.values()]
        if own is not None:
            parts.append(own)
        if not parts:
            return None
        work: dict[str, WorkInProgress] = {}
        for part in parts:
            add_work(work, part.work)
        left_out = sum(part.left_out for part in parts)
        return WorkSums(work, min(part.taken_at for part in parts), {}, left_out)

    def _drop_expired(self, now: float) -> None:
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.taken_at <= MAX_REPORT_AGE_SECONDS
        }
        self._sums = {
            keeper: held
            for keeper, held in self._sums.items()
            if now - held[1].taken_at <= MAX_PART_AGE_SECONDS
        }


def sum_reports(reports: Iterable[EntryReport]) -> dict[str, WorkInProgress]:
    """Return the sums of reports by server.

    An entry of a previous version reports requests without their work. At a server of which other
    entries report the work, its requests count as much as theirs on average.
    """
    requests: Counter[str] = Counter()
    known: Counter[str] = Counter()
    seconds: dict[str, float] = {}
    for report in reports:
        requests.update(report.requests)
        for server, work in report.work.items():
            known[server] += report.requests.get(server, 0)
            seconds[server] = seconds.get(server, 0.0) + work
    return {
        server: WorkInProgress(
            requests[server], work * (requests[server] / known[server] if known[server] else 1.0)
        )
        for server, work in seconds.items()
    }


def add_work(total: dict[str, WorkInProgress], part: Mapping[str, WorkInProgress]) -> None:
    """Add the work in progress of a part to a total."""
    for server, work in part.items():
        held = total.get(server)
        if held is not None:
            work = WorkInProgress(held.requests + work.requests, held.seconds + work.seconds)
        total[server] = work
