"""An entry's side of the organisations' quotas: gets tokens from keepers, and holds some ahead.

An organisation's requests mostly come over the same connections, so an entry that had two will
probably get another soon. With a held token it doesn't wait for a keeper, and can grant a request
even if no keeper answers for some seconds.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence
from math import inf
from typing import Final

import structlog

from persimmonusher_decisions.quota_shares import HELD_SECONDS
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import Organisation
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import run_coroutine, start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Quotas, QuotaVerdict
from persimmonusher_protocol import control_pb2 as pb
from persimmonusher_protocol.control_grpc import QuotasStub

logger = structlog.get_logger(__name__)

KEEPER_TIMEOUT_SECONDS: Final = 0.3
"""Longest wait for one keeper: longer than a loan between keepers takes."""
ASK_TIMEOUT_SECONDS: Final = 0.7
"""Longest wait for all keepers together; after it the caller should try another instance."""
RETRY_PAUSE_SECONDS: Final = 0.05
"""Pause before the keepers are asked again."""
RETURNED_TOKEN_SECONDS: Final = 0.5
"""Time for which the token of a request that was not run may be used again. The keepers granted it
for immediate use, so that they don't count it among the held tokens."""


class KeeperQuotas(Quotas):
    """Enforces quotas by the grants of the keepers."""

    def __init__(
        self,
        instance_id: str,
        list_keepers: Callable[[], Sequence[str]],
        channels: ChannelPool,
        clock: Clock,
    ) -> None:
        self._instance_id = instance_id
        self._list_keepers = list_keepers
        """Returns the keepers' addresses in the order in which to ask them."""
        self._channels = channels
        self._clock = clock
        self._held: dict[CallerId, float] = {}
        """When the token that is held for an organisation expires."""
        self._asking: set[CallerId] = set()
        """Organisations for which a call that asks for a token to hold is in flight."""
        self._requested_at: OrderedDict[CallerId, float] = OrderedDict()
        """Time of each organisation's latest request, the oldest first."""

    def take(self, organisation: Organisation) -> QuotaVerdict:
        """Use the held token, or else ask the keepers for one and wait for the answer."""
        name = organisation.name
        expects_more = self._note_request(name) and name not in self._asking
        if self._clock.monotonic() < self._held.pop(name, -inf):
            if expects_more:
                start_coroutine(self._ask(name, wants_ahead=True, ahead_only=True))
            return QuotaVerdict.GRANTED
        return run_coroutine(self._ask(name, expects_more, ahead_only=False))

    def give_back(self, organisation: Organisation) -> None:
        """Keep the token of a request that was not run for the next one, unless one is held."""
        ends = self._clock.monotonic() + RETURNED_TOKEN_SECONDS
        self._held.setdefault(organisation.name, ends)

    def _note_request(self, name: CallerId) -> bool:
        """Return whether the organisation's previous request came within a token's lifetime.

        Organisations without a request for that long are forgotten, so that memory use follows the
        traffic.
        """
        now = self._clock.monotonic()
        former = self._requested_at.pop(name, None)
        self._requested_at[name] = now
        while next(iter(self._requested_at.values())) < now - HELD_SECONDS:
            expired, _ = self._requested_at.popitem(last=False)
            self._held.pop(expired, None)
        return former is not None and now - former < HELD_SECONDS

    async def _ask(self, name: CallerId, wants_ahead: bool, ahead_only: bool) -> QuotaVerdict:
        if wants_ahead:
            self._asking.add(name)
        request = pb.QuotaRequest(
            organisation=name,
            holder=self._instance_id if wants_ahead else "",
            ahead_only=ahead_only,
        )
        try:
            return await self._ask_keepers(name, request)
        finally:
            if wants_ahead:
                self._asking.discard(name)

    async def _ask_keepers(self, name: CallerId, request: pb.QuotaRequest) -> QuotaVerdict:
        until = self._clock.monotonic() + ASK_TIMEOUT_SECONDS
        while self._clock.monotonic() < until:
            for address in self._list_keepers():
                asked = self._clock.monotonic()
                left = max(0.0, until - asked)
                reply = await self._ask_keeper(address, request, min(KEEPER_TIMEOUT_SECONDS, left))
                if reply is None:
                    continue
                if reply.ahead:
                    self._held[name] = asked + HELD_SECONDS
                return QuotaVerdict.GRANTED if reply.granted else QuotaVerdict.EXCEEDED
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return QuotaVerdict.UNKNOWN

    async def _ask_keeper(
        self, address: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply | None:
        try:
            reply = await QuotasStub(self._channels.get(address)).Take(request, timeout=timeout)
        except CALL_ERRORS as error:
            logger.debug("quota-call-failed", keeper=address, error=repr(error))
            return None
        return reply if reply.HasField("granted") else None
