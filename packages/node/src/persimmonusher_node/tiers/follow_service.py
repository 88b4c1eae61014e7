"""Streams committed changes, notices and this keeper's freshness to entries."""

import asyncio
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from random import Random
from typing import Final

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from persimmonusher_agreement.configuration_objects import ObjectKey
from persimmonusher_decisions.fanout import FanoutPace
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.tiers.fleet_work import FleetWork
from persimmonusher_node.tiers.follow_feed import FollowFeed
from persimmonusher_node.tiers.load_book import LoadBook
from persimmonusher_node.tiers.load_exchange import LoadExchange
from persimmonusher_node.tiers.message_delays import make_run_number
from persimmonusher_node.tiers.notice_relay import NoticeRelay
from persimmonusher_protocol import control_pb2, keeper_pb2
from persimmonusher_protocol.control_grpc import ControlBase

logger = structlog.get_logger(__name__)

STATUS_INTERVAL_SECONDS: Final = 0.5
"""Longest time between two updates to a follower, which it takes as this keeper's heartbeat."""
PLACES_INTERVAL_SECONDS: Final = 1.0
"""Shortest time between two updates of the keepers and peers, which change with each follower that
comes or goes: when all start at once, each would be sent an update for each of the others."""
MAX_QUEUED_NOTICE_BATCHES: Final = 64
"""Limit for a follower that doesn't read. Beyond it the oldest batches are dropped, as they are the
least useful."""


class Follower:
    """The state of one entry's stream: its wake-up event and the updates that it is due."""

    def __init__(self, address: str, failure_domain: str, relay: str) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self.relay = relay
        self.wake = asyncio.Event()
        self.notices: list[control_pb2.FollowUpdate] = []
        self.status_due = True
        self.sent_places_version = -1
        self.sent_costs_version = 0

    def add_notices(self, update: control_pb2.FollowUpdate) -> None:
        """Queue a batch of notices, which all followers share, and wake the stream."""
        self.notices.append(update)
        del self.notices[:-MAX_QUEUED_NOTICE_BATCHES]
        self.wake.set()

    def pop_notices(self) -> list[control_pb2.FollowUpdate]:
        """Return the queued batches and empty the queue."""
        notices, self.notices = self.notices, []
        return notices


