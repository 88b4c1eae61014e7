"""Reads backend servers' answers, and fails on what is not the whole of one."""

import io
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any, Final

from eventlet import sleep
from eventlet.hubs import trampoline

from persimmonusher_node.http_syntax import (
    LINE_END,
    HeadLines,
    MalformedMessage,
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

    The lines of a head are checked before http.client, which limits the length and the number of
    lines, but not their bytes in total, parses them.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._head: HeadLines | None = None

    @contextmanager
    def check_head(self, head: HeadLines) -> Iterator[None]:
        """Let `head` check the lines that are read inside."""
        self._head = head
        try:
            yield
        finally:
            self._head = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line with its line end; raise IncompleteRead if the connection ends first.

        Raises MalformedMessage for a line that may not stand in a head.
        """
        line = super().readline(size)
        if not line.endswith(b"\n"):
            raise IncompleteRead(line)
        return line if self._head is None else self._head.check(line)


class WholeResponse(HTTPResponse):
    """An answer whose reading fails on a partial line or a reset of the connection."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        connection = arguments[0]
        self._lines = WholeLineReader(ResetAwareReader(connection, self.fp.detach()))
        self.fp = self._lines

    def begin(self) -> None:
        """Read the head of the answer; raise HTTPException if it is malformed or has no end."""
        with self._lines.check_head(HeadLines(MAX_HEAD_BYTES)):
            super().begin()
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        check_framing(self.version, lengths, codings)
        if self.length == 0:
            # http.client would wait for chunks also where the status allows no body.
            self.chunked = False

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line of the final answer, and skip the interim answers before it.

        http.client skips only those with status 100, and any number of them.
        """
        for _ in range(MAX_INTERIM_ANSWERS):
            status_line = super()._read_status()  # type: ignore[misc]
            if not is_interim(status_line[1]):
                return status_line  # type: ignore[no-any-return]
            while self._lines.readline(MAX_HEAD_BYTES) != LINE_END:
                pass
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
        with self._lines.check_head(HeadLines(MAX_HEAD_BYTES, has_status_line=False)):
            super()._read_and_discard_trailer()  # type: ignore[misc]


def is_interim(status: int) -> bool:
    """Return whether a final answer follows; after a switch of protocols, none does."""
    return 100 <= status < 200 and status != HTTPStatus.SWITCHING_PROTOCOLS
