"""Ages as reported in logs, metrics and messages."""

from typing import Final

LONGEST_AGE_SECONDS: Final = 3_600.0
"""Reported in place of any longer age, and by a process that has not received any state yet."""


def bound_age(seconds: float) -> float:
    """Return the age, limited to a finite number, which every reader of JSON and metrics accepts.

    >>> bound_age(0.25), bound_age(float("inf"))
    (0.25, 3600.0)
    """
    return min(LONGEST_AGE_SECONDS, seconds)
