"""Conversion between the operators' protobuf messages and typed values."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Final

from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Change,
    Conflict,
    ObjectKey,
    ObjectKind,
    Record,
    Verdict,
)
from persimmonusher_agreement.log_messages import find_instance
from persimmonusher_decisions.traffic import ServerStatus
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import InstanceId, Revision
from persimmonusher_node.keeper_calls import KeeperReport
from persimmonusher_node.ports import Instance
from persimmonusher_node.records import RequestRecord
from persimmonusher_protocol import operator_pb2 as pb

KINDS_TO_WIRE: Final = {
    ObjectKind.PROFILE: pb.PROFILE,
    ObjectKind.SERVICE: pb.SERVICE,
    ObjectKind.ROUTE: pb.ROUTE,
}
KINDS_FROM_WIRE: Final = {number: kind for kind, number in KINDS_TO_WIRE.items()}


def decode_key(kind: "pb.ObjectKind", name: str) -> ObjectKey:
    """Return the key of an object; raises KeyError for an unknown kind."""
    return ObjectKey(KINDS_FROM_WIRE[kind], name)


def decode_change(wire: pb.Change, operator: str) -> Change:
    """Return the change that an operator proposes; raises KeyError for an unknown kind."""
    return Change(
        wire.change_id,
        operator,
        decode_key(wire.kind, wire.name),
        Revision(wire.based_on),
        wire.body if wire.HasField("body") else None,
    )


def encode_record(record: Record) -> pb.ObjectRecord:
    """Return the wire form of an object's record."""
    return pb.ObjectRecord(
        kind=KINDS_TO_WIRE[record.key.kind],
        name=record.key.name,
        revision=record.revision,
        body=record.body,
        change_id=record.change_id,
        operator_name=record.operator,
    )


def encode_verdict(verdict: Verdict) -> pb.ProposeReply:
    """Return the reply that carries a verdict."""
    if isinstance(verdict, Accepted):
        return pb.ProposeReply(verdict=pb.ACCEPTED, revision=verdict.revision)
    if isinstance(verdict, Conflict):
        return pb.ProposeReply(verdict=pb.CONFLICT, winner=encode_record(verdict.winner))
    findings = [
        pb.Finding(code=item.code.value, path=item.path, message=item.message)
        for item in verdict.findings
    ]
    return pb.ProposeReply(verdict=pb.REFUSED, findings=findings)


def encode_status(status: ServerStatus, instance_id: InstanceId) -> pb.ServerEntry:
    """Return a backend server with this instance's view of it."""
    server = status.server
    view = pb.ServerView(
        instance_id=instance_id,
        taking_work=status.taking_work,
        reason=status.reason,
        outstanding=status.outstanding,
        state=server.state.value,
    )
    return pb.ServerEntry(
        server_id=server.server_id,
        service=server.service,
        address=server.address,
        failure_domain=server.failure_domain,
        state=server.state.value,
        slots=server.slots,
        views=[view],
    )


def merge_servers(lists: Iterable[pb.ServerList]) -> pb.ServerList:
    """Combine the instances' lists into one entry for each server, with all instances' views.

    Where instances know different announcements of a server, the entry shows the one of the first
    list; each view still shows what its own instance does.
    """
    merged: dict[tuple[str, str], pb.ServerEntry] = {}
    for found in lists:
        for server in found.servers:
            known = merged.setdefault((server.service, server.server_id), server)
            if known is not server:
                known.views.extend(server.views)
    return pb.ServerList(servers=[merged[key] for key in sorted(merged)])


def encode_instance(instance: Instance, revision: int, answered: bool) -> pb.InstanceStatus:
    """Return an instance with the revision that it has applied."""
    return pb.InstanceStatus(
        instance_id=instance.instance_id,
        failure_domain=instance.failure_domain,
        peer_address=instance.peer_address,
        roles=instance.roles,
        revision=revision,
        answered=answered,
    )


def encode_keeper(report: KeeperReport) -> pb.KeeperEntry:
    """Return a keeper's state for operators."""
    return pb.KeeperEntry(
        instance_id=find_instance(report.keeper) or report.first_keeper,
        peer_address=report.address,
        role=report.role,
        term=report.term,
        last_index=report.last_index,
        committed_index=report.commit_index,
        keeper=report.keeper,
        failure=report.failure,
    )


def encode_explanation(
    record: RequestRecord, instance_id: InstanceId, clock: Clock
) -> pb.Explanation:
    """Return this instance's decisions on a request, in their order."""
    age = clock.monotonic() - record.arrived
    arrived = clock.wall() - timedelta(seconds=age)

    def make_event(after: float, decision: str, server: str, reason: str) -> pb.DecisionEvent:
        at = (arrived + timedelta(seconds=after)).isoformat(timespec="milliseconds")
        return pb.DecisionEvent(
            instance_id=instance_id, at=at, decision=decision, server_id=server, reason=reason
        )

    kind = "idempotent" if record.idempotent else "not idempotent"
    head = (
        f"{record.method} {record.path} of {record.caller or 'an unnamed caller'} for "
        f"{record.service}, {kind}, under revision {record.revision}"
    )
    events = [make_event(0.0, "arrive", "", head)]
    for step in record.steps:
        events.append(make_event(step.after, step.step, step.server or "", step.reason))
    last = record.steps[-1].after if record.steps else 0.0
    events.append(make_event(last, "answer", "", f"{record.status or '-'} {record.result}"))
    return pb.Explanation(request_id=record.request_id, events=events)
