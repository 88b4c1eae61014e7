"""Typed messages of the data plane: a request, where it goes, and how that ended."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.server import BackendServer
from persimmonusher_model.identifiers import CallerId, RequestId


@dataclass(frozen=True)
class Request:
    """A caller's request, as far as decisions need it. Times are monotonic seconds."""

    request_id: RequestId
    caller: CallerId
    request_class: str
    idempotent: bool
    arrived: float
    deadline: float
    fingerprint: str
    """Equal for requests that are the same work: method, path, key and body hash."""
    max_attempts: int | None = None
    """Servers that it may be sent to in all, where its route says so; else the profile does."""
    priority: int = 0
    """Rank within its service; 0 is the most urgent."""


class OutcomeKind(Enum):
    """How one attempt on one backend server ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    """An answer of class 5xx: the server failed real work."""
    TIMEOUT = "timeout"
    WITHHELD = "withheld"
    """Not sent: the server asked for rest, or said that it leaves, after it was chosen."""
    UNREACHED = "unreached"
    """No byte of the request left: no connection, or one that broke before."""
    REFUSED = "refused"
    """The server says, or the transport proves, that the request was not run."""
    DRAINING = "draining"
    """Refused because the server is leaving."""
    BROKEN = "broken"
    """The connection broke after a byte may have left: the outcome is unknown."""
    CANCELLED = "cancelled"
    """The caller left, or another copy won; says nothing of the server."""


@dataclass(frozen=True)
class Outcome:
    """The end of one attempt: its kind, latency in seconds, and the load the server reported."""

    kind: OutcomeKind
    latency: float
    reported_load: int | None = None
    """Requests in progress and queued at the server, all callers; a hint that may mislead."""
    answer_bytes: int | None = None
    """Size of the answer's body, None where it wasn't read to its end."""


@dataclass(frozen=True)
class Dispatch:
    """Send the request to this server now. The attempt number starts at 1."""

    request: Request
    server: BackendServer
    attempt: int
    started: float
    unreached: int = 0
    """Earlier attempts of which no byte left; they cost neither the budget nor the servers."""
    asked: Asked = Asked.NOTHING
    """What the server has asked for by then."""


@dataclass(frozen=True)
class Wait:
    """Hold the request in the queue; `finish` or `advance` releases it later."""

    request: Request


class RefusalReason(Enum):
    """Why a request is given up on. In every case but one it was certainly not run."""

    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE = "deadline"
    """The time left is too short for the service to answer."""
    NO_SERVER = "no-server"
    SERVERS_CLOSED = "servers-closed"
    """Every server that could be used is closed to this instance for longer than can be waited."""
    QUARANTINED = "quarantined"
    OVERLOAD = "overload"
    RETRIES_EXHAUSTED = "retries-exhausted"
    """An idempotent request ran, and failed, on each server tried: not marked as not run."""
    RETRY_BUDGET = "retry-budget"
    """The same, where another server could have been tried but for the budget."""


AFTER_ATTEMPTS: Final = frozenset({RefusalReason.RETRIES_EXHAUSTED, RefusalReason.RETRY_BUDGET})
"""Reasons given only after an attempt."""


@dataclass(frozen=True)
class Refusal:
    """Answer the request at once; the caller may come back after `retry_after` seconds."""

    request: Request
    reason: RefusalReason
    retry_after: float


Decision: TypeAlias = Dispatch | Wait | Refusal
