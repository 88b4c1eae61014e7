"""Run a module with its connections to other processes opened through `Links`.

It takes the proxy's address, the own host, the port of all peer interfaces, the module
and its arguments. Connections to other ports, such as those of backend servers, are left alone.
"""

import asyncio
import runpy
import socket
import sys
from asyncio.base_events import BaseEventLoop
from dataclasses import dataclass
from typing import Any

from persimmonusher_lab.links import OPENED

open_directly = BaseEventLoop.create_connection


@dataclass(frozen=True)
class Route:
    """How this process reaches the others."""

    links: tuple[str, int]
    own_host: str
    peers_port: int

    async def open(self, loop: asyncio.AbstractEventLoop, host: str) -> socket.socket:
        """Return a socket that is connected to a peer through the proxy."""
        connection = socket.socket()
        try:
            connection.setblocking(False)
            await loop.sock_connect(connection, self.links)
            line = f"{self.own_host} {host}:{self.peers_port}\n"
            await loop.sock_sendall(connection, line.encode())
            if await loop.sock_recv(connection, len(OPENED)) != OPENED:
                raise ConnectionRefusedError(f"{host}:{self.peers_port} refused the connection")
            return connection
        except BaseException:
            connection.close()
            raise


def install(route: Route) -> None:
    """Open this process's later connections to peers along the route."""

    async def create_connection(
        loop: BaseEventLoop, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if host is None or port != route.peers_port:
            return await open_directly(loop, factory, host, port, **options)
        return await open_directly(loop, factory, sock=await route.open(loop, host))

    BaseEventLoop.create_connection = create_connection  # type: ignore[method-assign, assignment]


def main() -> None:
    """Install the route and run the module in this process."""
    links, own_host, peers_port, module, *arguments = sys.argv[1:]
    host, _, port = links.rpartition(":")
    install(Route((host, int(port)), own_host, int(peers_port)))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
