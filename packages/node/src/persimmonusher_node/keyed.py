"""Requests with an Idempotency-Key: claimed before the first byte, outcome kept for a resend."""

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


SETTLE_SECONDS: Final = 2.0
"""Time after the deadline in which the outcome still reaches the registers. A resend is told that
the request runs until then, and that its outcome is unknown after."""


class KeyedForwarder:
    """Runs a non-idempotent request under its key at most once, whichever entries it reaches."""

    def __init__(self, forwarder: Forwarder, claims: KeyClaims) -> None:
        self._forwarder = forwarder
        self._claims = claims

    def forward(self, call: Call, live: LiveService) -> Answer:
        """Claim the key, forward the request, and keep its outcome; waits for the answer."""
        assert call.key is not None
        key = ClaimKey(live.name, call.caller, call.key)
        window = live.profile.key_window_ms / 1000.0
        deadline = live.profile.deadline_ms if call.deadline_ms is None else call.deadline_ms
        pending = deadline / 1000.0 + SETTLE_SECONDS
        result = self._claim(key, compute_fingerprint(call), window, pending)
        if result.status is ClaimStatus.FINISHED and result.answer is not None:
            return make_replay(result.answer, call.request_id)
        if result.status is not ClaimStatus.GRANTED:
            code, message = _REFUSALS[result.status]
            return make_error(code, message, call.request_id)
        return self._run(call, live, key)

    def _claim(self, key: ClaimKey, fingerprint: str, window: float, pending: float) -> ClaimResult:
        try:
            return self._claims.claim(key, fingerprint, window, pending)
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
        """Settle the claim; the adapter does so in the background.

        The caller need not wait for the registers: were this instance lost before they have the
        outcome, a resend would be told that it is unknown, which is then the truth.
        """
        if answer is not None and answer.outcome is CallerOutcome.NOT_RUN:
            self._claims.release(key)
        elif answer is None or answer.outcome is not CallerOutcome.RAN or answer.stream is not None:
            self._claims.give_up(key)
        else:
            self._claims.finish(key, store(answer))


def store(answer: Answer) -> StoredAnswer:
    """Make the stored form of an answer, without what belongs to one exchange only."""
    own = (OUTCOME, REQUEST_ID)
    headers = tuple(pair for pair in answer.headers if pair[0] not in own)
    return StoredAnswer(answer.status, headers, answer.body)
