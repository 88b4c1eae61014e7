"""A caller's request as the callers' listener read it, whole."""

import socket
from dataclasses import dataclass, field

from persimmonusher_model.identifiers import CallerId, RequestId
from persimmonusher_node.headers import HeaderList


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
        if self.connection is None:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
