"""Ports for listeners that are started some time after their addresses are told."""

import socket
from pathlib import Path
from random import SystemRandom

LOWEST = 10_000
EPHEMERAL = Path("/proc/sys/net/ipv4/ip_local_port_range")


def find_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port on loopback that is free and that no outgoing connection is given.

    One that the kernel chooses may be given to a connection before the listener takes it.
    """
    lowest_ephemeral = int(EPHEMERAL.read_text().split()[0])
    while True:
        port = SystemRandom().randrange(LOWEST, lowest_ephemeral)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
