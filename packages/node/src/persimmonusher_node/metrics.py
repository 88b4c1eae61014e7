"""Metrics by aioprometheus, on a listener of their own.

Label sets are bounded: services come from the configuration, reasons and outcomes from enums, and
a service has at most `CLASSES_PER_SERVICE` classes. Callers are no label, since there may be a
million of them. Counts are held in plain dictionaries and passed to the library at each scrape, so
that its label checks don't slow down requests.
"""

from abc import ABC, abstractmethod
from collections import Counter as Tally
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

from persimmonusher_decisions.retries import RetryStatus
from persimmonusher_decisions.server_work import WorkStatus
from persimmonusher_decisions.standing import Standing
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_node.body_counts import LargeBodyCounts
from persimmonusher_node.configuration_ages import ConfigurationAges
from persimmonusher_node.observer import FinishedRequest, RequestObserver
from persimmonusher_node.retry_metrics import RetryMetrics
from persimmonusher_node.stop_progress import STOP_STEP

CLASSES_PER_SERVICE: Final = 16
OTHER_CLASS: Final = "other"
"""The class of requests beyond the first `CLASSES_PER_SERVICE` classes of a service."""
REQUEST_BUCKETS: Final = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
ADDED_BUCKETS: Final = (0.0005, 0.001, 0.002, 0.003, 0.0045, 0.0059, 0.01, 0.02, 0.05, 0.2, 1.0)
"""Seconds. Dense around 5.9 ms, the bound on the time that an instance may add to 99 requests in
100."""
SUMMARIZED_STEPS: Final = frozenset({"dispatch", STOP_STEP})
"""Steps whose reasons have too many values for a label."""


@dataclass(frozen=True)
class InstanceGauges:
    """Values that are read at each scrape."""

    in_flight: int
    caller_connections: int
    revision: int
    live_instances: int
    servers_taking_work: dict[ServiceName, int]
    servers_left_out: dict[ServiceName, int]
    configuration_age_seconds: float = 0.0
    """0 if the age isn't known."""
    servers_limited: dict[ServiceName, int] = field(default_factory=dict)
    servers_resting: dict[ServiceName, int] = field(default_factory=dict)
    standings: dict[ServiceName, dict[str, int]] = field(default_factory=dict)
    """Servers by service and standing; a standing without servers may be left out."""
    servers_reached: int = 0
    servers_unreached: int = 0
    ways_lost: int = 0
    connections_relayed: int = 0
    openings: Mapping[tuple[str, str], int] = field(default_factory=dict)
    """Openings of connections to backend servers by way and result."""
    configuration_ages: ConfigurationAges | None = None
    """None where the configuration's age isn't known."""
    work: Mapping[ServiceName, WorkStatus] = field(default_factory=dict)
    """Services whose requests are placed by expected work."""
    fleet_loads_age_seconds: float = 0.0
    fleet_loads_servers: int = 0
    body_bytes_held: int = 0
    body_counts: LargeBodyCounts = field(default_factory=LargeBodyCounts)
    quota_calls: Mapping[tuple[str, str], int] = field(default_factory=dict)
    """Calls for organisations' quotas by way and result."""
    admitted_share: dict[ServiceName, float] = field(default_factory=dict)
    """Only services with `urgent_first`."""
    retries: Mapping[ServiceName, RetryStatus] = field(default_factory=dict)
    request_bytes_held: int = 0
    bodies_given_up: int = 0


class MetricsSource(ABC):
    """A source of the metrics that a metrics listener serves."""

    @abstractmethod
    def render(self) -> bytes:
        """Return all metrics in the text format."""


