"""The expected work that servers still have to do, over all instances."""

from dataclasses import dataclass


@dataclass(frozen=True)
class WorkInProgress:
    """The requests in progress at one server, and the sum of their expected service times."""

    requests: int
    seconds: float
