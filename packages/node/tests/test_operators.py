"""The operators' service over in-memory parts and real gRPC messages."""

from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from collections.abc import Callable, Iterable, Sequence  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any  # noqa: E402

from grpclib.exceptions import GRPCError  # noqa: E402
from grpclib.testing import ChannelFor  # noqa: E402

from persimmonusher_agreement.configuration_objects import (  # noqa: E402
    Accepted,
    Change,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
    Record,
    Verdict,
)
from persimmonusher_decisions.server import BackendServer, ServerState  # noqa: E402
from persimmonusher_decisions.traffic import ServerStatus  # noqa: E402
from persimmonusher_model.clock import ManualClock  # noqa: E402
from persimmonusher_model.errors import ErrorCode, Finding, UsherError  # noqa: E402
from persimmonusher_model.identifiers import (  # noqa: E402
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    Revision,
    ServerId,
    ServiceName,
)
from persimmonusher_node.memory import MemoryMembership  # noqa: E402
from persimmonusher_node.operators import OperatorsService  # noqa: E402
from persimmonusher_node.operators_reports import (  # noqa: E402
    FleetReports,
    InstanceReportsService,
    InstanceState,
    OwnReports,
)
from persimmonusher_node.peers import TOKEN_HEADER  # noqa: E402
from persimmonusher_node.ports import Instance  # noqa: E402
from persimmonusher_node.records import DecisionStep, RequestRecord  # noqa: E402
from persimmonusher_protocol import operator_pb2 as pb  # noqa: E402
from persimmonusher_protocol.operator_grpc import OperatorsStub  # noqa: E402

PROFILE = ObjectKey(ObjectKind.PROFILE, "shows")
RECORD = Record(PROFILE, Revision(3), "{}", "c1", "ann")
METADATA = {TOKEN_HEADER: "t-ann"}


def make_instance(name: str) -> Instance:
    return Instance(InstanceId(name), FailureDomain("a"), f"{name}:1", ("entry",))


class FakeConfiguration:
    """Replaces the ConfigurationClient; the test sets the next verdict or error."""

    def __init__(self) -> None:
        self.proposed: list[Change] = []
        self.outcome: Verdict | UsherError = Accepted(Revision(4))
        self.keepers = SimpleNamespace(read_history=self._read_history)

    def revision(self) -> Revision:
        return Revision(3)

    def list_records(self, kind: ObjectKind) -> Sequence[Record]:
        return [RECORD] if kind is ObjectKind.PROFILE else []

    async def propose(self, change: Change) -> Verdict:
        self.proposed.append(change)
        if isinstance(self.outcome, UsherError):
            raise self.outcome
        return self.outcome

    async def _read_history(self, key: ObjectKey) -> tuple[Record, ...]:
        return (RECORD,) if key == PROFILE else ()


class FakeState(InstanceState):
    """One instance with one server and one recorded request."""

    def __init__(self, revision: int, taking: bool, reason: str) -> None:
        self._revision = Revision(revision)
        self._taking = taking
        self._reason = reason

    def revision(self) -> Revision:
        return self._revision

    def list_statuses(self, service: ServiceName | None) -> Iterable[ServerStatus]:
        server = BackendServer(
            server_id=ServerId("s1"),
            service=ServiceName("shows"),
            address="127.0.0.1:1",
            failure_domain=FailureDomain("a"),
            slots=4,
            connection_limit=0,
            boot_id=1,
            sequence=1,
            state=ServerState.READY,
        )
        if service in (None, server.service):
            yield ServerStatus(server, self._taking, self._reason, 2)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        if request_id != "r1":
            return None
        steps = [DecisionStep(0.01, "dispatch", "attempt 1", ServerId("s1"))]
        return RequestRecord(
            request_id=request_id,
            service=ServiceName("shows"),
            caller=CallerId("farm"),
            request_class="",
            method="GET",
            path="/x",
            idempotent=True,
            arrived=1.0,
            revision=3,
            status=200,
            result="ran",
            steps=steps,
        )


class ChannelsInMemory:
    """Maps each peer address to a service in this process; other addresses are unreachable."""

    def __init__(self, channels: dict[str, Any]) -> None:
        self._channels = channels

    def get(self, address: str) -> Any:
        return self._channels.get(address, UnreachableChannel())


class UnreachableChannel:
    """A channel on which every call fails like a refused connection."""

    def request(self, *arguments: Any, **options: Any) -> Any:
        raise ConnectionRefusedError("refused")

    def __getattr__(self, name: str) -> Any:
        raise ConnectionRefusedError("refused")


class OperatorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = FakeConfiguration()
        self.instances = [make_instance(name) for name in ("i1", "i2", "i3")]

    def ask(self, call: Callable[[OperatorsStub], Any]) -> Any:
        """Serve i1, with i2 as a peer and i3 unreachable, and make one call."""

        async def run() -> Any:
            clock = ManualClock(5.0)
            own = OwnReports(self.instances[0], FakeState(3, True, "ready"), clock)
            peer = OwnReports(self.instances[1], FakeState(2, False, "ejected: failing"), clock)
            async with ChannelFor([InstanceReportsService(peer)]) as to_peer:
                channels: Any = ChannelsInMemory({"i2:1": to_peer})
                reports = FleetReports(own, MemoryMembership(self.instances), channels)
                configuration: Any = self.configuration
                service = OperatorsService(configuration, reports, {"t-ann": "ann"})
                async with ChannelFor([service]) as channel:
                    return await call(OperatorsStub(channel))

        return loop.run_coroutine(run())

    def propose(self) -> pb.ProposeReply:
        change = pb.Change(change_id="c", kind=pb.PROFILE, name="shows", based_on=3, body="{}")
        reply: pb.ProposeReply = self.ask(lambda stub: stub.Propose(change, metadata=METADATA))
        return reply

    def test_verdicts(self) -> None:
        finding = Finding(ErrorCode.IN_USE, "name", "is used")
        cases: tuple[tuple[Verdict | UsherError, int], ...] = (
            (Accepted(Revision(4)), pb.ACCEPTED),
            (Conflict(RECORD), pb.CONFLICT),
            (Invalid((finding,)), pb.REFUSED),
            (UsherError(ErrorCode.NO_QUORUM, "no leader"), pb.UNKNOWN),
        )
        for outcome, verdict in cases:
            with self.subTest(outcome=outcome):
                self.configuration.outcome = outcome
                self.assertEqual(self.propose().verdict, verdict)
        self.assertEqual({change.operator for change in self.configuration.proposed}, {"ann"})

    def test_conflict_shows_the_winner_and_refusal_every_finding(self) -> None:
        self.configuration.outcome = Conflict(RECORD)
        self.assertEqual(self.propose().winner.change_id, "c1")
        findings = tuple(Finding(ErrorCode.BAD_VALUE, path, "bad") for path in ("a", "b"))
        self.configuration.outcome = Invalid(findings)
        self.assertEqual([item.path for item in self.propose().findings], ["a", "b"])

    def test_unknown_kind_is_refused(self) -> None:
        request = pb.ReadObjectsRequest(kind=pb.OBJECT_KIND_UNSPECIFIED)
        with self.assertRaises(GRPCError):
            self.ask(lambda stub: stub.ReadObjects(request))
        reply = self.ask(lambda stub: stub.Propose(pb.Change(change_id="c"), metadata=METADATA))
        self.assertEqual(reply.verdict, pb.REFUSED)

    def test_reads_objects_and_history(self) -> None:
        request = pb.ReadObjectsRequest(kind=pb.PROFILE, name="shows")
        found = self.ask(lambda stub: stub.ReadObjects(request))
        self.assertEqual((found.revision, found.objects[0].body), (3, "{}"))
        history = pb.ReadHistoryRequest(kind=pb.PROFILE, name="shows")
        self.assertEqual(len(self.ask(lambda stub: stub.ReadHistory(history)).objects), 1)

    def test_instances_with_revisions_and_a_silent_one(self) -> None:
        found = self.ask(lambda stub: stub.ListInstances(pb.ListInstancesRequest())).instances
        listed = [(item.instance_id, item.revision, item.answered) for item in found]
        self.assertEqual(listed, [("i1", 3, True), ("i2", 2, True), ("i3", 0, False)])

    def test_servers_with_every_view(self) -> None:
        found = self.ask(lambda stub: stub.ListServers(pb.ListServersRequest()))
        self.assertEqual(len(found.servers), 1)
        views = [(view.instance_id, view.taking_work) for view in found.servers[0].views]
        self.assertEqual(views, [("i1", True), ("i2", False)])
        self.assertEqual(list(found.silent_instances), ["i3"])
        none = self.ask(lambda stub: stub.ListServers(pb.ListServersRequest(service="other")))
        self.assertEqual(len(none.servers), 0)

    def test_explain_collects_from_all(self) -> None:
        found = self.ask(lambda stub: stub.Explain(pb.ExplainRequest(request_id="r1")))
        steps = [(event.instance_id, event.decision) for event in found.events]
        self.assertIn(("i1", "dispatch"), steps)
        self.assertIn(("i2", "answer"), steps)
        self.assertEqual([event.at for event in found.events], sorted(e.at for e in found.events))


if __name__ == "__main__":
    unittest.main()
