"""The record of the routing document: the operator's version, and the document as sent, packed.

The content is kept byte for byte, so that operators read back what they sent. It is compressed
because each change carries the whole document to every keeper and entry: routes repeat the same
words, and compress to a seventh or an eighth (23 bytes a route at 20,000 routes with random names).
"""

import base64
import binascii
import json
import zlib
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.configuration_objects import ObjectKey, ObjectKind
from persimmonusher_model.errors import ErrorCode, Finding

DOCUMENT_KEY: Final = ObjectKey(ObjectKind.DOCUMENT, "routing")
"""The key of the fleet's only routing document."""

COMPRESSION_LEVEL: Final = 6
"""The library's default: higher levels block the event loop for longer and save a few percent."""


@dataclass(frozen=True)
class RoutingRecord:
    """A version of the routing document with its content, unpacked."""

    version: int
    content: bytes


def pack_document(version: int, content: bytes) -> str:
    """Return the body of the document's record."""
    packed = base64.b64encode(zlib.compress(content, COMPRESSION_LEVEL)).decode()
    return json.dumps({"version": version, "content": packed})


def read_version(body: str | None) -> int:
    """Return the version in a record's body; -1, which is below every version, for None."""
    return -1 if body is None else int(json.loads(body)["version"])


def unpack_document(body: str) -> RoutingRecord:
    """Return the version and content in a record's body."""
    document = json.loads(body)
    content = zlib.decompress(base64.b64decode(document["content"]))
    return RoutingRecord(int(document["version"]), content)


def check_packed(document: dict[str, object]) -> list[Finding]:
    """Check a body before it is appended, and return the findings."""
    version, content = document.get("version"), document.get("content")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        return [Finding(ErrorCode.BAD_VALUE, "version", "must be a number from 0 on")]
    try:
        zlib.decompress(base64.b64decode(str(content), validate=True))
    except (binascii.Error, zlib.error) as error:
        return [Finding(ErrorCode.BAD_VALUE, "content", f"can't be unpacked: {error}")]
    return []
