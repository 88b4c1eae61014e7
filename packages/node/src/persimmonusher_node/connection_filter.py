"""Makes a listening socket ignore new connections while pending handshakes still complete."""

import ctypes
import socket
import struct
from typing import Final

from structlog import get_logger

SO_ATTACH_FILTER: Final = 26
"""Linux's socket option for a classic BPF program; Python's socket module lacks it."""
FLAGS_OFFSET: Final = 13
"""Offset of the flags byte in the TCP header, where a TCP socket filter's data begins."""
SYN: Final = 0x02
LOAD_BYTE: Final = 0x30
JUMP_IF_SET: Final = 0x45
RETURN: Final = 0x06
WHOLE_PACKET: Final = 0xFFFF_FFFF
DROP_SYN: Final = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)
"""BPF program that drops packets with SYN; fields: operation, jump if true, jump if false,
operand."""

_log = get_logger(__name__)


def drop_new_connections(listening: socket.socket) -> bool:
    """Drop the packets that would open a connection; return whether the kernel accepts the filter.

    Guards against a caller that connects between the last accept and the close of the socket: the
    close would reset the connection, and lose a request that the caller may have sent. A dropped
    packet is sent again about a second later and is refused by the closed port, which shows the
    caller that nothing was received.
    """
    code = b"".join(struct.pack("=HBBI", *instruction) for instruction in DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(DROP_SYN), ctypes.addressof(buffer))
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        _log.info("connections-not-filtered", error=repr(error))
        return False
    return True
