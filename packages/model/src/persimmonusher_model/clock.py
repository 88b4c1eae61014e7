"""The clock interface; clocks are passed in, so that tests choose the time.

The adapter for the system's clock is in the node package. Durations and monotonic readings are
float seconds, as in `time.monotonic`. Wall-clock readings are aware `datetime` values. They are
only shown to people and never compared for a decision, so that a wall clock that jumps doesn't
change any outcome.
"""

from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """A source of monotonic and wall-clock time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return the seconds since an arbitrary origin; they never decrease."""

    @abstractmethod
    def wall(self) -> datetime:
        """Return the current date and time in UTC, only for display."""


class ManualClock(Clock):
    """A clock that moves only by calls of `advance`, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the start plus the seconds that the clock was advanced by."""
        return self._now

    def wall(self) -> datetime:
        """Return a fixed epoch plus the monotonic seconds."""
        return self._epoch + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward; raise ValueError for a negative step."""
        if seconds < 0:
            raise ValueError(f"a monotonic clock can't go back by {-seconds} s")
        self._now += seconds
