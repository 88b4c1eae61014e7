"""The calls of an entry to the keepers over gRPC."""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from typing import Final

from persimmonusher_agreement.keeper_choice import KeeperPlace
from persimmonusher_decisions.notices import Notice
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.keeper_port import KeeperAnswer, KeeperPort, ReportedLoads
from persimmonusher_node.tiers.load_wire import encode_sample, to_milliseconds
from persimmonusher_node.tiers.message_delays import make_run_number, make_send_time
from persimmonusher_node.tiers.notice_wire import encode_notice
from persimmonusher_protocol import control_pb2
from persimmonusher_protocol.control_grpc import ControlStub

ANSWER_TIMEOUT_SECONDS: Final = 1.0
"""Longest wait for an answer: a later one would be too old to be useful."""
SILENCE_TIMEOUT_SECONDS: Final = 1.2
"""A stream that brings nothing for longer is considered lost: two of its updates are missing."""
REPORT_TIMEOUT_SECONDS: Final = 0.5
"""A notice that takes longer to arrive has lost most of its value."""
NO_INSTANCE: Final = ""
"""Sent in place of the own instance by a question that reports no loads."""


class GrpcKeepers(KeeperPort):
    """Calls keepers through the process's channels."""

    def __init__(self, settings: Settings, channels: ChannelPool, clock: Clock) -> None:
        self._settings = settings
        self._channels = channels
        self._clock = clock
        self._run = make_run_number(clock)

    async def ask_freshness(
        self, place: KeeperPlace, loads: ReportedLoads | None
    ) -> KeeperAnswer | None:
        """Ask for the keeper's freshness; return None while its log isn't open."""
        report = control_pb2.LoadReport(instance=NO_INSTANCE)
        if loads is not None:
            report = encode_report(self._settings.instance_id, loads)
            if loads.work is not None:
                report.sent.CopyFrom(make_send_time(self._run, self._clock.monotonic()))
        asked_at = self._clock.monotonic()
        standing = await self._stub(place).ReportLoad(report, timeout=ANSWER_TIMEOUT_SECONDS)
        if not standing.HasField("majority_age_ms"):
            return None
        age = standing.majority_age_ms / 1000.0
        return KeeperAnswer(place, asked_at, age, Revision(standing.revision))

    async def list_keepers(self, place: KeeperPlace) -> Sequence[KeeperPlace]:
        """List the keepers that a keeper's log names; raise ConnectionError if it names none."""
        request = control_pb2.KeeperListRequest()
        reply = await self._stub(place).ListKeepers(request, timeout=ANSWER_TIMEOUT_SECONDS)
        if not reply.keepers:
            raise ConnectionError(f"{place.address} listed no keepers")
        return [KeeperPlace(one.address, one.failure_domain) for one in reply.keepers]

    async def follow(
        self, place: KeeperPlace, since: Revision
    ) -> AsyncGenerator[control_pb2.FollowUpdate, None]:
        """Open a stream and yield its updates; raise TimeoutError when it falls silent."""
        request = control_pb2.FollowRequest(
            instance=self._settings.instance_id,
            since=since,
            address=self._settings.listen.peers,
            failure_domain=self._settings.failure_domain,
            relay=self._settings.listen.relay,
        )
        async with self._stub(place).Follow.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await stream.send_message(request, end=True)
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    update = await stream.recv_message()
                if update is None:
                    raise ConnectionError(f"{place.address} ended the stream")
                yield update

    async def report(self, place: KeeperPlace, notices: Sequence[Notice]) -> None:
        """Send notices to be relayed to all entries."""
        batch = control_pb2.NoticeBatch(notices=map(encode_notice, notices))
        await self._stub(place).Report(batch, timeout=REPORT_TIMEOUT_SECONDS)

    def reconnect(self, place: KeeperPlace) -> None:
        """Close the channel, so that the next call opens a new connection."""
        self._channels.forget(place.address)

    def _stub(self, place: KeeperPlace) -> ControlStub:
        return ControlStub(self._channels.get(place.address))


def encode_report(instance: str, loads: ReportedLoads) -> control_pb2.LoadReport:
    """Return the wire form of an entry's report."""
    report = control_pb2.LoadReport(instance=instance, costs=map(encode_sample, loads.costs))
    work = loads.work or {}
    for server, count in loads.in_progress.items():
        load = report.loads.add(server=server, in_progress=count)
        if server in work:
            load.work_ms = to_milliseconds(work[server])
    return report
