"""Names of the HTTP interfaces, written from docs/reference/interfaces.md alone.

The lab plays the callers and backend servers of other firms, so it doesn't import the node's own
constants: if the node changes a name without changing that page, the demo fails.
"""

from typing import Final

REQUEST_ID: Final = "X-Request-Id"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
CALLER: Final = "Persimmonusher-Caller"
REQUEST_CLASS: Final = "Persimmonusher-Class"
DEADLINE_MS: Final = "Persimmonusher-Deadline-Ms"
"""Milliseconds left when the request was forwarded."""
NOT_RUN: Final = "Persimmonusher-Not-Run"
"""On a 503 of a backend server: `shed` or `draining`."""
SHED: Final = "shed"
DRAINING: Final = "draining"
OUTCOME: Final = "Persimmonusher-Outcome"
REPLAYED: Final = "Persimmonusher-Replayed"
LOAD: Final = "Persimmonusher-Load"
"""Requests in progress and queued at the server that answers."""
RETRY_AFTER: Final = "Retry-After"
ANNOUNCE_PATH: Final = "/announce"


def to_environ_key(header: str) -> str:
    """Return a header's key in a WSGI environ.

    >>> to_environ_key("X-Request-Id")
    'HTTP_X_REQUEST_ID'
    """
    return "HTTP_" + header.upper().replace("-", "_")
