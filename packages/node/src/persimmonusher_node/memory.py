"""The ports implemented in one process, for tests and for an instance that runs alone."""

from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.identifiers import Revision, ServerId, ServiceName
from persimmonusher_model.profile import Profile
from persimmonusher_node.ports import (
    ClaimKey,
    ClaimResult,
    ClaimStatus,
    ConfigurationView,
    Instance,
    KeyClaims,
    Membership,
    ServerDirectory,
    StoredAnswer,
)

_UNLISTED_STATES: Final = frozenset({ServerState.STOPPED})
MAX_CLAIMS: Final = 10_000


class MemoryConfiguration(ConfigurationView):
    """Routes by `host` or `host/path`, and one profile for each service."""

    def __init__(
        self, routes: Mapping[str, ServiceName], profiles: Mapping[ServiceName, Profile]
    ) -> None:
        self.routes = dict(routes)
        self.profiles = dict(profiles)
        self.number = Revision(1)

    def revision(self) -> Revision:
        """Return the number, which a test may set."""
        return self.number

    def find_service(self, host: str, path: str) -> ServiceName | None:
        """Return the service of the longest matching route."""
        target = f"{host}{path}"
        matching = [route for route in self.routes if target.startswith(route)]
        return self.routes[max(matching, key=len)] if matching else None

    def find_profile(self, service: ServiceName) -> Profile | None:
        """Return the service's profile."""
        return self.profiles.get(service)


class MemoryDirectory(ServerDirectory):
    """The servers announced to this instance; none ever counts as lost."""

    def __init__(self) -> None:
        self._servers: dict[ServerId, BackendServer] = {}
        self._versions: Counter[ServiceName] = Counter()

    def announce(self, server: BackendServer) -> bool:
        """Record the announcement if it is newer than the known one; return whether it is."""
        known = self._servers.get(server.server_id)
        if known is not None and known.freshness >= server.freshness:
            return False
        self._servers[server.server_id] = server
        self._versions[server.service] += 1
        return True

    def list_servers(self, service: ServiceName) -> Sequence[BackendServer]:
        """List the service's servers except stopped ones."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and server.state not in _UNLISTED_STATES
        ]

    def version(self, service: ServiceName) -> int:
        """Return the number of announcements recorded for the service."""
        return self._versions[service]


class MemoryMembership(Membership):
    """A fixed list of live instances."""

    def __init__(self, instances: Sequence[Instance]) -> None:
        self.instances = list(instances)

    def list_live(self) -> Sequence[Instance]:
        """List the fixed instances."""
        return self.instances


class MemoryClaims(KeyClaims):
    """Claims of one process, correct only while there is a single entry."""

    def __init__(self) -> None:
        self._claims: OrderedDict[ClaimKey, tuple[str, ClaimResult]] = OrderedDict()

    def claim(
        self, key: ClaimKey, fingerprint: str, window_seconds: float, pending_seconds: float
    ) -> ClaimResult:
        """Grant the key if it is not claimed; beyond `MAX_CLAIMS`, forget the oldest claim."""
        existing = self._claims.get(key)
        if existing is None:
            self._claims[key] = (fingerprint, ClaimResult(ClaimStatus.RUNNING))
            if len(self._claims) > MAX_CLAIMS:
                self._claims.popitem(last=False)
            return ClaimResult(ClaimStatus.GRANTED)
        return existing[1] if existing[0] == fingerprint else ClaimResult(ClaimStatus.MISMATCH)

    def finish(self, key: ClaimKey, answer: StoredAnswer) -> None:
        """Store the answer."""
        self._settle(key, ClaimResult(ClaimStatus.FINISHED, answer))

    def release(self, key: ClaimKey) -> None:
        """Forget the claim."""
        self._claims.pop(key, None)

    def give_up(self, key: ClaimKey) -> None:
        """Record that the outcome is unknown."""
        self._settle(key, ClaimResult(ClaimStatus.UNKNOWN))

    def _settle(self, key: ClaimKey, result: ClaimResult) -> None:
        existing = self._claims.get(key)
        if existing is not None:
            self._claims[key] = (existing[0], result)
