"""Conversion of evidence between its protobuf messages and the decisions' typed messages."""

from typing import Final

from persimmonusher_decisions.evidence_messages import (
    Ejection,
    EjectionSet,
    EjectionState,
    EvidenceDigest,
    QuarantinedRequest,
    ServerEvidence,
    Strike,
    StrikeKind,
)
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_protocol import evidence_pb2 as pb

_STRIKES: Final = {
    StrikeKind.CRASH: pb.STRIKE_KIND_CRASH,
    StrikeKind.SUCCESS: pb.STRIKE_KIND_SUCCESS,
}
_STRIKES_READ: Final = {number: kind for kind, number in _STRIKES.items()}
_STATES: Final = {
    EjectionState.EJECTED: pb.EJECTION_STATE_EJECTED,
    EjectionState.PROBATION: pb.EJECTION_STATE_PROBATION,
}
_STATES_READ: Final = {number: state for state, number in _STATES.items()}


def write_digest(digest: EvidenceDigest) -> pb.ReportRequest:
    """Return the protobuf message for a digest."""
    return pb.ReportRequest(
        service=digest.service,
        instance_id=digest.instance_id,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        failure_domain=digest.failure_domain,
        servers=[_write_server(server) for server in digest.servers],
        strikes=[_write_strike(strike) for strike in digest.strikes],
    )


def read_digest(message: pb.ReportRequest) -> EvidenceDigest:
    """Return the digest in a message; ignores strikes of kinds that only later versions know."""
    return EvidenceDigest(
        service=ServiceName(message.service),
        instance_id=InstanceId(message.instance_id),
        incarnation=message.incarnation,
        sequence=message.sequence,
        failure_domain=FailureDomain(message.failure_domain),
        servers=tuple(_read_server(server) for server in message.servers),
        strikes=tuple(
            _read_strike(strike) for strike in message.strikes if strike.kind in _STRIKES_READ
        ),
    )


def write_set(ejections: EjectionSet) -> pb.EjectionSet:
    """Return the protobuf message for a verdict."""
    return pb.EjectionSet(
        service=ejections.service,
        assessor_id=ejections.assessor_id,
        epoch=ejections.epoch,
        sequence=ejections.sequence,
        lease_seconds=ejections.lease_seconds,
        ejections=[_write_ejection(ejection) for ejection in ejections.ejections],
        quarantines=[_write_quarantine(request) for request in ejections.quarantines],
        watched=ejections.watched,
        note=ejections.note,
    )


def read_set(message: pb.EjectionSet) -> EjectionSet:
    """Return the verdict in a message; ignores ejections in states of later versions."""
    return EjectionSet(
        service=ServiceName(message.service),
        assessor_id=InstanceId(message.assessor_id),
        epoch=message.epoch,
        sequence=message.sequence,
        lease_seconds=message.lease_seconds,
        ejections=tuple(
            _read_ejection(ejection)
            for ejection in message.ejections
            if ejection.state in _STATES_READ
        ),
        quarantines=tuple(_read_quarantine(request) for request in message.quarantines),
        watched=tuple(message.watched),
        note=message.note,
    )


def _write_server(server: ServerEvidence) -> pb.ServerEvidence:
    return pb.ServerEvidence(
        server_id=server.server_id,
        answered=server.answered,
        failed=server.failed,
        timed=server.timed,
        slow=server.slow,
    )


def _read_server(message: pb.ServerEvidence) -> ServerEvidence:
    return ServerEvidence(
        ServerId(message.server_id), message.answered, message.failed, message.timed, message.slow
    )


def _write_strike(strike: Strike) -> pb.Strike:
    kind = _STRIKES[strike.kind]
    return pb.Strike(fingerprint=strike.fingerprint, server_id=strike.server_id, kind=kind)


def _read_strike(message: pb.Strike) -> Strike:
    return Strike(message.fingerprint, ServerId(message.server_id), _STRIKES_READ[message.kind])


def _write_ejection(ejection: Ejection) -> pb.Ejection:
    return pb.Ejection(
        server_id=ejection.server_id,
        seen_from=ejection.seen_from,
        state=_STATES[ejection.state],
        reason=ejection.reason,
        strength=ejection.strength,
    )


def _read_ejection(message: pb.Ejection) -> Ejection:
    return Ejection(
        ServerId(message.server_id),
        FailureDomain(message.seen_from),
        _STATES_READ[message.state],
        message.reason,
        message.strength,
    )


def _write_quarantine(request: QuarantinedRequest) -> pb.QuarantinedRequest:
    return pb.QuarantinedRequest(
        fingerprint=request.fingerprint,
        seconds_left=request.seconds_left,
        servers=list(request.servers),
    )


def _read_quarantine(message: pb.QuarantinedRequest) -> QuarantinedRequest:
    servers = tuple(ServerId(server) for server in message.servers)
    return QuarantinedRequest(message.fingerprint, message.seconds_left, servers)
