"""Sends the sums of this keeper's followers to the other keepers."""

import asyncio
from typing import Final

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.tiers.fleet_work import FleetWork
from persimmonusher_protocol import control_pb2 as pb
from persimmonusher_protocol.control_grpc import ControlStub

logger = structlog.get_logger(__name__)

SEND_TIMEOUT_SECONDS: Final = 0.5
"""The interval between two messages: the next one replaces what takes longer."""
UNSUPPORTED_PAUSE_SECONDS: Final = 60.0
"""Pause before a keeper of a previous version is asked again: it may have been upgraded."""


class LoadExchange:
    """Makes one call at a time to each keeper; one that hangs costs the others nothing."""

    def __init__(
        self, fleet: FleetWork, role: KeeperRole, channels: ChannelPool, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._role = role
        self._channels = channels
        self._clock = clock
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._asked_again_at: dict[str, float] = {}
        """When to ask those of a previous version again, by address."""
        self.sent_bytes = 0
        """Bytes of the messages sent so far, without what gRPC and below add."""

    def share(self) -> None:
        """Send the sums to all other keepers, without waiting; nothing while there is no work."""
        now, identity = self._clock.monotonic(), self._role.identity
        try:
            members = self._role.keeper.replica.log.members.members
        except UsherError:
            return
        sums = self._fleet.make_sums(identity, now)
        if sums is None:
            return
        for member in members:
            if member.keeper != identity and self._may_call(member.address, now):
                call: asyncio.Task[None] = start_coroutine(self._send(member.address, sums))
                self._calls[member.address] = call

    def _may_call(self, address: str, now: float) -> bool:
        call = self._calls.get(address)
        if call is not None and not call.done():
            return False
        return now >= self._asked_again_at.get(address, now)

    async def _send(self, address: str, sums: pb.LoadSums) -> None:
        self.sent_bytes += sums.ByteSize()
        try:
            stub = ControlStub(self._channels.get(address))
            await stub.ShareLoads(sums, timeout=SEND_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            if isinstance(error, GRPCError) and error.status is Status.UNIMPLEMENTED:
                asked_again_at = self._clock.monotonic() + UNSUPPORTED_PAUSE_SECONDS
                self._asked_again_at[address] = asked_again_at
            logger.debug("loads-not-shared", keeper=address, error=repr(error))
