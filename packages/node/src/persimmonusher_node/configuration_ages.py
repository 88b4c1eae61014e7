"""Ages of an entry's configuration: their distribution, the largest by keeper, and late spells."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from aioprometheus.histogram import Histogram as Buckets

from persimmonusher_node.ages import MAX_REPORTED_AGE_SECONDS

AGE_BUCKETS: Final = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0)
"""Seconds. Dense around the time within which a change must usually be in force."""
PEAK_SECONDS: Final = 60.0
"""Time for which the largest age by keeper is reported, at least."""
MAX_ATTEMPTS: Final = 16
"""Attempts to follow a keeper that are kept for the log line of a spell."""


@dataclass(frozen=True)
class LateSpell:
    """A time in which the configuration's age was beyond the bound, as far as it is over."""

    began_at: float
    """Reading of the clock when the age passed the bound."""
    oldest_age: float
    """The largest age of the spell so far, in seconds."""
    keeper: str
    """The keeper that answered last when the spell began."""


class ConfigurationAges:
    """Samples of the age.

    >>> ages = ConfigurationAges(bound_seconds=2.0)
    >>> ages.record(1.5, "k1", now=10.0)
    >>> ages.record(2.5, "k1", now=11.0)
    >>> ages.spell
    LateSpell(began_at=10.5, oldest_age=2.5, keeper='k1')
    >>> ages.record(0.5, "k2", now=11.2)
    >>> ages.pop_ended()
    LateSpell(began_at=10.5, oldest_age=2.5, keeper='k1')
    """

    def __init__(self, bound_seconds: float) -> None:
        self._bound_seconds = bound_seconds
        self.buckets = Buckets(*AGE_BUCKETS)
        self.spell: LateSpell | None = None
        """The spell that lasts, or None while the configuration is current."""
        self._ended: LateSpell | None = None
        self._peaks: dict[str, float] = {}
        self._former_peaks: dict[str, float] = {}
        self._peaks_since = float("-inf")
        self._attempts: deque[str] = deque(maxlen=MAX_ATTEMPTS)

    def record(self, age: float, keeper: str, now: float) -> None:
        """Record the age at a moment; `keeper` is the one that answered last.

        An entry that just started, before its first fresh answer, isn't late: it has nothing yet.
        """
        if age >= MAX_REPORTED_AGE_SECONDS:
            return
        self.buckets.observe(age)
        self._record_peak(age, keeper, now)
        if age > self._bound_seconds:
            began_at = now - age + self._bound_seconds
            spell = self.spell or LateSpell(began_at, age, keeper)
            self.spell = LateSpell(spell.began_at, max(spell.oldest_age, age), spell.keeper)
        elif self.spell is not None:
            self._ended, self.spell = self.spell, None

    def record_attempt(self, keeper: str, outcome: str) -> None:
        """Record what came of asking or following a keeper."""
        self._attempts.append(f"{keeper}: {outcome}")

    def list_attempts(self) -> list[str]:
        """List the latest attempts, oldest first."""
        return list(self._attempts)

    def pop_ended(self) -> LateSpell | None:
        """Return a spell that ended since the last call, or None."""
        ended, self._ended = self._ended, None
        return ended

    def list_peaks(self) -> dict[str, float]:
        """Return the largest recent age by the keeper that answered last."""
        keepers = {*self._peaks, *self._former_peaks}
        return {
            keeper: max(self._peaks.get(keeper, 0.0), self._former_peaks.get(keeper, 0.0))
            for keeper in keepers
        }

    def _record_peak(self, age: float, keeper: str, now: float) -> None:
        if now - self._peaks_since > PEAK_SECONDS:
            self._former_peaks, self._peaks = self._peaks, {}
            self._peaks_since = now
        self._peaks[keeper] = max(age, self._peaks.get(keeper, 0.0))
