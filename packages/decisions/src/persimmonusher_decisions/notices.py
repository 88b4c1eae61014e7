"""Notices that entry instances send each other at once, without waiting for the assessor."""

from dataclasses import dataclass
from enum import Enum

from persimmonusher_model.identifiers import RequestId, ServerId, ServiceName


class NoticeKind(Enum):
    """The event at a server that a notice reports."""

    FAILED = "failed"
    """A request timed out, or failed much sooner than answers usually take; also any failure while
    that time isn't known yet."""
    FAILED_LATE = "failed-late"
    """A request failed after a time in which it may have been processed."""
    UNREACHED = "unreached"
    """The reporting instance could not connect to the server."""
    RECOVERED = "recovered"
    """A request that was sent to the server while it was suspected was answered successfully."""
    LIMITED = "limited"
    """The server changed or removed its rate limit."""
    CRASHED = "crashed"
    """A connection broke while the request with the notice's fingerprint was in flight on it."""


@dataclass(frozen=True, slots=True)
class Notice:
    """One event at a server that one instance saw. A lost notice only delays others' reactions."""

    kind: NoticeKind
    service: ServiceName
    server_id: ServerId
    boot_id: int
    fingerprint: str = ""
    request_id: RequestId = RequestId("")
    """The request that showed the event, so that a notice that arrives twice counts once."""
    seconds: float = 0.0
    """How long ago the request was sent that showed the event. For RECOVERED and LIMITED, what was
    learned after that time isn't undone by the notice."""
    rate_limit: float | None = None
    """For LIMITED: requests per second from all instances together, None if the limit ended."""
