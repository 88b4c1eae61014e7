"""The daemon of a keeper: the log, the control calls, and the streams to entries."""

from contextlib import ExitStack
from random import Random
from typing import Final

import eventlet
from structlog import get_logger

from persimmonusher_agreement.configuration_keeper import LossTolerance
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.profile import Profile
from persimmonusher_node.ages import bound_age
from persimmonusher_node.applied_document import AppliedDocument
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.daemon import start_http
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_seeds import SeededFormation
from persimmonusher_node.listener import HttpListener
from persimmonusher_node.metrics import MetricsApplication
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.protocol import LAST_REQUEST_SECONDS
from persimmonusher_node.refusal_log import RefusalLog
from persimmonusher_node.settings import Settings
from persimmonusher_node.settings_bounds import make_quota_terms
from persimmonusher_node.shutdown import StopSignal
from persimmonusher_node.tiers.edge import Edge
from persimmonusher_node.tiers.follow_service import FollowService
from persimmonusher_node.tiers.keeper_control import (
    DOCUMENT_TIMEOUT_SECONDS,
    REGISTER_TIMEOUT_SECONDS,
    KeeperControl,
)
from persimmonusher_node.tiers.keeper_metrics import (
    KeeperGauges,
    KeeperMetrics,
)
from persimmonusher_node.tiers.leader import LeaderCalls
from persimmonusher_node.tiers.quota_service import QuotaService

TIMING: Final = LogTiming(
    heartbeat_seconds=0.4, election_timeout_seconds=1.2, first_election_seconds=0.3
)
"""Idle keepers send each other only heartbeats, half as many as by default because traffic between
failure domains is expensive. Three of them fit into an election timeout, so that one lost message
starts no election, and a new leader is elected well within the seconds that an operator waits."""

_log = get_logger(__name__)


class KeeperDaemon:
    """One keeper, from its listeners to its stop."""

    def __init__(
        self, settings: Settings, edge: Edge, channels: ChannelPool, clock: Clock, random: Random
    ) -> None:
        self._settings = settings
        self._view = ConfigurationClient(
            settings, channels, clock, random, document=AppliedDocument(edge.codec, Profile())
        )
        tolerance = LossTolerance.for_losses(settings.tolerated_losses)
        assert tolerance.voters is not None
        self.formation = SeededFormation(
            settings.seed_peers,
            settings.listen.peers,
            tolerance.voters,
            settings.bootstrap,
            settings.failure_domain,
        )
        self._role = KeeperRole(
            settings, channels, clock, self._view, random, self.formation, tolerance, TIMING
        )
        leader = LeaderCalls(self._role, channels, clock)
        control = KeeperControl(settings, self._role, self._view, leader, edge.codec)
        self._refusals = RefusalLog(clock)
        self._control = edge.make_control(control, self._refusals)
        self._clock = clock
        self._metrics = KeeperMetrics(
            self._read_gauges,
            self._role.leaderless.buckets,
            channels.silences.buckets,
            self._refusals.counts,
        )
        self._follow = FollowService(
            settings.failure_domain, self._role, self._view, channels, clock, random
        )
        self._quotas = QuotaService(
            self._role,
            self._view,
            channels,
            make_quota_terms(settings.bounds),
            tolerance.voters,
            clock,
        )

    def _read_gauges(self) -> KeeperGauges | None:
        try:
            keeper = self._role.keeper
        except UsherError:
            return None
        status, now = keeper.describe(), self._clock.monotonic()
        leads = keeper.replica.is_ready_leader
        return KeeperGauges(
            int(leads),
            len(status.members.list_voters()),
            status.term,
            status.commit_index,
            status.revision,
            bound_age(keeper.replica.find_majority_age(now)),
            self._role.followers.own,
            self._role.followers.find_total(leads, now),
            len(self._view.servers),
            *self._follow.fleet.describe(now),
            self._follow.fleet_bytes,
            self._follow.exchange.sent_bytes,
        )

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings; of them only the seeds are used."""
        self.formation.replace_seeds(settings.seed_peers)

    def run(self, stop: StopSignal) -> bool:
        """Serve until the stop signal, then give calls in progress time to end."""
        settings = self._settings
        listen = settings.listen
        with ExitStack() as stack:
            handlers = [*self._role.list_peer_handlers(), self._follow, self._quotas]
            grpc = GrpcListener(listen.peers, handlers, {settings.peer_token: "peer"})
            grpc.start()
            stack.callback(grpc.stop)
            stack.enter_context(self._role)
            control = HttpListener(listen.control, self._control)
            control.start()
            stack.callback(control.abort)
            start_http(stack, listen.metrics, MetricsApplication(self._metrics))
            _log.info("started", role=settings.role.value, **listen.model_dump())
            whole = self._end_calls(control, stop.wait())
        _log.info("stopped", whole=whole)
        return whole

    def _end_calls(self, control: HttpListener, signalled_at: float) -> bool:
        """Stop accepting calls and let those in progress end; return whether all had an answer."""
        _log.info("stopping", connections=control.connections)
        control.close_after_answers()
        eventlet.sleep(REGISTER_TIMEOUT_SECONDS)
        control.stop_accepting()
        until = self._clock.monotonic() + DOCUMENT_TIMEOUT_SECONDS + LAST_REQUEST_SECONDS
        if self._settings.stop_seconds is not None:
            until = min(until, signalled_at + self._settings.stop_seconds)
        whole = control.wait_until_idle(lambda: self._clock.monotonic() > until)
        if not whole:
            _log.warning("calls-cut-off", connections=control.connections)
        return whole
