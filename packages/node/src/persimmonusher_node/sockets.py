"""A look at a socket without waiting and without taking bytes from it."""

import socket
from enum import Enum


class Pending(Enum):
    """What a socket has to be read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"
    """The peer closed, or the connection broke."""


def peek(connection: socket.socket) -> Pending:
    """Tell what could be read from a green socket now.

    eventlet's own `recv` waits whatever the flags; the socket below it does not.
    """
    below: socket.socket = getattr(connection, "fd", connection)
    try:
        data = below.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Pending.NOTHING
    except OSError:
        return Pending.END
    return Pending.BYTES if data else Pending.END
