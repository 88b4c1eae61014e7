from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402

from persimmonusher_decisions.server import BackendServer, ServerState  # noqa: E402
from persimmonusher_decisions.work import (  # noqa: E402
    Dispatch,
    Outcome,
    OutcomeKind,
    Request,
    Wait,
)
from persimmonusher_model.identifiers import (  # noqa: E402
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import DETECTION_FIRST  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.evidence import EvidenceExchange  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.memory import (  # noqa: E402
    MemoryConfiguration,
    MemoryDirectory,
    MemoryMembership,
)
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.ports import Instance  # noqa: E402
from persimmonusher_node.services import ServiceBook  # noqa: E402

SERVICE = ServiceName("shows")
NAMES = [InstanceId(f"i{number}") for number in range(4)]
SERVERS = [ServerId(f"shows-{number}") for number in range(6)]
GRAY = SERVERS[2]
BATCH_REQUESTS = 22
"""Requests in flight at once at each instance, out of 24 slots in total."""


def make_server(server_id: ServerId) -> BackendServer:
    return BackendServer(
        server_id=server_id,
        service=SERVICE,
        address="127.0.0.1:1",
        failure_domain=FailureDomain("d0"),
        slots=4,
        connection_limit=400,
        boot_id=1,
        sequence=1,
        state=ServerState.READY,
    )


class Node:
    """One instance's service book and evidence exchange, with its own gRPC listener."""

    def __init__(self, instance: Instance, instances: list[Instance]) -> None:
        clock = SystemClock()
        configuration = MemoryConfiguration({"shows/": SERVICE}, {SERVICE: DETECTION_FIRST})
        directory = MemoryDirectory()
        for server_id in SERVERS:
            directory.announce(make_server(server_id))
        membership = MemoryMembership(instances)
        domain = instance.failure_domain
        random = Random(instance.instance_id)
        self.services = ServiceBook(
            configuration, directory, membership, instance.instance_id, domain, clock, random
        )
        self.channels = ChannelPool("peers")
        self.exchange = EvidenceExchange(
            instance.instance_id,
            domain,
            1,
            self.services,
            configuration,
            directory,
            membership,
            self.channels,
            clock,
        )
        handlers = self.exchange.list_peer_handlers()
        self.listener = GrpcListener(instance.peer_address, handlers, {"peers": "peer"})
        self.listener.start()
        self.exchange.start()
        self.runs = 0

    def stop(self) -> None:
        self.exchange.stop()
        self.listener.stop()
        self.channels.__exit__(None, None, None)

    def run_batch(self) -> None:
        """Run concurrent lookups, enough that a suspected server is used as well."""
        live = self.services.get(SERVICE)
        assert live is not None
        now = SystemClock().monotonic()
        offered = [live.traffic.offer(self.make_request(now), now) for _ in range(BATCH_REQUESTS)]
        for decision in offered:
            if isinstance(decision, Wait):
                live.traffic.withdraw(decision.request)
        for decision in offered:
            if not isinstance(decision, Dispatch):
                continue
            failed = decision.server.server_id == GRAY
            kind = OutcomeKind.FAILURE if failed else OutcomeKind.SUCCESS
            live.traffic.finish(decision, Outcome(kind, 0.02), now + 0.02)

    def make_request(self, now: float) -> Request:
        self.runs += 1
        return Request(
            request_id=RequestId(str(self.runs)),
            caller=CallerId("farm-club"),
            request_class="lookup",
            idempotent=True,
            arrived=now,
            deadline=now + 5.0,
            fingerprint=str(self.runs),
        )

    def lists_gray_as_excluded(self) -> bool:
        live = self.services.get(SERVICE)
        assert live is not None
        statuses = live.traffic.describe(SystemClock().monotonic())
        return any(s.server.server_id == GRAY and not s.taking_work for s in statuses)


class EvidenceFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.instances = [
            Instance(name, FailureDomain(f"d{name}"), f"127.0.0.1:{find_port()}", ("entry",))
            for name in NAMES
        ]
        self.nodes = {one.instance_id: Node(one, self.instances) for one in self.instances}
        self.addCleanup(lambda: [node.stop() for node in self.nodes.values()])

    def run_until_excluded(self, nodes: list[Node], seconds: float) -> None:
        with eventlet.Timeout(seconds):
            while not all(node.lists_gray_as_excluded() for node in nodes):
                for node in nodes:
                    node.run_batch()
                eventlet.sleep(0.03)

    def find_assessor(self) -> InstanceId:
        chosen = self.nodes[NAMES[0]].exchange.list_assessors(SERVICE)
        return chosen[0]

    def test_evidence_of_some_keeps_all_from_a_gray_server(self) -> None:
        # Three instances see a server fail; the fourth has sent it nothing yet. All four must
        # exclude it, since otherwise the fourth's first caller would get an error.
        idle = self.nodes[NAMES[3]]
        idle.services.get(SERVICE)
        working = [self.nodes[name] for name in NAMES[:3]]
        self.run_until_excluded(working, 10.0)
        with eventlet.Timeout(3.0):
            while not idle.lists_gray_as_excluded():
                eventlet.sleep(0.05)

    def test_the_first_request_of_a_service_meets_the_verdict(self) -> None:
        # Guards against losing a third server to a request that is quarantined after crashing two,
        # when it is resent through an instance that had no traffic for the service before.
        working = [self.nodes[name] for name in NAMES[:3]]
        self.run_until_excluded(working, 10.0)
        fresh = self.nodes[NAMES[3]]
        self.assertIsNotNone(fresh.services.find("shows", "/"))
        self.assertTrue(fresh.lists_gray_as_excluded())

    def test_the_deputy_takes_over_when_the_assessor_is_gone(self) -> None:
        # The assessor's process is killed just before a server turns gray. The deputy must be asked
        # at once, so that the gray server doesn't get work until the failure is detected.
        gone = self.find_assessor()
        self.nodes.pop(gone).stop()
        self.run_until_excluded(list(self.nodes.values()), 15.0)


if __name__ == "__main__":
    unittest.main()
