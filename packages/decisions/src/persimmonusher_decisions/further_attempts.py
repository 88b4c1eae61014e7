"""Attempts of a request after its first one: retries after a failure, and hedged copies."""

from typing import Final

from persimmonusher_decisions.admission import Admission
from persimmonusher_decisions.dispatcher import Dispatcher
from persimmonusher_decisions.evidence import EvidenceLog
from persimmonusher_decisions.hedging import may_hedge
from persimmonusher_decisions.placement import CROWDED_LOAD_PER_SLOT, Placement
from persimmonusher_decisions.quarantine import Quarantine
from persimmonusher_decisions.retries import RetryBudget
from persimmonusher_decisions.urgency import UrgencyGate
from persimmonusher_decisions.work import (
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    RefusalReason,
    Request,
)
from persimmonusher_model.profile import Profile

UNREACHED_ATTEMPTS: Final = 5
"""Unreachable servers after which a request is refused: each costs the time of a connection
attempt, and a network cut that affects this many affects all."""


class FurtherAttempts:
    """Decides on retries and hedges; there is one for each service at an instance."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        placement: Placement,
        evidence: EvidenceLog,
        admission: Admission,
        retries: RetryBudget,
        quarantine: Quarantine,
        urgency: UrgencyGate,
    ) -> None:
        self._dispatcher = dispatcher
        self._placement = placement
        self._evidence = evidence
        self._admission = admission
        self._retries = retries
        self._quarantine = quarantine
        self._urgency = urgency

    def retry(self, profile: Profile, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt of a request whose last attempt has ended.

        The calling code has checked that the request may safely be run again.
        """
        request = dispatch.request
        if outcome.kind in (OutcomeKind.UNREACHED, OutcomeKind.WITHHELD, OutcomeKind.CUT_OFF):
            return self._retry_unsent(dispatch, now)
        allowed = request.max_attempts or profile.max_retries + 1
        spent = dispatch.attempt - dispatch.unreached >= allowed
        crashing = self._quarantine.find_seconds_left(request.fingerprint, now) > 0.0
        may_go = not (spent or self._is_late(dispatch, now) or crashing)
        share = self._urgency.find_budget_share(request, now)
        if may_go and self._retries.spend(now, outcome.kind.value, share):
            may_go = False
            tried = dispatch.server.server_id
            again = self._dispatcher.place(
                request, dispatch.attempt + 1, tried, now, dispatch.unreached
            )
            if again is not None:
                return again
        reason = RefusalReason.RETRY_BUDGET if may_go else RefusalReason.RETRIES_EXHAUSTED
        if outcome.kind not in (OutcomeKind.REFUSED, OutcomeKind.DRAINING):
            return self._admission.refuse(request, reason, now)
        refusal = self._refuse_closed(request, now)
        if refusal is not None:
            return refusal
        if dispatch.attempt - dispatch.unreached == 1:
            reason = RefusalReason.OVERLOAD
        recent = self._evidence.recent_latency or 0.0
        return self._admission.refuse_shed(request, reason, recent, now)

    def hedge(self, profile: Profile, dispatch: Dispatch, now: float) -> Dispatch | None:
        """Return a hedged copy of an idempotent request in flight, or None.

        If all slots of a service are taken, answers are slow, and copies of requests that wait in
        one server's queue would only wait in another and displace first attempts. So a copy is sent
        only to a server with a short queue.

        Both copies must be finished exactly once each; the one that lost as CANCELLED.
        """
        track = self._placement.choose(True, dispatch.server.server_id, now)
        if track is None or track.load > CROWDED_LOAD_PER_SLOT:
            return None
        waiting = len(self._admission.queue)
        if not may_hedge(profile, dispatch, self._retries, waiting, now):
            return None
        return self._dispatcher.start(dispatch.request, track, dispatch.attempt + 1, now)

    def _retry_unsent(self, dispatch: Dispatch, now: float) -> Decision:
        """Place a request again of which no byte was sent, so no server has worked on it."""
        request = dispatch.request
        if not self._is_late(dispatch, now) and dispatch.unreached + 1 < UNREACHED_ATTEMPTS:
            tried = dispatch.server.server_id
            number, unreached = dispatch.attempt + 1, dispatch.unreached + 1
            again = self._dispatcher.place(request, number, tried, now, unreached)
            if again is not None:
                return again
        refusal = self._refuse_closed(request, now)
        return refusal or self._admission.refuse(request, RefusalReason.OVERLOAD, now)

    def _refuse_closed(self, request: Request, now: float) -> Refusal | None:
        """Refuse a request that was not run, until the first server opens, if all are closed."""
        closed = self._placement.find_seconds_until_open(now)
        return self._admission.refuse_closed(request, closed) if closed else None

    def _is_late(self, dispatch: Dispatch, now: float) -> bool:
        """Return whether an answer after the usual latency would miss the request's deadline."""
        usual = self._evidence.find_usual_latency(dispatch.request.request_class)
        return now + usual > dispatch.request.deadline
