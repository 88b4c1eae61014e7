"""Typed messages of the data plane: requests, decisions on them, and outcomes of attempts."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

from persimmonusher_decisions.advice import Asked
from persimmonusher_decisions.server import BackendServer
from persimmonusher_model.identifiers import CallerId, RequestId


@dataclass(frozen=True)
class Request:
    """The parts of a caller's request that decisions need. Times are monotonic seconds."""

    request_id: RequestId
    caller: CallerId
    request_class: str
    idempotent: bool
    arrived: float
    deadline: float
    fingerprint: str
    """Equal for requests with the same method, path, key and body hash: the same work."""
    max_attempts: int | None = None
    """Total servers that it may be sent to, if its route limits them; else the profile applies."""
    priority: int = 0
    """Rank within its service; 0 is the most urgent."""
    method: str = ""
    body_bytes: int = 0
    """Size of the body, as far as it is known when the request is placed."""


class OutcomeKind(Enum):
    """How one attempt on one backend server ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    """An answer of class 5xx: the server failed to process the request."""
    TIMEOUT = "timeout"
    WITHHELD = "withheld"
    """Not sent: after it was chosen, the server asked for rest or said that it leaves."""
    UNREACHED = "unreached"
    """No byte of the request was sent: no connection, or one that broke before that."""
    CUT_OFF = "cut-off"
    """The same, and it isn't known whether the server or this instance's way to it is down."""
    REFUSED = "refused"
    """The server says, or the transport proves, that the request was not run."""
    DRAINING = "draining"
    """Refused because the server is leaving."""
    BROKEN = "broken"
    """The connection broke after a byte may have been sent: the outcome is unknown."""
    CANCELLED = "cancelled"
    """The caller disconnected, or another copy won; no evidence for or against the server."""


@dataclass(frozen=True)
class Outcome:
    """The end of one attempt: its kind, latency in seconds, and the load the server reported."""

    kind: OutcomeKind
    latency: float
    reported_load: int | None = None
    """Requests in progress and queued at the server, from all callers; may be stale or wrong."""
    answer_bytes: int | None = None
    """Size of the answer's body; None if the body wasn't read to its end."""
    is_way_lost: bool = False
    """Whether the way to the server was cut meanwhile, so that a failure tells nothing about it."""


@dataclass(frozen=True)
class Dispatch:
    """Send the request to this server now. The attempt number starts at 1."""

    request: Request
    server: BackendServer
    attempt: int
    started: float
    unreached: int = 0
    """Earlier attempts of which no byte was sent; they use neither the retry budget nor the
    allowed attempts."""
    asked: Asked = Asked.NOTHING
    """What the server had asked for when it was chosen."""


@dataclass(frozen=True)
class Wait:
    """Hold the request until `finish` or `advance` returns another decision on it."""

    request: Request


class RefusalReason(Enum):
    """Why a request is refused.

    It was certainly not run, except with RETRIES_EXHAUSTED and RETRY_BUDGET, where it may have been
    run and have failed.
    """

    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE = "deadline"
    """The time left is too short for the service to answer."""
    NO_SERVER = "no-server"
    SERVERS_CLOSED = "servers-closed"
    """Every open server is closed to this instance, by limits or rests, for longer than the request
    can wait."""
    QUARANTINED = "quarantined"
    OVERLOAD = "overload"
    LESS_URGENT = "less-urgent"
    """Capacity is short; more urgent requests and organisations at their usual rate go first."""
    RETRIES_EXHAUSTED = "retries-exhausted"
    """An idempotent request failed on each server tried: not marked as not run."""
    RETRY_BUDGET = "retry-budget"
    """The same, but another server would have been tried if the retry budget had allowed it."""


AFTER_ATTEMPTS: Final = frozenset({RefusalReason.RETRIES_EXHAUSTED, RefusalReason.RETRY_BUDGET})
"""Reasons that are given only after at least one attempt."""


@dataclass(frozen=True)
class Refusal:
    """Refuse the request at once; the caller may try again after `retry_after` seconds."""

    request: Request
    reason: RefusalReason
    retry_after: float


Decision: TypeAlias = Dispatch | Wait | Refusal
