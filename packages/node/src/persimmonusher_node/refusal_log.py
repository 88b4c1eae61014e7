"""Log lines and counts of refused calls."""

from collections import Counter
from typing import Final

import structlog

from persimmonusher_model.clock import Clock
from persimmonusher_node.line_budget import LineBudget

logger = structlog.get_logger(__name__)

LINES_PER_SECOND: Final = 1
"""Log lines for one reason. A sender of unreadable calls repeats them many times a second, and each
line after the first would say the same."""
MAX_REASONS: Final = 64
"""Reasons that are counted one by one; further ones are counted together."""
OTHER_REASON: Final = "other"


class RefusalLog:
    """Counts refused calls by reason, and logs the first one of each reason in every second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[str, LineBudget] = {}
        self.counts: Counter[str] = Counter()

    def record(self, event: str, reason: str, **fields: str) -> None:
        """Count a refused call, and log it unless this second has a line with the reason."""
        if reason not in self.counts and len(self.counts) >= MAX_REASONS:
            reason = OTHER_REASON
        self.counts[reason] += 1
        budget = self._budgets.get(reason)
        if budget is None:
            budget = self._budgets[reason] = LineBudget(self._clock, LINES_PER_SECOND)
        if budget.try_acquire():
            logger.info(event, reason=reason, **fields, lines_left_out=budget.pop_left_out_count())
