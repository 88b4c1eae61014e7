"""Relays entries' notices to the followers of this keeper, and once to each other keeper."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from persimmonusher_decisions.fanout import CallPace
from persimmonusher_model.clock import Clock
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_protocol import control_pb2 as pb
from persimmonusher_protocol.control_grpc import ControlStub

logger = structlog.get_logger(__name__)

SEND_TIMEOUT_SECONDS: Final = 0.5
"""A notice that takes longer to arrive has lost most of its value."""
REPEAT_WINDOW_SECONDS: Final = 1.0
"""Notices of the same server within this time count as repetitions: a fraction of the time for
which entries avoid a failing server."""
MAX_RELAYED: Final = {pb.EARLY: 1, pb.LATE: 2, pb.UNREACHED: 3, pb.NONE: 2}
"""Notices of one kind and server that are relayed within that time, 1 for other kinds: entries act
on a kind only once they got so many."""
MAX_REMEMBERED_NOTICES: Final = 4_096
"""Limit of the remembered notices. Beyond it all are forgotten, so that repetitions are relayed."""
CALLS_PER_SECOND: Final = 10.0
"""Calls to one keeper, on average; notices that arrive between two calls go with the next."""
CALL_BURST: Final = 4
"""Calls that start without a wait after an idle time: about those of one server's first
failures."""
MAX_QUEUED_NOTICES: Final = 256
"""Notices queued for one keeper while a call to it is in flight. Beyond this limit the oldest are
dropped."""


class NoticeCount:
    """How often the same notice arrived since a time, and the rate limit that it named."""

    __slots__ = ("limit", "since", "times")

    def __init__(self, since: float, limit: float | None) -> None:
        self.since = since
        self.limit = limit
        self.times = 1


class NoticeRelay:
    """Makes one call at a time to each keeper; notices that arrive meanwhile go with the next."""

    def __init__(
        self,
        role: KeeperRole,
        channels: ChannelPool,
        notify_followers: Callable[[Iterable[pb.Notice]], None],
        clock: Clock,
    ) -> None:
        self._role = role
        self._channels = channels
        self._notify_followers = notify_followers
        self._clock = clock
        self._counts: dict[tuple[str, str, int], NoticeCount] = {}
        self._queued: dict[str, deque[pb.Notice]] = {}
        self._paces: dict[str, CallPace] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}

    def relay(self, batch: pb.NoticeBatch) -> None:
        """Relay a batch; one that another keeper relayed goes to the followers only."""
        new_notices = [notice for notice in batch.notices if self._count_as_new(notice)]
        if not new_notices:
            return
        self._notify_followers(new_notices)
        if batch.relayed:
            return
        for member in self._role.keeper.replica.log.members.members:
            if member.keeper != self._role.identity:
                self._queue(member.address, new_notices)

    def _count_as_new(self, notice: pb.Notice) -> bool:
        """Return whether a notice is no repetition, and count it.

        Every entry with a request at a server that fails all requests reports it. Each further
        notice would only renew the effect that the first one had at all entries.
        """
        now = self._clock.monotonic()
        if notice.failure == pb.NONE:
            # All entries use the server again, so that its next failure must be relayed.
            for failure in (pb.EARLY, pb.LATE, pb.UNREACHED):
                self._counts.pop((notice.server, "", failure), None)
        elif notice.failure != pb.LIMITED:
            self._counts.pop((notice.server, "", pb.NONE), None)
        key = (notice.server, notice.crashed_by, notice.failure)
        limit = notice.rate_limit if notice.HasField("rate_limit") else None
        earlier = self._counts.get(key)
        if (
            earlier is not None
            and earlier.limit == limit
            and now - earlier.since < REPEAT_WINDOW_SECONDS
        ):
            earlier.times += 1
            return earlier.times <= MAX_RELAYED.get(notice.failure, 1)
        if len(self._counts) >= MAX_REMEMBERED_NOTICES:
            self._counts.clear()
        self._counts[key] = NoticeCount(now, limit)
        return True

    def _queue(self, address: str, notices: Iterable[pb.Notice]) -> None:
        self._queued.setdefault(address, deque(maxlen=MAX_QUEUED_NOTICES)).extend(notices)
        if address not in self._senders:
            self._senders[address] = start_coroutine(self._send(address))

    async def _send(self, address: str) -> None:
        queued = self._queued[address]
        pace = self._paces.setdefault(address, CallPace(CALLS_PER_SECOND, CALL_BURST))
        try:
            while queued:
                await asyncio.sleep(pace.reserve_call(self._clock.monotonic()))
                batch = pb.NoticeBatch(notices=queued, relayed=True)
                queued.clear()
                stub = ControlStub(self._channels.get(address))
                await stub.Report(batch, timeout=SEND_TIMEOUT_SECONDS)
        except CALL_ERRORS as error:
            queued.clear()
            logger.debug("notices-not-relayed", keeper=address, error=repr(error))
        finally:
            del self._senders[address]
