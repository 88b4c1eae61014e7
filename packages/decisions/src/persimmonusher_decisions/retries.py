"""The budget from which retries, hedges and second placements are paid."""

from typing import Final

SLACK_USED: Final = 0.9
"""Part of the fleet's slack that is shared out: for a moment after a start or a loss, instances
count different numbers of each other."""
LARGEST_BALANCE: Final = 10.0
"""Tokens that can be saved up: enough for the requests in flight on one server that breaks."""
FIRST_BALANCE: Final = 3.0
"""Tokens at the start, so that the first failure after a restart can be retried."""


class RetryBudget:
    """A token bucket filled by first attempts, not by time.

    The load it is for: a fault or overload in which most attempts fail. The harm: each failure
    brings further attempts, which keep the servers overloaded after the cause is gone. Filled by
    first attempts at the profile's percentage, the sum of all attempts stays below
    (1 + percentage) of the first ones, plus LARGEST_BALANCE, however long the fault lasts.

    Where a profile bounds what the whole fleet may spend beyond the percentage, each instance keeps
    its part of that slack: dozens of instances that each saved up LARGEST_BALANCE would together
    send hundreds of further attempts in the first second of a fault.
    """

    def __init__(self, percent: int) -> None:
        self._share = percent / 100.0
        self._largest = LARGEST_BALANCE
        self._balance = FIRST_BALANCE if percent else 0.0

    def share_slack(self, slack: int, instances: int) -> None:
        """Take the fleet's slack and the number of instances that share it.

        An instance always keeps one token, or it could never retry: with more instances than
        slack, few of them meet a fault at the same moment.
        """
        self._largest = min(LARGEST_BALANCE, max(1.0, SLACK_USED * slack / instances))
        self._balance = min(self._balance, self._largest)

    def replace_percent(self, percent: int) -> None:
        """Take a new percentage; what is saved up stays, unless retries are turned off."""
        self._share = percent / 100.0
        if not percent:
            self._balance = 0.0

    def earn(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._largest, self._balance + self._share)

    def spend(self) -> bool:
        """Take a token for one further attempt; False where there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
