"""Conversion between the log's typed values and their protobuf messages."""

import sys
from collections.abc import Iterator, Sequence
from typing import Final

from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Batch,
    Change,
    ConfigurationState,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
    Record,
    StoredVerdict,
    Verdict,
)
from persimmonusher_agreement.log_messages import (
    Entry,
    KeeperId,
    Member,
    MemberRole,
    Members,
    Noop,
    Snapshot,
)
from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import Revision
from persimmonusher_protocol import keeper_pb2 as pb

RECORDS_PER_PART: Final = 1_000
"""Records encoded at a time: about ten milliseconds of work."""

KINDS_TO_WIRE: Final = {
    ObjectKind.PROFILE: pb.PROFILE,
    ObjectKind.SERVICE: pb.SERVICE,
    ObjectKind.ROUTE: pb.ROUTE,
    ObjectKind.ROSTER: pb.ROSTER,
    ObjectKind.DOCUMENT: pb.DOCUMENT,
    ObjectKind.SERVER: pb.SERVER,
}
KINDS_FROM_WIRE: Final = {number: kind for kind, number in KINDS_TO_WIRE.items()}


def encode_change(change: Change) -> pb.Change:
    """Return the wire form of a change."""
    return pb.Change(
        change_id=change.change_id,
        operator=change.operator,
        kind=KINDS_TO_WIRE[change.key.kind],
        name=change.key.name,
        based_on=change.based_on,
        body=change.body,
    )


def decode_change(wire: pb.Change) -> Change:
    """Return the change of a wire message; raises KeyError for an unknown kind."""
    return Change(
        wire.change_id,
        wire.operator,
        ObjectKey(KINDS_FROM_WIRE[wire.kind], wire.name),
        Revision(wire.based_on),
        wire.body if wire.HasField("body") else None,
    )


def encode_record(record: Record) -> pb.Record:
    """Return the wire form of a record."""
    return pb.Record(
        kind=KINDS_TO_WIRE[record.key.kind],
        name=record.key.name,
        revision=record.revision,
        body=record.body,
        change_id=record.change_id,
        operator=record.operator,
    )


def decode_record(wire: pb.Record) -> Record:
    """Return the record of a wire message.

    Equal bodies, but those of profiles, and operators' names are interned: kept once for each of
    200,000 routes, they would take a quarter of the memory that the configuration may use.
    """
    kind = KINDS_FROM_WIRE[wire.kind]
    body = wire.body if wire.HasField("body") else None
    if body is not None and kind is not ObjectKind.PROFILE:
        body = sys.intern(body)
    return Record(
        ObjectKey(kind, wire.name),
        Revision(wire.revision),
        body,
        wire.change_id,
        sys.intern(wire.operator),
    )


def encode_parts(batch: Batch, keepers: Sequence[str] = ()) -> Iterator[pb.PullPart]:
    """Yield a batch in parts; the last one names the keepers' addresses, where there are any."""
    starts = range(0, max(1, len(batch.records)), RECORDS_PER_PART)
    for start in starts:
        is_last = start == starts[-1]
        yield pb.PullPart(
            lineage=batch.lineage,
            since=batch.since,
            revision=batch.revision,
            whole=batch.whole,
            records=map(encode_record, batch.records[start : start + RECORDS_PER_PART]),
            last=is_last,
            keepers=keepers if is_last else (),
        )


def encode_verdict(verdict: Verdict) -> pb.Verdict:
    """Return the wire form of a verdict."""
    if isinstance(verdict, Accepted):
        return pb.Verdict(accepted=verdict.revision)
    if isinstance(verdict, Conflict):
        return pb.Verdict(conflict=encode_record(verdict.winner))
    findings = [
        pb.Finding(code=finding.code.value, path=finding.path, message=finding.message)
        for finding in verdict.findings
    ]
    return pb.Verdict(invalid=pb.Invalid(findings=findings))


