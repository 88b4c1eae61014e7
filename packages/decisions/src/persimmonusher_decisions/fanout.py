"""Pacing of a keeper's messages to its followers and to other keepers."""

from typing import Final

MESSAGES_PER_SECOND: Final = 1_000.0
"""Messages per second that one keeper sends to all its followers together. Its single event loop
also serves the log, backend servers and operators, and must have time for them."""
MAX_BATCH_SECONDS: Final = 0.2
"""Longest time for which updates are batched. A notice that is later than this comes too late for
most of the requests that it could have saved."""


class FanoutPace:
    """Batches updates to followers, so that work doesn't grow with updates times followers.

    With dozens of followers, and dozens of notices and changes per second as many servers fail one
    after the other, one message for each notice and follower would keep the keeper's event loop so
    busy that nothing else is served in time, including heartbeats of the log. Entries that lose the
    keeper then join again, which costs even more. So after a round to all followers the next one is
    delayed, in proportion to their number. An update after a quiet period is sent at once.
    """

    def __init__(self) -> None:
        self._round_sent_at = float("-inf")

    def find_due(self, followers: int, now: float) -> float:
        """Return when the next round may go, now at the earliest."""
        join = min(MAX_BATCH_SECONDS, followers / MESSAGES_PER_SECOND)
        return max(now, self._round_sent_at + join)

    def record_round(self, now: float) -> None:
        """Record that a round to all followers is sent now."""
        self._round_sent_at = now


class CallPace:
    """Limits the rate of calls to one receiver, with a burst after a quiet period.

    Notices to another keeper come a few per second in a small fleet and by the dozen in a large
    one. Each call between failure domains costs several times the bytes of a notice, so calls are
    paced; but if each were delayed, a small fleet would learn of failures late for no gain.
    """

    def __init__(self, calls_a_second: float, at_once: int) -> None:
        self._seconds = 1.0 / calls_a_second
        self._at_once = at_once
        self._free_at = float("-inf")
        """When a full burst of calls is allowed again."""

    def reserve_call(self, now: float) -> float:
        """Count a call and return the seconds by which it must be delayed."""
        begin = max(now, self._free_at)
        self._free_at = begin + self._seconds
        return max(0.0, begin - now - (self._at_once - 1) * self._seconds)
