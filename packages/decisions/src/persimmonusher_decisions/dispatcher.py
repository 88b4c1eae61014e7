"""Starts attempts on the servers that placement chooses, and accounts for them."""

from persimmonusher_decisions.admission import Admission
from persimmonusher_decisions.evidence import EvidenceLog
from persimmonusher_decisions.placement import Placement
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.retries import RetryBudget
from persimmonusher_decisions.server_work import ServerWork
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Dispatch, Request
from persimmonusher_model.identifiers import ServerId


class Dispatcher:
    """Starts attempts; there is one dispatcher for each service at an instance."""

    def __init__(
        self,
        placement: Placement,
        evidence: EvidenceLog,
        admission: Admission,
        retries: RetryBudget,
        limits: RateLimits,
        work: ServerWork,
    ) -> None:
        self._placement = placement
        self._evidence = evidence
        self._admission = admission
        self._retries = retries
        self._limits = limits
        self._work = work

    def place(
        self,
        request: Request,
        attempt: int,
        tried: ServerId | None,
        now: float,
        unreached: int = 0,
    ) -> Dispatch | None:
        """Start an attempt, preferably not on the server `tried`; None if no server is available.

        `unreached` counts earlier attempts of which no byte left this instance.
        """
        track = self._placement.choose(request.idempotent, tried, now)
        return None if track is None else self.start(request, track, attempt, now, unreached)

    def start(
        self, request: Request, track: ServerTrack, attempt: int, now: float, unreached: int = 0
    ) -> Dispatch:
        """Start an attempt on a given server, and count it in budgets, limits and evidence."""
        if attempt == 1:
            self._retries.earn(now)
            self._admission.record_start(request, now)
        self._limits.spend(track, now)
        self._placement.reuse.take(track)
        number = self._evidence.find_free_number(request.request_id, attempt)
        asked = track.find_asked(now)
        dispatch = Dispatch(request, track.server, number, now, unreached, asked)
        in_flight = self._evidence.start(dispatch, track, self._work.estimate(request))
        in_flight.measured = self._work.may_begin_at_once(track, now)
        return dispatch
