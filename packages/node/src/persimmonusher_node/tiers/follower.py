"""An entry's stream from one keeper: configuration, backend servers, loads and notices."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Final

import structlog
from grpclib.client import Stream

from persimmonusher_agreement.configuration_objects import Batch, Record
from persimmonusher_agreement.keeper_choice import KeeperChoice, KeeperPlace
from persimmonusher_decisions.notices import Notice
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision, ServerId
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.keeper_wire import decode_record
from persimmonusher_node.logs import describe_freshness
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Freshness
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.follow_lease import FollowLease
from persimmonusher_node.tiers.notice_wire import decode_notice, encode_notice
from persimmonusher_node.tiers.packed_parts import unpack_part
from persimmonusher_node.tiers.peer_notices import PeerNotices
from persimmonusher_protocol import control_pb2, keeper_pb2
from persimmonusher_protocol.control_grpc import ControlStub

logger = structlog.get_logger(__name__)

SILENCE_TIMEOUT_SECONDS: Final = 1.2
"""A keeper that sends nothing for longer is considered lost: two of its updates are missing, and
half of the time in which a change is to be in force is left for the next keeper."""
STALE_FRACTION: Final = 0.6
"""Part of `stale_seconds` for which a keeper may be out of contact with a majority before the entry
switches to another one: a single lost heartbeat is no reason to switch."""
GRACE_FRACTION: Final = 0.25
"""Part of `stale_seconds` during which a newly followed keeper isn't judged by the configuration's
age at this entry, which may still be due to the previous keeper."""
LOST_AVOID_SECONDS: Final = 5.0
"""Time for which a lost keeper is tried only after all others."""
STALE_AVOID_SECONDS: Final = 0.6
"""The same for a keeper that was only stale. A leader may be elected on its side of a network cut
at any time, and this entry must learn of it within the time in which a change is to be in force:
with five keepers, each is asked again about once in this time."""
RETRY_PAUSE_SECONDS: Final = 0.1
"""Mean pause before the next keeper is asked, so that keepers aren't flooded when all refuse."""
REPORT_TIMEOUT_SECONDS: Final = 0.5
"""A notice that takes longer to arrive has lost most of its value."""
MAX_QUEUED_NOTICES: Final = 256
"""Notices queued while a call is in flight. Beyond this limit the oldest are dropped."""
BETTER_KEEPER_CHECK_SECONDS: Final = 5.0
"""Time for which an entry follows a keeper before it looks for a better one."""


def ignore_notice(notice: Notice) -> None:
    """Do nothing; the handler until there is a data plane."""


def ignore_loads(loads: Mapping[ServerId, int]) -> None:
    """Do nothing; the handler until there is a data plane."""


class StaleKeeperError(Exception):
    """The keeper had no contact with a majority for too long, or its answers arrive too late."""


class BetterKeeperError(Exception):
    """There is a better keeper to follow, such as one in the own failure domain."""


