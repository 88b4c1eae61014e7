"""Reads a request's body piece by piece from WSGI's input."""

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from io import BytesIO
from typing import Any, Final

import eventlet
from eventlet import getcurrent
from eventlet.hubs import get_hub

from persimmonusher_node.body_errors import BodyError, BodyProblem, NoBodyMemory
from persimmonusher_node.body_waits import BodyWaits, WaitingBody
from persimmonusher_node.caller_reader import CallerReader

MAX_CHUNK_LINE_BYTES: Final = 4_096
MAX_TRAILERS: Final = 64
MAX_READ_BYTES: Final = 8_192
"""Bytes that are read at once. Their memory is set aside while a read waits."""
BYTES_PER_TURN: Final = 16_384
"""Bytes of a body that one green thread reads before the others run."""
FRAMING_BYTES_PER_TURN: Final = 2_048
"""Bytes between chunks, which take longer to read, before the others run."""
_CHUNK_SIZE: Final = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r?\n")


def always_take(size: int) -> bool:
    """Take memory without a bound, for bodies with a small limit."""
    return True


def never() -> bool:
    """Return False, where nothing is known about the caller's connection."""
    return False


class BodySource(WaitingBody):
    """One body with a length or in chunks, of at most `limit` bytes.

    Chunks are parsed here: eventlet's input takes the end of the connection for the end of the
    trailers, so that a body that broke off there would look complete, and reads lines of any
    length. `has_arrived` tells whether more can be read without waiting; `reader` is that of the
    caller's connection, where it may be closed to make room for others.
    """

    def __init__(
        self,
        source: Any,
        limit: int,
        seconds: float,
        waits: BodyWaits,
        has_arrived: Callable[[], bool] = never,
        reader: CallerReader | None = None,
    ) -> None:
        self._source = source
        self._limit = limit
        self._seconds = seconds
        self._waits = waits
        self._has_arrived = has_arrived
        self._reader = reader
        self._chunk_left = 0
        self._size = 0
        self._turn_size = 0
        """Bytes of the body in this turn."""
        self._turn_framing = 0
        """Bytes between chunks in this turn."""
        self._turn_began_at = waits.read_time()
        self._timer: eventlet.Timeout | None = None
        self._thread: Any = None
        self._is_given_up = False
        self.progressed_at = waits.read_time()
        self.length: int | None = None if source.chunked_input else source.content_length or 0
        """Size of the whole body in bytes, None for chunks."""
        self.is_ended = self.length == 0
        """Whether the whole body was read."""
        if self.length is not None and self.length > limit:
            raise self._make_size_error()

    def read_first(self, size: int, take: Callable[[int], bool] = always_take) -> bytes:
        """Return the first `size` bytes of the body, or all of a shorter one.

        `take` is called for the memory of each piece; raises NoBodyMemory where it returns False.
        """
        # Its bytes can be returned without a copy.
        parts = BytesIO()
        with self._bound_time():
            while not self.is_ended and parts.tell() < size:
                piece = self._read_piece(size - parts.tell())
                if not take(len(piece)):
                    raise NoBodyMemory("the memory for bodies is used up")
                parts.write(piece)
        return parts.getvalue()

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most `size`, as soon as some have arrived; empty at the end."""
        if self.is_ended:
            return b""
        with self._bound_time():
            piece = self._read_piece(size)
            if self.length is not None or len(piece) == size or not self._has_arrived():
                return piece
            # The server need not get chunks as small as the caller's.
            parts = bytearray(piece)
            while not self.is_ended and len(parts) < size and self._has_arrived():
                parts += self._read_piece(size - len(parts))
        return bytes(parts)

    def discard(self) -> None:
        """Read the rest without keeping it; raise BodyError if that isn't possible."""
        with self._bound_time():
            while not self.is_ended:
                self._read_piece(BYTES_PER_TURN)

    def give_up(self) -> None:
        """End a read that waits for the caller, as if its time were over."""
        self._is_given_up = True
        get_hub().schedule_call_global(0, self._end_wait, self._timer)

    def _end_wait(self, timer: eventlet.Timeout) -> None:
        if self._timer is timer:
            self._thread.throw(timer)

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
        self._take_turn(len(piece))
        return piece

    def _take_turn(self, size: int) -> None:
        self.progressed_at = self._waits.read_time()
        self._turn_size += size
        if self._turn_size < BYTES_PER_TURN and self._turn_framing < FRAMING_BYTES_PER_TURN:
            return
        is_wasteful = self._turn_size < self._turn_framing
        self._turn_size = self._turn_framing = 0
        turn_seconds = self.progressed_at - self._turn_began_at
        if is_wasteful and self._reader is not None:
            self._take_wasteful_turn(turn_seconds, self._reader)
        else:
            self._waits.take_turn(is_wasteful, turn_seconds)
        self._turn_began_at = self._waits.read_time()

    def _take_wasteful_turn(self, turn_seconds: float, reader: CallerReader) -> None:
        with reader.held_back():
            self._waits.take_turn(True, turn_seconds)
        if reader.is_hung_up():
            # Reading what was sent before the end could take long.
            raise BodyError(BodyProblem.BROKEN_OFF, f"the body broke off after {self._size} bytes")

    def _read_some(self, size: int) -> bytes:
        piece: bytes = self._source.rfile.read1(min(size, MAX_READ_BYTES))
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
        self._turn_framing += len(line)
        if not line.endswith(b"\n"):
            raise ValueError("a line of a chunk broke off or is too long")
        return line

    def _make_size_error(self) -> BodyError:
        return BodyError(BodyProblem.TOO_LARGE, f"the body is larger than {self._limit} bytes")

    def _describe_timeout(self) -> str:
        if self._is_given_up:
            return "the body stopped arriving while memory was short"
        return f"the body did not arrive within {self._seconds:g} s"

    @contextmanager
    def _bound_time(self) -> Iterator[None]:
        timer = self._timer = eventlet.Timeout(self._seconds)
        self._thread = getcurrent()
        self.progressed_at = self._turn_began_at = self._waits.read_time()
        try:
            with self._waits.include(self):
                yield
        except eventlet.Timeout as error:
            if error is not timer:
                raise
            raise BodyError(BodyProblem.TOO_SLOW, self._describe_timeout()) from error
        except TimeoutError as error:
            message = "the caller sent nothing for too long"
            raise BodyError(BodyProblem.TOO_SLOW, message) from error
        except (OSError, ValueError) as error:
            message = "the body broke off or is framed wrongly"
            raise BodyError(BodyProblem.BROKEN_OFF, message) from error
        finally:
            self._timer = None
            timer.cancel()
