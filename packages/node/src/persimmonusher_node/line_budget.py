"""A bound on the log lines of one kind."""

from typing import Final

from persimmonusher_model.clock import Clock

MAX_LINES_PER_SECOND: Final = 50
"""Few enough that writing them takes no noticeable part of an instance's time."""


class LineBudget:
    """Grants a limited number of log lines in each second, and counts those that it refuses.

    Guards against an overload or a fault in which most requests have something to log: writing all
    of it would keep the instance overloaded. The next line that is granted says how many were left
    out, and the metrics still count every request.
    """

    def __init__(self, clock: Clock, lines_per_second: int = MAX_LINES_PER_SECOND) -> None:
        self._clock = clock
        self._lines_per_second = lines_per_second
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def take(self) -> bool:
        """Return whether another line may be written in this second, and count it."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > self._lines_per_second:
            self._left_out += 1
            return False
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out
