"""Trace scenarios without running keepers, and the table of all scenarios."""

from collections.abc import Callable, Mapping
from typing import Final

from persimmonusher_agreement.claims import ClaimRequest, RecordState, Settlement
from persimmonusher_agreement.roster import Member, Roster
from persimmonusher_decisions.evidence_messages import (
    Ejection,
    EjectionSet,
    EjectionState,
    QuarantinedRequest,
)
from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.work import Outcome, OutcomeKind, Request
from persimmonusher_lab.trace import Trace, TraceRecorder
from persimmonusher_lab.trace_keepers import (
    make_change,
    record_isolated_keeper,
    record_wiped_keeper,
)
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.profile import DETECTION_FIRST

SERVER_COUNT: Final = 5
REGISTER_NAMES: Final = ("i1", "i2", "i3", "i4", "i5")
WINDOW_SECONDS: Final = 600.0


def record_race() -> Trace:
    """Record concurrent changes by two operators, and resends after the answers were lost."""
    recorder = TraceRecorder(
        "configuration: accepted is durable and never reverts",
        "Two operators change the same profile, both from revision 1. One wins; the other sees "
        "what won. The winner's answer is lost and it sends the change again.",
    )
    recorder.add("configuration", "configuration", lineage="trace")

    def apply(change_id: str, based_on: int, ramp_ms: int, operator: str, states: str) -> None:
        change = make_change(change_id, based_on, ramp_ms, operator)
        recorder.call("configuration", "apply", change, states=states)

    apply("c1", 0, 1000, "ann", "the profile is created")
    apply("c2", 1, 2000, "ann", "the first of the racing changes wins")
    apply("c3", 1, 3000, "ben", "the second is a conflict that shows the first")
    apply("c2", 1, 2000, "ann", "a resend gets the verdict that it got before")
    apply("c3", 1, 3000, "ben", "also the loser's")
    apply("c2", 1, 9000, "ann", "the id with another content is refused")
    return recorder.trace


def _make_claim(token: str) -> ClaimRequest:
    return ClaimRequest("shows/farm/entry-7", token, "POST /entries 1f", 1, WINDOW_SECONDS, 10.0)


def record_claims() -> Trace:
    """Record an entry's claim, a resend through another entry, and a restarted register."""
    recorder = TraceRecorder(
        "a non-idempotent request runs at most once",
        "Entry i1 claims a key at all five registers. A resend through i2 must not be granted, "
        "neither while the first runs nor after a register restarted without memory, and it gets "
        "the stored answer at the end.",
    )
    members = tuple(
        Member(InstanceId(name), FailureDomain("abc"[number % 3]), 1)
        for number, name in enumerate(REGISTER_NAMES)
    )
    roster = Roster(1, members)
    for name in REGISTER_NAMES:
        recorder.add(name, "register", instance=name, boot=1, window=WINDOW_SECONDS, roster=roster)
    first, resend = _make_claim("i1-1"), _make_claim("i2-1")
    recorder.add("first", "claim-round", request=first, roster=roster)
    recorder.add("resend", "claim-round", request=resend, roster=roster)
    recorder.add(
        "restarted", "register", instance="i3", boot=2, window=WINDOW_SECONDS, roster=roster
    )
    for name in REGISTER_NAMES:
        vote = recorder.call(name, "claim", first, 1.0)
        recorder.call(name, "judge", first, 1.0, states="the free key is granted")
        recorder.call("first", "receive", vote, states="granted from the third vote on")
    for name in ("i1", "i2", "restarted"):
        states = "no vote without memory" if name == "restarted" else "taken by the first"
        recorder.call(name, "judge", resend, 2.0, states=states)
        vote = recorder.call(name, "claim", resend, 2.0)
        recorder.call("resend", "receive", vote, states="never granted")
    answer = Settlement(first.key, first.token, RecordState.FINISHED, b"lodged")
    for name in ("i1", "i2", "i4", "i5"):
        recorder.call(name, "settle", answer, 3.0)
    recorder.call("resend", "receive", recorder.call("i4", "claim", resend, 4.0))
    recorder.call("resend", "find_record", states="the resend gets the first run's answer")
    return recorder.trace


def _make_server(number: int, state: ServerState = ServerState.READY) -> BackendServer:
    return BackendServer(
        server_id=ServerId(f"s{number}"),
        service=ServiceName("shows"),
        address=f"127.0.0.1:{8100 + number}",
        failure_domain=FailureDomain("a"),
        slots=4,
        connection_limit=400,
        boot_id=1,
        sequence=1 if state is ServerState.READY else 2,
        state=state,
    )


def _make_request(number: int, idempotent: bool = True, fingerprint: str = "") -> Request:
    return Request(
        request_id=RequestId(f"r{number}"),
        caller=CallerId("farm"),
        request_class="",
        idempotent=idempotent,
        arrived=float(number),
        deadline=float(number) + 5.0,
        fingerprint=fingerprint or f"f{number}",
    )


