"""Reading a request's body within limits of size and time."""

from enum import Enum
from typing import Any

import eventlet


class BodyProblem(Enum):
    """Why a body could not be read whole."""

    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    BROKEN_OFF = "broken-off"


class BodyError(Exception):
    """A body that was not read whole; nothing of it may be used."""

    def __init__(self, problem: BodyProblem, message: str) -> None:
        super().__init__(message)
        self.problem = problem


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
