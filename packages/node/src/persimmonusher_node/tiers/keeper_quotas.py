"""An entry's side of the organisations' quotas: asks keepers, and holds a token for what comes.

An organisation's requests mostly come over the same connections, so an entry that has had two will
probably have another soon. With a token at hand it needn't wait for a keeper, and goes on where for
some seconds no keeper answers.
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

TRY_SECONDS: Final = 0.3
"""Longest wait for one keeper: longer than a loan between keepers takes."""
ASK_SECONDS: Final = 0.7
"""Longest wait for all keepers, after which the caller had better try another instance."""
RETRY_SECONDS: Final = 0.05
"""Pause before the keepers are asked again."""
GIVEN_BACK_SECONDS: Final = 0.5
"""Time in which a token may be used again whose request was not run. It wasn't asked for to be
held, so that the keepers don't count it among those that are."""


class KeeperQuotas(Quotas):
    """Counts requests by the keepers' grants."""

    def __init__(
        self,
        instance_id: str,
        list_keepers: Callable[[], Sequence[str]],
        channels: ChannelPool,
        clock: Clock,
    ) -> None:
        self._instance_id = instance_id
        self._list_keepers = list_keepers
        """Returns the keepers' addresses, the one to ask first in front."""
        self._channels = channels
        self._clock = clock
        self._held: dict[CallerId, float] = {}
        """When the token ends that is at hand for an organisation."""
        self._asking: set[CallerId] = set()
        """Organisations for which a token to hold is being asked for."""
        self._seen: OrderedDict[CallerId, float] = OrderedDict()
        """When each organisation's latest request came, the oldest first."""

    def take(self, organisation: Organisation) -> QuotaVerdict:
        """Use the token at hand, or ask the keepers for one; waits for their answer."""
        name = organisation.name
        expects_more = self._note_request(name) and name not in self._asking
        if self._clock.monotonic() < self._held.pop(name, -inf):
            if expects_more:
                start_coroutine(self._ask(name, wants_ahead=True, ahead_only=True))
            return QuotaVerdict.GRANTED
        return run_coroutine(self._ask(name, expects_more, ahead_only=False))

    def give_back(self, organisation: Organisation) -> None:
        """Keep a token for the next request, where none is kept."""
        ends = self._clock.monotonic() + GIVEN_BACK_SECONDS
        self._held.setdefault(organisation.name, ends)

    def _note_request(self, name: CallerId) -> bool:
        """Tell whether another request of the organisation came before a token would be void.

        Organisations whose tokens are void are forgotten, so that memory follows the traffic.
        """
        now = self._clock.monotonic()
        former = self._seen.pop(name, None)
        self._seen[name] = now
        while next(iter(self._seen.values())) < now - HELD_SECONDS:
            forgotten, _ = self._seen.popitem(last=False)
            self._held.pop(forgotten, None)
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
        until = self._clock.monotonic() + ASK_SECONDS
        while self._clock.monotonic() < until:
            for address in self._list_keepers():
                asked = self._clock.monotonic()
                left = max(0.0, until - asked)
                reply = await self._ask_keeper(address, request, min(TRY_SECONDS, left))
                if reply is None:
                    continue
                if reply.ahead:
                    self._held[name] = asked + HELD_SECONDS
                return QuotaVerdict.GRANTED if reply.granted else QuotaVerdict.EXCEEDED
            await asyncio.sleep(RETRY_SECONDS)
        return QuotaVerdict.UNKNOWN

    async def _ask_keeper(
        self, address: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply | None:
        try:
            reply = await QuotasStub(self._channels.get(address)).Take(request, timeout=timeout)
        except CALL_ERRORS as error:
            logger.debug("quota-not-told", keeper=address, error=repr(error))
            return None
        return reply if reply.HasField("granted") else None
