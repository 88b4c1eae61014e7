"""Sends the log's messages to other keepers, without retries: the log itself resends."""

import asyncio
from typing import Final

from persimmonusher_agreement.log_messages import KeeperId, LogMessage, Members, SnapshotRequest
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_message_wire import encode_message
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import KeeperStub

MESSAGE_TIMEOUT_SECONDS: Final = 1.0
SNAPSHOT_TIMEOUT_SECONDS: Final = 30.0

MAX_MESSAGES_IN_FLIGHT: Final = 16
"""Limit per keeper: messages to one that hangs would otherwise pile up without bound. Further ones
are dropped, and the log resends them."""

MAX_UNANSWERED_SECONDS: Final = 0.5
"""Longest time without an answer before the connection to a keeper is replaced: more than a
heartbeat interval, and a fraction of an election timeout."""

MAX_ADDRESSES: Final = 64
"""Keepers that aren't members here and whose addresses are kept from their messages; more than this
can only be strays."""


class KeeperSender:
    """Sends messages to members by their listed address, to others by the one they reported."""

    def __init__(self, channels: ChannelPool, own_address: str) -> None:
        self._channels = channels
        self._own_address = own_address
        self._addresses: dict[KeeperId, str] = {}
        self._in_flight: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def learn_address(self, keeper: KeeperId, address: str) -> None:
        """Remember the address at which a keeper says that it listens."""
        if keeper not in self._addresses and len(self._addresses) >= MAX_ADDRESSES:
            self._addresses.pop(next(iter(self._addresses)))
        self._addresses[keeper] = address

    def send(self, message: LogMessage, members: Members, followers: int = 0) -> None:
        """Send a message without waiting.

        It is dropped if the address is unknown or too many messages are in flight to it.
        """
        member = members.find(message.target)
        address = member.address if member else self._addresses.get(message.target, "")
        if not address or self._in_flight.get(address, 0) >= MAX_MESSAGES_IN_FLIGHT:
            return
        wire = encode_message(message)
        wire.lineage = members.lineage
        wire.address = self._own_address
        wire.followers = followers
        is_snapshot = isinstance(message, SnapshotRequest)
        timeout = SNAPSHOT_TIMEOUT_SECONDS if is_snapshot else MESSAGE_TIMEOUT_SECONDS
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        task = start_coroutine(self._call(address, wire, timeout))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, address: str, wire: pb.LogMessage, timeout: float) -> None:
        try:
            channel = self._channels.get(address, MAX_UNANSWERED_SECONDS)
            await KeeperStub(channel).Step(wire, timeout=timeout)
        except CALL_ERRORS:
            return
        finally:
            self._in_flight[address] -= 1

    def stop(self) -> None:
        """Cancel all calls in flight."""
        for task in tuple(self._tasks):
            task.cancel()
