"""Reads a request's body piece by piece from WSGI's input."""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

import eventlet

from persimmonusher_node.body_errors import BodyError, BodyProblem

MAX_CHUNK_LINE_BYTES: Final = 4_096
MAX_TRAILERS: Final = 64
_CHUNK_SIZE: Final = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r?\n")


class BodySource:
    """One body with a length or in chunks, of at most `limit` bytes.

    Chunks are parsed here: eventlet's input takes the end of the connection for the end of the
    trailers, so that a body that broke off there would look complete.
    """

    def __init__(self, source: Any, limit: int, seconds: float) -> None:
        self._source = source
        self._limit = limit
        self._seconds = seconds
        self._chunk_left = 0
        self._size = 0
        self.length: int | None = None if source.chunked_input else source.content_length or 0
        """Size of the whole body in bytes, None for chunks."""
        self.is_ended = self.length == 0
        """Whether the whole body was read."""
        if self.length is not None and self.length > limit:
            raise self._make_size_error()

    def read_first(self, size: int) -> bytes:
        """Return the first `size` bytes of the body, or all of a shorter one."""
        parts = bytearray()
        with self._bound_time():
            while not self.is_ended and len(parts) < size:
                parts += self._read_piece(size - len(parts))
        return bytes(parts)

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most `size`, as soon as some have arrived; empty at the end."""
        if self.is_ended:
            return b""
        with self._bound_time():
            return self._read_piece(size)

    def _read_piece(self, size: int) -> bytes:
        source = self._source
        if source.should_send_hundred_continue:
            source.send_hundred_continue_response()
            source.is_hundred_continue_response_sent = True
        if self.length is None:
            piece = self._read_chunked(size)
        else:
            piece = self._read_some(min(size, self.length - self._size))
            source.position += len(piece)
        self._size += len(piece)
        if self._size > self._limit:
            raise self._make_size_error()
        self.is_ended = self.is_ended or self._size == self.length
        return piece

    def _read_some(self, size: int) -> bytes:
        piece: bytes = self._source.rfile.read1(size)
        if not piece:
            message = f"the body broke off after {self._size} bytes"
            raise BodyError(BodyProblem.BROKEN_OFF, message)
        return piece

    def _read_chunked(self, size: int) -> bytes:
        if not self._chunk_left:
            match = _CHUNK_SIZE.fullmatch(self._read_line())
            if match is None:
                raise ValueError("a chunk without a size")
            self._chunk_left = int(match[1], 16)
            if not self._chunk_left:
                self._skip_trailers()
                return b""
        piece = self._read_some(min(size, self._chunk_left))
        self._chunk_left -= len(piece)
        if not self._chunk_left and self._read_line() not in (b"\r\n", b"\n"):
            raise ValueError("a chunk longer than its size")
        return piece

    def _skip_trailers(self) -> None:
        for _ in range(MAX_TRAILERS):
            if self._read_line() in (b"\r\n", b"\n"):
                self.is_ended = True
                # eventlet's input then expects no further chunk either.
                self._source.chunk_length = 0
                return
        raise ValueError("too many trailers")

    def _read_line(self) -> bytes:
        line: bytes = self._source.rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise ValueError("a line of a chunk broke off or is too long")
        return line

    def _make_size_error(self) -> BodyError:
        return BodyError(BodyProblem.TOO_LARGE, f"the body is larger than {self._limit} bytes")

    @contextmanager
    def _bound_time(self) -> Iterator[None]:
        timer = eventlet.Timeout(self._seconds)
        try:
            yield
        except eventlet.Timeout as error:
            if error is not timer:
                raise
            message = f"the body did not arrive within {self._seconds:g} s"
            raise BodyError(BodyProblem.TOO_SLOW, message) from error
        except TimeoutError as error:
            message = "the caller sent nothing for too long"
            raise BodyError(BodyProblem.TOO_SLOW, message) from error
        except (OSError, ValueError) as error:
            message = "the body broke off or is framed wrongly"
            raise BodyError(BodyProblem.BROKEN_OFF, message) from error
        finally:
            timer.cancel()
