"""Typed messages between entry instances and a service's assessor.

All times are durations in seconds, never clock readings: monotonic clocks of two instances have
nothing in common. Every collection is bounded by the constants here, so that a digest and an
ejection set keep a known size on the wire, whatever fails.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName

MAX_SERVERS_IN_DIGEST: Final = 64
"""Servers in one digest, abnormal ones first; the rest keep their counts for the next one."""
MAX_STRIKES_IN_DIGEST: Final = 16
MAX_QUARANTINES_IN_SET: Final = 64


@dataclass(frozen=True)
class ServerEvidence:
    """What one entry instance saw of one server's real work since its last digest of it."""

    server_id: ServerId
    answered: int
    """Attempts that ended and say something of the server, well or badly."""
    failed: int
    """Those of them that failed: answers of class 5xx, timeouts, broken connections, refusals."""
    timed: int
    """Attempts whose latency was compared with that of the service's other servers."""
    slow: int
    """Those of them beyond the service's usual latency, ones still in flight included."""


class StrikeKind(Enum):
    """What is told of a request's fingerprint."""

    CRASH = "crash"
    """It was in flight on a server whose connections all broke at once."""
    SUCCESS = "success"
    """It was answered well since its first strike: it isn't what broke the server."""


@dataclass(frozen=True)
class Strike:
    """One observation on a request that may crash the servers which run it."""

    fingerprint: str
    server_id: ServerId
    kind: StrikeKind


@dataclass(frozen=True)
class EvidenceDigest:
    """Changed or abnormal evidence of one entry instance on one service.

    `sequence` rises by one with each digest of an instance; an assessor takes each only once, so
    a digest that is sent again or arrives late counts for nothing.
    """

    service: ServiceName
    instance_id: InstanceId
    incarnation: int
    """Rises with each start of the instance."""
    sequence: int
    failure_domain: FailureDomain
    """The domain of the instance that looks."""
    servers: tuple[ServerEvidence, ...]
    strikes: tuple[Strike, ...]


class EjectionState(Enum):
    """How far a server is out."""

    EJECTED = "ejected"
    """Takes no work."""
    PROBATION = "probation"
    """Takes a little live idempotent work, whose outcome decides on its return."""


@dataclass(frozen=True)
class Ejection:
    """One server that instances of one failure domain should keep work from, and why."""

    server_id: ServerId
    seen_from: FailureDomain
    state: EjectionState
    reason: str
    """For operators, with the figures the verdict rests on."""
    strength: float
    """The evidence against it; the floor keeps the weakest in place first."""


@dataclass(frozen=True)
class QuarantinedRequest:
    """A fingerprint to refuse at once, for so many seconds more, with the servers it broke."""

    fingerprint: str
    seconds_left: float
    servers: tuple[ServerId, ...]


@dataclass(frozen=True)
class EjectionSet:
    """An assessor's whole verdict on one service; each set replaces the one before it.

    It is a lease: without a newer set it lapses `lease_seconds` after the entry instance *sent
    the digest that it answers*, or asked for it, so that time on the way never lengthens it. Sets
    of one assessor are ordered by (epoch, sequence); `epoch` is the assessor's incarnation.
    """

    service: ServiceName
    assessor_id: InstanceId
    epoch: int
    sequence: int
    lease_seconds: float
    ejections: tuple[Ejection, ...]
    quarantines: tuple[QuarantinedRequest, ...]
    watched: tuple[str, ...]
    """Fingerprints with strikes; an instance that sees one answered well says so."""
    note: str
    """Why fewer servers are out than look ill, such as a common cause; empty otherwise."""

    @property
    def freshness(self) -> tuple[int, int]:
        """Return what orders two sets of the same assessor."""
        return (self.epoch, self.sequence)

    def tells_other_than(self, before: "EjectionSet") -> bool:
        """Tell whether instances need this set at once, and not only with the next renewal."""
        return self._list_verdicts() != before._list_verdicts()

    def _list_verdicts(self) -> tuple[object, ...]:
        servers = {(item.server_id, item.seen_from, item.state) for item in self.ejections}
        requests = {item.fingerprint for item in self.quarantines}
        return (servers, requests, set(self.watched))
