"""Checks of the fleet's promises: callers' outcomes against what the servers really ran."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from persimmonusher_lab.ledger import LedgerRecord, Phase, count_runs
from persimmonusher_lab.load import Told, Try

DETECTION_WINDOW_SECONDS: Final = 1.0
QUIET_WINDOWS: Final = 4
"""Consecutive windows without work, since a server may get nothing in a single one by chance. Not
read by `find_detection_seconds`, which decides on one window."""
DETECTED_SHARE: Final = 0.2
"""A server that receives less than this share of its peers' mean counts as detected; readmission
probes alone stay below it."""


@dataclass(frozen=True)
class PromiseResult:
    """Whether one promise held in this run, with the figure that shows it."""

    promise: str
    held: bool
    figure: str


def check_whole_answers(tries: Sequence[Try]) -> PromiseResult:
    """Check that every answer is whole and belongs to its request."""
    wrong = [item for item in tries if item.told is Told.WRONG]
    figure = f"{len(wrong)} wrong of {len(tries)} answers"
    return PromiseResult("whole answer to the right caller", not wrong, figure)


def check_not_run(tries: Sequence[Try], records: Sequence[LedgerRecord]) -> PromiseResult:
    """Check that no request whose caller got the answer "not run" was begun at a server."""
    begun = {record.request_id for record in records if record.phase is Phase.BEGUN}
    not_run = [item for item in tries if item.told is Told.NOT_RUN]
    false = [item.request_id for item in not_run if item.request_id in begun]
    figure = f"{len(false)} false of {len(not_run)} not-run answers {' '.join(false[:3])}".rstrip()
    return PromiseResult("'not run' is true", not false, figure)


def check_at_most_once(tries: Sequence[Try], records: Sequence[LedgerRecord]) -> PromiseResult:
    """Check that no entry was begun twice."""
    entries = {item.token for item in tries if item.is_entry}
    runs = count_runs(records)
    doubled = sorted(token for token in entries if runs[token] > 1)
    figure = f"{len(doubled)} doubled of {len(entries)} entries {' '.join(doubled[:3])}".rstrip()
    return PromiseResult("an entry runs at most once", not doubled, figure)


def check_not_lost(tries: Sequence[Try], records: Sequence[LedgerRecord]) -> PromiseResult:
    """Check that a server finished each entry that was reported to its caller as done."""
    done = {record.token for record in records if record.phase is Phase.DONE}
    reported = {item.token for item in tries if item.is_entry and item.told is Told.RAN}
    lost = sorted(reported - done)
    figure = f"{len(lost)} lost of {len(reported)} told done {' '.join(lost[:3])}".rstrip()
    return PromiseResult("no entry is lost", not lost, figure)


def check_drain(
    records: Sequence[LedgerRecord], server: str, drained_at: float, limit_seconds: float
) -> PromiseResult:
    """Check that a draining server receives no work later than `limit_seconds` after it said so."""
    arrivals = [
        record.at - drained_at
        for record in records
        if record.server == server and record.at > drained_at and record.phase in _ARRIVAL_PHASES
    ]
    last = max(arrivals, default=0.0)
    figure = f"last new work {last:.2f} s after the announcement (limit {limit_seconds:.0f} s)"
    return PromiseResult("no new work for a leaving server", last <= limit_seconds, figure)


_ARRIVAL_PHASES: Final = frozenset({Phase.BEGUN, Phase.REFUSED})


def check_graceful_stop(
    tries: Sequence[Try],
    records: Sequence[LedgerRecord],
    instance: str,
    stopped_at: float,
    exit_code: int | None,
) -> PromiseResult:
    """Check that a graceful shutdown cut off no request in flight and exited with code 0."""
    begun = {record.request_id for record in records if record.phase is Phase.BEGUN}
    cut = [
        item.request_id
        for item in tries
        if item.instance == instance
        and item.told is Told.NO_ANSWER
        and item.ended > stopped_at
        and item.request_id in begun
    ]
    figure = f"{len(cut)} cut off, exit code {exit_code}"
    return PromiseResult("graceful shutdown cuts nothing off", not cut and exit_code == 0, figure)


def find_detection_seconds(
    records: Sequence[LedgerRecord], server: str, peers: Collection[str], failed_at: float
) -> float | None:
    """Return the seconds until the server stopped receiving its share; None if it never did.

    That is the time of its last arrival up to the end of the first window in which it received
    less than `DETECTED_SHARE` of its peers' mean. It is an upper bound, since the last arrival may
    be a readmission probe. The window is long enough that a short lull isn't taken for detection.
    """
    arrivals = [
        (record.at - failed_at, record.server)
        for record in records
        if record.at >= failed_at and record.phase in _ARRIVAL_PHASES
    ]
    own = [at for at, name in arrivals if name == server]
    others = [at for at, name in arrivals if name in peers]
    for started in (0.0, *own):
        end = started + DETECTION_WINDOW_SECONDS
        if not others or end > others[-1]:
            return None
        mean = _count_within(others, started, end) / len(peers)
        if _count_within(own, started, end) < DETECTED_SHARE * mean:
            return max((at for at in own if at <= end), default=0.0)
    return None


def _count_within(times: Sequence[float], after: float, until: float) -> int:
    return bisect_right(times, until) - bisect_right(times, after)


def count_outcomes(tries: Sequence[Try]) -> Mapping[str, Counter[str]]:
    """Count tries by kind of work and by the outcome that the caller saw."""
    counts: dict[str, Counter[str]] = {"lookup": Counter(), "entry": Counter()}
    for item in tries:
        counts["entry" if item.is_entry else "lookup"][item.told.value] += 1
    return counts


def count_final_outcomes(tries: Sequence[Try]) -> Mapping[str, Counter[str]]:
    """Count pieces of work by kind and by the outcome of their last try."""
    last = {item.token: item for item in sorted(tries, key=lambda item: item.number)}
    return count_outcomes(list(last.values()))
