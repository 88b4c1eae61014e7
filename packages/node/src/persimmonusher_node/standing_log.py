"""Logs which backend servers get no requests, or fewer, from this instance, and why."""

from collections import Counter
from typing import Final

from structlog import get_logger

from persimmonusher_decisions.standing import Standing
from persimmonusher_model.clock import Clock
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.service_log import ServiceLog
from persimmonusher_node.services import LiveService, ServiceBook

INTERVAL_SECONDS: Final = 5.0
MAX_NAMED_SERVERS: Final = 16
"""Servers named in one line; the counts include the others."""

_log = get_logger(__name__)


class StandingLog(ServiceLog):
    """Writes a `server-standings` line for each service in use with a server not in full use."""

    def __init__(self, services: ServiceBook, clock: Clock) -> None:
        super().__init__(services, clock, INTERVAL_SECONDS, INTERVAL_SECONDS)
        self._lines = LineBudget(clock)

    def write_service(self, live: LiveService, now: float) -> None:
        """Write the line unless all servers of the service are in full use."""
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
