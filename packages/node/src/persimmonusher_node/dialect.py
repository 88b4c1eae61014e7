"""The header names and conventions of callers and backend servers; each has a default."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_node.headers import (
    CALLER,
    DEADLINE,
    IDEMPOTENCY_KEY,
    LEAVING,
    LOAD,
    NOT_RUN,
    RATE_LIMIT,
    REQUEST_CLASS,
    REQUEST_ID,
)


@dataclass(frozen=True)
class Dialect:
    """Names of the headers that the data plane reads and writes, and conventions about them."""

    request_id: str = REQUEST_ID
    deadline: str = DEADLINE
    caller: str = CALLER
    request_class: str = REQUEST_CLASS
    key: str = IDEMPOTENCY_KEY
    not_run: str = NOT_RUN
    load: str = LOAD
    rate_limit: str = RATE_LIMIT
    leaving: str = LEAVING
    expected_server: str | None = None
    """Header that names the server a request is for; another server at its address answers 421."""
    signature: str | None = None
    """Header on every success of a server; a success without it is not the server's answer."""
    accepts_unframed: bool = False
    """Whether servers may send answers that end with their connection. A reset still shows that
    such an answer was cut off, but a server that dies between two writes can't be detected."""
    promising_statuses: frozenset[int] = frozenset()
    """Statuses by which callers are promised that a request did not run and never will. Where they
    read the outcome from its own header, there are none."""
    refuses_encoded: bool = False
    """Whether answers with a content coding are refused as garbled; callers never ask for one."""
    retry_after_decimals: int = 0
    """Decimal places of Retry-After that callers read; the standard has whole seconds only."""
    credentials: str = "Authorization"
    """Header with the caller's API key, after the name of a scheme; never passed on."""
    credentials_scheme: str = "Bearer"
    organisation: str = CALLER
    """Header that names the request's organisation to the backend server; a caller's own value is
    dropped."""


OWN_DIALECT: Final = Dialect()
