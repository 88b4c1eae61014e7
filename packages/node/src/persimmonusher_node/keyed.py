"""Requests with an Idempotency-Key: the key is claimed before a byte is sent to a server.

The outcome is kept, so that a resend gets it instead of running the request again.
"""

from typing import Final

from persimmonusher_model.errors import UsherError
from persimmonusher_node.answers import Answer, AnswerCode, make_error, make_replay
from persimmonusher_node.calls import Call
from persimmonusher_node.fingerprints import compute_fingerprint
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.headers import OUTCOME, REQUEST_ID, CallerOutcome
from persimmonusher_node.ports import ClaimKey, ClaimResult, ClaimStatus, KeyClaims, StoredAnswer
from persimmonusher_node.services import LiveService

_REFUSALS: Final = {
    ClaimStatus.RUNNING: (AnswerCode.KEY_RUNNING, "a request with this key is still running"),
    ClaimStatus.UNKNOWN: (
        AnswerCode.KEY_UNKNOWN,
        "the outcome of the earlier request with this key is unknown; it is never run again",
    ),
    ClaimStatus.MISMATCH: (
        AnswerCode.KEY_MISMATCH,
        "this key was used before with a different request",
    ),
    ClaimStatus.FINISHED: (
        AnswerCode.KEY_ANSWER_GONE,
        "the request with this key ran, but its answer was too large to keep",
    ),
    ClaimStatus.NO_QUORUM: (
        AnswerCode.KEY_NO_QUORUM,
        "too few instances answered to claim the key; the request was not run",
    ),
}


SETTLEMENT_GRACE_SECONDS: Final = 2.0
"""Time after the deadline for the outcome to reach the registers. Until then a resend is answered
that the request is still running, and after that its outcome is unknown."""


class KeyedForwarder:
    """Runs a non-idempotent request under its key at most once, whichever entries it reaches."""

    def __init__(self, forwarder: Forwarder, claims: KeyClaims) -> None:
        self._forwarder = forwarder
        self._claims = claims

    def forward(self, call: Call, live: LiveService) -> Answer:
        """Claim the key, forward the request and store its outcome; blocks until the answer."""
        assert call.key is not None
        key = ClaimKey(live.name, call.caller, call.key)
        window_seconds = live.profile.key_window_ms / 1000.0
        deadline_ms = live.profile.deadline_ms if call.deadline_ms is None else call.deadline_ms
        pending_seconds = deadline_ms / 1000.0 + SETTLEMENT_GRACE_SECONDS
        result = self._claim(key, compute_fingerprint(call), window_seconds, pending_seconds)
        if result.status is ClaimStatus.FINISHED and result.answer is not None:
            return make_replay(result.answer, call.request_id)
        if result.status is not ClaimStatus.GRANTED:
            code, message = _REFUSALS[result.status]
            return make_error(code, message, call.request_id)
        return self._run(call, live, key)

    def _claim(
        self, key: ClaimKey, fingerprint: str, window_seconds: float, pending_seconds: float
    ) -> ClaimResult:
        try:
            return self._claims.claim(key, fingerprint, window_seconds, pending_seconds)
        except UsherError:
            return ClaimResult(ClaimStatus.NO_QUORUM)

    def _run(self, call: Call, live: LiveService, key: ClaimKey) -> Answer:
        answer: Answer | None = None
        try:
            answer = self._forwarder.forward(call, live)
            return answer
        finally:
            self._settle(key, answer)

    def _settle(self, key: ClaimKey, answer: Answer | None) -> None:
        """Settle the claim; the adapter sends the outcome to the registers in the background.

        The caller need not wait for that. If this instance is lost before the registers have the
        outcome, a resend is answered that it is unknown, which is then correct.
        """
        if answer is not None and answer.outcome is CallerOutcome.NOT_RUN:
            self._claims.release(key)
        elif answer is None or answer.outcome is not CallerOutcome.RAN or answer.stream is not None:
            self._claims.give_up(key)
        else:
            self._claims.finish(key, make_stored_answer(answer))


def make_stored_answer(answer: Answer) -> StoredAnswer:
    """Return the stored form of an answer, without the headers that only one exchange carries."""
    exchange_headers = (OUTCOME, REQUEST_ID)
    headers = tuple(pair for pair in answer.headers if pair[0] not in exchange_headers)
    return StoredAnswer(answer.status, headers, answer.body)
