"""Ages as logs, metrics and messages state them."""

from typing import Final

LONGEST_AGE_SECONDS: Final = 3_600.0
"""Stands for any longer time, and for that of a process that was never told anything."""


def bound_age(seconds: float) -> float:
    """Return an age that every reader of JSON and metrics takes.

    >>> bound_age(0.25), bound_age(float("inf"))
    (0.25, 3600.0)
    """
    return min(LONGEST_AGE_SECONDS, seconds)
