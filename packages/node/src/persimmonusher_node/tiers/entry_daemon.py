"""The daemon of an entry: callers, readiness, metrics, and the stream from a keeper."""

from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import replace
from random import Random
from typing import Final

from structlog import get_logger

from persimmonusher_decisions.notices import Notice
from persimmonusher_decisions.relay_choice import RelayChoice
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId
from persimmonusher_model.profile import parse_profile
from persimmonusher_model.routing import CallerLimits, DocumentCodec
from persimmonusher_node.applied_document import AppliedDocument
from persimmonusher_node.attempts import log_notice
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.daemon import make_listener_limits, start_http
from persimmonusher_node.data_plane import DataPlane
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.listener import HttpListener, ListenerLimits
from persimmonusher_node.metrics import MetricsApplication
from persimmonusher_node.observer import RequestObserver
from persimmonusher_node.parts import Parts
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Freshness, Instance
from persimmonusher_node.relay_listener import RelayListener
from persimmonusher_node.relays import RelayDialer
from persimmonusher_node.settings import Settings
from persimmonusher_node.shutdown import GracefulStop, StopSignal
from persimmonusher_node.tiers.edge import Edge
from persimmonusher_node.tiers.entry_ports import (
    FollowedMembership,
    RefusingClaims,
    RegisteredDirectory,
)
from persimmonusher_node.tiers.entry_work import EntryWork
from persimmonusher_node.tiers.follower import KeeperFollower
from persimmonusher_node.tiers.grpc_keepers import GrpcKeepers
from persimmonusher_node.tiers.grpc_quotas import GrpcQuotas
from persimmonusher_node.tiers.keeper_quotas import KeeperQuotas
from persimmonusher_node.tiers.peer_notices import PeerNotices, PeerNoticeService
from persimmonusher_node.tiers.quota_router import QuotaRouter
from persimmonusher_node.tiers.relay_peers import RelayPeers

COMPARED_SERVERS: Final = 2
"""Other servers that an entry tries before it says that it can't reach one."""

_log = get_logger(__name__)


class FollowedConfiguration(ConfigurationClient):
    """The configuration as received from the followed keeper; nothing is pulled from peers."""

    follower: KeeperFollower | None = None

    def is_current(self) -> bool:
        """Return whether no later revision can have been in force for too long."""
        return self.follower is not None and self.follower.is_current()

    def find_freshness(self) -> Freshness | None:
        """Return how stale the configuration may be."""
        return None if self.follower is None else self.follower.find_freshness()


