"""The daemon of a keeper: the log, the control calls, and the streams to entries."""

from contextlib import ExitStack
from random import Random

import eventlet
from structlog import get_logger

from persimmonusher_agreement.configuration_keeper import LossTolerance
from persimmonusher_model.clock import Clock
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.daemon import start_http
from persimmonusher_node.grpc_listener import GrpcListener
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_seeds import SeededFormation
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_node.shutdown import StopSignal
from persimmonusher_node.tiers.edge import Edge
from persimmonusher_node.tiers.follow_service import FollowService
from persimmonusher_node.tiers.keeper_control import REGISTER_SECONDS, KeeperControl
from persimmonusher_node.tiers.leader import LeaderCalls

_log = get_logger(__name__)


class KeeperDaemon:
    """One keeper, from its listeners to its stop."""

    def __init__(
        self, settings: Settings, edge: Edge, channels: ChannelPool, clock: Clock, random: Random
    ) -> None:
        self._settings = settings
        self._view = ConfigurationClient(settings, channels, clock, random)
        tolerance = LossTolerance.for_losses(settings.tolerated_losses)
        assert tolerance.voters is not None
        self.formation = SeededFormation(
            settings.seed_peers, settings.listen.peers, tolerance.voters, settings.bootstrap
        )
        self._role = KeeperRole(
            settings, channels, clock, self._view, random, self.formation, tolerance
        )
        leader = LeaderCalls(self._role, channels, clock)
        control = KeeperControl(settings, self._role, self._view, leader, edge.codec, clock)
        self._control = edge.make_control(control)
        self._follow = FollowService(self._role, self._view, channels, clock)

    def reload(self, settings: Settings) -> None:
        """Take changed settings."""
        self.formation.replace_seeds(settings.seed_peers)

    def run(self, stop: StopSignal) -> bool:
        """Serve until the stop signal; calls in progress are given time to end."""
        settings = self._settings
        listen = settings.listen
        with ExitStack() as stack:
            handlers = [*self._role.list_peer_handlers(), self._follow]
            grpc = GrpcListener(listen.peers, handlers, {settings.peer_token: "peer"})
            grpc.start()
            stack.callback(grpc.stop)
            stack.enter_context(self._role)
            start_http(stack, listen.control, self._control)
            _log.info("started", role=settings.role.value, **listen.model_dump())
            stop.wait()
            _log.info("stopping")
            eventlet.sleep(REGISTER_SECONDS)
        _log.info("stopped")
        return True
