"""The base of logs that describe each service in use at intervals."""

from abc import ABC, abstractmethod

from persimmonusher_model.clock import Clock
from persimmonusher_node.services import LiveService, ServiceBook


class ServiceLog(ABC):
    """Calls `write_service` for each service in use, once in each interval.

    Services without requests for `in_use_seconds` are skipped: there may be thousands of them.
    """

    def __init__(
        self, services: ServiceBook, clock: Clock, interval_seconds: float, in_use_seconds: float
    ) -> None:
        self._services = services
        self._clock = clock
        self._interval_seconds = interval_seconds
        self._in_use_seconds = in_use_seconds
        self._next_at = 0.0

    def write(self) -> None:
        """Write the lines if the interval has passed since the last time."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return
        self._next_at = now + self._interval_seconds
        for live in self._services:
            if now - live.last_used < self._in_use_seconds:
                self.write_service(live, now)

    @abstractmethod
    def write_service(self, live: LiveService, now: float) -> None:
        """Write the line of one service, if there is anything to say."""
