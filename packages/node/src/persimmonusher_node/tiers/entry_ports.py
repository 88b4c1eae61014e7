"""The ports of an entry that follows a keeper instead of knowing its peers."""

from collections.abc import Sequence
from typing import Final

import structlog

from persimmonusher_agreement.registration import RegisteredState, Registration
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.identifiers import FailureDomain, ServerId, ServiceName
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.ports import (
    ClaimKey,
    ClaimResult,
    ClaimStatus,
    Instance,
    KeyClaims,
    Membership,
    ServerDirectory,
    StoredAnswer,
)
from persimmonusher_node.tiers.follower import KeeperFollower

logger = structlog.get_logger(__name__)

STATES: Final = {
    RegisteredState.STARTING: ServerState.STARTING,
    RegisteredState.READY: ServerState.READY,
    RegisteredState.DRAINING: ServerState.DRAINING,
    RegisteredState.STOPPED: ServerState.STOPPED,
}


class RegisteredDirectory(ServerDirectory):
    """The servers that registered with the keepers, as the followed keeper tells them."""

    def __init__(self, view: ConfigurationClient) -> None:
        self._view = view

    def announce(self, server: BackendServer) -> bool:
        """Take note of what a server's answer said; only keepers take registrations."""
        logger.info("server-said", server=server.server_id, state=server.state.value)
        return False

    def list_servers(self, service: ServiceName) -> Sequence[BackendServer]:
        """List the service's servers that have not ended."""
        return [_make_server(server) for server in self._view.servers.list_all(service)]

    def version(self, service: ServiceName) -> int:
        """Return a number that changes whenever `list_servers` would."""
        return self._view.servers.version(service)


def _make_server(server: Registration) -> BackendServer:
    return BackendServer(
        ServerId(server.server_id),
        ServiceName(server.service),
        server.address,
        FailureDomain(server.failure_domain),
        server.slots,
        0,
        server.boot,
        server.sequence,
        STATES[server.state],
    )


class FollowedMembership(Membership):
    """The own instance alone, with the number of entries that the keepers count."""

    def __init__(self, own: Instance, follower: KeeperFollower) -> None:
        self._own = own
        self._follower = follower

    def list_live(self) -> Sequence[Instance]:
        """List this instance, the only one that it knows by name."""
        return (self._own,)

    def count_entries(self) -> int:
        """Return the number of live entries, this one included."""
        return max(1, self._follower.entries)


class NoClaims(KeyClaims):
    """Refuses keyed requests as not run: claims need registers on peers that know each other."""

    def claim(
        self, key: ClaimKey, fingerprint: str, window_seconds: float, pending_seconds: float
    ) -> ClaimResult:
        """Grant nothing."""
        return ClaimResult(ClaimStatus.NO_QUORUM)

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Do nothing: no claim was granted."""

    def release(self, key: ClaimKey) -> None:
        """Do nothing: no claim was granted."""

    def give_up(self, key: ClaimKey) -> None:
        """Do nothing: no claim was granted."""
