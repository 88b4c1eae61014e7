"""The replicated record of a backend server."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from persimmonusher_agreement.record import FIELD_OVERHEAD_BYTES, Record
from persimmonusher_model.identifiers import FailureDomain, ServerId, ServiceName

FIXED_BYTES: Final = 56
"""The numbers of one record and the encoding overhead of one update."""


class ServerState(IntEnum):
    """The state that a backend server reports, in the order in which it passes through them."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    STOPPED = 3


@dataclass(frozen=True)
class ServerRecord(Record):
    """One announcement of a backend server, or the watchers' finding that it is lost.

    The version is (boot_id, sequence, lost, state), so a late, older announcement can't undo a
    newer one, `lost` supersedes the last announcement before it, and any later announcement
    supersedes `lost`. The state is part of it only so that all replicas end up equal even if a
    server announces two states with one sequence.
    """

    server_id: ServerId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    connection_limit: int
    boot_id: int
    sequence: int
    state: ServerState
    lost: bool = False
    """Its watchers have received no heartbeat of it for the heartbeat timeout."""

    @property
    def key(self) -> str:
        """Return the server's key among all records."""
        return f"s/{self.server_id}"

    @property
    def freshness(self) -> tuple[int, int]:
        """Return the pair that orders two announcements of the same server."""
        return (self.boot_id, self.sequence)

    @property
    def version(self) -> tuple[int, int, int, int]:
        """Return the freshness, then `lost` and the state."""
        return (self.boot_id, self.sequence, int(self.lost), int(self.state))

    @property
    def is_tombstone(self) -> bool:
        """Return whether the server is stopped or lost."""
        return self.lost or self.state is ServerState.STOPPED

    @property
    def is_urgent(self) -> bool:
        """Return whether the server is leaving or lost: requests to it are refused or get lost."""
        return self.state >= ServerState.DRAINING or self.lost

    def describe(self) -> str:
        """Return all fields, since replicas must agree on them, as one string."""
        return f"{self.key}|{self.describe_content()}|{self.version}"

    def describe_content(self) -> str:
        """Return all fields except the sequence, as one string: what the data plane uses."""
        return (
            f"{self.service}|{self.address}|{self.failure_domain}|{self.slots}"
            f"|{self.connection_limit}|{self.boot_id}|{int(self.state)}|{self.lost}"
        )

    def count_bytes(self) -> int:
        """Return an upper bound of the record's bytes as encoded."""
        texts = (self.server_id, self.service, self.address, self.failure_domain)
        return FIXED_BYTES + sum(len(text.encode()) + FIELD_OVERHEAD_BYTES for text in texts)
