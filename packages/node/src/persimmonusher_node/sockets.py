"""Reads and sets the state of sockets, without waiting."""

import socket
import struct
from enum import Enum
from typing import Final

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which a close resets the connection and drops unsent bytes."""


class Pending(Enum):
    """The kinds of what can be read from a socket."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"
    """The peer closed the connection, or it broke."""


def peek(connection: socket.socket) -> Pending:
    """Return what can be read from a green socket at the moment.

    eventlet's own `recv` waits whatever the flags; the socket below it does not.
    """
    raw_socket: socket.socket = getattr(connection, "fd", connection)
    try:
        data = raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Pending.NOTHING
    except OSError:
        return Pending.END
    return Pending.BYTES if data else Pending.END
