"""Organisations: their API keys, request quotas and priorities."""

import re
import secrets
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, NewType

from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import CallerId

KeyDigest = NewType("KeyDigest", bytes)
"""A salted digest of an API key; the salt differs between processes."""

DIGEST_BYTES: Final = 16
HEADER_TEXT: Final = re.compile(r"[!-~]+( +[!-~]+)*")
"""Text that is safe in a header value; a line break in it would begin another header."""
_SALT: Final = secrets.token_bytes(DIGEST_BYTES)


def digest_key(key: str) -> KeyDigest:
    """Return the digest of an API key. The key is a secret, so only its digest is kept."""
    data = key.encode(errors="surrogatepass")
    return KeyDigest(blake2b(data, digest_size=DIGEST_BYTES, key=_SALT).digest())


@dataclass(frozen=True, slots=True)
class RequestQuota:
    """An organisation's request rate limit over all instances together."""

    per_second: int
    burst: int
    """Requests allowed at once in addition to the rate."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation of the routing document."""

    name: CallerId
    keys: tuple[KeyDigest, ...]
    priority: int | None = None
    """0 is the most urgent; overrides the route's priority unless it is None."""
    quota: RequestQuota | None = None
    """None means no limit."""


class OrganisationBook:
    """The organisations in force, by API key and by name.

    >>> acme = Organisation(CallerId("acme"), (digest_key("k1"),))
    >>> book = OrganisationBook([acme])
    >>> book.find_by_key(digest_key("k1")) is acme, book.find_by_key(digest_key("k2"))
    (True, None)
    """

    def __init__(self, organisations: Sequence[Organisation]) -> None:
        self._by_name = {one.name: one for one in organisations}
        self._by_key = {key: one for one in organisations for key in one.keys}

    def find_by_key(self, key: KeyDigest) -> Organisation | None:
        """Return the organisation that holds an API key, or None for an unknown key."""
        return self._by_key.get(key)

    def find(self, name: CallerId) -> Organisation | None:
        """Return an organisation by its name."""
        return self._by_name.get(name)


def check_organisations(organisations: Sequence[Organisation]) -> Iterator[Finding]:
    """Yield a finding for each problem; keys are named by their position, never by content."""
    names: set[CallerId] = set()
    holders: dict[KeyDigest, CallerId] = {}
    for number, one in enumerate(organisations):
        path = f"organisations.{number}"
        if HEADER_TEXT.fullmatch(one.name) is None:
            message = f"{one.name!r} must be visible ASCII, as servers are told it in a header"
            yield Finding(ErrorCode.BAD_VALUE, f"{path}.name", message)
        if one.name in names:
            message = f"two organisations are named {one.name!r}"
            yield Finding(ErrorCode.BAD_VALUE, f"{path}.name", message)
        names.add(one.name)
        for place, key in enumerate(one.keys):
            holder = holders.setdefault(key, one.name)
            if holder != one.name:
                message = f"the key belongs to organisation {holder!r} too"
                yield Finding(ErrorCode.BAD_VALUE, f"{path}.keys.{place}", message)
