"""gRPC channels to other instances, one for each address, opened when first needed.

Every call carries the peer token as metadata. A channel reconnects by itself. A call to an instance
that is gone fails only by its own timeout, so every call needs one.
"""

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
from grpclib.server import Server

from persimmonusher_model.clock import Clock
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.peer_silence import PeerSilences

KEEPALIVE_SECONDS: Final = 5.0
"""Interval of pings on a channel with calls in progress, and the timeout of each ping.

Guards against a network partition that drops packets without an error. TCP then retransmits at
growing intervals of up to minutes, and calls go on failing long after the partition has healed. A
ping without an answer closes the connection, and the next call opens a new one. 10 s after the
partition began is soon enough: until then, calls have their own, shorter timeouts.
"""
TOKEN_HEADER: Final = "persimmonusher-token"


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
        self._channels: dict[str, Channel] = {}

    def get(self, address: str) -> Channel:
        """Return the channel for one call to an `ip:port`; it connects on the first one."""
        self.silences.record_call(address, self._clock.monotonic())
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def forget(self, address: str) -> None:
        """Close the channel to an address; the next `get` opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            self.silences.record_connection(address)
            channel.close()

    def _open(self, address: str) -> Channel:
        host, _, port = address.rpartition(":")
        channel = Channel(host, int(port), config=self._configuration)

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
        for address in list(self._channels):
            self.forget(address)


def require_token(server: Server, names_by_token: Mapping[str, str]) -> None:
    """Make the server refuse every call that carries none of the tokens (the mapping's keys)."""

    async def check(event: RecvRequest) -> None:
        token = event.metadata.get(TOKEN_HEADER)
        if not isinstance(token, str) or token not in names_by_token:
            raise GRPCError(Status.UNAUTHENTICATED, "the call carries no known token")

    listen(server, RecvRequest, check)
