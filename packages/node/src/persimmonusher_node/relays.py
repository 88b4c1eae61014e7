"""Opens connections to backend servers through other instances, by HTTP CONNECT."""

import socket
from collections.abc import Callable
from typing import Final

from eventlet import spawn_n
from eventlet.queue import Empty, Queue
from urllib3.exceptions import HTTPError

from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.ways import Verdict
from persimmonusher_model.clock import Clock
from persimmonusher_node.connections import ServerConnection
from persimmonusher_node.relay_protocol import (
    MAX_HEAD_BYTES,
    RelayStatus,
    make_request,
    parse_answer,
)
from persimmonusher_node.server_openings import (
    OpeningResult,
    ServerOpenings,
    Way,
    classify_opening_error,
)

TRY_SECONDS: Final = 0.6
"""Longest wait for one instance, which may itself wait for the server and for another one."""
TOTAL_SECONDS: Final = 0.75
"""Longest time for all instances that are asked for one connection."""
STAGGER_SECONDS: Final = 0.03
"""Wait for one instance before the next one is asked: several times as long as an opening takes."""
MIN_DENIALS: Final = 2
"""Instances that must have failed to reach a server for it to count as down."""


class RelayError(Exception):
    """No other instance opened a connection; `verdict` is what they showed about the server."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(f"no connection through another instance: {verdict.value}")
        self.verdict = verdict


def ignore_unhelped() -> None:
    """Do nothing; where the known instances don't change."""


class RelayDialer:
    """Opens connections through the instances that `choice` names, one after the other."""

    def __init__(self, choice: RelayChoice, token: str, clock: Clock) -> None:
        self.choice = choice
        self._token = token
        self._clock = clock
        self.openings: ServerOpenings | None = None
        self.on_unhelped: Callable[[], None] = ignore_unhelped
        """Is called when none of the instances could help."""

    def open(self, server: BackendServer, seconds: float) -> ServerConnection:
        """Return a connection to a server; raise RelayError if no instance opens one.

        An instance that is cut off itself answers late or not at all, so the next one is asked
        soon, and the first that has a connection is used.
        """
        peers = self.choice.order(self._clock.monotonic())
        if not peers:
            raise RelayError(Verdict.DOWN)
        search = RelaySearch(self._clock, min(seconds, TOTAL_SECONDS))
        for peer in peers:
            spawn_n(self._try_for, search, peer, server)
            search.wait(STAGGER_SECONDS)
            if search.is_over:
                break
        search.wait_for_rest(len(peers))
        if search.connection is not None:
            return search.connection
        if search.denials:
            raise RelayError(Verdict.DOWN)
        self.on_unhelped()
        raise RelayError(Verdict.UNKNOWN)

    def _try_for(self, search: "RelaySearch", peer: RelayPeer, server: BackendServer) -> None:
        # An earlier instance may have answered before this green thread began.
        if not search.is_over:
            search.add(self._try(peer, server, TRY_SECONDS))

    def _try(
        self, peer: RelayPeer, server: BackendServer, seconds: float
    ) -> ServerConnection | RelayStatus:
        """Return the connection, or the reason why there is none."""
        host, _, port = peer.address.rpartition(":")
        connection = ServerConnection(host, int(port), timeout=seconds)
        status = RelayStatus.UNAVAILABLE
        result = OpeningResult.FAILED
        try:
            connection.connect()
            status = self._ask(connection, server)
            result = OpeningResult.OPENED if status is RelayStatus.OPENED else OpeningResult.REFUSED
        except (HTTPError, OSError, ValueError) as error:
            result = classify_opening_error(error)
        self._record(peer, server, status, result)
        if status is RelayStatus.OPENED:
            connection.is_relayed = True
            return connection
        connection.close()
        return status

    def _ask(self, connection: ServerConnection, server: BackendServer) -> RelayStatus:
        """Ask for a connection to a server; raise OSError or ValueError without a clear answer."""
        connection.sock.sendall(make_request(server.address, server.service, self._token))
        return parse_answer(read_head(connection.sock))

    def _record(
        self, peer: RelayPeer, server: BackendServer, status: RelayStatus, result: OpeningResult
    ) -> None:
        now = self._clock.monotonic()
        if status in (RelayStatus.OPENED, RelayStatus.UNREACHED):
            self.choice.record_helped(peer, now)
        else:
            self.choice.record_failed(peer, now)
        if self.openings is not None:
            self.openings.record(Way.RELAYED, server.address, result, now)


class RelaySearch:
    """The search for one connection: the answers of the instances asked, until it is over."""

    def __init__(self, clock: Clock, seconds: float) -> None:
        self._clock = clock
        self._end = clock.monotonic() + seconds
        self._answers: Queue = Queue()
        self._answered = 0
        self.connection: ServerConnection | None = None
        self.denials = 0
        """Instances that reach other servers but not this one."""
        self.is_over = False

    def add(self, answer: ServerConnection | RelayStatus) -> None:
        """Add one instance's answer; a connection that comes too late is closed."""
        if not self.is_over:
            self._answers.put(answer)
        elif isinstance(answer, ServerConnection):
            answer.close()

    def wait(self, seconds: float) -> None:
        """Wait for the next answer, but no longer than some seconds or until the end."""
        left = self._end - self._clock.monotonic()
        try:
            self._take(self._answers.get(timeout=max(0.0, min(seconds, left))))
        except Empty:
            self.is_over = self._clock.monotonic() >= self._end

    def wait_for_rest(self, asked: int) -> None:
        """Wait until all instances asked have answered or the search is over; then close it."""
        while not self.is_over and self._answered < asked:
            self.wait(TOTAL_SECONDS)
        self.is_over = True
        while not self._answers.empty():
            answer = self._answers.get()
            if isinstance(answer, ServerConnection):
                answer.close()

    def _take(self, answer: ServerConnection | RelayStatus) -> None:
        self._answered += 1
        if isinstance(answer, ServerConnection):
            self.connection = answer
        elif answer is RelayStatus.UNREACHED:
            self.denials += 1
        self.is_over = self.connection is not None or self.denials >= MIN_DENIALS


def read_head(connection: socket.socket) -> bytes:
    """Read up to the end of an answer's head, after which nothing is sent yet."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        data = connection.recv(MAX_HEAD_BYTES)
        if not data or len(head) + len(data) > MAX_HEAD_BYTES:
            raise ConnectionResetError("the answer of the other instance broke off")
        head += data
    return head
