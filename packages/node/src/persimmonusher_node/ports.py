"""Ports: the interfaces that the data plane needs from the rest of the node.

Adapters in this package implement them over the network, `memory` implements them in one process. A
method that may wait says so: it blocks its green thread, never the loop.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from persimmonusher_decisions.server import BackendServer
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    Revision,
    ServiceName,
)
from persimmonusher_model.organisations import Organisation, OrganisationBook
from persimmonusher_model.profile import Profile
from persimmonusher_model.routing import RouteRule


@dataclass(frozen=True)
class Freshness:
    """Upper bounds on how stale the configuration is, here and at the keeper. Ages in seconds."""

    age: float
    """Every change that was acknowledged longer ago than this is in force here."""
    keeper: str
    """Address of the keeper that answered last; empty before the first answer."""
    keeper_age: float
    """The same bound at that keeper, as it reported it."""
    is_late: bool
    """Whether the age is a large part of the time within which a change must be in force."""


class ConfigurationView(ABC):
    """The committed configuration as this instance has applied it."""

    @abstractmethod
    def revision(self) -> Revision:
        """Return the revision in force here; it only ever rises."""

    def is_configured(self) -> bool:
        """Return whether there is a configuration to answer callers with."""
        return self.revision() > 0

    def is_current(self) -> bool:
        """Return False if a later revision may have been in force elsewhere for too long."""
        return True

    def find_freshness(self) -> Freshness | None:
        """Return how stale the configuration may be; None where that isn't known."""
        return None

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        """Return the routing document's longest route that matches, or None."""
        return None

    @property
    def organisations(self) -> OrganisationBook | None:
        """Return the organisations in force; None where requests carry no API keys."""
        return None

    @abstractmethod
    def find_service(self, host: str, path: str) -> ServiceName | None:
        """Return the service of the longest route that matches, or None."""

    @abstractmethod
    def find_profile(self, service: ServiceName) -> Profile | None:
        """Return the profile that the service runs under, or None for an unknown service."""


class ServerDirectory(ABC):
    """The backend servers that announced themselves, as this instance knows them."""

    @abstractmethod
    def announce(self, server: BackendServer) -> bool:
        """Record an announcement; return False if a newer one is known already."""

    def relays_announcements(self) -> bool:
        """Return whether announcements made here reach other instances.

        While it returns False, answer an announcement with 503, so that the server announces itself
        again at once through another entry; this instance still uses the announcement.
        """
        return True

    @abstractmethod
    def list_servers(self, service: ServiceName) -> Sequence[BackendServer]:
        """List the service's servers that are not stopped and not lost."""

    @abstractmethod
    def version(self, service: ServiceName) -> int:
        """Return a number that changes whenever the result of `list_servers` does."""


@dataclass(frozen=True)
class Instance:
    """Another instance of the system, as membership knows it."""

    instance_id: InstanceId
    failure_domain: FailureDomain
    peer_address: str
    """Where its peer interface listens, as `ip:port`."""
    roles: tuple[str, ...]


class Membership(ABC):
    """The live instances of the system."""

    @abstractmethod
    def list_live(self) -> Sequence[Instance]:
        """List the instances believed alive, this one included."""

    def count_entries(self) -> int:
        """Return the number of live instances that take callers' requests."""
        return sum("entry" in instance.roles for instance in self.list_live())

    def is_entry_count_reliable(self) -> bool:
        """Return whether `count_entries` is recent and not a first, incomplete count."""
        return True


@dataclass(frozen=True)
class ClaimKey:
    """An Idempotency-Key with the caller and service that it belongs to."""

    service: ServiceName
    caller: CallerId
    key: str


@dataclass(frozen=True)
class StoredAnswer:
    """The whole answer of a finished request, kept for a resend."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimStatus(Enum):
    """The result of a claim on an Idempotency-Key."""

    GRANTED = "granted"
    """This instance may dispatch the request, once."""
    FINISHED = "finished"
    """The request ran; its answer is in the result."""
    RUNNING = "running"
    """Another instance, or an earlier call, holds the claim."""
    UNKNOWN = "unknown"
    """The claim's holder did not learn the outcome, or was lost."""
    MISMATCH = "mismatch"
    """The key was used before with a different request."""
    NO_QUORUM = "no-quorum"
    """Too few registers answered, and the request was not run by this call."""


@dataclass(frozen=True)
class ClaimResult:
    """The status of a claim, with the stored answer when it is FINISHED."""

    status: ClaimStatus
    answer: StoredAnswer | None = None


class KeyClaims(ABC):
    """Claims on Idempotency-Keys over the entry instances."""

    @abstractmethod
    def claim(
        self, key: ClaimKey, fingerprint: str, window_seconds: float, pending_seconds: float
    ) -> ClaimResult:
        """Claim the key for one dispatch; waits for a majority of the key's registers.

        The outcome is kept for `window_seconds`. The outcome of a request that isn't settled after
        `pending_seconds` counts as unknown.
        """

    @abstractmethod
    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Store the answer of a request that ran; it may still be on its way on return."""

    @abstractmethod
    def release(self, key: ClaimKey) -> None:
        """Release the key of a request that was certainly not run; like `finish`, needn't wait."""

    @abstractmethod
    def record_unknown(self, key: ClaimKey) -> None:
        """Record that the outcome is unknown; a resend is answered so and is never run."""


class QuotaVerdict(Enum):
    """Whether a request is within its organisation's quota."""

    GRANTED = "granted"
    EXCEEDED = "exceeded"
    UNKNOWN = "unknown"
    """No instance that counts the organisation's requests could be reached."""


class Quotas(ABC):
    """The organisations' quotas; each bounds the requests of all instances together."""

    @abstractmethod
    def acquire(self, organisation: Organisation) -> QuotaVerdict:
        """Count one request against its organisation's quota; may wait."""

    @abstractmethod
    def release(self, organisation: Organisation) -> None:
        """Uncount a request that was granted but not run."""


class UnlimitedQuotas(Quotas):
    """No quotas, for an instance whose configuration has none."""

    def acquire(self, organisation: Organisation) -> QuotaVerdict:
        """Grant every request."""
        return QuotaVerdict.GRANTED

    def release(self, organisation: Organisation) -> None:
        """Do nothing: nothing is counted."""
