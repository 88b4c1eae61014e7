"""Checks what can be read from a socket, without waiting and without consuming bytes."""

import socket
from enum import Enum


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
