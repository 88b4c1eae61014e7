"""Readmission of ejected servers: after a growing wait, by probation on idempotent requests."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionState, ServerEvidence

FIRST_WAIT_SECONDS: Final = 2.0
MAX_WAIT_SECONDS: Final = 120.0
RESET_WAIT_SECONDS: Final = 300.0
"""A server whose last wait ended longer ago than this starts with the first wait again."""
GOOD_PROBES_TO_PASS: Final = 20
BAD_PROBES_TO_FAIL: Final = 2
"""Failed probes that end a probation: a single one may be noise."""
MAX_PEERS_FACTOR: Final = 2.0
"""Failed probes are tolerated up to this many times the peers' failing share: while a shared
dependency fails, a healthy server can't do better than its peers."""
MIN_TIMED_PROBES: Final = 8
MAX_SLOW_SHARE: Final = 0.5


@dataclass
class EjectionRecord:
    """One server's ejection and probation, for one failure domain or for all."""

    state: EjectionState
    since: float
    until: float
    reason: str
    strength: float
    good: int = 0
    bad: int = 0
    slow: int = 0
    timed: int = 0

    def begin_probation(self, now: float) -> None:
        """Start a probation, with the counts of probes at 0."""
        self.state = EjectionState.PROBATION
        self.since = now
        self.good = self.bad = self.slow = self.timed = 0

    def count_probes(self, evidence: ServerEvidence) -> None:
        """Add the evidence of probes.

        Evidence that arrives before the probation begins is dropped with the old counts.
        """
        self.bad += evidence.failed
        self.good += evidence.answered - evidence.failed
        self.slow += evidence.slow
        self.timed += evidence.timed

    def has_failed(self, usual_failing: float, usual_slow: float) -> bool:
        """Return whether the probes show a server still faulty, compared with its peers."""
        most_bad = MAX_PEERS_FACTOR * usual_failing * (self.good + self.bad)
        if self.bad >= BAD_PROBES_TO_FAIL and self.bad > most_bad:
            return True
        most_slow = max(MAX_SLOW_SHARE, usual_slow) * self.timed
        return self.timed >= MIN_TIMED_PROBES and self.slow > most_slow

    def has_passed(self, usual_failing: float, usual_slow: float) -> bool:
        """Return whether the probes show that the server is healthy."""
        return self.good >= GOOD_PROBES_TO_PASS and not self.has_failed(usual_failing, usual_slow)


class EjectionBackoff:
    """Exponential backoff of one server's ejections, against flapping.

    A flapping server passes probation and fails soon after. With a constant wait, callers would
    see failures in each round. The wait doubles with each return that didn't last.
    """

    def __init__(self) -> None:
        self._rounds = 0
        self._last_wait_end = -RESET_WAIT_SECONDS

    def begin(self, now: float) -> float:
        """Return the seconds until probation for an ejection that begins now."""
        if now - self._last_wait_end > RESET_WAIT_SECONDS:
            self._rounds = 0
        wait = min(MAX_WAIT_SECONDS, FIRST_WAIT_SECONDS * 2.0**self._rounds)
        self._rounds += 1
        self._last_wait_end = now + wait
        return wait
