"""The clock, passed in so that tests choose the time.

The system's own clock is an adapter of the node. Durations and monotonic readings are float
seconds, as in `time.monotonic`; wall-clock readings are aware `datetime` values and are only ever
shown to people, never compared for a decision, so that a wall clock that jumps can change no
outcome.
"""

from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """A source of monotonic and wall-clock time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never goes back."""

    @abstractmethod
    def wall(self) -> datetime:
        """Return the current time of day in UTC, for people to read."""


class ManualClock(Clock):
    """A clock that moves only when told, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the seconds that this clock was advanced by."""
        return self._now

    def wall(self) -> datetime:
        """Return a fixed epoch plus the monotonic seconds."""
        return self._epoch + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move forward; a negative step is refused."""
        if seconds < 0:
            raise ValueError(f"a monotonic clock can't go back by {-seconds} s")
        self._now += seconds
