"""Translation between a caller's exchange and a backend server's."""

from typing import Final

from persimmonusher_decisions.work import OutcomeKind, Request
from persimmonusher_node.answers import Answer
from persimmonusher_node.calls import Call
from persimmonusher_node.headers import (
    DEADLINE,
    LOAD,
    NOT_RUN,
    OUTCOME,
    OWN_ANSWER_HEADERS,
    REPLACED_REQUEST_HEADERS,
    REQUEST_ID,
    CallerOutcome,
    HeaderList,
    NotRunReason,
    select_headers,
)
from persimmonusher_node.upstream import UpstreamAnswer, UpstreamRequest

HIGHEST_LOAD: Final = 1_000_000
"""A reported load is bounded so that a nonsense figure can't overflow a sum."""


def make_upstream_request(call: Call, request: Request, now: float) -> UpstreamRequest:
    """Make the request for a backend server, with the time that is left."""
    headers: dict[str, str] = {}
    for name, value in select_headers(call.headers, REPLACED_REQUEST_HEADERS):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    left = max(1, int((request.deadline - now) * 1000.0))
    headers[DEADLINE] = str(left)
    headers[REQUEST_ID] = call.request_id
    return UpstreamRequest(
        call.request_id, call.method, call.target, headers, call.body, request.idempotent
    )


def classify_answer(answer: UpstreamAnswer) -> OutcomeKind:
    """Tell how a whole answer ends an attempt."""
    if answer.status < 500:
        return OutcomeKind.SUCCESS
    reason = find_header(answer.headers, NOT_RUN)
    if answer.status != 503 or reason is None:
        return OutcomeKind.FAILURE
    if reason.strip().lower() == NotRunReason.DRAINING.value:
        return OutcomeKind.DRAINING
    return OutcomeKind.REFUSED


def read_load(answer: UpstreamAnswer) -> int | None:
    """Return the load that the answer reports, or None where it reports none that is sane."""
    text = find_header(answer.headers, LOAD)
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 9:
        return None
    return min(int(text), HIGHEST_LOAD)


def translate_answer(answer: UpstreamAnswer, call: Call) -> Answer:
    """Make the caller's answer from a backend server's."""
    headers = select_headers(answer.headers, OWN_ANSWER_HEADERS)
    own = ((OUTCOME, CallerOutcome.RAN.value), (REQUEST_ID, call.request_id))
    return Answer(
        answer.status,
        (*headers, *own),
        answer.body,
        CallerOutcome.RAN,
        stream=answer.stream,
    )


def find_header(headers: HeaderList, name: str) -> str | None:
    """Return the first value of a header, whatever the case of its name."""
    wanted = name.lower()
    for candidate, value in headers:
        if candidate.lower() == wanted:
            return value
    return None
