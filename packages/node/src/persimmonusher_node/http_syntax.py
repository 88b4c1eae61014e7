"""The syntax of HTTP/1.1 messages (RFC 9112), checked on the bytes that arrived; no I/O.

The standard library's client parses heads leniently: it takes the first line that is no field for
the end of the head and drops the rest, and splits lines at a bare CR. So the lines of a head are
checked before that parser sees them.
"""

import re
from collections.abc import Sequence
from http.client import HTTPException
from typing import Final

LINE_END: Final = b"\r\n"
_TEXT: Final = rb"[\t -~\x80-\xff]*"
_FIELD_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + LINE_END)
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9]{2})( " + _TEXT + rb")?" + LINE_END)
_CHUNK_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;" + _TEXT + rb")?" + LINE_END)
_LENGTH: Final = re.compile(r"[0-9]{1,18}", re.ASCII)


class MalformedMessage(HTTPException):  # noqa: N818
    """Raised for bytes that HTTP/1.1 doesn't allow; the message says where they are."""


def check_answer_head(lines: Sequence[bytes]) -> int:
    """Return the status of an answer's head; raise MalformedMessage.

    `lines` are all its lines as they arrived, from the status line to the empty line.
    """
    match = _STATUS_LINE.fullmatch(lines[0])
    if match is None:
        raise MalformedMessage("the first line is no status line")
    check_fields("head", lines, 1)
    return int(match[1])


def check_fields(part: str, lines: Sequence[bytes], start: int = 0) -> None:
    """Raise MalformedMessage unless the lines from `start` on are fields and an empty line.

    `part` is what they belong to, for the message.
    """
    for number in range(start, len(lines) - 1):
        if _FIELD_LINE.fullmatch(lines[number]) is None:
            raise MalformedMessage(f"line {number + 1} of the {part} is no field")
    if lines[-1] != LINE_END:
        raise MalformedMessage(f"the {part} has no end")


def check_framing(version: int, lengths: Sequence[str], codings: Sequence[str]) -> None:
    """Raise MalformedMessage unless a head tells in exactly one way where the body ends.

    `version` is 10 or 11; `lengths` and `codings` are the values of all Content-Length and
    Transfer-Encoding fields, without blanks around them. Without any, the body ends with the
    connection.
    """
    if len(lengths) + len(codings) > 1:
        raise MalformedMessage("the head tells the length of the body more than once")
    for length in lengths:
        if _LENGTH.fullmatch(length) is None:
            raise MalformedMessage("Content-Length is no decimal number")
    for coding in codings:
        if version < 11 or coding.lower() != "chunked":
            raise MalformedMessage("Transfer-Encoding is not just chunked, or not of HTTP/1.1")


def parse_chunk_size(line: bytes) -> int:
    r"""Return the size in bytes that the line before a chunk tells; raise MalformedMessage.

    >>> parse_chunk_size(b"1a;name=value\r\n")
    26
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise MalformedMessage("a chunk has no size")
    return int(match[1], 16)
