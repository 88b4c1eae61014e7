"""The routing document: routes, services, organisations and limits, replaced as a whole.

An operator's system may manage routes itself and submit all of them as one document with a version
of its own. The highest version is in force. A document's settings for a request (idempotent,
timeout, attempts) override the service's profile, which says how the service's servers are treated.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.organisations import Organisation, check_organisations

MAX_TIMEOUT_MS: Final = 600_000
"""Ten minutes, as for a profile's deadline; it bounds the duration of a graceful stop."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share a route's requests, by weight."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """The rules of one route for its requests. Times are milliseconds."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    priority: int
    """0 is the most urgent."""
    target_ms: int
    """Target latency: an answer within this time is worth most to the caller."""
    timeout_ms: int
    """The caller gets its final answer by then, whatever the servers do."""
    attempts: int
    """Total servers that one request may be sent to."""
    services: tuple[WeightedService, ...]
    public: bool = False
    """Whether requests need no API key although the document has organisations."""
    large_body: bool = False
    """Whether requests have bodies too large to be held whole at an instance."""


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """One service of the document."""

    name: ServiceName
    health_path: str
    connection_limit: int
    """Connections that each of its servers accepts from all callers together."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time for sending it."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclass(frozen=True)
class RoutingDocument:
    """A complete document, with the operator's version number."""

    version: int
    limits: CallerLimits
    rules: tuple[RouteRule, ...]
    services: tuple[ServiceEntry, ...]
    organisations: tuple[Organisation, ...] | None = None
    """None where requests carry no API keys."""

    @property
    def has_large_bodies(self) -> bool:
        """Return whether a route takes requests with large bodies."""
        return any(rule.large_body for rule in self.rules)


class DocumentCodec(ABC):
    """Parses the operator's document format; the fleet stores and returns the original bytes."""

    @abstractmethod
    def parse(self, content: bytes) -> RoutingDocument:
        """Parse and check a document; raise UsherError with all findings if it is invalid."""


def check_document(document: RoutingDocument) -> list[Finding]:
    """Return a finding for each problem that makes a document invalid."""
    findings: list[Finding] = []
    known = {service.name for service in document.services}
    taken: set[tuple[str, str]] = set()
    for number, rule in enumerate(document.rules):
        findings.extend(_check_rule(f"rules.{number}", rule, known))
        place = (rule.host, rule.prefix)
        if place in taken:
            message = f"two routes share host {rule.host!r} and prefix {rule.prefix!r}"
            findings.append(Finding(ErrorCode.BAD_VALUE, f"rules.{number}.prefix", message))
        taken.add(place)
    findings.extend(check_organisations(document.organisations or ()))
    return findings


def _check_rule(path: str, rule: RouteRule, known: set[ServiceName]) -> Iterator[Finding]:
    if not rule.prefix.startswith("/"):
        message = f"{rule.prefix!r} must begin with a slash"
        yield Finding(ErrorCode.BAD_VALUE, f"{path}.prefix", message)
    if not 0 < rule.timeout_ms <= MAX_TIMEOUT_MS:
        message = f"{rule.timeout_ms} ms is not within 1 and {MAX_TIMEOUT_MS} ms"
        yield Finding(ErrorCode.BAD_VALUE, f"{path}.timeout_ms", message)
    if not rule.services or sum(part.weight for part in rule.services) <= 0:
        message = "a route needs a service with a weight above 0"
        yield Finding(ErrorCode.BAD_VALUE, f"{path}.services", message)
    for part in rule.services:
        if part.service not in known:
            message = f"there is no service named {part.service!r}"
            yield Finding(ErrorCode.NOT_FOUND, f"{path}.services", message)
