"""Logs which backend servers get no requests, or fewer, from this instance, and why."""

from collections import Counter
from typing import Final

from structlog import get_logger

from persimmonusher_decisions.standing import Standing
from persimmonusher_model.clock import Clock
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.services import LiveService, ServiceBook

INTERVAL_SECONDS: Final = 5.0
MAX_NAMED_SERVERS: Final = 16
"""Servers named in one line; the counts include the others."""

_log = get_logger(__name__)


class StandingLog:
    """Writes a `server-standings` line for each service in use with a server not in full use."""

    def __init__(self, services: ServiceBook, clock: Clock) -> None:
        self._services = services
        self._clock = clock
        self._lines = LineBudget(clock)
        self._next_at = 0.0

    def write(self) -> None:
        """Write the lines if `INTERVAL_SECONDS` have passed since the last time."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return
        self._next_at = now + INTERVAL_SECONDS
        for live in self._services:
            if now - live.last_used < INTERVAL_SECONDS:
                self._write_service(live, now)

    def _write_service(self, live: LiveService, now: float) -> None:
        statuses = live.traffic.describe(now)
        partial = [status for status in statuses if status.standing is not Standing.IN_USE]
        if not partial or not self._lines.try_acquire():
            return
        counts = Counter(status.standing.value for status in statuses)
        named = {
            status.server.server_id: [status.standing.value, round(status.suspected_seconds, 1)]
            for status in partial[:MAX_NAMED_SERVERS]
        }
        _log.info(
            "server-standings",
            service=live.name,
            counts=dict(counts),
            servers=named,
            lines_left_out=self._lines.pop_left_out_count(),
        )