class EntryDaemon:
    """One entry, from its listeners to its stop."""

    def __init__(
        self,
        settings: Settings,
        edge: Edge,
        channels: ChannelPool,
        observer: RequestObserver,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._lines = LineBudget(clock)
        self._document = document = make_document(settings, edge.codec)
        view = FollowedConfiguration(settings, channels, clock, random, document=document)
        self.follower = make_follower(settings, view, channels, clock, random)
        view.follower = self.follower
        own = Instance(
            InstanceId(settings.instance_id), FailureDomain(settings.failure_domain), "", ("entry",)
        )
        self.router = QuotaRouter(
            settings.listen.peers,
            self.follower.list_keepers,
            self._list_peers,
            GrpcQuotas(channels),
            clock,
            random,
        )
        quotas = KeeperQuotas(settings.instance_id, self.router, clock)
        self._directory = RegisteredDirectory(view)
        parts = Parts(
            view,
            self._directory,
            FollowedMembership(own, self.follower),
            RefusingClaims(),
            quotas=quotas,
        )
        relays = RelayChoice(own.failure_domain, random)
        self.relay_peers = RelayPeers(
            settings.listen.relay, relays, self.follower.list_keepers, channels, random
        )
        self.relay_peers.needs_peers = lambda: view.organisations is not None
        dialer = None
        if settings.listen.relay:
            dialer = RelayDialer(relays, settings.peer_token, clock)
            dialer.on_unhelped = self.relay_peers.refresh_soon
        self.plane = DataPlane(settings, parts, observer, clock, random, edge.dialect, dialer)
        self.plane.forwarder.set_publisher(self.follower.report)
        self.follower.on_notice = self._apply_notice
        self.follower.read_loads = self._list_loads
        self.plane.configuration_ages = self.follower.lease.ages
        self.follower.on_loads = self._apply_loads
        self.plane.quota_calls = self.router.tally
        self.work = EntryWork(lambda: self.plane.services, clock)
        self.follower.make_report = self.work.make_report
        self.follower.on_fleet_work = self.work.apply_update
        self.plane.read_fleet_loads = lambda: self.work.watch.describe(clock.monotonic())

    def _list_peers(self) -> tuple[str, ...]:
        """List the entries that may help with quota: those of the own keeper, and some others."""
        return (*self.follower.peers, *self.relay_peers.peers)

    def _list_loads(self) -> dict[ServerId, int]:
        loads: dict[ServerId, int] = {}
        for live in self.plane.services:
            loads.update(live.traffic.list_in_progress())
        return loads

    def _apply_loads(self, loads: Mapping[ServerId, int]) -> None:
        for live in self.plane.services:
            live.traffic.apply_loads(loads)

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings; of them only the seeds are used."""
        self.follower.replace_seeds(settings.seed_peers)

    def _apply_notice(self, notice: Notice) -> None:
        """Apply another entry's notice; a service without requests here yet doesn't need it."""
        live = self.plane.services.get(notice.service)
        if live is None:
            return
        now = self._clock.monotonic()
        if live.traffic.apply_notice(notice, now):
            log_notice(notice, live, self._lines, now, seen="elsewhere")

    def run(self, stop: StopSignal) -> bool:
        """Serve until the stop signal, then stop gracefully; return whether nothing was cut off."""
        settings = self._settings
        listen = settings.listen
        application = self.plane.application
        callers = HttpListener(listen.callers, application, make_listener_limits(settings.limits))
        application.count_connections = lambda: callers.connections
        self._document.on_limits_changed = lambda limits: callers.replace_limits(
            apply_caller_limits(make_listener_limits(settings.limits), limits)
        )
        with ExitStack() as stack:
            if listen.peers:
                service = PeerNoticeService(self._apply_notice, self.router)
                peers = GrpcListener(listen.peers, [service], {settings.peer_token: "peer"})
                peers.start()
                stack.callback(peers.stop)
            stack.enter_context(self.router)
            stack.enter_context(self.follower)
            stack.enter_context(self.work)
            stack.enter_context(self.plane.watch)
            relay = self._start_relay(stack)
            start_http(stack, listen.ready, application)
            start_http(stack, listen.metrics, MetricsApplication(self.plane.metrics))
            callers.start()
            _log.info("started", role=settings.role.value, **listen.model_dump())
            signalled_at = stop.wait()
            forwarder = self.plane.forwarder
            graceful = GracefulStop(settings, callers, forwarder, self._clock, relay)
            whole = graceful.run(signalled_at)
        _log.info("stopped", whole=whole)
        return whole

    def _start_relay(self, stack: ExitStack) -> RelayListener | None:
        """Start to open connections for other entries, if the settings name an address."""
        settings = self._settings
        if not settings.listen.relay:
            return None
        relay = RelayListener(
            settings.listen.relay,
            settings.peer_token,
            self._directory.is_registered,
            self.plane.ways.may_reach,
            lambda address: self._directory.sample_addresses(
                COMPARED_SERVERS, address, self._random
            ),
        )
        self.plane.count_relayed = lambda: relay.connections
        stack.enter_context(relay)
        stack.enter_context(self.relay_peers)
        return relay


def make_document(settings: Settings, codec: DocumentCodec) -> AppliedDocument:
    """Make the routing document's store, with the profiles that the settings state."""
    default = parse_profile(settings.default_profile)
    contended = parse_profile({**settings.default_profile, **settings.contended_profile})
    return AppliedDocument(codec, contended if settings.is_contended else default, contended)


def make_follower(
    settings: Settings,
    view: ConfigurationClient,
    channels: ChannelPool,
    clock: Clock,
    random: Random,
) -> KeeperFollower:
    """Make a follower that calls the keepers over gRPC."""
    keepers = GrpcKeepers(settings, channels, clock)
    peers = PeerNotices(settings.listen.peers, channels)
    return KeeperFollower(settings, view, keepers, peers, clock, random)


def apply_caller_limits(own: ListenerLimits, document: CallerLimits) -> ListenerLimits:
    """Return the stricter of the listener's and the document's limits, each by itself."""
    return replace(
        own,
        idle_seconds=min(own.idle_seconds, document.idle_seconds),
        head_seconds=min(own.head_seconds, document.head_seconds),
        head_bytes=min(own.head_bytes, document.head_bytes),
    )
