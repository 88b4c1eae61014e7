"""Admission: whether a request may wait or is refused, and when its caller may try again."""

from math import exp
from random import Random
from typing import Final

from persimmonusher_decisions.fair_queue import FairQueue
from persimmonusher_decisions.work import Refusal, RefusalReason, Request
from persimmonusher_model.profile import Profile

RATE_MEMORY_SECONDS: Final = 1.0
MIN_COUNTED_REQUESTS: Final = 4.0
"""Requests in memory below which the drain rate counts as unknown."""
MAX_EXPECTED_WAIT_SHARE: Final = 0.35
"""A request waits only if its expected wait is below this part of the longest allowed one, so that
few requests are refused after they have waited."""
MIN_RETRY_AFTER_SECONDS: Final = 1.0
MAX_RETRY_AFTER_SECONDS: Final = 30.0
MIN_SHED_RETRY_AFTER_SECONDS: Final = 0.1
"""Shortest retry-after, in seconds, for a caller whose request servers with free slots refused:
less than usual work takes, and enough for the answer and a new connection."""
SHED_RETRY_LATENCY_SHARE: Final = 0.5
"""Part of the recent latency that such a caller waits when half of the attempts are refused: three
tries fit into the time that callers accept, two and a half times that of the work."""
MAX_SHED_SHARE: Final = 0.95
"""Share of refused attempts above which the retry-after stops growing."""
NEWEST_ATTEMPT_WEIGHT: Final = 0.1
"""Weight of the newest attempt in the share of attempts that servers refused. About ten attempts
make it up: two or three seconds' worth at an instance of an average fleet."""
RETRY_AFTER_JITTER: Final = 0.25
"""Random variation of retry-after, up and down, so that callers refused together don't return
together."""


class DrainRate:
    """The rate at which requests of one lane are sent to servers, with exponential decay."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record(self, now: float) -> None:
        """Count one request."""
        self._decay(now)
        self._count += 1.0

    def find(self, now: float) -> float | None:
        """Return requests per second, or None if too few requests were counted."""
        self._decay(now)
        return self._count / RATE_MEMORY_SECONDS if self._count >= MIN_COUNTED_REQUESTS else None

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._count *= exp((self._at - now) / RATE_MEMORY_SECONDS)
            self._at = now


class Admission:
    """Holds the queue, and computes the retry-after time of refusals.

    At 1.5 to 3 times capacity, servers would work for callers that have timed out, callers would
    wait for answers that can't come in time, and refused callers would all retry at once. So a
    request that can't meet its deadline or the longest wait is refused on arrival, at the cost of a
    few microseconds. Its retry-after is the time in which the requests refused before it can be
    served at the observed rate.
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
        """Apply a new profile; waiting requests stay in the queue."""
        self._profile = profile

    def wait(self, request: Request, usual_latency: float, now: float) -> Refusal | None:
        """Queue the request and return None, or return its refusal."""
        if not self.queue.has_room(request, self._profile.queue_limit):
            return self.refuse(request, RefusalReason.QUEUE_FULL, now)
        rate = self._rates[request.idempotent].find(now)
        if rate is not None:
            expected = (self.queue.count_ahead(request) + 1) / rate
            longest = min(self._find_longest_wait(), request.deadline - now - usual_latency)
            if expected > MAX_EXPECTED_WAIT_SHARE * longest:
                return self.refuse(request, RefusalReason.OVERLOAD, now)
        self.queue.push(request)
        return None

    def record_start(self, request: Request, now: float) -> None:
        """Count a request that is sent to a server in its lane's drain rate."""
        self._rates[request.idempotent].record(now)

    def refuse(self, request: Request, reason: RefusalReason, now: float) -> Refusal:
        """Refuse a request, with a retry-after from the backlog and the drain rate."""
        return Refusal(request, reason, self._find_retry_after(now))

    def record_attempt(self, refused: bool) -> None:
        """Record the end of an attempt: whether its server refused to run the request."""
        self._shed_share += NEWEST_ATTEMPT_WEIGHT * (refused - self._shed_share)

    @property
    def shed_share(self) -> float:
        """Return the share of the recent attempts that servers refused."""
        return self._shed_share

    def refuse_shed(
        self, request: Request, reason: RefusalReason, recent_latency: float, now: float
    ) -> Refusal:
        """Refuse a request that servers refused and that can't be sent to another one.

        All servers of a service may refuse half of their requests for seconds, whatever their load.
        With a retry-after of a second, a caller whose next try has an even chance would get its
        answer late or give up. The queue here is empty, so waiting longer gains nothing: the caller
        may retry after a part of the recent latency. The time grows with the share of refused
        attempts, so that retrying callers don't add to a real overload: with nine of ten attempts
        refused it is nine times as long as with half of them. If requests wait in the queue here,
        they have precedence, and the usual retry-after applies.
        """
        if len(self.queue):
            return self.refuse(request, reason, now)
        share = min(MAX_SHED_SHARE, self._shed_share)
        seconds = max(
            MIN_SHED_RETRY_AFTER_SECONDS,
            SHED_RETRY_LATENCY_SHARE * recent_latency * share / (1.0 - share),
        )
        return Refusal(request, reason, seconds * self._choose_jitter())

    def find_lateness(
        self, request: Request, usual_latency: float, now: float
    ) -> RefusalReason | None:
        """Return the reason why a request is too late, or None if it isn't."""
        if now + usual_latency > request.deadline:
            return RefusalReason.DEADLINE
        if now - request.arrived > self._find_longest_wait():
            return RefusalReason.QUEUE_TIMEOUT
        return None

    def find_wait_left(self, request: Request, usual_latency: float, now: float) -> float:
        """Return the seconds until a request is too late; 0 or less if it is already."""
        queue_wait = request.arrived + self._find_longest_wait() - now
        return min(queue_wait, request.deadline - now - usual_latency)

    def refuse_closed(self, request: Request, seconds: float) -> Refusal:
        """Refuse a request while all servers are closed to this instance, for `seconds` more."""
        retry_after = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
        return Refusal(request, RefusalReason.SERVERS_CLOSED, retry_after)

    def _find_longest_wait(self) -> float:
        return self._profile.queue_wait_ms / 1000.0

    def _find_retry_after(self, now: float) -> float:
        rates = [rate.find(now) or 0.0 for rate in self._rates.values()]
        rate = sum(rates)
        if not rate:
            return MIN_RETRY_AFTER_SECONDS
        drained = (now - self._backlog_at) * rate
        largest = rate * MAX_RETRY_AFTER_SECONDS
        self._backlog = min(largest, max(0.0, self._backlog - drained) + 1.0)
        self._backlog_at = now
        seconds = (self._backlog + len(self.queue)) / rate
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds) * self._choose_jitter()
        )

    def _choose_jitter(self) -> float:
        return 1.0 + RETRY_AFTER_JITTER * (2.0 * self._random.random() - 1.0)
