"""Metrics of the retry budget: what this instance may spend, has spent, and why."""

from collections.abc import Mapping
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Registry

from persimmonusher_decisions.retries import RetryStatus
from persimmonusher_model.identifiers import ServiceName

_GAUGES: Final = {
    "entries": "Entries among which the fleet's slack is divided.",
    "slack": "This instance's part of the slack, in attempts per 10 s.",
    "first_attempts": "First attempts of the last 10 s.",
    "allowed": "Further attempts that may be sent in 10 s.",
    "spent": "Further attempts of the last 10 s.",
    "starting_seconds": "Time until a process that has just started may use the whole budget.",
}
"""Fields of `RetryStatus` that are shown as gauges."""


class RetryMetrics:
    """Shows the `RetryStatus` of each service."""

    def __init__(self, registry: Registry) -> None:
        self._gauges = {
            name: Gauge(f"persimmonusher_retry_budget_{name}", text, registry=registry)
            for name, text in _GAUGES.items()
        }
        self._attempts = Counter(
            "persimmonusher_further_attempts_total",
            "Further attempts by cause and result.",
            registry=registry,
        )

    def set(self, statuses: Mapping[ServiceName, RetryStatus]) -> None:
        """Set the values to be shown at this scrape."""
        for service, status in statuses.items():
            for name, gauge in self._gauges.items():
                gauge.set({"service": service}, getattr(status, name))
            for (cause, result), count in status.tally.items():
                labels = {"service": service, "cause": cause, "result": result}
                self._attempts.set(labels, count)
