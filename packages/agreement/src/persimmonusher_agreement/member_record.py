"""The replicated record of an instance."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from persimmonusher_agreement.record import FIELD_OVERHEAD_BYTES, Record
from persimmonusher_model.identifiers import FailureDomain, InstanceId

FIXED_BYTES: Final = 24
"""Incarnation, state and encoding overhead of one update."""


class MemberState(IntEnum):
    """An instance's state as the fleet sees it; within one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    """It didn't answer probes; it still counts as live until the suspicion times out."""
    DEAD = 2
    LEFT = 3
    """It announced that it leaves."""


@dataclass(frozen=True)
class MemberRecord(Record):
    """One instance; only the instance itself raises its incarnation, to refute a suspicion."""

    instance_id: InstanceId
    failure_domain: FailureDomain
    peer_address: str
    roles: tuple[str, ...]
    incarnation: int
    """Begins at the time of the process's start, so a restart supersedes the former process."""
    state: MemberState

    @property
    def key(self) -> str:
        """Return the instance's key among all records."""
        return f"m/{self.instance_id}"

    @property
    def version(self) -> tuple[int, int, int, int]:
        """Return the incarnation, then the state."""
        return (self.incarnation, int(self.state), 0, 0)

    @property
    def is_tombstone(self) -> bool:
        """Return whether the instance is dead or has left."""
        return self.state >= MemberState.DEAD

    @property
    def is_urgent(self) -> bool:
        """Return True: a refutation that waits could get a live instance declared dead.

        A refutation is an ALIVE record, so all records of members are urgent.
        """
        return True

    def describe(self) -> str:
        """Return all that replicas must agree on, as one string.

        The state is left out: suspicions are short-lived, and digests that differed for each
        suspicion would start an exchange at every probe.
        """
        roles = ",".join(self.roles)
        return f"{self.key}|{self.failure_domain}|{self.peer_address}|{roles}|{self.incarnation}"

    def count_bytes(self) -> int:
        """Return an upper bound of the record's bytes as encoded."""
        texts = (self.instance_id, self.failure_domain, self.peer_address, *self.roles)
        return FIXED_BYTES + sum(len(text.encode()) + FIELD_OVERHEAD_BYTES for text in texts)
