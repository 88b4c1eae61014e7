"""Translation between a caller's exchange and a backend server's."""

import re
from functools import lru_cache
from http import HTTPStatus
from typing import Final

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.work import OutcomeKind, Request
from persimmonusher_node.answers import Answer
from persimmonusher_node.calls import Call
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.headers import (
    OUTCOME,
    REPLAYED,
    RETRY_AFTER,
    CallerOutcome,
    HeaderList,
    NotRunReason,
    select_headers,
)
from persimmonusher_node.upstream import UpstreamAnswer, UpstreamRequest

NOT_RUN_STATUSES: Final = frozenset({400, 429, 503})
"""Statuses with which a server may say that it did not run a request."""
MAX_REST_SECONDS: Final = 3_600.0
"""A server that asks for a longer rest is tried again after this time."""
DECIMAL_PATTERN: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
MAX_REPORTED_LOAD: Final = 1_000_000
"""Upper bound on a reported load, so that an absurd figure can't overflow a sum."""


def make_upstream_request(
    call: Call, request: Request, server: BackendServer, dialect: Dialect
) -> UpstreamRequest:
    """Make the request for a backend server; its deadline is added when it is sent."""
    headers: dict[str, str] = {}
    dropped = list_replaced_headers(dialect, call.identity is not None)
    for name, value in select_headers(call.headers, dropped):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers[dialect.request_id] = call.request_id
    if dialect.expected_server is not None:
        headers[dialect.expected_server] = server.server_id
    if call.organisation is not None:
        headers[dialect.organisation] = call.organisation.name
    return UpstreamRequest(
        call.request_id, call.method, call.target, headers, call.body, request.idempotent
    )


@lru_cache
def list_replaced_headers(dialect: Dialect, identified: bool = False) -> frozenset[str]:
    """List the caller's request headers that the entry replaces or does not pass on.

    Where requests are identified by API keys, these include the key and the organisation that the
    caller claims.
    """
    names = [dialect.deadline, dialect.request_id, dialect.expected_server or ""]
    if identified:
        names += [dialect.credentials, dialect.organisation]
    return frozenset({"content-length", "expect", *(name.lower() for name in names)})


@lru_cache
def list_own_answer_headers(dialect: Dialect) -> frozenset[str]:
    """List the answer headers that only the entry may set towards a caller."""
    names = (OUTCOME, REPLAYED, dialect.not_run, dialect.load, dialect.request_id)
    return frozenset(name.lower() for name in names)


def classify_answer(answer: UpstreamAnswer, dialect: Dialect = OWN_DIALECT) -> OutcomeKind:
    """Return the outcome of an attempt that got a whole answer."""
    if answer.status == 421 and dialect.expected_server is not None:
        # Another server has the address by now: the expected one is gone.
        return OutcomeKind.DRAINING
    reason = find_header(answer.headers, dialect.not_run)
    if reason is None or answer.status not in NOT_RUN_STATUSES:
        return OutcomeKind.SUCCESS if answer.status < 500 else OutcomeKind.FAILURE
    if reason.strip().lower() == NotRunReason.DRAINING.value:
        return OutcomeKind.DRAINING
    return OutcomeKind.REFUSED


def read_load(answer: UpstreamAnswer, dialect: Dialect = OWN_DIALECT) -> int | None:
    """Return the load that the answer reports, or None where it is missing or malformed."""
    text = find_header(answer.headers, dialect.load)
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 9:
        return None
    return min(int(text), MAX_REPORTED_LOAD)


def read_advice(answer: UpstreamAnswer, dialect: Dialect = OWN_DIALECT) -> ServerAdvice:
    """Return what the answer asks of instances: rate limit, rest, and whether the server leaves."""
    text = find_header(answer.headers, dialect.rate_limit)
    rate = None if text is None else read_decimal(text)
    is_readable = text is None or rate is not None
    is_leaving = (find_header(answer.headers, dialect.leaving) or "").strip() == "1"
    return ServerAdvice(rate, is_readable, read_rest(answer, dialect), is_leaving)


def read_rest(answer: UpstreamAnswer, dialect: Dialect = OWN_DIALECT) -> float:
    """Return the seconds of rest that a server asks for when it refuses a request, else 0.

    The Retry-After of a 429 is meant for the caller, unless the answer says that the request did
    not run. A date, which HTTP also allows, is ignored: servers' clocks may be wrong.
    """
    is_refusal = classify_answer(answer, dialect) is OutcomeKind.REFUSED
    if answer.status != 503 and not is_refusal:
        return 0.0
    seconds = read_decimal(find_header(answer.headers, RETRY_AFTER) or "")
    return min(MAX_REST_SECONDS, seconds or 0.0)


def read_decimal(text: str) -> float | None:
    """Return a decimal number of 0 or more, None where the text is no such number.

    >>> read_decimal("1.5"), read_decimal(" 20 "), read_decimal("-1"), read_decimal("inf")
    (1.5, 20.0, None, None)
    """
    match = DECIMAL_PATTERN.fullmatch(text.strip())
    return float(match[0]) if match else None


def translate_answer(
    answer: UpstreamAnswer, call: Call, idempotent: bool, dialect: Dialect = OWN_DIALECT
) -> Answer:
    """Make the answer for the caller from a backend server's, with the entry's own headers.

    A status that would promise the caller that a non-idempotent request did not run, though its
    server did not say so, becomes 502.
    """
    dropped = list_own_answer_headers(dialect)
    status, outcome = answer.status, CallerOutcome.RAN
    if status in dialect.promising_statuses and not idempotent:
        status, outcome = HTTPStatus.BAD_GATEWAY.value, CallerOutcome.UNKNOWN
        # The signature covers the status that the server gave.
        dropped = dropped | {(dialect.signature or "").lower()}
    headers = select_headers(answer.headers, dropped)
    own = ((OUTCOME, outcome.value), (dialect.request_id, call.request_id))
    return Answer(status, (*headers, *own), answer.body, outcome, stream=answer.stream)


def find_header(headers: HeaderList, name: str) -> str | None:
    """Return the first value of a header, whatever the case of its name."""
    wanted = name.lower()
    for candidate, value in headers:
        if candidate.lower() == wanted:
            return value
    return None
