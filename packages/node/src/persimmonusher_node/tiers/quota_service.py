"""A keeper's side of the organisations' quotas: grants to entries, and loans between keepers."""

import asyncio
from collections.abc import Sequence
from typing import Final

import structlog
from grpclib.server import Stream

from persimmonusher_decisions.quota_shares import Grant, QuotaShares, QuotaTerms
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import RequestQuota
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import control_pb2 as pb
from persimmonusher_protocol.control_grpc import QuotasBase, QuotasStub

logger = structlog.get_logger(__name__)

LOAN_TIMEOUT_SECONDS: Final = 0.1
"""Longest wait for a loan, while the request waits too: far above the latency between failure
domains."""
LOAN_BACKOFF_SECONDS: Final = 0.25
"""Time without further calls after no keeper had a token to lend: an organisation far beyond its
quota then costs a few calls a second instead of several for each request."""
MAX_LOAN_BACKOFFS: Final = 4_096
"""Organisations for which the wait is remembered. Beyond this limit all are forgotten, and the
other keepers are asked again."""
MAX_MAJORITY_AGE_SECONDS: Final = 3.0
"""A keeper out of contact with a majority for longer grants nothing: another one may have replaced
it as a voter and own its share of the quotas."""


class QuotaService(QuotasBase):
    """Grants requests from this keeper's shares of the quotas."""

    def __init__(
        self,
        role: KeeperRole,
        view: ConfigurationClient,
        channels: ChannelPool,
        terms: QuotaTerms,
        keepers: int,
        clock: Clock,
    ) -> None:
        self._role = role
        self._view = view
        self._channels = channels
        self._clock = clock
        self._shares = QuotaShares(terms, keepers, clock.monotonic())
        self._loans: dict[CallerId, asyncio.Task[bool]] = {}
        self._loan_backoff_until: dict[CallerId, float] = {}

    async def Take(self, stream: "Stream[pb.QuotaRequest, pb.QuotaReply]") -> None:  # noqa: N802
        """Grant a request, a token for a later one, or both.

        The reply is empty if this keeper knows no quota or may not grant.
        """
        request = await stream.recv_message()
        assert request is not None
        name = CallerId(request.organisation)
        quota = self._find_quota(name)
        if quota is None or not self._may_grant():
            await stream.send_message(pb.QuotaReply())
            return
        grant = await self._take(name, quota, request)
        await stream.send_message(pb.QuotaReply(granted=grant.now, ahead=grant.ahead))

    async def Lend(self, stream: "Stream[pb.LendRequest, pb.LendReply]") -> None:  # noqa: N802
        """Lend tokens to a keeper that has none."""
        request = await stream.recv_message()
        assert request is not None
        name = CallerId(request.organisation)
        quota = self._find_quota(name)
        tokens = 0.0
        if quota is not None and self._may_grant():
            tokens = self._shares.lend(name, quota, self._clock.monotonic())
        await stream.send_message(pb.LendReply(tokens=tokens))

    async def _take(self, name: CallerId, quota: RequestQuota, request: pb.QuotaRequest) -> Grant:
        holder = request.holder
        if request.ahead_only:
            return self._shares.take_ahead(name, quota, holder, self._clock.monotonic())
        grant = self._shares.take(name, quota, holder, self._clock.monotonic())
        if grant.now or not await self._borrow(name, quota):
            return grant
        return self._shares.take(name, quota, holder, self._clock.monotonic())

    async def _borrow(self, name: CallerId, quota: RequestQuota) -> bool:
        """Ask the other keepers for tokens, once for all requests that wait for them.

        Returns whether they lent at least one token.
        """
        now = self._clock.monotonic()
        if now < self._loan_backoff_until.get(name, now):
            return False
        self._loan_backoff_until.pop(name, None)
        loan = self._loans.get(name)
        if loan is None:
            loan = self._loans[name] = start_coroutine(self._ask_others(name, quota))
        return await asyncio.shield(loan)

    async def _ask_others(self, name: CallerId, quota: RequestQuota) -> bool:
        """Return whether the other keepers lent at least one token in all."""
        try:
            replies = await asyncio.gather(
                *(self._ask(address, name) for address in self._list_others())
            )
            now = self._clock.monotonic()
            self._shares.add(name, quota, sum(replies), now)
            if len(self._loan_backoff_until) >= MAX_LOAN_BACKOFFS:
                self._loan_backoff_until.clear()
            if sum(replies) < 1.0:
                self._loan_backoff_until[name] = now + LOAN_BACKOFF_SECONDS
            return sum(replies) >= 1.0
        finally:
            del self._loans[name]

    async def _ask(self, address: str, name: CallerId) -> float:
        try:
            stub = QuotasStub(self._channels.get(address))
            reply = await stub.Lend(pb.LendRequest(organisation=name), timeout=LOAN_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            logger.debug("loan-call-failed", keeper=address, error=repr(error))
            return 0.0
        return reply.tokens

    def _list_others(self) -> Sequence[str]:
        members = self._role.keeper.replica.log.members.members
        return [member.address for member in members if member.keeper != self._role.identity]

    def _find_quota(self, name: CallerId) -> RequestQuota | None:
        book = self._view.organisations
        organisation = None if book is None else book.find(name)
        return None if organisation is None else organisation.quota

    def _may_grant(self) -> bool:
        """Return whether this keeper is a voter and in recent contact with a majority."""
        try:
            keeper = self._role.keeper
        except UsherError:
            return False
        if self._role.identity not in keeper.replica.log.members.list_voters():
            return False
        return keeper.replica.find_majority_age(self._clock.monotonic()) < MAX_MAJORITY_AGE_SECONDS
