"""Conversion of claims between protobuf messages and the state machine's types."""

from typing import Final

from persimmonusher_agreement.claims import (
    ClaimRecord,
    ClaimRequest,
    RecordState,
    Settlement,
    ShareAnswer,
    ShareRequest,
    Vote,
    VoteKind,
)
from persimmonusher_model.identifiers import InstanceId
from persimmonusher_node.ports import StoredAnswer
from persimmonusher_protocol import claims_pb2 as pb

_STATES: Final = {
    RecordState.PENDING: pb.RECORD_STATE_PENDING,
    RecordState.FINISHED: pb.RECORD_STATE_FINISHED,
    RecordState.UNKNOWN: pb.RECORD_STATE_UNKNOWN,
}
_STATES_READ: Final = {number: state for state, number in _STATES.items()}
_VOTES: Final = {
    VoteKind.GRANTED: pb.VOTE_KIND_GRANTED,
    VoteKind.TAKEN: pb.VOTE_KIND_TAKEN,
    VoteKind.ABSTAINED: pb.VOTE_KIND_ABSTAINED,
    VoteKind.STALE_ROSTER: pb.VOTE_KIND_STALE_ROSTER,
}
_VOTES_READ: Final = {number: kind for kind, number in _VOTES.items()}


def write_request(request: ClaimRequest) -> pb.ClaimRequest:
    """Return the message for a claim."""
    return pb.ClaimRequest(
        key=request.key,
        token=request.token,
        fingerprint=request.fingerprint,
        roster_version=request.roster_version,
        expires_in_seconds=request.expires_in,
        pending_for_seconds=request.pending_for,
    )


def read_request(message: pb.ClaimRequest) -> ClaimRequest:
    """Read a claim."""
    return ClaimRequest(
        key=message.key,
        token=message.token,
        fingerprint=message.fingerprint,
        roster_version=message.roster_version,
        expires_in=message.expires_in_seconds,
        pending_for=message.pending_for_seconds,
    )


def write_record(record: ClaimRecord) -> pb.Record:
    """Return the message for a record."""
    return pb.Record(
        key=record.key,
        token=record.token,
        fingerprint=record.fingerprint,
        state=_STATES[record.state],
        expires_in_seconds=record.expires_in,
        pending_for_seconds=record.pending_for,
        answer=record.answer,
    )


def read_record(message: pb.Record) -> ClaimRecord:
    """Read a record; a state added by a later version reads as UNKNOWN, which is never run."""
    return ClaimRecord(
        key=message.key,
        token=message.token,
        fingerprint=message.fingerprint,
        state=_STATES_READ.get(message.state, RecordState.UNKNOWN),
        expires_in=message.expires_in_seconds,
        pending_for=message.pending_for_seconds,
        answer=message.answer,
    )


def write_vote(vote: Vote) -> pb.Vote:
    """Return the message for a vote."""
    message = pb.Vote(register=vote.register, boot=vote.boot, kind=_VOTES[vote.kind])
    if vote.record is not None:
        message.record.CopyFrom(write_record(vote.record))
    message.known_boots.update({str(name): boot for name, boot in vote.known_boots.items()})
    return message


def read_vote(message: pb.Vote) -> Vote:
    """Read a vote; a kind added by a later version reads as ABSTAINED."""
    return Vote(
        register=InstanceId(message.register),
        boot=message.boot,
        kind=_VOTES_READ.get(message.kind, VoteKind.ABSTAINED),
        record=read_record(message.record) if message.HasField("record") else None,
        known_boots={InstanceId(name): boot for name, boot in message.known_boots.items()},
    )


def write_settlement(settlement: Settlement) -> pb.Settlement:
    """Return the message for a settlement; an unspecified state releases the key."""
    state = pb.RECORD_STATE_UNSPECIFIED if settlement.state is None else _STATES[settlement.state]
    return pb.Settlement(
        key=settlement.key, token=settlement.token, state=state, answer=settlement.answer
    )


def read_settlement(message: pb.Settlement) -> Settlement:
    """Read a settlement; a state added by a later version reads as UNKNOWN."""
    state = None
    if message.state != pb.RECORD_STATE_UNSPECIFIED:
        state = _STATES_READ.get(message.state, RecordState.UNKNOWN)
    return Settlement(message.key, message.token, state, message.answer)


def write_share_request(request: ShareRequest) -> pb.ShareRequest:
    """Return the message that requests a peer's records."""
    return pb.ShareRequest(
        register=request.register, boot=request.boot, roster_version=request.roster_version
    )


def read_share_request(message: pb.ShareRequest) -> ShareRequest:
    """Read a peer's request for records."""
    return ShareRequest(InstanceId(message.register), message.boot, message.roster_version)


def write_share_answer(answer: ShareAnswer) -> pb.ShareAnswer:
    """Return the message that carries records to a peer."""
    message = pb.ShareAnswer(
        register=answer.register,
        trusted=answer.trusted,
        roster_version=answer.roster_version,
        records=[write_record(record) for record in answer.records],
    )
    message.known_boots.update({str(name): boot for name, boot in answer.known_boots.items()})
    return message


def read_share_answer(message: pb.ShareAnswer) -> ShareAnswer:
    """Read a peer's records."""
    return ShareAnswer(
        register=InstanceId(message.register),
        trusted=message.trusted,
        roster_version=message.roster_version,
        records=tuple(read_record(record) for record in message.records),
        known_boots={InstanceId(name): boot for name, boot in message.known_boots.items()},
    )


def encode_answer(answer: StoredAnswer) -> bytes:
    """Encode a backend server's answer for storage in registers."""
    headers = [pb.StoredAnswer.Header(name=name, value=value) for name, value in answer.headers]
    message = pb.StoredAnswer(status=answer.status, headers=headers, body=answer.body)
    encoded: bytes = message.SerializeToString()
    return encoded


def decode_answer(encoded: bytes) -> StoredAnswer:
    """Decode a stored answer."""
    message = pb.StoredAnswer.FromString(encoded)
    headers = tuple((header.name, header.value) for header in message.headers)
    return StoredAnswer(message.status, headers, message.body)
