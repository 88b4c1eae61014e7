"""Sends an entry's requests for quota to a keeper, directly or through another entry.

The same object forwards such requests for other entries. A request for tokens is sent once by each
way: one that may have arrived counts as used, and is never sent again by a helper.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from persimmonusher_decisions.quota_paths import (
    MAX_PROBES_IN_FLIGHT,
    ForwardLimit,
    HelperSearch,
)
from persimmonusher_model.clock import Clock
from persimmonusher_node.component import Component
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.tiers.keeper_reach import KEEPER_TIMEOUT_SECONDS, KeeperReach
from persimmonusher_node.tiers.quota_port import QuotaPort
from persimmonusher_protocol import control_pb2 as pb

logger = structlog.get_logger(__name__)

FORWARD_TIMEOUT_SECONDS: Final = 0.2
"""Longest wait of a helper for a keeper, so that its reply arrives in time."""
ASK_TIMEOUT_SECONDS: Final = 0.7
"""Longest wait for all ways together; after it the caller should try another instance."""
PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Longest wait for an entry's answer whether it can help, which may check its keepers first."""
SEARCH_WAIT_SECONDS: Final = 0.3
"""Longest wait of a request for the first search after the keepers or all helpers were lost."""
SEARCH_PAUSE_SECONDS: Final = 0.25
"""Mean pause between two rounds of the search; the rate of its questions is limited too."""


