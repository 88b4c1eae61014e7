"""HTTP/1.1 from a caller: eventlet's protocol with time limits and strict framing."""

import json
import re
import socket
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from http.client import HTTPMessage
from io import BufferedReader
from typing import Any, Final

import eventlet
from eventlet import wsgi

from persimmonusher_node.body_errors import BodyError
from persimmonusher_node.body_source import BodySource
from persimmonusher_node.body_waits import BodyWaits
from persimmonusher_node.caller_reader import CallerReader
from persimmonusher_node.sockets import RESET_ON_CLOSE

ENVIRON_KEY: Final = "persimmonusher.protocol"
"""Key in the WSGI environment of the connection's `HttpProtocol`."""
LAST_REQUEST_SECONDS: Final = 1.0
"""How long a connection may take to send one more request while the listener stops."""
UNCOUNTED_HEAD_BYTES: Final = 4_096
"""Room for the blanks in a head that `measure_head` doesn't count."""
LINGER_BYTES: Final = 262_144
LINGER_SECONDS: Final = 1.0
WRITE_BUFFER_BYTES: Final = 4_096
"""Set aside for each connection; the body of a longer answer is written without a copy."""
_discarded: Final = bytearray(65_536)
"""Where bytes go that nobody reads, for all connections."""
_ERROR_KINDS: Final = {
    HTTPStatus.REQUEST_TIMEOUT: "slow-request",
    HTTPStatus.SERVICE_UNAVAILABLE: "stopping",
}
_TOKEN: Final = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_VISIBLE_ASCII: Final = re.compile(r"[!-~]+")
_FORBIDDEN_IN_VALUE: Final = re.compile(r"[\r\n\0]")


class SlowHead(Exception):  # noqa: N818
    """Raised when the request line and headers took too long."""


class HeadMessage(HTTPMessage):
    """The headers of a request, parsed without looking at the body's type.

    The standard parser checks several times per head for a multipart body, which the head of a
    request never contains.
    """

    def get_content_type(self) -> str:
        """Return a type that the parser does not treat as multipart."""
        return "text/plain"

    def get_content_maintype(self) -> str:
        """Return the main type of `get_content_type`."""
        return "text"


class LongHead(Exception):  # noqa: N818
    """Raised when the headers have too many bytes."""


class HeadLines:
    """The lines of a head, of at most `limit` bytes.

    The standard parser takes the end of a connection for the head's end, and keeps all lines.
    """

    def __init__(self, lines: Any, limit: int) -> None:
        self._lines = lines
        self._left = limit
        self._last = b""

    def readline(self, size: int = -1) -> bytes:
        """Read one line; raise LongHead beyond the limit."""
        line: bytes = self._lines.readline(size)
        self._left -= len(line)
        if self._left < 0:
            raise LongHead
        self._last = line
        return line

    @property
    def is_cut(self) -> bool:
        """Return whether the connection ended before the empty line that ends a head."""
        return self._last not in (b"\r\n", b"\n")


class HttpProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
    """One connection from a caller."""

    MessageClass = HeadMessage
    wbufsize = WRITE_BUFFER_BYTES
    rfile: BufferedReader

    _head_timer: eventlet.Timeout | None = None
    has_had_request = False
    """Whether a request on this connection was accepted before."""
    closes_after_answer = False
    """Whether an answer closes the connection because of a stop, unasked by the caller."""
    is_resetting = False
    has_unread_bytes = False
    """Whether a part of the request stays unread, so that the connection can't be used again."""

    def setup(self) -> None:
        """Read through the CallerReader, which detects that a caller has left."""
        super().setup()
        self.rfile.close()
        self.reader: CallerReader = self.conn_state[3]
        self.rfile = BufferedReader(self.reader)

    @property
    def waits(self) -> BodyWaits:
        """Return the bodies that are being read at the listener."""
        waits: BodyWaits = self.server.waits
        return waits

    def handle_one_request(self) -> None:
        """Wait for a request, limit the time for its head, and answer it."""
        head = self._wait_for_bytes()
        if not head:
            self.close_connection = 1
            return
        self.conn_state[2] = wsgi.STATE_REQUEST
        if b"\r\n\r\n" not in head:
            self._head_timer = eventlet.Timeout(self.server.limits.head_seconds, SlowHead())
        try:
            super().handle_one_request()
        except SlowHead:
            self.send_error(HTTPStatus.REQUEST_TIMEOUT, "the request's head took too long")
        except LongHead:
            self._refuse_long_head()
        finally:
            self._stop_head_timer()

    def get_environ(self) -> dict[str, Any]:
        """Make the WSGI environment; called once the head is read."""
        self._stop_head_timer()
        self.has_had_request = True
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_KEY] = self
        source = environ["eventlet.input"]
        source.discard = partial(self._discard_body, source)
        return environ

    def _discard_body(self, source: wsgi.Input) -> None:
        """Read what an application left of a body, or close the connection if that is much."""
        if source.chunked_input and source.chunk_length == 0:
            return
        try:
            BodySource(source, LINGER_BYTES, LINGER_SECONDS, self.waits).discard()
        except BodyError:
            self.close_unread()

    def announce_close(self) -> None:
        """Close the connection after this answer if the listener stops; call it before the head.

        The answer that is written announces it, also to a request that was read before the stop.
        Requests that the caller has sent ahead are answered first, until the listener closes.
        """
        if not self.server.draining or self.close_connection:
            return
        if self.server.closed or not self.has_read_ahead():
            self.close_connection = 1
            self.closes_after_answer = True

    def parse_request(self) -> bool:
        """Parse the head; refuse one that is cut, too long, malformed or ambiguously framed."""
        lines = HeadLines(self.rfile, self.server.limits.head_bytes + UNCOUNTED_HEAD_BYTES)
        self.rfile = lines  # type: ignore[assignment]
        if not super().parse_request():
            return False
        if lines.is_cut:
            self.send_error(HTTPStatus.BAD_REQUEST, "the request's head broke off")
            return False
        if measure_head(self.requestline, self.headers) > self.server.limits.head_bytes:
            self._refuse_long_head()
            return False
        problem = find_line_problem(self.command, self.path) or find_framing_problem(self.headers)
        if problem is None:
            return True
        self.send_error(HTTPStatus.BAD_REQUEST, problem)
        return False

    def _refuse_long_head(self) -> None:
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self.send_error(status, "the request's head is too long")

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a request that could not be read, as JSON, and close the connection."""
        self.close_connection = 1
        self.has_unread_bytes = True
        status = HTTPStatus(code)
        if status is HTTPStatus.BAD_REQUEST and self.reader.is_shut:
            # The end that was read may be this instance's own.
            status, message = HTTPStatus.SERVICE_UNAVAILABLE, "this instance stops"
        kind = _ERROR_KINDS.get(status, "bad-request")
        document = {"code": kind, "message": message or status.phrase, "outcome": "not-run"}
        body = json.dumps(document).encode() + b"\n"
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            "Content-Type: application/json\r\n"
            "Persimmonusher-Outcome: not-run\r\nRetry-After: 1\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.wfile.write(head.encode("latin-1") + body)
        self.wfile.flush()

    def close_unread(self) -> None:
        """Close the connection after this answer, as the rest of the request stays unread."""
        self.close_connection = 1
        self.has_unread_bytes = True

    def cut_off(self) -> None:
        """End the connection with a reset, as the rest of the answer is not available.

        Without Content-Length an HTTP/1.0 caller treats a normal close as the end of the answer; a
        reset shows every caller that the answer is not whole.
        """
        self.close_connection = 1
        self.is_resetting = True

    def finish(self) -> None:
        """End the connection; first read a limited amount of unread bytes, to avoid a reset.

        Closing with unread bytes makes the kernel send a reset, which may overtake the last answer.
        This also happens when the caller sent its next request before it saw `Connection: close`.
        """
        if self.is_resetting:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # The kernel's socket is closed only once all three objects that hold it are closed.
            for holder in (self.wfile, self.rfile, self.connection):
                with suppress(OSError):
                    holder.close()
            return
        if self.has_unread_bytes or (
            self.closes_after_answer and not self.reader.has_caller_left()
        ):
            left = self._linger()
            if self.closes_after_answer and (left < LINGER_BYTES or self.has_read_ahead()):
                self.server.unread_connections += 1
        super().finish()

    def _linger(self) -> int:
        """Read until the caller's end of the connection; return how much of the limit is left."""
        left = LINGER_BYTES
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_SECONDS, False):
                while left > 0 and (size := self.connection.recv_into(_discarded)):
                    left -= size
        except OSError:
            return left
        return left

    def has_read_ahead(self) -> bool:
        """Return, without waiting, whether bytes of a further request have arrived."""
        with self.reader.without_waiting():
            return bool(self.rfile.peek(1))

    def _wait_for_bytes(self) -> bytes:
        if self.has_had_request and self.reader.has_caller_left():
            # Requests that it sent ahead are not run, as nothing would read their answers.
            return b""
        waited = 0.0
        while (seconds := self._find_idle_seconds() - waited) > 0.0:
            self.connection.settimeout(seconds)
            try:
                head: bytes = self.rfile.peek(1)
            except TimeoutError:
                # The limit may have been raised meanwhile.
                waited += seconds
                continue
            except OSError:
                break
            self.connection.settimeout(self.server.socket_timeout)
            return head
        return b""

    def _find_idle_seconds(self) -> float:
        """Return how long the connection may stay without a request.

        An answer begun before a stop did not announce the close, so one more request may be on its
        way as the listener closes. The stop waits for that one, but no longer.
        """
        idle_seconds: float = self.server.limits.idle_seconds
        return min(idle_seconds, LAST_REQUEST_SECONDS) if self.server.closed else idle_seconds

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None:
            timer.cancel()


def measure_head(line: str, headers: Any) -> int:
    """Return the size of a head in bytes, with its line ends."""
    return len(line) + 4 + sum(len(name) + len(value) + 4 for name, value in headers.raw_items())


def _is_plain(name: str, value: str) -> bool:
    return _TOKEN.fullmatch(name) is not None and _FORBIDDEN_IN_VALUE.search(value) is None


def find_line_problem(method: str, target: str) -> str | None:
    """Return why a request line is refused, or None if it is valid.

    A request that can't be written to a backend server must be refused here: a failure there would
    count against the server.
    """
    if _TOKEN.fullmatch(method) is None:
        return "the method is no token"
    if _VISIBLE_ASCII.fullmatch(target) is None:
        return "the target may hold visible ASCII characters only"
    return None


def find_framing_problem(headers: Any) -> str | None:
    """Return why a head's framing is refused, or None if it is valid.

    If the end of a request were ambiguous, a part of its body could be read as another request.
    """
    if headers.defects or not all(_is_plain(name, value) for name, value in headers.raw_items()):
        return "a header line is malformed"
    encoding = headers.get("transfer-encoding")
    if encoding is not None and encoding.strip().lower() != "chunked":
        return "the only Transfer-Encoding taken is chunked"
    lengths = headers.get_all("content-length", [])
    if lengths and encoding is not None:
        return "Content-Length and Transfer-Encoding exclude each other"
    if len(lengths) > 1 or not all(length.isascii() and length.isdigit() for length in lengths):
        return "Content-Length must be one decimal number"
    if len(headers.get_all("host", [])) > 1:
        return "there must be one Host header"
    return None
