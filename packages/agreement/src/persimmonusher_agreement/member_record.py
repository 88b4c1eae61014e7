"""An instance of the system as membership knows it."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from persimmonusher_agreement.record import FIELD_OVERHEAD_BYTES, Record
from persimmonusher_model.identifiers import FailureDomain, InstanceId

FIXED_BYTES: Final = 24
"""Incarnation, state and the wrapping of one update."""


class MemberState(IntEnum):
    """What the fleet believes of an instance; a higher one wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    """Unanswered probes; it takes part as before until the suspicion times out."""
    DEAD = 2
    LEFT = 3
    """It said itself that it leaves."""


@dataclass(frozen=True)
class MemberRecord(Record):
    """One instance; only the instance itself raises its incarnation, to refute a suspicion."""

    instance_id: InstanceId
    failure_domain: FailureDomain
    peer_address: str
    roles: tuple[str, ...]
    incarnation: int
    """Starts from the time of the process's start, so a restart supersedes its earlier life."""
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
        """Tell whether the instance is dead or has left."""
        return self.state >= MemberState.DEAD

    @property
    def is_urgent(self) -> bool:
        """Let suspicions and refutations go first: a refutation that waits costs a live instance.

        A refutation is an ALIVE record, so all records of members are urgent.
        """
        return True

    def describe(self) -> str:
        """Return what replicas must agree on.

        Suspicion is left out: it is short-lived, and digests that differed for each suspicion
        would set off an exchange at every probe.
        """
        roles = ",".join(self.roles)
        return f"{self.key}|{self.failure_domain}|{self.peer_address}|{roles}|{self.incarnation}"

    def count_bytes(self) -> int:
        """Return an upper bound of the encoded bytes."""
        texts = (self.instance_id, self.failure_domain, self.peer_address, *self.roles)
        return FIXED_BYTES + sum(len(text.encode()) + FIELD_OVERHEAD_BYTES for text in texts)
