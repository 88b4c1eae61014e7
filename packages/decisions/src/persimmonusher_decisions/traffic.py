"""All decisions of one entry instance for one service, behind one interface.

The data plane calls in with events and the time and carries out the decisions it gets back; there
is no I/O here and no clock. A dispatched attempt must be finished exactly once.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_decisions.server import BackendServer, ServerState
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


@dataclass(frozen=True)
class ServerStatus:
    """A backend server with what this instance does about it, and why."""

    server: BackendServer
    taking_work: bool
    reason: str
    outstanding: int


NO_SERVICE: Final = ServiceName("")
NO_INSTANCE: Final = InstanceId("")


class ServiceTraffic:
    """Admission, placement and retries for one service at one entry instance."""

    def __init__(
        self,
        profile: Profile,
        failure_domain: FailureDomain,
        random: Random,
        service: ServiceName = NO_SERVICE,
        instance_id: InstanceId = NO_INSTANCE,
        incarnation: int = 0,
    ) -> None:
        self._profile = profile
        self._failure_domain = failure_domain
        self._random = random
        self._servers: dict[ServerId, BackendServer] = {}
        self._outstanding: dict[ServerId, int] = {}

    def replace_profile(self, profile: Profile) -> None:
        """Take a new profile; requests in flight keep the deadline they have."""
        self._profile = profile

    def replace_servers(self, servers: Iterable[BackendServer], now: float) -> None:
        """Take the announced servers; evidence on those that stay is kept."""
        self._servers = {server.server_id: server for server in servers}

    def replace_entry_count(self, live: int) -> None:
        """Take the number of live entry instances, which share each server's connections."""

    def offer(self, request: Request, now: float) -> Decision:
        """Decide on a new request."""
        return self._place(request, 1, frozenset(), now)

    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt after `finish`; the caller has checked that it is safe."""
        if dispatch.attempt > self._profile.max_retries:
            return Refusal(dispatch.request, RefusalReason.RETRIES_EXHAUSTED, 1.0)
        tried = frozenset([dispatch.server.server_id])
        return self._place(dispatch.request, dispatch.attempt + 1, tried, now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt and return the waiting requests it releases."""
        server_id = dispatch.server.server_id
        self._outstanding[server_id] = max(0, self._outstanding.get(server_id, 0) - 1)
        if outcome.kind is OutcomeKind.DRAINING:
            self._servers.pop(server_id, None)
        return ()

    def withdraw(self, request: Request) -> None:
        """Forget a waiting request whose caller left."""

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Let time pass: refuse waiting requests that are late, release those that may go."""
        return ()

    def hedge_delay(self) -> float | None:
        """Return the seconds after which `hedge` may be asked, None where hedging is off."""
        return None

    def hedge(self, dispatch: Dispatch, now: float) -> Dispatch | None:
        """Decide on a second copy of an idempotent request in flight; None is no.

        Both copies are finished exactly once each; the one that lost as CANCELLED.
        """
        return None

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return evidence for the assessor since the last call, None where there is none.

        Call it about every 0.2 s, and send each digest once only: one that is lost may stay lost.
        """
        return None

    def apply_ejections(self, ejections: EjectionSet, asked: float) -> None:
        """Take an assessor's set; `asked` is when this instance sent what the set answers."""

    def describe(self, now: float) -> tuple[ServerStatus, ...]:
        """List every known server with its status, for operators."""
        return tuple(
            ServerStatus(
                server,
                server.state is ServerState.READY,
                server.state.value,
                self._outstanding.get(server.server_id, 0),
            )
            for server in self._servers.values()
        )

    def _place(
        self, request: Request, attempt: int, tried: frozenset[ServerId], now: float
    ) -> Decision:
        ready = [server for server in self._servers.values() if server.state is ServerState.READY]
        fresh = [server for server in ready if server.server_id not in tried] or ready
        if not fresh:
            return Refusal(request, RefusalReason.NO_SERVER, 1.0)
        self._random.shuffle(fresh)
        chosen = min(fresh, key=lambda server: self._outstanding.get(server.server_id, 0))
        self._outstanding[chosen.server_id] = self._outstanding.get(chosen.server_id, 0) + 1
        return Dispatch(request, chosen, attempt, now)
