"""Membership datagrams: a keyed tag followed by a protobuf message.

Guards against a process outside the fleet, or an instance of another fleet, that sends datagrams to
the peer port and so adds instances or backend servers. This would show as requests sent to
addresses that nobody announced. The tag is BLAKE2b keyed with the peer token, so a datagram from a
sender without the token is dropped before it is parsed. A replayed datagram carries old versions,
which change nothing.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any, Final

from google.protobuf.message import DecodeError

from persimmonusher_agreement import membership_messages as messages
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import (
    FailureDomain,
    InstanceId,
    Revision,
    ServerId,
    ServiceName,
)
from persimmonusher_protocol import membership_pb2 as pb

TAG_BYTES: Final = 16
MAX_DATAGRAM_BYTES: Final = 1400
"""With headers this fits into the usual MTU of 1,500 bytes, so no datagram is fragmented."""
KEY_DOMAIN: Final = b"persimmonusher membership 1\x00"


class MembershipCodec:
    """Seals envelopes into datagrams and opens datagrams from instances of the same fleet."""

    def __init__(self, token: str) -> None:
        self._key = hashlib.blake2b(KEY_DOMAIN + token.encode(), digest_size=32).digest()

    def seal(self, envelope: messages.Envelope) -> bytes:
        """Return the datagram of an envelope."""
        payload = encode_envelope(envelope).SerializeToString()
        datagram: bytes = self._tag(payload) + payload
        return datagram

    def open(self, datagram: bytes) -> messages.Envelope:
        """Return the envelope of a datagram.

        Raises `UsherError` with UNAUTHENTICATED for a wrong tag, and with BAD_REQUEST for a
        datagram of another version.
        """
        tag, payload = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(payload)):
            raise UsherError(ErrorCode.UNAUTHENTICATED, "a datagram with a wrong tag")
        try:
            return decode_envelope(pb.Envelope.FromString(payload))
        except (DecodeError, ValueError) as error:
            raise UsherError(ErrorCode.BAD_REQUEST, f"an unknown datagram: {error}") from error

    def _tag(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=TAG_BYTES).digest()


def encode_envelope(envelope: messages.Envelope) -> pb.Envelope:
    """Return the protobuf message of an envelope."""
    field, encode = _ENCODERS[type(envelope.body)]
    return pb.Envelope(
        sender=envelope.sender,
        revision=envelope.revision,
        digest=envelope.digest,
        updates=[_encode_record(record) for record in envelope.updates],
        **{field: encode(envelope.body)},
    )


def decode_envelope(message: pb.Envelope) -> messages.Envelope:
    """Return the envelope of a protobuf message; raise ValueError if a part of it is unknown."""
    field = message.WhichOneof("body")
    if field is None:
        raise ValueError("it has no body that is known here")
    body = _DECODERS[field](getattr(message, field))
    updates = tuple(_decode_record(update) for update in message.updates)
    return messages.Envelope(
        InstanceId(message.sender), Revision(message.revision), message.digest, body, updates
    )


def _encode_record(record: Record) -> pb.Update:
    if isinstance(record, MemberRecord):
        return pb.Update(
            member=pb.Member(
                instance_id=record.instance_id,
                failure_domain=record.failure_domain,
                peer_address=record.peer_address,
                roles=record.roles,
                incarnation=record.incarnation,
                state=record.state.name,
            )
        )
    assert isinstance(record, ServerRecord)
    return pb.Update(
        server=pb.Server(
            server_id=record.server_id,
            service=record.service,
            address=record.address,
            failure_domain=record.failure_domain,
            slots=record.slots,
            connection_limit=record.connection_limit,
            boot_id=record.boot_id,
            sequence=record.sequence,
            state=record.state.name,
            lost=record.lost,
        )
    )


def _decode_record(update: pb.Update) -> Record:
    kind = update.WhichOneof("record")
    if kind == "member":
        return _decode_member(update.member)
    if kind == "server":
        return _decode_server(update.server)
    raise ValueError("an update of unknown kind")


def _decode_member(message: pb.Member) -> MemberRecord:
    return MemberRecord(
        InstanceId(message.instance_id),
        FailureDomain(message.failure_domain),
        message.peer_address,
        tuple(message.roles),
        message.incarnation,
        MemberState(message.state),
    )


def _decode_server(message: pb.Server) -> ServerRecord:
    return ServerRecord(
        ServerId(message.server_id),
        ServiceName(message.service),
        message.address,
        FailureDomain(message.failure_domain),
        message.slots,
        message.connection_limit,
        message.boot_id,
        message.sequence,
        ServerState(message.state),
        message.lost,
    )


def _encode_heartbeat(body: messages.Heartbeat) -> pb.Heartbeat:
    return pb.Heartbeat(
        server_id=body.server_id,
        boot_id=body.boot_id,
        sequence=body.sequence,
        state=body.state.name,
    )


def _decode_heartbeat(message: pb.Heartbeat) -> messages.Heartbeat:
    return messages.Heartbeat(
        ServerId(message.server_id), message.boot_id, message.sequence, ServerState(message.state)
    )


def _encode_fields(kind: Callable[..., Any]) -> Callable[[Any], Any]:
    """Return an encoder for bodies whose fields have the same names and types in both forms."""
    return lambda body: kind(**vars(body))


_ENCODERS: Final[dict[type[Any], tuple[str, Callable[[Any], Any]]]] = {
    messages.Ping: ("ping", _encode_fields(pb.Ping)),
    messages.PingRequest: ("ping_request", _encode_fields(pb.PingRequest)),
    messages.Ack: ("ack", _encode_fields(pb.Ack)),
    messages.Join: ("join", _encode_fields(pb.Join)),
    messages.Rumour: ("rumour", _encode_fields(pb.Rumour)),
    messages.GroupDigests: ("group_digests", _encode_fields(pb.GroupDigests)),
    messages.BucketDigests: ("bucket_digests", _encode_fields(pb.BucketDigests)),
    messages.Summary: ("summary", _encode_fields(pb.Summary)),
    messages.Repair: ("repair", _encode_fields(pb.Repair)),
    messages.Heartbeat: ("heartbeat", _encode_heartbeat),
    messages.SilenceQuery: ("silence_query", _encode_fields(pb.SilenceQuery)),
    messages.SilenceReply: ("silence_reply", _encode_fields(pb.SilenceReply)),
}

_DECODERS: Final[dict[str, Callable[[Any], messages.Body]]] = {
    "ping": lambda m: messages.Ping(m.sequence),
    "ping_request": lambda m: messages.PingRequest(
        m.sequence, InstanceId(m.target), m.target_address
    ),
    "ack": lambda m: messages.Ack(m.sequence, InstanceId(m.subject)),
    "join": lambda m: messages.Join(m.sequence),
    "rumour": lambda m: messages.Rumour(),
    "group_digests": lambda m: messages.GroupDigests(tuple(m.digests)),
    "bucket_digests": lambda m: messages.BucketDigests(m.group, tuple(m.digests)),
    "summary": lambda m: messages.Summary(tuple(m.buckets), tuple(m.keys), tuple(m.fingerprints)),
    "repair": lambda m: messages.Repair(tuple(m.wanted)),
    "heartbeat": _decode_heartbeat,
    "silence_query": lambda m: messages.SilenceQuery(ServerId(m.server_id), m.boot_id),
    "silence_reply": lambda m: messages.SilenceReply(
        ServerId(m.server_id), m.boot_id, m.sequence, m.silent, m.heard, m.age_milliseconds
    ),
}
