"""The time in which this process was running, without its pauses."""

from typing import Final

MAX_STEP_SECONDS: Final = 1.0
"""Ticks come every 0.1 s; a gap of more than a second is a pause of the process, not of others."""


class ActiveTime:
    """Counts monotonic time, but at most `MAX_STEP_SECONDS` between two readings.

    Failure: a process that was stopped (SIGSTOP, a paused virtual machine) has had no answer for
    minutes when it continues, and would declare healthy instances and servers gone. All timeouts
    that judge others use this clock, so each must pass again while the process runs and reads its
    socket.
    """

    def __init__(self) -> None:
        self._last: float | None = None
        self.seconds = 0.0
        """Active seconds so far."""
        self._pause = 0.0

    def advance(self, now: float) -> float:
        """Advance to a monotonic reading and return the active seconds."""
        if self._last is not None:
            gap = max(0.0, now - self._last)
            self.seconds += min(gap, MAX_STEP_SECONDS)
            if gap > MAX_STEP_SECONDS:
                self._pause = max(self._pause, gap)
        self._last = now
        return self.seconds

    def take_pause(self) -> float:
        """Return the seconds of the longest pause since the last call, 0 for none."""
        pause = self._pause
        self._pause = 0.0
        return pause
