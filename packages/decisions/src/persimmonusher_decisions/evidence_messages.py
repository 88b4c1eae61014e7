"""Typed messages between entry instances and a service's assessor.

All times are durations in seconds, never clock readings: monotonic clocks of different instances
can't be compared. The constants here bound collections, so that messages have a limited size on the
wire, whatever fails.
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
    """One entry instance's counts for one server since its last line on it."""

    server_id: ServerId
    answered: int
    """Attempts that count for or against the server, successful or failed; ones that are stuck in
    flight included."""
    failed: int
    """Those of them that failed: answers of class 5xx, timeouts, broken or failed connections,
    refusals without a reported load, and stuck attempts."""
    timed: int
    """Attempts whose latency was compared with the usual one of their class."""
    slow: int
    """Those of them beyond the usual latency, ones still in flight and refusals with a reported
    load included."""


class StrikeKind(Enum):
    """What a strike reports of a request's fingerprint."""

    CRASH = "crash"
    """Its connection broke while it was in flight, and shortly after no other request in flight
    there was answered."""
    SUCCESS = "success"
    """The request was answered successfully after its first strike: it didn't break the server."""


@dataclass(frozen=True)
class Strike:
    """One observation of a request that may crash the servers that run it."""

    fingerprint: str
    server_id: ServerId
    kind: StrikeKind


@dataclass(frozen=True)
class EvidenceDigest:
    """Unsent evidence of one entry instance on one service.

    `sequence` rises by one with each digest of an instance. An assessor accepts only rising ones,
    so a digest that is sent again or is overtaken by a newer one is ignored.
    """

    service: ServiceName
    instance_id: InstanceId
    incarnation: int
    """Rises with each start of the instance."""
    sequence: int
    failure_domain: FailureDomain
    """The domain of the observing instance."""
    servers: tuple[ServerEvidence, ...]
    strikes: tuple[Strike, ...]


class EjectionState(Enum):
    """Whether a server is fully ejected or on probation."""

    EJECTED = "ejected"
    """Gets no requests."""
    PROBATION = "probation"
    """Gets a few live idempotent requests, whose outcomes decide on its return."""


@dataclass(frozen=True)
class Ejection:
    """A server that instances of one failure domain should avoid, and the reason."""

    server_id: ServerId
    seen_from: FailureDomain
    state: EjectionState
    reason: str
    """For operators, with the figures behind the verdict."""
    strength: float
    """Strength of the evidence; the floor keeps servers with the weakest evidence in place."""


@dataclass(frozen=True)
class QuarantinedRequest:
    """A fingerprint to refuse for `seconds_left` more, with the servers that it broke."""

    fingerprint: str
    seconds_left: float
    servers: tuple[ServerId, ...]


@dataclass(frozen=True)
class EjectionSet:
    """An assessor's complete verdict on one service; each set replaces the one before it.

    It is a lease: without a newer set it lapses `lease_seconds` after the entry instance *sent*
    the digest, or the request, that it answers, so that network delay never extends it. Sets of one
    assessor are ordered by (epoch, sequence); `epoch` is the assessor's incarnation.
    """

    service: ServiceName
    assessor_id: InstanceId
    epoch: int
    sequence: int
    lease_seconds: float
    ejections: tuple[Ejection, ...]
    quarantines: tuple[QuarantinedRequest, ...]
    watched: tuple[str, ...]
    """Fingerprints with strikes; an instance that sees one answered successfully reports it."""
    note: str
    """Why fewer servers are ejected than look faulty, such as a common cause; else empty."""

    @property
    def freshness(self) -> tuple[int, int]:
        """Return the key that orders sets of the same assessor, newest last."""
        return (self.epoch, self.sequence)

    def differs_from(self, before: "EjectionSet") -> bool:
        """Return whether the verdicts differ, so that instances need this set before a renewal."""
        return self._list_verdicts() != before._list_verdicts()

    def _list_verdicts(self) -> tuple[object, ...]:
        servers = {(item.server_id, item.seen_from, item.state) for item in self.ejections}
        requests = {item.fingerprint for item in self.quarantines}
        return (servers, requests, set(self.watched))