class RequestMetrics(MetricsSource, RequestObserver):
    """Counts requests and decisions and measures latency, by service and class."""

    def __init__(self, read_gauges: Callable[[], InstanceGauges]) -> None:
        self._read_gauges = read_gauges
        self._registry = Registry()
        registry = self._registry
        self._request_seconds = Histogram(
            "persimmonusher_request_seconds",
            "From a request's arrival to its answer.",
            registry=registry,
            buckets=REQUEST_BUCKETS,
        )
        self._added_seconds = Histogram(
            "persimmonusher_added_seconds",
            "The part of it not spent on a backend server, waiting in the queue included.",
            registry=registry,
            buckets=ADDED_BUCKETS,
        )
        self._requests = Counter(
            "persimmonusher_requests_total", "Requests by outcome and code.", registry=registry
        )
        self._steps = Counter(
            "persimmonusher_decisions_total",
            "Decisions, and ends of attempts, by reason.",
            registry=registry,
        )
        self._openings = Counter(
            "persimmonusher_server_openings_total",
            "Openings of connections to backend servers, by way and result.",
            registry=registry,
        )
        self._bodies_sent_on = Counter(
            "persimmonusher_bodies_sent_on_total",
            "Request bodies that were sent on as they arrived.",
            registry=registry,
        )
        self._bodies_given_up = Counter(
            "persimmonusher_bodies_given_up_total",
            "Bodies that stopped arriving and were given up to make room for others.",
            registry=registry,
        )
        self._bodies_refused = Counter(
            "persimmonusher_bodies_refused_total",
            "Requests refused because the memory for large bodies was used up.",
            registry=registry,
        )
        self._answers_unread = Counter(
            "persimmonusher_answers_unread_total",
            "Answers that were ended because the caller stopped reading.",
            registry=registry,
        )
        self._quota_calls = Counter(
            "persimmonusher_quota_calls_total",
            "Calls for organisations' quotas, by way and result.",
            registry=registry,
        )
        self._retries = RetryMetrics(registry)
        self._gauges = {
            name: Gauge(f"persimmonusher_{name}", text, registry=registry)
            for name, text in _GAUGES.items()
        }
        self._standings = Gauge(
            "persimmonusher_servers", "Backend servers by standing.", registry=registry
        )
        self._ages = Histogram(
            "persimmonusher_configuration_age_sampled_seconds",
            "Samples of the configuration's age.",
            registry=registry,
        )
        self._age_peaks = Gauge(
            "persimmonusher_configuration_age_peak_seconds",
            "The largest age of the last minutes, by the keeper that answered last.",
            registry=registry,
        )
        self._classes: dict[str, dict[str, tuple[Buckets, Buckets]]] = {}
        self._request_tally: Tally[tuple[str, str, str]] = Tally()
        self._step_tally: Tally[tuple[str, str, str]] = Tally()

    def observe(self, finished: FinishedRequest) -> None:
        """Count one request."""
        record = finished.record
        request_buckets, added_buckets = self._find_buckets(record.service, record.request_class)
        request_buckets.observe(finished.total_seconds)
        added_buckets.observe(max(0.0, finished.total_seconds - finished.server_seconds))
        code = "" if finished.code is None else finished.code.value
        self._request_tally[record.service, finished.outcome.value, code] += 1
        for step in record.steps:
            reason = step.summary if step.step in SUMMARIZED_STEPS else step.reason
            self._step_tally[record.service, step.step, reason] += 1

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for (service, outcome, code), count in self._request_tally.items():
            self._requests.set({"service": service, "outcome": outcome, "code": code}, count)
        for (service, step, reason), count in self._step_tally.items():
            self._steps.set({"service": service, "decision": step, "reason": reason}, count)
        self._set_gauges(self._read_gauges())
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _find_buckets(self, service: str, request_class: str) -> tuple[Buckets, Buckets]:
        classes = self._classes.setdefault(service, {})
        found = classes.get(request_class)
        if found is None and len(classes) >= CLASSES_PER_SERVICE:
            request_class = OTHER_CLASS
            found = classes.get(request_class)
        if found is None:
            labels = {"service": service, "class": request_class}
            found = (Buckets(*REQUEST_BUCKETS), Buckets(*ADDED_BUCKETS))
            self._request_seconds.set_value(labels, found[0])
            self._added_seconds.set_value(labels, found[1])
            classes[request_class] = found
        return found

    def _set_gauges(self, gauges: InstanceGauges) -> None:
        for name in _PLAIN_GAUGES:
            self._gauges[name].set({}, getattr(gauges, name))
        self._bodies_sent_on.set({}, gauges.body_counts.sent_on)
        self._bodies_refused.set({}, gauges.body_counts.refused)
        self._bodies_given_up.set({}, gauges.bodies_given_up)
        self._answers_unread.set({}, gauges.body_counts.answers_unread)
        for counter, counts in (
            (self._openings, gauges.openings),
            (self._quota_calls, gauges.quota_calls),
        ):
            for (way, result), count in counts.items():
                counter.set({"way": way, "result": result}, count)
        if gauges.configuration_ages is not None:
            self._ages.set_value({}, gauges.configuration_ages.buckets)
            for keeper, peak in gauges.configuration_ages.list_peaks().items():
                self._age_peaks.set({"keeper": keeper}, peak)
        self._retries.set(gauges.retries)
        self._set_service_gauges(gauges)

    def _set_service_gauges(self, gauges: InstanceGauges) -> None:
        for name in _SERVICE_GAUGES:
            by_service: Mapping[ServiceName, float] = getattr(gauges, name)
            for service, value in by_service.items():
                self._gauges[name].set({"service": service}, value)
        for service, status in gauges.work.items():
            self._gauges["work_known"].set({"service": service}, int(status.is_known))
            self._gauges["expected_work_seconds"].set({"service": service}, status.mean_seconds)
        for service, counts in gauges.standings.items():
            for standing in Standing:
                labels = {"service": service, "standing": standing.value}
                self._standings.set(labels, counts.get(standing.value, 0))


