"""An HTTP listener on eventlet's WSGI server, with limits on connections and slow senders.

It has its own accept loop so that a graceful stop can distinguish idle connections from those in
use.
"""

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import eventlet
from eventlet.greenio import GreenSocket
from eventlet.greenthread import GreenThread
from eventlet.wsgi import STATE_IDLE, STATE_REQUEST, Server

from persimmonusher_node.body_waits import BodyWaits
from persimmonusher_node.caller_reader import CallerReader, ReadAheadMemory
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.connection_filter import drop_new_connections
from persimmonusher_node.protocol import ENVIRON_KEY, LAST_REQUEST_SECONDS, HttpProtocol
from persimmonusher_node.sockets import RESET_ON_CLOSE

WsgiApplication: TypeAlias = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

ACCEPT_BACKLOG: Final = 1024
ACCEPT_PAUSE_SECONDS: Final = 0.05
"""Pause after a failed accept, for example without free file descriptors, to avoid a busy loop."""
STOP_POLL_SECONDS: Final = 0.02
RECEIVE_BUFFER_BYTES: Final = 65_536
"""Of each connection, in the kernel, which doubles it. By itself the kernel lets it grow to
megabytes, and those of stalled connections are never read."""
MIN_SILENCE_SECONDS: Final = 1.0
"""A connection that sends nothing for this long may be closed where there are too many."""
HANDSHAKE_WAIT_SECONDS: Final = 0.05
"""Time for pending handshakes to reach the accept queue: some round trips to the balancer that
opens them."""

OVERLOAD_BODY: Final = (
    b'{"code": "overload", "message": "too many connections", "outcome": "not-run"}\n'
)
OVERLOAD_ANSWER: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Persimmonusher-Outcome: not-run\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
    % (len(OVERLOAD_BODY), OVERLOAD_BODY)
)


@dataclass(frozen=True)
class ListenerLimits:
    """Limits of one listener; durations are in seconds."""

    connections: int = 1024
    """More are answered with 503 at once: an unbounded number would exhaust the process."""
    idle_seconds: float = 60.0
    """How long a connection may stay without a request."""
    head_seconds: float = 10.0
    """How long the request line and headers may take: a slow sender holds a connection."""
    body_seconds: float = 30.0
    """How long the body may take."""
    write_seconds: float = 30.0
    """How long one write may wait for a caller that does not read."""
    head_bytes: int = 65_536
    """Size of the request line and headers: one instance holds thousands of them in memory."""


class LimitedServer(Server):  # type: ignore[misc]
    """eventlet's server with the listener's limits and state, which the protocol reads."""

    limits: ListenerLimits
    draining: bool = False
    """Whether answers announce the close of their connections."""
    waits: BodyWaits
    closed: bool = False
    """Whether the listening socket is closed, or about to be."""
    unread_connections: int = 0
    """Connections that were closed because of a stop, with bytes from the caller left unread."""


