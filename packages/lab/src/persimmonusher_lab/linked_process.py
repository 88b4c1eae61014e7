"""Run a module with its connections to other processes and servers opened through `Links`.

It takes the proxy's address, the own host, the module and its arguments. Connections to the own
host are left alone.
"""

import asyncio
import runpy
import socket
import sys
from asyncio.base_events import BaseEventLoop
from dataclasses import dataclass
from typing import Any

from persimmonusher_lab.links import OPENED
from persimmonusher_node.loop import install as install_loop

open_directly = BaseEventLoop.create_connection


@dataclass(frozen=True)
class Route:
    """How this process reaches the others."""

    links: tuple[str, int]
    own_host: str

    async def open(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> socket.socket:
        """Return a socket for the event loop that is connected through the proxy."""
        connection = socket.socket()
        try:
            connection.setblocking(False)
            await loop.sock_connect(connection, self.links)
            await loop.sock_sendall(connection, self._make_opening(host, port))
            check_opened(await loop.sock_recv(connection, len(OPENED)), host, port)
            return connection
        except BaseException:
            connection.close()
            raise

    def open_green(self, host: str, port: int, timeout: Any) -> socket.socket:
        """Return a socket for green threads that is connected through the proxy."""
        connection = socket.socket()
        try:
            connection.settimeout(timeout)
            connection.connect(self.links)
            connection.sendall(self._make_opening(host, port))
            check_opened(connection.recv(len(OPENED)), host, port)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return connection
        except BaseException:
            connection.close()
            raise

    def _make_opening(self, host: str, port: int) -> bytes:
        return f"{self.own_host} {host}:{port}\n".encode()


def check_opened(answer: bytes, host: str, port: int) -> None:
    """Raise ConnectionRefusedError unless the proxy has opened the connection."""
    if answer != OPENED:
        raise ConnectionRefusedError(f"{host}:{port} refused the connection")


def install(route: Route) -> None:
    """Open this process's later connections along the route."""
    install_loop()
    # Only now, so that the library uses the sockets of green threads.
    from urllib3.util import connection as library

    async def create_connection(
        loop: BaseEventLoop, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if host is None or host == route.own_host:
            return await open_directly(loop, factory, host, port, **options)
        return await open_directly(loop, factory, sock=await route.open(loop, host, port))

    def create_green_connection(
        address: tuple[str, int], timeout: Any = None, *arguments: Any, **options: Any
    ) -> socket.socket:
        return route.open_green(*address, timeout)

    BaseEventLoop.create_connection = create_connection  # type: ignore[method-assign, assignment]
    library.create_connection = create_green_connection


def main() -> None:
    """Install the route and run the module in this process."""
    links, own_host, module, *arguments = sys.argv[1:]
    host, _, port = links.rpartition(":")
    install(Route((host, int(port)), own_host))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
