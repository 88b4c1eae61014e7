"""How many entries the fleet has, as the keepers that they follow count them.

Each keeper tells the leader its own number with every message of the log, and the leader tells all
of them the sum, so that the count costs no messages of its own.
"""

from typing import Final

from persimmonusher_agreement.log_messages import KeeperId

FORGET_SECONDS: Final = 3.0
"""A keeper that was not heard for this long has lost its followers to others."""


class FollowerCount:
    """Counts of this keeper and of those that it hears."""

    def __init__(self) -> None:
        self.own = 0
        """Entries that follow this keeper now."""
        self._heard: dict[KeeperId, tuple[int, float]] = {}
        self._told = 0

    def hear(self, source: KeeperId, count: int, now: float, from_leader: bool) -> None:
        """Take the count in another keeper's message; a leader's is the whole fleet's."""
        if from_leader:
            self._told = count
            self._heard.clear()
        else:
            self._heard[source] = (count, now)

    def tell(self, is_leader: bool, now: float) -> int:
        """Return the count to send: the sum as the leader, else this keeper's own."""
        return self._sum(now) if is_leader else self.own

    def find_total(self, is_leader: bool, now: float) -> int:
        """Return the entries of the whole fleet, as far as this keeper knows."""
        return max(self.own, self._sum(now) if is_leader else self._told)

    def _sum(self, now: float) -> int:
        self._heard = {
            source: (count, at)
            for source, (count, at) in self._heard.items()
            if now - at <= FORGET_SECONDS
        }
        return self.own + sum(count for count, _ in self._heard.values())