def _start_traffic(recorder: TraceRecorder) -> None:
    recorder.add("entry", "traffic", profile=DETECTION_FIRST, domain="a", seed=1)
    servers = [_make_server(number) for number in range(SERVER_COUNT)]
    recorder.call("entry", "replace_servers", servers, 0.0)


def _make_set(
    ejections: tuple[Ejection, ...], quarantines: tuple[QuarantinedRequest, ...] = ()
) -> EjectionSet:
    return EjectionSet(
        service=ServiceName("shows"),
        assessor_id=InstanceId("i9"),
        epoch=1,
        sequence=1,
        lease_seconds=3.0,
        ejections=ejections,
        quarantines=quarantines,
        watched=(),
        note="",
    )


def record_floor() -> Trace:
    """Record an assessor that ejects more than the floor allows."""
    recorder = TraceRecorder(
        "ejecting never takes healthy capacity below the floor",
        "Four of five servers look ill, and an assessor with an old list of servers names all "
        "four. The entry keeps the floor of 50% in place, whoever decided, and lets the verdict "
        "lapse with its lease.",
    )
    _start_traffic(recorder)
    named = tuple(
        Ejection(ServerId(f"s{n}"), FailureDomain("a"), EjectionState.EJECTED, "failing", float(n))
        for n in range(4)
    )
    recorder.call("entry", "apply_ejections", _make_set(named), 1.0)
    recorder.call("entry", "count_taking", 1.0, states="three of five still take work")
    recorder.call("entry", "advance", 9.0)
    recorder.call("entry", "count_taking", 9.0, states="without a renewed lease all are back")
    return recorder.trace


def record_drain() -> Trace:
    """Record a draining server that says so in an answer first and in its announcement later."""
    recorder = TraceRecorder(
        "a leaving server receives no new work",
        "One server answers that it is draining. The entry stops at once, also while an older "
        "announcement still lists it as ready, and goes on without it once the directory knows.",
    )
    recorder.add("entry", "traffic", profile=DETECTION_FIRST, domain="a", seed=1)
    recorder.call("entry", "replace_servers", [_make_server(0)], 0.0)
    recorder.call("entry", "offer", _make_request(1, idempotent=False), 1.0)
    recorder.call("entry", "finish", "r1", Outcome(OutcomeKind.DRAINING, 0.01), 1.1)
    stale = [_make_server(number) for number in range(SERVER_COUNT)]
    recorder.call("entry", "replace_servers", stale, 1.2)
    numbers = range(2, 12)
    for number in numbers:
        recorder.call("entry", "offer", _make_request(number), 1.3, states="served elsewhere")
    given = [f"r{number}" for number in numbers]
    recorder.call("entry", "was_given", "s0", given, states="none went to the leaving server")
    known = [_make_server(0, ServerState.DRAINING), *stale[1:]]
    recorder.call("entry", "replace_servers", known, 2.0)
    recorder.call("entry", "takes_work", "s0", 2.0, states="nor once its announcement is known")
    return recorder.trace


def record_quarantine() -> Trace:
    """Record a request that crashed two servers and is sent again by its caller."""
    recorder = TraceRecorder(
        "a crashing request costs a bounded number of servers",
        "One request breaks every connection of each server that runs it. After two servers the "
        "assessor quarantines it; its resend is refused at once, others of its class are served, "
        "and the servers aren't blamed.",
    )
    recorder.add("entry", "traffic", profile=DETECTION_FIRST, domain="a", seed=1)
    for number in (1, 2):
        recorder.call("entry", "replace_servers", [_make_server(number)], float(number))
        crashing = _make_request(number, idempotent=False, fingerprint="bad")
        recorder.call("entry", "offer", crashing, float(number))
        broken = Outcome(OutcomeKind.BROKEN, 0.05)
        recorder.call("entry", "finish", f"r{number}", broken, number + 0.1)
    servers = [_make_server(number) for number in range(SERVER_COUNT)]
    recorder.call("entry", "replace_servers", servers, 3.0)
    verdict = QuarantinedRequest("bad", 300.0, (ServerId("s1"), ServerId("s2")))
    recorder.call("entry", "apply_ejections", _make_set((), (verdict,)), 3.0)
    again = _make_request(4, idempotent=False, fingerprint="bad")
    recorder.call("entry", "offer", again, 4.0, states="refused at once as quarantined")
    other = _make_request(5, idempotent=False)
    recorder.call("entry", "offer", other, 5.0, states="another request of the class is served")
    recorder.call("entry", "count_taking", 5.0, states="every server still takes work")
    return recorder.trace


SCENARIOS: Final[Mapping[str, Callable[[], Trace]]] = {
    "claims-resend": record_claims,
    "configuration-race": record_race,
    "crashing-request": record_quarantine,
    "drain": record_drain,
    "floor": record_floor,
    "keeper-isolated": record_isolated_keeper,
    "keeper-wiped": record_wiped_keeper,
}