class QuotaRouter(Component):
    """Finds the way by which each request for tokens goes."""

    def __init__(
        self,
        own_address: str,
        list_keepers: Callable[[], Sequence[str]],
        list_peers: Callable[[], Sequence[str]],
        calls: QuotaPort,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own_address = own_address
        self._list_peers = list_peers
        """Returns the peer interfaces of other entries."""
        self._calls = calls
        self._clock = clock
        self._random = random
        self.tally: Counter[tuple[str, str]] = Counter()
        """Calls by way and result."""
        self._keepers = KeeperReach(list_keepers, calls, clock, random, self.tally)
        self._keepers.on_lost = self._begin_search
        self._keepers.on_reached = self._end_search
        self._search = HelperSearch(own_address, random)
        self._limit = ForwardLimit(clock.monotonic())
        self._searching: asyncio.Task[None] | None = None
        self._may_wait = False
        """Whether the first search since the keepers or all helpers were lost is in progress."""
        self._is_wanted = asyncio.Event()
        """Ends the pause of the search; is set when the last helper is lost."""
        self._changed = asyncio.Event()
        """Is set and replaced at each change of the helpers, and when the keepers are reached again
        or a round of the search ends."""
        self._noted_helpers: Sequence[str] = ()
        """Those in use, as logged."""

    def start(self) -> None:
        """Do nothing: background work starts when a keeper doesn't answer."""

    def stop(self) -> None:
        """End the checks and the search."""
        self._keepers.stop()
        if self._searching is not None:
            self._searching.cancel()

    # An entry's own requests

    async def take(self, request: pb.QuotaRequest) -> pb.QuotaReply | None:
        """Return the first reply that says whether tokens are granted, or None without any."""
        until = self._clock.monotonic() + ASK_TIMEOUT_SECONDS
        tried: set[str] = set()
        while (left := until - self._clock.monotonic()) > 0.0:
            timeout = min(KEEPER_TIMEOUT_SECONDS, left)
            reply: pb.QuotaReply | None = None
            if (keeper := self._keepers.find(tried)) is not None:
                tried.add(keeper)
                reply = await self._keepers.ask(keeper, request, timeout)
            elif (helper := self._find_helper(tried)) is not None:
                tried.add(helper)
                reply = await self._ask_helper(helper, request, timeout)
            elif not await self._wait_for_search(min(SEARCH_WAIT_SECONDS, left)):
                if (doubted := self._keepers.find_doubted(tried)) is None:
                    return None
                tried.add(doubted)
                reply = await self._keepers.ask(doubted, request, timeout)
            if reply is not None and reply.HasField("granted"):
                return reply
        return None

    def _find_helper(self, tried: set[str]) -> str | None:
        return self._search.find_helper(tried, self._clock.monotonic())

    async def _wait_for_search(self, seconds: float) -> bool:
        """Wait for a change during the first search; return False if none is in progress."""
        if not self._may_wait:
            return False
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def _ask_helper(
        self, helper: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply | None:
        self._search.record_call(helper, self._clock.monotonic())
        try:
            reply = await self._calls.take_through(helper, request, timeout)
        except CALL_ERRORS as error:
            self._search.record_failure(helper, self._clock.monotonic())
            self._note_helpers(repr(error))
            self.tally["helper", "failed"] += 1
            return None
        self._search.record_answer(helper, self._clock.monotonic())
        if reply.HasField("granted"):
            self.tally["helper", "answered"] += 1
            return reply
        self.tally["helper", "unable"] += 1
        self._search.record_unable(helper, reply.helper)
        self._note_helpers("unable")
        return reply

    # Requests of other entries

    async def take_for_peer(self, request: pb.QuotaRequest) -> pb.QuotaReply:
        """Forward another entry's request to a keeper, or answer whether this entry could.

        The reply names another helper if the request isn't forwarded.
        """
        now = self._clock.monotonic()
        if not request.organisation:
            able = self._limit.has_room(now) and await self._keepers.reaches_any()
            return pb.QuotaReply(helper=self._own_address if able else self._search.pick_hint())
        if not self._limit.try_acquire(now):
            self.tally["forwarded", "refused"] += 1
            return pb.QuotaReply(helper=self._search.pick_hint())
        try:
            reply = await self._forward(request)
        finally:
            self._limit.release()
        if reply is not None:
            self.tally["forwarded", "answered"] += 1
            return reply
        self.tally["forwarded", "failed"] += 1
        return pb.QuotaReply(helper=self._search.pick_hint())

    async def _forward(self, request: pb.QuotaRequest) -> pb.QuotaReply | None:
        """Ask one keeper, and one more if the first one answered that it can't grant anything."""
        tried: set[str] = set()
        for _ in range(2):
            keeper = self._keepers.find(tried)
            if keeper is None:
                return None
            tried.add(keeper)
            reply = await self._keepers.ask(keeper, request, FORWARD_TIMEOUT_SECONDS)
            if reply is None or reply.HasField("granted"):
                return reply
        return None

    # Search for helpers

    def _begin_search(self) -> None:
        self._may_wait = True
        self._is_wanted.set()
        if self._searching is None or self._searching.done():
            self._searching = start_coroutine(self._find_helpers())

    def _end_search(self) -> None:
        self._search.end()
        self._note_helpers("keeper-reached")
        self._notify()

    async def _find_helpers(self) -> None:
        """Ask entries whether they can help until a keeper is reached."""
        try:
            while self._keepers.lost_at is not None:
                try:
                    await self._search_round()
                except Exception:
                    logger.exception("quota-search-failed")
                self._may_wait = self._is_wanted.is_set()
                self._notify()
                await self._pause_search()
        finally:
            self._may_wait = False
            self._notify()

    async def _search_round(self) -> None:
        self._is_wanted.clear()
        if not self._search.has_enough():
            self._search.begin(self._list_peers(), self._clock.monotonic())
            await asyncio.gather(*(self._ask_in_turn() for _ in range(MAX_PROBES_IN_FLIGHT)))

    async def _pause_search(self) -> None:
        pause = SEARCH_PAUSE_SECONDS * self._random.uniform(0.5, 1.5)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._is_wanted.wait(), pause)

    async def _ask_in_turn(self) -> None:
        while self._keepers.lost_at is not None and not self._search.has_enough():
            peer = self._search.next_probe(self._clock.monotonic())
            if peer is None:
                return
            await self._probe(peer)

    async def _probe(self, peer: str) -> None:
        try:
            reply = await self._calls.take_through(peer, pb.QuotaRequest(), PROBE_TIMEOUT_SECONDS)
        except GRPCError as error:
            if error.status is Status.UNIMPLEMENTED:
                self._search.record_unsupported(peer, self._clock.monotonic())
            return
        except CALL_ERRORS:
            return
        if self._keepers.lost_at is None:
            return
        if reply.helper == peer:
            self._search.record_able(peer, self._clock.monotonic())
            self._note_helpers("found")
        else:
            self._search.record_unable(peer, reply.helper)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _note_helpers(self, reason: str) -> None:
        """Log changes of the helpers in use, and wake the requests that wait for one.

        `reason` says why those that are no longer in use are not.
        """
        former, self._noted_helpers = self._noted_helpers, self._search.helpers
        for helper in former:
            if helper not in self._noted_helpers:
                logger.info("quota-helper-lost", helper=helper, reason=reason)
        lost_at = self._keepers.lost_at
        if former and not self._noted_helpers and lost_at is not None:
            self._may_wait = True
            self._is_wanted.set()
        for helper in self._noted_helpers:
            if helper not in former:
                seconds = 0.0 if lost_at is None else self._clock.monotonic() - lost_at
                logger.info("quota-helper-found", helper=helper, seconds=round(seconds, 3))
        if former != self._noted_helpers:
            self._notify()
