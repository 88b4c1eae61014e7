"""The share of one instance in the requests a second that a server takes from all instances."""

from math import ceil, inf
from random import Random
from typing import Final

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.track import ServerTrack

SHARED_PART: Final = 0.6
"""Part of a server's limit that is shared out. Instances' turns come at moments of their own, so
that now and then more of them come at the same time."""
TURN_SECONDS: Final = 2.0
"""Length of a turn. A request that nobody sent in it may not be sent later, or all instances would
send theirs at the beginning of a burst."""
LEAST_RATE: Final = 0.25
"""Requests a second of the whole fleet that a server gets whatever its limit: only an answer tells
that a limit has ended."""
ENTRIES_MEMORY_SECONDS: Final = 30.0
"""Time for which the largest number of instances counts. While keepers are lost or cut off, the
entries that follow them send on and aren't counted."""


class RateLimits:
    """Gives this instance turns for what it sends to servers that name a limit.

    The load it is for: a server in need that takes one request a second, before dozens or thousands
    of instances of which each sees a few requests a second. The harm: each would send it one at
    once, and together they would send it many times its limit. So each has a turn for one request
    in the time in which all of them together may send as many as they are; the first comes at a
    random moment of it. A central count would use the limit better, but costs a call for each
    request, and stops with the keepers.

    >>> limits = RateLimits(Random(1))
    >>> limits.count_entries(36, 0.0)
    >>> limits.find_interval(1.0)
    60.0
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._entries = 1
        self._entries_at = -inf

    def count_entries(self, live: int, now: float) -> None:
        """Take the number of live entry instances, this one included."""
        if live >= self._entries or now - self._entries_at > ENTRIES_MEMORY_SECONDS:
            self._entries = live
            self._entries_at = now

    def find_interval(self, rate: float) -> float:
        """Return the seconds between two turns of this instance, for a limit of the fleet."""
        return self._entries / (SHARED_PART * max(LEAST_RATE, rate))

    def take(self, track: ServerTrack, advice: ServerAdvice, sent: float, now: float) -> bool:
        """Take the limit in an answer to what was sent at a time; tell whether it is another one.

        An answer without a limit ends one only if its request was sent after the limit was last
        named: else the server may have answered before it named the limit.
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
        """Count a request that is sent now: this turn is over."""
        if track.rate_limit is not None:
            self.skip_turns(track, now)
            track.set_turn(track.turn_at + self.find_interval(track.rate_limit))

    def skip_turns(self, track: ServerTrack, now: float) -> None:
        """Go on to the next turn where those before are over."""
        over = now - TURN_SECONDS - track.turn_at
        if track.rate_limit is not None and over > 0.0:
            interval = self.find_interval(track.rate_limit)
            track.set_turn(track.turn_at + ceil(over / interval) * interval)

    def _find_turn(self, track: ServerTrack, rate: float | None, now: float) -> float:
        """Return when the next turn at a server begins whose limit changes."""
        if rate is None:
            return now
        share = self._random.random()
        if track.rate_limit is not None:
            left = max(0.0, track.turn_at - now)
            share = min(1.0, left / self.find_interval(track.rate_limit))
        return now + share * self.find_interval(rate)
