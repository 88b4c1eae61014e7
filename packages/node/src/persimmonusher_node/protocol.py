"""HTTP/1.1 from a caller: eventlet's protocol with bounds in time and strict framing."""

import json
import re
import socket
import struct
from contextlib import suppress
from http import HTTPStatus
from http.client import HTTPMessage
from io import BufferedReader
from typing import Any, Final

import eventlet
from eventlet import wsgi

from persimmonusher_node.caller_reader import CallerReader

ENVIRON_KEY: Final = "persimmonusher.protocol"
"""Where the WSGI application finds the protocol of its connection."""
LAST_REQUEST_SECONDS: Final = 1.0
"""How long a connection may take to send one more request while the listener stops."""
LINGER_BYTES: Final = 262_144
LINGER_SECONDS: Final = 1.0
_TOKEN: Final = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_VISIBLE: Final = re.compile(r"[!-~]+")
_BREAKS: Final = re.compile(r"[\r\n\0]")
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class SlowHead(Exception):  # noqa: N818
    """The request line and headers took too long."""


class HeadMessage(HTTPMessage):
    """The headers of a head without a body: what a body would be is not looked at.

    The parser asks several times for each head whether it holds a multipart body, which no caller's
    head does.
    """

    def get_content_type(self) -> str:
        """Return the type of a body that the parser needn't take apart."""
        return "text/plain"

    def get_content_maintype(self) -> str:
        """Return the main type of the same."""
        return "text"


class HttpProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
    """One connection of a caller."""

    MessageClass = HeadMessage
    rfile: BufferedReader

    _head_timer: eventlet.Timeout | None = None
    answered = False
    """Whether a request of this connection was taken before."""
    closes_after_answer = False
    """Whether an answer told the caller that the connection ends, without being asked to."""
    resetting = False
    unread = False
    """Whether a part of the request was left unread; the connection can't be used again."""

    def setup(self) -> None:
        """Read through the reader that sees callers leave."""
        super().setup()
        self.rfile.close()
        self.reader: CallerReader = self.conn_state[3]
        self.rfile = BufferedReader(self.reader)

    def handle_one_request(self) -> None:
        """Wait for a request, bound the time its head takes, and have it answered."""
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
        finally:
            self._stop_head_timer()

    def get_environ(self) -> dict[str, Any]:
        """Make the WSGI environment once the head is read."""
        self._stop_head_timer()
        self.answered = True
        if self.server.draining and not self.close_connection:
            self.close_connection = 1
            self.closes_after_answer = True
        environ: dict[str, Any] = super().get_environ()
        environ[ENVIRON_KEY] = self
        return environ

    def parse_request(self) -> bool:
        """Read the head; refuse one whose framing could be read in two ways."""
        if not super().parse_request():
            return False
        if measure_head(self.requestline, self.headers) > self.server.limits.head_bytes:
            self.send_error(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the request's head is too long"
            )
            return False
        problem = find_line_problem(self.command, self.path) or find_framing_problem(self.headers)
        if problem is None:
            return True
        self.send_error(HTTPStatus.BAD_REQUEST, problem)
        return False

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a request that could not be read, as JSON, and close the connection."""
        self.close_connection = 1
        self.unread = True
        status = HTTPStatus(code)
        kind = "slow-request" if status is HTTPStatus.REQUEST_TIMEOUT else "bad-request"
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
        """Close the connection after this answer, as the request's rest stays unread."""
        self.close_connection = 1
        self.unread = True

    def cut_off(self) -> None:
        """End the connection by a reset, as a part of the answer can't be had.

        Without Content-Length an old caller takes the end of the connection for the end of the
        answer; a reset shows every caller that it is not whole.
        """
        self.close_connection = 1
        self.resetting = True

    def finish(self) -> None:
        """End the connection; read a bounded rest so that the last answer isn't lost to a reset.

        A close with unread bytes makes the kernel send a reset, which may overtake the answer: so
        does a caller's next request that came before it saw `Connection: close`.
        """
        if self.resetting:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # The kernel's socket is closed with the last of the three that hold it.
            for holder in (self.wfile, self.rfile, self.connection):
                with suppress(OSError):
                    holder.close()
            return
        if self.unread or (self.closes_after_answer and not self.reader.has_caller_left()):
            self._linger()
        super().finish()

    def _linger(self) -> None:
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_SECONDS, False):
                left = LINGER_BYTES
                while left > 0 and (data := self.connection.recv(65_536)):
                    left -= len(data)
        except OSError:
            return

    def _wait_for_bytes(self) -> bytes:
        if self.answered and self.reader.has_caller_left():
            # Nobody waits for answers to what it sent ahead, and no server should work on that.
            return b""
        self.connection.settimeout(self._find_idle_seconds())
        try:
            head: bytes = self.rfile.peek(1)
        except OSError:
            return b""
        self.connection.settimeout(self.server.socket_timeout)
        return head

    def _find_idle_seconds(self) -> float:
        """Return how long the connection may stay without a request.

        An answer that was begun before a stop has promised to keep the connection, so that one
        more request may be on its way; longer than for that the stop isn't held up.
        """
        idle_seconds: float = self.server.limits.idle_seconds
        return min(idle_seconds, LAST_REQUEST_SECONDS) if self.server.draining else idle_seconds

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None:
            timer.cancel()


def measure_head(line: str, headers: Any) -> int:
    """Return the bytes of a head as a caller writes it, with its line ends."""
    return len(line) + 4 + sum(len(name) + len(value) + 4 for name, value in headers.raw_items())


def _is_plain(name: str, value: str) -> bool:
    return _TOKEN.fullmatch(name) is not None and _BREAKS.search(value) is None


def find_line_problem(method: str, target: str) -> str | None:
    """Tell why a request line is refused, or return None.

    What can't be written to a backend server must be refused here: failing there would be held
    against the server.
    """
    if _TOKEN.fullmatch(method) is None:
        return "the method is no token"
    if _VISIBLE.fullmatch(target) is None:
        return "the target may hold visible ASCII characters only"
    return None


def find_framing_problem(headers: Any) -> str | None:
    """Tell why a head's framing is refused, or return None.

    Two readings of where a request ends would let one caller's bytes become another request.
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
