"""Quarantine, at one entry instance, of requests that crash the servers that run them."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

from persimmonusher_decisions.evidence_messages import (
    MAX_STRIKES_IN_DIGEST,
    QuarantinedRequest,
    Strike,
    StrikeKind,
)
from persimmonusher_model.identifiers import ServerId

SETTLE_SECONDS: Final = 0.1
"""A break is reported only after this time: a server that answers a request that was in flight
before the break hasn't crashed."""
NETWORK_BREAK_SECONDS: Final = 1.0
NETWORK_BREAK_SERVERS: Final = 4
"""Number of servers with breaks within NETWORK_BREAK_SECONDS from which the network is the cause:
no request runs on that many, since crash_strikes stops it sooner and max_retries is at most 5."""
MAX_SUCCEEDED: Final = 4_096
"""Fingerprints with a recent success that are remembered, in each of two generations."""
MAX_STRIKES: Final = 1_024
"""Fingerprints with strikes that are remembered, and strikes that wait to be sent."""


class Break:
    """A connection that broke while a request was in flight on it."""

    __slots__ = ("at", "fingerprint", "server_id")

    def __init__(self, fingerprint: str, server_id: ServerId, at: float) -> None:
        self.fingerprint = fingerprint
        self.server_id = server_id
        self.at = at


Matcher: TypeAlias = Callable[[Break], bool]


