"""Tells entries of changes as they are committed, and how fresh this keeper is."""

import asyncio
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Final

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from persimmonusher_agreement.configuration_objects import ObjectKey
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_wire import encode_parts
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.tiers.load_book import LoadBook
from persimmonusher_node.tiers.notice_relay import NoticeRelay
from persimmonusher_protocol import control_pb2, keeper_pb2
from persimmonusher_protocol.control_grpc import ControlBase

UPDATE_SECONDS: Final = 0.5
"""Longest time between two updates of one follower, by which it sees that this keeper lives. At
12 followers a keeper, 24 small messages a second within one failure domain."""
LONGEST_AGE_MS: Final = 3_600_000
NOTICES_KEPT: Final = 256
"""For one entry that doesn't read; of more, the oldest go, which say the least."""


class Follower:
    """One entry's stream: what wakes it, and the notices that it is to be told."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.wake = asyncio.Event()
        self.notices: deque[control_pb2.Notice] = deque(maxlen=NOTICES_KEPT)

    def take_notices(self) -> tuple[control_pb2.Notice, ...]:
        """Return the notices that wait."""
        notices = tuple(self.notices)
        self.notices.clear()
        return notices


class FollowService(ControlBase):
    """Serves the committed records to entries."""

    def __init__(
        self, role: KeeperRole, view: ConfigurationClient, channels: ChannelPool, clock: Clock
    ) -> None:
        self._role = role
        self._view = view
        self._clock = clock
        self._followers: set[Follower] = set()
        self._relay = NoticeRelay(role, channels, self._tell_followers, clock)
        self._loads = LoadBook()
        view.on_change(self._wake)

    async def Follow(  # noqa: N802
        self, stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]"
    ) -> None:
        """Send updates until the follower leaves."""
        request = await stream.recv_message()
        assert request is not None
        follower = Follower(request.address)
        self._followers.add(follower)
        self._role.followers.own = len(self._followers)
        try:
            await self._send_updates(stream, Revision(request.since), follower)
        finally:
            self._followers.discard(follower)
            self._role.followers.own = len(self._followers)

    async def Report(  # noqa: N802
        self, stream: "Stream[control_pb2.NoticeBatch, keeper_pb2.Ack]"
    ) -> None:
        """Pass on what an entry, or another keeper, tells of failures."""
        batch = await stream.recv_message()
        assert batch is not None
        try:
            self._relay.take(batch)
        except UsherError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error
        await stream.send_message(keeper_pb2.Ack())

    async def ReportLoad(  # noqa: N802
        self, stream: "Stream[control_pb2.LoadReport, keeper_pb2.Ack]"
    ) -> None:
        """Take what an entry has in progress."""
        report = await stream.recv_message()
        assert report is not None
        loads = {load.server: load.in_progress for load in report.loads}
        self._loads.take(report.instance, loads, self._clock.monotonic())
        await stream.send_message(keeper_pb2.Ack())

    async def _send_updates(
        self,
        stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]",
        since: Revision,
        follower: "Follower",
    ) -> None:
        while True:
            follower.wake.clear()
            notices = follower.take_notices()
            if self._view.revision() > since:
                batch = self._view.collect_since(since)
                since = batch.revision
                for part in encode_parts(batch):
                    await stream.send_message(self._describe(part, notices))
                    notices = ()
            else:
                await stream.send_message(self._describe(None, notices))
            try:
                await asyncio.wait_for(follower.wake.wait(), UPDATE_SECONDS)
            except TimeoutError:
                continue

    def _describe(
        self, part: keeper_pb2.PullPart | None, notices: Sequence[control_pb2.Notice]
    ) -> control_pb2.FollowUpdate:
        try:
            replica = self._role.keeper.replica
        except UsherError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error
        now = self._clock.monotonic()
        age = min(LONGEST_AGE_MS, replica.find_majority_age(now) * 1000.0)
        places = (
            control_pb2.KeeperPlace(address=member.address, failure_domain=member.failure_domain)
            for member in replica.log.members.members
        )
        sums = self._loads.find_sums(now)
        loads = (
            control_pb2.Load(server=server, in_progress=count)
            for server, count in (sums or {}).items()
        )
        return control_pb2.FollowUpdate(
            loads=loads,
            has_loads=sums is not None,
            part=part,
            majority_age_ms=int(age),
            entries=self._role.followers.find_total(replica.is_leader, now),
            keepers=places,
            notices=notices,
            peers=[follower.address for follower in self._followers if follower.address],
        )

    def _wake(self, revision: Revision, keys: Sequence[ObjectKey]) -> None:
        for follower in self._followers:
            follower.wake.set()

    def _tell_followers(self, notices: Iterable[control_pb2.Notice]) -> None:
        for follower in self._followers:
            follower.notices.extend(notices)
            follower.wake.set()
