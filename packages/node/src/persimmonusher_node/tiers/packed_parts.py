"""Large parts of a batch, compressed on their way to a follower."""

import zlib
from typing import Final

from persimmonusher_protocol import control_pb2, keeper_pb2

PACKED_FROM_BYTES: Final = 2_048
"""Below this a part is a change or a few; compressing it would save little."""
LARGEST_PART_BYTES: Final = 268_435_456
"""A part unpacks to this at most: one that claims to be larger would end the process instead."""


def pack_part(part: keeper_pb2.PullPart) -> control_pb2.FollowUpdate:
    """Return an update that carries a part.

    An entry that starts gets every registered server. Their records hardly differ, and when many
    entries start at once, those that follow a keeper elsewhere get them over links that are paid by
    the byte.
    """
    if part.ByteSize() < PACKED_FROM_BYTES:
        return control_pb2.FollowUpdate(part=part)
    return control_pb2.FollowUpdate(packed_part=zlib.compress(part.SerializeToString()))


def unpack_part(update: control_pb2.FollowUpdate) -> keeper_pb2.PullPart | None:
    """Return the part that an update carries, None where it carries none.

    Raises ValueError for bytes that are no such part.
    """
    if not update.packed_part:
        return update.part if update.HasField("part") else None
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(update.packed_part, LARGEST_PART_BYTES)
        if not unpacking.eof:
            raise ValueError("a packed part is cut short, or too large")
        return keeper_pb2.PullPart.FromString(data)
    except zlib.error as error:
        raise ValueError(f"a packed part can't be read: {error}") from error