_GAUGES: Final = {
    "in_flight": "Requests in flight.",
    "caller_connections": "Open connections of callers.",
    "revision": "The configuration revision in force here.",
    "configuration_age_seconds": "All acknowledged longer ago is in force here.",
    "fleet_loads_age_seconds": "Age of the oldest part of the fleet's loads.",
    "fleet_loads_servers": "Backend servers with work in the fleet's loads.",
    "live_instances": "Instances believed alive, this one included.",
    "servers_taking_work": "Backend servers that get work from here.",
    "servers_left_out": "Backend servers that get none, such as ejected or draining ones.",
    "servers_limited": "Backend servers that limit the requests that they take.",
    "servers_resting": "Backend servers that asked this instance for rest.",
    "admitted_share": "Part of the requests that the service's capacity allows to admit.",
    "servers_reached": "Backend servers to which a connection was opened lately.",
    "servers_unreached": "Backend servers to which none could be opened lately.",
    "work_known": "Whether requests are placed by expected work: 1, or 0 without recent sums.",
    "expected_work_seconds": "Expected time that a server works on a request.",
    "ways_lost": "Backend servers that only other instances reach.",
    "connections_relayed": "Connections to backend servers that are open for other instances.",
    "body_bytes_held": "Memory set aside for requests with large bodies.",
    "request_bytes_held": "Memory taken for all other bodies and answers.",
}
_PLAIN_GAUGES: Final = (
    "in_flight",
    "caller_connections",
    "revision",
    "live_instances",
    "servers_reached",
    "servers_unreached",
    "ways_lost",
    "connections_relayed",
    "body_bytes_held",
    "request_bytes_held",
    "configuration_age_seconds",
    "fleet_loads_age_seconds",
    "fleet_loads_servers",
)
"""Gauges without labels."""
_SERVICE_GAUGES: Final = (
    "admitted_share",
    "servers_taking_work",
    "servers_left_out",
    "servers_limited",
    "servers_resting",
)


class MetricsApplication:
    """WSGI application that answers `GET /metrics`."""

    def __init__(self, metrics: MetricsSource) -> None:
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one scrape."""
        if environ["PATH_INFO"] != "/metrics":
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self._metrics.render()
        kind = "text/plain; version=0.0.4; charset=utf-8"
        start_response("200 OK", [("Content-Type", kind), ("Content-Length", str(len(body)))])
        return [body]


class ObserverChain(RequestObserver):
    """Passes finished requests to several observers."""

    def __init__(self, *observers: RequestObserver) -> None:
        self._observers = observers

    def observe(self, finished: FinishedRequest) -> None:
        """Call each observer in order."""
        for observer in self._observers:
            observer.observe(finished)
