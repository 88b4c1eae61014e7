from random import Random

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.evidence_messages import (
    Ejection,
    EjectionSet,
    EjectionState,
    EvidenceDigest,
    ServerEvidence,
)
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Decision, Dispatch, Outcome, OutcomeKind, Request
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import DETECTION_FIRST, Profile

SERVICE = ServiceName("entries")
GOOD = Outcome(OutcomeKind.SUCCESS, 0.02, 1)
FAILED = Outcome(OutcomeKind.FAILURE, 0.001, 0)


def make_server(index: int, state: ServerState = ServerState.READY, boot: int = 1) -> BackendServer:
    return BackendServer(
        ServerId(f"s{index}"),
        SERVICE,
        f"10.0.0.{index}:80",
        FailureDomain(f"d{index % 4}"),
        slots=4,
        connection_limit=400,
        boot_id=boot,
        sequence=1,
        state=state,
    )


def make_request(
    name: str,
    now: float = 0.0,
    *,
    caller: str = "c",
    idempotent: bool = True,
    seconds: float = 10.0,
    fingerprint: str = "",
) -> Request:
    return Request(
        RequestId(name),
        CallerId(caller),
        "lookup" if idempotent else "entry",
        idempotent,
        now,
        now + seconds,
        fingerprint or name,
    )


def make_traffic(
    servers: int = 6, profile: Profile = DETECTION_FIRST, live: int = 1, domain: str = "d0"
) -> ServiceTraffic:
    traffic = ServiceTraffic(
        profile, FailureDomain(domain), Random(7), SERVICE, InstanceId("entry-0"), 1
    )
    traffic.replace_entry_count(live)
    traffic.replace_servers([make_server(index) for index in range(servers)], 0.0)
    return traffic


def dispatched(decision: Decision) -> Dispatch:
    assert isinstance(decision, Dispatch), decision
    return decision


def make_set(
    names: list[str],
    *,
    assessor: str = "a",
    epoch: int = 1,
    sequence: int = 1,
    lease: float = 3.0,
    state: EjectionState = EjectionState.EJECTED,
    seen_from: str = "d0",
) -> EjectionSet:
    ejections = tuple(
        Ejection(ServerId(name), FailureDomain(seen_from), state, "ill", 1.0) for name in names
    )
    return EjectionSet(SERVICE, InstanceId(assessor), epoch, sequence, lease, ejections, (), (), "")


class Watch:
    """Feeds an assessor with slices of evidence: (failed, slow) counts of ten answers by server."""

    def __init__(self, profile: Profile = DETECTION_FIRST, servers: int = 10) -> None:
        self.assessor = Assessor(SERVICE, profile, InstanceId("a"), 1)
        self.servers = [make_server(index) for index in range(servers)]
        self.assessor.replace_servers(self.servers, 0.0)
        self.now = 0.0
        self.sequence = 0
        self.domains = ["d0", "d1", "d2", "d3"]

    def run(
        self, seconds: float, bad: dict[int, tuple[int, int]], domains: tuple[str, ...] = ()
    ) -> EjectionSet:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for domain in self.domains:
                ill = bad if not domains or domain in domains else {}
                self._send(domain, ill)
            verdict = self.assessor.assess(self.now)
        return verdict

    def _send(self, domain: str, bad: dict[int, tuple[int, int]]) -> None:
        self.sequence += 1
        lines = []
        for index, server in enumerate(self.servers):
            failed, slow = bad.get(index, (0, 1))
            lines.append(ServerEvidence(server.server_id, 10, failed, 10, slow))
        self.assessor.receive(
            EvidenceDigest(
                SERVICE,
                InstanceId(f"entry-{domain}"),
                1,
                self.sequence,
                FailureDomain(domain),
                tuple(lines),
                (),
            ),
            self.now,
        )


def ejected(verdict: EjectionSet, seen_from: str = "d0") -> set[str]:
    return {item.server_id for item in verdict.ejections if item.seen_from == seen_from}
