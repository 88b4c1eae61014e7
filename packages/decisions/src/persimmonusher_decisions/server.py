"""A backend server, as described by its own announcements."""

from dataclasses import dataclass
from enum import Enum

from persimmonusher_model.identifiers import FailureDomain, ServerId, ServiceName


class ServerState(Enum):
    """The state that a backend server announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True)
class BackendServer:
    """One announcement of a backend server.

    Freshness is the pair (boot_id, sequence): a late, older announcement can't undo a newer one.
    `boot_id` is a number that rises with each start of the server, such as its start time in
    milliseconds; `sequence` counts the announcements within one boot.
    """

    server_id: ServerId
    service: ServiceName
    address: str
    """Address at which it accepts requests, as `ip:port`."""
    failure_domain: FailureDomain
    slots: int
    """Requests that it processes at the same time."""
    connection_limit: int
    """Connections that it accepts in total; 0 if it announces no limit."""
    boot_id: int
    sequence: int
    state: ServerState

    @property
    def freshness(self) -> tuple[int, int]:
        """Return the key that orders announcements of the same server, newest last."""
        return (self.boot_id, self.sequence)
