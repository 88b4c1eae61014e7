"""The HTTP header names that callers, entries and backend servers exchange.

They are documented in docs/reference/interfaces.md, which must be changed with them.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final, TypeAlias

HeaderList: TypeAlias = tuple[tuple[str, str], ...]

CALLER: Final = "Persimmonusher-Caller"
"""Caller to entry: the organisation that the request is made for."""
REQUEST_CLASS: Final = "Persimmonusher-Class"
"""Caller to entry: the request's class, for metrics and fairness."""
REQUEST_ID: Final = "X-Request-Id"
"""All directions: identifies one request; the entry makes one if the caller gives none."""
DEADLINE: Final = "Persimmonusher-Deadline-Ms"
"""Caller to entry, and entry to backend server: milliseconds left for the whole answer."""
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
"""Caller to entry, passed on: equal on each resend of the same non-idempotent request."""
OUTCOME: Final = "Persimmonusher-Outcome"
"""Entry to caller: see `CallerOutcome`."""
REPLAYED: Final = "Persimmonusher-Replayed"
"""Entry to caller: `true` on the stored answer of an earlier request with the same key."""
NOT_RUN: Final = "Persimmonusher-Not-Run"
"""Backend server to entry: see `NotRunReason`."""
LOAD: Final = "Persimmonusher-Load"
"""Backend server to entry: requests in progress and queued there, from all callers."""
RATE_LIMIT: Final = "Persimmonusher-Rate-Limit"
"""Backend server to entry: requests a second that it accepts from all instances together, a decimal
number; it holds for as long as its answers carry it."""
LEAVING: Final = "Persimmonusher-Leaving"
"""Backend server to entry: `1` in all answers of a server that is leaving."""
RETRY_AFTER: Final = "Retry-After"


class CallerOutcome(Enum):
    """What the entry knows about whether the request ran."""

    RAN = "ran"
    """A backend server answered, and the answer is whole."""
    NOT_RUN = "not-run"
    """No backend server ran the request, and none will."""
    UNKNOWN = "unknown"
    """A backend server may have run the request."""


class NotRunReason(Enum):
    """Why a backend server did not run the request, in an answer with status 400, 429 or 503."""

    SHED = "shed"
    DRAINING = "draining"


HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection only and are never passed on."""


def select_headers(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> HeaderList:
    """Return the end-to-end headers without those in `dropped` or listed in `Connection`."""
    kept = tuple(headers)
    connection_specific = {
        token.strip().lower()
        for name, value in kept
        if name.lower() == "connection"
        for token in value.split(",")
    }
    unwanted = (
        HOP_BY_HOP | dropped | connection_specific if connection_specific else HOP_BY_HOP | dropped
    )
    return tuple((name, value) for name, value in kept if name.lower() not in unwanted)
