"""A caller's request as the callers' listener read it, whole."""

import socket
from dataclasses import dataclass, field

from persimmonusher_model.identifiers import CallerId, RequestId
from persimmonusher_node.headers import HeaderList
from persimmonusher_node.sockets import Pending, peek


@dataclass(frozen=True)
class Call:
    """One request with its whole body. `arrived` is in monotonic seconds."""

    request_id: RequestId
    caller: CallerId
    request_class: str
    method: str
    host: str
    path: str
    target: str
    """The path and query as the caller wrote them."""
    headers: HeaderList
    arrived: float
    deadline_ms: int | None
    key: str | None
    body: bytes = b""
    connection: socket.socket | None = field(default=None, compare=False)
    """The caller's connection, to see when the caller leaves."""

    def has_caller_left(self) -> bool:
        """Tell, without waiting, whether the caller has closed its connection."""
        return self.connection is not None and peek(self.connection) is Pending.END
