"""Compression of the large parts of a batch that are sent to a follower."""

import zlib
from typing import Final

from persimmonusher_protocol import control_pb2, keeper_pb2

MIN_PACKED_BYTES: Final = 2_048
"""A smaller part holds one change or a few; compressing it would save little."""
MAX_PART_BYTES: Final = 268_435_456
"""Most bytes that a part may unpack to: without a limit, an oversized part would end the
process."""


def pack_part(part: keeper_pb2.PullPart) -> control_pb2.FollowUpdate:
    """Return an update that carries a part, compressed if it is large.

    An entry that starts is sent every registered server. Their records are nearly alike and
    compress well, and entries that follow a keeper in another failure domain get them over links
    that are paid for by the byte.
    """
    if part.ByteSize() < MIN_PACKED_BYTES:
        return control_pb2.FollowUpdate(part=part)
    return control_pb2.FollowUpdate(packed_part=zlib.compress(part.SerializeToString()))


def unpack_part(update: control_pb2.FollowUpdate) -> keeper_pb2.PullPart | None:
    """Return the part that an update carries, or None if it carries none.

    Raises ValueError for bytes that aren't a packed part.
    """
    if not update.packed_part:
        return update.part if update.HasField("part") else None
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(update.packed_part, MAX_PART_BYTES)
        if not unpacking.eof:
            raise ValueError("packed part is truncated or too large")
        return keeper_pb2.PullPart.FromString(data)
    except zlib.error as error:
        raise ValueError(f"packed part can't be read: {error}") from error
