"""Logs what this instance may spend on further attempts of each service, has spent, and why."""

from collections import Counter
from collections.abc import Mapping
from typing import Final
from weakref import WeakKeyDictionary

from structlog import get_logger

from persimmonusher_decisions.retries import WINDOW_SECONDS
from persimmonusher_model.clock import Clock
from persimmonusher_node.service_log import ServiceLog
from persimmonusher_node.services import LiveService, ServiceBook

INTERVAL_SECONDS: Final = 2.0

_log = get_logger(__name__)


class RetryLog(ServiceLog):
    """Writes a `retry-budget` line for each service that wanted further attempts lately."""

    def __init__(self, services: ServiceBook, clock: Clock) -> None:
        super().__init__(services, clock, INTERVAL_SECONDS, WINDOW_SECONDS)
        self._written: WeakKeyDictionary[LiveService, Mapping[tuple[str, str], int]]
        self._written = WeakKeyDictionary()
        """The counts at the last line of each service."""

    def write_service(self, live: LiveService, now: float) -> None:
        """Write the line if a further attempt was wanted since the last one."""
        status = live.traffic.describe_retries(now)
        since = Counter(status.tally) - Counter(self._written.get(live, {}))
        if not since:
            return
        self._written[live] = status.tally
        _log.info(
            "retry-budget",
            service=live.name,
            entries=status.entries,
            slack=round(status.slack, 2),
            first_attempts=status.first_attempts,
            allowed=round(status.allowed, 1),
            spent=status.spent,
            starting_seconds=round(status.starting_seconds, 1),
            sent={cause: count for (cause, result), count in since.items() if result == "sent"},
            denied={cause: count for (cause, result), count in since.items() if result == "denied"},
        )
