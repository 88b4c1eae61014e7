"""Relays connections of other instances to the registered backend servers."""

import asyncio
import socket
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Final

import eventlet
import structlog

from persimmonusher_node.component import Component
from persimmonusher_node.loop import run_coroutine
from persimmonusher_node.relay_protocol import (
    MAX_HEAD_BYTES,
    RelayRequest,
    RelayStatus,
    make_answer,
    parse_request,
)
from persimmonusher_node.sockets import RESET_ON_CLOSE

MAX_CONNECTIONS: Final = 256
"""Connections relayed at a time. Each takes two file descriptors and up to 256 KB of buffers."""
BUFFER_BYTES: Final = 32_768
HEAD_SECONDS: Final = 1.0
"""Longest time for the head of a request, which fits into one packet."""
OPEN_SECONDS: Final = 0.2
"""Longest wait for a server, and then for another one, so that both take less time than the other
instance waits for the answer."""
POLL_SECONDS: Final = 0.02
GRACEFUL_CLOSE: Final = struct.pack("ii", 0, 0)
"""The default of SO_LINGER. A relayed connection gets it only once the server has closed without a
reset: an answer that ends with its connection would be taken for whole otherwise."""

logger = structlog.get_logger(__name__)


class RelayListener(Component):
    """Serves CONNECT requests of instances that have the fleet's token.

    Only addresses of registered servers are connected to, and always directly, so that there are
    no chains or loops of instances.
    """

    def __init__(
        self,
        address: str,
        token: str,
        is_registered: Callable[[str, str], bool],
        may_reach: Callable[[str], bool],
        list_others: Callable[[str], Sequence[str]],
    ) -> None:
        self._address = address
        self._token = token
        self._is_registered = is_registered
        """Returns whether a service has a server at an address."""
        self._may_reach = may_reach
        """Returns whether this instance has, as far as it knows, a way to an address."""
        self._list_others = list_others
        """Returns a few servers at other addresses."""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.stopping = False
        """Whether new connections are refused, while open ones go on."""

    @property
    def connections(self) -> int:
        """Return the number of connections that are open for others."""
        return len(self._open)

    def start(self) -> None:
        """Start to accept; raise an OSError that names the address if it can't be bound."""
        host, _, port = self._address.rpartition(":")
        self._server = run_coroutine(
            asyncio.start_server(self._serve, host, int(port), limit=BUFFER_BYTES)
        )

    def stop(self) -> None:
        """Close the listener and the connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    def wait_until_idle(self, deadline: Callable[[], bool]) -> bool:
        """Wait until no connection is relayed; return False if `deadline` returns True first."""
        while self._open:
            if deadline():
                return False
            eventlet.sleep(POLL_SECONDS)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            with suppress(OSError):
                await self._answer(reader, writer)
        except asyncio.CancelledError:
            # The process ends, and asyncio would log this as a failure of the connection.
            return
        except Exception:
            logger.exception("relay-failed")
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        status, request = await self._read_request(reader)
        if request is None:
            writer.write(make_answer(status))
            return await writer.drain()
        there = await self._connect(request.address)
        if there is None:
            status = await self._judge_unreached(request.address)
            writer.write(make_answer(status))
            return await writer.drain()
        for end in (writer, there[1]):
            set_linger(end, RESET_ON_CLOSE)
        try:
            writer.write(make_answer(RelayStatus.OPENED))
            if await relay(reader, writer, *there):
                set_linger(writer, GRACEFUL_CLOSE)
        finally:
            there[1].transport.abort()
        return None

    async def _read_request(
        self, reader: asyncio.StreamReader
    ) -> tuple[RelayStatus, RelayRequest | None]:
        """Return the request if it may be served, else the status that refuses it."""
        try:
            async with asyncio.timeout(HEAD_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            if len(head) > MAX_HEAD_BYTES:
                raise ValueError(f"the head has {len(head)} bytes, {MAX_HEAD_BYTES} are allowed")
            request = parse_request(head)
        except (ValueError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return RelayStatus.BAD_REQUEST, None
        status = self._check(request)
        return status, request if status is RelayStatus.OPENED else None

    def _check(self, request: RelayRequest) -> RelayStatus:
        if not request.has_token(self._token):
            return RelayStatus.NO_TOKEN
        if self.stopping or len(self._open) > MAX_CONNECTIONS:
            return RelayStatus.UNAVAILABLE
        if not self._is_registered(request.service, request.address):
            return RelayStatus.NOT_A_SERVER
        if not self._may_reach(request.address):
            return RelayStatus.UNAVAILABLE
        return RelayStatus.OPENED

    async def _judge_unreached(self, address: str) -> RelayStatus:
        """Return UNREACHED if this instance reaches another server, else UNAVAILABLE.

        If it reaches none, its own links may be cut, and it can't say anything about the server.
        """
        others = [self._connect(other) for other in self._list_others(address)]
        reached = [there for there in await asyncio.gather(*others) if there is not None]
        for _, writer in reached:
            writer.transport.abort()
        return RelayStatus.UNREACHED if reached else RelayStatus.UNAVAILABLE

    @staticmethod
    async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return a connection to a server, or None if it can't be opened."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                return await asyncio.open_connection(host, int(port), limit=BUFFER_BYTES)
        except OSError as error:
            logger.debug("relay-unreached", server=address, error=repr(error))
            return None


async def relay(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    server_reader: asyncio.StreamReader,
    server_writer: asyncio.StreamWriter,
) -> bool:
    """Pass bytes on in both directions until either end closes.

    Return whether the server closed its connection without a reset. An instance never closes one
    direction only, so its close ends the connection to the server.
    """
    there = asyncio.ensure_future(pump(reader, server_writer))
    back = asyncio.ensure_future(pump(server_reader, writer))
    try:
        await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
        return back.done() and back.exception() is None
    finally:
        for task in (there, back):
            task.cancel()
        await asyncio.gather(there, back, return_exceptions=True)


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass bytes on until the end; raise OSError if the connection breaks."""
    while data := await reader.read(BUFFER_BYTES):
        writer.write(data)
        await writer.drain()


def set_linger(writer: asyncio.StreamWriter, linger: bytes) -> None:
    """Set SO_LINGER, which also decides how the connection ends if this process is killed."""
    connection = writer.get_extra_info("socket")
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
