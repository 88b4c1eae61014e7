"""Answers of routes with large bodies: read ahead of slow callers within the request's memory."""

import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final

import eventlet
from eventlet import getcurrent
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from eventlet.hubs import get_hub

from persimmonusher_model.clock import Clock
from persimmonusher_node.body_memory import PIECE_BYTES, MemoryShare
from persimmonusher_node.protocol import HttpProtocol

PROGRESS_CHECK_SECONDS: Final = 0.25
TCP_INFO_BYTES: Final = 256
BYTES_ACKED_OFFSET: Final = 120
"""Offset of `tcpi_bytes_acked` in the kernel's `tcp_info`."""


class UnreadAnswer(Exception):  # noqa: N818
    """Ends an answer whose caller has stopped reading."""


class SpooledBody:
    """The body of an answer, `first` and then `rest`, for a caller that may read slowly.

    A green thread reads on from the server while the share allows, so that the server isn't held up
    and doesn't abort the answer. When the share is used up and the caller has read nothing for
    `unread_seconds`, the connection is reset and `report_unread` is called.
    """

    def __init__(
        self,
        first: bytes,
        rest: Iterator[bytes] | None,
        protocol: HttpProtocol,
        share: MemoryShare,
        clock: Clock,
        unread_seconds: float,
        report_unread: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        self._pieces = deque(
            first[start : start + PIECE_BYTES] for start in range(0, len(first), PIECE_BYTES)
        )
        self._held_bytes = len(first)
        self._rest = rest
        self._protocol = protocol
        self._share = share
        self._clock = clock
        self._unread_seconds = unread_seconds
        self._report_unread = report_unread
        self._end = end
        self._changed = Event()
        self._written = 0
        self._is_ended = rest is None
        self._is_closed = False
        self._error: Exception | None = None
        self._thread: GreenThread | None = None
        self._writer: Any = None
        """The green thread that writes to the caller."""

    def __iter__(self) -> Iterator[bytes]:
        self._writer = getcurrent()
        if self._rest is not None:
            self._thread = eventlet.spawn(self._read_ahead, self._rest)
        while True:
            while not self._pieces and not self._is_ended:
                self._changed.wait()
            if not self._pieces:
                break
            size = len(self._pieces[0])
            yield self._pieces.popleft()
            self._written += size
            self._held_bytes -= size
            self._share.allow(self._held_bytes)
            self._notify()
        if self._error is not None:
            self._protocol.cut_off()
            raise self._error

    def close(self) -> None:
        """Release the server's connection and the memory; the caller's connection stays open."""
        self._is_closed = True
        if self._thread is not None:
            self._thread.kill()
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()
        self._end()

    def _read_ahead(self, rest: Iterator[bytes]) -> None:
        try:
            while self._wait_for_room():
                piece = next(rest, b"")
                if not piece:
                    break
                self._pieces.append(piece)
                self._held_bytes += len(piece)
                self._notify()
            else:
                self._abort()
        except Exception as error:
            self._error = error
        finally:
            self._is_ended = True
            self._notify()

    def _wait_for_room(self) -> bool:
        """Wait until a piece may be held; return False if the caller reads nothing for too long."""
        progress = self._read_progress()
        since = self._clock.monotonic()
        while not self._share.allow(self._held_bytes + PIECE_BYTES):
            with eventlet.Timeout(PROGRESS_CHECK_SECONDS, False):
                self._changed.wait()
            now = self._clock.monotonic()
            if (current := self._read_progress()) != progress:
                progress, since = current, now
            elif now - since >= self._unread_seconds:
                return False
        return True

    def _read_progress(self) -> tuple[int, int]:
        """Return figures that change whenever the caller has read something."""
        return self._written, read_acknowledged_bytes(self._protocol.connection)

    def _abort(self) -> None:
        """Reset the caller's connection; its green thread is blocked in a write."""
        self._protocol.cut_off()
        self._report_unread()
        error = self._error = UnreadAnswer("the caller reads nothing")
        get_hub().schedule_call_global(0, self._interrupt_write, error)

    def _interrupt_write(self, error: UnreadAnswer) -> None:
        if not self._is_closed:
            self._writer.throw(error)

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()


def read_acknowledged_bytes(connection: socket.socket) -> int:
    """Return how many bytes the peer's kernel has acknowledged; 0 where that isn't known."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < BYTES_ACKED_OFFSET + 8:
        return 0
    acknowledged: int = struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)[0]
    return acknowledged
