"""An entry's choice of the keeper that it follows, and what that keeper sends."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Final

import structlog

from persimmonusher_agreement.configuration_objects import Batch
from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_decisions.entry_count import ENTRIES_MEMORY_SECONDS, EntryCount
from persimmonusher_decisions.notices import Notice
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import ServerId
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.logs import describe_freshness
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.ports import Freshness
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.follow_lease import FollowLease
from persimmonusher_node.tiers.keeper_finder import KeeperFinder
from persimmonusher_node.tiers.keeper_port import KeeperAnswer, KeeperPort, ReportedLoads
from persimmonusher_node.tiers.keeper_stream import KeeperStream, StreamOwner
from persimmonusher_node.tiers.notice_wire import decode_notice
from persimmonusher_node.tiers.peer_notices import PeerNotices
from persimmonusher_protocol import control_pb2

logger = structlog.get_logger(__name__)

RETRY_PAUSE_SECONDS: Final = 0.3
"""Mean pause before keepers are asked again while none is followed."""
STALE_PAUSE_SECONDS: Final = 0.5
"""The same while a stale one is followed. A leader may be elected at any time, and this entry must
find its side within the time in which a change is to be in force; but if none is, all entries ask
all keepers at this interval."""
BETTER_KEEPER_CHECK_SECONDS: Final = 5.0
"""Time between two looks for a better keeper than the one that is followed."""
MIN_WAIT_SECONDS: Final = 0.01
MAX_WAIT_SECONDS: Final = 1.0
"""Bounds of the time between two looks at the followed keeper."""
MAX_QUEUED_NOTICES: Final = 256
"""Notices queued while a call is in flight. Beyond this limit the oldest are dropped."""

USED_ENTRIES_SHARE: Final = 0.5
"""Part of the largest number of entries from which a number counts as it is. Entries stop and start
a few at a time; when more than half are gone at once, they have rather lost their keepers."""

COUNT_SETTLE_SECONDS: Final = 3.0
"""Time from the first count of entries until it is relied on: all entries that start together with
their keepers follow one by then."""


def ignore_notice(notice: Notice) -> None:
    """Do nothing; the handler until there is a data plane."""


def ignore_loads(loads: Mapping[ServerId, int]) -> None:
    """Do nothing; the handler until there is a data plane."""


def ignore_fleet_work(update: control_pb2.FollowUpdate, delay: float) -> None:
    """Do nothing; the handler until there is a data plane."""


class KeeperFollower(Component, StreamOwner):
    """Follows one keeper at a time, preferably one in the own failure domain.

    No keeper is followed before it has answered that it is fresh, as long as any is, and none is
    left before the next one has sent its first update. So a keeper that is silent, slow or stale
    never costs this entry the updates of one that isn't.
    """

    def __init__(
        self,
        settings: Settings,
        view: ConfigurationClient,
        keepers: KeeperPort,
        peers: PeerNotices,
        clock: Clock,
        random: Random,
    ) -> None:
        self._stale_seconds = settings.stale_seconds
        self._failure_domain = settings.failure_domain
        self._view = view
        self._keepers = keepers
        self._peers = peers
        self._clock = clock
        self._random = random
        self._seeds = tuple(KeeperPlace(seed) for seed in settings.seed_peers)
        self._places: tuple[KeeperPlace, ...] = ()
        """The keepers that a keeper listed last; empty until one did."""
        self.lease = FollowLease(settings.stale_seconds, view, clock)
        self._finder = KeeperFinder(settings, view, keepers, self, self.lease, clock, random)
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        self._stream: KeeperStream | None = None
        self._better_check_at = float("-inf")
        self._reports: deque[Notice] = deque(maxlen=MAX_QUEUED_NOTICES)
        self._reporting: asyncio.Task[None] | None = None
        self.read_loads: Callable[[], Mapping[ServerId, int]] = dict
        """Returns this entry's requests in progress by server; set by the daemon."""
        self.make_report: Callable[[Mapping[ServerId, int]], ReportedLoads] = ReportedLoads
        """Makes the report to the keeper from the requests in progress; set by the daemon."""
        self.on_fleet_work: Callable[[control_pb2.FollowUpdate, float], None] = ignore_fleet_work
        """Is called with an update that carries loads or costs of the whole fleet, and the seconds
        for which it was delayed."""
        self.on_notice: Callable[[Notice], None] = ignore_notice
        """Is called with each notice of another entry."""
        self.on_loads: Callable[[Mapping[ServerId, int]], None] = ignore_loads
        """Is called with the requests in progress, by server, of all entries that follow the
        keeper."""
        self._entry_count = EntryCount(USED_ENTRIES_SHARE)
        self._first_counted_at = float("inf")
        self._counted_at = float("-inf")
        self.peers: tuple[str, ...] = ()
        """Peer interfaces of the entries that followed the last keeper, this one included."""

    def start(self) -> None:
        """Start to follow a keeper in the background."""
        self._tasks = (start_coroutine(self._run()), start_coroutine(self.lease.sample()))

    def stop(self) -> None:
        """End the stream and the attempts to follow."""
        for task in self._tasks:
            task.cancel()
        self._tasks = ()
        if self._stream is not None:
            self._stream.close()

    def report(self, notices: Sequence[Notice]) -> None:
        """Send notices to the other entries, without waiting.

        The followed keeper relays them to all. While no keeper is followed, they go directly to
        entries that followed the same keeper.
        """
        if self.followed is None:
            self._peers.send(notices)
            return
        self._reports.extend(notices)
        if self._reporting is None or self._reporting.done():
            self._reporting = start_coroutine(self._send_reports())

    @property
    def entries(self) -> int:
        """Return the live entries as the keepers count them, 0 before the first update.

        A sudden fall below half is used only after `entry_count.ENTRIES_MEMORY_SECONDS`.
        """
        return self._entry_count.value if self._counted_at > float("-inf") else 0

    @property
    def is_count_reliable(self) -> bool:
        """Return whether `entries` is neither a first count nor an old one.

        Keepers that have just started count few entries. After ENTRIES_MEMORY_SECONDS without a
        keeper, this entry isn't counted by others any more.
        """
        now = self._clock.monotonic()
        is_recent = now - self._counted_at <= ENTRIES_MEMORY_SECONDS
        return is_recent and now - self._first_counted_at >= COUNT_SETTLE_SECONDS

    def is_current(self) -> bool:
        """Return whether no missing change can be in force elsewhere for over `stale_seconds`."""
        return self.lease.is_current()

    def find_freshness(self) -> Freshness:
        """Return how stale the configuration may be, and which keeper answered last."""
        return self.lease.find_freshness()

    def list_keepers(self) -> Sequence[str]:
        """List the known keepers' addresses: the followed one, then those in the own domain."""
        followed = None if self.followed is None else self.followed.address

        def rank(place: KeeperPlace) -> tuple[bool, bool]:
            return (place.address != followed, place.failure_domain != self._failure_domain)

        return [place.address for place in sorted(self._list_places(), key=rank)]

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Take the seeds of reloaded settings."""
        self._seeds = tuple(map(KeeperPlace, seeds))

    def _list_places(self) -> list[KeeperPlace]:
        """List the keepers that were listed, and the seeds that are not among them."""
        listed = {place.address for place in self._places}
        return [*self._places, *(seed for seed in self._seeds if seed.address not in listed)]

    @property
    def followed(self) -> KeeperPlace | None:
        """Return the keeper that sends updates, or None while no keeper does."""
        stream = self._stream
        return stream.place if stream is not None and stream.is_open else None

    async def _send_reports(self) -> None:
        while self._reports:
            place = self.followed
            batch = tuple(self._reports)
            self._reports.clear()
            if place is None:
                return
            try:
                await self._keepers.report(place, batch)
            except CALL_ERRORS as error:
                logger.debug("notices-not-sent", keeper=place.address, error=repr(error))

    # Called by the streams

    def list_loads(self) -> ReportedLoads:
        """Return what this entry reports to the keeper."""
        return self.make_report(self.read_loads())

    def apply_batch(self, batch: Batch) -> None:
        """Put a whole batch of changes in force."""
        self._view.apply_batch(batch)
        self.lease.record_revision(self._view.revision())

    def apply_update(self, update: control_pb2.FollowUpdate) -> None:
        """Apply the keepers, loads and notices of an update."""
        if update.has_loads:
            self.on_loads({ServerId(load.server): load.in_progress for load in update.loads})
        for notice in update.notices:
            self.on_notice(decode_notice(notice))
        if update.keepers:
            self._peers.replace_peers(update.peers)
            self.peers = tuple(update.peers)
            self._places = tuple(
                KeeperPlace(one.address, one.failure_domain) for one in update.keepers
            )
        if update.HasField("majority_age_ms"):
            # Entries that lose their keepers aren't counted, and go on sending requests.
            self._counted_at = self._clock.monotonic()
            self._first_counted_at = min(self._first_counted_at, self._counted_at)
            self._entry_count.record(update.entries, self._counted_at)

    def apply_fleet_work(self, update: control_pb2.FollowUpdate, delay: float) -> None:
        """Apply the fleet's loads and costs of an update that was delayed by some seconds."""
        self.on_fleet_work(update, delay)

    def record_answer(self, answer: KeeperAnswer) -> None:
        """Record a keeper's answer how fresh it is."""
        self.lease.record_answer(answer)

    # Choice of the keeper

    async def _run(self) -> None:
        while True:
            try:
                await self._take_step()
            except Exception:
                # If this loop ended, the entry would keep an old configuration for ever.
                logger.exception("following-failed")
                await self._pause(RETRY_PAUSE_SECONDS)

    async def _take_step(self) -> None:
        """Look for a keeper if none is followed or the followed one is unhealthy, else wait."""
        self._drop_ended_stream()
        now = self._clock.monotonic()
        stream = self._stream
        if not self._places:
            await self._ask_seeds()
        elif stream is None:
            await self._find_first_keeper()
        elif now >= self._find_unhealthy_at(stream):
            await self._find_fresh_keeper(stream)
        elif now >= self._better_check_at:
            await self._check_better_keeper(stream, now)
        else:
            left = min(self._find_unhealthy_at(stream), self._better_check_at) - now
            await stream.wait_for_change(min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, left)))

    def _find_unhealthy_at(self, stream: KeeperStream) -> float:
        return stream.find_unhealthy_at(self._stale_seconds, self.lease.known_at)

    def _drop_ended_stream(self) -> None:
        stream = self._stream
        if stream is not None and not stream.is_open:
            self._stream = None
            self._mark_lost(stream.place, stream.error)

    async def _ask_seeds(self) -> None:
        """Ask the seeds for the keepers, before one is followed.

        A new follower is sent the whole configuration. If an entry followed a seed in another
        failure domain first and then switched to a keeper in its own, the configuration would cross
        domains at each start of an entry.
        """
        listed = await self._finder.list_keepers(self._seeds)
        if listed is None:
            await self._pause(RETRY_PAUSE_SECONDS)
        else:
            self._places = tuple(listed)

    async def _find_first_keeper(self) -> None:
        """Follow a fresh keeper, or if there is none the least stale one.

        What a stale keeper holds is better than nothing.
        """
        stream, answers = await self._finder.open_fresh(self._list_places())
        if stream is None and answers:
            stream = await self._finder.open_least_stale(answers)
        if stream is None:
            await self._pause(RETRY_PAUSE_SECONDS)
        else:
            self._switch(stream)

    async def _find_fresh_keeper(self, followed: KeeperStream) -> None:
        """Follow a fresh keeper instead of the followed one; keep that one if there is none."""
        address = followed.place.address
        others = [place for place in self._list_places() if place.address != address]
        stream, _ = await self._finder.open_fresh(others)
        if stream is None:
            await self._pause(STALE_PAUSE_SECONDS)
        else:
            self._switch(stream)

    async def _check_better_keeper(self, followed: KeeperStream, now: float) -> None:
        """Follow a better keeper than the followed one if there is one and it is fresh."""
        self._better_check_at = now + BETTER_KEEPER_CHECK_SECONDS
        better = self._finder.find_better(followed.place, self._places)
        if better is None:
            return
        stream, _ = await self._finder.open_fresh([better])
        if stream is not None:
            self._switch(stream)

    def _switch(self, stream: KeeperStream) -> None:
        """Follow the keeper of a new stream, and leave the former one."""
        self._drop_ended_stream()
        former, self._stream = self._stream, stream
        self._better_check_at = self._clock.monotonic() + BETTER_KEEPER_CHECK_SECONDS
        logger.info("keeper-followed", keeper=stream.place.address, revision=self._view.revision())
        self.lease.ages.record_attempt(stream.place.address, "followed")
        if former is not None:
            self._leave(former)

    def _leave(self, stream: KeeperStream) -> None:
        """Close a stream that another one has replaced."""
        now = self._clock.monotonic()
        stream.close()
        if now < self._find_unhealthy_at(stream):
            self._log_left("keeper-left", stream.place)
        elif stream.is_overdue(now):
            self._mark_lost(stream.place, TimeoutError("no answer"))
        else:
            self._log_left("keeper-stale", stream.place)
            self._finder.record_stale(stream.place)

    def _log_left(self, event: str, place: KeeperPlace) -> None:
        logger.info(
            event,
            keeper=place.address,
            revision=self._view.revision(),
            **describe_freshness(self.find_freshness()),
        )
        self.lease.ages.record_attempt(place.address, event)

    def _mark_lost(self, place: KeeperPlace, error: BaseException | None) -> None:
        logger.info(
            "keeper-lost",
            keeper=place.address,
            error=repr(error),
            revision=self._view.revision(),
            **describe_freshness(self.find_freshness()),
        )
        self._finder.record_failure(place, error)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self._random.uniform(0.5, 1.5))
