"""The syntax of HTTP/1.1 messages (RFC 9112), checked on the bytes that arrived; no I/O.

The standard library's client parses heads leniently: it takes the first line that is no field for
the end of the head and drops the rest, and splits lines at a bare CR. So each line is checked
before that parser sees it.
"""

import re
from collections.abc import Sequence
from http.client import HTTPException
from typing import Final

_TEXT: Final = rb"[\t -~\x80-\xff]*"
_FIELD_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r\n")
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}( " + _TEXT + rb")?\r\n")
_CHUNK_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;" + _TEXT + rb")?\r\n")
_LENGTH: Final = re.compile(r"[0-9]{1,18}", re.ASCII)
_BLANKS: Final = (b" ", b"\t")
LINE_END: Final = b"\r\n"


class MalformedMessage(HTTPException):  # noqa: N818
    """Raised for bytes that HTTP/1.1 doesn't allow; the message says where they are."""


class HeadLines:
    """Checks the lines of an answer's head, and of the interim answers before it.

    They may have `max_bytes` bytes together. Trailers have no status line.
    """

    def __init__(self, max_bytes: int, has_status_line: bool = True) -> None:
        self._max_bytes = max_bytes
        self._bytes_left = max_bytes
        self._line_number = 0
        self._has_status_line = has_status_line
        self._is_status_next = has_status_line

    def check(self, line: bytes) -> bytes:
        """Return the next line, without blanks before its line end; raise MalformedMessage."""
        self._line_number += 1
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise MalformedMessage(f"the head is longer than {self._max_bytes} bytes")
        if self._is_status_next:
            self._is_status_next = False
            if _STATUS_LINE.fullmatch(line) is None:
                raise MalformedMessage(f"line {self._line_number} of the head is no status line")
        elif line == LINE_END:
            self._is_status_next = self._has_status_line
        elif _FIELD_LINE.fullmatch(line) is None:
            raise MalformedMessage(f"line {self._line_number} of the head is no header field")
        if line[-3:-2] in _BLANKS:
            return line[:-2].rstrip(b" \t") + LINE_END
        return line


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
