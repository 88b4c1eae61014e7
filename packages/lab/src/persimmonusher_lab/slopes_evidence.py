"""Slopes of evidence and of the entry's decisions: time, message sizes, memory."""

from random import Random

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.evidence_messages import (
    EvidenceDigest,
    ServerEvidence,
)
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind, Request
from persimmonusher_lab.slopes import Slope, measure_bytes, measure_time
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import Profile
from persimmonusher_node import evidence_wire as wire
from persimmonusher_protocol import evidence_pb2 as pb

SERVICE = ServiceName("ranking")
SERVERS = 50
CALLS = 2_000


def measure_evidence() -> list[Slope]:
    """Measure all slopes of evidence and decisions."""
    digest = make_digest(1, SERVERS)
    assessor = Assessor(SERVICE, Profile(), InstanceId("instance-00001"), 1)
    assessor.replace_servers(make_servers(SERVERS), 0.0)
    verdict = assessor.assess(0.0)
    empty = pb.ReportRequest(service=SERVICE, instance_id="instance-00001")
    traffic = make_traffic(SERVERS)
    return [
        Slope("question message", empty.ByteSize(), "bytes", "nothing to report"),
        Slope(
            "digest message for each server",
            (
                wire.write_digest(digest).ByteSize()
                - wire.write_digest(_remove_servers(digest)).ByteSize()
            )
            / SERVERS,
            "bytes",
            "as encoded",
        ),
        Slope("verdict message", wire.write_set(verdict).ByteSize(), "bytes", "no server ejected"),
        Slope(
            "digest at the assessor",
            measure_time(lambda number: assessor.receive(make_digest(number, SERVERS), 1.0), 300),
            "us",
            f"{SERVERS} servers, with making the digest",
        ),
        Slope(
            "verdict",
            measure_time(lambda number: assessor.assess(1.0 + number * 0.1), 300),
            "us",
            f"{SERVERS} servers, all healthy",
        ),
        Slope(
            "request's decisions",
            measure_time(lambda number: _run_request(traffic, number), CALLS),
            "us",
            f"offer and finish, {SERVERS} servers",
        ),
        Slope(
            "server in a service's traffic",
            measure_bytes(make_traffic, 50, 1_050),
            "bytes",
            "held at an entry for each server of a service in use",
        ),
        Slope(
            "service in use",
            measure_bytes(lambda size: [make_traffic(1) for _ in range(size)], 10, 110),
            "bytes",
            "held at an entry for a service with one server",
        ),
        Slope(
            "caller",
            measure_bytes(_run_callers, 20_000, 60_000),
            "bytes",
            "held at an entry for each organisation that sent one request",
        ),
    ]


def make_servers(count: int) -> list[BackendServer]:
    """Make this many servers, as they announce themselves."""
    return [
        BackendServer(
            server_id=ServerId(f"ranking-{number:05}"),
            service=SERVICE,
            address=f"10.0.{number // 250}.{number % 250}:8080",
            failure_domain=FailureDomain(f"domain-{number % 8}"),
            slots=4,
            connection_limit=400,
            boot_id=1_790_000_000_000 + number,
            sequence=1,
            state=ServerState.READY,
        )
        for number in range(count)
    ]


def make_traffic(servers: int) -> ServiceTraffic:
    """Make the traffic of one service with this many servers."""
    traffic = ServiceTraffic(Profile(), FailureDomain("domain-0"), Random(1), SERVICE)
    traffic.replace_servers(make_servers(servers), 0.0)
    return traffic


def make_digest(sequence: int, servers: int) -> EvidenceDigest:
    """Make a digest of healthy servers."""
    lines = tuple(
        ServerEvidence(ServerId(f"ranking-{number:05}"), 20, 0, 20, 1) for number in range(servers)
    )
    return EvidenceDigest(
        service=SERVICE,
        instance_id=InstanceId("instance-00001"),
        incarnation=1_790_000_000_000,
        sequence=sequence,
        failure_domain=FailureDomain("domain-0"),
        servers=lines,
        strikes=(),
    )


def _remove_servers(digest: EvidenceDigest) -> EvidenceDigest:
    return make_digest(digest.sequence, 0)


def _run_request(traffic: ServiceTraffic, number: int, callers: int = 100) -> None:
    now = 1.0 + number * 0.001
    request = Request(
        request_id=RequestId(str(number)),
        caller=CallerId(f"organisation-{number % callers}"),
        request_class="lookup",
        idempotent=True,
        arrived=now,
        deadline=now + 10.0,
        fingerprint=f"{number:032x}",
    )
    decision = traffic.offer(request, now)
    assert isinstance(decision, Dispatch)
    traffic.finish(decision, Outcome(OutcomeKind.SUCCESS, 0.02, 1), now + 0.02)


def _run_callers(size: int) -> ServiceTraffic:
    traffic = make_traffic(SERVERS)
    for number in range(size):
        _run_request(traffic, number, callers=size)
    return traffic
