"""gRPC channels to other instances, one for each address, opened when first needed.

Every call carries the peer token as metadata. A channel reconnects by itself. A call to an instance
that is gone fails only by its own timeout, so every call needs one.
"""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from types import TracebackType
from typing import Final, Self

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.events import (
    RecvInitialMetadata,
    RecvMessage,
    RecvRequest,
    RecvTrailingMetadata,
    SendRequest,
    listen,
)
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from persimmonusher_model.clock import Clock
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.peer_silence import PeerSilences
from persimmonusher_node.sockets import RESET_ON_CLOSE

KEEPALIVE_SECONDS: Final = 5.0
"""Interval of pings on a channel with calls in progress, and the timeout of each ping.

Guards against a network partition that drops packets without an error. TCP then retransmits at
growing intervals of up to minutes, and calls go on failing long after the partition has healed. A
ping without an answer closes the connection, and the next call opens a new one. Calls that follow
one another find a silent connection sooner, by MAX_UNANSWERED_SECONDS; a ping finds it where a
single call waits.
"""
MAX_UNANSWERED_SECONDS: Final = 1.0
"""Longest time for which a call may have no answer before the next one replaces the connection. TCP
retransmits after 0.2 s, 0.4 s and so on, so an old connection recovers long after the network."""
MAX_OPENING_SECONDS: Final = 0.3
"""The same while a further connection is being opened, in the first `QUICK_OPENING_SECONDS` without
an answer; later on it is `MAX_UNANSWERED_SECONDS`."""
QUICK_OPENING_SECONDS: Final = 60.0
"""Time for which openings are repeated quickly. Later on, a peer that is gone costs one try a
second at most."""
MAX_UNANSWERED_REOPENED_SECONDS: Final = 2.0
"""The same for a further connection that is open: the network works, and a peer that is slow to
answer needs the time."""
TOKEN_HEADER: Final = "persimmonusher-token"


class PeerChannel(Channel):
    """A channel that can be reset, so that nothing sent on it arrives any more."""

    _transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a connection has been opened since the channel last began to open one."""
        return self._transport is not None

    async def _create_connection(self) -> H2Protocol:
        self._transport = None
        protocol = await super()._create_connection()
        self._transport = protocol.connection._transport  # noqa: SLF001 - no public access
        return protocol

    def abort(self) -> None:
        """Reset the connection and fail its calls.

        After an ordinary close the kernel would go on retransmitting, and a peer that is reached
        again would receive messages of long ago.
        """
        transport = self._transport
        self.close()
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


class ChannelPool:
    """Opens and keeps one channel for each peer address.

    >>> with ChannelPool("secret") as pool:  # doctest: +SKIP
    ...     stub = KeeperStub(pool.get("127.0.0.1:7003"))
    """

    def __init__(
        self,
        token: str,
        keepalive_seconds: float = KEEPALIVE_SECONDS,
        clock: Clock = SystemClock(),  # noqa: B008 - without state
    ) -> None:
        self._token = token
        self._clock = clock
        self.silences = PeerSilences()
        self._configuration = Configuration(
            _keepalive_time=keepalive_seconds,
            _keepalive_timeout=keepalive_seconds,
            _http2_max_pings_without_data=0,
        )
        self._channels: dict[str, PeerChannel] = {}

    def get(self, address: str, max_unanswered: float = MAX_UNANSWERED_SECONDS) -> PeerChannel:
        """Return the channel for one call to an `ip:port`; it connects on the first one.

        A channel on which a call has been unanswered for longer than `max_unanswered` seconds, and
        nothing else has arrived since, is reset and replaced.
        """
        now = self._clock.monotonic()
        longest = self._find_longest_wait(address, max_unanswered, now)
        if self.silences.find_wait(address, now) > longest:
            self.forget(address)
        self.silences.record_call(address, now)
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def _find_longest_wait(self, address: str, max_unanswered: float, now: float) -> float:
        """Return for how long a call on the present connection may have no answer.

        A further connection that is still being opened is replaced sooner, since the packets that
        open it may be lost too.
        """
        if self.silences.count_connections(address) == 1:
            return max_unanswered
        channel = self._channels.get(address)
        if channel is not None and channel.is_open:
            return MAX_UNANSWERED_REOPENED_SECONDS
        is_recent = self.silences.find_silence(address, now) < QUICK_OPENING_SECONDS
        return MAX_OPENING_SECONDS if is_recent else MAX_UNANSWERED_SECONDS

    def forget(self, address: str) -> None:
        """Reset the connection to an address; the next `get` opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            self.silences.record_connection(address)
            channel.abort()

    def _open(self, address: str) -> PeerChannel:
        host, _, port = address.rpartition(":")
        channel = PeerChannel(host, int(port), config=self._configuration)

        async def record_answer(event: object) -> None:
            self.silences.record_answer(address, self._clock.monotonic())

        listen(channel, SendRequest, self._add_token)
        listen(channel, RecvInitialMetadata, record_answer)
        listen(channel, RecvMessage, record_answer)
        listen(channel, RecvTrailingMetadata, record_answer)
        return channel

    async def _add_token(self, event: SendRequest) -> None:
        event.metadata[TOKEN_HEADER] = self._token

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def require_token(server: Server, names_by_token: Mapping[str, str]) -> None:
    """Make the server refuse every call that carries none of the tokens (the mapping's keys)."""

    async def check(event: RecvRequest) -> None:
        token = event.metadata.get(TOKEN_HEADER)
        if not isinstance(token, str) or token not in names_by_token:
            raise GRPCError(Status.UNAUTHENTICATED, "the call carries no known token")

    listen(server, RecvRequest, check)
