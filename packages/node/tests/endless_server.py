"""A server process whose answers have no end: `endless_server.py SHAPE PAUSE_SECONDS`."""

import socket
import sys
import threading
import time

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SHAPES = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": (OK, b"X-More: and more\r\n"),
    "line": (OK + b"X-Long: ", b"x" * 1_000),
    "status-line": (b"HTTP/1.1 200 ", b"x" * 1_000),
    "no-protocol": (b"", b"\x00\xff" * 500),
    "unframed": (OK + b"\r\n", b"x" * 1_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"x" * 1_000 + b"\r\n"),
    "chunk-size": (CHUNKED, b"0" * 1_000),
    "extension": (CHUNKED + b"1;", b"x" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: and more\r\n"),
    "beyond-length": (OK + b"Content-Length: 2\r\n\r\nok", b"x" * 1_000),
}
"""The bytes that are sent first, and those that are repeated."""
BATCH_BYTES = 65_536
MAX_SECONDS = 4.0
"""Limit for a reader that never yields, so that the test ends."""


def serve(connection: socket.socket, first: bytes, again: bytes, pause: float) -> None:
    """Answer the first request until the other side closes."""
    end = time.monotonic() + MAX_SECONDS
    piece = again if pause else again * (BATCH_BYTES // len(again))
    try:
        connection.recv(65_536)
        connection.sendall(first)
        while time.monotonic() < end:
            connection.sendall(piece)
            time.sleep(pause)
    except OSError:
        pass
    finally:
        connection.close()


def main() -> None:
    """Print the port and serve until the process is killed."""
    first, again = SHAPES[sys.argv[1]]
    listening = socket.create_server(("127.0.0.1", 0))
    print(listening.getsockname()[1], flush=True)
    while True:
        connection, _ = listening.accept()
        arguments = (connection, first, again, float(sys.argv[2]))
        threading.Thread(target=serve, args=arguments, daemon=True).start()


if __name__ == "__main__":
    main()