class FollowService(ControlBase):
    """Serves the calls of entries, and the notices that other keepers relay."""

    def __init__(
        self,
        failure_domain: str,
        role: KeeperRole,
        view: ConfigurationClient,
        channels: ChannelPool,
        clock: Clock,
        random: Random,
    ) -> None:
        self._random = random
        self._role = role
        self._view = view
        self._clock = clock
        self._followers: set[Follower] = set()
        self._relay = NoticeRelay(role, channels, self._notify_followers, clock)
        self._loads = LoadBook()
        self.fleet = FleetWork(make_run_number(clock))
        self.exchange = LoadExchange(self.fleet, role, channels, clock)
        self._feed = FollowFeed(failure_domain, role, view, self._loads, self.fleet, clock)
        self.fleet_bytes = 0
        """Bytes of the fleet's loads and costs sent to followers so far."""
        self._pace = FanoutPace()
        self._pending_notices: list[control_pb2.Notice] = []
        self._round_timer: asyncio.TimerHandle | None = None
        self._places_refreshed_at = float("-inf")
        self._ticker: asyncio.Task[None] | None = None
        view.on_change(self._on_change)

    async def Follow(  # noqa: N802
        self, stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]"
    ) -> None:
        """Send updates until the follower leaves."""
        request = await stream.recv_message()
        assert request is not None
        follower = Follower(request.address, request.failure_domain, request.relay)
        self._followers.add(follower)
        self._count_followers()
        if self._ticker is None or self._ticker.done():
            self._ticker = start_coroutine(self._tick())
        try:
            await self._send_updates(stream, Revision(request.since), follower)
        finally:
            self._followers.discard(follower)
            self._count_followers()

    async def ListKeepers(  # noqa: N802
        self, stream: "Stream[control_pb2.KeeperListRequest, control_pb2.KeeperList]"
    ) -> None:
        """Name the keepers, so that an entry can choose the one to follow."""
        await stream.recv_message()
        with refuse_as_unavailable():
            keepers = self._feed.list_keepers()
        await stream.send_message(control_pb2.KeeperList(keepers=keepers))

    async def ListRelays(  # noqa: N802
        self, stream: "Stream[control_pb2.RelayListRequest, control_pb2.RelayList]"
    ) -> None:
        """Name some of the followers that relay connections."""
        request = await stream.recv_message()
        assert request is not None
        relaying = [follower for follower in self._followers if follower.relay]
        chosen = self._random.sample(relaying, min(request.count, len(relaying)))
        relays = [
            control_pb2.Relay(
                address=one.relay,
                failure_domain=one.failure_domain,
                peer=one.address if request.with_peers else "",
            )
            for one in chosen
        ]
        await stream.send_message(control_pb2.RelayList(relays=relays))

    async def Report(  # noqa: N802
        self, stream: "Stream[control_pb2.NoticeBatch, keeper_pb2.Ack]"
    ) -> None:
        """Relay the notices of an entry or of another keeper."""
        batch = await stream.recv_message()
        assert batch is not None
        with refuse_as_unavailable():
            self._relay.relay(batch)
        await stream.send_message(keeper_pb2.Ack())

    async def ReportLoad(  # noqa: N802
        self, stream: "Stream[control_pb2.LoadReport, control_pb2.Standing]"
    ) -> None:
        """Record an entry's requests in progress; answer with this keeper's freshness.

        A report without an instance only asks.
        """
        report = await stream.recv_message()
        assert report is not None
        if report.instance:
            loads = {load.server: load.in_progress for load in report.loads}
            now = self._clock.monotonic()
            self._loads.record(report.instance, loads, now)
            self.fleet.record_report(report, loads, now)
        with refuse_as_unavailable():
            standing = self._feed.make_standing()
        await stream.send_message(standing)

    async def ShareLoads(  # noqa: N802
        self, stream: "Stream[control_pb2.LoadSums, keeper_pb2.Ack]"
    ) -> None:
        """Record the sums of another keeper's followers."""
        sums = await stream.recv_message()
        assert sums is not None
        self.fleet.record_sums(sums, self._clock.monotonic())
        await stream.send_message(keeper_pb2.Ack())

    async def _tick(self) -> None:
        """Send the status to all followers at the same times, so that they share one message."""
        while self._followers:
            self._refresh_places()
            self.exchange.share()
            for follower in self._followers:
                follower.status_due = True
                follower.wake.set()
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)

    def _refresh_places(self) -> None:
        now = self._clock.monotonic()
        if now - self._places_refreshed_at < PLACES_INTERVAL_SECONDS:
            return
        self._places_refreshed_at = now
        try:
            self._feed.replace_peers([f.address for f in self._followers if f.address])
        except UsherError as error:
            # The followers learn of it too: their streams end for the same reason.
            logger.info("keepers-unknown", error=error.message)

    async def _send_updates(
        self,
        stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]",
        since: Revision,
        follower: Follower,
    ) -> None:
        while True:
            follower.wake.clear()
            revision = self._view.revision()
            with refuse_as_unavailable():
                due = list(self._list_due(since, follower))
            for update in due:
                await stream.send_message(update)
            since = max(since, revision)
            await follower.wake.wait()

    def _list_due(self, since: Revision, follower: Follower) -> Iterator[control_pb2.FollowUpdate]:
        """Yield the updates that are due to a follower at a revision.

        Changes go before the status, which says that the follower has all that this keeper has.
        """
        if self._view.revision() > since:
            yield from self._feed.make_parts(since)
        if follower.sent_places_version != self._feed.places_version:
            follower.sent_places_version = self._feed.places_version
            yield self._feed.make_places()
        if follower.status_due:
            follower.status_due = False
            yield self._feed.make_status(follower.failure_domain)
            self.fleet_bytes += self._feed.find_fleet_bytes(follower.failure_domain)
            yield from self._list_costs(follower)
        yield from follower.pop_notices()

    def _list_costs(self, follower: Follower) -> Iterator[control_pb2.FollowUpdate]:
        """Yield the next costs that a follower lacks, if there are any."""
        update, follower.sent_costs_version = self._feed.make_costs(follower.sent_costs_version)
        if update is not None:
            self.fleet_bytes += update.ByteSize()
            yield update

    def _on_change(self, revision: Revision, keys: Sequence[ObjectKey]) -> None:
        self._schedule_round()

    def _notify_followers(self, notices: Iterable[control_pb2.Notice]) -> None:
        if not self._followers:
            return
        self._pending_notices.extend(notices)
        self._schedule_round()

    def _schedule_round(self) -> None:
        if self._round_timer is not None or not self._followers:
            return
        now = self._clock.monotonic()
        due = self._pace.find_due(len(self._followers), now)
        loop = asyncio.get_event_loop()
        self._round_timer = loop.call_later(due - now, self._run_round)

    def _run_round(self) -> None:
        """Wake all followers for changes and notices; the notices go in one shared message."""
        self._round_timer = None
        self._pace.record_round(self._clock.monotonic())
        pending, self._pending_notices = self._pending_notices, []
        update = control_pb2.FollowUpdate(notices=pending) if pending else None
        for follower in self._followers:
            if update is not None:
                follower.add_notices(update)
            follower.wake.set()

    def _count_followers(self) -> None:
        self._role.followers.own = len(self._followers)


@contextmanager
def refuse_as_unavailable() -> Iterator[None]:
    """Answer UNAVAILABLE while this keeper isn't ready, so that the caller tries another one."""
    try:
        yield
    except UsherError as error:
        raise GRPCError(Status.UNAVAILABLE, error.message) from error
