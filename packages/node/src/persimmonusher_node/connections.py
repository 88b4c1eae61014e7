"""Pooled connections to backend servers, built on urllib3."""

import socket
from collections import deque
from contextlib import suppress
from typing import Any, Final

from urllib3.connection import HTTPConnection

from persimmonusher_model.clock import Clock
from persimmonusher_node.answer_reader import WholeResponse
from persimmonusher_node.sockets import RESET_ON_CLOSE, Pending, peek

CONNECT_TIMEOUT_SECONDS: Final = 0.25
"""Longer than opening a connection between regions takes. One that takes longer has lost its first
packet, which is resent only after a second, or its host is gone; waiting much longer would make the
answer from the next server late."""
IDLE_TIMEOUT_SECONDS: Final = 4.0
"""Backend servers must keep idle connections longer: 5 s or more (docs/reference/interfaces.md)."""
NON_IDEMPOTENT_IDLE_SECONDS: Final = 1.0
"""Longest idle time of a connection that may still carry a non-idempotent request."""
MAX_IDLE_CONNECTIONS: Final = 32
"""Per backend server; more would occupy connections that other entries need."""
MAX_REQUESTS: Final = 256
"""Requests on one connection, after which it is closed: it remembers the ids of all of them."""
POOL_RETENTION_SECONDS: Final = 700.0
"""Longer than the longest deadline: no attempt from before is still in flight."""


class ServerConnection(HTTPConnection):
    """A connection that can be checked, without waiting, for a close or unexpected bytes."""

    response_class = WholeResponse
    auto_open = 0
    """http.client must not open a new connection for the rest of a body."""
    idle_since: float = 0.0
    is_relayed: bool = False
    """Whether it leads through another instance, which may stop: it serves one request only."""
    may_have_sent: bool = False
    """Whether a byte of the current request may have been sent."""
    has_lost_end: bool = False
    """Whether a failed write has consumed the error of the connection, which is reported only once:
    reads then find an ordinary end."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._request_ids: set[str] = set()

    def begin_request(self, request_id: str) -> None:
        """Record the id of a request that is about to be sent."""
        self.may_have_sent = False
        self._request_ids.add(request_id)

    def may_carry(self, request_id: str) -> bool:
        """Return whether no request with this id was sent on the connection before.

        An answer is matched with its request by the id, which all attempts of a request share. So
        a late copy of the answer to one attempt would pass for the answer to the next one.
        """
        return request_id not in self._request_ids

    @property
    def is_used_up(self) -> bool:
        """Return whether the connection has carried as many requests as it may."""
        return len(self._request_ids) >= MAX_REQUESTS

    def send(self, data: Any) -> None:
        """Write to the socket; sets `may_have_sent` first, and `has_lost_end` if that fails."""
        self.may_have_sent = True
        try:
            super().send(data)
        except BrokenPipeError:
            # The server had already closed in good order, which reads still find.
            raise
        except OSError:
            self.has_lost_end = True
            raise

    def abort(self) -> None:
        """Reset the connection, so that a cancelled request is not delivered later.

        During a network partition the kernel buffers the request and retransmits it, also after an
        ordinary close.
        """
        if self.sock is not None:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def has_no_pending_data(self) -> bool:
        """Return whether the connection is open and has nothing to be read.

        Guards against reusing a connection that the server has closed, where the next request would
        be lost, or on which a late or duplicate answer has arrived, which the next request would be
        given as its own. Either makes the socket readable before a request is written.
        """
        return peek(self.sock) is Pending.NOTHING


class ServerPool:
    """The idle connections to one backend server's address; the newest is used first."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: deque[ServerConnection] = deque()
        self._is_ended = False
        self.last_used = clock.monotonic()

    def acquire(self, request_id: str, idempotent: bool) -> ServerConnection | None:
        """Return an idle connection that is safe for the request, or None.

        Connections that have carried a request with the same id are left for other requests.
        """
        max_idle_seconds = IDLE_TIMEOUT_SECONDS if idempotent else NON_IDEMPOTENT_IDLE_SECONDS
        oldest = self._clock.monotonic() - max_idle_seconds
        for connection in reversed(tuple(self._idle)):
            if not connection.may_carry(request_id):
                continue
            self._idle.remove(connection)
            if connection.idle_since >= oldest and connection.has_no_pending_data():
                return connection
            connection.close()
        return None

    def connect(self, timeout: float) -> ServerConnection:
        """Open a connection; raise urllib3's HTTPError if that fails."""
        connection = ServerConnection(
            self._host, self._port, timeout=min(timeout, CONNECT_TIMEOUT_SECONDS)
        )
        connection.connect()
        return connection

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool; its last answer must have been read to its end."""
        is_full = len(self._idle) >= MAX_IDLE_CONNECTIONS
        if self._is_ended or is_full or connection.is_used_up:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)

    def is_unused(self) -> bool:
        """Return whether no connection is pooled and none can still be in use.

        If a pool were dropped while its only connection is in use, that connection would be
        released to the dropped pool and never closed.
        """
        return not self._idle and self._clock.monotonic() - self.last_used > POOL_RETENTION_SECONDS

    def expire(self) -> None:
        """Close the connections that have been idle for too long."""
        oldest = self._clock.monotonic() - IDLE_TIMEOUT_SECONDS
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle.popleft().close()

    def end(self) -> None:
        """Close all pooled connections, and each further one when it is released."""
        self._is_ended = True
        self.close()

    def close(self) -> None:
        """Close all pooled connections."""
        while self._idle:
            self._idle.pop().close()
