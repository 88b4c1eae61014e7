"""How long peers leave calls unanswered, over all connections to them."""

from dataclasses import dataclass, field
from typing import Final

import structlog
from aioprometheus.histogram import Histogram as Buckets

logger = structlog.get_logger(__name__)

SILENT_SECONDS: Final = 1.0
"""Time without an answer after which a peer counts as silent: calls between instances take less."""
SILENCE_BUCKETS: Final = (1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 20.0, 60.0, 600.0)
"""Seconds. Dense around the time in which a network that works again should be noticed."""


@dataclass
class PeerContact:
    """The unanswered calls to one peer; all times are readings of the clock."""

    silent_since: float | None = None
    """When the first unanswered call was made; None if there is none."""
    called_at: float | None = None
    """When the first of them was made on the present connection."""
    connections: int = 1
    """Connections that were opened to it since then, the present one included."""
    is_logged: bool = False
    """Whether its silence has been logged."""


@dataclass
class PeerSilences:
    """Records calls and answers, and logs when a peer falls silent and when it is heard again.

    >>> silences = PeerSilences()
    >>> silences.record_call("127.0.0.1:7003", now=5.0)
    >>> silences.find_silence("127.0.0.1:7003", now=7.0)
    2.0
    >>> silences.record_answer("127.0.0.1:7003", now=7.5)
    >>> silences.find_silence("127.0.0.1:7003", now=8.0)
    0.0
    """

    buckets: Buckets = field(default_factory=lambda: Buckets(*SILENCE_BUCKETS))
    """Durations of the silences that are over, in seconds."""
    _contacts: dict[str, PeerContact] = field(default_factory=dict)

    def record_call(self, address: str, now: float) -> None:
        """Record that a call to a peer is about to be made."""
        contact = self._contacts.setdefault(address, PeerContact())
        if contact.called_at is None:
            contact.called_at = now
        if contact.silent_since is None:
            contact.silent_since = now
        elif not contact.is_logged and now - contact.silent_since > SILENT_SECONDS:
            contact.is_logged = True
            logger.info("peer-silent", peer=address, seconds=round(now - contact.silent_since, 3))

    def record_connection(self, address: str) -> None:
        """Record that the connection to a peer was given up, so that the next call opens one."""
        contact = self._contacts.get(address)
        if contact is not None and contact.called_at is not None:
            contact.called_at = None
            contact.connections += 1

    def record_answer(self, address: str, now: float) -> None:
        """Record that anything arrived from a peer."""
        contact = self._contacts.get(address)
        if contact is None or contact.silent_since is None:
            return
        seconds = now - contact.silent_since
        if seconds > SILENT_SECONDS:
            self.buckets.observe(seconds)
        if contact.is_logged:
            logger.info(
                "peer-heard",
                peer=address,
                seconds=round(seconds, 3),
                connections=contact.connections,
            )
        self._contacts[address] = PeerContact()

    def count_connections(self, address: str) -> int:
        """Return the connections to a peer since the first unanswered call; 1 if there is none."""
        contact = self._contacts.get(address)
        return 1 if contact is None else contact.connections

    def find_wait(self, address: str, now: float) -> float:
        """Return the age of the first unanswered call on the present connection, in seconds."""
        contact = self._contacts.get(address)
        if contact is None or contact.called_at is None:
            return 0.0
        return now - contact.called_at

    def find_silence(self, address: str, now: float) -> float:
        """Return the age of the first unanswered call on any connection, in seconds."""
        contact = self._contacts.get(address)
        if contact is None or contact.silent_since is None:
            return 0.0
        return now - contact.silent_since
