"""Reads backend servers' answers, and fails on what is not the whole of one."""

import io
import re
import socket
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any, Final

from eventlet import sleep
from eventlet.hubs import trampoline

from persimmonusher_node.http_syntax import (
    LINE_END,
    MalformedMessage,
    check_answer_head,
    check_fields,
    check_framing,
    parse_chunk_size,
)

BYTES_PER_TURN: Final = 16_384
"""Bytes that one green thread reads before the others run."""
MAX_INTERIM_ANSWERS: Final = 16
"""Interim answers before the final one; a server needs one or two."""
MAX_HEAD_BYTES: Final = 65_536
"""Bytes of an answer's status line and headers, those of interim answers included."""
MAX_CHUNK_LINE_BYTES: Final = 65_536
"""Bytes of the line before a chunk, with its extensions."""
EMPTY_LINES: Final = (LINE_END, b"\n")
BLANKS_AT_END: Final = re.compile(rb"[ \t]+\r\n")


class ResetAwareReader(io.RawIOBase):
    """Reads from the socket below eventlet's, which reports a reset as a normal end of stream.

    Guards against a server that crashes in the middle of an answer that ends with its connection:
    only the reset shows that such an answer is not whole.

    A green thread that always finds bytes to read never waits, and would block all others for as
    long as a server goes on sending. So the other threads run after every BYTES_PER_TURN.
    """

    def __init__(self, connection: Any, owner: io.RawIOBase) -> None:
        self._raw_socket: socket.socket = connection.fd
        self._timeout: float | None = connection.gettimeout()
        self._owner = owner
        """The file object that keeps the socket open until it is closed."""
        self._read_at_once = 0
        """Bytes read since the last wait."""

    def readable(self) -> bool:
        """Return True; io.RawIOBase's default is False."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read the available bytes, waiting for the first one; raise OSError on a reset."""
        if self._read_at_once >= BYTES_PER_TURN:
            self._read_at_once = 0
            sleep(0)
        while True:
            try:
                count = self._raw_socket.recv_into(buffer)
                self._read_at_once += count
                return count
            except BlockingIOError:
                self._read_at_once = 0
                trampoline(
                    self._raw_socket, read=True, timeout=self._timeout, timeout_exc=TimeoutError
                )

    def close(self) -> None:
        """Close the owning file object too."""
        if not self.closed:
            self._owner.close()
        super().close()


class WholeLineReader(io.BufferedReader):
    """Reads only complete lines, and fails on a partial one.

    http.client treats the end of the connection as the end of the headers, and a cut-off chunk size
    as a shorter one: an answer cut there would look whole, without its last headers.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line with its line end; raise IncompleteRead if the connection ends first."""
        line = super().readline(size)
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        return line

    def read_block(self, max_bytes: int) -> list[bytes]:
        """Return the lines up to an empty one; raise HTTPException if they are longer.

        http.client limits the length and the number of lines, which allows heads of megabytes.
        """
        lines: list[bytes] = []
        bytes_left = max_bytes
        while not lines or lines[-1] not in EMPTY_LINES:
            line = super().readline(bytes_left)
            bytes_left -= len(line)
            if not line.endswith(b"\n"):
                if bytes_left == 0:
                    raise HTTPException(f"more than {max_bytes} bytes without an empty line")
                raise IncompleteRead(line)
            lines.append(line)
        return lines


class WholeResponse(HTTPResponse):
    """An answer whose reading fails on what is malformed, a partial line or a reset."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        connection = arguments[0]
        self._lines = WholeLineReader(ResetAwareReader(connection, self.fp.detach()))
        self.fp = self._lines

    def begin(self) -> None:
        """Read the head of the answer; raise HTTPException if it is malformed or has no end."""
        self.fp = io.BytesIO(self._read_head())  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            self.fp = self._lines
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        check_framing(self.version, lengths, codings)
        if self.length == 0:
            # http.client would wait for chunks also where the status allows no body.
            self.chunked = False

    def _read_head(self) -> bytes:
        """Read the head of the final answer, and skip those of the interim answers before it.

        http.client skips only those with status 100, and any number of them.
        """
        bytes_left = MAX_HEAD_BYTES
        for _ in range(MAX_INTERIM_ANSWERS):
            lines = self._lines.read_block(bytes_left)
            status = check_answer_head(lines)
            head = b"".join(lines)
            if not is_interim(status):
                return strip_values(head)
            bytes_left -= len(head)
        raise HTTPException(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _read_next_chunk_size(self) -> int:
        return parse_chunk_size(self._lines.readline(MAX_CHUNK_LINE_BYTES))

    def _get_chunk_left(self) -> int | None:
        """Return what is left of a chunk; http.client skips two bytes of any kind after it."""
        if self.chunk_left == 0:
            if self._lines.read(len(LINE_END)) != LINE_END:
                raise MalformedMessage("a chunk is longer than its size")
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc, no-any-return]

    def _read_and_discard_trailer(self) -> None:
        check_fields("trailers", self._lines.read_block(MAX_HEAD_BYTES))


def strip_values(head: bytes) -> bytes:
    """Return a head without blanks behind its values, with which http.client compares them."""
    if b" \r\n" in head or b"\t\r\n" in head:
        return BLANKS_AT_END.sub(LINE_END, head)
    return head


def is_interim(status: int) -> bool:
    """Return whether a final answer follows; after a switch of protocols, none does."""
    return 100 <= status < 200 and status != HTTPStatus.SWITCHING_PROTOCOLS
