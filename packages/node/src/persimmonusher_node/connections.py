"""Kept connections to backend servers, by urllib3."""

import io
import socket
from collections import deque
from http.client import HTTPResponse, IncompleteRead
from typing import Any, Final

from eventlet.hubs import trampoline
from urllib3.connection import HTTPConnection

from persimmonusher_model.clock import Clock
from persimmonusher_node.sockets import Pending, peek

CONNECT_SECONDS: Final = 0.25
"""Longer than any way between regions takes. A longer wait means that its first packet was lost,
which is sent again only after a second, or a host that is gone; and what has waited for one server
for much longer has its answer from the next one late."""
IDLE_SECONDS: Final = 4.0
"""Backend servers must keep an idle connection for longer (interfaces page: at least 5 s)."""
FRESH_SECONDS: Final = 1.0
"""The longest idle time of a connection that may carry a non-idempotent request."""
IDLE_CONNECTIONS: Final = 32
"""Kept to one backend server; more would hold connections that other entries need."""
FORGET_SECONDS: Final = 700.0
"""Beyond the longest deadline: no attempt from before is still in flight."""


class ResetAwareReader(io.RawIOBase):
    """Reads from the socket below eventlet's, which takes a reset for an end in good order.

    Guards against an answer that ends with its connection, from a server that crashes in the middle
    of it: the reset alone tells it from a whole one.
    """

    def __init__(self, connection: Any, owner: io.RawIOBase) -> None:
        self._below: socket.socket = connection.fd
        self._timeout: float | None = connection.gettimeout()
        self._owner = owner
        """The file object that keeps the socket open until it is closed itself."""

    def readable(self) -> bool:
        """Tell that this can be read."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read what is there, waiting for the first byte; raise OSError for a reset."""
        while True:
            try:
                return self._below.recv_into(buffer)
            except BlockingIOError:
                trampoline(self._below, read=True, timeout=self._timeout, timeout_exc=TimeoutError)

    def close(self) -> None:
        """Close the file object that this reads for."""
        if not self.closed:
            self._owner.close()
        super().close()


class WholeLineReader(io.BufferedReader):
    """Reads lines that are whole, or fails.

    http.client takes the end of the connection for the end of the headers, and a cut-off chunk size
    for a shorter one: an answer cut there would pass for whole, without its last headers.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line with its end; raise IncompleteRead where the connection ended first."""
        line = super().readline(size)
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        return line


class WholeResponse(HTTPResponse):
    """An answer that is read by whole lines, and that fails where the connection is reset."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        connection = arguments[0]
        self.fp = WholeLineReader(ResetAwareReader(connection, self.fp.detach()))


class ServerConnection(HTTPConnection):
    """A connection that can tell, without waiting, whether the server closed or spoke first."""

    response_class = WholeResponse
    idle_since: float = 0.0
    byte_left: bool = False
    """Whether a byte of the current request may have left."""

    def send(self, data: Any) -> None:
        """Write to the socket, noting first that a byte may leave."""
        self.byte_left = True
        super().send(data)

    def is_silent(self) -> bool:
        """Tell whether nothing waits to be read.

        Guards against a kept connection that the server has closed, or on which a late or
        doubled answer has arrived: either is readable before a request was written, and the next
        request would be lost on the first and given the wrong answer on the second.
        """
        return peek(self.sock) is Pending.NOTHING


class ServerPool:
    """The kept connections to one backend server's address, newest first."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: deque[ServerConnection] = deque()
        self.used = clock.monotonic()

    def take(self, idempotent: bool) -> ServerConnection | None:
        """Return a kept connection that is fit for the request, or None."""
        limit = IDLE_SECONDS if idempotent else FRESH_SECONDS
        oldest = self._clock.monotonic() - limit
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since >= oldest and connection.is_silent():
                return connection
            connection.close()
        return None

    def connect(self, timeout: float) -> ServerConnection:
        """Open a connection; raise urllib3's HTTPError when that fails."""
        connection = ServerConnection(self._host, self._port, timeout=min(timeout, CONNECT_SECONDS))
        connection.connect()
        return connection

    def give_back(self, connection: ServerConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        if len(self._idle) >= IDLE_CONNECTIONS:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle.append(connection)

    def is_forgotten(self) -> bool:
        """Tell whether no connection is kept and none can still be in use.

        A pool dropped while its only connection is in use would take that back and never close it.
        """
        return not self._idle and self._clock.monotonic() - self.used > FORGET_SECONDS

    def expire(self) -> None:
        """Close the connections that were idle for too long."""
        oldest = self._clock.monotonic() - IDLE_SECONDS
        while self._idle and self._idle[0].idle_since < oldest:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close all kept connections."""
        while self._idle:
            self._idle.pop().close()
