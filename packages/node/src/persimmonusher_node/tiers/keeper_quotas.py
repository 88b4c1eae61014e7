"""An entry's side of the organisations' quotas: gets tokens from keepers, and holds some ahead.

An organisation's requests mostly come over the same connections, so an entry that had two will
probably get another soon. With a held token it doesn't wait for a keeper, and can grant a request
even if no keeper answers for some seconds.
"""

from collections import OrderedDict
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final

from persimmonusher_decisions.quota_shares import HELD_SECONDS
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import Organisation, RequestQuota
from persimmonusher_node.loop import run_coroutine, start_coroutine
from persimmonusher_node.ports import Quotas, QuotaVerdict
from persimmonusher_node.tiers.quota_router import QuotaRouter
from persimmonusher_protocol import control_pb2 as pb

RETURNED_TOKEN_SECONDS: Final = 0.5
"""Time for which the token of a request that was not run may be used again. The keepers granted it
for immediate use, so that they don't count it among the held tokens."""


@dataclass(frozen=True, slots=True)
class HeldToken:
    """A token for an organisation's next request."""

    expires_at: float
    """Reading of the clock."""
    quota: RequestQuota | None
    """The quota that was in force here when it was asked for."""


class KeeperQuotas(Quotas):
    """Enforces quotas by the grants of the keepers, which the router asks."""

    def __init__(self, instance_id: str, router: QuotaRouter, clock: Clock) -> None:
        self._instance_id = instance_id
        self._router = router
        self._clock = clock
        self._held: dict[CallerId, HeldToken] = {}
        self._asking: set[CallerId] = set()
        """Organisations for which a call that asks for a token to hold is in flight."""
        self._requested_at: OrderedDict[CallerId, float] = OrderedDict()
        """Time of each organisation's latest request, the oldest first."""

    def acquire(self, organisation: Organisation) -> QuotaVerdict:
        """Use the held token, or else ask the keepers for one and wait for the answer."""
        asking = self.use_held(organisation)
        return QuotaVerdict.GRANTED if asking is None else run_coroutine(asking)

    def use_held(self, organisation: Organisation) -> Coroutine[Any, Any, QuotaVerdict] | None:
        """Use the held token for a request; if there is none, return a coroutine that asks for one.

        A token that was granted before the quota changed isn't used: all instances together may
        hold more of them than a lower quota allows.
        """
        name = organisation.name
        expects_more = self._note_request(name) and name not in self._asking
        token = self._held.pop(name, None)
        is_usable = token is not None and token.quota == organisation.quota
        if token is None or not is_usable or self._clock.monotonic() >= token.expires_at:
            return self._ask(organisation, expects_more, ahead_only=False)
        if expects_more:
            start_coroutine(self._ask(organisation, wants_ahead=True, ahead_only=True))
        return None

    def release(self, organisation: Organisation) -> None:
        """Keep the token of a request that was not run for the next one, unless one is held."""
        ends = self._clock.monotonic() + RETURNED_TOKEN_SECONDS
        self._held.setdefault(organisation.name, HeldToken(ends, organisation.quota))

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

    async def _ask(
        self, organisation: Organisation, wants_ahead: bool, ahead_only: bool
    ) -> QuotaVerdict:
        name = organisation.name
        if wants_ahead:
            self._asking.add(name)
        request = pb.QuotaRequest(
            organisation=name,
            holder=self._instance_id if wants_ahead else "",
            ahead_only=ahead_only,
        )
        asked = self._clock.monotonic()
        try:
            reply = await self._router.take(request)
        finally:
            if wants_ahead:
                self._asking.discard(name)
        if reply is None:
            return QuotaVerdict.UNKNOWN
        if reply.ahead:
            self._held[name] = HeldToken(asked + HELD_SECONDS, organisation.quota)
        return QuotaVerdict.GRANTED if reply.granted else QuotaVerdict.EXCEEDED
