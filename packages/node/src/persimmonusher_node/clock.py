"""The operating system's clocks, behind the model's interface."""

import time
from datetime import UTC, datetime

from persimmonusher_model.clock import Clock


class SystemClock(Clock):
    """The clocks of the machine that the process runs on."""

    def monotonic(self) -> float:
        """Return the seconds since the machine started, including those while it was suspended.

        Without them, state would look as fresh after a suspension as before it, and a deadline that
        passed meanwhile would seem to lie ahead.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime:
        """Return the system's time of day in UTC."""
        return datetime.now(UTC)
