"""What places work in a simulation: the project's decisions, and the baselines beside them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import (
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    RefusalReason,
    Request,
)
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_model.profile import Profile

FAILURES_IN_A_ROW: Final = 5
EJECTION_SECONDS: Final = 30.0
BASELINE_RETRIES: Final = 2
SERVICE: Final = ServiceName("entries")


class Policy(ABC):
    """One entry instance's decisions, as the simulation calls them."""

    @abstractmethod
    def replace_servers(self, servers: list[BackendServer], now: float) -> None:
        """Take the servers."""

    @abstractmethod
    def offer(self, request: Request, now: float) -> Decision:
        """Decide on a new request."""

    @abstractmethod
    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt."""

    @abstractmethod
    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt."""

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Let time pass."""
        return ()

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return evidence for the assessor."""
        return None

    def apply(self, ejections: EjectionSet, asked: float) -> tuple[Dispatch, ...]:
        """Take the assessor's verdict; return second copies of work that it puts in doubt."""
        return ()

    def list_out(self) -> set[ServerId]:
        """List the ready servers that take no work."""
        return set()


class Usher(Policy):
    """The project's own decisions."""

    def __init__(
        self,
        profile: Profile,
        domain: FailureDomain,
        random: Random,
        instance_id: InstanceId,
        live: int,
    ) -> None:
        self._traffic = ServiceTraffic(profile, domain, random, SERVICE, instance_id, 1)
        self._traffic.replace_entry_count(live)

    def replace_servers(self, servers: list[BackendServer], now: float) -> None:
        """Take the servers."""
        self._traffic.replace_servers(servers, now)

    def offer(self, request: Request, now: float) -> Decision:
        """Decide on a new request."""
        return self._traffic.offer(request, now)

    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt."""
        return self._traffic.retry(dispatch, outcome, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt."""
        return self._traffic.finish(dispatch, outcome, now)

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Let time pass."""
        return self._traffic.advance(now)

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return evidence for the assessor."""
        return self._traffic.digest(now)

    def apply(self, ejections: EjectionSet, asked: float) -> tuple[Dispatch, ...]:
        """Take the assessor's verdict."""
        self._traffic.apply_ejections(ejections, asked)
        return ()

    def list_out(self) -> set[ServerId]:
        """List the ready servers that take no work."""
        statuses = self._traffic.describe(0.0)
        return {status.server.server_id for status in statuses if not status.taking_work}


class Baseline(Policy):
    """Retries idempotent work twice elsewhere, and never queues or refuses by itself."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: list[BackendServer] = []
        self._outstanding: dict[ServerId, int] = {}

    def replace_servers(self, servers: list[BackendServer], now: float) -> None:
        """Take the servers that are ready."""
        self._servers = [server for server in servers if server.state is ServerState.READY]
        self._random.shuffle(self._servers)

    def offer(self, request: Request, now: float) -> Decision:
        """Place the request at once."""
        return self._place(request, 1, None, now)

    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Place the request again, up to BASELINE_RETRIES times."""
        if dispatch.attempt > BASELINE_RETRIES:
            return Refusal(dispatch.request, RefusalReason.RETRIES_EXHAUSTED, 1.0)
        return self._place(dispatch.request, dispatch.attempt + 1, dispatch.server.server_id, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt."""
        self._outstanding[dispatch.server.server_id] -= 1
        return ()

    @abstractmethod
    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Choose among servers that may take the request."""

    def _place(
        self, request: Request, attempt: int, tried: ServerId | None, now: float
    ) -> Dispatch:
        fresh = [server for server in self._servers if server.server_id != tried]
        chosen = self.choose(fresh or self._servers, now)
        self._outstanding[chosen.server_id] = self._outstanding.get(chosen.server_id, 0) + 1
        return Dispatch(request, chosen, attempt, now)


class RoundRobin(Baseline):
    """Each server in turn."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._next = 0

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the next server."""
        self._next += 1
        return servers[self._next % len(servers)]


class LeastOutstanding(Baseline):
    """The server with the least of this instance's own requests."""

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the server with the fewest, ties at random."""
        start = int(self._random.random() * len(servers))
        outstanding = self._outstanding
        return min(
            servers[start:] + servers[:start],
            key=lambda server: outstanding.get(server.server_id, 0),
        )


class ConsecutiveFailures(LeastOutstanding):
    """Least outstanding, without servers that failed a fixed count of times in a row."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._in_a_row: dict[ServerId, int] = {}
        self._out_until: dict[ServerId, float] = {}
        self._now = 0.0

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the least loaded server that isn't ejected."""
        self._now = now
        place = [item for item in servers if self._out_until.get(item.server_id, 0.0) <= now]
        return super().choose(place or servers, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Count failures in a row."""
        server_id = dispatch.server.server_id
        if outcome.kind is OutcomeKind.SUCCESS:
            self._in_a_row[server_id] = 0
        elif outcome.kind is not OutcomeKind.CANCELLED:
            count = self._in_a_row.get(server_id, 0) + 1
            self._in_a_row[server_id] = count
            if count >= FAILURES_IN_A_ROW:
                self._in_a_row[server_id] = 0
                self._out_until[server_id] = now + EJECTION_SECONDS
        return super().finish(dispatch, outcome, now)

    def list_out(self) -> set[ServerId]:
        """List the ejected servers."""
        return {name for name, until in self._out_until.items() if until > self._now}


BASELINES: Final[dict[str, Callable[[Random], Baseline]]] = {
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "5 failures in a row": ConsecutiveFailures,
}
