"""The operating system's clocks, behind the model's interface."""

import time
from datetime import UTC, datetime

from persimmonusher_model.clock import Clock


class SystemClock(Clock):
    """The clocks of the machine that the process runs on."""

    def monotonic(self) -> float:
        """Return the system's monotonic seconds."""
        return time.monotonic()

    def wall(self) -> datetime:
        """Return the system's time of day in UTC."""
        return datetime.now(UTC)
