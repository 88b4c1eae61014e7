"""Request bodies: kept whole, or in part while the rest is sent on as it arrives."""

from collections.abc import Iterator
from typing import Any, Final

from persimmonusher_node.body_errors import BodyError, BodyProblem
from persimmonusher_node.body_memory import PIECE_BYTES, MemoryShare
from persimmonusher_node.body_source import BodySource, always_take
from persimmonusher_node.body_waits import BodyWaits
from persimmonusher_node.held_memory import HeldShare

KEPT_PIECE_BYTES: Final = 4_096
"""Size of the chunks in which kept bytes are sent: sending a chunk copies it."""

__all__ = ["Body", "BodyError", "BodyProblem", "read_body"]


class Body:
    """The bytes of a body that are kept and, where there are more, a reader for the rest.

    `share` is the memory of a request with a large body, or on a route for such; `held` is that of
    another request, for its whole body and its answer.
    """

    def __init__(
        self,
        kept: bytes = b"",
        rest: BodySource | None = None,
        share: MemoryShare | None = None,
        held: HeldShare | None = None,
    ) -> None:
        self.kept = kept
        self.rest = rest
        self.share = share
        self.held = held
        self.can_send_again = True
        """Whether all that was read so far is still kept."""

    @property
    def is_large(self) -> bool:
        """Return whether the rest of the body, and of the answer, is sent on as it arrives."""
        return self.share is not None

    @property
    def length(self) -> int | None:
        """Return the size of the whole body in bytes, None where it isn't known."""
        return len(self.kept) if self.rest is None else self.rest.length

    @property
    def is_unread(self) -> bool:
        """Return whether a part of the body was not read from the caller."""
        return self.rest is not None and not self.rest.is_ended

    def list_pieces(self) -> Iterator[bytes | memoryview]:
        """Yield the kept bytes, then the rest as it arrives; raise BodyError if it breaks off.

        The kept bytes are freed before the first piece of the rest is read.
        """
        size = KEPT_PIECE_BYTES if self.length is None else PIECE_BYTES
        for start in range(0, len(self.kept), size):
            with memoryview(self.kept) as whole, whole[start : start + size] as piece:
                yield piece
        if self.rest is None:
            return
        self.drop_kept()
        while piece_read := self.rest.read(PIECE_BYTES):
            yield piece_read

    def drop_kept(self) -> None:
        """Free the kept bytes; the body can't be sent again."""
        self.can_send_again = False
        self.kept = b""


def read_body(
    source: Any, limit: int, seconds: float, waits: BodyWaits, share: HeldShare | None = None
) -> bytes:
    """Return the whole body from WSGI's input, at most `limit` bytes within `seconds`.

    Its memory is taken from `share`; without one, the limit must be small. Raises BodyError where
    the body is larger, comes too late, breaks off or is framed wrongly, and NoBodyMemory.
    """
    take = always_take if share is None else share.take
    return BodySource(source, limit, seconds, waits).read_first(limit + 1, take)
