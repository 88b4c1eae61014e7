"""The placement policies of a simulation: the project's own, and baselines for comparison."""

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
        """Replace the known servers."""

    @abstractmethod
    def offer(self, request: Request, now: float) -> Decision:
        """Decide on a new request."""

    @abstractmethod
    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt."""

    @abstractmethod
    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt and return decisions on queued requests."""

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Advance to the given time and return the decisions on queued requests."""
        return ()

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return the evidence to send to the assessor, or None."""
        return None

    def apply(self, ejections: EjectionSet, asked: float) -> tuple[Dispatch, ...]:
        """Apply the assessor's ejections, requested at `asked`; return hedged copies to send."""
        return ()

    def list_excluded(self) -> set[ServerId]:
        """List the known servers that get no work."""
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
        """Replace the known servers."""
        self._traffic.replace_servers(servers, now)

    def offer(self, request: Request, now: float) -> Decision:
        """Decide on a new request."""
        return self._traffic.offer(request, now)

    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt."""
        return self._traffic.retry(dispatch, outcome, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt and return decisions on queued requests."""
        return self._traffic.finish(dispatch, outcome, now)

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Advance to the given time and return the decisions on queued requests."""
        return self._traffic.advance(now)

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return the evidence to send to the assessor, or None."""
        return self._traffic.digest(now)

    def apply(self, ejections: EjectionSet, asked: float) -> tuple[Dispatch, ...]:
        """Apply the assessor's ejections, requested at `asked`."""
        self._traffic.apply_ejections(ejections, asked)
        return ()

    def list_excluded(self) -> set[ServerId]:
        """List the known servers that get no work."""
        statuses = self._traffic.describe(0.0)
        return {status.server.server_id for status in statuses if not status.taking_work}


class Baseline(Policy):
    """Retries work up to twice, elsewhere if it can; never queues, refuses only after the retries.

    The simulation asks for a retry only of idempotent or refused work.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: list[BackendServer] = []
        self._outstanding: dict[ServerId, int] = {}

    def replace_servers(self, servers: list[BackendServer], now: float) -> None:
        """Replace the known servers by the ready ones of these, in random order."""
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
        """Choose one of the servers for a request."""

    def _place(
        self, request: Request, attempt: int, tried: ServerId | None, now: float
    ) -> Dispatch:
        others = [server for server in self._servers if server.server_id != tried]
        chosen = self.choose(others or self._servers, now)
        self._outstanding[chosen.server_id] = self._outstanding.get(chosen.server_id, 0) + 1
        return Dispatch(request, chosen, attempt, now)


class RoundRobin(Baseline):
    """Chooses each server in turn."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._next = 0

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the next server."""
        self._next += 1
        return servers[self._next % len(servers)]


class LeastOutstanding(Baseline):
    """Chooses the server with the fewest outstanding requests of this instance."""

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the server with the fewest outstanding requests; ties are broken at random."""
        start = int(self._random.random() * len(servers))
        outstanding = self._outstanding
        return min(
            servers[start:] + servers[:start],
            key=lambda server: outstanding.get(server.server_id, 0),
        )


class ConsecutiveFailures(LeastOutstanding):
    """Least outstanding, without servers ejected for `FAILURES_IN_A_ROW` consecutive failures.

    An ejection lasts `EJECTION_SECONDS`.
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._consecutive_failures: dict[ServerId, int] = {}
        self._ejected_until: dict[ServerId, float] = {}
        self._now = 0.0

    def choose(self, servers: list[BackendServer], now: float) -> BackendServer:
        """Return the least loaded server that isn't ejected."""
        self._now = now
        available = [
            item for item in servers if self._ejected_until.get(item.server_id, 0.0) <= now
        ]
        return super().choose(available or servers, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Count consecutive failures, and eject the server once there are too many."""
        server_id = dispatch.server.server_id
        if outcome.kind is OutcomeKind.SUCCESS:
            self._consecutive_failures[server_id] = 0
        elif outcome.kind is not OutcomeKind.CANCELLED:
            count = self._consecutive_failures.get(server_id, 0) + 1
            self._consecutive_failures[server_id] = count
            if count >= FAILURES_IN_A_ROW:
                self._consecutive_failures[server_id] = 0
                self._ejected_until[server_id] = now + EJECTION_SECONDS
        return super().finish(dispatch, outcome, now)

    def list_excluded(self) -> set[ServerId]:
        """List the ejected servers."""
        return {name for name, until in self._ejected_until.items() if until > self._now}


BASELINES: Final[dict[str, Callable[[Random], Baseline]]] = {
    "round robin": RoundRobin,
    "least outstanding": LeastOutstanding,
    "5 failures in a row": ConsecutiveFailures,
}
