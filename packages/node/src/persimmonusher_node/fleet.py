"""Creates an instance's components: keeper, membership, claims, evidence, operators."""

from collections.abc import Sequence
from random import SystemRandom

from persimmonusher_agreement.roster import RosterPlanner
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import FailureDomain, InstanceId
from persimmonusher_node.claims import PeerClaims
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.directory import GossipDirectory
from persimmonusher_node.evidence import EvidenceExchange
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.membership import UdpMembership
from persimmonusher_node.operators import OperatorsComponent
from persimmonusher_node.operators_state import DataPlaneState
from persimmonusher_node.parts import Parts
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Instance
from persimmonusher_node.records import RecordRing
from persimmonusher_node.roster import SETTLE_SECONDS, RosterKeeper, RosterReader
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.settings import Settings


class FleetParts:
    """Creates the components of one instance and connects them with each other."""

    def __init__(self, settings: Settings, channels: ChannelPool, clock: Clock) -> None:
        self._settings = settings
        self._channels = channels
        self._clock = clock
        random = SystemRandom()
        self.configuration = ConfigurationClient(settings, channels, clock)
        self.membership = UdpMembership(
            settings,
            clock,
            random,
            read_revision=self.configuration.revision,
            hear_revision=self.configuration.hear_revision,
        )
        self.configuration.follow_peers(self._list_peer_addresses)
        self.directory = GossipDirectory(self.membership)
        self._boot = self.membership.fleet.members.own.incarnation
        self._roster = RosterReader(self.configuration)
        self.claims = PeerClaims(
            InstanceId(settings.instance_id),
            self._boot,
            clock,
            channels,
            self.membership,
            self._roster.find,
            settings.claims.longest_window_seconds,
            random,
        )

    def make(self) -> Parts:
        """Return the adapters for the data plane's ports, with all components."""
        components: list[Component] = [self.configuration, *self._make_keeper()]
        components += [self.membership, self.claims]
        return Parts(
            self.configuration,
            self.directory,
            self.membership,
            self.claims,
            tuple(components),
            self._make_more,
        )

    def _make_keeper(self) -> Sequence[Component]:
        settings = self._settings
        if not settings.is_keeper or settings.data_folder is None:
            return ()
        role = KeeperRole(settings, self._channels, self._clock, self.configuration)
        window = settings.claims.longest_window_seconds
        planner = RosterPlanner(settings.claims.founding_instances, SETTLE_SECONDS)
        roster = RosterKeeper(
            self.configuration,
            self._roster,
            lambda: _is_leader(role),
            self.membership,
            self._channels,
            planner,
            window,
            self._clock,
        )
        return (role, roster)

    def _make_more(self, services: ServiceBook, records: RecordRing) -> Sequence[Component]:
        settings = self._settings
        domain = FailureDomain(settings.failure_domain)
        evidence = EvidenceExchange(
            InstanceId(settings.instance_id),
            domain,
            self._boot,
            services,
            self.configuration,
            self.directory,
            self.membership,
            self._channels,
            self._clock,
        )
        state = DataPlaneState(self.configuration, services, self.directory, records, self._clock)
        own = Instance(
            InstanceId(settings.instance_id), domain, settings.listen.peers, settings.roles
        )
        operators = OperatorsComponent(
            own,
            state,
            self.configuration,
            self.membership,
            self._channels,
            settings.operator_tokens,
            self._clock,
        )
        return (evidence, operators)

    def _list_peer_addresses(self) -> list[str]:
        return [instance.peer_address for instance in self.membership.list_live()]


def _is_leader(role: KeeperRole) -> bool:
    try:
        return role.keeper.replica.is_ready_leader
    except UsherError:
        # After a disk failure the keeper takes no part in the log, so it can't be the leader.
        return False
