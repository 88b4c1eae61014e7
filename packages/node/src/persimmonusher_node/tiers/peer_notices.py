"""Notices between entries that have no keeper to pass them on."""

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
from persimmonusher_protocol import control_pb2, keeper_pb2
from persimmonusher_protocol.control_grpc import PeersBase, PeersStub

logger = structlog.get_logger(__name__)

TELL_SECONDS: Final = 0.5
"""A notice that took longer to arrive has lost most of its worth."""
PEERS_TOLD: Final = 16
"""Peers that one entry tells directly. In larger domains each tells as many of them, others than
its neighbour does, and those see failures of their own."""
CALLS_IN_FLIGHT: Final = 64
"""Calls at one time, so that peers that hang don't gather them without bound."""


class PeerNotices:
    """Tells the entries of the same keeper directly.

    Guards against the loss of all keepers at once, such as by a cut between them and the entries,
    which may last for hours: without it each entry would have to see each server's failures for
    itself, and requests that can't be sent again are lost to each of them. The peers are those that
    the last keeper named.
    """

    def __init__(self, own_address: str, channels: ChannelPool) -> None:
        self._own_address = own_address
        self._channels = channels
        self._peers: tuple[str, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()

    def replace_peers(self, addresses: Sequence[str]) -> None:
        """Take the peers that a keeper named."""
        self._peers = choose_peers(addresses, self._own_address)

    def tell(self, notices: Sequence[Notice]) -> None:
        """Tell all peers, without waiting for any."""
        batch = control_pb2.NoticeBatch(notices=map(encode_notice, notices), relayed=True)
        for address in self._peers:
            if len(self._tasks) >= CALLS_IN_FLIGHT:
                return
            task: asyncio.Task[None] = start_coroutine(self._send(address, batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, batch: control_pb2.NoticeBatch) -> None:
        try:
            await PeersStub(self._channels.get(address)).Tell(batch, timeout=TELL_SECONDS)
        except CALL_ERRORS as error:
            logger.debug("peer-not-told", peer=address, error=repr(error))


def choose_peers(addresses: Sequence[str], own: str) -> tuple[str, ...]:
    """Return those that follow the own address in a ring of all.

    Were they the same few for all, the others of a large domain would never be told of anything.
    """
    later = sorted(address for address in addresses if address > own)
    earlier = sorted(address for address in addresses if address < own)
    return (*later, *earlier)[:PEERS_TOLD]


class PeerNoticeService(PeersBase):
    """Takes what other entries tell."""

    def __init__(self, take_notice: Callable[[Notice], None]) -> None:
        self._take_notice = take_notice

    async def Tell(  # noqa: N802
        self, stream: "Stream[control_pb2.NoticeBatch, keeper_pb2.Ack]"
    ) -> None:
        """Take the notices of one entry."""
        batch = await stream.recv_message()
        assert batch is not None
        for notice in batch.notices:
            self._take_notice(decode_notice(notice))
        await stream.send_message(keeper_pb2.Ack())
