"""Answers to callers, and the coded errors that the entry makes itself."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from math import ceil
from typing import Final

from persimmonusher_decisions.work import RefusalReason
from persimmonusher_node.headers import (
    OUTCOME,
    REPLAYED,
    REQUEST_ID,
    RETRY_AFTER,
    CallerOutcome,
    HeaderList,
)
from persimmonusher_node.ports import StoredAnswer


class AnswerCode(Enum):
    """Codes of the errors that the entry answers itself; programs may rely on them."""

    BAD_REQUEST = "bad-request"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_API_KEY = "unknown-api-key"
    QUOTA_EXCEEDED = "quota-exceeded"
    QUOTA_UNKNOWN = "quota-unknown"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    BODY_CUT = "body-cut"
    BODY_MEMORY = "body-memory"
    SLOW_REQUEST = "slow-request"
    KEY_REQUIRED = "key-required"
    KEY_RUNNING = "key-running"
    KEY_UNKNOWN = "key-unknown"
    KEY_MISMATCH = "key-mismatch"
    KEY_ANSWER_GONE = "key-answer-gone"
    KEY_NO_QUORUM = "key-no-quorum"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    SERVERS_CLOSED = "servers-closed"
    QUARANTINED = "quarantined"
    OVERLOAD = "overload"
    LESS_URGENT = "less-urgent"
    RETRIES_EXHAUSTED = "retries-exhausted"
    RETRY_BUDGET = "retry-budget"
    ANSWER_TIMEOUT = "answer-timeout"
    ANSWER_BROKEN = "answer-broken"
    CALLER_LEFT = "caller-left"
    STOPPING = "stopping"
    STOP_ENDED = "stop-ended"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorForm:
    """How one code is answered: status, whether the request ran, and when to retry."""

    status: int
    outcome: CallerOutcome
    retry_after: float | None = None
    """Seconds; set in every form whose outcome is `not run`."""


_NOT_RUN: Final = CallerOutcome.NOT_RUN
_UNKNOWN: Final = CallerOutcome.UNKNOWN

FORMS: Final = {
    AnswerCode.BAD_REQUEST: ErrorForm(400, _NOT_RUN, 1.0),
    AnswerCode.NO_CONFIGURATION: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.NO_ROUTE: ErrorForm(404, _NOT_RUN, 5.0),
    AnswerCode.UNKNOWN_API_KEY: ErrorForm(401, _NOT_RUN, 5.0),
    AnswerCode.QUOTA_EXCEEDED: ErrorForm(429, _NOT_RUN, 1.0),
    AnswerCode.QUOTA_UNKNOWN: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.BODY_TOO_LARGE: ErrorForm(413, _NOT_RUN, 1.0),
    AnswerCode.BODY_INCOMPLETE: ErrorForm(400, _NOT_RUN, 1.0),
    AnswerCode.BODY_CUT: ErrorForm(502, _UNKNOWN, 1.0),
    AnswerCode.BODY_MEMORY: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.SLOW_REQUEST: ErrorForm(408, _NOT_RUN, 1.0),
    AnswerCode.KEY_REQUIRED: ErrorForm(400, _NOT_RUN, 1.0),
    AnswerCode.KEY_RUNNING: ErrorForm(409, _UNKNOWN, 1.0),
    AnswerCode.KEY_UNKNOWN: ErrorForm(502, _UNKNOWN),
    AnswerCode.KEY_MISMATCH: ErrorForm(422, _NOT_RUN, 1.0),
    AnswerCode.KEY_ANSWER_GONE: ErrorForm(410, CallerOutcome.RAN),
    AnswerCode.KEY_NO_QUORUM: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.QUEUE_FULL: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.QUEUE_TIMEOUT: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.DEADLINE: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.NO_SERVER: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.SERVERS_CLOSED: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.QUARANTINED: ErrorForm(503, _NOT_RUN, 60.0),
    AnswerCode.LESS_URGENT: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.OVERLOAD: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.RETRIES_EXHAUSTED: ErrorForm(502, _UNKNOWN, 1.0),
    AnswerCode.RETRY_BUDGET: ErrorForm(502, _UNKNOWN, 1.0),
    AnswerCode.ANSWER_TIMEOUT: ErrorForm(504, _UNKNOWN, 1.0),
    AnswerCode.ANSWER_BROKEN: ErrorForm(502, _UNKNOWN, 1.0),
    AnswerCode.CALLER_LEFT: ErrorForm(499, _UNKNOWN),
    AnswerCode.STOPPING: ErrorForm(503, _NOT_RUN, 1.0),
    AnswerCode.STOP_ENDED: ErrorForm(504, _UNKNOWN, 1.0),
    AnswerCode.INTERNAL: ErrorForm(500, _UNKNOWN, 1.0),
}

CODES_BY_REASON: Final = {reason: AnswerCode(reason.value) for reason in RefusalReason}


@dataclass(frozen=True)
class Answer:
    """An answer to a caller; `stream`, where there is one, follows the body."""

    status: int
    headers: HeaderList
    body: bytes
    outcome: CallerOutcome
    code: AnswerCode | None = None
    """Set on the entry's own errors, None on a backend server's answer."""
    stream: Iterator[bytes] | None = None

    def with_headers(self, *headers: tuple[str, str]) -> "Answer":
        """Return the answer with further headers."""
        return replace(self, headers=(*self.headers, *headers))


def make_error(
    code: AnswerCode,
    message: str,
    request_id: str,
    *,
    retry_after: float | None = None,
    outcome: CallerOutcome | None = None,
    decimals: int = 0,
) -> Answer:
    """Make the entry's own error answer; `outcome` replaces the default outcome of the code.

    A 503 becomes 502 unless the outcome is `not run`. `retry_after`, in seconds, is rounded up to
    `decimals` places, as many as callers read.
    """
    form = FORMS[code]
    outcome = outcome or form.outcome
    status = form.status
    if status == 503 and outcome is not CallerOutcome.NOT_RUN:
        status = 502
    seconds = form.retry_after if retry_after is None else retry_after
    headers = [("Content-Type", "application/json"), (OUTCOME, outcome.value)]
    if seconds is not None:
        headers.append((RETRY_AFTER, format_retry_after(seconds, decimals)))
    headers.append((REQUEST_ID, request_id))
    document = {
        "code": code.value,
        "message": message,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    return Answer(status, tuple(headers), json.dumps(document).encode() + b"\n", outcome, code)


def format_retry_after(seconds: float, decimals: int) -> str:
    """Return a Retry-After value as callers read it, never 0.

    >>> format_retry_after(0.234, 0), format_retry_after(0.234, 2), format_retry_after(3.0, 2)
    ('1', '0.24', '3')
    """
    unit = 10**decimals
    return f"{max(1, ceil(seconds * unit)) / unit:g}"


def make_replay(stored: StoredAnswer, request_id: str) -> Answer:
    """Make the answer to a resend from the stored answer of the first request."""
    answer = Answer(stored.status, stored.headers, stored.body, CallerOutcome.RAN)
    return answer.with_headers(
        (OUTCOME, CallerOutcome.RAN.value), (REPLAYED, "true"), (REQUEST_ID, request_id)
    )
