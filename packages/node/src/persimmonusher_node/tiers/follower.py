"""An entry's stream from one keeper: the configuration, backend servers, and the fleet's size."""

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

SILENCE_SECONDS: Final = 1.2
"""A keeper that sends nothing for longer is taken as lost: two of its updates are missing, and half
of the time in which a change is to be in force is left for the next one."""
STALE_SHARE: Final = 0.6
"""Part of `stale_seconds` for which a keeper may be out of touch with a majority before the entry
turns to another one: a lost heartbeat is no reason yet."""
GRACE_SHARE: Final = 0.25
"""Part of `stale_seconds` during which a newly followed keeper isn't judged by the age here, which
may still be due to the former keeper."""
AVOID_SECONDS: Final = 5.0
"""A keeper that was lost or stale is tried again only after the others for so long."""
STALE_AVOID_SECONDS: Final = 0.6
"""The same for a keeper that was merely stale. A leader may be elected on its side at any moment,
and this entry must hear of it within the time in which a change is to be in force: with five
keepers, each is asked again about once in this time."""
RETRY_SECONDS: Final = 0.1
"""Mean pause before the next keeper is asked, so that keepers that all refuse are not flooded."""
REPORT_SECONDS: Final = 0.5
"""A notice that took longer to arrive has lost most of its worth."""
REPORTS_KEPT: Final = 256
"""Notices that wait for the call under way; of more, the oldest go."""
HOME_SECONDS: Final = 5.0
"""How long an entry follows a keeper elsewhere before it looks for a better one again."""


def ignore_notice(notice: Notice) -> None:
    """Take no note, before there is a data plane."""


def ignore_loads(loads: Mapping[ServerId, int]) -> None:
    """Take no note, before there is a data plane."""


class StaleKeeperError(Exception):
    """The keeper has been out of touch with a majority for too long."""


class HomewardError(Exception):
    """A better keeper is there to be followed, such as one in the own failure domain."""


