"""Reads a caller's connection ahead while one of its requests is being answered."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from io import RawIOBase
from time import monotonic
from typing import Any, Final

from eventlet.patcher import original

from persimmonusher_node.sockets import Pending, peek

MAX_READ_AHEAD_BYTES: Final = 65_536
"""Most bytes kept of requests that a caller sends early: several heads of the largest size.
The kernel buffers what a caller sends beyond it; while the kernel has room for that, a departure of
the caller is still detected."""
READ_CHUNK_BYTES: Final = 16_384
TOTAL_AHEAD_BYTES: Final = 8_388_608
"""Most bytes read ahead on all connections of a listener."""

_select = original("select")
"""The unpatched module: eventlet's `select` has no `poll`."""


class ReadAheadMemory:
    """The bytes that are read ahead on all connections of a listener."""

    def __init__(self, total_bytes: int = TOTAL_AHEAD_BYTES) -> None:
        self._total_bytes = total_bytes
        self._held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Return whether nothing more may be read ahead."""
        return self._held_bytes >= self._total_bytes

    def change(self, size: int) -> None:
        """Add the bytes that were read, or remove those that were taken, as a negative number."""
        self._held_bytes += size


class CallerReader(RawIOBase):
    """The reading side of one caller's connection.

    Callers may send further requests before the first one is answered, and may leave meanwhile.
    The end of a connection is visible only after all earlier bytes are read; unless they are taken
    out of the kernel, the requests of a caller that left long ago would still be run.

    A green thread that waits for bytes is woken only by bytes in the kernel, so none are taken out
    while one waits.
    """

    def __init__(
        self,
        connection: socket.socket,
        memory: ReadAheadMemory | None = None,
        read_time: Callable[[], float] = monotonic,
    ) -> None:
        self._connection = connection
        self._memory = memory or ReadAheadMemory()
        self._read_time = read_time
        self._waiting_since: float | None = None
        self._buffered = bytearray()
        self._ended = False
        self._may_wait = True
        self._is_waiting = False
        """Whether a green thread waits for bytes."""
        self.max_ahead_bytes = MAX_READ_AHEAD_BYTES
        """Most bytes read ahead; 0 while a body is sent on as it arrives."""
        self.is_shut = False
        """Whether reading was shut down on this side, so that an end does not mean that the caller
        left."""

    def readable(self) -> bool:
        """Return True; io.RawIOBase's default is False."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read buffered bytes, or else wait for more; return 0 at the end.

        Returns None if there is nothing to read and `without_waiting` is in force.
        """
        if not self._may_wait:
            self._read_ahead()
            if not self._buffered and not self._ended:
                return None
        if self._buffered:
            taken = self._buffered[: len(buffer)]
            buffer[: len(taken)] = taken
            del self._buffered[: len(taken)]
            self._memory.change(-len(taken))
            return len(taken)
        if self._ended:
            return 0
        self._is_waiting = True
        try:
            with self.held_back():
                return self._connection.recv_into(buffer)
        finally:
            self._is_waiting = False

    @contextmanager
    def held_back(self) -> Iterator[None]:
        """Count the time of a wait for the caller, or one that the caller has caused."""
        self._waiting_since = self._read_time()
        try:
            yield
        finally:
            self._waiting_since = None

    def find_wait_seconds(self) -> float:
        """Return how long the connection's green thread has waited, 0 if it doesn't wait."""
        return 0.0 if self._waiting_since is None else self._read_time() - self._waiting_since

    def close(self) -> None:
        """Free the bytes that were read ahead."""
        self._memory.change(-len(self._buffered))
        self._buffered.clear()
        super().close()

    def shut_if_silent(self) -> None:
        """Shut down reading if no byte waits to be read, so that no request is cut in two."""
        if self._buffered or peek(self._connection) is Pending.BYTES:
            return
        self.is_shut = True
        try:
            self._connection.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has already closed the connection.
            return

    @contextmanager
    def without_waiting(self) -> Iterator[None]:
        """Let reads return only what has arrived."""
        self._may_wait = False
        try:
            yield
        finally:
            self._may_wait = True

    def has_caller_left(self) -> bool:
        """Return, without waiting, whether the caller has closed its connection."""
        if self.is_shut:
            return False
        if self._is_waiting:
            return self.is_hung_up()
        self._read_ahead()
        is_full = len(self._buffered) >= self.max_ahead_bytes or self._memory.is_full
        return self._ended or (is_full and self.is_hung_up())

    def is_hung_up(self) -> bool:
        """Return whether the caller closed after bytes that the kernel still buffers."""
        poll = _select.poll()
        poll.register(self._connection.fileno(), _select.POLLRDHUP)
        return bool(poll.poll(0))

    def _read_ahead(self) -> None:
        """Move the bytes that have arrived from the kernel into the buffer, without waiting.

        eventlet's own `recv` waits whatever the flags; the socket below it does not.
        """
        raw_socket: socket.socket = getattr(self._connection, "fd", self._connection)
        while (
            not self._ended
            and len(self._buffered) < self.max_ahead_bytes
            and not self._memory.is_full
        ):
            try:
                data = raw_socket.recv(READ_CHUNK_BYTES, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return
            except OSError:
                # A reset: the caller is gone and will read no answers.
                data = b""
            self._ended = not data
            self._buffered += data
            self._memory.change(len(data))
