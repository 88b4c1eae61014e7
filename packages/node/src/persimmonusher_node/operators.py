"""The operators' gRPC service of an instance, and the reports between instances behind it."""

from collections.abc import Mapping, Sequence

from grpclib._typing import IServable
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from persimmonusher_agreement.configuration_objects import Invalid, ObjectKind, Record, Verdict
from persimmonusher_agreement.log_messages import KeeperId
from persimmonusher_model.clock import Clock
from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_node import operators_wire as wire
from persimmonusher_node.component import Component
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.operators_reports import (
    FleetReports,
    InstanceReportsService,
    InstanceState,
    OwnReports,
)
from persimmonusher_node.peers import TOKEN_HEADER, ChannelPool
from persimmonusher_node.ports import Instance, Membership
from persimmonusher_protocol import operator_pb2 as pb
from persimmonusher_protocol.operator_grpc import OperatorsBase

STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: Status.INVALID_ARGUMENT,
    ErrorCode.NOT_FOUND: Status.NOT_FOUND,
    ErrorCode.NO_QUORUM: Status.UNAVAILABLE,
}


class OperatorsService(OperatorsBase):
    """Answers operators from any instance."""

    def __init__(
        self,
        configuration: ConfigurationClient,
        reports: FleetReports,
        names_by_token: Mapping[str, str],
    ) -> None:
        self._configuration = configuration
        self._reports = reports
        self._names_by_token = names_by_token

    async def Propose(self, stream: "Stream[pb.Change, pb.ProposeReply]") -> None:  # noqa: N802
        """Propose a change to the keepers; reply UNKNOWN if no verdict arrives in time.

        Guards against an answer lost between keeper, instance and operator: the change may have
        been accepted, so the reply must not say that it wasn't. After UNKNOWN, it is safe to send
        the change again with the same change id, because keepers keep the verdict by change id.
        """
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._decide(request, self._find_operator(stream)))

    async def _decide(self, request: pb.Change, operator: str) -> pb.ProposeReply:
        try:
            change = wire.decode_change(request, operator)
        except KeyError:
            finding = Finding(ErrorCode.BAD_VALUE, "kind", f"{request.kind} is no known kind")
            return wire.encode_verdict(Invalid((finding,)))
        try:
            verdict: Verdict = await self._configuration.propose(change)
        except UsherError as error:
            if error.code is not ErrorCode.NO_QUORUM:
                raise _make_grpc_error(error) from error
            reason = pb.Finding(code=error.code.value, message=error.message)
            return pb.ProposeReply(verdict=pb.UNKNOWN, findings=[reason])
        return wire.encode_verdict(verdict)

    async def ReadObjects(  # noqa: N802
        self, stream: "Stream[pb.ReadObjectsRequest, pb.ObjectList]"
    ) -> None:
        """Send the live objects of one kind, or only the one that the request names."""
        request = await stream.recv_message()
        assert request is not None
        kind = _decode_kind(request.kind)
        records: Sequence[Record] = self._configuration.list_records(kind)
        if request.name:
            records = [record for record in records if record.key.name == request.name]
        await stream.send_message(self._make_list(records))

    async def ReadHistory(  # noqa: N802
        self, stream: "Stream[pb.ReadHistoryRequest, pb.ObjectList]"
    ) -> None:
        """Send the records that the keepers keep of one object."""
        request = await stream.recv_message()
        assert request is not None
        _decode_kind(request.kind)
        key = wire.decode_key(request.kind, request.name)
        try:
            records = await self._configuration.keepers.read_history(key)
        except UsherError as error:
            raise _make_grpc_error(error) from error
        await stream.send_message(self._make_list(records))

    def _make_list(self, records: Sequence[Record]) -> pb.ObjectList:
        objects = [wire.encode_record(record) for record in records]
        return pb.ObjectList(revision=self._configuration.revision(), objects=objects)

    async def ListServers(  # noqa: N802
        self, stream: "Stream[pb.ListServersRequest, pb.ServerList]"
    ) -> None:
        """Send the backend servers with every instance's view."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._reports.list_servers(request))

    async def ListInstances(  # noqa: N802
        self, stream: "Stream[pb.ListInstancesRequest, pb.InstanceList]"
    ) -> None:
        """Send the live instances with the revision of each."""
        await stream.recv_message()
        await stream.send_message(await self._reports.list_instances())

    async def ListKeepers(  # noqa: N802
        self, stream: "Stream[pb.ListKeepersRequest, pb.KeeperList]"
    ) -> None:
        """Send the keepers' states; one that can't be reached is listed as such."""
        await stream.recv_message()
        reports = await self._configuration.keepers.list_keepers()
        keepers = [wire.encode_keeper(report) for report in reports]
        keepers.sort(key=lambda keeper: keeper.peer_address)
        await stream.send_message(pb.KeeperList(keepers=keepers))

    async def DismissKeeper(  # noqa: N802
        self, stream: "Stream[pb.DismissKeeperRequest, pb.DismissKeeperReply]"
    ) -> None:
        """Remove a lost keeper permanently."""
        request = await stream.recv_message()
        assert request is not None
        try:
            await self._configuration.keepers.dismiss(KeeperId(request.keeper))
        except UsherError as error:
            raise _make_grpc_error(error) from error
        await stream.send_message(pb.DismissKeeperReply())

    async def Explain(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Send the decisions of all instances on a request."""
        request = await stream.recv_message()
        assert request is not None
        await stream.send_message(await self._reports.explain(request))

    def _find_operator(self, stream: "Stream[pb.Change, pb.ProposeReply]") -> str:
        token = stream.metadata.get(TOKEN_HEADER) if stream.metadata is not None else None
        return self._names_by_token.get(token, "") if isinstance(token, str) else ""


def _decode_kind(kind: "pb.ObjectKind") -> ObjectKind:
    found = wire.KINDS_FROM_WIRE.get(kind)
    if found is None:
        raise GRPCError(Status.INVALID_ARGUMENT, f"kind: {kind} is no known kind")
    return found


def _make_grpc_error(error: UsherError) -> GRPCError:
    return GRPCError(STATUS_BY_CODE.get(error.code, Status.INTERNAL), str(error))


class OperatorsComponent(Component):
    """Serves operators, and other instances that collect reports for operators.

    `operator_tokens` maps each operator's name to the token, as in the settings.
    """

    def __init__(
        self,
        instance: Instance,
        state: InstanceState,
        configuration: ConfigurationClient,
        membership: Membership,
        channels: ChannelPool,
        operator_tokens: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self._own = OwnReports(instance, state, clock)
        names = {token: name for name, token in operator_tokens.items()}
        reports = FleetReports(self._own, membership, channels)
        self._service = OperatorsService(configuration, reports, names)

    def list_peer_handlers(self) -> Sequence[IServable]:
        """Return the service with this instance's reports."""
        return (InstanceReportsService(self._own),)

    def list_operator_handlers(self) -> Sequence[IServable]:
        """Return the operators' service."""
        return (self._service,)

    def start(self) -> None:
        """Do nothing: the daemon's listeners serve the calls."""

    def stop(self) -> None:
        """Do nothing."""
