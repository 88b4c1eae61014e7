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
    """Registrations of servers that have not stopped, with a version for each service.

    Where servers announce their boot, a registration without one comes from another writer, whose
    address may be that of a working server. It is held, since it is in the log, but not used.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Registration] = {}
        self._with_boot = 0
        self._by_service: dict[str, dict[str, Registration]] = {}
        self._versions: dict[str, int] = {}

    def apply_record(self, server_id: str, record: Record | None) -> None:
        """Apply a server's latest record; None or a stopped server removes its registration."""
        announced_boots = self.announces_boots
        self._remove(server_id)
        if record is not None and record.body is not None:
            server = decode_registration(server_id, record.body)
            if server.state is not RegisteredState.STOPPED:
                self._add(server)
        if self.announces_boots != announced_boots:
            self._use_again()

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def announces_boots(self) -> bool:
        """Return whether a server has announced its boot."""
        return self._with_boot > 0

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

    def _add(self, server: Registration) -> None:
        self._by_id[server.server_id] = server
        self._with_boot += server.boot > 0
        self._use(server)

    def _use(self, server: Registration) -> None:
        if server.boot or not self.announces_boots:
            self._by_service.setdefault(server.service, {})[server.server_id] = server
            self._increase_version(server.service)

    def _remove(self, server_id: str) -> None:
        server = self._by_id.pop(server_id, None)
        if server is None:
            return
        self._with_boot -= server.boot > 0
        if self._by_service.get(server.service, {}).pop(server_id, None) is not None:
            self._increase_version(server.service)

    def _use_again(self) -> None:
        """Choose again which servers are used, as the first boot is known or the last one gone."""
        for service, servers in self._by_service.items():
            servers.clear()
            self._increase_version(service)
        for server in self._by_id.values():
            self._use(server)

    def _increase_version(self, service: str) -> None:
        self._versions[service] = self._versions.get(service, 0) + 1