class Quarantine:
    """Counts strikes against fingerprints and quarantines those with enough of them.

    A request may crash each server that runs it, while its caller, or the instance's own retry,
    sends it again until no server is left. The sign of a crash is that all connections to a server
    break at once with the request in flight. Unrelated requests in flight there get a strike as
    well, but don't break a second server. A fingerprint that is answered successfully anywhere
    loses its strikes, and one that was answered successfully lately gets none, which protects a
    popular lookup that is in flight on every server at all times.
    """

    def __init__(self, strikes: int, seconds: float) -> None:
        self._strikes = strikes
        self._seconds = seconds
        self._broken_servers: dict[str, dict[ServerId, float]] = {}
        self._unsettled: deque[Break] = deque()
        self._broken_at: dict[ServerId, float] = {}
        self._outbox: deque[Strike] = deque(maxlen=MAX_STRIKES)
        self._quarantined_until: dict[str, float] = {}
        self._watched: frozenset[str] = frozenset()
        self._succeeded: set[str] = set()
        self._succeeded_before: set[str] = set()

    def replace_limits(self, strikes: int, seconds: float) -> None:
        """Apply a new profile's `crash_strikes` and quarantine time."""
        self._strikes = strikes
        self._seconds = seconds

    def find_seconds_left(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which the fingerprint is still quarantined; 0 if it isn't."""
        if not self._quarantined_until:
            return 0.0
        until = self._quarantined_until.get(fingerprint)
        if until is None:
            return 0.0
        if until <= now:
            del self._quarantined_until[fingerprint]
            return 0.0
        return until - now

    def is_suspected(self, fingerprint: str, server_id: ServerId) -> bool:
        """Return whether the fingerprint has strikes from another server, or fleet-wide ones."""
        broken_servers = self._broken_servers.get(fingerprint)
        if broken_servers and (len(broken_servers) > 1 or server_id not in broken_servers):
            return True
        return fingerprint in self._watched or fingerprint in self._quarantined_until

    def record_success(self, fingerprint: str, server_id: ServerId, started: float) -> None:
        """Record a successful answer: it clears its fingerprint and its server's unsent breaks."""
        if len(self._succeeded) >= MAX_SUCCEEDED:
            self._succeeded_before = self._succeeded
            self._succeeded = set()
        self._succeeded.add(fingerprint)
        if self._watched and fingerprint in self._watched:
            self._watched -= {fingerprint}
            self._outbox.append(Strike(fingerprint, server_id, StrikeKind.SUCCESS))
        if self._broken_servers:
            self._broken_servers.pop(fingerprint, None)
        if self._unsettled:
            self._remove_unsettled(lambda item: item.server_id == server_id and started < item.at)

    def record_break(self, fingerprint: str, server_id: ServerId, now: float) -> None:
        """Record a connection that broke while this fingerprint was in flight on the server.

        Nothing is recorded if the fingerprint succeeded lately, or if the network broke.
        """
        if fingerprint in self._succeeded or fingerprint in self._succeeded_before:
            return
        if len(self._broken_servers) >= MAX_STRIKES and fingerprint not in self._broken_servers:
            return
        if self._is_network_fault(server_id, now):
            self._remove_unsettled(lambda item: True)
            return
        self._unsettled.append(Break(fingerprint, server_id, now))
        broken_servers = self._broken_servers.setdefault(fingerprint, {})
        broken_servers[server_id] = now
        if len(broken_servers) >= self._strikes:
            self._quarantined_until[fingerprint] = now + self._seconds

    def record_remote_break(self, fingerprint: str, server_id: ServerId, now: float) -> None:
        """Record a break that another instance saw."""
        if fingerprint in self._succeeded or fingerprint in self._succeeded_before:
            return
        if len(self._broken_servers) >= MAX_STRIKES and fingerprint not in self._broken_servers:
            return
        broken_servers = self._broken_servers.setdefault(fingerprint, {})
        broken_servers[server_id] = now
        if len(broken_servers) >= self._strikes:
            self._quarantined_until[fingerprint] = now + self._seconds

    def _is_network_fault(self, server_id: ServerId, now: float) -> bool:
        self._broken_at[server_id] = now
        for name in [
            name for name, at in self._broken_at.items() if now - at > NETWORK_BREAK_SECONDS
        ]:
            del self._broken_at[name]
        return len(self._broken_at) >= NETWORK_BREAK_SERVERS

    @property
    def has_pending_strikes(self) -> bool:
        """Return whether there are strikes to send to the assessor, or soon may be."""
        return bool(self._outbox or self._unsettled)

    def pop_strikes(self, now: float) -> tuple[Strike, ...]:
        """Return and clear the strikes to send to the assessor."""
        while self._unsettled and now - self._unsettled[0].at >= SETTLE_SECONDS:
            item = self._unsettled.popleft()
            if item.fingerprint in self._broken_servers:
                self._outbox.append(Strike(item.fingerprint, item.server_id, StrikeKind.CRASH))
        self._forget_old(now)
        count = min(MAX_STRIKES_IN_DIGEST, len(self._outbox))
        return tuple(self._outbox.popleft() for _ in range(count))

    def apply(
        self, quarantines: Iterable[QuarantinedRequest], watched: Iterable[str], now: float
    ) -> None:
        """Apply the fleet's quarantines; those known here last until their own end.

        They don't depend on the assessor's lease: when the assessor is isolated, a request that
        crashes servers must not be released.
        """
        for item in quarantines:
            seconds = min(item.seconds_left, self._seconds)
            self._quarantined_until[item.fingerprint] = max(
                self._quarantined_until.get(item.fingerprint, 0.0), now + seconds
            )
        self._watched = frozenset(watched)

    def _forget_old(self, now: float) -> None:
        old = [
            fingerprint
            for fingerprint, servers in self._broken_servers.items()
            if now - max(servers.values()) > self._seconds
        ]
        for fingerprint in old:
            del self._broken_servers[fingerprint]

    def _remove_unsettled(self, matches: Matcher) -> None:
        kept: deque[Break] = deque()
        for item in self._unsettled:
            if matches(item):
                self._remove_strike(item)
            else:
                kept.append(item)
        self._unsettled = kept

    def _remove_strike(self, item: Break) -> None:
        servers = self._broken_servers.get(item.fingerprint)
        if servers is None:
            return
        servers.pop(item.server_id, None)
        if len(servers) < self._strikes:
            self._quarantined_until.pop(item.fingerprint, None)
        if not servers:
            del self._broken_servers[item.fingerprint]
