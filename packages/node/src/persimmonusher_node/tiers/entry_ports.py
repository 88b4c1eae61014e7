"""The ports of an entry that follows a keeper instead of knowing its peers."""

from collections.abc import Sequence
from random import Random
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

SERVER_STATES: Final = {
    RegisteredState.STARTING: ServerState.STARTING,
    RegisteredState.READY: ServerState.READY,
    RegisteredState.DRAINING: ServerState.DRAINING,
    RegisteredState.STOPPED: ServerState.STOPPED,
}


class RegisteredDirectory(ServerDirectory):
    """The servers that registered with the keepers, as received from the followed keeper."""

    def __init__(self, view: ConfigurationClient) -> None:
        self._view = view

    def announce(self, server: BackendServer) -> bool:
        """Log the state that a server's answer reported; only keepers accept registrations."""
        logger.info("server-said", server=server.server_id, state=server.state.value)
        return False

    def list_servers(self, service: ServiceName) -> Sequence[BackendServer]:
        """List the service's servers that have not ended."""
        return [_make_server(server) for server in self._view.servers.list_all(service)]

    def is_registered(self, service: str, address: str) -> bool:
        """Return whether a service has a server at an address that has not ended."""
        return any(server.address == address for server in self._view.servers.list_all(service))

    def sample_addresses(self, count: int, other_than: str, random: Random) -> list[str]:
        """Return the addresses of some servers of any services."""
        addresses = self._view.servers.sample_addresses(count + 1, random)
        return [address for address in addresses if address != other_than][:count]

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
        SERVER_STATES[server.state],
    )


class FollowedMembership(Membership):
    """Lists only this instance, but counts entries as the keepers do."""

    def __init__(self, own: Instance, follower: KeeperFollower) -> None:
        self._own = own
        self._follower = follower

    def list_live(self) -> Sequence[Instance]:
        """List this instance: an entry doesn't learn the names of the others."""
        return (self._own,)

    def count_entries(self) -> int:
        """Return the number of live entries, this one included."""
        return max(1, self._follower.entries)

    def is_entry_count_reliable(self) -> bool:
        """Return whether keepers have reported the number for some time, and recently."""
        return self._follower.is_count_reliable


class RefusingClaims(KeyClaims):
    """Refuses all claims, so that keyed requests aren't run.

    Claims need registers on peers that know each other, and entries that follow a keeper don't.
    """

    def claim(
        self, key: ClaimKey, fingerprint: str, window_seconds: float, pending_seconds: float
    ) -> ClaimResult:
        """Return NO_QUORUM for every claim."""
        return ClaimResult(ClaimStatus.NO_QUORUM)

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Do nothing: no claim was granted."""

    def release(self, key: ClaimKey) -> None:
        """Do nothing: no claim was granted."""

    def record_unknown(self, key: ClaimKey) -> None:
        """Do nothing: no claim was granted."""
