"""The number of live entries in the fleet, counted by the keepers that they follow.

Each keeper sends the leader its own count with every message of the log, and the leader sends all
of them the sum, so that counting needs no messages of its own.
"""

from typing import Final

from persimmonusher_agreement.log_messages import KeeperId

COUNT_EXPIRY_SECONDS: Final = 3.0
"""A keeper that sent nothing for this long counts as having lost its followers to other keepers."""


class FollowerCount:
    """The count of this keeper, and the counts received from others."""

    def __init__(self) -> None:
        self.own = 0
        """Entries that follow this keeper."""
        self._received: dict[KeeperId, tuple[int, float]] = {}
        self._fleet_count = 0

    def record(self, source: KeeperId, count: int, now: float, from_leader: bool) -> None:
        """Record the count in another keeper's message; a leader's is that of the whole fleet."""
        if from_leader:
            self._fleet_count = count
            self._received.clear()
        else:
            self._received[source] = (count, now)

    def find_count_to_send(self, is_leader: bool, now: float) -> int:
        """Return the count to send: the sum if this keeper leads, else its own."""
        return self._sum(now) if is_leader else self.own

    def find_total(self, is_leader: bool, now: float) -> int:
        """Return the entries of the whole fleet, as far as this keeper knows."""
        return max(self.own, self._sum(now) if is_leader else self._fleet_count)

    def _sum(self, now: float) -> int:
        self._received = {
            source: (count, at)
            for source, (count, at) in self._received.items()
            if now - at <= COUNT_EXPIRY_SECONDS
        }
        return self.own + sum(count for count, _ in self._received.values())
