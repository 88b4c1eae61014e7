"""The data plane's directory of backend servers, based on membership's gossip."""

from collections.abc import Callable

from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_agreement.server_record import ServerState as RecordState
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_node.membership import UdpMembership
from persimmonusher_node.ports import ServerDirectory


class GossipDirectory(ServerDirectory):
    """The backend servers that announced themselves to any instance.

    >>> directory = GossipDirectory(membership)  # doctest: +SKIP

    It owns no resources and needs no start: the given `UdpMembership` carries its messages.
    Draining servers are listed, so that the data plane can distinguish them from lost ones.
    """

    def __init__(self, membership: UdpMembership) -> None:
        self._membership = membership
        self._listed: dict[ServiceName, tuple[int, tuple[BackendServer, ...]]] = {}

    def announce(self, server: BackendServer) -> bool:
        """Record an announcement; return False if a newer one is known already."""
        return self._membership.announce(make_record(server)).accepted

    def relays_announcements(self) -> bool:
        """Return whether another instance has answered this one lately, or there is none."""
        return self._membership.has_peer_contact()

    def list_servers(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """List the service's servers that are not stopped and not lost."""
        directory = self._membership.fleet.directory
        version = directory.version(service)
        listed = self._listed.get(service)
        if listed is None or listed[0] != version:
            records = directory.list_servers(service)
            listed = (version, tuple(make_server(record) for record in records))
            self._listed[service] = listed
        return listed[1]

    def version(self, service: ServiceName) -> int:
        """Return a number that changes whenever the result of `list_servers` does."""
        return self._membership.fleet.directory.version(service)

    def list_services(self) -> tuple[ServiceName, ...]:
        """List the services that have, or had, a server."""
        return tuple(self._membership.fleet.directory.list_services())

    def on_change(self, callback: Callable[[ServiceName], None]) -> None:
        """Call back with the service whose servers changed."""
        self._membership.on_servers_change(callback)


def make_record(server: BackendServer) -> ServerRecord:
    """Return the directory's record of an announced server."""
    return ServerRecord(
        server.server_id,
        server.service,
        server.address,
        server.failure_domain,
        server.slots,
        server.connection_limit,
        server.boot_id,
        server.sequence,
        RecordState[server.state.name],
    )


def make_server(record: ServerRecord) -> BackendServer:
    """Return the data plane's view of a record."""
    return BackendServer(
        record.server_id,
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.connection_limit,
        record.boot_id,
        record.sequence,
        ServerState[record.state.name],
    )
