"""Passes the outcome of each attempt to the parts that decide on later requests."""

from collections.abc import Collection
from typing import Final

from persimmonusher_decisions.costs import CostModel
from persimmonusher_decisions.evidence import Attempt, EvidenceLog
from persimmonusher_decisions.locality import Locality
from persimmonusher_decisions.placement import Placement
from persimmonusher_decisions.quarantine import Quarantine
from persimmonusher_decisions.suspicion import Suspicion
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.window import ConcurrencyWindow
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind
from persimmonusher_model.profile import Profile

PENALTIES_PER_SLOT: Final = {
    OutcomeKind.FAILURE: 0.3,
    OutcomeKind.TIMEOUT: 1.0,
    OutcomeKind.BROKEN: 1.0,
    OutcomeKind.REFUSED: 0.25,
    OutcomeKind.UNREACHED: 1.0,
}
"""Load that is added to a server after an outcome, as a share of its slots. A refusal by a full
server is no fault, but the next request had better go elsewhere. The penalty for a failure is small
on purpose: with a larger one, a server that fails half its work would lose nearly all of it, and
with it the answers that the assessor needs as evidence, so it would be ejected later."""
SILENT_REFUSAL_PENALTY_PER_SLOT: Final = 1.0
"""Penalty for a refusal without a reported load: either the server's queue, several times its
slots, is full, or the server is faulty, and nothing else will show when it has room again."""


class OutcomeLearning:
    """Passes each outcome to the parts concerned; one for each service at an instance."""

    def __init__(
        self,
        evidence: EvidenceLog,
        placement: Placement,
        locality: Locality,
        window: ConcurrencyWindow,
        quarantine: Quarantine,
        suspicion: Suspicion,
        costs: CostModel,
    ) -> None:
        self._evidence = evidence
        self._placement = placement
        self._locality = locality
        self._window = window
        self._quarantine = quarantine
        self._suspicion = suspicion
        self._costs = costs

    def learn_from_success(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Learn from a successful answer."""
        dispatch, track = attempt.dispatch, attempt.track
        fingerprint = dispatch.request.fingerprint
        self._quarantine.record_success(fingerprint, track.server_id, dispatch.started)
        self._evidence.learn(attempt, outcome)
        self._suspicion.record_answer(dispatch, track, now)
        if attempt.measured:
            self._costs.record(dispatch.request, track.server_id, outcome.latency, now)
        if outcome.answer_bytes is not None:
            self._locality.record(outcome.answer_bytes)
            self._placement.far_load = self._locality.far_load

    def learn_from_failure(
        self,
        attempt: Attempt,
        outcome: Outcome,
        tracks: Collection[ServerTrack],
        profile: Profile,
        now: float,
    ) -> None:
        """Learn from a failure or a refusal."""
        dispatch, track = attempt.dispatch, attempt.track
        is_refusal = outcome.kind is OutcomeKind.REFUSED
        if outcome.kind is OutcomeKind.BROKEN:
            self._quarantine.record_break(dispatch.request.fingerprint, track.server_id, now)
        elif is_refusal:
            self._window.record_refusal(track.server_id, track.known_load, now)
        has_no_load = is_refusal and outcome.reported_load is None
        share = SILENT_REFUSAL_PENALTY_PER_SLOT if has_no_load else PENALTIES_PER_SLOT[outcome.kind]
        self._placement.penalize(track, share)
        self._suspicion.record(dispatch, track, outcome, tracks, profile, now)
        if not self._is_request_at_fault(dispatch, outcome.kind):
            self._evidence.learn(attempt, outcome)

    def learn_from_load(self, track: ServerTrack, outcome: Outcome, now: float) -> None:
        """Learn from the load that an answer reports.

        Call it after the attempt was removed from those in flight, since the load counts the rest.
        """
        load = outcome.reported_load
        if load is not None:
            self._placement.record_load(track, load)
        if outcome.kind is OutcomeKind.SUCCESS:
            ratio = None if load is None else load / track.slots
            self._window.record_answer(ratio, len(self._evidence), now)

    def _is_request_at_fault(self, dispatch: Dispatch, kind: OutcomeKind) -> bool:
        """Return whether a break counts against the request rather than against the server."""
        server_id = dispatch.server.server_id
        fingerprint = dispatch.request.fingerprint
        return kind is OutcomeKind.BROKEN and self._quarantine.is_suspected(fingerprint, server_id)
