"""Conversion between the messages of the log and their common protobuf envelope."""

from math import ceil
from typing import Final

from persimmonusher_agreement.log_messages import (
    AppendReply,
    AppendRequest,
    KeeperId,
    LogMessage,
    MajorityContact,
    PreVoteReply,
    PreVoteRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from persimmonusher_node.keeper_wire import (
    decode_entry,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
)
from persimmonusher_protocol import keeper_pb2 as pb

MAX_LEAD_SECONDS: Final = 1_000_000.0
"""A contact with a larger lead is left out, as its milliseconds may not fit into the field."""


def encode_message(message: LogMessage) -> pb.LogMessage:
    """Return the envelope that holds a message."""
    wire = pb.LogMessage(source=message.source, target=message.target, term=message.term)
    match message:
        case PreVoteRequest():
            wire.pre_vote_request.CopyFrom(_encode_election(message))
        case PreVoteReply():
            wire.pre_vote_reply.CopyFrom(pb.ElectionReply(granted=message.granted))
        case VoteRequest():
            wire.vote_request.CopyFrom(_encode_election(message))
        case VoteReply():
            wire.vote_reply.CopyFrom(pb.ElectionReply(granted=message.granted))
        case AppendRequest():
            wire.append_request.CopyFrom(_encode_append(message))
        case AppendReply():
            wire.append_reply.CopyFrom(
                pb.AppendReply(
                    success=message.success,
                    match=message.match,
                    round=message.round,
                    answer=message.answer,
                )
            )
        case SnapshotRequest():
            wire.snapshot_request.CopyFrom(
                pb.SnapshotRequest(snapshot=encode_snapshot(message.snapshot), round=message.round)
            )
    return wire


def _encode_election(message: PreVoteRequest | VoteRequest) -> pb.ElectionRequest:
    return pb.ElectionRequest(last_index=message.last_index, last_term=message.last_term)


def _encode_append(message: AppendRequest) -> pb.AppendRequest:
    wire = pb.AppendRequest(
        previous_index=message.previous_index,
        previous_term=message.previous_term,
        entries=map(encode_entry, message.entries),
        commit=message.commit,
        round=message.round,
    )
    contact = message.contact
    if contact is not None and abs(contact.lead) <= MAX_LEAD_SECONDS:
        wire.answer = contact.answer
        wire.majority_lead_ms = ceil(contact.lead * 1000.0)
    return wire


def decode_message(wire: pb.LogMessage) -> LogMessage:
    """Return the message in an envelope; raise ValueError for an empty or unknown one."""
    source, target, term = KeeperId(wire.source), KeeperId(wire.target), wire.term
    match wire.WhichOneof("message"):
        case "pre_vote_request":
            ask = wire.pre_vote_request
            return PreVoteRequest(source, target, term, ask.last_index, ask.last_term)
        case "pre_vote_reply":
            return PreVoteReply(source, target, term, wire.pre_vote_reply.granted)
        case "vote_request":
            ask = wire.vote_request
            return VoteRequest(source, target, term, ask.last_index, ask.last_term)
        case "vote_reply":
            return VoteReply(source, target, term, wire.vote_reply.granted)
        case "append_request":
            return _decode_append(source, target, term, wire.append_request)
        case "append_reply":
            reply = wire.append_reply
            return AppendReply(
                source, target, term, reply.success, reply.match, reply.round, reply.answer
            )
        case "snapshot_request":
            request = wire.snapshot_request
            snapshot = decode_snapshot(request.snapshot)
            return SnapshotRequest(source, target, term, snapshot, request.round)
    raise ValueError(f"a message from {wire.source} holds nothing that is known here")


def _decode_append(
    source: KeeperId, target: KeeperId, term: int, wire: pb.AppendRequest
) -> AppendRequest:
    return AppendRequest(
        source,
        target,
        term,
        wire.previous_index,
        wire.previous_term,
        tuple(map(decode_entry, wire.entries)),
        wire.commit,
        wire.round,
        _decode_contact(wire),
    )


def _decode_contact(wire: pb.AppendRequest) -> MajorityContact | None:
    if not wire.HasField("answer"):
        return None
    return MajorityContact(wire.answer, wire.majority_lead_ms / 1000.0)
