"""The expected work that servers still have to do, over all instances."""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import exp, inf
from typing import Final

from persimmonusher_decisions.costs import CostModel
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Request
from persimmonusher_model.identifiers import ServerId

MAX_AGE_SECONDS: Final = 2.0
"""Age from which the sums of all instances aren't used."""
WEIGHT_SECONDS: Final = 0.7
"""Time constant with which the score moves from the expected work to the count of requests while
the sums get older. All instances see the same idle servers, and would fill them until newer sums
arrive."""
STATE_MEMORY_SECONDS: Final = 1.0
"""Time constant with which the others' work at a server is expected to return to its average:
it is finished there, and the others see the same sums and send their requests elsewhere."""
NEWEST_STATE_WEIGHT: Final = 0.2
"""Weight of the newest sums in that average: about five make it up."""
MAX_REPORTS: Final = 16
"""This instance's last reports that are kept, to subtract its own part from the sums: at two
reports a second, more than MAX_AGE_SECONDS of them."""
MEASURED_LOAD_PER_SLOT: Final = 0.75
"""Expected load per slot, with the request itself, up to which a server counts as having begun the
request at once. The sums are old, so that a server with a single free slot may have none."""
UNKNOWN_COST_SECONDS: Final = 0.1
"""Expected service time while nothing is known; all requests count the same then."""


@dataclass(frozen=True)
class WorkInProgress:
    """The requests in progress at one server, and the sum of their expected service times."""

    requests: int
    seconds: float


@dataclass(frozen=True)
class WorkStatus:
    """Whether requests are placed by expected work, and the mean service time, for operators."""

    is_known: bool
    mean_seconds: float
    """0 while nothing is known."""


NO_WORK: Final = WorkInProgress(0, 0.0)


class ServerWork:
    """Estimates each server's requests and work in progress, over all instances.

    The sums of all instances are 0.1 to 2 s old. This instance's own part of them is replaced by
    what it has in progress now, so that what it sent since then counts at once.
    """

    def __init__(self, costs: CostModel | None = None) -> None:
        self._costs = costs or CostModel()
        self._reports: deque[tuple[float, dict[ServerId, WorkInProgress]]] = deque(
            maxlen=MAX_REPORTS
        )
        self._taken_at = -inf
        self._advanced_at = -inf
        self._weight = 0.0
        self._mean_seconds = UNKNOWN_COST_SECONDS
        self._enabled = False
        self.now = 0.0
        """The time of the last event, in monotonic seconds."""

    def set_enabled(self, enabled: bool) -> None:
        """Enable or disable it; the sums are dropped when it is disabled."""
        self._enabled = enabled
        if not enabled:
            self._taken_at = -inf

    def is_known(self, now: float) -> bool:
        """Return whether placement can go by the expected work."""
        return now - self._taken_at <= MAX_AGE_SECONDS

    def estimate(self, request: Request) -> float:
        """Return the expected service time of a request in seconds, 0 while disabled."""
        return (self._costs.estimate(request) or UNKNOWN_COST_SECONDS) if self._enabled else 0.0

    def may_begin_at_once(self, track: ServerTrack, now: float) -> bool:
        """Return whether the server had a free slot for the request that was just started on it."""
        in_progress = track.outstanding + track.others_requests
        return self.is_known(now) and in_progress <= MEASURED_LOAD_PER_SLOT * track.slots

    def describe(self, now: float) -> WorkStatus | None:
        """Return the status, or None while disabled."""
        return WorkStatus(self.is_known(now), self._costs.mean_seconds) if self._enabled else None

    def report(self, tracks: Collection[ServerTrack]) -> dict[ServerId, float]:
        """Return this instance's work in progress by server, and remember it as reported."""
        if not self._enabled:
            return {}
        own = {
            track.server_id: WorkInProgress(track.outstanding, track.work_seconds)
            for track in tracks
            if track.outstanding
        }
        self._reports.append((self.now, own))
        return {server_id: work.seconds for server_id, work in own.items()}

    def apply(
        self, work: Mapping[ServerId, WorkInProgress], age: float, tracks: Collection[ServerTrack]
    ) -> None:
        """Apply the sums over all instances, taken `age` seconds ago.

        Sums that are too old are ignored. Newer sums may have a greater age, if one keeper is late.
        """
        if not self._enabled or age > MAX_AGE_SECONDS:
            return
        taken_at = self.now - max(0.0, age)
        newest = NEWEST_STATE_WEIGHT if self.is_known(self.now) else 1.0
        self._taken_at = self._advanced_at = taken_at
        self._mean_seconds = self._costs.mean_seconds or UNKNOWN_COST_SECONDS
        own = self._find_reported(taken_at)
        for track in tracks:
            total = work.get(track.server_id, NO_WORK)
            part = own.get(track.server_id, NO_WORK)
            track.others_requests = float(max(0, total.requests - part.requests))
            track.others_seconds = max(0.0, total.seconds - part.seconds)
            track.usual_requests += (track.others_requests - track.usual_requests) * newest
            track.usual_seconds += (track.others_seconds - track.usual_seconds) * newest
            track.speed = self._costs.find_speed(track.server_id)
        self.advance(tracks, self.now)

    def advance(self, tracks: Collection[ServerTrack], now: float) -> None:
        """Estimate what the other instances have in progress at each server now."""
        self.now = now
        elapsed = now - self._advanced_at
        if not self.is_known(now) or elapsed < 0.0:
            return
        self._advanced_at = now
        self._weight = exp((self._taken_at - now) / WEIGHT_SECONDS)
        change = 1.0 - exp(-elapsed / STATE_MEMORY_SECONDS)
        for track in tracks:
            track.others_requests += (track.usual_requests - track.others_requests) * change
            track.others_seconds += (track.usual_seconds - track.others_seconds) * change

    def score(self, track: ServerTrack, counted: float) -> float:
        """Return a server's score with one more request; `counted` is that by counts of requests.

        The expected work is in the same unit: the load per slot, of average requests on a server of
        average speed. So penalties and the extra load of far servers mean the same in both. The
        older the sums are, the more the count weighs.
        """
        seconds = track.work_seconds + track.others_seconds
        load = seconds / self._mean_seconds + 1.0 + track.penalty
        by_work = load * track.inverse_slots / track.speed + track.far_load
        return counted + (by_work - counted) * self._weight

    def _find_reported(self, at: float) -> Mapping[ServerId, WorkInProgress]:
        """Return this instance's last report that was made by then."""
        found: Mapping[ServerId, WorkInProgress] = {}
        for reported_at, own in self._reports:
            if reported_at > at:
                break
            found = own
        return found
