"""One instance's share of the request rates that servers accept from all instances together."""

from math import ceil
from random import Random
from typing import Final

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.entry_count import EntryCount
from persimmonusher_decisions.track import ServerTrack

SHARED_RATE_PART: Final = 0.6
"""Part of a server's limit that is shared out. Instances choose their turns independently, so now
and then several turns coincide."""
TURN_SECONDS: Final = 2.0
"""Length of a turn. An unused turn expires; otherwise all instances would use theirs at the
beginning of a burst."""
MIN_RATE_PER_SECOND: Final = 0.25
"""Requests per second, from the whole fleet, that a server gets whatever its limit: only an answer
shows that a limit has ended."""


class RateLimits:
    """Assigns turns to this instance's requests to servers that name a rate limit.

    A struggling server may accept one request per second while dozens or thousands of instances see
    a few requests per second each. If each sent it one at once, together they would exceed its
    limit many times. So each instance has a turn for one request in each interval in which the
    limit allows as many requests as there are instances; its first turn comes at a random moment of
    the interval. A central counter would use the limit better, but costs a call for each request,
    and stops working with the keepers.

    >>> limits = RateLimits(Random(1))
    >>> limits.count_entries(36, 0.0)
    >>> limits.find_interval(1.0)
    60.0
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._entries = EntryCount()

    def count_entries(self, live: int, now: float) -> None:
        """Set the number of live entry instances, this one included.

        A lower number is used only after `entry_count.ENTRIES_MEMORY_SECONDS`.
        """
        self._entries.record(live, now)

    def find_interval(self, rate: float) -> float:
        """Return the seconds between two turns of this instance, for a fleet-wide rate limit."""
        return self._entries.value / (SHARED_RATE_PART * max(MIN_RATE_PER_SECOND, rate))

    def apply(self, track: ServerTrack, advice: ServerAdvice, sent: float, now: float) -> bool:
        """Apply the limit in an answer to a request sent at `sent`; return whether it changes.

        An answer without a limit ends the current one only if its request was sent after the limit
        was last named: otherwise the server may have answered before it named the limit.
        """
        rate = advice.rate_limit
        if not advice.is_readable or (rate is None and sent <= track.limit_named_at):
            return False
        if rate is not None:
            track.limit_named_at = now
        if rate == track.rate_limit:
            return False
        track.set_turn(self._find_turn(track, rate, now))
        track.rate_limit = rate
        return True

    def spend(self, track: ServerTrack, now: float) -> None:
        """Use up the current turn for a request that is sent now."""
        if track.rate_limit is not None:
            self.skip_turns(track, now)
            track.set_turn(track.turn_at + self.find_interval(track.rate_limit))

    def skip_turns(self, track: ServerTrack, now: float) -> None:
        """Advance to the current or next turn if earlier ones have expired."""
        expired_seconds = now - TURN_SECONDS - track.turn_at
        if track.rate_limit is not None and expired_seconds > 0.0:
            interval = self.find_interval(track.rate_limit)
            track.set_turn(track.turn_at + ceil(expired_seconds / interval) * interval)

    def _find_turn(self, track: ServerTrack, rate: float | None, now: float) -> float:
        """Return when the next turn begins at a server whose limit changes to `rate`.

        Where there was no limit, the moment is random; else the same fraction of the interval is
        left as before.
        """
        if rate is None:
            return now
        share = self._random.random()
        if track.rate_limit is not None:
            left = max(0.0, track.turn_at - now)
            share = min(1.0, left / self.find_interval(track.rate_limit))
        return now + share * self.find_interval(rate)
