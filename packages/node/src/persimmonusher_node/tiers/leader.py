"""Calls from any keeper to the leader."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from persimmonusher_agreement.configuration_objects import Change, Verdict
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_wire import decode_verdict, encode_change
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import keeper_pb2 as pb
from persimmonusher_protocol.keeper_grpc import KeeperStub

T = TypeVar("T")

RETRY_PAUSE_SECONDS: Final = 0.05
"""Pause before the leader is looked up again: a fraction of an election's time."""
TRY_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of one try; a leader that was just frozen or cut off must not use up the whole time."""
RETRIED_CODES: Final = frozenset({ErrorCode.NOT_LEADER, ErrorCode.UNAVAILABLE})


class LeaderCalls:
    """Proposes changes and confirms reads at the leader; every call is safe to repeat."""

    def __init__(self, role: KeeperRole, channels: ChannelPool, clock: Clock) -> None:
        self._role = role
        self._channels = channels
        self._clock = clock

    async def propose(self, change: Change, timeout: float) -> Verdict:
        """Return the verdict on a change; raise NO_QUORUM when its outcome is unknown."""

        async def ask(stub: KeeperStub, left: float) -> Verdict:
            reply = await stub.Propose(encode_change(change), timeout=left)
            if reply.WhichOneof("reply") != "verdict":
                raise UsherError(ErrorCode.NOT_LEADER, reply.unknown or "it doesn't lead")
            return decode_verdict(reply.verdict)

        return await self._ask(lambda: self._role.propose(change), ask, timeout)

    async def confirm(self, timeout: float) -> Revision:
        """Return a revision that holds every change accepted before the call."""

        async def ask(stub: KeeperStub, left: float) -> Revision:
            reply = await stub.Confirm(pb.ConfirmRequest(), timeout=left)
            if not reply.HasField("revision"):
                raise UsherError(ErrorCode.NOT_LEADER, "it doesn't lead")
            return Revision(reply.revision)

        return await self._ask(self._role.confirm, ask, timeout)

    async def _ask(
        self,
        own: Callable[[], Awaitable[T]],
        ask: Callable[[KeeperStub, float], Awaitable[T]],
        timeout: float,
    ) -> T:
        deadline = self._clock.monotonic() + timeout
        failure = "no leader is known"
        while (left := deadline - self._clock.monotonic()) > 0:
            left = min(left, TRY_TIMEOUT_SECONDS)
            try:
                status = self._role.keeper.describe()
                if self._role.keeper.replica.is_leader:
                    return await asyncio.wait_for(own(), left)
                if status.leader_address:
                    return await ask(KeeperStub(self._channels.get(status.leader_address)), left)
            except UsherError as error:
                if error.code not in RETRIED_CODES:
                    raise
                failure = error.message
            except CALL_ERRORS as error:
                failure = str(error) or type(error).__name__
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        message = f"no leader of the keepers decided within {timeout} s: {failure}"
        raise UsherError(ErrorCode.NO_QUORUM, message)
