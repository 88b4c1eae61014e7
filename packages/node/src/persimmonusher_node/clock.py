"""The operating system's clocks, behind the model's interface."""

import time
from datetime import UTC, datetime

from persimmonusher_model.clock import Clock


class SystemClock(Clock):
    """The clocks of the machine that the process runs on."""

    def monotonic(self) -> float:
        """Return the seconds since the machine started, those in which it was suspended included.

        Without them, what is known would be as fresh after a suspension as before it, and a
        deadline that has passed meanwhile would seem to be still ahead.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime:
        """Return the system's time of day in UTC."""
        return datetime.now(UTC)
