"""A bound on the log lines of one kind."""

from typing import Final

from persimmonusher_model.clock import Clock

LINES_A_SECOND: Final = 50
"""Few enough that writing them takes no noticeable part of an instance's time."""


class LineBudget:
    """Grants so many lines in each second, and counts those that it didn't grant.

    The load it is for: an overload or a fault in which most requests have something to tell. The
    harm: telling it would keep the instance overloaded. The next line after a full second says how
    many were left out, and the metrics count them all.
    """

    def __init__(self, clock: Clock, lines_a_second: int = LINES_A_SECOND) -> None:
        self._clock = clock
        self._lines_a_second = lines_a_second
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def take(self) -> bool:
        """Take a line; False where this second has had its lines."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > self._lines_a_second:
            self._left_out += 1
            return False
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out
