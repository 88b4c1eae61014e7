"""Notices that entries send each other directly while no keeper can relay them."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

import structlog
from grpclib.server import Stream

from persimmonusher_decisions.notices import Notice
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.tiers.notice_wire import decode_notice, encode_notice
from persimmonusher_node.tiers.quota_router import QuotaRouter
from persimmonusher_protocol import control_pb2, keeper_pb2
from persimmonusher_protocol.control_grpc import PeersBase, PeersStub

logger = structlog.get_logger(__name__)

SEND_TIMEOUT_SECONDS: Final = 0.5
"""A notice that takes longer to arrive has lost most of its value."""
MAX_PEERS: Final = 16
"""Peers to which one entry sends notices directly. With more peers than this, neighbouring entries
send to different ones, and each of these sees failures of its own."""
MAX_CALLS_IN_FLIGHT: Final = 64
"""Limit on concurrent calls, so that they don't pile up without bound when peers hang."""


class PeerNotices:
    """Sends notices directly to the entries that follow the same keeper.

    Guards against the loss of all keepers at once, such as by a network cut between them and the
    entries, which may last for hours. Without direct notices each entry would have to see each
    server's failures for itself, at the cost of requests that can't be sent again. The peers are
    those that the last keeper named.
    """

    def __init__(self, own_address: str, channels: ChannelPool) -> None:
        self._own_address = own_address
        self._channels = channels
        self._peers: tuple[str, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()

    def replace_peers(self, addresses: Sequence[str]) -> None:
        """Choose the peers to notify from the addresses that a keeper named."""
        self._peers = choose_peers(addresses, self._own_address)

    def send(self, notices: Sequence[Notice]) -> None:
        """Send notices to all chosen peers, without waiting for any of them."""
        batch = control_pb2.NoticeBatch(notices=map(encode_notice, notices), relayed=True)
        for address in self._peers:
            if len(self._tasks) >= MAX_CALLS_IN_FLIGHT:
                return
            task: asyncio.Task[None] = start_coroutine(self._send(address, batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, batch: control_pb2.NoticeBatch) -> None:
        try:
            await PeersStub(self._channels.get(address)).Tell(batch, timeout=SEND_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            logger.debug("peer-notices-not-sent", peer=address, error=repr(error))


def choose_peers(addresses: Sequence[str], own: str) -> tuple[str, ...]:
    """Return the addresses that come after the own one in a ring of all of them.

    If all entries chose the same few peers, the others would never get a notice.
    """
    later = sorted(address for address in addresses if address > own)
    earlier = sorted(address for address in addresses if address < own)
    return (*later, *earlier)[:MAX_PEERS]


class PeerNoticeService(PeersBase):
    """Receives the calls of other entries: notices, and quota requests to be forwarded."""

    def __init__(self, on_notice: Callable[[Notice], None], router: QuotaRouter) -> None:
        self._on_notice = on_notice
        self._router = router

    async def Tell(  # noqa: N802
        self, stream: "Stream[control_pb2.NoticeBatch, keeper_pb2.Ack]"
    ) -> None:
        """Pass the notices of one entry to the handler."""
        batch = await stream.recv_message()
        assert batch is not None
        for notice in batch.notices:
            self._on_notice(decode_notice(notice))
        await stream.send_message(keeper_pb2.Ack())

    async def TakeQuota(  # noqa: N802
        self, stream: "Stream[control_pb2.QuotaRequest, control_pb2.QuotaReply]"
    ) -> None:
        """Forward a request to a keeper."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._router.take_for_peer(request))