class KeeperFollower(Component):
    """Follows one keeper at a time, preferably one in the own failure domain."""

    def __init__(
        self,
        settings: Settings,
        view: ConfigurationClient,
        channels: ChannelPool,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._channels = channels
        self._clock = clock
        self._random = random
        self._places = tuple(KeeperPlace(seed) for seed in settings.seed_peers)
        self._knows_keepers = False
        """Whether a keeper has listed the keepers; until then only seeds are known."""
        self._choice = KeeperChoice(settings.failure_domain, random)
        self.lease = FollowLease(settings, view, channels, clock, random)
        self._records: list[Record] = []
        self._task: asyncio.Task[None] | None = None
        self._sampling: asyncio.Task[None] | None = None
        self._place: KeeperPlace | None = None
        """The keeper that sends updates; None while no keeper does."""
        self._peers = PeerNotices(settings.listen.peers, channels)
        self._reports: deque[Notice] = deque(maxlen=MAX_QUEUED_NOTICES)
        self._reporting: asyncio.Task[None] | None = None
        self.on_notice: Callable[[Notice], None] = ignore_notice
        """Is called with each notice of another entry."""
        self.on_loads: Callable[[Mapping[ServerId, int]], None] = ignore_loads
        """Is called with the requests in progress, by server, of all entries that follow the
        keeper."""
        self.entries = 0
        """Live entries of the fleet as the keepers count them, 0 before the first update."""

    def start(self) -> None:
        """Start to follow a keeper in the background."""
        self._task = start_coroutine(self._run())
        self._sampling = start_coroutine(self.lease.sample())

    def stop(self) -> None:
        """End the stream and the attempts to follow."""
        for task in (self._task, self._sampling):
            if task is not None:
                task.cancel()
        self._task = self._sampling = None

    def report(self, notices: Sequence[Notice]) -> None:
        """Send notices to the other entries, without waiting.

        The followed keeper relays them to all. While no keeper is followed, they go directly to
        entries that followed the same keeper.
        """
        if self._place is None:
            self._peers.send(notices)
            return
        self._reports.extend(notices)
        if self._reporting is None or self._reporting.done():
            self._reporting = start_coroutine(self._send_reports())

    def is_current(self) -> bool:
        """Return whether no missing change can be in force elsewhere for over `stale_seconds`."""
        return self.lease.is_current()

    def find_freshness(self) -> Freshness:
        """Return how stale the configuration may be, and which keeper answered last."""
        return self.lease.find_freshness()

    def list_keepers(self) -> Sequence[str]:
        """List the known keepers' addresses: the followed one, then those in the own domain."""
        followed = None if self._place is None else self._place.address
        domain = self._settings.failure_domain

        def rank(place: KeeperPlace) -> tuple[bool, bool]:
            return (place.address != followed, place.failure_domain != domain)

        return [place.address for place in sorted(self._places, key=rank)]

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Add seeds from reloaded settings to the known keepers."""
        known = {place.address for place in self._places}
        new = tuple(KeeperPlace(seed) for seed in seeds if seed not in known)
        self._places = (*self._places, *new)

    async def _send_reports(self) -> None:
        while self._reports:
            place = self._place
            batch = control_pb2.NoticeBatch(notices=map(encode_notice, self._reports))
            self._reports.clear()
            if place is None:
                return
            try:
                stub = ControlStub(self._channels.get(place.address))
                await stub.Report(batch, timeout=REPORT_TIMEOUT_SECONDS)
            except CALL_ERRORS as error:
                logger.debug("notices-not-sent", keeper=place.address, error=repr(error))

    async def _run(self) -> None:
        while True:
            place = self._choice.choose(self._places, self._clock.monotonic())
            try:
                if self._knows_keepers:
                    await self._follow(place)
                else:
                    await self._ask_keepers(place)
                    continue
            except BetterKeeperError:
                self._log_left(place)
                self._place = None
                continue
            except StaleKeeperError as error:
                self._mark_lost(place, error, STALE_AVOID_SECONDS)
                continue
            except CALL_ERRORS as error:
                self._mark_lost(place, error, LOST_AVOID_SECONDS)
                if isinstance(error, TimeoutError):
                    self._channels.forget(place.address)
            except Exception:
                # If this loop ended, the entry would keep an old configuration for ever.
                logger.exception("following-failed", keeper=place.address)
            self._place = None
            await self._pause()

    def _log_left(self, place: KeeperPlace) -> None:
        logger.info(
            "keeper-left",
            keeper=place.address,
            revision=self._view.revision(),
            **describe_freshness(self.find_freshness()),
        )
        self.lease.ages.record_attempt(place.address, "left for a better one")

    def _mark_lost(self, place: KeeperPlace, error: Exception, avoid_seconds: float) -> None:
        logger.info(
            "keeper-lost",
            keeper=place.address,
            error=repr(error),
            revision=self._view.revision(),
            **describe_freshness(self.find_freshness()),
        )
        self.lease.ages.record_attempt(place.address, str(error) or type(error).__name__)
        self._place = None
        self._choice.avoid_until(place.address, self._clock.monotonic() + avoid_seconds)

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_SECONDS * self._random.uniform(0.5, 1.5))

    async def _ask_keepers(self, seed: KeeperPlace) -> None:
        """Ask a seed for the keepers, before one is followed.

        A new follower is sent the whole configuration. If an entry followed a seed in another
        failure domain first and then switched to a keeper in its own, the configuration would cross
        domains at each start of an entry.
        """
        stub = ControlStub(self._channels.get(seed.address))
        request = control_pb2.KeeperListRequest()
        reply = await stub.ListKeepers(request, timeout=SILENCE_TIMEOUT_SECONDS)
        if not reply.keepers:
            raise ConnectionError(f"{seed.address} listed no keepers")
        self._replace_keepers(reply.keepers)

    async def _follow(self, place: KeeperPlace) -> None:
        stub = ControlStub(self._channels.get(place.address))
        request = control_pb2.FollowRequest(
            instance=self._settings.instance_id,
            since=self._view.revision(),
            address=self._settings.listen.peers,
            failure_domain=self._settings.failure_domain,
        )
        self._records = []
        renewal = start_coroutine(self.lease.renew(place))
        try:
            async with stub.Follow.open() as stream:
                await asyncio.wait_for(
                    stream.send_message(request, end=True), SILENCE_TIMEOUT_SECONDS
                )
                await self._receive_updates(place, stream)
        finally:
            self.lease.end_renewal()
            renewal.cancel()

    async def _receive_updates(
        self,
        place: KeeperPlace,
        stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]",
    ) -> None:
        followed = self._clock.monotonic()
        while True:
            update = await asyncio.wait_for(stream.recv_message(), SILENCE_TIMEOUT_SECONDS)
            if update is None:
                raise ConnectionError(f"{place.address} ended the stream")
            try:
                self._apply_update(place, update)
                self._check_lease(place, followed)
            except StaleKeeperError:
                # The stream stays open during the pause, so that the keepers go on counting this
                # entry: the live entries share the retry budget by that count.
                await self._pause()
                raise
            self._check_better_keeper(place, followed)

    def _apply_update(self, place: KeeperPlace, update: control_pb2.FollowUpdate) -> None:
        if self._place is None:
            logger.info("keeper-followed", keeper=place.address, revision=self._view.revision())
            self.lease.ages.record_attempt(place.address, "followed")
        self._place = place
        part = unpack_part(update)
        if part is not None:
            self._apply_part(part)
        if update.has_loads:
            self.on_loads({ServerId(load.server): load.in_progress for load in update.loads})
        for notice in update.notices:
            self.on_notice(decode_notice(notice))
        if update.keepers:
            self._peers.replace_peers(update.peers)
            self._replace_keepers(update.keepers)
        if update.HasField("majority_age_ms"):
            self.entries = update.entries
            self._check_age(place, update.majority_age_ms / 1000.0)

    def _replace_keepers(self, keepers: Iterable[control_pb2.KeeperPlace]) -> None:
        self._places = tuple(KeeperPlace(one.address, one.failure_domain) for one in keepers)
        self._knows_keepers = True

    def _check_age(self, place: KeeperPlace, age: float) -> None:
        """Raise StaleKeeperError for a keeper that reports a stale majority contact."""
        is_stale = age > self._settings.stale_seconds * STALE_FRACTION
        if is_stale and self._has_alternative(place, self._clock.monotonic()):
            message = f"{place.address} had no contact with a majority for {age:.1f} s"
            raise StaleKeeperError(message)

    def _check_lease(self, place: KeeperPlace, followed: float) -> None:
        """Raise StaleKeeperError if what arrives from a keeper is old, whatever age it reports."""
        now = self._clock.monotonic()
        if now - followed < self._settings.stale_seconds * GRACE_FRACTION:
            return
        if self.lease.is_late() and self._has_alternative(place, now):
            age = self.find_freshness().age
            raise StaleKeeperError(
                f"the configuration from {place.address} is {age:.1f} s old here"
            )

    def _has_alternative(self, place: KeeperPlace, now: float) -> bool:
        """Return whether there is another keeper that wasn't found lost or stale recently."""
        return any(
            other.address != place.address and not self._choice.is_avoided(other.address, now)
            for other in self._places
        )

    def _apply_part(self, part: keeper_pb2.PullPart) -> None:
        self._records.extend(map(decode_record, part.records))
        if part.last:
            records, self._records = tuple(self._records), []
            since, revision = Revision(part.since), Revision(part.revision)
            self._view.apply_batch(Batch(part.lineage, since, revision, records, part.whole))
            self.lease.record_revision(self._view.revision())

    def _check_better_keeper(self, place: KeeperPlace, followed: float) -> None:
        """After a minimum time with a keeper, raise BetterKeeperError if there is a better one."""
        now = self._clock.monotonic()
        if now - followed < BETTER_KEEPER_CHECK_SECONDS:
            return
        if self._choice.find_better(place, self._places, now) is not None:
            raise BetterKeeperError