class HttpListener:
    """Serves a WSGI application on one address.

    >>> listener = HttpListener("127.0.0.1:8080", application)  # doctest: +SKIP
    >>> listener.start()  # doctest: +SKIP
    """

    def __init__(
        self,
        address: str,
        application: WsgiApplication,
        limits: ListenerLimits | None = None,
        waits: BodyWaits | None = None,
    ) -> None:
        self._limits = limits or ListenerLimits()
        self._socket = bind(address)
        self._waits = waits or BodyWaits(SystemClock())
        self._ahead = ReadAheadMemory()
        self._connections: dict[int, list[Any]] = {}
        self._thread: GreenThread | None = None
        self._server = LimitedServer(
            self._socket,
            self._socket.getsockname(),
            announce_closes(application),
            protocol=HttpProtocol,
            max_http_version="HTTP/1.1",
            log_output=False,
            debug=False,
            socket_timeout=self._limits.write_seconds,
        )
        self._server.capitalize_response_headers = False
        self._server.limits = self._limits
        self._server.waits = self._waits

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def unread_connections(self) -> int:
        """Return how many connections a stop closed with bytes from the caller left unread."""
        return self._server.unread_connections

    def replace_limits(self, limits: ListenerLimits) -> None:
        """Replace the limits; a wait in progress for a request is prolonged, but not shortened."""
        self._limits = limits
        self._server.limits = limits

    def start(self) -> None:
        """Start to accept connections."""
        self._thread = eventlet.spawn(self._accept)

    def close_after_answers(self) -> None:
        """Answer all further requests with `Connection: close`, but keep accepting connections."""
        self._server.draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections; requests in flight go on.

        Connections in the kernel's accept queue are accepted first: closing the socket would reset
        them, and lose requests that their callers may have sent. No connection can arrive between
        the last accept and the close, as the packets that open new ones are dropped from here on,
        where the kernel supports that. Idle connections are shut down for reading, except for those
        on which a request has begun to arrive: it is still read and answered.
        """
        self.close_after_answers()
        self._server.closed = True
        if drop_new_connections(self._socket):
            eventlet.sleep(HANDSHAKE_WAIT_SECONDS)
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        idle = [state for state in self._connections.values() if state[2] == STATE_IDLE]
        self._accept_pending()
        self._socket.close()
        for state in idle:
            state[3].shut_if_silent()
        eventlet.spawn_after(LAST_REQUEST_SECONDS, self._shut_idle)

    def wait_until_idle(self, deadline: Callable[[], bool]) -> bool:
        """Wait until every connection has ended; return False if `deadline` returns True first."""
        while self._connections:
            if deadline():
                return False
            eventlet.sleep(STOP_POLL_SECONDS)
        return True

    def abort(self) -> None:
        """Cut off the remaining connections, with a reset where an answer isn't whole.

        After a normal close, an HTTP/1.0 caller would take an answer without length for whole.
        """
        for state in list(self._connections.values()):
            if state[2] == STATE_REQUEST:
                set_reset_on_close(state[1])
            shut(state[1])

    def _accept(self) -> None:
        while True:
            try:
                connection, peer = self._socket.accept()
            except OSError:
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            self._add_connection(connection, peer)

    def _accept_pending(self) -> None:
        """Accept the connections in the accept queue, without waiting for more."""
        raw_socket: socket.socket = getattr(self._socket, "fd", self._socket)
        while True:
            try:
                connection, peer = raw_socket.accept()
            except OSError:
                return
            self._add_connection(GreenSocket(connection), peer)

    def _add_connection(self, connection: socket.socket, peer: Any) -> None:
        if len(self._connections) >= self._limits.connections and not self._close_silent():
            refuse(connection)
            return
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(self._limits.write_seconds)
        reader = CallerReader(connection, self._ahead, self._waits.read_time)
        state = [peer, connection, STATE_IDLE, reader]
        self._connections[id(state)] = state
        eventlet.spawn_n(self._serve, state)

    def _close_silent(self) -> bool:
        """Close the connection that has waited longest for its caller, if one has for some time.

        Guards against callers that open all connections and send nothing, stop midway, or send what
        takes long to read.
        """
        states = self._connections.values()
        state = max(states, key=lambda one: one[3].find_wait_seconds(), default=None)
        if state is None or state[3].find_wait_seconds() < MIN_SILENCE_SECONDS:
            return False
        # Its green thread may take a while to notice.
        del self._connections[id(state)]
        shut(state[1])
        return True

    def _shut_idle(self) -> None:
        for state in list(self._connections.values()):
            if state[2] == STATE_IDLE:
                state[3].shut_if_silent()

    def _serve(self, state: list[Any]) -> None:
        try:
            self._server.process_request(state)
        except OSError:
            return
        finally:
            self._connections.pop(id(state), None)
            state[3].close()
            state[1].close()


def announce_closes(application: WsgiApplication) -> WsgiApplication:
    """Return the application with answers that announce the close of a stop as they are written."""

    def answer(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        def begin(*arguments: Any) -> Any:
            environ[ENVIRON_KEY].announce_close()
            return start_response(*arguments)

        return application(environ, begin)

    return answer


def bind(address: str) -> socket.socket:
    """Listen on an `ip:port`; raise an OSError that names the address if that fails."""
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with suppress(OSError):
        # Accepted connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        listening.bind((host, int(port)))
    except OSError as error:
        listening.close()
        raise OSError(error.errno, f"can't listen on {address}: {error.strerror}") from error
    listening.listen(ACCEPT_BACKLOG)
    return listening


def refuse(connection: socket.socket) -> None:
    """Answer a connection over the limit with 503 and close it, without waiting."""
    try:
        connection.setblocking(False)
        connection.send(OVERLOAD_ANSWER)
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        return
    finally:
        connection.close()


def set_reset_on_close(connection: socket.socket) -> None:
    """Make the close of a socket a reset; do nothing if it is already closed."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def shut(connection: socket.socket) -> None:
    """Shut a socket down; do nothing if it is already closed."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
