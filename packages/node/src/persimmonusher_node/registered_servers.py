"""The backend servers registered in the replicated log, by service."""

from collections.abc import Iterable
from random import Random

from persimmonusher_agreement.configuration_objects import Record
from persimmonusher_agreement.registration import (
    RegisteredState,
    Registration,
    decode_registration,
)


class RegisteredServers:
    """Registrations of servers that have not stopped, with a version for each service."""

    def __init__(self) -> None:
        self._by_id: dict[str, Registration] = {}
        self._by_service: dict[str, dict[str, Registration]] = {}
        self._versions: dict[str, int] = {}

    def apply_record(self, server_id: str, record: Record | None) -> None:
        """Apply a server's latest record; None or a stopped server removes its registration."""
        previous = self._by_id.pop(server_id, None)
        if previous is not None:
            self._by_service[previous.service].pop(server_id, None)
            self._increase_version(previous.service)
        if record is None or record.body is None:
            return
        server = decode_registration(server_id, record.body)
        if server.state is RegisteredState.STOPPED:
            return
        self._by_id[server_id] = server
        self._by_service.setdefault(server.service, {})[server_id] = server
        self._increase_version(server.service)

    def __len__(self) -> int:
        return len(self._by_id)

    def list_all(self, service: str) -> Iterable[Registration]:
        """Iterate over a service's servers."""
        return self._by_service.get(service, {}).values()

    def sample_addresses(self, count: int, random: Random) -> list[str]:
        """Return the addresses of some servers, of random services."""
        services = [service for service, servers in self._by_service.items() if servers]
        chosen = random.sample(services, min(count, len(services)))
        per_service = -(-count // max(1, len(chosen)))
        addresses: list[str] = []
        for service in chosen:
            servers = list(self._by_service[service].values())
            picked = random.sample(servers, min(per_service, len(servers)))
            addresses.extend(server.address for server in picked)
        return addresses[:count]

    def is_in_domain(self, server_id: str, failure_domain: str) -> bool:
        """Return whether a server is registered in a failure domain."""
        server = self._by_id.get(server_id)
        return server is not None and server.failure_domain == failure_domain

    def version(self, service: str) -> int:
        """Return a number that changes whenever the result of `list_all` changes."""
        return self._versions.get(service, 0)

    def _increase_version(self, service: str) -> None:
        self._versions[service] = self._versions.get(service, 0) + 1
