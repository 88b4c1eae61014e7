"""How much memory a JSON document takes once it is parsed, from its bytes alone."""

from typing import Final

OBJECT_BYTES: Final = 232
"""A dict with up to five keys."""
ARRAY_BYTES: Final = 72
VALUE_BYTES: Final = 64
"""A short string or a number, with its place in an object or array."""
MAX_CHARACTER_BYTES: Final = 4
"""Bytes of each character of a string that has one beyond the basic plane."""


def estimate_parsed_bytes(content: bytes) -> int:
    """Return about how many bytes the text and the parsed values of a JSON document take.

    Documents of few bytes may take twenty times as many: `[{},{}]`. Braces and commas in strings
    count as well, so the estimate may be too high.

    >>> estimate_parsed_bytes(b'[{},{}]')
    607
    """
    text_bytes = len(content) * (1 if content.isascii() else MAX_CHARACTER_BYTES)
    return (
        text_bytes
        + content.count(b"{") * OBJECT_BYTES
        + content.count(b"[") * ARRAY_BYTES
        + content.count(b",") * VALUE_BYTES
    )