def decode_verdict(wire: pb.Verdict) -> Verdict:
    """Return the verdict of a wire message."""
    kind = wire.WhichOneof("verdict")
    if kind == "accepted":
        return Accepted(Revision(wire.accepted))
    if kind == "conflict":
        return Conflict(decode_record(wire.conflict))
    findings = (
        Finding(ErrorCode(finding.code), finding.path, finding.message)
        for finding in wire.invalid.findings
    )
    return Invalid(tuple(findings))


def encode_members(members: Members) -> pb.Members:
    """Return the wire form of the members."""
    wire = (
        pb.Member(
            keeper=member.keeper,
            address=member.address,
            voter=member.role is MemberRole.VOTER,
            promote=member.promote,
            failure_domain=member.failure_domain,
        )
        for member in members.members
    )
    return pb.Members(lineage=members.lineage, members=wire)


def decode_members(wire: pb.Members) -> Members:
    """Return the members of a wire message."""
    members = (
        Member(
            KeeperId(member.keeper),
            member.address,
            MemberRole.VOTER if member.voter else MemberRole.LEARNER,
            member.promote,
            member.failure_domain,
        )
        for member in wire.members
    )
    return Members(wire.lineage, tuple(members))


def encode_entry(entry: Entry) -> pb.Entry:
    """Return the wire form of an entry."""
    wire = pb.Entry(index=entry.index, term=entry.term)
    if isinstance(entry.command, Change):
        wire.change.CopyFrom(encode_change(entry.command))
    elif isinstance(entry.command, Members):
        wire.members.CopyFrom(encode_members(entry.command))
    return wire


def decode_entry(wire: pb.Entry) -> Entry:
    """Return the entry of a wire message."""
    kind = wire.WhichOneof("command")
    if kind == "change":
        return Entry(wire.index, wire.term, decode_change(wire.change))
    if kind == "members":
        return Entry(wire.index, wire.term, decode_members(wire.members))
    return Entry(wire.index, wire.term, Noop())


def encode_snapshot(snapshot: Snapshot) -> pb.Snapshot:
    """Return the wire form of a snapshot."""
    wire = pb.Snapshot()
    for part in encode_snapshot_parts(snapshot):
        wire.MergeFrom(part)
    return wire


def encode_snapshot_parts(snapshot: Snapshot) -> Iterator[pb.Snapshot]:
    """Yield the wire form in parts that are each quick to encode.

    The concatenation of the encoded parts decodes to the whole: protobuf merges repeated fields by
    appending them.
    """
    state = snapshot.state
    yield pb.Snapshot(
        index=snapshot.index,
        term=snapshot.term,
        members=encode_members(snapshot.members),
        lineage=state.lineage,
        revision=state.revision,
        tombstone_floor=state.tombstone_floor,
    )
    for start in range(0, len(state.records), RECORDS_PER_PART):
        yield pb.Snapshot(
            records=map(encode_record, state.records[start : start + RECORDS_PER_PART])
        )
    for start in range(0, len(state.histories), RECORDS_PER_PART):
        items = state.histories[start : start + RECORDS_PER_PART]
        yield pb.Snapshot(histories=map(encode_record, items))
    for start in range(0, len(state.verdicts), RECORDS_PER_PART):
        verdicts = state.verdicts[start : start + RECORDS_PER_PART]
        yield pb.Snapshot(verdicts=map(_encode_stored, verdicts))


def decode_snapshot(wire: pb.Snapshot) -> Snapshot:
    """Return the snapshot of a wire message."""
    state = ConfigurationState(
        wire.lineage,
        Revision(wire.revision),
        Revision(wire.tombstone_floor),
        tuple(map(decode_record, wire.records)),
        tuple(map(decode_record, wire.histories)),
        tuple(map(_decode_stored, wire.verdicts)),
    )
    return Snapshot(wire.index, wire.term, decode_members(wire.members), state)


def _encode_stored(stored: StoredVerdict) -> pb.StoredVerdict:
    return pb.StoredVerdict(
        change_id=stored.change_id, digest=stored.digest, verdict=encode_verdict(stored.verdict)
    )


def _decode_stored(wire: pb.StoredVerdict) -> StoredVerdict:
    return StoredVerdict(wire.change_id, wire.digest, decode_verdict(wire.verdict))
