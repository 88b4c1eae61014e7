"""The choice of the instance through which a connection to a backend server is opened."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final

from persimmonusher_model.identifiers import FailureDomain

MAX_TRIES: Final = 4
"""Instances asked for one connection: a cut that affects this many probably affects all."""
AVOID_SECONDS: Final = 2.0
"""Time for which an instance that could not help is asked only after all others."""
GOOD_SECONDS: Final = 10.0
"""Time for which an instance that has helped is preferred while others can't."""
RECENT_SECONDS: Final = 2.0
"""Time after an answer in which the instances count as able to help, though one search failed."""
UNPROVEN_SHARE: Final = 0.1
"""Share of the openings that don't prefer those that have helped, so that more are found and the
load is spread."""


@dataclass(frozen=True)
class RelayPeer:
    """An instance that opens connections for others, at the address of its relay."""

    address: str
    failure_domain: FailureDomain


class RelayChoice:
    """Chooses among the known instances at random, unless some have failed to help."""

    def __init__(self, failure_domain: FailureDomain, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._peers: tuple[RelayPeer, ...] = ()
        self._avoid_until: dict[str, float] = {}
        self._good_until: dict[str, float] = {}
        self._helped_at = -inf

    def replace(self, peers: Sequence[RelayPeer]) -> None:
        """Set the known instances; what was learned of those that stay is kept."""
        self._peers = tuple(peers)
        known = {peer.address for peer in peers}
        for memory in (self._avoid_until, self._good_until):
            for address in memory.keys() - known:
                del memory[address]

    def record_helped(self, peer: RelayPeer, now: float) -> None:
        """Record that an instance answered for a server, whether it reached it or not."""
        self._helped_at = now
        self._good_until[peer.address] = now + GOOD_SECONDS
        self._avoid_until.pop(peer.address, None)

    def record_failed(self, peer: RelayPeer, now: float) -> None:
        """Record that an instance could not be reached, or said that it can't help."""
        self._avoid_until[peer.address] = now + AVOID_SECONDS
        self._good_until.pop(peer.address, None)

    def has_helped_lately(self, now: float) -> bool:
        """Return whether any instance has answered for a server a moment ago."""
        return now < self._helped_at + RECENT_SECONDS

    def order(self, now: float) -> list[RelayPeer]:
        """Return the instances to ask for one connection, in this order.

        While some have failed lately, those that have helped come first, and of these the ones in
        the own failure domain. Instances that have just failed are left out, unless all have.
        """
        usable = [peer for peer in self._peers if self._avoid_until.get(peer.address, now) <= now]
        if not usable:
            usable = list(self._peers)
        self._random.shuffle(usable)
        has_failures = any(until > now for until in self._avoid_until.values())
        if has_failures and self._random.random() >= UNPROVEN_SHARE:
            usable.sort(key=lambda peer: self._rank(peer, now))
        return usable[:MAX_TRIES]

    def _rank(self, peer: RelayPeer, now: float) -> int:
        if self._good_until.get(peer.address, now) <= now:
            return 2
        return 0 if peer.failure_domain == self._failure_domain else 1
