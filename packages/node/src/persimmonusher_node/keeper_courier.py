"""Carries the log's messages to other keepers; what can't be carried is dropped and sent anew."""

import asyncio
from typing import Final

from persimmonusher_agreement.log_messages import KeeperId, LogMessage, Members, SnapshotRequest
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_message_wire import encode_message
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import KeeperStub

MESSAGE_SECONDS: Final = 1.0
SNAPSHOT_SECONDS: Final = 30.0

MESSAGES_IN_FLIGHT: Final = 16
"""Per keeper. Messages to one that hangs would otherwise gather without bound; the log sends anew
whatever is dropped."""

TIMEOUTS_TO_RECONNECT: Final = 3
"""In a row. One can be a pause of the other's loop, and others use the connection too."""

ADDRESSES_KEPT: Final = 64
"""Keepers that are no members here, known by their messages; more can only be strays."""


class KeeperCourier:
    """Sends messages to members by their address, and to others by the one they gave."""

    def __init__(self, channels: ChannelPool, own_address: str) -> None:
        self._channels = channels
        self._own_address = own_address
        self._addresses: dict[KeeperId, str] = {}
        self._in_flight: dict[str, int] = {}
        self._timeouts: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def learn_address(self, keeper: KeeperId, address: str) -> None:
        """Take where a keeper says it listens."""
        if keeper not in self._addresses and len(self._addresses) >= ADDRESSES_KEPT:
            self._addresses.pop(next(iter(self._addresses)))
        self._addresses[keeper] = address

    def send(self, message: LogMessage, members: Members, followers: int = 0) -> None:
        """Send a message without waiting; at most a few are on their way to each keeper."""
        member = members.find(message.target)
        address = member.address if member else self._addresses.get(message.target, "")
        if not address or self._in_flight.get(address, 0) >= MESSAGES_IN_FLIGHT:
            return
        wire = encode_message(message)
        wire.lineage = members.lineage
        wire.address = self._own_address
        wire.followers = followers
        is_snapshot = isinstance(message, SnapshotRequest)
        timeout = SNAPSHOT_SECONDS if is_snapshot else MESSAGE_SECONDS
        self._in_flight[address] = self._in_flight.get(address, 0) + 1
        task = start_coroutine(self._call(address, wire, timeout))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, address: str, wire: pb.LogMessage, timeout: float) -> None:
        try:
            await KeeperStub(self._channels.get(address)).Step(wire, timeout=timeout)
            self._timeouts.pop(address, None)
        except TimeoutError:
            self._count_timeout(address)
        except CALL_ERRORS:
            return
        finally:
            self._in_flight[address] -= 1

    def _count_timeout(self, address: str) -> None:
        """Give up a connection on which nothing gets through.

        Guards against a cut that heals: TCP sends again ever more seldom, up to two minutes apart,
        so a keeper would stay cut off that long after the network is well. A new connection tries
        at once.
        """
        count = self._timeouts.get(address, 0) + 1
        self._timeouts[address] = count % TIMEOUTS_TO_RECONNECT
        if count == TIMEOUTS_TO_RECONNECT:
            self._channels.forget(address)

    def stop(self) -> None:
        """End all calls."""
        for task in tuple(self._tasks):
            task.cancel()
