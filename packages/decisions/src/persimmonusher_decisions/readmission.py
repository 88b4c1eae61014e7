"""How a server comes back: after a growing wait, on probation, by live idempotent work."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionState, ServerEvidence

FIRST_WAIT_SECONDS: Final = 2.0
LONGEST_WAIT_SECONDS: Final = 120.0
FORGIVEN_SECONDS: Final = 300.0
"""A server that was in place for so long starts with the first wait again."""
GOOD_PROBES: Final = 20
BAD_PROBES: Final = 2
"""Failed probes that end a probation: one may be noise."""
PEERS_FACTOR: Final = 2.0
"""Failed probes are let pass up to so many times the peers' share: while a shared dependency fails,
a server that is well again can't prove more than its peers do."""
SLOW_PROBES: Final = 8
SLOW_SHARE: Final = 0.5


@dataclass
class Absence:
    """One server's time out of place as seen from one failure domain, or from all."""

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
        """Let probes through, and count them from zero."""
        self.state = EjectionState.PROBATION
        self.since = now
        self.good = self.bad = self.slow = self.timed = 0

    def count_probes(self, evidence: ServerEvidence) -> None:
        """Take evidence that comes in during probation."""
        self.bad += evidence.failed
        self.good += evidence.answered - evidence.failed
        self.slow += evidence.slow
        self.timed += evidence.timed

    def has_failed(self, usual_failing: float, usual_slow: float) -> bool:
        """Tell whether the probes say that the server is still ill, compared with its peers."""
        most_bad = PEERS_FACTOR * usual_failing * (self.good + self.bad)
        if self.bad >= BAD_PROBES and self.bad > most_bad:
            return True
        most_slow = max(SLOW_SHARE, usual_slow) * self.timed
        return self.timed >= SLOW_PROBES and self.slow > most_slow

    def has_passed(self, usual_failing: float, usual_slow: float) -> bool:
        """Tell whether the probes say that the server is well."""
        return self.good >= GOOD_PROBES and not self.has_failed(usual_failing, usual_slow)


class WaitHistory:
    """The waits of one server, doubled with each return that didn't last.

    The failure it is for: flapping between well and ill. It shows as a server that passes
    probation and fails soon after; with a constant wait its callers would pay for each round.
    """

    def __init__(self) -> None:
        self._rounds = 0
        self._last_out = -FORGIVEN_SECONDS

    def begin(self, now: float) -> float:
        """Return the wait of an ejection that begins now."""
        if now - self._last_out > FORGIVEN_SECONDS:
            self._rounds = 0
        wait = min(LONGEST_WAIT_SECONDS, FIRST_WAIT_SECONDS * 2.0**self._rounds)
        self._rounds += 1
        self._last_out = now + wait
        return wait
