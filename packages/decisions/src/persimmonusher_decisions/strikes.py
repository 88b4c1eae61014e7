"""Fleet-wide strikes against requests that crash servers, kept by a service's assessor."""

from collections.abc import Iterable

from persimmonusher_decisions.evidence_messages import (
    MAX_QUARANTINES_IN_SET,
    QuarantinedRequest,
    Strike,
    StrikeKind,
)
from persimmonusher_model.identifiers import ServerId


class StrikeCounter:
    """Counts the servers that broke while running each fingerprint, over all entry instances.

    A caller may resend a request that crashes servers, and each resend may reach another entry
    instance, which sees only its first break. Here the breaks add up to a quarantine for the whole
    fleet: after the last of them is known here, fewer servers than `crash_strikes` are lost.
    """

    def __init__(self, strikes: int, seconds: float) -> None:
        self._strikes = strikes
        self._seconds = seconds
        self._broken_servers: dict[str, dict[ServerId, float]] = {}
        self._quarantined_until: dict[str, float] = {}

    def replace_limits(self, strikes: int, seconds: float) -> None:
        """Apply a new profile's `crash_strikes` and quarantine time."""
        self._strikes = strikes
        self._seconds = seconds

    def receive(self, strikes: Iterable[Strike], now: float) -> None:
        """Record an instance's strikes; a success clears its fingerprint."""
        for strike in strikes:
            if strike.kind is StrikeKind.SUCCESS:
                self._broken_servers.pop(strike.fingerprint, None)
                self._quarantined_until.pop(strike.fingerprint, None)
                continue
            servers = self._broken_servers.setdefault(strike.fingerprint, {})
            servers[strike.server_id] = now
            if len(servers) >= self._strikes:
                self._quarantined_until[strike.fingerprint] = now + self._seconds

    def list_quarantines(self, now: float) -> tuple[QuarantinedRequest, ...]:
        """List quarantined fingerprints, newest first, at most MAX_QUARANTINES_IN_SET."""
        self._forget_old(now)
        newest = sorted(self._quarantined_until.items(), key=lambda item: -item[1])[
            :MAX_QUARANTINES_IN_SET
        ]
        return tuple(
            QuarantinedRequest(
                fingerprint, until - now, tuple(sorted(self._broken_servers.get(fingerprint, {})))
            )
            for fingerprint, until in newest
        )

    def list_watched(self) -> tuple[str, ...]:
        """List the newest fingerprints with strikes that aren't quarantined, oldest first."""
        watched = [name for name in self._broken_servers if name not in self._quarantined_until]
        return tuple(watched[-MAX_QUARANTINES_IN_SET:])

    def has_struck(self, server_id: ServerId) -> bool:
        """Return whether a quarantined request has broken the server."""
        return any(
            server_id in self._broken_servers.get(name, {}) for name in self._quarantined_until
        )

    def _forget_old(self, now: float) -> None:
        for fingerprint in [
            name for name, until in self._quarantined_until.items() if until <= now
        ]:
            del self._quarantined_until[fingerprint]
            self._broken_servers.pop(fingerprint, None)
        for fingerprint in [
            name
            for name, servers in self._broken_servers.items()
            if now - max(servers.values()) > self._seconds
        ]:
            del self._broken_servers[fingerprint]
