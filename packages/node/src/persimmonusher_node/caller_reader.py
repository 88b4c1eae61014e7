"""The bytes that come from a caller, read ahead of the request that is being answered."""

import socket
from io import RawIOBase
from typing import Any, Final

from eventlet.patcher import original

LONGEST_AHEAD: Final = 65_536
"""Bytes kept of what a caller sends before its turn: several heads of the largest kind. A caller
that sends more waits for its answers, and is seen to leave as long as the kernel takes the rest."""
READ_BYTES: Final = 16_384

_select = original("select")
"""The system's own: eventlet's has no `poll`."""


class CallerReader(RawIOBase):
    """The reading side of one caller's connection.

    Callers may send further requests before the first one is answered, and may leave meanwhile.
    The end of a connection only shows behind the bytes that came before it; unless those are taken
    out of the kernel, the requests of a caller that left long ago would still be run.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._ahead = bytearray()
        self._ended = False
        self.is_shut = False
        """Whether reading was ended on this side, so that an end says nothing of the caller."""

    def readable(self) -> bool:
        """Tell that this can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read what came ahead, else wait for more; 0 is the end."""
        if self._ahead:
            taken = self._ahead[: len(buffer)]
            buffer[: len(taken)] = taken
            del self._ahead[: len(taken)]
            return len(taken)
        return 0 if self._ended else self._connection.recv_into(buffer)

    def shut(self) -> None:
        """End reading: what has come is still read, and then there is an end."""
        self.is_shut = True
        try:
            self._connection.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller was faster: there is nothing left to shut.
            return

    def has_caller_left(self) -> bool:
        """Tell, without waiting, whether the caller has closed its connection."""
        if self.is_shut:
            return False
        self._read_ahead()
        return self._ended or (len(self._ahead) >= LONGEST_AHEAD and self._is_hung_up())

    def _is_hung_up(self) -> bool:
        """Tell whether the connection has ended behind bytes that the kernel still holds."""
        poll = _select.poll()
        poll.register(self._connection.fileno(), _select.POLLRDHUP)
        return bool(poll.poll(0))

    def _read_ahead(self) -> None:
        """Take what has come out of the kernel.

        eventlet's own `recv` waits whatever the flags; the socket below it does not.
        """
        below: socket.socket = getattr(self._connection, "fd", self._connection)
        while not self._ended and len(self._ahead) < LONGEST_AHEAD:
            try:
                data = below.recv(READ_BYTES, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return
            except OSError:
                # A reset: the caller is gone, and with it what it still wanted to read.
                data = b""
            self._ended = not data
            self._ahead += data
