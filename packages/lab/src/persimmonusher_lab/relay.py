"""A small TCP relay that can cut connections, one way or both, or delay them.

A cut drops bytes silently, as a one-way partition does: connections stay open and neither
side sees an error. The relay is placed in front of a backend server or an entry that announces the
relay's address as its own.
"""

import asyncio
import threading
from collections.abc import Coroutine
from contextlib import suppress
from enum import Enum
from types import TracebackType
from typing import Any, Final, Self, TypeVar

CHUNK_BYTES: Final = 65_536
CALL_TIMEOUT_SECONDS: Final = 5.0

T = TypeVar("T")


class Cut(Enum):
    """The direction in which bytes are dropped."""

    NONE = "none"
    TO_TARGET = "to-target"
    """Requests are lost."""
    TO_SOURCE = "to-source"
    """Answers are lost: the target runs requests whose answers never reach the source."""
    BOTH = "both"


class Relay:
    """Forwards connections from one loopback address to another, in a thread of its own.

    >>> with Relay("127.0.9.1:8100", "127.0.9.2:8100") as relay:  # doctest: +SKIP
    ...     relay.cut = Cut.TO_SOURCE
    """

    def __init__(self, listen: str, target: str, delay_seconds: float = 0.0) -> None:
        self.listen = listen
        self.target = target
        self.cut = Cut.NONE
        self.delay_seconds = delay_seconds
        """Delay added to each chunk of bytes, in each direction."""
        self.dropped_bytes = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def reset_connections(self) -> None:
        """Break every open connection at once, both ways."""
        self._loop.call_soon_threadsafe(self._abort_all)

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
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except asyncio.CancelledError:
            # Only `_stop` cancels, and asyncio would log this as a failure of the connection.
            return
        finally:
            self._tasks.discard(task)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, Cut.TO_TARGET),
                self._pump(target_reader, writer, Cut.TO_SOURCE),
            )
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Cut
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if self.cut in (direction, Cut.BOTH):
                    self.dropped_bytes += len(chunk)
                    continue
                writer.write(chunk)
                await writer.drain()
            if self.cut not in (direction, Cut.BOTH) and writer.can_write_eof():
                writer.write_eof()
