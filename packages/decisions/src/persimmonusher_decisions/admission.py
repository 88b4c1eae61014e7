"""Whether a request goes to a server now, waits, or is refused, and when it may come back."""

from math import exp
from random import Random
from typing import Final

from persimmonusher_decisions.fair_queue import FairQueue
from persimmonusher_decisions.work import Refusal, RefusalReason, Request
from persimmonusher_model.profile import Profile

RATE_MEMORY_SECONDS: Final = 1.0
FEWEST_ANSWERS: Final = 4.0
"""Answers in memory below which the drain rate isn't known yet."""
WAIT_MARGIN: Final = 0.35
"""A request waits only if its expected wait is below this part of the longest one, so that few
are refused only after they waited."""
SHORTEST_RETRY_AFTER: Final = 1.0
LONGEST_RETRY_AFTER: Final = 30.0
SHORTEST_RETURN: Final = 0.1
"""Seconds, for a caller that servers with free slots turned away: less than the time of usual work,
and enough for the answer and a new connection."""
RETURN_SHARE: Final = 0.5
"""Part of the recent latency after which such a caller comes back where half of the attempts are
refused: three tries fit into what callers call in time, two and a half times the work."""
LARGEST_SHED_SHARE: Final = 0.95
"""Share of attempts refused by servers up to which the time to come back grows with it."""
SHED_MEMORY: Final = 0.1
"""Weight of the newest attempt in that share: some ten attempts make it up, those of two or three
seconds at an instance of an average fleet."""
RETRY_AFTER_SPREAD: Final = 0.25
"""Callers refused together are told times this far apart, so that they don't return together."""


class DrainRate:
    """The rate at which requests of one lane leave for servers, with fading memory."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record(self, now: float) -> None:
        """Count one request."""
        self._fade(now)
        self._count += 1.0

    def find(self, now: float) -> float | None:
        """Return requests a second; None where there are too few to tell."""
        self._fade(now)
        return self._count / RATE_MEMORY_SECONDS if self._count >= FEWEST_ANSWERS else None

    def _fade(self, now: float) -> None:
        if now > self._at:
            self._count *= exp((self._at - now) / RATE_MEMORY_SECONDS)
            self._at = now


class Admission:
    """Keeps the queue and gives each refusal its reason and its time to come back.

    The load it is for: demand at 1.5 to 3 times capacity. The harm: work that is done for a caller
    who has given up, callers who wait for an answer that can't come in time, and refused callers
    who all come back at once. So a request whose deadline or expected wait can't be met is
    refused on arrival, at the cost of a few microseconds; and the refused are told to come back
    when those refused before them will have been served at the observed rate.
    """

    def __init__(self, profile: Profile, random: Random) -> None:
        self._profile = profile
        self._random = random
        self._backlog = 0.0
        self._backlog_at = 0.0
        self._shed_share = 0.0
        self.queue = FairQueue()
        self._rates = {True: DrainRate(), False: DrainRate()}

    def replace_profile(self, profile: Profile) -> None:
        """Take a new profile; what waits goes on waiting."""
        self._profile = profile

    def wait(self, request: Request, usual_latency: float, now: float) -> Refusal | None:
        """Let the request wait, or refuse it; None means that it waits."""
        if not self.queue.has_room(request, self._profile.queue_limit):
            return self.refuse(request, RefusalReason.QUEUE_FULL, now)
        rate = self._rates[request.idempotent].find(now)
        if rate is not None:
            expected = (self.queue.count_ahead(request) + 1) / rate
            longest = min(self._longest_wait(), request.deadline - now - usual_latency)
            if expected > WAIT_MARGIN * longest:
                return self.refuse(request, RefusalReason.OVERLOAD, now)
        self.queue.push(request)
        return None

    def record_start(self, request: Request, now: float) -> None:
        """Count a request that leaves for a server: its lane's drain rate."""
        self._rates[request.idempotent].record(now)

    def refuse(self, request: Request, reason: RefusalReason, now: float) -> Refusal:
        """Refuse a request that was not run."""
        return Refusal(request, reason, self._find_retry_after(now))

    def record_attempt(self, refused: bool) -> None:
        """Take the end of an attempt: whether its server refused to run the request."""
        self._shed_share += SHED_MEMORY * (refused - self._shed_share)

    def refuse_shed(
        self, request: Request, reason: RefusalReason, recent_latency: float, now: float
    ) -> Refusal:
        """Refuse a request that servers turned away, with no budget left to ask another one.

        The load it is for: all servers of a service turn away half of their requests for seconds,
        whatever their load. The harm: told to come back after a second, a caller whose next try
        would be taken as likely as not has its answer late, or gives up. Nothing is gained by
        waiting for the queue here, which is empty; so the caller comes back within a part of the
        latest answers' time, and later the more is refused: with nine of ten attempts refused nine
        times as late as with half of them, so that callers who come again don't add to a real
        overload. While requests wait here, they go first.
        """
        if len(self.queue):
            return self.refuse(request, reason, now)
        share = min(LARGEST_SHED_SHARE, self._shed_share)
        seconds = max(SHORTEST_RETURN, RETURN_SHARE * recent_latency * share / (1.0 - share))
        return Refusal(request, reason, seconds * self._choose_spread())

    def find_lateness(
        self, request: Request, usual_latency: float, now: float
    ) -> RefusalReason | None:
        """Return why it is too late for a request, None where it isn't."""
        if now + usual_latency > request.deadline:
            return RefusalReason.DEADLINE
        if now - request.arrived > self._longest_wait():
            return RefusalReason.QUEUE_TIMEOUT
        return None

    def find_wait_left(self, request: Request, usual_latency: float, now: float) -> float:
        """Return the seconds after which it will be too late for a request, 0 or less if it is."""
        queue_wait = request.arrived + self._longest_wait() - now
        return min(queue_wait, request.deadline - now - usual_latency)

    def refuse_closed(self, request: Request, seconds: float) -> Refusal:
        """Refuse a request that no server takes from this instance for so long."""
        retry_after = min(LONGEST_RETRY_AFTER, max(SHORTEST_RETRY_AFTER, seconds))
        return Refusal(request, RefusalReason.SERVERS_CLOSED, retry_after)

    def _longest_wait(self) -> float:
        return self._profile.queue_wait_ms / 1000.0

    def _find_retry_after(self, now: float) -> float:
        rates = [rate.find(now) or 0.0 for rate in self._rates.values()]
        rate = sum(rates)
        if not rate:
            return SHORTEST_RETRY_AFTER
        drained = (now - self._backlog_at) * rate
        largest = rate * LONGEST_RETRY_AFTER
        self._backlog = min(largest, max(0.0, self._backlog - drained) + 1.0)
        self._backlog_at = now
        seconds = (self._backlog + len(self.queue)) / rate
        return min(LONGEST_RETRY_AFTER, max(SHORTEST_RETRY_AFTER, seconds) * self._choose_spread())

    def _choose_spread(self) -> float:
        return 1.0 + RETRY_AFTER_SPREAD * (2.0 * self._random.random() - 1.0)