class KeeperFollower(Component):
    """Follows one keeper at a time, in the own failure domain where there is one."""

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
        """Whether a keeper has told which keepers there are; before, only seeds are known."""
        self._choice = KeeperChoice(settings.failure_domain, random)
        self.lease = FollowLease(settings, view, channels, clock, random)
        self._records: list[Record] = []
        self._task: asyncio.Task[None] | None = None
        self._place: KeeperPlace | None = None
        """The keeper whose updates arrive; None while none does."""
        self._peers = PeerNotices(settings.listen.peers, channels)
        self._reports: deque[Notice] = deque(maxlen=REPORTS_KEPT)
        self._reporting: asyncio.Task[None] | None = None
        self.take_notice: Callable[[Notice], None] = ignore_notice
        """Is told of failures that other entries saw."""
        self.take_loads: Callable[[Mapping[ServerId, int]], None] = ignore_loads
        """Is told the requests in progress of all entries that follow the same keeper."""
        self.entries = 0
        """Live entries of the fleet as the keepers count them, 0 before the first word."""

    def start(self) -> None:
        """Begin to follow."""
        self._task = start_coroutine(self._run())

    def stop(self) -> None:
        """End the stream."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def report(self, notices: Sequence[Notice]) -> None:
        """Tell the other entries of failures; waits for nothing.

        The followed keeper passes them on to all. Without one, the entries that followed the same
        keeper are told directly.
        """
        if self._place is None:
            self._peers.tell(notices)
            return
        self._reports.extend(notices)
        if self._reporting is None or self._reporting.done():
            self._reporting = start_coroutine(self._send_reports())

    def is_current(self) -> bool:
        """Tell whether no change can be in force elsewhere for longer than is allowed."""
        return self.lease.is_current()

    def find_freshness(self) -> Freshness:
        """Return how stale the configuration may be, and which keeper said so."""
        return self.lease.find_freshness()

    def list_keepers(self) -> Sequence[str]:
        """List the known keepers' addresses, the followed one and those nearby in front."""
        followed = None if self._place is None else self._place.address
        domain = self._settings.failure_domain

        def rank(place: KeeperPlace) -> tuple[bool, bool]:
            return (place.address != followed, place.failure_domain != domain)

        return [place.address for place in sorted(self._places, key=rank)]

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Take other seeds, from changed settings, beside the keepers that are known."""
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
                await stub.Report(batch, timeout=REPORT_SECONDS)
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
            except HomewardError:
                self._place = None
                continue
            except StaleKeeperError as error:
                self._note_lost(place, error, STALE_AVOID_SECONDS)
                continue
            except CALL_ERRORS as error:
                self._note_lost(place, error, AVOID_SECONDS)
                if isinstance(error, TimeoutError):
                    self._channels.forget(place.address)
            except Exception:
                # Without its stream the entry would work on with an old configuration for ever.
                logger.exception("following-failed", keeper=place.address)
            self._place = None
            await self._pause()

    def _note_lost(self, place: KeeperPlace, error: Exception, avoid_seconds: float) -> None:
        logger.info(
            "keeper-lost",
            keeper=place.address,
            error=repr(error),
            revision=self._view.revision(),
            **describe_freshness(self.find_freshness()),
        )
        self._place = None
        self._choice.avoid(place.address, self._clock.monotonic() + avoid_seconds)

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.5))

    async def _ask_keepers(self, seed: KeeperPlace) -> None:
        """Learn which keepers there are before one is followed.

        A follower gets the whole configuration: fetched from a seed elsewhere, only to turn to a
        keeper at home then, it would cross failure domains at each start of an entry.
        """
        stub = ControlStub(self._channels.get(seed.address))
        request = control_pb2.KeeperListRequest()
        told = await stub.ListKeepers(request, timeout=SILENCE_SECONDS)
        if not told.keepers:
            raise ConnectionError(f"{seed.address} names no keepers")
        self._take_keepers(told.keepers)

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
                await asyncio.wait_for(stream.send_message(request, end=True), SILENCE_SECONDS)
                await self._take_updates(place, stream)
        finally:
            renewal.cancel()

    async def _take_updates(
        self,
        place: KeeperPlace,
        stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]",
    ) -> None:
        followed = self._clock.monotonic()
        while True:
            update = await asyncio.wait_for(stream.recv_message(), SILENCE_SECONDS)
            if update is None:
                raise ConnectionError(f"{place.address} ended the stream")
            try:
                self._take(place, update)
                self._check_lease(place, followed)
            except StaleKeeperError:
                # Left only now, so that the keepers go on counting this entry: by their count the
                # live entries share the retries of all.
                await self._pause()
                raise
            self._check_home(place, followed)

    def _take(self, place: KeeperPlace, update: control_pb2.FollowUpdate) -> None:
        if self._place is None:
            logger.info("keeper-followed", keeper=place.address, revision=self._view.revision())
        self._place = place
        part = unpack_part(update)
        if part is not None:
            self._take_part(part)
        if update.has_loads:
            self.take_loads({ServerId(load.server): load.in_progress for load in update.loads})
        for notice in update.notices:
            self.take_notice(decode_notice(notice))
        if update.keepers:
            self._peers.replace_peers(update.peers)
            self._take_keepers(update.keepers)
        if update.HasField("majority_age_ms"):
            self.entries = update.entries
            self._check_age(place, update.majority_age_ms / 1000.0)

    def _take_keepers(self, keepers: Iterable[control_pb2.KeeperPlace]) -> None:
        self._places = tuple(KeeperPlace(one.address, one.failure_domain) for one in keepers)
        self._knows_keepers = True

    def _check_age(self, place: KeeperPlace, age: float) -> None:
        """Leave a keeper that says itself that it is out of touch."""
        is_stale = age > self._settings.stale_seconds * STALE_SHARE
        if is_stale and self._has_alternative(place, self._clock.monotonic()):
            message = f"{place.address} heard of no majority for {age:.1f} s"
            raise StaleKeeperError(message)

    def _check_lease(self, place: KeeperPlace, followed: float) -> None:
        """Leave a keeper whose word takes too long to arrive, whatever it says of itself."""
        now = self._clock.monotonic()
        if now - followed < self._settings.stale_seconds * GRACE_SHARE:
            return
        if self.lease.is_late() and self._has_alternative(place, now):
            age = self.find_freshness().age
            raise StaleKeeperError(f"what {place.address} tells is {age:.1f} s old here")

    def _has_alternative(self, place: KeeperPlace, now: float) -> bool:
        """Tell whether another keeper was not found lost or stale lately."""
        return any(
            other.address != place.address and not self._choice.is_avoided(other.address, now)
            for other in self._places
        )

    def _take_part(self, part: keeper_pb2.PullPart) -> None:
        self._records.extend(map(decode_record, part.records))
        if part.last:
            records, self._records = tuple(self._records), []
            since, revision = Revision(part.since), Revision(part.revision)
            self._view.take(Batch(part.lineage, since, revision, records, part.whole))
            self.lease.hold(self._view.revision())

    def _check_home(self, place: KeeperPlace, followed: float) -> None:
        """Turn to a better keeper, as the choice has it, once this one was followed for a while."""
        now = self._clock.monotonic()
        if now - followed < HOME_SECONDS:
            return
        if self._choice.find_better(place, self._places, now) is not None:
            raise HomewardError
