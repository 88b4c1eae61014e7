"""When a keeper tells its followers what waits to be told."""

from typing import Final

MESSAGES_A_SECOND: Final = 1_000.0
"""Messages that one keeper sends to all its followers together: its one loop also serves the log,
backend servers and operators, and must have time for them."""
LONGEST_JOIN_SECONDS: Final = 0.2
"""A notice that is told later than this has met most of the requests that it could have saved."""


class FanoutPace:
    """Joins what comes in quick succession, so that a keeper's work doesn't grow as a product.

    The load it is for: dozens of followers, and dozens of notices and changes a second, as many
    servers fall ill one after the other. The harm: one message for each notice and follower keeps
    the keeper's loop busy until nothing else is served in time, heartbeats of the log included;
    entries that lose it join again, which costs more still. So after one round to all followers
    the next one waits, the longer the more they are. What comes after a quiet moment goes at once.
    """

    def __init__(self) -> None:
        self._told_at = float("-inf")

    def find_due(self, followers: int, now: float) -> float:
        """Return when the next round may go, now at the earliest."""
        join = min(LONGEST_JOIN_SECONDS, followers / MESSAGES_A_SECOND)
        return max(now, self._told_at + join)

    def record_round(self, now: float) -> None:
        """Take that a round goes out now."""
        self._told_at = now


class CallPace:
    """Bounds the calls to one receiver, and lets a few go at once after a quiet moment.

    The load it is for: notices to another keeper, a few a second in a small fleet and dozens in a
    large one. The harm: each call between failure domains costs several times the bytes of a
    notice; and if each waited for the next, a small fleet would hear of failures late for nothing.
    """

    def __init__(self, calls_a_second: float, at_once: int) -> None:
        self._seconds = 1.0 / calls_a_second
        self._at_once = at_once
        self._free_at = float("-inf")
        """When as many calls as go at once may go again."""

    def take(self, now: float) -> float:
        """Count a call and return the seconds that it has to wait."""
        begin = max(now, self._free_at)
        self._free_at = begin + self._seconds
        return max(0.0, begin - now - (self._at_once - 1) * self._seconds)
