"""A keeper's metrics by aioprometheus."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

from persimmonusher_node.metrics import MetricsSource

GAUGES: Final = {
    "keeper_leads": "1 on the keeper that leads.",
    "keeper_voters": "Voters of the log.",
    "keeper_term": "The term of the log.",
    "keeper_commit_index": "The last index that is committed.",
    "keeper_revision": "The configuration revision applied here.",
    "keeper_majority_age_seconds": "All acknowledged longer ago is held here.",
    "keeper_followers": "Entries that follow this keeper.",
    "keeper_entries": "Entries that follow any keeper.",
    "keeper_servers": "Backend servers that are registered and have not ended.",
    "keeper_fleet_loads_age_seconds": "Age of the oldest part of the fleet's loads.",
    "keeper_fleet_loads_servers": "Backend servers with work in the fleet's loads.",
}


COUNTERS: Final = {
    "keeper_fleet_loads_bytes": "Bytes of the fleet's loads and costs sent to followers.",
    "keeper_shared_loads_bytes": "Bytes of its followers' loads sent to other keepers.",
}


@dataclass(frozen=True)
class KeeperGauges:
    """The values at one scrape, in the order of `GAUGES` and `COUNTERS`."""

    leads: int
    voters: int
    term: int
    commit_index: int
    revision: int
    majority_age_seconds: float
    followers: int
    entries: int
    servers: int
    fleet_loads_age_seconds: float = 0.0
    fleet_loads_servers: int = 0
    fleet_loads_bytes: int = 0
    shared_loads_bytes: int = 0


class KeeperMetrics(MetricsSource):
    """Renders a keeper's gauges, and counts the scrapes while it has none."""

    def __init__(
        self,
        read_gauges: Callable[[], KeeperGauges | None],
        leaderless: Buckets,
        silences: Buckets,
        refusals: Mapping[str, int],
    ) -> None:
        """Take the sources of the values; `refusals` has counts by reason."""
        self._read_gauges = read_gauges
        self._refusals = refusals
        self._registry = Registry()
        self._gauges = {
            name: Gauge(f"persimmonusher_{name}", text, registry=self._registry)
            for name, text in GAUGES.items()
        }
        self._counters = {
            name: Counter(f"persimmonusher_{name}_total", text, registry=self._registry)
            for name, text in COUNTERS.items()
        }
        histograms = {
            "keeper_leaderless_seconds": ("Times without a leader that are over.", leaderless),
            "peer_silence_seconds": ("Times without an answer of a peer.", silences),
        }
        for name, (text, buckets) in histograms.items():
            histogram = Histogram(f"persimmonusher_{name}", text, registry=self._registry)
            histogram.set_value({}, buckets)
        self._refused = Counter(
            "persimmonusher_keeper_refused_calls_total",
            "Calls of backend servers and operators that were refused, by reason.",
            registry=self._registry,
        )
        self._failed = Counter(
            "persimmonusher_keeper_failed_scrapes_total",
            "Scrapes while the disk had failed; the gauges are those of before.",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        gauges = self._read_gauges()
        if gauges is None:
            self._failed.inc({})
        else:
            metrics: Mapping[str, Gauge | Counter] = {**self._gauges, **self._counters}
            for name, metric in metrics.items():
                metric.set({}, getattr(gauges, name.removeprefix("keeper_")))
        for reason, count in self._refusals.items():
            self._refused.set({"reason": reason}, count)
        content, _ = render(self._registry, ["text/plain"])
        return content
