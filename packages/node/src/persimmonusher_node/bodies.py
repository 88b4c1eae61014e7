"""Request bodies: kept whole, or in part while the rest is sent on as it arrives."""

from collections.abc import Iterator
from typing import Any, Final

import eventlet

from persimmonusher_node.body_errors import BodyError, BodyProblem
from persimmonusher_node.body_memory import PIECE_BYTES, MemoryShare
from persimmonusher_node.body_source import BodySource

KEPT_PIECE_BYTES: Final = 4_096
"""Size of the chunks in which kept bytes are sent: sending a chunk copies it."""

__all__ = ["Body", "BodyError", "BodyProblem", "read_body"]


class Body:
    """The bytes of a body that are kept and, where there are more, a reader for the rest.

    `share` is the memory of a request on a route with large bodies, None for other requests.
    """

    def __init__(
        self, kept: bytes = b"", rest: BodySource | None = None, share: MemoryShare | None = None
    ) -> None:
        self.kept = kept
        self.rest = rest
        self.share = share
        self.can_send_again = True
        """Whether all that was read so far is still kept."""

    @property
    def is_large(self) -> bool:
        """Return whether the request is on a route with large bodies."""
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


def read_body(source: Any, limit: int, seconds: float) -> bytes:
    """Return the whole body from WSGI's input, at most `limit` bytes within `seconds`.

    Raises BodyError where the body is larger, comes too late, breaks off or is framed wrongly.
    """
    chunked = source.chunked_input
    length = source.content_length or 0
    if not chunked and not length:
        return b""
    if length > limit:
        raise BodyError(BodyProblem.TOO_LARGE, f"the body is larger than {limit} bytes")
    body = _read_in_time(source, limit + 1 if chunked else length, seconds)
    if len(body) > limit:
        raise BodyError(BodyProblem.TOO_LARGE, f"the body is larger than {limit} bytes")
    if not chunked and len(body) < length:
        message = f"the body broke off after {len(body)} of {length} bytes"
        raise BodyError(BodyProblem.BROKEN_OFF, message)
    return body


def _read_in_time(source: Any, size: int, seconds: float) -> bytes:
    timer = eventlet.Timeout(seconds)
    try:
        body: bytes = source.read(size)
        return body
    except eventlet.Timeout as error:
        if error is not timer:
            raise
        message = f"the body did not arrive within {seconds:g} s"
        raise BodyError(BodyProblem.TOO_SLOW, message) from error
    except (OSError, ValueError) as error:
        message = "the body broke off or is framed wrongly"
        raise BodyError(BodyProblem.BROKEN_OFF, message) from error
    finally:
        timer.cancel()
