"""The header names and habits of callers and backend servers, where they differ from our own."""

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
    """Names of the headers that carry what the data plane reads and writes."""

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
    """Names the server that a request is for; another one at its address answers 421."""
    signature: str | None = None
    """On every success of a server; one without it is not the server's answer."""
    accepts_unframed: bool = False
    """Whether servers send answers that end with their connection. A reset still shows that such
    an answer was cut off; a server that dies between two writes doesn't show."""
    refuses_encoded: bool = False
    """Whether an answer in a content coding, which callers never ask for, is a garbled one."""
    retry_after_decimals: int = 0
    """Decimal places of Retry-After that callers read; the standard knows whole seconds only."""
    credentials: str = "Authorization"
    """Carries the caller's API key, behind the name of a scheme; never passed on."""
    credentials_scheme: str = "Bearer"
    organisation: str = CALLER
    """Tells the backend server whose request it is; what a caller sends under it is dropped."""


OWN_DIALECT: Final = Dialect()
