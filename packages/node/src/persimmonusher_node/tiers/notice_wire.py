"""Conversion between notices and their protobuf form."""

from typing import Final

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_model.identifiers import RequestId, ServerId, ServiceName
from persimmonusher_protocol import control_pb2 as pb

KINDS_TO_WIRE: Final = {
    NoticeKind.FAILED: pb.EARLY,
    NoticeKind.FAILED_LATE: pb.LATE,
    NoticeKind.UNREACHED: pb.UNREACHED,
    NoticeKind.CRASHED: pb.EARLY,
    NoticeKind.RECOVERED: pb.NONE,
    NoticeKind.LIMITED: pb.LIMITED,
}
KINDS_FROM_WIRE: Final = {
    pb.EARLY: NoticeKind.FAILED,
    pb.LATE: NoticeKind.FAILED_LATE,
    pb.UNREACHED: NoticeKind.UNREACHED,
    pb.NONE: NoticeKind.RECOVERED,
    pb.LIMITED: NoticeKind.LIMITED,
}


def encode_notice(notice: Notice) -> pb.Notice:
    """Return the wire form of a notice."""
    return pb.Notice(
        service=notice.service,
        server=notice.server_id,
        boot=notice.boot_id,
        crashed_by=notice.fingerprint,
        failure=KINDS_TO_WIRE[notice.kind],
        request=notice.request_id,
        milliseconds=round(notice.seconds * 1000),
        rate_limit=notice.rate_limit,
    )


def decode_notice(wire: pb.Notice) -> Notice:
    """Return the notice of a wire message."""
    # A kind that only a later release knows is decoded as the plain failure.
    kind = KINDS_FROM_WIRE.get(wire.failure, NoticeKind.FAILED)
    return Notice(
        NoticeKind.CRASHED if wire.crashed_by else kind,
        ServiceName(wire.service),
        ServerId(wire.server),
        wire.boot,
        wire.crashed_by,
        RequestId(wire.request),
        wire.milliseconds / 1000.0,
        wire.rate_limit if wire.HasField("rate_limit") else None,
    )
