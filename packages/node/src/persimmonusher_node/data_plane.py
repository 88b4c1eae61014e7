"""The data plane of one instance: everything between the callers' listener and the ports."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.server_work import WorkStatus
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, RequestId, ServiceName
from persimmonusher_node.ages import bound_age
from persimmonusher_node.callers import CallersApplication
from persimmonusher_node.configuration_ages import ConfigurationAges
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.entry import Entry
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.keyed import KeyedForwarder
from persimmonusher_node.large_bodies import LargeBodies
from persimmonusher_node.metrics import InstanceGauges, ObserverChain, RequestMetrics
from persimmonusher_node.observer import RequestObserver
from persimmonusher_node.parts import Parts
from persimmonusher_node.records import RecordRing, RequestRecord
from persimmonusher_node.relays import RelayDialer
from persimmonusher_node.retry_log import RetryLog
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.settings import Settings
from persimmonusher_node.standing_log import StandingLog
from persimmonusher_node.upstream import Upstream
from persimmonusher_node.watch import Watch


class DataPlane:
    """Composes forwarding, its periodic checks, the request records and the metrics."""

    def __init__(
        self,
        settings: Settings,
        parts: Parts,
        observer: RequestObserver,
        clock: Clock,
        random: Random,
        dialect: Dialect = OWN_DIALECT,
        relays: RelayDialer | None = None,
    ) -> None:
        self._parts = parts
        self._clock = clock
        self.records = RecordRing()
        self.metrics = RequestMetrics(self.read_gauges)
        instance_id = InstanceId(settings.instance_id)
        self.services = ServiceBook(
            parts.view,
            parts.directory,
            parts.membership,
            instance_id,
            FailureDomain(settings.failure_domain),
            clock,
            random,
        )
        upstream = Upstream(clock, settings.limits.buffered_answer_bytes, dialect, relays)
        self.ways = upstream.ways
        self.forwarder = Forwarder(
            self.services,
            upstream,
            self.records,
            ObserverChain(observer, self.metrics),
            clock,
            self.note_draining,
            dialect,
        )
        keyed = KeyedForwarder(self.forwarder, parts.claims)
        decimals = dialect.retry_after_decimals
        entry = Entry(self.services, self.forwarder, keyed, parts.quotas, clock, decimals)
        limits = settings.limits
        self.large_bodies = LargeBodies(
            clock,
            limits.body_seconds,
            limits.large_body_bytes,
            limits.unread_seconds,
            limits.held_bytes,
        )
        self.application = CallersApplication(entry, instance_id, clock, self.large_bodies, dialect)
        self.count_relayed: Callable[[], int] = int
        """Returns the number of connections that are open for other instances."""
        self.read_fleet_loads: Callable[[], tuple[float, int]] = lambda: (0.0, 0)
        """Returns the age in seconds of the work in progress of all entries, and the number of
        servers that have any."""
        self.configuration_ages: ConfigurationAges | None = None
        """Set by the daemon of an entry that follows a keeper."""
        self.quota_calls: Mapping[tuple[str, str], int] = {}
        """Calls for quota by way and result; set by the daemon of an entry."""
        logs = (StandingLog(self.services, clock), RetryLog(self.services, clock))
        self.watch = Watch(self.services, self.forwarder, upstream, logs, clock)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a recent request at this instance, or None."""
        return self.records.explain(request_id)

    def note_draining(self, server: BackendServer) -> None:
        """Announce to the directory a server whose answer said that it is leaving.

        This instance's traffic excludes the server already. Its own announcement may be arriving
        through another entry; that one has the same or a later sequence number.
        """
        draining = replace(server, sequence=server.sequence + 1, state=ServerState.DRAINING)
        self._parts.directory.announce(draining)

    def read_gauges(self) -> InstanceGauges:
        """Return the current values of the gauges, for a scrape."""
        now = self._clock.monotonic()
        taking = {}
        excluded = {}
        limited = {}
        resting = {}
        standings: dict[ServiceName, dict[str, int]] = {}
        work: dict[ServiceName, WorkStatus] = {}
        admitted_shares: dict[ServiceName, float] = {}
        for live in self.services:
            statuses = live.traffic.describe(now)
            taking[live.name] = sum(status.taking_work for status in statuses)
            excluded[live.name] = len(statuses) - taking[live.name]
            limited[live.name] = sum(status.rate_limit is not None for status in statuses)
            resting[live.name] = sum(status.rest_seconds > 0.0 for status in statuses)
            work_status = live.traffic.describe_work(now)
            if work_status is not None:
                work[live.name] = work_status
            standings[live.name] = Counter(status.standing.value for status in statuses)
            admitted = live.traffic.admitted_share
            if admitted is not None:
                admitted_shares[live.name] = admitted
        freshness = self.services.find_freshness()
        openings = self.ways.openings
        return InstanceGauges(
            self.forwarder.in_flight,
            self.application.count_connections(),
            self.services.revision(),
            len(self._parts.membership.list_live()),
            taking,
            excluded,
            0.0 if freshness is None else bound_age(freshness.age),
            limited,
            resting,
            standings,
            openings.count_reached(now),
            len(openings.list_missed(now)),
            self.ways.lost_count,
            self.count_relayed(),
            openings.tally,
            self.configuration_ages,
            work,
            *self.read_fleet_loads(),
            self.large_bodies.memory.held_bytes,
            self.large_bodies.counts,
            self.quota_calls,
            admitted_shares,
            {live.name: live.traffic.describe_retries(now) for live in self.services},
            self.large_bodies.held.held_bytes,
            self.large_bodies.waits.given_up,
        )
