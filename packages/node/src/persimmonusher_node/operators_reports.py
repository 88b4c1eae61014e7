"""Reports for operators: the state of each instance, collected from all at once."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from grpclib.server import Stream

from persimmonusher_decisions.traffic import ServerStatus
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import InstanceId, RequestId, Revision, ServiceName
from persimmonusher_node import operators_wire as wire
from persimmonusher_node.keeper_calls import CALL_ERRORS
from persimmonusher_node.peers import ChannelPool
from persimmonusher_node.ports import Instance, Membership
from persimmonusher_node.records import RequestRecord
from persimmonusher_protocol import operator_pb2 as pb
from persimmonusher_protocol.operator_grpc import InstanceReportsBase, InstanceReportsStub

Reply = TypeVar("Reply")

PEER_TIMEOUT_SECONDS: Final = 1.0
"""An instance that takes longer is reported as silent, since an operator waits for all answers."""

MAX_CONCURRENT_CALLS: Final = 64
"""Keeps the fan-out to 2,500 instances from opening as many connections at once."""


class InstanceState(ABC):
    """The state that this instance reports; none of the methods may wait."""

    @abstractmethod
    def revision(self) -> Revision:
        """Return the revision in force here."""

    @abstractmethod
    def list_statuses(self, service: ServiceName | None) -> Iterable[ServerStatus]:
        """List the backend servers of one service, or of all, with this instance's view of each."""

    @abstractmethod
    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of the decisions on a request, or None if none is kept."""


class OwnReports:
    """Encodes this instance's state as messages."""

    def __init__(self, instance: Instance, state: InstanceState, clock: Clock) -> None:
        self.instance = instance
        self._state = state
        self._clock = clock

    def read_status(self) -> pb.InstanceStatus:
        """Report this instance and its revision."""
        return wire.encode_instance(self.instance, self._state.revision(), True)

    def list_servers(self, request: pb.ListServersRequest) -> pb.ServerList:
        """Report this instance's view of the backend servers."""
        service = ServiceName(request.service) if request.service else None
        own = InstanceId(self.instance.instance_id)
        statuses = self._state.list_statuses(service)
        return pb.ServerList(servers=[wire.encode_status(status, own) for status in statuses])

    def explain(self, request: pb.ExplainRequest) -> pb.Explanation:
        """Report this instance's decisions on a request."""
        record = self._state.explain(RequestId(request.request_id))
        if record is None:
            return pb.Explanation(request_id=request.request_id)
        return wire.encode_explanation(record, self.instance.instance_id, self._clock)


class InstanceReportsService(InstanceReportsBase):
    """Serves this instance's reports to peers."""

    def __init__(self, own: OwnReports) -> None:
        self._own = own

    async def ReadStatus(  # noqa: N802
        self, stream: "Stream[pb.ReadStatusRequest, pb.InstanceStatus]"
    ) -> None:
        """Send the instance's own status."""
        await stream.recv_message()
        await stream.send_message(self._own.read_status())

    async def ListOwnServers(  # noqa: N802
        self, stream: "Stream[pb.ListServersRequest, pb.ServerList]"
    ) -> None:
        """Send the instance's own view of the backend servers."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(self._own.list_servers(request))

    async def ExplainOwn(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Send the instance's decisions on a request."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(self._own.explain(request))


@dataclass(frozen=True)
class Gathered(Generic[Reply]):
    """The replies of the instances that answered, and the instances that didn't."""

    replies: tuple[Reply, ...]
    silent: tuple[Instance, ...]


class FleetReports:
    """Collects reports from every live instance, from this one without a call."""

    def __init__(self, own: OwnReports, membership: Membership, channels: ChannelPool) -> None:
        self._own = own
        self._membership = membership
        self._channels = channels

    async def list_instances(self) -> pb.InstanceList:
        """List the live instances; one that is silent is shown without a revision."""
        gathered = await self._gather(
            self._own.read_status(),
            lambda stub: stub.ReadStatus(pb.ReadStatusRequest(), timeout=PEER_TIMEOUT_SECONDS),
        )
        silent = [wire.encode_instance(instance, 0, False) for instance in gathered.silent]
        found = sorted([*gathered.replies, *silent], key=lambda item: item.instance_id)
        return pb.InstanceList(instances=found)

    async def list_servers(self, request: pb.ListServersRequest) -> pb.ServerList:
        """List the backend servers with each instance's view."""
        gathered = await self._gather(
            self._own.list_servers(request),
            lambda stub: stub.ListOwnServers(request, timeout=PEER_TIMEOUT_SECONDS),
        )
        merged = wire.merge_servers(gathered.replies)
        merged.silent_instances.extend(item.instance_id for item in gathered.silent)
        return merged

    async def explain(self, request: pb.ExplainRequest) -> pb.Explanation:
        """Collect every instance's decisions on a request, in order of time."""
        gathered = await self._gather(
            self._own.explain(request),
            lambda stub: stub.ExplainOwn(request, timeout=PEER_TIMEOUT_SECONDS),
        )
        events = [event for reply in gathered.replies for event in reply.events]
        events.sort(key=lambda event: event.at)
        return pb.Explanation(
            request_id=request.request_id,
            events=events,
            silent_instances=[item.instance_id for item in gathered.silent],
        )

    async def _gather(
        self, own: Reply, ask: Callable[[InstanceReportsStub], Awaitable[Reply]]
    ) -> Gathered[Reply]:
        own_id = self._own.instance.instance_id
        others = [item for item in self._membership.list_live() if item.instance_id != own_id]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def ask_one(instance: Instance) -> Reply | None:
            async with semaphore:
                stub = InstanceReportsStub(self._channels.get(instance.peer_address))
                try:
                    return await asyncio.wait_for(ask(stub), PEER_TIMEOUT_SECONDS)
                except CALL_ERRORS:
                    return None

        replies = await asyncio.gather(*map(ask_one, others))
        answered = tuple(reply for reply in replies if reply is not None)
        pairs = zip(others, replies, strict=True)
        silent = tuple(instance for instance, reply in pairs if reply is None)
        return Gathered((own, *answered), silent)
