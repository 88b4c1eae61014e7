"""Free ports for listeners that start some time after their addresses are configured."""

import socket
from pathlib import Path
from random import SystemRandom

LOWEST_PORT = 10_000
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def find_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free on loopback and outside the kernel's ephemeral range.

    The kernel may give an ephemeral port to an outgoing connection before the listener binds it.
    """
    lowest_ephemeral = int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    while True:
        port = SystemRandom().randrange(LOWEST_PORT, lowest_ephemeral)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
