"""The network between processes: links that can fall silent, seen through TCP.

Processes that run under `linked_process` open every connection to each other through this proxy and
name both ends, so that each direction of each link can be cut by itself.
"""

import asyncio
import threading
from collections.abc import Coroutine, Iterable
from contextlib import suppress
from types import TracebackType
from typing import Any, Final, Self, TypeVar

RETRANSMISSION_SECONDS: Final = 0.2
"""TCP's shortest wait before data is sent again; it doubles with each try."""
OPENING_SECONDS: Final = 1.0
"""The same for the packet that opens a connection."""
CHUNK_BYTES: Final = 65_536
CALL_TIMEOUT_SECONDS: Final = 5.0
BACKLOG: Final = 4096
"""Connections that wait to be accepted: with fewer, the kernel would drop some of its own."""
OPENED: Final = b"+"
"""Sent to the source once the target has accepted the connection."""

Link = tuple[str, str]
"""The hosts of a source and a target: one direction between two processes."""
T = TypeVar("T")


class Links:
    """Forwards connections, in a thread of its own, and loses what travels on a cut link.

    What is lost is sent again at TCP's intervals, so a connection comes back some time after its
    links, and a new one that is opened during the cut hangs as long as TCP's opening does.

    >>> with Links() as links:  # doctest: +SKIP
    ...     links.set_cut({("127.0.9.1", "127.0.9.2")})
    ...     links.set_cut(())
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self.address = ""
        """Where processes connect, as `ip:port`."""
        self._cut: frozenset[Link] = frozenset()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._open: dict[asyncio.StreamWriter, Link] = {}

    def set_cut(self, links: Iterable[Link]) -> None:
        """Lose everything on these links, without an error at either end, and on no others."""
        self._cut = frozenset(links)

    def reset(self, links: Iterable[Link]) -> None:
        """Break the open connections between the ends of these links, with an error at both."""
        self._loop.call_soon_threadsafe(self._abort, frozenset(links))

    def __enter__(self) -> Self:
        self._thread.start()
        self._call(self._start())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_SECONDS)
        self._loop.close()

    def _call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_SECONDS)

    async def _start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, 0, backlog=BACKLOG)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _abort(self, links: frozenset[Link]) -> None:
        for writer, (source, target) in self._open.items():
            if (source, target) in links or (target, source) in links:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._forward(reader, writer)
        except asyncio.CancelledError:
            # Only `_stop` cancels, and asyncio would log this as a failure of the connection.
            return
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source, address = (await reader.readuntil(b"\n")).decode().split()
        target, _, port = address.rpartition(":")
        there, back = (source, target), (target, source)
        await self._wait_while_cut({there, back}, OPENING_SECONDS)
        if reader.at_eof():
            return
        target_reader, target_writer = await asyncio.open_connection(target, int(port))
        self._open |= {writer: there, target_writer: there}
        try:
            writer.write(OPENED)
            await asyncio.gather(
                self._pump(reader, target_writer, there), self._pump(target_reader, writer, back)
            )
        finally:
            del self._open[writer], self._open[target_writer]
            target_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await self._wait_while_cut({link}, RETRANSMISSION_SECONDS)
            if error := reader.exception():
                # The sender has reset the connection, so its kernel sends nothing again.
                raise error
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async def _wait_while_cut(self, links: set[Link], first_seconds: float) -> None:
        """Wait until one of the tries, at doubling intervals, finds none of the links cut."""
        wait = first_seconds
        while not self._cut.isdisjoint(links):
            await asyncio.sleep(wait)
            wait *= 2
